//! Checks the rules of the protocol for all effects and outcomes, and for random sequences of events.

mod common;

use common::{Harness, MS, member, settings};
use hollowpaddle_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

/// Returns how a request continues whose first attempt had this outcome: it is retried, rejected or failed.
fn reaction_to(class: usize, outcome: Outcome) -> &'static str {
    let mut w = Harness::with_servers(settings(), 4);
    w.request(1, class);
    w.advance(SignedDuration(5 * MS));
    w.outcome(1, 0, outcome);
    match (w.in_flight_at(1).is_some(), w.refused(1), w.failed(1)) {
        (true, false, false) => "retried",
        (false, true, false) => "rejected",
        (false, false, true) => "failed",
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_follows_an_outcome_depends_on_effect_and_outcome() {
    let may_run = [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled];
    let never_ran = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];
    for o in never_ran.into_iter().chain(may_run) {
        assert_eq!(reaction_to(SAFE, o), "retried", "{o:?}");
        assert_eq!(reaction_to(KEYED, o), "retried", "{o:?}");
    }
    never_ran.iter().for_each(|o| assert_eq!(reaction_to(UNSAFE, *o), "retried", "{o:?}"));
    may_run.iter().for_each(|o| assert_eq!(reaction_to(UNSAFE, *o), "failed", "{o:?}"));
}

#[test]
fn a_keyed_repeat_outside_its_group_is_failed_not_refused() {
    let mut w = Harness::new(settings());
    w.list(ListKind::Complete, &[member(0, 0), member(1, 1)]);
    w.request(1, KEYED);
    let first = w.in_flight_at(1).unwrap();
    let other = member(1 - first.0, 1 - first.0);
    w.list(ListKind::Complete, &[other]);
    w.outcome(1, 0, Outcome::Error);
    assert!(w.failed(1), "no live upstream would drop the repeat");
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut w = Harness::with_servers(settings(), 2);
    w.request(1, UNSAFE);
    w.request(2, SAFE);
    w.advance(SignedDuration(601 * MS));
    assert!(w.failed(1) && w.requests[&2].is_over);
}

