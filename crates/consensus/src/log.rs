//! A log with a snapshot in front, and how one is fetched from another member in bounded words; who may
//! fetch what from whom is decided by the machines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::message::{
    Entry, MAX_CHUNK_BYTES, MAX_SNAPSHOT_BYTES, Part, ProposalId, View, VoterSet,
};

/// Entries kept behind a snapshot, so that one a little behind needs entries and not the snapshot.
pub const RETAINED_ENTRIES: u64 = 256;
/// Most entries of a log. Beyond, nothing more is proposed until a snapshot cuts it: without this bound a
/// machine above that gives no snapshots fills the memory of all.
pub const MAX_LOG_ENTRIES: usize = 8192;
/// Most bytes of a log's entries.
pub const MAX_LOG_BYTES: usize = 8 << 20;
/// Ids of proposals that are remembered. A repeat that comes after so many others is a new entry.
pub const MAX_REMEMBERED_PROPOSALS: usize = 1024;

/// What stands at an entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotBase {
    /// The last entry that it holds.
    pub op: u64,
    /// Who votes after it.
    pub members: VoterSet,
    /// Proposals of late, and what became of them.
    pub ids: Vec<(ProposalId, u64)>,
    /// The machine above's.
    pub state: Vec<u8>,
}

/// A snapshot and what came after.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    base: SnapshotBase,
    /// The base as it is sent, and its sum.
    blob: Arc<(Vec<u8>, u32)>,
    /// The entry before the first that is kept.
    start: u64,
    entries: Vec<Entry>,
    bytes: usize,
}

impl Log {
    /// Nothing but what stands at its beginning.
    pub fn new(base: SnapshotBase) -> Self {
        // Serialising to a vector of plain values can't fail.
        let bytes = postcard::to_stdvec(&base).unwrap_or_default();
        let sum = crc32fast::hash(&bytes);
        let start = base.op;
        Self { base, blob: Arc::new((bytes, sum)), start, entries: Vec::new(), bytes: 0 }
    }
    /// With entries; `start` is the number of the one before the first.
    pub fn with(base: SnapshotBase, start: u64, entries: Vec<Entry>) -> Self {
        let mut log = Self::new(base);
        log.start = start.min(log.base.op);
        log.bytes = entries.iter().map(Entry::size).sum();
        log.entries = entries;
        log
    }
    /// What it begins with.
    pub fn base(&self) -> &SnapshotBase {
        &self.base
    }
    /// Number of the last entry.
    pub fn op(&self) -> u64 {
        self.start + self.entries.len() as u64
    }
    /// CRC-32 of the base as it is sent.
    pub fn sum(&self) -> u32 {
        self.blob.1
    }
    /// Number before the first kept entry.
    pub fn start(&self) -> u64 {
        self.start
    }
    /// All that are kept.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
    /// There is room for one more.
    pub fn has_room(&self) -> bool {
        self.entries.len() < MAX_LOG_ENTRIES && self.bytes < MAX_LOG_BYTES
    }
    /// The entry with this number.
    pub fn get(&self, op: u64) -> Option<&Entry> {
        let place = op.checked_sub(self.start)?.checked_sub(1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }
    /// One more at its end.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.size();
        self.entries.push(entry);
    }
    /// Entries behind this number go.
    pub fn truncate(&mut self, op: u64) {
        let keep = op.max(self.base.op).saturating_sub(self.start) as usize;
        self.entries.truncate(keep);
        self.bytes = self.entries.iter().map(Entry::size).sum();
    }
    /// A snapshot at a later entry; those more than [`RETAINED_ENTRIES`] before it go.
    pub fn rebase(&mut self, base: SnapshotBase) {
        let gone = base.op.saturating_sub(RETAINED_ENTRIES).saturating_sub(self.start);
        let gone = (gone as usize).min(self.entries.len());
        let entries = self.entries.split_off(gone);
        *self = Self::with(base, self.start + gone as u64, entries);
    }
    /// Who votes after this entry, of those behind the base.
    pub fn members_at(&self, op: u64) -> VoterSet {
        let mut members = self.base.members.clone();
        for op in self.base.op + 1..=op {
            if let Some(entry) = self.get(op) {
                members.apply(op, &entry.what);
            }
        }
        members
    }
    /// Proposals up to this entry, the last [`MAX_REMEMBERED_PROPOSALS`] of them.
    pub fn ids_at(&self, op: u64) -> BTreeMap<ProposalId, u64> {
        let mut ids: Vec<(ProposalId, u64)> = self.base.ids.clone();
        let behind = self.base.op + 1..=op.min(self.op());
        ids.extend(behind.filter_map(|op| self.get(op).map(|e| (e.id, op))));
        let late = ids.len().saturating_sub(MAX_REMEMBERED_PROPOSALS);
        ids.split_off(late).into_iter().collect()
    }
    /// The base at an entry, with the machine above's snapshot of it.
    pub fn base_at(&self, op: u64, state: Vec<u8>) -> SnapshotBase {
        let mut ids: Vec<_> = self.ids_at(op).into_iter().collect();
        ids.sort_unstable_by_key(|(id, op)| (*op, *id));
        SnapshotBase { op, members: self.members_at(op), ids, state }
    }
    /// Entries from a number on up to another, as many as a word takes.
    pub fn some(&self, from: u64, through: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let mut some = Vec::new();
        for op in from..=through {
            let Some(entry) = self.get(op) else { break };
            bytes += entry.size();
            if bytes > MAX_CHUNK_BYTES && !some.is_empty() {
                break;
            }
            some.push(entry.clone());
        }
        some
    }
    /// What one that has all before `from` needs next, of the entries up to `through`.
    pub fn part(&self, from: u64, through: u64, offset: u32) -> Part {
        if from > self.start {
            return Part::Entries { first: from, entries: self.some(from, through) };
        }
        let (bytes, sum) = &*self.blob;
        let at = (offset as usize).min(bytes.len());
        let end = (at + MAX_CHUNK_BYTES).min(bytes.len());
        Part::Chunk {
            op: self.base.op,
            len: bytes.len() as u32,
            sum: *sum,
            offset: at as u32,
            bytes: bytes[at..end].to_vec(),
        }
    }
}

