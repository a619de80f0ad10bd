//! Normal operation of a view: entries are replicated, acknowledged and committed. Proposals are handled in
//! `proposals`.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::{Entry, EntryPayload, LogIndex, MAX_ENTRY_BYTES};
use crate::interface::Action;
use crate::log_record::Record;
use crate::message::{MAX_SNAPSHOT_BYTES, MessageBody, ReplicaStatus, View};
use crate::replica::Replica;

/// Number of entries after the last snapshot at which another snapshot is requested.
pub const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1024;
/// Largest encoded length of an entry without its command, in bytes.
const ENTRY_MARGIN_BYTES: usize = 64;
/// Bytes of a snapshot that are reserved for the voters and the proposals in it.
pub(crate) const SNAPSHOT_RESERVE_BYTES: usize = 64 << 10;

impl Replica {
    pub(crate) fn on_prepare(
        &mut self,
        from: NodeId,
        view: View,
        first: u64,
        entries: Vec<Entry>,
        commit: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_follower = self.status == ReplicaStatus::Normal && self.leadership.is_none();
        if !is_follower || view != self.view || from != view.leader {
            return;
        }
        let op = self.log.op();
        if first > op + 1 {
            self.send(from, MessageBody::GetState { first: op + 1, offset: 0 }, actions);
            return;
        }
        // A view has one log, so the received entries that are already in this log are the same.
        let new = entries.into_iter().skip((op + 1 - first) as usize).collect();
        self.append_prepared(new, actions);
        if self.log.op() > op || commit == 0 {
            let ok = MessageBody::PrepareOk { op: self.log.op(), heartbeat: 0 };
            self.send(from, ok, actions);
        }
        self.commit_through(commit, actions);
    }

    fn append_prepared(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let is_bounded =
            |entry: &Entry| entry.encoded_bytes() <= MAX_ENTRY_BYTES + ENTRY_MARGIN_BYTES;
        if entries.is_empty() || !self.log.has_room() || !entries.iter().all(is_bounded) {
            return;
        }
        let first = self.log.op() + 1;
        for entry in &entries {
            self.log.push(entry.clone());
            self.proposals.insert(entry.id, self.log.op());
        }
        self.persist(Record::Entries { first, entries }, actions);
    }

    pub(crate) fn on_prepare_ok(
        &mut self,
        from: NodeId,
        view: View,
        op: u64,
        heartbeat: u32,
        actions: &mut Vec<Action>,
    ) {
        if view != self.view || !self.voter_set.voters.contains(&from) {
            return;
        }
        let last_op = self.log.op();
        let Some(leadership) = &mut self.leadership else { return };
        let sent = leadership.heartbeats.iter().find(|sent| sent.number == heartbeat);
        let sent_at = sent.map(|sent| sent.sent_at);
        let acknowledgement = leadership.acknowledgements.entry(from).or_default();
        acknowledgement.op = acknowledgement.op.max(op.min(last_op));
        acknowledgement.heartbeat_sent_at = acknowledgement.heartbeat_sent_at.max(sent_at);
        self.track_quorum_heartbeat(actions);
        self.commit_acknowledged(actions);
    }

    /// Reports the latest heartbeat such that a majority has acknowledged it or a later one.
    fn track_quorum_heartbeat(&mut self, actions: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else { return };
        let voters = &self.voter_set.voters;
        let answers = leadership.acknowledgements.iter().filter(|(node, _)| voters.contains(node));
        let mut answered: Vec<Duration> =
            answers.filter_map(|(_, answer)| answer.heartbeat_sent_at).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let Some(sent_at) = answered.get(self.voter_set.majority() - 1).copied() else { return };
        if sent_at > leadership.quorum_heartbeat_at {
            leadership.quorum_heartbeat_at = sent_at;
            actions.push(Action::QuorumHeartbeat { sent_at });
        }
    }

    /// Commits the entries that a majority has acknowledged, one at a time, since a change of voters applies to all
    /// entries after it.
    fn commit_acknowledged(&mut self, actions: &mut Vec<Action>) {
        let commit_before = self.commit;
        while let Some(leadership) = &self.leadership {
            let next = self.commit + 1;
            let acknowledgements = leadership.acknowledgements.iter();
            let holders = acknowledgements.filter(|(_, ok)| ok.op >= next).map(|(node, _)| node);
            if next > self.log.op() || !self.voter_set.is_majority(holders) {
                break;
            }
            self.commit_through(next, actions);
        }
        if self.commit > commit_before && self.leadership.is_some() {
            let body = MessageBody::Prepare {
                first: self.log.op() + 1,
                entries: Vec::new(),
                commit: self.commit,
            };
            self.broadcast(&body, actions);
            self.answer_committed(actions);
        }
    }

    /// Commits all entries up to this number, as far as the log has them.
    pub(crate) fn commit_through(&mut self, commit: u64, actions: &mut Vec<Action>) {
        let through = commit.min(self.log.op());
        let mut voters_changed = false;
        while self.commit < through {
            self.commit += 1;
            if let Some(entry) = self.log.get(self.commit)
                && !matches!(entry.payload, EntryPayload::Command(_))
            {
                self.voter_set.apply(self.commit, &entry.payload);
                voters_changed = true;
            }
        }
        self.deliver_committed(actions);
        if voters_changed {
            self.on_voters_changed(actions);
        }
        let last_snapshot = self.log.base().op.max(self.snapshot_wanted_at);
        if self.commit.saturating_sub(last_snapshot) >= SNAPSHOT_INTERVAL_ENTRIES {
            self.snapshot_wanted_at = self.commit;
            actions.push(Action::SnapshotWanted);
        }
    }

    fn on_voters_changed(&mut self, actions: &mut Vec<Action>) {
        let (voter_set, node_id) = (&self.voter_set, self.config.node_id);
        self.peers.retain(|node, _| voter_set.has(*node));
        self.incarnation_counts.retain(|node, _| voter_set.has(*node) || *node == node_id);
        self.persist(Record::Commit { commit: self.commit }, actions);
        if !self.voter_set.voters.contains(&node_id) {
            self.step_down(actions);
            self.status = ReplicaStatus::NonVoter;
        }
    }

    pub(crate) fn on_snapshot(
        &mut self,
        index: LogIndex,
        bytes: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let op = index.op();
        let is_of_log = index.epoch() == self.last_normal_view.epoch
            && op <= self.commit
            && op > self.log.base().op;
        let fits = bytes.len() <= MAX_SNAPSHOT_BYTES - SNAPSHOT_RESERVE_BYTES;
        if self.status != ReplicaStatus::Normal || !is_of_log || !fits {
            return;
        }
        let base = self.log.snapshot_at(op, bytes);
        self.log.rebase(base.clone());
        self.persist(Record::Snapshot(base), actions);
    }
}
