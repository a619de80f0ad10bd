//! All nodes of a cluster learn the entries that the voters commit.

mod simulation;

use hollowpaddle_consensus::{LearnerEvent, LogIndex, ProposalId, ProposalOutcome, ReplicaStatus};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{AppliedLog, Simulation, ms};

const FIVE: [u16; 5] = [0, 7, 14, 21, 28];

fn cluster(seed: u64, size: u16, loss: f64) -> Simulation {
    let mut simulation = Simulation::with(seed, size, &FIVE, false, true);
    simulation.loss = loss;
    assert!(simulation.await_leader(10_000).is_some(), "seed {seed}: {}", simulation.states());
    simulation.run_for_ms(2500);
    simulation
}

fn propose(simulation: &mut Simulation, at: u16) -> ProposalId {
    simulation.proposed += 1;
    let id =
        ProposalId { by: NodeId(at), incarnation: Incarnation(3), number: simulation.proposed };
    simulation.handle_learner_event(at, LearnerEvent::Propose { id, bytes: vec![5; 40] });
    id
}

fn copies(simulation: &Simulation) -> Vec<&AppliedLog> {
    simulation.nodes.iter().filter(|n| n.replica.is_some()).map(|n| &n.learner_log).collect()
}

fn logs_are_equal(simulation: &Simulation) -> bool {
    let copies = copies(simulation);
    copies.iter().all(|c| {
        c.last_op == copies[0].last_op && c.epoch == copies[0].epoch && c.ids == copies[0].ids
    })
}

fn settle(simulation: &mut Simulation, within: u64) {
    let began = simulation.now;
    while !logs_are_equal(simulation) {
        simulation.run_for_ms(20);
        let at: Vec<_> = copies(simulation).iter().map(|c| (c.epoch, c.last_op)).collect();
        assert!(simulation.now < began + ms(within), "the logs differ after {within} ms: {at:?}");
    }
}

#[test]
fn an_entry_proposed_anywhere_reaches_all_nodes_within_bounds() {
    for (size, loss, bound) in
        [(36, 0.0, 300), (36, 0.1, 1000), (36, 0.3, 2000), (300, 0.0, 400), (300, 0.1, 1500)]
    {
        let mut simulation = cluster(4, size, loss);
        let mut times = Vec::new();
        for at in 0..6 {
            let began = simulation.now;
            let id = propose(&mut simulation, at * (size / 6));
            let entries = copies(&simulation)[0].last_op;
            while !copies(&simulation).iter().all(|c| c.last_op > entries) {
                simulation.run_for_ms(5);
                assert!(simulation.now < began + ms(5000));
            }
            times.push((simulation.now - began).as_millis());
            simulation.run_for_ms(2000);
            assert!(
                matches!(simulation.answered.get(&id), Some(ProposalOutcome::Committed(_))),
                "{id:?} at {size}, {loss}"
            );
        }
        times.sort_unstable();
        println!("{size} balancers, loss {loss}: on all nodes after {times:?} ms");
        assert!(*times.last().expect("six") <= bound, "{size}, {loss}: {times:?}");
    }
}

#[test]
fn learners_have_at_most_eight_children_and_agree_on_the_tree() {
    let mut simulation = cluster(5, 300, 0.0);
    simulation.run_for_ms(8000);
    let mut children = vec![0; 300];
    for node in &simulation.nodes {
        if let Some(source) = node.source {
            children[source as usize] += 1;
        }
    }
    assert!(children.iter().all(|c| *c <= 8), "{children:?}");
    assert_eq!(children.iter().sum::<i32>(), 299, "all but the leader have a source");
}

#[test]
fn children_of_dead_nodes_find_another_source() {
    for seed in 0..4 {
        let mut simulation = cluster(seed, 80, 0.0);
        let leader = simulation.leader().expect("settled");
        let dead: Vec<u16> =
            (0..80).filter(|m| m % 3 == 1 && !FIVE.contains(m) && *m != leader).collect();
        dead.iter().for_each(|m| simulation.crash(*m));
        simulation.run_for_ms(200);
        let id = propose(&mut simulation, 0);
        simulation.run_for_ms(3000);
        assert!(matches!(simulation.answered.get(&id), Some(ProposalOutcome::Committed(_))));
        settle(&mut simulation, 5000);
    }
}

