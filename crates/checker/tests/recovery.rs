//! The account of a bank on traces written by hand: each figure where it is known beforehand.

use hollowpaddle_checker::recovery::RecoveryReport;
use hollowpaddle_checker::report::Report;
use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, AttemptOutcome, CompletedRun, Line, Observation, Phase};
use hollowpaddle_scenario::scenario::Scenario;

const DAY: &str = r#"
name = "by hand"
length_s = 40

[fleet]
nodes = 4

[[fleet.kinds]]
name = "std"
speed_cv = 0.0

[balancers]
count = 4

[[classes]]
name = "one"
work_ms = 10
aim_ms = 500
deadline_ms = 1000
effect = "safe"

[[classes]]
name = "two"
work_ms = 10
aim_ms = 500
deadline_ms = 1000
effect = "safe"

[load]
of_capacity = 0.9
swing = 0.0

[[faults]]
kind = "balancer-kill"
start_s = 10
length_s = 2
share = 0.5
"#;

/// The first client could come so long after the account began, in microseconds.
const BEGAN: u64 = 700_000;

fn scenario_with(more: &str) -> Scenario {
    Scenario::read("hand.toml", &format!("{DAY}{more}")).unwrap_or_else(|e| panic!("{e}"))
}

fn at(seconds: f64) -> At {
    At(BEGAN + (seconds * 1e6) as u64)
}

/// A run on which each request is served at once or refused, as `served` says by its number, class and time.
fn run(
    scenario: &Scenario,
    served: impl Fn(usize, usize, f64) -> bool,
    more: Vec<Line>,
) -> CompletedRun {
    let plan = Plan::generate(scenario, 1);
    let mut trace = more;
    for (i, a) in plan.arrivals.iter().enumerate() {
        let (request, class, due) = (i as u32, a.class, a.at.as_secs_f64());
        let status = if served(i, class, due) { 200 } else { 503 };
        let sent = Observation::Sent { request, balancer: i % 4, start: 1, class, again: false };
        let answered =
            Observation::Answered { request, status, attempt: None, retry_after_ms: None };
        trace.push(Line { at: at(due), seen: sent });
        trace.push(Line { at: at(due + 0.01), seen: answered });
    }
    trace.sort_by_key(|l| l.at);
    let (scenario, began) = (scenario.clone(), At(BEGAN));
    CompletedRun { scenario, plan, trace, began, resources: Vec::new(), simulated: true }
}

/// The two that the fault of the day strikes are ready again at this time.
fn ready_again(scenario: &Scenario, seconds: f64) -> Vec<Line> {
    let events = Plan::generate(scenario, 1).fault_events;
    let killed =
        events.iter().find(|a| a.balancers.len() == 2).expect("half of four").balancers.clone();
    let ready = |(n, balancer): (usize, usize)| Line {
        at: at(seconds - n as f64 * 0.2),
        seen: Observation::Ready { balancer, start: 2 },
    };
    killed.into_iter().enumerate().map(ready).collect()
}

fn recovery_of(scenario: &Scenario, played: &CompletedRun) -> RecoveryReport {
    let mut control_run = run(scenario, |_, _, _| true, vec![]);
    control_run.plan = control_run.plan.control_run();
    Report::with_control(played, &control_run).recovery.expect("there is a twin")
}

#[test]
fn time_to_full_service_counts_from_the_last_restart_until_service_is_full() {
    let scenario = scenario_with("");
    // One in ten is refused from the fault's beginning until 17 s; the last one is up at 13 s.
    let short =
        |until: f64| move |i: usize, _, t: f64| t < 10.0 || t >= until || !i.is_multiple_of(10);
    let recovery_until =
        |until| recovery_of(&scenario, &run(&scenario, short(until), ready_again(&scenario, 13.0)));
    let full = recovery_until(17.0).episodes;
    assert_eq!(full.len(), 1);
    let episode = &full[0];
    assert_eq!(
        (episode.faults.as_slice(), episode.up_s),
        (&["balancer-kill".to_string()][..], Some(13.0))
    );
    let took = episode.full_service_s.expect("it comes back");
    // A window in which next to nothing is missing is full: up to 1 s of one is in the time before.
    assert!((3.0..=4.1).contains(&took), "{took}");
    assert!((0.7..=1.0).contains(&episode.lost_s), "a tenth of 7 s: {}", episode.lost_s);
    assert!(episode.lowest < 0.95 && episode.lowest_of_control == 1.0);
    // Whole at once, and never.
    assert_eq!(recovery_until(12.0).episodes[0].full_service_s, Some(0.0));
    let never = &recovery_until(40.0).episodes[0];
    assert_eq!((never.full_service_s, never.watched_s), (None, 24.0));
}

