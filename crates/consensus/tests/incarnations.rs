//! Promises of ended incarnations do not count: messages by hand, for cases that random runs seldom reach.

mod simulation;

use std::collections::BTreeSet;

use hollowpaddle_consensus::{
    Action, EntryPayload, Event, Heartbeat, IncarnationCounts, Message, MessageBody, Replica,
    ReplicaStatus, View,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{Simulation, ms};

/// A single replica that receives messages by hand.
struct SingleReplica {
    replica: Replica,
    now: u64,
    actions: Vec<Action>,
}

impl SingleReplica {
    /// A follower, or the leader, of a settled cluster of this size; and the other followers.
    fn of(size: u16, leads: bool) -> (Self, Vec<NodeId>) {
        let voters: Vec<u16> = (0..size).collect();
        let mut simulation = Simulation::new(8, size, &voters, false);
        simulation.run(ms(3300));
        let leader = simulation.leader().expect("settled");
        let one = if leads { leader } else { (leader + 1) % size };
        let others = voters.iter().filter(|m| **m != one && **m != leader);
        let replica = simulation.nodes[one as usize].replica.clone().expect("runs");
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

/// A candidate for a new view of five voters, to which the others have told that they are leaderless and connected
/// to it.
fn candidate() -> (SingleReplica, Vec<NodeId>, MessageBody) {
    let (mut one, others) = SingleReplica::of(5, false);
    let (view, members) = (one.replica.view(), one.replica.voter_set().clone());
    for _ in 0..60 {
        one.tick();
        for other in &others {
            let hello = Heartbeat {
                status: ReplicaStatus::Normal,
                is_leader: false,
                is_leaderless: true,
                connected: members.voters.iter().copied().collect::<BTreeSet<_>>(),
                op: 0,
                commit: 0,
                persisted: 0,
                number: 0,
                voter_set: members.clone(),
            };
            one.receive(*other, view, &[], MessageBody::Heartbeat(hello));
        }
    }
    assert!(one.has_sent(|s| matches!(s, MessageBody::StartViewChange { .. })) && !one.leads());
    let join =
        MessageBody::DoViewChange { last_normal_view: view, op: 0, commit: 0, state_lost: false };
    (one, others, join)
}

#[test]
fn a_vote_of_an_ended_incarnation_does_not_count() {
    let (mut one, others, join) = candidate();
    let (a, b) = (others[0], others[1]);
    let view = one.replica.view();
    one.receive(a, view, &[], join.clone());
    assert!(!one.leads(), "two of five");
    // This voter knows of a later incarnation of the one that voted before.
    one.receive(b, view, &[(a, 1)], join.clone());
    assert!(
        !one.leads(),
        "the incarnation that voted has ended: it may have acknowledged entries since"
    );
    one.receive(a, view, &[], join.clone());
    assert!(!one.leads(), "a late message of that incarnation");
    one.receive(a, view, &[(a, 1)], join);
    assert!(one.leads(), "its current incarnation voted");
}

#[test]
fn an_acknowledgement_of_an_ended_incarnation_does_not_count() {
    let (mut one, others) = SingleReplica::of(3, true);
    let (a, view) = (others[0], one.replica.view());
    let committed = one.replica.committed().op();
    let id = hollowpaddle_consensus::ProposalId::default();
    let propose = |id| MessageBody::Propose { id, payload: Some(EntryPayload::Command(vec![1])) };
    one.receive(NodeId(0), View::default(), &[], propose(id));
    let b =
        *one.replica.voter_set().voters.iter().find(|m| **m != a && **m != view.leader).expect("b");
    one.receive(b, view, &[(a, 1)], MessageBody::StatusRequest { nonce: 1, asked_at_ms: 1 });
    one.receive(a, view, &[], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(
        one.replica.committed().op(),
        committed,
        "the voter that acknowledged it has lost its state"
    );
    one.receive(a, view, &[(a, 1)], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(one.replica.committed().op(), committed + 1);
}

#[test]
fn recovery_takes_the_latest_view_of_a_majority_from_its_leader() {
    let (mut one, others) = SingleReplica::of(5, false);
    let view = one.replica.view();
    one.replica.handle(
        ms(one.now),
        Event::DiskFailed { cause: "no space".to_string() },
        &mut one.actions,
    );
    one.replica.handle(ms(one.now), Event::DiskRecovered, &mut one.actions);
    one.tick();
    one.actions.clear();
    one.now += 100;
    one.tick();
    let nonce = one.actions.iter().find_map(|a| match a {
        Action::Send { message, .. } => match message.body {
            MessageBody::StatusRequest { nonce, .. } => {
                Some((nonce, message.incarnation_counts.clone()))
            }
            _ => None,
        },
        _ => None,
    });
    let (nonce, incarnation_counts) = nonce.expect("it asks");
    // The incarnation counts that are known: some voters may have restarted while the cluster settled.
    let incarnations: Vec<(NodeId, u32)> = incarnation_counts.into_iter().collect();
    let voter_set = one.replica.voter_set().clone();
    let status_response = MessageBody::StatusResponse {
        nonce,
        asked_at_ms: one.now,
        status: ReplicaStatus::Normal,
        own_incarnation: 1,
        persisted: 0,
        commit: 0,
        voter_set,
    };
    for from in others.iter().chain([&view.leader]) {
        one.receive(*from, view, &incarnations, status_response.clone());
    }
    one.now += 100;
    one.tick();
    assert!(one.has_sent(|s| matches!(s, MessageBody::Recovery { .. })));
    let fetches = |one: &SingleReplica| one.has_sent(|s| matches!(s, MessageBody::GetState { .. }));
    let later = View { number: view.number + 1, leader: others[0], ..view };
    let recovered = |is_leader| MessageBody::RecoveryResponse { nonce, op: 0, is_leader };
    one.receive(view.leader, view, &incarnations, recovered(true));
    assert!(!fetches(&one), "one of five may not know");
    one.receive(others[1], later, &incarnations, recovered(false));
    one.receive(others[2], view, &incarnations, recovered(false));
    assert!(!fetches(&one), "a later view is known, and its leader has not told which view stands");
    one.receive(others[0], later, &incarnations, recovered(true));
    assert!(fetches(&one));
    assert_eq!(one.replica.view(), later);
}

#[test]
fn a_heartbeat_is_answered_only_in_its_own_view() {
    let (mut one, others) = SingleReplica::of(3, true);
    let view = one.replica.view();
    (0..8).for_each(|_| one.tick());
    let heartbeat = one.actions.iter().rev().find_map(|a| match a {
        Action::Send { message, .. } => match &message.body {
            MessageBody::Heartbeat(sent) if sent.number > 0 => Some(sent.number),
            _ => None,
        },
        _ => None,
    });
    let heartbeat = heartbeat.expect("a leader's heartbeat has a number");
    one.actions.clear();
    let quorum_heartbeats = |one: &SingleReplica| {
        one.actions.iter().any(|a| matches!(a, Action::QuorumHeartbeat { .. }))
    };
    for other in [View { number: view.number + 1, ..view }, View { number: 0, ..view }] {
        one.receive(others[0], other, &[], MessageBody::PrepareOk { op: 0, heartbeat });
        assert!(!quorum_heartbeats(&one), "who answers is in another view");
    }
    one.receive(others[0], view, &[], MessageBody::PrepareOk { op: 0, heartbeat });
    assert!(quorum_heartbeats(&one));
}
