//! What requests read: a document and the charter in a form made for lookups, and how two of them lie to each
//! other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::document::{Document, Selection};
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};

/// An upstream, as far as rules are about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place<'a> {
    /// Its name on the list.
    pub name: &'a str,
    /// Its pod (the list's `cell`).
    pub cell: u32,
    /// Its kind of machine.
    pub machine_type: &'a str,
    /// Its site (the list's `locality`).
    pub zone: &'a str,
}

/// A class, and the pods that it is kept from.
type ClassExclusion = (Box<str>, Box<[u32]>);

/// Rules in force: they don't change, and are replaced as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// What is said; for a narrow step, what is said by both.
    said: Document,
    /// Nothing is allowed beyond the charter.
    only: bool,
    /// Stronger than what is said.
    floor: Arc<FallbackFloor>,
    /// Sorted: what is out.
    upstreams: Box<[Box<str>]>,
    cells: Box<[u32]>,
    machine_types: Box<[Box<str>]>,
    zones: Box<[Box<str>]>,
    /// Sorted: the class, and the pods that it is kept from.
    kept: Box<[ClassExclusion]>,
}

fn has(names: &[Box<str>], name: &str) -> bool {
    !names.is_empty() && names.binary_search_by(|n| (**n).cmp(name)).is_ok()
}

impl Rules {
    /// Of a document, under a charter that is stronger than it: so whatever a document says of a flavour, and
    /// whatever machines join a pod later, nobody refuses what the charter allows.
    pub fn of(said: Document, floor: Arc<FallbackFloor>) -> Self {
        let names = |names: &BTreeSet<String>| names.iter().map(|n| n.as_str().into()).collect();
        let Selection { upstreams, cells, machine_types, zones } = &said.out;
        Self {
            upstreams: names(upstreams),
            cells: cells.iter().copied().collect(),
            machine_types: names(machine_types),
            zones: names(zones),
            kept: said
                .kept
                .iter()
                .map(|(c, p)| (c.as_str().into(), p.iter().copied().collect()))
                .collect(),
            only: false,
            floor,
            said,
        }
    }

    /// What a balancer keeps to that holds no lease: it sends to what the charter allows, with the fewest
    /// attempts, and nowhere else. All figures are the usual ones. It forbids nothing by this, it only can't
    /// know.
    pub fn of_fallback_policy(fallback_policy: &FallbackPolicy) -> Self {
        let said = Document { attempts: fallback_policy.attempts, ..Document::default() };
        let floor = Arc::new(FallbackFloor::of(fallback_policy.clone()));
        Self { only: true, ..Self::of(said, floor) }
    }

    /// Whether a request of this class may be sent there.
    pub fn permits(&self, place: &Place<'_>, class: &str) -> bool {
        self.floor.allows(place) || !(self.only || self.says_no(place, class))
    }

    fn says_no(&self, place: &Place<'_>, class: &str) -> bool {
        self.cells.binary_search(&place.cell).is_ok()
            || has(&self.upstreams, place.name)
            || has(&self.machine_types, place.machine_type)
            || has(&self.zones, place.zone)
            || self.keeps(class, place.cell)
    }

    fn keeps(&self, class: &str, cell: u32) -> bool {
        let found = self.kept.binary_search_by(|(c, _)| (**c).cmp(class)).ok();
        found.is_some_and(|at| self.kept[at].1.binary_search(&cell).is_ok())
    }

    /// What part of its usual weight it has, 0 to 1; it says nothing of whether it is out.
    pub fn weight(&self, place: &Place<'_>) -> f64 {
        let w = &self.said.weights;
        let parts = [
            w.upstreams.get(place.name),
            w.cells.get(&place.cell),
            w.machine_types.get(place.machine_type),
            w.zones.get(place.zone),
        ];
        parts.into_iter().flatten().map(|w| w.number()).product()
    }

    /// Most attempts of one request, 1 to 3.
    pub fn attempts(&self) -> u8 {
        self.said.attempts.max(self.floor.attempts())
    }

