//! The description of a rehearsal: upstreams, balancers, classes, load and faults. Plain data, which [`Scenario::read`]
//! reads from a TOML file; [`crate::plan`] generates the random parts.

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

/// A scenario. Every time is a length from the first request; work is in milliseconds of one core of speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// One-line description for readers.
    pub about: String,
    /// How long clients send requests; the run goes on until all are answered.
    pub length: Duration,
    /// The fleet of upstreams.
    pub fleet: Fleet,
    /// The cluster of balancers.
    pub cluster: Cluster,
    /// Behaviour of clients.
    pub clients: Clients,
    /// User sessions that the requests belong to, and that move between zones; `None` for requests without sessions.
    pub sessions: Option<UserSessions>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Rate of requests over time.
    pub load: Load,
    /// Discovery service that lists the upstreams.
    pub list: ListService,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Operator actions on the routing policy.
    pub policy_actions: Vec<PolicyAction>,
    /// Expected results. A run that misses one is reported with the shortfall.
    pub expect: Expect,
}

/// Expected results of a scenario. A limit of `None` is not checked. Ratios compare a run's worst second with the 99th
/// percentile of the seconds of its control run, which has the same plan without faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expect {
    /// Longest time to full service after a fault, or after faults that overlap.
    pub full_service: Option<Duration>,
    /// Largest ratio of connects to nodes.
    pub connects_times: Option<f64>,
    /// Largest ratio of calls to the node list.
    pub list_calls_times: Option<f64>,
    /// Largest ratio of attempts.
    pub attempts_times: Option<f64>,
    /// Largest ratio of datagrams between balancers.
    pub datagrams_times: Option<f64>,
    /// Largest share of requests that were rejected while a usable node was idle.
    pub contention_share: Option<f64>,
    /// Largest number of sends to nodes that the balancer knew to take nothing new.
    pub stale: Option<u64>,
    /// Least service of the run as a whole.
    pub service: Option<f64>,
    /// Largest number of keyed effects that ran in more than one cell.
    pub ran_twice: Option<u64>,
    /// Least share of a session's runs that took place in the cell of its previous run.
    pub in_previous_cell: Option<f64>,
    /// Longest time during which two balancers acted on contradicting revisions.
    pub contradiction: Option<Duration>,
    /// Longest time from the commit of a revision until it was in force at every healthy balancer.
    pub in_force: Option<Duration>,
}

/// The fleet of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Names of the zones. Nodes and balancers are spread over them evenly.
    pub zones: Vec<String>,
    /// Number of nodes at the start.
    pub nodes: usize,
    /// Number of nodes of a cell; the nodes of a cell are in one zone and share the keys that they have seen.
    pub cell_size: usize,
    /// Machine types.
    pub machine_types: Vec<MachineType>,
    /// One-way network delay inside a zone. Virtual runs only: the loopback network has none.
    pub same_zone: Duration,
    /// One-way network delay between zones. Virtual runs only.
    pub cross_zone: Duration,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name in the node list.
    pub name: String,
    /// Share of the fleet, relative to the shares of the other machine types.
    pub share: f64,
    /// Number of cores: requests that run at full speed at the same time.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// Coefficient of variation of the speed between machines.
    pub speed_cv: f64,
    /// Largest number of concurrent requests; they share the cores evenly.
    pub slots: u32,
    /// Largest number of requests that wait for a slot; further requests are rejected.
    pub queue: u32,
    /// Number of requests in flight for each core above which contention reduces the speed.
    pub contention_threshold: f64,
    /// Share of the speed lost for each further request a core.
    pub contention_loss: f64,
    /// Capacity right after a start, as a share of the full capacity.
    pub cold_from: f64,
    /// Longest time until a started node is warm; completed work shortens it.
    pub cold: Duration,
    /// Largest number of connections; a request on a further connection is rejected.
    pub connections: u32,
    /// Work of accepting a connection.
    pub handshake_ms: f64,
    /// Share of requests that are answered with 500 after they have run.
    pub error_rate: f64,
}

