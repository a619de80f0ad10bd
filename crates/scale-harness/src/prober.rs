//! Publishes changes that replace the canary, and asks balancers by requests which canary they send to: the
//! time from a change to its being in force, and requests that went to a canary after its grace.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::canary::{Canaries, CanaryNumber, ProbeAnswer, is_ready, probe};
use crate::discovery::Discovery;
use crate::fleet::{DRAIN_GRACE_MS, ListEntry, Phase};

/// Probes that are under way at once: more would wait in the balancers' queues and be measured there.
const CONCURRENT_PROBES: usize = 64;
/// Wait before a balancer that did not answer as expected is probed again; it grows up to the longest.
const FIRST_RETRY: Duration = Duration::from_millis(10);
/// The longest wait between two probes of one balancer.
const LONGEST_RETRY: Duration = Duration::from_millis(100);
/// What is added to each time limit of the rules on sockets.
const RULE_SLACK: Duration = Duration::from_millis(50);
/// Rotations after which a replaced canary's requests are no longer looked at; its address is used again after
/// twice as many.
const OBSERVED_ROTATIONS: u64 = 32;

/// A published replacement of the canary.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// The canary that is listed from then on.
    pub canary: CanaryNumber,
    /// The version of the list that says so.
    pub revision: u64,
    /// When it was published.
    pub published: Instant,
}

/// How long it took at each balancer until a change was in force; nothing where the wait was given up.
pub type InForce = Vec<Option<Duration>>;

struct Retired {
    canary: CanaryNumber,
    revision: u64,
}

/// The stand-ins of a run and the canary that is listed.
pub struct Prober {
    /// The discovery that all balancers watch.
    pub discovery: Discovery,
    canaries: Canaries,
    current: Cell<CanaryNumber>,
    retired: RefCell<Vec<Retired>>,
    sends_past_grace: Cell<u64>,
    requests: Cell<u64>,
    permits: Semaphore,
}

impl Prober {
    /// Starts discovery with these upstreams and the first canary.
    ///
    /// # Errors
    /// There are no ports or threads to be had.
    pub fn start(mut entries: Vec<ListEntry>) -> io::Result<Rc<Self>> {
        let canaries = Canaries::start()?;
        let first = CanaryNumber(0);
        entries.push(canaries.entry(first, Phase::Serving));
        Ok(Rc::new(Self {
            discovery: Discovery::start(entries)?,
            canaries,
            current: Cell::new(first),
            retired: RefCell::default(),
            sends_past_grace: Cell::new(0),
            requests: Cell::new(0),
            permits: Semaphore::new(CONCURRENT_PROBES),
        }))
    }

    /// The canary that is listed.
    pub fn current(&self) -> CanaryNumber {
        self.current.get()
    }

    /// Publishes these entries in one change with the replacement of the canary.
    pub fn publish_with_canary(&self, mut entries: Vec<ListEntry>) -> Rotation {
        let (old, canary) = (self.current.get(), self.current.get().next());
        entries.push(self.canaries.entry(old, Phase::Deleted));
        entries.push(self.canaries.entry(canary, Phase::Serving));
        let published = Instant::now();
        let revision = self.discovery.publish(entries);
        self.current.set(canary);
        self.retired.borrow_mut().push(Retired { canary: old, revision });
        self.look_at_retired();
        Rotation { canary, revision, published }
    }

    /// Waits until this canary, or a later one, answers for every balancer, or until `limit` after `since`.
    pub async fn wait_in_force(
        self: &Rc<Self>,
        balancers: &[SocketAddr],
        canary: CanaryNumber,
        since: Instant,
        limit: Duration,
    ) -> InForce {
        let wait = |balancer: &SocketAddr| {
            spawn_local(self.clone().wait_at(*balancer, canary, since, limit))
        };
        join(balancers.iter().map(wait).collect()).await
    }

    /// Waits until every balancer is ready and sends to the canary that is listed, or until `limit` after
    /// `since`.
    ///
    /// Readiness is asked for first: a request to a balancer without a list would wait for its deadline, and hold
    /// up the probes of others.
    pub async fn wait_ready(
        self: &Rc<Self>,
        balancers: &[SocketAddr],
        since: Instant,
        limit: Duration,
    ) -> InForce {
        let canary = self.current.get();
        let wait = |balancer: &SocketAddr| {
            let (prober, balancer) = (self.clone(), *balancer);
            spawn_local(async move {
                wait_until_ready(balancer, since, limit).await;
                prober.wait_at(balancer, canary, since, limit).await
            })
        };
        join(balancers.iter().map(wait).collect()).await
    }

    /// Requests that came to a canary later than the grace after the last watch was told of its removal.
    pub fn sends_past_grace(&self) -> u64 {
        self.look_at_retired();
        self.sends_past_grace.get()
    }

    /// Probes a balancer once.
    pub async fn probe(&self, balancer: SocketAddr) -> ProbeAnswer {
        self.probe_expecting(balancer, self.current.get()).await
    }

    async fn probe_expecting(&self, balancer: SocketAddr, canary: CanaryNumber) -> ProbeAnswer {
        let _permit = self.permits.acquire().await;
        let id = self.requests.replace(self.requests.get() + 1);
        probe(balancer, id, canary).await
    }

    async fn wait_at(
        self: Rc<Self>,
        balancer: SocketAddr,
        canary: CanaryNumber,
        since: Instant,
        limit: Duration,
    ) -> Option<Duration> {
        let mut retry = FIRST_RETRY;
        while since.elapsed() < limit {
            let answer = self.probe_expecting(balancer, canary).await;
            if matches!(answer, ProbeAnswer::Served(served) if served >= canary) {
                return Some(since.elapsed());
            }
            sleep(retry).await;
            retry = (retry * 2).min(LONGEST_RETRY);
        }
        None
    }

    /// Counts requests to replaced canaries past their grace, and forgets those that were replaced long ago.
    fn look_at_retired(&self) {
        let grace = Duration::from_millis(DRAIN_GRACE_MS) + RULE_SLACK;
        let oldest = self.current.get().0.saturating_sub(OBSERVED_ROTATIONS);
        self.retired.borrow_mut().retain(|retired| {
            let told = self.discovery.last_written(retired.revision);
            let sent = self.canaries.last_request(retired.canary);
            let is_late = matches!((told, sent), (Some(told), Some(sent)) if sent > told + grace);
            if is_late {
                self.sends_past_grace.set(self.sends_past_grace.get() + 1);
            }
            !is_late && retired.canary.0 >= oldest
        });
    }
}

async fn join(waits: Vec<JoinHandle<Option<Duration>>>) -> InForce {
    let mut times = Vec::with_capacity(waits.len());
    for wait in waits {
        times.push(wait.await.unwrap_or(None));
    }
    times
}

/// Asks a balancer until it says that it is ready, or until `limit` after `since`.
async fn wait_until_ready(balancer: SocketAddr, since: Instant, limit: Duration) {
    let mut retry = FIRST_RETRY;
    while since.elapsed() < limit && !is_ready(balancer).await {
        sleep(retry).await;
        retry = (retry * 2).min(LONGEST_RETRY);
    }
}
