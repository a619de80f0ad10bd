//! Capacity groups: the sets of upstreams that classes may be sent to, with their load, capacity
//! and available upstreams.
//!
//! A change of an upstream updates only the groups that contain it. This module makes no decisions.

use std::hint::black_box;

use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};
use rustc_hash::FxHashMap;

use crate::interface::{Class, Settings};
use crate::sums::{Rates, Sum};

/// Number of classes that [`crate::interface::Member::barred_classes`] has a bit for. Only these
/// classes can be barred from a single upstream, so that they need separate sums.
const BARRED_CLASSES: usize = u64::BITS as usize;

/// Upstreams with a free slot, by cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trees {
    /// Upstreams that are not ejected for any class.
    pub(crate) fully_available: TournamentTree,
    /// Upstreams that are ejected for some class.
    pub(crate) partly_ejected: TournamentTree,
}

/// One value for each area that has upstreams; there are few areas. An area is a zone if the
/// deduplication group of some class is a zone; otherwise there is one area for all upstreams.
#[derive(Clone, Debug)]
pub(crate) struct ByArea<T> {
    /// In ascending order of area.
    entries: Vec<(u32, T)>,
}

impl<T> Default for ByArea<T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<T: Default> ByArea<T> {
    /// Returns the value of an area, and creates it if it does not exist.
    pub(crate) fn get_mut(&mut self, area: u32) -> &mut T {
        let at = self.entries.partition_point(|e| e.0 < area);
        if self.entries.get(at).is_none_or(|e| e.0 != area) {
            self.entries.insert(at, (area, T::default()));
        }
        &mut self.entries[at].1
    }

    /// Returns the value of one area, or the values of all areas for `None`.
    pub(crate) fn within(&mut self, area: Option<u32>) -> impl Iterator<Item = &mut T> {
        let entries = self.entries.iter_mut().filter(move |e| area.is_none_or(|a| a == e.0));
        entries.map(|e| &mut e.1)
    }

    /// Applies a function to the value of each area.
    pub(crate) fn map<U>(&self, of: impl Fn(&T) -> U) -> ByArea<U> {
        ByArea { entries: self.entries.iter().map(|(area, t)| (*area, of(t))).collect() }
    }
}

/// Load and capacity of the upstreams that one set of classes may be sent to.
///
/// The first group contains all upstreams. A class that is bound to zones or machine types has a
/// separate group: with the capacity of all upstreams, its requests would be queued for slots that
/// they can never use.
#[derive(Debug, Default)]
pub(crate) struct CapacityGroup {
    /// A class of the group; `None` for the group of all upstreams.
    class: Option<usize>,
    /// Number of queued requests of the classes of the group.
    queued: usize,
    /// Number of attempts in flight at upstreams of the group.
    in_flight: usize,
    /// Number of live upstreams of the group.
    pub(crate) live: usize,
    /// Sum of K_i over the live upstreams.
    k: Sum,
    /// Sum of N_i per microsecond over the live upstreams.
    n: Rates,
    /// `k` as of the last sweep.
    swept_k: f64,
    /// `n` as of the last sweep.
    swept_n: f64,
    /// Whether `k` or `n` has changed since the last sweep.
    is_changed: bool,
    /// Whether some class selects upstreams by the trees of the group.
    has_class: bool,
    pub(crate) trees: ByArea<Trees>,
    /// Classes of the group for which some upstream is ejected.
    pub(crate) ejected_classes: Vec<u32>,
}

/// The load of a capacity group, and this balancer's share of its capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLoad {
    /// Number of queued requests.
    pub(crate) queued: usize,
    /// Number of attempts in flight.
    pub(crate) in_flight: usize,
    /// This balancer's share of the sum of K_i.
    pub(crate) slots: f64,
    /// This balancer's share of the sum of N_i per microsecond.
    pub(crate) n_per_time: f64,
}