#[test]
fn service_is_not_full_while_one_class_is_short() {
    let scenario = scenario_with("");
    let short = |i: usize, class: usize, t: f64| {
        !(10.0..20.0).contains(&t) || class == 0 || !i.is_multiple_of(8)
    };
    let recovery = recovery_of(&scenario, &run(&scenario, short, ready_again(&scenario, 13.0)));
    let took = recovery.episodes[0].full_service_s.expect("it comes back");
    assert!((6.0..=7.1).contains(&took), "{took}");
}

#[test]
fn overlapping_faults_are_one_episode_and_a_missing_restart_has_no_time() {
    let more = "\n[[faults]]\nkind = \"die\"\nstart_s = 11\nlength_s = 9\nnodes = [1]\n\
        \n[[faults]]\nkind = \"burst\"\nstart_s = 1\nlength_s = 30\nfactor = 1.2\n\
        \n[[faults]]\nkind = \"drain\"\nstart_s = 30\nlength_s = 1\nnodes = [2]\n";
    let scenario = scenario_with(more);
    let all = |_, _, _| true;
    // The kill's last one is up at 13 s, and a node is away until 20 s: full service is theirs together.
    let episodes =
        recovery_of(&scenario, &run(&scenario, all, ready_again(&scenario, 13.0))).episodes;
    let names: Vec<Vec<String>> = episodes.iter().map(|e| e.faults.clone()).collect();
    assert_eq!(names, [vec!["balancer-kill", "die"], vec!["drain"]]);
    assert_eq!((episodes[0].up_s, episodes[0].full_service_s), (Some(20.0), Some(0.0)));
    // It was looked for until the next fault began, less the 3 s that it takes to tell.
    assert_eq!(episodes[0].watched_s, 7.0);
    let mut lines = ready_again(&scenario, 13.0);
    lines.pop();
    let episodes = recovery_of(&scenario, &run(&scenario, all, lines)).episodes;
    assert_eq!((episodes[0].up_s, episodes[0].full_service_s), (None, None));
}

#[test]
fn a_stampede_is_the_worst_second_against_the_control_run() {
    let scenario = scenario_with("");
    let link =
        |s: f64, node| Line { at: at(s), seen: Observation::Connected { node, balancer: 0 } };
    let call = |s: f64| Line { at: at(s), seen: Observation::ListCall { balancer: 0 } };
    // Two a second usually, and before the fault a rush that is no part of it.
    let usual: Vec<Line> =
        (0..80).map(|n| link(f64::from(n) * 0.5 + 0.01, n as usize % 4)).collect();
    let burst = |from: f64, count| (0..count).map(move |n| link(from + f64::from(n) * 0.01, 3));
    let mut more: Vec<Line> =
        usual.iter().cloned().chain(burst(5.0, 90)).chain(burst(12.3, 30)).collect();
    more.extend([call(12.5), call(12.6), call(12.7), call(14.9)]);
    let played = run(&scenario, |_, _, _| true, more);
    let mut control_run = run(&scenario, |_, _, _| true, usual);
    control_run.plan = control_run.plan.control_run();
    let recovery = Report::with_control(&played, &control_run).recovery.expect("there is a twin");
    let of = |kind| recovery.stampede.iter().find(|r| r.kind == kind).expect("known");
    let (connects, busiest) = (of("connects").all, of("connects").busiest.expect("goes to nodes"));
    assert_eq!((connects.peak, connects.control_p99, connects.times), (32, 2, 16.0));
    assert!((11.2..=12.4).contains(&connects.at_s), "{}", connects.at_s);
    assert_eq!((busiest.peak, busiest.control_p99), (30, 1));
    let calls = of("list-calls");
    assert_eq!(
        (calls.all.peak, calls.all.control_p99, calls.all.times, calls.busiest),
        (3, 0, 3.0, None)
    );
    assert_eq!(of("datagrams").all.peak, 0);
}

