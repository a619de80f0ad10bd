//! What chance decides about a run, drawn ahead: arrivals, work, machines, who is struck and when. A pure
//! function of scenario and seed, the same for live and virtual runs.

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
    /// From the start of the run.
    pub at: Duration,
    /// By index.
    pub class: usize,
    /// On a core of speed 1.
    pub work_ms: f64,
    /// `X-Request-Id`.
    pub id: String,
    /// What it is about.
    pub key: u64,
    /// The front's draw among balancers.
    pub balancer_sample: u64,
    /// When its client goes away, counted from its sending, if it does.
    pub abandoned_after: Option<Duration>,
    /// The request that its client makes if this one is not served, if it does.
    pub next_repeat: Option<u32>,
    /// The request that it repeats; its own place, if it repeats none.
    pub original: u32,
    /// Whose it is, and at which site its van is then, by index among the zones; on days with vans.
    pub session: Option<(u32, usize)>,
}

/// As it was before there were vans, where there are none: digests of earlier days stay.
impl fmt::Debug for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            class,
            work_ms,
            id,
            key,
            balancer_sample,
            abandoned_after,
            next_repeat,
            original,
            session,
        } = self;
        let mut s = f.debug_struct("Arrival");
        s.field("at", at).field("class", class).field("work_ms", work_ms).field("id", id);
        s.field("key", key).field("entry", balancer_sample).field("leaves", abandoned_after);
        s.field("again", next_repeat).field("first", original);
        if session.is_some() {
            s.field("van", session);
        }
        s.finish()
    }
}

/// One machine.
#[derive(Clone, PartialEq)]
pub struct Machine {
    /// As in the list; tells nothing else.
    pub id: String,
    /// By index.
    pub machine_type: usize,
    /// By index.
    pub zone: usize,
    /// Nodes of one cell share the keys they have seen.
    pub cell: u32,
    /// True speed of its cores.
    pub speed: f64,
    /// For what chance does at this machine during the run.
    pub seed: u64,
    /// Not there at the start: it comes for the machine at this place, perhaps at its address.
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
    /// From the start of the run.
    pub at: Duration,
    /// Which fault, by its place in the scenario.
    pub fault: usize,
    /// Its beginning, or its end.
    pub begins: bool,
    /// Whom it strikes, by place among the machines.
    pub nodes: Vec<usize>,
    /// For [`FaultKind::Replace`]: who comes for each of them.
    pub replacements: Vec<usize>,
    /// Whom it strikes, by number among the balancers.
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

/// All that is drawn ahead.
#[derive(Clone, PartialEq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// In order of time, and behind them the repeats that some may be followed by. In a closed loop the order is
    /// that in which clients have their turns.
    pub arrivals: Vec<Arrival>,
    /// How many of them are no repeats.
    pub original_count: u32,
    /// Those of the start first, then the newcomers.
    pub machines: Vec<Machine>,
    /// In order of time.
    pub fault_events: Vec<FaultEvent>,
    /// Seeds of the balancers, by number; each start adds its own count.
    pub balancer_seeds: Vec<u64>,
    /// Whose requests they are, on days with vans.
    pub sessions: Vec<UserSession>,
    /// What is done to the bank's rule book, in order of time.
    pub policy_actions: Vec<PlannedAction>,
}

/// See [`Arrival`].
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

/// Streams of chance: what is drawn in one moves nothing in another.
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

/// Bursts of [`Shape::Bursty`] last so long.
const BURST_S: f64 = 1.0;
/// One round of [`Shape::Wave`].
const WAVE_PERIOD_S: f64 = 20.0;

fn stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number);
    rng
}

/// A number around `mean`; never below a tenth of it.
fn around(rng: &mut impl Rng, mean: f64, cv: f64) -> f64 {
    match Normal::new(mean, mean * cv) {
        Ok(normal) if cv > 0.0 => normal.sample(rng).max(mean / 10.0),
        _ => mean,
    }
}

impl Plan {
    /// Draws a plan.
    pub fn generate(scenario: &Scenario, seed: u64) -> Self {
        let mut machines = machines(scenario, &mut stream(seed, MACHINES));
        let fault_events = fault_events(scenario, seed, &mut machines);
        let mut arrivals = match scenario.load.closed {
            Some(closed) => turns(scenario, seed, closed),
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

    /// The same day on which nothing goes wrong: its arrivals, bursts included, its machines, and what operators say.
    pub fn control_run(&self) -> Self {
        let mut control_run = Self { fault_events: Vec::new(), ..self.clone() };
        control_run.policy_actions.retain(|p| matches!(p.step, PlannedStep::Call(_)));
        control_run
    }

    /// SHA-256 over all that was drawn, in hexadecimal: equal plans have equal digests.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        hash.update(format!("{self:?}"));
        hex(&hash.finalize())
    }
}

/// Bytes in hexadecimal.
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
        speed: around(rng, k.speed, k.speed_cv),
        seed: rng.next_u64(),
        replaces,
    }
}

