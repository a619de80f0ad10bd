//! Checks rule 4 for a whole cluster: the sends of all balancers together to an upstream that is warming up, against the
//! bound of its overload. Many balancers share the same upstreams in virtual time; the sends are counted at the upstreams.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;
use oorandom::Rand64;

const MS: i64 = 1000;
const SECOND: i64 = 1000 * MS;
/// One-way delay between a balancer and an upstream.
const ONE_WAY_DELAY: i64 = MS;
/// Work of a request, on a core of speed 1.
const WORK: f64 = 140_000.0;
/// Most requests that an upstream queues and runs; it rejects further ones.
const UPSTREAM_QUEUE: usize = 7;
/// Time at which the restarting upstreams stop.
const STOPPED: i64 = 12 * SECOND;
/// Time at which the restarting upstreams are back, and warm up.
const BACK: i64 = 15 * SECOND;

/// The events of a run. All times are in microseconds.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    balancers: u32,
    upstreams: usize,
    /// Number of upstreams that restart.
    restarted: usize,
    /// Load as a share of the capacity of the warm upstreams.
    load: f64,
    /// Traffic of the first balancer, as a multiple of that of each other balancer.
    favoured: f64,
    /// Whether every balancer restarts after [`BACK`], one tenth of them after another.
    restarts: bool,
    /// Time after [`BACK`] at which every balancer gets three requests at once.
    burst: Option<i64>,
    /// Time after [`BACK`] at which the upstreams that did not restart stop for good.
    others_stop: Option<i64>,
    /// Time after [`BACK`] from which every balancer has more requests than it may send, for 4 s. Upstreams that are
    /// warming up then answer every request as quickly as a warm one answers a single request, so that only their pace
    /// limits the balancers.
    greed: Option<i64>,
    /// Time over which the upstreams stop one after another, and over which they come back.
    one_by_one: i64,
    /// Longest delay of a list update to a balancer.
    spread: i64,
    seed: u64,
}

const BASE: Scenario = Scenario {
    balancers: 1,
    upstreams: 48,
    restarted: 5,
    load: 0.7,
    favoured: 1.0,
    restarts: false,
    burst: None,
    others_stop: None,
    greed: None,
    one_by_one: 0,
    spread: SECOND,
    seed: 1,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(usize, u32, u64),
    Client(usize),
    /// A request of a burst, which no further request follows.
    Burst(usize),
    /// The arrival of an attempt at an upstream: the upstream, the balancer and its incarnation, the request, the
    /// attempt, and the time of sending.
    Arrive(usize, usize, u32, u64, usize, i64),
    Work(usize, u32),
    Answer(usize, u32, u64, usize, usize, bool, i64),
    Stop(usize),
    Back(usize),
    ListMessage(usize, usize, bool),
    Restart(usize),
}

/// An attempt at an upstream: the balancer and its incarnation, the request, the attempt, and the time of sending.
type Job = (usize, u32, u64, usize, i64);

struct Upstream {
    speed: f64,
    started: Option<i64>,
    up: bool,
    incarnation: u32,
    jobs: VecDeque<Job>,
    /// Times of sends during the warm-up.
    sent: Vec<i64>,
}

struct Cluster {
    scenario: Scenario,
    settings: Settings,
    rng: Rand64,
    now: i64,
    due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    order: u64,
    balancers: Vec<Balancer>,
    incarnations: Vec<u32>,
    attempts: BTreeMap<u64, usize>,
    last: u64,
    upstreams: Vec<Upstream>,
    served: u64,
    /// Requests since [`BACK`].
    warming_up_requests: u64,
    /// Served requests since [`BACK`].
    warming_up_served: u64,
}

fn settings(balancers: u32) -> Settings {
    let class = Class {
        late_priority_weight: 0.5,
        ..Class::safe(SignedDuration(1120 * MS), SignedDuration(2800 * MS))
    };
    let mut s = Settings::basic(vec![class]);
    s.balancers = balancers;
    // Sweeps are rare, so that a run with hundreds of balancers takes seconds.
    s.tick = SignedDuration(100 * MS);
    s.rules.warm_up_initial_share = 0.12;
    s.rules.warm_up = SignedDuration(23 * SECOND);
    s.rules.overload_multiple = 4.0;
    s.rules.overload_window = SignedDuration(2 * SECOND);
    s
}

