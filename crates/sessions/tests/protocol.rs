//! Hard cases of the protocol: a few balancers, whose messages and time the test controls.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Cell, Config, Event, ExecutionStatus, Idempotency, IdempotencyKey, OwnerSlot,
    PERMIT_DURATION, RoutingDecision, RoutingFailure, SessionId, Sessions, WeightedCell, Zone,
};

/// Balancers 0 to `each` in zone 0, the next ones in zone 1. Messages take `delay_ms`.
struct Cluster {
    now: u64,
    machines: BTreeMap<u16, Sessions>,
    messages: VecDeque<(u64, u16, u16, Vec<u8>)>,
    decided: BTreeMap<u64, (u64, RoutingDecision)>,
    is_muted: bool,
    /// Each message arrives once more with some bytes changed, as from a faulty peer.
    corruption: Option<oorandom::Rand32>,
    /// All messages so far, with sender and receiver.
    delivered: Vec<(u16, u16, Vec<u8>)>,
    delay_ms: u64,
    sent: u64,
    id: u64,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cells(out: &[u16]) -> Event {
    let cells =
        (0..4).filter(|p| !out.contains(p)).map(|p| WeightedCell { cell: Cell(p), weight: 1000 });
    Event::CellsChanged { revision: 1 + out.len() as u64, cells: cells.collect() }
}

impl Cluster {
    fn new(each: u16, change: impl Fn(&mut Config)) -> Self {
        let mut machines = BTreeMap::new();
        for m in 0..2 * each {
            let mut config = Config::new(NodeId(m), Incarnation(1));
            config.first_start = true;
            change(&mut config);
            machines.insert(m, Sessions::new(config));
        }
        let (messages, decided) = (VecDeque::new(), BTreeMap::new());
        let mut cluster = Self {
            now: 1,
            machines,
            messages,
            decided,
            is_muted: false,
            corruption: None,
            delivered: Vec::new(),
            delay_ms: 1,
            sent: 0,
            id: 0,
        };
        let slots: Vec<OwnerSlot> = (0..2 * each)
            .map(|m| OwnerSlot {
                node: NodeId(m),
                incarnation: Incarnation(1),
                zone: Zone(m / each),
                since: 1,
            })
            .collect();
        for m in 0..2 * each {
            cluster.deliver(m, cells(&[]));
            cluster.deliver(
                m,
                Event::TableChanged { version: 1, until: ms(1 << 30), slots: slots.clone() },
            );
        }
        cluster.pass(100);
        cluster
    }

    fn deliver(&mut self, m: u16, event: Event) {
        let mut actions = Vec::new();
        let Some(machine) = self.machines.get_mut(&m) else { return };
        machine.handle(ms(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Route { id, decision } => {
                    assert!(self.decided.insert(id, (self.now, decision)).is_none(), "{id} twice");
                }
                Action::Send { to, message } => {
                    self.sent += 1;
                    if !self.is_muted {
                        self.messages.push_back((self.now + self.delay_ms, m, to.0, message));
                    }
                }
                Action::WakeAt(_) => {}
            }
        }
    }

