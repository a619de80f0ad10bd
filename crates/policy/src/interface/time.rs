//! Points in time and lengths of time.

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedDuration(pub i64);

impl Time {
    /// Returns the time from `earlier` to this point; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> SignedDuration {
        SignedDuration(self.0.saturating_sub(earlier.0))
    }
    /// Returns this point moved by a duration, saturating at the bounds of `i64`.
    pub fn plus(self, span: SignedDuration) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl SignedDuration {
    /// Returns this duration in microseconds.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }
    /// Creates a duration from microseconds, truncated to whole microseconds; zero for NaN.
    pub fn from_micros_f64(us: f64) -> SignedDuration {
        SignedDuration(us as i64)
    }
}
