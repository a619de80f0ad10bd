//! Sends the log to the children in the dissemination tree and to recovering replicas, at a bounded rate.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::{Learner, LearnerAction, MAX_CHUNKS_PER_INTERVAL, RETRY_INTERVAL, SOURCE_TIMEOUT};
use crate::entry::LogIndex;
use crate::learner_tree::MAX_CHILDREN;
use crate::message::{LogPart, MessageBody};

/// Largest number of children whose own source has failed, in addition to the children in the tree. Polls of further
/// nodes are not answered, so that those nodes choose another source.
const MAX_EXTRA_CHILDREN: usize = 8;

/// A node that learns from this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Child {
    /// The last entry that the child has.
    index: LogIndex,
    polled_at: Duration,
    pushed_at: Duration,
}

impl Learner {
    pub(super) fn drop_silent_children(&mut self) {
        let now = self.now;
        let is_alive = |child: &Child| now.saturating_sub(child.polled_at) < 2 * SOURCE_TIMEOUT;
        self.children.retain(|_, child| is_alive(child));
    }

    /// Sends the entries from `first` on to the children that have all entries before `first`.
    pub(super) fn push_to_children(&mut self, first: u64, actions: &mut Vec<LearnerAction>) {
        let before = LogIndex::new(self.epoch, first - 1);
        let ready = self.children.iter().filter(|(_, child)| child.index >= before);
        let ready: Vec<NodeId> = ready.map(|(node, _)| *node).collect();
        for child in ready {
            if self.take_chunk_slot() {
                let entries = self.log.entries_between(first, self.log.op());
                self.send_update(child, Some(LogPart::Entries { first, entries }), actions);
            }
        }
    }

    /// Resends entries that were sent and not confirmed, since a child does not know which messages were lost.
    pub(super) fn push_again(&mut self, actions: &mut Vec<LearnerAction>) {
        for (child, first) in self.children_to_repeat() {
            if first > self.log.start() && self.take_chunk_slot() {
                if let Some(child) = self.children.get_mut(&child) {
                    child.pushed_at = self.now;
                }
                let part = self.log.part(first, self.log.op(), 0);
                self.send_update(child, Some(part), actions);
            }
        }
    }

    /// Returns the children that are behind and due for a repetition, with the number of the first entry that each
    /// lacks.
    fn children_to_repeat(&self) -> Vec<(NodeId, u64)> {
        let at = self.last_index();
        let is_behind = |child: &Child| {
            child.index.epoch() == at.epoch()
                && child.index < at
                && self.has_passed(child.pushed_at, RETRY_INTERVAL)
        };
        let behind = self.children.iter().filter(|(_, child)| is_behind(child));
        behind.map(|(node, child)| (*node, child.index.op() + 1)).collect()
    }

    /// Counts another part, and returns whether the limit of the current interval allows sending it. New entries are
    /// sent to all children at once, while older entries may have to wait for a later interval.
    fn take_chunk_slot(&mut self) -> bool {
        if self.has_passed(self.chunk_interval_began, RETRY_INTERVAL) {
            self.chunks_sent = 0;
            self.chunk_interval_began = self.now;
        }
        self.chunks_sent += 1;
        self.chunks_sent <= MAX_CHUNKS_PER_INTERVAL
    }

    fn send_update(&self, to: NodeId, part: Option<LogPart>, actions: &mut Vec<LearnerAction>) {
        let body = MessageBody::LearnerUpdate {
            index: self.last_index(),
            leader: self.leader,
            voter_set: self.voter_set.clone(),
            leader_age_ms: self.leader_age_ms(),
            part,
        };
        self.send(to, body, actions);
    }

    pub(super) fn on_poll(
        &mut self,
        from: NodeId,
        index: LogIndex,
        offset: u32,
        checksum: u32,
        actions: &mut Vec<LearnerAction>,
    ) {
        let is_full = self.children.len() >= MAX_CHILDREN + MAX_EXTRA_CHILDREN;
        let is_refused = is_full && !self.children.contains_key(&from);
        if is_refused || from == self.config.node_id {
            return;
        }
        let child = Child { index, polled_at: self.now, pushed_at: self.now };
        self.children.insert(from, child);
        if index.epoch() == self.epoch {
            actions.push(LearnerAction::LearnerAdvanced { by: from, index });
        }
        let mut part = None;
        if index < self.last_index() && self.take_chunk_slot() {
            let first = if index.epoch() == self.epoch { index.op() + 1 } else { 0 };
            let offset = if checksum == self.log.base_checksum() { offset } else { 0 };
            part = Some(self.log.part(first, self.log.op(), offset));
        }
        self.send_update(from, part, actions);
    }

    pub(super) fn on_snapshot_chunk_request(
        &mut self,
        from: NodeId,
        offset: u32,
        checksum: u32,
        actions: &mut Vec<LearnerAction>,
    ) {
        if checksum == self.log.base_checksum() && self.take_chunk_slot() {
            let part = self.log.part(0, 0, offset);
            self.send_update(from, Some(part), actions);
        }
    }

    /// Sends a part of this learner's copy of the log to a recovering replica.
    pub(super) fn on_get_state(
        &mut self,
        from: NodeId,
        first: u64,
        offset: u32,
        actions: &mut Vec<LearnerAction>,
    ) {
        if self.take_chunk_slot() {
            let part = self.log.part(first, self.log.op(), offset);
            self.send(from, MessageBody::LogPart(part), actions);
        }
    }
}
