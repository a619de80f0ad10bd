//! Stand-in upstreams that answer every request at once, on a thread of their own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use hollowpaddle_net::{Listener, Network, Stream, Tcp, accept};
use hollowpaddle_rehearsal::wire::{Side, Talk};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Pause after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Running upstreams. Dropped, they end.
pub(super) struct StandInUpstreams {
    addresses: Vec<SocketAddr>,
    connections: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl StandInUpstreams {
    /// Starts so many, each at a loopback port of its own.
    pub(super) fn start(count: usize) -> io::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let (report, started) = mpsc::channel();
        let connections = Arc::new(AtomicU64::new(0));
        let accepted = connections.clone();
        let thread = std::thread::Builder::new().name("upstreams".into()).spawn(move || {
            run(count, &accepted, stopped, &report);
        })?;
        let ended = || io::Error::other("the upstreams' thread ended before it listened");
        let addresses = started.recv().map_err(|_| ended())??;
        Ok(Self { addresses, connections, stop, thread: Some(thread) })
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

impl Drop for StandInUpstreams {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The thread's body: serves until it is told to stop.
fn run(
    count: usize,
    connections: &Arc<AtomicU64>,
    mut stopped: watch::Receiver<bool>,
    report: &mpsc::Sender<io::Result<Vec<SocketAddr>>>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(cause) => return drop(report.send(Err(cause))),
    };
    LocalSet::new().block_on(&runtime, async move {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listeners: io::Result<Vec<_>> = (0..count).map(|_| Tcp.listen(loopback)).collect();
        let listeners = match listeners {
            Ok(listeners) => listeners,
            Err(cause) => return drop(report.send(Err(cause))),
        };
        let addresses = listeners.iter().map(|listener| listener.local_addr()).collect();
        for listener in listeners {
            spawn_local(accept_all(listener, connections.clone()));
        }
        let _ = report.send(Ok(addresses));
        let _ = stopped.changed().await;
    });
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
    let mut talk = Talk::new(stream);
    while talk.message(Side::Requests).await.is_ok() {
        if talk.write(ANSWER).await.is_err() {
            return;
        }
    }
}
