//! A voter as a pure machine: its state, what goes in and out, and that nothing goes out before the disk
//! has what it rests on. Views are in `views`, the log in `normal`, starts and foundings in `waking`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::log::{Log, SnapshotBase, StateTransfer};
use crate::log_record::{DurableState, Record};
use crate::message::{
    Entry, EntryPayload, Heartbeat, IncarnationCounts, LogIndex, Message, MessageBody, ProposalId,
    ReplicaStatus, View, VoterSet,
};
use crate::recovery::Waking;

/// How often a member says that it is there, and a leader begins a round.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A member that was not heard for so long is not connected: four words in a row were lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(450);
/// A leader whose rounds no majority answered for so long leads no longer.
pub const QUORUM_LOSS_TIMEOUT: Duration = Duration::from_millis(600);
/// A view that could not begin within so long is tried again.
pub(crate) const VIEW_CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Words that wait for the disk. Beyond, the oldest go unsaid, as if lost: a disk that stands still would
/// fill the memory.
const MAX_MESSAGES_AWAITING_SYNC: usize = 4096;
/// Rounds whose beginning a leader remembers.
const MAX_TRACKED_HEARTBEATS: usize = 16;

/// What a member is given at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// Who it is.
    pub node_id: NodeId,
    /// This process of it.
    pub incarnation: Incarnation,
    /// The council of the settings, believed as long as nobody tells of a later one.
    pub voters: Vec<NodeId>,
    /// How many balancers there are: whom to ask for copies.
    pub cluster: u16,
    /// There is a state directory: what is said waits for [`Event::Persisted`].
    pub directory: bool,
    /// Learners outside the council that have an entry before a yes is said, as far as such are there.
    /// Without directories 2, with them 0.
    pub copies: u8,
    /// For its chance.
    pub seed: u64,
}

/// Who is in the council of a bank of so many by default: 5 of up to 100, 7 beyond, evenly over the
/// numbers. The settings can name others.
pub fn default_voters(cluster: u16) -> Vec<NodeId> {
    let seats = if cluster > 100 { 7 } else { 5.min(cluster) };
    (0..seats)
        .map(|seat| NodeId((u32::from(seat) * u32::from(cluster) / u32::from(seats.max(1))) as u16))
        .collect()
}

/// What operators say.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    /// One member of the council for another, also for a dead one. Answered like a proposal of this id.
    ReplaceVoter {
        /// Names it.
        id: ProposalId,
        /// Who goes.
        removed: NodeId,
        /// Who comes.
        replacement: Option<NodeId>,
    },
    /// This member founds an epoch with these voters on the best copy that they have: a majority is gone
    /// for good. Said where a majority is only cut off, the log parts in two; the greater epoch wins when
    /// they meet.
    ForceNewEpoch {
        /// Who votes from now on.
        members: Vec<NodeId>,
    },
}

/// What happens to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed: at least every 25 ms.
    Tick,
    /// A word came, whose channel is `Replica`.
    Message {
        /// Who said it.
        from: NodeId,
        /// Which process of it.
        incarnation: Incarnation,
        /// What.
        message: Message,
    },
    /// The records up to this number are on disk, and survive the machine's end.
    Persisted {
        /// Number of the last.
        through: u64,
    },
    /// A record could not be written or synced.
    DiskFailed {
        /// In words.
        cause: String,
    },
    /// The directory takes records again, and holds nothing.
    DiskWell,
    /// What the machine above made of the log up to an entry.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// As long as [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// A learner outside the council has the log up to an entry.
    Copied {
        /// Which.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// Operators said so.
    OperatorCommand(OperatorCommand),
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A word to another member; to itself, if its channel is `Log`.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        message: Message,
    },
    /// A record is to be written and synced, in the order of the numbers.
    Persist {
        /// Its number, counted over all lives of the directory.
        number: u64,
        /// What.
        record: Record,
    },
    /// It leads from now on. Told again where another view of its own follows.
    Leads {
        /// Which view.
        view: View,
        /// When it began to.
        since: Duration,
    },
    /// It leads no longer.
    Follows,
    /// A round that began then was answered by a majority of the view: what it leads by.
    Round {
        /// On its own clock.
        began: Duration,
    },
    /// An entry is committed. Each is told once a life and epoch, in order.
    Committed {
        /// Where.
        index: LogIndex,
        /// What.
        entry: Entry,
    },
    /// Everything up to here stands as this snapshot says; what was told before counts no longer.
    Reset {
        /// The last entry in it.
        index: LogIndex,
        /// With the machine above's state.
        base: SnapshotBase,
    },
    /// The log grows long: [`Event::Snapshot`] is wanted.
    SnapshotWanted,
    /// It has forgotten, or its directory is not to be believed: why, in words.
    StateLost(&'static str),
}

