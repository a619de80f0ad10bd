//! Banks in virtual time, judged by an oracle that sees who acted on what.

mod common;
mod sim;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use sim::oracle::Found;
use sim::{Broken, LEASES_EXPIRED, MS, S, Setting, Sim};

/// L and what is under way.
const T: u64 = 3 * S;

fn drawn(seed: u64) -> Setting {
    Setting {
        members: [5, 7, 9, 12][seed as usize % 4],
        fan: [2, 3, 8][seed as usize / 4 % 3],
        loss: [0.0, 0.1, 0.3][seed as usize / 12 % 3],
        length: 18 * S,
        faults: seed as usize / 36 % 7,
        rate: [0.3, 2.0, 40.0][seed as usize / 252 % 3],
        broken: Broken::Nothing,
        exact: seed % 10 == 9,
        tick: 20 * MS,
    }
}

/// Runs so many seeds on a few threads; the worst of each kind.
fn sweep(seeds: std::ops::Range<u64>, setting: impl Fn(u64) -> Setting + Sync) -> Found {
    let (next, worst) = (AtomicU64::new(seeds.start), Mutex::new(Found::default()));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return;
        }
        let found = Sim::new(seed, setting(seed)).finish();
        let mut worst = worst.lock().unwrap();
        if found.contradiction > worst.contradiction || found.mutual > worst.mutual {
            println!("seed {seed}: {:?}", (found.contradiction, found.mutual, found.refused));
        }
        worst.contradiction = worst.contradiction.max(found.contradiction);
        worst.mutual = worst.mutual.max(found.mutual);
        worst.refused += found.refused;
        worst.charters += found.charters;
        worst.words += found.words;
        (worst.acts, worst.blind) = (worst.acts + found.acts, worst.blind + found.blind);
    };
    std::thread::scope(|scope| {
        (0..3).for_each(|_| {
            scope.spawn(work);
        });
    });
    worst.into_inner().unwrap()
}

