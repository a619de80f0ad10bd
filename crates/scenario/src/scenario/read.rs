//! Reads a scenario from its TOML file: keys, units, ranges and defaults.

use std::ops::RangeInclusive;
use std::time::Duration;

use hollowpaddle_toml_fields::{File, Problems, Table};
use toml::de::DeTable;

use super::*;

/// Largest number of nodes of a scenario. A run with more takes hours, or more descriptors than a usual machine has.
const MAX_NODES: u32 = 10_000;
/// Largest number of balancers of a scenario.
pub const MAX_BALANCERS: u32 = 1_000;
/// Longest time that a scenario may name, in seconds.
pub(super) const MAX_LENGTH_S: f64 = 24.0 * 3600.0;
/// Largest number of requests of a closed loop.
const MAX_REQUESTS: f64 = 5e6;

/// Range of shares.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;

pub fn read(name: &str, text: &str) -> Result<Scenario, Problems> {
    hollowpaddle_toml_fields::read(name, text, scenario)
}

fn scenario<'f, 'a>(file: &'f File<'a>, table: &'f DeTable<'a>) -> Scenario {
    let top = Table::top(file, table);
    let classes: Vec<Class> = top.tables("classes").into_iter().map(class).collect();
    if classes.is_empty() {
        top.wrong(&(0..0), "there is no class: expected at least one [[classes]]; add one");
    }
    let fleet = top.table("fleet").map(fleet);
    if fleet.is_none() && !top.has("fleet") {
        top.wrong(&(0..0), "there is no fleet: expected a table [fleet]; add one");
    }
    let fleet = fleet.unwrap_or_else(|| Fleet {
        zones: vec!["a".to_string()],
        nodes: 1,
        cell_size: 1,
        machine_types: vec![],
        same_zone: Duration::ZERO,
        cross_zone: Duration::ZERO,
    });
    let cluster = top.table("balancers").map(|t| cluster(t, &fleet)).unwrap_or(Cluster {
        count: 1,
        memory_mb: 192,
        sockets: 1024,
        notice: Duration::from_secs(2),
        subset: None,
        peers: false,
        persists_state: false,
        policy: PolicySettings::default(),
    });
    // Limits that follow from a wrong part of the file are not checked, so that one mistake is reported once.
    let has_errors = file.is_wrong();
    let known = Known { fleet: &fleet, cluster: &cluster, classes: &classes, has_errors };
    let faults = top.tables("faults").into_iter().map(|t| fault(t, &known)).collect();
    let policy_actions =
        top.tables("bank").into_iter().map(|t| policy::action(t, &known)).collect();
    let length = top.time("length_s", 1.0..=MAX_LENGTH_S, None);
    let sessions =
        top.table("vans").map(|t| user_sessions::read(t, &fleet, length, file.is_wrong()));
    let scenario = Scenario {
        name: top.text("name", None),
        about: top.text("about", Some("")),
        length,
        sessions,
        cluster,
        clients: top.table("clients").map(clients).unwrap_or(Clients {
            abandon_share: 0.0,
            connections: 300,
            repeats: Repeats::default(),
        }),
        load: top.table("load").map(load).unwrap_or(Load {
            of_capacity: 0.5,
            shape: Shape::Steady,
            swing: 0.0,
            closed: None,
        }),
        list: list(top.table("list"), file),
        expect: optional(top.table("expect"), file, expect),
        rules: rules(top.table("rules"), file),
        fleet,
        classes,
        faults,
        policy_actions,
    };
    if scenario.load.closed.is_some() && scenario.sessions.is_some() {
        let what = "`vans` move at times of the day, and a closed loop has none; remove it, or `load.closed`";
        top.wrong(&top.span_of("vans"), what);
    }
    if let Some(Closed { clients, pause }) = scenario.load.closed {
        let most = f64::from(clients) * (scenario.length.as_secs_f64() / pause.as_secs_f64() + 1.0);
        if most > MAX_REQUESTS && !file.is_wrong() {
            let what = format!(
                "`load.closed` could ask {most:.0} requests, and {MAX_REQUESTS:.0} are the most: a shorter \
                 `length_s`, fewer clients or a longer `load.pause_ms`"
            );
            top.wrong(&top.span_of("load"), what);
        }
    }
    top.finish();
    scenario
}

