//! The four rules on hand-written traces: each limit is tested on either side of it.

use std::time::Duration;

use hollowpaddle_checker::{TimingTolerance, Violation, check};
use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, AttemptOutcome, Line, Observation, Phase};
use hollowpaddle_scenario::scenario::Scenario;

const SCENARIO: &str = r#"
name = "by hand"
length_s = 60

[fleet]
zones = ["a", "b"]
nodes = 8
cell_size = 2

[[fleet.kinds]]
name = "std"
speed_cv = 0.0
cold_from = 0.25
cold_s = 10

[balancers]
count = 2

[[classes]]
name = "safe"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "safe"

[[classes]]
name = "unsafe"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "unsafe"

[[classes]]
name = "keyed"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "keyed"
group = "cell"
window_ms = 1000

[load]
of_capacity = 0.2
"#;

/// Builder of a trace. Nodes 0 and 2 are one cell, 4 and 6 another cell of the same zone.
struct TraceBuilder {
    scenario: Scenario,
    plan: Plan,
    lines: Vec<Line>,
}

impl TraceBuilder {
    fn new() -> Self {
        Self::of(SCENARIO)
    }

    fn of(scenario: &str) -> Self {
        let scenario = Scenario::read("by-hand.toml", scenario).expect("valid");
        let plan = Plan::generate(&scenario, 1);
        Self { scenario, plan, lines: Vec::new() }
    }

    /// Returns the first request of a class.
    fn request(&self, class: usize) -> u32 {
        self.plan.arrivals.iter().position(|a| a.class == class).expect("one of each") as u32
    }

    fn at(&mut self, ms: f64, seen: Observation) -> &mut Self {
        self.lines.push(Line { at: at(ms), seen });
        self
    }

    fn append(&mut self, ms: f64, seen: &Observation) {
        self.at(ms, seen.clone());
    }

    fn sent(&mut self, ms: f64, class: usize) -> &mut Self {
        let request = self.request(class);
        self.at(ms, Observation::Sent { request, balancer: 0, start: 1, class, resent: false })
    }

    fn answered(&mut self, ms: f64, class: usize, status: u16, attempt: Option<u32>) -> &mut Self {
        let request = self.request(class);
        self.at(ms, Observation::Answered { request, status, attempt, retry_after_ms: None })
    }

    fn attempt(&mut self, ms: f64, class: usize, attempt: u32, node: usize) -> &mut Self {
        self.attempt_by(ms, class, attempt, node, 0)
    }

    fn attempt_by(
        &mut self,
        ms: f64,
        class: usize,
        attempt: u32,
        node: usize,
        balancer: usize,
    ) -> &mut Self {
        let request = self.request(class);
        let (first, dark, work_ms) = (at(ms), false, 100.0);
        let start = 1;
        self.at(
            ms,
            Observation::Attempt { attempt, request, node, balancer, start, first, dark, work_ms },
        )
    }

    fn ended(&mut self, ms: f64, attempt: u32, outcome: AttemptOutcome) -> &mut Self {
        self.at(ms, Observation::Ended { attempt, outcome })
    }

    fn list_update(
        &mut self,
        ms: f64,
        balancer: usize,
        node: usize,
        phase: Phase,
        rev: u64,
    ) -> &mut Self {
        self.list_update_since(ms, balancer, node, phase, rev, 0.0)
    }

    fn list_update_since(
        &mut self,
        ms: f64,
        balancer: usize,
        node: usize,
        phase: Phase,
        revision: u64,
        since: f64,
    ) -> &mut Self {
        self.at(ms, Observation::ListUpdate { balancer, node, phase, since: at(since), revision })
    }

    fn violations(&self) -> Vec<Violation> {
        let tolerance = TimingTolerance { slack: Duration::from_millis(5) };
        let result = check(&self.scenario, &self.plan, &self.lines, tolerance);
        result.findings.iter().map(|f| f.violation).collect()
    }
}

fn at(ms: f64) -> At {
    At((ms * 1e3) as u64)
}

const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;

