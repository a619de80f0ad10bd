//! How long the list in hand may be acted on while no watch vouches for it. Pure; asking for a newer one is the policy's.
//!
//! A change counts as delivered [`LIST_PROPAGATION_BOUND`] after discovery had it and could be reached, heard or not, and from the
//! end of the drain's grace on nothing may be sent by the old list (PROTOCOL, "Figures"). A balancer that discovery keeps
//! turning away can miss such a change, so its list expires at that moment, and not before: while discovery can't be
//! reached nothing counts, and the last known list is the best there is.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::list_polling::LIST_PROPAGATION_BOUND;
use tokio::time::Instant;

use crate::discovery::WatchEnd;

/// From discovery's having a change to its counting as delivered.
const DELIVERED_AFTER: Duration = Duration::from_micros(LIST_PROPAGATION_BOUND.0 as u64);

/// When the list expires, shared with attempts, which look at it right before their first byte.
#[derive(Clone, Debug, Default)]
pub struct Expiry(Rc<Cell<Option<Instant>>>);

impl Expiry {
    /// Whether the list may not be acted on at this time.
    pub fn is_over(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now >= at)
    }

    /// When it expires, if nothing happens before.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// What is known of the age of the list in hand.
#[derive(Debug)]
pub struct Freshness {
    /// From a change that is missed to the last moment at which the old list may be acted on.
    allowed: Duration,
    /// Changes from then on may be missing; nothing is, while a watch vouches for the list.
    missing_since: Option<Instant>,
    /// Since then discovery has turned a call away, so that it could be reached.
    is_crowded: bool,
    expiry: Expiry,
}

impl Freshness {
    /// Of a start: what happens from now on is not known until discovery has told it. Sends to what drains end `grace`
    /// after the notice.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self {
            allowed: DELIVERED_AFTER + grace,
            missing_since: Some(now),
            is_crowded: false,
            expiry: Expiry::default(),
        }
    }

    /// When the list expires, as it stands at each moment.
    pub fn expiry(&self) -> Expiry {
        self.expiry.clone()
    }

    /// Whether discovery has turned a call away since the list was last vouched for.
    pub fn is_crowded(&self) -> bool {
        self.is_crowded
    }

    /// The moment from which a change counts as delivered that is heard of only now.
    pub fn delivered(&self, now: Instant) -> Instant {
        self.missing_since.map_or(now, |since| now.min(since + DELIVERED_AFTER))
    }

    /// Until when no change is missing, as far as is known.
    pub fn complete_until(&self, now: Instant) -> Instant {
        self.missing_since.unwrap_or(now)
    }

    /// A watch vouches for the list.
    pub fn vouched(&mut self) {
        self.missing_since = None;
        self.is_crowded = false;
        self.expiry.0.set(None);
    }

    /// No watch vouches for the list any more; the last one did until `since`.
    pub fn unvouched(&mut self, since: Instant) {
        self.missing_since.get_or_insert(since);
    }

    /// A call for the list that began at `begun` has come to such an end.
    pub fn call_ended(&mut self, ending: WatchEnd, begun: Instant, now: Instant) {
        // What has expired stays so: what had been delivered by then is not undone by an outage.
        if self.expiry.is_over(now) {
            return;
        }
        let Some(since) = &mut self.missing_since else { return };
        match ending {
            WatchEnd::ListCallRejected => self.is_crowded = true,
            // Nobody was there: what changed before has not been delivered to anybody.
            WatchEnd::Unreachable => {
                *since = begun.max(*since);
                self.is_crowded = false;
            }
            // Discovery that is down takes calls and fails them, too. Once it has turned a call away it is not down: then
            // the call had waited too long for its turn.
            WatchEnd::Failed | WatchEnd::Unanswered if self.is_crowded => {}
            WatchEnd::Failed | WatchEnd::Unanswered => *since = now.max(*since),
        }
        let at = *since + self.allowed;
        self.expiry.0.set(self.is_crowded.then_some(at));
    }
}

#[cfg(test)]
mod tests;