/// Another member's log that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateTransfer {
    /// From whom.
    pub source: NodeId,
    /// The view that it is fetched for.
    pub view: View,
    /// The last entry that is needed.
    pub target: u64,
    /// From a learner's copy.
    pub copy: bool,
    /// When it was last asked.
    pub asked: Duration,
    first: u64,
    base: Option<SnapshotBase>,
    entries: Vec<Entry>,
    blob: SnapshotAssembly,
}

/// A snapshot that is being put together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SnapshotAssembly {
    op: u64,
    len: u32,
    sum: u32,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Bytes that are there.
    pub fn offset(&self) -> u32 {
        self.bytes.len() as u32
    }
    /// Which snapshot they are of.
    pub fn sum(&self) -> u32 {
        self.sum
    }
    /// Takes bytes in their order; the whole, once it is there and sums up.
    pub fn take(&mut self, part: Part) -> Option<SnapshotBase> {
        let Part::Chunk { op, len, sum, offset, bytes } = part else { return None };
        if (op, len, sum) != (self.op, self.len, self.sum) {
            if offset != 0 || len as usize > MAX_SNAPSHOT_BYTES {
                // Of another snapshot than was begun: begin that one.
                *self = Self::default();
                return None;
            }
            *self = Self { op, len, sum, bytes: Vec::new() };
        }
        if offset as usize != self.bytes.len() || self.bytes.len() + bytes.len() > len as usize {
            return None;
        }
        self.bytes.extend_from_slice(&bytes);
        if self.bytes.len() < len as usize {
            return None;
        }
        let whole = std::mem::take(self);
        if crc32fast::hash(&whole.bytes) != sum {
            return None;
        }
        let (base, rest): (SnapshotBase, _) = postcard::take_from_bytes(&whole.bytes).ok()?;
        (rest.is_empty() && base.op == op).then_some(base)
    }
}

impl StateTransfer {
    /// From a source, for a view: entries from `from` to `target`, or a snapshot and entries.
    pub fn new(source: NodeId, view: View, from: u64, target: u64) -> Self {
        Self {
            source,
            view,
            target,
            copy: false,
            asked: Duration::ZERO,
            first: from,
            base: None,
            entries: Vec::new(),
            blob: SnapshotAssembly::default(),
        }
    }
    /// Number of the next entry, and bytes of a snapshot that are there.
    pub fn next(&self) -> (u64, u32) {
        (self.first + self.entries.len() as u64, self.blob.offset())
    }
    /// Takes a part. Whether it helped.
    pub fn take(&mut self, part: Part) -> bool {
        match part {
            Part::Entries { first, entries } => {
                if first != self.next().0
                    || entries.is_empty()
                    || self.entries.len() >= MAX_LOG_ENTRIES
                {
                    return false;
                }
                self.entries.extend(entries);
                true
            }
            chunk => {
                let before = self.blob.offset();
                if let Some(base) = self.blob.take(chunk) {
                    self.first = base.op + 1;
                    self.entries.clear();
                    self.base = Some(base);
                    return true;
                }
                self.blob.offset() != before
            }
        }
    }
    /// Everything is there. A log that begins anew (`first` is 0) needs a snapshot.
    pub fn is_whole(&self) -> bool {
        (self.first > 0 || self.base.is_some()) && self.next().0 > self.target
    }
    /// Put behind what is there already.
    pub fn onto(self, log: &Log) -> Log {
        match self.base {
            Some(base) => {
                let start = base.op;
                Log::with(base, start, self.entries)
            }
            None => {
                let mut log = log.clone();
                log.truncate(self.first - 1);
                self.entries.into_iter().for_each(|e| log.push(e));
                log
            }
        }
    }
}
