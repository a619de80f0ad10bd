//! A deterministic simulation of a cluster on one thread: the state machines of the daemon with a simulated network,
//! simulated disks and drifting clocks. `safety_checker` and `history` decide what counts as a violation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use hollowpaddle_consensus::DurableState;
use hollowpaddle_consensus::ReplicaStatus;
use hollowpaddle_gateway::cluster::machine::{Action, Event, Machine, ProposalResult, Setup};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::{ClassFacts, FleetFacts, Group};
use hollowpaddle_revision::in_force::InForce;
use hollowpaddle_revision::message::Generation;
use hollowpaddle_revision::policy_state::Bootstrap;
use oorandom::Rand64;

use crate::safety_checker::SafetyChecker;

/// Returns a duration of this many milliseconds.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Datagrams that wait for a paused process: the size of its socket's buffer. Further datagrams are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 400;
/// Cells of the simulated upstreams, numbered from 1. Cell 1 is the mandatory fallback, cells 1 and 4 are the fallback
/// policy.
pub const CELLS: u32 = 6;

/// Parameters of a simulated cluster.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of balancers.
    pub size: u16,
    /// The initial voters.
    pub voters: Vec<u16>,
    /// Whether nodes have directories, and restart with the state in them.
    pub has_directories: bool,
    /// Share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Longest random delay of a datagram in addition to 1 ms.
    pub max_extra_delay: Duration,
    /// Whether 1 in 100 datagrams is delayed by up to 400 ms more, and 1 in 100 is duplicated.
    pub delays_and_duplicates: bool,
    /// Whether clocks run faster or slower by up to 5 in 1,000, so that two clocks differ by up to 1 in 100.
    pub clock_drift: bool,
}