#[test]
fn a_learner_that_was_down_catches_up_in_small_parts() {
    let mut simulation = cluster(1, 36, 0.1);
    simulation.takes_snapshots = true;
    simulation.min_snapshot_bytes = 150_000;
    simulation.crash(30);
    for round in 0..300 {
        for at in 0..4 {
            propose(&mut simulation, (round + at) % 30);
        }
        simulation.run_for_ms(50);
    }
    simulation.run_for_ms(1500);
    let entries = copies(&simulation)[0].last_op;
    assert!(entries >= 1000, "{entries}");
    let before: u64 = simulation.learner_traffic.values().map(|s| s.1).sum();
    simulation.start(30);
    let began = simulation.now;
    while simulation.nodes[30].learner_log.last_op < entries {
        simulation.run_for_ms(20);
        assert!(
            simulation.now < began + ms(10_000),
            "at {} of {entries}",
            simulation.nodes[30].learner_log.last_op
        );
    }
    let bytes = simulation.learner_traffic.values().map(|s| s.1).sum::<u64>() - before;
    println!(
        "{entries} entries, 150 kB of state: {} ms, {bytes} bytes in all",
        (simulation.now - began).as_millis()
    );
    assert_eq!(simulation.nodes[30].learner_log.ids, simulation.nodes[0].learner_log.ids);
    assert!(bytes < 1_500_000, "{bytes}");
}

#[test]
fn learners_copies_restore_the_log_after_all_voters_lose_their_state() {
    let only: Option<u64> = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    for seed in only.map_or(0..10, |s| s..s + 1) {
        let mut simulation = cluster(seed, 36, [0.0, 0.1][seed as usize % 2]);
        let ids: Vec<ProposalId> = (0..20)
            .map(|n| {
                simulation.run_for_ms(40);
                propose(&mut simulation, n)
            })
            .collect();
        simulation.run_for_ms(30 * seed);
        let acknowledged_ids: Vec<ProposalId> =
            ids.into_iter().filter(|id| simulation.acknowledged.contains_key(id)).collect();
        FIVE.iter().for_each(|m| simulation.crash(*m));
        FIVE.iter().for_each(|m| simulation.start_after(*m, ms(50)));
        let began = simulation.now;
        simulation.run_for_ms(100);
        assert!(simulation.await_leader(4000).is_some(), "seed {seed}: {}", simulation.states());
        println!(
            "seed {seed}: a leader {} ms after all voters were killed",
            (simulation.now - began).as_millis()
        );
        simulation.run_for_ms(1500);
        settle(&mut simulation, 5000);
        let recovered_ids: Vec<ProposalId> =
            simulation.nodes[0].learner_log.ids.iter().map(|(_, id)| *id).collect();
        for id in acknowledged_ids {
            assert!(
                recovered_ids.contains(&id),
                "seed {seed}: acknowledged proposal {id:?} is lost, although learners had it"
            );
        }
    }
}

#[test]
fn a_cluster_of_300_recovers_after_all_nodes_are_killed() {
    let mut simulation = cluster(2, 300, 0.0);
    propose(&mut simulation, 9);
    simulation.run_for_ms(500);
    let epoch = copies(&simulation)[0].epoch;
    (0..300).for_each(|m| simulation.crash(m));
    (0..300).for_each(|m| simulation.start_after(m, ms(u64::from(m) * 2)));
    simulation.run_for_ms(700);
    assert!(simulation.await_leader(4000).is_some(), "{}", simulation.states());
    simulation.run_for_ms(1000);
    settle(&mut simulation, 3000);
    assert_ne!(
        copies(&simulation)[0].epoch,
        epoch,
        "no node kept its state, so the epoch is another one"
    );
    let id = propose(&mut simulation, 200);
    simulation.run_for_ms(1000);
    assert!(matches!(simulation.answered.get(&id), Some(ProposalOutcome::Committed(_))));
}

