//! Points in time and lengths of time.

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedDuration(pub i64);

impl Time {
    /// The time from `earlier` to this one; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> SignedDuration {
        SignedDuration(self.0.saturating_sub(earlier.0))
    }
    /// This time moved by a span, at most to the end of what can be represented.
    pub fn plus(self, span: SignedDuration) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl SignedDuration {
    /// Its length in microseconds.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }
    /// The span of a number of microseconds, cut to whole ones; 0 if it is not a number.
    pub fn from_micros_f64(us: f64) -> SignedDuration {
        SignedDuration(us as i64)
    }
}
