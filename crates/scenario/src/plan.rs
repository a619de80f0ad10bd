//! What chance decides about a run, drawn ahead: arrivals, work, machines, who is struck and when. A pure
//! function of scenario and seed, the same for live and virtual runs.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};
use sha2::{Digest, Sha256};

use crate::book::{self, Doing, Planned};
use crate::scenario::{Closed, Effect, Fault, FaultKind, Scenario, Selection, Shape};
use crate::vans::{self, Van};

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
    pub entry: u64,
    /// When its client goes away, counted from its sending, if it does.
    pub leaves: Option<Duration>,
    /// The request that its client makes if this one is not served, if it does.
    pub again: Option<u32>,
    /// The request that it repeats; its own place, if it repeats none.
    pub first: u32,
    /// Whose it is, and at which site its van is then, by index among the zones; on days with vans.
    pub van: Option<(u32, usize)>,
}

/// As it was before there were vans, where there are none: digests of earlier days stay.
impl fmt::Debug for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, class, work_ms, id, key, entry, leaves, again, first, van } = self;
        let mut s = f.debug_struct("Arrival");
        s.field("at", at).field("class", class).field("work_ms", work_ms).field("id", id);
        s.field("key", key).field("entry", entry).field("leaves", leaves);
        s.field("again", again).field("first", first);
        if van.is_some() {
            s.field("van", van);
        }
        s.finish()
    }
}

/// One machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// As in the list; tells nothing else.
    pub id: String,
    /// By index.
    pub kind: usize,
    /// By index.
    pub zone: usize,
    /// Nodes of one cell share the keys they have seen.
    pub cell: u32,
    /// True speed of its cores.
    pub speed: f64,
    /// For what chance does at this machine during the run.
    pub seed: u64,
    /// Not there at the start: it comes for the machine at this place, perhaps at its address.
    pub comes_for: Option<(usize, bool)>,
}

/// The beginning or the end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    /// From the start of the run.
    pub at: Duration,
    /// Which fault, by its place in the scenario.
    pub fault: usize,
    /// Its beginning, or its end.
    pub begins: bool,
    /// Whom it strikes, by place among the machines.
    pub nodes: Vec<usize>,
    /// For [`FaultKind::Replace`]: who comes for each of them.
    pub newcomers: Vec<usize>,
    /// Whom it strikes, by number among the balancers.
    pub balancers: Vec<usize>,
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
    pub firsts: u32,
    /// Those of the start first, then the newcomers.
    pub machines: Vec<Machine>,
    /// In order of time.
    pub acts: Vec<Act>,
    /// Seeds of the balancers, by number; each start adds its own count.
    pub balancer_seeds: Vec<u64>,
    /// Whose requests they are, on days with vans.
    pub vans: Vec<Van>,
    /// What is done to the bank's rule book, in order of time.
    pub bank: Vec<Planned>,
}

