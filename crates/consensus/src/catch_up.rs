//! Fetches the log of another node and enters a view with it: the state transfer of Viewstamped Replication. The
//! parts are assembled in `state_transfer`.

use hollowpaddle_peer_transport::NodeId;

use crate::entry::LogIndex;
use crate::interface::Action;
use crate::log::Log;
use crate::log_record::Record;
use crate::message::{Heartbeat, LogPart, MessageBody, ReplicaStatus, View};
use crate::replica::Replica;
use crate::replica_state::EpochBootstrap;
use crate::state_transfer::StateTransfer;
use crate::timing::VIEW_CHANGE_TIMEOUT;

impl Replica {
    /// StoppedLeading the leader of a view that has begun, and fetches the leader's log.
    pub(crate) fn follow(&mut self, view: View, heartbeat: &Heartbeat, actions: &mut Vec<Action>) {
        let is_same =
            |transfer: &StateTransfer| transfer.view == view && transfer.source == view.leader;
        if self.transfer.as_ref().is_some_and(is_same) {
            return;
        }
        self.step_down(actions);
        self.view = view;
        self.status = ReplicaStatus::ViewChange;
        self.abandon_transitions();
        self.votes.clear();
        let first = self.first_needed(view.epoch);
        self.next_view_change = self.now + VIEW_CHANGE_TIMEOUT;
        self.start_transfer(StateTransfer::new(view.leader, view, first, heartbeat.op), actions);
    }

    /// Returns the number of the first entry to fetch of a log of this epoch, or 0 for the whole log. All logs of an
    /// epoch are the same up to a committed entry.
    pub(crate) fn first_needed(&self, epoch: u32) -> u64 {
        let is_same_epoch = !self.state_lost && self.last_normal_view.epoch == epoch;
        if is_same_epoch { self.commit + 1 } else { 0 }
    }

    pub(crate) fn start_transfer(&mut self, transfer: StateTransfer, actions: &mut Vec<Action>) {
        self.transfer = Some(transfer);
        self.request_state(actions);
        self.finish_transfer(actions);
    }

    /// Requests the next part of the log that is being fetched.
    pub(crate) fn request_state(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(transfer) = &mut self.transfer else { return };
        transfer.requested_at = now;
        if transfer.is_complete() {
            return;
        }
        let (to, position) = (transfer.source, transfer.position());
        let (first, offset) = (position.next_op, position.offset);
        let body = if transfer.is_from_learner {
            MessageBody::GetLearnerState { first, offset }
        } else {
            MessageBody::GetState { first, offset }
        };
        self.send(to, body, actions);
    }

    pub(crate) fn on_get_state(
        &mut self,
        from: NodeId,
        view: View,
        first: u64,
        offset: u32,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_active() || self.state_lost || view != self.view {
            return;
        }
        match self.log.part(first, self.log.op(), offset) {
            LogPart::Entries { entries, .. } if entries.is_empty() => {}
            part => self.send(from, MessageBody::LogPart(part), actions),
        }
    }

    pub(crate) fn on_part(
        &mut self,
        from: NodeId,
        view: View,
        part: LogPart,
        actions: &mut Vec<Action>,
    ) {
        if let Some(transfer) = &mut self.transfer {
            let is_expected =
                from == transfer.source && (transfer.is_from_learner || view == transfer.view);
            if is_expected && transfer.add(part) {
                self.next_view_change = self.now + VIEW_CHANGE_TIMEOUT;
                self.request_state(actions);
                self.finish_transfer(actions);
            }
        } else if let LogPart::Entries { first, entries } = part {
            self.on_prepare(from, view, first, entries, 0, actions);
        }
    }

    fn finish_transfer(&mut self, actions: &mut Vec<Action>) {
        let Some(transfer) = self.transfer.take_if(|transfer| transfer.is_complete()) else {
            return;
        };
        if self.view.leader == self.config.node_id {
            self.adopt_best_log(transfer, actions);
        } else {
            self.enter_fetched_view(transfer, actions);
        }
    }