#[test]
fn no_two_contradict_each_other_for_longer_than_t_whatever_fails() {
    let found = sweep(0..1000, drawn);
    println!("{found:?}");
    assert!(found.contradiction <= T, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
    assert!(found.contradiction > S, "the sweep is too tame to judge by: {found:?}");
    assert!(found.charters > 300, "{found:?}");
    assert!(found.blind * 2 < found.acts, "{found:?}");
}

#[test]
#[ignore = "20,000 more, some minutes: `cargo test -p hollowpaddle-revision --test cluster -- --ignored wider`"]
fn wider_sweep() {
    let found = sweep(1000..21_000, |seed| Setting { length: 30 * S, ..drawn(seed) });
    println!("{found:?}");
    assert!(found.contradiction <= T, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
}

#[test]
fn without_the_lease_the_first_step_or_the_confirming_it_is_caught() {
    let broken = |broken| {
        move |seed| Setting {
            broken,
            faults: 4,
            rate: [0.4, 4.0][seed as usize % 2],
            loss: 0.1,
            length: 40 * S,
            ..drawn(seed)
        }
    };
    let whole = sweep(0..30, broken(Broken::Nothing));
    assert!(whole.contradiction <= T && whole.mutual == 0, "{whole:?}");
    for what in [Broken::Lease, Broken::FirstStep, Broken::Confirming] {
        let found = sweep(0..30, broken(what));
        println!("{what:?}: {found:?}");
        // Without a first step or without confirming, each contradiction still ends with a lease; but two
        // that know act against each other, which is never to be.
        match what {
            Broken::Lease => assert!(found.contradiction > 2 * T && found.mutual > T, "{found:?}"),
            _ => assert!(found.mutual > S / 2, "{what:?}: {found:?}"),
        }
    }
}

#[test]
fn three_hundred_balancers_keep_to_it_as_well() {
    let large = |seed| Setting {
        members: 300,
        fan: 8,
        tick: 50 * MS,
        length: 12 * S,
        faults: 5,
        loss: 0.1,
        rate: 2.0,
        ..drawn(seed)
    };
    let found = sweep(0..6, large);
    println!("{found:?}");
    assert!(found.contradiction <= T, "{found:?}");
    assert_eq!((found.mutual, found.refused), (0, 0), "{found:?}");
}

/// All are killed while the wide step is on its way, and come back one by one.
#[test]
fn all_killed_in_the_middle_of_the_second_step_agree_again() {
    for seed in 0..20 {
        let setting =
            Setting { members: 36, fan: 8, faults: 0, rate: 0.0, length: 40 * S, ..drawn(seed) };
        let mut cluster = Sim::new(seed, setting);
        cluster.run(4 * S);
        cluster.commit_now(&common::propose(1, None, common::without(&[2])));
        // The narrow step is confirmed within a second or two; the entry of the wide one has just been
        // applied by some.
        while cluster.log.last().unwrap().towards.is_some()
            || cluster.log.last().unwrap().revision == 0
        {
            let now = cluster.now;
            cluster.run(now + MS);
            assert!(cluster.now < 20 * S, "seed {seed}: no second step");
        }
        let now = cluster.now;
        cluster.run(now + 20 * MS);
        (0..36).for_each(|m| cluster.kill(m));
        let generation = cluster.log.last().unwrap().generation;
        cluster.run(39 * S);
        let (there, leased) = cluster.at_generation(generation);
        assert_eq!((there, cluster.log.last().unwrap().unconfirmed), (36, false), "seed {seed}");
        assert!(leased >= 30, "seed {seed}: {leased} hold leases");
        let found = cluster.finish();
        assert!(found.contradiction <= T && found.mutual == 0, "seed {seed}: {found:?}");
    }
}

/// A majority forgets the log, and it is founded anew without its last entries.
#[test]
fn a_log_that_is_founded_anew_waits_for_the_leases_of_the_one_before() {
    let worst = |wait| {
        let one = |seed: u64| {
            let setting = Setting { members: 9, faults: 0, rate: 4.0, loss: 0.0, ..drawn(seed) };
            let mut cluster = Sim::new(seed, setting);
            cluster.run(5 * S + seed * 37 * MS);
            cluster.forget(wait);
            cluster.finish()
        };
        (0..60).map(|seed| one(seed).mutual).max()
    };
    assert_eq!(worst(LEASES_EXPIRED), Some(0));
    assert!(worst(50 * MS) > Some(0), "too early it is caught");
}

/// One is cut off with the old charter while the others make it smaller. What happens next is `then`'s.
fn fallback_policy(seed: u64, broken: Broken, then: impl Fn(&mut Sim, usize)) -> (Sim, usize) {
    let setting =
        Setting { members: 7, fan: 2, faults: 0, rate: 0.0, length: 60 * S, broken, ..drawn(seed) };
    let mut cluster = Sim::new(seed, setting);
    cluster.run(5 * S);
    let cut = (cluster.leader().unwrap() + 1) % 7;
    cluster.cut(cut);
    cluster.run(9 * S);
    let smaller = FallbackPolicy { cells: [0, 4].into(), ..common::bootstrap(7).fallback_policy };
    cluster.commit_now(&Entry::FallbackPolicy(CommandId(1), smaller, Box::default()));
    cluster.run(15 * S);
    then(&mut cluster, cut);
    (cluster, cut)
}

#[test]
fn a_charter_waits_for_the_one_that_is_cut_off_or_for_operators_word() {
    let awaited = |cluster: &Sim| cluster.log.last().unwrap().awaited;
    let puts_out = |cluster: &mut Sim, id| {
        cluster.commit_now(&common::propose(id, None, common::without(&[1])));
        let now = cluster.now;
        cluster.run(now + 10 * S);
        cluster.log.last().unwrap().revision > 0
    };
    for seed in 0..12 {
        let (mut cluster, _) = fallback_policy(seed, Broken::Nothing, |_, _| ());
        assert!(
            awaited(&cluster) && !puts_out(&mut cluster, 2),
            "seed {seed}: without everybody's word"
        );
        cluster.heal();
        cluster.run(32 * S);
        assert!(
            !awaited(&cluster) && puts_out(&mut cluster, 3),
            "seed {seed}: it is back, and says so"
        );
        let found = cluster.finish();
        assert!(found.contradiction <= T && found.mutual == 0, "seed {seed}: {found:?}");

        let (mut cluster, cut) = fallback_policy(seed, Broken::Nothing, |cluster, cut| {
            cluster.kill(cut);
            cluster.commit_now(&Entry::Dead(CommandId(9), NodeId(cut as u16)));
        });
        cluster.run(18 * S);
        assert!(
            !awaited(&cluster) && puts_out(&mut cluster, 2),
            "seed {seed}: {cut} is dead, by operators' word"
        );
    }
    let (mut cluster, _) = fallback_policy(0, Broken::FallbackPolicy, |_, _| ());
    assert!(!awaited(&cluster) && puts_out(&mut cluster, 2));
    assert!(cluster.finish().contradiction > T, "without waiting for everybody it is caught");
}

/// How long from the log's yes until all act on the new rules alone, and what it costs at rest.
fn figures(
    members: usize,
    loss: f64,
    seeds: std::ops::Range<u64>,
) -> (Vec<u64>, Vec<u64>, f64, f64, f64) {
    let (mut most, mut all, mut words, mut bytes, mut leased) = (vec![], vec![], 0.0, 0.0, 0.0);
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
            ..drawn(0)
        };
        let mut cluster = Sim::new(seed, setting);
        cluster.run(5 * S);
        let (before, before_bytes) = (cluster.words, cluster.bytes);
        for half in 1..=10 {
            cluster.run(5 * S + half * S / 2);
            leased += cluster.at_generation(0).1 as f64 / 10.0 / members as f64;
        }
        words += (cluster.words - before) as f64 / 5.0 / members as f64;
        bytes += (cluster.bytes - before_bytes) as f64 / (cluster.words - before) as f64;
        let yes = cluster.now;
        let index = cluster.commit_now(&common::propose(1, None, common::without(&[2])));
        let mut late = None;
        loop {
            let now = cluster.now;
            cluster.run(now + 5 * MS);
            let last = cluster.log.last().unwrap().clone();
            if last.revision == index as u64 {
                let there = cluster.at_generation(last.generation).0;
                late = late.or((there * 100 >= members * 99).then_some(cluster.now - yes));
                if there == members {
                    break;
                }
            }
            assert!(cluster.now - yes < 20 * S, "seed {seed}, {members} members, loss {loss}");
        }
        most.push(late.unwrap() / MS);
        all.push((cluster.now - yes) / MS);
    }
    most.sort_unstable();
    all.sort_unstable();
    let runs = (seeds.end - seeds.start) as f64;
    (most, all, words / runs, bytes / runs, leased / runs)
}

