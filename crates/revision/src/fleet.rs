//! Whether a document fits a fleet, and what a charter has against it. The facts are those that the council's
//! leader knew when it took the entry in; they are in the entry, so that everybody comes to the same answer.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Document, MAX_LISTED_NAMES, MAX_LISTED_UPSTREAMS, MAX_NAME_BYTES};
use crate::fallback_policy::FallbackFloor;
use crate::rules::{Place, Rules};

/// Groups of upstreams in the facts at most.
pub const MOST_GROUPS: usize = 512;

/// The upstreams of one pod and flavour.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Their pod.
    pub cell: u32,
    /// Their site, by its place in [`Facts::zones`].
    pub zone: u8,
    /// Their flavour, by its place in [`Facts::machine_types`].
    pub machine_type: u8,
    /// How many can be sent to.
    pub upstreams: u16,
    /// What they can do together, in thousandths of work a second as the module measures it.
    pub capacity: u32,
}

/// A class, and where it may go by the site's own settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// Sites, by their places; empty for any.
    pub zones: Vec<u8>,
    /// Flavours, by their places; empty for any.
    pub machine_types: Vec<u8>,
}

/// The fleet as the council's leader knew it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Facts {
    /// Sites by name.
    pub zones: Vec<String>,
    /// Load of each site at the time, in the unit of [`Group::capacity`].
    pub load: Vec<u32>,
    /// Flavours by name.
    pub machine_types: Vec<String>,
    /// Who can be sent to.
    pub groups: Vec<Group>,
    /// Classes of requests.
    pub classes: Vec<ClassFacts>,
    /// Of the upstreams that the document names, those that there are: their pods and flavours' places.
    pub named: BTreeMap<String, (u32, u8)>,
}

/// Why a document does not fit the fleet or the charter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum FleetConflict {
    /// It names what is not there.
    #[error("there is no {what} `{name}` now; expected names of the list: correct it, or force it")]
    Unknown {
        /// What it should be.
        what: String,
        /// Its name.
        name: String,
    },
    /// A class could be sent nowhere.
    #[error("class `{class}` would have no pod; expected one at least: leave one in, or force it")]
    NoCellForClass {
        /// Which.
        class: String,
    },
    /// What is left of a site has not the room.
    #[error(
        "site `{zone}` has a load of {load} and would have room for {capacity} \
         (thousandths of work a second); leave more in, or force it"
    )]
    NoCapacity {
        /// Which; empty for all of them together.
        zone: String,
        /// Now.
        load: u64,
        /// That would be left.
        capacity: u64,
    },
    /// The charter allows it. No force helps here: somebody who is cut off would act on it.
    #[error("it forbids {what}, which the charter allows; take that out of the charter first")]
    FallbackPolicy {
        /// What.
        what: String,
    },
    /// The facts are none.
    #[error("the fleet's facts can't be: {what}; the proposer's build is at fault")]
    Facts {
        /// What of them.
        what: String,
    },
}

impl FleetConflict {
    /// Whether whoever forces a document gets it in spite of this.
    pub fn is_overridable(&self) -> bool {
        !matches!(self, Self::FallbackPolicy { .. } | Self::Facts { .. })
    }
}

impl Facts {
    /// Whether they can be.
    ///
    /// # Errors
    /// What can't.
    pub fn check(&self) -> Result<(), FleetConflict> {
        let wrong = |what: &str| Err(FleetConflict::Facts { what: what.into() });
        let long = |names: &[String]| names.iter().any(|n| n.len() > MAX_NAME_BYTES);
        let lengths = [self.zones.len(), self.machine_types.len(), self.classes.len()];
        if lengths.iter().any(|l| *l > MAX_LISTED_NAMES) || self.groups.len() > MOST_GROUPS {
            return wrong("too many sites, flavours, classes or groups");
        }
        if self.named.len() > 2 * MAX_LISTED_UPSTREAMS
            || long(&self.zones)
            || long(&self.machine_types)
        {
            return wrong("too many or too long names");
        }
        if self.load.len() != self.zones.len() {
            return wrong("loads of other sites");
        }
        let (zones, machine_types) = (self.zones.len(), self.machine_types.len());
        let place =
            |g: &Group| usize::from(g.zone) < zones && usize::from(g.machine_type) < machine_types;
        if !self.groups.iter().all(place)
            || self.named.values().any(|(_, f)| usize::from(*f) >= machine_types)
        {
            return wrong("a group of no site or flavour");
        }
        if self.classes.iter().any(|c| c.name.len() > MAX_NAME_BYTES || c.zones.len() > zones) {
            return wrong("a class of other sites");
        }
        Ok(())
    }