/// See [`Arrival`].
impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, arrivals, firsts, machines, acts, balancer_seeds, vans, bank } = self;
        let mut s = f.debug_struct("Plan");
        s.field("seed", seed).field("arrivals", arrivals).field("firsts", firsts);
        s.field("machines", machines).field("acts", acts).field("balancer_seeds", balancer_seeds);
        if !vans.is_empty() {
            s.field("vans", vans);
        }
        if !bank.is_empty() {
            s.field("bank", bank);
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
const BANK_FAULTS: u64 = 7;
const VANS: u64 = 8;
const BOOK: u64 = 9;
const BOOK_NODES: u64 = 10;

/// Bursts of [`Shape::Bursty`] last so long.
const BURST_S: f64 = 1.0;
/// One round of [`Shape::Wave`].
const WAVE_S: f64 = 20.0;

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
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let mut machines = machines(scenario, &mut stream(seed, MACHINES));
        let acts = acts(scenario, seed, &mut machines);
        let mut arrivals = match scenario.load.closed {
            Some(closed) => turns(scenario, seed, closed),
            None => arrivals(scenario, seed, &machines[..scenario.fleet.nodes]),
        };
        for (place, arrival) in arrivals.iter_mut().enumerate() {
            arrival.first = place as u32;
        }
        let vans = match &scenario.vans {
            Some(of) => vans::draw(scenario, of, &mut stream(seed, VANS), &mut arrivals),
            None => Vec::new(),
        };
        let firsts = arrivals.len() as u32;
        repeats(scenario, seed, &mut arrivals);
        let mut rng = stream(seed, BALANCERS);
        let balancer_seeds = (0..scenario.bank.count).map(|_| rng.next_u64()).collect();
        let mut nodes = Orders::new(seed, BOOK_NODES, scenario.fleet.nodes);
        let bank = book::draw(scenario, &machines, &mut stream(seed, BOOK), &mut nodes);
        Self { seed, arrivals, firsts, machines, acts, balancer_seeds, vans, bank }
    }

    /// The same day on which nothing goes wrong: its arrivals, bursts included, its machines, and what operators say.
    pub fn control_run(&self) -> Self {
        let mut control_run = Self { acts: Vec::new(), ..self.clone() };
        control_run.bank.retain(|p| matches!(p.doing, Doing::Call(_)));
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
    kind: usize,
    zone: usize,
    cell: u32,
    comes_for: Option<(usize, bool)>,
    rng: &mut ChaCha8Rng,
) -> Machine {
    let k = &scenario.fleet.kinds[kind];
    Machine {
        id: format!("s-{:08x}", rng.next_u32()),
        kind,
        zone,
        cell,
        speed: around(rng, k.speed, k.speed_cv),
        seed: rng.next_u64(),
        comes_for,
    }
}

