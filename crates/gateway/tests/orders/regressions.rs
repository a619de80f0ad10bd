//! Tests of fixed plans: plans that once violated a rule, and some simple ones.

use crate::checker::check_run;
use crate::peers::*;

fn at(ms: u64) -> Timing {
    Timing { ms, turns: 0 }
}

fn settings() -> BalancerSettings {
    BalancerSettings {
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

/// Creates an upstream that answers without a delay.
fn serving_upstream() -> Upstream {
    let serves = vec![(at(0), Behaviour::Serve { second_half_delay: at(0), close_delay: None })];
    Upstream { cell: 0, behaviours: serves, connect_delays: vec![Some(at(0))] }
}

fn request(class: Class) -> PlannedRequest {
    PlannedRequest { class, delay: at(0), pipelined: false, last_byte_delay: None }
}

fn plan(upstreams: Vec<Upstream>, clients: Vec<Client>) -> Plan {
    Plan {
        settings: settings(),
        upstreams,
        clients,
        discovery: Vec::new(),
        reload: None,
        stop: None,
    }
}

#[track_caller]
fn run_and_check(plan: &Plan) -> Observations {
    let observations = run_plan(plan);
    if let Err(violation) = check_run(plan, &observations) {
        panic!("{violation}");
    }
    observations
}

#[test]
fn requests_with_short_deadlines_are_answered_in_time() {
    let client =
        Client { connects_at: at(0), requests: vec![request(Class::Unsafe)], disconnect: None };
    for deadline_ms in [15, 20, 75] {
        let mut plan = plan(vec![serving_upstream()], vec![client.clone()]);
        plan.settings.deadline_ms = deadline_ms;
        let observations = run_and_check(&plan);
        let (at, status, _) = observations.requests[0].answer.clone().expect("an answer");
        assert_eq!(status, 200, "{deadline_ms} ms");
        assert!(at.as_millis() <= deadline_ms.into());
        // If the upstream never answers, the balancer answers the request before its deadline.
        plan.upstreams[0].behaviours = vec![(self::at(0), Behaviour::Hang)];
        let observations = run_and_check(&plan);
        let (at, status, _) = observations.requests[0].answer.clone().expect("an answer");
        assert_eq!(status, 504, "{deadline_ms} ms");
        assert!(at.as_millis() <= deadline_ms.into(), "{deadline_ms} ms: {at:?}");
    }
}

fn with_connect_delays(upstream: Upstream, connect_delays: &[u64]) -> Upstream {
    Upstream { connect_delays: connect_delays.iter().map(|ms| Some(at(*ms))).collect(), ..upstream }
}

#[test]
fn no_request_is_forwarded_after_a_client_with_a_pipelined_request_disconnects() {
    // The client closes with a second request unread behind the first. The upstream connection for the first request is
    // established 0.2 s later.
    let second = PlannedRequest { pipelined: true, ..request(Class::Safe) };
    for kind in [DisconnectKind::Close, DisconnectKind::Reset] {
        let requests = vec![request(Class::Safe), second.clone()];
        let client = Client { connects_at: at(0), requests, disconnect: Some((at(0), kind)) };
        let observations = run_and_check(&plan(
            vec![with_connect_delays(serving_upstream(), &[200])],
            vec![client],
        ));
        assert!(observations.attempts.is_empty(), "{kind:?}: {:?}", observations.attempts);
    }
}

#[test]
fn keyed_repeat_is_not_sent_if_its_connection_is_established_after_the_window() {
    let resets = vec![(at(0), Behaviour::Reset { after_half: false })];
    let upstream =
        with_connect_delays(Upstream { behaviours: resets, ..serving_upstream() }, &[0, 150]);
    let client =
        Client { connects_at: at(0), requests: vec![request(Class::Keyed)], disconnect: None };
    let mut plan = plan(vec![upstream], vec![client]);
    plan.settings.window_ms = 40;
    let observations = run_and_check(&plan);
    assert_eq!(observations.attempts.len(), 1, "{:?}", observations.attempts);
}

#[test]
fn change_missed_by_a_silent_watch_is_known_after_six_seconds_with_polled_and_pushed_lists() {
    for pushed in [false, true] {
        let late = Client {
            connects_at: at(7000),
            requests: vec![request(Class::Safe)],
            disconnect: None,
        };
        let mut plan = plan(vec![serving_upstream(), serving_upstream()], vec![late; 3]);
        plan.settings.pushed = pushed;
        plan.discovery =
            vec![(at(500), DiscoveryAction::Silence), (at(600), DiscoveryAction::Drain(0))];
        let observations = run_and_check(&plan);
        assert_eq!(observations.requests.iter().filter(|r| r.answer.is_some()).count(), 3);
    }
}
