//! Counts and logs violations of the rules that this balancer checks of itself while it runs. Every count but zero is a
//! defect.

use std::cell::Cell;
use std::rc::Rc;

use hollowpaddle_policy::interface::{RequestId, ServerId};

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request was sent to an upstream past the grace period after notice that it is draining or gone.
    SentAfterDrain,
    /// A retry of what may have run was sent past the window in which upstreams recognise it.
    SentAfterWindow,
    /// A request was sent after its final answer or after its client had gone.
    SentAfterEnd,
    /// The deadline announced to an upstream was longer than its client had left.
    DeadlineOverstated,
    /// The decision module asked for an attempt that could take effect twice.
    UnsafeRepeat,
    /// The decision module rejected a request that may have run.
    RefusedAfterEffect,
    /// A request that was received got no answer, though its client stayed.
    Unanswered,
    /// The decision module sent an upstream that is warming up more than slow start allows.
    ColdOverdraft,
}

impl Invariant {
    /// All invariants, in the order of their numbers.
    pub const ALL: [Self; 8] = [
        Self::SentAfterDrain,
        Self::SentAfterWindow,
        Self::SentAfterEnd,
        Self::DeadlineOverstated,
        Self::UnsafeRepeat,
        Self::RefusedAfterEffect,
        Self::Unanswered,
        Self::ColdOverdraft,
    ];

    /// The name in logs and in the admin API.
    pub fn name(self) -> &'static str {
        match self {
            Self::SentAfterDrain => "sent_after_drain",
            Self::SentAfterWindow => "sent_after_window",
            Self::SentAfterEnd => "sent_after_end",
            Self::DeadlineOverstated => "deadline_overstated",
            Self::UnsafeRepeat => "unsafe_repeat",
            Self::RefusedAfterEffect => "refused_after_effect",
            Self::Unanswered => "unanswered",
            Self::ColdOverdraft => "cold_overdraft",
        }
    }
}

/// How often each invariant was violated since the start, shared by all that check one.
#[derive(Clone, Debug, Default)]
pub struct Violations(Rc<[Cell<u64>; Invariant::ALL.len()]>);

impl Violations {
    /// Counts one violation, and logs it.
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

    /// How often an invariant was violated.
    pub fn of(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }

    /// All counts by name.
    pub fn counts(&self) -> serde_json::Value {
        let count = |of: Invariant| (of.name().to_string(), self.of(of).into());
        serde_json::Value::Object(Invariant::ALL.into_iter().map(count).collect())
    }
}