impl Cluster {
    fn new(scenario: Scenario) -> Self {
        let mut rng = Rand64::new(u128::from(scenario.seed));
        let settings = settings(scenario.balancers);
        // The upstreams of one machine type have two speeds, as different as those within one zone are.
        let upstream = |i: usize| Upstream {
            speed: if i.is_multiple_of(3) { 0.97 } else { 1.5 },
            started: None,
            up: true,
            incarnation: 0,
            jobs: VecDeque::new(),
            sent: Vec::new(),
        };
        let upstreams: Vec<Upstream> = (0..scenario.upstreams).map(upstream).collect();
        let balancer = |position| {
            let s = Settings { position, ..settings.clone() };
            Balancer::new(s, rng.rand_u64(), Time(0)).expect("sound settings")
        };
        let balancers: Vec<Balancer> = (0..scenario.balancers).map(balancer).collect();
        let incarnations = vec![0; balancers.len()];
        let mut cluster = Self {
            scenario,
            settings,
            rng,
            now: 0,
            due: BinaryHeap::new(),
            order: 0,
            balancers,
            incarnations,
            attempts: BTreeMap::new(),
            last: 0,
            upstreams,
            served: 0,
            warming_up_requests: 0,
            warming_up_served: 0,
        };
        for p in 0..cluster.balancers.len() {
            cluster.complete_list(p);
            let wait = cluster.until_next(p);
            cluster.later(wait, Due::Client(p));
        }
        // The restarting upstreams are spread over the ring and over both speeds.
        let restarted: Vec<usize> =
            (0..scenario.restarted).map(|n| n * scenario.upstreams / scenario.restarted).collect();
        for (n, &i) in restarted.iter().enumerate() {
            let after = scenario.one_by_one * n as i64 / scenario.restarted as i64;
            cluster.at(STOPPED + after, Due::Stop(i));
            cluster.at(BACK + after, Due::Back(i));
        }
        if let Some(after) = scenario.others_stop {
            let others = (0..scenario.upstreams).filter(|i| !restarted.contains(i));
            others.for_each(|i| cluster.at(BACK + after, Due::Stop(i)));
        }
        if scenario.restarts {
            for p in 0..cluster.balancers.len() {
                cluster.at(BACK + SECOND + (p % 10) as i64 * SECOND, Due::Restart(p));
            }
        }
        if let Some(after) = scenario.greed {
            for p in 0..cluster.balancers.len() {
                for n in 0..160 {
                    cluster.at(BACK + after + n * 25 * MS, Due::Burst(p));
                }
            }
        }
        if let Some(after) = scenario.burst {
            for p in 0..cluster.balancers.len() {
                (0..3).for_each(|_| cluster.at(BACK + after, Due::Burst(p)));
            }
        }
        cluster
    }