#[test]
fn a_send_490_ms_after_a_drain_update_is_allowed_and_one_after_510_ms_is_not() {
    for (after, violations) in [(490.0, vec![]), (510.0, vec![Violation::SentToDrained])] {
        let mut trace = TraceBuilder::new();
        trace.list_update(1000.0, 0, 3, Phase::Draining, 2);
        trace.sent(1000.0 + after, SAFE).attempt(1000.0 + after, SAFE, 1, 3);
        trace.ended(1600.0, 1, AttemptOutcome::Served).answered(1610.0, SAFE, 200, Some(1));
        assert_eq!(trace.violations(), violations, "{after}");
    }
}

#[test]
fn a_drain_update_binds_only_the_balancer_that_received_it() {
    let mut trace = TraceBuilder::new();
    trace.list_update(1000.0, 1, 3, Phase::Draining, 2);
    trace.sent(5000.0, SAFE).attempt(5000.0, SAFE, 1, 3).ended(5100.0, 1, AttemptOutcome::Served);
    trace.answered(5100.0, SAFE, 200, Some(1));
    assert_eq!(trace.violations(), vec![]);
    trace.sent(6000.0, KEYED).attempt_by(6000.0, KEYED, 2, 3, 1);
    trace.ended(6100.0, 2, AttemptOutcome::Served).answered(6100.0, KEYED, 200, Some(2));
    assert_eq!(trace.violations(), vec![Violation::SentToDrained]);
}

#[test]
fn only_a_newer_update_revokes_a_drain() {
    for (revision, violations) in [(2, vec![Violation::SentToDrained]), (4, vec![])] {
        let mut trace = TraceBuilder::new();
        trace.list_update(1000.0, 0, 3, Phase::Draining, 3).list_update(
            1001.0,
            0,
            3,
            Phase::Serving,
            revision,
        );
        trace.sent(5000.0, SAFE).attempt(5000.0, SAFE, 1, 3).ended(
            5100.0,
            1,
            AttemptOutcome::Served,
        );
        trace.answered(5100.0, SAFE, 200, Some(1));
        assert_eq!(trace.violations(), violations, "{revision}");
    }
}

#[test]
fn a_balancer_that_has_not_polled_for_too_long_counts_as_informed() {
    // The balancer polls at 1 s, and the node is listed as gone at 2 s. It has to poll every 3 s, so that it counts as
    // informed from 5 s on.
    for (sent, violations) in [(5_490.0, vec![]), (5_510.0, vec![Violation::SentToDrained])] {
        let mut trace = TraceBuilder::new();
        trace.scenario.rules.ask_every = Duration::from_secs(3);
        trace.at(1000.0, Observation::WatchStarted { balancer: 0, watch: u64::MAX });
        trace.at(2000.0, Observation::Listed { node: 3, phase: Phase::Deleted, since: At(0) });
        trace.sent(sent, SAFE).attempt(sent, SAFE, 1, 3).ended(
            sent + 9.0,
            1,
            AttemptOutcome::Served,
        );
        trace.answered(sent + 9.0, SAFE, 200, Some(1));
        assert_eq!(trace.violations(), violations, "{sent}");
        // A balancer with an open watch counts as informed only when it receives the update.
        trace.lines[0].seen = Observation::WatchStarted { balancer: 0, watch: 7 };
        assert_eq!(trace.violations(), vec![]);
    }
}

/// Returns the violations if a node is listed as draining at 2 s, and a balancer that received no update sends to it at
/// `sent`. `also`: further observations.
fn violations_without_update(sent: f64, also: &[(f64, Observation)]) -> Vec<Violation> {
    let mut trace = TraceBuilder::new();
    trace.list_update(100.0, 0, 3, Phase::Serving, 1);
    trace.at(1000.0, Observation::WatchStarted { balancer: 0, watch: 7 });
    trace.at(2000.0, Observation::Listed { node: 3, phase: Phase::Draining, since: At(0) });
    also.iter().for_each(|(ms, seen)| trace.append(*ms, seen));
    trace.sent(sent, SAFE).attempt(sent, SAFE, 1, 3).ended(sent + 9.0, 1, AttemptOutcome::Served);
    trace.answered(sent + 9.0, SAFE, 200, Some(1));
    trace.lines.sort_by_key(|l| l.at);
    trace.violations()
}

