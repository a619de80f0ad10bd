//! Assembles a log that is fetched from another node in bounded messages. The replica and the learner choose the log
//! and its source.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::Entry;
use crate::log::{Log, MAX_LOG_BYTES, MAX_LOG_ENTRIES, SnapshotBase};
use crate::message::{LogPart, MAX_SNAPSHOT_BYTES, View};

/// The position at which a state transfer continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TransferPosition {
    /// Number of the next entry.
    pub(crate) next_op: u64,
    /// Number of received bytes of the snapshot.
    pub(crate) offset: u32,
}

/// A transfer of another node's log in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateTransfer {
    /// The node that the log is fetched from.
    pub(crate) source: NodeId,
    /// The view that the log is fetched for.
    pub(crate) view: View,
    /// Number of the last entry that is needed.
    pub(crate) target: u64,
    /// Whether the source is a learner.
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
    /// Creates a transfer of the entries from `first` to `target`, or of a snapshot and the entries after it.
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

    /// Returns the position at which the transfer continues.
    pub(crate) fn position(&self) -> TransferPosition {
        let next_op = self.first + self.entries.len() as u64;
        TransferPosition { next_op, offset: self.snapshot.offset() }
    }

    /// Adds a part of the log, and returns whether it was the next one.
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
        // The same bounds as those of a log, whose last entry may exceed the bound in bytes.
        let has_room = self.entries.len() < MAX_LOG_ENTRIES && self.entry_bytes < MAX_LOG_BYTES;
        if !is_next || !has_room {
            return false;
        }
        self.entry_bytes += entries.iter().map(Entry::encoded_bytes).sum::<usize>();
        self.entries.extend(entries);
        true
    }

    /// Whether all parts have arrived. A transfer of the whole log (`first` is 0) needs a snapshot.
    pub(crate) fn is_complete(&self) -> bool {
        let has_start = self.first > 0 || self.base.is_some();
        has_start && self.position().next_op > self.target
    }

    /// Returns the fetched log: the snapshot and the entries after it, or the given log with the fetched entries at its
    /// end.
    pub(crate) fn into_log(self, log: &Log) -> Log {
        if let Some(base) = self.base {
            let start = base.op;
            return Log::with_entries(base, start, self.entries);
        }
        let mut log = log.clone();
        log.truncate(self.first - 1);
        for entry in self.entries {
            log.push(entry);
        }
        log
    }
}

/// Assembles a snapshot from its chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotAssembly {
    op: u64,
    total_bytes: u32,
    checksum: u32,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Returns the number of received bytes.
    pub(crate) fn offset(&self) -> u32 {
        self.bytes.len() as u32
    }

    /// Returns the checksum of the snapshot.
    pub(crate) fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Adds the next chunk. Returns the snapshot once it is complete and its checksum matches.
    pub(crate) fn add(&mut self, part: LogPart) -> Option<SnapshotBase> {
        let LogPart::Chunk { op, total_bytes, checksum, offset, bytes } = part else { return None };
        if (op, total_bytes, checksum) != (self.op, self.total_bytes, self.checksum) {
            if offset != 0 || total_bytes as usize > MAX_SNAPSHOT_BYTES {
                // The chunk is of another snapshot, whose assembly has to begin at its first chunk.
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