#[test]
fn queued_requests_leave_a_drained_upstream() {
    let mut w = Harness::with_servers(settings(), 2);
    for id in 0..30 {
        w.request(id, SAFE);
    }
    let draining = Member { status: Status::Draining, ..member(0, 0) };
    w.list(ListKind::Update, &[draining]);
    let before = w.sends_to(0);
    for id in 0..30 {
        w.advance(SignedDuration(MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    assert_eq!(w.sends_to(0), before);
    assert!(w.sends_to(1) > 0);
}

/// Returns settings in which requests of the keyed class run in order, with a rest of 30 ms.
fn in_order() -> Settings {
    let mut s = settings();
    s.classes[KEYED].in_order = true;
    s.rules.ordering_key_rest = SignedDuration(30 * MS);
    s
}

fn request_with_key(w: &mut Harness, id: u64, class: usize, key: u64) {
    let until = w.now.plus(w.settings.classes[class].deadline);
    w.request_with(0, id, class, until, Some(key));
}

#[test]
fn requests_of_one_key_run_in_order_and_delay_no_others() {
    // Guards against a request that is sent while an earlier request of its key is still in flight.
    let mut w = Harness::with_servers(in_order(), 6);
    request_with_key(&mut w, 1, KEYED, 9);
    request_with_key(&mut w, 2, KEYED, 9);
    request_with_key(&mut w, 3, KEYED, 8);
    request_with_key(&mut w, 4, SAFE, 9);
    assert!(
        w.in_flight_at(2).is_none() && w.in_flight_at(3).is_some() && w.in_flight_at(4).is_some()
    );
    w.advance(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    assert!(w.in_flight_at(2).is_some(), "the second request is sent once the first has ended");
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let mut w = Harness::with_servers(in_order(), 6);
    request_with_key(&mut w, 1, KEYED, 9);
    request_with_key(&mut w, 2, KEYED, 9);
    w.cancel(1);
    assert!(
        w.in_flight_at(2).is_none(),
        "the client has cancelled, but the attempt is still in flight"
    );
    w.outcome(1, 0, Outcome::Reset);
    w.advance(SignedDuration(20 * MS));
    assert!(w.in_flight_at(2).is_none(), "the key rests");
    w.advance(SignedDuration(20 * MS));
    assert!(w.in_flight_at(2).is_some());
}

#[test]
fn request_behind_too_many_of_its_key_is_rejected_early() {
    let mut w = Harness::with_servers(in_order(), 6);
    for id in 0..10 {
        request_with_key(&mut w, id, KEYED, id);
        w.advance(SignedDuration(50 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    (10..16).for_each(|id| request_with_key(&mut w, id, KEYED, 1));
    assert!(
        !w.refused(11) && w.refused(15),
        "four requests of 50 ms ahead use up the objective of 200 ms"
    );
}

#[test]
fn bound_class_stays_in_its_upstreams_and_delays_no_others() {
    // Guards against a class bound to zones that is sent to any free upstream.
    let mut s = settings();
    s.classes[SAFE].zones = Some(vec![1]);
    let mut w = Harness::with_servers(s, 6);
    (0..20).for_each(|id| w.request(id, SAFE));
    let at: Vec<_> = (0..20).filter_map(|id| w.in_flight_at(id)).collect();
    assert!(!at.is_empty() && at.iter().all(|s| s.0 % 2 == 1), "{at:?}");
    assert!(w.refused(19), "admission counts only the upstreams of its zones");
    w.request(100, UNSAFE);
    assert!(
        w.in_flight_at(100).is_some_and(|s| s.0 % 2 == 0),
        "other classes are not delayed by requests queued for zone 1"
    );
    for i in [1, 3, 5] {
        w.list(ListKind::Update, &[Member { status: Status::Gone, ..member(i, 1) }]);
    }
    w.request(200, SAFE);
    w.advance(SignedDuration(600 * MS));
    assert!(w.refused(200), "without an upstream for its class, it is rejected in time");
}

#[test]
fn idle_connections_to_a_draining_upstream_are_closed() {
    // Guards against idle connections to a draining upstream that stay open until their keepalive ends.
    let mut s = settings();
    s.rules.idle_close_limit = SignedDuration(50 * MS);
    let mut w = Harness::with_servers(s, 2);
    (0..4).for_each(|id| w.request(id, SAFE));
    w.list(ListKind::Complete, &[member(1, 1)]);
    let closes = |w: &Harness| {
        w.log.iter().filter(|a| matches!(a, Action::CloseIdle { server: ServerId(0) })).count()
    };
    assert_eq!(closes(&w), 1, "a complete list without the upstream withdraws it too");
    w.advance(SignedDuration(150 * MS));
    let before = closes(&w);
    let at = (0..4)
        .find(|&id| w.in_flight_at(id) == Some(ServerId(0)))
        .expect("an attempt is in flight there");
    w.outcome(at, 0, Outcome::Ok);
    assert!(closes(&w) > before, "connections are closed again after the last outcome there");
    w.advance(SignedDuration(500 * MS));
}

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, wait_ms: i64 },
    Outcome { id: u64, attempt: usize, outcome: Outcome },
    Advance { ms: i64 },
    ClientCancels { id: u64 },
    Status { id: u32, status: Status, restarted: bool },
    CompleteList { count: u32 },
    Unavailable,
    StrayTimer { token: u64 },
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Moot),
    ]
}

fn events() -> impl Strategy<Value = Step> {
    let status = prop_oneof![Just(Status::Live), Just(Status::Draining), Just(Status::Gone)];
    prop_oneof![
        8 => (0..3usize, 0..700i64).prop_map(|(class, wait_ms)| Step::Request { class, wait_ms }),
        8 => (0..60u64, 0..3usize, outcomes())
            .prop_map(|(id, attempt, outcome)| Step::Outcome { id, attempt, outcome }),
        6 => (0..80i64).prop_map(|ms| Step::Advance { ms }),
        1 => (0..60u64).prop_map(|id| Step::ClientCancels { id }),
        2 => (0..8u32, status, any::<bool>())
            .prop_map(|(id, status, restarted)| Step::Status { id, status, restarted }),
        1 => (0..8u32).prop_map(|count| Step::CompleteList { count }),
        1 => Just(Step::Unavailable),
        1 => (0..9u64).prop_map(|token| Step::StrayTimer { token }),
    ]
}

fn play(w: &mut Harness, events: Vec<Step>) {
    let mut next = 0;
    for event in events {
        match event {
            Step::Request { class, wait_ms } => {
                w.request_until(next, class, w.now.plus(SignedDuration(wait_ms * MS)));
                next += 1;
            }
            Step::Outcome { id, attempt, outcome } => w.outcome(id, attempt, outcome),
            Step::Advance { ms } => w.advance(SignedDuration(ms * MS)),
            Step::ClientCancels { id } => w.cancel(id),
            Step::Status { id, status, restarted } => {
                let started = restarted.then_some(w.now);
                let machine_type = id / 6;
                w.list(
                    ListKind::Update,
                    &[Member { status, started, machine_type, ..member(id, id % 2) }],
                );
            }
            Step::CompleteList { count } => {
                let list: Vec<_> = (0..count).map(|i| member(i, i % 2)).collect();
                w.list(ListKind::Complete, &list);
            }
            Step::Unavailable => w.list(ListKind::Unavailable, &[]),
            Step::StrayTimer { token } => {
                let mut out = vec![];
                w.balancer.handle(w.now, Event::Timer(token + 1000), &mut out);
                assert!(out.is_empty());
            }
        }
    }
}

#[test]
fn the_rules_hold_over_any_order_of_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<[bool; 5]>(), prop::collection::vec(events(), 1..250));
    let result =
        runner.run(&input, |([hedging, polls_list, order, is_zoned, is_bound], events)| {
            let mut s = settings();
            (s.limits.hedging, s.polls_list) = (hedging, polls_list);
            (s.rules.ordering_key_rest, s.rules.idle_close_limit) =
                (SignedDuration(30 * MS), SignedDuration(50 * MS));
            (s.classes[SAFE].in_order, s.classes[KEYED].in_order) = (order, order);
            s.classes[UNSAFE].zones = is_zoned.then(|| vec![1]);
            s.classes[SAFE].machine_types = is_bound.then(|| vec![0]);
            let mut w = Harness::with_servers(s, 4);
            play(&mut w, events);
            // Every client must have a final answer once its deadline has passed.
            w.advance(SignedDuration(2000 * MS));
            let unanswered: Vec<_> =
                w.requests.iter().filter(|(_, a)| !a.is_over).map(|(id, _)| id).collect();
            prop_assert!(unanswered.is_empty(), "no final answer for {:?}", unanswered);
            Ok(())
        });
    result.unwrap();
}

#[test]
fn all_balancers_together_overload_no_upstream_that_is_warming_up() {
    // Six balancers have more requests than they may send. Warm upstreams serve 50 requests a second; the upstream
    // that warms up starts at a fifth of that, and must not be sent three times its capacity within a second. It
    // answers as quickly as the others, so that K_i alone would not limit the balancers.
    let cluster = |position| {
        let mut s = Settings { balancers: 6, position, ..settings() };
        s.classes[SAFE].deadline = SignedDuration(60_000 * MS);
        let mut w = Harness::with_servers(s, 12);
        w.list(ListKind::Update, &[Member { started: Some(w.now), ..member(5, 1) }]);
        (w, Vec::<(Time, u64)>::new())
    };
    let mut cluster: Vec<_> = (0..6).map(cluster).collect();
    let (mut id, mut sent) = (0, vec![]);
    let mut free_at = [Time(0); 12];
    for _ in 0..400 {
        for (w, due) in &mut cluster {
            w.advance(SignedDuration(5 * MS));
            let done: Vec<_> = due.iter().filter(|d| d.0 <= w.now).map(|d| d.1).collect();
            due.retain(|d| d.0 > w.now);
            done.into_iter().for_each(|i| w.outcome(i, 0, Outcome::Ok));
            let known = w.log.len();
            (0..3).for_each(|i| w.request(id + i, SAFE));
            id += 3;
            let latest: Vec<_> = w.log[known.saturating_sub(40)..].to_vec();
            for action in latest {
                let Action::Send { request, server, .. } = action else { continue };
                if due.iter().any(|d| d.1 == request.0) || w.requests[&request.0].is_over {
                    continue;
                }
                // A warm upstream runs one request at a time, from all balancers together.
                let free = &mut free_at[server.0 as usize];
                *free = if server.0 == 5 { w.now } else { w.now.max(*free) }
                    .plus(SignedDuration(20 * MS));
                due.push((*free, request.0));
                if server.0 == 5 {
                    sent.push(w.now);
                }
            }
        }
    }
    let start = cluster[0].0.now.plus(SignedDuration(-2000 * MS));
    for t in &sent {
        let within = sent.iter().filter(|s| (0..1000 * MS).contains(&s.since(*t).0)).count();
        let share = 0.2 + 0.8 * t.since(start).as_micros_f64() / (10_000.0 * MS as f64);
        let most = 3.0 * share * 50.0;
        assert!(within as f64 <= most, "{within} sends within a second, {most} are allowed");
    }
    assert!(sent.len() >= 4, "the upstream gets some requests: {}", sent.len());
}

#[test]
fn absurd_entries_are_made_safe() {
    let mut w = Harness::with_servers(settings(), 2);
    for (id, weight) in [(0, 0.0), (1, f64::NAN), (2, f64::INFINITY), (3, -1.0)] {
        w.list(ListKind::Update, &[Member { weight, ..member(id, 0) }]);
    }
    let future = Some(Time(w.now.0 + 3_600_000 * MS));
    w.list(ListKind::Update, &[Member { started: future, machine_type: u32::MAX, ..member(4, 0) }]);
    for id in 0..60 {
        w.request(id, SAFE);
        w.advance(SignedDuration(10 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    assert!((0..60).all(|id| !w.refused(id)), "upstreams of invalid weight serve");
    assert!(w.sends_to(4) <= 15, "an upstream with a start in the future is treated as warming up");
}

#[test]
fn a_deadline_in_the_past_is_refused_at_once() {
    let mut w = Harness::with_servers(settings(), 2);
    w.request_until(1, UNSAFE, Time(w.now.0 - MS));
    w.request_until(2, KEYED, Time(i64::MIN));
    assert!(w.refused(1) && w.refused(2));
}

#[test]
fn absurd_latency_does_not_distort_the_mean() {
    // Guards against a single absurd latency that distorts the mean of its class for good.
    let mut w = Harness::with_servers(settings(), 2);
    let answer = |id: u64, latency| CompletedAttempt {
        request: RequestId(id),
        attempt: 0,
        server: ServerId(0),
        outcome: Outcome::Ok,
        latency,
        last: true,
        body_consumed: false,
        report: Report { inflight: Some(f64::NAN), qps: Some(-1.0), ..Report::default() },
    };
    for id in 0..40 {
        w.request(id, SAFE);
        let invalid = if id % 2 == 0 { SignedDuration(i64::MAX) } else { SignedDuration(-5) };
        let latency = if id < 4 { invalid } else { SignedDuration(20 * MS) };
        w.requests.get_mut(&id).expect("asked").is_over = true;
        w.now = w.now.plus(SignedDuration(20 * MS));
        w.balancer.handle(w.now, Event::AttemptCompleted(answer(id, latency)), &mut vec![]);
    }
    let (_, k, n) = w.balancer.upstream(ServerId(0), SignedDuration(200 * MS)).unwrap();
    assert!(k >= 1 && n > 0.1, "K {k}, N {n}");
    // Repeated, late and unknown events have no effect.
    let mut out = vec![];
    w.balancer.handle(w.now, Event::AttemptCompleted(answer(39, SignedDuration(MS))), &mut out);
    w.balancer.handle(w.now, Event::AttemptCompleted(answer(999, SignedDuration(MS))), &mut out);
    w.balancer.handle(w.now, Event::ClientCancelled(RequestId(999)), &mut out);
    w.balancer.handle(w.now, Event::Started(RequestId(999)), &mut out);
    assert!(out.is_empty());
}

#[test]
fn departed_upstream_is_dropped_once_no_request_depends_on_it() {
    let mut w = Harness::with_servers(settings(), 2);
    w.request(1, KEYED);
    let first = w.in_flight_at(1).expect("sent");
    let known = |w: &Harness| {
        (0..3000)
            .filter(|id| w.balancer.upstream(ServerId(*id), SignedDuration(MS)).is_some())
            .count()
    };
    for id in 2..3000 {
        w.list(ListKind::Complete, &[member(id, 5)]);
    }
    assert!(
        w.balancer.upstream(first, SignedDuration(MS)).is_some(),
        "its zone determines where the request may be retried"
    );
    assert_eq!(known(&w), 2);
    w.outcome(1, 0, Outcome::Error);
    assert!(w.failed(1), "no live upstream would drop the repeat");
    w.list(ListKind::Update, &[member(2999, 5)]);
    assert_eq!(known(&w), 1);
    // An upstream that returns is treated like any other.
    w.list(ListKind::Update, &[member(first.0, 0)]);
    w.request(2, KEYED);
    w.request(3, KEYED);
    assert_eq!((w.sends_to(first.0), w.sends_to(2999)), (2, 1));
}
