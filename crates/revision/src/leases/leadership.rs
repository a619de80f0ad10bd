//! What a balancer records while it leads; what it does with it is decided in `leader`.

use std::time::Duration;

use crate::entry::Entry;

/// A position in the replicated log; the greater one is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LogPosition {
    pub(super) epoch: u32,
    pub(super) index: u64,
}

/// The leadership of this balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    pub(super) since: Duration,
    /// The last entry of the log when it became the leader.
    pub(super) caught_up_at: LogPosition,
    /// The start of the last round that a majority has answered.
    pub(super) last_round: Option<Duration>,
}

impl Leadership {
    pub(super) fn new(since: Duration, caught_up_at: LogPosition) -> Self {
        Self { since, caught_up_at, last_round: None }
    }

    /// Records that a majority has answered the round that began then. A round from before this leadership was answered
    /// to another leader, and one from the future to nobody.
    pub(super) fn record_round(&mut self, now: Duration, began: Duration) {
        if (self.since..=now).contains(&began) {
            self.last_round = self.last_round.max(Some(began));
        }
    }
}

/// The canary in force, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CanaryInForce {
    pub(super) revision: u64,
    pub(super) since: Duration,
}

/// The last proposal, and when it was made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentProposal {
    pub(super) entry: Entry,
    pub(super) sent_at: Duration,
}