#[test]
fn a_balancer_counts_as_informed_6_s_after_a_change_whatever_its_calls_returned() {
    // A silent watch, failed calls and abandoned calls: 6 s, and the grace period of 0.5 s.
    let failed = |ms| (ms, Observation::ListCallFailed { balancer: 0, watch: Some(7) });
    let called = |ms| (ms, Observation::ListCall { balancer: 0 });
    for also in [vec![], vec![failed(3000.0)], vec![failed(2500.0), called(2600.0), called(7000.0)]]
    {
        assert_eq!(violations_without_update(8_490.0, &also), vec![], "{also:?}");
        assert_eq!(
            violations_without_update(8_510.0, &also),
            vec![Violation::SentToDrained],
            "{also:?}"
        );
    }
    // An update about the node that the balancer received later takes precedence.
    let list_update = Observation::ListUpdate {
        balancer: 0,
        node: 3,
        phase: Phase::Serving,
        since: At(0),
        revision: 3,
    };
    assert_eq!(violations_without_update(30_000.0, &[(3000.0, list_update)]), vec![]);
    // Updates to another balancer do not count.
    let other = Observation::ListUpdate {
        balancer: 1,
        node: 3,
        phase: Phase::Serving,
        since: At(0),
        revision: 3,
    };
    assert_eq!(
        violations_without_update(8_510.0, &[(3000.0, other)]),
        vec![Violation::SentToDrained]
    );
}

#[test]
fn the_6_s_start_again_when_the_list_becomes_reachable() {
    let started = |ms| (ms, Observation::Started { balancer: 0, start: 2 });
    assert_eq!(violations_without_update(11_490.0, &[started(5000.0)]), vec![]);
    assert_eq!(
        violations_without_update(11_510.0, &[started(5000.0)]),
        vec![Violation::SentToDrained]
    );
    let suspended = [(4000.0, PAUSED), (9000.0, RESUMED)];
    assert_eq!(violations_without_update(15_490.0, &suspended), vec![]);
    assert_eq!(violations_without_update(15_510.0, &suspended), vec![Violation::SentToDrained]);
    for (kind, selection) in [("list-down", ""), ("list-cut", "balancers = [0]")] {
        let fault =
            format!("[[faults]]\nkind = \"{kind}\"\nstart_s = 1.5\nlength_s = 6.5\n{selection}\n");
        let violations_at = |sent: f64| {
            let mut trace = TraceBuilder::of(&format!("{SCENARIO}\n{fault}"));
            trace.scenario.rules.ask_every = Duration::from_secs(60);
            trace.list_update(100.0, 0, 3, Phase::Serving, 1);
            trace.at(1500.0, Observation::Fault { fault: 0, begins: true });
            trace.at(2000.0, Observation::Listed { node: 3, phase: Phase::Draining, since: At(0) });
            trace.at(8000.0, Observation::Fault { fault: 0, begins: false });
            trace.sent(sent, SAFE).attempt(sent, SAFE, 1, 3).ended(
                sent + 9.0,
                1,
                AttemptOutcome::Served,
            );
            trace.answered(sent + 9.0, SAFE, 200, Some(1));
            trace.violations()
        };
        assert_eq!(violations_at(14_490.0), vec![], "{kind}");
        assert_eq!(violations_at(14_510.0), vec![Violation::SentToDrained], "{kind}");
    }
}

