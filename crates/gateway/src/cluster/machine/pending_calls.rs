//! Calls from a door that wait for an answer: from the proposal to the book's word on it.

use hollowpaddle_consensus::{self as consensus, LearnerEvent};
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::policy_state::Refusal;

use super::{Action, MAX_PENDING_CALLS, Machine};

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// It stands in the log, and the book's answer to it is this: the revision's number, or why there is none.
    Answered(Result<u64, Refusal>),
    /// It stands in the log; the book has no word of its own for it.
    Stands(consensus::LogIndex),
    /// It stands nowhere, and never will.
    Never,
    /// Nobody who knows could be asked. It may stand, or come to.
    Unknown,
}

/// Who waits for what.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) ticket: u64,
    /// The proposal by which it went to the log; none, if it only asks.
    pub(super) proposal: Option<consensus::ProposalId>,
    pub(super) id: Option<CommandId>,
    /// Where it stands, by the council's word: what is only applied here may still be lost with a council that forgets.
    pub(super) index: Option<consensus::LogIndex>,
}

impl Machine {
    pub(super) fn next_proposal(&mut self) -> consensus::ProposalId {
        self.proposals += 1;
        consensus::ProposalId {
            by: self.setup.node_id,
            incarnation: self.setup.incarnation,
            number: self.proposals,
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
            actions.push(Action::ProposalResult { ticket, answer: ProposalResult::Never });
            return;
        };
        let proposal = self.add_call(ticket, id, actions);
        self.step_learner(LearnerEvent::Propose { id: proposal, bytes });
    }

    /// Notes a call; the name of its proposal.
    pub(super) fn add_call(
        &mut self,
        ticket: u64,
        id: Option<CommandId>,
        actions: &mut Vec<Action>,
    ) -> consensus::ProposalId {
        let proposal = self.next_proposal();
        if self.calls.len() >= MAX_PENDING_CALLS
            && let Some(call) = self.calls.pop_front()
        {
            actions.push(Action::ProposalResult {
                ticket: call.ticket,
                answer: ProposalResult::Unknown,
            });
        }
        self.calls.push_back(PendingCall { ticket, proposal: Some(proposal), id, index: None });
        proposal
    }

    /// The council's word on a proposal.
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
                for call in self.calls.iter_mut().filter(|c| c.proposal == Some(id)) {
                    call.index = Some(index);
                }
                self.answer_calls(actions);
            }
            consensus::ProposalOutcome::Never | consensus::ProposalOutcome::Unknown => {
                let never = outcome == consensus::ProposalOutcome::Never;
                let answer = if never { ProposalResult::Never } else { ProposalResult::Unknown };
                self.calls.retain(|call| {
                    let this = call.proposal == Some(id);
                    if this {
                        actions.push(Action::ProposalResult {
                            ticket: call.ticket,
                            answer: answer.clone(),
                        });
                    }
                    !this
                });
            }
        }
    }

    pub(super) fn answer_calls(&mut self, actions: &mut Vec<Action>) {
        let calls = std::mem::take(&mut self.calls);
        for call in calls {
            if !self.answer_call(&call, actions) {
                self.calls.push_back(call);
            }
        }
    }

    /// Answers a call, if the book or the log can by now.
    pub(super) fn answer_call(&self, call: &PendingCall, actions: &mut Vec<Action>) -> bool {
        let stands = call.proposal.is_none() || call.index.is_some_and(|index| index <= self.at);
        if !stands {
            return false;
        }
        let answer = match (call.id, call.index) {
            (Some(id), _) => match self.policy.answer(id) {
                Some(answer) => ProposalResult::Answered(answer.outcome.clone()),
                None => return false,
            },
            (None, Some(index)) => ProposalResult::Stands(index),
            (None, None) => return false,
        };
        actions.push(Action::ProposalResult { ticket: call.ticket, answer });
        true
    }
}
