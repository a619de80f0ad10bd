//! The written form of a trace, and scenario files with every key, exactly as they are written and read.

use std::time::Duration;

use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{
    At, AttemptOutcome, Line, Observation, Phase, Resources, digest, write_trace,
};
use hollowpaddle_scenario::scenario::{
    Clients, Cluster, Expect, ListService, Load, MachineType, OperatorVerb, PolicySettings,
    Repeats, Rules, Scenario, Shape, UserSessions,
};
use serde_json::json;

const TRACE: &str = include_str!("formats/trace.jsonl");
/// SHA-256 of the file with the trace.
const TRACE_DIGEST: &str = "3bc9f10d36004092a17557ad048f6cbece11d502ef18b2c5c23e25ee75b4ca32";
const EVERY_KEY: &str = include_str!("formats/every-key.toml");
const CLOSED_LOOP: &str = include_str!("formats/closed-loop.toml");

/// One event of each kind, in the order in which the type lists them.
fn events() -> Vec<Observation> {
    vec![
        Observation::Sent { request: 1, balancer: 2, start: 3, class: 4, again: true },
        Observation::Unreachable { request: 6, balancer: 7 },
        Observation::Answered {
            request: 8,
            status: 9,
            attempt: Some(11),
            retry_after_ms: Some(13),
        },
        Observation::Broken { request: 14, begun: true },
        Observation::Extra { balancer: 16, request: Some(18), bytes: 19 },
        Observation::ClientLeft { request: 20 },
        Observation::ClientTimedOut { request: 21 },
        Observation::Attempt {
            attempt: 22,
            request: 23,
            node: 24,
            balancer: 25,
            start: 26,
            first: At(27),
            dark: true,
            work_ms: 29.5,
        },
        Observation::Ran { attempt: 30 },
        Observation::Ended { attempt: 31, outcome: AttemptOutcome::Served },
        Observation::Closed { attempt: 33 },
        Observation::Connected { node: 34, balancer: 35 },
        Observation::Partial { node: 36, balancer: 37 },
        Observation::AlteredRequest { node: 38, balancer: 39, what: "text-40".into() },
        Observation::Up { node: 41, full: 42.5, cold_from: 43.5, cold_ms: 44.5 },
        Observation::WarmUpProgress { node: 45, share: 46.5 },
        Observation::Overloaded { node: 47 },
        Observation::Down { node: 48 },
        Observation::Listed { node: 49, phase: Phase::Serving, since: At(51) },
        Observation::ListUpdate {
            balancer: 52,
            node: 53,
            phase: Phase::Serving,
            since: At(55),
            revision: 56,
        },
        Observation::ListCall { balancer: 57 },
        Observation::WatchStarted { balancer: 58, watch: 59 },
        Observation::ListCallFailed { balancer: 60, watch: Some(62) },
        Observation::Started { balancer: 63, start: 64 },
        Observation::Ready { balancer: 65, start: 66 },
        Observation::Killed { balancer: 67, start: 68 },
        Observation::Stopping { balancer: 69, start: 70 },
        Observation::Paused { balancer: 71, start: 72 },
        Observation::Resumed { balancer: 73, start: 74 },
        Observation::Stored { balancer: 75, files: 76 },
        Observation::Datagram { from: 77, to: 78, bytes: 79, copies: 80 },
        Observation::OperatorCall {
            call: 81,
            tries: 82,
            balancer: 83,
            verb: OperatorVerb::Revision,
            id: Some("text-86".into()),
            member: Some(88),
        },
        Observation::OperatorAnswer {
            call: 89,
            balancer: 90,
            verb: OperatorVerb::Revision,
            status: Some(93),
            number: Some(95),
            in_force_everywhere: true,
            why: Some("text-98".into()),
        },
        Observation::BalancerStatus {
            balancer: 99,
            start: 100,
            asked: At(101),
            revision: 102,
            target: Some(104),
            newest: 105,
            has_lease: true,
            unconfirmed: true,
            fallback_cells: vec![108, 109],
            fallback_exceptions: vec!["text-109".into()],
            fallback_pending: true,
            leader: Some(112),
            epoch: 113,
        },
        Observation::Revision {
            balancer: 114,
            start: 115,
            epoch: 116,
            number: 117,
            document: json!({"attempts": 2}),
        },
        Observation::CutOff { balancer: 119, begins: true },
        Observation::Exited { balancer: 121, start: 122, code: Some(124) },
        Observation::Fault { fault: 125, begins: true },
    ]
}