/// Returns the violations for `all` requests, each sent at 1 s and abandoned at 1.2 s, of which `late` are forwarded
/// `after_ms` later. `first`: all had an attempt before.
fn violations_after_leaving(all: usize, after_ms: f64, late: usize, first: bool) -> Vec<Violation> {
    let mut trace = TraceBuilder::new();
    let safe: Vec<u32> = (0u32..)
        .zip(&trace.plan.arrivals)
        .filter_map(|(i, a)| (a.class == SAFE).then_some(i))
        .take(all)
        .collect();
    for (n, &request) in safe.iter().enumerate() {
        trace.at(
            1000.0,
            Observation::Sent { request, balancer: 0, start: 1, class: SAFE, resent: false },
        );
        let attempt = |trace: &mut TraceBuilder, ms: f64, attempt: u32| {
            let (first, dark, work_ms) = (at(ms), false, 100.0);
            let (node, balancer, start) = (0, 0, 1);
            let seen = Observation::Attempt {
                attempt,
                request,
                node,
                balancer,
                start,
                first,
                dark,
                work_ms,
            };
            trace.at(ms, seen).ended(ms, attempt, AttemptOutcome::Rejected);
        };
        if first {
            attempt(&mut trace, 1100.0, n as u32);
        }
        trace.at(1200.0, Observation::ClientLeft { request });
        if n < late {
            attempt(&mut trace, 1200.0 + after_ms, 1000 + n as u32);
        }
    }
    trace.violations()
}

#[test]
fn attempts_over_100_ms_after_their_clients_left_are_violations_from_the_third_on() {
    for first in [false, true] {
        assert_eq!(
            violations_after_leaving(30, 104.0, 30, first),
            vec![],
            "within 100 ms and the tolerance of 5 ms"
        );
        assert_eq!(violations_after_leaving(30, 106.0, 2, first), vec![]);
        assert_eq!(
            violations_after_leaving(30, 106.0, 3, first),
            vec![Violation::SentAfterClientLeft]
        );
        assert_eq!(
            violations_after_leaving(30, 106.0, 5, first),
            vec![Violation::SentAfterClientLeft; 3]
        );
    }
}

#[test]
fn at_most_a_quarter_of_abandoned_waiting_requests_may_be_forwarded() {
    let abandoned_sends = |all, after, late, first| {
        violations_after_leaving(all, after, late, first)
            .contains(&Violation::ForwardedWithoutClient)
    };
    assert!(!abandoned_sends(20, 306.0, 5, false), "a quarter");
    assert!(abandoned_sends(19, 306.0, 5, false), "over a quarter");
    assert!(!abandoned_sends(19, 304.0, 5, false), "within 0.3 s");
    assert!(!abandoned_sends(4, 306.0, 4, false), "fewer than five");
    assert!(!abandoned_sends(19, 306.0, 5, true), "requests with an earlier attempt did not wait");
}

#[test]
fn a_request_forwarded_during_shutdown_is_lost_if_its_connection_ends_without_an_answer() {
    let stopping = Observation::Stopping { balancer: 0, start: 1 };
    let exited = Observation::Exited { balancer: 0, start: 1, code: Some(0) };
    let killed = Observation::Killed { balancer: 0, start: 1 };
    let resent = |forwarded: bool, end: &[(f64, &Observation)]| {
        let mut trace = TraceBuilder::new();
        trace.append(1000.0, &stopping);
        trace.sent(1100.0, SAFE);
        if forwarded {
            trace.attempt(1110.0, SAFE, 1, 0).ended(1300.0, 1, AttemptOutcome::Abandoned);
        }
        end.iter().for_each(|(ms, seen)| trace.append(*ms, seen));
        // The client sends the request again, and is served.
        let request = trace.request(SAFE);
        let (balancer, class) = (0, SAFE);
        trace.at(1210.0, Observation::Sent { request, balancer, start: 2, class, resent: true });
        trace.attempt(1310.0, SAFE, 2, 0);
        if let Some(Line { seen: Observation::Attempt { start, .. }, .. }) = trace.lines.last_mut()
        {
            *start = 2;
        }
        trace.ended(1320.0, 2, AttemptOutcome::Served).answered(1330.0, SAFE, 200, Some(2));
        trace.lines.sort_by_key(|l| l.at);
        trace.violations()
    };
    assert_eq!(resent(false, &[(1200.0, &exited)]), vec![], "the request was never read");
    assert_eq!(resent(true, &[(1200.0, &exited)]), vec![Violation::Lost]);
    assert_eq!(resent(true, &[(1200.0, &killed)]), vec![], "a killed balancer cannot answer");
    // On a new connection the client does not send the request again, whether or not it was forwarded.
    for forwarded in [false, true] {
        let mut trace = TraceBuilder::new();
        trace.append(1000.0, &stopping);
        trace.sent(1100.0, SAFE);
        if forwarded {
            trace.attempt(1110.0, SAFE, 1, 0).ended(1300.0, 1, AttemptOutcome::Abandoned);
        }
        let request = trace.request(SAFE);
        trace.at(1200.0, Observation::Broken { request, begun: false });
        assert_eq!(trace.violations(), vec![Violation::Lost]);
    }
}

