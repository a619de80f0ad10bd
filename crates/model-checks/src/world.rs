//! A bank of the very machines that run, on one thread: a played network, played disks and clocks that drift. What is
//! looked at and what counts as a fault of theirs is for `judge` and `history` to say.

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

use crate::judge::Judge;

/// Milliseconds.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Datagrams that wait for a process that stands still, at most: its socket's buffer.
const BUFFER: usize = 400;
/// Pods of the played fleet, 1 to this; 1 is bedrock, 1 and 4 the charter.
pub const PODS: u32 = 6;

/// What a bank is.
#[derive(Clone, Debug)]
pub struct Plan {
    /// For all chance.
    pub seed: u64,
    /// Balancers.
    pub size: u16,
    /// Who votes at first.
    pub voters: Vec<u16>,
    /// They have directories, and are restarted with what those hold.
    pub directory: bool,
    /// Datagrams lost, 0 to 1.
    pub loss: f64,
    /// A datagram takes up to so much longer than 1 ms.
    pub delay: Duration,
    /// Every hundredth datagram comes up to 400 ms late or twice.
    pub late: bool,
    /// Clocks run faster or slower by up to 5 in 1,000: 1 in 100 from each other.
    pub drift: bool,
}

impl Plan {
    /// One without faults, and the usual council.
    pub fn whole(seed: u64, size: u16) -> Self {
        let voters = hollowpaddle_consensus::default_voters(size).iter().map(|m| m.0).collect();
        Self {
            seed,
            size,
            voters,
            directory: false,
            loss: 0.0,
            delay: ms(14),
            late: false,
            drift: true,
        }
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Datagram { to: u16, from: u16, bytes: Vec<u8> },
    Due { at: u16, incarnation: u32 },
    Start { at: u16 },
}

/// What outlives a process.
#[derive(Clone, Debug, Default)]
struct Disk {
    replica: DurableState,
    fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// What one balancer sent in one second, at most, and in all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// All datagrams since the last [`World::count_anew`].
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams of the worst second.
    pub worst_datagrams: u64,
    /// Bytes of the worst second.
    pub worst_bytes: u64,
    second: u64,
    in_second: (u64, u64),
}

/// One balancer.
pub struct Node {
    /// Its process, if it runs.
    pub machine: Option<Machine>,
    /// What its requests read.
    pub published: Option<InForce>,
    /// Processes so far.
    pub incarnation: u32,
    /// It stands still until then.
    pub paused: Duration,
    /// What it has sent.
    pub sent: Sent,
    born: Duration,
    /// Its clock against the world's, in millionths.
    rate: u32,
    due: Option<Duration>,
    waiting: usize,
    disk: Disk,
}

impl Node {
    /// Its own clock.
    pub fn clock(&self, now: Duration) -> Duration {
        let nanos = now.saturating_sub(self.born).as_nanos() * u128::from(self.rate) / 1_000_000;
        Duration::from_nanos(nanos as u64)
    }
    fn world(&self, local: Duration) -> Duration {
        let nanos = local.as_nanos() * 1_000_000 / u128::from(self.rate) + 2;
        self.born + Duration::from_nanos(nanos as u64)
    }
    /// Whether its seat in the council, if it has one, knows what it has promised.
    pub fn knows(&self) -> bool {
        let blank = |s| {
            matches!(
                s,
                ReplicaStatus::WithoutState | ReplicaStatus::Recovering | ReplicaStatus::DiskFailed
            )
        };
        self.machine.as_ref().is_some_and(|m| !blank(m.replica().advertised_status()))
    }
}

/// The bank.
pub struct World {
    /// What it is.
    pub plan: Plan,
    /// Time since it began.
    pub now: Duration,
    /// All of them, by number.
    pub nodes: Vec<Node>,
    /// Links that carry nothing, one way.
    pub cuts: BTreeSet<(u16, u16)>,
    /// Answers that came, by ticket.
    pub answers: BTreeMap<u64, (Duration, ProposalResult)>,
    /// Who looks on.
    pub judge: Judge,
    /// Chance, for whoever plays as well.
    pub chance: Rand64,
    /// A process ends between two actions of one event, once in so many events; 0: never.
    pub crash_between: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, Happens)>>,
    count: u64,
    tickets: u64,
    looked: Duration,
    /// Events after which a running machine had asked for no moment to be woken at: from there on only a datagram wakes it.
    pub without_timer: u64,
    /// A machine without a timer is woken after so long all the same; none: it stands still, as under its shell.
    pub nudge: Option<Duration>,
    /// How often the judge looks, if nothing changes.
    pub look_every: Duration,
}

