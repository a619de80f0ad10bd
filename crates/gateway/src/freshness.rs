//! Expiry of the endpoint list while no live watch confirms that the list is current. The functions are pure; the decision
//! module requests newer lists.
//!
//! A change counts as delivered [`LIST_PROPAGATION_BOUND`] after discovery had the change and could be reached, even if the
//! balancer did not receive it. After the grace period of a drain no request may be sent by the old list (PROTOCOL,
//! "Figures"). A balancer whose calls fail at a discovery that can be reached can miss a drain, so its list expires when the
//! grace period of a missed drain would end, and not earlier. While discovery can't be reached no change counts as
//! delivered, and the last known list stays in use.
//!
//! # Which calls reached discovery
//!
//! | end of the call | discovery was reachable | source |
//! | --- | --- | --- |
//! | no connection; status 502 or 504 | no | PROTOCOL, "The network": new connections are refused or never come up; RFC 9110, 15.6.3 and 15.6.5: a proxy reports that it can't reach the server |
//! | another error status at once | yes | discovery's queue is full |
//! | a response, but no complete list | yes | a discovery that is down does not answer 200 |
//! | an error status after a wait | yes, unless discovery ended the last watch | PROTOCOL, "Discovery": a call fails if it waited too long or discovery is down; watches end when discovery goes down |
//! | closed without a response after a wait | yes, if no watch was lost before | the same; PROTOCOL, "The network": what was open when a machine was cut off is reset when the machine is back |
//! | closed at once without a response; no list in time | unknown | nothing is known to have waited in a queue; a process that hangs, or a machine that was cut off, says nothing |
//!
//! Calls that leave the question open count as an outage, unless another call has reached discovery since the list was last
//! confirmed.

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

/// The last observation that points to an outage of discovery, since a watch last confirmed the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutageSign {
    /// No watch was lost and every connection was established.
    None,
    /// A watch fell silent, or no connection was established: the machine may be disconnected.
    Disconnected,
    /// Discovery ended the watch, as it does when it goes down.
    EndedWatch,
}

/// The conclusion from the end of a call about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Reachable,
    Unreachable,
    Unknown,
}

/// Tracks the age of the endpoint list.
#[derive(Debug)]
pub struct Freshness {
    /// Maximum time from a missed change to the expiry of the old list.
    max_age: Duration,
    /// Changes after this time may be missing; `None` while a live watch confirms the list.
    missing_since: Option<Instant>,
    /// Whether a failed call has reached discovery since the list was last confirmed.
    was_reached: bool,
    outage_sign: OutageSign,
    expiry: Expiry,
}

impl Freshness {
    /// Creates the state at the start of the process: changes after `now` are missing until discovery delivers a list. Sends
    /// to a draining upstream end `grace` after the notice.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self {
            max_age: PROPAGATION_BOUND + grace,
            missing_since: Some(now),
            was_reached: false,
            outage_sign: OutageSign::None,
            expiry: Expiry::default(),
        }
    }

    /// Returns a shared handle to the expiry time of the list.
    pub fn expiry(&self) -> Expiry {
        self.expiry.clone()
    }

    /// Returns whether a failed call has reached discovery since the list was last confirmed, so that discovery works and
    /// has too many callers.
    pub fn is_overloaded(&self) -> bool {
        self.was_reached
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
        self.was_reached = false;
        self.outage_sign = OutageSign::None;
        self.expiry.0.set(None);
    }

    /// Records that discovery has ended the live watch, which confirmed the list until `since`.
    pub fn watch_ended(&mut self, since: Instant) {
        self.mark_unconfirmed(since);
        self.outage_sign = OutageSign::EndedWatch;
    }

    /// Records that the live watch, which confirmed the list until `since`, is silent.
    pub fn watch_silent(&mut self, since: Instant) {
        self.mark_unconfirmed(since);
        self.outage_sign = OutageSign::Disconnected;
    }

    /// Records that no live watch confirms the list any more, for a reason that says nothing about discovery. The last watch
    /// confirmed the list until `since`.
    pub fn mark_unconfirmed(&mut self, since: Instant) {
        self.missing_since.get_or_insert(since);
    }

    /// Records the end of a call for the list that began at `started_at`.
    pub fn call_ended(&mut self, end: WatchEnd, started_at: Instant, now: Instant) {
        // An expired list stays expired: a later outage of discovery does not undo earlier deliveries.
        if self.expiry.is_over(now) {
            return;
        }
        let reachability = self.reachability(end);
        let Some(since) = &mut self.missing_since else { return };
        match reachability {
            Reachability::Reachable => self.was_reached = true,
            // Discovery was unreachable, so earlier changes were not delivered to any balancer.
            Reachability::Unreachable => {
                *since = started_at.max(*since);
                self.was_reached = false;
                self.outage_sign = OutageSign::Disconnected;
            }
            // If discovery was reached before, it is not down, and this call failed because it waited too long.
            Reachability::Unknown if self.was_reached => {}
            Reachability::Unknown => *since = now.max(*since),
        }
        let expires_at = *since + self.max_age;
        self.expiry.0.set(self.was_reached.then_some(expires_at));
    }

    /// Returns the conclusion from the end of a call, by the table in the documentation of this module.
    fn reachability(&self, end: WatchEnd) -> Reachability {
        match (end, self.outage_sign) {
            (WatchEnd::Unreachable, _) => Reachability::Unreachable,
            (WatchEnd::ListCallRejected | WatchEnd::EndedWithoutList, _) => Reachability::Reachable,
            (WatchEnd::RejectedAfterWait, OutageSign::EndedWatch) => Reachability::Unknown,
            (WatchEnd::RejectedAfterWait, _) => Reachability::Reachable,
            (WatchEnd::Failed, OutageSign::None) => Reachability::Reachable,
            (WatchEnd::Failed, _) => Reachability::Unknown,
            (WatchEnd::ClosedAtOnce | WatchEnd::Unanswered | WatchEnd::Stalled, _) => {
                Reachability::Unknown
            }
        }
    }
}

#[cfg(test)]
mod tests;