/// Returns the missed floors if this share of the requests is served, by class and third of the run.
fn missed_floors(share: impl Fn(usize, usize) -> f64) -> Vec<String> {
    let mut trace = TraceBuilder::new();
    for node in 0..8 {
        trace.at(
            0.0,
            Observation::NodeUp { node, full_speed: 1.0, initial_share: 0.25, warm_up_ms: 0.0 },
        );
    }
    let mut seen = [[0.0; 3]; 3];
    for request in 0..trace.plan.original_count {
        let arrival = trace.plan.arrivals[request as usize].clone();
        let ms = arrival.at.as_secs_f64() * 1e3;
        let (class, third) = (arrival.class, ((ms / 20_000.0) as usize).min(2));
        let (k, share) = (seen[class][third], share(class, third));
        seen[class][third] += 1.0;
        let served = ((k + 1.0) * share).floor() > (k * share).floor();
        let status = if served { 200 } else { 503 };
        trace.at(ms, Observation::Sent { request, balancer: 0, start: 1, class, resent: false });
        let answered =
            Observation::Answered { request, status, attempt: None, retry_after_ms: None };
        trace.at(ms + 10.0, answered);
    }
    trace.lines.sort_by_key(|l| l.at);
    let tolerance = TimingTolerance { slack: Duration::from_millis(5) };
    let result = check(&trace.scenario, &trace.plan, &trace.lines, tolerance);
    result.floors.into_iter().filter(|f| f.is_missed()).map(|f| f.scope).collect()
}

#[test]
fn the_run_each_third_and_each_class_have_a_floor() {
    assert_eq!(missed_floors(|_, _| 1.0), Vec::<String>::new());
    assert_eq!(missed_floors(|_, _| 0.52), Vec::<String>::new());
    assert_eq!(missed_floors(|_, _| 0.47), ["the day", "safe", "unsafe", "keyed"]);
    let third = |share| move |_, third| if third == 1 { share } else { 1.0 };
    assert_eq!(missed_floors(third(0.32)), Vec::<String>::new());
    assert_eq!(missed_floors(third(0.27)), ["third 2"]);
    let class = |share| move |class, _| if class == UNSAFE { share } else { 1.0 };
    assert_eq!(missed_floors(class(0.52)), Vec::<String>::new());
    assert_eq!(missed_floors(class(0.47)), ["unsafe"]);
}

#[test]
fn an_unsafe_request_may_be_resent_only_if_its_connection_broke_before_its_last_byte() {
    let mut trace = TraceBuilder::new();
    trace.sent(1000.0, UNSAFE).at(1010.0, Observation::PartialRequest { node: 0, balancer: 0 });
    trace.attempt(1020.0, UNSAFE, 1, 2).ended(1100.0, 1, AttemptOutcome::Served);
    trace.answered(1100.0, UNSAFE, 200, Some(1));
    assert_eq!(trace.violations(), vec![]);
    for outcome in [
        AttemptOutcome::Died,
        AttemptOutcome::Error,
        AttemptOutcome::Malformed,
        AttemptOutcome::Abandoned,
    ] {
        let mut trace = TraceBuilder::new();
        trace.sent(1000.0, UNSAFE).attempt(1010.0, UNSAFE, 1, 0).ended(1015.0, 1, outcome);
        trace.attempt(1020.0, UNSAFE, 2, 2).ended(1100.0, 2, AttemptOutcome::Served);
        trace.answered(1100.0, UNSAFE, 200, Some(2));
        assert_eq!(trace.violations(), vec![Violation::ResentUnsafe], "{outcome:?}");
    }
    let mut trace = TraceBuilder::new();
    trace.sent(1000.0, UNSAFE).attempt(1010.0, UNSAFE, 1, 0).ended(
        1015.0,
        1,
        AttemptOutcome::Rejected,
    );
    trace.attempt(1020.0, UNSAFE, 2, 2).ended(1025.0, 2, AttemptOutcome::Rejected);
    trace.answered(1030.0, UNSAFE, 503, None);
    assert_eq!(trace.violations(), vec![], "rejected twice by nodes, and then by the balancer");
}