/// Time of the first line in microseconds. Each further line is a microsecond later.
const FIRST_LINE: u64 = 1000;

fn trace() -> Vec<Line> {
    let times = FIRST_LINE..;
    times.zip(events()).map(|(at, seen)| Line { at: At(at), seen }).collect()
}

fn written(lines: &[Line]) -> String {
    let mut text = Vec::new();
    write_trace(lines, &mut text).expect("written to memory");
    String::from_utf8(text).expect("UTF-8")
}

#[test]
fn trace_is_written_byte_for_byte() {
    for (written, expected) in written(&trace()).lines().zip(TRACE.lines()) {
        assert_eq!(written, expected);
    }
    assert_eq!(written(&trace()), TRACE);
    assert_eq!(digest(&trace()), TRACE_DIGEST);
}

#[test]
fn enumerated_values_of_a_trace_have_fixed_names() {
    for (outcome, name) in [
        (AttemptOutcome::Served, "served"),
        (AttemptOutcome::Dropped, "dropped"),
        (AttemptOutcome::Error, "error"),
        (AttemptOutcome::Rejected, "turned-away"),
        (AttemptOutcome::Malformed, "spoilt"),
        (AttemptOutcome::Died, "died"),
        (AttemptOutcome::Abandoned, "abandoned"),
    ] {
        assert_eq!(json!(outcome), name);
    }
    for (phase, name) in
        [(Phase::Serving, "SERVING"), (Phase::Draining, "DRAINING"), (Phase::Deleted, "DELETED")]
    {
        assert_eq!((json!(phase), phase.name()), (json!(name), name));
    }
    for (verb, name) in [
        (OperatorVerb::Revision, "revision"),
        (OperatorVerb::Rollback, "rollback"),
        (OperatorVerb::Cordon, "cordon"),
        (OperatorVerb::Uncordon, "uncordon"),
        (OperatorVerb::FallbackPolicy, "charter"),
        (OperatorVerb::Dead, "dead"),
        (OperatorVerb::Alive, "alive"),
        (OperatorVerb::Replace, "replace"),
    ] {
        assert_eq!(json!(verb), name);
    }
}

#[test]
fn missing_values_and_resources_have_a_fixed_form() {
    let unanswered =
        Observation::Answered { request: 1, status: 503, attempt: None, retry_after_ms: None };
    assert_eq!(
        written(&[Line { at: At(5), seen: unanswered }]),
        "{\"at\":5,\"saw\":\"answered\",\"request\":1,\"status\":503,\"attempt\":null,\"retry_after_ms\":null}\n"
    );
    let resources = Resources { memory_kib: 1, descriptors: 2, cpu_ms: 3 };
    assert_eq!(json!(resources), json!({"memory_kib": 1, "descriptors": 2, "cpu_ms": 3}));
}

