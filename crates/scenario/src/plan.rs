//! The random parts of a run, generated ahead of it: arrivals, work, machines, and the targets and times of faults. A
//! plan is a pure function of scenario and seed, and is the same for live and virtual runs.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};
use sha2::{Digest, Sha256};

use crate::policy_actions::{self, PlannedAction, PlannedStep};
use crate::scenario::{Closed, Effect, Fault, FaultKind, Scenario, Selection, Shape};
use crate::user_sessions::{self, UserSession};

/// One client's request.
#[derive(Clone, PartialEq)]
pub struct Arrival {
    /// Time of the request since the start of the run.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Work in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// Value of the `X-Request-Id` header.
    pub id: String,
    /// Session id in the cookie. The idempotency key of the request begins with it.
    pub session_id: u64,
    /// Random number by which the front end picks a balancer.
    pub balancer_sample: u64,
    /// Time from sending until the client leaves without waiting for the answer; `None` if the client waits.
    pub abandoned_after: Option<Duration>,
    /// Index of the request that the client sends if this one is not served; `None` if the client does not repeat.
    pub next_repeat: Option<u32>,
    /// Index of the request that this one repeats; its own index for an original request.
    pub original: u32,
    /// Index of the user session and of the zone that the session is in at that time; `None` in scenarios without user
    /// sessions.
    pub session: Option<(u32, usize)>,
}

/// Prints the original names, and leaves out the session where there is none, because [`Plan::digest`] hashes this text:
/// digests of scenarios without user sessions stay the same.
impl fmt::Debug for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            class,
            work_ms,
            id,
            session_id,
            balancer_sample,
            abandoned_after,
            next_repeat,
            original,
            session,
        } = self;
        let mut s = f.debug_struct("Arrival");
        s.field("at", at).field("class", class).field("work_ms", work_ms).field("id", id);
        s.field("key", session_id).field("entry", balancer_sample).field("leaves", abandoned_after);
        s.field("again", next_repeat).field("first", original);
        if session.is_some() {
            s.field("van", session);
        }
        s.finish()
    }
}

/// One machine that runs an upstream.
#[derive(Clone, PartialEq)]
pub struct Machine {
    /// Identifier in the node list.
    pub id: String,
    /// Index of the machine type.
    pub machine_type: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Number of the cell, whose nodes share the keys that they have seen.
    pub cell: u32,
    /// Actual speed of its cores.
    pub speed: f64,
    /// Seed of the random behaviour of this machine during the run.
    pub seed: u64,
    /// For a machine that is absent at the start: the index of the machine that it replaces, and whether it takes over
    /// that machine's address.
    pub replaces: Option<(usize, bool)>,
}

/// Prints the original names, because [`Plan::digest`] hashes this text.
impl fmt::Debug for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, machine_type, zone, cell, speed, seed, replaces } = self;
        let mut s = f.debug_struct("Machine");
        s.field("id", id).field("kind", machine_type).field("zone", zone).field("cell", cell);
        s.field("speed", speed).field("seed", seed).field("comes_for", replaces);
        s.finish()
    }
}

/// The beginning or the end of a fault.
#[derive(Clone, PartialEq)]
pub struct FaultEvent {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the fault in the scenario.
    pub fault: usize,
    /// Whether the fault begins; otherwise it ends.
    pub begins: bool,
    /// Indexes of the affected machines.
    pub nodes: Vec<usize>,
    /// For [`FaultKind::Replace`]: the indexes of the replacements, one for each affected machine.
    pub replacements: Vec<usize>,
    /// Numbers of the affected balancers.
    pub balancers: Vec<usize>,
}

/// Prints the original names, because [`Plan::digest`] hashes this text.
impl fmt::Debug for FaultEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, fault, begins, nodes, replacements, balancers } = self;
        let mut s = f.debug_struct("Act");
        s.field("at", at).field("fault", fault).field("begins", begins).field("nodes", nodes);
        s.field("newcomers", replacements).field("balancers", balancers);
        s.finish()
    }
}

