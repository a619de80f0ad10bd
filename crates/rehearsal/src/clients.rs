//! Stand-in clients, and the front end that distributes them over the balancers of their zone.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::record::Observation;
use crate::run_context::{Host, RunContext};
use crate::scenario::Effect;
use crate::wire::{ConnectionEnd, Direction, Exchange, Message};

/// Time after its deadline for which a client still accepts an answer: the network round trip and
/// scheduling delays. An answer later than this violates rule 1.
pub const ANSWER_GRACE: Duration = Duration::from_millis(50);
/// Timeout of a connection to a balancer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between readiness checks of a new balancer.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// A persistent connection to a balancer.
struct PooledConnection {
    exchange: Exchange,
    /// The start of the balancer that accepted the connection.
    start: u32,
    /// The last request on this connection.
    last: Option<u32>,
}

/// The outcome of a request for its client.
enum RequestOutcome {
    /// The request was served, or its client has gone.
    Finished,
    /// The request never ran; `retry_after` is the advised delay, if any.
    NotRun { retry_after: Option<Duration> },
    /// The request was not served, and may have run.
    Failed,
}

struct BalancerPool {
    address: Cell<SocketAddr>,
    in_rotation: Cell<bool>,
    idle: RefCell<Vec<PooledConnection>>,
    permits: Semaphore,
}

/// All clients and their front end.
pub struct Clients {
    context: Rc<RunContext>,
    pools: Vec<BalancerPool>,
}

