//! The rules, over the table of effects and over random orders of events.

mod common;

use common::{MS, World, member, settings};
use hollowpaddle_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

/// What becomes of a request whose first attempt ended this way: sent again, refused or failed.
fn after(class: usize, outcome: Outcome) -> &'static str {
    let mut w = World::with_servers(settings(), 4);
    w.request(1, class);
    w.pass(SignedDuration(5 * MS));
    w.outcome(1, 0, outcome);
    match (w.out(1).is_some(), w.refused(1), w.failed(1)) {
        (true, false, false) => "again",
        (false, true, false) => "refused",
        (false, false, true) => "failed",
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_follows_an_outcome_depends_on_effect_and_outcome() {
    let may_run = [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled];
    let never_ran = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];
    for o in never_ran.into_iter().chain(may_run) {
        assert_eq!(after(SAFE, o), "again", "{o:?}");
        assert_eq!(after(KEYED, o), "again", "{o:?}");
    }
    never_ran.iter().for_each(|o| assert_eq!(after(UNSAFE, *o), "again", "{o:?}"));
    may_run.iter().for_each(|o| assert_eq!(after(UNSAFE, *o), "failed", "{o:?}"));
}

#[test]
fn a_keyed_repeat_outside_its_group_is_failed_not_refused() {
    let mut w = World::new(settings());
    w.list(ListKind::Complete, &[member(0, 0), member(1, 1)]);
    w.request(1, KEYED);
    let first = w.out(1).unwrap();
    let other = member(1 - first.0, 1 - first.0);
    w.list(ListKind::Complete, &[other]);
    w.outcome(1, 0, Outcome::Error);
    assert!(w.failed(1), "no live upstream would drop the repeat");
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut w = World::with_servers(settings(), 2);
    w.request(1, UNSAFE);
    w.request(2, SAFE);
    w.pass(SignedDuration(601 * MS));
    assert!(w.failed(1) && w.asked[&2].over);
}