impl World {
    /// All processes begin within 100 ms.
    pub fn new(plan: Plan) -> Self {
        let mut chance = Rand64::new(u128::from(plan.seed) << 8 | 0x57);
        let nodes: Vec<Node> = (0..plan.size)
            .map(|_| Node {
                machine: None,
                published: None,
                incarnation: 0,
                paused: Duration::ZERO,
                sent: Sent::default(),
                born: Duration::ZERO,
                rate: if plan.drift {
                    (995_000 + chance.rand_range(0..10_000)) as u32
                } else {
                    1_000_000
                },
                due: None,
                waiting: 0,
                disk: Disk::default(),
            })
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            judge: Judge::new(plan.size),
            nodes,
            cuts: BTreeSet::new(),
            answers: BTreeMap::new(),
            chance,
            crash_between: 0,
            queue: BinaryHeap::new(),
            count: 0,
            tickets: 0,
            looked: Duration::ZERO,
            without_timer: 0,
            nudge: Some(ms(100)),
            look_every: ms(10),
            plan,
        };
        for at in 0..world.plan.size {
            let after = ms(world.below(100));
            world.start_after(at, after);
        }
        world
    }

    /// A number under this one.
    pub fn below(&mut self, below: u64) -> u64 {
        self.chance.rand_range(0..below.max(1))
    }

    fn push(&mut self, at: Duration, happens: Happens) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, happens)));
    }

    /// A process ends; what it had not on disk is gone.
    pub fn crash(&mut self, at: u16) {
        let node = &mut self.nodes[usize::from(at)];
        (node.machine, node.published, node.due) = (None, None, None);
        node.paused = Duration::ZERO;
        self.judge.gone(at);
    }

    /// A process begins after this, if none runs.
    pub fn start_after(&mut self, at: u16, after: Duration) {
        self.push(self.now + after, Happens::Start { at });
    }

    /// A process stands still for so long.
    pub fn pause(&mut self, at: u16, time: Duration) {
        self.nodes[usize::from(at)].paused = self.now + time;
        self.judge.gone(at);
    }

    /// Nothing goes to it, nothing comes from it.
    pub fn isolate(&mut self, at: u16) {
        for other in 0..self.plan.size {
            self.cuts.insert((at, other));
            self.cuts.insert((other, at));
        }
    }

    fn start(&mut self, at: u16) {
        let (seed, now) = (self.below(u64::MAX), self.now);
        let plan = &self.plan;
        let node = &mut self.nodes[usize::from(at)];
        if node.machine.is_some() {
            return;
        }
        node.incarnation += 1;
        node.born = now;
        let fallback_policy = |cells: &[u32]| FallbackPolicy {
            cells: cells.iter().copied().collect(),
            attempts: 1,
            ..FallbackPolicy::default()
        };
        let setup = Setup {
            node_id: NodeId(at),
            cluster_size: plan.size,
            // Lives are drawn: they don't grow.
            incarnation: Incarnation((seed as u32).max(1)),
            seed,
            voters: plan.voters.iter().copied().map(NodeId).collect(),
            bootstrap: Bootstrap {
                members: plan.size,
                mandatory_fallback: fallback_policy(&[1]),
                fallback_policy: fallback_policy(&[1, 4]),
                document: Document { attempts: 3, ..Document::default() },
            },
            mandatory_fallback: fallback_policy(&[1]),
            cells: BTreeMap::new(),
            has_durable_log: plan.directory,
            replica_state: plan.directory.then(|| node.disk.replica.clone()),
            fallback_policy: if plan.directory { node.disk.fallback_policy.clone() } else { None },
        };
        // The plan names a possible bank: members and figures are within the bounds of each machine.
        let machine = Machine::new(Duration::ZERO, setup).expect("a plan of a possible bank");
        node.published = Some(machine.in_force());
        node.machine = Some(machine);
        self.hand_in(at, Event::Due);
    }

    /// One event, and all that follows of it, as the shell does it.
    fn hand_in(&mut self, at: u16, event: Event<'_>) {
        let mut actions = Vec::new();
        self.give(at, event, &mut actions);
        let ends =
            self.crash_between > 0 && self.below(self.crash_between) == 0 && self.may_end(at);
        let mut left = if ends { self.below(4) } else { u64::MAX };
        let mut next = Vec::new();
        while !actions.is_empty() {
            for action in actions.drain(..) {
                if left == 0 {
                    self.crash(at);
                    let after = ms(self.below(1500));
                    self.start_after(at, after);
                    return;
                }
                left -= 1;
                next.extend(self.carry_out(at, action));
            }
            for event in next.drain(..) {
                self.give(at, event, &mut actions);
            }
        }
        let node = &self.nodes[usize::from(at)];
        if node.machine.is_some() && node.due.is_none() {
            self.without_timer += 1;
            if let Some(after) = self.nudge {
                let (due, incarnation) = (self.now + after, node.incarnation);
                self.nodes[usize::from(at)].due = Some(due);
                self.push(due, Happens::Due { at, incarnation });
            }
        }
        self.seen(at);
    }

    /// So many may have forgotten at one moment that the others are still a majority. One without a directory forgets.
    pub fn may_end(&self, at: u16) -> bool {
        let voters = self.voters();
        let gone = |m: &&u16| **m == at || !self.nodes[usize::from(**m)].knows();
        !voters.contains(&at) || voters.iter().filter(gone).count() * 2 < voters.len()
    }

    /// Who votes, as the first of those that know says.
    pub fn voters(&self) -> Vec<u16> {
        let known = self.nodes.iter().filter(|n| n.knows()).filter_map(|n| n.machine.as_ref());
        let latest = known.map(|m| m.replica().members()).max_by_key(|m| m.changed_at);
        latest.map_or(self.plan.voters.clone(), |m| m.voters.iter().map(|m| m.0).collect())
    }

    fn give(&mut self, at: u16, event: Event<'_>, actions: &mut Vec<Action>) {
        let node = &mut self.nodes[usize::from(at)];
        let clock = node.clock(self.now);
        if let Some(machine) = &mut node.machine {
            machine.handle(clock, event, actions);
        }
    }

    fn carry_out(&mut self, at: u16, action: Action) -> Option<Event<'static>> {
        let node = &mut self.nodes[usize::from(at)];
        match action {
            Action::Transmit { to, bytes } => self.transmit(at, to.0, bytes),
            Action::WakeAt(due) => {
                let due = node.world(due).max(self.now);
                node.due = Some(due);
                let incarnation = node.incarnation;
                self.push(due, Happens::Due { at, incarnation });
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
                let twice = self.answers.insert(ticket, (self.now, answer.clone()));
                if let Some((_, before)) = twice {
                    self.judge.fault(
                        self.now,
                        format!("{at} answers {ticket} twice: {before:?}, {answer:?}"),
                    );
                }
            }
            // Lists are not played here.
            Action::Stop(_) | Action::RefreshList | Action::Log(_) => {}
        }
        None
    }

    fn transmit(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        let second = self.now.as_secs();
        let sent = &mut self.nodes[usize::from(from)].sent;
        if sent.second != second {
            (sent.second, sent.in_second) = (second, (0, 0));
        }
        let length = bytes.len() as u64;
        (sent.datagrams, sent.bytes) = (sent.datagrams + 1, sent.bytes + length);
        sent.in_second = (sent.in_second.0 + 1, sent.in_second.1 + length);
        sent.worst_datagrams = sent.worst_datagrams.max(sent.in_second.0);
        sent.worst_bytes = sent.worst_bytes.max(sent.in_second.1);
        let lost = self.chance.rand_float() < self.plan.loss;
        if lost || self.cuts.contains(&(from, to)) || to >= self.plan.size {
            return;
        }
        let micros = self.plan.delay.as_micros() as u64;
        let mut after = ms(1) + Duration::from_micros(self.below(micros));
        if self.plan.late && self.below(100) == 0 {
            after += ms(self.below(400));
        }
        if self.plan.late && self.below(100) == 0 {
            let again = after + ms(self.below(300));
            self.push(self.now + again, Happens::Datagram { to, from, bytes: bytes.clone() });
        }
        self.push(self.now + after, Happens::Datagram { to, from, bytes });
    }

    /// What changed for the judge.
    fn seen(&mut self, at: u16) {
        if self.judge.changed(at, self.now, &self.nodes[usize::from(at)]) {
            self.look();
        }
    }

    fn look(&mut self) {
        self.looked = self.now;
        self.judge.look(self.now, &self.nodes);
    }

    /// Time goes on to this moment.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, happens))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            if self.now >= self.looked + self.look_every {
                self.look();
            }
            self.happen(happens);
        }
        self.now = self.now.max(until);
    }

    /// Time goes on by this.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Time goes on until this holds, looked at every 5 ms; how long that took.
    pub fn run_while(
        &mut self,
        most: Duration,
        mut goes_on: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while goes_on(self) {
            if self.now >= began + most {
                return None;
            }
            self.run(ms(5));
        }
        Some(self.now - began)
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Start { at } => self.start(at),
            Happens::Due { at, incarnation } => {
                let node = &mut self.nodes[usize::from(at)];
                if node.incarnation != incarnation || node.due.is_none_or(|due| due > self.now) {
                    return;
                }
                if node.paused > self.now {
                    let resumes = node.paused;
                    self.push(resumes, Happens::Due { at, incarnation });
                    return;
                }
                node.due = None;
                self.hand_in(at, Event::Due);
            }
            Happens::Datagram { to, from, bytes } => {
                let node = &mut self.nodes[usize::from(to)];
                if node.machine.is_none() {
                    return;
                }
                if node.paused > self.now {
                    node.waiting += 1;
                    if node.waiting <= BUFFER {
                        let resumes = node.paused;
                        self.push(resumes, Happens::Datagram { to, from, bytes });
                    }
                    return;
                }
                node.waiting = 0;
                self.hand_in(to, Event::Datagram { from: Some(NodeId(from)), bytes: &bytes });
            }
        }
    }

    // What operators do.

    /// A ticket, never given twice.
    pub fn ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    /// Whether a call can be handed in there now.
    pub fn answers_at(&self, at: u16) -> bool {
        let node = &self.nodes[usize::from(at)];
        node.machine.is_some() && node.paused <= self.now
    }

    /// An entry is proposed at a door; the ticket.
    pub fn propose(&mut self, at: u16, id: Option<CommandId>, entry: Entry) -> u64 {
        let ticket = self.ticket();
        if self.answers_at(at) {
            self.hand_in(at, Event::Propose { ticket, id, entry });
        }
        ticket
    }

    /// What became of a question.
    pub fn ask(&mut self, at: u16, id: CommandId) -> Option<ProposalResult> {
        let ticket = self.ticket();
        if self.answers_at(at) {
            self.hand_in(at, Event::QueryOutcome { ticket, id });
        }
        self.answers.get(&ticket).map(|(_, answer)| answer.clone())
    }

    /// The balancer that leads, if one does and is the only one.
    pub fn leader(&self) -> Option<u16> {
        let leads = |n: &&Node| {
            n.paused <= self.now
                && n.machine.as_ref().is_some_and(|m| m.replica().leader() == Some(m.node_id()))
        };
        let mut all = self.nodes.iter().filter(leads).filter_map(|n| n.machine.as_ref());
        let one = all.next()?;
        all.next().is_none().then_some(one.node_id().0)
    }

    /// All links whole, everybody awake.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.plan.loss = 0.0;
        self.plan.late = false;
        self.crash_between = 0;
        for at in 0..self.plan.size {
            self.start_after(at, Duration::ZERO);
        }
    }

    /// Figures of what was sent begin anew.
    pub fn count_anew(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.sent = Sent::default());
    }
}

/// The played fleet: pods 1 to 3 at `bilbao`, 4 to 6 at `oviedo`, two classes, room for all in any of them.
pub fn facts() -> FleetFacts {
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
        groups: (1..=PODS).map(group).collect(),
        classes: vec![class("a"), class("b")],
        named: BTreeMap::new(),
    }
}

/// A new revision with this content.
pub fn propose(id: CommandId, base: Option<u64>, document: Document) -> Entry {
    let ask = ProposalOptions { id, base, canary: None, forced: false, facts: facts() };
    Entry::Propose(Box::new(ask), Box::new(document))
}

/// A new revision with the content of an old one.
pub fn rollback(id: CommandId, base: Option<u64>, to: u64) -> Entry {
    let ask = ProposalOptions { id, base, canary: None, forced: false, facts: facts() };
    Entry::Rollback(Box::new(ask), to)
}
