//! What every balancer runs, voters too: learns what is committed, in order, and passes it on to its
//! children in the tree; brings proposals to the leader. Votes are `Replica`'s matter, and what entries
//! mean the machine above's.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::learner_tree::{MAX_CHILDREN, order, parent};
use crate::log::{Log, SnapshotAssembly, SnapshotBase};
use crate::message::{
    Entry, EntryPayload, IncarnationCounts, LogIndex, MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES, Message,
    MessageBody, Part, ProposalId, ProposalOutcome, View, VoterSet,
};
use crate::replication::SNAPSHOT_INTERVAL_ENTRIES;

/// How often a learner asks its source.
pub const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// A source that has not answered for so long, twice asked, is changed.
pub const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// A source that, by its own word, has heard of no leader for so long is changed.
pub const MAX_LEADER_AGE: Duration = Duration::from_millis(1500);
/// A source that is not the tree's is left for the tree's after so long.
const BACK: Duration = Duration::from_secs(5);
/// What was asked for and did not come is asked for again after so long.
const AGAIN: Duration = Duration::from_millis(100);
/// Those whose own source is gone may come on top of the tree's children; beyond, they are not answered and
/// go elsewhere.
const GUESTS: usize = 8;
/// Parts (16 KiB at most) that a learner sends within 100 ms, to all together: the burst of a hundred that
/// catch up at once.
pub const MAX_CHUNKS_PER_INTERVAL: u32 = 32;
/// A proposal without an answer for so long is told as unknown.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Proposals underway at one door. One more is told as unknown at once: a flood would fill the memory.
pub const MAX_PENDING_PROPOSALS: usize = 256;

/// What a learner is given at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnerConfig {
    /// Who it is.
    pub node_id: NodeId,
    /// The council of the settings.
    pub voters: Vec<NodeId>,
    /// How many balancers there are.
    pub cluster: u16,
    /// For its chance.
    pub seed: u64,
}