#[test]
fn a_keyed_request_is_resent_only_to_its_cell_and_within_its_window() {
    let cases = [
        (2, 900.0, vec![]),
        (4, 900.0, vec![Violation::ResentElsewhere]),
        (2, 1050.0, vec![Violation::ResentTooLate]),
    ];
    for (node, after, violations) in cases {
        let mut trace = TraceBuilder::new();
        trace.sent(1000.0, KEYED).attempt(1000.0, KEYED, 1, 0).ended(
            1015.0,
            1,
            AttemptOutcome::Died,
        );
        trace.attempt(1000.0 + after, KEYED, 2, node).ended(2200.0, 2, AttemptOutcome::Dropped);
        trace.answered(2200.0, KEYED, 200, Some(2));
        assert_eq!(trace.violations(), violations, "node {node}, {after} ms");
    }
    let mut trace = TraceBuilder::new();
    trace.sent(1000.0, KEYED).attempt(1000.0, KEYED, 1, 0).ended(1015.0, 1, AttemptOutcome::Error);
    trace.answered(1020.0, KEYED, 503, None);
    assert_eq!(trace.violations(), vec![Violation::RefusedAfterRun]);
}

#[test]
fn concurrent_attempts_are_distinguished_from_successive_ones() {
    for (closed, violations) in [(1020.0, vec![]), (1040.0, vec![Violation::TwoAtOnce])] {
        let mut trace = TraceBuilder::new();
        trace.sent(1000.0, SAFE).attempt(1000.0, SAFE, 1, 0);
        trace.attempt(1020.0, SAFE, 2, 2).at(closed, Observation::Closed { attempt: 1 });
        trace.ended(1100.0, 2, AttemptOutcome::Served).answered(1100.0, SAFE, 200, Some(2));
        assert_eq!(trace.violations(), violations, "{closed}");
    }
}

#[test]
fn requests_of_a_killed_balancer_are_excused_and_missing_answers_are_violations() {
    let violations_without_answer = |end: &dyn Fn(&mut TraceBuilder)| {
        let mut trace = TraceBuilder::new();
        trace.sent(1000.0, SAFE);
        end(&mut trace);
        let request = trace.request(SAFE);
        trace.at(3050.0, Observation::ClientTimedOut { request });
        trace.violations()
    };
    let killed = Observation::Killed { balancer: 0, start: 1 };
    let other = Observation::Killed { balancer: 1, start: 1 };
    let stopping = Observation::Stopping { balancer: 0, start: 1 };
    assert_eq!(violations_without_answer(&|_| {}), vec![Violation::Lost]);
    assert_eq!(violations_without_answer(&|a| a.append(1500.0, &killed)), vec![]);
    assert_eq!(violations_without_answer(&|a| a.append(1500.0, &other)), vec![Violation::Lost]);
    assert_eq!(violations_without_answer(&|a| a.append(4000.0, &killed)), vec![Violation::Lost]);
    // A kill sooner than the longest deadline (2 s) and 0.7 s after SIGTERM counts as at any other time, also for requests
    // after SIGTERM. From then on a shutdown must have answered all requests that the balancer took.
    let violations_after_stop = |kill: f64| {
        let mut trace = TraceBuilder::new();
        trace.append(1500.0, &stopping);
        trace.sent(3000.0, SAFE).append(kill, &killed);
        let request = trace.request(SAFE);
        trace.at(5050.0, Observation::ClientTimedOut { request });
        trace.violations()
    };
    assert_eq!(violations_after_stop(4199.9), vec![]);
    assert_eq!(violations_after_stop(4200.0), vec![Violation::Lost]);
    assert_eq!(violations_after_stop(4900.0), vec![Violation::Lost]);
}