/// What is known of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub at: Duration,
    pub view: View,
    pub status: ReplicaStatus,
    pub hears_me: bool,
    pub leads: bool,
    pub free: bool,
    pub written: u64,
}

/// What a member told that takes part in a new view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DoViewChangeVote {
    pub count: u32,
    pub last: View,
    pub op: u64,
    pub commit: u64,
    pub blank: bool,
}

/// A founding that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochBootstrap {
    /// Best copy of a learner, and whose.
    pub copy: Option<(LogIndex, NodeId)>,
    /// Operators named the voters.
    pub restore: bool,
    /// When it began.
    pub begun: Duration,
}

/// What a leader keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    pub since: Duration,
    /// The latest round that a majority answered.
    pub answered: Duration,
    pub round: u32,
    pub rounds: VecDeque<(u32, Duration)>,
    /// What each member has kept, and when the latest round that it answered began.
    pub acks: BTreeMap<NodeId, (u64, Option<Duration>)>,
    /// Who waits for which proposal.
    pub waiting: BTreeMap<ProposalId, BTreeSet<NodeId>>,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) settings: ReplicaConfig,
    pub(crate) now: Duration,
    pub(crate) chance: u64,
    pub(crate) counts: IncarnationCounts,
    pub(crate) view: View,
    /// The last view in which it took part.
    pub(crate) last: View,
    pub(crate) status: ReplicaStatus,
    /// It has forgotten, and has not yet been told what stands.
    pub(crate) blank: bool,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) members: VoterSet,
    pub(crate) ids: BTreeMap<ProposalId, u64>,
    /// The last entry that was told.
    pub(crate) told: Option<LogIndex>,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    /// Greatest number of a view of this epoch that it heard of.
    pub(crate) seen: u32,
    pub(crate) joins: BTreeMap<NodeId, DoViewChangeVote>,
    pub(crate) founding: Option<EpochBootstrap>,
    pub(crate) lead: Option<LeaderState>,
    pub(crate) transfer: Option<StateTransfer>,
    /// It begins no view before.
    pub(crate) patience: Duration,
    /// Since when it hears no leader.
    pub(crate) free_since: Option<Duration>,
    pub(crate) hello_due: Duration,
    pub(crate) waking: Option<Waking>,
    pub(crate) copied: BTreeMap<NodeId, (LogIndex, Duration)>,
    pub(crate) asked_snapshot: u64,
    /// Lives that the directory names.
    pub(crate) kept: Option<IncarnationCounts>,
    pub(crate) written: u64,
    issued: u64,
    held: VecDeque<(u64, NodeId, Message)>,
    own: VecDeque<Message>,
}

impl Replica {
    /// A member that starts, with what its directory held, if it has one and that could be read.
    pub fn new(now: Duration, settings: ReplicaConfig, found: Option<DurableState>) -> Self {
        let members = VoterSet::of(settings.voters.iter().copied());
        let base = SnapshotBase { members: members.clone(), ..SnapshotBase::default() };
        let mut replica = Self {
            now,
            chance: settings.seed ^ 0x9E37_79B9_7F4A_7C15,
            counts: IncarnationCounts::new(),
            view: View::default(),
            last: View::default(),
            status: ReplicaStatus::Blank,
            blank: true,
            log: Log::new(base),
            commit: 0,
            members,
            ids: BTreeMap::new(),
            told: None,
            peers: BTreeMap::new(),
            seen: 0,
            joins: BTreeMap::new(),
            founding: None,
            lead: None,
            transfer: None,
            patience: now,
            free_since: None,
            hello_due: now,
            waking: None,
            copied: BTreeMap::new(),
            asked_snapshot: 0,
            kept: None,
            written: 0,
            issued: 0,
            held: VecDeque::new(),
            own: VecDeque::new(),
            settings,
        };
        let mut directory = false;
        if let Some(durable) = found.filter(|_| replica.settings.directory) {
            replica.issued = durable.written;
            replica.written = durable.written;
            if let Some(state) = durable.state {
                directory = true;
                (replica.view, replica.last) = (state.view, state.last);
                replica.counts = state.counts;
                replica.log = state.log;
                replica.commit = state.commit.clamp(replica.log.base().op, replica.log.op());
                replica.members = replica.log.members_at(replica.commit);
                replica.ids = replica.log.ids_at(replica.log.op());
            }
        }
        replica.wake(directory);
        replica
    }

