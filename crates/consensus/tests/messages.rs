//! The size and the decoding of messages, and the handling of messages that no node would send.

mod simulation;

use hollowpaddle_consensus::{
    Action, EntryPayload, Event, IncarnationCounts, Learner, LearnerConfig, LearnerEvent, LogPart,
    MAX_MESSAGE_BYTES, Message, MessageBody, MessageError, ProposalId, ProposalOutcome, Replica,
    ReplicaConfig, View, VoterSet, default_voters, tree_order, tree_parent,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use proptest::prelude::*;
use simulation::{Simulation, ms};

fn message(body: MessageBody) -> Message {
    Message { view: View::default(), incarnation_counts: IncarnationCounts::new(), body }
}

#[test]
fn frequent_messages_fit_a_datagram() {
    let voters: Vec<u16> = (0..7).map(|m| m * 40).collect();
    let mut simulation = Simulation::new(3, 281, &voters, true);
    simulation.run(ms(2500));
    for round in 0..40 {
        simulation.propose(simulation.leader().expect("leads"), vec![round; 64]);
        simulation.run_for_ms(60);
    }
    println!("longest frequent message: {} bytes", simulation.longest_frequent_message);
    assert!(
        (40..=200).contains(&simulation.longest_frequent_message),
        "{}",
        simulation.longest_frequent_message
    );
}

#[test]
fn default_voters_are_spread_over_the_node_ids() {
    let numbers = |cluster| default_voters(cluster).iter().map(|m| m.0).collect::<Vec<_>>();
    assert_eq!(numbers(100), [0, 20, 40, 60, 80]);
    assert_eq!(numbers(300), [0, 42, 85, 128, 171, 214, 257]);
    assert_eq!(numbers(3), [0, 1, 2]);
    assert_eq!(numbers(0), [0; 0]);
}

#[test]
fn the_tree_of_300_nodes_has_three_levels_below_the_leader() {
    let voter_set = VoterSet::of(default_voters(300));
    let order = tree_order(300, &voter_set, Some(NodeId(128)));
    assert_eq!(order[0], NodeId(128));
    let mut deepest = 0;
    for position in 0..300 {
        let (mut at, mut steps) = (position, 0);
        while let Some(source) = tree_parent(&order, at) {
            at = order.iter().position(|m| *m == source).expect("every node is in the tree");
            steps += 1;
        }
        assert_eq!(at, 0, "the leader is the root of every path");
        deepest = deepest.max(steps);
    }
    assert_eq!(deepest, 3);
}

#[test]
fn only_impossible_proposals_are_rejected() {
    let config =
        LearnerConfig { node_id: NodeId(3), voters: vec![NodeId(0)], cluster_size: 4, seed: 1 };
    let mut learner = Learner::new(ms(0), config);
    let id = |number| ProposalId { by: NodeId(3), incarnation: Incarnation(1), number };
    let mut actions = Vec::new();
    learner.handle(
        ms(0),
        LearnerEvent::Propose { id: id(1), bytes: vec![0; 16_385] },
        &mut actions,
    );
    learner.handle(
        ms(0),
        LearnerEvent::Propose { id: id(2), bytes: vec![0; 16_384] },
        &mut actions,
    );
    for tick in 0..500 {
        learner.handle(ms(tick * 25), LearnerEvent::Tick, &mut actions);
    }
    let answered: Vec<_> = actions
        .iter()
        .filter_map(|a| match a {
            hollowpaddle_consensus::LearnerAction::Answered { id, outcome } => {
                Some((id.number, *outcome))
            }
            _ => None,
        })
        .collect();
    assert_eq!(answered, [(1, ProposalOutcome::Rejected), (2, ProposalOutcome::Unknown)]);
}

#[test]
fn no_message_is_sent_before_its_records_are_on_disk() {
    let config = ReplicaConfig {
        node_id: NodeId(0),
        incarnation: Incarnation(1),
        voters: vec![NodeId(0)],
        cluster_size: 1,
        has_directory: true,
        required_learner_copies: 0,
        seed: 1,
    };
    let mut replica = Replica::new(ms(0), config, None);
    let mut actions = Vec::new();
    let mut at = 0;
    let mut tick = |replica: &mut Replica, actions: &mut Vec<Action>| {
        at += 25;
        replica.handle(ms(at), Event::Tick, actions);
    };
    while !actions.iter().any(|a| matches!(a, Action::Persist { .. })) {
        tick(&mut replica, &mut actions);
    }
    let before = actions.len();
    (0..40).for_each(|_| tick(&mut replica, &mut actions));
    let leads =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::StartedLeading { .. }));
    assert!(!leads(&actions), "the vote of the replica is not on disk");
    assert!(actions[before..].iter().all(|a| !matches!(a, Action::Send { .. })));
    replica.handle(ms(2100), Event::Persisted { through: 1 }, &mut actions);
    assert!(leads(&actions));
}

