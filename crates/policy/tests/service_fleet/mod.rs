//! Many services in virtual time around one module: each class is bound to a separate machine type, and only some classes
//! get requests. Only the time of the module is measured.

#![allow(dead_code)] // each program uses its own part

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;
use oorandom::Rand64;

/// Requests a second that one balancer of the target fleet gets on average.
pub const REQUESTS_PER_SECOND: f64 = 221.0;
/// Classes that get requests at one balancer of the target fleet.
pub const CLASSES_IN_USE: usize = 30;
/// Zones of the target fleet.
const ZONES: u32 = 11;
/// Number of entries of one part, in which the gateway delivers a long list.
const PART: usize = 64;
/// Mean latency of an answer, in microseconds.
const MEAN_LATENCY: f64 = 20_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Answer { request: u64, server: u32, sent: i64 },
}

/// The cost of a number of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub spent: Duration,
    pub longest: Duration,
    pub events: u64,
}

/// One balancer and its upstreams.
pub struct ServiceFleet {
    pub module: Balancer,
    rng: Rand64,
    now: i64,
    next: f64,
    due: BinaryHeap<Reverse<(i64, Due)>>,
    in_use: Vec<usize>,
    last: u64,
    out: Vec<Action>,
    cost: Cost,
    pub served: u64,
    pub refused: u64,
    /// The outcome of all attempts.
    pub outcome: Outcome,
}

/// Returns settings with this number of classes, each bound to a separate machine type.
pub fn settings(classes: usize, tenants: usize) -> Settings {
    let class = |machine_type: usize| Class {
        machine_types: Some(vec![machine_type as u32]),
        priority_weight: 1.0 + (machine_type % 7) as f64,
        ..Class::safe(SignedDuration(200_000), SignedDuration(1_000_000))
    };
    let mut s = Settings::basic((0..classes).map(class).collect());
    s.zones = ZONES;
    s.tenants = vec![Tenant { quota_rps: 10.0, share: 0.0 }; tenants];
    s.rules.warm_up_initial_share = 0.2;
    s.rules.warm_up = SignedDuration(15_000_000);
    s.rules.overload_multiple = 4.0;
    s.rules.overload_window = SignedDuration(2_000_000);
    s
}

/// Returns the classes that get requests, spread evenly over all classes.
fn spread(used: usize, classes: usize) -> Vec<usize> {
    (0..used).map(|n| n * classes / used).collect()
}

/// Returns live upstreams, spread evenly over the machine types of the classes. The classes in use come first, so that they
/// have upstreams even if there are fewer upstreams than classes.
pub fn members(upstreams: u32, classes: usize, used: usize) -> Vec<Member> {
    let in_use = spread(used, classes);
    let idle = (0..classes).filter(|class| !in_use.contains(class));
    let machine_types: Vec<usize> = in_use.iter().copied().chain(idle).collect();
    let member = |i: u32| Member {
        machine_type: machine_types[i as usize % classes] as u32,
        zone: i / classes as u32 % ZONES,
        cell: i / 8,
        identity: u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ..Member::live(ServerId(i))
    };
    (0..upstreams).map(member).collect()
}

impl ServiceFleet {
    /// Creates a balancer of which `used` classes get requests, and returns it with the cost of applying its list.
    pub fn new(upstreams: u32, settings: Settings, used: usize) -> (Self, Cost) {
        let classes = settings.classes.len();
        let mut fleet = Self {
            module: Balancer::new(settings, 1, Time(0)).expect("sound settings"),
            rng: Rand64::new(7),
            now: 0,
            next: 0.0,
            due: BinaryHeap::new(),
            in_use: spread(used, classes),
            last: 0,
            out: Vec::new(),
            cost: Cost::default(),
            served: 0,
            refused: 0,
            outcome: Outcome::Ok,
        };
        for part in members(upstreams, classes, used).chunks(PART) {
            fleet.handle(Event::Members { kind: ListKind::Update, list: part });
        }
        let cost = std::mem::take(&mut fleet.cost);
        fleet.next_arrival();
        (fleet, cost)
    }

    fn sample(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.rand_float()).ln()
    }

    fn next_arrival(&mut self) {
        self.next = self.now as f64 + self.sample(1e6 / REQUESTS_PER_SECOND);
    }

    fn handle(&mut self, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        let from = Instant::now();
        self.module.handle(Time(self.now), event, &mut out);
        let took = from.elapsed();
        self.cost.spent += took;
        self.cost.longest = self.cost.longest.max(took);
        self.cost.events += 1;
        for action in out.drain(..) {
            match action {
                Action::Send { request, server, .. } => {
                    let at = self.now + self.sample(MEAN_LATENCY) as i64 + 1;
                    let due = Due::Answer { request: request.0, server: server.0, sent: self.now };
                    self.due.push(Reverse((at, due)));
                }
                Action::Refuse { .. } => self.refused += 1,
                Action::Arm { token, at } => self.due.push(Reverse((at.0, Due::Timer(token)))),
                _ => {}
            }
        }
        self.out = out;
    }

    fn step(&mut self, at: i64, due: Due) {
        self.now = at;
        match due {
            Due::Timer(token) => self.handle(Event::Timer(token)),
            Due::Answer { request, server, sent } => {
                self.served += 1;
                let latency = SignedDuration(at - sent);
                let (id, of) = (RequestId(request), ServerId(server));
                let answer = CompletedAttempt::new(id, 0, of, self.outcome, latency, true);
                self.handle(Event::AttemptCompleted(answer));
            }
        }
    }

    fn request(&mut self) {
        self.last += 1;
        let class = self.in_use[self.last as usize % self.in_use.len()];
        let until = Time(self.now).plus(SignedDuration(1_000_000));
        let tenant = self.last as usize % 500;
        let id = RequestId(self.last);
        self.handle(Event::Request(Request { tenant, ..Request::new(id, class, until) }));
    }

    /// Runs until this number of requests has arrived, and returns the cost of the events.
    pub fn run(&mut self, requests: u64) -> Cost {
        self.cost = Cost::default();
        let end = self.last + requests;
        self.next_arrival();
        while self.last < end {
            let first = self.due.peek().map_or(i64::MAX, |d| d.0.0);
            if first as f64 <= self.next {
                if let Some(Reverse((at, due))) = self.due.pop() {
                    self.step(at, due);
                }
                continue;
            }
            self.now = self.next as i64;
            self.next_arrival();
            self.request();
        }
        self.cost
    }

    /// Advances the time without requests, and returns the cost of the events.
    pub fn rest(&mut self, span: SignedDuration) -> Cost {
        self.cost = Cost::default();
        let end = self.now + span.0;
        while let Some(&Reverse((at, due))) = self.due.peek().filter(|d| d.0.0 <= end) {
            self.due.pop();
            self.step(at, due);
        }
        self.now = end;
        self.cost
    }
}
