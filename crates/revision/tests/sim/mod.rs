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
        m: usize,
        incarnation: u32,
        at: Duration,
    },
    Learn {
        m: usize,
        through: usize,
        epoch: u32,
    },
    Bootstrap,
    Commit {
        view: u32,
        entry: Entry,
    },
    Round {
        m: usize,
        incarnation: u32,
        began: Duration,
        view: u32,
        answered: u64,
    },
    Persisted {
        m: usize,
        incarnation: u32,
        fallback_generation: Generation,
        fallback_policy: Arc<FallbackPolicy>,
    },
    Parent {
        m: usize,
        incarnation: u32,
        parent: usize,
    },
    Restart {
        m: usize,
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
        for m in 0..members {
            let has_state_directory = sim.rng.rand_float() < 0.5;
            let rate = 995_000 + sim.rng.rand_range(0..10_000);
            let node = sim.start_node(m, 1, rate, has_state_directory, None);
            sim.nodes.push(node);
            sim.at(0, SimEvent::Learn { m, through: 0, epoch: 1 });
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
        m: usize,
        incarnation: u32,
        rate: u64,
        has_state_directory: bool,
        stored: Option<(Generation, FallbackPolicy)>,
    ) -> Node {
        let mandatory_fallback = common::bootstrap(1).mandatory_fallback;
        let mut config =
            LeaseConfig::usual(NodeId(m as u16), Incarnation(incarnation), mandatory_fallback);
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

    fn local(&self, m: usize) -> Duration {
        let p = &self.nodes[m];
        Duration::from_micros((self.now - p.started_at) * p.rate / 1_000_000)
    }

    fn is_reachable(&self, m: usize) -> bool {
        let p = &self.nodes[m];
        p.is_up
            && p.paused_until <= self.now
            && p.partition == 0
            && !p.cannot_send
            && !p.cannot_receive
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
            SimEvent::Wake { m, incarnation, .. }
            | SimEvent::Round { m, incarnation, .. }
            | SimEvent::Persisted { m, incarnation, .. }
            | SimEvent::Parent { m, incarnation, .. } => Some((*m, Some(*incarnation))),
            SimEvent::Learn { m, .. } => Some((*m, None)),
            _ => None,
        };
        if let Some((m, incarnation)) = target_node {
            let p = &self.nodes[m];
            if !p.is_up || incarnation.is_some_and(|l| l != p.incarnation) {
                return;
            }
            if p.paused_until > self.now {
                let after = p.paused_until - self.now;
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
            SimEvent::Wake { m, at, .. } => {
                if self.nodes[m].wake_at == at {
                    self.nodes[m].wake_at = Duration::MAX;
                    self.deliver(m, Event::Due);
                }
            }
            SimEvent::Learn { m, through, epoch } => self.learn(m, through, epoch),
            SimEvent::Bootstrap => self.bootstrap_again(),
            SimEvent::Commit { view, entry } => self.commit(view, &entry),
            SimEvent::Round { m, began, view, answered, .. } => {
                // The round counts only if the node still leads the view in which a majority answered the round.
                if self.nodes[m].leading_view == Some(view) && answered != u64::MAX {
                    self.deliver(m, Event::Round { began });
                }
            }
            SimEvent::Persisted { m, fallback_generation, fallback_policy, .. } => {
                if self.nodes[m].has_state_directory {
                    self.nodes[m].stored = Some((fallback_generation, (*fallback_policy).clone()));
                }
                self.deliver(m, Event::FallbackPolicyPersisted { fallback_generation });
            }
            SimEvent::Parent { m, parent, .. } => {
                self.nodes[m].parent = Some(parent);
                let parent = (self.nodes[m].leading_view != Some(self.view))
                    .then_some(NodeId(parent as u16));
                self.deliver(m, Event::Parent(parent));
            }
            SimEvent::Restart { m } => {
                if !self.nodes[m].is_up {
                    let (incarnation, rate, has_state_directory) = (
                        self.nodes[m].incarnation + 1,
                        self.nodes[m].rate,
                        self.nodes[m].has_state_directory,
                    );
                    let stored = self.nodes[m].stored.clone().filter(|_| has_state_directory);
                    self.nodes[m] =
                        self.start_node(m, incarnation, rate, has_state_directory, stored);
                    let after = self.delay();
                    let parent =
                        self.leader.filter(|l| *l != m).unwrap_or((m + 1) % self.setting.members);
                    self.at(after, SimEvent::Parent { m, incarnation, parent });
                    self.at(after, SimEvent::Learn { m, through: 0, epoch: self.epoch });
                }
            }
            SimEvent::Heal => self
                .nodes
                .iter_mut()
                .for_each(|p| (p.partition, p.cannot_send, p.cannot_receive) = (0, false, false)),
            SimEvent::Fault => self.fault(),
            SimEvent::Rounds => self.rounds(),
            SimEvent::Gossip => self.gossip(),
            SimEvent::Propose => self.propose(),
            SimEvent::Tick => self.tick(),
        }
    }

    fn deliver(&mut self, m: usize, event: Event) {
        let (now, incarnation, mut actions) =
            (self.local(m), self.nodes[m].incarnation, Vec::new());
        self.nodes[m].leases.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(m, usize::from(to.0), message),
                Action::Publish(in_force) => {
                    let none = in_force.until == Duration::ZERO;
                    if !(self.setting.defect == Defect::NoLease && none) {
                        self.nodes[m].in_force = in_force;
                    }
                }
                Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                    let after = if self.nodes[m].has_state_directory {
                        self.rng.rand_range(MS..40 * MS)
                    } else {
                        0
                    };
                    self.at(
                        after,
                        SimEvent::Persisted {
                            m,
                            incarnation,
                            fallback_generation,
                            fallback_policy,
                        },
                    );
                }
                Action::WakeAt(at) => {
                    self.nodes[m].wake_at = at;
                    let p = &self.nodes[m];
                    let real = p.started_at
                        + (at.as_micros() as u64).saturating_mul(1_000_000) / p.rate
                        + 2;
                    let after = real.saturating_sub(self.now);
                    self.at(after, SimEvent::Wake { m, incarnation, at });
                }
                Action::Propose(entry) => {
                    let (after, view) = (
                        self.rng.rand_range(5 * MS..40 * MS),
                        self.nodes[m].leading_view.unwrap_or(0),
                    );
                    if matches!(entry, Entry::FallbackPolicyConfirmed(_)) {
                        self.fallback_changes += 1;
                    }
                    self.at(after, SimEvent::Commit { view, entry });
                }
                Action::Learn { .. } => {}
                Action::ChangeParent { .. } => {
                    let (after, members) = (self.delay(), self.setting.members as u64);
                    let any = self.rng.rand_range(0..members) as usize;
                    let chooses_leader =
                        self.rng.rand_float() < 1.0 / (1.0 + members as f64 / 10.0);
                    let parent = if chooses_leader { self.leader.unwrap_or(any) } else { any };
                    if parent != m {
                        self.at(after, SimEvent::Parent { m, incarnation, parent });
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

    fn learn(&mut self, m: usize, through: usize, epoch: u32) {
        // Entries of an abandoned log are ignored.
        if epoch != self.epoch {
            return;
        }
        if self.nodes[m].epoch != epoch {
            (self.nodes[m].applied, self.nodes[m].epoch) = (None, epoch);
        }
        let first = self.nodes[m].applied.map_or(0, |a| a + 1);
        if first > through {
            return;
        }
        self.nodes[m].applied = Some(through);
        // A node that is far behind applies a snapshot.
        let from = if through - first > 50 { through } else { first };
        for index in from..=through {
            let status = Box::new(self.log[index].clone());
            self.deliver(m, Event::Applied { epoch, status });
        }
        for child in 0..self.setting.members {
            if self.nodes[child].parent == Some(m) && self.reaches(m, child) && !self.is_lost() {
                let after = self.delay();
                self.at(after, SimEvent::Learn { m: child, through, epoch });
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
        self.at(after, SimEvent::Learn { m: leader, through: index as usize, epoch });
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
            (0..self.setting.members).filter(|m| self.is_reachable(*m)).collect();
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
        let mut rank: Vec<usize> = (0..self.setting.members).filter(|m| *m != leader).collect();
        let by = leader % rank.len().max(1);
        rank.rotate_left(by);
        rank.insert(0, leader);
        for r in 1..rank.len() {
            let (m, parent) = (rank[r], rank[(r - 1) / self.setting.fan]);
            let (after, incarnation) = (self.delay() * 3, self.nodes[m].incarnation);
            self.at(after, SimEvent::Parent { m, incarnation, parent });
        }
    }

    /// Runs the rounds of all nodes that regard themselves as the leader, and elections.
    fn rounds(&mut self) {
        self.at(100 * MS, SimEvent::Rounds);
        for m in 0..self.setting.members {
            let p = &self.nodes[m];
            let Some(view) = p.leading_view.filter(|_| p.is_up && p.paused_until <= self.now)
            else {
                continue;
            };
            if view != self.view && self.is_reachable(m) {
                self.nodes[m].leading_view = None;
                self.deliver(m, Event::Follows);
                continue;
            }
            if view != self.view || !self.is_reachable(m) {
                continue;
            }
            let (began, incarnation) = (self.local(m), self.nodes[m].incarnation);
            let answered = self.now;
            let after = 2 * self.delay();
            self.at(after, SimEvent::Round { m, incarnation, began, view, answered });
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
        for m in 0..self.setting.members {
            let any = self.rng.rand_range(0..self.setting.members as u64) as usize;
            let chosen = if self.rng.rand_float() < 0.3 {
                Some(any)
            } else {
                self.nodes[m].parent.or(self.leader)
            };
            let Some(source) = chosen.filter(|s| *s != m) else { continue };
            let both = self.reaches(source, m)
                && self.reaches(m, source)
                && !self.is_lost()
                && !self.is_lost();
            let epoch = self.nodes[source].epoch;
            if let Some(through) = self.nodes[source].applied.filter(|_| both) {
                let after = 2 * self.delay();
                self.at(after, SimEvent::Learn { m, through, epoch });
            }
        }
        // A leader has the whole log, even if it has not applied all entries yet.
        if let Some(leader) = self.leader.filter(|l| self.is_reachable(*l)) {
            let (after, through) = (self.rng.rand_range(0..200 * MS), self.log.len() - 1);
            self.at(after, SimEvent::Learn { m: leader, through, epoch: self.epoch });
        }
    }

    fn propose(&mut self) {
        let gap = (S as f64 / self.setting.rate * 2.0 * self.rng.rand_float()) as u64;
        self.at(gap.max(MS), SimEvent::Propose);
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
                    [1, 5, 6].into_iter().filter(|p| sample >> 8 & 1 << p != 0).chain([0, 4]);
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
        let m = self.rng.rand_range(0..members) as usize;
        let m = if self.rng.rand_float() < 0.3 { self.leader.unwrap_or(m) } else { m };
        let long = self.rng.rand_range(200 * MS..12 * S);
        match self.rng.rand_range(0..12) {
            0..=2 => self.kill(m),
            3..=5 => self.nodes[m].paused_until = self.nodes[m].paused_until.max(self.now + long),
            6 => self.nodes[m].cannot_send = true,
            7 => self.nodes[m].cannot_receive = true,
            8 => self.nodes[m].partition = 1,
            9 => {
                let partition = self.rng.rand_range(0..2) as u8 + 1;
                for p in &mut self.nodes {
                    p.partition =
                        if self.rng.rand_float() < 0.33 { partition } else { p.partition };
                }
            }
            10 if self.rng.rand_float() < 0.3 => {
                (0..self.setting.members).for_each(|m| self.kill(m))
            }
            11 if self.rng.rand_float() < 0.5 => self.lose_log(LEASES_EXPIRED),
            _ => self.elect(),
        }
        self.at(long, SimEvent::Heal);
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
        (0..majority).for_each(|m| self.kill((first + m) % self.setting.members));
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

    pub fn kill(&mut self, m: usize) {
        self.nodes[m].is_up = false;
        let after = self.rng.rand_range(50 * MS..4 * S);
        self.at(after, SimEvent::Restart { m });
    }

    pub fn pause(&mut self, m: usize, long: u64) {
        self.nodes[m].paused_until = self.now + long;
    }

    pub fn cut_off(&mut self, m: usize) {
        self.nodes[m].partition = 1;
    }

    pub fn heal(&mut self) {
        self.nodes
            .iter_mut()
            .for_each(|p| (p.partition, p.cannot_send, p.cannot_receive) = (0, false, false));
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
        for m in 0..self.setting.members {
            if !self.nodes[m].is_up || self.nodes[m].paused_until > self.now {
                continue;
            }
            let (in_force, now) = (self.nodes[m].in_force.clone(), self.local(m));
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
        let at = |p: &&Node| p.in_force.generation.index >= generation;
        let members = 0..self.setting.members;
        let holds =
            |m: &usize| matches!(self.nodes[*m].in_force.at(self.local(*m)), View::Agreed(..));
        (self.nodes.iter().filter(at).count(), members.filter(holds).count())
    }

    pub fn leases(&self, m: usize) -> &Leases {
        &self.nodes[m].leases
    }
}

/// Returns a document with excluded cells, a class exclusion and a number of attempts.
fn random_document(sample: u64) -> Document {
    let cells = |bits: u64| (1..8).filter(|p| *p != 4 && bits & 1 << p != 0).collect::<Vec<u32>>();
    let mut document = common::without(&cells(sample >> 8 & sample >> 16));
    let retained = cells(sample >> 24 & sample >> 32);
    if !retained.is_empty() {
        document.class_exclusions.insert("log".into(), retained.into_iter().collect());
    }
    document.attempts = 1 + (sample >> 40) as u8 % 3;
    document
}