    /// One event. `now` is the time since the start of the process; it does not go back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // First of all: after a pause nothing may rest on what was so before it.
        self.look_at_lead(actions);
        match event {
            Event::Tick => self.tick(actions),
            Event::Message { from, incarnation: _, message } => {
                self.message(from, message, actions)
            }
            Event::Persisted { through } => self.persisted(through, actions),
            Event::DiskFailed { cause: _ } => self.disk_failed(actions),
            Event::DiskWell => self.disk_well(actions),
            Event::Snapshot { index, bytes } => self.snapshot(index, bytes, actions),
            Event::Copied { by, index } => {
                if self.copied.len() < 64 || self.copied.contains_key(&by) {
                    self.copied.insert(by, (index, self.now));
                }
                self.answer_waiting(actions);
            }
            Event::OperatorCommand(OperatorCommand::ReplaceVoter { id, removed, replacement }) => {
                self.propose(
                    self.settings.node_id,
                    id,
                    Some(EntryPayload::RemoveVoter { removed, replacement }),
                    actions,
                );
            }
            Event::OperatorCommand(OperatorCommand::ForceNewEpoch { members }) => {
                self.restore(&members, actions)
            }
        }
        while let Some(message) = self.own.pop_front() {
            self.message(self.settings.node_id, message, actions);
        }
    }

    /// How it stands.
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }
    /// How it stands to others: one that joined a founding, and has nothing yet, has still forgotten.
    pub fn shown(&self) -> ReplicaStatus {
        if self.blank && self.status == ReplicaStatus::Changing {
            ReplicaStatus::Blank
        } else {
            self.status
        }
    }
    /// The view that it takes part in, or would.
    pub fn view(&self) -> View {
        self.view
    }
    /// The leader, as far as it hears it.
    pub fn leader(&self) -> Option<NodeId> {
        if self.lead.is_some() {
            return Some(self.settings.node_id);
        }
        let led = self.status == ReplicaStatus::Normal && !self.is_free();
        led.then_some(self.view.leader)
    }
    /// Last entry of its log, committed or not.
    pub fn op(&self) -> u64 {
        self.log.op()
    }
    /// Last entry committed that it knows of.
    pub fn committed(&self) -> LogIndex {
        LogIndex::new(self.last.epoch, self.commit)
    }
    /// Who votes.
    pub fn members(&self) -> &VoterSet {
        &self.members
    }

    /// A number from 0 up to this one.
    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        // SplitMix64 (Steele, Lea, Flood 2014).
        self.chance = self.chance.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.chance;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % below.max(1)
    }

    /// Says something, once the disk has all that was to be written before. Nothing that this member ever
    /// says rests on what it could forget.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody, actions: &mut Vec<Action>) {
        let message = Message { view: self.view, counts: self.counts.clone(), body };
        if self.issued > self.written && self.status != ReplicaStatus::Mute {
            if self.held.len() >= MAX_MESSAGES_AWAITING_SYNC {
                self.held.pop_front();
            }
            self.held.push_back((self.issued, to, message));
        } else {
            self.body(to, message, actions);
        }
    }

    fn body(&mut self, to: NodeId, message: Message, actions: &mut Vec<Action>) {
        if to == self.settings.node_id
            && message.body.channel() == hollowpaddle_peer_transport::Channel::Consensus
        {
            self.own.push_back(message);
        } else {
            actions.push(Action::Send { to, message });
        }
    }

    pub(crate) fn send_council(&mut self, body: &MessageBody, actions: &mut Vec<Action>) {
        let mut all = self.members.voters.clone();
        all.extend(self.members.joining);
        all.remove(&self.settings.node_id);
        for to in all {
            self.send(to, body.clone(), actions);
        }
    }

    pub(crate) fn persist(&mut self, record: Record, actions: &mut Vec<Action>) {
        if self.settings.directory && self.status != ReplicaStatus::Mute {
            self.issued += 1;
            actions.push(Action::Persist { number: self.issued, record });
        }
    }
    /// Records yet to come have greater numbers than this one.
    pub(crate) fn number_on(&mut self, number: u64) {
        if self.issued == self.written && number > self.issued {
            (self.issued, self.written) = (number, number);
        }
    }
    pub(crate) fn persist_promise(&mut self, actions: &mut Vec<Action>) {
        let (view, last, counts) = (self.view, self.last, self.counts.clone());
        self.persist(Record::ViewPromise { view, last, counts }, actions);
    }
    pub(crate) fn persist_whole(&mut self, actions: &mut Vec<Action>) {
        let whole = Record::CompleteState {
            view: self.view,
            last: self.last,
            counts: self.counts.clone(),
            commit: self.commit,
            base: self.log.base().clone(),
            start: self.log.start(),
            entries: self.log.entries().to_vec(),
        };
        self.persist(whole, actions);
    }

    fn persisted(&mut self, through: u64, actions: &mut Vec<Action>) {
        if self.status == ReplicaStatus::Mute {
            return;
        }
        self.written = self.written.max(through.min(self.issued));
        while self.held.front().is_some_and(|(need, _, _)| *need <= self.written) {
            if let Some((_, to, message)) = self.held.pop_front() {
                self.body(to, message, actions);
            }
        }
    }

    fn disk_failed(&mut self, actions: &mut Vec<Action>) {
        self.give_up_lead(actions);
        // What waited for the disk is never said.
        self.held.clear();
        self.own.clear();
        (self.transfer, self.founding, self.waking) = (None, None, None);
        self.joins.clear();
        self.status = ReplicaStatus::Mute;
        self.hello(actions);
    }

    fn disk_well(&mut self, actions: &mut Vec<Action>) {
        if self.status != ReplicaStatus::Mute {
            return;
        }
        self.written = self.issued;
        self.forget("the disk failed, and takes records again", actions);
    }

    /// Nothing that this process has said or kept counts any longer.
    pub(crate) fn forget(&mut self, why: &'static str, actions: &mut Vec<Action>) {
        self.give_up_lead(actions);
        self.held.clear();
        self.own.clear();
        actions.push(Action::StateLost(why));
        self.wake(false);
    }

    /// A leader that no majority answers steps down.
    fn look_at_lead(&mut self, actions: &mut Vec<Action>) {
        let lost =
            |lead: &LeaderState| self.now.saturating_sub(lead.answered) > QUORUM_LOSS_TIMEOUT;
        if self.lead.as_ref().is_some_and(lost) {
            self.give_up_lead(actions);
            self.hello(actions);
        }
    }

    pub(crate) fn give_up_lead(&mut self, actions: &mut Vec<Action>) {
        if self.lead.take().is_some() {
            actions.push(Action::Follows);
            self.patience = self.now + VIEW_CHANGE_TIMEOUT;
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        if let Some(transfer) = &self.transfer
            && self.now.saturating_sub(transfer.asked) >= HEARTBEAT_INTERVAL
        {
            self.ask_transfer(actions);
        }
        if self.waking.is_some() {
            self.tick_waking(actions);
            return;
        }
        if self.status == ReplicaStatus::Outside {
            return;
        }
        let free = self.is_free();
        if free && self.free_since.is_none() {
            self.free_since = Some(self.now);
            // The others wait for this word; the one whose chance is the soonest begins.
            self.hello_due = self.now;
            let wait = Duration::from_millis(20 + self.draw(130));
            self.patience = self.patience.max(self.now + wait);
        }
        if !free {
            self.free_since = None;
        }
        if self.now >= self.hello_due {
            self.hello_due = self.now + HEARTBEAT_INTERVAL;
            self.hello(actions);
            self.admit_coming(actions);
            self.answer_waiting(actions);
            if self.status == ReplicaStatus::Changing && self.view.leader == self.settings.node_id {
                self.say_begin(actions);
                self.try_lead(actions);
            }
        }
        self.consider(free, actions);
    }

    /// Begins a round, if it leads, and says where it stands.
    pub(crate) fn hello(&mut self, actions: &mut Vec<Action>) {
        let round = self.lead.as_mut().map_or(0, |lead| {
            lead.round = lead.round.wrapping_add(1).max(1);
            lead.rounds.push_back((lead.round, self.now));
            if lead.rounds.len() > MAX_TRACKED_HEARTBEATS {
                lead.rounds.pop_front();
            }
            lead.round
        });
        let heard = self.peers.iter().filter(|(_, p)| self.now.saturating_sub(p.at) < PEER_TIMEOUT);
        let hello = Heartbeat {
            status: self.shown(),
            leads: self.lead.is_some(),
            free: self.is_free(),
            heard: heard.map(|(m, _)| *m).filter(|m| self.members.has(*m)).collect(),
            op: self.log.op(),
            commit: self.commit,
            // Held back till then, it is on disk when it is said; a failing disk holds nothing back.
            written: if self.status == ReplicaStatus::Mute { self.written } else { self.issued },
            round,
            members: self.members.clone(),
        };
        self.send_council(&MessageBody::Heartbeat(hello), actions);
        if round > 0 {
            let ok = MessageBody::PrepareOk { op: self.log.op(), round };
            self.send(self.settings.node_id, ok, actions);
        }
    }

    fn message(&mut self, from: NodeId, message: Message, actions: &mut Vec<Action>) {
        let node_id = self.settings.node_id;
        if from != node_id && !self.merge(from, &message, actions) {
            return;
        }
        if self.status == ReplicaStatus::Outside && !self.is_called(from, &message, actions) {
            return;
        }
        let Message { view, counts, body } = message;
        match body {
            MessageBody::Heartbeat(hello) => self.on_hello(from, view, &hello, actions),
            MessageBody::Prepare { first, entries, commit } => {
                self.on_prepare(from, view, first, entries, commit, actions)
            }
            MessageBody::PrepareOk { op, round } => self.on_ok(from, view, op, round, actions),
            MessageBody::StartViewChange { founding, members } => {
                self.on_begin(from, view, founding, members, actions)
            }
            MessageBody::DoViewChange { last, op, commit, blank } => {
                let count = counts.get(&from).copied().unwrap_or(0);
                self.on_join(
                    from,
                    view,
                    DoViewChangeVote { count, last, op, commit, blank },
                    actions,
                );
            }
            MessageBody::GetState { from: first, offset } => {
                self.on_fetch(from, view, first, offset, actions)
            }
            MessageBody::Part(part) => self.on_part(from, view, part, actions),
            MessageBody::StatusRequest { nonce, at } => self.on_ask(from, nonce, at, actions),
            MessageBody::StatusResponse { nonce, at, status, own, written, commit, members } => {
                let count = counts.get(&node_id).copied().unwrap_or(0);
                let told = crate::recovery::Told {
                    at,
                    status,
                    own,
                    written,
                    commit,
                    count,
                    view,
                    heard: self.now,
                };
                self.on_told(from, nonce, told, members);
            }
            MessageBody::Recovery { nonce } => self.on_recover(from, nonce, actions),
            MessageBody::RecoveryResponse { nonce, op, leads } => {
                let count = counts.get(&from).copied().unwrap_or(0);
                self.on_recovered(from, nonce, view, op, leads, count, actions);
            }
            MessageBody::Propose { id, what } => self.propose(from, id, what, actions),
            MessageBody::LearnerStatusResponse { nonce, at, members } => {
                self.on_copy(from, nonce, at, members, actions)
            }
            _ => {}
        }
    }

    /// Takes over which lives there are. Whether the word counts.
    fn merge(&mut self, from: NodeId, message: &Message, actions: &mut Vec<Action>) -> bool {
        let node_id = self.settings.node_id;
        let theirs = message.counts.get(&from).copied().unwrap_or(0);
        let known = self.counts.get(&from).copied().unwrap_or(0);
        if message.body.counts() && theirs < known {
            return false;
        }
        let mine = self.counts.get(&node_id).copied().unwrap_or(0);
        for (member, count) in &message.counts {
            let room =
                self.counts.len() < crate::message::MAX_VOTERS || self.counts.contains_key(member);
            // Only those that vote: words of others would fill the room of theirs.
            if *member == node_id || !room || !self.members.has(*member) {
                continue;
            }
            // What the life before promised counts no longer.
            let known = self.counts.entry(*member).or_insert(0);
            if *count > *known {
                *known = *count;
                if let Some(lead) = &mut self.lead {
                    lead.acks.remove(member);
                }
            }
        }
        let sound = self.waking.is_none() && self.status != ReplicaStatus::Mute;
        if sound && message.counts.get(&node_id).is_some_and(|c| *c > mine) {
            self.counts.insert(node_id, message.counts.get(&node_id).copied().unwrap_or(0));
            self.forget(
                "the others know another life of it: an old directory, or two processes",
                actions,
            );
            return false;
        }
        true
    }

    /// One outside the council hears that it is in it, or is to be.
    fn is_called(&mut self, from: NodeId, message: &Message, actions: &mut Vec<Action>) -> bool {
        let node_id = self.settings.node_id;
        match &message.body {
            MessageBody::Heartbeat(hello)
                if hello.leads && hello.members.voters.contains(&node_id) =>
            {
                self.members = hello.members.clone();
                self.forget("it is in the council from now on", actions);
            }
            MessageBody::Heartbeat(hello)
                if hello.leads && hello.members.joining == Some(node_id) =>
            {
                let hello = Heartbeat {
                    status: ReplicaStatus::Outside,
                    leads: false,
                    free: false,
                    heard: BTreeSet::new(),
                    op: 0,
                    commit: 0,
                    written: 0,
                    round: 0,
                    members: hello.members.clone(),
                };
                self.send(from, MessageBody::Heartbeat(hello), actions);
            }
            MessageBody::StatusRequest { .. } | MessageBody::Propose { .. } => return true,
            _ => {}
        }
        false
    }
}
