//! Token buckets: how many datagrams and bytes a balancer may say, also while everything fails. They keep
//! count only.

use std::time::Duration;

use crate::How;

/// A bucket, kept as the time at which it will be full again (GCRA, ITU-T I.371): no timer fills it, and time
/// that went by in a pause counts for one burst at most.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pace {
    /// Nanoseconds for one unit.
    each: u64,
    /// Nanoseconds of units in a full bucket.
    depth: u64,
    /// When it is full.
    full: u64,
}

fn nanos(at: Duration) -> u64 {
    u64::try_from(at.as_nanos()).unwrap_or(u64::MAX)
}

impl Pace {
    /// So many units a second, and so many at once. In any span of `w` seconds there go at most `burst + w *
    /// rate`.
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        // Rounded up: never faster than was said.
        let each = 1_000_000_000u64.div_ceil(u64::from(rate.max(1)));
        Self { each, depth: each.saturating_mul(u64::from(burst)), full: 0 }
    }

    /// The earliest moment at which `units` can be taken so that this share (one in `keep`; 0 for none)
    /// stays.
    fn ready(&self, units: u32, keep: u64) -> Duration {
        let usable = self.depth - self.depth.checked_div(keep).unwrap_or(0);
        let cost = self.each.saturating_mul(u64::from(units));
        Duration::from_nanos(self.full.saturating_add(cost).saturating_sub(usable))
    }

    fn take(&mut self, now: Duration, units: u32) {
        let cost = self.each.saturating_mul(u64::from(units));
        self.full = self.full.max(nanos(now)).saturating_add(cost);
    }

    /// Takes one unit if there is one.
    pub(crate) fn try_one(&mut self, now: Duration) -> bool {
        let ready = self.ready(1, 0) <= now;
        if ready {
            self.take(now, 1);
        }
        ready
    }
}

/// What a balancer may say to its peers, by datagrams and by bytes. One that is less than urgent leaves a
/// share of the bucket to those that are more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Tokens {
    datagrams: Pace,
    bytes: Pace,
}

impl Tokens {
    pub(crate) fn new(datagrams: Pace, bytes: Pace) -> Self {
        Self { datagrams, bytes }
    }

    /// When a datagram of any length may go.
    pub(crate) fn ready(&self, how: How) -> Duration {
        let keep = match how {
            How::Urgent => 0,
            How::Usual => 8,
            How::Bulk => 2,
        };
        self.datagrams.ready(1, keep).max(self.bytes.ready(crate::DATAGRAM as u32, keep))
    }

    pub(crate) fn take(&mut self, now: Duration, bytes: usize) {
        self.datagrams.take(now, 1);
        self.bytes.take(now, u32::try_from(bytes).unwrap_or(u32::MAX));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn no_span_of_time_sees_more_than_the_rate_and_one_burst(
            rate in 1..3_000u32, burst in 1..300u32,
            gaps in proptest::collection::vec(0..40_000_000u64, 1..200),
        ) {
            let (mut pace, mut now, mut went) = (Pace::new(rate, burst), Duration::ZERO, Vec::new());
            for gap in gaps {
                now += Duration::from_nanos(gap);
                while pace.try_one(now) {
                    went.push(now);
                }
            }
            // For each pair: `j - i + 1 <= burst + rate * (t_j - t_i)`, the worst `i` for each `j` kept on
            // the way.
            let mut worst = f64::MAX;
            for (j, at) in went.iter().enumerate() {
                let ahead = j as f64 - at.as_secs_f64() * f64::from(rate);
                worst = worst.min(ahead);
                prop_assert!(ahead - worst + 1.0 <= f64::from(burst) + 1e-3, "datagram {} at {:?}", j, at);
            }
            // And it is not slower either: a full bucket after the time that fills it.
            now += Duration::from_secs(u64::from(burst.div_ceil(rate)) + 1);
            let full = (0..2 * burst).filter(|_| pace.try_one(now)).count();
            prop_assert_eq!(full, burst as usize);
        }
    }

    #[test]
    fn bulk_stops_at_half_a_bucket_and_what_is_usual_at_an_eighth() {
        let mut tokens = Tokens::new(Pace::new(100, 80), Pace::new(1_000_000, 1_000_000));
        let now = Duration::from_secs(9);
        let mut gone = Vec::new();
        for how in [How::Bulk, How::Usual, How::Urgent] {
            let mut went = 0;
            while tokens.ready(how) <= now {
                tokens.take(now, 30);
                went += 1;
            }
            gone.push(went);
        }
        assert_eq!(gone, [40, 30, 10]);
        assert!(tokens.ready(How::Urgent) < tokens.ready(How::Usual));
    }
}