impl SimulationConfig {
    /// Returns parameters without faults and with the default voters.
    pub fn without_faults(seed: u64, size: u16) -> Self {
        let voters = hollowpaddle_consensus::default_voters(size).iter().map(|m| m.0).collect();
        Self {
            seed,
            size,
            voters,
            has_directories: false,
            loss: 0.0,
            max_extra_delay: ms(14),
            delays_and_duplicates: false,
            clock_drift: true,
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Datagram { to: u16, from: u16, bytes: Vec<u8> },
    Due { node_id: u16, incarnation: u32 },
    Start { node_id: u16 },
}

/// State that survives the end of a process.
#[derive(Clone, Debug, Default)]
struct Disk {
    replica: DurableState,
    fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Traffic that one balancer has sent: in total, and in its worst second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentTraffic {
    /// Datagrams since the last [`SimulatedCluster::reset_traffic`].
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
    /// Most datagrams in one second.
    pub worst_second_datagrams: u64,
    /// Most bytes in one second.
    pub worst_second_bytes: u64,
    current_second: u64,
    sent_in_current_second: (u64, u64),
}

/// One simulated balancer.
pub struct Node {
    /// The state machine of the running process, if any.
    pub machine: Option<Machine>,
    /// The published policy, which requests read.
    pub published: Option<InForce>,
    /// Number of processes started so far.
    pub incarnation: u32,
    /// The process is paused until this time.
    pub paused_until: Duration,
    /// Traffic that this balancer has sent.
    pub sent: SentTraffic,
    started_at: Duration,
    /// Rate of the node's clock relative to simulated time, in millionths.
    clock_rate: u32,
    timer: Option<Duration>,
    buffered: usize,
    disk: Disk,
}

impl Node {
    /// Returns the time on the node's own clock.
    pub fn local_time(&self, now: Duration) -> Duration {
        let nanos = now.saturating_sub(self.started_at).as_nanos() * u128::from(self.clock_rate)
            / 1_000_000;
        Duration::from_nanos(nanos as u64)
    }
    /// Converts a time of the node's own clock to simulated time.
    fn simulation_time(&self, local_time: Duration) -> Duration {
        let nanos = local_time.as_nanos() * 1_000_000 / u128::from(self.clock_rate) + 2;
        self.started_at + Duration::from_nanos(nanos as u64)
    }
    /// Returns whether the node's replica has its durable state, and so knows its promises.
    pub fn has_replica_state(&self) -> bool {
        let is_without_state = |s| {
            matches!(
                s,
                ReplicaStatus::WithoutState | ReplicaStatus::Recovering | ReplicaStatus::DiskFailed
            )
        };
        self.machine.as_ref().is_some_and(|m| !is_without_state(m.replica().advertised_status()))
    }
}

/// A simulated cluster.
pub struct SimulatedCluster {
    /// Its parameters.
    pub config: SimulationConfig,
    /// Simulated time since the start.
    pub now: Duration,
    /// All balancers, by node id.
    pub nodes: Vec<Node>,
    /// Cut links as (sender, recipient). A cut applies to one direction.
    pub cut_links: BTreeSet<(u16, u16)>,
    /// Results of proposals and queries with the time of arrival, by ticket.
    pub proposal_results: BTreeMap<u64, (Duration, ProposalResult)>,
    /// Checks the safety properties during the run.
    pub checker: SafetyChecker,
    /// Random number generator of the simulation, also used by its drivers.
    pub rng: Rand64,
    /// A process crashes between two actions of one event, once in this many events; 0 means never.
    pub events_per_crash: u64,
    event_queue: BinaryHeap<Reverse<(Duration, u64, ScheduledEvent)>>,
    scheduled_events: u64,
    last_ticket: u64,
    last_checked_at: Duration,
    /// Events after which a running machine had no timer, so that only a datagram would wake it.
    pub events_without_timer: u64,
    /// A machine without a timer is woken after this time; `None` leaves it asleep, as the daemon's event loop does.
    pub wakeup_without_timer: Option<Duration>,
    /// Longest interval between two checks while nothing changes.
    pub check_interval: Duration,
}

impl SimulatedCluster {
    /// Creates a cluster in which all processes start within 100 ms.
    pub fn new(config: SimulationConfig) -> Self {
        let mut rng = Rand64::new(u128::from(config.seed) << 8 | 0x57);
        let nodes: Vec<Node> = (0..config.size)
            .map(|_| Node {
                machine: None,
                published: None,
                incarnation: 0,
                paused_until: Duration::ZERO,
                sent: SentTraffic::default(),
                started_at: Duration::ZERO,
                clock_rate: if config.clock_drift {
                    (995_000 + rng.rand_range(0..10_000)) as u32
                } else {
                    1_000_000
                },
                timer: None,
                buffered: 0,
                disk: Disk::default(),
            })
            .collect();
        let mut cluster = Self {
            now: Duration::ZERO,
            checker: SafetyChecker::new(config.size),
            nodes,
            cut_links: BTreeSet::new(),
            proposal_results: BTreeMap::new(),
            rng,
            events_per_crash: 0,
            event_queue: BinaryHeap::new(),
            scheduled_events: 0,
            last_ticket: 0,
            last_checked_at: Duration::ZERO,
            events_without_timer: 0,
            wakeup_without_timer: Some(ms(100)),
            check_interval: ms(10),
            config,
        };
        for node_id in 0..cluster.config.size {
            let after = ms(cluster.random_below(100));
            cluster.start_after(node_id, after);
        }
        cluster
    }

    /// Returns a random number below this bound.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound.max(1))
    }

    fn schedule(&mut self, due: Duration, event: ScheduledEvent) {
        self.scheduled_events += 1;
        self.event_queue.push(Reverse((due, self.scheduled_events, event)));
    }

    /// Ends a process. State that is not on disk is lost.
    pub fn crash(&mut self, node_id: u16) {
        let node = &mut self.nodes[usize::from(node_id)];
        (node.machine, node.published, node.timer) = (None, None, None);
        node.paused_until = Duration::ZERO;
        self.checker.node_stopped(node_id);
    }

    /// Starts a process after this delay, unless it runs by then.
    pub fn start_after(&mut self, node_id: u16, after: Duration) {
        self.schedule(self.now + after, ScheduledEvent::Start { node_id });
    }

    /// Pauses a process for this time.
    pub fn pause(&mut self, node_id: u16, time: Duration) {
        self.nodes[usize::from(node_id)].paused_until = self.now + time;
        self.checker.node_stopped(node_id);
    }

    /// Cuts all links to and from this node.
    pub fn isolate(&mut self, node_id: u16) {
        for other in 0..self.config.size {
            self.cut_links.insert((node_id, other));
            self.cut_links.insert((other, node_id));
        }
    }

    fn start(&mut self, node_id: u16) {
        let (seed, now) = (self.random_below(u64::MAX), self.now);
        let config = &self.config;
        let node = &mut self.nodes[usize::from(node_id)];
        if node.machine.is_some() {
            return;
        }
        node.incarnation += 1;
        node.started_at = now;
        let fallback_policy = |cells: &[u32]| FallbackPolicy {
            cells: cells.iter().copied().collect(),
            attempts: 1,
            ..FallbackPolicy::default()
        };
        let setup = Setup {
            node_id: NodeId(node_id),
            cluster_size: config.size,
            // Incarnations are random, so they don't increase.
            incarnation: Incarnation((seed as u32).max(1)),
            seed,
            voters: config.voters.iter().copied().map(NodeId).collect(),
            bootstrap: Bootstrap {
                members: config.size,
                mandatory_fallback: fallback_policy(&[1]),
                fallback_policy: fallback_policy(&[1, 4]),
                document: Document { attempts: 3, ..Document::default() },
            },
            mandatory_fallback: fallback_policy(&[1]),
            cells: BTreeMap::new(),
            has_durable_log: config.has_directories,
            replica_state: config.has_directories.then(|| node.disk.replica.clone()),
            fallback_policy: if config.has_directories {
                node.disk.fallback_policy.clone()
            } else {
                None
            },
        };
        // The parameters describe a valid cluster: members and numbers are within the bounds of each machine.
        let machine = Machine::new(Duration::ZERO, setup).expect("parameters of a valid cluster");
        node.published = Some(machine.in_force());
        node.machine = Some(machine);
        self.handle_event(node_id, Event::Due);
    }

    /// Handles an event and all actions and events that follow from it, as the daemon's event loop does.
    fn handle_event(&mut self, node_id: u16, event: Event<'_>) {
        let mut actions = Vec::new();
        self.deliver_to_machine(node_id, event, &mut actions);
        let crashes = self.events_per_crash > 0
            && self.random_below(self.events_per_crash) == 0
            && self.may_crash(node_id);
        let mut remaining_actions = if crashes { self.random_below(4) } else { u64::MAX };
        let mut follow_up_events = Vec::new();
        while !actions.is_empty() {
            for action in actions.drain(..) {
                if remaining_actions == 0 {
                    self.crash(node_id);
                    let after = ms(self.random_below(1500));
                    self.start_after(node_id, after);
                    return;
                }
                remaining_actions -= 1;
                follow_up_events.extend(self.execute_action(node_id, action));
            }
            for event in follow_up_events.drain(..) {
                self.deliver_to_machine(node_id, event, &mut actions);
            }
        }
        let node = &self.nodes[usize::from(node_id)];
        if node.machine.is_some() && node.timer.is_none() {
            self.events_without_timer += 1;
            if let Some(after) = self.wakeup_without_timer {
                let (due, incarnation) = (self.now + after, node.incarnation);
                self.nodes[usize::from(node_id)].timer = Some(due);
                self.schedule(due, ScheduledEvent::Due { node_id, incarnation });
            }
        }
        self.check_after_event(node_id);
    }

    /// Returns whether this node may crash: a majority of the voters keeps its state then. A node without a directory
    /// loses its state in a crash.
    pub fn may_crash(&self, node_id: u16) -> bool {
        let voters = self.voters();
        let lacks_state =
            |m: &&u16| **m == node_id || !self.nodes[usize::from(**m)].has_replica_state();
        !voters.contains(&node_id) || voters.iter().filter(lacks_state).count() * 2 < voters.len()
    }

    /// Returns the latest voter set that a node with replica state knows.
    pub fn voters(&self) -> Vec<u16> {
        let machines =
            self.nodes.iter().filter(|n| n.has_replica_state()).filter_map(|n| n.machine.as_ref());
        let latest =
            machines.map(|m| m.replica().voter_set()).max_by_key(|voter_set| voter_set.changed_at);
        latest.map_or(self.config.voters.clone(), |voter_set| {
            voter_set.voters.iter().map(|id| id.0).collect()
        })
    }

    fn deliver_to_machine(&mut self, node_id: u16, event: Event<'_>, actions: &mut Vec<Action>) {
        let node = &mut self.nodes[usize::from(node_id)];
        let local_time = node.local_time(self.now);
        if let Some(machine) = &mut node.machine {
            machine.handle(local_time, event, actions);
        }
    }

    fn execute_action(&mut self, node_id: u16, action: Action) -> Option<Event<'static>> {
        let node = &mut self.nodes[usize::from(node_id)];
        match action {
            Action::Transmit { to, bytes } => self.transmit(node_id, to.0, bytes),
            Action::WakeAt(due) => {
                let due = node.simulation_time(due).max(self.now);
                node.timer = Some(due);
                let incarnation = node.incarnation;
                self.schedule(due, ScheduledEvent::Due { node_id, incarnation });
            }
            Action::Publish(in_force) => node.published = Some(in_force),
            Action::Persist { number, record } => {
                node.disk.replica.apply(number, record);
                return Some(Event::Persisted(number));
            }
            Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                node.disk.fallback_policy = Some((fallback_generation, fallback_policy));
                return Some(Event::FallbackPolicyPersisted(fallback_generation));
            }
            Action::ProposalResult { ticket, answer } => {
                let previous = self.proposal_results.insert(ticket, (self.now, answer.clone()));
                if let Some((_, first_answer)) = previous {
                    self.checker.report_violation(
                        self.now,
                        format!("node {node_id} answers ticket {ticket} twice: {first_answer:?}, {answer:?}"),
                    );
                }
            }
            // Endpoint lists are not simulated.
            Action::Stop(_) | Action::RefreshList | Action::Log(_) => {}
        }
        None
    }