fn machines(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Machine> {
    let fleet = &scenario.fleet;
    let total: f64 = fleet.machine_types.iter().map(|k| k.share).sum();
    // Kinds by quota and not by lot: a small fleet has the mix that was asked for.
    let mut machine_types = Vec::with_capacity(fleet.nodes);
    let mut cumulative_share = 0.0;
    for (i, machine_type) in fleet.machine_types.iter().enumerate() {
        cumulative_share += machine_type.share / total.max(f64::MIN_POSITIVE);
        let count_selected = (cumulative_share * fleet.nodes as f64).round() as usize;
        machine_types.resize(count_selected.min(fleet.nodes).max(machine_types.len()), i);
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

/// Whom a selection strikes: of those it allows, the first in `order`, up to its share of them. `place` says zone and
/// cell of each.
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
    let mut count_selected = (share * allowed.len() as f64).round() as usize;
    if share > 0.0 {
        count_selected = count_selected.max(1);
    }
    let mut all: Vec<usize> = allowed.into_iter().take(count_selected).collect();
    all.sort_unstable();
    all
}

/// Orders in which faults take whom they strike: shuffled for each, and one for all of a group.
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
        // Drawn for every fault, also where it is for nothing: days that were swept once stay as they were.
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

/// The acts of a fault that strikes balancers: all at once, one after another, or over and over.
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

/// How many times the mean rate there is at a time, by shape alone.
fn swing(scenario: &Scenario, slots: &[f64], t: f64) -> f64 {
    let (swing, length) = (scenario.load.swing, scenario.length.as_secs_f64());
    let turn = std::f64::consts::TAU;
    match scenario.load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + swing * (turn * t / WAVE_PERIOD_S).sin(),
        Shape::Bursty => slots.get((t / BURST_S) as usize).copied().unwrap_or(1.0),
        Shape::Ramp => 1.0 - swing + 2.0 * swing * t / length,
        Shape::Round => 1.0 - swing * (turn * t / length).cos(),
    }
}

/// How many times as many come by the faults that run at a time.
fn burst(scenario: &Scenario, at: Duration) -> f64 {
    let on = scenario.faults.iter().filter(|f| at >= f.start && at < f.start + f.length);
    on.map(|f| if let FaultKind::Burst { factor } = f.kind { factor } else { 1.0 }).product()
}

fn arrivals(scenario: &Scenario, seed: u64, machines: &[Machine]) -> Vec<Arrival> {
    let mut rng = stream(seed, ARRIVALS);
    let mut shape_rng = stream(seed, SHAPE);
    let length = scenario.length.as_secs_f64();
    let slots: Vec<f64> = (0..=(length / BURST_S) as usize)
        .map(|_| around(&mut shape_rng, 1.0, scenario.load.swing))
        .collect();
    let capacity: f64 = machines
        .iter()
        .map(|m| f64::from(scenario.fleet.machine_types[m.machine_type].cores) * m.speed * 1000.0)
        .sum();
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let work: f64 =
        scenario.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares.max(1e-9);
    let mean = scenario.load.of_capacity * capacity / work.max(1e-9);
    // Thinned from the highest rate there can be.
    let top = slots.iter().fold(1.0 + scenario.load.swing, |a, b| a.max(*b))
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
        let rate = swing(scenario, &slots, t) * burst(scenario, at);
        // Every candidate draws the same amount of chance, taken or not.
        let taken = rng.random::<f64>() * top < rate;
        let arrival = arrival(scenario, at, shares, &mut rng);
        if taken {
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
    let (key, balancer_sample, when) = (rng.next_u64(), rng.next_u64(), rng.random::<f64>());
    let id = format!("{:016x}", rng.next_u64());
    let abandoned_after = usual < scenario.clients.abandon_share;
    let abandoned_after = abandoned_after.then(|| c.latency_objective.mul_f64(when));
    Arrival {
        at,
        class,
        work_ms,
        id,
        key,
        balancer_sample,
        abandoned_after,
        next_repeat: None,
        original: 0,
        session: None,
    }
}

/// As many requests as clients of a closed loop can make at the very most.
fn turns(scenario: &Scenario, seed: u64, closed: Closed) -> Vec<Arrival> {
    let mut rng = stream(seed, ARRIVALS);
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let each = scenario.length.as_secs_f64() / closed.pause.as_secs_f64();
    let all = closed.clients as usize * (each.ceil() as usize + 1);
    (0..all).map(|_| arrival(scenario, Duration::ZERO, shares, &mut rng)).collect()
}

/// Adds the repeats that clients make, should it come to that.
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

/// What a class's requests look like on the wire.
impl Effect {
    /// Safe ones are GET, others POST.
    pub fn method(self) -> &'static str {
        if self == Effect::Safe { "GET" } else { "POST" }
    }
}
