//! Chance from a seed, as state that can be compared and hashed: how long a hello waits, and nonces. Not for
//! secrets.

use std::time::Duration;

/// SplitMix64 (Steele, Lea, Flood 2014): a period of 2^64, and its state is one number, which a model checker
/// needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Chance(u64);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Evenly from nothing to `most` (full jitter).
    pub(crate) fn up_to(&mut self, most: Duration) -> Duration {
        let nanos = u64::try_from(most.as_nanos()).unwrap_or(u64::MAX);
        // The upper half of the product of 64 bits by 64: even but for one in 2^64 parts.
        let drawn = (u128::from(self.next()) * (u128::from(nanos) + 1)) >> 64;
        Duration::from_nanos(u64::try_from(drawn).unwrap_or(nanos))
    }
}

/// Numbers that are asked for back. None comes twice from one process before 2^32 others: a bijection of a
/// count, so that an answer to an earlier one can't by chance be one to a later. 0 is none.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Nonces {
    key: [u32; 2],
    count: u32,
}

impl Nonces {
    pub(crate) fn new(chance: &mut Chance) -> Self {
        let drawn = chance.next().to_le_bytes();
        let [a, b, c, d, e, f, g, h] = drawn;
        Self { key: [u32::from_le_bytes([a, b, c, d]), u32::from_le_bytes([e, f, g, h])], count: 0 }
    }

    pub(crate) fn next(&mut self) -> u32 {
        loop {
            self.count = self.count.wrapping_add(1);
            let [a, b] = self.key;
            let drawn = mix(mix(self.count.wrapping_add(a)) ^ b);
            if drawn != 0 {
                return drawn;
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

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    #[test]
    fn nonces_never_repeat_and_waits_stay_within_what_was_asked() {
        let mut chance = Chance::new(7);
        let mut nonces = Nonces::new(&mut chance);
        let drawn: BTreeSet<u32> = (0..100_000).map(|_| nonces.next()).collect();
        assert_eq!((drawn.len(), drawn.contains(&0)), (100_000, false));
        let most = Duration::from_millis(80);
        let waits: Vec<Duration> = (0..10_000).map(|_| chance.up_to(most)).collect();
        let mean = waits.iter().sum::<Duration>() / 10_000;
        assert!(waits.iter().all(|w| *w <= most));
        assert!(mean > most * 48 / 100 && mean < most * 52 / 100, "{mean:?}");
    }
}
