//! The resident memory of 200,000 records with a key each. A file of its own, so that no other test allocates beside it.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Cell, Config, Event, ExecutionStatus, Idempotency, IdempotencyKey, OwnerSlot,
    RoutingDecision, RoutingFailure, SessionId, Sessions, WeightedCell, Zone,
};

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}

#[test]
fn full_store_takes_less_than_32_mib_and_drops_no_key_inside_its_window() {
    let before = resident();
    let mut config = Config::new(NodeId(0), Incarnation(1));
    config.first_start = true;
    let (records, window) = (config.max_records as u64, config.retention());
    let mut machine = Sessions::new(config);
    let mut actions = Vec::with_capacity(16);
    let start = Duration::from_millis(1);
    let cells = (0..4).map(|p| WeightedCell { cell: Cell(p), weight: 1000 }).collect();
    machine.handle(start, Event::CellsChanged { revision: 1, cells }, &mut actions);
    let slots =
        vec![OwnerSlot { node: NodeId(0), incarnation: Incarnation(1), zone: Zone(0), since: 1 }];
    let until = Duration::from_secs(3600);
    machine.handle(start, Event::TableChanged { version: 1, until, slots }, &mut actions);
    let mut ask = |now: Duration, n: u64| -> RoutingDecision {
        actions.clear();
        let session = SessionId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let deadline = now + Duration::from_millis(1850);
        let idempotency = Idempotency::Keyed(IdempotencyKey(n));
        let request = Event::Request { id: n, session, idempotency, first: false, deadline };
        machine.handle(now, request, &mut actions);
        let decided = actions.iter().find_map(|a| match a {
            Action::Route { decision, .. } => Some(*decision),
            _ => None,
        });
        let decision = decided.expect("nobody else is to be asked, so it is placed at once");
        machine.handle(
            now,
            Event::Finished { id: n, status: ExecutionStatus::Executed },
            &mut actions,
        );
        decision
    };
    for n in 0..records {
        // All within four seconds, so that every window is open at the end.
        let now = start + Duration::from_micros(20 * n);
        let decision = ask(now, n);
        assert!(matches!(decision, RoutingDecision::Send { .. }), "{n}: {decision:?}");
    }
    let taken = resident().saturating_sub(before);
    println!(
        "{records} records with a key each: {:.1} MB, {} bytes each",
        taken as f64 / 1e6,
        taken / 200_000
    );
    assert!(taken < 32 << 20, "{taken}");
    let now = start + Duration::from_secs(5);
    assert_eq!(
        ask(now, records),
        RoutingDecision::Reject(RoutingFailure::Full),
        "all are inside their windows"
    );
    assert!(matches!(ask(now, 7), RoutingDecision::Send { .. }), "a repeat goes to its pod");
    let later = start + Duration::from_secs(5) + window;
    assert!(matches!(ask(later, records + 1), RoutingDecision::Send { .. }), "windows have ended");
    assert_eq!((machine.record_count(), machine.metrics().evicted), (200_000, 1));
}
