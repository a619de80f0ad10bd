//! What one document would change against another, in words for operators; nothing is decided by it.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::document::{Document, Selection};
use crate::figures::Weight;
use crate::fleet::FleetConflict;

/// One figure, before and after.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Changed<T> {
    /// In the rules that are the newest now.
    pub from: T,
    /// In those that would be.
    pub to: T,
}

/// What would change.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Out, and was not.
    pub out: Selection,
    /// Not out any more.
    pub back: Selection,
    /// Weights by what they are of; 1 where none is said.
    pub weights: BTreeMap<String, Changed<f64>>,
    /// Classes kept from pods, and were not.
    pub kept: BTreeSet<(String, u32)>,
    /// Not kept any more.
    pub free: BTreeSet<(String, u32)>,
    /// Attempts at most.
    pub attempts: Option<Changed<u8>>,
    /// The subset factor.
    pub times: Option<Changed<f64>>,
    /// Balancers in the bank.
    pub balancers: Option<Changed<Option<u16>>>,
    /// Sessions by class, in seconds; 0 for none.
    pub sessions: BTreeMap<String, Changed<u32>>,
    /// The eldest list.
    #[serde(rename = "eldest_list")]
    pub oldest_list: Option<Changed<u64>>,
    /// What speaks against it in the fleet.
    #[serde(rename = "misfits")]
    pub fleet_conflicts: Vec<String>,
}

fn changed<T: PartialEq + Copy>(from: T, to: T) -> Option<Changed<T>> {
    (from != to).then_some(Changed { from, to })
}

impl Difference {
    /// From one to another.
    pub fn of(from: &Document, to: &Document, fleet_conflicts: &[FleetConflict]) -> Self {
        let kept = |d: &Document| -> BTreeSet<(String, u32)> {
            d.kept
                .iter()
                .flat_map(|(c, cells)| cells.iter().map(move |p| (c.clone(), *p)))
                .collect()
        };
        let weights = |d: &Document| -> BTreeMap<String, Weight> {
            let w = &d.weights;
            let named =
                |what: &'static str, of: &BTreeMap<String, Weight>| -> Vec<(String, Weight)> {
                    of.iter().map(|(n, w)| (format!("{what} {n}"), *w)).collect()
                };
            let cells = w.cells.iter().map(|(p, w)| (format!("pod {p}"), *w));
            cells
                .chain(named("upstream", &w.upstreams))
                .chain(named("flavour", &w.machine_types))
                .chain(named("site", &w.zones))
                .collect()
        };
        let (kept_from, kept_to) = (kept(from), kept(to));
        let (w_from, w_to) = (weights(from), weights(to));
        let whole =
            |w: &BTreeMap<String, Weight>, n: &String| w.get(n).copied().unwrap_or(Weight::FULL);
        let names: BTreeSet<&String> = w_from.keys().chain(w_to.keys()).collect();
        let weights = names.into_iter().filter_map(|n| {
            changed(whole(&w_from, n).number(), whole(&w_to, n).number()).map(|c| (n.clone(), c))
        });
        let classes: BTreeSet<&String> = from.sessions.keys().chain(to.sessions.keys()).collect();
        let length = |d: &Document, c: &String| d.sessions.get(c).copied().unwrap_or(0);
        let sessions = classes
            .into_iter()
            .filter_map(|c| changed(length(from, c), length(to, c)).map(|s| (c.clone(), s)));
        Self {
            out: to.out.without(&from.out),
            back: from.out.without(&to.out),
            weights: weights.collect(),
            kept: kept_to.difference(&kept_from).cloned().collect(),
            free: kept_from.difference(&kept_to).cloned().collect(),
            attempts: changed(from.attempts, to.attempts),
            times: changed(from.times.number(), to.times.number()),
            balancers: changed(from.balancers, to.balancers),
            sessions: sessions.collect(),
            oldest_list: changed(from.oldest_list, to.oldest_list),
            fleet_conflicts: fleet_conflicts.iter().map(ToString::to_string).collect(),
        }
    }
}
