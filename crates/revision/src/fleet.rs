//! Checks whether a document fits the fleet and the fallback policy. The leader records the facts about the fleet in
//! the entry that it proposes, so that every balancer comes to the same result.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Document, MAX_LISTED_NAMES, MAX_LISTED_UPSTREAMS, MAX_NAME_BYTES};
use crate::fallback_policy::FallbackFloor;
use crate::place::Place;
use crate::rules::Rules;

/// Maximum number of groups of upstreams in the facts.
pub const MAX_GROUPS: usize = 512;

/// The upstreams of one cell and machine type.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Cell of the upstreams.
    pub cell: u32,
    /// Zone of the upstreams, by its index in [`FleetFacts::zones`].
    pub zone: u8,
    /// Machine type of the upstreams, by its index in [`FleetFacts::machine_types`].
    pub machine_type: u8,
    /// Number of upstreams that can receive requests.
    pub upstreams: u16,
    /// Total capacity of the upstreams, in thousandths of work per second as the decision module measures it.
    pub capacity: u32,
}

/// A class, and the zones and machine types that its settings allow.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Name of the class.
    pub name: String,
    /// Allowed zones by index; empty if all are allowed.
    pub zones: Vec<u8>,
    /// Allowed machine types by index; empty if all are allowed.
    pub machine_types: Vec<u8>,
}

/// The facts about the fleet that the leader had when it proposed an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetFacts {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The load of each zone, in the unit of [`Group::capacity`].
    pub load: Vec<u32>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// The upstreams that can receive requests, by cell and machine type.
    pub groups: Vec<Group>,
    /// The classes of requests.
    pub classes: Vec<ClassFacts>,
    /// Cell and index of the machine type of each existing upstream that the document names.
    pub named: BTreeMap<String, (u32, u8)>,
}

/// A conflict of a document with the fleet or the fallback policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum FleetConflict {
    /// The document names a part of the fleet that does not exist.
    #[error("there is no {what} `{name}` now; expected names of the list: correct it, or force it")]
    Unknown {
        /// The kind of part.
        what: String,
        /// The name in the document.
        name: String,
    },
    /// No upstream would be left for a class.
    #[error("class `{class}` would have no pod; expected one at least: leave one in, or force it")]
    NoCellForClass {
        /// Name of the class.
        class: String,
    },
    /// The remaining capacity of a zone would be less than its load.
    #[error(
        "site `{zone}` has a load of {load} and would have room for {capacity} \
         (thousandths of work a second); leave more in, or force it"
    )]
    NoCapacity {
        /// The zone; empty for all zones together.
        zone: String,
        /// Current load of the zone.
        load: u64,
        /// Remaining capacity of the zone.
        capacity: u64,
    },
    /// The document forbids what the fallback policy allows. The conflict cannot be overridden, since a balancer that
    /// is cut off would continue to send what the fallback policy allows.
    #[error("it forbids {what}, which the charter allows; take that out of the charter first")]
    FallbackPolicy {
        /// The part of the fallback policy that the document forbids.
        what: String,
    },
    /// The facts are invalid.
    #[error("the fleet's facts can't be: {what}; the proposer's build is at fault")]
    FleetFacts {
        /// The invalid part of the facts.
        what: String,
    },
}

impl FleetConflict {
    /// Returns whether a forced proposal is accepted in spite of this conflict.
    pub fn is_overridable(&self) -> bool {
        !matches!(self, Self::FallbackPolicy { .. } | Self::FleetFacts { .. })
    }
}

