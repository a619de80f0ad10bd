//! Tests the distribution of sessions over weighted cells.

use super::*;

#[test]
fn cells_get_sessions_by_weight_and_a_removed_one_moves_only_its_own() {
    let weight = [1000, 500, 1000, 250, 0];
    let cells: Vec<WeightedCell> =
        (0..5).map(|p| WeightedCell { cell: Cell(p), weight: weight[p as usize] }).collect();
    let mut reversed = cells.clone();
    reversed.reverse();
    let without: Vec<WeightedCell> = cells.iter().copied().filter(|w| w.cell != Cell(2)).collect();
    let mut count = [0u32; 5];
    for i in 0..20_000 {
        let session = SessionId(mix(i));
        let at = cell_for(session, &cells).expect("there are cells");
        assert_eq!(cell_for(session, &reversed), Some(at));
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
