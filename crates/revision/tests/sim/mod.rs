//! A bank in virtual time: machines of leases over a bad network, and a log that is played: always right,
//! with a leader that changes, and that is learned late.
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
use hollowpaddle_revision::fleet::Facts;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::leases::{Action, Event, LeaseConfig, Leases};
use hollowpaddle_revision::message::{Generation, Message};
use hollowpaddle_revision::policy_state::{PolicyState, PolicyStatus};
use hollowpaddle_revision::rules::{Place, Rules};
use oorandom::Rand64;

use crate::common;
use oracle::{Act, Found, Oracle};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// The last of those that were killed is back, and has lived for longer than a lease.
pub const LEASES_EXPIRED: u64 = 4 * S + 2100 * MS;

/// What is wrong with a bank on purpose, so that the oracle is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// Holders act on rules however long ago their lease ended.
    Lease,
    /// The new rules come at once, without the step at which both forbid.
    FirstStep,
    /// Steps follow each other without anybody's confirmation.
    Confirming,
    /// A charter grows smaller without everybody's word.
    FallbackPolicy,
}

#[derive(Clone, Debug)]
pub struct Setting {
    pub members: usize,
    /// Children by the tree that is told to the machines.
    pub fan: usize,
    pub loss: f64,
    pub length: u64,
    pub faults: usize,
    /// Revisions a second.
    pub rate: f64,
    pub broken: Broken,
    pub exact: bool,
    pub tick: u64,
}

enum Ev {
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
        upto: usize,
        epoch: u32,
    },
    Found,
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

struct Proc {
    leases: Leases,
    incarnation: u32,
    up: bool,
    born: u64,
    /// Its clock's microseconds in a million of real ones.
    rate: u64,
    paused: u64,
    applied: Option<usize>,
    /// Of the log that it has applied.
    epoch: u32,
    in_force: InForce,
    wake: Duration,
    parent: Option<usize>,
    disk: bool,
    stored: Option<(Generation, FallbackPolicy)>,
    /// It believes to lead this view.
    leads: Option<u32>,
    side: u8,
    /// Its datagrams get nowhere; none gets to it.
    mute: bool,
    deaf: bool,
}

pub struct Sim {
    pub setting: Setting,
    pub rng: Rand64,
    pub now: u64,
    seq: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    procs: Vec<Proc>,
    policy: PolicyState,
    epoch: u32,
    /// A majority has forgotten the log: nobody leads until it is founded anew.
    forgotten: bool,
    entries: Vec<Vec<u8>>,
    /// What each entry came to, by index.
    pub log: Vec<PolicyStatus>,
    pub committed: Vec<u64>,
    leader: Option<usize>,
    view: u32,
    lost_since: Option<u64>,
    oracle: Oracle,
    pub words: u64,
    pub bytes: u64,
    asked: u128,
    /// Charters that every member has confirmed.
    pub charters: u64,
    masks: BTreeMap<usize, (Arc<Rules>, u32)>,
}

impl Sim {
    pub fn new(seed: u64, setting: Setting) -> Self {
        let members = setting.members;
        let policy = PolicyState::found(common::bootstrap(members as u16)).unwrap();
        let always = [0, 4].iter().fold(1 << 16, |all, cell| all | 1 << cell | 1 << (cell + 8));
        let mut sim = Self {
            rng: Rand64::new(u128::from(seed) << 8 | 5),
            now: 0,
            seq: 0,
            queue: BTreeMap::new(),
            procs: Vec::new(),
            log: vec![policy.status()],
            committed: vec![0],
            epoch: 1,
            forgotten: false,
            entries: vec![vec![]],
            policy,
            leader: None,
            view: 0,
            lost_since: Some(0),
            oracle: Oracle::new(always),
            words: 0,
            bytes: 0,
            asked: 0,
            charters: 0,
            masks: BTreeMap::new(),
            setting,
        };
        for m in 0..members {
            let disk = sim.rng.rand_float() < 0.5;
            let rate = 995_000 + sim.rng.rand_range(0..10_000);
            let proc = sim.proc(m, 1, rate, disk, None);
            sim.procs.push(proc);
            sim.at(0, Ev::Learn { m, upto: 0, epoch: 1 });
        }
        sim.elect();
        let (faults, length) = (sim.setting.faults, sim.setting.length);
        for _ in 0..faults {
            let at = sim.rng.rand_range(S..length.max(S + 1));
            sim.at(at, Ev::Fault);
        }
        for ev in [Ev::Rounds, Ev::Gossip, Ev::Tick] {
            sim.at(0, ev);
        }
        if sim.setting.rate > 0.0 {
            sim.at(300 * MS, Ev::Propose);
        }
        sim
    }

