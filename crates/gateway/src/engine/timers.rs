//! The engine's timers: the queue of armed timers, and the action of each timer when it is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle_policy::interface::{Event, RequestId};
use tokio::time::Instant;

use super::state::EngineState;

/// The action of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Notifies the decision module, which armed the timer with this token.
    Policy(u64),
    /// Answers a request shortly before its client's deadline.
    RequestDeadline(RequestId),
    /// Opens a watch on the endpoint list if no watch is live.
    OpenWatch,
    /// Reviews the subset of upstreams that the decision module knows.
    ReviewSubset,
    /// Wakes the engine, which checks the age of the endpoint list in every iteration of its loop.
    ListExpiry,
}

/// The armed timers, the earliest first. Timers can't be disarmed; an obsolete timer has no effect when it fires.
#[derive(Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Instant, Timer)>>);

impl Timers {
    /// Arms a timer.
    pub(super) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// When the earliest timer is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    fn take_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

impl EngineState {
    /// Fires every timer that is due.
    pub(super) fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.take_due(now) {
            match timer {
                Timer::Policy(token) => self.notify_policy(Event::Timer(token)),
                Timer::RequestDeadline(id) => self.on_request_deadline(id),
                Timer::OpenWatch if self.list_watch.is_live() => {}
                Timer::OpenWatch => self.open_watch(),
                Timer::ReviewSubset => self.review_subset(),
                Timer::ListExpiry => {}
            }
        }
    }
}