/// The contribution of an upstream to the sums of its capacity groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Capacity {
    /// K_i.
    pub(crate) k: f64,
    /// N_i per microsecond.
    pub(crate) n: f64,
}

/// The numbers of the capacity groups that an upstream belongs to, in ascending order. The first
/// number is that of the group of all upstreams.
pub(crate) type GroupList = Box<[u32]>;

/// All capacity groups, by number.
#[derive(Debug)]
pub(crate) struct CapacityGroups {
    groups: Vec<CapacityGroup>,
    /// The number of the group of each class.
    group_of_class: Vec<u32>,
    /// Groups that are bound to machine types, by machine type.
    by_machine_type: FxHashMap<u32, Vec<u32>>,
    /// Groups that are not bound to machine types.
    any_machine_type: Vec<u32>,
    /// Groups whose sums have changed since the last sweep.
    changed: Vec<u32>,
    /// This balancer's share of the sums as of the last sweep, at most 1.
    share: f64,
}

impl CapacityGroups {
    /// Creates one group for all upstreams, one for each set of upstreams that some class is bound
    /// to, and one for each class that can be barred from single upstreams.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut groups = Self {
            groups: vec![CapacityGroup::default()],
            group_of_class: Vec::new(),
            by_machine_type: FxHashMap::default(),
            any_machine_type: Vec::new(),
            changed: Vec::new(),
            share: 0.0,
        };
        let mut shared = FxHashMap::default();
        shared.insert((&None, &None), 0);
        for (number, class) in settings.classes.iter().enumerate() {
            let bounds = (&class.zones, &class.machine_types);
            let can_be_barred = settings.bars_classes && number < BARRED_CLASSES;
            let found = shared.get(&bounds).copied().filter(|_| !can_be_barred);
            let group = found.unwrap_or_else(|| {
                let group = groups.add(number, class);
                if !can_be_barred {
                    shared.insert(bounds, group);
                }
                group
            });
            groups.groups[group as usize].has_class = true;
            groups.group_of_class.push(group);
        }
        groups
    }

    fn add(&mut self, number: usize, class: &Class) -> u32 {
        let group = self.groups.len() as u32;
        self.groups.push(CapacityGroup { class: Some(number), ..CapacityGroup::default() });
        match &class.machine_types {
            None => self.any_machine_type.push(group),
            Some(machine_types) => {
                for &machine_type in machine_types {
                    let groups = self.by_machine_type.entry(machine_type).or_default();
                    if groups.last() != Some(&group) {
                        groups.push(group);
                    }
                }
            }
        }
        group
    }

    /// Returns the groups of an upstream of this machine type. `serves` returns whether requests of a
    /// class may be sent to the upstream.
    pub(crate) fn groups_of_upstream(
        &self,
        machine_type: u32,
        serves: impl Fn(usize) -> bool,
    ) -> GroupList {
        let bound = self.by_machine_type.get(&machine_type).into_iter().flatten();
        let candidates = self.any_machine_type.iter().chain(bound).copied();
        let is_served = |group: &u32| self.groups[*group as usize].class.is_none_or(&serves);
        let mut list: Vec<u32> = std::iter::once(0).chain(candidates.filter(is_served)).collect();
        list.sort_unstable();
        list.dedup();
        list.into_boxed_slice()
    }

    /// Returns the number of the group of a class.
    pub(crate) fn group_of_class(&self, class: usize) -> u32 {
        self.group_of_class[class]
    }

    /// Returns the group of a class.
    pub(crate) fn of_class(&self, class: usize) -> &CapacityGroup {
        &self.groups[self.group_of_class[class] as usize]
    }

    /// Returns the group of a class for changes.
    pub(crate) fn of_class_mut(&mut self, class: usize) -> &mut CapacityGroup {
        &mut self.groups[self.group_of_class[class] as usize]
    }

    /// Returns the group of this number, if some class selects upstreams by its trees.
    pub(crate) fn get_mut(&mut self, group: u32) -> Option<&mut CapacityGroup> {
        Some(&mut self.groups[group as usize]).filter(|r| r.has_class)
    }

    /// Returns the load of the group of a class.
    pub(crate) fn load(&self, class: usize) -> GroupLoad {
        self.load_of(self.of_class(class))
    }

    /// Returns the load of all upstreams.
    pub(crate) fn total_load(&self) -> GroupLoad {
        self.load_of(&self.groups[0])
    }

    fn load_of(&self, group: &CapacityGroup) -> GroupLoad {
        GroupLoad {
            queued: group.queued,
            in_flight: group.in_flight,
            slots: group.swept_k * self.share,
            n_per_time: group.swept_n * self.share,
        }
    }

    /// Reads the sums of these groups; `black_box` keeps the compiler from removing the reads. See
    /// [`crate::upstreams::Upstreams::preload`].
    pub(crate) fn preload(&self, list: &[u32]) {
        for &group in list {
            let group = &self.groups[group as usize];
            black_box((group.k, group.n, group.is_changed));
        }
    }

    // ------------------------------------------------------------ counts and sums

    /// Adds to the numbers of live upstreams and attempts in flight of these groups.
    pub(crate) fn count(&mut self, list: &[u32], live: isize, in_flight: isize) {
        for &group in list {
            let group = &mut self.groups[group as usize];
            group.live = group.live.saturating_add_signed(live);
            group.in_flight = group.in_flight.saturating_add_signed(in_flight);
        }
    }

    /// Adds to the number of queued requests of the group of a class and of the group of all
    /// upstreams.
    pub(crate) fn count_queued(&mut self, class: usize, change: isize) {
        let all = &mut self.groups[0];
        all.queued = all.queued.saturating_add_signed(change);
        let own_group = self.group_of_class[class] as usize;
        if own_group != 0 {
            let group = &mut self.groups[own_group];
            group.queued = group.queued.saturating_add_signed(change);
        }
    }

    /// Replaces the contribution of an upstream to the sums of these groups.
    pub(crate) fn replace_capacity(
        &mut self,
        list: &[u32],
        previous: Option<Capacity>,
        next: Option<Capacity>,
    ) {
        for &number in list {
            let group = &mut self.groups[number as usize];
            group.k.change(previous.map(|c| c.k), next.map(|c| c.k));
            group.n.change(previous.map(|c| c.n), next.map(|c| c.n));
            if !std::mem::replace(&mut group.is_changed, true) {
                self.changed.push(number);
            }
        }
    }

    /// Ends a sweep: from now on, [`GroupLoad`] is based on the present sums and on the `share` of
    /// this balancer.
    pub(crate) fn sweep(&mut self, share: f64) {
        self.share = share;
        for number in self.changed.drain(..) {
            let group = &mut self.groups[number as usize];
            group.is_changed = false;
            (group.swept_k, group.swept_n) = (group.k.get(), group.n.get());
        }
    }
}

/// A class for which some upstream is ejected, with the partly ejected upstreams of its group that
/// are still available to it.
#[derive(Debug)]
pub(crate) struct EjectedClass {
    /// Number of live upstreams that are ejected for this class.
    pub(crate) count: usize,
    /// Whether the panic threshold is reached, so that ejection is ignored for this class.
    pub(crate) is_panicking: bool,
    /// Available upstreams that are ejected for some class, but not for this class.
    pub(crate) available: ByArea<TournamentTree>,
}

impl EjectedClass {
    /// Creates the state of a class for which no upstream of its group is ejected yet.
    pub(crate) fn new(group: &CapacityGroup) -> Self {
        let available = group.trees.map(|trees| trees.partly_ejected.clone());
        Self { count: 0, is_panicking: false, available }
    }

    /// Returns the key of an upstream for this class.
    pub(crate) fn key(&self, key: Key, is_ejected: bool) -> Key {
        if is_ejected && !self.is_panicking { Key::ABSENT } else { key }
    }
}