fn fleet(t: Table) -> Fleet {
    let zones = t.texts("zones", &["a"]);
    if zones.is_empty() {
        let at = t.span_of("zones");
        t.wrong(&at, "`fleet.zones` names none: expected at least one");
    }
    let machine_types: Vec<MachineType> = t.tables("kinds").into_iter().map(machine_type).collect();
    if machine_types.is_empty() {
        t.wrong(&t.span, "there is no kind of machine: expected [[fleet.kinds]]; add one");
    }
    let fleet = Fleet {
        zones: if zones.is_empty() { vec![String::new()] } else { zones },
        nodes: t.whole("nodes", 1..=MAX_NODES, None) as usize,
        cell_size: t.whole("cell_size", 1..=MAX_NODES, Some(6)) as usize,
        machine_types,
        same_zone: t.time("same_zone_ms", 0.0..=1000.0, Some(0.0)),
        cross_zone: t.time("cross_zone_ms", 0.0..=1000.0, Some(7.0)),
    };
    t.finish();
    fleet
}

fn machine_type(t: Table) -> MachineType {
    let machine_type = MachineType {
        name: t.text("name", None),
        share: t.number("share", 0.0..=1e6, Some(1.0)),
        cores: t.whole("cores", 1..=256, Some(1)),
        speed: t.number("speed", 0.01..=100.0, Some(1.0)),
        speed_cv: t.number("speed_cv", SHARE, Some(0.1)),
        slots: t.whole("slots", 1..=10_000, Some(6)),
        queue: t.whole("queue", 0..=10_000, Some(1)),
        contention_threshold: t.number("crowding_from", 1.0..=100.0, Some(1.3)),
        contention_loss: t.number("crowding_loss", SHARE, Some(0.5)),
        cold_from: t.number("cold_from", 0.01..=1.0, Some(0.25)),
        cold: t.time("cold_s", 0.0..=3600.0, Some(15.0)),
        connections: t.whole("connections", 1..=1_000_000, Some(42)),
        handshake_ms: t.number("handshake_ms", 0.0..=1000.0, Some(4.0)),
        error_rate: t.number("error_rate", SHARE, Some(0.0)),
    };
    t.finish();
    machine_type
}

fn cluster(t: Table, fleet: &Fleet) -> Cluster {
    let count = t.whole("count", 1..=MAX_BALANCERS, Some(1)) as usize;
    let cluster = Cluster {
        count,
        memory_mb: t.whole("memory_mb", 16..=1_000_000, Some(192)),
        sockets: t.whole("sockets", 96..=1_000_000, Some(1024)),
        notice: t.time("notice_s", 0.0..=60.0, Some(2.0)),
        subset: (t.has("subset_times") || t.has("subset_least")).then(|| {
            let times = t.number("subset_times", 1.0..=1000.0, Some(4.0));
            (times, t.whole("subset_least", 1..=MAX_NODES, Some(64)))
        }),
        peers: t.flag("peers", false),
        persists_state: t.flag("keeps_state", false),
        policy: policy::settings(&t, count, fleet),
    };
    t.finish();
    cluster
}

fn clients(t: Table) -> Clients {
    let clients = Clients {
        abandon_share: t.number("leave_share", SHARE, Some(0.0)),
        connections: t.whole("connections", 1..=100_000, Some(300)),
        repeats: Repeats {
            share: t.number("repeat_share", SHARE, Some(0.0)),
            max_repeats: t.whole("repeats", 0..=10, Some(2)),
            honors_retry_after: t.flag("heed_retry_after", true),
            wait: t.time("repeat_wait_ms", 1.0..=60_000.0, Some(200.0)),
            marked: t.flag("mark_repeats", true),
        },
    };
    t.finish();
    clients
}

