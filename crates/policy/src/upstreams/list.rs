//! Applies the endpoint list: adds, changes and removes upstreams.
//!
//! [`crate::policy`] decides on the consequences for estimates and connections.

use hollowpaddle_ordered_collections::ring::Place;
use hollowpaddle_ordered_collections::tournament::Key;
use rustc_hash::FxHashSet;

use super::availability::Availability;
use super::{Server, Upstreams};
use crate::capacity::Capacity;
use crate::estimate::Estimate;
use crate::interface::{ListKind, Member, ServerId, Status, Time};

/// An upstream that an entry of the endpoint list added or changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// Slot of the upstream.
    pub(crate) server: usize,
    /// Previous status; `None` if the upstream was unknown.
    pub(crate) previous_status: Option<Status>,
    /// Whether the upstream has restarted since, according to the list.
    pub(crate) restarted: bool,
}

/// Places on the ring that a list removes and adds.
#[derive(Default)]
struct RingChange {
    removed: Vec<Place>,
    added: Vec<Place>,
}

impl Upstreams {
    /// Applies a list event, and returns the changed upstreams. They count as unavailable until they
    /// are refreshed.
    pub(crate) fn apply_list(&mut self, now: Time, kind: ListKind, list: &[Member]) -> Vec<Change> {
        let mut changed = Vec::new();
        let mut ring = RingChange::default();
        if !kind.is_part() {
            let listed: FxHashSet<ServerId> = list.iter().map(|m| m.id).collect();
            let unlisted = self.by_id.iter().filter(|(id, _)| !listed.contains(id));
            let mut unlisted: Vec<usize> = unlisted.map(|(_, slot)| *slot as usize).collect();
            unlisted.sort_unstable();
            for i in unlisted {
                let s = &self.servers[i];
                let withdrawn = Member { status: Status::Gone, ..s.member() };
                changed.extend(self.apply_entry(now, &withdrawn, &mut ring));
            }
        }
        for entry in list {
            changed.extend(self.apply_entry(now, entry, &mut ring));
        }
        self.ring.change(&ring.removed, &ring.added);
        changed
    }

    /// Applies one entry of a list, and returns the upstream if the entry changes anything.
    fn apply_entry(&mut self, now: Time, entry: &Member, ring: &mut RingChange) -> Option<Change> {
        let weight =
            if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
        let known = self.by_id.get(&entry.id).map(|slot| *slot as usize);
        if let Some(s) = known.map(|i| &self.servers[i]) {
            let has_same_listing = (s.zone, s.machine_type, s.cell, s.status)
                == (entry.zone, entry.machine_type, entry.cell, entry.status);
            if has_same_listing
                && (s.started, s.weight, s.barred_classes)
                    == (entry.started, weight, entry.barred_classes)
            {
                return None;
            }
        }
        let server = known.unwrap_or_else(|| self.add(now, entry));
        let previous_status = self.servers[server].status;
        if previous_status == Status::Live {
            ring.removed.push(self.place_of(server));
        }
        self.count_member(server, -1);
        self.servers[server].status = Status::Gone;
        self.remove_from_sums(now, server);
        let s = &mut self.servers[server];
        let restarted = s.started != entry.started && entry.started.is_some();
        (s.zone, s.machine_type, s.cell) = (entry.zone, entry.machine_type, entry.cell);
        (s.status, s.started, s.weight, s.barred_classes) =
            (entry.status, entry.started, weight, entry.barred_classes);
        s.type_index = self.machine_types.get_or_add(entry.machine_type);
        let capacity_groups = self.groups_of(&self.servers[server]);
        self.servers[server].capacity_groups = capacity_groups;
        self.count_member(server, 1);
        match entry.status {
            Status::Live => ring.added.push(self.place_of(server)),
            Status::Draining => {}
            Status::Gone => self.departed.push(server),
        }
        Some(Change { server, previous_status: known.map(|_| previous_status), restarted })
    }

    /// Adds an unknown upstream, and returns its slot.
    fn add(&mut self, now: Time, member: &Member) -> usize {
        let slot = self.vacant.pop().unwrap_or(self.servers.len());
        let new = Server::new(now, member);
        if slot == self.servers.len() {
            self.servers.push(new);
        } else {
            self.servers[slot] = new;
        }
        self.by_id.insert(member.id, slot as u32);
        slot
    }

    /// Removes an upstream that is no longer live from all sums and trees.
    fn remove_from_sums(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        if s.is_warm || s.is_summed {
            let unchanged = Capacity { k: s.k, n: s.n };
            self.set_availability(
                now,
                server,
                Availability { key: Key::ABSENT, warm: false, partly_ejected: false },
            );
            self.set_capacity(server, unchanged);
        }
    }

    /// Adds an upstream to its cell and capacity groups (`change` is 1) or removes it (-1). Of an
    /// upstream that is not live, only the attempts in flight count.
    fn count_member(&mut self, server: usize, change: isize) {
        let s = &self.servers[server];
        let live = if s.status == Status::Live { change } else { 0 };
        self.capacity_groups.count(&s.capacity_groups, live, change * s.in_flight as isize);
        if live > 0 {
            self.enter_cell(server);
        } else if live < 0 {
            self.leave_cell(server);
        }
    }

    fn enter_cell(&mut self, server: usize) {
        let s = &mut self.servers[server];
        let cell = self.cells.entry((s.zone, s.cell)).or_default();
        s.cell_index = cell.len() as u32;
        cell.push(server as u32);
    }

    fn leave_cell(&mut self, server: usize) {
        let s = &self.servers[server];
        let (place, index) = ((s.zone, s.cell), s.cell_index as usize);
        let Some(cell) = self.cells.get_mut(&place) else { return };
        cell.swap_remove(index);
        if let Some(&moved) = cell.get(index) {
            self.servers[moved as usize].cell_index = index as u32;
        } else if cell.is_empty() {
            self.cells.remove(&place);
        }
    }

    /// Removes withdrawn upstreams, and calls `on_removal` with the estimate of each.
    ///
    /// An upstream remains while some live request has an attempt there, since its zone and cell
    /// determine where the request may be retried.
    pub(crate) fn remove_departed(&mut self, now: Time, mut on_removal: impl FnMut(&Estimate)) {
        for i in std::mem::take(&mut self.departed) {
            let s = &self.servers[i];
            if s.status != Status::Gone || self.by_id.get(&s.id) != Some(&(i as u32)) {
                continue;
            }
            if now < s.close_idle_until || s.attempt_refs > 0 {
                self.departed.push(i);
                continue;
            }
            on_removal(&s.estimate);
            self.by_id.remove(&s.id);
            self.vacant.push(i);
        }
    }
}
