//! The state that a balancer keeps while it leads; the module `leader` acts on this state.

use std::time::Duration;

use crate::entry::Entry;

/// A position in the replicated log. The greater of two positions is the later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LogPosition {
    pub(super) epoch: u32,
    pub(super) index: u64,
}

/// The leadership of this balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    pub(super) since: Duration,
    /// Position of the last log entry at the time of the election. The leader has caught up once it has applied that
    /// entry.
    pub(super) caught_up_at: LogPosition,
    /// The start of the last round that a majority has answered.
    pub(super) last_round: Option<Duration>,
}

impl Leadership {
    pub(super) fn new(since: Duration, caught_up_at: LogPosition) -> Self {
        Self { since, caught_up_at, last_round: None }
    }

    /// Records that a majority has answered the round that began at `began`. Rounds that began before this leadership
    /// belong to another leader, and rounds that begin in the future do not exist; both are ignored.
    pub(super) fn record_round(&mut self, now: Duration, began: Duration) {
        if (self.since..=now).contains(&began) {
            self.last_round = self.last_round.max(Some(began));
        }
    }
}

/// The canary in force, and the time at which it came into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CanaryInForce {
    pub(super) revision: u64,
    pub(super) since: Duration,
}

/// The last proposal, and the time at which it was made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentProposal {
    pub(super) entry: Entry,
    pub(super) sent_at: Duration,
}