    fn transmit(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        let current_second = self.now.as_secs();
        let sent = &mut self.nodes[usize::from(from)].sent;
        if sent.current_second != current_second {
            (sent.current_second, sent.sent_in_current_second) = (current_second, (0, 0));
        }
        let length = bytes.len() as u64;
        (sent.datagrams, sent.bytes) = (sent.datagrams + 1, sent.bytes + length);
        sent.sent_in_current_second =
            (sent.sent_in_current_second.0 + 1, sent.sent_in_current_second.1 + length);
        sent.worst_second_datagrams =
            sent.worst_second_datagrams.max(sent.sent_in_current_second.0);
        sent.worst_second_bytes = sent.worst_second_bytes.max(sent.sent_in_current_second.1);
        let lost = self.rng.rand_float() < self.config.loss;
        if lost || self.cut_links.contains(&(from, to)) || to >= self.config.size {
            return;
        }
        let max_extra_micros = self.config.max_extra_delay.as_micros() as u64;
        let mut after = ms(1) + Duration::from_micros(self.random_below(max_extra_micros));
        if self.config.delays_and_duplicates && self.random_below(100) == 0 {
            after += ms(self.random_below(400));
        }
        if self.config.delays_and_duplicates && self.random_below(100) == 0 {
            let duplicate_after = after + ms(self.random_below(300));
            self.schedule(
                self.now + duplicate_after,
                ScheduledEvent::Datagram { to, from, bytes: bytes.clone() },
            );
        }
        self.schedule(self.now + after, ScheduledEvent::Datagram { to, from, bytes });
    }

