//! Cost of the control plane as a function of the number of balancers, in virtual time.
//!
//! [`measure`] plays one cluster without faults other than datagram loss and returns what each balancer sends at rest,
//! while changes are made and after the leader is killed, and how long changes take. One value is one point of a fit;
//! `bin/control-plane-figures` prints it as a line of JSON.

use std::time::Duration;

use serde::Serialize;

use crate::figures::{agreed, in_force, settled, share_leased, spread};
use crate::world::{Plan, Sent, World, propose};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;

/// How long the cluster is watched at rest, in virtual time.
const REST: Duration = Duration::from_secs(20);

/// Sequential changes whose delays are measured.
const CHANGES: u64 = 6;

/// Pause after each of the sequential changes, in virtual time.
const PAUSE: Duration = Duration::from_millis(500);

/// Changes that are proposed within one second, and the gap between two of them.
const BURST: u64 = 10;
/// See [`BURST`].
const BURST_GAP: Duration = Duration::from_millis(100);
/// After this the burst counts as not in force everywhere.
const BURST_LIMIT: Duration = Duration::from_secs(30);

/// The killed leader starts again after this, with nothing stored.
const RESTART_AFTER: Duration = Duration::from_secs(5);
/// After this the cluster counts as not recovered from the end of its leader.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// First question number of the burst; those of the sequential changes are smaller.
const BURST_QUESTIONS: u64 = 1_000;

/// UDP and IPv4 headers of one datagram, in bytes. They are not in [`Traffic::bytes_mean`] and the others.
pub const HEADERS: f64 = 28.0;

/// What to play.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Balancers in the cluster.
    pub balancers: u16,
    /// Share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What was sent in a span of virtual time: payload bytes and datagrams per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Bytes per second, mean over all balancers.
    pub bytes_mean: f64,
    /// Bytes per second of the balancer that sent most.
    pub bytes_busiest: f64,
    /// Bytes per second of the leader; 0 if nobody led at the end.
    pub bytes_leader: f64,
    /// Bytes in the worst second of any balancer.
    pub bytes_worst_second: u64,
    /// Datagrams per second, mean over all balancers.
    pub datagrams_mean: f64,
    /// Datagrams per second of the leader; 0 if nobody led at the end.
    pub datagrams_leader: f64,
    /// Datagrams in the worst second of any balancer.
    pub datagrams_worst_second: u64,
}

impl Traffic {
    fn since_reset(world: &World, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let per_second = |count: u64| count as f64 / seconds;
        let balancers = world.nodes.len().max(1) as f64;
        let all = || world.nodes.iter().map(|node| node.sent);
        let leader = world.leader().map(|at| world.nodes[usize::from(at)].sent);
        let leader = leader.unwrap_or_default();
        let total = |count: fn(Sent) -> u64| all().map(count).sum::<u64>();
        let highest = |count: fn(Sent) -> u64| all().map(count).max().unwrap_or(0);
        Self {
            bytes_mean: per_second(total(|s| s.bytes)) / balancers,
            bytes_busiest: per_second(highest(|s| s.bytes)),
            bytes_leader: per_second(leader.bytes),
            bytes_worst_second: highest(|s| s.worst_bytes),
            datagrams_mean: per_second(total(|s| s.datagrams)) / balancers,
            datagrams_leader: per_second(leader.datagrams),
            datagrams_worst_second: highest(|s| s.worst_datagrams),
        }
    }
}

/// Median and maximum of a set of delays, in milliseconds of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Delays {
    /// Delays measured.
    pub count: usize,
    /// The median; 0 if there is none.
    pub median_ms: u64,
    /// The longest; 0 if there is none.
    pub max_ms: u64,
}

impl Delays {
    fn of(mut all: Vec<Duration>) -> Self {
        all.sort_unstable();
        let at = |index: usize| all.get(index).map_or(0, |d| d.as_millis() as u64);
        Self {
            count: all.len(),
            median_ms: at(all.len() / 2),
            max_ms: at(all.len().saturating_sub(1)),
        }
    }
}

/// Changes made one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Changes {
    /// From the proposal to the answer that it is committed.
    pub commit: Delays,
    /// From that answer until 99 % of the balancers act on it under a lease.
    pub in_force_99: Delays,
    /// From that answer until all do.
    pub in_force_all: Delays,
    /// Changes that were not in force everywhere within half a minute.
    pub unfinished: usize,
    /// What was sent meanwhile.
    pub traffic: Traffic,
}

/// Ten changes proposed at the leader within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Burst {
    /// From the last proposal until all balancers act on the newest revision; absent if that took over half a minute.
    pub in_force_all_ms: Option<u64>,
    /// What was sent meanwhile.
    pub traffic: Traffic,
}

