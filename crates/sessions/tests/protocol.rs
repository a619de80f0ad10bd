//! Tests edge cases of the protocol with a few balancers, whose messages and time the tests control.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Cell, Config, Event, ExecutionStatus, Idempotency, IdempotencyKey, OwnerSlot,
    PERMIT_DURATION, RoutingDecision, RoutingFailure, SessionId, Sessions, WeightedCell, Zone,
};

/// A cluster of two zones with the same number of balancers each, in which messages take `delay_ms`. Balancers are
/// numbered from 0 on in zone 0, then in zone 1.
struct Cluster {
    now: u64,
    machines: BTreeMap<u16, Sessions>,
    /// The messages in flight: time of delivery, sender, receiver, bytes.
    messages: VecDeque<(u64, u16, u16, Vec<u8>)>,
    /// The time and the decision of each routed request, by its id.
    decisions: BTreeMap<u64, (u64, RoutingDecision)>,
    /// Whether all messages are lost.
    is_muted: bool,
    /// The random numbers for corrupted messages. If set, each message is delivered a second time with some bytes
    /// changed, as from a faulty peer.
    corruption: Option<oorandom::Rand32>,
    /// The messages delivered so far: sender, receiver, bytes.
    delivered: Vec<(u16, u16, Vec<u8>)>,
    delay_ms: u64,
    sent_messages: u64,
    last_id: u64,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cells_except(excluded: &[u16]) -> Event {
    let cells = (0..4)
        .filter(|p| !excluded.contains(p))
        .map(|p| WeightedCell { cell: Cell(p), weight: 1000 });
    Event::CellsChanged { revision: 1 + excluded.len() as u64, cells: cells.collect() }
}

impl Cluster {
    fn new(balancers_per_zone: u16, configure: impl Fn(&mut Config)) -> Self {
        let mut machines = BTreeMap::new();
        for balancer in 0..2 * balancers_per_zone {
            let mut config = Config::new(NodeId(balancer), Incarnation(1));
            config.first_start = true;
            configure(&mut config);
            machines.insert(balancer, Sessions::new(config));
        }
        let (messages, decisions) = (VecDeque::new(), BTreeMap::new());
        let mut cluster = Self {
            now: 1,
            machines,
            messages,
            decisions,
            is_muted: false,
            corruption: None,
            delivered: Vec::new(),
            delay_ms: 1,
            sent_messages: 0,
            last_id: 0,
        };
        let slots: Vec<OwnerSlot> = (0..2 * balancers_per_zone)
            .map(|balancer| OwnerSlot {
                node: NodeId(balancer),
                incarnation: Incarnation(1),
                zone: Zone(balancer / balancers_per_zone),
                since: 1,
            })
            .collect();
        for balancer in 0..2 * balancers_per_zone {
            cluster.deliver(balancer, cells_except(&[]));
            cluster.deliver(
                balancer,
                Event::TableChanged { version: 1, until: ms(1 << 30), slots: slots.clone() },
            );
        }
        cluster.advance(100);
        cluster
    }

    fn deliver(&mut self, balancer: u16, event: Event) {
        let mut actions = Vec::new();
        let Some(machine) = self.machines.get_mut(&balancer) else { return };
        machine.handle(ms(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Route { id, decision } => {
                    assert!(
                        self.decisions.insert(id, (self.now, decision)).is_none(),
                        "request {id} was routed twice"
                    );
                }
                Action::Send { to, message } => {
                    self.sent_messages += 1;
                    if !self.is_muted {
                        self.messages.push_back((
                            self.now + self.delay_ms,
                            balancer,
                            to.0,
                            message,
                        ));
                    }
                }
                Action::WakeAt(_) => {}
            }
        }
    }