    fn place(&self, group: &Group) -> Place<'_> {
        let name = |names: &'_ [String], at: u8| -> usize {
            usize::from(at).min(names.len().saturating_sub(1))
        };
        let zone = self.zones.get(name(&self.zones, group.zone)).map_or("", String::as_str);
        let machine_type = self
            .machine_types
            .get(name(&self.machine_types, group.machine_type))
            .map_or("", String::as_str);
        Place { name: "", cell: group.cell, machine_type, zone }
    }

    /// All that speaks against these rules in this fleet, the gravest first.
    pub fn fleet_conflicts(&self, rules: &Rules) -> Vec<FleetConflict> {
        if let Err(wrong) = self.check() {
            return vec![wrong];
        }
        let mut found: Vec<FleetConflict> = self.fallback_conflicts(rules.said(), rules.floor());
        found.extend(self.unknown(rules.said()));
        found.extend(
            self.classes
                .iter()
                .filter(|c| !self.is_routable(c, rules))
                .map(|c| FleetConflict::NoCellForClass { class: c.name.clone() }),
        );
        found.extend(self.capacity_shortage(rules));
        found.truncate(MAX_LISTED_NAMES);
        found
    }

    /// What the document forbids of the charter, whose word is the stronger one.
    pub(crate) fn fallback_conflicts(
        &self,
        said: &Document,
        floor: &FallbackFloor,
    ) -> Vec<FleetConflict> {
        let mut all = Vec::new();
        let mut no = |what: String| all.push(FleetConflict::FallbackPolicy { what });
        for cell in said.out.cells.iter().filter(|p| floor.holds(**p)) {
            no(format!("pod {cell}"));
        }
        for (class, cells) in &said.kept {
            for cell in cells.iter().filter(|p| floor.holds(**p)) {
                no(format!("class `{class}` at pod {cell}"));
            }
        }
        if said.attempts < floor.attempts() {
            no(format!("{} attempts", floor.attempts()));
        }
        for group in self.groups.iter().filter(|g| floor.holds(g.cell)) {
            let place = self.place(group);
            if said.out.zones.contains(place.zone) {
                no(format!("site `{}` with its pod {}", place.zone, place.cell));
            }
            if said.out.machine_types.contains(place.machine_type) {
                no(format!("flavour `{}` in pod {}", place.machine_type, place.cell));
            }
        }
        for name in &said.out.upstreams {
            let cell = self.named.get(name).map(|(cell, _)| *cell);
            if cell
                .is_some_and(|cell| floor.allows(&Place { name, cell, machine_type: "", zone: "" }))
            {
                no(format!("upstream `{name}`"));
            }
        }
        all.dedup();
        all
    }

    fn unknown(&self, said: &Document) -> Option<FleetConflict> {
        let (out, w) = (&said.out, &said.weights);
        let cells: BTreeSet<u32> = self.groups.iter().map(|g| g.cell).collect();
        let no =
            |what: &str, name: String| Some(FleetConflict::Unknown { what: what.into(), name });
        let upstream =
            out.upstreams.iter().chain(w.upstreams.keys()).find(|n| !self.named.contains_key(*n));
        let kept = said.kept.values().flatten();
        let cell = out.cells.iter().chain(w.cells.keys()).chain(kept).find(|p| !cells.contains(p));
        let machine_type = out
            .machine_types
            .iter()
            .chain(w.machine_types.keys())
            .find(|n| !self.machine_types.contains(n));
        let zone = out.zones.iter().chain(w.zones.keys()).find(|n| !self.zones.contains(n));
        let mut classes = said.kept.keys().chain(said.sessions.keys());
        let class = classes.find(|n| !self.classes.iter().any(|c| c.name == **n));
        upstream
            .and_then(|n| no("upstream", n.clone()))
            .or_else(|| cell.and_then(|p| no("pod", p.to_string())))
            .or_else(|| machine_type.and_then(|n| no("flavour", n.clone())))
            .or_else(|| zone.and_then(|n| no("site", n.clone())))
            .or_else(|| class.and_then(|n| no("class", n.clone())))
    }

    fn is_routable(&self, class: &ClassFacts, rules: &Rules) -> bool {
        self.groups.iter().any(|g| {
            (class.zones.is_empty() || class.zones.contains(&g.zone))
                && (class.machine_types.is_empty() || class.machine_types.contains(&g.machine_type))
                && rules.permits(&self.place(g), &class.name)
                && self.left(g, rules) > 0
        })
    }

    /// How many of a group are not out by their own name.
    fn left(&self, group: &Group, rules: &Rules) -> u64 {
        let of = |name: &str| self.named.get(name) == Some(&(group.cell, group.machine_type));
        let out = |name: &str| !rules.permits(&Place { name, ..self.place(group) }, "");
        let gone = rules.said().out.upstreams.iter().filter(|n| of(n) && out(n)).count();
        u64::from(group.upstreams).saturating_sub(gone as u64)
    }

    /// What a group can do under these rules. What one weighs by its own name is left out: at most it is a
    /// little less.
    fn capacity(&self, group: &Group, rules: &Rules) -> u64 {
        let place = self.place(group);
        if group.upstreams == 0 || !rules.permits(&place, "") {
            return 0;
        }
        let part = self.left(group, rules) as f64 / f64::from(group.upstreams);
        (f64::from(group.capacity) * rules.weight(&place) * part) as u64
    }

    fn capacity_shortage(&self, rules: &Rules) -> Option<FleetConflict> {
        let mut zone_capacity = vec![0_u64; self.zones.len()];
        for group in &self.groups {
            if let Some(capacity) = zone_capacity.get_mut(usize::from(group.zone)) {
                *capacity += self.capacity(group, rules);
            }
        }
        let zones = self.zones.iter().zip(&self.load).zip(&zone_capacity);
        let one = zones
            .filter(|((zone, _), _)| !rules.said().out.zones.contains(*zone))
            .find(|((_, load), capacity)| u64::from(**load) > **capacity)
            .map(|((zone, load), capacity)| FleetConflict::NoCapacity {
                zone: zone.clone(),
                load: u64::from(*load),
                capacity: *capacity,
            });
        // What a site that is out as a whole had goes to the others.
        let (load, capacity) =
            (self.load.iter().map(|l| u64::from(*l)).sum(), zone_capacity.iter().sum());
        one.or_else(|| {
            (load > capacity).then(|| FleetConflict::NoCapacity {
                zone: String::new(),
                load,
                capacity,
            })
        })
    }
}
