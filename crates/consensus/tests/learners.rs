//! A whole bank learns what the council agrees on.

mod simulation;

use hollowpaddle_consensus::{LearnerEvent, LogIndex, ProposalId, ProposalOutcome, ReplicaStatus};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{App, World, ms};

const FIVE: [u16; 5] = [0, 7, 14, 21, 28];

fn cluster(seed: u64, size: u16, loss: f64) -> World {
    let mut world = World::with(seed, size, &FIVE, false, true);
    world.loss = loss;
    assert!(world.await_leader(10_000).is_some(), "seed {seed}: {}", world.states());
    world.for_ms(2500);
    world
}

fn propose(world: &mut World, at: u16) -> ProposalId {
    world.proposed += 1;
    let id = ProposalId { by: NodeId(at), incarnation: Incarnation(3), number: world.proposed };
    world.learn(at, LearnerEvent::Propose { id, bytes: vec![5; 40] });
    id
}

fn copies(world: &World) -> Vec<&App> {
    world.nodes.iter().filter(|n| n.replica.is_some()).map(|n| &n.copy).collect()
}

fn all_alike(world: &World) -> bool {
    let copies = copies(world);
    copies
        .iter()
        .all(|c| c.at == copies[0].at && c.epoch == copies[0].epoch && c.ids == copies[0].ids)
}

fn settle(world: &mut World, within: u64) {
    let began = world.now;
    while !all_alike(world) {
        world.for_ms(20);
        let at: Vec<_> = copies(world).iter().map(|c| (c.epoch, c.at)).collect();
        assert!(world.now < began + ms(within), "they differ after {within} ms: {at:?}");
    }
}

#[test]
fn an_entry_proposed_anywhere_is_everywhere_soon() {
    for (size, loss, bound) in
        [(36, 0.0, 300), (36, 0.1, 1000), (36, 0.3, 2000), (300, 0.0, 400), (300, 0.1, 1500)]
    {
        let mut world = cluster(4, size, loss);
        let mut times = Vec::new();
        for at in 0..6 {
            let began = world.now;
            let id = propose(&mut world, at * (size / 6));
            let entries = copies(&world)[0].at;
            while !copies(&world).iter().all(|c| c.at > entries) {
                world.for_ms(5);
                assert!(world.now < began + ms(5000));
            }
            times.push((world.now - began).as_millis());
            world.for_ms(2000);
            assert!(
                matches!(world.answered.get(&id), Some(ProposalOutcome::Committed(_))),
                "{id:?} at {size}, {loss}"
            );
        }
        times.sort_unstable();
        println!("{size} balancers, loss {loss}: everywhere after {times:?} ms");
        assert!(*times.last().expect("six") <= bound, "{size}, {loss}: {times:?}");
    }
}

#[test]
fn no_learner_has_more_than_eight_children_and_all_know_the_same_tree() {
    let mut world = cluster(5, 300, 0.0);
    world.for_ms(8000);
    let mut children = vec![0; 300];
    for node in &world.nodes {
        if let Some(source) = node.source {
            children[source as usize] += 1;
        }
    }
    assert!(children.iter().all(|c| *c <= 8), "{children:?}");
    assert_eq!(children.iter().sum::<i32>(), 299, "all but the leader have a source");
}

#[test]
fn those_below_the_dead_find_another_source() {
    for seed in 0..4 {
        let mut world = cluster(seed, 80, 0.0);
        let leader = world.leader().expect("settled");
        let dead: Vec<u16> =
            (0..80).filter(|m| m % 3 == 1 && !FIVE.contains(m) && *m != leader).collect();
        dead.iter().for_each(|m| world.crash(*m));
        world.for_ms(200);
        let id = propose(&mut world, 0);
        world.for_ms(3000);
        assert!(matches!(world.answered.get(&id), Some(ProposalOutcome::Committed(_))));
        settle(&mut world, 5000);
    }
}

#[test]
fn one_that_was_away_for_a_thousand_entries_catches_up_and_takes_little_at_a_time() {
    let mut world = cluster(1, 36, 0.1);
    world.snapshots = true;
    world.state_len = 150_000;
    world.crash(30);
    for round in 0..300 {
        for at in 0..4 {
            propose(&mut world, (round + at) % 30);
        }
        world.for_ms(50);
    }
    world.for_ms(1500);
    let entries = copies(&world)[0].at;
    assert!(entries >= 1000, "{entries}");
    let before: u64 = world.log_sent.values().map(|s| s.1).sum();
    world.start(30);
    let began = world.now;
    while world.nodes[30].copy.at < entries {
        world.for_ms(20);
        assert!(world.now < began + ms(10_000), "at {} of {entries}", world.nodes[30].copy.at);
    }
    let bytes = world.log_sent.values().map(|s| s.1).sum::<u64>() - before;
    println!(
        "{entries} entries, 150 kB of state: {} ms, {bytes} bytes in all",
        (world.now - began).as_millis()
    );
    assert_eq!(world.nodes[30].copy.ids, world.nodes[0].copy.ids);
    assert!(bytes < 1_500_000, "{bytes}");
}

