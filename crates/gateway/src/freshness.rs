//! Expiry of the endpoint list while no live watch confirms that the list is current. The functions are pure; the decision
//! module requests newer lists.
//!
//! A change counts as delivered [`LIST_PROPAGATION_BOUND`] after discovery had the change and could be reached, even if the
//! balancer did not receive it. After the grace period of a drain no request may be sent by the old list (PROTOCOL,
//! "Figures"). A balancer whose calls discovery keeps rejecting can miss a drain, so its list expires when the grace period
//! of a missed drain would end, and not earlier. While discovery can't be reached no change counts as delivered, and the
//! last known list stays in use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::list_polling::LIST_PROPAGATION_BOUND;
use tokio::time::Instant;

use crate::discovery::WatchEnd;

/// Time after which a change at discovery counts as delivered.
const PROPAGATION_BOUND: Duration = Duration::from_micros(LIST_PROPAGATION_BOUND.0 as u64);

/// The expiry time of the endpoint list. The value is shared with attempts, which check it right before sending their first
/// byte.
#[derive(Clone, Debug, Default)]
pub struct Expiry(Rc<Cell<Option<Instant>>>);

impl Expiry {
    /// Returns whether the list has expired at this time.
    pub fn is_over(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now >= at)
    }

    /// Returns the current expiry time of the list, if any.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Tracks the age of the endpoint list.
#[derive(Debug)]
pub struct Freshness {
    /// Maximum time from a missed change to the expiry of the old list.
    max_age: Duration,
    /// Changes after this time may be missing; `None` while a live watch confirms the list.
    missing_since: Option<Instant>,
    /// Whether discovery has rejected a call since the list was last confirmed, which shows that discovery was reachable.
    is_overloaded: bool,
    expiry: Expiry,
}

impl Freshness {
    /// Creates the state at the start of the process: changes after `now` are missing until discovery delivers a list. Sends
    /// to a draining upstream end `grace` after the notice.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self {
            max_age: PROPAGATION_BOUND + grace,
            missing_since: Some(now),
            is_overloaded: false,
            expiry: Expiry::default(),
        }
    }

    /// Returns a shared handle to the expiry time of the list.
    pub fn expiry(&self) -> Expiry {
        self.expiry.clone()
    }

    /// Returns whether discovery has rejected a call since the list was last confirmed.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns the time at which a change that is received `now` counts as delivered.
    pub fn delivered(&self, now: Instant) -> Instant {
        self.missing_since.map_or(now, |since| now.min(since + PROPAGATION_BOUND))
    }

    /// Returns the time up to which no change is missing.
    pub fn complete_until(&self, now: Instant) -> Instant {
        self.missing_since.unwrap_or(now)
    }

    /// Records that a live watch confirms the list.
    pub fn mark_confirmed(&mut self) {
        self.missing_since = None;
        self.is_overloaded = false;
        self.expiry.0.set(None);
    }

    /// Records that no live watch confirms the list any more. The last watch confirmed the list until `since`.
    pub fn mark_unconfirmed(&mut self, since: Instant) {
        self.missing_since.get_or_insert(since);
    }

    /// Records the end of a call for the list that began at `started_at`.
    pub fn call_ended(&mut self, end: WatchEnd, started_at: Instant, now: Instant) {
        // An expired list stays expired: a later outage of discovery does not undo earlier deliveries.
        if self.expiry.is_over(now) {
            return;
        }
        let Some(since) = &mut self.missing_since else { return };
        match end {
            WatchEnd::ListCallRejected => self.is_overloaded = true,
            // Discovery was unreachable, so earlier changes were not delivered to any balancer.
            WatchEnd::Unreachable => {
                *since = started_at.max(*since);
                self.is_overloaded = false;
            }
            // A discovery that is down may accept calls and fail them. If discovery has rejected a call, it is not down, and
            // this call failed because it waited too long in discovery's queue.
            WatchEnd::Failed | WatchEnd::Unanswered if self.is_overloaded => {}
            WatchEnd::Failed | WatchEnd::Unanswered => *since = now.max(*since),
        }
        let expires_at = *since + self.max_age;
        self.expiry.0.set(self.is_overloaded.then_some(expires_at));
    }
}

#[cfg(test)]
mod tests;
