//! Tests of simulated clusters in virtual time. An oracle checks the rules on which each balancer acts.

mod common;
mod sim;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use sim::oracle::Findings;
use sim::{Defect, LEASES_EXPIRED, MS, S, Setting, Simulation};

/// Bound on the duration of contradictions: a lease, and the attempts in flight when it ends.
const CONTRADICTION_BOUND: u64 = 3 * S;

fn random_setting(seed: u64) -> Setting {
    Setting {
        members: [5, 7, 9, 12][seed as usize % 4],
        fan: [2, 3, 8][seed as usize / 4 % 3],
        loss: [0.0, 0.1, 0.3][seed as usize / 12 % 3],
        length: 18 * S,
        faults: seed as usize / 36 % 7,
        rate: [0.3, 2.0, 40.0][seed as usize / 252 % 3],
        defect: Defect::None,
        exact: seed % 10 == 9,
        tick: 20 * MS,
    }
}

/// Runs the seeds on three threads and returns the longest contradictions and the totals of all other findings.
fn sweep(seeds: std::ops::Range<u64>, setting: impl Fn(u64) -> Setting + Sync) -> Findings {
    let (next, worst) = (AtomicU64::new(seeds.start), Mutex::new(Findings::default()));
    let run_seeds = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let found = Simulation::new(seed, setting(seed)).finish();
        let mut worst = worst.lock().unwrap();
        if found.contradiction > worst.contradiction || found.mutual > worst.mutual {
            println!("seed {seed}: {:?}", (found.contradiction, found.mutual, found.refused));
        }
        worst.contradiction = worst.contradiction.max(found.contradiction);
        worst.mutual = worst.mutual.max(found.mutual);
        worst.refused += found.refused;
        worst.fallback_changes += found.fallback_changes;
        worst.messages += found.messages;
        (worst.observations, worst.without_lease) =
            (worst.observations + found.observations, worst.without_lease + found.without_lease);
    };
    std::thread::scope(|scope| {
        (0..3).for_each(|_| {
            scope.spawn(run_seeds);
        });
    });
    worst.into_inner().unwrap()
}