/// What happens to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerEvent {
    /// Time has passed: at least every 50 ms.
    Tick,
    /// A word came, whose channel is `Log`.
    Message {
        /// Who said it.
        from: NodeId,
        /// Which process of it.
        incarnation: Incarnation,
        /// What.
        message: Message,
    },
    /// The council's machine of this process told [`crate::Action::Committed`].
    Committed {
        /// Where.
        index: LogIndex,
        /// What.
        entry: Entry,
    },
    /// The council's machine of this process told [`crate::Action::Reset`].
    Reset {
        /// The last entry in it.
        index: LogIndex,
        /// What stands there.
        base: SnapshotBase,
    },
    /// Whom the council's machine of this process hears lead ([`crate::Replica::leader`]), whenever that
    /// changes.
    Leader(Option<NodeId>),
    /// What the machine above made of the log up to an entry. Best at the same entries everywhere (every
    /// 1,024): then copies are alike, and one can be fetched from several.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// As long as [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// To be an entry.
    Propose {
        /// Names it.
        id: ProposalId,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Leases, which go the same way, want another source than this one: it takes no more, or has given none.
    ChangeSource(NodeId),
    /// What became of a proposal whose answer did not come?
    Ask {
        /// Which.
        id: ProposalId,
    },
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerAction {
    /// A word to another member; to this one's own council, if its channel is `Replica`.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        message: Message,
    },
    /// An entry is committed. Each is told once a life and epoch, in order and without a gap.
    Committed {
        /// Where.
        index: LogIndex,
        /// What.
        entry: Entry,
    },
    /// Everything up to here stands as this snapshot says; what was told before counts no longer. An empty
    /// state is that of a log without entries.
    Reset {
        /// The last entry in it.
        index: LogIndex,
        /// The machine above's state.
        state: Vec<u8>,
    },
    /// From whom it learns now; leases go the same way. `None`: it is the root, or looks for one.
    Source(Option<NodeId>),
    /// A child has the log up to an entry: [`crate::Event::Copied`] of this process's council.
    Copied {
        /// Which.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// What became of a proposal.
    Answered {
        /// Which.
        id: ProposalId,
        /// How.
        outcome: ProposalOutcome,
    },
    /// The log grows long: [`LearnerEvent::Snapshot`] is wanted.
    SnapshotWanted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Child {
    at: LogIndex,
    heard: Duration,
    pushed: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Underway {
    what: Option<EntryPayload>,
    began: Duration,
    asked: Duration,
    elsewhere: u32,
}

/// A learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Learner {
    settings: LearnerConfig,
    now: Duration,
    chance: u64,
    epoch: u32,
    log: Log,
    members: VoterSet,
    /// The leader, as told.
    leader: Option<NodeId>,
    /// The own council hears it.
    own: bool,
    /// When the leader led, as far as the source knew.
    led: Option<Duration>,
    order: Vec<NodeId>,
    source: Option<NodeId>,
    /// Sources that did not do, since the tree's.
    attempt: u32,
    since: Duration,
    heard: Duration,
    asked: Option<Duration>,
    /// Something was asked for that the source has.
    behind: bool,
    blob: SnapshotAssembly,
    /// The epoch of the snapshot that is being fetched.
    blob_epoch: u32,
    turn: usize,
    children: BTreeMap<NodeId, Child>,
    parts: u32,
    parts_since: Duration,
    underway: BTreeMap<ProposalId, Underway>,
    wanted: u64,
}

impl Learner {
    /// One that knows nothing yet.
    pub fn new(now: Duration, settings: LearnerConfig) -> Self {
        let members = VoterSet::of(settings.voters.iter().copied());
        let mut learner = Self {
            now,
            chance: settings.seed ^ 0x1EA4_0000,
            epoch: 0,
            log: Log::new(SnapshotBase { members: members.clone(), ..SnapshotBase::default() }),
            leader: None,
            own: false,
            led: None,
            order: order(settings.cluster, &members, None),
            members,
            source: None,
            attempt: 0,
            since: now,
            heard: now,
            asked: None,
            behind: false,
            blob: SnapshotAssembly::default(),
            blob_epoch: 0,
            turn: 0,
            children: BTreeMap::new(),
            parts: 0,
            parts_since: now,
            underway: BTreeMap::new(),
            wanted: 0,
            settings,
        };
        learner.source = learner.tree_source();
        learner
    }

    /// One event.
    pub fn handle(&mut self, now: Duration, event: LearnerEvent, actions: &mut Vec<LearnerAction>) {
        self.now = self.now.max(now);
        match event {
            LearnerEvent::Tick => self.tick(actions),
            LearnerEvent::Message { from, incarnation: _, message } => {
                self.message(from, message, actions)
            }
            LearnerEvent::Committed { index, entry } => {
                if index.epoch() == self.epoch && self.apply(index.op(), entry, actions) {
                    self.push(index.op(), actions);
                }
            }
            LearnerEvent::Reset { index, base } => self.adopt(index.epoch(), base, actions),
            LearnerEvent::Leader(leader) => {
                self.own = leader.is_some();
                if leader.is_some() {
                    self.learn_leader(leader, actions);
                }
            }
            LearnerEvent::Snapshot { index, bytes } => {
                let op = index.op();
                let known =
                    index.epoch() == self.epoch && op <= self.log.op() && op > self.log.base().op;
                if known && bytes.len() <= MAX_SNAPSHOT_BYTES - (64 << 10) {
                    self.log.rebase(self.log.base_at(op, bytes));
                }
            }
            LearnerEvent::ChangeSource(than) => {
                // Not again at once: whoever it goes to is to have its time to answer.
                if self.source == Some(than)
                    && self.now.saturating_sub(self.since) >= SOURCE_TIMEOUT
                {
                    self.change_source(actions);
                }
            }
            LearnerEvent::Propose { id, bytes } => {
                if bytes.len() > MAX_ENTRY_BYTES {
                    actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Never });
                } else {
                    self.begin(id, Some(EntryPayload::Command(bytes)), actions);
                }
            }
            LearnerEvent::Ask { id } => self.begin(id, None, actions),
        }
    }

    /// The last entry that it has.
    pub fn at(&self) -> LogIndex {
        LogIndex::new(self.epoch, self.log.op())
    }
    /// From whom it learns.
    pub fn source(&self) -> Option<NodeId> {
        self.source
    }
    /// Who learns from it.
    pub fn children(&self) -> impl Iterator<Item = NodeId> {
        self.children.keys().copied()
    }
    /// The leader, as far as it was told.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }
    /// Who votes, as far as it has learned.
    pub fn members(&self) -> &VoterSet {
        &self.members
    }

    fn draw(&mut self, below: usize) -> usize {
        self.chance = self
            .chance
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 33) as usize % below.max(1)
    }

    fn send(&self, to: NodeId, body: MessageBody, actions: &mut Vec<LearnerAction>) {
        let view = View { epoch: self.epoch, ..View::default() };
        actions.push(LearnerAction::Send {
            to,
            message: Message { view, counts: IncarnationCounts::new(), body },
        });
    }

    // What it learns.

    /// Takes the entry that comes next. Whether it did.
    fn apply(&mut self, op: u64, entry: Entry, actions: &mut Vec<LearnerAction>) -> bool {
        // Full, it waits for the machine above to give a snapshot.
        if op != self.log.op() + 1 || !self.log.has_room() {
            return false;
        }
        self.members.apply(op, &entry.what);
        self.log.push(entry.clone());
        if self.members.since == op {
            self.new_order(actions);
        }
        actions.push(LearnerAction::Committed { index: LogIndex::new(self.epoch, op), entry });
        if op.saturating_sub(self.log.base().op.max(self.wanted)) >= SNAPSHOT_INTERVAL_ENTRIES {
            self.wanted = op;
            actions.push(LearnerAction::SnapshotWanted);
        }
        true
    }

    /// Goes on from a snapshot, if it is of a later epoch, or beyond what is there.
    fn adopt(&mut self, epoch: u32, base: SnapshotBase, actions: &mut Vec<LearnerAction>) {
        if LogIndex::new(epoch, base.op) <= self.at() && epoch == self.epoch || epoch < self.epoch {
            return;
        }
        let index = LogIndex::new(epoch, base.op);
        self.epoch = epoch;
        self.wanted = 0;
        if !base.members.voters.is_empty() {
            self.members = base.members.clone();
        }
        actions.push(LearnerAction::Reset { index, state: base.state.clone() });
        self.log = Log::new(base);
        self.new_order(actions);
    }

    /// Tells the children that are not further than the entry before this one.
    fn push(&mut self, first: u64, actions: &mut Vec<LearnerAction>) {
        let ready = LogIndex::new(self.epoch, first - 1);
        let children: Vec<NodeId> = self
            .children
            .iter()
            .filter(|(_, c)| c.at >= ready)
            .map(|(member, _)| *member)
            .collect();
        for child in children {
            if self.has_parts() {
                let part = Part::Entries { first, entries: self.log.some(first, self.log.op()) };
                self.news(child, Some(part), actions);
            }
        }
    }

    /// What was pushed and not confirmed is pushed again: of what is lost, the child can't know.
    fn push_again(&mut self, actions: &mut Vec<LearnerAction>) {
        let (now, at) = (self.now, self.at());
        let lacks = |c: &Child| {
            c.at.epoch() == at.epoch() && c.at < at && now.saturating_sub(c.pushed) >= AGAIN
        };
        let late: Vec<(NodeId, u64)> = self
            .children
            .iter()
            .filter(|(_, c)| lacks(c))
            .map(|(m, c)| (*m, c.at.op() + 1))
            .collect();
        for (child, first) in late {
            if first > self.log.start() && self.has_parts() {
                if let Some(child) = self.children.get_mut(&child) {
                    child.pushed = now;
                }
                let part = self.log.part(first, self.log.op(), 0);
                self.news(child, Some(part), actions);
            }
        }
    }

    fn has_parts(&mut self) -> bool {
        if self.now.saturating_sub(self.parts_since) >= AGAIN {
            (self.parts, self.parts_since) = (0, self.now);
        }
        self.parts += 1;
        // What is new goes out at once to all children; what is old waits for its turn.
        self.parts <= MAX_CHUNKS_PER_INTERVAL
    }

    fn age(&self) -> u32 {
        let age = self
            .led
            .map_or(u32::MAX, |led| self.now.saturating_sub(led).as_millis().min(1 << 30) as u32);
        if self.own { 0 } else { age }
    }

    fn news(&self, to: NodeId, part: Option<Part>, actions: &mut Vec<LearnerAction>) {
        let (at, leader, members, age) = (self.at(), self.leader, self.members.clone(), self.age());
        self.send(to, MessageBody::News { at, leader, members, age, part }, actions);
    }

    // From whom.

    fn new_order(&mut self, actions: &mut Vec<LearnerAction>) {
        self.order = order(self.settings.cluster, &self.members, self.leader);
        if self.attempt == 0 {
            self.take_source(self.tree_source(), actions);
        }
    }

    fn learn_leader(&mut self, leader: Option<NodeId>, actions: &mut Vec<LearnerAction>) {
        if leader.is_some() && leader != self.leader {
            self.leader = leader;
            self.attempt = 0;
            self.new_order(actions);
        }
    }

    fn place(&self) -> usize {
        self.order.iter().position(|m| *m == self.settings.node_id).unwrap_or(self.order.len())
    }

    fn tree_source(&self) -> Option<NodeId> {
        parent(&self.order, self.place())
    }

    fn take_source(&mut self, source: Option<NodeId>, actions: &mut Vec<LearnerAction>) {
        if source != self.source {
            self.source = source;
            (self.heard, self.since) = (self.now, self.now);
            self.asked = None;
            actions.push(LearnerAction::Source(source));
        }
    }

    /// Another source, of those nearer to the root, by chance.
    fn change_source(&mut self, actions: &mut Vec<LearnerAction>) {
        self.attempt = self.attempt.saturating_add(1);
        let nearer = self.place().max(self.members.voters.len()).min(self.order.len());
        let (node_id, old) = (self.settings.node_id, self.source);
        let fit: Vec<NodeId> = self
            .order
            .iter()
            .take(nearer)
            .copied()
            .filter(|m| *m != node_id && Some(*m) != old && !self.children.contains_key(m))
            .collect();
        let next = fit.get(self.draw(fit.len())).copied().or(old);
        (self.heard, self.since) = (self.now, self.now);
        self.take_source(next, actions);
    }

    fn look_at_source(&mut self, actions: &mut Vec<LearnerAction>) {
        let root = self.own && self.leader == Some(self.settings.node_id);
        if root {
            self.attempt = 0;
            self.take_source(None, actions);
            return;
        }
        let silent = self.now.saturating_sub(self.heard) >= SOURCE_TIMEOUT;
        let stale = !self.own
            && self.now.saturating_sub(self.since) >= MAX_LEADER_AGE
            && self.age() > MAX_LEADER_AGE.as_millis() as u32;
        if silent || stale || self.source.is_none() && self.order.len() > 1 {
            self.change_source(actions);
        } else if self.attempt > 0 && self.now.saturating_sub(self.since) >= BACK {
            self.attempt = 0;
            self.since = self.now;
            self.take_source(self.tree_source(), actions);
        }
    }

    fn tick(&mut self, actions: &mut Vec<LearnerAction>) {
        let now = self.now;
        self.look_at_source(actions);
        self.children.retain(|_, c| now.saturating_sub(c.heard) < 2 * SOURCE_TIMEOUT);
        self.push_again(actions);
        let wait = if self.behind { AGAIN } else { POLL_INTERVAL };
        if self.asked.is_none_or(|asked| now.saturating_sub(asked) >= wait) {
            self.follow(actions);
        }
        let late: Vec<ProposalId> = self
            .underway
            .iter()
            .filter(|(_, u)| now.saturating_sub(u.began) >= PROPOSAL_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.underway.remove(&id);
            actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Unknown });
        }
        let again: Vec<ProposalId> = self
            .underway
            .iter()
            .filter(|(_, u)| now.saturating_sub(u.asked) >= POLL_INTERVAL)
            .map(|(id, _)| *id)
            .collect();
        for id in again {
            self.bring(id, None, actions);
        }
    }

    fn follow(&mut self, actions: &mut Vec<LearnerAction>) {
        self.asked = Some(self.now);
        if let Some(source) = self.source {
            let (at, offset, sum) = (self.at(), self.blob.offset(), self.blob.sum());
            self.send(source, MessageBody::LearnerPoll { at, offset, sum }, actions);
        }
    }

    // Words.

    fn message(&mut self, from: NodeId, message: Message, actions: &mut Vec<LearnerAction>) {
        match message.body {
            MessageBody::LearnerPoll { at, offset, sum } => {
                self.on_follow(from, at, offset, sum, actions)
            }
            MessageBody::News { at, leader, members, age, part } => {
                self.on_news(from, at, leader, &members, age, part, actions);
            }
            MessageBody::SnapshotChunkRequest { offset, sum }
                if sum == self.log.sum() && self.has_parts() =>
            {
                let part = self.log.part(0, 0, offset);
                self.news(from, Some(part), actions);
            }
            MessageBody::LearnerStatusRequest { nonce } => {
                let body = MessageBody::LearnerStatusResponse {
                    nonce,
                    at: self.at(),
                    members: self.members.clone(),
                };
                self.send(from, body, actions);
            }
            MessageBody::GetLearnerState { from: first, offset } if self.has_parts() => {
                let part = self.log.part(first, self.log.op(), offset);
                self.send(from, MessageBody::Part(part), actions);
            }
            MessageBody::ProposalResponse { id, outcome, leader } => {
                self.on_answer(from, id, outcome, leader, actions)
            }
            _ => {}
        }
    }

    fn on_follow(
        &mut self,
        from: NodeId,
        at: LogIndex,
        offset: u32,
        sum: u32,
        actions: &mut Vec<LearnerAction>,
    ) {
        let full = self.children.len() >= MAX_CHILDREN + GUESTS;
        if full && !self.children.contains_key(&from) || from == self.settings.node_id {
            return;
        }
        let pushed = self.now;
        self.children.insert(from, Child { at, heard: self.now, pushed });
        if at.epoch() == self.epoch {
            actions.push(LearnerAction::Copied { by: from, index: at });
        }
        let part = if at < self.at() && self.has_parts() {
            let first = if at.epoch() == self.epoch { at.op() + 1 } else { 0 };
            let offset = if sum == self.log.sum() { offset } else { 0 };
            Some(self.log.part(first, self.log.op(), offset))
        } else {
            None
        };
        self.news(from, part, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "each is a field of the word")]
    fn on_news(
        &mut self,
        from: NodeId,
        at: LogIndex,
        leader: Option<NodeId>,
        members: &VoterSet,
        age: u32,
        part: Option<Part>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if self.source == Some(from) {
            self.heard = self.now;
            let led = self.now.checked_sub(Duration::from_millis(u64::from(age)));
            self.led = self.led.max(led);
            if !self.own && age < MAX_LEADER_AGE.as_millis() as u32 {
                // VoterSet first: who leads counts only among them.
                if at.epoch() > self.epoch && !members.voters.is_empty() {
                    self.members = members.clone();
                }
                self.learn_leader(leader, actions);
            }
        }
        if at.epoch() < self.epoch
            && age < MAX_LEADER_AGE.as_millis() as u32
            && let Some(leader) = leader
        {
            // It goes back for nobody; the leader can go on under a greater name.
            let body = MessageBody::LearnerStatusResponse {
                nonce: 0,
                at: self.at(),
                members: self.members.clone(),
            };
            self.send(leader, body, actions);
        }
        let before = self.at();
        let mut helped = false;
        match part {
            Some(Part::Entries { first, entries }) if at.epoch() == self.epoch => {
                for (place, entry) in entries.into_iter().enumerate() {
                    self.apply(first.saturating_add(place as u64), entry, actions);
                }
            }
            Some(chunk @ Part::Chunk { .. }) if at > before => {
                if self.blob_epoch != at.epoch() {
                    (self.blob, self.blob_epoch) = (SnapshotAssembly::default(), at.epoch());
                }
                let offset = self.blob.offset();
                if let Some(base) = self.blob.take(chunk) {
                    self.adopt(at.epoch(), base, actions);
                }
                helped = self.blob.offset() > offset;
            }
            _ => {}
        }
        if self.at() > before {
            self.blob = SnapshotAssembly::default();
            let first =
                if before.epoch() == self.epoch { before.op() + 1 } else { self.log.base().op + 1 };
            if first <= self.log.op() {
                self.push(first, actions);
            }
        }
        self.behind = at > self.at();
        // One part is under way at a time: that is what paces it. What came is told at once, and asks for
        // the next.
        if self.at() > before || helped && self.source == Some(from) && !self.ask_another(actions) {
            self.follow(actions);
        } else if helped {
            self.asked = Some(self.now);
            if self.source != Some(from) {
                self.follow(actions);
            }
        }
    }

    /// Asks one that is not the source for the next bytes, in turn with it: a snapshot comes from several.
    fn ask_another(&mut self, actions: &mut Vec<LearnerAction>) -> bool {
        let (node_id, source) = (self.settings.node_id, self.source);
        let nearer = self.place().max(self.members.voters.len()).min(self.order.len());
        let others: Vec<NodeId> = self
            .order
            .iter()
            .take(nearer)
            .copied()
            .filter(|m| *m != node_id && Some(*m) != source)
            .collect();
        self.turn = self.turn.wrapping_add(1);
        let Some(other) = others.get(self.turn % others.len().max(1)).copied() else {
            return false;
        };
        self.asked = Some(self.now);
        self.send(
            other,
            MessageBody::SnapshotChunkRequest { offset: self.blob.offset(), sum: self.blob.sum() },
            actions,
        );
        true
    }

    // Proposals.

    fn begin(
        &mut self,
        id: ProposalId,
        what: Option<EntryPayload>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if self.underway.contains_key(&id) {
            return;
        }
        if self.underway.len() >= MAX_PENDING_PROPOSALS {
            // Not a no: it may have been sent before.
            actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Unknown });
            return;
        }
        let underway = Underway { what, began: self.now, asked: self.now, elsewhere: 0 };
        self.underway.insert(id, underway);
        self.bring(id, None, actions);
    }

    /// To the leader, or to a voter that may know it.
    fn bring(&mut self, id: ProposalId, to: Option<NodeId>, actions: &mut Vec<LearnerAction>) {
        let voters: Vec<NodeId> = self.members.voters.iter().copied().collect();
        let any = voters.get(self.draw(voters.len())).copied();
        let Some(underway) = self.underway.get_mut(&id) else { return };
        // A leader that did not answer once may lead no longer.
        let again = underway.asked > underway.began && underway.elsewhere % 2 == 1;
        underway.asked = self.now;
        underway.elsewhere = underway.elsewhere.wrapping_add(1);
        let what = underway.what.clone();
        let leader = self.leader.filter(|_| !again);
        if let Some(to) = to.or(leader).or(any) {
            self.send(to, MessageBody::Propose { id, what }, actions);
        }
    }

    fn on_answer(
        &mut self,
        from: NodeId,
        id: ProposalId,
        outcome: Option<ProposalOutcome>,
        leader: Option<NodeId>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if !self.underway.contains_key(&id) {
            return;
        }
        match outcome {
            Some(outcome) => {
                self.underway.remove(&id);
                actions.push(LearnerAction::Answered { id, outcome });
            }
            // Told where to ask, it asks there once; a circle of such answers waits for the next round.
            None if leader.is_some() && leader != Some(from) && leader != self.leader => {
                self.bring(id, leader, actions);
            }
            None => {}
        }
    }
}
