//! The increment and the finalizer of SplitMix64 (Steele, Lea, Flood 2014), for random numbers and hashes, but not for
//! secrets.

/// The increment from one state to the next: 2^64 divided by the golden ratio.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;

/// Mixes the bits of a state, as a bijection.
pub(crate) fn finalize(state: u64) -> u64 {
    let mut z = state;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