#[test]
fn contradictions_stay_below_the_bound_under_any_faults() {
    let found = sweep(0..1000, random_setting);
    println!("{found:?}");
    assert!(found.contradiction <= CONTRADICTION_BOUND, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
    assert!(
        found.contradiction > S,
        "the sweep causes too few contradictions to be conclusive: {found:?}"
    );
    assert!(found.fallback_changes > 300, "{found:?}");
    assert!(found.without_lease * 2 < found.observations, "{found:?}");
}

#[test]
#[ignore = "20,000 further seeds take some minutes: `cargo test -p hollowpaddle-revision --test cluster -- --ignored wider`"]
fn wider_sweep() {
    let found = sweep(1000..21_000, |seed| Setting { length: 30 * S, ..random_setting(seed) });
    println!("{found:?}");
    assert!(found.contradiction <= CONTRADICTION_BOUND, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
}

#[test]
fn oracle_finds_missing_lease_restrict_phase_or_confirmation() {
    let defect = |defect| {
        move |seed| Setting {
            defect,
            faults: 4,
            rate: [0.4, 4.0][seed as usize % 2],
            loss: 0.1,
            length: 40 * S,
            ..random_setting(seed)
        }
    };
    let complete = sweep(0..30, defect(Defect::None));
    assert!(complete.contradiction <= CONTRADICTION_BOUND && complete.mutual == 0, "{complete:?}");
    for defect_kind in [Defect::NoLease, Defect::NoRestrictPhase, Defect::NoConfirmation] {
        let found = sweep(0..30, defect(defect_kind));
        println!("{defect_kind:?}: {found:?}");
        // Without a restrict phase or a confirmation, each contradiction still ends with a lease. But two nodes with
        // leases contradict each other, which must never happen.
        match defect_kind {
            Defect::NoLease => {
                assert!(
                    found.contradiction > 2 * CONTRADICTION_BOUND
                        && found.mutual > CONTRADICTION_BOUND,
                    "{found:?}"
                )
            }
            _ => assert!(found.mutual > S / 2, "{defect_kind:?}: {found:?}"),
        }
    }
}

#[test]
fn contradictions_stay_below_the_bound_for_300_balancers() {
    let large = |seed| Setting {
        members: 300,
        fan: 8,
        tick: 50 * MS,
        length: 12 * S,
        faults: 5,
        loss: 0.1,
        rate: 2.0,
        ..random_setting(seed)
    };
    let found = sweep(0..6, large);
    println!("{found:?}");
    assert!(found.contradiction <= CONTRADICTION_BOUND, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
}

/// All nodes are killed while the entry of the apply phase is being disseminated, and restart one by one.
#[test]
fn cluster_agrees_again_after_all_nodes_die_in_the_apply_phase() {
    for seed in 0..20 {
        let setting = Setting {
            members: 36,
            fan: 8,
            faults: 0,
            rate: 0.0,
            length: 40 * S,
            ..random_setting(seed)
        };
        let mut cluster = Simulation::new(seed, setting);
        cluster.run(4 * S);
        cluster.commit_now(&common::propose(1, None, common::without(&[2])));
        // The restrict phase is confirmed within a second or two; some nodes have just applied the entry of the apply
        // phase.
        while cluster.log.last().unwrap().target_revision.is_some()
            || cluster.log.last().unwrap().revision == 0
        {
            let now = cluster.now;
            cluster.run(now + MS);
            assert!(cluster.now < 20 * S, "seed {seed}: the apply phase did not start");
        }
        let now = cluster.now;
        cluster.run(now + 20 * MS);
        (0..36).for_each(|m| cluster.kill(m));
        let generation = cluster.log.last().unwrap().generation;
        cluster.run(39 * S);
        let (nodes_at_generation, leased) = cluster.at_generation(generation);
        assert_eq!(
            (nodes_at_generation, cluster.log.last().unwrap().unconfirmed),
            (36, false),
            "seed {seed}"
        );
        assert!(leased >= 30, "seed {seed}: {leased} hold leases");
        let found = cluster.finish();
        assert!(
            found.contradiction <= CONTRADICTION_BOUND && found.mutual == 0,
            "seed {seed}: {found:?}"
        );
    }
}

/// A majority loses the log, and a new log starts without the last entries of the lost one.
#[test]
fn new_log_waits_for_leases_of_the_previous_one() {
    let worst = |wait| {
        let one = |seed: u64| {
            let setting =
                Setting { members: 9, faults: 0, rate: 4.0, loss: 0.0, ..random_setting(seed) };
            let mut cluster = Simulation::new(seed, setting);
            cluster.run(5 * S + seed * 37 * MS);
            cluster.lose_log(wait);
            cluster.finish()
        };
        (0..60).map(|seed| one(seed).mutual).max()
    };
    assert_eq!(worst(LEASES_EXPIRED), Some(0));
    assert!(worst(50 * MS) > Some(0), "the oracle detects a new log that starts too early");
}

/// Runs a cluster in which one node is cut off with the old fallback policy while the other nodes change to a smaller
/// policy, and then calls `then` with the number of the node. Returns the cluster and that number.
fn change_fallback_with_unreachable_node(
    seed: u64,
    defect: Defect,
    then: impl Fn(&mut Simulation, usize),
) -> (Simulation, usize) {
    let setting = Setting {
        members: 7,
        fan: 2,
        faults: 0,
        rate: 0.0,
        length: 60 * S,
        defect,
        ..random_setting(seed)
    };
    let mut cluster = Simulation::new(seed, setting);
    cluster.run(5 * S);
    let unreachable = (cluster.leader().unwrap() + 1) % 7;
    cluster.cut_off(unreachable);
    cluster.run(9 * S);
    let smaller = FallbackPolicy { cells: [0, 4].into(), ..common::bootstrap(7).fallback_policy };
    cluster.commit_now(&Entry::FallbackPolicy(CommandId(1), smaller, Box::default()));
    cluster.run(15 * S);
    then(&mut cluster, unreachable);
    (cluster, unreachable)
}

#[test]
fn fallback_change_waits_for_unreachable_node_or_its_dead_mark() {
    let awaits_fallback_confirmation =
        |cluster: &Simulation| cluster.log.last().unwrap().awaits_fallback_confirmation;
    let excludes_cell = |cluster: &mut Simulation, id| {
        cluster.commit_now(&common::propose(id, None, common::without(&[1])));
        let now = cluster.now;
        cluster.run(now + 10 * S);
        cluster.log.last().unwrap().revision > 0
    };
    for seed in 0..12 {
        let (mut cluster, _) = change_fallback_with_unreachable_node(seed, Defect::None, |_, _| ());
        assert!(
            awaits_fallback_confirmation(&cluster) && !excludes_cell(&mut cluster, 2),
            "seed {seed}: the change is pending without the confirmation of every node"
        );
        cluster.heal();
        cluster.run(32 * S);
        assert!(
            !awaits_fallback_confirmation(&cluster) && excludes_cell(&mut cluster, 3),
            "seed {seed}: the node is back and has confirmed"
        );
        let found = cluster.finish();
        assert!(
            found.contradiction <= CONTRADICTION_BOUND && found.mutual == 0,
            "seed {seed}: {found:?}"
        );

        let (mut cluster, unreachable) =
            change_fallback_with_unreachable_node(seed, Defect::None, |cluster, unreachable| {
                cluster.kill(unreachable);
                cluster.commit_now(&Entry::MarkDead(CommandId(9), NodeId(unreachable as u16)));
            });
        cluster.run(18 * S);
        assert!(
            !awaits_fallback_confirmation(&cluster) && excludes_cell(&mut cluster, 2),
            "seed {seed}: operators have marked node {unreachable} dead"
        );
    }
    let (mut cluster, _) =
        change_fallback_with_unreachable_node(0, Defect::UnconfirmedFallback, |_, _| ());
    assert!(!awaits_fallback_confirmation(&cluster) && excludes_cell(&mut cluster, 2));
    assert!(
        cluster.finish().contradiction > CONTRADICTION_BOUND,
        "the oracle detects a change that does not wait for every node"
    );
}

/// Measures the time from a commit until 99 % and all of the nodes act on the new rules alone, in milliseconds, and for
/// an idle cluster the messages per second and node, the bytes per message, and the share of nodes that hold a lease.
fn measure(
    members: usize,
    loss: f64,
    seeds: std::ops::Range<u64>,
) -> (Vec<u64>, Vec<u64>, f64, f64, f64) {
    let (mut durations_99_percent, mut all, mut messages, mut bytes, mut leased) =
        (vec![], vec![], 0.0, 0.0, 0.0);
    for seed in seeds.clone() {
        let setting = Setting {
            members,
            fan: 8,
            loss,
            faults: 0,
            rate: 0.0,
            length: 60 * S,
            exact: false,
            tick: S,
            ..random_setting(0)
        };
        let mut cluster = Simulation::new(seed, setting);
        cluster.run(5 * S);
        let (before, before_bytes) = (cluster.messages, cluster.bytes);
        for half in 1..=10 {
            cluster.run(5 * S + half * S / 2);
            leased += cluster.at_generation(0).1 as f64 / 10.0 / members as f64;
        }
        messages += (cluster.messages - before) as f64 / 5.0 / members as f64;
        bytes += (cluster.bytes - before_bytes) as f64 / (cluster.messages - before) as f64;
        let committed_at = cluster.now;
        let index = cluster.commit_now(&common::propose(1, None, common::without(&[2])));
        let mut at_99_percent = None;
        loop {
            let now = cluster.now;
            cluster.run(now + 5 * MS);
            let last = cluster.log.last().unwrap().clone();
            if last.revision == index as u64 {
                let nodes_at_generation = cluster.at_generation(last.generation).0;
                at_99_percent = at_99_percent.or((nodes_at_generation * 100 >= members * 99)
                    .then_some(cluster.now - committed_at));
                if nodes_at_generation == members {
                    break;
                }
            }
            assert!(
                cluster.now - committed_at < 20 * S,
                "seed {seed}, {members} members, loss {loss}"
            );
        }
        durations_99_percent.push(at_99_percent.unwrap() / MS);
        all.push((cluster.now - committed_at) / MS);
    }
    durations_99_percent.sort_unstable();
    all.sort_unstable();
    let runs = (seeds.end - seeds.start) as f64;
    (durations_99_percent, all, messages / runs, bytes / runs, leased / runs)
}

#[test]
fn idle_messages_do_not_grow_with_size_and_changes_apply_in_seconds() {
    let (_, _, small, _, _) = measure(36, 0.0, 0..2);
    let (_, all, large, _, leased) = measure(300, 0.1, 0..3);
    let (_, _, _, _, leased_at_high_loss) = measure(36, 0.3, 0..4);
    assert!(leased_at_high_loss > 0.99, "{leased_at_high_loss} hold a lease at a loss of 30 %");
    let (_, at_99_percent, ..) = measure(36, 0.1, 0..8);
    assert!(at_99_percent[4] < 600, "{at_99_percent:?}");
    assert!(large <= 1.3 * small && large < 8.0, "{small} and {large} messages per second");
    assert!(leased > 0.99, "{leased}");
    assert!(all.iter().all(|ms| *ms <= 2000), "{all:?}");
}

#[test]
#[ignore = "prints the table of the design note: `cargo test -p hollowpaddle-revision --test cluster -- --ignored --nocapture`"]
fn table_of_figures() {
    println!(
        "members loss | in force at 99 % p50 max | at all p50 max (ms) | messages/s per member | bytes per message"
    );
    for members in [5, 36, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let (durations_99_percent, all, messages, bytes, leased) =
                measure(members, loss, 0..20);
            let (p50, max) = (|v: &Vec<u64>| v[v.len() / 2], |v: &Vec<u64>| v[v.len() - 1]);
            println!(
                "{members:4} {loss:.1} | {:5} {:5} | {:5} {:5} | {messages:.2} | {bytes:.0} | {leased:.4}",
                p50(&durations_99_percent),
                max(&durations_99_percent),
                p50(&all),
                max(&all)
            );
        }
    }
    println!(
        "36 members, loss 0.1, changes per second, exact | hold a lease | messages/s | contradiction, mutual (ms)"
    );
    for (rate, exact) in [(1.0, false), (1.0, true), (40.0, false), (40.0, true)] {
        let setting = Setting {
            members: 36,
            fan: 8,
            loss: 0.1,
            faults: 0,
            rate,
            length: 30 * S,
            exact,
            ..random_setting(0)
        };
        let found = sweep(0..6, |_| setting.clone());
        let (leased, messages) = (
            1.0 - found.without_lease as f64 / found.observations as f64,
            found.messages / 6 / 30 / 36,
        );
        println!(
            "{rate:4} {exact:5} | {leased:.4} | {messages} | {} {}",
            found.contradiction / MS,
            found.mutual / MS
        );
    }
}
