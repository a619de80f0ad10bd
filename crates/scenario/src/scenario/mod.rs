//! What a rehearsal is to play: fleet, balancers, classes, load and faults. Plain data; [`Scenario::read`] makes it
//! from a TOML file, and [`crate::plan`] draws everything that is left to chance.

mod policy;
mod read;
mod user_sessions;

pub use policy::{
    LeaderFault, OperatorVerb, PolicyAction, PolicyActionKind, PolicySettings, RevisionDocument,
};
pub use read::MAX_BALANCERS;
pub use user_sessions::UserSessions;

use std::time::Duration;

pub use hollowpaddle_link_faults::Trouble;
pub use hollowpaddle_toml_fields::{Problem, Problems};

/// A whole scenario. Every time is a length; work is in milliseconds of one core of speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name, as in the report.
    pub name: String,
    /// One line for people.
    pub about: String,
    /// How long clients come; the run goes on until all is answered.
    pub length: Duration,
    /// The upstreams.
    pub fleet: Fleet,
    /// The bank.
    pub cluster: Cluster,
    /// How clients behave.
    pub clients: Clients,
    /// Whose requests they are, where they are those of vans that move.
    pub sessions: Option<UserSessions>,
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// How many come, and when.
    pub load: Load,
    /// The list of upstreams.
    pub list: ListService,
    /// Figures of the four rules.
    pub rules: Rules,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// What operators do to the bank's rule book.
    pub policy_actions: Vec<PolicyAction>,
    /// What the day is to show; a run that does not is told by how much.
    pub expect: Expect,
}

/// What a day is to show. What is `None` is not looked at. Ratios are a run's worst second over the 99th percentile of
/// its twin's seconds: the same plan without the faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expect {
    /// Longest time to full service of any fault, or of faults that overlap.
    pub full_service: Option<Duration>,
    /// Connects to nodes, at most so many times the twin's.
    pub connects_times: Option<f64>,
    /// Calls to the list.
    pub list_calls_times: Option<f64>,
    /// Attempts.
    pub attempts_times: Option<f64>,
    /// Datagrams between balancers.
    pub datagrams_times: Option<f64>,
    /// Most refusals beside a node that stood idle, as a share of what was asked.
    pub contention_share: Option<f64>,
    /// Most decisions on what had been told to be otherwise.
    pub stale: Option<u64>,
    /// Least service of the whole run.
    pub service: Option<f64>,
    /// Most keyed effects that ran in more than one pod.
    pub ran_twice: Option<u64>,
    /// Least share of vans' runs in the pod of the run before.
    pub in_previous_cell: Option<f64>,
    /// Longest time during which two balancers acted on contradicting rules.
    pub contradiction: Option<Duration>,
    /// Longest time from a yes until it was in force at every balancer that could know.
    pub in_force: Option<Duration>,
}

/// The upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Names of the zones; nodes and balancers are spread over them evenly.
    pub zones: Vec<String>,
    /// How many there are at the start.
    pub nodes: usize,
    /// Nodes of one zone that share the keys they have seen.
    pub cell_size: usize,
    /// Kinds of machine.
    pub machine_types: Vec<MachineType>,
    /// One-way delay inside a zone and across zones. Virtual runs only: loopback has none.
    pub same_zone: Duration,
    /// See `same_zone`.
    pub cross_zone: Duration,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// As the list names it.
    pub name: String,
    /// Its part of the fleet, beside the other kinds' parts.
    pub share: f64,
    /// Requests that run at full speed side by side.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// How far single machines lie from that: coefficient of variation.
    pub speed_cv: f64,
    /// Requests in work at once; they share the cores evenly.
    pub slots: u32,
    /// Requests that wait for a slot; what comes beyond is turned away.
    pub queue: u32,
    /// Holding more than this many requests a core costs speed,
    pub contention_threshold: f64,
    /// this share of it for each further request a core.
    pub contention_loss: f64,
    /// Capacity right after a start, as a share of the full one.
    pub cold_from: f64,
    /// Warm after this time at the latest, and sooner with work done.
    pub cold: Duration,
    /// Connections that it holds; a request on one beyond is turned away.
    pub connections: u32,
    /// Work of taking a connection.
    pub handshake_ms: f64,
    /// Share of requests that end in a 500 after they have run.
    pub error_rate: f64,
}

