//! What clients saw of proposals, rollbacks and questions, and whether one register could have answered so: a number that
//! only grows, changed by compare-and-set on the base. Reads are not in it: `GET` at a door may be as old as a lease,
//! and `judge` holds it to that.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_gateway::cluster::machine::ProposalResult;
use hollowpaddle_revision::policy_state::Rejection;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// What was done at a door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// A new revision or a rollback, by this question, against this base.
    Change {
        /// Names it.
        id: u128,
        /// `if_revision`.
        base: Option<u64>,
    },
    /// What became of a question.
    Asked {
        /// Which.
        id: u128,
    },
}

/// What was said to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ret {
    /// It is this revision.
    Yes(u64),
    /// Another one is the newest.
    Lost(u64),
    /// It was refused for what it says: that changes nothing.
    Refused,
}

impl Ret {
    /// As a door says it; `None`: that says nothing.
    pub fn of(answer: &ProposalResult) -> Option<Self> {
        match answer {
            ProposalResult::Answered(Ok(number)) => Some(Self::Yes(*number)),
            ProposalResult::Answered(Err(Rejection::Lost { newest, .. })) => {
                Some(Self::Lost(*newest))
            }
            ProposalResult::Answered(Err(_)) | ProposalResult::NeverCommitted => {
                Some(Self::Refused)
            }
            ProposalResult::Committed(_) | ProposalResult::Unknown => None,
        }
    }
}

/// The register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    newest: u64,
    answers: BTreeMap<u128, Ret>,
}

impl SequentialSpec for Register {
    type Op = Op;
    type Ret = Ret;

    /// Only for what is in flight at the end, and nothing is: `day` asks what became of it, and drops what nobody knows.
    fn invoke(&mut self, op: &Op) -> Ret {
        match op {
            Op::Change { base, .. } if base.is_some_and(|b| b != self.newest) => {
                Ret::Lost(self.newest)
            }
            Op::Change { .. } => Ret::Yes(self.newest + 1),
            Op::Asked { id } => self.answers.get(id).cloned().unwrap_or(Ret::Refused),
        }
    }

    /// Numbers are places in the log, where other entries stand as well: any greater one will do.
    fn is_valid_step(&mut self, op: &Op, ret: &Ret) -> bool {
        match op {
            Op::Change { id, base } => {
                let fits = base.is_none_or(|b| b == self.newest);
                let valid = match ret {
                    Ret::Yes(number) => fits && *number > self.newest,
                    Ret::Lost(newest) => !fits && *newest == self.newest,
                    Ret::Refused => true,
                };
                if let (true, Ret::Yes(number)) = (valid, ret) {
                    self.newest = *number;
                }
                valid && self.answers.insert(*id, ret.clone()).is_none()
            }
            Op::Asked { id } => self.answers.get(id) == Some(ret),
        }
    }
}

/// One operation, from its asking to its answer.
#[derive(Clone, Debug)]
pub struct Span {
    /// One client does one thing at a time.
    pub thread: u32,
    /// When it began.
    pub from: Duration,
    /// When the answer came.
    pub to: Duration,
    /// What.
    pub op: Op,
    /// The answer.
    pub ret: Ret,
}

/// Whether a register that does one thing after the other could have answered so.
pub fn is_linearizable(spans: &[Span]) -> bool {
    let mut events: Vec<(Duration, bool, usize)> = spans
        .iter()
        .enumerate()
        .flat_map(|(at, s)| [(s.from, false, at), (s.to, true, at)])
        .collect();
    // What begins in the moment in which another ends is at the same time as it; of one span the beginning comes first.
    events.sort_by_key(|(time, ends, at)| (*time, *ends, *at));
    let mut tester = LinearizabilityTester::new(Register::default());
    for (_, ends, at) in events {
        let span = &spans[at];
        let valid = if ends {
            tester.on_return(span.thread, span.ret.clone()).is_ok()
        } else {
            tester.on_invoke(span.thread, span.op.clone()).is_ok()
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

    fn span(thread: u32, from: u64, to: u64, op: Op, ret: Ret) -> Span {
        Span { thread, from: Duration::from_millis(from), to: Duration::from_millis(to), op, ret }
    }
    fn change(id: u128, base: Option<u64>) -> Op {
        Op::Change { id, base }
    }

    #[test]
    fn a_register_tells_a_history_that_it_could_have_had_from_one_that_it_could_not() {
        let one = span(1, 0, 10, change(1, Some(0)), Ret::Yes(3));
        let lost = span(2, 5, 12, change(2, Some(0)), Ret::Lost(3));
        let later = span(2, 20, 30, change(3, Some(3)), Ret::Yes(9));
        let asked = span(3, 31, 31, Op::Asked { id: 2 }, Ret::Lost(3));
        let all = [one.clone(), lost.clone(), later.clone(), asked.clone()];
        assert!(is_linearizable(&all));
        // Both win against one base.
        let both = span(2, 5, 12, change(2, Some(0)), Ret::Yes(4));
        assert!(!is_linearizable(&[one.clone(), both]));
        // It lost to one that came after its answer.
        let early = span(2, 0, 4, change(2, Some(0)), Ret::Lost(9));
        assert!(!is_linearizable(&[one.clone(), later.clone(), early]));
        // A yes is forgotten.
        let forgotten = span(2, 20, 30, change(3, Some(0)), Ret::Yes(9));
        assert!(!is_linearizable(&[one.clone(), forgotten]));
        // A question is told another answer than its asker.
        let other = span(3, 31, 31, Op::Asked { id: 2 }, Ret::Yes(4));
        assert!(!is_linearizable(&[one, lost, later, other]));
    }
}
