//! Delays each message until the records that it is based on are on disk, and handles a failing disk. The store
//! writes the records.

use hollowpaddle_peer_transport::{Channel, NodeId};

use crate::interface::Action;
use crate::log_record::{Record, State};
use crate::message::{Message, MessageBody, ReplicaStatus};
use crate::replica::{AwaitingSync, Replica};

/// Largest number of messages that wait for the disk. Beyond it the oldest messages are dropped, as if lost in the
/// network; otherwise the queue would exhaust the memory while the disk hangs.
const MAX_MESSAGES_AWAITING_SYNC: usize = 4096;

impl Replica {
    /// Sends a message once all records that were issued before it are on disk, so that no message is based on
    /// state that a crash could lose.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody, actions: &mut Vec<Action>) {
        let incarnation_counts = self.incarnation_counts.clone();
        let message = Message { view: self.view, incarnation_counts, body };
        if self.issued > self.persisted && self.status != ReplicaStatus::DiskFailed {
            if self.awaiting_sync.len() >= MAX_MESSAGES_AWAITING_SYNC {
                self.awaiting_sync.pop_front();
            }
            self.awaiting_sync.push_back(AwaitingSync { record_number: self.issued, to, message });
        } else {
            self.send_now(to, message, actions);
        }
    }

    fn send_now(&mut self, to: NodeId, message: Message, actions: &mut Vec<Action>) {
        let is_to_itself =
            to == self.config.node_id && message.body.channel() == Channel::Consensus;
        if is_to_itself {
            self.loopback.push_back(message);
        } else {
            actions.push(Action::Send { to, message });
        }
    }

    /// Sends a message to all other voters, and to the joining voter, if any.
    pub(crate) fn broadcast(&mut self, body: &MessageBody, actions: &mut Vec<Action>) {
        let mut receivers = self.voter_set.voters.clone();
        receivers.extend(self.voter_set.joining);
        receivers.remove(&self.config.node_id);
        for to in receivers {
            self.send(to, body.clone(), actions);
        }
    }

    pub(crate) fn persist(&mut self, record: Record, actions: &mut Vec<Action>) {
        if self.config.has_directory && self.status != ReplicaStatus::DiskFailed {
            self.issued += 1;
            actions.push(Action::Persist { number: self.issued, record });
        }
    }

    /// Continues the record numbers after this number, if it is greater and no record awaits a sync.
    pub(crate) fn continue_numbers_after(&mut self, number: u64) {
        if self.issued == self.persisted && number > self.issued {
            self.issued = number;
            self.persisted = number;
        }
    }

    pub(crate) fn persist_view_promise(&mut self, actions: &mut Vec<Action>) {
        let record = Record::ViewPromise {
            view: self.view,
            last_normal_view: self.last_normal_view,
            incarnation_counts: self.incarnation_counts.clone(),
        };
        self.persist(record, actions);
    }

    pub(crate) fn persist_complete_state(&mut self, actions: &mut Vec<Action>) {
        let state = State {
            view: self.view,
            last_normal_view: self.last_normal_view,
            incarnation_counts: self.incarnation_counts.clone(),
            commit: self.commit,
            log: self.log.clone(),
        };
        self.persist(state.to_record(), actions);
    }

    pub(crate) fn on_persisted(&mut self, through: u64, actions: &mut Vec<Action>) {
        if self.status == ReplicaStatus::DiskFailed {
            return;
        }
        self.persisted = self.persisted.max(through.min(self.issued));
        let persisted = self.persisted;
        while let Some(waiting) =
            self.awaiting_sync.pop_front_if(|waiting| waiting.record_number <= persisted)
        {
            self.send_now(waiting.to, waiting.message, actions);
        }
    }

    pub(crate) fn on_disk_failed(&mut self, actions: &mut Vec<Action>) {
        self.step_down(actions);
        // Messages that wait for the disk are never sent.
        self.awaiting_sync.clear();
        self.loopback.clear();
        self.abandon_transitions();
        self.votes.clear();
        self.status = ReplicaStatus::DiskFailed;
        self.send_heartbeat(actions);
    }

    pub(crate) fn on_disk_recovered(&mut self, actions: &mut Vec<Action>) {
        if self.status != ReplicaStatus::DiskFailed {
            return;
        }
        self.persisted = self.issued;
        self.lose_state("the disk failed, and accepts records again", actions);
    }

    /// Discards all state and starts recovery, because the earlier promises of this process no longer count.
    pub(crate) fn lose_state(&mut self, reason: &'static str, actions: &mut Vec<Action>) {
        self.step_down(actions);
        self.awaiting_sync.clear();
        self.loopback.clear();
        actions.push(Action::StateLost(reason));
        self.start_recovery(false);
    }
}
