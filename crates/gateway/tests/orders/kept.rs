//! Plans that broke a rule once, and some that are simple enough to be written down.

use crate::judge::judge;
use crate::peers::*;

fn at(ms: u64) -> When {
    When { ms, turns: 0 }
}

fn site() -> Site {
    Site {
        max_attempts: 3,
        hedging: false,
        window_ms: 1000,
        grace_ms: 400,
        connect_ms: 260,
        deadline_ms: 400,
        pushed: false,
        delay_ms: 0,
    }
}

/// An upstream that serves at once.
fn well() -> Upstream {
    let does = vec![(at(0), Does::Serves { rest: at(0), closes: None })];
    Upstream { cell: 0, does, connects: vec![Some(at(0))] }
}

fn ask(class: Class) -> Ask {
    Ask { class, pause: at(0), behind: false, last_byte: None }
}

fn plan(upstreams: Vec<Upstream>, clients: Vec<Client>) -> Plan {
    Plan { site: site(), upstreams, clients, discovery: Vec::new(), reload: None, stop: None }
}

#[track_caller]
fn holds(plan: &Plan) -> Seen {
    let seen = play(plan);
    if let Err(broken) = judge(plan, &seen) {
        panic!("{broken}");
    }
    seen
}

#[test]
fn a_short_deadline_is_served_within() {
    let one = Client { comes: at(0), asks: vec![ask(Class::Unsafe)], leaves: None };
    for deadline_ms in [15, 20, 75] {
        let mut plan = plan(vec![well()], vec![one.clone()]);
        plan.site.deadline_ms = deadline_ms;
        let seen = holds(&plan);
        let (at, status, _) = seen.requests[0].answer.clone().expect("an answer");
        assert_eq!(status, 200, "{deadline_ms} ms");
        assert!(at.as_millis() <= deadline_ms.into());
        // Where nobody answers it, it has its word before its time is over.
        plan.upstreams[0].does = vec![(self::at(0), Does::Hangs)];
        let seen = holds(&plan);
        let (at, status, _) = seen.requests[0].answer.clone().expect("an answer");
        assert_eq!(status, 504, "{deadline_ms} ms");
        assert!(at.as_millis() <= deadline_ms.into(), "{deadline_ms} ms: {at:?}");
    }
}

fn at_late(upstream: Upstream, connects: &[u64]) -> Upstream {
    Upstream { connects: connects.iter().map(|ms| Some(at(*ms))).collect(), ..upstream }
}

#[test]
fn a_client_that_left_with_a_request_unread_gets_nothing_sent_on() {
    // Its second request lies behind the first when it closes; the connection for the first comes up 0.2 s later.
    let behind = Ask { behind: true, ..ask(Class::Safe) };
    for way in [Way::Close, Way::Reset] {
        let asks = vec![ask(Class::Safe), behind.clone()];
        let client = Client { comes: at(0), asks, leaves: Some((at(0), way)) };
        let seen = holds(&plan(vec![at_late(well(), &[200])], vec![client]));
        assert!(seen.attempts.is_empty(), "{way:?}: {:?}", seen.attempts);
    }
}

#[test]
fn a_keyed_repeat_is_not_sent_once_its_window_is_over_when_its_connection_is_up() {
    let breaks = vec![(at(0), Does::Breaks { half: false })];
    let upstream = at_late(Upstream { does: breaks, ..well() }, &[0, 150]);
    let client = Client { comes: at(0), asks: vec![ask(Class::Keyed)], leaves: None };
    let mut plan = plan(vec![upstream], vec![client]);
    plan.site.window_ms = 40;
    let seen = holds(&plan);
    assert_eq!(seen.attempts.len(), 1, "{:?}", seen.attempts);
}

#[test]
fn what_a_silent_watch_misses_is_known_six_seconds_later_also_where_lists_are_pushed() {
    for pushed in [false, true] {
        let late = Client { comes: at(7000), asks: vec![ask(Class::Safe)], leaves: None };
        let mut plan = plan(vec![well(), well()], vec![late; 3]);
        plan.site.pushed = pushed;
        plan.discovery = vec![(at(500), Act::Silent), (at(600), Act::Drains(0))];
        let seen = holds(&plan);
        assert_eq!(seen.requests.iter().filter(|r| r.answer.is_some()).count(), 3);
    }
}
