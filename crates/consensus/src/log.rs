//! The log of a voter or a learner: a snapshot and the entries after it. A log is fetched from another node in
//! `state_transfer`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, EntryPayload, ProposalId};
use crate::message::{LogPart, MAX_CHUNK_BYTES};
use crate::voter_set::VoterSet;

/// Number of entries retained before a snapshot, so that a node that is slightly behind needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 256;
/// Largest number of entries in a log. Further proposals are not accepted until a snapshot shortens the log;
/// otherwise a state machine that takes no snapshots would exhaust the memory of all nodes.
pub const MAX_LOG_ENTRIES: usize = 8192;
/// Total length of a log's entries, in bytes, from which no entry is added. The last entry may exceed it.
pub const MAX_LOG_BYTES: usize = 8 << 20;
/// Number of proposal ids that are remembered. A proposal that is repeated after more other proposals becomes a new
/// entry.
pub const MAX_REMEMBERED_PROPOSALS: usize = 1024;

/// A snapshot at an entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotBase {
    /// Number of the last entry in the snapshot.
    pub op: u64,
    /// The voters after that entry.
    pub voter_set: VoterSet,
    /// Recent proposals, with the numbers of their entries.
    pub proposals: Vec<(ProposalId, u64)>,
    /// The snapshot of the state machine above.
    pub state: Vec<u8>,
}

/// A snapshot in its encoded form.
#[derive(Debug, PartialEq, Eq, Hash)]
struct EncodedSnapshot {
    bytes: Vec<u8>,
    /// CRC-32 (IEEE 802.3).
    checksum: u32,
}

impl EncodedSnapshot {
    fn new(base: &SnapshotBase) -> Self {
        // Encoding plain values into a vector cannot fail.
        let bytes = postcard::to_stdvec(base).unwrap_or_default();
        let checksum = crc32fast::hash(&bytes);
        Self { bytes, checksum }
    }
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    base: SnapshotBase,
    encoded_base: Arc<EncodedSnapshot>,
    /// Number of the entry before the first retained one.
    start: u64,
    entries: Vec<Entry>,
    bytes: usize,
}

impl Log {
    /// Creates a log without entries.
    pub fn new(base: SnapshotBase) -> Self {
        let encoded_base = Arc::new(EncodedSnapshot::new(&base));
        let start = base.op;
        Self { base, encoded_base, start, entries: Vec::new(), bytes: 0 }
    }

    /// Creates a log with entries; `start` is the number of the entry before the first of them.
    pub fn with_entries(base: SnapshotBase, start: u64, entries: Vec<Entry>) -> Self {
        let mut log = Self::new(base);
        log.start = start.min(log.base.op);
        log.bytes = entries.iter().map(Entry::encoded_bytes).sum();
        log.entries = entries;
        log
    }

    /// Returns the snapshot.
    pub fn base(&self) -> &SnapshotBase {
        &self.base
    }

    /// Returns the CRC-32 (IEEE 802.3) of the encoded snapshot.
    pub fn base_checksum(&self) -> u32 {
        self.encoded_base.checksum
    }

    /// Returns the number of the last entry.
    pub fn op(&self) -> u64 {
        self.start + self.entries.len() as u64
    }

    /// Returns the number of the entry before the first retained one.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Returns the retained entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Whether the bounds of the log allow another entry.
    pub fn has_room(&self) -> bool {
        self.entries.len() < MAX_LOG_ENTRIES && self.bytes < MAX_LOG_BYTES
    }

    /// Returns the entry with this number, if it is retained.
    pub fn get(&self, op: u64) -> Option<&Entry> {
        let position = op.checked_sub(self.start)?.checked_sub(1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.encoded_bytes();
        self.entries.push(entry);
    }

    /// Removes the entries after this number.
    pub fn truncate(&mut self, op: u64) {
        let retained = op.max(self.base.op).saturating_sub(self.start) as usize;
        self.entries.truncate(retained);
        self.bytes = self.entries.iter().map(Entry::encoded_bytes).sum();
    }

    /// Replaces the snapshot by a later one, and removes the entries more than [`RETAINED_ENTRIES`] before it.
    pub fn rebase(&mut self, base: SnapshotBase) {
        let removed = base.op.saturating_sub(RETAINED_ENTRIES).saturating_sub(self.start);
        let removed = (removed as usize).min(self.entries.len());
        let entries = self.entries.split_off(removed);
        *self = Self::with_entries(base, self.start + removed as u64, entries);
    }

    /// Returns the voters after this entry, which must not be before the snapshot.
    pub fn voters_at(&self, op: u64) -> VoterSet {
        let mut voter_set = self.base.voter_set.clone();
        for op in self.base.op + 1..=op {
            if let Some(entry) = self.get(op) {
                voter_set.apply(op, &entry.payload);
            }
        }
        voter_set
    }

    /// Returns the last [`MAX_REMEMBERED_PROPOSALS`] proposals up to this entry, with the numbers of their entries.
    pub fn proposals_at(&self, op: u64) -> BTreeMap<ProposalId, u64> {
        let mut proposals = self.base.proposals.clone();
        for op in self.base.op + 1..=op.min(self.op()) {
            if let Some(entry) = self.get(op) {
                proposals.push((entry.id, op));
            }
        }
        let forgotten = proposals.len().saturating_sub(MAX_REMEMBERED_PROPOSALS);
        proposals.split_off(forgotten).into_iter().collect()
    }

    /// Returns the snapshot at an entry, given the state machine's snapshot at that entry.
    pub fn snapshot_at(&self, op: u64, state: Vec<u8>) -> SnapshotBase {
        let mut proposals: Vec<_> = self.proposals_at(op).into_iter().collect();
        proposals.sort_unstable_by_key(|(id, op)| (*op, *id));
        SnapshotBase { op, voter_set: self.voters_at(op), proposals, state }
    }

    /// Returns the entries from `first` to `last`, as many as fit a message.
    pub fn entries_between(&self, first: u64, last: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for op in first..=last {
            let Some(entry) = self.get(op) else { break };
            bytes += entry.encoded_bytes();
            if bytes > MAX_CHUNK_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the next part of the log for a node that has all entries before `first`: entries up to `last`, or the
    /// bytes of the snapshot from `offset`.
    pub fn part(&self, first: u64, last: u64, offset: u32) -> LogPart {
        if first > self.start {
            return LogPart::Entries { first, entries: self.entries_between(first, last) };
        }
        let bytes = &self.encoded_base.bytes;
        let start = (offset as usize).min(bytes.len());
        let end = (start + MAX_CHUNK_BYTES).min(bytes.len());
        LogPart::Chunk {
            op: self.base.op,
            total_bytes: bytes.len() as u32,
            checksum: self.encoded_base.checksum,
            offset: start as u32,
            bytes: bytes[start..end].to_vec(),
        }
    }

    /// Whether all entries after this number are commands.
    pub(crate) fn has_only_commands_after(&self, op: u64) -> bool {
        let is_command = |entry: &Entry| matches!(entry.payload, EntryPayload::Command(_));
        (op + 1..=self.op()).all(|op| self.get(op).is_none_or(is_command))
    }
}