#[test]
fn an_abandoned_request_needs_no_answer_and_a_truncated_answer_is_no_loss() {
    let mut trace = TraceBuilder::new();
    let (safe, keyed) = (trace.request(SAFE), trace.request(KEYED));
    trace.sent(1000.0, SAFE).at(1200.0, Observation::ClientLeft { request: safe });
    trace.sent(1000.0, KEYED).at(1200.0, Observation::Broken { request: keyed, begun: true });
    assert_eq!(trace.violations(), vec![]);
    trace.lines.pop();
    trace.at(1200.0, Observation::Broken { request: keyed, begun: false });
    assert_eq!(trace.violations(), vec![Violation::Lost]);
}

#[test]
fn an_answer_must_come_from_a_node_that_ran_the_request() {
    for (attempt, violations) in [
        (Some(1), vec![]),
        (None, vec![Violation::ForeignAnswer]),
        (Some(2), vec![Violation::ForeignAnswer]),
    ] {
        let mut trace = TraceBuilder::new();
        trace.sent(1000.0, SAFE).attempt(1000.0, SAFE, 1, 0).ended(
            1100.0,
            1,
            AttemptOutcome::Served,
        );
        trace.sent(1000.0, KEYED).attempt(1000.0, KEYED, 2, 0).ended(
            1100.0,
            2,
            AttemptOutcome::Served,
        );
        trace.answered(1100.0, KEYED, 200, Some(2)).answered(1100.0, SAFE, 200, attempt);
        assert_eq!(trace.violations(), violations, "{attempt:?}");
    }
}

/// Returns the violations of rule 4 after a cold start of node 3 at 1 s. 0.23 s later a core with a capacity of slightly over
/// 0.25 has a budget of 4 x 0.267 x 2,000 ms in 2 s: N = 21.4 requests of 100 ms. With twice the root of N and two more, 32.6
/// are allowed.
fn warm_up_violations(
    sends: usize,
    by: impl Fn(usize) -> usize,
    informed: &[usize],
) -> Vec<Violation> {
    let mut trace = TraceBuilder::new();
    trace.at(
        1000.0,
        Observation::NodeUp { node: 3, full_speed: 1.0, initial_share: 0.25, warm_up_ms: 10_000.0 },
    );
    for &balancer in informed {
        trace.list_update_since(1100.0, balancer, 3, Phase::Serving, 2, 1000.0);
    }
    // All attempts belong to one request. Violations of the other rules by that are ignored.
    for i in 0..sends {
        let ms = 1200.0 + i as f64;
        trace.attempt_by(ms, SAFE, i as u32, 3, by(i)).ended(
            ms,
            i as u32,
            AttemptOutcome::Rejected,
        );
    }
    trace.violations().into_iter().filter(|b| b.rule() == 4).collect()
}

#[test]
fn a_cold_node_has_one_limit_for_all_balancers_together() {
    assert_eq!(warm_up_violations(32, |_| 0, &[0]), vec![]);
    assert_eq!(warm_up_violations(33, |_| 0, &[0]), vec![Violation::OverloadedDuringWarmUp]);
    // Neither balancer alone exceeds the limit with its 16 or 17 requests.
    assert_eq!(warm_up_violations(33, |i| i % 2, &[0, 1]), vec![Violation::OverloadedDuringWarmUp]);
}

#[test]
fn the_limit_of_a_cold_node_follows_the_settings_even_if_its_capacity_is_larger() {
    // A node of the same age that completed work has warmed.
    let mut trace = TraceBuilder::new();
    trace.at(
        1000.0,
        Observation::NodeUp { node: 3, full_speed: 1.0, initial_share: 0.25, warm_up_ms: 10_000.0 },
    );
    trace.list_update_since(1100.0, 0, 3, Phase::Serving, 2, 1000.0);
    trace.at(1150.0, Observation::WarmUpProgress { node: 3, share: 0.9 });
    for i in 0..33 {
        let ms = 1200.0 + f64::from(i);
        trace.attempt(ms, SAFE, i, 3).ended(ms, i, AttemptOutcome::Rejected);
    }
    assert!(trace.violations().contains(&Violation::OverloadedDuringWarmUp));
}

