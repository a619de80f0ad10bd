//! Promises of ended incarnations do not count. The tests send messages by hand, for cases that random runs seldom
//! reach.

mod simulation;

use std::collections::BTreeSet;

use hollowpaddle_consensus::{
    Action, EntryPayload, Event, Heartbeat, IncarnationCounts, Message, MessageBody, Replica,
    ReplicaStatus, View,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{Simulation, ms};

/// A single replica that receives the messages that a test sends.
struct SingleReplica {
    replica: Replica,
    now: u64,
    actions: Vec<Action>,
}

impl SingleReplica {
    /// Returns the leader or a follower of a settled cluster of this size, and the other followers.
    fn of(size: u16, leads: bool) -> (Self, Vec<NodeId>) {
        let voters: Vec<u16> = (0..size).collect();
        let mut simulation = Simulation::new(8, size, &voters, false);
        simulation.run(ms(3300));
        let leader = simulation.leader().expect("settled");
        let single = if leads { leader } else { (leader + 1) % size };
        let others = voters.iter().filter(|m| **m != single && **m != leader);
        let replica = simulation.nodes[single as usize].replica.clone().expect("runs");
        let others = others.map(|m| NodeId(*m)).collect();
        (Self { replica, now: 3300, actions: Vec::new() }, others)
    }
    fn receive(
        &mut self,
        from: NodeId,
        view: View,
        incarnation_counts: &[(NodeId, u32)],
        body: MessageBody,
    ) {
        let incarnation_counts: IncarnationCounts = incarnation_counts.iter().copied().collect();
        let message = Message { view, incarnation_counts, body };
        let event = Event::Message { from, incarnation: Incarnation(1), message };
        self.replica.handle(ms(self.now), event, &mut self.actions);
    }
    fn tick(&mut self) {
        self.now += 25;
        self.replica.handle(ms(self.now), Event::Tick, &mut self.actions);
    }
    fn has_sent(&self, which: impl Fn(&MessageBody) -> bool) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Send { message, .. } if which(&message.body)))
    }
    fn leads(&self) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::StartedLeading { .. }))
    }
}

/// Returns a candidate for a new view of five voters, the other followers, and their vote. The other followers have
/// sent heartbeats in which they are leaderless and connected to the candidate.
fn candidate() -> (SingleReplica, Vec<NodeId>, MessageBody) {
    let (mut single, others) = SingleReplica::of(5, false);
    let (view, voter_set) = (single.replica.view(), single.replica.voter_set().clone());
    for _ in 0..60 {
        single.tick();
        for other in &others {
            let heartbeat = Heartbeat {
                status: ReplicaStatus::Normal,
                is_leader: false,
                is_leaderless: true,
                connected: voter_set.voters.iter().copied().collect::<BTreeSet<_>>(),
                op: 0,
                commit: 0,
                persisted: 0,
                number: 0,
                voter_set: voter_set.clone(),
            };
            single.receive(*other, view, &[], MessageBody::Heartbeat(heartbeat));
        }
    }
    assert!(
        single.has_sent(|s| matches!(s, MessageBody::StartViewChange { .. })) && !single.leads()
    );
    let vote =
        MessageBody::DoViewChange { last_normal_view: view, op: 0, commit: 0, state_lost: false };
    (single, others, vote)
}

#[test]
fn a_vote_of_an_ended_incarnation_does_not_count() {
    let (mut single, others, vote) = candidate();
    let (a, b) = (others[0], others[1]);
    let view = single.replica.view();
    single.receive(a, view, &[], vote.clone());
    assert!(!single.leads(), "only two of five voters have voted");
    // This voter knows of a later incarnation of the voter that voted before.
    single.receive(b, view, &[(a, 1)], vote.clone());
    assert!(
        !single.leads(),
        "the incarnation that voted has ended: it may have acknowledged entries since"
    );
    single.receive(a, view, &[], vote.clone());
    assert!(!single.leads(), "a late message of the ended incarnation does not count");
    single.receive(a, view, &[(a, 1)], vote);
    assert!(single.leads(), "the current incarnation of the voter has voted");
}

