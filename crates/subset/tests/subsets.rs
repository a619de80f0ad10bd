//! Subsets are of even size, consist of complete cells, and change little.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_subset::{Cell, Cluster, Size, SizeError, Subset};
use proptest::prelude::*;

const SIZE: Size = Size { times: 4.0, min_upstreams: 8, linger: 100, min_healthy_share: 0.5 };

fn fleet(zones: u32, cells: u32, each: usize) -> Vec<Cell> {
    let cell = move |zone| (0..cells).map(move |cell| Cell { zone, cell });
    let all = (0..zones).flat_map(cell);
    all.flat_map(|c| std::iter::repeat_n(c, each)).collect()
}

fn subset(balancers: u32, position: u32, fleet: &[Cell]) -> Subset {
    let mut subset = Subset::new(SIZE, Cluster { balancers, position }).expect("a size");
    subset.set_fleet(0, fleet.iter().copied());
    subset
}

fn members(subset: &Subset, fleet: &[Cell]) -> BTreeSet<Cell> {
    fleet.iter().copied().filter(|c| subset.contains(*c)).collect()
}

#[test]
fn each_upstream_has_about_the_requested_number_of_balancers() {
    for balancers in [5, 12, 25, 36, 100] {
        let fleet = fleet(2, 625, 8);
        let mut by_cell: BTreeMap<Cell, u32> = fleet.iter().map(|c| (*c, 0)).collect();
        let mut sizes = Vec::new();
        for position in 0..balancers {
            let subset = subset(balancers, position, &fleet);
            let members = members(&subset, &fleet);
            sizes.push(members.len());
            members.iter().for_each(|c| *by_cell.get_mut(c).expect("listed") += 1);
        }
        let (least, most) = (by_cell.values().min(), by_cell.values().max());
        // If points were spaced evenly, each cell would have four balancers. The points of the golden ratio differ from that
        // by about one gap at either end of an arc.
        assert!(least >= Some(&2) && most <= Some(&6), "{balancers}: {least:?} to {most:?}");
        let (least, most) = (sizes.iter().min(), sizes.iter().max());
        assert_eq!(least, most, "{balancers}: all subsets have the same size");
    }
}

#[test]
fn growing_cluster_removes_cells_and_adds_none() {
    let fleet = fleet(2, 100, 8);
    let mut subset_of_five = subset(5, 3, &fleet);
    let before = members(&subset_of_five, &fleet);
    for (now, balancers) in (6..=36).enumerate() {
        subset_of_five.set_balancers(now as i64, balancers);
    }
    subset_of_five.expire(1000);
    let after = members(&subset_of_five, &fleet);
    assert!(after.is_subset(&before) && after.len() < before.len() / 4, "{}", after.len());
    assert_eq!(
        after,
        members(&subset(36, 3, &fleet), &fleet),
        "the subset is that of a cluster of 36 from the beginning"
    );
}

#[test]
fn additional_cell_moves_only_the_ends_of_arcs() {
    let (before, after) = (fleet(1, 500, 8), fleet(1, 501, 8));
    let mut moved = 0;
    for position in 0..36 {
        let (was, is) = (subset(36, position, &before), subset(36, position, &after));
        moved += members(&was, &after).symmetric_difference(&members(&is, &after)).count();
    }
    // Hashing all cells anew would move nearly all of 36 times 56 cells. Each end of an arc moves by one cell at most.
    assert!(moved <= 36 * 4, "{moved} cells moved");
}

#[test]
fn cell_that_left_the_arc_lingers_as_long_as_a_retry_may_be_bound_to_it() {
    let fleet = fleet(1, 100, 8);
    let mut subset = subset(10, 0, &fleet);
    let before = members(&subset, &fleet);
    assert!(
        !subset.set_balancers(50, 20),
        "no cell is removed before its lingering time has passed"
    );
    assert_eq!(members(&subset, &fleet), before);
    assert!(!subset.expire(149));
    assert!(subset.expire(150));
    assert!(members(&subset, &fleet).len() < before.len());
}

#[test]
fn cell_that_returns_in_time_stays() {
    let fleet = fleet(1, 100, 8);
    let mut subset = subset(10, 0, &fleet);
    let before = members(&subset, &fleet);
    subset.set_balancers(0, 20);
    subset.set_balancers(50, 10);
    assert!(!subset.expire(1000));
    assert_eq!(members(&subset, &fleet), before);
}

#[test]
fn unhealthy_subset_grows_until_enough_is_healthy_and_shrinks_again() {
    let fleet = fleet(1, 100, 8);
    let mut subset = subset(10, 0, &fleet);
    let before = subset.cell_count();
    assert!(subset.set_health(0, before * 8, 0), "the subset grows if all its upstreams are down");
    assert!(subset.cell_count() > before);
    while subset.set_health(0, subset.cell_count() * 8, 0) {}
    assert_eq!(subset.cell_count(), 100, "the subset grows up to all cells");
    (1..20).for_each(|now| assert!(!subset.set_health(now, 800, 800), "the subset adds no cells"));
    subset.expire(1000);
    assert_eq!(subset.cell_count(), before);
}

#[test]
fn invalid_size_is_rejected_with_the_expected_range() {
    let cluster = Cluster { balancers: 2, position: 0 };
    let error_of = |size| Subset::new(size, cluster).err();
    assert_eq!(error_of(Size { times: 0.5, ..SIZE }), Some(SizeError::Times(0.5)));
    assert!(
        error_of(Size { times: f64::NAN, ..SIZE })
            .is_some_and(|e| e.to_string().contains("1 or more"))
    );
    assert_eq!(
        error_of(Size { min_healthy_share: 1.5, ..SIZE }),
        Some(SizeError::HealthyShare(1.5))
    );
    assert_eq!(error_of(Size { linger: -1, ..SIZE }), Some(SizeError::Linger(-1)));
}

proptest! {
    #[test]
    fn each_zone_has_its_part_and_each_upstream_a_balancer(
        sizes in prop::collection::vec((0..3u32, 0..40u32, 1..9usize), 1..60),
        balancers in 1..40u32,
    ) {
        let mut cells: BTreeMap<Cell, usize> = BTreeMap::new();
        for (zone, cell, each) in sizes {
            cells.insert(Cell { zone, cell }, each);
        }
        let fleet: Vec<Cell> = cells.iter().flat_map(|(c, n)| std::iter::repeat_n(*c, *n)).collect();
        let mut covered = BTreeSet::new();
        for position in 0..balancers {
            let subset = subset(balancers, position, &fleet);
            for zone in 0..3 {
                let all: usize = fleet.iter().filter(|c| c.zone == zone).count();
                let mine = fleet.iter().filter(|c| c.zone == zone && subset.contains(**c)).count();
                prop_assert!(mine >= all.min(SIZE.min_upstreams), "{} of {}", mine, all);
            }
            covered.extend(members(&subset, &fleet));
        }
        prop_assert_eq!(covered.len(), cells.len());
    }
}
