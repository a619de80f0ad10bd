//! Rooms: the sets of upstreams that classes are bound to, with their sums and their trees of free upstreams. An
//! upstream touches only the rooms that it belongs to. Decides nothing.

use std::hint::black_box;

use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};
use rustc_hash::FxHashMap;

use crate::interface::{Class, Settings};
use crate::sums::{Rates, Sum};

/// Classes that [`crate::interface::Member::barred`] has a bit for: only these can be kept from a single upstream, and
/// need sums of their own for it.
const BARRED_CLASSES: usize = u64::BITS as usize;

/// Upstreams with a free slot, by cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trees {
    /// Those that are open to all classes.
    pub(crate) fully_available: TournamentTree,
    /// Those that are shut to some class.
    pub(crate) partly_ejected: TournamentTree,
}

/// One value for each area that has upstreams; there are few. An area is a zone where keys bind some class to it, else
/// the whole fleet.
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
    pub(crate) fn get_mut(&mut self, area: u32) -> &mut T {
        let at = self.entries.partition_point(|e| e.0 < area);
        if self.entries.get(at).is_none_or(|e| e.0 != area) {
            self.entries.insert(at, (area, T::default()));
        }
        &mut self.entries[at].1
    }

    /// The values of one area, or of all.
    pub(crate) fn within(&mut self, area: Option<u32>) -> impl Iterator<Item = &mut T> {
        let entries = self.entries.iter_mut().filter(move |e| area.is_none_or(|a| a == e.0));
        entries.map(|e| &mut e.1)
    }

    pub(crate) fn map<U>(&self, of: impl Fn(&T) -> U) -> ByArea<U> {
        ByArea { entries: self.entries.iter().map(|(area, t)| (*area, of(t))).collect() }
    }
}

/// What the upstreams that one set of classes may be sent to hold and can hold. The first room is the whole
/// fleet; a class bound to zones or kinds has a room of its own. Failure: refused and held by the sums of the
/// whole fleet, a bound class queued behind slots it could never have.
#[derive(Debug, Default)]
pub(crate) struct CapacityGroup {
    /// A class that is bound so; `None` for the whole fleet.
    class: Option<usize>,
    queued: usize,
    in_flight: usize,
    /// Its live upstreams, and over them the sums of K_i and of 1 / (2*TP_i + TS_i).
    pub(crate) live: usize,
    k: Sum,
    n: Rates,
    /// The same sums as of the last sweep, and whether they have changed since.
    swept_k: f64,
    swept_n: f64,
    is_changed: bool,
    /// Some class is sent by its trees.
    has_class: bool,
    pub(crate) trees: ByArea<Trees>,
    /// Its classes that some upstream is shut to.
    pub(crate) ejected_classes: Vec<u32>,
}

/// The load of a room, and this proxy's part of what it can hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLoad {
    pub(crate) queued: usize,
    pub(crate) in_flight: usize,
    pub(crate) slots: f64,
    pub(crate) n_per_time: f64,
}

/// What an upstream adds to the sums of its rooms: K_i, and N_i per unit of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Capacity {
    pub(crate) k: f64,
    pub(crate) n: f64,
}

/// The rooms that an upstream belongs to, in ascending order; the first is the whole fleet.
pub(crate) type GroupList = Box<[u32]>;

/// All rooms.
#[derive(Debug)]
pub(crate) struct CapacityGroups {
    capacity_groups: Vec<CapacityGroup>,
    /// Which of them each class has.
    group_of_class: Vec<u32>,
    /// Rooms by the machine types that they are bound to, and those bound to none.
    by_kind: FxHashMap<u32, Vec<u32>>,
    any_kind: Vec<u32>,
    /// Rooms whose sums have changed since the last sweep.
    changed: Vec<u32>,
    /// This proxy's part of the sums, as of the last sweep.
    part: f64,
}

