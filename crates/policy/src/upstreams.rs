//! The fleet as the module keeps it: who is there, where each lies on the ring, in which sums and trees each stands.
//! Keeps books and answers questions at a cost that does not grow with the fleet; decides nothing.

use std::hint::black_box;
use std::ops::Range;
use std::sync::Arc;

use hollowpaddle_ordered_collections::ring::{Place, Ring};
use hollowpaddle_ordered_collections::timers::Timers;
use hollowpaddle_ordered_collections::tournament::Key;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::breakers::{Breaker, ClassBreakers};
use crate::capacity::{Capacity, RoomList, Rooms, ShutClass};
use crate::chunked::Chunked;
use crate::estimate::Estimate;
use crate::interface::*;
use crate::machine_types::MachineTypes;
use crate::request_state::Bound;

/// Points of the proxies on the ring: multiples of the golden ratio are even for any run and every n-th.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// One upstream: what the list says of it, and what the module knows and believes.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    /// Its machine type as the list has it, and the number under which figures of it are kept.
    kind: u32,
    pub(crate) kept_kind: u32,
    pub(crate) cell: u32,
    /// Its index among the live ones of its cell.
    cell_index: u32,
    pub(crate) status: Status,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) barred: u64,
    pub(crate) identity: u64,
    pub(crate) in_flight: u32,
    /// When that last changed.
    pub(crate) changed: Time,
    /// How many were out, as its last answer was booked; 0 if something was sent since.
    pub(crate) done_at: u32,
    /// Turned away or out of reach; and, class by class, unanswered or in error.
    pub(crate) breaker: Breaker,
    pub(crate) by_class: ClassBreakers,
    /// When the latest-sent of its answered attempts was sent.
    pub(crate) answered: Time,
    pub(crate) est: Estimate,
    /// K_i and N_i per unit of time as of its last answer or sweep, and its cost then.
    pub(crate) k: f64,
    pub(crate) n: f64,
    pub(crate) cost: f64,
    /// Sends a young upstream may still get, and when that was last reckoned.
    pub(crate) tokens: f64,
    pub(crate) refilled: Time,
    /// Lanes more or fewer than its kind has, by way of trial.
    pub(crate) trial: i32,
    /// How far from this proxy's own part of the fleet, in such parts.
    pub(crate) reach: f64,
    /// Until when idle connections are closed again and again, where a rule asks for it.
    pub(crate) close_until: Time,
    /// Attempts of live requests that went there.
    pub(crate) refs: u32,
    rooms: RoomList,
    /// Whether K_i and N_i are in the sums of its rooms, and its weight in that of its kind as warm.
    is_summed: bool,
    is_warm: bool,
    /// Whether some class was shut when it last stood.
    is_spotted: bool,
    /// Whether it last stood with a free slot, and its cost then.
    has_stood_free: bool,
    cost_stood: f64,
}

impl Server {
    /// The least wins: by cost, and by identity where that is the same.
    pub(crate) fn key(&self) -> Key {
        Key::of(self.cost, self.identity)
    }
}

/// What an entry of a list changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) server: usize,
    /// Its state before; `None` if it was not known.
    pub(crate) was: Option<Status>,
    /// It says that it has started since.
    pub(crate) restarted: bool,
}

/// How an upstream stands now.
pub(crate) struct Standing {
    /// Its key if it has a free slot and does not rest, else [`Key::OUT`].
    pub(crate) key: Key,
    /// Counted among the warm ones.
    pub(crate) warm: bool,
    /// Whether some class is shut to it.
    pub(crate) spotted: bool,
}