/// The cluster of balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Number of balancers.
    pub count: usize,
    /// Memory that each balancer is configured with.
    pub memory_mb: u32,
    /// Number of file descriptors that each balancer is configured with.
    pub sockets: u32,
    /// How long the front end goes on sending to a balancer that has died.
    pub notice: Duration,
    /// Subset of the fleet that each balancer connects to: its size as a multiple of an even share, and the least number
    /// of nodes of each zone. `None` for the whole fleet.
    pub subset: Option<(f64, u32)>,
    /// Whether balancers may send one another datagrams.
    pub peers: bool,
    /// Whether each balancer has a state directory that outlives its process, and an admin API. Otherwise `$TMPDIR` is
    /// empty at each start, as on the platform.
    pub persists_state: bool,
    /// Settings of the replicated routing policy.
    pub policy: PolicySettings,
}

/// Behaviour of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Share of requests whose client leaves before the answer.
    pub abandon_share: f64,
    /// Largest number of connections that the clients of one balancer open for requests.
    pub connections: u32,
    /// How clients repeat requests that were not served.
    pub repeats: Repeats,
}

/// How clients repeat requests. A repeat is a request of its own, with a new id and the rest of the original deadline. A
/// request that may have run is repeated only if a second run is safe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Repeats {
    /// Share of clients that repeat requests.
    pub share: f64,
    /// Largest number of repeats of a request.
    pub max_repeats: u32,
    /// Whether clients wait for the time that `Retry-After` gives.
    pub honors_retry_after: bool,
    /// Mean wait without `Retry-After`, or where clients ignore it. The actual wait is 0.5 to 1.5 times as long.
    pub wait: Duration,
    /// Whether repeats carry the header `X-Retry: 1`.
    pub marked: bool,
}

/// Effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no further effect.
    Safe,
    /// The nodes of one group drop repeats for a while.
    Keyed,
    /// A repeat has its effect again.
    Unsafe,
}

/// Nodes that drop one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Value of the `X-Class` header.
    pub name: String,
    /// Share of the requests, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work of a request, in milliseconds.
    pub work_ms: f64,
    /// Coefficient of variation of the work, which is lognormally distributed.
    pub work_cv: f64,
    /// Latency objective: an answer within it counts with the full priority weight.
    pub latency_objective: Duration,
    /// How long clients wait for an answer.
    pub deadline: Duration,
    /// Weight of a served request.
    pub priority_weight: f64,
    /// Share of the weight for an answer after the latency objective.
    pub late_weight: f64,
    /// Effect of a repeat.
    pub effect: Effect,
    /// For a keyed class: the group of nodes that drop repeats.
    pub group: Group,
    /// For a keyed class: how long repeats are dropped.
    pub window: Duration,
}

/// Shape of the load over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Constant rate.
    Steady,
    /// Slow sine waves.
    Wave,
    /// Short bursts at random.
    Bursty,
    /// Linear increase.
    Ramp,
    /// One broad maximum in the middle.
    Round,
}

/// Load of client requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Mean requested work, as a share of the capacity of the warm fleet.
    pub of_capacity: f64,
    /// Shape of the load over time.
    pub shape: Shape,
    /// Amplitude of the load, as a share of the mean.
    pub swing: f64,
    /// Closed loop, which replaces rate and shape: clients send one request after another.
    pub closed: Option<Closed>,
}

/// Closed loop of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed {
    /// Number of clients, each with at most one request in flight.
    pub clients: u32,
    /// Pause of a client between the end of one request and the next.
    pub pause: Duration,
}

/// The node list: a discovery service that all balancers share, and whose updates are late.
#[derive(Clone, Debug, PartialEq)]
pub struct ListService {
    /// Whether balancers call the list; otherwise an agent on their machine pushes updates to them.
    pub asked: bool,
    /// Time from the end of a process until the list records it.
    pub notice: Duration,
    /// Time from the silence of a machine until the list records it.
    pub silent_notice: Duration,
    /// Time from the start of a process until the list has an entry for it.
    pub add: Duration,
    /// Interval at which changes are sent.
    pub period: Duration,
    /// Duration of one call; the calls of all balancers are handled one after another.
    pub call: Duration,
    /// Longest wait of a call; a call that would wait longer fails.
    pub call_timeout: Duration,
    /// Interval at which nodes report their load.
    pub report_period: Duration,
    /// Delay of the load reports.
    pub report_delay: Duration,
    /// Noise of the load reports, as a share of the load.
    pub report_noise: f64,
}

