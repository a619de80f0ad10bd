//! The first seconds of a balancer, in which missing estimates must not count as missing capacity.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;

const MS: i64 = 1000;
const ANSWER: i64 = 100 * MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    /// A client's next request.
    Client,
    Answer(u64, u32, i64),
}

/// A new balancer with clients that each have one request in flight and send the next one when it ends, and with idle
/// upstreams that answer every request after the same time.
struct FreshBalancer {
    balancer: Balancer,
    now: i64,
    due: BinaryHeap<Reverse<(i64, Due)>>,
    last: u64,
    served: u64,
    refused: u64,
    /// Time that an upstream takes to answer, in microseconds.
    answer: i64,
}

fn settings(classes: usize, balancers: u32) -> Settings {
    let class = |latency_objective: i64, priority_weight| Class {
        priority_weight,
        late_priority_weight: 0.5,
        ..Class::safe(
            SignedDuration(latency_objective * MS),
            SignedDuration(latency_objective * 5 / 2 * MS),
        )
    };
    let mut s = Settings::basic(
        [class(1120, 2.0), class(1120, 5.0), class(740, 8.0)].into_iter().take(classes).collect(),
    );
    s.balancers = balancers;
    s.rules.warm_up_initial_share = 0.2;
    s.rules.warm_up = SignedDuration(15_000 * MS);
    s.rules.overload_multiple = 4.0;
    s.rules.overload_window = SignedDuration(2000 * MS);
    s
}

impl FreshBalancer {
    fn new(settings: Settings, upstreams: u32, clients: usize) -> Self {
        Self::with_answers_after(ANSWER, settings, upstreams, clients)
    }

    fn with_answers_after(answer: i64, settings: Settings, upstreams: u32, clients: usize) -> Self {
        let balancer = Balancer::new(settings, 3, Time(0)).expect("sound settings");
        let due = BinaryHeap::new();
        let mut m = Self { balancer, now: 0, due, last: 0, served: 0, refused: 0, answer };
        let name = |i: u32| u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let member = |i| Member { identity: name(i), ..Member::live(ServerId(i)) };
        let list: Vec<Member> = (0..upstreams).map(member).collect();
        m.deliver(Event::Members { kind: ListKind::Complete, list: &list });
        (0..clients).for_each(|i| m.due.push(Reverse((i as i64 * 100, Due::Client))));
        m
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let answer = Due::Answer(request.0, server.0, self.now);
                    self.due.push(Reverse((self.now + self.answer, answer)));
                }
                Action::Refuse { .. } => {
                    self.refused += 1;
                    self.due.push(Reverse((self.now + MS, Due::Client)));
                }
                Action::Arm { token, at } => self.due.push(Reverse((at.0, Due::Timer(token)))),
                _ => {}
            }
        }
    }

    /// Runs until `ms`, and returns the numbers of requests that were served and rejected since the last call.
    fn until(&mut self, ms: i64) -> (u64, u64) {
        (self.served, self.refused) = (0, 0);
        while let Some(Reverse((at, due))) = self.due.pop() {
            if at > ms * MS {
                self.due.push(Reverse((at, due)));
                break;
            }
            self.now = at;
            match due {
                Due::Timer(token) => self.deliver(Event::Timer(token)),
                Due::Client => {
                    self.last += 1;
                    let class = self.last as usize % 3;
                    let request = Request::new(RequestId(self.last), class, Time(at + 1_800 * MS));
                    self.deliver(Event::Request(request));
                }
                Due::Answer(request, server, sent) => {
                    self.served += 1;
                    let (id, of) = (RequestId(request), ServerId(server));
                    let answer = CompletedAttempt::new(
                        id,
                        0,
                        of,
                        Outcome::Ok,
                        SignedDuration(at - sent),
                        true,
                    );
                    self.deliver(Event::AttemptCompleted(answer));
                    self.due.push(Reverse((at, Due::Client)));
                }
            }
        }
        (self.served, self.refused)
    }
}

// Guards against a new process that rejects a burst because of its assumptions about upstreams without any answer.
#[test]
fn the_first_burst_of_a_fresh_balancer_is_not_refused_before_idle_upstreams() {
    for (upstreams, burst) in [(4, 16), (4, 32), (8, 64)] {
        let mut m = FreshBalancer::with_answers_after(5 * MS, settings(3, 1), upstreams, burst);
        let (served, refused) = m.until(100);
        assert_eq!(refused, 0, "{burst} requests for {upstreams} upstreams, {served} served");
    }
}

#[test]
fn rejects_nothing_while_each_request_has_an_idle_upstream() {
    for upstreams in [8, 64, 256] {
        for share in [1, 2, 4] {
            let clients = upstreams as usize / share;
            let mut m = FreshBalancer::new(settings(3, 1), upstreams, clients);
            let (served, refused) = m.until(2000);
            assert_eq!(refused, 0, "{clients} clients at {upstreams} upstreams, {served} served");
            assert!(served as usize >= clients * 18, "{served} served");
        }
    }
}

#[test]
fn the_first_two_seconds_serve_nearly_what_later_ones_do() {
    for clients in [64, 128, 200] {
        let mut m = FreshBalancer::new(settings(3, 1), 64, clients);
        let (first, refused) = m.until(2000);
        m.until(6000);
        let (steady, later) = m.until(8000);
        println!(
            "{clients} clients: {first} served and {refused} rejected, later {steady} and {later}"
        );
        assert!(first as f64 >= 0.9 * steady as f64, "{clients} clients: {first} against {steady}");
        assert!(steady as f64 >= 0.95 * (clients * 20) as f64, "{clients} clients: {steady} later");
    }
}