#[test]
fn queued_requests_leave_a_drained_upstream() {
    let mut w = World::with_servers(settings(), 2);
    for id in 0..30 {
        w.request(id, SAFE);
    }
    let draining = Member { status: Status::Draining, ..member(0, 0) };
    w.list(ListKind::Update, &[draining]);
    let before = w.sends_to(0);
    for id in 0..30 {
        w.pass(SignedDuration(MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    assert_eq!(w.sends_to(0), before);
    assert!(w.sends_to(1) > 0);
}

/// The keyed class in order, with a rest of 30 ms.
fn in_order() -> Settings {
    let mut s = settings();
    s.classes[KEYED].in_order = true;
    s.rules.ordering_key_rest = SignedDuration(30 * MS);
    s
}

fn ask(w: &mut World, id: u64, class: usize, key: u64) {
    let until = w.now.plus(w.settings.classes[class].deadline);
    w.request_with(0, id, class, until, Some(key));
}

#[test]
fn requests_of_one_key_run_in_order_and_delay_no_others() {
    // Failure: a request was sent while an earlier one of its key was still out.
    let mut w = World::with_servers(in_order(), 6);
    ask(&mut w, 1, KEYED, 9);
    ask(&mut w, 2, KEYED, 9);
    ask(&mut w, 3, KEYED, 8);
    ask(&mut w, 4, SAFE, 9);
    assert!(w.out(2).is_none() && w.out(3).is_some() && w.out(4).is_some());
    w.pass(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    assert!(w.out(2).is_some(), "the next in line goes once the first is over");
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let mut w = World::with_servers(in_order(), 6);
    ask(&mut w, 1, KEYED, 9);
    ask(&mut w, 2, KEYED, 9);
    w.gone(1);
    assert!(w.out(2).is_none(), "its client has left, but its attempt is still out");
    w.outcome(1, 0, Outcome::Reset);
    w.pass(SignedDuration(20 * MS));
    assert!(w.out(2).is_none(), "the key rests");
    w.pass(SignedDuration(20 * MS));
    assert!(w.out(2).is_some());
}

#[test]
fn request_behind_too_many_of_its_key_is_rejected_early() {
    let mut w = World::with_servers(in_order(), 6);
    for id in 0..10 {
        ask(&mut w, id, KEYED, id);
        w.pass(SignedDuration(50 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    (10..16).for_each(|id| ask(&mut w, id, KEYED, 1));
    assert!(!w.refused(11) && w.refused(15), "four of 50 ms ahead of it leave nothing of 200 ms");
}

#[test]
fn bound_class_stays_in_its_upstreams_and_delays_no_others() {
    // Failure: a class bound to zones went to whatever upstream was free.
    let mut s = settings();
    s.classes[SAFE].zones = Some(vec![1]);
    let mut w = World::with_servers(s, 6);
    (0..20).for_each(|id| w.request(id, SAFE));
    let at: Vec<_> = (0..20).filter_map(|id| w.out(id)).collect();
    assert!(!at.is_empty() && at.iter().all(|s| s.0 % 2 == 1), "{at:?}");
    assert!(w.refused(19), "admitted by the sum of what is open to it");
    w.request(100, UNSAFE);
    assert!(w.out(100).is_some_and(|s| s.0 % 2 == 0), "others pass those that wait for zone 1");
    for i in [1, 3, 5] {
        w.list(ListKind::Update, &[Member { status: Status::Gone, ..member(i, 1) }]);
    }
    w.request(200, SAFE);
    w.pass(SignedDuration(600 * MS));
    assert!(w.refused(200), "with no upstream open to it, it is ended in time");
}

#[test]
fn idle_connections_to_a_draining_upstream_are_closed() {
    // Failure: connections to an upstream that drained stayed open until they expired by themselves.
    let mut s = settings();
    s.rules.idle_close_limit = SignedDuration(50 * MS);
    let mut w = World::with_servers(s, 2);
    (0..4).for_each(|id| w.request(id, SAFE));
    w.list(ListKind::Complete, &[member(1, 1)]);
    let closes = |w: &World| {
        w.log.iter().filter(|a| matches!(a, Action::CloseIdle { server: ServerId(0) })).count()
    };
    assert_eq!(closes(&w), 1, "a whole list that lacks it is a notice too");
    w.pass(SignedDuration(150 * MS));
    let before = closes(&w);
    let at = (0..4).find(|&id| w.out(id) == Some(ServerId(0))).expect("one is out there");
    w.outcome(at, 0, Outcome::Ok);
    assert!(closes(&w) > before, "again after the last outcome there");
    w.pass(SignedDuration(500 * MS));
}

#[derive(Clone, Debug)]
enum Happening {
    Request { class: usize, wait_ms: i64 },
    Outcome { id: u64, attempt: usize, outcome: Outcome },
    Pass { ms: i64 },
    Gone { id: u64 },
    Status { id: u32, status: Status, young: bool },
    Whole { count: u32 },
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

fn events() -> impl Strategy<Value = Happening> {
    let status = prop_oneof![Just(Status::Live), Just(Status::Draining), Just(Status::Gone)];
    prop_oneof![
        8 => (0..3usize, 0..700i64).prop_map(|(class, wait_ms)| Happening::Request { class, wait_ms }),
        8 => (0..60u64, 0..3usize, outcomes())
            .prop_map(|(id, attempt, outcome)| Happening::Outcome { id, attempt, outcome }),
        6 => (0..80i64).prop_map(|ms| Happening::Pass { ms }),
        1 => (0..60u64).prop_map(|id| Happening::Gone { id }),
        2 => (0..8u32, status, any::<bool>())
            .prop_map(|(id, status, young)| Happening::Status { id, status, young }),
        1 => (0..8u32).prop_map(|count| Happening::Whole { count }),
        1 => Just(Happening::Unavailable),
        1 => (0..9u64).prop_map(|token| Happening::StrayTimer { token }),
    ]
}

fn play(w: &mut World, events: Vec<Happening>) {
    let mut next = 0;
    for event in events {
        match event {
            Happening::Request { class, wait_ms } => {
                w.request_until(next, class, w.now.plus(SignedDuration(wait_ms * MS)));
                next += 1;
            }
            Happening::Outcome { id, attempt, outcome } => w.outcome(id, attempt, outcome),
            Happening::Pass { ms } => w.pass(SignedDuration(ms * MS)),
            Happening::Gone { id } => w.gone(id),
            Happening::Status { id, status, young } => {
                let started = young.then_some(w.now);
                let kind = id / 6;
                w.list(
                    ListKind::Update,
                    &[Member { status, started, machine_type: kind, ..member(id, id % 2) }],
                );
            }
            Happening::Whole { count } => {
                let list: Vec<_> = (0..count).map(|i| member(i, i % 2)).collect();
                w.list(ListKind::Complete, &list);
            }
            Happening::Unavailable => w.list(ListKind::Unavailable, &[]),
            Happening::StrayTimer { token } => {
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
    let result = runner.run(&input, |([copies, ask, order, zones, kinds], events)| {
        let mut s = settings();
        (s.limits.hedging, s.polls_list) = (copies, ask);
        (s.rules.ordering_key_rest, s.rules.idle_close_limit) =
            (SignedDuration(30 * MS), SignedDuration(50 * MS));
        (s.classes[SAFE].in_order, s.classes[KEYED].in_order) = (order, order);
        s.classes[UNSAFE].zones = zones.then(|| vec![1]);
        s.classes[SAFE].machine_types = kinds.then(|| vec![0]);
        let mut w = World::with_servers(s, 4);
        play(&mut w, events);
        // Whatever happened, every client has one answer once its time is up.
        w.pass(SignedDuration(2000 * MS));
        let owed: Vec<_> = w.asked.iter().filter(|(_, a)| !a.over).map(|(id, _)| id).collect();
        prop_assert!(owed.is_empty(), "no final answer for {:?}", owed);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn all_balancers_together_overload_no_upstream_that_is_warming_up() {
    // Six proxies with plenty to send; warm upstreams serve 50 a second, the cold one starts at a
    // fifth of that and must not be sent three times what it can do within a second. It answers as
    // quickly as the others, so that K_i alone would not hold anyone back.
    let cluster = |position| {
        let mut s = Settings { balancers: 6, position, ..settings() };
        s.classes[SAFE].deadline = SignedDuration(60_000 * MS);
        let mut w = World::with_servers(s, 12);
        w.list(ListKind::Update, &[Member { started: Some(w.now), ..member(5, 1) }]);
        (w, Vec::<(Time, u64)>::new())
    };
    let mut cluster: Vec<_> = (0..6).map(cluster).collect();
    let (mut id, mut sent) = (0, vec![]);
    let mut free_at = [Time(0); 12];
    for _ in 0..400 {
        for (w, due) in &mut cluster {
            w.pass(SignedDuration(5 * MS));
            let done: Vec<_> = due.iter().filter(|d| d.0 <= w.now).map(|d| d.1).collect();
            due.retain(|d| d.0 > w.now);
            done.into_iter().for_each(|i| w.outcome(i, 0, Outcome::Ok));
            let known = w.log.len();
            (0..3).for_each(|i| w.request(id + i, SAFE));
            id += 3;
            let fresh: Vec<_> = w.log[known.saturating_sub(40)..].to_vec();
            for action in fresh {
                let Action::Send { request, server, .. } = action else { continue };
                if due.iter().any(|d| d.1 == request.0) || w.asked[&request.0].over {
                    continue;
                }
                // A warm one runs one request at a time, whoever sent it.
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
        assert!(within as f64 <= most, "{within} within a second, {most} are its limit");
    }
    assert!(sent.len() >= 4, "it gets some work: {}", sent.len());
}

#[test]
fn absurd_entries_are_made_safe() {
    let mut w = World::with_servers(settings(), 2);
    for (id, weight) in [(0, 0.0), (1, f64::NAN), (2, f64::INFINITY), (3, -1.0)] {
        w.list(ListKind::Update, &[Member { weight, ..member(id, 0) }]);
    }
    let future = Some(Time(w.now.0 + 3_600_000 * MS));
    w.list(ListKind::Update, &[Member { started: future, machine_type: u32::MAX, ..member(4, 0) }]);
    for id in 0..60 {
        w.request(id, SAFE);
        w.pass(SignedDuration(10 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    assert!((0..60).all(|id| !w.refused(id)), "upstreams of odd weight serve");
    assert!(w.sends_to(4) <= 15, "one that has yet to start is held cold");
}

#[test]
fn a_deadline_in_the_past_is_refused_at_once() {
    let mut w = World::with_servers(settings(), 2);
    w.request_until(1, UNSAFE, Time(w.now.0 - MS));
    w.request_until(2, KEYED, Time(i64::MIN));
    assert!(w.refused(1) && w.refused(2));
}

#[test]
fn absurd_latency_does_not_distort_the_mean() {
    // Failure: one absurd latency put the mean of its class out of reach for good.
    let mut w = World::with_servers(settings(), 2);
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
        let odd = if id % 2 == 0 { SignedDuration(i64::MAX) } else { SignedDuration(-5) };
        let latency = if id < 4 { odd } else { SignedDuration(20 * MS) };
        w.asked.get_mut(&id).expect("asked").over = true;
        w.now = w.now.plus(SignedDuration(20 * MS));
        w.balancer.handle(w.now, Event::AttemptCompleted(answer(id, latency)), &mut vec![]);
    }
    let (_, k, n) = w.balancer.upstream(ServerId(0), SignedDuration(200 * MS)).unwrap();
    assert!(k >= 1 && n > 0.1, "K {k}, N {n}");
    // Repeated, late and unknown events change nothing.
    let mut out = vec![];
    w.balancer.handle(w.now, Event::AttemptCompleted(answer(39, SignedDuration(MS))), &mut out);
    w.balancer.handle(w.now, Event::AttemptCompleted(answer(999, SignedDuration(MS))), &mut out);
    w.balancer.handle(w.now, Event::ClientCancelled(RequestId(999)), &mut out);
    w.balancer.handle(w.now, Event::Started(RequestId(999)), &mut out);
    assert!(out.is_empty());
}

#[test]
fn departed_upstream_is_dropped_once_no_request_depends_on_it() {
    let mut w = World::with_servers(settings(), 2);
    w.request(1, KEYED);
    let first = w.out(1).expect("sent");
    let known = |w: &World| {
        (0..3000)
            .filter(|id| w.balancer.upstream(ServerId(*id), SignedDuration(MS)).is_some())
            .count()
    };
    for id in 2..3000 {
        w.list(ListKind::Complete, &[member(id, 5)]);
    }
    assert!(
        w.balancer.upstream(first, SignedDuration(MS)).is_some(),
        "the repeat's group is judged by it"
    );
    assert_eq!(known(&w), 2);
    w.outcome(1, 0, Outcome::Error);
    assert!(w.failed(1), "no live upstream would drop the repeat");
    w.list(ListKind::Update, &[member(2999, 5)]);
    assert_eq!(known(&w), 1);
    // And one that comes back is as any other.
    w.list(ListKind::Update, &[member(first.0, 0)]);
    w.request(2, KEYED);
    w.request(3, KEYED);
    assert_eq!((w.sends_to(first.0), w.sends_to(2999)), (2, 1));
}