    /// Passes the node's new state to the safety checker, and checks all nodes if that state changed.
    fn check_after_event(&mut self, node_id: u16) {
        if self.checker.observe_node(node_id, self.now, &self.nodes[usize::from(node_id)]) {
            self.check_all();
        }
    }

    fn check_all(&mut self) {
        self.last_checked_at = self.now;
        self.checker.check(self.now, &self.nodes);
    }

    /// Advances simulated time to this moment.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((due, _, _))) = self.event_queue.peek()
            && *due <= until
        {
            let Some(Reverse((due, _, event))) = self.event_queue.pop() else { break };
            self.now = self.now.max(due);
            if self.now >= self.last_checked_at + self.check_interval {
                self.check_all();
            }
            self.process_event(event);
        }
        self.now = self.now.max(until);
    }

    /// Advances simulated time by this duration.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Advances simulated time while the condition holds, evaluated every 5 ms. Returns the elapsed time, or `None` if
    /// the condition still holds at the limit.
    pub fn run_while(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while condition(self) {
            if self.now >= started_at + limit {
                return None;
            }
            self.run_for(ms(5));
        }
        Some(self.now - started_at)
    }

    fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Start { node_id } => self.start(node_id),
            ScheduledEvent::Due { node_id, incarnation } => {
                let node = &mut self.nodes[usize::from(node_id)];
                if node.incarnation != incarnation || node.timer.is_none_or(|due| due > self.now) {
                    return;
                }
                if node.paused_until > self.now {
                    let resumes_at = node.paused_until;
                    self.schedule(resumes_at, ScheduledEvent::Due { node_id, incarnation });
                    return;
                }
                node.timer = None;
                self.handle_event(node_id, Event::Due);
            }
            ScheduledEvent::Datagram { to, from, bytes } => {
                let node = &mut self.nodes[usize::from(to)];
                if node.machine.is_none() {
                    return;
                }
                if node.paused_until > self.now {
                    node.buffered += 1;
                    if node.buffered <= SOCKET_BUFFER_DATAGRAMS {
                        let resumes_at = node.paused_until;
                        self.schedule(resumes_at, ScheduledEvent::Datagram { to, from, bytes });
                    }
                    return;
                }
                node.buffered = 0;
                self.handle_event(to, Event::Datagram { from: Some(NodeId(from)), bytes: &bytes });
            }
        }
    }

    // Operators' calls.

    /// Returns a ticket that is never issued twice.
    pub fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Returns whether this node accepts calls now.
    pub fn accepts_calls(&self, node_id: u16) -> bool {
        let node = &self.nodes[usize::from(node_id)];
        node.machine.is_some() && node.paused_until <= self.now
    }

    /// Proposes an entry at this node and returns the ticket.
    pub fn propose(&mut self, node_id: u16, id: Option<CommandId>, entry: Entry) -> u64 {
        let ticket = self.next_ticket();
        if self.accepts_calls(node_id) {
            self.handle_event(node_id, Event::Propose { ticket, id, entry });
        }
        ticket
    }

    /// Queries the outcome of a command at this node.
    pub fn query_outcome(&mut self, node_id: u16, id: CommandId) -> Option<ProposalResult> {
        let ticket = self.next_ticket();
        if self.accepts_calls(node_id) {
            self.handle_event(node_id, Event::QueryOutcome { ticket, id });
        }
        self.proposal_results.get(&ticket).map(|(_, answer)| answer.clone())
    }

    /// Returns the leader, if exactly one running balancer leads.
    pub fn leader(&self) -> Option<u16> {
        let is_leader = |n: &&Node| {
            n.paused_until <= self.now
                && n.machine.as_ref().is_some_and(|m| m.replica().leader() == Some(m.node_id()))
        };
        let mut leaders = self.nodes.iter().filter(is_leader).filter_map(|n| n.machine.as_ref());
        let leader = leaders.next()?;
        leaders.next().is_none().then_some(leader.node_id().0)
    }

    /// Restores all links, ends losses, delays and crashes, and starts the processes that do not run.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.config.loss = 0.0;
        self.config.delays_and_duplicates = false;
        self.events_per_crash = 0;
        for node_id in 0..self.config.size {
            self.start_after(node_id, Duration::ZERO);
        }
    }

    /// Resets the traffic counters of all nodes.
    pub fn reset_traffic(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.sent = SentTraffic::default());
    }
}