/// All random parts of a run.
#[derive(Clone, PartialEq)]
pub struct Plan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Original requests in order of time, followed by the repeats that may follow them. In a closed loop the original
    /// requests are in the order in which clients send them.
    pub arrivals: Vec<Arrival>,
    /// Number of original requests, which are no repeats.
    pub original_count: u32,
    /// Machines that are present at the start, followed by the replacements.
    pub machines: Vec<Machine>,
    /// Fault events in order of time.
    pub fault_events: Vec<FaultEvent>,
    /// Seeds of the balancers by number; each start of a balancer adds the number of that start.
    pub balancer_seeds: Vec<u64>,
    /// User sessions that the requests belong to; empty in scenarios without them.
    pub sessions: Vec<UserSession>,
    /// Operator actions on the routing policy, in order of time.
    pub policy_actions: Vec<PlannedAction>,
}

/// Prints the original names, and leaves out empty sessions and policy actions, because [`Plan::digest`] hashes this text.
impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            arrivals,
            original_count,
            machines,
            fault_events,
            balancer_seeds,
            sessions,
            policy_actions,
        } = self;
        let mut s = f.debug_struct("Plan");
        s.field("seed", seed).field("arrivals", arrivals).field("firsts", original_count);
        s.field("machines", machines)
            .field("acts", fault_events)
            .field("balancer_seeds", balancer_seeds);
        if !sessions.is_empty() {
            s.field("vans", sessions);
        }
        if !policy_actions.is_empty() {
            s.field("bank", policy_actions);
        }
        s.finish()
    }
}

// Numbers of the random streams. Samples taken from one stream do not affect another.
const MACHINES: u64 = 1;
const ARRIVALS: u64 = 2;
const SHAPE: u64 = 3;
const FAULTS: u64 = 4;
const BALANCERS: u64 = 5;
const REPEATS: u64 = 6;
const BALANCER_FAULTS: u64 = 7;
const SESSIONS: u64 = 8;
const POLICY_ACTIONS: u64 = 9;
const POLICY_ACTION_NODES: u64 = 10;

/// Length of a burst of [`Shape::Bursty`], in seconds.
const BURST_S: f64 = 1.0;
/// Period of [`Shape::Wave`], in seconds.
const WAVE_PERIOD_S: f64 = 20.0;

fn stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}

/// Returns a normally distributed number of the given mean and coefficient of variation, at least a tenth of the mean.
fn sample_around(rng: &mut impl Rng, mean: f64, cv: f64) -> f64 {
    match Normal::new(mean, mean * cv) {
        Ok(normal) if cv > 0.0 => normal.sample(rng).max(mean / 10.0),
        _ => mean,
    }
}

impl Plan {
    /// Generates the plan of a scenario and seed.
    pub fn generate(scenario: &Scenario, seed: u64) -> Self {
        let mut machines = machines(scenario, &mut stream(seed, MACHINES));
        let fault_events = fault_events(scenario, seed, &mut machines);
        let mut arrivals = match scenario.load.closed {
            Some(closed) => closed_loop_arrivals(scenario, seed, closed),
            None => arrivals(scenario, seed, &machines[..scenario.fleet.nodes]),
        };
        for (place, arrival) in arrivals.iter_mut().enumerate() {
            arrival.original = place as u32;
        }
        let sessions = match &scenario.sessions {
            Some(of) => {
                user_sessions::generate(scenario, of, &mut stream(seed, SESSIONS), &mut arrivals)
            }
            None => Vec::new(),
        };
        let original_count = arrivals.len() as u32;
        repeats(scenario, seed, &mut arrivals);
        let mut rng = stream(seed, BALANCERS);
        let balancer_seeds = (0..scenario.cluster.count).map(|_| rng.next_u64()).collect();
        let mut nodes = SelectionOrders::new(seed, POLICY_ACTION_NODES, scenario.fleet.nodes);
        let policy_actions = policy_actions::generate(
            scenario,
            &machines,
            &mut stream(seed, POLICY_ACTIONS),
            &mut nodes,
        );
        Self {
            seed,
            arrivals,
            original_count,
            machines,
            fault_events,
            balancer_seeds,
            sessions,
            policy_actions,
        }
    }

    /// Returns the plan of the control run: the same arrivals (bursts included), machines and operator calls, without
    /// faults.
    pub fn control_run(&self) -> Self {
        let mut control_run = Self { fault_events: Vec::new(), ..self.clone() };
        control_run.policy_actions.retain(|p| matches!(p.step, PlannedStep::Call(_)));
        control_run
    }

    /// Returns the SHA-256 of the plan's `Debug` text in hexadecimal. Equal plans have equal digests.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        hash.update(format!("{self:?}"));
        hex(&hash.finalize())
    }
}

