//! How long the endpoint list may be acted on while no live watch vouches for it. Pure; asking for a newer list is left to
//! the decision module.
//!
//! A change counts as delivered [`LIST_PROPAGATION_BOUND`] after discovery had it and could be reached, received or not, and
//! after the grace period of a drain nothing may be sent by the old list (PROTOCOL, "Figures"). A balancer whose calls
//! discovery keeps rejecting can miss such a change, so its list expires at that moment, and not before: while discovery
//! can't be reached nothing counts, and the last known list is the best there is.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::list_polling::LIST_PROPAGATION_BOUND;
use tokio::time::Instant;

use crate::discovery::WatchEnd;

/// From the time that discovery has a change to the time that it counts as delivered.
const PROPAGATION_BOUND: Duration = Duration::from_micros(LIST_PROPAGATION_BOUND.0 as u64);

/// When the endpoint list expires, shared with attempts, which read it right before their first byte.
#[derive(Clone, Debug, Default)]
pub struct Expiry(Rc<Cell<Option<Instant>>>);

impl Expiry {
    /// Whether the list may not be acted on at this time.
    pub fn is_over(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now >= at)
    }

    /// When the list expires, as things stand.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// What is known of the age of the endpoint list.
#[derive(Debug)]
pub struct Freshness {
    /// From a change that is missed to the last moment at which the old list may be acted on.
    max_age: Duration,
    /// Changes from then on may be missing; nothing while a live watch vouches for the list.
    missing_since: Option<Instant>,
    /// Whether discovery has rejected a call since the list was last vouched for, so that it could be reached.
    is_crowded: bool,
    expiry: Expiry,
}

impl Freshness {
    /// At the start: changes from `now` on are missing until discovery delivers a list. Sends to a draining upstream end
    /// `grace` after the notice.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self {
            max_age: PROPAGATION_BOUND + grace,
            missing_since: Some(now),
            is_crowded: false,
            expiry: Expiry::default(),
        }
    }

    /// When the list expires, as it stands at each moment.
    pub fn expiry(&self) -> Expiry {
        self.expiry.clone()
    }

    /// Whether discovery has rejected a call since the list was last vouched for.
    pub fn is_crowded(&self) -> bool {
        self.is_crowded
    }

    /// From when on a change counts as delivered that is received only now.
    pub fn delivered(&self, now: Instant) -> Instant {
        self.missing_since.map_or(now, |since| now.min(since + PROPAGATION_BOUND))
    }

    /// Until when no change is missing, as far as is known.
    pub fn complete_until(&self, now: Instant) -> Instant {
        self.missing_since.unwrap_or(now)
    }

    /// A live watch vouches for the list.
    pub fn vouched(&mut self) {
        self.missing_since = None;
        self.is_crowded = false;
        self.expiry.0.set(None);
    }

    /// No live watch vouches for the list any more; the last one did until `since`.
    pub fn unvouched(&mut self, since: Instant) {
        self.missing_since.get_or_insert(since);
    }

    /// A call for the list that began at `started_at` has ended.
    pub fn call_ended(&mut self, end: WatchEnd, started_at: Instant, now: Instant) {
        // A list that has expired stays so: an outage does not undo what had been delivered by then.
        if self.expiry.is_over(now) {
            return;
        }
        let Some(since) = &mut self.missing_since else { return };
        match end {
            WatchEnd::ListCallRejected => self.is_crowded = true,
            // Nobody was there: what changed before was not delivered to anybody.
            WatchEnd::Unreachable => {
                *since = started_at.max(*since);
                self.is_crowded = false;
            }
            // A discovery that is down may accept calls and fail them. Once it has rejected a call it is not down, and
            // this call had waited too long for its turn.
            WatchEnd::Failed | WatchEnd::Unanswered if self.is_crowded => {}
            WatchEnd::Failed | WatchEnd::Unanswered => *since = now.max(*since),
        }
        let expires_at = *since + self.max_age;
        self.expiry.0.set(self.is_crowded.then_some(expires_at));
    }
}

#[cfg(test)]
mod tests;
