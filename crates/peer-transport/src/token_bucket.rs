//! Token buckets that bound the datagrams and bytes that a balancer sends. The send queue determines the order
//! of the datagrams.

use std::time::Duration;

use crate::{DeliveryMode, MAX_DATAGRAM_BYTES};

#[cfg(test)]
mod tests;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// A token bucket, stored as the time at which it will be full (GCRA, ITU-T I.371).
///
/// No timer is needed to refill the bucket, and a pause of the process earns at most one burst.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TokenBucket {
    /// Time in which one token is added, in nanoseconds.
    token_nanos: u64,
    /// Time in which an empty bucket is filled, in nanoseconds.
    capacity_nanos: u64,
    /// When the bucket is full, in nanoseconds since the process's start.
    full_at: u64,
}

fn nanos(at: Duration) -> u64 {
    u64::try_from(at.as_nanos()).unwrap_or(u64::MAX)
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens, to which `rate` tokens a second are added.
    ///
    /// In any span of `w` seconds at most `burst + w * rate` tokens are taken.
    pub(crate) fn new(rate: u32, burst: u32) -> Self {
        // Rounded up, so that the rate never exceeds the configured one.
        let token_nanos = NANOS_PER_SECOND.div_ceil(u64::from(rate.max(1)));
        let capacity_nanos = token_nanos.saturating_mul(u64::from(burst));
        Self { token_nanos, capacity_nanos, full_at: 0 }
    }

    /// Returns the earliest time at which `tokens` can be taken without using the reserved share of the bucket.
    fn ready_at(&self, tokens: u32, reserve: Reserve) -> Duration {
        let usable = self.capacity_nanos - reserve.of(self.capacity_nanos);
        let cost = self.token_nanos.saturating_mul(u64::from(tokens));
        Duration::from_nanos(self.full_at.saturating_add(cost).saturating_sub(usable))
    }

    fn take(&mut self, now: Duration, tokens: u32) {
        let cost = self.token_nanos.saturating_mul(u64::from(tokens));
        self.full_at = self.full_at.max(nanos(now)).saturating_add(cost);
    }

    /// Takes one token if one is available, and returns whether it was.
    pub(crate) fn try_take(&mut self, now: Duration) -> bool {
        let is_ready = self.ready_at(1, Reserve::Nothing) <= now;
        if is_ready {
            self.take(now, 1);
        }
        is_ready
    }
}

/// The share of a bucket that a delivery mode leaves to more urgent modes.
#[derive(Clone, Copy)]
enum Reserve {
    Nothing,
    Eighth,
    Half,
}

impl Reserve {
    fn of(self, capacity: u64) -> u64 {
        match self {
            Self::Nothing => 0,
            Self::Eighth => capacity / 8,
            Self::Half => capacity / 2,
        }
    }
}

/// The rate at which a balancer may send to its peers, in datagrams and in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SendBudget {
    datagrams: TokenBucket,
    bytes: TokenBucket,
}

impl SendBudget {
    pub(crate) fn new(datagrams: TokenBucket, bytes: TokenBucket) -> Self {
        Self { datagrams, bytes }
    }

    /// Returns the earliest time at which a datagram of any length may be sent in this mode.
    pub(crate) fn ready_at(&self, mode: DeliveryMode) -> Duration {
        let reserve = match mode {
            DeliveryMode::Urgent => Reserve::Nothing,
            DeliveryMode::Normal => Reserve::Eighth,
            DeliveryMode::Bulk => Reserve::Half,
        };
        let datagram = self.datagrams.ready_at(1, reserve);
        datagram.max(self.bytes.ready_at(MAX_DATAGRAM_BYTES as u32, reserve))
    }

    /// Takes the tokens for a datagram of this length.
    pub(crate) fn take(&mut self, now: Duration, bytes: usize) {
        self.datagrams.take(now, 1);
        self.bytes.take(now, u32::try_from(bytes).unwrap_or(u32::MAX));
    }
}
