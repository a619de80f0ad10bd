//! Runs upstreams, balancers and clients, injects faults into them, and checks the records.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::balancer::{Balancer, BalancerOptions};
use crate::checker::{Violation, check_run};
use crate::client::Clients;
use crate::faults::{inject_balancer_faults, inject_upstream_faults};
use crate::ledger::{Answer, SharedLedger, lock};
use crate::random::Random;
use crate::settings::{CELLS, MAX_DEADLINE};
use crate::upstream::{FaultRates, Upstream};
use crate::upstream_list::UpstreamList;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Directory for configurations and logs.
    pub directory: PathBuf,
    /// Seed of all random values.
    pub seed: u64,
    /// Time for which faults are injected and clients send requests.
    pub duration: Duration,
    /// Number of balancers, each a process.
    pub balancers: usize,
    /// Number of upstreams, which are tasks of this process.
    pub upstreams: usize,
    /// Number of clients of each balancer.
    pub clients: usize,
    /// Delay between a response and the unsolicited bytes that an upstream writes after it. Daemons tolerate 4 ms if
    /// the timers of this process fire on time.
    pub stray_after: Duration,
}

/// Error that prevents a run.
#[derive(Debug, thiserror::Error)]
#[error("the soak run could not be completed: {0}")]
pub struct SoakError(#[from] std::io::Error);

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests with any other result.
    pub unserved: usize,
    /// Number of attempts at upstreams.
    pub attempts: usize,
    /// Number of daemon processes started.
    pub processes: usize,
    /// Longest timer delay of the soak process itself. Above [`Report::MAX_LAG`] the run is invalid.
    pub lag: Duration,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Largest valid timer delay. Beyond it, a late response cannot be attributed to the daemon or to the soak process.
    pub const MAX_LAG: Duration = Duration::from_millis(250);

    /// Returns whether the soak process ran with little enough delay for the result to be meaningful.
    pub fn is_valid(&self) -> bool {
        self.lag <= Self::MAX_LAG
    }
}

const FAULT_RATES: FaultRates = FaultRates {
    stray_after: Duration::ZERO,
    error_status: 0.01,
    rejection: 0.02,
    early_reset: 0.01,
    late_reset: 0.01,
    no_response: 0.004,
    unannounced_close: 0.03,
    stray_bytes: 0.01,
    truncation: 0.005,
};

/// Returns the largest number of descriptors that an idle balancer may hold: those of its clients and upstreams, and its
/// own.
fn max_descriptors(options: &Options) -> usize {
    options.clients * 2 + options.upstreams * 8 + 32
}

/// Executes one run and checks it against the rules.
///
/// # Errors
/// Fails if a process cannot be started or a file or socket cannot be opened.
pub async fn run(options: &Options) -> Result<Report, SoakError> {
    std::fs::create_dir_all(&options.directory)?;
    let (begun, ledger) = (Instant::now(), SharedLedger::default());
    let lag = Lag::default();
    let measuring = tokio::spawn(lag.clone().measure());
    let upstream_list = UpstreamList::new();
    let upstreams = start_upstreams(options, &upstream_list, &ledger).await?;
    let shared_options = BalancerOptions {
        daemon: &options.daemon,
        directory: &options.directory,
        balancers: options.balancers,
        upstream_list: &upstream_list,
        ledger: &ledger,
    };
    let mut balancers = Vec::new();
    for number in 0..options.balancers {
        let mut balancer = Balancer::new(number, &shared_options).await?;
        balancer.start().await?;
        balancers.push(balancer);
    }
    let until = Instant::now() + options.duration;
    let clients = start_clients(options, &balancers, &ledger, until);
    let upstream_injector = tokio::spawn(inject_upstream_faults(
        upstreams,
        upstream_list.clone(),
        Random::new(options.seed, 1),
        until,
    ));
    let injectors: Vec<_> = balancers
        .into_iter()
        .map(|balancer| {
            let random = Random::new(options.seed, 1000 + balancer.number as u64);
            tokio::spawn(inject_balancer_faults(balancer, random, until, ledger.clone()))
        })
        .collect();
    let mut balancers = Vec::new();
    for injector in injectors {
        balancers.push(injector.await.map_err(std::io::Error::other)?);
    }
    upstream_injector.await.map_err(std::io::Error::other)?;
    for client in clients {
        client.await.map_err(std::io::Error::other)?;
    }
    finish(options, &mut balancers, &ledger).await;
    // Lets the attempts in flight at upstreams finish.
    sleep(MAX_DEADLINE).await;
    measuring.abort();
    let lag = lag.longest();
    let ledger = lock(&ledger);
    let violations = check_run(&ledger, lag, begun);
    let answers = || ledger.requests.values().filter_map(|request| request.answer.as_ref());
    let is_served = |answer: &&(Instant, Answer)| matches!(answer.1, Answer::Whole(200, _));
    let served = answers().filter(is_served).count();
    Ok(Report {
        seed: options.seed,
        requests: ledger.requests.len(),
        served,
        unserved: answers().count() - served,
        attempts: ledger.attempts.len(),
        processes: ledger.incarnations.values().map(Vec::len).sum(),
        lag,
        violations,
    })
}

/// The longest timer delay in this process, in microseconds.
#[derive(Clone, Debug, Default)]
struct Lag(Arc<AtomicU64>);

impl Lag {
    /// Sleeps repeatedly and records the longest delay.
    async fn measure(self) {
        const STEP: Duration = Duration::from_millis(5);
        loop {
            let due = Instant::now() + STEP;
            sleep(STEP).await;
            let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
            self.0.fetch_max(late, Ordering::Relaxed);
        }
    }

    fn longest(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

async fn start_upstreams(
    options: &Options,
    upstream_list: &UpstreamList,
    ledger: &SharedLedger,
) -> std::io::Result<Vec<Upstream>> {
    let mut upstreams = Vec::new();
    let fault_rates = FaultRates { stray_after: options.stray_after, ..FAULT_RATES };
    for number in 0..options.upstreams {
        let (id, cell) = (format!("s-{number}"), number as u32 % CELLS);
        let random = Random::new(options.seed, 2000 + number as u64);
        let upstream = Upstream::start(id, cell, fault_rates, random, ledger.clone()).await?;
        upstream_list.add(&upstream.id, upstream.address, cell, 0);
        upstreams.push(upstream);
    }
    Ok(upstreams)
}

fn start_clients(
    options: &Options,
    balancers: &[Balancer],
    ledger: &SharedLedger,
    until: Instant,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::new();
    for balancer in balancers {
        let clients = Clients {
            balancer: balancer.number,
            address: balancer.address.clone(),
            ledger: ledger.clone(),
            next_number: Arc::new(AtomicU64::new(0)),
            until,
            longest_pause: Duration::from_millis(60),
        };
        for number in 0..options.clients {
            let part = (balancer.number * options.clients + number) as u64;
            let random = Random::new(options.seed, 10_000 + part);
            tasks.push(tokio::spawn(clients.clone().run(random)));
        }
    }
    tasks
}

/// Checks the number of descriptors of each balancer, then terminates it gracefully.
async fn finish(options: &Options, balancers: &mut [Balancer], ledger: &SharedLedger) {
    for balancer in balancers {
        let limit = max_descriptors(options);
        if let Some(descriptors) = balancer.descriptors().filter(|descriptors| *descriptors > limit)
        {
            let what = format!(
                "balancer {}: {descriptors} descriptors while idle, at most {limit} allowed",
                balancer.number
            );
            lock(ledger).daemon_failures.push(what);
        }
        balancer.stop().await;
    }
}
