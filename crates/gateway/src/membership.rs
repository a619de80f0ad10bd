//! Who the upstreams are, from lists that may come late, twice or out of their order: names become the module's
//! handles, and what each list changes is put into the module's terms. Pure; it closes nothing and asks nobody.

mod departed;
mod open_targets;
mod overlay;
mod record;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_policy::interface;
use hollowpaddle_policy::interface::{ListKind, ServerId};
use hollowpaddle_revision::rules::Place;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::time::Instant;

use crate::attempt::UpstreamTarget;
use crate::cluster::Held;
use crate::config::Config;
use crate::location::Location;
use crate::members::{Entry, List, Phase};
use crate::names::NameTable;
use crate::start_times::{Delivery, ListedStart, Reading, StartTimes};
use departed::Departed;
use open_targets::OpenTargets;
pub use overlay::Placed;
use overlay::{Overlay, Policy};
use record::{Known, Listing};

/// The upstreams that the list has named, by the module's handle. What a list costs goes by its entries, and what one
/// upstream costs in memory by its record: names are shared with the list that brought them.
pub struct Membership {
    ids: FxHashMap<Arc<str>, ServerId>,
    /// Boxed, since a hash table has room for up to twice its entries.
    targets: FxHashMap<ServerId, Box<Known>>,
    /// Of these, who is gone, until no attempt looks at it any more.
    gone: FxHashSet<ServerId>,
    /// A handle is never used twice, or news of one that is gone would be taken for another's.
    next: u32,
    /// The highest version that a list came with.
    newest: u64,
    departed: Departed,
    open: OpenTargets,
    overlay: Overlay,
    start_times: StartTimes,
    zones: NameTable,
    machine_types: NameTable,
    grace: Duration,
    /// Lists taken in so far.
    lists: u64,
}

/// So many handles are looked at for one part of the whole: the engine has others to serve in between.
const PART: u32 = 512;

/// A part of the list as it is known here.
pub struct Part {
    /// Who is on it.
    pub members: Vec<Entry>,
    /// Where the next part begins; nowhere, if this was the last.
    pub next: Option<u32>,
    /// The highest version that a list came with.
    pub revision: u64,
    /// How many lists have been taken in: whether this part is of the same whole as another.
    pub lists: u64,
}

/// What a list comes to.
pub struct ListChanges {
    /// What it is to the module.
    pub kind: ListKind,
    /// Who is on it, as far as it is news.
    pub members: Vec<interface::Member>,
    /// Upstreams that have another address now: what idles at the old one is of no use.
    pub moved: Vec<ServerId>,
}

impl Membership {
    /// Nobody yet. Sends to what drains or is gone end `grace` after the news; ages are told by `start_times`.
    pub fn new(config: &Config, grace: Duration, start_times: StartTimes) -> Self {
        let classes = config.facts.services.iter().map(|service| service.name.as_str().into());
        Self {
            ids: FxHashMap::default(),
            targets: FxHashMap::default(),
            gone: FxHashSet::default(),
            next: 0,
            newest: 0,
            departed: Departed::default(),
            open: OpenTargets::default(),
            overlay: Overlay::new(classes),
            start_times,
            zones: NameTable::new(&config.facts.zones),
            machine_types: NameTable::new(&config.facts.machine_types),
            grace,
            lists: 0,
        }
    }

    /// Where an upstream is, and until when it may be sent to.
    pub fn target(&self, server: ServerId) -> Option<Rc<UpstreamTarget>> {
        self.targets.get(&server).map(|k| k.target.clone())
    }

    /// Where what an upstream has done is remembered, by the last list that named it.
    pub fn location_of(&self, server: ServerId) -> Option<Location> {
        let listed = &self.targets.get(&server)?.listed;
        Some(Location { zone: listed.zone, cell: listed.cell })
    }

    /// Whether there is anybody to send to.
    pub fn any_open(&self) -> bool {
        self.open.is_any()
    }

    /// The highest version that a list came with.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// What the module is told of an upstream now, if it is known. One that a whole list left out is as it was before.
    pub fn member(&self, server: ServerId) -> Option<interface::Member> {
        let known = self.targets.get(&server)?;
        Some(self.overlay.apply(known.member(server), &self.place(known)))
    }

    /// The list as it is known, from this handle on; cordons are no part of it.
    pub fn part(&self, from: u32) -> Part {
        let end = from.saturating_add(PART);
        let handles = (from..end.min(self.next)).map(ServerId);
        let members = handles
            .filter(|id| !self.gone.contains(id))
            .filter_map(|id| self.targets.get(&id))
            .map(|known| self.entry(known))
            .collect();
        let next = (end < self.next).then_some(end);
        Part { members, next, revision: self.newest, lists: self.lists }
    }

