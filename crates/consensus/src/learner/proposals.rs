//! Sends proposals to the leader until their outcome is known or they time out.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::{Learner, LearnerAction, MAX_PENDING_PROPOSALS, POLL_INTERVAL, PROPOSAL_TIMEOUT};
use crate::entry::{EntryPayload, MAX_ENTRY_BYTES, ProposalId, ProposalOutcome};
use crate::message::MessageBody;

/// A proposal whose outcome is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingProposal {
    /// The content of the entry; `None` only queries the outcome.
    payload: Option<EntryPayload>,
    began_at: Duration,
    sent_at: Duration,
    attempts: u32,
}

impl Learner {
    pub(super) fn on_propose(
        &mut self,
        id: ProposalId,
        bytes: Vec<u8>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if bytes.len() > MAX_ENTRY_BYTES {
            actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Rejected });
        } else {
            self.start_proposal(id, Some(EntryPayload::Command(bytes)), actions);
        }
    }

    pub(super) fn start_proposal(
        &mut self,
        id: ProposalId,
        payload: Option<EntryPayload>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if self.pending_proposals.contains_key(&id) {
            return;
        }
        if self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
            // The proposal is not rejected, since it may have been sent before and be committed.
            actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Unknown });
            return;
        }
        let (began_at, sent_at) = (self.now, self.now);
        let pending = PendingProposal { payload, began_at, sent_at, attempts: 0 };
        self.pending_proposals.insert(id, pending);
        self.send_proposal(id, None, actions);
    }

    /// Sends a proposal to `to`, else to the leader, else to a random voter, which may know the leader.
    fn send_proposal(
        &mut self,
        id: ProposalId,
        to: Option<NodeId>,
        actions: &mut Vec<LearnerAction>,
    ) {
        let chosen = self.sample(self.voter_set.voters.len());
        let any_voter = self.voter_set.voters.iter().nth(chosen).copied();
        let now = self.now;
        let Some(pending) = self.pending_proposals.get_mut(&id) else { return };
        // A leader that did not answer may no longer lead.
        let avoids_leader = pending.sent_at > pending.began_at && pending.attempts % 2 == 1;
        pending.sent_at = now;
        pending.attempts = pending.attempts.wrapping_add(1);
        let payload = pending.payload.clone();
        let leader = self.leader.filter(|_| !avoids_leader);
        if let Some(to) = to.or(leader).or(any_voter) {
            self.send(to, MessageBody::Propose { id, payload }, actions);
        }
    }

    /// Removes the proposals that have timed out, and reports their outcome as unknown.
    pub(super) fn expire_proposals(&mut self, actions: &mut Vec<LearnerAction>) {
        for id in self.proposals_where(|pending| pending.began_at, PROPOSAL_TIMEOUT) {
            self.pending_proposals.remove(&id);
            actions.push(LearnerAction::Answered { id, outcome: ProposalOutcome::Unknown });
        }
    }

    pub(super) fn repeat_proposals(&mut self, actions: &mut Vec<LearnerAction>) {
        for id in self.proposals_where(|pending| pending.sent_at, POLL_INTERVAL) {
            self.send_proposal(id, None, actions);
        }
    }

    /// Returns the proposals for which `period` has passed since the time that `since` returns.
    fn proposals_where(
        &self,
        since: impl Fn(&PendingProposal) -> Duration,
        period: Duration,
    ) -> Vec<ProposalId> {
        let pending = self.pending_proposals.iter();
        let due = pending.filter(|(_, pending)| self.has_passed(since(pending), period));
        due.map(|(id, _)| *id).collect()
    }

    pub(super) fn on_proposal_response(
        &mut self,
        from: NodeId,
        id: ProposalId,
        outcome: Option<ProposalOutcome>,
        leader: Option<NodeId>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if !self.pending_proposals.contains_key(&id) {
            return;
        }
        if let Some(outcome) = outcome {
            self.pending_proposals.remove(&id);
            actions.push(LearnerAction::Answered { id, outcome });
            return;
        }
        // A redirect is followed at once, unless it leads back to the sender or to the known leader.
        let is_new = leader.is_some() && leader != Some(from) && leader != self.leader;
        if is_new {
            self.send_proposal(id, leader, actions);
        }
    }
}