    /// Replaces the candidate's log by the best log among its votes, which has the entries that the candidate lacked
    /// and has yet to deliver.
    fn adopt_best_log(&mut self, transfer: StateTransfer, actions: &mut Vec<Action>) {
        let best = self.best_vote().map(|(_, vote)| vote);
        let is_other_epoch =
            best.is_some_and(|best| best.last_normal_view.epoch != self.last_normal_view.epoch);
        let is_from_learner = transfer.is_from_learner;
        self.log = transfer.into_log(&self.log);
        let base = self.log.base().op;
        self.commit = if is_other_epoch || self.state_lost {
            base
        } else {
            self.commit.clamp(base, self.log.op())
        };
        if is_from_learner {
            self.commit = self.log.op();
            let without_copy = |bootstrap| EpochBootstrap { copy: None, ..bootstrap };
            self.bootstrap = self.bootstrap.take().map(without_copy);
        } else if let Some(best) = best {
            self.last_normal_view = best.last_normal_view;
        }
        if self.bootstrap.is_none() {
            self.voter_set = self.log.voters_at(self.commit);
        }
        self.proposals = self.log.proposals_at(self.log.op());
        self.persist_complete_state(actions);
        self.state_lost = self.state_lost && self.bootstrap.is_some();
        self.try_lead_with_best_log(actions);
    }

    /// Enters a view as a follower, after its log was fetched.
    fn enter_fetched_view(&mut self, transfer: StateTransfer, actions: &mut Vec<Action>) {
        let view = transfer.view;
        let end = transfer.position().next_op;
        let first = self.commit + 1;
        let is_new_epoch = self.last_normal_view.epoch != view.epoch;
        let starts_anew = self.recovery.is_some() || self.state_lost || is_new_epoch;
        let log = transfer.into_log(&self.log);
        let is_complete = starts_anew || log.base().op >= first;
        self.enter_view(view, log, 0, actions);
        if is_complete {
            self.persist_complete_state(actions);
        } else {
            let entries = (first..end).filter_map(|op| self.log.get(op).cloned()).collect();
            let record = Record::ViewStart {
                view,
                last_normal_view: self.last_normal_view,
                incarnation_counts: self.incarnation_counts.clone(),
                first,
                entries,
            };
            self.persist(record, actions);
        }
        let ok = MessageBody::PrepareOk { op: self.log.op(), heartbeat: 0 };
        self.send(view.leader, ok, actions);
    }

    /// Begins to take part in a view, with the log of that view.
    pub(crate) fn enter_view(
        &mut self,
        view: View,
        log: Log,
        commit: u64,
        actions: &mut Vec<Action>,
    ) {
        let is_new_epoch = self.last_normal_view.epoch != view.epoch;
        let starts_anew = self.state_lost || is_new_epoch;
        self.log = log;
        self.view = view;
        self.last_normal_view = view;
        self.status = ReplicaStatus::Normal;
        self.state_lost = false;
        self.abandon_transitions();
        self.votes.clear();
        self.highest_view_number = view.number;
        let base = self.log.base().op;
        self.commit = if starts_anew { base } else { self.commit.max(base) };
        self.voter_set = self.log.voters_at(self.commit);
        self.proposals = self.log.proposals_at(self.log.op());
        self.deliver_committed(actions);
        self.commit_through(commit, actions);
    }

    /// Delivers the committed entries that have not been delivered.
    pub(crate) fn deliver_committed(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.last_normal_view.epoch;
        let continues = |last: &LogIndex| last.epoch() == epoch && last.op() >= self.log.start();
        let mut delivered = match self.delivered.filter(continues) {
            Some(last) => last.op(),
            None => {
                let base = self.log.base().clone();
                let op = base.op;
                actions.push(Action::Reset { index: LogIndex::new(epoch, op), base });
                op
            }
        };
        while delivered < self.commit {
            let Some(entry) = self.log.get(delivered + 1) else { break };
            delivered += 1;
            let index = LogIndex::new(epoch, delivered);
            actions.push(Action::Committed { index, entry: entry.clone() });
        }
        self.delivered = Some(LogIndex::new(epoch, delivered));
    }
}