/// The balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// How many.
    pub count: usize,
    /// Memory that each is told it has.
    pub memory_mb: u32,
    /// Descriptors that each is told it has.
    pub sockets: u32,
    /// How long the front goes on sending to one that has died.
    pub notice: Duration,
    /// Which part of the fleet each keeps links to: so many times the even part, and at least so many nodes of each
    /// zone. `None` for all of it.
    pub subset: Option<(f64, u32)>,
    /// Whether they may send one another datagrams.
    pub peers: bool,
    /// Whether each has a directory that outlives its process, and a door for operators. Otherwise `$TMPDIR` is empty
    /// at each start, as on the platform.
    pub persists_state: bool,
    /// How they agree on rules.
    pub policy: PolicySettings,
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Share of requests whose client goes away before its answer.
    pub abandon_share: f64,
    /// Connections that the clients of one balancer open at most for requests.
    pub connections: u32,
    /// What they do about requests that were not served.
    pub repeats: Repeats,
}

/// How clients ask again. A repeat is a request of its own, with a new id and the time that is left of the first
/// one's deadline; what may have run is repeated only where that does no harm.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Repeats {
    /// Share of clients that do.
    pub share: f64,
    /// How often, at most.
    pub max_repeats: u32,
    /// Whether they wait for as long as `Retry-After` says,
    pub honors_retry_after: bool,
    /// and for how long where it says nothing, or they do not heed it: half as long up to half as long again.
    pub wait: Duration,
    /// Whether they mark them, by `X-Retry: 1`.
    pub marked: bool,
}

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Repeats are dropped by nodes of one group for a while.
    Keyed,
    /// Harm.
    Unsafe,
}

/// Which nodes drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// As in `X-Class`.
    pub name: String,
    /// Its part of the load, beside the other classes' parts.
    pub share: f64,
    /// Mean work.
    pub work_ms: f64,
    /// Spread of the work (lognormal): coefficient of variation.
    pub work_cv: f64,
    /// An answer within this earns the full worth.
    pub latency_objective: Duration,
    /// How long its clients wait.
    pub deadline: Duration,
    /// What a served request is worth.
    pub priority_weight: f64,
    /// Share of that for an answer after the aim.
    pub late_weight: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For a keyed one.
    pub group: Group,
    /// For a keyed one: for how long repeats are dropped.
    pub window: Duration,
}

/// How the load goes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// The same all the time.
    Steady,
    /// Slow waves.
    Wave,
    /// Short bursts at random.
    Bursty,
    /// From low to high.
    Ramp,
    /// One broad hill in the middle.
    Round,
}

/// How many requests come.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Mean work asked for, as a share of what the warm fleet can do.
    pub of_capacity: f64,
    /// How it goes over time.
    pub shape: Shape,
    /// How far it goes up and down, as a share of the mean.
    pub swing: f64,
    /// Instead of all that: clients that ask one request after another.
    pub closed: Option<Closed>,
}

/// A closed loop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed {
    /// How many clients, each with at most one request out.
    pub clients: u32,
    /// From the end of one request of theirs to the next.
    pub pause: Duration,
}