    fn at(&mut self, at: i64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn later(&mut self, wait: i64, due: Due) {
        self.at(self.now + wait, due);
    }

    /// Returns the requests per microsecond that a warm upstream serves.
    fn rate(&self, upstream: usize) -> f64 {
        self.upstreams[upstream].speed / WORK
    }

    /// Returns the least share of its capacity that an upstream has at this age.
    fn share(&self, age: i64) -> f64 {
        let rules = &self.settings.rules;
        let grown = (age as f64 / rules.warm_up.as_micros_f64()).clamp(0.0, 1.0);
        rules.warm_up_initial_share + (1.0 - rules.warm_up_initial_share) * grown
    }

    fn until_next(&mut self, balancer: usize) -> i64 {
        let all: f64 = (0..self.upstreams.len()).map(|i| self.rate(i)).sum();
        let parts = self.scenario.favoured + (self.balancers.len() - 1) as f64;
        let part = if balancer == 0 { self.scenario.favoured } else { 1.0 } / parts;
        (-(1.0 - self.rng.rand_float()).ln() / (all * self.scenario.load * part)) as i64
    }

    fn member(&self, upstream: usize, up: bool) -> Member {
        let id = ServerId(upstream as u32);
        let identity = (upstream as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let status = if up { Status::Live } else { Status::Gone };
        let started = self.upstreams[upstream].started.map(Time);
        Member { identity, status, started, ..Member::live(id) }
    }

    fn complete_list(&mut self, balancer: usize) {
        let up = (0..self.upstreams.len()).filter(|i| self.upstreams[*i].up);
        let list: Vec<Member> = up.map(|i| self.member(i, true)).collect();
        self.deliver(balancer, Event::Members { kind: ListKind::Complete, list: &list });
    }

    fn deliver(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(Time(self.now), event, &mut actions);
        let incarnation = self.incarnations[balancer];
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let attempt =
                        *self.attempts.entry(request.0).and_modify(|n| *n += 1).or_default();
                    let to = server.0 as usize;
                    if self.warm_up_age(to).is_some() {
                        self.upstreams[to].sent.push(self.now);
                    }
                    let due = Due::Arrive(to, balancer, incarnation, request.0, attempt, self.now);
                    self.later(ONE_WAY_DELAY, due);
                }
                Action::Arm { token, at } => {
                    self.at(at.0, Due::Timer(balancer, incarnation, token))
                }
                _ => {}
            }
        }
    }

    /// Returns the time since the start of an upstream, while it is warming up.
    fn warm_up_age(&self, upstream: usize) -> Option<i64> {
        let age = self.now - self.upstreams[upstream].started?;
        (age < self.settings.rules.warm_up.0).then_some(age)
    }

    fn work(&mut self, upstream: usize) {
        let share = self.warm_up_age(upstream).map_or(1.0, |age| self.share(age));
        let takes = (1.0 / (self.rate(upstream) * share)) as i64;
        let incarnation = self.upstreams[upstream].incarnation;
        self.later(takes, Due::Work(upstream, incarnation));
    }

    fn is_greedy(&self) -> bool {
        self.scenario.greed.is_some_and(|after| self.now >= BACK + after)
    }

    fn answer(&mut self, job: Job, upstream: usize, ok: bool) {
        let (balancer, incarnation, request, attempt, sent) = job;
        self.later(
            ONE_WAY_DELAY,
            Due::Answer(balancer, incarnation, request, attempt, upstream, ok, sent),
        );
    }

    fn until(&mut self, end: i64) {
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.step(due);
        }
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Timer(p, incarnation, token) if incarnation == self.incarnations[p] => {
                self.deliver(p, Event::Timer(token));
            }
            Due::Client(p) | Due::Burst(p) => {
                self.last += 1;
                let request = Request::new(RequestId(self.last), 0, Time(self.now + 2800 * MS));
                self.warming_up_requests += u64::from(self.now >= BACK);
                self.deliver(p, Event::Request(request));
                if due == Due::Client(p) {
                    let wait = self.until_next(p);
                    self.later(wait, Due::Client(p));
                }
            }
            Due::Arrive(to, p, incarnation, request, attempt, sent) => {
                let job = (p, incarnation, request, attempt, sent);
                if self.is_greedy() && self.upstreams[to].up && self.warm_up_age(to).is_some() {
                    let took = (1.0 / self.rate(to)) as i64;
                    self.warming_up_served += 1;
                    let due = Due::Answer(p, incarnation, request, attempt, to, true, sent);
                    return self.later(took, due);
                }
                let held = self.upstreams[to].jobs.len();
                if !self.upstreams[to].up || held >= UPSTREAM_QUEUE {
                    return self.answer(job, to, false);
                }
                self.upstreams[to].jobs.push_back(job);
                if held == 0 {
                    self.work(to);
                }
            }
            Due::Work(of, incarnation) if incarnation == self.upstreams[of].incarnation => {
                if let Some(job) = self.upstreams[of].jobs.pop_front() {
                    self.served += 1;
                    self.warming_up_served += u64::from(self.now >= BACK);
                    self.answer(job, of, true);
                }
                if !self.upstreams[of].jobs.is_empty() {
                    self.work(of);
                }
            }
            Due::Answer(p, incarnation, request, attempt, of, ok, sent)
                if incarnation == self.incarnations[p] =>
            {
                let outcome = if ok { Outcome::Ok } else { Outcome::Full };
                let (id, of, took) = (RequestId(request), ServerId(of as u32), self.now - sent);
                let answer =
                    CompletedAttempt::new(id, attempt, of, outcome, SignedDuration(took), ok);
                self.deliver(p, Event::AttemptCompleted(answer));
            }
            Due::Stop(i) | Due::Back(i) => {
                let up = due == Due::Back(i);
                if up {
                    self.upstreams[i].started = Some(self.now);
                }
                self.upstreams[i].up = up;
                self.upstreams[i].incarnation += 1;
                let held = std::mem::take(&mut self.upstreams[i].jobs);
                held.into_iter().for_each(|job| self.answer(job, i, false));
                for p in 0..self.balancers.len() {
                    let wait = self.rng.rand_range(0..self.scenario.spread as u64 + 1) as i64;
                    self.later(wait, Due::ListMessage(p, i, up));
                }
            }
            Due::ListMessage(p, i, up) if up == self.upstreams[i].up => {
                let list = [self.member(i, up)];
                self.deliver(p, Event::Members { kind: ListKind::Update, list: &list });
            }
            Due::Restart(p) => {
                self.incarnations[p] += 1;
                let s = Settings { position: p as u32, ..self.settings.clone() };
                let seed = self.rng.rand_u64();
                self.balancers[p] = Balancer::new(s, seed, Time(self.now)).expect("sound settings");
                self.complete_list(p);
            }
            _ => {}
        }
    }

    /// Returns the window that came closest to its bound or exceeded it most: the number of sends, the number N that
    /// overloads the upstream, and the sends as a share of the bound.
    fn worst(&self) -> (usize, f64, f64) {
        let rules = &self.settings.rules;
        let mut worst = (0, 0.0, 0.0);
        for (i, upstream) in self.upstreams.iter().enumerate() {
            let Some(started) = upstream.started else { continue };
            let mut from = 0;
            for (through, at) in upstream.sent.iter().enumerate() {
                while upstream.sent[from] + rules.overload_window.0 < *at {
                    from += 1;
                }
                let able =
                    self.rate(i) * self.share(at - started) * rules.overload_window.as_micros_f64();
                let n = rules.overload_multiple * able;
                let part = (through + 1 - from) as f64 / (n + 2.0 * n.sqrt() + 2.0);
                if part > worst.2 {
                    worst = (through + 1 - from, n, part);
                }
            }
        }
        worst
    }
}