impl FleetFacts {
    /// Checks the bounds and indices of the facts.
    ///
    /// # Errors
    /// If a part of the facts is invalid. The error describes the part.
    pub fn check(&self) -> Result<(), FleetConflict> {
        let invalid = |what: &str| Err(FleetConflict::FleetFacts { what: what.into() });
        let has_long_name = |names: &[String]| names.iter().any(|name| name.len() > MAX_NAME_BYTES);
        let (zones, machine_types) = (self.zones.len(), self.machine_types.len());
        let lengths = [zones, machine_types, self.classes.len()];
        if lengths.iter().any(|l| *l > MAX_LISTED_NAMES) || self.groups.len() > MAX_GROUPS {
            return invalid("too many sites, flavours, classes or groups");
        }
        if self.named.len() > 2 * MAX_LISTED_UPSTREAMS
            || has_long_name(&self.zones)
            || has_long_name(&self.machine_types)
        {
            return invalid("too many or too long names");
        }
        if self.load.len() != zones {
            return invalid("loads of other sites");
        }
        let has_valid_indices = |group: &Group| {
            usize::from(group.zone) < zones && usize::from(group.machine_type) < machine_types
        };
        if !self.groups.iter().all(has_valid_indices)
            || self.named.values().any(|(_, index)| usize::from(*index) >= machine_types)
        {
            return invalid("a group of no site or flavour");
        }
        let is_invalid_class =
            |class: &ClassFacts| class.name.len() > MAX_NAME_BYTES || class.zones.len() > zones;
        if self.classes.iter().any(is_invalid_class) {
            return invalid("a class of other sites");
        }
        Ok(())
    }

    /// Returns the conflicts of these rules with the fleet, the most serious first, [`MAX_LISTED_NAMES`] at most.
    pub fn fleet_conflicts(&self, rules: &Rules) -> Vec<FleetConflict> {
        if let Err(invalid) = self.check() {
            return vec![invalid];
        }
        let mut found = self.fallback_conflicts(rules.document(), rules.floor());
        found.extend(self.unknown_name(rules.document()));
        for class in &self.classes {
            if !self.is_routable(class, rules) {
                found.push(FleetConflict::NoCellForClass { class: class.name.clone() });
            }
        }
        found.extend(self.capacity_shortage(rules));
        found.truncate(MAX_LISTED_NAMES);
        found
    }

    /// Returns a conflict for each part of the fleet that the document forbids although the floor allows it.
    pub(crate) fn fallback_conflicts(
        &self,
        document: &Document,
        floor: &FallbackFloor,
    ) -> Vec<FleetConflict> {
        let mut forbidden: Vec<String> = Vec::new();
        for cell in document.exclusions.cells.iter().filter(|cell| floor.includes_cell(**cell)) {
            forbidden.push(format!("pod {cell}"));
        }
        for (class, cell) in
            document.excluded_class_cells().filter(|(_, cell)| floor.includes_cell(*cell))
        {
            forbidden.push(format!("class `{class}` at pod {cell}"));
        }
        if document.attempts < floor.attempts() {
            forbidden.push(format!("{} attempts", floor.attempts()));
        }
        for group in self.groups.iter().filter(|group| floor.includes_cell(group.cell)) {
            let place = self.place(group);
            if document.exclusions.zones.contains(place.zone) {
                forbidden.push(format!("site `{}` with its pod {}", place.zone, place.cell));
            }
            if document.exclusions.machine_types.contains(place.machine_type) {
                forbidden.push(format!("flavour `{}` in pod {}", place.machine_type, place.cell));
            }
        }
        for name in &document.exclusions.upstreams {
            let allows = |cell| floor.allows(&Place { name, cell, machine_type: "", zone: "" });
            if self.named.get(name).is_some_and(|(cell, _)| allows(*cell)) {
                forbidden.push(format!("upstream `{name}`"));
            }
        }
        forbidden.dedup();
        forbidden.into_iter().map(|what| FleetConflict::FallbackPolicy { what }).collect()
    }