    /// Advances the time in steps of 1 ms, and delivers messages and timers.
    fn advance(&mut self, time_ms: u64) {
        for _ in 0..time_ms {
            self.now += 1;
            while self.messages.front().is_some_and(|message| message.0 <= self.now) {
                let Some((_, from, to, message)) = self.messages.pop_front() else { break };
                let mut corrupted = message.clone();
                self.delivered.push((from, to, message.clone()));
                self.deliver(
                    to,
                    Event::Message { from: NodeId(from), incarnation: Incarnation(1), message },
                );
                if let Some(rng) = self.corruption.as_mut() {
                    for _ in 0..=rng.rand_range(0..3) {
                        let at = rng.rand_range(1..corrupted.len() as u32) as usize;
                        corrupted[at] = rng.rand_u32() as u8;
                    }
                    self.deliver(
                        to,
                        Event::Message {
                            from: NodeId(from),
                            incarnation: Incarnation(1),
                            message: corrupted,
                        },
                    );
                }
            }
            let balancers: Vec<u16> = self.machines.keys().copied().collect();
            balancers.into_iter().for_each(|balancer| self.deliver(balancer, Event::Due));
        }
    }

    fn start_request(&mut self, balancer: u16, session: u64, idempotency: Idempotency) -> u64 {
        self.last_id += 1;
        let (id, deadline) = (self.last_id, ms(self.now + 1850));
        self.deliver(
            balancer,
            Event::Request { id, session: SessionId(session), idempotency, first: false, deadline },
        );
        id
    }

    /// Starts a request, and returns its routing decision after 40 ms.
    fn request(
        &mut self,
        balancer: u16,
        session: u64,
        idempotency: Idempotency,
    ) -> RoutingDecision {
        let id = self.start_request(balancer, session, idempotency);
        self.advance(40);
        self.deliver(balancer, Event::Sent { id });
        let (at, decision) = self.decisions[&id];
        let _ = at;
        decision
    }