/// Formats bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn machine(
    scenario: &Scenario,
    machine_type: usize,
    zone: usize,
    cell: u32,
    replaces: Option<(usize, bool)>,
    rng: &mut ChaCha8Rng,
) -> Machine {
    let k = &scenario.fleet.machine_types[machine_type];
    Machine {
        id: format!("s-{:08x}", rng.next_u32()),
        machine_type,
        zone,
        cell,
        speed: sample_around(rng, k.speed, k.speed_cv),
        seed: rng.next_u64(),
        replaces,
    }
}

fn machines(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Machine> {
    let fleet = &scenario.fleet;
    let total: f64 = fleet.machine_types.iter().map(|k| k.share).sum();
    // Machine types are assigned by quota and not at random, so that a small fleet has the configured mix, too.
    let mut machine_types = Vec::with_capacity(fleet.nodes);
    let mut cumulative_share = 0.0;
    for (i, machine_type) in fleet.machine_types.iter().enumerate() {
        cumulative_share += machine_type.share / total.max(f64::MIN_POSITIVE);
        let count = (cumulative_share * fleet.nodes as f64).round() as usize;
        machine_types.resize(count.min(fleet.nodes).max(machine_types.len()), i);
    }
    machine_types.resize(fleet.nodes, fleet.machine_types.len() - 1);
    shuffle(&mut machine_types, rng);
    let place = |(n, machine_type)| {
        machine(scenario, machine_type, fleet.zone_of(n), fleet.cell_of(n), None, rng)
    };
    machine_types.into_iter().enumerate().map(place).collect()
}

fn shuffle<T>(all: &mut [T], rng: &mut impl Rng) {
    for i in (1..all.len()).rev() {
        all.swap(i, rng.random_range(0..=i));
    }
}

/// Returns the members that a selection covers: the first in `order` of those that it allows, up to its share of them.
/// `place` returns the zone and the cell of a member.
pub(crate) fn select(
    selection: &Selection,
    place: impl Fn(usize) -> (usize, Option<u32>),
    order: &[usize],
) -> Vec<usize> {
    let allowed = |&&n: &&usize| {
        let (zone, cell) = place(n);
        selection.zone.is_none_or(|z| z == zone)
            && selection.cell.is_none_or(|c| Some(c) == cell)
            && selection.places.as_ref().is_none_or(|all| all.contains(&n))
    };
    let allowed: Vec<usize> = order.iter().filter(allowed).copied().collect();
    let share = selection.share.unwrap_or(1.0);
    let mut count = (share * allowed.len() as f64).round() as usize;
    if share > 0.0 {
        count = count.max(1);
    }
    let mut all: Vec<usize> = allowed.into_iter().take(count).collect();
    all.sort_unstable();
    all
}

/// Orders in which faults select their targets: a shuffled order for each fault, and a common one for each group.
pub(crate) struct SelectionOrders {
    rng: ChaCha8Rng,
    count: usize,
    groups: Vec<(String, Vec<usize>)>,
}

impl SelectionOrders {
    fn new(seed: u64, stream_of: u64, count: usize) -> Self {
        Self { rng: stream(seed, stream_of), count, groups: Vec::new() }
    }

    pub(crate) fn next(&mut self, group: Option<&str>) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.count).collect();
        shuffle(&mut order, &mut self.rng);
        let Some(name) = group else { return order };
        match self.groups.iter().find(|(n, _)| n == name) {
            Some((_, of_group)) => of_group.clone(),
            None => {
                self.groups.push((name.to_string(), order.clone()));
                order
            }
        }
    }
}

