//! Corrects the times of start that lists give, in Unix time, for a wall clock of this machine that may be wrong. Pure.
//!
//! Slow start goes by the age of an upstream, and the age by the difference of two machines' clocks. A wall clock that is an
//! hour ahead makes every new upstream look warm, and one that is behind makes warm ones look as if they were still to start.
//! This machine's clock is read once, at the start of the process. What contradicts it is corrected in the direction that
//! overloads no upstream: one is taken for newer, never for older.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::members::Entry;

/// How long after its start an upstream may be listed first, while the list is complete. One whose time of start lies further
/// back has another clock than this machine.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(70);
/// If nothing on a first list started within this time, the clock can't be checked by that list.
const CLOCK_CHECK_TIME: Duration = Duration::from_secs(600);
/// Times of start that differ by less are the same start, listed again.
const SAME_START_TOLERANCE: Duration = Duration::from_secs(1);
/// How many removed upstreams are remembered with their time of start.
const MAX_REMEMBERED: usize = 4096;

/// A time of start as listed, in microseconds of Unix time by whichever clock; never 0, which lists use for long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart(std::num::NonZeroI64);

impl ListedStart {
    /// The time of start of an entry; nothing for long ago.
    pub fn of(entry: &Entry) -> Option<Self> {
        let microseconds = (entry.up_since_ms * 1000.0) as i64;
        std::num::NonZeroI64::new(microseconds.max(0)).map(Self)
    }

    /// The time in milliseconds of Unix time, as lists have it.
    pub fn milliseconds(self) -> f64 {
        self.0.get() as f64 / 1000.0
    }

    fn is_same_start(self, other: Self) -> bool {
        self.0.get().abs_diff(other.0.get()) < SAME_START_TOLERANCE.as_micros() as u64
    }
}

/// A corrected time of start, in microseconds of Unix time by this process's clock.
pub type CorrectedStart = std::num::NonZeroI64;

/// When a list was received, and what was known before it.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// When its changes count as delivered.
    pub at: Instant,
    /// Now.
    pub now: Instant,
    /// Until when every new upstream was known; nothing before the first list of a discovery.
    pub complete_until: Option<Instant>,
}

impl From<Instant> for Delivery {
    /// The delivery of a list before which nothing is known.
    fn from(at: Instant) -> Self {
        Self { at, now: at, complete_until: None }
    }
}

/// Corrects times of start by this process's clock.
#[derive(Debug)]
pub struct StartTimes {
    origin: Instant,
    origin_unix: Duration,
    /// How long an upstream warms up after its start.
    warm_up: Duration,
    departed: FxHashMap<Arc<str>, ListedStart>,
    departed_order: VecDeque<Arc<str>>,
}

/// How one list is read.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    now: i64,
    /// Upstreams that are new on the list, or have another start than before, have started since then.
    started_since: Option<i64>,
    /// Starts from this one on are counted from now, since nothing shows that the clock is right.
    unchecked_from: Option<i64>,
    newest: i64,
}

impl StartTimes {
    /// By a clock that showed `origin_unix` at `origin`. Upstreams warm up for `warm_up` after their start.
    pub fn new(origin: Instant, origin_unix: Duration, warm_up: Duration) -> Self {
        Self {
            origin,
            origin_unix,
            warm_up,
            departed: FxHashMap::default(),
            departed_order: VecDeque::new(),
        }
    }

    /// How the times on this list are to be read.
    pub fn reading(&self, delivery: Delivery, entries: &[Entry]) -> Reading {
        let now = self.unix(delivery.now);
        let starts = || entries.iter().filter_map(ListedStart::of).map(|start| start.0.get());
        let newest = starts().max().unwrap_or(now);
        let warm_up = self.warm_up.as_micros() as i64;
        let is_unchecked = delivery.complete_until.is_none()
            && now - newest > CLOCK_CHECK_TIME.as_micros() as i64
            // A fleet that was started at once proves nothing, and must not be slow-started as a whole.
            && 2 * starts().filter(|start| *start >= newest - warm_up).count() <= entries.len();
        Reading {
            now,
            started_since: delivery.complete_until.map(|at| self.unix(at)),
            unchecked_from: is_unchecked.then_some(newest - warm_up),
            newest,
        }
    }

    /// The corrected start of an upstream that is `listed` with this one. `known` is the start that it was listed with before,
    /// and its correction.
    pub fn corrected(
        &self,
        reading: &Reading,
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
        let since = reading.started_since.filter(|_| !returns);
        let is_too_old = since.is_some_and(|at| start < at - MAX_LISTING_DELAY.as_micros() as i64);
        let is_unchecked = reading.unchecked_from.is_some_and(|from| start >= from);
        let corrected = if is_too_old {
            reading.now
        } else if is_unchecked {
            reading.now - (reading.newest - start)
        } else {
            start.min(reading.now)
        };
        CorrectedStart::new(corrected).unwrap_or(listed.0)
    }

    /// Remembers the start of an upstream that was removed: it may return without a restart.
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

    /// Microseconds of Unix time by this process's clock.
    fn unix(&self, at: Instant) -> i64 {
        let after = at.saturating_duration_since(self.origin).as_micros() as i64;
        let before = self.origin.saturating_duration_since(at).as_micros() as i64;
        self.origin_unix.as_micros() as i64 + after - before
    }
}

#[cfg(test)]
mod tests;