impl CapacityGroups {
    /// One room for the whole fleet, and one for each set of upstreams that some class is bound to; one for each class
    /// that rules may keep from any upstream.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut capacity_groups = Self {
            capacity_groups: vec![CapacityGroup::default()],
            group_of_class: Vec::new(),
            by_kind: FxHashMap::default(),
            any_kind: Vec::new(),
            changed: Vec::new(),
            part: 0.0,
        };
        let mut shared = FxHashMap::default();
        shared.insert((&None, &None), 0);
        for (number, class) in settings.classes.iter().enumerate() {
            let bounds = (&class.zones, &class.kinds);
            let can_be_barred = settings.barring && number < BARRED_CLASSES;
            let found = shared.get(&bounds).copied().filter(|_| !can_be_barred);
            let capacity_group = found.unwrap_or_else(|| {
                let capacity_group = capacity_groups.add(number, class);
                if !can_be_barred {
                    shared.insert(bounds, capacity_group);
                }
                capacity_group
            });
            capacity_groups.capacity_groups[capacity_group as usize].has_class = true;
            capacity_groups.group_of_class.push(capacity_group);
        }
        capacity_groups
    }

    fn add(&mut self, number: usize, class: &Class) -> u32 {
        let capacity_group = self.capacity_groups.len() as u32;
        self.capacity_groups
            .push(CapacityGroup { class: Some(number), ..CapacityGroup::default() });
        match &class.kinds {
            None => self.any_kind.push(capacity_group),
            Some(kinds) => {
                for &kind in kinds {
                    let capacity_groups = self.by_kind.entry(kind).or_default();
                    if capacity_groups.last() != Some(&capacity_group) {
                        capacity_groups.push(capacity_group);
                    }
                }
            }
        }
        capacity_group
    }

    /// The rooms of an upstream of this machine type, where `serves` says whether it is open to a room's class.
    pub(crate) fn groups_of_upstream(
        &self,
        kind: u32,
        serves: impl Fn(usize) -> bool,
    ) -> GroupList {
        let bound = self.by_kind.get(&kind).into_iter().flatten();
        let candidates = self.any_kind.iter().chain(bound).copied();
        let open = |capacity_group: &u32| {
            self.capacity_groups[*capacity_group as usize].class.is_none_or(&serves)
        };
        let mut list: Vec<u32> = std::iter::once(0).chain(candidates.filter(open)).collect();
        list.sort_unstable();
        list.dedup();
        list.into_boxed_slice()
    }

    pub(crate) fn group_of_class(&self, class: usize) -> u32 {
        self.group_of_class[class]
    }

    pub(crate) fn of_class(&self, class: usize) -> &CapacityGroup {
        &self.capacity_groups[self.group_of_class[class] as usize]
    }

    pub(crate) fn of_class_mut(&mut self, class: usize) -> &mut CapacityGroup {
        &mut self.capacity_groups[self.group_of_class[class] as usize]
    }

    /// A room, if some class is sent by its trees.
    pub(crate) fn get_mut(&mut self, capacity_group: u32) -> Option<&mut CapacityGroup> {
        Some(&mut self.capacity_groups[capacity_group as usize]).filter(|r| r.has_class)
    }

    /// The load of the room that a class has.
    pub(crate) fn load(&self, class: usize) -> GroupLoad {
        self.load_of(self.of_class(class))
    }

    /// The load of the whole fleet.
    pub(crate) fn fleet_load(&self) -> GroupLoad {
        self.load_of(&self.capacity_groups[0])
    }

    fn load_of(&self, capacity_group: &CapacityGroup) -> GroupLoad {
        GroupLoad {
            queued: capacity_group.queued,
            in_flight: capacity_group.in_flight,
            slots: capacity_group.swept_k * self.part,
            n_per_time: capacity_group.swept_n * self.part,
        }
    }

    /// Reads the sums of these rooms; see [`crate::upstreams::Upstreams::preload`].
    pub(crate) fn preload(&self, list: &[u32]) {
        for &capacity_group in list {
            let capacity_group = &self.capacity_groups[capacity_group as usize];
            black_box((capacity_group.k, capacity_group.n, capacity_group.is_changed));
        }
    }

    // ------------------------------------------------------------ counts and sums

    /// Counts a live upstream in its rooms or out of them, and what is out at it.
    pub(crate) fn count(&mut self, list: &[u32], live: isize, in_flight: isize) {
        for &capacity_group in list {
            let capacity_group = &mut self.capacity_groups[capacity_group as usize];
            capacity_group.live = capacity_group.live.saturating_add_signed(live);
            capacity_group.in_flight = capacity_group.in_flight.saturating_add_signed(in_flight);
        }
    }

    /// Counts a held request, or one that is held no more, in the rooms that its class has a part in.
    pub(crate) fn count_queued(&mut self, class: usize, change: isize) {
        let fleet = &mut self.capacity_groups[0];
        fleet.queued = fleet.queued.saturating_add_signed(change);
        let own_group = self.group_of_class[class] as usize;
        if own_group != 0 {
            let capacity_group = &mut self.capacity_groups[own_group];
            capacity_group.queued = capacity_group.queued.saturating_add_signed(change);
        }
    }

    /// Puts what an upstream adds to the sums in the place of what it added.
    pub(crate) fn sum(&mut self, list: &[u32], was: Option<Capacity>, now: Option<Capacity>) {
        for &number in list {
            let capacity_group = &mut self.capacity_groups[number as usize];
            capacity_group.k.change(was.map(|c| c.k), now.map(|c| c.k));
            capacity_group.n.change(was.map(|c| c.n), now.map(|c| c.n));
            if !std::mem::replace(&mut capacity_group.is_changed, true) {
                self.changed.push(number);
            }
        }
    }

    /// A sweep: the sums count as they are now, and this proxy's part of them is `part`.
    pub(crate) fn sweep(&mut self, part: f64) {
        self.part = part;
        for number in self.changed.drain(..) {
            let capacity_group = &mut self.capacity_groups[number as usize];
            capacity_group.is_changed = false;
            (capacity_group.swept_k, capacity_group.swept_n) =
                (capacity_group.k.get(), capacity_group.n.get());
        }
    }
}

/// A class that some upstream is shut to, and the upstreams of its room that it may be sent to all the same.
#[derive(Debug)]
pub(crate) struct EjectedClass {
    /// Live upstreams that are shut to it.
    pub(crate) count: usize,
    /// So much of its room is shut that it is open all the same.
    pub(crate) is_panicking: bool,
    /// Those of the partly_ejected ones with a free slot that are open to it.
    pub(crate) open: ByArea<TournamentTree>,
}

impl EjectedClass {
    /// Of a room whose partly_ejected upstreams were all open to the class so far.
    pub(crate) fn new(capacity_group: &CapacityGroup) -> Self {
        let open = capacity_group.trees.map(|trees| trees.partly_ejected.clone());
        Self { count: 0, is_panicking: false, open }
    }

    /// The key with which an upstream stands for this class.
    pub(crate) fn key(&self, key: Key, is_ejected: bool) -> Key {
        if is_ejected && !self.is_panicking { Key::OUT } else { key }
    }
}
