//! What members of the council and learners say to each other, and how it is written; what a word brings
//! about is the machines' matter.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hollowpaddle_peer_transport::{Channel, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Longest entry, in bytes. Longer ones are refused at the door: every voter and learner holds hundreds.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;
/// Bytes of entries, or of a snapshot, in one word. A longer word holds up all others on a link of paced
/// datagrams.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Longest word, in bytes, as written.
pub const MAX_MESSAGE_BYTES: usize = 20 << 10;
/// Longest snapshot with what the council adds to it, in bytes. Without a bound a broken sender fills the
/// memory of whoever puts it together.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;
/// Most members of a council, with those that are on their way in or out.
pub const MAX_VOTERS: usize = 16;
/// Bits of an [`LogIndex`] for the number in the log.
const OP_BITS: u32 = 32;

/// A place in the log: the epoch in which it was committed, and the number of the entry, from 1. Numbers go
/// on over epochs. An epoch founded on a copy that missed entries gives their numbers anew, so only both
/// together name an entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Of an epoch and a number (under 2^32: a century at one entry a second).
    pub const fn new(epoch: u32, op: u64) -> Self {
        Self((epoch as u64) << OP_BITS | (op & ((1 << OP_BITS) - 1)))
    }
    /// The epoch: foundings so far.
    pub const fn epoch(self) -> u32 {
        (self.0 >> OP_BITS) as u32
    }
    /// The number of the entry, over all epochs.
    pub const fn op(self) -> u64 {
        self.0 & ((1 << OP_BITS) - 1)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.op())
    }
}

/// Who leads, and since which change. Greater ones win.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct View {
    /// Foundings so far; 0 before the first.
    pub epoch: u32,
    /// Changes of leader, as whoever began this one knew them.
    pub number: u32,
    /// Who leads it, and settles which of two that began alike is the greater.
    pub leader: NodeId,
}

/// Names a proposal for good: repeats of it become one entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalId {
    /// At whose door it was proposed.
    pub by: NodeId,
    /// By which process of it.
    pub incarnation: Incarnation,
    /// Counted there.
    pub number: u64,
}

/// Who votes, from the commit of the entry that said so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// Those that vote.
    pub voters: BTreeSet<NodeId>,
    /// Comes in next, for one that went out.
    pub joining: Option<NodeId>,
    /// Number of the entry that made it so; 0: the settings.
    pub since: u64,
}

impl VoterSet {
    /// The council that the settings name.
    pub fn of(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().take(MAX_VOTERS).collect(), joining: None, since: 0 }
    }
    /// Whether one votes, or comes next.
    pub fn has(&self, member: NodeId) -> bool {
        self.voters.contains(&member) || self.joining == Some(member)
    }
    /// How many are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
    /// Whether these are one.
    pub fn is_majority<'a>(&self, of: impl IntoIterator<Item = &'a NodeId>) -> bool {
        of.into_iter().filter(|m| self.voters.contains(m)).count() >= self.majority()
    }
    /// After the entry with this number.
    pub fn apply(&mut self, op: u64, what: &EntryPayload) {
        match what {
            EntryPayload::Command(_) => return,
            EntryPayload::RemoveVoter { removed, replacement } => {
                self.voters.remove(removed);
                self.joining = *replacement;
            }
            EntryPayload::AddVoter(member) => {
                if self.voters.len() < MAX_VOTERS {
                    self.voters.insert(*member);
                }
                self.joining = None;
            }
        }
        self.since = op;
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// For the machine above: [`MAX_ENTRY_BYTES`] at most.
    Command(Vec<u8>),
    /// A member votes no longer, and another one is to come for it.
    RemoveVoter {
        /// Who goes.
        removed: NodeId,
        /// Who comes.
        replacement: Option<NodeId>,
    },
    /// One more votes.
    AddVoter(NodeId),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The proposal that it came from.
    pub id: ProposalId,
    /// What it holds.
    pub what: EntryPayload,
}

impl Entry {
    /// Bytes that it takes in a word, at most.
    pub(crate) fn size(&self) -> usize {
        32 + if let EntryPayload::Command(bytes) = &self.what { bytes.len() } else { 0 }
    }
}

/// IncarnationCounts of members' lives within the group: the crash vector of Michael et al. (2017).
pub type IncarnationCounts = BTreeMap<NodeId, u32>;

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is an entry, for good.
    Committed(LogIndex),
    /// It is none, and will never be: it is longer than [`MAX_ENTRY_BYTES`], or not a change of one member that
    /// can be made.
    Never,
    /// Nobody answered in time. It may be an entry, or become one; it can be asked for by its id.
    Unknown,
}

