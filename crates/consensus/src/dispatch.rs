//! Dispatches messages to their handlers, and drops messages of ended incarnations.

use hollowpaddle_peer_transport::NodeId;

use crate::interface::Action;
use crate::message::{Message, MessageBody, ReplicaStatus};
use crate::replica::Replica;
use crate::replica_state::{DoViewChangeVote, RecoveryReport, StatusReport};
use crate::voter_set::MAX_VOTERS;

impl Replica {
    pub(crate) fn on_message(&mut self, from: NodeId, message: Message, actions: &mut Vec<Action>) {
        if from != self.config.node_id && !self.merge_incarnations(from, &message, actions) {
            return;
        }
        if self.status == ReplicaStatus::NonVoter
            && !self.accepts_as_non_voter(from, &message, actions)
        {
            return;
        }
        if message.body.is_recovery_protocol() {
            self.dispatch_recovery(from, message, actions);
        } else {
            self.dispatch(from, message, actions);
        }
    }

    fn dispatch(&mut self, from: NodeId, message: Message, actions: &mut Vec<Action>) {
        let Message { view, incarnation_counts, body } = message;
        match body {
            MessageBody::Heartbeat(heartbeat) => self.on_heartbeat(from, view, &heartbeat, actions),
            MessageBody::Prepare { first, entries, commit } => {
                self.on_prepare(from, view, first, entries, commit, actions)
            }
            MessageBody::PrepareOk { op, heartbeat } => {
                self.on_prepare_ok(from, view, op, heartbeat, actions)
            }
            MessageBody::StartViewChange { is_bootstrap, voter_set } => {
                self.on_start_view_change(from, view, is_bootstrap, voter_set, actions)
            }
            MessageBody::DoViewChange { last_normal_view, op, commit, state_lost } => {
                let incarnation_count = incarnation_counts.get(&from).copied().unwrap_or(0);
                let vote = DoViewChangeVote {
                    incarnation_count,
                    last_normal_view,
                    op,
                    commit,
                    state_lost,
                };
                self.on_do_view_change(from, view, vote, actions);
            }
            MessageBody::GetState { first, offset } => {
                self.on_get_state(from, view, first, offset, actions)
            }
            MessageBody::LogPart(part) => self.on_part(from, view, part, actions),
            MessageBody::Propose { id, payload } => self.on_propose(from, id, payload, actions),
            _ => {}
        }
    }

    fn dispatch_recovery(&mut self, from: NodeId, message: Message, actions: &mut Vec<Action>) {
        let Message { view, incarnation_counts, body } = message;
        let count_of = |node| incarnation_counts.get(&node).copied().unwrap_or(0);
        match body {
            MessageBody::StatusRequest { nonce, requested_at_ms } => {
                self.on_status_request(from, nonce, requested_at_ms, actions)
            }
            MessageBody::StatusResponse {
                nonce,
                requested_at_ms,
                status,
                own_incarnation,
                persisted,
                commit,
                voter_set,
            } => {
                let report = StatusReport {
                    requested_at_ms,
                    status,
                    own_incarnation,
                    persisted,
                    commit,
                    our_incarnation_count: count_of(self.config.node_id),
                    view,
                    received_at: self.now,
                };
                self.on_status_response(from, nonce, report, &voter_set);
            }
            MessageBody::Recovery { nonce } => self.on_recovery(from, nonce, actions),
            MessageBody::RecoveryResponse { nonce, op, is_leader } => {
                let incarnation_count = count_of(from);
                let report = RecoveryReport { view, op, is_leader, incarnation_count };
                self.on_recovery_response(from, nonce, report, actions);
            }
            MessageBody::LearnerStatusResponse { nonce, index, voter_set } => {
                self.on_learner_status(from, nonce, index, &voter_set, actions)
            }
            _ => {}
        }
    }

    /// Merges the incarnation counts of a message, and returns whether the message is to be handled.
    fn merge_incarnations(
        &mut self,
        from: NodeId,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        let reported = &message.incarnation_counts;
        let reported_sender = reported.get(&from).copied().unwrap_or(0);
        if message.body.is_promise() && reported_sender < self.incarnation_count(from) {
            return false;
        }
        let own = self.own_incarnation_count();
        for (node, count) in reported {
            self.merge_incarnation(*node, *count);
        }
        let has_state = self.recovery.is_none() && self.status != ReplicaStatus::DiskFailed;
        let reported_own = reported.get(&self.config.node_id).copied().unwrap_or(0);
        if has_state && reported_own > own {
            self.incarnation_counts.insert(self.config.node_id, reported_own);
            self.lose_state(
                "peers know another incarnation of this node: an old directory, or two processes",
                actions,
            );
            return false;
        }
        true
    }

    /// Merges the incarnation count of another voter. A greater count voids the acknowledgements of the voter's
    /// previous incarnation.
    fn merge_incarnation(&mut self, node: NodeId, count: u32) {
        let has_room = self.incarnation_counts.len() < MAX_VOTERS
            || self.incarnation_counts.contains_key(&node);
        // Counts of non-voters are dropped, since they would use up the limited number of counts.
        if node == self.config.node_id || !has_room || !self.voter_set.has(node) {
            return;
        }
        let known = self.incarnation_counts.entry(node).or_insert(0);
        if count <= *known {
            return;
        }
        *known = count;
        if let Some(leadership) = &mut self.leadership {
            leadership.acknowledgements.remove(&node);
        }
    }

    /// Handles a message to a node that is not a voter, which a leader may have added or may be about to add as a
    /// voter. Returns whether the message is also to be dispatched to the handlers of a voter.
    fn accepts_as_non_voter(
        &mut self,
        from: NodeId,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        let node_id = self.config.node_id;
        match &message.body {
            MessageBody::Heartbeat(heartbeat) if heartbeat.is_leader => {
                let voter_set = &heartbeat.voter_set;
                if voter_set.voters.contains(&node_id) {
                    self.voter_set = voter_set.clone();
                    self.lose_state("this node has become a voter", actions);
                } else if voter_set.joining == Some(node_id) {
                    let answer = Self::joining_heartbeat(voter_set.clone());
                    self.send(from, MessageBody::Heartbeat(answer), actions);
                }
                false
            }
            MessageBody::StatusRequest { .. } | MessageBody::Propose { .. } => true,
            _ => false,
        }
    }
}

impl MessageBody {
    fn is_recovery_protocol(&self) -> bool {
        matches!(
            self,
            Self::StatusRequest { .. }
                | Self::StatusResponse { .. }
                | Self::Recovery { .. }
                | Self::RecoveryResponse { .. }
                | Self::LearnerStatusResponse { .. }
        )
    }
}
