//! Sweeps: many small runs, each with its own random overlapping faults, to find unforeseen
//! interactions.

use std::num::NonZeroUsize;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod policy_changes;

use crate::cluster::Launcher;
use crate::report::Report;
use crate::run::{RunError, run_virtual};
use crate::scenario::{
    Class, Clients, Cluster, Effect, Expect, Fault, FaultKind, Fleet, Group, LinkDirection,
    ListService, Load, MachineType, PolicySettings, Repeats, Rules, Scenario, Selection, Shape,
    Trouble,
};

/// The result of one seed.
#[derive(Debug)]
pub struct SweepResult {
    /// The seed of both [`scenario`] and the plan.
    pub seed: u64,
    /// The report of the run, or the error that prevented it.
    pub report: Result<Report, RunError>,
}

pub use policy_changes::policy_change_scenario;

fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Returns the scenario of a seed: a small fleet with three to seven overlapping faults of any
/// kind.
pub fn scenario(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(99);
    let zones = vec!["bilbao".to_string(), "oviedo".to_string()];
    let length = rng.random_range(15..25u32);
    let count = rng.random_range(1..=3usize);
    let nodes = rng.random_range(8..=20usize);
    let kind = |name: &str, share, speed, rng: &mut ChaCha8Rng| MachineType {
        name: name.to_string(),
        share,
        cores: rng.random_range(1..=2),
        speed,
        speed_cv: 0.15,
        slots: rng.random_range(4..=8),
        queue: rng.random_range(0..=2),
        contention_threshold: 1.1 + 0.4 * rng.random::<f64>(),
        contention_loss: 0.6,
        initial_capacity: 0.15 + 0.2 * rng.random::<f64>(),
        warm_up: ms(rng.random_range(4_000..12_000)),
        connections: rng.random_range(20..60),
        handshake_ms: 4.0,
        error_rate: 0.001,
    };
    let kinds = vec![kind("fast-1c", 0.7, 1.5, &mut rng), kind("std-1c", 0.3, 1.0, &mut rng)];
    let class = |name: &str, share, work_ms, priority_weight, effect| Class {
        name: name.to_string(),
        share,
        work_ms,
        work_cv: 0.5,
        latency_objective: ms(700),
        deadline: ms(1750),
        priority_weight,
        late_weight: 0.4,
        effect,
        group: Group::Cell,
        window: ms(6_000),
    };
    let classes = vec![
        class("reading-sync", 0.42, 80.0, 2.0, Effect::Safe),
        class("alarm-raise", 0.34, 80.0, 5.0, Effect::Unsafe),
        class("delivery-log", 0.24, 50.0, 8.0, Effect::Keyed),
    ];
    let shapes = [Shape::Steady, Shape::Wave, Shape::Bursty, Shape::Ramp, Shape::Round];
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(3..=7) {
        faults.push(fault(&mut rng, length, count, nodes));
    }
    Scenario {
        name: format!("sweep-{seed}"),
        about: "random faults on top of one another".to_string(),
        length: Duration::from_secs(u64::from(length)),
        fleet: Fleet {
            zones,
            nodes,
            cell_size: rng.random_range(2..=4),
            machine_types: kinds,
            same_zone: Duration::ZERO,
            cross_zone: ms(rng.random_range(0..=8)),
        },
        cluster: Cluster {
            count,
            memory_mb: 64,
            sockets: 512,
            notice: ms(1500),
            subset: None,
            peers: false,
            persists_state: false,
            policy: PolicySettings::default(),
        },
        clients: Clients { abandon_share: 0.01, connections: 160, repeats: Repeats::default() },
        sessions: None,
        classes,
        load: Load {
            of_capacity: 0.4 + 0.7 * rng.random::<f64>(),
            shape: shapes[rng.random_range(0..shapes.len())],
            swing: 0.4,
            closed: None,
        },
        list: ListService {
            is_polled: rng.random::<f64>() < 0.8,
            notice: ms(rng.random_range(500..3_000)),
            silent_notice: ms(rng.random_range(1_500..6_000)),
            add: ms(rng.random_range(200..1_500)),
            period: ms(rng.random_range(100..700)),
            call: ms(40),
            call_timeout: ms(1_000),
            report_period: ms(250),
            report_delay: ms(75),
            report_noise: 0.1,
        },
        rules: Rules {
            max_attempts: 3,
            drain_grace: ms(500),
            fall_multiple: 4.0,
            tip_after: ms(2_000),
            ask_every: ms(10_000),
            max_retry_after: ms(2_000),
            connect_timeout: ms(250),
            keepalive: ms(5_000),
        },
        faults,
        policy_actions: Vec::new(),
        expect: Expect::default(),
    }
}

