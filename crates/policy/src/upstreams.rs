//! The fleet as the module keeps it: records of all upstreams, and the indexes over them.
//!
//! Answers questions at a cost that does not grow with the fleet, and decides nothing.

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
    /// Balancers that send to each upstream known here: all of them, unless each has a subset of
    /// the fleet.
    pub(crate) sharers: f64,
    /// By slot. An upstream has its slot until it is gone and no live request was sent there.
    pub(crate) servers: Chunked<Server>,
    /// Slots that are free.
    vacant: Vec<usize>,
    /// Slots of upstreams that are gone and not dropped yet.
    departed: Vec<usize>,
    /// Slots by the handle of the upstream.
    pub(crate) by_id: FxHashMap<ServerId, u32>,
    /// Live upstreams by identity; each zone is a part of its own where crossing has a price.
    pub(crate) ring: Ring,
    /// Slots of live upstreams by zone and cell.
    cells: FxHashMap<(u32, u32), Vec<u32>>,
    /// Whether the group of some keyed class is a zone: then trees are kept by zone.
    zoned: bool,
    pub(crate) capacity_groups: CapacityGroups,
    /// Classes that some upstream is ejected for.
    ejected_classes: FxHashMap<u32, EjectedClass>,
    /// Figures by machine type.
    pub(crate) machine_types: MachineTypes,
    /// When the availability of an upstream may change by itself.
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

    /// Whether an upstream may be sent requests of a class: it is of a zone and machine type that
    /// the class allows, and the class is not barred from it.
    pub(crate) fn serves(&self, class: usize, s: &Server) -> bool {
        s.capacity_groups.binary_search(&self.capacity_groups.group_of_class(class)).is_ok()
    }

    /// The capacity groups that an upstream belongs to.
    fn groups_of(&self, s: &Server) -> GroupList {
        self.capacity_groups.groups_of_upstream(s.machine_type, |class| {
            let c = &self.settings.classes[class];
            !(self.settings.bars_classes && bars(s.barred_classes, class))
                && c.zones.as_ref().is_none_or(|z| z.contains(&s.zone))
                && c.machine_types.as_ref().is_none_or(|k| k.contains(&s.machine_type))
        })
    }

    /// Whether an upstream is one of those that a request may be sent to.
    pub(crate) fn satisfies(&self, affinity: Affinity, server: usize) -> bool {
        let s = &self.servers[server];
        match affinity {
            Affinity::Any => true,
            Affinity::Zone(zone) => s.zone == zone,
            Affinity::Cell(zone, cell) => (s.zone, s.cell) == (zone, cell),
        }
    }

    /// The area whose trees an upstream of this zone stands in.
    fn area(&self, zone: u32) -> u32 {
        if self.zoned { zone } else { 0 }
    }

    /// Sets K_i and N_i of an upstream, and updates the sums of its capacity groups, in which it
    /// counts while it is live.
    pub(crate) fn sum(&mut self, server: usize, now: Capacity) {
        let s = &mut self.servers[server];
        let was = Capacity { k: s.k, n: s.n };
        (s.k, s.n) = (now.k, now.n);
        let is_live = s.status == Status::Live;
        let was_summed = std::mem::replace(&mut s.is_summed, is_live);
        let (was, now) = (Some(was).filter(|_| was_summed), Some(now).filter(|_| is_live));
        if was != now {
            self.capacity_groups.sum(&s.capacity_groups, was, now);
        }
    }

    /// The live upstreams of a cell.
    pub(crate) fn cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = usize> {
        self.cells.get(&(zone, cell)).into_iter().flatten().map(|slot| *slot as usize)
    }

    /// Whether there is a live upstream that a request may be sent to, beside some.
    pub(crate) fn any(&self, class: usize, affinity: Affinity, beside: &[usize]) -> bool {
        let open = |i: &usize| {
            let s = &self.servers[*i];
            s.status == Status::Live && self.serves(class, s) && self.satisfies(affinity, *i)
        };
        match affinity {
            Affinity::Any => {
                let taken = beside.iter().filter(|i| open(i)).collect::<FxHashSet<_>>().len();
                self.capacity_groups.of_class(class).live > taken
            }
            Affinity::Cell(zone, cell) => {
                self.cell(zone, cell).any(|i| open(&i) && !beside.contains(&i))
            }
            Affinity::Zone(_) => {
                let mut all = (0..self.ring.len()).map(|j| self.ring.at(j).slot);
                all.any(|i| open(&i) && !beside.contains(&i))
            }
        }
    }

    /// Adds to the attempts in flight at an upstream, and in every capacity group that it belongs
    /// to.
    pub(crate) fn count_in_flight(&mut self, server: usize, change: i32) {
        let s = &mut self.servers[server];
        s.in_flight = s.in_flight.saturating_add_signed(change);
        self.capacity_groups.count(&s.capacity_groups, 0, change as isize);
    }

    /// Live upstreams, and how many of them are not ejected.
    pub(crate) fn upstream_counts(&self, now: Time) -> (usize, usize) {
        let all = (0..self.ring.len()).map(|j| &self.servers[self.ring.at(j).slot]);
        (self.ring.len(), all.filter(|s| now >= s.breaker.until).count())
    }

    /// Reads what a sweep over these upstreams needs: the processor overlaps reads that do not
    /// depend on each other.
    ///
    /// `black_box` keeps the compiler from removing these reads, whose results are not used. It
    /// answers the benchmark `capacity`, in which a sweep over a large fleet waited for memory once
    /// for each read.
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

/// Whether the bit of a class is set. Classes from the 65th on have none and are never barred.
fn bars(barred_classes: u64, class: usize) -> bool {
    u32::try_from(class)
        .ok()
        .and_then(|c| barred_classes.checked_shr(c))
        .is_some_and(|b| b & 1 == 1)
}

#[cfg(test)]
mod tests;
