//! The machine's own network: TCP connections and listeners. Datagrams are in the module `udp`.

mod info;

use std::io::{self, ErrorKind, IoSlice, Read};
use std::mem::{self, MaybeUninit};
use std::net::SocketAddr;
use std::os::fd::FromRawFd;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::{Datagrams, Listener, LocalBoxFuture, Network, Stream, is_transient};

/// Largest number of connections that wait to be accepted. If more clients connect at once, their SYNs are lost, and are
/// retransmitted only after a second.
const BACKLOG: i32 = 1024;

/// The machine's own network, used through the calling task's runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            Ok(Box::new(Connection::new(stream)) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let domain = if at.is_ipv4() { socket2::Domain::IPV4 } else { socket2::Domain::IPV6 };
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        // Connections of a previous listener may still linger at the address.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        BoundListener::from_socket(socket)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        Ok(Box::new(crate::udp::Udp::bind(at)?))
    }

    fn unix_now(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

impl Tcp {
    /// Returns a listener for a bound and listening socket that this process inherited as this descriptor.
    ///
    /// Takes ownership of the descriptor. Must be called once, before any other code can have reused the descriptor's number.
    ///
    /// # Errors
    /// The descriptor is not open, or is not a listening socket.
    pub fn inherited(descriptor: i32) -> io::Result<Box<dyn Listener>> {
        let not_listening = || io::Error::new(ErrorKind::InvalidInput, "no listening socket");
        let link = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))?;
        if !link.to_string_lossy().starts_with("socket:") {
            return Err(not_listening());
        }
        // SAFETY: the descriptor is open, as the check above shows, and no other code in this process owns it, since it was
        // inherited.
        #[allow(unsafe_code)]
        let socket = unsafe { std::os::fd::OwnedFd::from_raw_fd(descriptor) };
        let socket = socket2::Socket::from(socket);
        if !socket.is_listener()? {
            return Err(not_listening());
        }
        socket.set_cloexec(true)?;
        socket.set_nonblocking(true)?;
        BoundListener::from_socket(socket)
    }
}

/// A TCP connection.
///
/// After a short read or write, tokio assumes that the kernel is not ready, and waits for the next event. Linux does not
/// guarantee this, so the next call that would wait first makes one system call of its own.
struct Connection {
    stream: TcpStream,
    was_read_short: bool,
    was_write_short: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        // If this fails, small writes are delayed, but the connection can be used.
        let _ = stream.set_nodelay(true);
        Self { stream, was_read_short: false, was_write_short: false }
    }

    /// Peeks at the received bytes. Returns `None` if there are none, or if the call failed with a transient error.
    fn peek(&self) -> Option<io::Result<usize>> {
        loop {
            match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) if is_transient(&cause) => return None,
                result => return Some(result),
            }
        }
    }

    /// Writes once: by `poll_write` of tokio, or by `write_once` if the previous write was short and tokio would wait.
    fn write(
        &mut self,
        length: usize,
        mut poll_write: impl FnMut(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
        write_once: impl Fn(&SockRef<'_>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let written = match poll_write(Pin::new(&mut self.stream)) {
                Poll::Pending if mem::take(&mut self.was_write_short) => {
                    match write_once(&SockRef::from(&self.stream)) {
                        Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                            return Poll::Pending;
                        }
                        written => written,
                    }
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(written) => written,
            };
            match written {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Ok(bytes) => {
                    self.was_write_short = bytes < length;
                    return Poll::Ready(Ok(bytes));
                }
                Err(cause) => return Poll::Ready(Err(cause)),
            }
        }
    }
}

impl Stream for Connection {
    fn is_quiet(&self) -> bool {
        self.peek().is_none()
    }

    fn has_ended(&self) -> bool {
        // The poller reports the end even if bytes are unread. The closure requests no data, so this costs no system call.
        #[cfg(target_os = "linux")]
        if self.stream.try_io(tokio::io::Interest::PRIORITY, || Ok(())).is_ok() {
            return true;
        }
        self.peek().is_some_and(|result| !result.is_ok_and(|bytes| bytes > 0))
    }

    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut byte = [MaybeUninit::uninit()];
            match ready!(self.stream.poll_peek(cx, &mut ReadBuf::uninit(&mut byte))) {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                _ => return Poll::Ready(()),
            }
        }
    }

    fn since_last_bytes(&self) -> Option<Duration> {
        info::since_last_data(&self.stream)
    }

    fn reset(self: Box<Self>) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let capacity = buf.remaining();
        loop {
            let read = match Pin::new(&mut self.stream).poll_read(cx, buf) {
                Poll::Pending if mem::take(&mut self.was_read_short) => {
                    match (&*SockRef::from(&self.stream)).read(buf.initialize_unfilled()) {
                        Ok(bytes) => {
                            buf.advance(bytes);
                            Ok(())
                        }
                        Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                            return Poll::Pending;
                        }
                        Err(cause) => Err(cause),
                    }
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(read) => read,
            };
            match read {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return Poll::Ready(Err(cause)),
                Ok(()) => {
                    self.was_read_short = (1..capacity).contains(&(capacity - buf.remaining()));
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(buf.len(), |stream| stream.poll_write(cx, buf), |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = bufs.iter().map(|buf| buf.len()).sum();
        let poll_write = |stream: Pin<&mut TcpStream>| stream.poll_write_vectored(cx, bufs);
        self.write(length, poll_write, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A listening socket.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
    /// Connections of this process that fill the backlog while the listener is silent.
    fillers: Vec<socket2::Socket>,
    is_silent: bool,
    accept_waker: Option<Waker>,
}

impl BoundListener {
    fn from_socket(socket: socket2::Socket) -> io::Result<Box<dyn Listener>> {
        let listener = TcpListener::from_std(socket.into())?;
        let address = listener.local_addr()?;
        Ok(Box::new(Self {
            listener,
            address,
            fillers: Vec::new(),
            is_silent: false,
            accept_waker: None,
        }))
    }
}

/// Number of connections that fill a backlog of 0. Linux accepts one more than the size of the backlog, and a few further
/// attempts cost nothing.
const FILLER_COUNT: usize = 4;

impl Listener for BoundListener {
    fn poll_accept(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(Box<dyn Stream>, SocketAddr)>> {
        // While the listener is silent, accepting would free a place in the backlog.
        if self.is_silent {
            self.accept_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let (stream, peer) = ready!(self.listener.poll_accept(cx))?;
        Poll::Ready(Ok((Box::new(Connection::new(stream)), peer)))
    }

    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Fills the backlog, so that the kernel silently drops each SYN. This requires no privilege.
    fn set_silent(&mut self, silent: bool) {
        if std::mem::replace(&mut self.is_silent, silent) == silent {
            return;
        }
        let socket = SockRef::from(&self.listener);
        if !silent {
            self.fillers.clear();
            let _ = socket.listen(BACKLOG);
            self.accept_waker.take().into_iter().for_each(Waker::wake);
            return;
        }
        let _ = socket.listen(0);
        for _ in 0..FILLER_COUNT {
            let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let Ok(filler) = filler else { return };
            let _ = filler.set_nonblocking(true);
            let _ = filler.connect(&self.address.into());
            self.fillers.push(filler);
        }
    }
}

#[cfg(test)]
mod tests;