    fn entry(&self, known: &Known) -> Entry {
        let listed = &known.listed;
        Entry {
            id: known.name.clone(),
            address: Some(known.target.address.get()),
            zone: self.zones.name(listed.zone).clone(),
            machine_type: self.machine_types.name(listed.machine_type).clone(),
            cell: listed.cell,
            phase: match listed.status {
                interface::Status::Live => Phase::Serving,
                interface::Status::Draining | interface::Status::Gone => Phase::Draining,
            },
            size: listed.weight,
            up_since_ms: listed.started.map_or(0.0, |(listed, _)| listed.milliseconds()),
        }
    }

    /// From here on versions are another discovery's.
    pub fn count_anew(&mut self) {
        self.newest = 0;
        self.departed = Departed::default();
        self.targets.values_mut().for_each(|k| k.revision = 0);
    }

    /// Whether a list has named this upstream. Of those that are gone only the last are remembered.
    pub fn has_named(&self, name: &str) -> bool {
        self.ids.contains_key(name)
            || self.departed.contains(name)
            || self.overlay.cordoned.contains(name)
    }

    /// From here on these are out by operators' hands, and no others: whom that changes, in the module's words.
    pub fn cordon(&mut self, names: &BTreeSet<String>, now: Instant) -> Vec<interface::Member> {
        let before = std::mem::replace(&mut self.overlay.cordoned, names.clone());
        let mut members = Vec::new();
        for name in before.symmetric_difference(names) {
            let Some(id) = self.ids.get(name.as_str()).copied() else { continue };
            if self.gone.contains(&id) {
                continue;
            }
            let Some(member) = self.member(id) else { continue };
            self.open_until(member, now + self.grace);
            members.push(member);
        }
        members
    }

    /// From here on these rules lie over lists and cordons: whom that changes, in the module's words. What they put out
    /// gets nothing more at once, also what waits for its connection.
    pub fn rule(&mut self, held: Held, now: Instant) -> Vec<interface::Member> {
        let is_restricted = held.stops.old && self.is_any_in_fallback(&held);
        let policy = Policy { held: Some(held), is_restricted };
        let before = std::mem::replace(&mut self.overlay.policy, policy);
        let mut members = Vec::new();
        for (id, known) in self.targets.iter().filter(|(id, _)| !self.gone.contains(id)) {
            let (listed, place) = (known.member(*id), self.place(known));
            let member = self.overlay.apply(listed, &place);
            if member != self.overlay.apply_under(&before, listed, &place) {
                members.push(member);
            }
        }
        // In the order of their handles, whatever that of the table is.
        members.sort_unstable_by_key(|m| m.id);
        members.iter().for_each(|member| self.open_until(*member, now));
        members
    }

    fn is_any_in_fallback(&self, held: &Held) -> bool {
        let known = self.targets.iter().filter(|(id, _)| !self.gone.contains(id));
        known.into_iter().any(|(_, known)| held.rules.floor().allows(&self.place(known)))
    }

    /// Sends to one that is not live for all end then.
    fn open_until(&mut self, member: interface::Member, until: Instant) {
        let Some(known) = self.targets.get(&member.id) else { return };
        match member.status {
            interface::Status::Live => self.open.open(&known.target),
            _ => self.open.close_by(&known.target, until),
        }
    }

    /// An upstream as rules know it and a class, to be held against rules later on.
    pub fn placed(&self, server: ServerId, class: usize) -> Option<Placed> {
        let known = self.targets.get(&server)?;
        Some(Placed {
            name: known.name.clone(),
            cell: known.listed.cell,
            machine_type: self.machine_types.name(known.listed.machine_type).clone(),
            zone: self.zones.name(known.listed.zone).clone(),
            class: self.overlay.classes.get(class)?.clone(),
        })
    }

    /// How rules know it.
    fn place<'a>(&'a self, known: &'a Known) -> Place<'a> {
        Place {
            name: &known.name,
            cell: known.listed.cell,
            machine_type: self.machine_types.name(known.listed.machine_type),
            zone: self.zones.name(known.listed.zone),
        }
    }

    /// Takes in a list.
    ///
    /// Failure: lists that came out of their order, a whole one as another replica still had it among them,
    /// undid the news of a drain, and requests went there for seconds (rehearsal sweep, seeds 77 and 136). An
    /// older list takes back nothing that a newer one said: of an upstream, only news that is no older than
    /// the last of it counts, and none is gone by being left out. Failure: nor did anybody come in by it, so that
    /// a newcomer that it alone named stayed unknown until something else about it changed.
    pub fn update(
        &mut self,
        list: &List,
        kind: ListKind,
        delivery: impl Into<Delivery>,
    ) -> ListChanges {
        let delivery = delivery.into();
        self.lists += 1;
        let older = list.revision < self.newest;
        self.newest = self.newest.max(list.revision);
        let kind = match kind {
            ListKind::Restored if older => ListKind::Aside,
            ListKind::Complete if older => ListKind::Update,
            kind => kind,
        };
        if older {
            let (newest, revision) = (self.newest, list.revision);
            tracing::warn!(newest, revision, "a list out of its order");
        }
        if !kind.is_part() {
            self.departed.raise_floor(list.revision);
        }
        let closed_from = delivery.at + self.grace;
        let reading = self.start_times.reading(delivery, &list.members);
        let members = Vec::with_capacity(list.members.len());
        let mut changes = ListChanges { kind, members, moved: Vec::new() };
        for entry in &list.members {
            self.take_entry(entry, list.revision, closed_from, &reading, &mut changes);
        }
        if !kind.is_part() {
            self.close_unnamed(closed_from);
        }
        changes
    }

