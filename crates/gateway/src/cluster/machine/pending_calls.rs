//! Admin calls that wait for an answer: from the proposal, to its index in the log, to the outcome in the policy state.

use hollowpaddle_consensus::{self as consensus, LearnerEvent};
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::policy_state::Rejection;

use super::{Action, Machine};

/// Maximum number of waiting calls. When a further call arrives, the oldest is answered with [`ProposalResult::Unknown`].
const MAX_PENDING_CALLS: usize = 256;

/// The result of an admin call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command is committed, and the policy state has its outcome: the number of its revision or entry, or the reason
    /// for its rejection.
    Answered(Result<u64, Rejection>),
    /// The entry is committed at this index of the log, and the policy state records no outcome for it.
    Committed(consensus::LogIndex),
    /// The entry is not in the log and will never be committed.
    NeverCommitted,
    /// No balancer that knows the outcome could be reached. The entry may be committed now or later.
    Unknown,
}

/// An admin call that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    ticket: u64,
    /// The proposal of the call's entry; `None` for a query.
    proposal: Option<consensus::ProposalId>,
    id: Option<CommandId>,
    /// Index at which the entry is committed. An entry that is only applied at this balancer can still be lost if voters
    /// lose their state.
    index: Option<consensus::LogIndex>,
}

impl Machine {
    pub(super) fn next_proposal(&mut self) -> consensus::ProposalId {
        self.last_proposal += 1;
        consensus::ProposalId {
            by: self.setup.node_id,
            incarnation: self.setup.incarnation,
            number: self.last_proposal,
        }
    }

    pub(super) fn propose_entry(
        &mut self,
        ticket: u64,
        id: Option<CommandId>,
        entry: &Entry,
        actions: &mut Vec<Action>,
    ) {
        let Ok(bytes) = entry.to_bytes() else {
            actions.push(Action::ProposalResult { ticket, answer: ProposalResult::NeverCommitted });
            return;
        };
        let proposal = self.add_call(ticket, id, actions);
        self.step_learner(LearnerEvent::Propose { id: proposal, bytes });
    }

    /// Answers with the outcome of a command in the policy state, or with [`ProposalResult::Unknown`].
    pub(super) fn query_outcome(&self, ticket: u64, id: CommandId, actions: &mut Vec<Action>) {
        let query = PendingCall { ticket, proposal: None, id: Some(id), index: None };
        let answer = self.answer_to(&query).unwrap_or(ProposalResult::Unknown);
        actions.push(Action::ProposalResult { ticket, answer });
    }

    /// Adds a waiting call, and returns the id of its proposal.
    pub(super) fn add_call(
        &mut self,
        ticket: u64,
        id: Option<CommandId>,
        actions: &mut Vec<Action>,
    ) -> consensus::ProposalId {
        let proposal = self.next_proposal();
        if self.pending_calls.len() >= MAX_PENDING_CALLS
            && let Some(oldest) = self.pending_calls.pop_front()
        {
            let answer = ProposalResult::Unknown;
            actions.push(Action::ProposalResult { ticket: oldest.ticket, answer });
        }
        let call = PendingCall { ticket, proposal: Some(proposal), id, index: None };
        self.pending_calls.push_back(call);
        proposal
    }

    /// Records the outcome of a proposal, and answers the calls that wait for it.
    pub(super) fn on_outcome(
        &mut self,
        id: consensus::ProposalId,
        outcome: consensus::ProposalOutcome,
        actions: &mut Vec<Action>,
    ) {
        if self.own_proposals.remove(&id) {
            return;
        }
        match outcome {
            consensus::ProposalOutcome::Committed(index) => {
                for call in self.pending_calls.iter_mut().filter(|c| c.proposal == Some(id)) {
                    call.index = Some(index);
                }
                self.answer_calls(actions);
            }
            consensus::ProposalOutcome::Rejected => {
                self.end_calls(id, &ProposalResult::NeverCommitted, actions);
            }
            consensus::ProposalOutcome::Unknown => {
                self.end_calls(id, &ProposalResult::Unknown, actions);
            }
        }
    }

    /// Answers and removes the calls of a proposal that is not committed.
    fn end_calls(
        &mut self,
        id: consensus::ProposalId,
        answer: &ProposalResult,
        actions: &mut Vec<Action>,
    ) {
        self.pending_calls.retain(|call| {
            let is_ended = call.proposal == Some(id);
            if is_ended {
                let (ticket, answer) = (call.ticket, answer.clone());
                actions.push(Action::ProposalResult { ticket, answer });
            }
            !is_ended
        });
    }

    /// Answers and removes all calls whose answer is known.
    pub(super) fn answer_calls(&mut self, actions: &mut Vec<Action>) {
        for call in std::mem::take(&mut self.pending_calls) {
            match self.answer_to(&call) {
                Some(answer) => {
                    actions.push(Action::ProposalResult { ticket: call.ticket, answer });
                }
                None => self.pending_calls.push_back(call),
            }
        }
    }

    /// Returns the answer to a call, if the policy state or the log has it.
    fn answer_to(&self, call: &PendingCall) -> Option<ProposalResult> {
        let is_applied =
            call.proposal.is_none() || call.index.is_some_and(|index| index <= self.applied_index);
        if !is_applied {
            return None;
        }
        match call.id {
            Some(id) => {
                let answer = self.policy.command_result(id)?;
                Some(ProposalResult::Answered(answer.outcome.clone()))
            }
            None => call.index.map(ProposalResult::Committed),
        }
    }
}
