//! Maps between the runtime's monotonic clock and the decision module's time.

use std::time::Duration;

use hollowpaddle_policy::interface::Time;
use tokio::time::Instant;

/// A monotonic clock that is set to Unix time once at its start, so that times in endpoint lists need no conversion.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    start_unix_us: i64,
}

impl Clock {
    /// Creates a clock that starts now, at the Unix time `unix_now`.
    pub(super) fn new(unix_now: Duration) -> Self {
        Self { start: Instant::now(), start_unix_us: unix_now.as_micros() as i64 }
    }

    /// Returns the instant at which the clock was started.
    pub(super) fn start(&self) -> Instant {
        self.start
    }

    /// Returns the Unix time at which the clock was started.
    pub(super) fn start_unix(&self) -> Duration {
        Duration::from_micros(self.start_unix_us as u64)
    }

    /// Returns the current time of the decision module.
    pub(super) fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts `instant` to the decision module's time.
    pub(super) fn time(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.start);
        Time(self.start_unix_us + since_start.as_micros() as i64)
    }

    /// Converts a time of the decision module to an instant. A time before the clock's start maps to the start.
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.start_unix_us).max(0) as u64)
    }
}
