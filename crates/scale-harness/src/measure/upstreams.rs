//! Stand-in upstreams that answer every request at once, on a thread of their own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hollowpaddle_net::{Listener, Network, Stream, Tcp, accept};
use hollowpaddle_rehearsal::wire::{Direction, Exchange};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::background::Background;

/// Pause after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Running upstreams. Dropped, they end.
pub(super) struct StandInUpstreams {
    addresses: Vec<SocketAddr>,
    connections: Arc<AtomicU64>,
    _thread: Background,
}

impl StandInUpstreams {
    /// Starts so many, each at a loopback port of its own.
    pub(super) fn start(count: usize) -> io::Result<Self> {
        let connections = Arc::new(AtomicU64::new(0));
        let accepted = connections.clone();
        let (thread, addresses) = Background::start("upstreams", move || listen(count, &accepted))?;
        Ok(Self { addresses, connections, _thread: thread })
    }

    /// Where each listens.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Connections accepted so far by all of them.
    pub(super) fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Begins to serve at so many ports, and returns their addresses.
fn listen(count: usize, connections: &Arc<AtomicU64>) -> io::Result<Vec<SocketAddr>> {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = Tcp.listen(loopback)?;
        addresses.push(listener.local_addr());
        spawn_local(accept_all(listener, connections.clone()));
    }
    Ok(addresses)
}

async fn accept_all(mut listener: Box<dyn Listener>, connections: Arc<AtomicU64>) {
    loop {
        match accept(&mut *listener).await {
            Ok((stream, _)) => {
                connections.fetch_add(1, Ordering::Relaxed);
                spawn_local(answer_all(stream));
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Answers each request on one connection until its caller leaves.
async fn answer_all(stream: Box<dyn Stream>) {
    let mut talk = Exchange::new(stream);
    while talk.message(Direction::Requests).await.is_ok() {
        if talk.write(ANSWER).await.is_err() {
            return;
        }
    }
}
