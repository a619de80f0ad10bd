//! Routing rules in the form that requests look up, built from a document and a fallback floor; detects contradictions
//! between two sets of rules.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::document::{Document, Selection};
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};
pub use crate::place::Place;

/// A class and the cells that receive no requests of the class. The classes, and the cells of each class, are sorted
/// for binary search.
type ClassExclusion = (Box<str>, Box<[u32]>);

/// A set of routing rules, immutable and replaced as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// The document; in the restrict phase, the combination of the old and the new document.
    document: Document,
    /// Whether the rules allow only what the floor allows.
    is_fallback_only: bool,
    /// The sends that the document cannot forbid.
    floor: Arc<FallbackFloor>,
    /// The excluded parts of the fleet, sorted for binary search.
    excluded_upstreams: Box<[Box<str>]>,
    excluded_cells: Box<[u32]>,
    excluded_machine_types: Box<[Box<str>]>,
    excluded_zones: Box<[Box<str>]>,
    class_exclusions: Box<[ClassExclusion]>,
}

fn contains_name(names: &[Box<str>], name: &str) -> bool {
    !names.is_empty() && names.binary_search_by(|probe| (**probe).cmp(name)).is_ok()
}

impl Rules {
    /// Builds rules from a document and a floor. The floor takes precedence: what the floor allows is permitted
    /// whatever the document states and whatever machines join a cell later.
    pub fn of(document: Document, floor: Arc<FallbackFloor>) -> Self {
        let boxed = |names: &BTreeSet<String>| names.iter().map(|n| n.as_str().into()).collect();
        let Selection { upstreams, cells, machine_types, zones } = &document.exclusions;
        let exclusion = |(class, cells): (&String, &BTreeSet<u32>)| {
            (class.as_str().into(), cells.iter().copied().collect())
        };
        Self {
            excluded_upstreams: boxed(upstreams),
            excluded_cells: cells.iter().copied().collect(),
            excluded_machine_types: boxed(machine_types),
            excluded_zones: boxed(zones),
            class_exclusions: document.class_exclusions.iter().map(exclusion).collect(),
            is_fallback_only: false,
            floor,
            document,
        }
    }

    /// Builds the rules of a balancer without a lease, which sends only to upstreams that the fallback policy allows,
    /// with the attempts of that policy. All other settings have their default values.
    pub fn from_fallback_policy(fallback_policy: &FallbackPolicy) -> Self {
        let document = Document { attempts: fallback_policy.attempts, ..Document::default() };
        let floor = Arc::new(FallbackFloor::of(fallback_policy.clone()));
        Self { is_fallback_only: true, ..Self::of(document, floor) }
    }

    /// Returns whether a request of this class may be sent to this upstream.
    pub fn permits(&self, place: &Place<'_>, class: &str) -> bool {
        self.floor.allows(place) || !(self.is_fallback_only || self.excludes(place, class))
    }

    fn excludes(&self, place: &Place<'_>, class: &str) -> bool {
        self.excluded_cells.binary_search(&place.cell).is_ok()
            || contains_name(&self.excluded_upstreams, place.name)
            || contains_name(&self.excluded_machine_types, place.machine_type)
            || contains_name(&self.excluded_zones, place.zone)
            || self.excludes_class(class, place.cell)
    }

    fn excludes_class(&self, class: &str, cell: u32) -> bool {
        let found = self.class_exclusions.binary_search_by(|(probe, _)| (**probe).cmp(class)).ok();
        found.is_some_and(|at| self.class_exclusions[at].1.binary_search(&cell).is_ok())
    }

    /// Returns the upstream's fraction of its usual weight, 0 to 1, whether or not the upstream is excluded.
    pub fn weight(&self, place: &Place<'_>) -> f64 {
        let weights = &self.document.weights;
        let factors = [
            weights.upstreams.get(place.name),
            weights.cells.get(&place.cell),
            weights.machine_types.get(place.machine_type),
            weights.zones.get(place.zone),
        ];
        factors.into_iter().flatten().map(|weight| weight.number()).product()
    }

    /// Returns the maximum number of attempts of one request, 1 to 3.
    pub fn attempts(&self) -> u8 {
        self.document.attempts.max(self.floor.attempts())
    }

    /// Returns the subset factor.
    pub fn subset_factor(&self) -> f64 {
        self.document.subset_factor.number()
    }

    /// Returns the number of balancers for which the subset is calculated, if the document states it.
    pub fn balancers(&self) -> Option<u16> {
        self.document.balancers
    }