impl Clients {
    /// Creates the clients, with no balancer in rotation.
    pub fn new(context: &Rc<RunContext>) -> Rc<Self> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let pool = |_| BalancerPool {
            address: Cell::new(nowhere),
            in_rotation: Cell::new(false),
            idle: RefCell::default(),
            permits: Semaphore::new(context.scenario.clients.connections as usize),
        };
        let pools = (0..context.scenario.cluster.count).map(pool).collect();
        Rc::new(Self { context: context.clone(), pools })
    }

    /// Polls a started balancer until it is ready, and puts it into rotation. Stops when the
    /// balancer has been started again meanwhile.
    pub async fn await_ready(&self, balancer: usize, address: SocketAddr, start: u32) {
        self.pools[balancer].address.set(address);
        let network = self.context.testbed.network(Host::Clients(balancer));
        while self.context.start_of(balancer) == start {
            let readiness_check = async {
                let mut exchange = Exchange::new(network.connect(address).await.ok()?);
                let request = b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n";
                exchange.write(request).await.ok()?;
                exchange.message(Direction::Responses).await.ok()
            };
            let answer = timeout(READY_TIMEOUT, readiness_check).await;
            if matches!(answer, Ok(Some(m)) if m.status() == 200) {
                if self.context.start_of(balancer) == start && !self.in_rotation(balancer) {
                    self.context.record.saw(Observation::Ready { balancer, start });
                    self.pools[balancer].in_rotation.set(true);
                }
                return;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Takes a balancer out of rotation, since the front end has noticed that it is gone.
    pub fn remove_from_rotation(&self, balancer: usize) {
        self.pools[balancer].in_rotation.set(false);
    }

    /// Returns whether the front end sends requests to a balancer.
    pub fn in_rotation(&self, balancer: usize) -> bool {
        self.pools[balancer].in_rotation.get()
    }

    /// Returns the balancer for a request: one of those in rotation. Requests of a user session go
    /// to a balancer of the session's zone, as long as there is one in rotation.
    fn choose(&self, request: u32) -> Option<usize> {
        let mut all: Vec<usize> = (0..self.pools.len()).filter(|b| self.in_rotation(*b)).collect();
        if let Some((_, session_zone)) = self.context.arrival(request).session {
            let (cluster, fleet) = (&self.context.scenario.cluster, &self.context.scenario.fleet);
            let in_zone = |b: &usize| cluster.zone_of(*b, fleet) == session_zone;
            if all.iter().any(in_zone) {
                all.retain(in_zone);
            }
        }
        let sample = self.context.arrival(request).balancer_sample;
        (!all.is_empty()).then(|| all[(sample % all.len() as u64) as usize])
    }

    /// Sends one client's request and its repeats, until the final outcome.
    pub async fn send_with_repeats(self: Rc<Self>, first: u32) {
        let context = &self.context;
        context.open.set(context.open.get() + 1);
        let (class, repeats) = (context.class(first), &context.scenario.clients.repeats);
        let deadline = Instant::now() + class.deadline;
        let mut request = first;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let outcome = match self.choose(request) {
                Some(balancer) => self.send_once(balancer, request, left).await,
                None => self.unreachable(usize::MAX, request),
            };
            // A request that may have run is repeated only if that is safe.
            let repeatable = match outcome {
                RequestOutcome::Finished => false,
                RequestOutcome::NotRun { .. } => true,
                RequestOutcome::Failed => class.effect != Effect::Unsafe,
            };
            let Some(next) = context.arrival(request).next_repeat.filter(|_| repeatable) else {
                break;
            };
            let advised_delay = if let RequestOutcome::NotRun { retry_after } = outcome {
                retry_after
            } else {
                None
            };
            let sample = (context.arrival(next).balancer_sample >> 32) as f64 / f64::from(u32::MAX);
            let wait = repeats.wait.mul_f64(0.5 + sample);
            let wait = advised_delay.filter(|_| repeats.honors_retry_after).unwrap_or(wait);
            if Instant::now() + wait >= deadline {
                break;
            }
            sleep(wait).await;
            request = next;
        }
        context.open.set(context.open.get() - 1);
    }

    fn unreachable(&self, balancer: usize, request: u32) -> RequestOutcome {
        self.context.record.saw(Observation::Unreachable { request, balancer });
        RequestOutcome::NotRun { retry_after: None }
    }

    /// Sends a request once; the client waits for `left`.
    async fn send_once(&self, balancer: usize, request: u32, left: Duration) -> RequestOutcome {
        let context = &self.context;
        let pool = &self.pools[balancer];
        // A client arrives only when a connection is free.
        let Ok(_permit) = pool.permits.acquire().await else { return RequestOutcome::Finished };
        let mut again = false;
        loop {
            let connection = if again { None } else { self.idle(balancer).await };
            let reused = connection.is_some();
            let connection = match connection {
                Some(connection) => Some(connection),
                None => self.connect(balancer).await,
            };
            let Some(mut connection) = connection else {
                return self.unreachable(balancer, request);
            };
            let text = context.request_text(request, left);
            if connection.exchange.write(text.as_bytes()).await.is_err() {
                if reused {
                    again = true;
                    continue; // The connection was closed before the request was sent.
                }
                return self.unreachable(balancer, request);
            }
            let start = connection.start;
            let class_index = context.arrival(request).class;
            context.record.saw(Observation::Sent {
                request,
                balancer,
                start,
                class: class_index,
                resent: again,
            });
            connection.last = Some(request);
            let (sent, abandoned_after) =
                (Instant::now(), context.arrival(request).abandoned_after);
            let answer = timeout_at(sent + left + ANSWER_GRACE, async {
                tokio::select! {
                    biased;
                    answer = connection.exchange.message(Direction::Responses) => Some(answer),
                    () = async {
                        match abandoned_after {
                            Some(after) => sleep_until(sent + after).await,
                            None => std::future::pending().await,
                        }
                    } => None,
                }
            });
            match answer.await {
                Err(_) => {
                    context.record.saw(Observation::ClientTimedOut { request });
                    return RequestOutcome::Failed;
                }
                Ok(None) => {
                    context.record.saw(Observation::ClientLeft { request });
                    return RequestOutcome::Finished;
                }
                Ok(Some(Ok(message))) => {
                    let outcome = self.record_answer(request, &message);
                    if connection.exchange.left_over() > 0 {
                        let bytes = connection.exchange.left_over();
                        let request = Some(request);
                        context.record.saw(Observation::UnsolicitedBytes {
                            balancer,
                            request,
                            bytes,
                        });
                    } else if !message.closes() {
                        pool.idle.borrow_mut().push(connection);
                    }
                    return outcome;
                }
                // The request crossed with the close of an idle connection.
                Ok(Some(Err(
                    ConnectionEnd::Closed { inside: false }
                    | ConnectionEnd::Reset { inside: false },
                ))) if reused && !again => again = true,
                Ok(Some(Err(
                    ConnectionEnd::Closed { inside } | ConnectionEnd::Reset { inside },
                ))) => {
                    context.record.saw(Observation::Broken { request, begun: inside });
                    return RequestOutcome::Failed;
                }
                Ok(Some(Err(ConnectionEnd::Malformed(_)))) => {
                    context.record.saw(Observation::Broken { request, begun: true });
                    return RequestOutcome::Failed;
                }
            }
        }
    }

    fn record_answer(&self, request: u32, message: &Message) -> RequestOutcome {
        // The body of an upstream's answer holds the request's id and the attempt.
        let text = String::from_utf8_lossy(&message.body);
        let attempt = match text.split_once(' ') {
            Some((id, attempt)) if id == self.context.arrival(request).id => attempt.parse().ok(),
            _ => None,
        };
        let seconds = message.header("retry-after").and_then(|v| v.trim().parse::<f64>().ok());
        let retry_after_ms = seconds.map(|s| (s * 1e3) as u64);
        let status = message.status();
        self.context.record.saw(Observation::Answered { request, status, attempt, retry_after_ms });
        match status {
            200 => RequestOutcome::Finished,
            429 | 503 => {
                RequestOutcome::NotRun { retry_after: retry_after_ms.map(Duration::from_millis) }
            }
            _ => RequestOutcome::Failed,
        }
    }

    /// Returns an idle connection without unread data. A connection on which unexpected data came
    /// is recorded and dropped.
    async fn idle(&self, balancer: usize) -> Option<PooledConnection> {
        loop {
            let mut connection = self.pools[balancer].idle.borrow_mut().pop()?;
            if connection.exchange.is_quiet() {
                return Some(connection);
            }
            self.record_unexpected_bytes(balancer, &mut connection).await;
        }
    }

    /// Records the bytes that came on a connection without an open request.
    async fn record_unexpected_bytes(&self, balancer: usize, connection: &mut PooledConnection) {
        let bytes = connection.exchange.drain(Duration::ZERO).await;
        if bytes > 0 {
            self.context.record.saw(Observation::UnsolicitedBytes {
                balancer,
                request: connection.last,
                bytes,
            });
        }
    }

    async fn connect(&self, balancer: usize) -> Option<PooledConnection> {
        let start = self.context.start_of(balancer);
        let network = self.context.testbed.network(Host::Clients(balancer));
        let stream = timeout(CONNECT_TIMEOUT, network.connect(self.pools[balancer].address.get()));
        let exchange = Exchange::new(stream.await.ok()?.ok()?);
        Some(PooledConnection { exchange, start, last: None })
    }

    /// Records unexpected bytes on all idle connections at the end of a run, and closes them.
    pub async fn finish(&self) {
        for (balancer, pool) in self.pools.iter().enumerate() {
            let connection = pool.idle.take();
            for mut connection in connection {
                self.record_unexpected_bytes(balancer, &mut connection).await;
            }
        }
    }
}
