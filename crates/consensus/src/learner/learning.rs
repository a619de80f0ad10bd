//! Receives committed entries and snapshots from the source, and delivers them in order.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::{Learner, LearnerAction, MAX_LEADER_AGE};
use crate::entry::{Entry, LogIndex};
use crate::log::{Log, SnapshotBase};
use crate::message::LogPart;
use crate::replication::SNAPSHOT_INTERVAL_ENTRIES;
use crate::state_transfer::SnapshotAssembly;
use crate::voter_set::VoterSet;

/// Another node's report of its own position, of the leader and of the voters.
pub(super) struct Update {
    /// The last entry that the sender has.
    pub(super) index: LogIndex,
    pub(super) leader: Option<NodeId>,
    pub(super) voter_set: VoterSet,
    pub(super) leader_age_ms: u32,
}

impl Update {
    /// Whether the leader was recently known to lead, according to the sender or its sources.
    fn has_recent_leader(&self) -> bool {
        self.leader_age_ms < MAX_LEADER_AGE.as_millis() as u32
    }
}

impl Learner {
    /// Delivers an entry, and returns whether it was delivered. An entry is not delivered if it is not the next one, or
    /// if the log has no room until a snapshot is taken.
    pub(super) fn apply(
        &mut self,
        op: u64,
        entry: Entry,
        actions: &mut Vec<LearnerAction>,
    ) -> bool {
        if op != self.log.op() + 1 || !self.log.has_room() {
            return false;
        }
        self.voter_set.apply(op, &entry.payload);
        self.log.push(entry.clone());
        if self.voter_set.changed_at == op {
            self.update_tree(actions);
        }
        actions.push(LearnerAction::Committed { index: LogIndex::new(self.epoch, op), entry });
        let last_snapshot = self.log.base().op.max(self.snapshot_wanted_at);
        if op.saturating_sub(last_snapshot) >= SNAPSHOT_INTERVAL_ENTRIES {
            self.snapshot_wanted_at = op;
            actions.push(LearnerAction::SnapshotWanted);
        }
        true
    }

    /// Replaces the log by a snapshot, if the snapshot is of a later epoch or beyond the last entry.
    pub(super) fn adopt(
        &mut self,
        epoch: u32,
        base: SnapshotBase,
        actions: &mut Vec<LearnerAction>,
    ) {
        let index = LogIndex::new(epoch, base.op);
        let is_known = epoch == self.epoch && index <= self.last_index();
        if is_known || epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        self.snapshot_wanted_at = 0;
        if !base.voter_set.voters.is_empty() {
            self.voter_set = base.voter_set.clone();
        }
        actions.push(LearnerAction::Reset { index, state: base.state.clone() });
        self.log = Log::new(base);
        self.update_tree(actions);
    }

    pub(super) fn on_update(
        &mut self,
        from: NodeId,
        update: Update,
        part: Option<LogPart>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if self.source == Some(from) {
            self.learn_from_source(&update, actions);
        }
        if let Some(leader) = update.leader
            && update.index.epoch() < self.epoch
            && update.has_recent_leader()
        {
            // A learner never returns to a lower epoch. The status lets the leader continue in a greater epoch.
            self.send_status(leader, 0, actions);
        }
        let before = self.last_index();
        let has_new_bytes = self.add_part(update.index, part, actions);
        let has_new_entries = self.last_index() > before;
        if has_new_entries {
            self.snapshot = SnapshotAssembly::default();
            self.push_entries_after(before, actions);
        }
        self.is_behind = update.index > self.last_index();
        self.request_next(from, has_new_entries, has_new_bytes, actions);
    }

    /// Adopts the leader and the voters that the source reports.
    fn learn_from_source(&mut self, update: &Update, actions: &mut Vec<LearnerAction>) {
        self.source_active_at = self.now;
        let age = Duration::from_millis(u64::from(update.leader_age_ms));
        self.leader_seen_at = self.leader_seen_at.max(self.now.checked_sub(age));
        if self.is_replica_connected || !update.has_recent_leader() {
            return;
        }
        // The voters are updated first, since only a voter becomes the root of the tree.
        if update.index.epoch() > self.epoch && !update.voter_set.voters.is_empty() {
            self.voter_set = update.voter_set.clone();
        }
        self.learn_leader(update.leader, actions);
    }

    /// Adds a part of a log whose last entry is at `index`, and returns whether the part has new bytes of a snapshot.
    fn add_part(
        &mut self,
        index: LogIndex,
        part: Option<LogPart>,
        actions: &mut Vec<LearnerAction>,
    ) -> bool {
        match part {
            Some(LogPart::Entries { first, entries }) if index.epoch() == self.epoch => {
                for (position, entry) in entries.into_iter().enumerate() {
                    self.apply(first.saturating_add(position as u64), entry, actions);
                }
                false
            }
            Some(chunk @ LogPart::Chunk { .. }) if index > self.last_index() => {
                self.add_chunk(index.epoch(), chunk, actions)
            }
            _ => false,
        }
    }

    fn add_chunk(&mut self, epoch: u32, chunk: LogPart, actions: &mut Vec<LearnerAction>) -> bool {
        if self.snapshot_epoch != epoch {
            self.snapshot = SnapshotAssembly::default();
            self.snapshot_epoch = epoch;
        }
        let offset_before = self.snapshot.offset();
        if let Some(base) = self.snapshot.add(chunk) {
            self.adopt(epoch, base, actions);
        }
        self.snapshot.offset() > offset_before
    }

    fn push_entries_after(&mut self, before: LogIndex, actions: &mut Vec<LearnerAction>) {
        let is_same_epoch = before.epoch() == self.epoch;
        let last = if is_same_epoch { before.op() } else { self.log.base().op };
        if last < self.log.op() {
            self.push_to_children(last + 1, actions);
        }
    }

    /// Requests the next part after new entries or bytes. The request also confirms the received part. Only one part is
    /// in flight at a time, which paces the transfer.
    fn request_next(
        &mut self,
        from: NodeId,
        has_new_entries: bool,
        has_new_bytes: bool,
        actions: &mut Vec<LearnerAction>,
    ) {
        if !has_new_entries && !has_new_bytes {
            return;
        }
        // The update may have changed the source.
        let is_from_source = self.source == Some(from);
        let alternates = !has_new_entries && is_from_source;
        if !alternates || !self.request_chunk_from_other(actions) {
            self.poll_source(actions);
        }
    }
}