fn fault(rng: &mut ChaCha8Rng, length: u32, balancers: usize, nodes: usize) -> Fault {
    let balancer = rng.random_range(0..balancers);
    let kind = match rng.random_range(0..16) {
        0 => FaultKind::Die,
        1 => FaultKind::Vanish,
        2 => FaultKind::Unreachable { balancers: vec![balancer] },
        3 => FaultKind::Drain,
        4 => FaultKind::Replace { same_address: rng.random() },
        5 => FaultKind::Slow { factor: 2.0 + 8.0 * rng.random::<f64>() },
        6 => FaultKind::Spoil { share: 0.3 * rng.random::<f64>() },
        7 => FaultKind::ListDown,
        8 => FaultKind::ListLate { by: ms(rng.random_range(500..5_000)) },
        9 => FaultKind::ListStale,
        10 => FaultKind::ListDisorder,
        11 => FaultKind::Burst { factor: 1.3 + rng.random::<f64>() },
        12 => FaultKind::Heavy {
            class: rng.random_range(0..3),
            share: 0.03 * rng.random::<f64>(),
            factor: 5.0 + 15.0 * rng.random::<f64>(),
        },
        13 => FaultKind::BalancerKill { spread: Duration::ZERO, cycle: None },
        14 => FaultKind::BalancerRestart { spread: Duration::ZERO },
        _ => FaultKind::ListMove,
    };
    let selection = match rng.random_range(0..4) {
        0 => Selection { zone: Some(rng.random_range(0..2)), ..Selection::default() },
        1 => Selection { places: Some(vec![rng.random_range(0..nodes)]), ..Selection::default() },
        _ => Selection { share: Some(0.5 * rng.random::<f64>()), ..Selection::default() },
    };
    Fault {
        start: ms(rng.random_range(1_000..length * 1000 - 4_000)),
        length: ms(rng.random_range(500..10_000)),
        selection: match (kind.targets_nodes(), kind.targets_balancers()) {
            (true, _) => selection,
            (_, true) => Selection { places: Some(vec![balancer]), ..Selection::default() },
            _ => Selection::default(),
        },
        group: (rng.random::<f64>() < 0.3).then(|| "together".to_string()),
        kind,
        line: 0,
    }
}