#[test]
fn a_refusal_counts_as_contention_only_beside_a_usable_idle_node() {
    let scenario =
        scenario_with("\n[[faults]]\nkind = \"vanish\"\nstart_s = 20\nlength_s = 5\nnodes = [0]\n");
    let up = |node, cold_ms| Line {
        at: At(0),
        seen: Observation::Up { node, full: 1.0, cold_from: 0.2, cold_ms },
    };
    let update = |balancer, node| Line {
        at: At(1),
        seen: Observation::ListUpdate {
            balancer,
            node,
            phase: Phase::Serving,
            since: At(0),
            revision: 1,
        },
    };
    let fault = |s, begins| Line { at: at(s), seen: Observation::Fault { fault: 1, begins } };
    let busy = |attempt, s: f64, node| Line {
        at: at(s),
        seen: Observation::Attempt {
            attempt,
            request: 0,
            node,
            balancer: 0,
            start: 1,
            first: at(s),
            dark: false,
            work_ms: 10.0,
        },
    };
    let ended = |attempt, s, outcome| Line {
        at: at(s),
        seen: Observation::Ended { attempt, outcome: outcome },
    };
    // Node 0 is warm and known to balancers 0 and 1, node 1 cold until 30 s; the others do not run.
    let lines = vec![
        up(0, 0.0),
        up(1, 30_700.0),
        update(0, 0),
        update(1, 0),
        update(0, 1),
        // Node 0 has something in work from 5 s to 10 s, and until 10.01 s with what was given up.
        busy(1, 5.0, 0),
        ended(1, 10.0, AttemptOutcome::Abandoned),
        fault(20.0, true),
        fault(25.0, false),
    ];
    let refuse_between = |from: f64, to: f64| {
        let played = run(&scenario, move |_, _, t| !(from..to).contains(&t), lines.clone());
        let contention = recovery_of(&scenario, &played).contention;
        let refused = played
            .trace
            .iter()
            .filter(|l| matches!(l.seen, Observation::Answered { status: 503, .. }));
        assert_eq!(contention.refused, refused.count() as u64);
        contention.beside_idle as f64 / contention.refused as f64
    };
    // Half of the balancers have heard of node 0.
    let half = |share: f64| (0.45..=0.55).contains(&share);
    assert!(half(refuse_between(2.0, 4.9)));
    assert_eq!(refuse_between(5.0, 9.9), 0.0, "it is busy");
    assert!(half(refuse_between(10.1, 19.9)));
    assert_eq!(refuse_between(20.0, 24.9), 0.0, "out of reach, and the other is cold");
    // From 30 s on node 1 is warm: balancer 0 knows both, balancer 1 one of them.
    assert!(half(refuse_between(31.0, 39.0)));
}

#[test]
fn stale_sends_are_counted_by_who_knew_with_the_age_of_the_update() {
    let scenario = scenario_with("");
    let update = |s, phase, revision| Line {
        at: at(s),
        seen: Observation::ListUpdate { balancer: 0, node: 0, phase, since: At(0), revision },
    };
    let listed =
        |s, phase| Line { at: at(s), seen: Observation::Listed { node: 0, phase, since: At(0) } };
    let send = |s, balancer| Line {
        at: at(s),
        seen: Observation::Attempt {
            attempt: 0,
            request: 0,
            node: 0,
            balancer,
            start: 1,
            first: at(s),
            dark: false,
            work_ms: 1.0,
        },
    };
    let lines = vec![
        update(0.0, Phase::Serving, 1),
        send(1.0, 0),
        listed(2.0, Phase::Draining),
        update(2.2, Phase::Draining, 2),
        send(2.5, 0),
        // Said again, and an older word after it, take nothing back.
        update(2.6, Phase::Deleted, 3),
        update(2.7, Phase::Serving, 1),
        send(3.2, 0),
        send(4.5, 1),
        send(4.6, 2),
        listed(5.0, Phase::Serving),
        update(5.1, Phase::Serving, 4),
        send(6.0, 0),
        send(6.0, 1),
    ];
    let stale = recovery_of(&scenario, &run(&scenario, |_, _, _| true, lines)).stale;
    assert_eq!(
        (stale.informed.sends, stale.informed.oldest_ms, stale.informed.balancers),
        (2, 1000.0, 1)
    );
    assert_eq!(
        (stale.uninformed.sends, stale.uninformed.oldest_ms, stale.uninformed.balancers),
        (2, 2600.0, 2)
    );
}

#[test]
fn missed_expectations_name_the_shortfall() {
    let expect = "\n[expect]\nfull_service_s = 2\nconnects_times = 3\nlist_calls_times = 1\nattempts_times = 9\n\
        crowd_share = 0.0\nstale = 0\nservice = 0.99\n";
    let scenario = scenario_with(expect);
    let short = |i: usize, _, t: f64| !(10.0..20.0).contains(&t) || !i.is_multiple_of(5);
    let mut lines = ready_again(&scenario, 13.0);
    lines.extend((0..9).map(|n| Line {
        at: at(12.0 + f64::from(n) * 0.01),
        seen: Observation::Connected { node: 0, balancer: 0 },
    }));
    let missed = recovery_of(&scenario, &run(&scenario, short, lines)).missed_expectations;
    let starts = [
        "full service ",
        "connects over all: 9 in the second from",
        "connects at the busiest upstream: 9 in the second from",
        "service 0.9",
    ];
    assert_eq!(missed.len(), starts.len(), "{missed:#?}");
    let took = missed[0].split(' ').nth(2).and_then(|t| t.parse::<f64>().ok()).expect("a time");
    assert!((6.0..=7.1).contains(&took), "{missed:#?}");
    let more = format!("at most 2.0 s expected, {:.1} s too many", took - 2.0);
    assert!(missed[0].ends_with(&more), "{missed:#?}");
    for (line, start) in missed.iter().zip(starts) {
        assert!(line.starts_with(start), "expected {start}\ngot {line}");
    }
    // All of it shown, nothing is told.
    let healthy =
        recovery_of(&scenario, &run(&scenario, |_, _, _| true, ready_again(&scenario, 13.0)));
    assert_eq!(healthy.missed_expectations, Vec::<String>::new());
}