/// Parameters of the four rules, and time limits of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Rule 2: largest number of attempts of one request.
    pub max_attempts: usize,
    /// Rule 3: time within which sends to a node that drains or is gone must end.
    pub drain_grace: Duration,
    /// Rule 4: multiple of its present capacity above which a node that is warming up fails.
    pub fall_multiple: f64,
    /// Rule 4: window of time over which the work sent to that node is summed.
    pub tip_after: Duration,
    /// Where balancers call the list: time without contact after which a balancer counts as informed of a change.
    pub ask_every: Duration,
    /// Longest `Retry-After` that clients honor.
    pub max_retry_after: Duration,
    /// Time limit of establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which idle connections to nodes close.
    pub keepalive: Duration,
}

/// An injected fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Begin of the fault, from the first request.
    pub start: Duration,
    /// Duration of the fault.
    pub length: Duration,
    /// Selected nodes or balancers, for the kinds that affect some.
    pub selection: Selection,
    /// Name of the group. Faults of one group affect the same nodes, and the same balancers.
    pub group: Option<String>,
    /// Line of the fault in the scenario file.
    pub line: usize,
}

/// Kind of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The process dies, and starts cold at the end.
    Die,
    /// The machine falls silent, and starts cold at the end.
    Vanish,
    /// The node is out of reach of some balancers, as after a network partition.
    Unreachable {
        /// Numbers of these balancers.
        balancers: Vec<usize>,
    },
    /// The node drains. At the end it is gone, and a cold node replaces it under the same id.
    Drain,
    /// The node dies for good. At the end a cold machine under a new id replaces it.
    Replace {
        /// Whether the replacement has the address of the old node.
        same_address: bool,
    },
    /// The node runs slower.
    Slow {
        /// Factor of the slowdown, above 1.
        factor: f64,
    },
    /// The node sends unreadable answers.
    Spoil {
        /// Share of unreadable answers, 0 to 1.
        share: f64,
    },
    /// The node list is out of reach.
    ListDown,
    /// Updates of the node list are late.
    ListLate {
        /// Delay in addition to the usual one.
        by: Duration,
    },
    /// The node list answers, and records no changes.
    ListStale,
    /// Updates of the node list are duplicated or reordered.
    ListDisorder,
    /// Clients send more requests.
    Burst {
        /// Factor of the request rate, above 1.
        factor: f64,
    },
    /// Some requests of one class take much more work.
    Heavy {
        /// Index of the class.
        class: usize,
        /// Share of the class's requests.
        share: f64,
        /// Factor of the work.
        factor: f64,
    },
    /// Balancers are killed, and started again at the end.
    BalancerKill {
        /// Time from the first to the last balancer, for kills and starts alike.
        spread: Duration,
        /// Repeats the kill until the end: time for which a balancer stays down, and time after which it is killed again.
        cycle: Option<(Duration, Duration)>,
    },
    /// Planned restart: balancers get SIGTERM, and are started again once they have ended.
    BalancerRestart {
        /// Time from the first to the last balancer.
        spread: Duration,
    },
    /// Balancers are suspended, and resumed at the end: SIGSTOP and SIGCONT.
    BalancerPause,
    /// No datagrams pass between these balancers and the others.
    LinksCut {
        /// Direction of the datagrams that are dropped.
        direction: LinkDirection,
        /// Share of the ordered pairs of balancers whose links stay open.
        open_share: f64,
    },
    /// Datagrams of these balancers pass through a bad network.
    LinksBad {
        /// Direction of the datagrams that are affected.
        direction: LinkDirection,
        /// Loss, delay and damage of the network.
        trouble: Trouble,
    },
    /// The node list sends nothing to these balancers.
    ListCut,
    /// The stored state of these balancers is lost.
    StateLost,
    /// The stored state is replaced by an older copy.
    StateOld {
        /// Age of the copy.
        age: Duration,
    },
    /// Every stored file is damaged.
    StateTorn {
        /// Whether a byte is changed; otherwise the file is truncated.
        flipped: bool,
    },
    /// The stored state is replaced by that of another balancer.
    StateForeign,
    /// The disk is full, so that nothing can be stored. Virtual runs only.
    StateFull,
    /// Writes to the disk are slow. Virtual runs only.
    StateSlow {
        /// Duration of a write.
        by: Duration,
    },
    /// The wall clocks of the balancers step. Virtual runs only: all processes of a machine have one clock.
    ClockStep {
        /// Size of the step in milliseconds; negative steps go back.
        by_ms: i64,
    },
    /// The node list moves to another address; balancers are notified by SIGHUP.
    ListMove,
}