fn class(t: Table) -> Class {
    let effects = [("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)];
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    let effect = t.choice("effect", &effects, None);
    let keyed = effect == Effect::Keyed;
    for key in ["group", "window_ms"] {
        if !keyed && t.has(key) {
            let at = t.span_of(key);
            t.wrong(&at, format!("`{key}` means nothing but for a keyed class; remove it"));
        }
    }
    let class = Class {
        name: t.text("name", None),
        share: t.number("share", 0.0..=1e6, Some(1.0)),
        work_ms: t.number("work_ms", 0.01..=1e6, None),
        work_cv: t.number("work_cv", 0.0..=10.0, Some(0.5)),
        latency_objective: t.time("aim_ms", 1.0..=1e7, None),
        deadline: t.time("deadline_ms", 1.0..=1e7, None),
        priority_weight: t.number("worth", 0.0..=1e6, Some(1.0)),
        late_weight: t.number("late_worth", SHARE, Some(0.0)),
        effect,
        group: t.choice("group", &groups, Some(Group::Cell)),
        window: t.time("window_ms", 1.0..=1e7, Some(10_000.0)),
    };
    if class.latency_objective > class.deadline {
        let at = t.span_of("aim_ms");
        t.wrong(&at, "`classes.aim_ms` is later than the deadline: no answer could be too late");
    }
    t.finish();
    class
}

fn load(t: Table) -> Load {
    let shapes = [
        ("steady", Shape::Steady),
        ("wave", Shape::Wave),
        ("bursty", Shape::Bursty),
        ("ramp", Shape::Ramp),
        ("round", Shape::Round),
    ];
    let closed = t.has("closed").then(|| Closed {
        clients: t.whole("closed", 1..=100_000, None),
        pause: t.time("pause_ms", 1.0..=60_000.0, Some(10.0)),
    });
    let open = closed.is_none();
    if !open && let Some(key) = ["of_capacity", "shape", "swing"].into_iter().find(|k| t.has(k)) {
        let what = format!("`{key}` means nothing for a closed loop; remove it, or `closed`");
        t.wrong(&t.span_of(key), what);
    }
    let load = Load {
        of_capacity: t.number("of_capacity", 0.001..=100.0, (!open).then_some(1.0)),
        shape: t.choice("shape", &shapes, Some(Shape::Steady)),
        swing: t.number("swing", SHARE, Some(0.3)),
        closed,
    };
    t.finish();
    load
}

/// Reads a table that may be missing, because all of its fields have defaults.
fn optional<T>(t: Option<Table>, file: &File, read: impl Fn(&Table) -> T) -> T {
    match t {
        Some(t) => {
            let value = read(&t);
            t.finish();
            value
        }
        None => read(&Table::top(file, &DeTable::new())),
    }
}

fn list(t: Option<Table>, file: &File) -> ListService {
    optional(t, file, |t| ListService {
        asked: t.flag("asked", true),
        notice: t.time("notice_s", 0.0..=3600.0, Some(3.0)),
        silent_notice: t.time("silent_notice_s", 0.0..=3600.0, Some(8.0)),
        add: t.time("add_s", 0.0..=3600.0, Some(1.0)),
        period: t.time("period_ms", 1.0..=60_000.0, Some(500.0)),
        call: t.time("call_ms", 0.0..=60_000.0, Some(40.0)),
        call_timeout: t.time("call_timeout_ms", 1.0..=60_000.0, Some(1000.0)),
        report_period: t.time("report_period_ms", 1.0..=60_000.0, Some(250.0)),
        report_delay: t.time("report_delay_ms", 0.0..=60_000.0, Some(75.0)),
        report_noise: t.number("report_noise", SHARE, Some(0.1)),
    })
}

fn rules(t: Option<Table>, file: &File) -> Rules {
    optional(t, file, |t| Rules {
        max_attempts: t.whole("max_attempts", 1..=100, Some(3)) as usize,
        drain_grace: t.time("drain_grace_ms", 0.0..=60_000.0, Some(500.0)),
        fall_multiple: t.number("fall_multiple", 1.0..=1000.0, Some(4.0)),
        tip_after: t.time("tip_after_ms", 1.0..=60_000.0, Some(2000.0)),
        ask_every: t.time("ask_every_ms", 100.0..=600_000.0, Some(10_000.0)),
        max_retry_after: t.time("max_retry_after_ms", 0.0..=600_000.0, Some(2000.0)),
        connect_timeout: t.time("connect_timeout_ms", 1.0..=60_000.0, Some(250.0)),
        keepalive: t.time("keepalive_ms", 100.0..=600_000.0, Some(5000.0)),
    })
}

fn expect(t: &Table) -> Expect {
    let (contradiction, in_force) = policy::expected(t);
    let times = |key| t.has(key).then(|| t.number(key, 0.0..=1e9, None));
    Expect {
        full_service: t
            .has("full_service_s")
            .then(|| t.time("full_service_s", 0.0..=MAX_LENGTH_S, None)),
        connects_times: times("connects_times"),
        list_calls_times: times("list_calls_times"),
        attempts_times: times("attempts_times"),
        datagrams_times: times("datagrams_times"),
        contention_share: t.has("crowd_share").then(|| t.number("crowd_share", SHARE, None)),
        stale: t.has("stale").then(|| u64::from(t.whole("stale", 0..=u32::MAX, None))),
        service: t.has("service").then(|| t.number("service", SHARE, None)),
        ran_twice: t.has("ran_twice").then(|| u64::from(t.whole("ran_twice", 0..=u32::MAX, None))),
        in_previous_cell: t.has("at_their_pod").then(|| t.number("at_their_pod", SHARE, None)),
        contradiction,
        in_force,
    }
}

/// The parts of a scenario that faults and policy actions refer to.
pub(super) struct Known<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) cluster: &'a Cluster,
    pub(super) classes: &'a [Class],
    /// Whether an earlier part of the file is wrong, so that references are not checked.
    pub(super) has_errors: bool,
}

