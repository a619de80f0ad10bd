//! Compares the incremental ranks with a formula that compares each class with all others.

use proptest::prelude::*;

use super::*;

/// Computes the shortest wait that any class tolerates, and the rank of each class, from all
/// classes.
fn by_formula(classes: &[ClassFigures]) -> (f64, Vec<f64>) {
    let least = classes.iter().map(|c| c.tolerable_wait).fold(f64::MAX, f64::min);
    let rank = |class: &ClassFigures| {
        let below = classes.iter().filter(|other| other.priority < class.priority).count();
        if classes.len() == 1 { 1.0 } else { below as f64 / (classes.len() - 1) as f64 }
    };
    (least, classes.iter().map(rank).collect())
}

/// Generates few distinct values, so that ties, zeros of both signs and NaN occur often.
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
        let mut classes: Vec<ClassFigures> =
            first.iter().map(|&(priority, tolerable_wait)| ClassFigures { priority, tolerable_wait }).collect();
        let mut ranks = Ranks::new(classes.len(), 1.0);
        for round in rounds {
            for (class, priority, tolerable_wait) in round {
                let class = class % classes.len();
                classes[class] = ClassFigures { priority, tolerable_wait };
                ranks.change(class);
            }
            ranks.refresh(|class| classes[class]);
            let (least, all) = by_formula(&classes);
            prop_assert_eq!(ranks.shortest_tolerable_wait(), least);
            for (class, rank) in all.into_iter().enumerate() {
                prop_assert_eq!(ranks.rank(class), rank);
            }
        }
    }
}

#[test]
fn restored_wait_shares_apply_until_the_next_refresh() {
    let mut ranks = Ranks::new(2, 1.0);
    assert_eq!(ranks.restored_wait_share(1), Some(1.0));
    ranks.restore_wait_shares(vec![0.2, 0.6]);
    assert_eq!(ranks.restored_wait_share(1), Some(0.6));
    ranks.refresh(|class| ClassFigures { priority: class as f64, tolerable_wait: 1.0 });
    assert_eq!((ranks.restored_wait_share(1), ranks.rank(0), ranks.rank(1)), (None, 0.0, 1.0));
}