fn fault_events(scenario: &Scenario, seed: u64, machines: &mut Vec<Machine>) -> Vec<FaultEvent> {
    let mut node_orders = SelectionOrders::new(seed, FAULTS, scenario.fleet.nodes);
    let mut balancer_orders = SelectionOrders::new(seed, BALANCER_FAULTS, scenario.cluster.count);
    let mut fault_events = Vec::new();
    for (place, fault) in scenario.faults.iter().enumerate() {
        let group = fault.group.as_deref();
        // Every fault takes an order, needed or not: plans of seeds that were swept before stay the same.
        let order = node_orders.next(group);
        if fault.kind.targets_balancers() {
            let order = balancer_orders.next(group);
            let zone = |b| (scenario.cluster.zone_of(b, &scenario.fleet), None);
            let balancers = select(&fault.selection, zone, &order);
            fault_events.extend(balancer_events(place, fault, balancers, scenario.length));
            continue;
        }
        let nodes = if fault.kind.targets_nodes() {
            let where_is = |n: usize| (machines[n].zone, Some(machines[n].cell));
            select(&fault.selection, where_is, &order)
        } else {
            Vec::new()
        };
        let mut replacements = Vec::new();
        if let FaultKind::Replace { same_address } = fault.kind {
            for &n in &nodes {
                let (machine_type, zone, cell) =
                    (machines[n].machine_type, machines[n].zone, machines[n].cell);
                replacements.push(machines.len());
                let replaces = Some((n, same_address));
                let rng = &mut node_orders.rng;
                machines.push(machine(scenario, machine_type, zone, cell, replaces, rng));
            }
        }
        let event = |at, begins| FaultEvent {
            at,
            fault: place,
            begins,
            nodes: nodes.clone(),
            replacements: replacements.clone(),
            balancers: Vec::new(),
        };
        fault_events.push(event(fault.start, true));
        fault_events.push(event(fault.start + fault.length, false));
    }
    fault_events.sort_by_key(|a| a.at);
    fault_events
}

/// Returns the events of a fault of balancers: all at once, one after another, or repeated.
fn balancer_events(
    fault: usize,
    f: &Fault,
    selected: Vec<usize>,
    most: Duration,
) -> Vec<FaultEvent> {
    let event = |at, begins, balancers: &[usize]| FaultEvent {
        at,
        fault,
        begins,
        nodes: Vec::new(),
        replacements: Vec::new(),
        balancers: balancers.to_vec(),
    };
    let (spread, cycle) = match f.kind {
        FaultKind::BalancerKill { spread, cycle } => (spread, cycle),
        FaultKind::BalancerRestart { spread } => (spread, None),
        _ => (Duration::ZERO, None),
    };
    if spread.is_zero() && cycle.is_none() {
        let end = f.start + f.length;
        return vec![event(f.start, true, &selected), event(end, false, &selected)];
    }
    let mut fault_events = Vec::new();
    for (n, balancer) in selected.iter().enumerate() {
        let one = std::slice::from_ref(balancer);
        let mut at = f.start + spread.mul_f64(n as f64 / (selected.len().max(2) - 1) as f64);
        let end = at + f.length;
        let (down, up) = cycle.unwrap_or((f.length, Duration::ZERO));
        while at < end && at <= f.start + most {
            fault_events.push(event(at, true, one));
            fault_events.push(event((at + down).min(end), false, one));
            at += down + up.max(Duration::from_millis(1));
        }
    }
    fault_events
}

/// Returns the request rate at a time as a multiple of the mean rate, by the shape of the load alone.
fn shape_factor(scenario: &Scenario, burst_factors: &[f64], t: f64) -> f64 {
    let (swing, length) = (scenario.load.swing, scenario.length.as_secs_f64());
    let full_turn = std::f64::consts::TAU;
    match scenario.load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + swing * (full_turn * t / WAVE_PERIOD_S).sin(),
        Shape::Bursty => burst_factors.get((t / BURST_S) as usize).copied().unwrap_or(1.0),
        Shape::Ramp => 1.0 - swing + 2.0 * swing * t / length,
        Shape::Round => 1.0 - swing * (full_turn * t / length).cos(),
    }
}

/// Returns the factor by which the active faults raise the request rate at a time.
fn burst_factor(scenario: &Scenario, at: Duration) -> f64 {
    let on = scenario.faults.iter().filter(|f| at >= f.start && at < f.start + f.length);
    on.map(|f| if let FaultKind::Burst { factor } = f.kind { factor } else { 1.0 }).product()
}

