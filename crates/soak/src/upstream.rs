//! Simulated upstreams, which serve requests and show the usual faults of servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep, timeout};

use crate::ledger::{Attempt, Fate, SharedLedger, locked};
use crate::message::{Head, read_body, read_head};
use crate::random::Random;
use crate::settings::{COLD, COLD_FROM, LANES, SERVICE};

/// Probability of each kind of fault, for each request.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    /// The upstream executes the request and responds with status 500.
    pub errs: f64,
    /// The upstream rejects the request without executing it.
    pub turns_away: f64,
    /// The upstream resets the connection before it reads the body.
    pub resets_early: f64,
    /// The upstream resets the connection after executing the request.
    pub resets_late: f64,
    /// The upstream executes the request and never responds.
    pub hangs: f64,
    /// The upstream closes the connection right after the response, without a `Connection: close` header.
    pub closes_behind: f64,
    /// The upstream writes unsolicited bytes after the response.
    pub writes_more: f64,
    /// Delay between the response and the unsolicited bytes.
    pub writes_more_after: Duration,
    /// The upstream sends fewer bytes than its `Content-Length` and closes the connection.
    pub cuts_short: f64,
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// ID of the upstream, the same for all balancers.
    pub id: String,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// The upstream's cell.
    pub cell: u32,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    ledger: SharedLedger,
    manners: Manners,
    random: Mutex<Random>,
    lanes: Semaphore,
    started: Mutex<Option<Instant>>,
    /// Number of restarts. Connections of an earlier generation are closed.
    generation: AtomicU64,
    /// Whether the upstream accepts connections and sends nothing, like a machine that has lost its network.
    is_silent: AtomicBool,
}

impl Upstream {
    /// Starts a warm upstream.
    pub async fn start(
        id: String,
        cell: u32,
        manners: Manners,
        random: Random,
        ledger: SharedLedger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Shared {
            ledger,
            manners,
            random: Mutex::new(random),
            lanes: Semaphore::new(LANES),
            started: Mutex::default(),
            generation: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
        };
        let this = Self { id, address: listener.local_addr()?, cell, shared: Arc::new(shared) };
        let serving = this.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serving.clone().converse(stream));
            }
        });
        Ok(this)
    }

    /// Restarts the upstream: all connections close and it warms up again.
    pub async fn restart(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        *self.shared.started.lock().await = Some(now);
        locked(&self.shared.ledger).starts.push((self.id.clone(), now));
    }

    /// Sets whether the upstream sends nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::Relaxed);
    }

    async fn converse(self, mut stream: TcpStream) {
        let generation = self.shared.generation.load(Ordering::Relaxed);
        let mut own = Vec::new();
        loop {
            let ended = self.one(&mut stream, generation, &mut own).await.is_none();
            if ended {
                break;
            }
        }
        let now = Instant::now();
        let mut ledger = locked(&self.shared.ledger);
        for at in own {
            let attempt: &mut Attempt = &mut ledger.attempts[at];
            attempt.over = attempt.over.or(Some(now));
        }
    }

    /// Serves one request. Returns `None` if the connection has ended.
    async fn one(
        &self,
        stream: &mut TcpStream,
        generation: u64,
        own: &mut Vec<usize>,
    ) -> Option<()> {
        let head = loop {
            match timeout(Duration::from_millis(50), stream.readable()).await {
                Ok(readable) => {
                    readable.ok()?;
                    break read_head(stream).await.ok()?;
                }
                Err(_) if self.shared.generation.load(Ordering::Relaxed) != generation => {
                    return None;
                }
                Err(_) => {}
            }
        };
        let at = self.begin(&head);
        own.push(at);
        let manners = self.shared.manners;
        let draws = {
            let mut random = self.shared.random.lock().await;
            [(); 8].map(|()| random.share())
        };
        let [errs, away, early, late, hangs, closes, more, short] = draws;
        if early < manners.resets_early {
            let _ = stream.set_zero_linger();
            return None;
        }
        read_body(stream, head.length()).await.ok()?;
        self.change(at, |attempt| attempt.whole = Some(Instant::now()));
        if away < manners.turns_away {
            self.change(at, |attempt| attempt.fate = Fate::TurnedAway);
            stream
                .write_all(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                .await
                .ok()?;
            self.change(at, |attempt| attempt.over = Some(Instant::now()));
            return Some(());
        }
        self.change(at, |attempt| attempt.fate = Fate::Ran);
        self.work().await;
        if self.shared.is_silent.load(Ordering::Relaxed) || hangs < manners.hangs {
            sleep(Duration::from_secs(5)).await;
            return None;
        }
        if late < manners.resets_late {
            let _ = stream.set_zero_linger();
            return None;
        }
        let status = if errs < manners.errs { "500 Error" } else { "200 OK" };
        let body = format!("{} {}", head.header("x-request-id"), self.id);
        let length = body.len() + if short < manners.cuts_short { 10 } else { 0 };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.ok()?;
        self.change(at, |attempt| attempt.over = Some(Instant::now()));
        if short < manners.cuts_short || closes < manners.closes_behind {
            return None;
        }
        if more < manners.writes_more {
            sleep(manners.writes_more_after).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray").await;
        }
        Some(())
    }

    fn begin(&self, head: &Head) -> usize {
        let attempt = Attempt {
            id: head.header("x-request-id").to_string(),
            upstream: self.id.clone(),
            cell: self.cell,
            begun: head.begun,
            whole: None,
            over: None,
            announced_ms: head.header("x-deadline-ms").parse().unwrap_or(u64::MAX),
            fate: Fate::NotWhole,
        };
        let mut ledger = locked(&self.shared.ledger);
        ledger.attempts.push(attempt);
        ledger.attempts.len() - 1
    }

    fn change(&self, at: usize, change: impl FnOnce(&mut Attempt)) {
        change(&mut locked(&self.shared.ledger).attempts[at]);
    }

    /// Executes a request in one of the concurrent slots. It takes longer while the upstream is warming up.
    async fn work(&self) {
        let age = self.shared.started.lock().await.map_or(COLD, |started| started.elapsed());
        let warmth = (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0);
        let share = COLD_FROM + (1.0 - COLD_FROM) * warmth;
        let Ok(_lane) = self.shared.lanes.acquire().await else { return };
        sleep(SERVICE.div_f64(share)).await;
    }
}
