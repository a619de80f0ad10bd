//! Compares each structure with the simplest model of the same behaviour.

use std::collections::BTreeMap;

use hollowpaddle_ordered_collections::ring::{Place, Ring};
use hollowpaddle_ordered_collections::sub_queues::SubQueues;
use hollowpaddle_ordered_collections::timers::Timers;
use hollowpaddle_ordered_collections::total::Total;
use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};

use proptest::prelude::*;

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        1 => Just(Key::ABSENT),
        3 => (0..6u64, 0..3u64).prop_map(|(a, b)| Key(a, b)),
    ]
}

proptest! {
    #[test]
    fn tournament_tree_gives_the_least_key(
        sets in prop::collection::vec((0..70usize, key()), 1..200),
        without in prop::collection::vec(0..70usize, 0..4),
    ) {
        let (mut collection, mut plain) = (TournamentTree::default(), BTreeMap::new());
        for (slot, key) in sets {
            collection.set(slot, key);
            plain.insert(slot, key);
            let least = |without: &[usize]| {
                let present =
                    plain.iter().filter(|(s, k)| **k != Key::ABSENT && !without.contains(s));
                present.map(|(s, k)| (*k, *s)).min()
            };
            prop_assert_eq!(collection.best(), least(&[]));
            prop_assert_eq!(collection.best_without(&without), least(&without));
            // A query without some slots changes nothing.
            prop_assert_eq!(collection.best(), least(&[]));
            prop_assert_eq!(collection.get(slot), key);
        }
    }

    #[test]
    fn keys_order_as_numbers_do(a in any::<f64>(), b in any::<f64>()) {
        prop_assume!(!a.is_nan() && !b.is_nan() && (a != b));
        prop_assert_eq!(a < b, Key::of(a, 9) < Key::of(b, 1));
    }

    #[test]
    fn timers_fire_once_and_no_later_than_set(
        timers in prop::collection::vec((0..20usize, 0..100i64), 1..100),
        steps in prop::collection::vec(1..20i64, 1..20),
    ) {
        let (mut collection, mut plain) = (Timers::default(), BTreeMap::<usize, i64>::new());
        for (slot, at) in timers {
            collection.set(slot, at);
            let first = plain.entry(slot).or_insert(at);
            *first = at.min(*first);
        }
        let mut now = 0;
        for step in steps {
            now += step;
            let mut due: Vec<usize> = std::iter::from_fn(|| collection.due(now)).collect();
            due.sort_unstable();
            let expected: Vec<usize> =
                plain.iter().filter(|(_, at)| **at <= now).map(|(s, _)| *s).collect();
            plain.retain(|_, at| *at > now);
            prop_assert_eq!(due, expected);
        }
    }

    #[test]
    fn total_is_exact_after_any_changes(figures in prop::collection::vec(0.0..1e6f64, 1..200)) {
        let mut total = Total::<40>::default();
        total.add(1.5);
        figures.iter().for_each(|f| total.add(*f));
        let sum: f64 = 1.5 + figures.iter().sum::<f64>();
        prop_assert!((total.get() - sum).abs() <= 1e-9 * sum);
        figures.iter().rev().for_each(|f| total.sub(*f));
        prop_assert_eq!(total.get(), 1.5);
    }

    #[test]
    fn ring_stays_sorted_and_has_each_place_once(
        changes in prop::collection::vec(
            (prop::collection::vec((0..3u32, 0..50u64), 0..40),
             prop::collection::vec((0..3u32, 0..50u64), 0..40)),
            1..12,
        ),
    ) {
        let place = |&(part, name): &(u32, u64)| Place { part, name, slot: name as usize };
        let (mut collection, mut plain) = (Ring::default(), std::collections::BTreeSet::new());
        for (removed, added) in changes {
            let removed: Vec<Place> = removed.iter().map(place).collect();
            let added: Vec<Place> = added.iter().map(place).collect();
            collection.change(&removed, &added);
            removed.iter().for_each(|p| { plain.remove(p); });
            plain.extend(added.iter().copied());
            let all: Vec<Place> = (0..collection.len()).map(|i| collection.at(i)).collect();
            prop_assert_eq!(&all, &plain.iter().copied().collect::<Vec<_>>());
            for part in 0..4 {
                let found: Vec<Place> = collection.part(part).map(|i| collection.at(i)).collect();
                let expected: Vec<Place> =
                    plain.iter().copied().filter(|p| p.part == part).collect();
                prop_assert_eq!(found, expected);
            }
            for (i, p) in all.iter().enumerate() {
                prop_assert_eq!(collection.find(*p), Some(i));
            }
        }
    }

    #[test]
    fn sub_queues_have_a_common_order_of_arrival(
        steps in prop::collection::vec((0..4u8, 0..3u8, any::<bool>()), 1..200),
    ) {
        let (mut collection, mut plain) = (SubQueues::<u8, u64>::default(), Vec::new());
        let mut next = 0;
        for (step, sub_queue, head) in steps {
            if step < 3 {
                let ticket = if head { collection.front_ticket() } else { collection.back_ticket() };
                collection.put(sub_queue, ticket, next);
                let at = if head { 0 } else { plain.len() };
                plain.insert(at, (sub_queue, ticket, next));
                next += 1;
            } else if let Some(i) = plain.iter().position(|(l, _, _)| *l == sub_queue) {
                let (_, ticket, item) = plain.remove(i);
                prop_assert_eq!(collection.take(sub_queue, ticket), Some(item));
                prop_assert_eq!(collection.take(sub_queue, ticket), None);
            }
            let mut all: Vec<_> = Vec::new();
            for sub_queue in collection.sub_queues() {
                let (mut after, mut items) = (None, Vec::new());
                while let Some((ticket, item)) = collection.next(sub_queue, after) {
                    items.push(item);
                    all.push((ticket, item));
                    after = Some(ticket);
                }
                let expected: Vec<u64> =
                    plain.iter().filter(|p| p.0 == sub_queue).map(|p| p.2).collect();
                prop_assert_eq!(items, expected);
            }
            all.sort_unstable();
            let order: Vec<u64> = all.iter().map(|t| t.1).collect();
            prop_assert_eq!(order, plain.iter().map(|p| p.2).collect::<Vec<_>>());
            prop_assert_eq!(collection.is_empty(), plain.is_empty());
        }
    }
}

#[test]
fn nan_orders_last() {
    assert!(Key::of(f64::NAN, 0) > Key::of(f64::MAX, 0));
    assert!(Key::of(f64::NAN, u64::MAX) < Key::ABSENT);
    assert!(Key::of(-1.0, 0) < Key::of(0.0, 0));
    assert!(Key::of(f64::NEG_INFINITY, 0) < Key::of(-1.0, 0));
}

#[test]
fn total_counts_nan_as_zero() {
    let mut total = Total::<20>::default();
    total.add(f64::NAN);
    total.change(None, Some(2.0));
    total.change(Some(2.0), Some(0.25));
    total.change(Some(0.25), None);
    assert_eq!(total.get(), 0.0);
}
