//! What a life promised that has ended incarnation_counts no longer: words by hand, where chance would seldom bring them.

mod simulation;

use std::collections::BTreeSet;

use hollowpaddle_consensus::{
    Action, EntryPayload, Event, Heartbeat, IncarnationCounts, Message, MessageBody, Replica,
    ReplicaStatus, View,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{World, ms};

/// One member on its own, to which words are brought by hand.
struct Alone {
    replica: Replica,
    now: u64,
    actions: Vec<Action>,
}

impl Alone {
    /// A follower, or the leader, of a council of so many that has settled.
    fn of(size: u16, leads: bool) -> (Self, Vec<NodeId>) {
        let voters: Vec<u16> = (0..size).collect();
        let mut world = World::new(8, size, &voters, false);
        world.run(ms(3300));
        let leader = world.leader().expect("settled");
        let one = if leads { leader } else { (leader + 1) % size };
        let others = voters.iter().filter(|m| **m != one && **m != leader);
        let replica = world.nodes[one as usize].replica.clone().expect("runs");
        let others = others.map(|m| NodeId(*m)).collect();
        (Self { replica, now: 3300, actions: Vec::new() }, others)
    }
    fn hear(
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
    fn said(&self, which: impl Fn(&MessageBody) -> bool) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Send { message, .. } if which(&message.body)))
    }
    fn leads(&self) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Leads { .. }))
    }
}

/// A candidate for a new view of five, that others have told that they are free and hear it.
fn candidate() -> (Alone, Vec<NodeId>, MessageBody) {
    let (mut one, others) = Alone::of(5, false);
    let (view, members) = (one.replica.view(), one.replica.members().clone());
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
            one.hear(*other, view, &[], MessageBody::Heartbeat(hello));
        }
    }
    assert!(one.said(|s| matches!(s, MessageBody::StartViewChange { .. })) && !one.leads());
    let join =
        MessageBody::DoViewChange { last_normal_view: view, op: 0, commit: 0, state_lost: false };
    (one, others, join)
}

#[test]
fn a_join_counts_no_longer_once_its_life_has_ended() {
    let (mut one, others, join) = candidate();
    let (a, b) = (others[0], others[1]);
    let view = one.replica.view();
    one.hear(a, view, &[], join.clone());
    assert!(!one.leads(), "two of five");
    // Who joins now has been told of a later life of the one that joined before.
    one.hear(b, view, &[(a, 1)], join.clone());
    assert!(!one.leads(), "the life that joined has ended: it may have kept entries since");
    one.hear(a, view, &[], join.clone());
    assert!(!one.leads(), "a late word of that life");
    one.hear(a, view, &[(a, 1)], join);
    assert!(one.leads(), "its present life joined");
}

#[test]
fn what_an_ended_life_kept_counts_no_longer() {
    let (mut one, others) = Alone::of(3, true);
    let (a, view) = (others[0], one.replica.view());
    let committed = one.replica.committed().op();
    let id = hollowpaddle_consensus::ProposalId::default();
    let propose = |id| MessageBody::Propose { id, what: Some(EntryPayload::Command(vec![1])) };
    one.hear(NodeId(0), View::default(), &[], propose(id));
    let b =
        *one.replica.members().voters.iter().find(|m| **m != a && **m != view.leader).expect("b");
    one.hear(b, view, &[(a, 1)], MessageBody::StatusRequest { nonce: 1, asked_at_ms: 1 });
    one.hear(a, view, &[], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(one.replica.committed().op(), committed, "who said so has forgotten it");
    one.hear(a, view, &[(a, 1)], MessageBody::PrepareOk { op: committed + 1, heartbeat: 0 });
    assert_eq!(one.replica.committed().op(), committed + 1);
}

#[test]
fn one_that_has_forgotten_takes_its_view_from_the_latest_of_a_majority_and_its_leader() {
    let (mut one, others) = Alone::of(5, false);
    let view = one.replica.view();
    one.replica.handle(
        ms(one.now),
        Event::DiskFailed { cause: "no space".to_string() },
        &mut one.actions,
    );
    one.replica.handle(ms(one.now), Event::DiskWell, &mut one.actions);
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
    // Of each the life that is known: some may have started anew while the council settled.
    let incarnations: Vec<(NodeId, u32)> = incarnation_counts.into_iter().collect();
    let voter_set = one.replica.members().clone();
    let told = MessageBody::StatusResponse {
        nonce,
        asked_at_ms: one.now,
        status: ReplicaStatus::Normal,
        own_incarnation: 1,
        persisted: 0,
        commit: 0,
        voter_set,
    };
    for from in others.iter().chain([&view.leader]) {
        one.hear(*from, view, &incarnations, told.clone());
    }
    one.now += 100;
    one.tick();
    assert!(one.said(|s| matches!(s, MessageBody::Recovery { .. })));
    let fetches = |one: &Alone| one.said(|s| matches!(s, MessageBody::GetState { .. }));
    let later = View { number: view.number + 1, leader: others[0], ..view };
    let recovered = |is_leader| MessageBody::RecoveryResponse { nonce, op: 0, is_leader };
    one.hear(view.leader, view, &incarnations, recovered(true));
    assert!(!fetches(&one), "one of five may not know");
    one.hear(others[1], later, &incarnations, recovered(false));
    one.hear(others[2], view, &incarnations, recovered(false));
    assert!(!fetches(&one), "a later view is known, and its leader has not said what stands");
    one.hear(others[0], later, &incarnations, recovered(true));
    assert!(fetches(&one));
    assert_eq!(one.replica.view(), later);
}

#[test]
fn a_round_is_answered_in_its_view_only() {
    let (mut one, others) = Alone::of(3, true);
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
    let rounds = |one: &Alone| one.actions.iter().any(|a| matches!(a, Action::Round { .. }));
    for other in [View { number: view.number + 1, ..view }, View { number: 0, ..view }] {
        one.hear(others[0], other, &[], MessageBody::PrepareOk { op: 0, heartbeat });
        assert!(!rounds(&one), "who answers is in another view");
    }
    one.hear(others[0], view, &[], MessageBody::PrepareOk { op: 0, heartbeat });
    assert!(rounds(&one));
}
