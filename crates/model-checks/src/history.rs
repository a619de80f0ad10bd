//! Histories of operations that clients invoke at the admin API, and a linearizability check of these histories.
//!
//! The specification is one register of the newest revision number: the number only grows, and each change is a
//! compare-and-set on its base revision. Proposals, rollbacks and queries for the outcome of a command are part of a
//! history. Reads are not: a `GET` at the admin API may be as old as a lease, which `safety_checker` verifies.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_gateway::cluster::machine::ProposalResult;
use hollowpaddle_revision::policy_state::Rejection;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// An operation that a client invokes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Proposes a new revision or a rollback.
    Propose {
        /// Identifier of the command.
        id: u128,
        /// The revision that the change is based on (`if_revision`); `None` accepts any.
        base: Option<u64>,
    },
    /// Asks for the outcome of an earlier command.
    QueryOutcome {
        /// Identifier of that command.
        id: u128,
    },
}

/// The response to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The change is committed as the revision of this number.
    Committed(u64),
    /// The base is outdated; this revision is the newest.
    Conflict(u64),
    /// The change is invalid and has no effect.
    Rejected,
}

impl Response {
    /// Converts the result of a proposal; `None` if the result leaves the outcome open.
    pub fn from_result(result: &ProposalResult) -> Option<Self> {
        match result {
            ProposalResult::Answered(Ok(number)) => Some(Self::Committed(*number)),
            ProposalResult::Answered(Err(Rejection::StaleBase { newest, .. })) => {
                Some(Self::Conflict(*newest))
            }
            ProposalResult::Answered(Err(_)) | ProposalResult::NeverCommitted => {
                Some(Self::Rejected)
            }
            ProposalResult::Committed(_) | ProposalResult::Unknown => None,
        }
    }
}

/// Sequential specification: one register that holds the number of the newest revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionRegister {
    newest: u64,
    responses: BTreeMap<u128, Response>,
}

impl SequentialSpec for RevisionRegister {
    type Op = Operation;
    type Ret = Response;

    /// Called by the tester only for operations in flight at the end of a history. A history has none of these:
    /// `seeded_run` queries their outcome and drops operations whose outcome is unknown.
    fn invoke(&mut self, operation: &Operation) -> Response {
        match operation {
            Operation::Propose { base, .. } if base.is_some_and(|b| b != self.newest) => {
                Response::Conflict(self.newest)
            }
            Operation::Propose { .. } => Response::Committed(self.newest + 1),
            Operation::QueryOutcome { id } => {
                self.responses.get(id).cloned().unwrap_or(Response::Rejected)
            }
        }
    }

    /// Accepts any greater number for a new revision: numbers are log indexes, and other entries have indexes, too.
    fn is_valid_step(&mut self, operation: &Operation, response: &Response) -> bool {
        match operation {
            Operation::Propose { id, base } => {
                let fits = base.is_none_or(|b| b == self.newest);
                let valid = match response {
                    Response::Committed(number) => fits && *number > self.newest,
                    Response::Conflict(newest) => !fits && *newest == self.newest,
                    Response::Rejected => true,
                };
                if let (true, Response::Committed(number)) = (valid, response) {
                    self.newest = *number;
                }
                valid && self.responses.insert(*id, response.clone()).is_none()
            }
            Operation::QueryOutcome { id } => self.responses.get(id) == Some(response),
        }
    }
}

/// One operation, from its invocation to its response.
#[derive(Clone, Debug)]
pub struct CompletedOperation {
    /// The client. A client has at most one operation in flight.
    pub client_id: u32,
    /// Time of the invocation.
    pub invoked_at: Duration,
    /// Time of the response.
    pub returned_at: Duration,
    /// The operation.
    pub operation: Operation,
    /// The response.
    pub response: Response,
}

/// Returns whether one register that executes the operations one at a time could have given these responses.
pub fn is_linearizable(history: &[CompletedOperation]) -> bool {
    let mut boundaries: Vec<(Duration, bool, usize)> = history
        .iter()
        .enumerate()
        .flat_map(|(index, operation)| {
            [(operation.invoked_at, false, index), (operation.returned_at, true, index)]
        })
        .collect();
    // At equal times invocations come before returns: an operation that begins at the moment in which another one ends
    // is concurrent with it, and no operation returns before its own invocation.
    boundaries.sort_by_key(|(time, is_return, index)| (*time, *is_return, *index));
    let mut tester = LinearizabilityTester::new(RevisionRegister::default());
    for (_, is_return, index) in boundaries {
        let completed = &history[index];
        let valid = if is_return {
            tester.on_return(completed.client_id, completed.response.clone()).is_ok()
        } else {
            tester.on_invoke(completed.client_id, completed.operation.clone()).is_ok()
        };
        if !valid {
            return false;
        }
    }
    tester.is_consistent()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn completed(
        client_id: u32,
        invoked_at: u64,
        returned_at: u64,
        operation: Operation,
        response: Response,
    ) -> CompletedOperation {
        CompletedOperation {
            client_id,
            invoked_at: Duration::from_millis(invoked_at),
            returned_at: Duration::from_millis(returned_at),
            operation,
            response,
        }
    }
    fn propose(id: u128, base: Option<u64>) -> Operation {
        Operation::Propose { id, base }
    }

    #[test]
    fn accepts_only_linearizable_histories() {
        let first = completed(1, 0, 10, propose(1, Some(0)), Response::Committed(3));
        let conflict = completed(2, 5, 12, propose(2, Some(0)), Response::Conflict(3));
        let second = completed(2, 20, 30, propose(3, Some(3)), Response::Committed(9));
        let query = completed(3, 31, 31, Operation::QueryOutcome { id: 2 }, Response::Conflict(3));
        let all = [first.clone(), conflict.clone(), second.clone(), query.clone()];
        assert!(is_linearizable(&all));
        // Two proposals with the same base are both committed.
        let second_winner = completed(2, 5, 12, propose(2, Some(0)), Response::Committed(4));
        assert!(!is_linearizable(&[first.clone(), second_winner]));
        // A proposal conflicts with a revision that is proposed only after the response.
        let early_conflict = completed(2, 0, 4, propose(2, Some(0)), Response::Conflict(9));
        assert!(!is_linearizable(&[first.clone(), second.clone(), early_conflict]));
        // A committed revision is lost: a later proposal is committed against the old base.
        let lost_commit = completed(2, 20, 30, propose(3, Some(0)), Response::Committed(9));
        assert!(!is_linearizable(&[first.clone(), lost_commit]));
        // A query returns a different outcome than the proposal itself.
        let different_outcome =
            completed(3, 31, 31, Operation::QueryOutcome { id: 2 }, Response::Committed(4));
        assert!(!is_linearizable(&[first, conflict, second, different_outcome]));
    }
}
