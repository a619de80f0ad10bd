//! Maps between the runtime's monotonic clock and the decision module's time.

use std::time::Duration;

use hollowpaddle_policy::interface::Time;
use tokio::time::Instant;

/// A monotonic clock that is set to Unix time once, so that the times of endpoint lists need no further mapping.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    start_unix_us: i64,
}

impl Clock {
    /// A clock that starts now, at this Unix time.
    pub(super) fn new(unix_now: Duration) -> Self {
        Self { start: Instant::now(), start_unix_us: unix_now.as_micros() as i64 }
    }

    /// The instant at which the clock was started.
    pub(super) fn start(&self) -> Instant {
        self.start
    }

    /// The Unix time at which the clock was started.
    pub(super) fn start_unix(&self) -> Duration {
        Duration::from_micros(self.start_unix_us as u64)
    }

    /// The decision module's time now.
    pub(super) fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// The decision module's time at `instant`.
    pub(super) fn time(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.start);
        Time(self.start_unix_us + since_start.as_micros() as i64)
    }

    /// The instant of a time of the decision module; of one before the start, the start.
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.start_unix_us).max(0) as u64)
    }
}