/// Returns the facts of the simulated upstreams: cells 1 to 3 are in zone `bilbao`, 4 to 6 in `oviedo`; two classes;
/// each cell has capacity for all load.
pub fn fleet_facts() -> FleetFacts {
    let group = |cell| Group {
        cell,
        zone: u8::from(cell > 3),
        machine_type: 0,
        upstreams: 8,
        capacity: 1000,
    };
    let class = |name: &str| ClassFacts { name: name.into(), zones: vec![], machine_types: vec![] };
    FleetFacts {
        zones: vec!["bilbao".into(), "oviedo".into()],
        load: vec![10, 10],
        machine_types: vec!["f".into()],
        groups: (1..=CELLS).map(group).collect(),
        classes: vec![class("a"), class("b")],
        named: BTreeMap::new(),
    }
}

/// Returns an entry that proposes a revision with this document.
pub fn propose_entry(id: CommandId, base: Option<u64>, document: Document) -> Entry {
    let options = ProposalOptions { id, base, canary: None, forced: false, facts: fleet_facts() };
    Entry::Propose(Box::new(options), Box::new(document))
}

/// Returns an entry that proposes the document of an earlier revision.
pub fn rollback_entry(id: CommandId, base: Option<u64>, to: u64) -> Entry {
    let options = ProposalOptions { id, base, canary: None, forced: false, facts: fleet_facts() };
    Entry::Rollback(Box::new(options), to)
}