    /// Returns a conflict for the first name in the document that does not exist in the fleet.
    fn unknown_name(&self, document: &Document) -> Option<FleetConflict> {
        let Document { exclusions, weights, class_exclusions, sessions, .. } = document;
        let unknown =
            |what: &str, name: String| Some(FleetConflict::Unknown { what: what.into(), name });
        let mut upstreams = exclusions.upstreams.iter().chain(weights.upstreams.keys());
        if let Some(name) = upstreams.find(|name| !self.named.contains_key(*name)) {
            return unknown("upstream", name.clone());
        }
        let known: BTreeSet<u32> = self.groups.iter().map(|group| group.cell).collect();
        let excluded = class_exclusions.values().flatten();
        let mut cells = exclusions.cells.iter().chain(weights.cells.keys()).chain(excluded);
        if let Some(cell) = cells.find(|cell| !known.contains(cell)) {
            return unknown("pod", cell.to_string());
        }
        let mut machine_types = exclusions.machine_types.iter().chain(weights.machine_types.keys());
        if let Some(name) = machine_types.find(|name| !self.machine_types.contains(name)) {
            return unknown("flavour", name.clone());
        }
        let mut zones = exclusions.zones.iter().chain(weights.zones.keys());
        if let Some(name) = zones.find(|name| !self.zones.contains(name)) {
            return unknown("site", name.clone());
        }
        let mut classes = class_exclusions.keys().chain(sessions.keys());
        let name = classes.find(|name| !self.classes.iter().any(|class| class.name == **name))?;
        unknown("class", name.clone())
    }

    /// Returns whether at least one group can serve requests of the class.
    fn is_routable(&self, class: &ClassFacts, rules: &Rules) -> bool {
        self.groups.iter().any(|group| {
            (class.zones.is_empty() || class.zones.contains(&group.zone))
                && (class.machine_types.is_empty()
                    || class.machine_types.contains(&group.machine_type))
                && rules.permits(&self.place(group), &class.name)
                && self.remaining_upstreams(group, rules) > 0
        })
    }

    /// Returns the place of a group in the fleet, without the name of an upstream.
    fn place(&self, group: &Group) -> Place<'_> {
        Place {
            name: "",
            cell: group.cell,
            machine_type: name_at(&self.machine_types, group.machine_type),
            zone: name_at(&self.zones, group.zone),
        }
    }

    /// Returns the number of upstreams of a group that are not excluded by name.
    fn remaining_upstreams(&self, group: &Group, rules: &Rules) -> u64 {
        let is_member =
            |name: &str| self.named.get(name) == Some(&(group.cell, group.machine_type));
        let is_excluded = |name: &str| !rules.permits(&Place { name, ..self.place(group) }, "");
        let excluded = rules.document().exclusions.upstreams.iter();
        let excluded = excluded.filter(|name| is_member(name) && is_excluded(name)).count();
        u64::from(group.upstreams).saturating_sub(excluded as u64)
    }

    /// Returns the capacity of a group under these rules. Weights of single upstreams are ignored, since they lower the
    /// capacity only a little.
    fn remaining_capacity(&self, group: &Group, rules: &Rules) -> u64 {
        let place = self.place(group);
        if group.upstreams == 0 || !rules.permits(&place, "") {
            return 0;
        }
        let fraction = self.remaining_upstreams(group, rules) as f64 / f64::from(group.upstreams);
        (f64::from(group.capacity) * rules.weight(&place) * fraction) as u64
    }

    /// Returns a conflict for the first zone whose load exceeds its remaining capacity, or else for all zones together
    /// if their total load exceeds their total remaining capacity.
    fn capacity_shortage(&self, rules: &Rules) -> Option<FleetConflict> {
        let mut zone_capacity = vec![0_u64; self.zones.len()];
        for group in &self.groups {
            if let Some(capacity) = zone_capacity.get_mut(usize::from(group.zone)) {
                *capacity += self.remaining_capacity(group, rules);
            }
        }
        for ((zone, load), capacity) in self.zones.iter().zip(&self.load).zip(&zone_capacity) {
            let (zone, load, capacity) = (zone.clone(), u64::from(*load), *capacity);
            // The load of a zone that is excluded as a whole moves to the other zones.
            if !rules.document().exclusions.zones.contains(&zone) && load > capacity {
                return Some(FleetConflict::NoCapacity { zone, load, capacity });
            }
        }
        let load = self.load.iter().map(|load| u64::from(*load)).sum();
        let capacity = zone_capacity.iter().sum();
        let zone = String::new();
        (load > capacity).then_some(FleetConflict::NoCapacity { zone, load, capacity })
    }
}

/// Returns the name at this index, or the last name if there are fewer; empty if there are no names.
fn name_at(names: &[String], index: u8) -> &str {
    let index = usize::from(index).min(names.len().saturating_sub(1));
    names.get(index).map_or("", String::as_str)
}