/// Returns the seed's scenario with several balancers, the random number generator of this stream
/// for further choices, and the length in seconds.
fn base_scenario(seed: u64, stream: u64, of: &str, about: &str) -> (Scenario, ChaCha8Rng, u32) {
    let mut scenario = scenario(seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    (scenario.name, scenario.about) = (format!("sweep-{of}-{seed}"), about.to_string());
    scenario.cluster.count = rng.random_range(3..=8);
    let length = scenario.length.as_secs() as u32;
    (scenario, rng, length)
}

/// Returns the scenario of a seed with faults of the cluster: the seed's own scenario with more
/// balancers, which may send one another datagrams and persist state, and two to five additional
/// faults of balancers, links and stored state.
pub fn cluster_scenario(seed: u64) -> Scenario {
    let about = "random faults of a bank, on top of random others";
    let (mut scenario, mut rng, length) = base_scenario(seed, 98, "fleets", about);
    (scenario.cluster.peers, scenario.cluster.persists_state) = (true, rng.random());
    for _ in 0..rng.random_range(2..=5) {
        let fault = cluster_fault(&mut rng, length, &scenario.cluster);
        scenario.faults.push(fault);
    }
    // A separate stream keeps the rest of the scenario as it was before these faults existed.
    rng.set_stream(97);
    if scenario.cluster.persists_state && rng.random::<f64>() < 0.4 {
        let slow = FaultKind::StateSlow { by: ms(rng.random_range(1_000..30_000)) };
        let kind = if rng.random() { FaultKind::StateFull } else { slow };
        scenario.faults.push(Fault {
            kind,
            start: ms(rng.random_range(0..length * 1000 - 4_000)),
            length: ms(rng.random_range(500..15_000)),
            selection: Selection { share: Some(rng.random()), ..Selection::default() },
            group: None,
            line: 0,
        });
    }
    scenario
}

/// Returns the scenario of a seed in which the cluster persists its state and restarts with an old
/// copy, while a part of the fleet has been replaced or has left and the list is down, stale or
/// late for some more seconds. The seed's own faults come on top.
pub fn recovery_scenario(seed: u64) -> Scenario {
    let about = "a bank that comes back with old copies to another fleet, on top of random faults";
    let (mut scenario, mut rng, length) = base_scenario(seed, 96, "comebacks", about);
    scenario.cluster.persists_state = true;
    let down = rng.random_range(2_000..length * 1000 / 2);
    let away = rng.random_range(300..4_000);
    let share = |share: f64| Selection { share: Some(share), ..Selection::default() };
    let mut add_fault = |kind: FaultKind, start: u32, length: u32, selection: Selection| {
        let (start, length) = (ms(start), ms(length));
        let group = kind.targets_balancers().then(|| "back".to_string());
        scenario.faults.push(Fault { start, length, selection, kind, group, line: 0 });
    };
    let affected = share(0.5 + 0.5 * rng.random::<f64>());
    let spread = ms(rng.random_range(0..500));
    add_fault(FaultKind::BalancerKill { spread, cycle: None }, down, away, affected.clone());
    let age = ms(rng.random_range(1_000..12_000));
    add_fault(FaultKind::StateOld { age }, down + away / 2, 0, affected);
    let replaced = share(0.2 + 0.4 * rng.random::<f64>());
    let fleet = if rng.random() {
        FaultKind::Drain
    } else {
        FaultKind::Replace { same_address: rng.random() }
    };
    let (from, long) = (down - rng.random_range(0..2_000), rng.random_range(1_000..8_000));
    add_fault(fleet, from, long, replaced);
    let list = match rng.random_range(0..4) {
        0 => FaultKind::ListDown,
        1 => FaultKind::ListStale,
        2 => FaultKind::ListLate { by: ms(rng.random_range(500..5_000)) },
        _ => FaultKind::ListCut,
    };
    let cut =
        if matches!(list, FaultKind::ListCut) { share(rng.random()) } else { Selection::default() };
    add_fault(list, down + away.saturating_sub(300), rng.random_range(500..8_000), cut);
    scenario
}

fn cluster_fault(rng: &mut ChaCha8Rng, length: u32, cluster: &Cluster) -> Fault {
    let direction =
        [LinkDirection::Both, LinkDirection::Out, LinkDirection::In][rng.random_range(0..3)];
    let kind = match rng.random_range(0..if cluster.persists_state { 12 } else { 8 }) {
        0 => FaultKind::BalancerKill { spread: ms(rng.random_range(0..2_000)), cycle: None },
        1 => FaultKind::BalancerKill {
            spread: Duration::ZERO,
            cycle: Some((ms(rng.random_range(100..1_000)), ms(rng.random_range(200..3_000)))),
        },
        2 => FaultKind::BalancerRestart { spread: ms(rng.random_range(0..3_000)) },
        3 => FaultKind::BalancerPause,
        4 => FaultKind::LinksCut { direction, open_share: 0.5 * rng.random::<f64>() },
        5 => FaultKind::LinksBad {
            direction,
            trouble: Trouble {
                loss: 0.5 * rng.random::<f64>(),
                delay: ms(rng.random_range(0..500)),
                jitter: ms(rng.random_range(0..500)),
                copies: 0.3 * rng.random::<f64>(),
                flips: 0.1 * rng.random::<f64>(),
            },
        },
        6 => FaultKind::ListCut,
        7 => FaultKind::ClockStep { by_ms: rng.random_range(-100_000_000..100_000_000) },
        8 => FaultKind::StateLost,
        9 => FaultKind::StateOld { age: ms(rng.random_range(500..5_000)) },
        10 => FaultKind::StateTorn { flipped: rng.random() },
        _ => FaultKind::StateForeign,
    };
    let selection = match rng.random_range(0..3) {
        0 => Selection { zone: Some(rng.random_range(0..2)), ..Selection::default() },
        1 => Selection {
            places: Some(vec![rng.random_range(0..cluster.count)]),
            ..Selection::default()
        },
        _ => Selection { share: Some(rng.random()), ..Selection::default() },
    };
    Fault {
        start: ms(rng.random_range(1_000..length * 1000 - 4_000)),
        length: ms(rng.random_range(500..8_000)),
        selection,
        group: (rng.random::<f64>() < 0.5).then(|| "together".to_string()),
        kind,
        line: 0,
    }
}

/// Runs the scenarios of these seeds in virtual time, on this many `threads` (by default the number
/// of processors), and calls `report_run` for each as it ends, in no particular order. `launcher`
/// is called once a run, on the run's own thread.
pub fn sweep(
    seeds: std::ops::Range<u64>,
    make_scenario: fn(u64) -> Scenario,
    threads: Option<NonZeroUsize>,
    launcher: impl Fn() -> Rc<dyn Launcher> + Send + Sync,
    mut report_run: impl FnMut(SweepResult),
) {
    let threads = threads.or(thread::available_parallelism().ok()).map_or(1, NonZeroUsize::get);
    let next = AtomicU64::new(seeds.start);
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    thread::scope(|scope| {
        for _ in 0..threads {
            let sender = sender.lock().map(|s| s.clone());
            let Ok(sender) = sender else { continue };
            let (next, launcher, end) = (&next, &launcher, seeds.end);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let played = run_virtual(&make_scenario(seed), seed, launcher());
                    let report = played.map(|p| Report::of(&p));
                    if sender.send(SweepResult { seed, report }).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for swept in receiver {
            report_run(swept);
        }
    });
}
