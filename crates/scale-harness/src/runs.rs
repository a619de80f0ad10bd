//! The runs of the program `hollow`. Each starts a cluster, does one thing to it for a stated time, and ends
//! by itself with a [`Report`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowpaddle_net::{Network, Tcp};
use oorandom::Rand64;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::cluster::{HarnessError, HollowCluster, Options};
use crate::fleet::{Fleet, ListEntry, Phase};
use crate::prober::{InForce, Prober, Rotation};
use crate::report::{Measured, Report};

/// Longest wait for a change to be in force at a balancer.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);
/// Time for the start and the end of a run beyond what it measures.
const OVERHEAD_LIMIT: Duration = Duration::from_secs(240);
/// Shortest time between two changes whose way into force is measured: each costs a probe of every balancer.
const SHORTEST_ROTATION: Duration = Duration::from_secs(1);
/// Time between measured changes where the run's own changes are not measured.
const USUAL_ROTATION: Duration = Duration::from_secs(5);
/// Time between two of the three list changes of a restart.
const RESTART_STEP: Duration = Duration::from_millis(500);
/// For how long a rack or a zone is lost.
const LOST: Duration = Duration::from_secs(4);
/// Time before the first measurement, for what the start has left to do.
const SETTLE: Duration = Duration::from_secs(2);

/// What happens to the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Run {
    /// Nothing.
    Rest,
    /// Upstreams drain and come back, so many changes a second.
    Changes {
        /// Changes a second.
        rate: f64,
    },
    /// Upstreams restart, one after each interval, with three list changes each.
    Restarts {
        /// From one restart to the next.
        every: Duration,
    },
    /// A rack and then a zone is lost, and is back after a while.
    Zone,
    /// All balancers are started anew at once.
    RestartAll,
}

impl Run {
    /// Its name on the command line and in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Rest => "rest",
            Self::Changes { .. } => "changes",
            Self::Restarts { .. } => "restarts",
            Self::Zone => "zone",
            Self::RestartAll => "restart-all",
        }
    }

    /// Starts a cluster and does this to it for so long.
    ///
    /// # Errors
    /// The cluster does not fit or does not serve, or the run takes far longer than it should.
    pub async fn play(self, options: Options, seconds: Duration) -> Result<Report, HarnessError> {
        let limit = seconds + OVERHEAD_LIMIT;
        let overdue = |_| HarnessError::Overdue { limit };
        timeout(limit, self.play_unbounded(options, seconds)).await.map_err(overdue)?
    }

    async fn play_unbounded(
        self,
        options: Options,
        seconds: Duration,
    ) -> Result<Report, HarnessError> {
        let cluster = HollowCluster::prepare(options)?;
        let start = cluster.start().await?;
        sleep(SETTLE).await;
        let begin = cluster.mark()?;
        let in_force = self.do_to(&cluster, seconds).await?;
        let end = cluster.mark()?;
        let measured = Measured { run: self.name(), start, begin, end, in_force };
        Report::of_hollow(&cluster, &measured)
    }

    /// Does this to a running cluster: how long measured changes, or restarts, took at each balancer.
    ///
    /// # Errors
    /// Balancers that were started anew do not serve.
    pub async fn do_to(
        self,
        cluster: &HollowCluster,
        seconds: Duration,
    ) -> Result<InForce, HarnessError> {
        let subject = Subject::of_hollow(cluster);
        match self {
            Self::Rest => {
                sleep(seconds).await;
                Ok(InForce::new())
            }
            Self::Changes { rate } => Ok(change_upstreams(&subject, seconds, rate).await),
            Self::Restarts { every } => Ok(restart_upstreams(&subject, seconds, every).await),
            Self::Zone => Ok(lose_rack_and_zone(&subject).await),
            Self::RestartAll => {
                let times = cluster.restart_all().await?;
                sleep(seconds).await;
                Ok(times)
            }
        }
    }
}

/// The balancers that changes are published to, hollow or real.
pub struct Subject {
    /// Discovery, the canaries and the probes.
    pub prober: Rc<Prober>,
    /// Where clients reach the balancers.
    pub addresses: Vec<SocketAddr>,
    /// The fleet that discovery lists.
    pub fleet: Fleet,
    /// For the choice of upstreams.
    pub seed: u64,
}

impl Subject {
    fn of_hollow(cluster: &HollowCluster) -> Self {
        let Options { fleet, seed, .. } = *cluster.options();
        Self { prober: cluster.prober.clone(), addresses: cluster.addresses(), fleet, seed }
    }

    fn random_upstreams(&self) -> Rand64 {
        Rand64::new(u128::from(self.seed))
    }
}

/// Waits for measured changes that are still under way.
struct Waits<'a> {
    subject: &'a Subject,
    waits: Vec<JoinHandle<InForce>>,
}