/// A piece of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Entries from this number on.
    Entries {
        /// Number of the first.
        first: u64,
        /// As many as a word takes.
        entries: Vec<Entry>,
    },
    /// Bytes of a snapshot.
    Chunk {
        /// The last entry that it holds.
        op: u64,
        /// Its length.
        len: u32,
        /// CRC-32 (IEEE 802.3) of all of it.
        sum: u32,
        /// Where these bytes belong.
        offset: u32,
        /// At most [`MAX_CHUNK_BYTES`].
        bytes: Vec<u8>,
    },
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// It has no vote in this council.
    Outside,
    /// It has forgotten, and knows nothing to vote by.
    Blank,
    /// It has started with a directory, and has not yet heard whether others know more of it.
    Waking,
    /// It is between two views.
    Changing,
    /// It takes part in its view.
    Normal,
    /// Its disk fails: it votes no more.
    Mute,
}

/// As the admin API prints it.
impl fmt::Display for ReplicaStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Outside => "outside",
            Self::Blank => "blank",
            Self::Waking => "waking",
            Self::Changing => "changing",
            Self::Normal => "normal",
            Self::Mute => "mute",
        })
    }
}

/// What one member tells all others every 100 ms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How it stands.
    pub status: ReplicaStatus,
    /// It leads its view, and was answered by a majority lately.
    pub leads: bool,
    /// It hears no leader that leads.
    pub free: bool,
    /// Whom it hears.
    pub heard: BTreeSet<NodeId>,
    /// Last entry of its log.
    pub op: u64,
    /// Last one committed that it knows of.
    pub commit: u64,
    /// Records that it has on disk: what a directory put back can't know.
    pub written: u64,
    /// A leader's round, to be answered with [`MessageBody::PrepareOk`]; 0: none.
    pub round: u32,
    /// Who votes, as it knows it.
    pub members: VoterSet,
}

/// What is said. Promises among these count only from the latest life that the hearer knows of their sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Here I am.
    Heartbeat(Heartbeat),
    /// Entries of the leader's, to be kept.
    Prepare {
        /// Number of the first.
        first: u64,
        /// In their order.
        entries: Vec<Entry>,
        /// Last one committed.
        commit: u64,
    },
    /// Everything up to here is kept, and this round was heard.
    PrepareOk {
        /// Last entry that is kept.
        op: u64,
        /// The leader's round; 0: none.
        round: u32,
    },
    /// The sender would lead the view of this word.
    StartViewChange {
        /// It founds an epoch: a majority has forgotten, or operators said so.
        founding: bool,
        /// Whose majority founds it, where operators said so.
        members: Option<VoterSet>,
    },
    /// The sender takes part in no view before this word's.
    DoViewChange {
        /// The last view in which it took part.
        last: View,
        /// Last entry of its log then.
        op: u64,
        /// Last one committed that it knows of.
        commit: u64,
        /// It has forgotten; the above says nothing.
        blank: bool,
    },
    /// Asks for a log, from this entry on, or for the bytes of a snapshot.
    GetState {
        /// Number of the first entry.
        from: u64,
        /// Bytes of the snapshot that are there.
        offset: u32,
    },
    /// What was asked for.
    Part(Part),
    /// One that starts asks what others know.
    StatusRequest {
        /// Of this start.
        nonce: u64,
        /// When it was asked, by the asker's clock (ms).
        at: u64,
    },
    /// The answer.
    StatusResponse {
        /// As asked.
        nonce: u64,
        /// As asked.
        at: u64,
        /// How the answerer stands.
        status: ReplicaStatus,
        /// Names the answerer's own start.
        own: u64,
        /// Records that the asker was known to have on disk.
        written: u64,
        /// Last entry committed that the answerer knows of.
        commit: u64,
        /// Who votes.
        members: VoterSet,
    },
    /// One that has forgotten begins this life (the word's count of the sender).
    Recovery {
        /// Of this start.
        nonce: u64,
    },
    /// What stands: the view of this word.
    RecoveryResponse {
        /// As asked.
        nonce: u64,
        /// Last entry; counts from the leader of the latest view alone.
        op: u64,
        /// The answerer leads its view.
        leads: bool,
    },
    /// To be an entry.
    Propose {
        /// Names it.
        id: ProposalId,
        /// Its content; `None`: only asks what became of it.
        what: Option<EntryPayload>,
    },

    /// Asks a learner which copy of the log it has.
    LearnerStatusRequest {
        /// Of this start.
        nonce: u64,
    },
    /// The answer, to the council.
    LearnerStatusResponse {
        /// As asked.
        nonce: u64,
        /// The last entry that it has.
        at: LogIndex,
        /// Who votes.
        members: VoterSet,
    },
    /// Asks a learner for its copy.
    GetLearnerState {
        /// As in `Fetch`.
        from: u64,
        /// As in `Fetch`.
        offset: u32,
    },
    /// A learner's first source, and what it has; asked every 300 ms, and after each change.
    LearnerPoll {
        /// The last entry that it has.
        at: LogIndex,
        /// Bytes of a snapshot that it has.
        offset: u32,
        /// The snapshot that they are of.
        sum: u32,
    },
    /// What is new, or that nothing is.
    News {
        /// Last entry that the sender has.
        at: LogIndex,
        /// The leader, as far as it is known.
        leader: Option<NodeId>,
        /// Who votes.
        members: VoterSet,
        /// How long ago the leader led, as far as the sender and those it learns from know (ms).
        age: u32,
        /// What the learner lacks.
        part: Option<Part>,
    },
    /// Asks one that is not its source for bytes of a snapshot, if it has the very same.
    SnapshotChunkRequest {
        /// Bytes that are there.
        offset: u32,
        /// Its sum.
        sum: u32,
    },
    /// What became of a proposal.
    ProposalResponse {
        /// Which.
        id: ProposalId,
        /// `None`: ask the leader.
        outcome: Option<ProposalOutcome>,
        /// The leader, as far as it is known.
        leader: Option<NodeId>,
    },
}

