//! Counts and logs violations of the invariants that a balancer checks at run time. Every count above zero indicates a
//! defect.

use std::cell::Cell;
use std::rc::Rc;

use hollowpaddle_policy::interface::{RequestId, ServerId};

/// An invariant, named after its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request was sent to an upstream after the grace period that follows the notice of its drain or removal.
    SentAfterDrain,
    /// A retry of a request that may have been executed was sent after the window in which upstreams recognize the retry.
    SentAfterWindow,
    /// A request was sent after its final response or after its client had disconnected.
    SentAfterEnd,
    /// The deadline announced to an upstream was longer than the client's remaining time.
    DeadlineOverstated,
    /// The decision module requested an attempt that could make a request take effect twice.
    UnsafeRetry,
    /// The decision module rejected a request that may have been executed.
    RejectedAfterEffect,
    /// A received request got no response although its client stayed connected.
    Unanswered,
    /// The decision module sent more requests to a warming-up upstream than slow start allows.
    SlowStartExceeded,
}

impl Invariant {
    /// All invariants, in declaration order.
    pub const ALL: [Self; 8] = [
        Self::SentAfterDrain,
        Self::SentAfterWindow,
        Self::SentAfterEnd,
        Self::DeadlineOverstated,
        Self::UnsafeRetry,
        Self::RejectedAfterEffect,
        Self::Unanswered,
        Self::SlowStartExceeded,
    ];

    /// Returns the name in logs and in the admin API.
    pub fn name(self) -> &'static str {
        match self {
            Self::SentAfterDrain => "sent_after_drain",
            Self::SentAfterWindow => "sent_after_window",
            Self::SentAfterEnd => "sent_after_end",
            Self::DeadlineOverstated => "deadline_overstated",
            Self::UnsafeRetry => "unsafe_repeat",
            Self::RejectedAfterEffect => "refused_after_effect",
            Self::Unanswered => "unanswered",
            Self::SlowStartExceeded => "cold_overdraft",
        }
    }
}

/// Number of violations of each invariant since the start. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Violations(Rc<[Cell<u64>; Invariant::ALL.len()]>);

impl Violations {
    /// Counts and logs one violation.
    pub fn count(
        &self,
        invariant: Invariant,
        request: Option<RequestId>,
        upstream: Option<ServerId>,
    ) {
        let count = &self.0[invariant as usize];
        count.set(count.get() + 1);
        let (request, upstream) = (request.map(|id| id.0), upstream.map(|id| id.0));
        tracing::error!(invariant = invariant.name(), request, upstream, "invariant violated");
    }

    /// Returns the number of violations of an invariant.
    pub fn of(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }

    /// Returns all counts by the name of the invariant.
    pub fn counts(&self) -> serde_json::Value {
        let count = |of: Invariant| (of.name().to_string(), self.of(of).into());
        serde_json::Value::Object(Invariant::ALL.into_iter().map(count).collect())
    }
}