impl<'a> Waits<'a> {
    fn new(subject: &'a Subject) -> Self {
        Self { subject, waits: Vec::new() }
    }

    /// Publishes a change with a new canary, and follows it into force at every balancer.
    fn publish(&mut self, entries: Vec<ListEntry>) {
        let rotation = self.subject.prober.publish_with_canary(entries);
        self.follow(rotation);
    }

    fn follow(&mut self, rotation: Rotation) {
        let prober = Rc::clone(&self.subject.prober);
        let addresses = self.subject.addresses.clone();
        self.waits.push(spawn_local(async move {
            let Rotation { canary, published, .. } = rotation;
            prober.wait_in_force(&addresses, canary, published, IN_FORCE_LIMIT).await
        }));
    }

    async fn finish(self) -> InForce {
        let mut times = InForce::new();
        for wait in self.waits {
            times.extend(wait.await.unwrap_or_default());
        }
        times
    }
}

/// Random upstreams drain and come back, one change after each `1 / rate` seconds. Every change is measured, or
/// at higher rates each of a fixed number, so that runs of one rate are alike.
pub async fn change_upstreams(subject: &Subject, seconds: Duration, rate: f64) -> InForce {
    let fleet = subject.fleet;
    let mut rng = subject.random_upstreams();
    let mut waits = Waits::new(subject);
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let changes = (seconds.as_secs_f64() * rate).ceil() as u64;
    let changes_per_rotation = (SHORTEST_ROTATION.as_secs_f64() * rate).ceil() as u64;
    let mut draining = None;
    for number in 0..changes {
        ticks.tick().await;
        let change = match draining.take() {
            Some(upstream) => fleet.entry(upstream),
            None => {
                let upstream = rng.rand_range(0..fleet.upstreams as u64) as usize;
                draining = Some(upstream);
                with_phase(&fleet, upstream, Phase::Draining)
            }
        };
        if number % changes_per_rotation == 0 {
            waits.publish(vec![change]);
        } else {
            subject.prober.discovery.publish(vec![change]);
        }
    }
    waits.finish().await
}

/// Random upstreams restart: each drains, is gone, and is back, a list change each.
async fn restart_upstreams(subject: &Subject, seconds: Duration, every: Duration) -> InForce {
    let fleet = subject.fleet;
    let mut rng = subject.random_upstreams();
    let mut waits = Waits::new(subject);
    let (mut restarts, mut rotations) = (interval(every), interval(USUAL_ROTATION));
    let began = Instant::now();
    let mut restarting = Vec::new();
    while began.elapsed() < seconds {
        tokio::select! {
            _ = restarts.tick() => {
                let upstream = rng.rand_range(0..fleet.upstreams as u64) as usize;
                let prober = Rc::clone(&subject.prober);
                restarting.push(spawn_local(async move {
                    let discovery = &prober.discovery;
                    discovery.publish(vec![with_phase(&fleet, upstream, Phase::Draining)]);
                    sleep(RESTART_STEP).await;
                    discovery.publish(vec![with_phase(&fleet, upstream, Phase::Deleted)]);
                    sleep(RESTART_STEP).await;
                    discovery.publish(vec![restarted(&fleet, upstream)]);
                }));
            }
            _ = rotations.tick() => waits.publish(Vec::new()),
        }
    }
    for restart in restarting {
        let _ = restart.await;
    }
    waits.finish().await
}

/// A rack is lost and back, then the zone of that rack. Each of the four changes is measured.
async fn lose_rack_and_zone(subject: &Subject) -> InForce {
    let fleet = subject.fleet;
    let mut waits = Waits::new(subject);
    let in_rack = |upstream: &usize| fleet.rack_of(*upstream) == 0;
    let in_zone = |upstream: &usize| fleet.zone_of(*upstream) == 0;
    let rack: Vec<usize> = (0..fleet.upstreams).filter(in_rack).collect();
    let zone: Vec<usize> = (0..fleet.upstreams).filter(in_zone).collect();
    for lost in [rack, zone] {
        waits.publish(lost.iter().map(|u| with_phase(&fleet, *u, Phase::Deleted)).collect());
        sleep(LOST).await;
        waits.publish(lost.iter().map(|u| restarted(&fleet, *u)).collect());
        sleep(LOST).await;
    }
    waits.finish().await
}

fn with_phase(fleet: &Fleet, upstream: usize, phase: Phase) -> ListEntry {
    ListEntry { phase, ..fleet.entry(upstream) }
}

/// The entry of an upstream that has just started.
fn restarted(fleet: &Fleet, upstream: usize) -> ListEntry {
    ListEntry { up_since_ms: Tcp.unix_now().as_millis() as u64, ..fleet.entry(upstream) }
}
