//! Simulated upstreams, which serve requests and show the usual faults of servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep, timeout};

use crate::ledger::{Attempt, AttemptOutcome, SharedLedger, lock};
use crate::message::{Head, read_body, read_head};
use crate::random::Random;
use crate::settings::{CONCURRENCY, INITIAL_CAPACITY, SERVICE_TIME, WARM_UP};

/// Probability of each kind of fault, for each request.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// The upstream executes the request and responds with status 500.
    pub error_status: f64,
    /// The upstream rejects the request without executing it.
    pub rejection: f64,
    /// The upstream resets the connection before it reads the body.
    pub early_reset: f64,
    /// The upstream resets the connection after executing the request.
    pub late_reset: f64,
    /// The upstream executes the request and never responds.
    pub no_response: f64,
    /// The upstream closes the connection right after the response, without a `Connection: close` header.
    pub unannounced_close: f64,
    /// The upstream writes unsolicited bytes after the response.
    pub stray_bytes: f64,
    /// Delay between the response and the unsolicited bytes.
    pub stray_after: Duration,
    /// The upstream sends fewer bytes than its `Content-Length` and closes the connection.
    pub truncation: f64,
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
    fault_rates: FaultRates,
    random: Mutex<Random>,
    slots: Semaphore,
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
        fault_rates: FaultRates,
        random: Random,
        ledger: SharedLedger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Shared {
            ledger,
            fault_rates,
            random: Mutex::new(random),
            slots: Semaphore::new(CONCURRENCY),
            started: Mutex::default(),
            generation: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
        };
        let this = Self { id, address: listener.local_addr()?, cell, shared: Arc::new(shared) };
        let serving = this.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serving.clone().serve_connection(stream));
            }
        });
        Ok(this)
    }

    /// Restarts the upstream: all connections close and it warms up again.
    pub async fn restart(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        *self.shared.started.lock().await = Some(now);
        lock(&self.shared.ledger).upstream_restarts.push((self.id.clone(), now));
    }

    /// Sets whether the upstream sends nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::Relaxed);
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let generation = self.shared.generation.load(Ordering::Relaxed);
        let mut attempt_positions = Vec::new();
        loop {
            let ended =
                self.serve_request(&mut stream, generation, &mut attempt_positions).await.is_none();
            if ended {
                break;
            }
        }
        let now = Instant::now();
        let mut ledger = lock(&self.shared.ledger);
        for at in attempt_positions {
            let attempt: &mut Attempt = &mut ledger.attempts[at];
            attempt.over = attempt.over.or(Some(now));
        }
    }

    /// Serves one request. Returns `None` if the connection has ended.
    async fn serve_request(
        &self,
        stream: &mut TcpStream,
        generation: u64,
        attempt_positions: &mut Vec<usize>,
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
        let at = self.record_attempt(&head);
        attempt_positions.push(at);
        let fault_rates = self.shared.fault_rates;
        let samples = {
            let mut random = self.shared.random.lock().await;
            [(); 8].map(|()| random.fraction())
        };
        let [error_status, away, early, late, no_response, closes, more, short] = samples;
        if early < fault_rates.early_reset {
            let _ = stream.set_zero_linger();
            return None;
        }
        read_body(stream, head.length()).await.ok()?;
        self.update_attempt(at, |attempt| attempt.whole = Some(Instant::now()));
        if away < fault_rates.rejection {
            self.update_attempt(at, |attempt| attempt.fate = AttemptOutcome::TurnedAway);
            stream
                .write_all(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                .await
                .ok()?;
            self.update_attempt(at, |attempt| attempt.over = Some(Instant::now()));
            return Some(());
        }
        self.update_attempt(at, |attempt| attempt.fate = AttemptOutcome::Ran);
        self.work().await;
        if self.shared.is_silent.load(Ordering::Relaxed) || no_response < fault_rates.no_response {
            sleep(Duration::from_secs(5)).await;
            return None;
        }
        if late < fault_rates.late_reset {
            let _ = stream.set_zero_linger();
            return None;
        }
        let status = if error_status < fault_rates.error_status { "500 Error" } else { "200 OK" };
        let body = format!("{} {}", head.header("x-request-id"), self.id);
        let length = body.len() + if short < fault_rates.truncation { 10 } else { 0 };
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.ok()?;
        self.update_attempt(at, |attempt| attempt.over = Some(Instant::now()));
        if short < fault_rates.truncation || closes < fault_rates.unannounced_close {
            return None;
        }
        if more < fault_rates.stray_bytes {
            sleep(fault_rates.stray_after).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray").await;
        }
        Some(())
    }

    fn record_attempt(&self, head: &Head) -> usize {
        let attempt = Attempt {
            id: head.header("x-request-id").to_string(),
            upstream: self.id.clone(),
            cell: self.cell,
            begun: head.begun,
            whole: None,
            over: None,
            announced_ms: head.header("x-deadline-ms").parse().unwrap_or(u64::MAX),
            fate: AttemptOutcome::NotWhole,
        };
        let mut ledger = lock(&self.shared.ledger);
        ledger.attempts.push(attempt);
        ledger.attempts.len() - 1
    }

    fn update_attempt(&self, at: usize, update: impl FnOnce(&mut Attempt)) {
        update(&mut lock(&self.shared.ledger).attempts[at]);
    }

    /// Executes a request in one of the concurrent slots. It takes longer while the upstream is warming up.
    async fn work(&self) {
        let age = self.shared.started.lock().await.map_or(WARM_UP, |started| started.elapsed());
        let warmth = (age.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmth;
        let Ok(_slot) = self.shared.slots.acquire().await else { return };
        sleep(SERVICE_TIME.div_f64(capacity)).await;
    }
}
