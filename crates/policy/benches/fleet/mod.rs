//! Upstreams in virtual time around one decision module. Only the time of the module is measured.

#![allow(dead_code)] // each bench uses its own part

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use hollowpaddle_policy::interface::{
    Action, Class, CompletedAttempt, Effect, Event, Group, ListKind, Member, Outcome, Request,
    RequestId, ServerId, Settings, SignedDuration, Time,
};
use oorandom::Rand64;

#[path = "../../tests/scanning/mod.rs"]
pub mod scanning;

/// A module to measure: the indexed decision module or the scanning one.
pub trait Module {
    fn new(settings: Settings) -> Self;
    fn deliver(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

macro_rules! module {
    ($of:ty) => {
        impl Module for $of {
            fn new(settings: Settings) -> Self {
                <$of>::new(settings, 1, Time(0)).expect("sound settings")
            }
            fn deliver(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
                self.handle(now, event, out);
            }
        }
    };
}
module!(hollowpaddle_policy::policy::Balancer);
module!(scanning::policy::Balancer);

/// Mean work of a request, in microseconds.
const WORK: f64 = 100_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Answer { request: u64, server: u32, sent: i64 },
}

/// One balancer and `n` upstreams that run one request at a time, at a load relative to their capacity. Arrivals are a
/// Poisson process, and the work of requests is distributed exponentially.
pub struct Fleet<M> {
    pub module: M,
    rng: Rand64,
    now: i64,
    next: f64,
    gap: f64,
    free_at: Vec<i64>,
    due: BinaryHeap<Reverse<(i64, Due)>>,
    last: u64,
    out: Vec<Action>,
    spent: Duration,
    longest: Duration,
    pub served: u64,
    pub refused: u64,
}

pub fn settings() -> Settings {
    let ms = |ms: i64| SignedDuration(ms * 1000);
    let class = |latency_objective: i64, effect, priority_weight| Class {
        effect,
        priority_weight,
        group: Group::Cell,
        window: ms(10_000),
        late_priority_weight: 0.5,
        ..Class::safe(ms(latency_objective), ms(latency_objective * 5 / 2))
    };
    let mut s = Settings::basic(vec![
        class(1120, Effect::Safe, 2.0),
        class(1120, Effect::Unsafe, 5.0),
        class(740, Effect::Keyed, 8.0),
    ]);
    s.rules.warm_up_initial_share = 0.2;
    s.rules.warm_up = ms(15_000);
    s.rules.overload_multiple = 4.0;
    s.rules.overload_window = ms(2000);
    s
}

/// Returns the complete list of `n` upstreams that all started at `started`.
pub fn list(n: u32, started: Option<Time>) -> Vec<Member> {
    let name = |i: u32| u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let member =
        |i| Member { cell: i / 8, identity: name(i), started, ..Member::live(ServerId(i)) };
    (0..n).map(member).collect()
}

impl<M: Module> Fleet<M> {
    /// Delivers a complete list, and returns the time that the module took.
    pub fn deliver_list(&mut self, list: &[Member]) -> Duration {
        self.longest = Duration::ZERO;
        self.deliver(Event::Members { kind: ListKind::Complete, list });
        self.longest
    }

    pub fn new(n: u32, load: f64) -> Self {
        let mut fleet = Self {
            module: M::new(settings()),
            rng: Rand64::new(7),
            now: 0,
            next: 0.0,
            gap: WORK / load / f64::from(n),
            free_at: vec![0; n as usize],
            due: BinaryHeap::new(),
            last: 0,
            out: Vec::new(),
            spent: Duration::ZERO,
            longest: Duration::ZERO,
            served: 0,
            refused: 0,
        };
        fleet.deliver(Event::Members { kind: ListKind::Restored, list: &list(n, None) });
        fleet.next_arrival();
        fleet
    }

    fn sample(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.rand_float()).ln()
    }

    fn next_arrival(&mut self) {
        self.next += self.sample(self.gap);
    }

    fn deliver(&mut self, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        let from = Instant::now();
        self.module.deliver(Time(self.now), event, &mut out);
        let took = from.elapsed();
        self.spent += took;
        self.longest = self.longest.max(took);
        for action in out.drain(..) {
            match action {
                Action::Send { request, server, .. } => {
                    let work = self.sample(WORK) as i64 + 1;
                    let free = &mut self.free_at[server.0 as usize];
                    *free = (*free).max(self.now) + work;
                    let due = Due::Answer { request: request.0, server: server.0, sent: self.now };
                    self.due.push(Reverse((*free, due)));
                }
                Action::Refuse { .. } => self.refused += 1,
                Action::Arm { token, at } => self.due.push(Reverse((at.0, Due::Timer(token)))),
                _ => {}
            }
        }
        self.out = out;
    }

    /// Runs until this number of requests has arrived, and returns the time that the module took and its longest event.
    pub fn run(&mut self, requests: u64) -> (Duration, Duration) {
        (self.spent, self.longest) = (Duration::ZERO, Duration::ZERO);
        let end = self.last + requests;
        while self.last < end {
            let first = self.due.peek().map_or(i64::MAX, |d| d.0.0);
            if first as f64 <= self.next {
                let Some(Reverse((at, due))) = self.due.pop() else { continue };
                self.now = at;
                match due {
                    Due::Timer(token) => self.deliver(Event::Timer(token)),
                    Due::Answer { request, server, sent } => {
                        self.served += 1;
                        let latency = SignedDuration(at - sent);
                        let id = RequestId(request);
                        let of = ServerId(server);
                        let answer = CompletedAttempt::new(id, 0, of, Outcome::Ok, latency, true);
                        self.deliver(Event::AttemptCompleted(answer));
                    }
                }
                continue;
            }
            self.now = self.next as i64;
            self.next_arrival();
            self.last += 1;
            let class = (self.last % 3) as usize;
            let until = Time(self.now).plus(SignedDuration(1_800_000));
            self.deliver(Event::Request(Request::new(RequestId(self.last), class, until)));
        }
        (self.spent, self.longest)
    }
}
