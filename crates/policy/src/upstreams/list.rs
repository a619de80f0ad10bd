//! Takes in the endpoint list: who joins, changes and leaves.

use hollowpaddle_ordered_collections::ring::Place;
use hollowpaddle_ordered_collections::tournament::Key;
use rustc_hash::FxHashSet;

use super::availability::Availability;
use super::{Server, Upstreams};
use crate::breakers::{Breaker, ClassBreakers};
use crate::capacity::{Capacity, GroupList};
use crate::estimate::Estimate;
use crate::interface::{ListKind, Member, ServerId, Status, Time};

/// What an entry of a list changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) server: usize,
    /// Its state before; `None` if it was not known.
    pub(crate) was: Option<Status>,
    /// It says that it has started since.
    pub(crate) restarted: bool,
}

impl Upstreams {
    /// Takes in a list; what it changed. Those that it changed stand nowhere until they are booked again.
    pub(crate) fn list(&mut self, now: Time, kind: ListKind, list: &[Member]) -> Vec<Change> {
        let mut changed = Vec::new();
        let mut moved = (Vec::new(), Vec::new());
        if !kind.is_part() {
            let listed: FxHashSet<ServerId> = list.iter().map(|m| m.id).collect();
            let left = self.by_id.iter().filter(|(id, _)| !listed.contains(id));
            let mut left: Vec<usize> = left.map(|(_, slot)| *slot as usize).collect();
            left.sort_unstable();
            for i in left {
                let s = &self.servers[i];
                let gone = Member { status: Status::Gone, ..s.member() };
                changed.extend(self.member(now, &gone, &mut moved));
            }
        }
        for m in list {
            changed.extend(self.member(now, m, &mut moved));
        }
        self.ring.change(&moved.0, &moved.1);
        changed
    }

    /// Takes in one entry of a list; what it changes, if anything.
    fn member(
        &mut self,
        now: Time,
        m: &Member,
        moved: &mut (Vec<Place>, Vec<Place>),
    ) -> Option<Change> {
        let weight = if m.weight > 0.0 && m.weight.is_finite() { m.weight } else { 1.0 };
        let known = self.by_id.get(&m.id).map(|slot| *slot as usize);
        if let Some(s) = known.map(|i| &self.servers[i]) {
            let same = (s.zone, s.kind, s.cell, s.status) == (m.zone, m.kind, m.cell, m.status);
            if same && (s.started, s.weight, s.barred) == (m.started, weight, m.barred) {
                return None;
            }
        }
        let server = known.unwrap_or_else(|| self.newcomer(now, m));
        let was = self.servers[server].status;
        if was == Status::Live {
            moved.0.push(self.place_of(server));
        }
        self.enlist(server, -1);
        self.servers[server].status = Status::Gone;
        self.withdraw(now, server);
        let s = &mut self.servers[server];
        let restarted = s.started != m.started && m.started.is_some();
        (s.zone, s.kind, s.cell) = (m.zone, m.kind, m.cell);
        (s.status, s.started, s.weight, s.barred) = (m.status, m.started, weight, m.barred);
        s.type_index = self.kinds.enter(m.kind);
        let capacity_groups = self.groups_of(&self.servers[server]);
        self.servers[server].capacity_groups = capacity_groups;
        self.enlist(server, 1);
        match m.status {
            Status::Live => moved.1.push(self.place_of(server)),
            Status::Draining => {}
            Status::Gone => self.departed.push(server),
        }
        Some(Change { server, was: known.map(|_| was), restarted })
    }

    /// A slot for an upstream that was not known.
    fn newcomer(&mut self, now: Time, m: &Member) -> usize {
        let slot = self.vacant.pop().unwrap_or(self.servers.len());
        let s = Server {
            id: m.id,
            zone: m.zone,
            kind: 0,
            type_index: 0,
            cell: m.cell,
            cell_index: 0,
            status: Status::Gone,
            weight: 1.0,
            started: None,
            barred: 0,
            identity: m.identity,
            in_flight: 0,
            in_flight_changed: now,
            level_at_last_answer: 0,
            breaker: Breaker::default(),
            by_class: ClassBreakers::default(),
            last_answered_sent: Time(i64::MIN),
            estimate: Estimate::NONE,
            k: 1.0,
            n: 0.0,
            cost: 0.0,
            earned_sends: 0.0,
            earned_at: now,
            probe: 0,
            distance: 0.0,
            close_idle_until: now,
            attempt_refs: 0,
            capacity_groups: GroupList::default(),
            is_summed: false,
            is_warm: false,
            is_partly_ejected: false,
            was_available: false,
            cost_when_available: 0.0,
        };
        if slot == self.servers.len() {
            self.servers.push(s)
        } else {
            self.servers[slot] = s
        }
        self.by_id.insert(m.id, slot as u32);
        slot
    }

    /// Takes one that is not live any more out of all sums and trees.
    fn withdraw(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        if s.is_warm || s.is_summed {
            let as_it_is = Capacity { k: s.k, n: s.n };
            self.set_availability(
                now,
                server,
                Availability { key: Key::OUT, warm: false, partly_ejected: false },
            );
            self.sum(server, as_it_is);
        }
    }

    /// Counts a live upstream in its cell and rooms or out of them, and what is out at it in any case.
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

    /// Drops upstreams that are gone, unless a request was sent there: whether it may be repeated elsewhere
    /// is judged by them. Tells of each what it had learned. Failure: where machines come and go, all there ever
    /// were stayed on every walk.
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
