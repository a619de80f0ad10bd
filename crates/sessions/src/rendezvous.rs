//! Rendezvous hashing (Thaler and Ravishankar 1998) with weights: chooses the first cell, owner or zone for a session.
//! The hash uses integers only, so that every build makes the same choice; the crate `rendezvous_hash` needs floats for
//! weights.

use crate::ids::{Cell, SessionId};

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): each bit of the input affects half of the output bits.
pub(crate) const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The kind of candidates for a choice. The order of cells must be independent of the order of owners.
#[derive(Clone, Copy)]
pub(crate) enum Candidates {
    Cells = 1,
    Owners = 2,
    Zones = 3,
}

/// Returns the score of a candidate for a session. The candidate with the highest score is chosen, or with weights the
/// candidate with the lowest [`cost`].
pub(crate) const fn score(candidates: Candidates, session: SessionId, candidate: u16) -> u64 {
    mix(mix(session.0 ^ (candidates as u64) << 56)
        .wrapping_add((candidate as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// The number of fractional bits of [`minus_log2`].
const FRACTION_BITS: u32 = 24;

/// Returns `-log2((x + 1) / 2^64)` as a fixed-point number, by repeated squaring.
fn minus_log2(x: u64) -> u64 {
    let x = x | 1;
    let leading_zeros = u64::from(x.leading_zeros());
    // Between 1 and 2, with 63 fractional bits.
    let mut mantissa = x << leading_zeros;
    let mut fraction = 0u64;
    for _ in 0..FRACTION_BITS {
        let square = (u128::from(mantissa) * u128::from(mantissa)) >> 63;
        fraction <<= 1;
        if square >> 64 != 0 {
            fraction |= 1;
            mantissa = (square >> 1) as u64;
        } else {
            mantissa = square as u64;
        }
    }
    // log2(x) is (63 - leading_zeros) + fraction, and the result is 64 - log2(x).
    ((leading_zeros + 1) << FRACTION_BITS) - fraction
}

/// A cell and its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightedCell {
    /// The cell.
    pub cell: Cell,
    /// The weight of the cell in thousandths. A cell of weight 0 gets no sessions.
    pub weight: u16,
}

/// Chooses the cell of a session that has no record. All balancers with the same cells and weights, in any order,
/// choose the same cell. The removal of a cell moves only the cell's own sessions; a cell of half the weight gets half
/// as many sessions.
pub fn cell_for(session: SessionId, cells: &[WeightedCell]) -> Option<Cell> {
    let candidates = cells.iter().filter(|candidate| candidate.weight > 0);
    let first = candidates.min_by_key(|candidate| (cost(session, candidate), candidate.cell));
    first.map(|candidate| candidate.cell)
}

fn cost(session: SessionId, candidate: &WeightedCell) -> u128 {
    let log = u128::from(minus_log2(score(Candidates::Cells, session, candidate.cell.0)));
    (log << 32) / u128::from(candidate.weight)
}

#[cfg(test)]
mod tests;
