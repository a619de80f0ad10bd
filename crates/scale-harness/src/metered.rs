//! The machine's own network with counters: what one balancer reads from discovery, how often it connects
//! there, and the datagrams that it exchanges with its peers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hollowpaddle_net::{
    Datagrams, Listener, LocalBoxFuture, MAX_DATAGRAM_BYTES, Network, Stream, Tcp,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of one balancer. They outlive its restarts.
#[derive(Debug, Default)]
pub struct Meter {
    discovery_bytes: AtomicU64,
    discovery_connections: AtomicU64,
    datagrams_sent: AtomicU64,
    datagrams_received: AtomicU64,
    datagram_bytes: AtomicU64,
}

impl Meter {
    /// What has been counted so far.
    pub fn read(&self) -> Reading {
        Reading {
            discovery_bytes: self.discovery_bytes.load(Ordering::Relaxed),
            discovery_connections: self.discovery_connections.load(Ordering::Relaxed),
            datagrams_sent: self.datagrams_sent.load(Ordering::Relaxed),
            datagrams_received: self.datagrams_received.load(Ordering::Relaxed),
            datagram_bytes: self.datagram_bytes.load(Ordering::Relaxed),
        }
    }
}

/// What a [`Meter`] showed at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Bytes read from discovery.
    pub discovery_bytes: u64,
    /// Connections to discovery that came up.
    pub discovery_connections: u64,
    /// Datagrams sent to peers.
    pub datagrams_sent: u64,
    /// Datagrams received from peers.
    pub datagrams_received: u64,
    /// Bytes of the datagrams sent and received.
    pub datagram_bytes: u64,
}

/// The machine's own network as one balancer uses it, counted by a [`Meter`].
pub struct MeteredNetwork {
    discovery: SocketAddr,
    meter: Arc<Meter>,
}

impl MeteredNetwork {
    /// Counts connections to `discovery` apart from all others, which are not counted.
    pub fn new(discovery: SocketAddr, meter: Arc<Meter>) -> Self {
        Self { discovery, meter }
    }
}

impl Network for MeteredNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = Tcp.connect(to).await?;
            if to != self.discovery {
                return Ok(stream);
            }
            self.meter.discovery_connections.fetch_add(1, Ordering::Relaxed);
            let meter = self.meter.clone();
            Ok(Box::new(MeteredStream { stream, meter }) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Tcp.listen(at)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let datagrams = Tcp.datagrams(at)?;
        Ok(Box::new(MeteredDatagrams { datagrams, meter: self.meter.clone() }))
    }

    fn unix_now(&self) -> Duration {
        Tcp.unix_now()
    }
}

/// A connection to discovery.
struct MeteredStream {
    stream: Box<dyn Stream>,
    meter: Arc<Meter>,
}

impl Stream for MeteredStream {
    fn is_quiet(&self) -> bool {
        self.stream.is_quiet()
    }

    fn has_ended(&self) -> bool {
        self.stream.has_ended()
    }

    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.stream.poll_unread(cx)
    }

    fn since_last_bytes(&self) -> Option<Duration> {
        self.stream.since_last_bytes()
    }

    fn reset(self: Box<Self>) {
        self.stream.reset();
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.meter.discovery_bytes.fetch_add(read as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The socket for peers.
struct MeteredDatagrams {
    datagrams: Box<dyn Datagrams>,
    meter: Arc<Meter>,
}

impl Datagrams for MeteredDatagrams {
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        let (length, from) = ready!(self.datagrams.poll_receive(cx, into))?;
        self.meter.datagrams_received.fetch_add(1, Ordering::Relaxed);
        self.meter.datagram_bytes.fetch_add(length as u64, Ordering::Relaxed);
        Poll::Ready(Ok((length, from)))
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.datagrams.send(bytes, to)?;
        self.meter.datagrams_sent.fetch_add(1, Ordering::Relaxed);
        self.meter.datagram_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    fn local_addr(&self) -> SocketAddr {
        self.datagrams.local_addr()
    }
}
