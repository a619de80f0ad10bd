//! Takes in the endpoint list: upstreams that join, change and leave.
//!
//! What follows for estimates and connections is for [`crate::policy`] to say.

use hollowpaddle_ordered_collections::ring::Place;
use hollowpaddle_ordered_collections::tournament::Key;
use rustc_hash::FxHashSet;

use super::availability::Availability;
use super::{Server, Upstreams};
use crate::capacity::Capacity;
use crate::estimate::Estimate;
use crate::interface::{ListKind, Member, ServerId, Status, Time};

/// An upstream that an entry of a list added or changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// Its slot.
    pub(crate) server: usize,
    /// Its status before; `None` if it was not known.
    pub(crate) was: Option<Status>,
    /// The list says that it has restarted since.
    pub(crate) restarted: bool,
}

/// Places on the ring that a list frees and takes.
#[derive(Default)]
struct RingChange {
    removed: Vec<Place>,
    added: Vec<Place>,
}

impl Upstreams {
    /// Takes in a list, and returns the upstreams that it changed. They count as unavailable until
    /// they are refreshed.
    pub(crate) fn list(&mut self, now: Time, kind: ListKind, list: &[Member]) -> Vec<Change> {
        let mut changed = Vec::new();
        let mut moved = RingChange::default();
        if !kind.is_part() {
            let listed: FxHashSet<ServerId> = list.iter().map(|m| m.id).collect();
            let unlisted = self.by_id.iter().filter(|(id, _)| !listed.contains(id));
            let mut unlisted: Vec<usize> = unlisted.map(|(_, slot)| *slot as usize).collect();
            unlisted.sort_unstable();
            for i in unlisted {
                let s = &self.servers[i];
                let gone = Member { status: Status::Gone, ..s.member() };
                changed.extend(self.apply_entry(now, &gone, &mut moved));
            }
        }
        for entry in list {
            changed.extend(self.apply_entry(now, entry, &mut moved));
        }
        self.ring.change(&moved.removed, &moved.added);
        changed
    }

    /// Applies one entry of a list; returns the upstream if that changes anything.
    fn apply_entry(&mut self, now: Time, entry: &Member, moved: &mut RingChange) -> Option<Change> {
        let weight =
            if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 1.0 };
        let known = self.by_id.get(&entry.id).map(|slot| *slot as usize);
        if let Some(s) = known.map(|i| &self.servers[i]) {
            let same = (s.zone, s.machine_type, s.cell, s.status)
                == (entry.zone, entry.machine_type, entry.cell, entry.status);
            if same
                && (s.started, s.weight, s.barred_classes)
                    == (entry.started, weight, entry.barred_classes)
            {
                return None;
            }
        }
        let server = known.unwrap_or_else(|| self.add(now, entry));
        let was = self.servers[server].status;
        if was == Status::Live {
            moved.removed.push(self.place_of(server));
        }
        self.enlist(server, -1);
        self.servers[server].status = Status::Gone;
        self.withdraw(now, server);
        let s = &mut self.servers[server];
        let restarted = s.started != entry.started && entry.started.is_some();
        (s.zone, s.machine_type, s.cell) = (entry.zone, entry.machine_type, entry.cell);
        (s.status, s.started, s.weight, s.barred_classes) =
            (entry.status, entry.started, weight, entry.barred_classes);
        s.type_index = self.machine_types.enter(entry.machine_type);
        let capacity_groups = self.groups_of(&self.servers[server]);
        self.servers[server].capacity_groups = capacity_groups;
        self.enlist(server, 1);
        match entry.status {
            Status::Live => moved.added.push(self.place_of(server)),
            Status::Draining => {}
            Status::Gone => self.departed.push(server),
        }
        Some(Change { server, was: known.map(|_| was), restarted })
    }

    /// Adds an upstream that was not known, and returns its slot.
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

    /// Takes an upstream that is not live any more out of all sums and trees.
    fn withdraw(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        if s.is_warm || s.is_summed {
            let unchanged = Capacity { k: s.k, n: s.n };
            self.set_availability(
                now,
                server,
                Availability { key: Key::OUT, warm: false, partly_ejected: false },
            );
            self.sum(server, unchanged);
        }
    }

    /// Adds an upstream to its cell and capacity groups (`change` 1) or takes it out (-1). One that
    /// is not live counts only with its attempts in flight.
    fn enlist(&mut self, server: usize, change: isize) {
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

    /// Drops upstreams that are gone, and calls `dropped` with the estimate of each.
    ///
    /// One stays as long as a live request was sent there: where that may be retried depends on it.
    pub(crate) fn forget(&mut self, now: Time, mut dropped: impl FnMut(&Estimate)) {
        for i in std::mem::take(&mut self.departed) {
            let s = &self.servers[i];
            if s.status != Status::Gone || self.by_id.get(&s.id) != Some(&(i as u32)) {
                continue;
            }
            if now < s.close_idle_until || s.attempt_refs > 0 {
                self.departed.push(i);
                continue;
            }
            dropped(&s.estimate);
            self.by_id.remove(&s.id);
            self.vacant.push(i);
        }
    }
}
