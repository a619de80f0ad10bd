//! Stores the records of all upstreams, and the indexes over them.
//!
//! Queries cost the same however many upstreams there are. This module makes no decisions.

use std::hint::black_box;
use std::sync::Arc;

use hollowpaddle_ordered_collections::ring::Ring;
use hollowpaddle_ordered_collections::timers::Timers;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::capacity::{Capacity, CapacityGroups, EjectedClass, GroupList};
use crate::chunked::Chunked;
use crate::interface::{Group, ServerId, Settings, Status, Time};
use crate::machine_types::MachineTypes;
use crate::request_state::Affinity;

mod availability;
mod list;
mod position;
mod server;

pub(crate) use availability::Availability;
pub(crate) use list::Change;
pub(crate) use server::Server;

/// All upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    settings: Arc<Settings>,
    /// Number of balancers that send to each known upstream: all balancers, unless each has a subset
    /// of the upstreams.
    pub(crate) sharers: f64,
    /// Upstreams by slot. A withdrawn upstream retains its slot while some live request has an
    /// attempt there.
    pub(crate) servers: Chunked<Server>,
    /// Free slots.
    vacant: Vec<usize>,
    /// Slots of withdrawn upstreams that are not removed yet.
    departed: Vec<usize>,
    /// Slots by the handle of the upstream.
    pub(crate) by_id: FxHashMap<ServerId, u32>,
    /// Live upstreams by identity. Each zone is a separate part where crossing zones has a price.
    pub(crate) ring: Ring,
    /// Slots of live upstreams by zone and cell.
    cells: FxHashMap<(u32, u32), Vec<u32>>,
    /// Whether the deduplication group of some class is a zone. If so, the trees of available
    /// upstreams are divided by zone.
    zoned: bool,
    pub(crate) capacity_groups: CapacityGroups,
    /// Classes for which at least one upstream is ejected.
    ejected_classes: FxHashMap<u32, EjectedClass>,
    /// Statistics by machine type.
    pub(crate) machine_types: MachineTypes,
    /// Times at which the availability of an upstream may change without an event.
    pub(crate) timers: Timers,
}