/// All upstreams.
#[derive(Debug)]
pub(crate) struct Upstreams {
    settings: Arc<Settings>,
    /// Proxies that send to each upstream known here: all of the bank, unless each has a part of the fleet.
    pub(crate) sharers: f64,
    /// By slot. A slot is its upstream's until that is gone and nothing was sent there that still lives.
    pub(crate) servers: Chunked<Server>,
    vacant: Vec<usize>,
    departed: Vec<usize>,
    pub(crate) by_id: FxHashMap<ServerId, u32>,
    /// Live ones as they lie on the ring, each zone's on its own where crossing has a price; and by cell.
    pub(crate) ring: Ring,
    cells: FxHashMap<(u32, u32), Vec<u32>>,
    /// Whether keys bind some class to a zone: trees are kept by zone then.
    zoned: bool,
    pub(crate) rooms: Rooms,
    /// Classes that some upstream is shut to.
    shut: FxHashMap<u32, ShutClass>,
    pub(crate) kinds: MachineTypes,
    /// When one that rests is to be looked at again.
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
            rooms: Rooms::new(&settings),
            shut: FxHashMap::default(),
            kinds: MachineTypes::new(&settings),
            timers: Timers::default(),
            sharers: f64::from(settings.balancers),
            settings,
        }
    }

    /// Whether an upstream is of a zone and kind that a class is bound to, and the class not kept from it.
    pub(crate) fn is_open(&self, class: usize, s: &Server) -> bool {
        s.rooms.binary_search(&self.rooms.room_of(class)).is_ok()
    }

    /// The rooms that an upstream belongs to.
    fn rooms_of(&self, s: &Server) -> RoomList {
        self.rooms.of_upstream(s.kind, |class| {
            let c = &self.settings.classes[class];
            !(self.settings.barring && bars(s.barred, class))
                && c.zones.as_ref().is_none_or(|z| z.contains(&s.zone))
                && c.kinds.as_ref().is_none_or(|k| k.contains(&s.kind))
        })
    }

    pub(crate) fn in_bound(&self, bound: Bound, server: usize) -> bool {
        let s = &self.servers[server];
        match bound {
            Bound::Any => true,
            Bound::Zone(zone) => s.zone == zone,
            Bound::Cell(zone, cell) => (s.zone, s.cell) == (zone, cell),
        }
    }

    fn area(&self, zone: u32) -> u32 {
        if self.zoned { zone } else { 0 }
    }

    // ------------------------------------------------------------ who stands where

    /// Books how an upstream stands.
    pub(crate) fn stand(&mut self, now: Time, server: usize, standing: Standing) {
        let area = self.area(self.servers[server].zone);
        let s = &mut self.servers[server];
        if std::mem::replace(&mut s.is_warm, standing.warm) != standing.warm {
            self.kinds.change_warm(s.kept_kind, s.weight, standing.warm);
        }
        let was_spotted = std::mem::replace(&mut s.is_spotted, standing.spotted);
        let is_free = standing.key != Key::OUT;
        let was_free = std::mem::replace(&mut s.has_stood_free, is_free);
        let cost_stood = std::mem::replace(&mut s.cost_stood, s.cost);
        let stands_alike = is_free == was_free && (!is_free || s.cost == cost_stood);
        if stands_alike && !was_spotted && !standing.spotted {
            return;
        }
        let (clear, spotted) =
            if standing.spotted { (Key::OUT, standing.key) } else { (standing.key, Key::OUT) };
        for &number in &s.rooms {
            let Some(room) = self.rooms.get_mut(number) else { continue };
            let trees = room.trees.get_mut(area);
            trees.clear.set(server, clear);
            trees.spotted.set(server, spotted);
        }
        if was_spotted || standing.spotted {
            self.count_shut(now, server);
            self.stand_by_class(now, server, spotted);
        }
    }

    /// Counts an upstream with the classes that it is shut to, and no longer with those that it was.
    fn count_shut(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        let shut = s.by_class.shut(now).map(|b| b.class).filter(|_| s.is_spotted);
        let shut: Vec<u32> = shut.filter(|class| self.is_open(*class as usize, s)).collect();
        for &class in &shut {
            let room = self.rooms.of_class_mut(class as usize);
            let new = || {
                room.shut_classes.push(class);
                ShutClass::new(room)
            };
            self.shut.entry(class).or_insert_with(new).count += 1;
        }
        for class in self.servers[server].by_class.count(shut) {
            if let Some(of) = self.shut.get_mut(&class) {
                of.count -= 1;
            }
        }
    }

    /// Puts an upstream into the trees of the classes that some upstream is shut to.
    fn stand_by_class(&mut self, now: Time, server: usize, key: Key) {
        let area = self.area(self.servers[server].zone);
        let s = &self.servers[server];
        for &number in &s.rooms {
            let Some(room) = self.rooms.get_mut(number) else { continue };
            for class in &room.shut_classes {
                let Some(of) = self.shut.get_mut(class) else { continue };
                let key = of.key(key, s.by_class.is_shut(now, *class as usize));
                of.open.get_mut(area).set(server, key);
            }
        }
    }

    /// Whether so much of a class's room is shut to it that it is open to it all the same.
    pub(crate) fn is_panicking(&self, class: usize) -> bool {
        self.shut.get(&(class as u32)).is_some_and(|of| of.is_panicking)
    }

    /// Looks anew at which classes are shut by more than this share of their rooms.
    pub(crate) fn refresh_panic(&mut self, share: f64) {
        let rooms = &mut self.rooms;
        self.shut.retain(|class, of| {
            let room = rooms.of_class_mut(*class as usize);
            of.is_panicking = of.count as f64 > room.live as f64 * share;
            if of.count == 0 {
                room.shut_classes.retain(|c| c != class);
            }
            of.count > 0
        });
    }

    /// Brings K_i and N_i of an upstream up to date, and the sums of its rooms; these only while it is live.
    pub(crate) fn sum(&mut self, server: usize, now: Capacity) {
        let s = &mut self.servers[server];
        let was = Capacity { k: s.k, n: s.n };
        (s.k, s.n) = (now.k, now.n);
        let is_live = s.status == Status::Live;
        let was_summed = std::mem::replace(&mut s.is_summed, is_live);
        let (was, now) = (Some(was).filter(|_| was_summed), Some(now).filter(|_| is_live));
        if was != now {
            self.rooms.sum(&s.rooms, was, now);
        }
    }

    /// Of those that stood with a free slot for this class, the one with the least key.
    pub(crate) fn best(&mut self, class: usize, bound: Bound, without: &[usize]) -> Option<usize> {
        let area = match bound {
            Bound::Zone(zone) => Some(self.area(zone)),
            _ => None,
        };
        let by_class = self.shut.get_mut(&(class as u32));
        let is_shut_somewhere = by_class.is_some();
        let trees = self.rooms.of_class_mut(class).trees.within(area);
        let in_room = trees.filter_map(|trees| {
            let clear = trees.clear.best_without(without);
            let spotted = &mut trees.spotted;
            let spotted = if is_shut_somewhere { None } else { spotted.best_without(without) };
            clear.into_iter().chain(spotted).min()
        });
        let by_class = by_class.into_iter().flat_map(|of| of.open.within(area));
        let open = by_class.filter_map(|tree| tree.best_without(without));
        in_room.chain(open).min().map(|(_, server)| server)
    }

    /// The live ones of a cell.
    pub(crate) fn cell(&self, zone: u32, cell: u32) -> impl Iterator<Item = usize> {
        self.cells.get(&(zone, cell)).into_iter().flatten().map(|slot| *slot as usize)
    }

    /// Whether there is a live one within bounds that a class may be sent to, beside these.
    pub(crate) fn any(&self, class: usize, bound: Bound, beside: &[usize]) -> bool {
        let open = |i: &usize| {
            let s = &self.servers[*i];
            s.status == Status::Live && self.is_open(class, s) && self.in_bound(bound, *i)
        };
        match bound {
            Bound::Any => {
                let taken = beside.iter().filter(|i| open(i)).collect::<FxHashSet<_>>().len();
                self.rooms.of_class(class).live > taken
            }
            Bound::Cell(zone, cell) => {
                self.cell(zone, cell).any(|i| open(&i) && !beside.contains(&i))
            }
            Bound::Zone(_) => {
                let mut all = (0..self.ring.len()).map(|j| self.ring.at(j).slot);
                all.any(|i| open(&i) && !beside.contains(&i))
            }
        }
    }

    /// Takes or frees slots of an upstream, in every room that it belongs to.
    pub(crate) fn count_in_flight(&mut self, server: usize, change: i32) {
        let s = &mut self.servers[server];
        s.in_flight = s.in_flight.saturating_add_signed(change);
        self.rooms.count(&s.rooms, 0, change as isize);
    }

    /// Live ones, and how many of them do not rest.
    pub(crate) fn standing(&self, now: Time) -> (usize, usize) {
        let all = (0..self.ring.len()).map(|j| &self.servers[self.ring.at(j).slot]);
        (self.ring.len(), all.filter(|s| now >= s.breaker.until).count())
    }

    /// Reads what a sweep over these upstreams needs. The processor overlaps reads that do not depend on each other, so
    /// that a large fleet, which no cache holds, is swept at little more than the cost of a small one.
    pub(crate) fn preload(&self, slots: &[usize]) {
        for &slot in slots {
            let s = &self.servers[slot];
            black_box((s.weight, s.refilled, s.k, s.close_until, s.status));
        }
        for &slot in slots {
            self.rooms.preload(&self.servers[slot].rooms);
        }
    }

    // ------------------------------------------------------------ the ring

    fn priced(&self) -> bool {
        self.settings.prices.cross_zone > 0.0
    }

    fn place_of(&self, server: usize) -> Place {
        let s = &self.servers[server];
        let part = if self.priced() { s.zone } else { 0 };
        Place { part, name: s.identity, slot: server }
    }

    /// Where a live upstream lies, if it does, and its part of the ring.
    pub(crate) fn find(&self, server: usize) -> Option<(usize, Range<usize>)> {
        let place = self.place_of(server);
        Some((self.ring.find(place)?, self.ring.part(place.part)))
    }

    /// The part of the ring that this proxy stands on.
    pub(crate) fn own_part(&self) -> Range<usize> {
        self.ring.part(if self.priced() { self.settings.zone } else { 0 })
    }

    /// How far the upstream at this index of its part of the ring lies from this proxy's own point there, in even
    /// parts of the bank. One across zones, where crossing has a price, is `far` farther. The points of any run of
    /// proxies, or of every n-th, are spread evenly (multiples of the golden ratio).
    pub(crate) fn reach(&self, index: usize, part: &Range<usize>, far: f64) -> f64 {
        let (own, banks) = self.point();
        let d = (((index - part.start) as f64 + 0.5) / part.len() as f64 - own).abs();
        let across = self.priced() && self.ring.at(index).part != self.settings.zone;
        d.min(1.0 - d) * banks + if across { far } else { 0.0 }
    }

    /// Where on each part of the ring this proxy's own point lies, from 0 to 1, and how many proxies share a part.
    fn point(&self) -> (f64, f64) {
        let s = &self.settings;
        let zones = if self.priced() { f64::from(s.zones.max(1)) } else { 1.0 };
        ((f64::from(s.position) * GOLDEN).fract(), (self.sharers / zones).max(1.0))
    }

    /// The indexes of this part of the ring that may lie within so many even parts of this proxy's own point, in
    /// order: those that do, and a few beside them.
    pub(crate) fn near(
        &self,
        part: &Range<usize>,
        reach: f64,
    ) -> impl Iterator<Item = usize> + Clone + use<> {
        let (own, banks) = self.point();
        let all = part.len() as f64;
        let (first, last) = ((own - reach / banks) * all - 2.0, (own + reach / banks) * all + 2.0);
        // What runs over one end of the ring goes on at the other.
        let (first, last) = if last - first >= all { (0.0, all) } else { (first, last) };
        let clip = |from: f64, to: f64| {
            let at = |x: f64| part.start + x.clamp(0.0, all) as usize;
            at(from)..at(to.ceil())
        };
        let (before, behind) = (clip(0.0, last - all), clip(first + all, all));
        before.chain(clip(first, last)).chain(behind)
    }

    // ------------------------------------------------------------ the list

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
        s.kept_kind = self.kinds.enter(m.kind);
        let rooms = self.rooms_of(&self.servers[server]);
        self.servers[server].rooms = rooms;
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
            kept_kind: 0,
            cell: m.cell,
            cell_index: 0,
            status: Status::Gone,
            weight: 1.0,
            started: None,
            barred: 0,
            identity: m.identity,
            in_flight: 0,
            changed: now,
            done_at: 0,
            breaker: Breaker::default(),
            by_class: ClassBreakers::default(),
            answered: Time(i64::MIN),
            est: Estimate::NONE,
            k: 1.0,
            n: 0.0,
            cost: 0.0,
            tokens: 0.0,
            refilled: now,
            trial: 0,
            reach: 0.0,
            close_until: now,
            refs: 0,
            rooms: RoomList::default(),
            is_summed: false,
            is_warm: false,
            is_spotted: false,
            has_stood_free: false,
            cost_stood: 0.0,
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
            self.stand(now, server, Standing { key: Key::OUT, warm: false, spotted: false });
            self.sum(server, as_it_is);
        }
    }

    /// Counts a live upstream in its cell and rooms or out of them, and what is out at it in any case.
    fn enlist(&mut self, server: usize, change: isize) {
        let s = &self.servers[server];
        let live = if s.status == Status::Live { change } else { 0 };
        self.rooms.count(&s.rooms, live, change * s.in_flight as isize);
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
            if now < s.close_until || s.refs > 0 {
                self.departed.push(i);
                continue;
            }
            dropped(&s.est);
            self.by_id.remove(&s.id);
            self.vacant.push(i);
        }
    }
}

