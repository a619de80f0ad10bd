//! Rendezvous hashing (Thaler, Ravishankar 1998), with weights: who is first for a van among pods, balancers
//! or sites. Kept crates were weighed: `rendezvous_hash` wants hashers and nodes of its own and floats for
//! weights. This is forty lines of whole numbers, so that every build chooses alike.

/// SplitMix64's last step (Steele, Lea, Flood 2014): each bit of the input moves half of the output.
pub(crate) const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Kinds of things that are chosen: the order of pods must say nothing about that of balancers.
#[derive(Clone, Copy)]
pub(crate) enum Candidates {
    Cells = 1,
    Owners = 2,
    Zones = 3,
}

/// One draw for a van and a candidate.
pub(crate) const fn draw(among: Candidates, session: u64, candidate: u16) -> u64 {
    mix(mix(session ^ (among as u64) << 56)
        .wrapping_add((candidate as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// `-log2((x + 1) / 2^64)` with 24 bits behind the point, by squaring: no float, so no library's rounding.
fn minus_log2(x: u64) -> u64 {
    let x = x | 1;
    let whole = u64::from(x.leading_zeros());
    // Between 1 and 2, with 63 bits behind the point.
    let mut y = x << whole;
    let mut behind = 0u64;
    for _ in 0..24 {
        let square = (u128::from(y) * u128::from(y)) >> 63;
        behind <<= 1;
        if square >> 64 != 0 {
            behind |= 1;
            y = (square >> 1) as u64;
        } else {
            y = square as u64;
        }
    }
    // log2 is (63 - whole) + behind / 2^24; what is wanted is 64 less that.
    ((whole + 1) << 24) - behind
}

/// A pod and its weight: 1,000 is a whole one, 0 takes none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightedCell {
    /// Which.
    pub cell: crate::Cell,
    /// In thousandths.
    pub weight: u16,
}

/// The pod of a van that has no record: the same at everyone who has the same pods and weights, in any order.
/// A pod that goes moves its own vans only; one that weighs half as much has half as many.
pub fn cell_for(session: crate::SessionId, cells: &[WeightedCell]) -> Option<crate::Cell> {
    let cost = |w: &WeightedCell| {
        let log = u128::from(minus_log2(draw(Candidates::Cells, session.0, w.cell.0)));
        (log << 32) / u128::from(w.weight)
    };
    cells.iter().filter(|w| w.weight > 0).min_by_key(|w| (cost(w), w.cell)).map(|w| w.cell)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Cell, SessionId};

    #[test]
    fn pods_get_vans_by_weight_in_any_order_and_one_that_goes_moves_its_own_only() {
        let weight = [1000, 500, 1000, 250, 0];
        let cells: Vec<WeightedCell> =
            (0..5).map(|p| WeightedCell { cell: Cell(p), weight: weight[p as usize] }).collect();
        let mut turned = cells.clone();
        turned.reverse();
        let without: Vec<WeightedCell> =
            cells.iter().copied().filter(|w| w.cell != Cell(2)).collect();
        let mut count = [0u32; 5];
        for i in 0..20_000 {
            let session = SessionId(mix(i));
            let at = cell_for(session, &cells).expect("there are pods");
            assert_eq!(cell_for(session, &turned), Some(at));
            if at != Cell(2) {
                assert_eq!(cell_for(session, &without), Some(at));
            }
            count[at.0 as usize] += 1;
        }
        let share: Vec<f64> = count.iter().map(|c| f64::from(*c) / 20_000.0).collect();
        for (share, weight) in share.iter().zip(weight) {
            assert!((share - f64::from(weight) / 2750.0).abs() < 0.015, "{share} for {weight}");
        }
        assert_eq!(cell_for(SessionId(1), &[]), None);
    }
}
