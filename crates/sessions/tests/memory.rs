//! What 200,000 records with a key each take, as the kernel counts it. A file of its own: no other test
//! allocates beside it.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Config, Effect, Event, Key, Pod, Ran, Seat, Sessions, Sid, Site, Verdict, Weighed, Why,
};

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}

#[test]
fn two_hundred_thousand_records_take_32_mb_and_none_is_dropped_inside_its_window() {
    let before = resident();
    let mut config = Config::new(NodeId(0), Incarnation(1));
    config.first_start = true;
    let (records, window) = (config.records as u64, config.forgotten_after());
    let mut machine = Sessions::new(config);
    let mut actions = Vec::with_capacity(16);
    let start = Duration::from_millis(1);
    let pods = (0..4).map(|p| Weighed { pod: Pod(p), weight: 1000 }).collect();
    machine.handle(start, Event::Pods { revision: 1, pods }, &mut actions);
    let seats =
        vec![Seat { member: NodeId(0), incarnation: Incarnation(1), site: Site(0), since: 1 }];
    let until = Duration::from_secs(3600);
    machine.handle(start, Event::Awake { version: 1, until, seats }, &mut actions);
    let mut ask = |now: Duration, n: u64| -> Verdict {
        actions.clear();
        let sid = Sid(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let deadline = now + Duration::from_millis(1850);
        let effect = Effect::Keyed(Key(n));
        let request = Event::Request { id: n, sid, effect, first: false, deadline };
        machine.handle(now, request, &mut actions);
        let placed = actions.iter().find_map(|a| match a {
            Action::Place { verdict, .. } => Some(*verdict),
            _ => None,
        });
        let verdict = placed.expect("nobody else is to be asked, so it is placed at once");
        machine.handle(now, Event::Ended { id: n, ran: Ran::Yes }, &mut actions);
        verdict
    };
    for n in 0..records {
        // All within four seconds: every window is open at the end.
        let now = start + Duration::from_micros(20 * n);
        let verdict = ask(now, n);
        assert!(matches!(verdict, Verdict::Go { .. }), "{n}: {verdict:?}");
    }
    let taken = resident().saturating_sub(before);
    println!(
        "{records} records with a key each: {:.1} MB, {} bytes each",
        taken as f64 / 1e6,
        taken / 200_000
    );
    assert!(taken < 32 << 20, "{taken}");
    let now = start + Duration::from_secs(5);
    assert_eq!(ask(now, records), Verdict::Refuse(Why::Full), "all are inside their windows");
    assert!(matches!(ask(now, 7), Verdict::Go { .. }), "a repeat goes to its pod");
    let later = start + Duration::from_secs(5) + window;
    assert!(matches!(ask(later, records + 1), Verdict::Go { .. }), "windows have ended");
    assert_eq!((machine.records(), machine.counts().forgotten), (200_000, 1));
}
