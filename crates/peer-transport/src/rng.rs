//! A seeded random number generator whose state can be compared and hashed, for backoff and challenges; not for
//! secrets.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// SplitMix64 (Steele, Lea, Flood 2014), which has a period of 2^64. Its state is a single number, as a model
/// checker requires.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a uniformly distributed duration from 0 to `max` (full jitter).
    pub(crate) fn sample_up_to(&mut self, max: Duration) -> Duration {
        let nanos = u64::try_from(max.as_nanos()).unwrap_or(u64::MAX);
        // The upper half of a product of two 64-bit numbers, which is uniform except for one part in 2^64.
        let sample = (u128::from(self.next()) * (u128::from(nanos) + 1)) >> 64;
        Duration::from_nanos(u64::try_from(sample).unwrap_or(nanos))
    }
}

/// Source of handshake challenges.
///
/// A challenge is a bijection of a counter, so that no challenge repeats before 2^32 others, and a response to
/// an earlier challenge can't match a later one by chance. 0 means no challenge and is skipped.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Nonces {
    key: [u32; 2],
    count: u32,
}

impl Nonces {
    pub(crate) fn new(rng: &mut Rng) -> Self {
        let random = rng.next();
        Self { key: [random as u32, (random >> 32) as u32], count: 0 }
    }

    pub(crate) fn next(&mut self) -> u32 {
        loop {
            self.count = self.count.wrapping_add(1);
            let [first, second] = self.key;
            let nonce = mix(mix(self.count.wrapping_add(first)) ^ second);
            if nonce != 0 {
                return nonce;
            }
        }
    }
}

/// The finalizer of MurmurHash3 (Appleby), which is a bijection.
fn mix(mut x: u32) -> u32 {
    x = (x ^ (x >> 16)).wrapping_mul(0x85eb_ca6b);
    x = (x ^ (x >> 13)).wrapping_mul(0xc2b2_ae35);
    x ^ (x >> 16)
}