impl FaultKind {
    /// Returns the name in scenario files.
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

    /// Returns whether the fault affects nodes, and so needs a selection of them.
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
    /// Returns whether the fault affects balancers, their stored state or the links between them, and so needs a selection
    /// of balancers.
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

    /// Returns why a live run cannot have the fault; `None` if it can.
    pub fn virtual_only(&self) -> Option<&'static str> {
        match self {
            FaultKind::ClockStep { .. } => Some("all processes of a machine have one clock"),
            FaultKind::StateFull | FaultKind::StateSlow { .. } => {
                Some("a disk of its own that is full or slow takes privileges")
            }
            _ => None,
        }
    }

    /// Returns whether the fault affects the stored state of balancers.
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

    /// Returns whether the fault happens at one moment, so that its end has no meaning.
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

/// Direction of the datagrams that a fault of links affects, seen from the selected balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Sent and received datagrams.
    Both,
    /// Sent datagrams.
    Out,
    /// Received datagrams.
    In,
}

/// Selection of nodes or balancers: those that match all given fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Share of the members that the other fields allow, chosen at random.
    pub share: Option<f64>,
    /// Index of the zone.
    pub zone: Option<usize>,
    /// Number of the cell; balancers are in no cell.
    pub cell: Option<u32>,
    /// Indexes of the nodes, or numbers of the balancers.
    pub places: Option<Vec<usize>>,
}

impl Fleet {
    /// Returns the zone of a node. Successive nodes alternate between the zones.
    pub fn zone_of(&self, node: usize) -> usize {
        node % self.zones.len()
    }

    /// Returns the cell of a node. Cell numbers are unique across zones.
    pub fn cell_of(&self, node: usize) -> u32 {
        let zones = self.zones.len();
        let (zone, place) = (node % zones, node / zones);
        ((place / self.cell_size) * zones + zone) as u32
    }
}

impl Fleet {
    /// Returns the number of cells. The numbers of the cells are below it.
    pub fn cells(&self) -> usize {
        (0..self.nodes).map(|n| self.cell_of(n) as usize + 1).max().unwrap_or(0)
    }
}

impl Cluster {
    /// Returns whether the balancers replicate a routing policy.
    pub fn agrees(&self) -> bool {
        self.peers && !self.policy.is_off
    }

    /// Returns the zone of a balancer. Successive balancers alternate between the zones.
    pub fn zone_of(&self, balancer: usize, fleet: &Fleet) -> usize {
        balancer % fleet.zones.len()
    }
}

impl Scenario {
    /// Reads a scenario. `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, each with its line, in the order of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Problems> {
        read::read(file, text)
    }
}

impl Scenario {
    /// Returns the mean work of a request over all classes, in milliseconds.
    pub fn mean_work(&self) -> f64 {
        let shares = self.classes.iter().map(|c| c.share).sum::<f64>();
        self.classes.iter().map(|c| c.work_ms * c.share).sum::<f64>() / shares.max(1e-9)
    }

    /// Returns the warm-up that balancers are configured with for all machine types: the least capacity share at a start,
    /// and the longest time until a node is warm.
    pub fn advertised_warm_up(&self) -> (f64, Duration) {
        let machine_types = &self.fleet.machine_types;
        let cold = machine_types.iter().map(|k| k.cold).max().unwrap_or_default();
        (machine_types.iter().map(|k| k.cold_from).fold(1.0, f64::min), cold)
    }
}

/// Returns how many requests of the mean work a node that is warming up may be sent, if its budget is `n` such requests.
/// Random arrivals are allowed for by twice the square root of the budget and two more requests.
pub fn cold_node_limit(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// Returns the sent work that counts against the limit of a node that is warming up; `mean` is the mean work of a request.
/// The largest request counts as the mean work at most: its work is unknown before it has run, so that one heavy request
/// is chance. A second one is not.
pub fn counted_work(work: impl Iterator<Item = f64>, mean: f64) -> f64 {
    let (sum, most) = work.fold((0.0, 0.0), |(sum, most), w| (sum + w, f64::max(most, w)));
    sum - most + f64::min(most, mean)
}
