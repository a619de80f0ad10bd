//! Plans that broke a rule once, and some that are simple enough to be written down.

use crate::judge::judge;
use crate::peers::*;

fn at(ms: u64) -> When {
    When { ms, turns: 0 }
}

fn site() -> Site {
    Site {
        max_attempts: 3,
        second_copies: false,
        window_ms: 1000,
        grace_ms: 200,
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