#[test]
fn a_cold_node_tolerates_one_heavy_request_and_not_two() {
    for (heavy, violations) in [(1, vec![]), (2, vec![Violation::OverloadedDuringWarmUp])] {
        let mut trace = TraceBuilder::new();
        trace.at(
            1000.0,
            Observation::NodeUp {
                node: 3,
                full_speed: 1.0,
                initial_share: 0.25,
                warm_up_ms: 10_000.0,
            },
        );
        trace.list_update_since(1100.0, 0, 3, Phase::Serving, 2, 1000.0);
        for i in 0..heavy {
            trace.attempt(1200.0, SAFE, i, 3).ended(1200.0, i, AttemptOutcome::Rejected);
            let Some(Line { seen: Observation::Attempt { work_ms, .. }, .. }) =
                trace.lines.iter_mut().rev().nth(1)
            else {
                panic!("an attempt")
            };
            *work_ms = 50_000.0;
        }
        let found: Vec<_> = trace.violations().into_iter().filter(|b| b.rule() == 4).collect();
        assert_eq!(found, violations, "{heavy}");
    }
}

#[test]
fn a_balancer_without_an_update_of_the_start_is_excused() {
    assert_eq!(warm_up_violations(33, |_| 0, &[]), vec![], "the list was stale");
    assert_eq!(
        warm_up_violations(33, |i| i % 2, &[0]),
        vec![],
        "half of it came from a balancer without the update"
    );
    assert_eq!(
        warm_up_violations(33, |i| usize::from(i % 4 == 3), &[0]),
        vec![Violation::OverloadedDuringWarmUp]
    );
}

const PAUSED: Observation = Observation::Paused { balancer: 0, start: 1 };
const RESUMED: Observation = Observation::Resumed { balancer: 0, start: 1 };

#[test]
fn a_balancer_suspended_at_a_deadline_is_excused_and_one_resumed_well_before_is_not() {
    // The client gives up 1,000 ms after it sent the request.
    let violations_when_paused = |pause: f64, resume: Option<f64>| {
        let mut a = TraceBuilder::new();
        a.sent(1000.0, 0);
        a.at(pause, PAUSED);
        if let Some(ms) = resume {
            a.at(ms, RESUMED);
        }
        let request = a.request(0);
        a.at(2000.0, Observation::ClientTimedOut { request });
        a.lines.sort_by_key(|l| l.at);
        a.violations()
    };
    assert_eq!(violations_when_paused(900.0, None), []);
    assert_eq!(violations_when_paused(1500.0, Some(2500.0)), []);
    assert_eq!(
        violations_when_paused(900.0, Some(1760.0)),
        [],
        "it needs some time after its resumption"
    );
    assert_eq!(violations_when_paused(900.0, Some(1740.0)), [Violation::Lost]);
    assert_eq!(
        violations_when_paused(2100.0, Some(2500.0)),
        [Violation::Lost],
        "frozen only later"
    );
}

#[test]
fn a_drain_update_during_a_suspension_counts_from_the_resumption() {
    let sent = |list_update: f64, pause: f64, resume: f64, first: f64| {
        let mut a = TraceBuilder::new();
        a.list_update(0.0, 0, 1, Phase::Serving, 1).list_update(
            list_update,
            0,
            1,
            Phase::Draining,
            2,
        );
        a.at(pause, PAUSED).at(resume, RESUMED);
        a.attempt(first, 0, 0, 1).ended(first + 10.0, 0, AttemptOutcome::Served);
        a.lines.sort_by_key(|l| l.at);
        a.violations()
    };
    assert_eq!(sent(3000.0, 2000.0, 6000.0, 6490.0), []);
    assert_eq!(sent(3000.0, 2000.0, 6000.0, 6510.0), [Violation::SentToDrained]);
    // An update right before the suspension may be unread. One long before it was in time.
    assert_eq!(sent(1900.0, 2000.0, 6000.0, 6400.0), []);
    assert_eq!(sent(1000.0, 2000.0, 6000.0, 6400.0), [Violation::SentToDrained]);
}