/// Names of the kinds of faults, and their numbers in [`fault`].
const KINDS: [(&str, u8); 27] = [
    ("die", 0),
    ("vanish", 1),
    ("unreachable", 2),
    ("drain", 3),
    ("replace", 4),
    ("slow", 5),
    ("spoil", 6),
    ("list-down", 7),
    ("list-late", 8),
    ("list-stale", 9),
    ("list-disorder", 10),
    ("burst", 11),
    ("heavy", 12),
    ("balancer-kill", 13),
    ("balancer-restart", 14),
    ("list-move", 15),
    ("balancer-pause", 16),
    ("links-cut", 17),
    ("links-bad", 18),
    ("list-cut", 19),
    ("state-lost", 20),
    ("state-old", 21),
    ("state-torn", 22),
    ("state-foreign", 23),
    ("clock-step", 24),
    ("state-full", 25),
    ("state-slow", 26),
];

fn fault(t: Table, known: &Known) -> Fault {
    let most = if known.has_errors { MAX_BALANCERS } else { known.cluster.count as u32 } - 1;
    let kind = match t.choice("kind", &KINDS, None) {
        0 => FaultKind::Die,
        1 => FaultKind::Vanish,
        2 => FaultKind::Unreachable { balancers: unreachable_from(&t, known, most) },
        3 => FaultKind::Drain,
        4 => FaultKind::Replace { same_address: t.flag("same_address", false) },
        5 => FaultKind::Slow { factor: t.number("factor", 1.0..=1000.0, None) },
        6 => FaultKind::Spoil { share: t.number("answers", SHARE, None) },
        7 => FaultKind::ListDown,
        8 => FaultKind::ListLate { by: t.time("by_s", 0.0..=3600.0, None) },
        9 => FaultKind::ListStale,
        10 => FaultKind::ListDisorder,
        11 => FaultKind::Burst { factor: t.number("factor", 1.0..=100.0, None) },
        12 => {
            let name = t.text("class", None);
            let class = known.classes.iter().position(|c| c.name == name);
            if class.is_none() && t.has("class") && !known.has_errors {
                let at = t.span_of("class");
                let names: Vec<&str> = known.classes.iter().map(|c| c.name.as_str()).collect();
                let what =
                    format!("`faults.class` is \"{name}\": expected one of {}", names.join(", "));
                t.wrong(&at, what);
            }
            FaultKind::Heavy {
                class: class.unwrap_or_default(),
                share: t.number("requests", SHARE, None),
                factor: t.number("factor", 1.0..=1000.0, None),
            }
        }
        13 => FaultKind::BalancerKill {
            spread: spread(&t),
            cycle: t.has("up_s").then(|| {
                (
                    t.time("down_s", 0.1..=MAX_LENGTH_S, Some(0.2)),
                    t.time("up_s", 0.1..=MAX_LENGTH_S, None),
                )
            }),
        },
        14 => FaultKind::BalancerRestart { spread: spread(&t) },
        16 => FaultKind::BalancerPause,
        17 => FaultKind::LinksCut {
            direction: link_direction(&t),
            open_share: t.number("open_share", SHARE, Some(0.0)),
        },
        18 => FaultKind::LinksBad {
            direction: link_direction(&t),
            trouble: Trouble {
                loss: t.number("loss", SHARE, Some(0.0)),
                delay: t.time("delay_ms", 0.0..=600_000.0, Some(0.0)),
                jitter: t.time("jitter_ms", 0.0..=600_000.0, Some(0.0)),
                copies: t.number("copies", SHARE, Some(0.0)),
                flips: t.number("flips", SHARE, Some(0.0)),
            },
        },
        19 => FaultKind::ListCut,
        20 => FaultKind::StateLost,
        21 => FaultKind::StateOld { age: t.time("age_s", 0.1..=MAX_LENGTH_S, None) },
        22 => FaultKind::StateTorn { flipped: t.flag("flipped", false) },
        23 => FaultKind::StateForeign,
        24 => FaultKind::ClockStep {
            by_ms: (t.number("by_s", -MAX_LENGTH_S * 366.0..=MAX_LENGTH_S * 366.0, None) * 1e3)
                as i64,
        },
        25 => FaultKind::StateFull,
        26 => FaultKind::StateSlow { by: t.time("by_s", 0.0..=3600.0, None) },
        _ => FaultKind::ListMove,
    };
    let selection = match (kind.targets_nodes(), kind.targets_balancers()) {
        (true, _) => selection(&t, known),
        (_, true) => balancers(&t, known, &kind),
        _ => Selection::default(),
    };
    let group = t.has("group").then(|| t.text("group", Some("")));
    let needs_length = !kind.is_instant();
    let fault = Fault {
        start: t.time("start_s", 0.0..=MAX_LENGTH_S, None),
        length: t.time("length_s", 0.1..=MAX_LENGTH_S, (!needs_length).then_some(1.0)),
        kind,
        selection,
        group,
        line: t.line(),
    };
    t.finish();
    fault
}

