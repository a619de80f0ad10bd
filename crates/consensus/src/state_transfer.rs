//! Assembles a log that is fetched from another node in bounded messages; which log is fetched from whom is left
//! to the replica and the learner.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::Entry;
use crate::log::{Log, MAX_LOG_BYTES, MAX_LOG_ENTRIES, SnapshotBase};
use crate::message::{LogPart, MAX_SNAPSHOT_BYTES, View};

/// What a state transfer requests next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TransferPosition {
    /// Number of the next entry.
    pub(crate) next_op: u64,
    /// Number of the snapshot's bytes that have arrived.
    pub(crate) offset: u32,
}

/// Another node's log that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateTransfer {
    /// The node it is fetched from.
    pub(crate) source: NodeId,
    /// The view it is fetched for.
    pub(crate) view: View,
    /// Number of the last entry that is needed.
    pub(crate) target: u64,
    /// The source is a learner.
    pub(crate) is_from_learner: bool,
    /// Time of the last request.
    pub(crate) requested_at: Duration,
    first: u64,
    base: Option<SnapshotBase>,
    entries: Vec<Entry>,
    /// Encoded size of `entries`.
    entry_bytes: usize,
    snapshot: SnapshotAssembly,
}

impl StateTransfer {
    /// Fetches the entries from `first` to `target`, or a snapshot and the entries after it.
    pub(crate) fn new(source: NodeId, view: View, first: u64, target: u64) -> Self {
        Self {
            source,
            view,
            target,
            is_from_learner: false,
            requested_at: Duration::ZERO,
            first,
            base: None,
            entries: Vec::new(),
            entry_bytes: 0,
            snapshot: SnapshotAssembly::default(),
        }
    }

    /// What is needed next.
    pub(crate) fn position(&self) -> TransferPosition {
        let next_op = self.first + self.entries.len() as u64;
        TransferPosition { next_op, offset: self.snapshot.offset() }
    }

    /// Adds a part; `false` if it is not the next one.
    pub(crate) fn add(&mut self, part: LogPart) -> bool {
        match part {
            LogPart::Entries { first, entries } => self.add_entries(first, entries),
            chunk => {
                let offset_before = self.snapshot.offset();
                if let Some(base) = self.snapshot.add(chunk) {
                    self.first = base.op + 1;
                    self.entries.clear();
                    self.entry_bytes = 0;
                    self.base = Some(base);
                    return true;
                }
                self.snapshot.offset() != offset_before
            }
        }
    }

    fn add_entries(&mut self, first: u64, entries: Vec<Entry>) -> bool {
        let is_next = first == self.position().next_op && !entries.is_empty();
        // As for a log, whose last entry may go beyond the bound.
        let has_room = self.entries.len() < MAX_LOG_ENTRIES && self.entry_bytes < MAX_LOG_BYTES;
        if !is_next || !has_room {
            return false;
        }
        self.entry_bytes += entries.iter().map(Entry::encoded_bytes).sum::<usize>();
        self.entries.extend(entries);
        true
    }

    /// Whether everything has arrived. A log that begins anew (`first` is 0) needs a snapshot.
    pub(crate) fn is_complete(&self) -> bool {
        let has_start = self.first > 0 || self.base.is_some();
        has_start && self.position().next_op > self.target
    }

    /// The fetched log: a snapshot and its entries, or the given log with the fetched entries at its end.
    pub(crate) fn into_log(self, log: &Log) -> Log {
        if let Some(base) = self.base {
            let start = base.op;
            return Log::with(base, start, self.entries);
        }
        let mut log = log.clone();
        log.truncate(self.first - 1);
        for entry in self.entries {
            log.push(entry);
        }
        log
    }
}

/// A snapshot that is assembled from its chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotAssembly {
    op: u64,
    total_bytes: u32,
    checksum: u32,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Number of bytes that have arrived.
    pub(crate) fn offset(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Checksum of the snapshot.
    pub(crate) fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Adds the next chunk, and returns the snapshot once it is complete and its checksum right.
    pub(crate) fn add(&mut self, part: LogPart) -> Option<SnapshotBase> {
        let LogPart::Chunk { op, total_bytes, checksum, offset, bytes } = part else { return None };
        if (op, total_bytes, checksum) != (self.op, self.total_bytes, self.checksum) {
            if offset != 0 || total_bytes as usize > MAX_SNAPSHOT_BYTES {
                // It is of another snapshot, which has to be begun at its start.
                *self = Self::default();
                return None;
            }
            *self = Self { op, total_bytes, checksum, bytes: Vec::new() };
        }
        let length = self.bytes.len() + bytes.len();
        if offset as usize != self.bytes.len() || length > total_bytes as usize {
            return None;
        }
        self.bytes.extend_from_slice(&bytes);
        if self.bytes.len() < total_bytes as usize {
            return None;
        }
        std::mem::take(self).decode()
    }

    fn decode(self) -> Option<SnapshotBase> {
        if crc32fast::hash(&self.bytes) != self.checksum {
            return None;
        }
        let (base, rest): (SnapshotBase, _) = postcard::take_from_bytes(&self.bytes).ok()?;
        (rest.is_empty() && base.op == self.op).then_some(base)
    }
}

#[cfg(test)]
mod tests;
