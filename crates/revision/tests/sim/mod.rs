//! Simulates a cluster in virtual time: leases over a faulty network, and a log that is always consistent, whose leader
//! changes, and whose entries reach the nodes late.
#![allow(dead_code)]

pub mod oracle;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::canary::CanaryTerms;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::FleetFacts;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::leases::{Action, Event, LeaseConfig, Leases};
use hollowpaddle_revision::message::{Generation, Message};
use hollowpaddle_revision::policy_state::{PolicyState, PolicyStatus};
use hollowpaddle_revision::rules::{Place, Rules};
use oorandom::Rand64;

use crate::common;
use oracle::{Findings, Observation, Oracle};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// Time after which the last of the killed nodes has restarted and run for longer than a lease, in microseconds.
pub const LEASES_EXPIRED: u64 = 4 * S + 2100 * MS;

/// A defect that the oracle has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Nodes act on the agreed rules after their lease has ended.
    NoLease,
    /// New rules apply at once, without the restrict phase.
    NoRestrictPhase,
    /// Generations follow each other without confirmation.
    NoConfirmation,
    /// A fallback policy changes without the confirmation of every node.
    UnconfirmedFallback,
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub members: usize,
    /// Number of children of a node in the dissemination tree.
    pub fan: usize,
    pub loss: f64,
    pub length: u64,
    pub faults: usize,
    /// Revisions per second.
    pub rate: f64,
    pub defect: Defect,
    pub exact: bool,
    pub tick: u64,
}

enum SimEvent {
    Message {
        to: usize,
        from: usize,
        incarnation: u32,
        message: Message,
    },
    Wake {
        node_index: usize,
        incarnation: u32,
        at: Duration,
    },
    Learn {
        node_index: usize,
        through: usize,
        epoch: u32,
    },
    Bootstrap,
    Commit {
        view: u32,
        entry: Entry,
    },
    Round {
        node_index: usize,
        incarnation: u32,
        began: Duration,
        view: u32,
        answered: u64,
    },
    Persisted {
        node_index: usize,
        incarnation: u32,
        fallback_generation: Generation,
        fallback_policy: Arc<FallbackPolicy>,
    },
    Parent {
        node_index: usize,
        incarnation: u32,
        parent: usize,
    },
    Restart {
        node_index: usize,
    },
    Heal,
    Fault,
    Rounds,
    Gossip,
    Propose,
    Tick,
}

struct Node {
    leases: Leases,
    incarnation: u32,
    is_up: bool,
    started_at: u64,
    /// Microseconds of the node's clock per million microseconds of real time.
    rate: u64,
    paused_until: u64,
    applied: Option<usize>,
    /// Epoch of the log that the node has applied.
    epoch: u32,
    in_force: InForce,
    wake_at: Duration,
    parent: Option<usize>,
    has_state_directory: bool,
    stored: Option<(Generation, FallbackPolicy)>,
    /// The view that the node regards itself as the leader of.
    leading_view: Option<u32>,
    partition: u8,
    /// Whether datagrams from the node are dropped.
    cannot_send: bool,
    /// Whether datagrams to the node are dropped.
    cannot_receive: bool,
}

pub struct Simulation {
    pub setting: Setting,
    pub rng: Rand64,
    pub now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    nodes: Vec<Node>,
    policy: PolicyState,
    epoch: u32,
    /// Whether a majority has lost the log. There is no leader until a new log is started.
    is_log_lost: bool,
    entries: Vec<Vec<u8>>,
    /// The policy after each entry, by index.
    pub log: Vec<PolicyStatus>,
    pub committed: Vec<u64>,
    leader: Option<usize>,
    view: u32,
    leaderless_since: Option<u64>,
    oracle: Oracle,
    pub messages: u64,
    pub bytes: u64,
    proposal_count: u128,
    /// Changes of the fallback policy that every node has confirmed.
    pub fallback_changes: u64,
    masks: BTreeMap<usize, (Arc<Rules>, u32)>,
}