/// The node list: late, and one service for all balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct ListService {
    /// Balancers must ask; otherwise an agent on their machine tells them by itself.
    pub asked: bool,
    /// From a process's end to the list's knowing it.
    pub notice: Duration,
    /// The same for a machine that says nothing.
    pub silent_notice: Duration,
    /// From a start to its entry.
    pub add: Duration,
    /// Changes go out this often.
    pub period: Duration,
    /// Time that one call takes; calls of all balancers wait in turn.
    pub call: Duration,
    /// A call that would wait longer than this fails.
    pub call_timeout: Duration,
    /// How often nodes report their load, and how late and noisy (share) the reports are.
    pub report_period: Duration,
    /// See `report_period`.
    pub report_delay: Duration,
    /// See `report_period`.
    pub report_noise: f64,
}

/// Figures of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Rule 2: most attempts of one request.
    pub max_attempts: usize,
    /// Rule 3: sends to a node that drains or is gone must end within this.
    pub drain_grace: Duration,
    /// Rule 4: a cold node falls over at more than this multiple of its present capacity
    pub fall_multiple: f64,
    /// Rule 4: for this long.
    pub tip_after: Duration,
    /// Where the list is asked: so long without a word and a balancer counts as told.
    pub ask_every: Duration,
    /// Longest `Retry-After` that clients heed.
    pub max_retry_after: Duration,
    /// A connection not made within this has failed.
    pub connect_timeout: Duration,
    /// Idle connections to nodes close after this.
    pub keepalive: Duration,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when, counted from the first request.
    pub start: Duration,
    /// For how long.
    pub length: Duration,
    /// Which nodes or balancers, where it is about such.
    pub selection: Selection,
    /// Faults of one group strike the same nodes, and the same balancers.
    pub group: Option<String>,
    /// Where the file says so.
    pub line: usize,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The process dies, and comes back cold at the end.
    Die,
    /// The machine says nothing, and comes back cold at the end.
    Vanish,
    /// Out of reach for some balancers, as by a cut on the way.
    Unreachable {
        /// Their numbers, from 0.
        balancers: Vec<usize>,
    },
    /// Drains; at the end it is gone, and a cold one takes its place under its id.
    Drain,
    /// Dies for good; a cold machine under a new id takes over at the end.
    Replace {
        /// At the address of the old one.
        same_address: bool,
    },
    /// Runs slower by this factor.
    Slow {
        /// Above 1.
        factor: f64,
    },
    /// This share of its answers comes spoilt.
    Spoil {
        /// 0 to 1.
        share: f64,
    },
    /// The list is out of reach.
    ListDown,
    /// News comes so much later.
    ListLate {
        /// On top of the usual.
        by: Duration,
    },
    /// The list answers, and learns nothing.
    ListStale,
    /// Messages of the list come twice, or older ones after newer ones.
    ListDisorder,
    /// This many times as many requests come.
    Burst {
        /// Above 1.
        factor: f64,
    },
    /// A share of one class is much more work.
    Heavy {
        /// By index.
        class: usize,
        /// Of its requests.
        share: f64,
        /// Times the usual work.
        factor: f64,
    },
    /// Balancers are killed outright, and started again at the end.
    BalancerKill {
        /// From the first to the last, both ways.
        spread: Duration,
        /// They come back after the first of these times, and are killed again the second time after that, over and
        /// over until the end.
        cycle: Option<(Duration, Duration)>,
    },
    /// A planned restart: SIGTERM, and started again once it has ended.
    BalancerRestart {
        /// From the first to the last.
        spread: Duration,
    },
    /// Balancers are frozen, and go on at the end: SIGSTOP and SIGCONT.
    BalancerPause,
    /// No datagram passes between these balancers and the others.
    LinksCut {
        /// Which way.
        direction: LinkDirection,
        /// Share of the ordered pairs that stay open.
        open_share: f64,
    },
    /// Datagrams of these balancers go by a bad network.
    LinksBad {
        /// Which way.
        direction: LinkDirection,
        /// How bad.
        trouble: Trouble,
    },
    /// The list says nothing to these balancers.
    ListCut,
    /// What these balancers stored is gone.
    StateLost,
    /// What they stored is as it was so long before.
    StateOld {
        /// Age of the copy that is put back.
        age: Duration,
    },
    /// Every file that they stored is torn.
    StateTorn {
        /// A byte is changed, instead of the rest being cut off.
        flipped: bool,
    },
    /// They have what another balancer stored.
    StateForeign,
    /// They can store nothing: there is no room. Virtual runs only.
    StateFull,
    /// Whatever they store takes so long. Virtual runs only.
    StateSlow {
        /// From the beginning of a write until it is there.
        by: Duration,
    },
    /// Their wall clocks step. Virtual runs only: a machine has one clock.
    ClockStep {
        /// Ahead, in milliseconds; below 0 is back.
        by_ms: i64,
    },
    /// The list moves to another address; balancers are told by SIGHUP.
    ListMove,
}

