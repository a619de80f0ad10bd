//! Describes the difference between two documents to operators; decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::document::{Document, Selection};
use crate::fixed_point::Weight;
use crate::fleet::FleetConflict;

/// The old and the new value of a field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Changed<T> {
    /// The value in the old document.
    pub from: T,
    /// The value in the new document.
    pub to: T,
}

/// The difference between an old and a new document. The admin API serves it as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Difference {
    /// The parts of the fleet that only the new document excludes.
    #[serde(rename = "out")]
    pub added_exclusions: Selection,
    /// The parts of the fleet that only the old document excludes.
    #[serde(rename = "back")]
    pub removed_exclusions: Selection,
    /// Changed weights by the part of the fleet, with 1 for a part without a stated weight.
    pub weights: BTreeMap<String, Changed<f64>>,
    /// Pairs of a class and a cell that only the new document excludes.
    #[serde(rename = "kept")]
    pub added_class_exclusions: BTreeSet<(String, u32)>,
    /// Pairs of a class and a cell that only the old document excludes.
    #[serde(rename = "free")]
    pub removed_class_exclusions: BTreeSet<(String, u32)>,
    /// Maximum number of attempts of one request.
    pub attempts: Option<Changed<u8>>,
    /// The subset factor.
    #[serde(rename = "times")]
    pub subset_factor: Option<Changed<f64>>,
    /// Number of balancers for which the subset is calculated.
    pub balancers: Option<Changed<Option<u16>>>,
    /// Lifetimes of sessions by class, in seconds; 0 for a class without sessions.
    pub sessions: BTreeMap<String, Changed<u32>>,
    /// The oldest endpoint list that may be acted on.
    #[serde(rename = "eldest_list")]
    pub oldest_list: Option<Changed<u64>>,
    /// Conflicts of the new document with the fleet and the fallback policy.
    #[serde(rename = "misfits")]
    pub fleet_conflicts: Vec<String>,
}

impl Difference {
    /// Compares two documents. `fleet_conflicts` are the conflicts of `to`.
    pub fn of(from: &Document, to: &Document, fleet_conflicts: &[FleetConflict]) -> Self {
        let (old_exclusions, new_exclusions) = (class_exclusions(from), class_exclusions(to));
        Self {
            added_exclusions: to.exclusions.without(&from.exclusions),
            removed_exclusions: from.exclusions.without(&to.exclusions),
            weights: changed_weights(from, to),
            added_class_exclusions: new_exclusions.difference(&old_exclusions).cloned().collect(),
            removed_class_exclusions: old_exclusions.difference(&new_exclusions).cloned().collect(),
            attempts: changed(from.attempts, to.attempts),
            subset_factor: changed(from.subset_factor.number(), to.subset_factor.number()),
            balancers: changed(from.balancers, to.balancers),
            sessions: changed_sessions(from, to),
            oldest_list: changed(from.oldest_list, to.oldest_list),
            fleet_conflicts: fleet_conflicts.iter().map(ToString::to_string).collect(),
        }
    }
}

fn changed<T: PartialEq + Copy>(from: T, to: T) -> Option<Changed<T>> {
    (from != to).then_some(Changed { from, to })
}

fn class_exclusions(document: &Document) -> BTreeSet<(String, u32)> {
    document.excluded_class_cells().map(|(class, cell)| (class.to_string(), cell)).collect()
}

fn changed_weights(from: &Document, to: &Document) -> BTreeMap<String, Changed<f64>> {
    let (old, new) = (labelled_weights(from), labelled_weights(to));
    let weight = |weights: &BTreeMap<String, Weight>, label: &String| {
        weights.get(label).copied().unwrap_or(Weight::FULL).number()
    };
    let labels: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut all = BTreeMap::new();
    for label in labels {
        if let Some(change) = changed(weight(&old, label), weight(&new, label)) {
            all.insert(label.clone(), change);
        }
    }
    all
}

/// Returns the weights by the label of their part of the fleet in the admin API, such as `pod 3`.
fn labelled_weights(document: &Document) -> BTreeMap<String, Weight> {
    let weights = &document.weights;
    let cells = weights.cells.iter().map(|(cell, weight)| (format!("pod {cell}"), *weight));
    let mut labelled: BTreeMap<String, Weight> = cells.collect();
    let by_name = [
        ("upstream", &weights.upstreams),
        ("flavour", &weights.machine_types),
        ("site", &weights.zones),
    ];
    for (kind, named) in by_name {
        labelled.extend(named.iter().map(|(name, weight)| (format!("{kind} {name}"), *weight)));
    }
    labelled
}

fn changed_sessions(from: &Document, to: &Document) -> BTreeMap<String, Changed<u32>> {
    let lifetime = |d: &Document, class: &String| d.sessions.get(class).copied().unwrap_or(0);
    let classes: BTreeSet<&String> = from.sessions.keys().chain(to.sessions.keys()).collect();
    let mut all = BTreeMap::new();
    for class in classes {
        if let Some(change) = changed(lifetime(from, class), lifetime(to, class)) {
            all.insert(class.clone(), change);
        }
    }
    all
}