fn play(scenario: Scenario) -> (usize, f64, f64) {
    let mut cluster = Cluster::new(scenario);
    cluster.until(BACK + scenario.one_by_one + cluster.settings.rules.warm_up.0);
    let (sent, n, part) = cluster.worst();
    let service = cluster.warming_up_served as f64 / cluster.warming_up_requests.max(1) as f64;
    println!("{scenario:?}: {sent} sent, N {n:.1}, {part:.2} of the bound, {service:.3} served");
    (sent, n, part)
}

/// Returns the scenarios of a cluster of this size, in which one in ten, half and all of the upstreams restart: without
/// further events; with a burst, restarts of balancers and a favoured balancer; with all load on the restarted upstreams
/// at a later time; and with upstreams that stop and come back one after another.
fn scenarios(balancers: u32, upstreams: usize) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for restarted in [upstreams / 10, upstreams / 2, upstreams] {
        let scenario = Scenario { balancers, upstreams, restarted, ..BASE };
        scenarios.push(scenario);
        let favoured = (f64::from(balancers) / 4.0).clamp(1.0, 5.0);
        scenarios.push(Scenario { restarts: true, favoured, burst: Some(12 * SECOND), ..scenario });
        for late in [6, 20] {
            let (others_stop, greed) = (Some(late * SECOND), Some((late + 1) * SECOND));
            scenarios.push(Scenario {
                others_stop: others_stop.filter(|_| restarted < upstreams),
                greed,
                ..scenario
            });
        }
        let one_by_one = 7 * SECOND;
        scenarios.push(Scenario { one_by_one, load: 1.2, ..scenario });
        scenarios.push(Scenario { one_by_one, greed: Some(one_by_one + SECOND), ..scenario });
        scenarios.push(Scenario {
            one_by_one,
            greed: Some(-2 * SECOND + one_by_one),
            restarts: true,
            ..scenario
        });
    }
    scenarios
}

fn assert_no_overload(scenarios: Vec<Scenario>) {
    let balancers = scenarios.first().map_or(0, |scenario| scenario.balancers);
    let worst = scenarios.into_iter().map(|scenario| (play(scenario), scenario));
    let worst = worst.max_by(|a, b| a.0.2.total_cmp(&b.0.2));
    let ((sent, n, part), scenario) = worst.expect("some scenarios");
    println!("WORST of {balancers} balancers: {sent} sent, N {n:.1}, {part:.2} of the bound");
    assert!(part <= 1.0, "{sent} sent, {:.1} allowed: {scenario:?}", n + 2.0 * n.sqrt() + 2.0);
}

#[test]
fn one_balancer_overloads_no_upstream_that_is_warming_up() {
    assert_no_overload(scenarios(1, 20));
}

#[test]
fn six_balancers_overload_no_upstream_that_is_warming_up() {
    assert_no_overload(scenarios(6, 48));
}

#[test]
fn twenty_balancers_overload_no_upstream_that_is_warming_up() {
    assert_no_overload(scenarios(20, 48));
}

#[test]
fn thirty_balancers_overload_no_upstream_that_is_warming_up() {
    assert_no_overload(scenarios(30, 60));
}

#[test]
fn three_hundred_balancers_overload_no_upstream_that_is_warming_up() {
    // Runs only the scenarios in which only the pace limits the balancers. The others hold too: see
    // docs/design/slow-start.md.
    let mut scenarios = scenarios(300, 200);
    scenarios.retain(|scenario| {
        scenario.greed.is_some_and(|after| after < 8 * SECOND) && scenario.restarted >= 100
    });
    scenarios.retain(|scenario| {
        scenario.others_stop.is_some() || scenario.restarts && scenario.restarted == 200
    });
    assert_eq!(scenarios.len(), 2);
    assert_no_overload(scenarios);
}
