//! How the cost of a balancer grows with the number of balancers, and what must hold at every size. Slopes and
//! invariants only: times depend on the machine.

use std::time::Duration;

use hollowpaddle_scale_harness::canary::ProbeAnswer;
use hollowpaddle_scale_harness::cluster::{HollowCluster, Mark, Options};
use hollowpaddle_scale_harness::fleet::{DRAIN_GRACE_MS, Fleet};
use hollowpaddle_scale_harness::prober::InForce;
use hollowpaddle_scale_harness::runs::Run;
use hollowpaddle_scale_harness::spread::Spread;
use tokio::task::LocalSet;
use tokio::time::sleep;

const UPSTREAMS: usize = 2_000;
const FEW_BALANCERS: usize = 25;
const MANY_BALANCERS: usize = 100;
/// Threads for balancers; the stand-ins and the probes have threads of their own.
const THREADS: usize = 2;
const SEED: u64 = 47;
/// So much more may a change cost a balancer in the larger cluster.
const FLAT: f64 = 1.3;
/// Resident memory beyond which no balancer is started, in bytes.
const MEMORY_LIMIT: u64 = 2 << 30;
/// How long upstreams change, and how often.
const CHANGING: Duration = Duration::from_secs(5);
const CHANGES_PER_SECOND: f64 = 4.0;
/// After the grace, for a request that was sent in time to arrive.
const AFTER_GRACE: Duration = Duration::from_millis(500);

/// What was seen of one cluster.
struct Observed {
    balancers: usize,
    in_force: InForce,
    before: Mark,
    after: Mark,
    answers_past_grace: Vec<ProbeAnswer>,
    expected: ProbeAnswer,
    sends_past_grace: u64,
    ended_by_themselves: u64,
}

impl Observed {
    fn changes(&self) -> u64 {
        self.after.counts.changes - self.before.counts.changes
    }

    /// Bytes per balancer for one change: the most that any balancer read.
    fn bytes_per_change(&self) -> f64 {
        let pairs = self.before.readings.iter().zip(&self.after.readings);
        let read = pairs.map(|(before, after)| after.discovery_bytes - before.discovery_bytes);
        Spread::of(read.map(|bytes| bytes as f64)).max / self.changes() as f64
    }
}

async fn observe(balancers: usize) -> Observed {
    let options = Options {
        fleet: Fleet::of(balancers, UPSTREAMS),
        seed: SEED,
        threads: THREADS,
        subset: None,
        peers: false,
        memory_limit: MEMORY_LIMIT,
    };
    let cluster = HollowCluster::prepare(options).expect("ports and threads");
    cluster.start().await.expect("every balancer serves");
    let before = cluster.mark().expect("counters");
    let changes = Run::Changes { rate: CHANGES_PER_SECOND };
    let in_force = changes.do_to(&cluster, CHANGING).await.expect("every balancer runs");
    let after = cluster.mark().expect("counters");
    // Requests past the grace of the last canary that was removed.
    sleep(Duration::from_millis(DRAIN_GRACE_MS) + AFTER_GRACE).await;
    let mut answers_past_grace = Vec::new();
    for address in cluster.addresses() {
        answers_past_grace.push(cluster.prober.probe(address).await);
    }
    Observed {
        balancers,
        in_force,
        before,
        after,
        answers_past_grace,
        expected: ProbeAnswer::Served(cluster.prober.current()),
        sends_past_grace: cluster.prober.sends_past_grace(),
        ended_by_themselves: cluster.ended_by_themselves(),
    }
}

fn check_invariants(observed: &Observed) {
    let balancers = observed.balancers;
    assert!(observed.changes() > 0, "discovery published nothing");
    assert!(!observed.in_force.is_empty(), "no change was followed");
    assert_eq!(observed.in_force.len() % balancers, 0, "each change is followed at each balancer");
    let unreached = observed.in_force.iter().filter(|time| time.is_none()).count();
    assert_eq!(unreached, 0, "waits given up, of {}", observed.in_force.len());
    assert_eq!(observed.sends_past_grace, 0, "removed upstreams were sent to past the grace");
    for (position, answer) in observed.answers_past_grace.iter().enumerate() {
        assert_eq!(*answer, observed.expected, "balancer {position} after the grace");
    }
    assert_eq!(observed.after.counts.watches, balancers as u64, "watches opened");
    for (position, reading) in observed.after.readings.iter().enumerate() {
        assert_eq!(reading.discovery_connections, 1, "connections of balancer {position}");
    }
    assert_eq!(observed.ended_by_themselves, 0);
}

/// Every balancer follows every change over one watch, and a change costs a balancer as many bytes among 100
/// as among 25.
#[test]
fn bytes_of_a_change_do_not_grow_with_the_number_of_balancers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let (few, many) = LocalSet::new().block_on(&runtime, async {
        (observe(FEW_BALANCERS).await, observe(MANY_BALANCERS).await)
    });
    check_invariants(&few);
    check_invariants(&many);
    let (few, many) = (few.bytes_per_change(), many.bytes_per_change());
    println!("bytes per balancer and change: {few:.0} of 25 balancers, {many:.0} of 100");
    assert!(many <= few * FLAT, "{many} bytes for a change among 100 balancers, {few} among 25");
    assert!(few <= many * FLAT, "{few} bytes for a change among 25 balancers, {many} among 100");
}