    /// Lets time pass, 1 ms at a time.
    fn pass(&mut self, time: u64) {
        for _ in 0..time {
            self.now += 1;
            while self.messages.front().is_some_and(|w| w.0 <= self.now) {
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
            let all: Vec<u16> = self.machines.keys().copied().collect();
            all.into_iter().for_each(|m| self.deliver(m, Event::Due));
        }
    }

    fn begin(&mut self, m: u16, session: u64, idempotency: Idempotency) -> u64 {
        self.id += 1;
        let (id, deadline) = (self.id, ms(self.now + 1850));
        self.deliver(
            m,
            Event::Request { id, session: SessionId(session), idempotency, first: false, deadline },
        );
        id
    }

    fn ask(&mut self, m: u16, session: u64, idempotency: Idempotency) -> RoutingDecision {
        let id = self.begin(m, session, idempotency);
        self.pass(40);
        self.deliver(m, Event::Sent { id });
        let (at, decision) = self.decided[&id];
        let _ = at;
        decision
    }

    fn cell(&mut self, m: u16, session: u64, idempotency: Idempotency) -> Option<Cell> {
        match self.ask(m, session, idempotency) {
            RoutingDecision::Send { cell, .. } => Some(cell),
            _ => None,
        }
    }
}

fn keyed(key: u64) -> Idempotency {
    Idempotency::Keyed(IdempotencyKey(key))
}

#[test]
fn key_of_an_excluded_cell_goes_nowhere_else_and_new_keys_go_on() {
    let mut cluster = Cluster::new(3, |_| ());
    let Some(cell) = cluster.cell(0, 7, keyed(1)) else { panic!("the first goes") };
    for m in 0..6 {
        cluster.deliver(m, cells(&[cell.0]));
    }
    for m in [0, 4, 1] {
        assert_eq!(
            cluster.ask(m, 7, keyed(1)),
            RoutingDecision::Fail(RoutingFailure::MayHaveExecuted),
            "at {m}"
        );
    }
    let (one, other) = (cluster.cell(4, 7, keyed(2)), cluster.cell(1, 7, Idempotency::Idempotent));
    assert!(one.is_some() && one != Some(cell) && one == other, "{one:?} {other:?}");
    // The cell is in force again: the repeat goes there and nowhere else.
    for m in 0..6 {
        let all = (0..4).map(|p| WeightedCell { cell: Cell(p), weight: 1000 }).collect();
        cluster.deliver(m, Event::CellsChanged { revision: 9, cells: all });
    }
    assert_eq!(cluster.cell(2, 7, keyed(1)), Some(cell));
    assert_eq!(cluster.cell(2, 7, keyed(3)), one, "where the van's state is now");
}

#[test]
fn repeat_near_the_end_of_its_window_waits_if_its_deadline_allows() {
    let mut cluster =
        Cluster::new(1, |c| (c.dedup_window, c.max_execution_delay) = (ms(1000), ms(100)));
    let Some(cell) = cluster.cell(0, 7, keyed(1)) else { panic!("the first goes") };
    cluster.deliver(0, cells(&[cell.0]));
    cluster.deliver(1, cells(&[cell.0]));
    let (from, id) = (cluster.now, cluster.begin(0, 7, keyed(1)));
    cluster.pass(1500);
    let (at, decision) = cluster.decided[&id];
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
        for m in 0..6 {
            let (from, id) = (cluster.now, cluster.begin(m, session, idempotency));
            cluster.pass(30);
            let (at, decision) = cluster.decided[&id];
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
    // A twentieth of 200 ms.
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
    cluster.pass(30);
    assert_eq!(cluster.decided[&9_999].0 - from, 10);
}

#[test]
fn key_under_two_sessions_goes_to_one_cell_from_one_balancer() {
    let mut cluster = Cluster::new(2, |_| ());
    let Some(cell) = cluster.cell(0, 1, keyed(5)) else { panic!("the first goes") };
    let mut failed = 0;
    for session in 2..20 {
        match cluster.ask(0, session, keyed(5)) {
            RoutingDecision::Send { cell: other, .. } => assert_eq!(other, cell),
            other => {
                assert_eq!(other, RoutingDecision::Fail(RoutingFailure::MayHaveExecuted));
                failed += 1;
            }
        }
    }
    assert!(failed > 5, "vans of four pods");
}

#[test]
fn key_that_was_not_executed_is_free_again_and_its_permit_ends() {
    let mut cluster = Cluster::new(2, |_| ());
    let id = cluster.begin(0, 7, keyed(1));
    cluster.pass(20);
    let (at, RoutingDecision::Send { cell, until, .. }) = cluster.decided[&id] else {
        panic!("it goes")
    };
    assert!(until <= ms(at) + PERMIT_DURATION);
    cluster.deliver(0, Event::Finished { id, status: ExecutionStatus::NotExecuted });
    cluster.pass(20);
    for m in 0..4 {
        cluster.deliver(m, cells(&[cell.0]));
    }
    assert!(cluster.cell(1, 7, keyed(1)).is_some_and(|p| p != cell), "nobody ran it");
}

#[test]
fn without_a_slot_only_requests_without_a_key_are_sent() {
    let mut cluster = Cluster::new(2, |_| ());
    cluster.cell(0, 7, keyed(1));
    cluster.now = 1 << 31;
    assert_eq!(cluster.ask(0, 7, keyed(2)), RoutingDecision::Reject(RoutingFailure::NoSlot));
    assert!(matches!(
        cluster.ask(0, 7, Idempotency::NotIdempotent),
        RoutingDecision::Send { epoch: None, .. }
    ));
    assert_eq!(cluster.machines[&0].owned_epoch(ms(cluster.now), SessionId(7)), None);
}

#[test]
fn sessions_of_a_lost_zone_are_taken_over_and_their_keys_wait() {
    let mut cluster = Cluster::new(2, |_| ());
    let old: Vec<u64> = (0..40).collect();
    for session in &old {
        assert!(cluster.cell(0, *session, keyed(*session)).is_some());
    }
    cluster.machines.remove(&0);
    cluster.machines.remove(&1);
    assert_eq!(
        cluster.ask(2, 3, keyed(3)),
        RoutingDecision::Reject(RoutingFailure::NoRecord),
        "its owner is not given up"
    );
    for m in [2, 3] {
        cluster.deliver(m, Event::ZoneLeaseEnded { zone: Zone(0), version: 2 });
    }
    for session in &old {
        assert_eq!(
            cluster.ask(2, *session, keyed(*session)),
            RoutingDecision::Fail(RoutingFailure::MayHaveExecuted)
        );
        assert!(cluster.cell(3, *session, Idempotency::Idempotent).is_some());
    }
    cluster.pass(15_000);
    assert!(old.iter().all(|session| cluster.cell(2, *session, keyed(*session)).is_some()));
}

#[test]
fn mass_arrival_is_paced_and_the_newest_sessions_go_first() {
    let mut cluster = Cluster::new(5, |_| ());
    cluster.delay_ms = 5;
    let at = |cluster: &Cluster, m: u16| cluster.machines[&m].transfer_counts();
    let (mut most, mut messages, users) = (0, 0, 20_000u64);
    for session in 0..users {
        // Ten per millisecond, at any balancer of the zone.
        let m = 5 + (session % 5) as u16;
        cluster.begin(
            m,
            session.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            if session % 4 == 0 { keyed(session) } else { Idempotency::Idempotent },
        );
        if session % 10 == 9 {
            let before = cluster.sent;
            cluster.pass(1);
            messages = messages.max(cluster.sent - before);
            most = (5..10).map(|m| at(&cluster, m).claims).fold(most, usize::max);
        }
    }
    cluster.pass(200);
    assert!(most <= 256, "{most} moves under way");
    let went = cluster
        .decided
        .values()
        .filter(|(_, v)| matches!(v, RoutingDecision::Send { epoch: Some(_), .. }))
        .count();
    println!(
        "{went} of {users} by their record, at most {most} moves under way at one, {messages} words in 1 ms"
    );
    assert_eq!(cluster.decided.len() as u64, users);
    assert!(went as u64 > users * 9 / 10, "{went}");
    // With far too little room the newest claims are served and the oldest dropped.
    let mut cluster = Cluster::new(1, |c| c.max_claims = 1);
    cluster.delay_ms = 5;
    let ids: Vec<u64> =
        (0..6).map(|session| cluster.begin(1, session + 100, Idempotency::Idempotent)).collect();
    cluster.pass(24);
    let by_record: Vec<bool> = ids
        .iter()
        .map(|id| {
            matches!(
                cluster.decided.get(id),
                Some((_, RoutingDecision::Send { epoch: Some(_), .. }))
            )
        })
        .collect();
    assert_eq!(
        by_record,
        [true, false, false, false, false, true],
        "the first began, the newest is next"
    );
}

#[test]
fn evicted_record_returns_under_a_higher_epoch() {
    let mut cluster = Cluster::new(1, |c| c.max_records = 2);
    let epoch = |decision| match decision {
        RoutingDecision::Send { epoch, .. } => epoch,
        _ => None,
    };
    let first = epoch(cluster.ask(0, 1, Idempotency::Idempotent));
    assert!(first.is_some());
    for session in 2..6 {
        assert!(epoch(cluster.ask(0, session, Idempotency::Idempotent)).is_some());
    }
    assert!(
        cluster.machines[&0].owned_epoch(ms(cluster.now), SessionId(1)).is_none(),
        "it was forgotten"
    );
    let (there, here) = (
        epoch(cluster.ask(1, 1, Idempotency::Idempotent)),
        epoch(cluster.ask(0, 1, Idempotency::Idempotent)),
    );
    assert!(first < there && there < here, "{first:?} {there:?} {here:?}");
}

#[test]
fn arbitrary_messages_never_panic_and_all_requests_are_routed() {
    let mut decided = 0;
    for seed in 0..60 {
        let mut cluster = Cluster::new(2, |c| c.max_records = 40);
        cluster.corruption = Some(oorandom::Rand32::new(seed));
        for n in 0..60 {
            let m = (n * 7 % 4) as u16;
            let idempotency = if n % 3 == 0 { Idempotency::Idempotent } else { keyed(n % 11) };
            cluster.begin(m, n % 9, idempotency);
            cluster.pass(3);
            if n == 30 {
                let slot = |m| OwnerSlot {
                    node: NodeId(m),
                    incarnation: Incarnation(1),
                    zone: Zone(m / 2),
                    since: 1,
                };
                let slots: Vec<OwnerSlot> = (0..3).map(slot).collect();
                for m in 0..3 {
                    let until = ms(1 << 30);
                    cluster.deliver(
                        m,
                        Event::TableChanged { version: 2, until, slots: slots.clone() },
                    );
                }
            }
        }
        cluster.pass(2_000);
        assert_eq!(cluster.decided.len(), 60, "seed {seed}");
        decided += cluster.decided.len();
    }
    assert_eq!(decided, 3_600);
}

#[test]
fn rejected_transfer_is_not_accepted_when_its_copy_arrives_late() {
    let mut cluster = Cluster::new(1, |c| {
        (c.dedup_window, c.max_execution_delay) = (ms(200), ms(50));
        c.max_records = if c.node_id == NodeId(1) { 1 } else { 100 };
    });
    assert!(cluster.cell(1, 2, keyed(1)).is_some(), "which fills the one");
    assert!(cluster.cell(0, 1, Idempotency::Idempotent).is_some());
    let owns = |cluster: &Cluster, m: u16| {
        cluster.machines[&m].owned_epoch(ms(cluster.now), SessionId(1)).is_some()
    };
    assert!(owns(&cluster, 0));
    cluster.ask(1, 1, Idempotency::Idempotent);
    assert!(owns(&cluster, 0) && !owns(&cluster, 1), "there is no room for it");
    cluster.pass(1_000);
    for (from, to, message) in cluster.delivered.clone().into_iter().filter(|w| w.1 == 1) {
        cluster.deliver(
            to,
            Event::Message { from: NodeId(from), incarnation: Incarnation(1), message },
        );
        cluster.messages.clear();
        assert!(!(owns(&cluster, 0) && owns(&cluster, 1)), "two own it");
    }
}