#[test]
fn all_voters_forget_at_once_and_the_learners_copies_bring_the_log_back() {
    let only: Option<u64> = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    for seed in only.map_or(0..10, |s| s..s + 1) {
        let mut world = cluster(seed, 36, [0.0, 0.1][seed as usize % 2]);
        let ids: Vec<ProposalId> = (0..20)
            .map(|n| {
                world.for_ms(40);
                propose(&mut world, n)
            })
            .collect();
        world.for_ms(30 * seed);
        let told: Vec<ProposalId> =
            ids.into_iter().filter(|id| world.yes.contains_key(id)).collect();
        FIVE.iter().for_each(|m| world.crash(*m));
        FIVE.iter().for_each(|m| world.start_after(*m, ms(50)));
        let began = world.now;
        world.for_ms(100);
        assert!(world.await_leader(4000).is_some(), "seed {seed}: {}", world.states());
        println!(
            "seed {seed}: a leader {} ms after all voters were killed",
            (world.now - began).as_millis()
        );
        world.for_ms(1500);
        settle(&mut world, 5000);
        let kept: Vec<ProposalId> = world.nodes[0].copy.ids.iter().map(|(_, id)| *id).collect();
        for id in told {
            assert!(
                kept.contains(&id),
                "seed {seed}: a yes to {id:?} is lost, and learners had it"
            );
        }
    }
}

#[test]
fn all_three_hundred_are_killed_at_once() {
    let mut world = cluster(2, 300, 0.0);
    propose(&mut world, 9);
    world.for_ms(500);
    let epoch = copies(&world)[0].epoch;
    (0..300).for_each(|m| world.crash(m));
    (0..300).for_each(|m| world.start_after(m, ms(u64::from(m) * 2)));
    world.for_ms(700);
    assert!(world.await_leader(4000).is_some(), "{}", world.states());
    world.for_ms(1000);
    settle(&mut world, 3000);
    assert_ne!(copies(&world)[0].epoch, epoch, "what nobody remembers is another epoch");
    let id = propose(&mut world, 200);
    world.for_ms(1000);
    assert!(matches!(world.answered.get(&id), Some(ProposalOutcome::Committed(_))));
}

#[test]
fn a_dead_member_is_replaced_and_the_new_one_counts() {
    for seed in 0..10 {
        let mut world = cluster(seed, 36, [0.0, 0.1, 0.3][seed as usize % 3]);
        let leader = world.leader().expect("settled");
        let dead = *FIVE.iter().find(|m| **m != leader).expect("five");
        world.crash(dead);
        world.for_ms(300);
        let id = ProposalId { by: NodeId(1), incarnation: Incarnation(9), number: seed };
        let replace = hollowpaddle_consensus::OperatorCommand::ReplaceVoter {
            id,
            removed: NodeId(dead),
            replacement: Some(NodeId(3)),
        };
        // The one that is asked answers as a leader or not at all.
        for _ in 0..20 {
            let leader = world.leader().unwrap_or(leader);
            world.event(leader, hollowpaddle_consensus::Event::OperatorCommand(replace.clone()));
            world.for_ms(200);
        }
        world.for_ms(2500);
        let replica = world.nodes[3].replica.as_ref().expect("it runs");
        assert_eq!(replica.status(), ReplicaStatus::Normal, "seed {seed}: {}", world.states());
        assert!(
            replica.members().voters.contains(&NodeId(3))
                && !replica.members().voters.contains(&NodeId(dead))
        );
        // Two of the four old ones die: with the new one there is a majority.
        let old: Vec<u16> = FIVE.iter().copied().filter(|m| *m != dead).take(2).collect();
        old.iter().for_each(|m| world.crash(*m));
        world.for_ms(3000);
        let id = propose(&mut world, 5);
        world.for_ms(3000);
        assert!(
            matches!(world.answered.get(&id), Some(ProposalOutcome::Committed(_))),
            "seed {seed}: {}",
            world.states()
        );
        // The one that went comes back, and finds that it votes no more.
        world.start(dead);
        world.for_ms(3000);
        let status = world.nodes[dead as usize].replica.as_ref().map(|c| c.status());
        assert_eq!(status, Some(ReplicaStatus::Outside), "seed {seed}: {}", world.states());
    }
}

#[test]
fn operators_go_on_without_a_majority_that_is_gone_for_good() {
    let mut world = cluster(3, 36, 0.0);
    let id = propose(&mut world, 9);
    world.for_ms(1000);
    assert!(world.yes.contains_key(&id));
    [0, 7, 14].iter().for_each(|m| world.crash(*m));
    world.for_ms(3000);
    assert_eq!(world.leader(), None);
    let members = [21, 28, 1].map(NodeId).to_vec();
    world.event(
        21,
        hollowpaddle_consensus::Event::OperatorCommand(
            hollowpaddle_consensus::OperatorCommand::ForceNewEpoch { members },
        ),
    );
    world.for_ms(4000);
    let later = propose(&mut world, 12);
    world.for_ms(2000);
    assert!(
        matches!(world.answered.get(&later), Some(ProposalOutcome::Committed(_))),
        "{}",
        world.states()
    );
    let ids: Vec<ProposalId> = world.nodes[12].copy.ids.iter().map(|(_, id)| *id).collect();
    assert!(ids.contains(&id) && ids.contains(&later));
    // The others come back with nothing, and learn that they vote no more.
    [0, 7, 14].iter().for_each(|m| world.start(*m));
    world.for_ms(4000);
    settle(&mut world, 3000);
    let at = world.nodes[0].copy.at;
    assert!(LogIndex::new(world.nodes[0].copy.epoch, at) > LogIndex::default());
}
