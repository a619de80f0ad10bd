//! Measures the resident memory of 200,000 records with a key each. The test has its own file, and so its own process,
//! so that no other test allocates memory at the same time.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Cell, Config, Event, ExecutionStatus, Idempotency, IdempotencyKey, OwnerSlot,
    RoutingDecision, RoutingFailure, SessionId, Sessions, WeightedCell, Zone,
};

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}

#[test]
fn full_store_takes_less_than_32_mib_and_drops_no_key_inside_its_window() {
    let before = resident_bytes();
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
    let mut route_keyed = |now: Duration, n: u64| -> RoutingDecision {
        actions.clear();
        let session = SessionId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let deadline = now + Duration::from_millis(1850);
        let idempotency = Idempotency::Keyed(IdempotencyKey(n));
        let request = Event::Request { id: n, session, idempotency, first: false, deadline };
        machine.handle(now, request, &mut actions);
        let routed = actions.iter().find_map(|a| match a {
            Action::Route { decision, .. } => Some(*decision),
            _ => None,
        });
        let decision = routed.expect("the only balancer routes each request at once");
        machine.handle(
            now,
            Event::Finished { id: n, status: ExecutionStatus::Executed },
            &mut actions,
        );
        decision
    };
    for n in 0..records {
        // All requests arrive within four seconds, so that no window has ended at the end.
        let now = start + Duration::from_micros(20 * n);
        let decision = route_keyed(now, n);
        assert!(matches!(decision, RoutingDecision::Send { .. }), "{n}: {decision:?}");
    }
    let used = resident_bytes().saturating_sub(before);
    println!(
        "{records} records with a key each: {:.1} MB, {} bytes each",
        used as f64 / 1e6,
        used / 200_000
    );
    assert!(used < 32 << 20, "{used}");
    let now = start + Duration::from_secs(5);
    assert_eq!(
        route_keyed(now, records),
        RoutingDecision::Reject(RoutingFailure::Full),
        "all keys are inside their windows"
    );
    assert!(
        matches!(route_keyed(now, 7), RoutingDecision::Send { .. }),
        "a repeat is sent to its cell"
    );
    let later = start + Duration::from_secs(5) + window;
    assert!(
        matches!(route_keyed(later, records + 1), RoutingDecision::Send { .. }),
        "the windows have ended"
    );
    assert_eq!((machine.record_count(), machine.metrics().evicted), (200_000, 1));
}