impl MessageBody {
    /// Which machine hears it: `Replica` or `Log`.
    pub const fn channel(&self) -> Channel {
        match self {
            Self::LearnerStatusRequest { .. }
            | Self::GetLearnerState { .. }
            | Self::LearnerPoll { .. }
            | Self::News { .. }
            | Self::SnapshotChunkRequest { .. }
            | Self::ProposalResponse { .. } => Channel::Log,
            _ => Channel::Consensus,
        }
    }
    /// Whether it is a promise of the life that said it: dropped once a later life is known.
    pub(crate) const fn counts(&self) -> bool {
        matches!(
            self,
            Self::Heartbeat(_)
                | Self::Prepare { .. }
                | Self::PrepareOk { .. }
                | Self::StartViewChange { .. }
                | Self::DoViewChange { .. }
                | Self::RecoveryResponse { .. }
                | Self::Part(_)
                | Self::GetState { .. }
        )
    }
}

/// One word.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's view. Of a learner: its epoch.
    pub view: View,
    /// Lives that the sender knows of, its own too.
    pub counts: IncarnationCounts,
    /// What it says.
    pub body: MessageBody,
}

/// Bytes that are no word.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than any word.
    #[error("reading a word: {found} bytes, where {MAX_MESSAGE_BYTES} are the most; drop it")]
    TooLong {
        /// As found.
        found: usize,
    },
    /// Not this form.
    #[error("reading a word: it is damaged or of another version ({0}); drop it")]
    Damaged(postcard::Error),
    /// More than one word.
    #[error("reading a word: {found} bytes behind its end, where none belong; drop it")]
    Trailing {
        /// As found.
        found: usize,
    },
    /// A set in it is larger than any sender would make it.
    #[error(
        "reading a word: it names more members than {MAX_VOTERS}, or bytes beyond {MAX_CHUNK_BYTES}; drop it"
    )]
    Unbounded,
}

impl Message {
    /// As it goes on the wire.
    ///
    /// # Errors
    /// It is longer than [`MAX_MESSAGE_BYTES`]: the machines make no such word.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_stdvec(self).map_err(MessageError::Damaged)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        Ok(bytes)
    }

    /// From the wire.
    ///
    /// # Errors
    /// It is none: too long, damaged, with bytes behind it, or with a set beyond its bound.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        let (message, rest): (Self, _) =
            postcard::take_from_bytes(bytes).map_err(MessageError::Damaged)?;
        if !rest.is_empty() {
            return Err(MessageError::Trailing { found: rest.len() });
        }
        if message.is_bounded() { Ok(message) } else { Err(MessageError::Unbounded) }
    }

    fn is_bounded(&self) -> bool {
        let few = |m: &VoterSet| m.voters.len() <= MAX_VOTERS;
        self.counts.len() <= MAX_VOTERS
            && match &self.body {
                MessageBody::Heartbeat(hello) => {
                    hello.heard.len() <= MAX_VOTERS && few(&hello.members)
                }
                MessageBody::StatusResponse { members, .. }
                | MessageBody::LearnerStatusResponse { members, .. }
                | MessageBody::News { members, .. } => few(members),
                MessageBody::StartViewChange { members, .. } => members.as_ref().is_none_or(few),
                MessageBody::Part(Part::Chunk { bytes, .. }) => bytes.len() <= MAX_CHUNK_BYTES,
                _ => true,
            }
    }
}