impl Server {
    /// As the list named it.
    fn member(&self) -> Member {
        Member {
            id: self.id,
            identity: self.identity,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            status: self.status,
            weight: self.weight,
            started: self.started,
            barred: self.barred,
        }
    }
}

/// Whether the bit of a class is set. There is none for the 65th: nothing is kept from it here.
fn bars(barred: u64, class: usize) -> bool {
    u32::try_from(class).ok().and_then(|c| barred.checked_shr(c)).is_some_and(|b| b & 1 == 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// So many live upstreams, as the proxy at this position of a bank sees them.
    fn upstreams(n: u32, balancers: u32, position: u32, priced: bool) -> Upstreams {
        let class = Class::safe(Span(1000), Span(2000));
        let mut settings = Settings::basic(vec![class]);
        (settings.balancers, settings.position) = (balancers, position);
        (settings.zones, settings.zone) = (2, 1);
        settings.prices.cross_zone = if priced { 0.1 } else { 0.0 };
        let mut up = Upstreams::new(Arc::new(settings));
        let name = |i: u32| u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let member = |i| Member { zone: i % 2, identity: name(i), ..Member::live(ServerId(i)) };
        up.list(Time(0), ListKind::Complete, &(0..n).map(member).collect::<Vec<_>>());
        up
    }

    #[test]
    fn whoever_lies_near_is_found_without_a_look_at_all() {
        for n in [0, 1, 2, 7, 64, 1000] {
            for balancers in [1, 2, 3, 36, 300] {
                for position in 0..balancers.min(40) {
                    for priced in [false, true] {
                        let up = upstreams(n, balancers, position, priced);
                        let part = up.own_part();
                        let close = |j: &usize| up.reach(*j, &part, 1.0) <= 0.5;
                        let all: Vec<usize> = part.clone().filter(close).collect();
                        let near: Vec<usize> = up.near(&part, 0.5).collect();
                        let found: Vec<usize> = near.iter().copied().filter(close).collect();
                        assert_eq!(found, all, "{n} before {position} of {balancers}");
                        assert!(near.len() <= all.len() + 8, "{} for {}", near.len(), all.len());
                    }
                }
            }
        }
    }
}