impl Simulation {
    pub fn new(seed: u64, setting: Setting) -> Self {
        let members = setting.members;
        let policy = PolicyState::bootstrap(common::bootstrap(members as u16)).unwrap();
        let mandatory = [0, 4].iter().fold(1 << 16, |all, cell| all | 1 << cell | 1 << (cell + 8));
        let mut sim = Self {
            rng: Rand64::new(u128::from(seed) << 8 | 5),
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            log: vec![policy.status()],
            committed: vec![0],
            epoch: 1,
            is_log_lost: false,
            entries: vec![vec![]],
            policy,
            leader: None,
            view: 0,
            leaderless_since: Some(0),
            oracle: Oracle::new(mandatory),
            messages: 0,
            bytes: 0,
            proposal_count: 0,
            fallback_changes: 0,
            masks: BTreeMap::new(),
            setting,
        };
        for node_index in 0..members {
            let has_state_directory = sim.rng.rand_float() < 0.5;
            let rate = 995_000 + sim.rng.rand_range(0..10_000);
            let node = sim.start_node(node_index, 1, rate, has_state_directory, None);
            sim.nodes.push(node);
            sim.at(0, SimEvent::Learn { node_index, through: 0, epoch: 1 });
        }
        sim.elect();
        let (faults, length) = (sim.setting.faults, sim.setting.length);
        for _ in 0..faults {
            let at = sim.rng.rand_range(S..length.max(S + 1));
            sim.at(at, SimEvent::Fault);
        }
        for event in [SimEvent::Rounds, SimEvent::Gossip, SimEvent::Tick] {
            sim.at(0, event);
        }
        if sim.setting.rate > 0.0 {
            sim.at(300 * MS, SimEvent::Propose);
        }
        sim
    }

    fn start_node(
        &self,
        node_index: usize,
        incarnation: u32,
        rate: u64,
        has_state_directory: bool,
        stored: Option<(Generation, FallbackPolicy)>,
    ) -> Node {
        let mandatory_fallback = common::bootstrap(1).mandatory_fallback;
        let mut config = LeaseConfig::usual(
            NodeId(node_index as u16),
            Incarnation(incarnation),
            mandatory_fallback,
        );
        (config.stored, config.exact) = (stored.clone(), self.setting.exact);
        let leases = Leases::new(config);
        Node {
            in_force: leases.in_force(),
            leases,
            incarnation,
            is_up: true,
            started_at: self.now,
            rate,
            paused_until: 0,
            applied: None,
            epoch: 0,
            wake_at: Duration::MAX,
            parent: None,
            has_state_directory,
            stored,
            leading_view: None,
            partition: 0,
            cannot_send: false,
            cannot_receive: false,
        }
    }

