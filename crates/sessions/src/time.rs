//! Units of time: the caller's `Duration`s since the start of the process, moments in milliseconds, and the ticks that
//! records store.

use std::time::Duration;

/// The moment at which the process starts, in ms. It is above 0 because other balancers report events from before the
/// start, and moment 0 stands for an unknown time that is longer ago than any window.
const START_OFFSET_MS: u64 = 1 << 20;

/// The length of a tick, in ms. Ticks fit 32 bits for 497 days and saturate then; a process of that age grants no
/// permits.
const TICK_MS: u64 = 10;

/// Converts a span to milliseconds.
pub(crate) fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a time since the start of the process to a moment.
pub(crate) fn to_moment(time: Duration) -> u64 {
    to_millis(time).saturating_add(START_OFFSET_MS)
}

/// Converts a moment to the time since the start of the process.
pub(crate) fn to_duration(moment: u64) -> Duration {
    Duration::from_millis(moment.saturating_sub(START_OFFSET_MS))
}

/// Returns the last tick that is not later than the moment.
pub(crate) fn to_ticks(moment: u64) -> u32 {
    u32::try_from(moment / TICK_MS).unwrap_or(u32::MAX)
}

/// Returns the first tick that is not earlier than the moment.
pub(crate) fn to_ticks_rounded_up(moment: u64) -> u32 {
    u32::try_from(moment.div_ceil(TICK_MS)).unwrap_or(u32::MAX)
}

/// Converts a tick to its moment.
pub(crate) fn ticks_to_ms(ticks: u32) -> u64 {
    u64::from(ticks) * TICK_MS
}