#[test]
fn a_dead_voter_is_replaced_and_the_new_one_counts() {
    for seed in 0..10 {
        let mut simulation = cluster(seed, 36, [0.0, 0.1, 0.3][seed as usize % 3]);
        let leader = simulation.leader().expect("settled");
        let dead = *FIVE.iter().find(|m| **m != leader).expect("five");
        simulation.crash(dead);
        simulation.run_for_ms(300);
        let id = ProposalId { by: NodeId(1), incarnation: Incarnation(9), number: seed };
        let replace = hollowpaddle_consensus::OperatorCommand::ReplaceVoter {
            id,
            removed: NodeId(dead),
            replacement: Some(NodeId(3)),
        };
        // Only the leader acts on the command, so the command is repeated until a leader has received it.
        for _ in 0..20 {
            let leader = simulation.leader().unwrap_or(leader);
            simulation.handle_replica_event(
                leader,
                hollowpaddle_consensus::Event::OperatorCommand(replace.clone()),
            );
            simulation.run_for_ms(200);
        }
        simulation.run_for_ms(2500);
        let replica = simulation.nodes[3].replica.as_ref().expect("it runs");
        assert_eq!(replica.status(), ReplicaStatus::Normal, "seed {seed}: {}", simulation.states());
        assert!(
            replica.voter_set().voters.contains(&NodeId(3))
                && !replica.voter_set().voters.contains(&NodeId(dead))
        );
        // After a crash of two of the four old voters, the other two and the new voter are a majority.
        let old: Vec<u16> = FIVE.iter().copied().filter(|m| *m != dead).take(2).collect();
        old.iter().for_each(|m| simulation.crash(*m));
        simulation.run_for_ms(3000);
        let id = propose(&mut simulation, 5);
        simulation.run_for_ms(3000);
        assert!(
            matches!(simulation.answered.get(&id), Some(ProposalOutcome::Committed(_))),
            "seed {seed}: {}",
            simulation.states()
        );
        // The removed voter restarts, and learns that it is no longer a voter.
        simulation.start(dead);
        simulation.run_for_ms(3000);
        let status = simulation.nodes[dead as usize].replica.as_ref().map(|c| c.status());
        assert_eq!(status, Some(ReplicaStatus::NonVoter), "seed {seed}: {}", simulation.states());
    }
}

#[test]
fn operators_continue_after_the_permanent_loss_of_a_majority() {
    let mut simulation = cluster(3, 36, 0.0);
    let id = propose(&mut simulation, 9);
    simulation.run_for_ms(1000);
    assert!(simulation.acknowledged.contains_key(&id));
    [0, 7, 14].iter().for_each(|m| simulation.crash(*m));
    simulation.run_for_ms(3000);
    assert_eq!(simulation.leader(), None);
    let voters = [21, 28, 1].map(NodeId).to_vec();
    simulation.handle_replica_event(
        21,
        hollowpaddle_consensus::Event::OperatorCommand(
            hollowpaddle_consensus::OperatorCommand::ForceNewEpoch { voters },
        ),
    );
    simulation.run_for_ms(4000);
    let later = propose(&mut simulation, 12);
    simulation.run_for_ms(2000);
    assert!(
        matches!(simulation.answered.get(&later), Some(ProposalOutcome::Committed(_))),
        "{}",
        simulation.states()
    );
    let ids: Vec<ProposalId> =
        simulation.nodes[12].learner_log.ids.iter().map(|(_, id)| *id).collect();
    assert!(ids.contains(&id) && ids.contains(&later));
    // The removed voters restart without state, and learn that they are no longer voters.
    [0, 7, 14].iter().for_each(|m| simulation.start(*m));
    simulation.run_for_ms(4000);
    settle(&mut simulation, 3000);
    let at = simulation.nodes[0].learner_log.last_op;
    assert!(LogIndex::new(simulation.nodes[0].learner_log.epoch, at) > LogIndex::default());
}