fn machines(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Machine> {
    let fleet = &scenario.fleet;
    let total: f64 = fleet.kinds.iter().map(|k| k.share).sum();
    // Kinds by quota and not by lot: a small fleet has the mix that was asked for.
    let mut kinds = Vec::with_capacity(fleet.nodes);
    let mut upto = 0.0;
    for (i, kind) in fleet.kinds.iter().enumerate() {
        upto += kind.share / total.max(f64::MIN_POSITIVE);
        let so_many = (upto * fleet.nodes as f64).round() as usize;
        kinds.resize(so_many.min(fleet.nodes).max(kinds.len()), i);
    }
    kinds.resize(fleet.nodes, fleet.kinds.len() - 1);
    shuffle(&mut kinds, rng);
    let place = |(n, kind)| machine(scenario, kind, fleet.zone_of(n), fleet.cell_of(n), None, rng);
    kinds.into_iter().enumerate().map(place).collect()
}

fn shuffle<T>(all: &mut [T], rng: &mut impl Rng) {
    for i in (1..all.len()).rev() {
        all.swap(i, rng.random_range(0..=i));
    }
}

/// Whom a selection strikes: of those it allows, the first in `order`, up to its share of them. `place` says zone and
/// cell of each.
pub(crate) fn struck(
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
    let mut so_many = (share * allowed.len() as f64).round() as usize;
    if share > 0.0 {
        so_many = so_many.max(1);
    }
    let mut all: Vec<usize> = allowed.into_iter().take(so_many).collect();
    all.sort_unstable();
    all
}

/// Orders in which faults take whom they strike: shuffled for each, and one for all of a group.
pub(crate) struct Orders {
    rng: ChaCha8Rng,
    count: usize,
    groups: Vec<(String, Vec<usize>)>,
}

impl Orders {
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

fn acts(scenario: &Scenario, seed: u64, machines: &mut Vec<Machine>) -> Vec<Act> {
    let mut of_nodes = Orders::new(seed, FAULTS, scenario.fleet.nodes);
    let mut of_bank = Orders::new(seed, BANK_FAULTS, scenario.bank.count);
    let mut acts = Vec::new();
    for (place, fault) in scenario.faults.iter().enumerate() {
        let group = fault.group.as_deref();
        // Drawn for every fault, also where it is for nothing: days that were swept once stay as they were.
        let order = of_nodes.next(group);
        if fault.kind.strikes_balancers() {
            let order = of_bank.next(group);
            let zone = |b| (scenario.bank.zone_of(b, &scenario.fleet), None);
            let balancers = struck(&fault.selection, zone, &order);
            acts.extend(of_balancers(place, fault, balancers, scenario.length));
            continue;
        }
        let nodes = if fault.kind.strikes_nodes() {
            let where_is = |n: usize| (machines[n].zone, Some(machines[n].cell));
            struck(&fault.selection, where_is, &order)
        } else {
            Vec::new()
        };
        let mut newcomers = Vec::new();
        if let FaultKind::Replace { same_address } = fault.kind {
            for &n in &nodes {
                let (kind, zone, cell) = (machines[n].kind, machines[n].zone, machines[n].cell);
                newcomers.push(machines.len());
                let comes_for = Some((n, same_address));
                let rng = &mut of_nodes.rng;
                machines.push(machine(scenario, kind, zone, cell, comes_for, rng));
            }
        }
        let act = |at, begins| Act {
            at,
            fault: place,
            begins,
            nodes: nodes.clone(),
            newcomers: newcomers.clone(),
            balancers: Vec::new(),
        };
        acts.push(act(fault.start, true));
        acts.push(act(fault.start + fault.length, false));
    }
    acts.sort_by_key(|a| a.at);
    acts
}

/// The acts of a fault that strikes balancers: all at once, one after another, or over and over.
fn of_balancers(fault: usize, f: &Fault, struck: Vec<usize>, most: Duration) -> Vec<Act> {
    let act = |at, begins, balancers: &[usize]| Act {
        at,
        fault,
        begins,
        nodes: Vec::new(),
        newcomers: Vec::new(),
        balancers: balancers.to_vec(),
    };
    let (spread, again) = match f.kind {
        FaultKind::BalancerKill { spread, again } => (spread, again),
        FaultKind::BalancerRestart { spread } => (spread, None),
        _ => (Duration::ZERO, None),
    };
    if spread.is_zero() && again.is_none() {
        let end = f.start + f.length;
        return vec![act(f.start, true, &struck), act(end, false, &struck)];
    }
    let mut acts = Vec::new();
    for (n, balancer) in struck.iter().enumerate() {
        let one = std::slice::from_ref(balancer);
        let mut at = f.start + spread.mul_f64(n as f64 / (struck.len().max(2) - 1) as f64);
        let end = at + f.length;
        let (down, up) = again.unwrap_or((f.length, Duration::ZERO));
        while at < end && at <= f.start + most {
            acts.push(act(at, true, one));
            acts.push(act((at + down).min(end), false, one));
            at += down + up.max(Duration::from_millis(1));
        }
    }
    acts
}

/// How many times the mean rate there is at a time, by shape alone.
fn swing(scenario: &Scenario, slots: &[f64], t: f64) -> f64 {
    let (swing, length) = (scenario.load.swing, scenario.length.as_secs_f64());
    let turn = std::f64::consts::TAU;
    match scenario.load.shape {
        Shape::Steady => 1.0,
        Shape::Wave => 1.0 + swing * (turn * t / WAVE_S).sin(),
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
        .map(|m| f64::from(scenario.fleet.kinds[m.kind].cores) * m.speed * 1000.0)
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
    let mut draw = rng.random::<f64>() * shares;
    let class = scenario.classes.iter().position(|c| {
        draw -= c.share;
        draw < 0.0
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
    let (key, entry, when) = (rng.next_u64(), rng.next_u64(), rng.random::<f64>());
    let id = format!("{:016x}", rng.next_u64());
    let leaves = usual < scenario.clients.leave_share;
    let leaves = leaves.then(|| c.aim.mul_f64(when));
    Arrival { at, class, work_ms, id, key, entry, leaves, again: None, first: 0, van: None }
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
    for first in 0..arrivals.len() {
        if of.share == 0.0 || rng.random::<f64>() >= of.share {
            continue;
        }
        let mut last = first;
        for _ in 0..of.most {
            let (entry, id) = (rng.next_u64(), format!("{:016x}", rng.next_u64()));
            let next = Arrival { id, entry, again: None, ..arrivals[first].clone() };
            arrivals[last].again = Some(arrivals.len() as u32);
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