    fn at(&mut self, after: u64, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn local(&self, node_index: usize) -> Duration {
        let node = &self.nodes[node_index];
        Duration::from_micros((self.now - node.started_at) * node.rate / 1_000_000)
    }

    fn is_reachable(&self, node_index: usize) -> bool {
        let node = &self.nodes[node_index];
        node.is_up
            && node.paused_until <= self.now
            && node.partition == 0
            && !node.cannot_send
            && !node.cannot_receive
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        a.is_up && b.is_up && a.partition == b.partition && !a.cannot_send && !b.cannot_receive
    }

    fn delay(&mut self) -> u64 {
        self.rng.rand_range(MS..15 * MS)
    }

    fn is_lost(&mut self) -> bool {
        self.rng.rand_float() < self.setting.loss
    }

    pub fn run(&mut self, until: u64) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > until {
                self.seq += 1;
                self.queue.insert((at, self.seq), event);
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    pub fn finish(mut self) -> Findings {
        let length = self.setting.length;
        self.run(length);
        let (fallback_changes, messages) = (self.fallback_changes, self.messages);
        Findings { fallback_changes, messages, ..self.oracle.findings() }
    }

    /// Handles an event, or postpones it while the process that it is for is paused.
    fn handle_event(&mut self, event: SimEvent) {
        let target_node = match &event {
            SimEvent::Message { to, .. } => Some((*to, None)),
            SimEvent::Wake { node_index, incarnation, .. }
            | SimEvent::Round { node_index, incarnation, .. }
            | SimEvent::Persisted { node_index, incarnation, .. }
            | SimEvent::Parent { node_index, incarnation, .. } => {
                Some((*node_index, Some(*incarnation)))
            }
            SimEvent::Learn { node_index, .. } => Some((*node_index, None)),
            _ => None,
        };
        if let Some((node_index, incarnation)) = target_node {
            let node = &self.nodes[node_index];
            if !node.is_up || incarnation.is_some_and(|l| l != node.incarnation) {
                return;
            }
            if node.paused_until > self.now {
                let after = node.paused_until - self.now;
                return self.at(after, event);
            }
        }
        match event {
            SimEvent::Message { to, from, incarnation, message } => {
                self.deliver(
                    to,
                    Event::Message {
                        from: NodeId(from as u16),
                        incarnation: Incarnation(incarnation),
                        message,
                    },
                );
            }
            SimEvent::Wake { node_index, at, .. } => {
                if self.nodes[node_index].wake_at == at {
                    self.nodes[node_index].wake_at = Duration::MAX;
                    self.deliver(node_index, Event::Due);
                }
            }
            SimEvent::Learn { node_index, through, epoch } => {
                self.learn(node_index, through, epoch)
            }
            SimEvent::Bootstrap => self.bootstrap_again(),
            SimEvent::Commit { view, entry } => self.commit(view, &entry),
            SimEvent::Round { node_index, began, view, answered, .. } => {
                // The round counts only if the node still leads the view in which a majority answered the round.
                if self.nodes[node_index].leading_view == Some(view) && answered != u64::MAX {
                    self.deliver(node_index, Event::Round { began });
                }
            }
            SimEvent::Persisted { node_index, fallback_generation, fallback_policy, .. } => {
                if self.nodes[node_index].has_state_directory {
                    self.nodes[node_index].stored =
                        Some((fallback_generation, (*fallback_policy).clone()));
                }
                self.deliver(node_index, Event::FallbackPolicyPersisted { fallback_generation });
            }
            SimEvent::Parent { node_index, parent, .. } => {
                self.nodes[node_index].parent = Some(parent);
                let parent = (self.nodes[node_index].leading_view != Some(self.view))
                    .then_some(NodeId(parent as u16));
                self.deliver(node_index, Event::Parent(parent));
            }
            SimEvent::Restart { node_index } => {
                if !self.nodes[node_index].is_up {
                    let (incarnation, rate, has_state_directory) = (
                        self.nodes[node_index].incarnation + 1,
                        self.nodes[node_index].rate,
                        self.nodes[node_index].has_state_directory,
                    );
                    let stored =
                        self.nodes[node_index].stored.clone().filter(|_| has_state_directory);
                    self.nodes[node_index] =
                        self.start_node(node_index, incarnation, rate, has_state_directory, stored);
                    let after = self.delay();
                    let parent = self
                        .leader
                        .filter(|l| *l != node_index)
                        .unwrap_or((node_index + 1) % self.setting.members);
                    self.at(after, SimEvent::Parent { node_index, incarnation, parent });
                    self.at(after, SimEvent::Learn { node_index, through: 0, epoch: self.epoch });
                }
            }
            SimEvent::Heal => self.nodes.iter_mut().for_each(|node| {
                (node.partition, node.cannot_send, node.cannot_receive) = (0, false, false)
            }),
            SimEvent::Fault => self.fault(),
            SimEvent::Rounds => self.rounds(),
            SimEvent::Gossip => self.gossip(),
            SimEvent::Propose => self.propose(),
            SimEvent::Tick => self.tick(),
        }
    }

    fn deliver(&mut self, node_index: usize, event: Event) {
        let (now, incarnation, mut actions) =
            (self.local(node_index), self.nodes[node_index].incarnation, Vec::new());
        self.nodes[node_index].leases.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node_index, usize::from(to.0), message),
                Action::Publish(in_force) => {
                    let none = in_force.until == Duration::ZERO;
                    if !(self.setting.defect == Defect::NoLease && none) {
                        self.nodes[node_index].in_force = in_force;
                    }
                }
                Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                    let after = if self.nodes[node_index].has_state_directory {
                        self.rng.rand_range(MS..40 * MS)
                    } else {
                        0
                    };
                    self.at(
                        after,
                        SimEvent::Persisted {
                            node_index,
                            incarnation,
                            fallback_generation,
                            fallback_policy,
                        },
                    );
                }
                Action::WakeAt(at) => {
                    self.nodes[node_index].wake_at = at;
                    let node = &self.nodes[node_index];
                    let real = node.started_at
                        + (at.as_micros() as u64).saturating_mul(1_000_000) / node.rate
                        + 2;
                    let after = real.saturating_sub(self.now);
                    self.at(after, SimEvent::Wake { node_index, incarnation, at });
                }
                Action::Propose(entry) => {
                    let (after, view) = (
                        self.rng.rand_range(5 * MS..40 * MS),
                        self.nodes[node_index].leading_view.unwrap_or(0),
                    );
                    if matches!(entry, Entry::FallbackPolicyConfirmed(_)) {
                        self.fallback_changes += 1;
                    }
                    self.at(after, SimEvent::Commit { view, entry });
                }
                Action::Learn { .. } => {}
                Action::ChangeParent { .. } => {
                    let (after, members) = (self.delay(), self.setting.members as u64);
                    let random_node = self.rng.rand_range(0..members) as usize;
                    let chooses_leader =
                        self.rng.rand_float() < 1.0 / (1.0 + members as f64 / 10.0);
                    let parent = if chooses_leader {
                        self.leader.unwrap_or(random_node)
                    } else {
                        random_node
                    };
                    if parent != node_index {
                        self.at(after, SimEvent::Parent { node_index, incarnation, parent });
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        let bytes = message.to_bytes();
        self.bytes += bytes.len() as u64;
        let message = Message::from_bytes(&bytes).expect("an encoded message can be decoded");
        if !self.reaches(from, to) {
            return;
        }
        let incarnation = self.nodes[from].incarnation;
        // Duplicates arrive late, and may arrive at a later incarnation.
        let copies = 1 + u64::from(self.rng.rand_float() < 0.03);
        for copy in 0..copies {
            if !self.is_lost() {
                let after = self.delay() + copy * self.rng.rand_range(0..3 * S);
                self.at(
                    after,
                    SimEvent::Message { to, from, incarnation, message: message.clone() },
                );
            }
        }
    }

    fn learn(&mut self, node_index: usize, through: usize, epoch: u32) {
        // Entries of an abandoned log are ignored.
        if epoch != self.epoch {
            return;
        }
        if self.nodes[node_index].epoch != epoch {
            (self.nodes[node_index].applied, self.nodes[node_index].epoch) = (None, epoch);
        }
        let first = self.nodes[node_index].applied.map_or(0, |a| a + 1);
        if first > through {
            return;
        }
        self.nodes[node_index].applied = Some(through);
        // A node that is far behind applies a snapshot.
        let from = if through - first > 50 { through } else { first };
        for index in from..=through {
            let status = Box::new(self.log[index].clone());
            self.deliver(node_index, Event::Applied { epoch, status });
        }
        for child in 0..self.setting.members {
            if self.nodes[child].parent == Some(node_index)
                && self.reaches(node_index, child)
                && !self.is_lost()
            {
                let after = self.delay();
                self.at(after, SimEvent::Learn { node_index: child, through, epoch });
            }
        }
    }

    fn commit(&mut self, view: u32, entry: &Entry) {
        let Some(leader) = self.leader.filter(|l| view == self.view && self.is_reachable(*l))
        else {
            return;
        };
        let index = self.log.len() as u64;
        self.entries.push(entry.to_bytes().unwrap());
        self.policy.apply(index, &entry.to_bytes().unwrap());
        let mut status = self.policy.status();
        if let Some(to) =
            status.target_revision.filter(|_| self.setting.defect == Defect::NoRestrictPhase)
        {
            let document = (*self.policy.retained_revision(to).unwrap().document).clone();
            status.rules = Arc::new(Rules::of(document, status.rules.floor().clone()));
        }
        let early = status.awaits_fallback_confirmation.then_some(status.fallback_generation);
        if let Some(fallback_generation) =
            early.filter(|_| self.setting.defect == Defect::UnconfirmedFallback)
        {
            self.at(
                5 * MS,
                SimEvent::Commit {
                    view,
                    entry: Entry::FallbackPolicyConfirmed(fallback_generation),
                },
            );
        }
        let unconfirmed = status.unconfirmed.then_some(status.generation);
        self.log.push(status);
        self.committed.push(self.now);
        // The leader applies a committed entry at once, or a little later.
        let after = if self.rng.rand_float() < 0.2 { self.rng.rand_range(0..30 * MS) } else { 0 };
        let epoch = self.epoch;
        self.at(after, SimEvent::Learn { node_index: leader, through: index as usize, epoch });
        if let Some(generation) =
            unconfirmed.filter(|_| self.setting.defect == Defect::NoConfirmation)
        {
            self.at(
                5 * MS,
                SimEvent::Commit { view, entry: Entry::GenerationConfirmed(generation) },
            );
        }
    }

    fn elect(&mut self) {
        let electable: Vec<usize> =
            (0..self.setting.members).filter(|node_index| self.is_reachable(*node_index)).collect();
        // The simulation requires a majority of the cluster in place of a majority of the voters.
        if electable.len() * 2 <= self.setting.members || self.is_log_lost {
            return;
        }
        self.view += 1;
        let leader = electable[self.rng.rand_range(0..electable.len() as u64) as usize];
        if let Some(old) = self.leader.filter(|old| *old != leader && self.is_reachable(*old)) {
            self.nodes[old].leading_view = None;
            self.deliver(old, Event::Follows);
        }
        (self.leader, self.leaderless_since) = (Some(leader), None);
        self.nodes[leader].leading_view = Some(self.view);
        self.nodes[leader].parent = None;
        self.deliver(leader, Event::Parent(None));
        let from = self.log.len() as u64 - 1;
        self.deliver(
            leader,
            Event::Leads { since: self.local(leader), epoch: self.epoch, last_index: from },
        );
        let mut rank: Vec<usize> =
            (0..self.setting.members).filter(|node_index| *node_index != leader).collect();
        let by = leader % rank.len().max(1);
        rank.rotate_left(by);
        rank.insert(0, leader);
        for r in 1..rank.len() {
            let (node_index, parent) = (rank[r], rank[(r - 1) / self.setting.fan]);
            let (after, incarnation) = (self.delay() * 3, self.nodes[node_index].incarnation);
            self.at(after, SimEvent::Parent { node_index, incarnation, parent });
        }
    }

    /// Runs the rounds of all nodes that regard themselves as the leader, and elections.
    fn rounds(&mut self) {
        self.at(100 * MS, SimEvent::Rounds);
        for node_index in 0..self.setting.members {
            let node = &self.nodes[node_index];
            let Some(view) =
                node.leading_view.filter(|_| node.is_up && node.paused_until <= self.now)
            else {
                continue;
            };
            if view != self.view && self.is_reachable(node_index) {
                self.nodes[node_index].leading_view = None;
                self.deliver(node_index, Event::Follows);
                continue;
            }
            if view != self.view || !self.is_reachable(node_index) {
                continue;
            }
            let (began, incarnation) = (self.local(node_index), self.nodes[node_index].incarnation);
            let answered = self.now;
            let after = 2 * self.delay();
            self.at(after, SimEvent::Round { node_index, incarnation, began, view, answered });
        }
        let leader_ok = self
            .leader
            .is_some_and(|l| self.is_reachable(l) && self.nodes[l].leading_view == Some(self.view));
        self.leaderless_since =
            if leader_ok { None } else { self.leaderless_since.or(Some(self.now)) };
        let election_timeout = self.rng.rand_range(300 * MS..1200 * MS);
        if self.leaderless_since.is_some_and(|since| self.now - since > election_timeout) {
            self.elect();
        }
    }

    fn gossip(&mut self) {
        self.at(100 * MS, SimEvent::Gossip);
        for node_index in 0..self.setting.members {
            let random_node = self.rng.rand_range(0..self.setting.members as u64) as usize;
            let chosen = if self.rng.rand_float() < 0.3 {
                Some(random_node)
            } else {
                self.nodes[node_index].parent.or(self.leader)
            };
            let Some(source) = chosen.filter(|s| *s != node_index) else { continue };
            let both = self.reaches(source, node_index)
                && self.reaches(node_index, source)
                && !self.is_lost()
                && !self.is_lost();
            let epoch = self.nodes[source].epoch;
            if let Some(through) = self.nodes[source].applied.filter(|_| both) {
                let after = 2 * self.delay();
                self.at(after, SimEvent::Learn { node_index, through, epoch });
            }
        }
        // A leader has the whole log, even if it has not applied all entries yet.
        if let Some(leader) = self.leader.filter(|l| self.is_reachable(*l)) {
            let (after, through) = (self.rng.rand_range(0..200 * MS), self.log.len() - 1);
            self.at(after, SimEvent::Learn { node_index: leader, through, epoch: self.epoch });
        }
    }

    fn propose(&mut self) {
        let interval = (S as f64 / self.setting.rate * 2.0 * self.rng.rand_float()) as u64;
        self.at(interval.max(MS), SimEvent::Propose);
        self.proposal_count += 1;
        let id = CommandId(self.proposal_count);
        let is_canary = self.rng.rand_range(0..8) == 0;
        let canary = is_canary
            .then_some(CanaryTerms { seconds: 1 + self.proposal_count as u32 % 4, fall: 1000 });
        let options = Box::new(ProposalOptions {
            id,
            base: None,
            canary,
            forced: true,
            facts: FleetFacts::default(),
        });
        let sample = self.rng.rand_u64();
        let entry = match sample % 20 {
            // The fallback policy changes occasionally.
            0 if self.rng.rand_float() * self.setting.rate < 2.0 => {
                let cells =
                    [1, 5, 6].into_iter().filter(|cell| sample >> 8 & 1 << cell != 0).chain([0, 4]);
                let fallback_policy = FallbackPolicy {
                    cells: cells.collect(),
                    ..common::bootstrap(1).fallback_policy
                };
                Entry::FallbackPolicy(id, fallback_policy, Box::default())
            }
            1..=3 => {
                let newest = self.policy.newest();
                let retained: Vec<u64> =
                    self.policy.revisions().map(|(n, _)| n).filter(|n| *n != newest).collect();
                let to = retained
                    .get(sample as usize / 32 % retained.len().max(1))
                    .copied()
                    .unwrap_or(0);
                Entry::Rollback(options, to)
            }
            _ => Entry::Propose(options, Box::new(random_document(sample))),
        };
        let (after, view) = (self.rng.rand_range(5 * MS..40 * MS), self.view);
        self.at(after, SimEvent::Commit { view, entry });
    }

    /// Commits one entry at once and returns its index.
    pub fn commit_now(&mut self, entry: &Entry) -> usize {
        let view = self.view;
        self.commit(view, entry);
        self.log.len() - 1
    }

    fn fault(&mut self) {
        let members = self.setting.members as u64;
        let node_index = self.rng.rand_range(0..members) as usize;
        let node_index = if self.rng.rand_float() < 0.3 {
            self.leader.unwrap_or(node_index)
        } else {
            node_index
        };
        let duration = self.rng.rand_range(200 * MS..12 * S);
        match self.rng.rand_range(0..12) {
            0..=2 => self.kill(node_index),
            3..=5 => {
                self.nodes[node_index].paused_until =
                    self.nodes[node_index].paused_until.max(self.now + duration)
            }
            6 => self.nodes[node_index].cannot_send = true,
            7 => self.nodes[node_index].cannot_receive = true,
            8 => self.nodes[node_index].partition = 1,
            9 => {
                let partition = self.rng.rand_range(0..2) as u8 + 1;
                for node in &mut self.nodes {
                    node.partition =
                        if self.rng.rand_float() < 0.33 { partition } else { node.partition };
                }
            }
            10 if self.rng.rand_float() < 0.3 => {
                (0..self.setting.members).for_each(|node_index| self.kill(node_index))
            }
            11 if self.rng.rand_float() < 0.5 => self.lose_log(LEASES_EXPIRED),
            _ => self.elect(),
        }
        self.at(duration, SimEvent::Heal);
    }

    /// Kills a majority of the nodes, which lose their state; the other nodes keep theirs. A new log is started after
    /// `wait`. For a safe start `wait` has to be so long that each killed node has restarted and run for longer than a
    /// lease, since every node that answered a round of the old leader has died before.
    pub fn lose_log(&mut self, wait: u64) {
        if self.is_log_lost {
            return;
        }
        self.is_log_lost = true;
        let majority = self.setting.members / 2 + 1;
        let first = self.leader.unwrap_or(0);
        (0..majority).for_each(|node_index| self.kill((first + node_index) % self.setting.members));
        self.at(wait, SimEvent::Bootstrap);
    }

    /// Starts a new log from a copy that lacks the last entries, except those that changed the fallback policy.
    fn bootstrap_again(&mut self) {
        let lost_entry_count = self.rng.rand_range(0..4) as usize;
        let complete = self
            .log
            .iter()
            .rposition(|s| s.generation == s.index && s.fallback_generation == s.index)
            .unwrap_or(0);
        let complete = complete
            .max(self.log.iter().rposition(|s| s.awaits_fallback_confirmation).unwrap_or(0));
        let length = (self.log.len() - lost_entry_count.min(self.log.len() - 1)).max(complete + 1);
        self.policy =
            PolicyState::bootstrap(common::bootstrap(self.setting.members as u16)).unwrap();
        for index in 1..length {
            self.policy.apply(index as u64, &self.entries[index]);
        }
        self.entries.truncate(length);
        self.log.truncate(length);
        self.committed.truncate(length);
        (self.epoch, self.is_log_lost, self.leader) = (self.epoch + 1, false, None);
        self.leaderless_since = Some(self.now);
    }

    pub fn kill(&mut self, node_index: usize) {
        self.nodes[node_index].is_up = false;
        let after = self.rng.rand_range(50 * MS..4 * S);
        self.at(after, SimEvent::Restart { node_index });
    }

    pub fn pause(&mut self, node_index: usize, duration: u64) {
        self.nodes[node_index].paused_until = self.now + duration;
    }

    pub fn cut_off(&mut self, node_index: usize) {
        self.nodes[node_index].partition = 1;
    }

    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|node| {
            (node.partition, node.cannot_send, node.cannot_receive) = (0, false, false)
        });
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    /// Returns the sends that these rules permit, as bits: cells for two classes, and numbers of attempts.
    fn mask(&mut self, rules: &Arc<Rules>) -> u32 {
        let key = Arc::as_ptr(rules) as usize;
        if let Some((_, mask)) = self.masks.get(&key) {
            return *mask;
        }
        let place = |cell: u32| Place {
            name: "u",
            cell,
            machine_type: "m1",
            zone: if cell < 4 { "bilbao" } else { "oviedo" },
        };
        let mut mask = 0;
        for cell in 0..8 {
            mask |= u32::from(rules.permits(&place(cell), "log")) << cell;
            mask |= u32::from(rules.permits(&place(cell), "sync")) << (cell + 8);
        }
        for attempts in 1..=rules.attempts() {
            mask |= 1 << (15 + attempts);
        }
        if self.masks.len() > 400 {
            self.masks.clear();
        }
        self.masks.insert(key, (rules.clone(), mask));
        mask
    }

    fn tick(&mut self) {
        let tick = self.setting.tick;
        self.at(tick, SimEvent::Tick);
        let mut observations = Vec::with_capacity(self.setting.members);
        for node_index in 0..self.setting.members {
            if !self.nodes[node_index].is_up || self.nodes[node_index].paused_until > self.now {
                continue;
            }
            let (in_force, now) = (self.nodes[node_index].in_force.clone(), self.local(node_index));
            let ignores_lease_end =
                self.setting.defect == Defect::NoLease && in_force.until > Duration::ZERO;
            let (rules, has_lease) = match in_force.at(now) {
                View::Agreed(..) => (&in_force.rules, true),
                View::FallbackPolicy(_) if ignores_lease_end => (&in_force.rules, true),
                View::FallbackPolicy(_) => (&in_force.fallback_policy, false),
            };
            observations.push(Observation { sends: self.mask(rules), has_lease });
        }
        self.oracle.observe(self.now, &observations);
    }

    /// Returns the number of nodes at this generation or a later one, and the number of nodes that hold a lease.
    pub fn at_generation(&self, generation: u64) -> (usize, usize) {
        let at = |node: &&Node| node.in_force.generation.index >= generation;
        let members = 0..self.setting.members;
        let holds = |node_index: &usize| {
            matches!(self.nodes[*node_index].in_force.at(self.local(*node_index)), View::Agreed(..))
        };
        (self.nodes.iter().filter(at).count(), members.filter(holds).count())
    }

    pub fn leases(&self, node_index: usize) -> &Leases {
        &self.nodes[node_index].leases
    }
}

/// Returns a document with excluded cells, a class exclusion and a number of attempts.
fn random_document(sample: u64) -> Document {
    let cells =
        |bits: u64| (1..8).filter(|cell| *cell != 4 && bits & 1 << cell != 0).collect::<Vec<u32>>();
    let mut document = common::without(&cells(sample >> 8 & sample >> 16));
    let retained = cells(sample >> 24 & sample >> 32);
    if !retained.is_empty() {
        document.class_exclusions.insert("log".into(), retained.into_iter().collect());
    }
    document.attempts = 1 + (sample >> 40) as u8 % 3;
    document
}