    /// The subset factor.
    pub fn times(&self) -> f64 {
        self.said.times.number()
    }

    /// Balancers in the bank, where it is said.
    pub fn balancers(&self) -> Option<u16> {
        self.said.balancers
    }

    /// How long a session of this class lasts after its last use, in seconds; `None`: the class has none.
    pub fn session_s(&self, class: &str) -> Option<u32> {
        self.said.sessions.get(class).copied()
    }

    /// The eldest list that may be acted on.
    pub fn oldest_list(&self) -> u64 {
        self.said.oldest_list
    }

    /// What is said.
    pub fn said(&self) -> &Document {
        &self.said
    }

    /// What can't be forbidden.
    pub fn floor(&self) -> &Arc<FallbackFloor> {
        &self.floor
    }

    /// The step between two: whatever either forbids is forbidden. What forbids nothing (weights, subset,
    /// sessions) is the old one's until the wide step. Both are under the new one's charter.
    pub fn narrow(old: &Self, new: &Self) -> Self {
        let (a, b) = (&old.said, &new.said);
        let mut kept = a.kept.clone();
        for (class, cells) in &b.kept {
            kept.entry(class.clone()).or_default().extend(cells);
        }
        let said = Document {
            out: a.out.with(&b.out),
            kept,
            attempts: a.attempts.min(b.attempts),
            oldest_list: a.oldest_list.max(b.oldest_list),
            weights: a.weights.clone(),
            times: a.times,
            balancers: a.balancers,
            sessions: a.sessions.clone(),
        };
        Self::of(said, new.floor.clone())
    }

    /// Something that one allows and the other forbids. What is out is compared as it is named: two ways to
    /// name one part of the fleet count as a contradiction, since nobody here knows the fleet.
    pub fn contradicts(&self, other: &Self) -> Option<Contradiction> {
        let (a, b) = (&self.said, &other.said);
        let charters = self.floor == other.floor;
        let one = |a: &Selection, b: &Selection| {
            let more = a.without(b);
            let first = |names: &BTreeSet<String>| names.first().cloned();
            let cells = |cell: &u32| !charters || !self.floor.holds(*cell);
            None.or(first(&more.upstreams).map(Contradiction::Upstream))
                .or(more.cells.iter().copied().find(cells).map(Contradiction::Cell))
                .or(first(&more.machine_types).map(Contradiction::MachineType))
                .or(first(&more.zones).map(Contradiction::Zone))
        };
        let of = |kept: &BTreeMap<String, BTreeSet<u32>>| -> Vec<(String, u32)> {
            kept.iter().flat_map(|(c, cells)| cells.iter().map(move |p| (c.clone(), *p))).collect()
        };
        let kept = || {
            let (a, b) = (of(&a.kept), of(&b.kept));
            let differs =
                a.iter().find(|k| !b.contains(k)).or_else(|| b.iter().find(|k| !a.contains(k)));
            differs.map(|(class, cell)| Contradiction::ClassExclusion(class.clone(), *cell))
        };
        one(&a.out, &b.out)
            .or_else(|| one(&b.out, &a.out))
            .or_else(kept)
            .or_else(|| (self.attempts() != other.attempts()).then_some(Contradiction::Attempts))
            .or_else(|| (a.oldest_list != b.oldest_list).then_some(Contradiction::List))
            .or_else(|| (!charters).then_some(Contradiction::FallbackPolicy))
    }
}

/// What one set of rules allows and another forbids.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Contradiction {
    /// An upstream is out by its name.
    Upstream(String),
    /// A pod is out.
    Cell(u32),
    /// A flavour is out.
    MachineType(String),
    /// A site is out.
    Zone(String),
    /// A class is kept from a pod.
    ClassExclusion(String, u32),
    /// Attempts at most.
    Attempts,
    /// The eldest list.
    List,
    /// What can't be forbidden.
    FallbackPolicy,
}