/// The leader was killed and started again without its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Failover {
    /// From its end until a change is committed again; absent if that did not happen in half a minute.
    pub commit_again_ms: Option<u64>,
    /// From its end until all balancers hold leases, itself included, which starts again after five seconds; absent if
    /// some had none half a minute after that start.
    pub all_leased_ms: Option<u64>,
    /// Balancers without a lease at the end of what was measured.
    pub without_lease: usize,
    /// Whether the restarted leader is one of them.
    pub restarted_without_lease: bool,
    /// What was sent meanwhile, until all balancers hold leases again.
    pub traffic: Traffic,
}

/// One measured cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// What was played.
    pub scenario: Scenario,
    /// Virtual time until there is a leader and all hold leases, and five seconds more; absent if not within a minute,
    /// and then nothing else was measured.
    pub settled_ms: Option<u64>,
    /// At rest.
    pub rest: Option<Traffic>,
    /// While changes are made.
    pub changes: Option<Changes>,
    /// Ten changes in a second.
    pub burst: Option<Burst>,
    /// After the leader's end.
    pub failover: Option<Failover>,
    /// Contradictions that the judge found; expected: none.
    pub contradictions: Vec<String>,
}

/// Plays the scenario from the start of all balancers to the end of the fail-over.
pub fn measure(scenario: Scenario) -> Figures {
    let Scenario { balancers, loss, seed } = scenario;
    let plan = Plan { loss, ..Plan::whole(seed, balancers) };
    let mut figures = Figures {
        scenario,
        settled_ms: None,
        rest: None,
        changes: None,
        burst: None,
        failover: None,
        contradictions: Vec::new(),
    };
    let Some(mut world) = settled(plan) else { return figures };
    figures.settled_ms = Some(world.now.as_millis() as u64);
    figures.rest = Some(rest(&mut world));
    figures.changes = Some(changes(&mut world));
    figures.burst = Some(burst(&mut world));
    figures.failover = Some(failover(&mut world));
    figures.contradictions = world.judge.faults.clone();
    figures
}

fn rest(world: &mut World) -> Traffic {
    world.count_anew();
    world.run(REST);
    Traffic::since_reset(world, REST)
}

fn changes(world: &mut World) -> Changes {
    world.count_anew();
    let began = world.now;
    let (mut commit, mut near, mut all) = (Vec::new(), Vec::new(), Vec::new());
    let mut unfinished = 0;
    for number in 0..CHANGES {
        match spread(world, number) {
            Some([committed, at_99, at_all]) => {
                commit.push(committed);
                near.push(at_99);
                all.push(at_all);
            }
            None => unfinished += 1,
        }
        world.run(PAUSE);
    }
    Changes {
        commit: Delays::of(commit),
        in_force_99: Delays::of(near),
        in_force_all: Delays::of(all),
        unfinished,
        traffic: Traffic::since_reset(world, world.now - began),
    }
}

fn burst(world: &mut World) -> Burst {
    world.count_anew();
    let began = world.now;
    for number in BURST_QUESTIONS..BURST_QUESTIONS + BURST {
        let Some(leader) = world.leader() else { break };
        let id = CommandId(u128::from(number));
        let mut document = Document { attempts: 3, ..Document::default() };
        document.out.cells.insert([2, 3, 5, 6][number as usize % 4]);
        world.propose(leader, Some(id), propose(id, None, document));
        world.run(BURST_GAP);
    }
    // One more change is committed behind all others; once it is in force, so are they.
    let last = agreed(world, BURST_QUESTIONS + BURST, BURST_LIMIT);
    let proposed = began + BURST_GAP * BURST as u32;
    let size = world.nodes.len();
    let finished = last.and_then(|(revision, _)| {
        world.run_while(BURST_LIMIT, |w| in_force(w, revision) < size)?;
        Some((world.now - proposed).as_millis() as u64)
    });
    Burst { in_force_all_ms: finished, traffic: Traffic::since_reset(world, world.now - began) }
}

fn failover(world: &mut World) -> Failover {
    world.count_anew();
    let began = world.now;
    let killed = world.leader();
    if let Some(leader) = killed {
        world.crash(leader);
        world.start_after(leader, RESTART_AFTER);
    }
    let commit_again = agreed(world, BURST_QUESTIONS + BURST + 1, RECOVERY_LIMIT);
    world.run_until(world.now.max(began + RESTART_AFTER));
    let size = world.nodes.len();
    let leased = world.run_while(RECOVERY_LIMIT, |w| share_leased(w) < size);
    Failover {
        commit_again_ms: commit_again.map(|(_, time)| time.as_millis() as u64),
        all_leased_ms: leased.map(|_| (world.now - began).as_millis() as u64),
        without_lease: size - share_leased(world),
        restarted_without_lease: killed.is_some_and(|leader| !has_lease(world, leader)),
        traffic: Traffic::since_reset(world, world.now - began),
    }
}

fn has_lease(world: &World, balancer: u16) -> bool {
    let node = &world.nodes[usize::from(balancer)];
    node.machine.is_some()
        && node.published.as_ref().is_some_and(|in_force| node.clock(world.now) < in_force.until)
}
