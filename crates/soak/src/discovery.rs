//! Simulated discovery of one balancer: watches on the list of upstreams, which can be closed, silenced or rejected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::ledger::{SharedLedger, lock};
use crate::message::read_head;
use crate::upstream_list::{Member, Phase, UpstreamList};

/// Interval of the empty lines that a watch gets while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which a watch checks whether to close or to stop sending.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The discovery service of one balancer.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Address on which discovery listens.
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    /// Watches up to this number send nothing more.
    silent_up_to: Arc<AtomicU64>,
    /// Watches up to this number are closed.
    cut_up_to: Arc<AtomicU64>,
    opened_count: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts the service for this balancer.
    pub async fn start(
        balancer: usize,
        upstream_list: UpstreamList,
        ledger: SharedLedger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let this = Self {
            address: listener.local_addr()?,
            is_down: Arc::default(),
            silent_up_to: Arc::default(),
            cut_up_to: Arc::default(),
            opened_count: Arc::default(),
        };
        let serving = this.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = serving.opened_count.fetch_add(1, Ordering::Relaxed) + 1;
                let watch = Watch {
                    balancer,
                    number,
                    upstream_list: upstream_list.clone(),
                    ledger: ledger.clone(),
                    discovery: serving.clone(),
                };
                tokio::spawn(watch.serve(stream));
            }
        });
        Ok(this)
    }

    /// Sets whether discovery is unavailable, so that watches end and calls fail.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        if is_down {
            self.cut();
        }
    }

    /// Closes all open watches.
    pub fn cut(&self) {
        self.cut_up_to.store(self.opened_count.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Makes all open watches send nothing more.
    pub fn silence(&self) {
        self.silent_up_to.store(self.opened_count.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

/// A watch of the balancer on the list.
struct Watch {
    balancer: usize,
    number: u64,
    upstream_list: UpstreamList,
    ledger: SharedLedger,
    discovery: Discovery,
}

impl Watch {
    async fn serve(self, mut stream: TcpStream) {
        let _ = self.follow(&mut stream).await;
    }

    /// Sends the list and its changes until the watch ends.
    async fn follow(&self, stream: &mut TcpStream) -> Option<()> {
        let request = read_head(stream).await.ok()?;
        if self.discovery.is_down.load(Ordering::Relaxed) {
            let _ = stream.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n").await;
            return None;
        }
        let index =
            request.lines.first()?.split("index=").nth(1)?.split(' ').next()?.parse().ok()?;
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut changes = self.upstream_list.changes();
        let (mut revision, first, members) = self.upstream_list.since(index);
        self.send_update(stream, &first, &members).await?;
        let mut last_written = Instant::now();
        loop {
            if self.number <= self.discovery.cut_up_to.load(Ordering::Relaxed) {
                return None;
            }
            if self.number <= self.discovery.silent_up_to.load(Ordering::Relaxed) {
                // The connection stays open.
                sleep(Duration::from_secs(60)).await;
                return None;
            }
            let is_changed = timeout(CHECK_INTERVAL, changes.changed()).await.is_ok();
            if is_changed {
                let (newer, text, members) = self.upstream_list.since(revision);
                revision = newer;
                self.send_update(stream, &text, &members).await?;
                last_written = Instant::now();
            } else if last_written.elapsed() >= HEARTBEAT_INTERVAL {
                write_chunk(stream, "\n").await?;
                last_written = Instant::now();
            }
        }
    }

    async fn send_update(
        &self,
        stream: &mut TcpStream,
        text: &Value,
        members: &[Member],
    ) -> Option<()> {
        write_chunk(stream, &format!("{text}\n")).await?;
        let now = Instant::now();
        let mut ledger = lock(&self.ledger);
        for member in members {
            ledger.record_notification(
                self.balancer,
                &member.id,
                member.phase == Phase::Serving,
                now,
            );
        }
        Some(())
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).await.ok()
}
