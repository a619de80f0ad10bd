//! The incremental ranks against the formula that compared every class with every other.

use proptest::prelude::*;

use super::*;

/// The shortest wait that any class can bear, and each one's rank, from all classes anew.
fn by_formula(classes: &[Figures]) -> (f64, Vec<f64>) {
    let least = classes.iter().map(|c| c.bearable).fold(f64::MAX, f64::min);
    let rank = |mine: &Figures| {
        let below = classes.iter().filter(|other| other.value < mine.value).count();
        if classes.len() == 1 { 1.0 } else { below as f64 / (classes.len() - 1) as f64 }
    };
    (least, classes.iter().map(rank).collect())
}

/// Few values, so that ties, zeros of both signs and what is no number come up often.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        6 => (-3..9i32).prop_map(f64::from),
        1 => Just(-0.0),
        1 => Just(f64::NAN),
        1 => Just(f64::INFINITY),
        3 => -1e6..1e6f64,
    ]
}

proptest! {
    #[test]
    fn ranks_equal_the_formula_after_any_changes(
        first in prop::collection::vec((figure(), figure()), 1..60),
        rounds in prop::collection::vec(
            prop::collection::vec((0..60usize, figure(), figure()), 0..12), 1..20),
    ) {
        let mut classes: Vec<Figures> =
            first.iter().map(|&(value, bearable)| Figures { value, bearable }).collect();
        let mut ranks = Ranks::new(classes.len(), 1.0);
        for round in rounds {
            for (class, value, bearable) in round {
                let class = class % classes.len();
                classes[class] = Figures { value, bearable };
                ranks.change(class);
            }
            ranks.refresh(|class| classes[class]);
            let (least, all) = by_formula(&classes);
            prop_assert_eq!(ranks.least_bearable(), least);
            for (class, rank) in all.into_iter().enumerate() {
                prop_assert_eq!(ranks.rank(class), rank);
            }
        }
    }
}

#[test]
fn restored_parts_hold_until_the_next_refresh() {
    let mut ranks = Ranks::new(2, 1.0);
    assert_eq!(ranks.restored_part(1), Some(1.0));
    ranks.restore_parts(vec![0.2, 0.6]);
    assert_eq!(ranks.restored_part(1), Some(0.6));
    ranks.refresh(|class| Figures { value: class as f64, bearable: 1.0 });
    assert_eq!((ranks.restored_part(1), ranks.rank(0), ranks.rank(1)), (None, 0.0, 1.0));
}