#[test]
fn words_at_rest_are_flat_from_36_to_300_and_a_change_is_in_force_in_seconds() {
    let (_, _, small, _, _) = figures(36, 0.0, 0..2);
    let (_, all, large, _, leased) = figures(300, 0.1, 0..3);
    // Without asking more often towards a lease's end 96 % hold one; without asking again soon a change
    // takes 730 ms.
    let (_, _, _, _, bad) = figures(36, 0.3, 0..4);
    assert!(bad > 0.99, "{bad} hold a lease with 30 % lost");
    let (_, soon, ..) = figures(36, 0.1, 0..8);
    assert!(soon[4] < 600, "{soon:?}");
    assert!(large <= 1.3 * small && large < 8.0, "{small} and {large} words a second");
    assert!(leased > 0.99, "{leased}");
    assert!(all.iter().all(|ms| *ms <= 2000), "{all:?}");
}

#[test]
#[ignore = "the note's table: `cargo test -p hollowpaddle-revision --test cluster -- --ignored --nocapture`"]
fn table_of_figures() {
    println!(
        "members loss | in force at 99 % p50 max | at all p50 max (ms) | words/s a member | bytes a word"
    );
    for members in [5, 36, 300] {
        for loss in [0.0, 0.1, 0.3] {
            let (most, all, words, bytes, leased) = figures(members, loss, 0..20);
            let (p50, max) = (|v: &Vec<u64>| v[v.len() / 2], |v: &Vec<u64>| v[v.len() - 1]);
            println!(
                "{members:4} {loss:.1} | {:5} {:5} | {:5} {:5} | {words:.2} | {bytes:.0} | {leased:.4}",
                p50(&most),
                max(&most),
                p50(&all),
                max(&all)
            );
        }
    }
    println!(
        "36 members, loss 0.1, changes a second, exact | hold a lease | words/s | contradiction, mutual (ms)"
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
            ..drawn(0)
        };
        let found = sweep(0..6, |_| setting.clone());
        let (leased, words) =
            (1.0 - found.blind as f64 / found.acts as f64, found.words / 6 / 30 / 36);
        println!(
            "{rate:4} {exact:5} | {leased:.4} | {words} | {} {}",
            found.contradiction / MS,
            found.mutual / MS
        );
    }
}
