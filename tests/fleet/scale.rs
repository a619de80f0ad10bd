//! Several processes before the scale stand-in: discovery fails while a zone of the fleet is lost and back.

use std::path::Path;
use std::time::{Duration, Instant};

use hollowpaddle_scale_harness::canary::ProbeAnswer;
use hollowpaddle_scale_harness::discovery::Mode;
use hollowpaddle_scale_harness::fleet::{DRAIN_GRACE_MS, Fleet, ListEntry, Phase};
use hollowpaddle_scale_harness::prober::Rotation;
use hollowpaddle_scale_harness::processes::RealCluster;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::NODE;

const PROCESSES: usize = 5;
const UPSTREAMS: usize = 330;
const SEED: u64 = 47;
/// For how long discovery fails: short of the time after which an untold change counts as told.
const OUTAGE: Duration = Duration::from_secs(3);
/// From one probe of a balancer to the next meanwhile.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Longest wait for anything that has to happen.
const PATIENCE: Duration = Duration::from_secs(20);
/// After the grace, for a request that was sent in time to arrive.
const AFTER_GRACE: Duration = Duration::from_millis(500);

fn zone(fleet: &Fleet, phase: Phase) -> Vec<ListEntry> {
    let lost = (0..fleet.upstreams).filter(|upstream| fleet.zone_of(*upstream) == 0);
    lost.map(|upstream| ListEntry { phase, ..fleet.entry(upstream) }).collect()
}

async fn start(fleet: Fleet) -> RealCluster {
    let started = RealCluster::start(Path::new(NODE), fleet, SEED).await;
    started.expect("every process serves").0
}

/// Probes all processes for as long as discovery fails: each serves by the list that it has.
async fn expect_served_by_old_list(cluster: &RealCluster, expected: ProbeAnswer) {
    let began = Instant::now();
    while began.elapsed() < OUTAGE {
        for address in cluster.addresses() {
            assert_eq!(cluster.prober.probe(address).await, expected);
        }
        sleep(PROBE_EVERY).await;
    }
}

/// Every process comes to send to the new canary, and none to the old one past its grace.
async fn expect_in_force(cluster: &RealCluster, rotation: Rotation) {
    let (prober, addresses) = (&cluster.prober, cluster.addresses());
    let times = prober.wait_in_force(&addresses, rotation.canary, Instant::now(), PATIENCE).await;
    assert!(times.iter().all(Option::is_some), "in force after the outage: {times:?}");
    sleep(Duration::from_millis(DRAIN_GRACE_MS) + AFTER_GRACE).await;
    for address in addresses {
        assert_eq!(prober.probe(address).await, ProbeAnswer::Served(rotation.canary));
    }
    assert_eq!(prober.sends_past_grace(), 0, "sends to a removed upstream past the grace");
}

async fn fails_while_a_zone_is_lost_and_back(mode: Mode) {
    let fleet = Fleet::of(PROCESSES, UPSTREAMS);
    let cluster = start(fleet).await;
    let before = ProbeAnswer::Served(cluster.prober.current());
    cluster.prober.discovery.set_mode(mode);
    let rotation = cluster.prober.publish_with_canary(zone(&fleet, Phase::Deleted));
    expect_served_by_old_list(&cluster, before).await;
    cluster.prober.discovery.publish(zone(&fleet, Phase::Serving));
    cluster.prober.discovery.set_mode(Mode::Answering);
    expect_in_force(&cluster, rotation).await;
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn processes_serve_while_discovery_is_unreachable_and_follow_it_when_it_is_back() {
    block_on(fails_while_a_zone_is_lost_and_back(Mode::Unreachable));
}

#[test]
fn processes_serve_while_discovery_is_silent_and_follow_it_when_it_speaks_again() {
    block_on(fails_while_a_zone_is_lost_and_back(Mode::Silent));
}