#[test]
fn scenarios_with_every_key_give_the_same_plan() {
    for (text, seed, plan_digest) in [
        (EVERY_KEY, 1, "9c9254eae40fbcd7791daba92740ae3e3c3d5a437bbfcfa51e2089799743a5ef"),
        (CLOSED_LOOP, 1, "ca7625e828f77a5547d5a85a4b6275d613dc7468db3d59fd08394b8baa5ac493"),
    ] {
        let scenario = Scenario::read("scenario.toml", text).expect("every key is known");
        assert_eq!(Plan::generate(&scenario, seed).digest(), plan_digest, "{}", scenario.name);
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Checks the parts of a scenario that the plan does not contain in full.
#[test]
fn every_key_is_read_into_the_field_that_it_names() {
    let scenario = Scenario::read("scenario.toml", EVERY_KEY).expect("every key is known");
    let small = MachineType {
        name: "small".into(),
        share: 2.0,
        cores: 2,
        speed: 1.5,
        speed_cv: 0.2,
        slots: 7,
        queue: 3,
        contention_threshold: 1.4,
        contention_loss: 0.6,
        cold_from: 0.3,
        cold: ms(16_000),
        connections: 43,
        handshake_ms: 5.0,
        error_rate: 0.01,
    };
    let policy = PolicySettings {
        is_off: false,
        voters: vec![0, 1, 2],
        fallback_cells: Some(vec![0, 1]),
        mandatory_fallback_cells: Some(vec![0]),
        poll_interval: ms(150),
    };
    let balancers = Cluster {
        count: 4,
        memory_mb: 256,
        sockets: 2048,
        notice: ms(3_000),
        subset: Some((5.0, 10)),
        peers: true,
        persists_state: true,
        policy,
    };
    let repeats = Repeats {
        share: 0.5,
        max_repeats: 3,
        honors_retry_after: false,
        wait: ms(300),
        marked: false,
    };
    let clients = Clients { abandon_share: 0.05, connections: 200, repeats };
    let load = Load { of_capacity: 0.1, shape: Shape::Wave, swing: 0.4, closed: None };
    let list = ListService {
        asked: false,
        notice: ms(2_000),
        silent_notice: ms(7_000),
        add: ms(2_000),
        period: ms(400),
        call: ms(30),
        call_timeout: ms(900),
        report_period: ms(200),
        report_delay: ms(70),
        report_noise: 0.2,
    };
    let rules = Rules {
        max_attempts: 2,
        drain_grace: ms(400),
        fall_multiple: 3.0,
        tip_after: ms(1_500),
        ask_every: ms(9_000),
        max_retry_after: ms(1_800),
        connect_timeout: ms(200),
        keepalive: ms(4_000),
    };
    let expect = Expect {
        full_service: Some(ms(10_000)),
        connects_times: Some(3.0),
        list_calls_times: Some(4.0),
        attempts_times: Some(1.5),
        datagrams_times: Some(2.0),
        contention_share: Some(0.5),
        stale: Some(1),
        service: Some(0.9),
        ran_twice: Some(2),
        in_previous_cell: Some(0.8),
        contradiction: Some(ms(3_000)),
        in_force: Some(ms(4_000)),
    };
    let sessions = UserSessions {
        count: 20,
        unknown_session_work_ms: 3.0,
        session_expiry: ms(500_000),
        move_share: 0.5,
        moves_start: ms(10_000),
        moves_spread: ms(5_000),
        return_after: Some(ms(20_000)),
        resubmit_share: 0.3,
        resubmit_window: ms(1_500),
        resubmit_delay: ms(200),
    };
    assert_eq!(scenario.fleet.machine_types[0], small);
    assert_eq!(
        (scenario.fleet.same_zone, scenario.fleet.cross_zone),
        (Duration::from_micros(500), ms(8))
    );
    assert_eq!(scenario.cluster, balancers);
    assert_eq!(scenario.clients, clients);
    assert_eq!(scenario.load, load);
    assert_eq!(scenario.list, list);
    assert_eq!(scenario.rules, rules);
    assert_eq!(scenario.expect, expect);
    assert_eq!(scenario.sessions, Some(sessions));
}

#[test]
fn every_kind_of_fault_is_read_under_its_own_name() {
    let scenario = Scenario::read("scenario.toml", EVERY_KEY).expect("every key is known");
    let kinds: Vec<&str> = EVERY_KEY.lines().filter_map(|l| l.strip_prefix("kind = ")).collect();
    let names: Vec<String> =
        scenario.faults.iter().map(|fault| format!("\"{}\"", fault.kind.name())).collect();
    assert_eq!(names, kinds);
}