impl Upstreams {
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        Self {
            servers: Chunked::default(),
            vacant: Vec::new(),
            departed: Vec::new(),
            by_id: FxHashMap::default(),
            ring: Ring::default(),
            cells: FxHashMap::default(),
            zoned: settings.classes.iter().any(|c| c.group == Group::Zone),
            capacity_groups: CapacityGroups::new(&settings),
            ejected_classes: FxHashMap::default(),
            machine_types: MachineTypes::new(&settings),
            timers: Timers::default(),
            sharers: f64::from(settings.balancers),
            settings,
        }
    }

    /// Returns whether requests of a class may be sent to an upstream: the class allows the zone and
    /// machine type of the upstream, and is not barred from it.
    pub(crate) fn serves(&self, class: usize, s: &Server) -> bool {
        s.capacity_groups.binary_search(&self.capacity_groups.group_of_class(class)).is_ok()
    }

    /// Returns the capacity groups that an upstream belongs to.
    fn groups_of(&self, s: &Server) -> GroupList {
        self.capacity_groups.groups_of_upstream(s.machine_type, |class| {
            let c = &self.settings.classes[class];
            !(self.settings.bars_classes && bars(s.barred_classes, class))
                && c.zones.as_ref().is_none_or(|z| z.contains(&s.zone))
                && c.machine_types.as_ref().is_none_or(|k| k.contains(&s.machine_type))
        })
    }

    /// Returns whether an upstream satisfies the affinity of a request.
    pub(crate) fn satisfies(&self, affinity: Affinity, server: usize) -> bool {
        let s = &self.servers[server];
        match affinity {
            Affinity::Any => true,
            Affinity::Zone(zone) => s.zone == zone,
            Affinity::Cell(zone, cell) => (s.zone, s.cell) == (zone, cell),
        }
    }

    /// Returns the area whose trees contain the upstreams of this zone.
    fn area(&self, zone: u32) -> u32 {
        if self.zoned { zone } else { 0 }
    }

    /// Sets K_i and N_i of an upstream, and updates the sums of its capacity groups. The sums include
    /// the upstream while it is live.
    pub(crate) fn set_capacity(&mut self, server: usize, capacity: Capacity) {
        let s = &mut self.servers[server];
        let previous = Capacity { k: s.k, n: s.n };
        (s.k, s.n) = (capacity.k, capacity.n);
        let is_live = s.status == Status::Live;
        let was_summed = std::mem::replace(&mut s.is_summed, is_live);
        let (previous, next) =
            (Some(previous).filter(|_| was_summed), Some(capacity).filter(|_| is_live));
        if previous != next {
            self.capacity_groups.replace_capacity(&s.capacity_groups, previous, next);
        }
    }

    /// Returns the live upstreams of a cell.
    pub(crate) fn cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = usize> {
        self.cells.get(&(zone, cell)).into_iter().flatten().map(|slot| *slot as usize)
    }

    /// Returns whether a request may be sent to some live upstream other than `excluded`.
    pub(crate) fn has_live(&self, class: usize, affinity: Affinity, excluded: &[usize]) -> bool {
        let is_eligible = |i: &usize| {
            let s = &self.servers[*i];
            s.status == Status::Live && self.serves(class, s) && self.satisfies(affinity, *i)
        };
        match affinity {
            Affinity::Any => {
                let excluded_count =
                    excluded.iter().filter(|i| is_eligible(i)).collect::<FxHashSet<_>>().len();
                self.capacity_groups.of_class(class).live > excluded_count
            }
            Affinity::Cell(zone, cell) => {
                self.cell(zone, cell).any(|i| is_eligible(&i) && !excluded.contains(&i))
            }
            Affinity::Zone(_) => {
                let mut all = (0..self.ring.len()).map(|j| self.ring.at(j).slot);
                all.any(|i| is_eligible(&i) && !excluded.contains(&i))
            }
        }
    }

    /// Adds `change` to the attempts in flight at an upstream, and to those of its capacity groups.
    pub(crate) fn count_in_flight(&mut self, server: usize, change: i32) {
        let s = &mut self.servers[server];
        s.in_flight = s.in_flight.saturating_add_signed(change);
        self.capacity_groups.count(&s.capacity_groups, 0, change as isize);
    }

    /// Returns the number of live upstreams, and the number of those that are not ejected for all
    /// classes.
    pub(crate) fn upstream_counts(&self, now: Time) -> (usize, usize) {
        let all = (0..self.ring.len()).map(|j| &self.servers[self.ring.at(j).slot]);
        (self.ring.len(), all.filter(|s| now >= s.breaker.until).count())
    }

    /// Reads the data that a sweep over these upstreams needs, so that the processor overlaps these
    /// independent reads.
    ///
    /// Without this step, a sweep over many upstreams waits for memory once for each read, as the
    /// benchmark `capacity` shows. `black_box` keeps the compiler from removing the reads, whose
    /// results are not used.
    pub(crate) fn preload(&self, slots: &[usize]) {
        for &slot in slots {
            let s = &self.servers[slot];
            black_box((s.weight, s.earned_at, s.k, s.close_idle_until, s.status));
        }
        for &slot in slots {
            self.capacity_groups.preload(&self.servers[slot].capacity_groups);
        }
    }
}

/// Returns whether the bit of a class is set. Classes from the 65th on have no bit and are never
/// barred.
fn bars(barred_classes: u64, class: usize) -> bool {
    u32::try_from(class)
        .ok()
        .and_then(|c| barred_classes.checked_shr(c))
        .is_some_and(|b| b & 1 == 1)
}

#[cfg(test)]
mod tests;
