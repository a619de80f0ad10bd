//! Corrects the start times of upstreams in lists, which are in Unix time, for a wall clock of this machine that may be
//! wrong. The functions are pure.
//!
//! Slow start depends on the age of an upstream, and the age depends on the difference between the clocks of two machines. A
//! wall clock that is an hour ahead makes every new upstream look warm, and a wall clock that is behind makes warm upstreams
//! look as if they had not started yet. This machine's clock is read once, at the start of the process. Start times that
//! contradict this clock are corrected in the direction that overloads no upstream: an upstream is treated as newer, never
//! as older.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::members::Entry;

/// Maximum time from the start of an upstream to its first listing, while the list is complete. If the start time lies
/// further back, the clocks of the upstream and of this machine differ.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(70);
/// If no upstream on a first list started within this time, that list can't confirm the clock.
const CLOCK_CHECK_TIME: Duration = Duration::from_secs(600);
/// Start times that differ by less than this belong to the same start.
const SAME_START_TOLERANCE: Duration = Duration::from_secs(1);
/// Maximum number of removed upstreams whose start times are remembered.
const MAX_REMEMBERED: usize = 4096;

/// A start time from a list, in microseconds of Unix time by an unknown clock; never 0, which lists use for long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart(std::num::NonZeroI64);

impl ListedStart {
    /// Returns the start time of an entry; `None` for long ago.
    pub fn of(entry: &Entry) -> Option<Self> {
        let microseconds = (entry.up_since_ms * 1000.0) as i64;
        std::num::NonZeroI64::new(microseconds.max(0)).map(Self)
    }

    /// Returns the start time in milliseconds of Unix time, the unit in lists.
    pub fn milliseconds(self) -> f64 {
        self.0.get() as f64 / 1000.0
    }

    fn is_same_start(self, other: Self) -> bool {
        self.0.get().abs_diff(other.0.get()) < SAME_START_TOLERANCE.as_micros() as u64
    }
}

/// A corrected start time, in microseconds of Unix time by this process's clock.
pub type CorrectedStart = std::num::NonZeroI64;

/// The times that apply to a received list.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Time at which the changes of the list count as delivered.
    pub at: Instant,
    /// The current time.
    pub now: Instant,
    /// Time up to which all new upstreams are known; `None` before the first list of a discovery server.
    pub complete_until: Option<Instant>,
}

impl From<Instant> for Delivery {
    /// Creates the times of a first list, received at `at`.
    fn from(at: Instant) -> Self {
        Self { at, now: at, complete_until: None }
    }
}

/// Corrects start times by this process's clock.
#[derive(Debug)]
pub struct StartTimes {
    origin: Instant,
    origin_unix: Duration,
    /// Duration of an upstream's warm-up after its start.
    warm_up: Duration,
    departed: FxHashMap<Arc<str>, ListedStart>,
    departed_order: VecDeque<Arc<str>>,
}

/// The rules for correcting the start times of one list.
#[derive(Clone, Copy, Debug)]
pub struct ListCorrection {
    now: i64,
    /// Upstreams that are new on the list or have another start time than before started after this time.
    started_since: Option<i64>,
    /// Start times from this one on are shifted towards now, because the list can't confirm the clock.
    unchecked_from: Option<i64>,
    newest: i64,
}

impl StartTimes {
    /// Creates the state for a clock that showed `origin_unix` at `origin`. Upstreams warm up for `warm_up` after their
    /// start.
    pub fn new(origin: Instant, origin_unix: Duration, warm_up: Duration) -> Self {
        Self {
            origin,
            origin_unix,
            warm_up,
            departed: FxHashMap::default(),
            departed_order: VecDeque::new(),
        }
    }

    /// Returns the rules for correcting the start times on this list.
    pub fn correction(&self, delivery: Delivery, entries: &[Entry]) -> ListCorrection {
        let now = self.unix_microseconds(delivery.now);
        let starts = || entries.iter().filter_map(ListedStart::of).map(|start| start.0.get());
        let newest = starts().max().unwrap_or(now);
        let warm_up = self.warm_up.as_micros() as i64;
        let is_unchecked = delivery.complete_until.is_none()
            && now - newest > CLOCK_CHECK_TIME.as_micros() as i64
            // If most upstreams started at the same time, the list does not show that the clock is wrong, and the upstreams
            // must not all be in slow start.
            && 2 * starts().filter(|start| *start >= newest - warm_up).count() <= entries.len();
        ListCorrection {
            now,
            started_since: delivery.complete_until.map(|at| self.unix_microseconds(at)),
            unchecked_from: is_unchecked.then_some(newest - warm_up),
            newest,
        }
    }

    /// Returns the corrected start time of an upstream whose listed start time is `listed`. `known` is the previously listed
    /// start time of the upstream and its correction.
    pub fn corrected(
        &self,
        correction: &ListCorrection,
        name: &str,
        listed: ListedStart,
        known: Option<(ListedStart, CorrectedStart)>,
    ) -> CorrectedStart {
        if let Some((before, corrected)) = known
            && before.is_same_start(listed)
        {
            return corrected;
        }
        let start = listed.0.get();
        let returns = self.departed.get(name).is_some_and(|before| before.is_same_start(listed));
        let since = correction.started_since.filter(|_| !returns);
        let is_too_old = since.is_some_and(|at| start < at - MAX_LISTING_DELAY.as_micros() as i64);
        let is_unchecked = correction.unchecked_from.is_some_and(|from| start >= from);
        let corrected = if is_too_old {
            correction.now
        } else if is_unchecked {
            correction.now - (correction.newest - start)
        } else {
            start.min(correction.now)
        };
        CorrectedStart::new(corrected).unwrap_or(listed.0)
    }

    /// Remembers the start time of a removed upstream, which may return without a restart.
    pub fn departed(&mut self, name: &Arc<str>, listed: ListedStart) {
        if self.departed.insert(name.clone(), listed).is_some() {
            return;
        }
        self.departed_order.push_back(name.clone());
        if self.departed_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }

    /// Returns a time in microseconds of Unix time by this process's clock.
    fn unix_microseconds(&self, at: Instant) -> i64 {
        let after = at.saturating_duration_since(self.origin).as_micros() as i64;
        let before = self.origin.saturating_duration_since(at).as_micros() as i64;
        self.origin_unix.as_micros() as i64 + after - before
    }
}

#[cfg(test)]
mod tests;