    /// Takes in one entry of a list of this version.
    fn take_entry(
        &mut self,
        entry: &Entry,
        revision: u64,
        closed_from: Instant,
        reading: &Reading,
        changes: &mut ListChanges,
    ) {
        let known = self.ids.get(&entry.id).and_then(|id| self.targets.get(id));
        if known.is_some_and(|k| revision < k.revision) {
            return;
        }
        let is_deleted = entry.phase == Phase::Deleted;
        if known.is_none() && (is_deleted || self.departed.had_left(&entry.id, revision)) {
            if is_deleted {
                self.departed.remember(&entry.id, revision);
            }
            return;
        }
        // Without a valid address the last one stands: that it drains must not be lost with it.
        let last = known.map(|k| k.target.address.get());
        let Some(address) = entry.address.or(last) else {
            tracing::warn!(id = &*entry.id, "no valid address");
            return;
        };
        let listed = self.listing(entry, known.map(|known| &**known), reading);
        let id = self.id(entry, address, listed);
        if is_deleted {
            self.departed.remember(&entry.id, revision);
            self.gone.insert(id);
        } else {
            self.gone.remove(&id);
        }
        let Some(known) = self.targets.get_mut(&id) else { return };
        if known.target.address.replace(address) != address {
            changes.moved.push(id);
        }
        known.named_by = self.lists;
        known.revision = revision;
        known.listed = listed;
        let Some(member) = self.member(id) else { return };
        let Some(known) = self.targets.get(&id) else { return };
        match member.status {
            interface::Status::Live => self.open.open(&known.target),
            interface::Status::Draining | interface::Status::Gone => {
                self.open.close(&known.target, closed_from)
            }
        }
        changes.members.push(member);
    }

    /// Whom the last list, a whole one, left out is gone.
    fn close_unnamed(&mut self, closed_from: Instant) {
        for (id, known) in &self.targets {
            if known.named_by != self.lists {
                self.gone.insert(*id);
                self.open.close(&known.target, closed_from);
            }
        }
    }

    /// Drops what is gone and has no attempt left that looks at it; whom that leaves without a use for idle
    /// connections.
    pub fn forget(&mut self) -> Vec<ServerId> {
        let is_unused = |known: &Known| Rc::strong_count(&known.target) == 1;
        let unused = |id: &&ServerId| self.targets.get(id).is_none_or(|known| is_unused(known));
        let dropped: Vec<ServerId> = self.gone.iter().filter(unused).copied().collect();
        for id in &dropped {
            self.gone.remove(id);
            if let Some(known) = self.targets.remove(id) {
                self.ids.remove(&known.name);
                if let Some((start, _)) = known.listed.started {
                    self.start_times.departed(&known.name, start);
                }
            }
        }
        dropped
    }

    fn id(&mut self, entry: &Entry, address: SocketAddr, listed: Listing) -> ServerId {
        if let Some(id) = self.ids.get(&entry.id) {
            return *id;
        }
        let id = ServerId(self.next);
        self.next += 1;
        let name = entry.id.clone();
        self.ids.insert(name.clone(), id);
        let target = UpstreamTarget { address: Cell::new(address), closed_from: Cell::new(None) };
        let target = Rc::new(target);
        self.open.admit();
        let known = Known { name, target, listed, revision: 0, named_by: 0 };
        self.targets.insert(id, Box::new(known));
        id
    }

    fn listing(&self, entry: &Entry, known: Option<&Known>, reading: &Reading) -> Listing {
        let before = known.and_then(|known| known.listed.started);
        let believed = |start| self.start_times.believed(reading, &entry.id, start, before);
        Listing {
            weight: entry.size,
            started: ListedStart::of(entry).map(|start| (start, believed(start))),
            zone: self.zones.index(&entry.zone),
            machine_type: self.machine_types.index(&entry.machine_type),
            cell: entry.cell,
            status: match entry.phase {
                Phase::Serving => interface::Status::Live,
                Phase::Draining | Phase::Unknown => interface::Status::Draining,
                Phase::Deleted => interface::Status::Gone,
            },
        }
    }
}

#[cfg(test)]
mod tests;