/// Reads the balancers that nodes are out of reach for: one, or those of a zone.
fn unreachable_from(t: &Table, known: &Known, most: u32) -> Vec<usize> {
    let Some(zone) = zone(t, known, "from_zone") else {
        return vec![t.whole("balancer", 0..=most, None) as usize];
    };
    (0..known.cluster.count).filter(|b| known.cluster.zone_of(*b, known.fleet) == zone).collect()
}

fn spread(t: &Table) -> Duration {
    t.time("spread_s", 0.0..=MAX_LENGTH_S, Some(0.0))
}

fn link_direction(t: &Table) -> LinkDirection {
    t.choice(
        "way",
        &[("both", LinkDirection::Both), ("out", LinkDirection::Out), ("in", LinkDirection::In)],
        Some(LinkDirection::Both),
    )
}

fn zone(t: &Table, known: &Known, key: &'static str) -> Option<usize> {
    t.has(key).then(|| {
        let zones = known.fleet.zones.iter().enumerate();
        let zones: Vec<(&str, usize)> = zones.map(|(i, z)| (z.as_str(), i)).collect();
        t.choice(key, &zones, None)
    })
}

/// Reads the selection of balancers of a fault.
fn balancers(t: &Table, known: &Known, kind: &FaultKind) -> Selection {
    let count = if known.has_errors { MAX_BALANCERS as usize } else { known.cluster.count };
    let one =
        t.has("balancer").then(|| vec![t.whole("balancer", 0..=count as u32 - 1, None) as usize]);
    if one.is_some() && t.has("balancers") {
        t.wrong(&t.span_of("balancers"), "`balancer` names one already; remove either");
    }
    let selection = Selection {
        share: t.has("share").then(|| t.number("share", SHARE, None)),
        zone: zone(t, known, "zone"),
        cell: None,
        places: t.places("balancers", count).or(one),
    };
    let all = matches!(kind, FaultKind::LinksBad { .. });
    if selection == Selection::default() && !all {
        let what = "the fault strikes no balancer: expected `share`, `zone`, `balancers` or `balancer`; add one";
        t.wrong(&t.span, what);
    }
    let links = matches!(kind, FaultKind::LinksBad { .. } | FaultKind::LinksCut { .. });
    if links && !known.cluster.peers && !known.has_errors {
        let what = "there is nothing between these balancers: expected `peers = true` in [balancers]; add it";
        t.wrong(&t.span, what);
    }
    if kind.targets_state() && !known.cluster.persists_state && !known.has_errors {
        let what =
            "these balancers store nothing: expected `keeps_state = true` in [balancers]; add it";
        t.wrong(&t.span, what);
    }
    selection
}

/// Reads the selection of nodes of a fault or a policy action.
pub(super) fn selection(t: &Table, known: &Known) -> Selection {
    let fleet = known.fleet;
    let nodes = if known.has_errors { MAX_NODES as usize } else { fleet.nodes };
    let cells = (0..nodes).map(|n| fleet.cell_of(n)).max().unwrap_or(0);
    let selection = Selection {
        share: t.has("share").then(|| t.number("share", SHARE, None)),
        zone: zone(t, known, "zone"),
        cell: t.has("cell").then(|| t.whole("cell", 0..=cells, None)),
        places: t.places("nodes", nodes),
    };
    if selection == Selection::default() {
        let what = "this strikes no node: expected `share`, `zone`, `cell` or `nodes`; add one";
        t.wrong(&t.span, what);
    }
    selection
}