    fn proc(
        &self,
        m: usize,
        incarnation: u32,
        rate: u64,
        disk: bool,
        stored: Option<(Generation, FallbackPolicy)>,
    ) -> Proc {
        let mandatory_fallback = common::bootstrap(1).mandatory_fallback;
        let mut terms =
            LeaseConfig::usual(NodeId(m as u16), Incarnation(incarnation), mandatory_fallback);
        (terms.stored, terms.exact) = (stored.clone(), self.setting.exact);
        let leases = Leases::new(terms);
        Proc {
            in_force: leases.in_force(),
            leases,
            incarnation,
            up: true,
            born: self.now,
            rate,
            paused: 0,
            applied: None,
            epoch: 0,
            wake: Duration::MAX,
            parent: None,
            disk,
            stored,
            leads: None,
            side: 0,
            mute: false,
            deaf: false,
        }
    }

    fn at(&mut self, after: u64, ev: Ev) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), ev);
    }

    fn local(&self, m: usize) -> Duration {
        let p = &self.procs[m];
        Duration::from_micros((self.now - p.born) * p.rate / 1_000_000)
    }

    fn ok(&self, m: usize) -> bool {
        let p = &self.procs[m];
        p.up && p.paused <= self.now && p.side == 0 && !p.mute && !p.deaf
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.procs[from], &self.procs[to]);
        a.up && b.up && a.side == b.side && !a.mute && !b.deaf
    }

    fn delay(&mut self) -> u64 {
        self.rng.rand_range(MS..15 * MS)
    }

    fn lost(&mut self) -> bool {
        self.rng.rand_float() < self.setting.loss
    }

    pub fn run(&mut self, until: u64) {
        while let Some(((at, _), ev)) = self.queue.pop_first() {
            if at > until {
                self.seq += 1;
                self.queue.insert((at, self.seq), ev);
                break;
            }
            self.now = at;
            self.take(ev);
        }
        self.now = until;
    }

    pub fn finish(mut self) -> Found {
        let length = self.setting.length;
        self.run(length);
        let (charters, words) = (self.charters, self.words);
        Found { charters, words, ..self.oracle.found() }
    }

    /// Whose an event is; a paused process gets it later.
    fn take(&mut self, ev: Ev) {
        let whose = match &ev {
            Ev::Message { to, .. } => Some((*to, None)),
            Ev::Wake { m, incarnation, .. }
            | Ev::Round { m, incarnation, .. }
            | Ev::Persisted { m, incarnation, .. }
            | Ev::Parent { m, incarnation, .. } => Some((*m, Some(*incarnation))),
            Ev::Learn { m, .. } => Some((*m, None)),
            _ => None,
        };
        if let Some((m, incarnation)) = whose {
            let p = &self.procs[m];
            if !p.up || incarnation.is_some_and(|l| l != p.incarnation) {
                return;
            }
            if p.paused > self.now {
                let after = p.paused - self.now;
                return self.at(after, ev);
            }
        }
        match ev {
            Ev::Message { to, from, incarnation, message } => {
                self.tell(
                    to,
                    Event::Message {
                        from: NodeId(from as u16),
                        incarnation: Incarnation(incarnation),
                        message,
                    },
                );
            }
            Ev::Wake { m, at, .. } => {
                if self.procs[m].wake == at {
                    self.procs[m].wake = Duration::MAX;
                    self.tell(m, Event::Due);
                }
            }
            Ev::Learn { m, upto, epoch } => self.learn(m, upto, epoch),
            Ev::Found => self.bootstrap_again(),
            Ev::Commit { view, entry } => self.commit(view, &entry),
            Ev::Round { m, began, view, answered, .. } => {
                // Answered by a majority that had not gone over to another view by then.
                if self.procs[m].leads == Some(view) && answered != u64::MAX {
                    self.tell(m, Event::Round { began });
                }
            }
            Ev::Persisted { m, fallback_generation, fallback_policy, .. } => {
                if self.procs[m].disk {
                    self.procs[m].stored = Some((fallback_generation, (*fallback_policy).clone()));
                }
                self.tell(m, Event::FallbackPolicyPersisted { fallback_generation });
            }
            Ev::Parent { m, parent, .. } => {
                self.procs[m].parent = Some(parent);
                let parent =
                    (self.procs[m].leads != Some(self.view)).then_some(NodeId(parent as u16));
                self.tell(m, Event::Parent(parent));
            }
            Ev::Restart { m } => {
                if !self.procs[m].up {
                    let (incarnation, rate, disk) =
                        (self.procs[m].incarnation + 1, self.procs[m].rate, self.procs[m].disk);
                    let stored = self.procs[m].stored.clone().filter(|_| disk);
                    self.procs[m] = self.proc(m, incarnation, rate, disk, stored);
                    let after = self.delay();
                    let parent =
                        self.leader.filter(|l| *l != m).unwrap_or((m + 1) % self.setting.members);
                    self.at(after, Ev::Parent { m, incarnation, parent });
                    self.at(after, Ev::Learn { m, upto: 0, epoch: self.epoch });
                }
            }
            Ev::Heal => {
                self.procs.iter_mut().for_each(|p| (p.side, p.mute, p.deaf) = (0, false, false))
            }
            Ev::Fault => self.fault(),
            Ev::Rounds => self.rounds(),
            Ev::Gossip => self.gossip(),
            Ev::Propose => self.propose(),
            Ev::Tick => self.tick(),
        }
    }

    fn tell(&mut self, m: usize, event: Event) {
        let (now, incarnation, mut actions) =
            (self.local(m), self.procs[m].incarnation, Vec::new());
        self.procs[m].leases.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(m, usize::from(to.0), message),
                Action::Publish(in_force) => {
                    let none = in_force.until == Duration::ZERO;
                    if !(self.setting.broken == Broken::Lease && none) {
                        self.procs[m].in_force = in_force;
                    }
                }
                Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                    let after =
                        if self.procs[m].disk { self.rng.rand_range(MS..40 * MS) } else { 0 };
                    self.at(
                        after,
                        Ev::Persisted { m, incarnation, fallback_generation, fallback_policy },
                    );
                }
                Action::WakeAt(at) => {
                    self.procs[m].wake = at;
                    let p = &self.procs[m];
                    let real =
                        p.born + (at.as_micros() as u64).saturating_mul(1_000_000) / p.rate + 2;
                    let after = real.saturating_sub(self.now);
                    self.at(after, Ev::Wake { m, incarnation, at });
                }
                Action::Propose(entry) => {
                    let (after, view) =
                        (self.rng.rand_range(5 * MS..40 * MS), self.procs[m].leads.unwrap_or(0));
                    if matches!(entry, Entry::FallbackPolicyConfirmed(_)) {
                        self.charters += 1;
                    }
                    self.at(after, Ev::Commit { view, entry });
                }
                Action::Learn { .. } => {}
                Action::ChangeParent { .. } => {
                    let (after, members) = (self.delay(), self.setting.members as u64);
                    let any = self.rng.rand_range(0..members) as usize;
                    let leads = self.rng.rand_float() < 1.0 / (1.0 + members as f64 / 10.0);
                    let parent = if leads { self.leader.unwrap_or(any) } else { any };
                    if parent != m {
                        self.at(after, Ev::Parent { m, incarnation, parent });
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.words += 1;
        let bytes = message.to_bytes();
        self.bytes += bytes.len() as u64;
        let message = Message::from_bytes(&bytes).expect("a word that was written can be read");
        if !self.reaches(from, to) {
            return;
        }
        let incarnation = self.procs[from].incarnation;
        // Copies come late: also to a later life.
        let copies = 1 + u64::from(self.rng.rand_float() < 0.03);
        for copy in 0..copies {
            if !self.lost() {
                let after = self.delay() + copy * self.rng.rand_range(0..3 * S);
                self.at(after, Ev::Message { to, from, incarnation, message: message.clone() });
            }
        }
    }

    fn learn(&mut self, m: usize, upto: usize, epoch: u32) {
        // What was under way of a log that was given up counts for nothing.
        if epoch != self.epoch {
            return;
        }
        if self.procs[m].epoch != epoch {
            (self.procs[m].applied, self.procs[m].epoch) = (None, epoch);
        }
        let first = self.procs[m].applied.map_or(0, |a| a + 1);
        if first > upto {
            return;
        }
        self.procs[m].applied = Some(upto);
        // Whoever is far behind takes a snapshot of the end.
        let from = if upto - first > 50 { upto } else { first };
        for index in from..=upto {
            let status = Box::new(self.log[index].clone());
            self.tell(m, Event::Applied { epoch, status });
        }
        for child in 0..self.setting.members {
            if self.procs[child].parent == Some(m) && self.reaches(m, child) && !self.lost() {
                let after = self.delay();
                self.at(after, Ev::Learn { m: child, upto, epoch });
            }
        }
    }

    fn commit(&mut self, view: u32, entry: &Entry) {
        let Some(leader) = self.leader.filter(|l| view == self.view && self.ok(*l)) else { return };
        let index = self.log.len() as u64;
        self.entries.push(entry.to_bytes().unwrap());
        self.policy.apply(index, &entry.to_bytes().unwrap());
        let mut status = self.policy.status();
        if let Some(to) = status.towards.filter(|_| self.setting.broken == Broken::FirstStep) {
            let said = (*self.policy.kept(to).unwrap().document).clone();
            status.rules = Arc::new(Rules::of(said, status.rules.floor().clone()));
        }
        let early = status.awaited.then_some(status.fallback_generation);
        if let Some(fallback_generation) =
            early.filter(|_| self.setting.broken == Broken::FallbackPolicy)
        {
            self.at(
                5 * MS,
                Ev::Commit { view, entry: Entry::FallbackPolicyConfirmed(fallback_generation) },
            );
        }
        let unconfirmed = status.unconfirmed.then_some(status.generation);
        self.log.push(status);
        self.committed.push(self.now);
        // The leader applies what it commits first, or a little later.
        let after = if self.rng.rand_float() < 0.2 { self.rng.rand_range(0..30 * MS) } else { 0 };
        let epoch = self.epoch;
        self.at(after, Ev::Learn { m: leader, upto: index as usize, epoch });
        if let Some(generation) = unconfirmed.filter(|_| self.setting.broken == Broken::Confirming)
        {
            self.at(5 * MS, Ev::Commit { view, entry: Entry::GenerationConfirmed(generation) });
        }
    }

    fn elect(&mut self) {
        let able: Vec<usize> = (0..self.setting.members).filter(|m| self.ok(*m)).collect();
        // A majority of the bank stands for one of the council.
        if able.len() * 2 <= self.setting.members || self.forgotten {
            return;
        }
        self.view += 1;
        let leader = able[self.rng.rand_range(0..able.len() as u64) as usize];
        if let Some(old) = self.leader.filter(|old| *old != leader && self.ok(*old)) {
            self.procs[old].leads = None;
            self.tell(old, Event::Follows);
        }
        (self.leader, self.lost_since) = (Some(leader), None);
        self.procs[leader].leads = Some(self.view);
        self.procs[leader].parent = None;
        self.tell(leader, Event::Parent(None));
        let from = self.log.len() as u64 - 1;
        self.tell(leader, Event::Leads { since: self.local(leader), epoch: self.epoch, from });
        let mut rank: Vec<usize> = (0..self.setting.members).filter(|m| *m != leader).collect();
        let by = leader % rank.len().max(1);
        rank.rotate_left(by);
        rank.insert(0, leader);
        for r in 1..rank.len() {
            let (m, parent) = (rank[r], rank[(r - 1) / self.setting.fan]);
            let (after, incarnation) = (self.delay() * 3, self.procs[m].incarnation);
            self.at(after, Ev::Parent { m, incarnation, parent });
        }
    }

    /// Rounds of all that believe to lead, and what becomes of the lead.
    fn rounds(&mut self) {
        self.at(100 * MS, Ev::Rounds);
        for m in 0..self.setting.members {
            let p = &self.procs[m];
            let Some(view) = p.leads.filter(|_| p.up && p.paused <= self.now) else { continue };
            if view != self.view && self.ok(m) {
                self.procs[m].leads = None;
                self.tell(m, Event::Follows);
                continue;
            }
            if view != self.view || !self.ok(m) {
                continue;
            }
            let (began, incarnation) = (self.local(m), self.procs[m].incarnation);
            let answered = self.now;
            let after = 2 * self.delay();
            self.at(after, Ev::Round { m, incarnation, began, view, answered });
        }
        let leader_ok =
            self.leader.is_some_and(|l| self.ok(l) && self.procs[l].leads == Some(self.view));
        self.lost_since = if leader_ok { None } else { self.lost_since.or(Some(self.now)) };
        let patience = self.rng.rand_range(300 * MS..1200 * MS);
        if self.lost_since.is_some_and(|since| self.now - since > patience) {
            self.elect();
        }
    }

    fn gossip(&mut self) {
        self.at(100 * MS, Ev::Gossip);
        for m in 0..self.setting.members {
            let any = self.rng.rand_range(0..self.setting.members as u64) as usize;
            let chosen = if self.rng.rand_float() < 0.3 {
                Some(any)
            } else {
                self.procs[m].parent.or(self.leader)
            };
            let Some(source) = chosen.filter(|s| *s != m) else { continue };
            let both =
                self.reaches(source, m) && self.reaches(m, source) && !self.lost() && !self.lost();
            let epoch = self.procs[source].epoch;
            if let Some(upto) = self.procs[source].applied.filter(|_| both) {
                let after = 2 * self.delay();
                self.at(after, Ev::Learn { m, upto, epoch });
            }
        }
        // A leader has the whole log, even if it has not applied it yet.
        if let Some(leader) = self.leader.filter(|l| self.ok(*l)) {
            let (after, upto) = (self.rng.rand_range(0..200 * MS), self.log.len() - 1);
            self.at(after, Ev::Learn { m: leader, upto, epoch: self.epoch });
        }
    }

    fn propose(&mut self) {
        let gap = (S as f64 / self.setting.rate * 2.0 * self.rng.rand_float()) as u64;
        self.at(gap.max(MS), Ev::Propose);
        self.asked += 1;
        let id = CommandId(self.asked);
        let on_trial = self.rng.rand_range(0..8) == 0;
        let canary =
            on_trial.then_some(CanaryTerms { seconds: 1 + self.asked as u32 % 4, fall: 1000 });
        let ask = Box::new(ProposalOptions {
            id,
            base: None,
            canary,
            forced: true,
            facts: Facts::default(),
        });
        let draw = self.rng.rand_u64();
        let entry = match draw % 20 {
            // A charter grows smaller or larger now and then.
            0 if self.rng.rand_float() * self.setting.rate < 2.0 => {
                let cells = [1, 5, 6].into_iter().filter(|p| draw >> 8 & 1 << p != 0).chain([0, 4]);
                let fallback_policy = FallbackPolicy {
                    cells: cells.collect(),
                    ..common::bootstrap(1).fallback_policy
                };
                Entry::FallbackPolicy(id, fallback_policy, Box::default())
            }
            1..=3 => {
                let newest = self.policy.newest();
                let kept: Vec<u64> =
                    self.policy.revisions().map(|(n, _)| n).filter(|n| *n != newest).collect();
                let to = kept.get(draw as usize / 32 % kept.len().max(1)).copied().unwrap_or(0);
                Entry::Rollback(ask, to)
            }
            _ => Entry::Propose(ask, Box::new(drawn(draw))),
        };
        let (after, view) = (self.rng.rand_range(5 * MS..40 * MS), self.view);
        self.at(after, Ev::Commit { view, entry });
    }

    /// One entry, at once.
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
            3..=5 => self.procs[m].paused = self.procs[m].paused.max(self.now + long),
            6 => self.procs[m].mute = true,
            7 => self.procs[m].deaf = true,
            8 => self.procs[m].side = 1,
            9 => {
                let side = self.rng.rand_range(0..2) as u8 + 1;
                for p in &mut self.procs {
                    p.side = if self.rng.rand_float() < 0.33 { side } else { p.side };
                }
            }
            10 if self.rng.rand_float() < 0.3 => {
                (0..self.setting.members).for_each(|m| self.kill(m))
            }
            11 if self.rng.rand_float() < 0.5 => self.forget(LEASES_EXPIRED),
            _ => self.elect(),
        }
        self.at(long, Ev::Heal);
    }

    /// A majority dies with all that it knew; the others go on with what they have. The log is founded anew
    /// once all of that majority have lived for longer than a lease: whoever answered an old leader's round
    /// has died before.
    pub fn forget(&mut self, wait: u64) {
        if self.forgotten {
            return;
        }
        self.forgotten = true;
        let most = self.setting.members / 2 + 1;
        let first = self.leader.unwrap_or(0);
        (0..most).for_each(|m| self.kill((first + m) % self.setting.members));
        self.at(wait, Ev::Found);
    }

    /// From a copy that lacks the last entries, but for what changed the charter.
    fn bootstrap_again(&mut self) {
        let lost = self.rng.rand_range(0..4) as usize;
        let whole = self
            .log
            .iter()
            .rposition(|s| s.generation == s.index && s.fallback_generation == s.index)
            .unwrap_or(0);
        let whole = whole.max(self.log.iter().rposition(|s| s.awaited).unwrap_or(0));
        let length = (self.log.len() - lost.min(self.log.len() - 1)).max(whole + 1);
        self.policy = PolicyState::found(common::bootstrap(self.setting.members as u16)).unwrap();
        for index in 1..length {
            self.policy.apply(index as u64, &self.entries[index]);
        }
        self.entries.truncate(length);
        self.log.truncate(length);
        self.committed.truncate(length);
        (self.epoch, self.forgotten, self.leader) = (self.epoch + 1, false, None);
        self.lost_since = Some(self.now);
    }

    pub fn kill(&mut self, m: usize) {
        self.procs[m].up = false;
        let after = self.rng.rand_range(50 * MS..4 * S);
        self.at(after, Ev::Restart { m });
    }

    pub fn pause(&mut self, m: usize, long: u64) {
        self.procs[m].paused = self.now + long;
    }

    pub fn cut(&mut self, m: usize) {
        self.procs[m].side = 1;
    }

    pub fn heal(&mut self) {
        self.procs.iter_mut().for_each(|p| (p.side, p.mute, p.deaf) = (0, false, false));
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    /// What may be sent under these rules: pods for two classes, and numbers of attempts.
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
        self.at(tick, Ev::Tick);
        let mut acts = Vec::with_capacity(self.setting.members);
        for m in 0..self.setting.members {
            if !self.procs[m].up || self.procs[m].paused > self.now {
                continue;
            }
            let (in_force, now) = (self.procs[m].in_force.clone(), self.local(m));
            let never_ends =
                self.setting.broken == Broken::Lease && in_force.until > Duration::ZERO;
            let (rules, knows) = match in_force.at(now) {
                View::Agreed(..) => (&in_force.rules, true),
                View::FallbackPolicy(_) if never_ends => (&in_force.rules, true),
                View::FallbackPolicy(_) => (&in_force.fallback_policy, false),
            };
            acts.push(Act { sends: self.mask(rules), knows });
        }
        self.oracle.look(self.now, &acts);
    }

    /// How many are at this stage or a later one, and how many hold a lease.
    pub fn at_generation(&self, generation: u64) -> (usize, usize) {
        let at = |p: &&Proc| p.in_force.generation.index >= generation;
        let members = 0..self.setting.members;
        let holds =
            |m: &usize| matches!(self.procs[*m].in_force.at(self.local(*m)), View::Agreed(..));
        (self.procs.iter().filter(at).count(), members.filter(holds).count())
    }

    pub fn leases(&self, m: usize) -> &Leases {
        &self.procs[m].leases
    }
}

/// Pods out, a class kept from others, attempts.
fn drawn(draw: u64) -> Document {
    let cells = |bits: u64| (1..8).filter(|p| *p != 4 && bits & 1 << p != 0).collect::<Vec<u32>>();
    let mut document = common::without(&cells(draw >> 8 & draw >> 16));
    let kept = cells(draw >> 24 & draw >> 32);
    if !kept.is_empty() {
        document.class_exclusions.insert("log".into(), kept.into_iter().collect());
    }
    document.attempts = 1 + (draw >> 40) as u8 % 3;
    document
}
