//! The time until a leader is elected, and leaders under partial connectivity.

mod simulation;

use hollowpaddle_consensus::ProposalId;
use simulation::{Simulation, ms};

/// Returns a cluster with a leader, with this probability of message loss.
fn settled_cluster(seed: u64, size: u16, loss: f64) -> Simulation {
    let voters: Vec<u16> = (0..size).collect();
    let mut simulation = Simulation::new(seed, size, &voters, false);
    simulation.loss = loss;
    assert!(simulation.await_leader(10_000).is_some(), "seed {seed}: no leader was elected");
    simulation.run_for_ms(2500);
    assert!(simulation.await_leader(3000).is_some(), "seed {seed}");
    simulation
}

fn is_answered(simulation: &Simulation, id: &ProposalId) -> bool {
    simulation.acknowledged.contains_key(id)
}

/// Returns the sorted times from a kill of the leader to the next leader, in milliseconds.
fn election_times_after_kill(loss: f64, size: u16, seeds: u64) -> Vec<u64> {
    let mut times: Vec<u64> = (0..seeds)
        .map(|seed| {
            let mut simulation = settled_cluster(seed, size, loss);
            let leader = simulation.leader().expect("settled");
            let views = simulation.led_views.len();
            simulation.crash(leader);
            let began = simulation.now;
            while simulation.led_views.len() == views || simulation.leader().is_none() {
                simulation.run_for_ms(5);
                assert!(simulation.now < began + ms(6000), "seed {seed}: {}", simulation.states());
            }
            (simulation.now - began).as_millis() as u64
        })
        .collect();
    times.sort_unstable();
    times
}

#[test]
fn a_leader_is_elected_within_1500_ms_after_a_kill() {
    for size in [3, 5, 7] {
        for (loss, percent, bound) in [(0.0, 100, 1500), (0.1, 99, 1500), (0.3, 95, 1500)] {
            let times = election_times_after_kill(loss, size, 100);
            let at = times[(times.len() * percent).div_ceil(100) - 1];
            println!(
                "{size} voters, loss {loss}: half {} ms, {percent} % {at} ms, all {} ms",
                times[50], times[99]
            );
            assert!(
                at <= bound,
                "{size} voters, loss {loss}: {percent} % within {at} ms; {times:?}"
            );
        }
    }
}

/// Calls `cut` with the leader to cut links. Asserts that within 1.5 s there is a leader, and that it commits entries
/// and keeps leading.
fn assert_leader_survives(cut: impl Fn(&mut Simulation, u16)) {
    for seed in 0..40 {
        let mut simulation = settled_cluster(seed, 5, 0.0);
        let leader = simulation.leader().expect("settled");
        cut(&mut simulation, leader);
        simulation.run_for_ms(1500);
        let led_views = simulation.led_views.len();
        assert!(simulation.leader().is_some(), "seed {seed}: {}", simulation.states());
        for _ in 0..20 {
            let leader = simulation.leader().unwrap_or(leader);
            let id = simulation.propose(leader, vec![1]);
            simulation.run_for_ms(250);
            assert!(
                is_answered(&simulation, &id),
                "seed {seed}: nothing is committed: {}",
                simulation.states()
            );
        }
        assert!(
            simulation.led_views.len() <= led_views + 1,
            "seed {seed}: leaders keep changing: {:?}",
            simulation.led_views
        );
        simulation.heal_and_assert_consistent(seed);
    }
}

#[test]
fn replaces_a_leader_that_receives_nothing() {
    assert_leader_survives(|simulation, leader| {
        simulation.cut_links.extend((0..5).map(|from| (from, leader)))
    });
}

#[test]
fn replaces_a_leader_that_nobody_receives() {
    assert_leader_survives(|simulation, leader| {
        simulation.cut_links.extend((0..5).map(|to| (leader, to)))
    });
}

#[test]
fn keeps_a_leader_in_a_ring_of_links() {
    assert_leader_survives(|simulation, _| {
        simulation.keep_only_links(&[(0, 1), (1, 2), (2, 3), (3, 4), (4, 0)])
    });
}

#[test]
fn keeps_a_leader_in_a_chain_of_links() {
    // The voter in the middle is connected to both ends: a majority of three in each view.
    assert_leader_survives(|simulation, leader| {
        let others: Vec<u16> = (0..5).filter(|m| *m != leader).collect();
        simulation.keep_only_links(&[
            (others[0], leader),
            (leader, others[1]),
            (others[1], others[2]),
            (others[2], others[3]),
        ]);
    });
}

#[test]
fn elects_the_only_voter_connected_to_a_majority() {
    // A star around a voter that is not the leader.
    assert_leader_survives(|simulation, leader| {
        let middle = (leader + 1) % 5;
        let links: Vec<(u16, u16)> = (0..5).map(|m| (middle, m)).collect();
        simulation.keep_only_links(&links);
    });
}

#[test]
fn keeps_a_leader_in_the_zone_of_three_when_cut_off_from_two() {
    assert_leader_survives(|simulation, _| {
        for a in 0..3 {
            for b in 3..5 {
                simulation.cut_links.insert((a, b));
                simulation.cut_links.insert((b, a));
            }
        }
    });
}

#[test]
fn keeps_a_leader_when_zones_are_connected_one_way() {
    assert_leader_survives(|simulation, _| {
        for a in 0..3 {
            for b in 3..5 {
                simulation.cut_links.insert((a, b));
            }
        }
    });
}