#[test]
fn an_acknowledgement_of_an_ended_incarnation_does_not_count() {
    let (mut single, others) = SingleReplica::of(3, true);
    let (a, view) = (others[0], single.replica.view());
    let committed = single.replica.committed().op();
    let id = hollowpaddle_consensus::ProposalId::default();
    let propose = |id| MessageBody::Propose { id, payload: Some(EntryPayload::Command(vec![1])) };
    single.receive(NodeId(0), View::default(), &[], propose(id));
    let b = *single
        .replica
        .voter_set()
        .voters
        .iter()
        .find(|m| **m != a && **m != view.leader)
        .expect("another follower");
    single.receive(b, view, &[(a, 1)], MessageBody::StatusRequest { nonce: 1, requested_at_ms: 1 });
    single.receive(a, view, &[], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(
        single.replica.committed().op(),
        committed,
        "the voter that acknowledged it has lost its state"
    );
    single.receive(a, view, &[(a, 1)], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(single.replica.committed().op(), committed + 1);
}

#[test]
fn recovery_takes_the_latest_view_of_a_majority_from_its_leader() {
    let (mut single, others) = SingleReplica::of(5, false);
    let view = single.replica.view();
    single.replica.handle(
        ms(single.now),
        Event::DiskFailed { cause: "no space".to_string() },
        &mut single.actions,
    );
    single.replica.handle(ms(single.now), Event::DiskRecovered, &mut single.actions);
    single.tick();
    single.actions.clear();
    single.now += 100;
    single.tick();
    let nonce = single.actions.iter().find_map(|a| match a {
        Action::Send { message, .. } => match message.body {
            MessageBody::StatusRequest { nonce, .. } => {
                Some((nonce, message.incarnation_counts.clone()))
            }
            _ => None,
        },
        _ => None,
    });
    let (nonce, incarnation_counts) = nonce.expect("a status request was sent");
    // The incarnation counts that are known: some voters may have restarted while the cluster settled.
    let incarnations: Vec<(NodeId, u32)> = incarnation_counts.into_iter().collect();
    let voter_set = single.replica.voter_set().clone();
    let status_response = MessageBody::StatusResponse {
        nonce,
        requested_at_ms: single.now,
        status: ReplicaStatus::Normal,
        own_incarnation: 1,
        persisted: 0,
        commit: 0,
        voter_set,
    };
    for from in others.iter().chain([&view.leader]) {
        single.receive(*from, view, &incarnations, status_response.clone());
    }
    single.now += 100;
    single.tick();
    assert!(single.has_sent(|s| matches!(s, MessageBody::Recovery { .. })));
    let fetches =
        |single: &SingleReplica| single.has_sent(|s| matches!(s, MessageBody::GetState { .. }));
    let later = View { number: view.number + 1, leader: others[0], ..view };
    let recovered = |is_leader| MessageBody::RecoveryResponse { nonce, op: 0, is_leader };
    single.receive(view.leader, view, &incarnations, recovered(true));
    assert!(!fetches(&single), "one of five voters may not know the latest view");
    single.receive(others[1], later, &incarnations, recovered(false));
    single.receive(others[2], view, &incarnations, recovered(false));
    assert!(!fetches(&single), "a later view is known, and its leader has not responded");
    single.receive(others[0], later, &incarnations, recovered(true));
    assert!(fetches(&single));
    assert_eq!(single.replica.view(), later);
}

#[test]
fn a_heartbeat_is_answered_only_in_its_own_view() {
    let (mut single, others) = SingleReplica::of(3, true);
    let view = single.replica.view();
    (0..8).for_each(|_| single.tick());
    let heartbeat = single.actions.iter().rev().find_map(|a| match a {
        Action::Send { message, .. } => match &message.body {
            MessageBody::Heartbeat(sent) if sent.number > 0 => Some(sent.number),
            _ => None,
        },
        _ => None,
    });
    let heartbeat = heartbeat.expect("a leader's heartbeat has a number");
    single.actions.clear();
    let quorum_heartbeats = |single: &SingleReplica| {
        single.actions.iter().any(|a| matches!(a, Action::QuorumHeartbeat { .. }))
    };
    for other in [View { number: view.number + 1, ..view }, View { number: 0, ..view }] {
        single.receive(others[0], other, &[], MessageBody::PrepareOk { op: 0, heartbeat });
        assert!(!quorum_heartbeats(&single), "the acknowledgement is of another view");
    }
    single.receive(others[0], view, &[], MessageBody::PrepareOk { op: 0, heartbeat });
    assert!(quorum_heartbeats(&single));
}