    /// Returns the lifetime of a session of this class after its last use, in seconds; `None` if the class has no
    /// sessions.
    pub fn session_s(&self, class: &str) -> Option<u32> {
        self.document.sessions.get(class).copied()
    }

    /// Returns the version of the oldest endpoint list that may be acted on.
    pub fn oldest_list(&self) -> u64 {
        self.document.oldest_list
    }

    /// Returns the document from which the rules were built.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the floor that the rules cannot forbid.
    pub fn floor(&self) -> &Arc<FallbackFloor> {
        &self.floor
    }

    /// Builds the rules of the restrict phase between two revisions, which forbid whatever the old or the new rules
    /// forbid. Settings that forbid nothing (weights, subset, sessions) are taken from `old` until the apply phase. The
    /// floor is taken from `new`.
    pub fn restrict(old: &Self, new: &Self) -> Self {
        let (old, new, floor) = (&old.document, &new.document, new.floor.clone());
        let mut class_exclusions = old.class_exclusions.clone();
        for (class, cells) in &new.class_exclusions {
            class_exclusions.entry(class.clone()).or_default().extend(cells);
        }
        let document = Document {
            exclusions: old.exclusions.with(&new.exclusions),
            class_exclusions,
            attempts: old.attempts.min(new.attempts),
            oldest_list: old.oldest_list.max(new.oldest_list),
            weights: old.weights.clone(),
            subset_factor: old.subset_factor,
            balancers: old.balancers,
            sessions: old.sessions.clone(),
        };
        Self::of(document, floor)
    }

    /// Returns the first contradiction found: something that one set of rules allows and the other forbids. Exclusions
    /// are compared by name, since the fleet is not known here; two ways of naming one part of the fleet count as a
    /// contradiction.
    pub fn contradicts(&self, other: &Self) -> Option<Contradiction> {
        let (one, two) = (&self.document, &other.document);
        let is_same_floor = self.floor == other.floor;
        let is_forbidden = |cell: u32| !is_same_floor || !self.floor.includes_cell(cell);
        None.or_else(|| selection_contradiction(&one.exclusions, &two.exclusions, is_forbidden))
            .or_else(|| selection_contradiction(&two.exclusions, &one.exclusions, is_forbidden))
            .or_else(|| class_contradiction(one, two))
            .or_else(|| (self.attempts() != other.attempts()).then_some(Contradiction::Attempts))
            .or_else(|| (one.oldest_list != two.oldest_list).then_some(Contradiction::List))
            .or_else(|| (!is_same_floor).then_some(Contradiction::FallbackPolicy))
    }
}

/// Returns the first part of the fleet that `one` excludes and `other` does not.
fn selection_contradiction(
    one: &Selection,
    other: &Selection,
    is_forbidden: impl Fn(u32) -> bool,
) -> Option<Contradiction> {
    let more = one.without(other);
    let first = |names: &BTreeSet<String>| names.first().cloned();
    None.or(first(&more.upstreams).map(Contradiction::Upstream))
        .or(more.cells.iter().copied().find(|cell| is_forbidden(*cell)).map(Contradiction::Cell))
        .or(first(&more.machine_types).map(Contradiction::MachineType))
        .or(first(&more.zones).map(Contradiction::Zone))
}

/// Returns the first pair of a class and a cell that only one of the documents excludes.
fn class_contradiction(one: &Document, other: &Document) -> Option<Contradiction> {
    let ours: Vec<(&str, u32)> = one.excluded_class_cells().collect();
    let theirs: Vec<(&str, u32)> = other.excluded_class_cells().collect();
    let differs = ours
        .iter()
        .find(|exclusion| !theirs.contains(exclusion))
        .or_else(|| theirs.iter().find(|exclusion| !ours.contains(exclusion)));
    differs.map(|(class, cell)| Contradiction::ClassExclusion((*class).to_string(), *cell))
}

/// A contradiction: something that one set of rules allows and another forbids.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Contradiction {
    /// Only one of the rules excludes this upstream by name.
    Upstream(String),
    /// Only one of the rules excludes this cell.
    Cell(u32),
    /// Only one of the rules excludes this machine type.
    MachineType(String),
    /// Only one of the rules excludes this zone.
    Zone(String),
    /// Only one of the rules excludes this class from this cell.
    ClassExclusion(String, u32),
    /// The maximum numbers of attempts differ.
    Attempts,
    /// The oldest endpoint lists that may be acted on differ.
    List,
    /// The fallback policies differ.
    FallbackPolicy,
}