impl FaultKind {
    /// Its name in a scenario.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Die => "die",
            FaultKind::Vanish => "vanish",
            FaultKind::Unreachable { .. } => "unreachable",
            FaultKind::Drain => "drain",
            FaultKind::Replace { .. } => "replace",
            FaultKind::Slow { .. } => "slow",
            FaultKind::Spoil { .. } => "spoil",
            FaultKind::ListDown => "list-down",
            FaultKind::ListLate { .. } => "list-late",
            FaultKind::ListStale => "list-stale",
            FaultKind::ListDisorder => "list-disorder",
            FaultKind::Burst { .. } => "burst",
            FaultKind::Heavy { .. } => "heavy",
            FaultKind::BalancerKill { .. } => "balancer-kill",
            FaultKind::BalancerRestart { .. } => "balancer-restart",
            FaultKind::BalancerPause => "balancer-pause",
            FaultKind::LinksCut { .. } => "links-cut",
            FaultKind::LinksBad { .. } => "links-bad",
            FaultKind::ListCut => "list-cut",
            FaultKind::StateLost => "state-lost",
            FaultKind::StateOld { .. } => "state-old",
            FaultKind::StateTorn { .. } => "state-torn",
            FaultKind::StateForeign => "state-foreign",
            FaultKind::StateFull => "state-full",
            FaultKind::StateSlow { .. } => "state-slow",
            FaultKind::ClockStep { .. } => "clock-step",
            FaultKind::ListMove => "list-move",
        }
    }

    /// Whether it strikes nodes, and so needs a selection of them.
    pub fn targets_nodes(&self) -> bool {
        matches!(
            self,
            FaultKind::Die
                | FaultKind::Vanish
                | FaultKind::Unreachable { .. }
                | FaultKind::Drain
                | FaultKind::Replace { .. }
                | FaultKind::Slow { .. }
                | FaultKind::Spoil { .. }
        )
    }
}

impl FaultKind {
    /// Whether it strikes balancers, what they stored or the links between them, and so needs a selection of them.
    pub fn targets_balancers(&self) -> bool {
        matches!(
            self,
            FaultKind::BalancerKill { .. }
                | FaultKind::BalancerRestart { .. }
                | FaultKind::BalancerPause
                | FaultKind::LinksCut { .. }
                | FaultKind::LinksBad { .. }
                | FaultKind::ListCut
                | FaultKind::StateLost
                | FaultKind::StateOld { .. }
                | FaultKind::StateTorn { .. }
                | FaultKind::StateForeign
                | FaultKind::StateFull
                | FaultKind::StateSlow { .. }
                | FaultKind::ClockStep { .. }
        )
    }