    fn request_cell(
        &mut self,
        balancer: u16,
        session: u64,
        idempotency: Idempotency,
    ) -> Option<Cell> {
        match self.request(balancer, session, idempotency) {
            RoutingDecision::Send { cell, .. } => Some(cell),
            _ => None,
        }
    }
}

fn keyed(key: u64) -> Idempotency {
    Idempotency::Keyed(IdempotencyKey(key))
}

#[test]
fn key_of_an_excluded_cell_is_sent_to_no_other_cell_unlike_new_keys() {
    let mut cluster = Cluster::new(3, |_| ());
    let Some(cell) = cluster.request_cell(0, 7, keyed(1)) else {
        panic!("the first request is sent")
    };
    for balancer in 0..6 {
        cluster.deliver(balancer, cells_except(&[cell.0]));
    }
    for balancer in [0, 4, 1] {
        assert_eq!(
            cluster.request(balancer, 7, keyed(1)),
            RoutingDecision::Fail(RoutingFailure::MayHaveExecuted),
            "at {balancer}"
        );
    }
    let (keyed_cell, unkeyed_cell) =
        (cluster.request_cell(4, 7, keyed(2)), cluster.request_cell(1, 7, Idempotency::Idempotent));
    assert!(
        keyed_cell.is_some() && keyed_cell != Some(cell) && keyed_cell == unkeyed_cell,
        "{keyed_cell:?} {unkeyed_cell:?}"
    );
    // The excluded cell is in force again, so the repeat is sent to this cell only.
    for balancer in 0..6 {
        let all = (0..4).map(|p| WeightedCell { cell: Cell(p), weight: 1000 }).collect();
        cluster.deliver(balancer, Event::CellsChanged { revision: 9, cells: all });
    }
    assert_eq!(cluster.request_cell(2, 7, keyed(1)), Some(cell));
    assert_eq!(
        cluster.request_cell(2, 7, keyed(3)),
        keyed_cell,
        "a new key is sent to the cell that has the session's state now"
    );
}

#[test]
fn repeat_near_the_end_of_its_window_waits_if_its_deadline_allows() {
    let mut cluster =
        Cluster::new(1, |c| (c.dedup_window, c.max_execution_delay) = (ms(1000), ms(100)));
    let Some(cell) = cluster.request_cell(0, 7, keyed(1)) else {
        panic!("the first request is sent")
    };
    cluster.deliver(0, cells_except(&[cell.0]));
    cluster.deliver(1, cells_except(&[cell.0]));
    let (from, id) = (cluster.now, cluster.start_request(0, 7, keyed(1)));
    cluster.advance(1500);
    let (at, decision) = cluster.decisions[&id];
    assert!(
        matches!(decision, RoutingDecision::Send { cell: other, .. } if other != cell),
        "{decision:?}"
    );
    assert!(at >= from - 40 + 1000 && at <= from + 1300, "after {} ms", at - from);
}

#[test]
fn waits_are_bounded_and_only_keyed_requests_are_rejected() {
    let mut cluster = Cluster::new(3, |_| ());
    cluster.is_muted = true;
    for (idempotency, session) in
        [(Idempotency::Idempotent, 1), (Idempotency::NotIdempotent, 2), (keyed(1), 3)]
    {
        for balancer in 0..6 {
            let (from, id) = (cluster.now, cluster.start_request(balancer, session, idempotency));
            cluster.advance(30);
            let (at, decision) = cluster.decisions[&id];
            assert!(at - from <= 25, "{idempotency:?} waited for {} ms", at - from);
            match decision {
                RoutingDecision::Send { cell, epoch, .. } => {
                    assert!(idempotency != keyed(1) && epoch.is_none());
                    let all: Vec<WeightedCell> =
                        (0..4).map(|p| WeightedCell { cell: Cell(p), weight: 1000 }).collect();
                    assert_eq!(
                        Some(cell),
                        hollowpaddle_sessions::cell_for(SessionId(session), &all)
                    );
                }
                other => assert_eq!(
                    (idempotency, other),
                    (keyed(1), RoutingDecision::Reject(RoutingFailure::NoRecord))
                ),
            }
        }
    }
    // The request may wait for a twentieth of its 200 ms.
    let (from, deadline) = (cluster.now, ms(cluster.now + 200));
    cluster.deliver(
        0,
        Event::Request {
            id: 9_999,
            session: SessionId(9),
            idempotency: Idempotency::Idempotent,
            first: false,
            deadline,
        },
    );
    cluster.advance(30);
    assert_eq!(cluster.decisions[&9_999].0 - from, 10);
}

#[test]
fn balancer_sends_key_of_two_sessions_to_one_cell() {
    let mut cluster = Cluster::new(2, |_| ());
    let Some(cell) = cluster.request_cell(0, 1, keyed(5)) else {
        panic!("the first request is sent")
    };
    let mut failed = 0;
    for session in 2..20 {
        match cluster.request(0, session, keyed(5)) {
            RoutingDecision::Send { cell: other, .. } => assert_eq!(other, cell),
            other => {
                assert_eq!(other, RoutingDecision::Fail(RoutingFailure::MayHaveExecuted));
                failed += 1;
            }
        }
    }
    assert!(failed > 5, "the sessions are spread over four cells");
}

#[test]
fn unexecuted_key_can_be_sent_to_another_cell_and_its_permit_ends() {
    let mut cluster = Cluster::new(2, |_| ());
    let id = cluster.start_request(0, 7, keyed(1));
    cluster.advance(20);
    let (at, RoutingDecision::Send { cell, until, .. }) = cluster.decisions[&id] else {
        panic!("the request is sent")
    };
    assert!(until <= ms(at) + PERMIT_DURATION);
    cluster.deliver(0, Event::Finished { id, status: ExecutionStatus::NotExecuted });
    cluster.advance(20);
    for balancer in 0..4 {
        cluster.deliver(balancer, cells_except(&[cell.0]));
    }
    assert!(
        cluster.request_cell(1, 7, keyed(1)).is_some_and(|p| p != cell),
        "no cell executed the key"
    );
}

#[test]
fn without_a_slot_only_requests_without_a_key_are_sent() {
    let mut cluster = Cluster::new(2, |_| ());
    cluster.request_cell(0, 7, keyed(1));
    cluster.now = 1 << 31;
    assert_eq!(cluster.request(0, 7, keyed(2)), RoutingDecision::Reject(RoutingFailure::NoSlot));
    assert!(matches!(
        cluster.request(0, 7, Idempotency::NotIdempotent),
        RoutingDecision::Send { epoch: None, .. }
    ));
    assert_eq!(cluster.machines[&0].owned_epoch(ms(cluster.now), SessionId(7)), None);
}

#[test]
fn sessions_of_a_lost_zone_are_taken_over_and_their_keys_wait() {
    let mut cluster = Cluster::new(2, |_| ());
    let old: Vec<u64> = (0..40).collect();
    for session in &old {
        assert!(cluster.request_cell(0, *session, keyed(*session)).is_some());
    }
    cluster.machines.remove(&0);
    cluster.machines.remove(&1);
    assert_eq!(
        cluster.request(2, 3, keyed(3)),
        RoutingDecision::Reject(RoutingFailure::NoRecord),
        "the lease of the owner's zone has not ended"
    );
    for balancer in [2, 3] {
        cluster.deliver(balancer, Event::ZoneLeaseEnded { zone: Zone(0), version: 2 });
    }
    for session in &old {
        assert_eq!(
            cluster.request(2, *session, keyed(*session)),
            RoutingDecision::Fail(RoutingFailure::MayHaveExecuted)
        );
        assert!(cluster.request_cell(3, *session, Idempotency::Idempotent).is_some());
    }
    cluster.advance(15_000);
    assert!(old.iter().all(|session| cluster.request_cell(2, *session, keyed(*session)).is_some()));
}

#[test]
fn mass_arrival_is_paced_and_the_newest_sessions_go_first() {
    let mut cluster = Cluster::new(5, |_| ());
    cluster.delay_ms = 5;
    let counts = |cluster: &Cluster, balancer: u16| cluster.machines[&balancer].transfer_counts();
    let (mut max_claims, mut max_messages, users) = (0, 0, 20_000u64);
    for session in 0..users {
        // Ten requests arrive per millisecond, at all balancers of the zone in turn.
        let balancer = 5 + (session % 5) as u16;
        cluster.start_request(
            balancer,
            session.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            if session % 4 == 0 { keyed(session) } else { Idempotency::Idempotent },
        );
        if session % 10 == 9 {
            let before = cluster.sent_messages;
            cluster.advance(1);
            max_messages = max_messages.max(cluster.sent_messages - before);
            max_claims = (5..10)
                .map(|balancer| counts(&cluster, balancer).claims)
                .fold(max_claims, usize::max);
        }
    }
    cluster.advance(200);
    assert!(max_claims <= 256, "{max_claims} concurrent claims at one balancer");
    let routed_by_record = cluster
        .decisions
        .values()
        .filter(|(_, decision)| matches!(decision, RoutingDecision::Send { epoch: Some(_), .. }))
        .count();
    println!(
        "{routed_by_record} of {users} requests routed by record, at most {max_claims} concurrent claims at one \
         balancer, at most {max_messages} messages in 1 ms"
    );
    assert_eq!(cluster.decisions.len() as u64, users);
    assert!(routed_by_record as u64 > users * 9 / 10, "{routed_by_record}");
    // With only one claim at a time, the newest queued claims are served and the oldest ones are dropped.
    let mut cluster = Cluster::new(1, |c| c.max_claims = 1);
    cluster.delay_ms = 5;
    let ids: Vec<u64> = (0..6)
        .map(|session| cluster.start_request(1, session + 100, Idempotency::Idempotent))
        .collect();
    cluster.advance(24);
    let by_record: Vec<bool> = ids
        .iter()
        .map(|id| {
            matches!(
                cluster.decisions.get(id),
                Some((_, RoutingDecision::Send { epoch: Some(_), .. }))
            )
        })
        .collect();
    assert_eq!(
        by_record,
        [true, false, false, false, false, true],
        "the first claim was started at once, and the newest one next"
    );
}

#[test]
fn evicted_record_returns_under_a_higher_epoch() {
    let mut cluster = Cluster::new(1, |c| c.max_records = 2);
    let epoch = |decision| match decision {
        RoutingDecision::Send { epoch, .. } => epoch,
        _ => None,
    };
    let first = epoch(cluster.request(0, 1, Idempotency::Idempotent));
    assert!(first.is_some());
    for session in 2..6 {
        assert!(epoch(cluster.request(0, session, Idempotency::Idempotent)).is_some());
    }
    assert!(
        cluster.machines[&0].owned_epoch(ms(cluster.now), SessionId(1)).is_none(),
        "the record was evicted"
    );
    let (in_other_zone, returned) = (
        epoch(cluster.request(1, 1, Idempotency::Idempotent)),
        epoch(cluster.request(0, 1, Idempotency::Idempotent)),
    );
    assert!(
        first < in_other_zone && in_other_zone < returned,
        "{first:?} {in_other_zone:?} {returned:?}"
    );
}

#[test]
fn arbitrary_messages_never_panic_and_all_requests_are_routed() {
    let mut decisions = 0;
    for seed in 0..60 {
        let mut cluster = Cluster::new(2, |c| c.max_records = 40);
        cluster.corruption = Some(oorandom::Rand32::new(seed));
        for n in 0..60 {
            let balancer = (n * 7 % 4) as u16;
            let idempotency = if n % 3 == 0 { Idempotency::Idempotent } else { keyed(n % 11) };
            cluster.start_request(balancer, n % 9, idempotency);
            cluster.advance(3);
            if n == 30 {
                let slot = |balancer| OwnerSlot {
                    node: NodeId(balancer),
                    incarnation: Incarnation(1),
                    zone: Zone(balancer / 2),
                    since: 1,
                };
                let slots: Vec<OwnerSlot> = (0..3).map(slot).collect();
                for balancer in 0..3 {
                    let until = ms(1 << 30);
                    cluster.deliver(
                        balancer,
                        Event::TableChanged { version: 2, until, slots: slots.clone() },
                    );
                }
            }
        }
        cluster.advance(2_000);
        assert_eq!(cluster.decisions.len(), 60, "seed {seed}");
        decisions += cluster.decisions.len();
    }
    assert_eq!(decisions, 3_600);
}

#[test]
fn rejected_transfer_is_not_accepted_when_its_copy_arrives_late() {
    let mut cluster = Cluster::new(1, |c| {
        (c.dedup_window, c.max_execution_delay) = (ms(200), ms(50));
        c.max_records = if c.node_id == NodeId(1) { 1 } else { 100 };
    });
    assert!(
        cluster.request_cell(1, 2, keyed(1)).is_some(),
        "the record of session 2 fills the store of balancer 1"
    );
    assert!(cluster.request_cell(0, 1, Idempotency::Idempotent).is_some());
    let owns = |cluster: &Cluster, balancer: u16| {
        cluster.machines[&balancer].owned_epoch(ms(cluster.now), SessionId(1)).is_some()
    };
    assert!(owns(&cluster, 0));
    cluster.request(1, 1, Idempotency::Idempotent);
    assert!(
        owns(&cluster, 0) && !owns(&cluster, 1),
        "the store of balancer 1 has no capacity for the record"
    );
    cluster.advance(1_000);
    for (from, to, message) in
        cluster.delivered.clone().into_iter().filter(|message| message.1 == 1)
    {
        cluster.deliver(
            to,
            Event::Message { from: NodeId(from), incarnation: Incarnation(1), message },
        );
        cluster.messages.clear();
        assert!(!(owns(&cluster, 0) && owns(&cluster, 1)), "two balancers own the session");
    }
}