fn arbitrary_body(from: u16, kind: u8, n: u64, m: u32, bytes: &[u8]) -> MessageBody {
    let id = ProposalId { by: NodeId(from), incarnation: Incarnation(m), number: n };
    match kind % 8 {
        0 => MessageBody::PrepareOk { op: n, heartbeat: m },
        1 => MessageBody::GetState { first: n, offset: m },
        2 => MessageBody::DoViewChange {
            last_normal_view: View::default(),
            op: n,
            commit: n,
            state_lost: m.is_multiple_of(2),
        },
        3 => MessageBody::LogPart(LogPart::Chunk {
            op: n,
            total_bytes: m,
            checksum: m,
            offset: 0,
            bytes: bytes.to_vec(),
        }),
        4 => MessageBody::LogPart(LogPart::Entries { first: n, entries: Vec::new() }),
        5 => MessageBody::Propose {
            id,
            payload: Some(EntryPayload::RemoveVoter { removed: NodeId(from), replacement: None }),
        },
        6 => MessageBody::Prepare { first: n, entries: Vec::new(), commit: n },
        _ => MessageBody::StartViewChange {
            is_bootstrap: m.is_multiple_of(2),
            voter_set: Some(VoterSet::of([NodeId(from)])),
        },
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode().expect("short")), Ok(message));
        }
    }

    #[test]
    fn rejects_trailing_bytes_and_messages_that_are_too_long(more in 1usize..20, nonce: u64) {
        let mut bytes = message(MessageBody::StatusRequest { nonce, requested_at_ms: 1 }).encode().expect("short");
        bytes.extend(vec![0; more]);
        prop_assert_eq!(Message::decode(&bytes), Err(MessageError::Trailing { found: more }));
        bytes.resize(MAX_MESSAGE_BYTES + 1, 0);
        prop_assert_eq!(Message::decode(&bytes), Err(MessageError::TooLong { found: MAX_MESSAGE_BYTES + 1 }));
    }

    #[test]
    fn no_message_makes_a_replica_panic(
        messages_in_flight in proptest::collection::vec(
            (0u16..4, any::<u8>(), any::<u64>(), any::<u32>(), any::<u32>(), any::<[u8; 4]>()), 1..60,
        ),
    ) {
        let mut simulation = Simulation::new(1, 3, &[0, 1, 2], false);
        simulation.run(ms(2000));
        let replica = simulation.nodes[0].replica.as_mut().expect("runs");
        let mut actions = Vec::new();
        for (position, (from, kind, n, m, epoch, bytes)) in messages_in_flight.into_iter().enumerate() {
            let mut message = message(arbitrary_body(from, kind, n, m, &bytes));
            let own = replica.view();
            message.view = if n % 3 == 0 { own } else { View { epoch, number: m, leader: NodeId(from) } };
            message.incarnation_counts.insert(NodeId(from), m % 3);
            let now = ms(2000 + position as u64);
            replica.handle(now, Event::Message { from: NodeId(from), incarnation: Incarnation(m), message }, &mut actions);
        }
    }
}

#[test]
fn a_learner_ignores_lower_epochs_and_reports_its_own_to_the_leader() {
    use hollowpaddle_consensus::{Entry, LearnerAction, LogIndex, SnapshotBase};
    let config =
        LearnerConfig { node_id: NodeId(3), voters: vec![NodeId(0)], cluster_size: 4, seed: 1 };
    let mut learner = Learner::new(ms(0), config);
    let mut actions = Vec::new();
    let reset = |epoch, op| LearnerEvent::Reset {
        index: LogIndex::new(epoch, op),
        base: SnapshotBase { op, voter_set: VoterSet::of([NodeId(0)]), ..SnapshotBase::default() },
    };
    learner.handle(ms(0), reset(9, 4), &mut actions);
    learner.handle(ms(0), reset(5, 70), &mut actions);
    assert_eq!(learner.last_index(), LogIndex::new(9, 4));
    let entry = Entry { id: ProposalId::default(), payload: EntryPayload::Command(vec![1]) };
    for (epoch, op) in [(5, 5), (9, 6), (9, 4)] {
        let index = LogIndex::new(epoch, op);
        learner.handle(
            ms(0),
            LearnerEvent::Committed { index, entry: entry.clone() },
            &mut actions,
        );
        assert_eq!(learner.last_index(), LogIndex::new(9, 4), "{index} is not the next index");
    }
    learner.handle(
        ms(0),
        LearnerEvent::Committed { index: LogIndex::new(9, 5), entry },
        &mut actions,
    );
    assert_eq!(learner.last_index(), LogIndex::new(9, 5));
    let update = MessageBody::LearnerUpdate {
        index: LogIndex::new(5, 80),
        leader: Some(NodeId(0)),
        voter_set: VoterSet::of([NodeId(0)]),
        leader_age_ms: 0,
        part: None,
    };
    let event = LearnerEvent::Message {
        from: NodeId(0),
        incarnation: Incarnation(1),
        message: message(update),
    };
    learner.handle(ms(10), event, &mut actions);
    let reports_own_epoch = |a: &LearnerAction| {
        matches!(a, LearnerAction::Send { to: NodeId(0), message }
            if matches!(message.body, MessageBody::LearnerStatusResponse { index, .. } if index == LogIndex::new(9, 5)))
    };
    assert!(actions.iter().any(reports_own_epoch));
}