fn arrivals(scenario: &Scenario, seed: u64, machines: &[Machine]) -> Vec<Arrival> {
    let mut rng = stream(seed, ARRIVALS);
    let mut shape_rng = stream(seed, SHAPE);
    let length = scenario.length.as_secs_f64();
    let burst_factors: Vec<f64> = (0..=(length / BURST_S) as usize)
        .map(|_| sample_around(&mut shape_rng, 1.0, scenario.load.swing))
        .collect();
    let capacity: f64 = machines
        .iter()
        .map(|m| f64::from(scenario.fleet.machine_types[m.machine_type].cores) * m.speed * 1000.0)
        .sum();
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let work: f64 =
        scenario.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares.max(1e-9);
    let mean = scenario.load.of_capacity * capacity / work.max(1e-9);
    // A Poisson process of the highest possible rate, thinned to the rate of each moment.
    let top = burst_factors.iter().fold(1.0 + scenario.load.swing, |a, b| a.max(*b))
        * scenario
            .faults
            .iter()
            .map(|f| if let FaultKind::Burst { factor } = f.kind { factor } else { 1.0 })
            .product::<f64>();
    let Ok(gap) = Exp::new(mean * top) else { return Vec::new() };
    let (mut arrivals, mut t) = (Vec::new(), 0.0);
    loop {
        t += gap.sample(&mut rng);
        if t >= length {
            return arrivals;
        }
        let at = Duration::from_micros((t * 1e6) as u64);
        let rate = shape_factor(scenario, &burst_factors, t) * burst_factor(scenario, at);
        // Every candidate consumes the same number of samples, accepted or not.
        let accepted = rng.random::<f64>() * top < rate;
        let arrival = arrival(scenario, at, shares, &mut rng);
        if accepted {
            arrivals.push(arrival);
        }
    }
}

fn arrival(scenario: &Scenario, at: Duration, shares: f64, rng: &mut ChaCha8Rng) -> Arrival {
    let mut sample = rng.random::<f64>() * shares;
    let class = scenario.classes.iter().position(|c| {
        sample -= c.share;
        sample < 0.0
    });
    let class = class.unwrap_or(scenario.classes.len() - 1);
    let c = &scenario.classes[class];
    let (usual, heavy) = (rng.random::<f64>(), rng.random::<f64>());
    let mut work_ms = match LogNormal::from_mean_cv(c.work_ms, c.work_cv) {
        Ok(spread) if c.work_cv > 0.0 => spread.sample(rng),
        _ => c.work_ms,
    };
    for fault in &scenario.faults {
        if let FaultKind::Heavy { class: of, share, factor } = fault.kind
            && of == class
            && heavy < share
            && at >= fault.start
            && at < fault.start + fault.length
        {
            work_ms *= factor;
        }
    }
    let (session_id, balancer_sample, when) = (rng.next_u64(), rng.next_u64(), rng.random::<f64>());
    let id = format!("{:016x}", rng.next_u64());
    let abandoned_after = usual < scenario.clients.abandon_share;
    let abandoned_after = abandoned_after.then(|| c.latency_objective.mul_f64(when));
    Arrival {
        at,
        class,
        work_ms,
        id,
        session_id,
        balancer_sample,
        abandoned_after,
        next_repeat: None,
        original: 0,
        session: None,
    }
}

/// Generates as many requests as the clients of a closed loop can send at most.
fn closed_loop_arrivals(scenario: &Scenario, seed: u64, closed: Closed) -> Vec<Arrival> {
    let mut rng = stream(seed, ARRIVALS);
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let each = scenario.length.as_secs_f64() / closed.pause.as_secs_f64();
    let all = closed.clients as usize * (each.ceil() as usize + 1);
    (0..all).map(|_| arrival(scenario, Duration::ZERO, shares, &mut rng)).collect()
}

/// Appends the repeats that clients send for requests that are not served.
fn repeats(scenario: &Scenario, seed: u64, arrivals: &mut Vec<Arrival>) {
    let mut rng = stream(seed, REPEATS);
    let of = &scenario.clients.repeats;
    for original in 0..arrivals.len() {
        if of.share == 0.0 || rng.random::<f64>() >= of.share {
            continue;
        }
        let mut last = original;
        for _ in 0..of.max_repeats {
            let (balancer_sample, id) = (rng.next_u64(), format!("{:016x}", rng.next_u64()));
            let next =
                Arrival { id, balancer_sample, next_repeat: None, ..arrivals[original].clone() };
            arrivals[last].next_repeat = Some(arrivals.len() as u32);
            last = arrivals.len();
            arrivals.push(next);
        }
    }
}

impl Effect {
    /// Returns the HTTP method: GET for safe requests, POST for others.
    pub fn method(self) -> &'static str {
        if self == Effect::Safe { "GET" } else { "POST" }
    }
}
