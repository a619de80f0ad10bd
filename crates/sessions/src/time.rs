//! Units of time: the caller's `Duration`s, moments in milliseconds, and the ticks that records store.

use std::time::Duration;

/// Moments are counted from so long before the start of the process, in ms: what others report may have happened before
/// it, and moment 0 stands for a time that is not known, longer ago than any window.
const START_OFFSET_MS: u64 = 1 << 20;

/// The length of a tick. Ticks fit 32 bits for 497 days and saturate then; a process as old as that grants no permits.
const TICK_MS: u64 = 10;

/// A span in milliseconds.
pub(crate) fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The moment at `time` since the start of the process.
pub(crate) fn to_moment(time: Duration) -> u64 {
    to_millis(time).saturating_add(START_OFFSET_MS)
}

/// The time since the start of the process at a moment.
pub(crate) fn to_duration(moment: u64) -> Duration {
    Duration::from_millis(moment.saturating_sub(START_OFFSET_MS))
}

/// The last tick that is not later than the moment.
pub(crate) fn to_ticks(moment: u64) -> u32 {
    u32::try_from(moment / TICK_MS).unwrap_or(u32::MAX)
}

/// The first tick that is not earlier than the moment.
pub(crate) fn to_ticks_rounded_up(moment: u64) -> u32 {
    u32::try_from(moment.div_ceil(TICK_MS)).unwrap_or(u32::MAX)
}

/// The moment of a tick.
pub(crate) fn ticks_to_ms(ticks: u32) -> u64 {
    u64::from(ticks) * TICK_MS
}