    /// Why a live run can't have it, if it can't.
    pub fn virtual_only(&self) -> Option<&'static str> {
        match self {
            FaultKind::ClockStep { .. } => Some("all processes of a machine have one clock"),
            FaultKind::StateFull | FaultKind::StateSlow { .. } => {
                Some("a disk of its own that is full or slow takes privileges")
            }
            _ => None,
        }
    }

    /// Whether it is about what balancers stored.
    pub fn targets_state(&self) -> bool {
        matches!(
            self,
            FaultKind::StateLost
                | FaultKind::StateOld { .. }
                | FaultKind::StateTorn { .. }
                | FaultKind::StateForeign
                | FaultKind::StateFull
                | FaultKind::StateSlow { .. }
        )
    }

    /// Whether it happens at one moment: its end means nothing.
    pub fn is_instant(&self) -> bool {
        matches!(
            self,
            FaultKind::BalancerRestart { .. }
                | FaultKind::ListMove
                | FaultKind::StateLost
                | FaultKind::StateOld { .. }
                | FaultKind::StateTorn { .. }
                | FaultKind::StateForeign
                | FaultKind::ClockStep { .. }
        )
    }
}

/// Which way a fault of links goes, as seen from those that it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// What they say and what they are told.
    Both,
    /// What they say.
    Out,
    /// What they are told.
    In,
}

/// Which nodes or balancers a fault strikes: those that satisfy all that is said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Of those that the rest allows, drawn at random.
    pub share: Option<f64>,
    /// Of this zone, by index.
    pub zone: Option<usize>,
    /// Of this cell; balancers are in none.
    pub cell: Option<u32>,
    /// These, by their place in the fleet or their number in the bank.
    pub places: Option<Vec<usize>>,
}

impl Fleet {
    /// Zone of the node at this place: they alternate.
    pub fn zone_of(&self, node: usize) -> usize {
        node % self.zones.len()
    }

    /// Cell of the node at this place; no two zones share a number.
    pub fn cell_of(&self, node: usize) -> u32 {
        let zones = self.zones.len();
        let (zone, place) = (node % zones, node / zones);
        ((place / self.cell_size) * zones + zone) as u32
    }
}

impl Fleet {
    /// How many cells there are; their numbers are below it.
    pub fn cells(&self) -> usize {
        (0..self.nodes).map(|n| self.cell_of(n) as usize + 1).max().unwrap_or(0)
    }
}

impl Cluster {
    /// Whether its balancers agree on rules.
    pub fn agrees(&self) -> bool {
        self.peers && !self.policy.is_off
    }

    /// Zone of the balancer of this number: they alternate.
    pub fn zone_of(&self, balancer: usize, fleet: &Fleet) -> usize {
        balancer % fleet.zones.len()
    }
}

impl Scenario {
    /// Reads a scenario. `file` is how messages call it.
    ///
    /// # Errors
    /// Everything that is wrong with it, each with its line, in the order of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Problems> {
        read::read(file, text)
    }
}

impl Scenario {
    /// Work of a request, in the mean over all classes.
    pub fn mean_work(&self) -> f64 {
        let shares = self.classes.iter().map(|c| c.share).sum::<f64>();
        self.classes.iter().map(|c| c.work_ms * c.share).sum::<f64>() / shares.max(1e-9)
    }

    /// What balancers are told of cold nodes of any kind: the least share that one starts at, and when each is warm.
    pub fn advertised_warm_up(&self) -> (f64, Duration) {
        let machine_types = &self.fleet.machine_types;
        let cold = machine_types.iter().map(|k| k.cold).max().unwrap_or_default();
        (machine_types.iter().map(|k| k.cold_from).fold(1.0, f64::min), cold)
    }
}

/// Requests of the mean work that a cold node bears, where its budget is `n` of them: twice the root of that, and two
/// more, are put down to chance.
pub fn cold_node_limit(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// The work that presses on a cold node, where `mean` is that of a request. The largest request counts as one of the
/// mean work at most: nobody can know what a request will cost before it has run, so that one heavy one is chance; a
/// second one is not.
pub fn counted_work(work: impl Iterator<Item = f64>, mean: f64) -> f64 {
    let (sum, most) = work.fold((0.0, 0.0), |(sum, most), w| (sum + w, f64::max(most, w)));
    sum - most + f64::min(most, mean)
}
