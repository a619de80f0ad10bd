//! Which upstreams there are, by endpoint lists that may come late, twice or out of order: names become the handles of the
//! decision module, and what each list changes is put into the module's terms. Pure; connections are left to the engine.

mod departed;
mod list_update;
mod open_targets;
mod overlay;
mod record;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status};
use hollowpaddle_revision::rules::Place as RulesPlace;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::time::Instant;

use crate::attempt::UpstreamTarget;
use crate::cluster::PolicySnapshot;
use crate::config::Config;
use crate::location::Location;
use crate::members::{Entry, Phase};
use crate::names::NameTable;
use crate::start_times::StartTimes;
use departed::Departed;
use open_targets::OpenTargets;
pub use overlay::Route;
use overlay::{Overlay, Policy};
use record::UpstreamRecord;

/// The upstreams that lists have named, by their handles.
///
/// The time that a list takes is proportional to its entries, and the memory to the upstreams: names are shared with the list
/// that brought them.
pub struct Membership {
    handles: FxHashMap<Arc<str>, ServerId>,
    /// Boxed, since a hash table has capacity for up to twice its entries.
    records: FxHashMap<ServerId, Box<UpstreamRecord>>,
    /// Those of them that are gone, until no attempt uses them any more.
    gone: FxHashSet<ServerId>,
    /// A handle is never used twice, or an event of an upstream that is gone would be taken for another's.
    next_handle: u32,
    /// The highest version that a list came with.
    newest_revision: u64,
    departed: Departed,
    open_targets: OpenTargets,
    overlay: Overlay,
    start_times: StartTimes,
    zones: NameTable,
    machine_types: NameTable,
    /// How long sends to a draining upstream go on after the notice.
    grace: Duration,
    /// The number of lists applied so far.
    lists_received: u64,
}

/// How many handles one [`Part`] covers: the engine has others to serve between two parts.
const HANDLES_PER_PART: u32 = 512;

/// A part of the endpoint list, as it is known here.
pub struct Part {
    /// The entries.
    pub members: Vec<Entry>,
    /// The handle at which the next part begins; nothing, if this is the last.
    pub next: Option<u32>,
    /// The highest version that a list came with.
    pub revision: u64,
    /// How many lists were applied: parts with the same number are of the same list.
    pub lists: u64,
}

/// What a list changes.
pub struct ListChanges {
    /// The kind of list that it is to the decision module.
    pub kind: ListKind,
    /// The upstreams whose entries were applied.
    pub members: Vec<Member>,
    /// Upstreams that have another address now. Idle connections to the old one are of no use.
    pub moved: Vec<ServerId>,
}

impl Membership {
    /// No upstreams yet. Sends to one that is draining or gone end `grace` after the notice. `start_times` corrects the times of
    /// start that lists give.
    pub fn new(config: &Config, grace: Duration, start_times: StartTimes) -> Self {
        let classes = config.facts.services.iter().map(|service| service.name.as_str().into());
        Self {
            handles: FxHashMap::default(),
            records: FxHashMap::default(),
            gone: FxHashSet::default(),
            next_handle: 0,
            newest_revision: 0,
            departed: Departed::default(),
            open_targets: OpenTargets::default(),
            overlay: Overlay::new(classes),
            start_times,
            zones: NameTable::new(&config.facts.zones),
            machine_types: NameTable::new(&config.facts.machine_types),
            grace,
            lists_received: 0,
        }
    }

    /// Where an upstream is, and until when it may be sent to.
    pub fn target(&self, server: ServerId) -> Option<Rc<UpstreamTarget>> {
        self.records.get(&server).map(|k| k.target.clone())
    }

    /// Where an upstream runs, by the last list that named it.
    pub fn location_of(&self, server: ServerId) -> Option<Location> {
        let listed = &self.records.get(&server)?.listing;
        Some(Location { zone: listed.zone, cell: listed.cell })
    }

    /// Whether there is an upstream to send to.
    pub fn any_open(&self) -> bool {
        self.open_targets.is_any()
    }

    /// The highest version that a list came with.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// What the decision module is told of an upstream now, if it is known. One that a complete list left out is as before.
    pub fn member(&self, server: ServerId) -> Option<Member> {
        let known = self.records.get(&server)?;
        Some(self.overlay.apply(known.member(server), &self.place(known)))
    }

    /// The part of the list that begins at handle `from`. Cordons are no part of it.
    pub fn part(&self, from: u32) -> Part {
        let end = from.saturating_add(HANDLES_PER_PART);
        let handles = (from..end.min(self.next_handle)).map(ServerId);
        let members = handles
            .filter(|id| !self.gone.contains(id))
            .filter_map(|id| self.records.get(&id))
            .map(|known| self.entry(known))
            .collect();
        let next = (end < self.next_handle).then_some(end);
        Part { members, next, revision: self.newest_revision, lists: self.lists_received }
    }

    fn entry(&self, known: &UpstreamRecord) -> Entry {
        let listed = &known.listing;
        Entry {
            id: known.name.clone(),
            address: Some(known.target.address.get()),
            zone: self.zones.name(listed.zone).clone(),
            machine_type: self.machine_types.name(listed.machine_type).clone(),
            cell: listed.cell,
            phase: match listed.status {
                Status::Live => Phase::Serving,
                Status::Draining | Status::Gone => Phase::Draining,
            },
            size: listed.weight,
            up_since_ms: listed.started.map_or(0.0, |(listed, _)| listed.milliseconds()),
        }
    }

    /// From here on lists are numbered anew, by another discovery.
    pub fn restart_versions(&mut self) {
        self.newest_revision = 0;
        self.departed = Departed::default();
        self.records.values_mut().for_each(|k| k.revision = 0);
    }

    /// Whether a list has named this upstream. Of those that are gone only the latest are remembered.
    pub fn has_named(&self, name: &str) -> bool {
        self.handles.contains_key(name)
            || self.departed.contains(name)
            || self.overlay.cordoned.contains(name)
    }

    /// Cordons the upstreams of these names, and no others. Returns those that this changes.
    pub fn cordon(&mut self, names: &BTreeSet<String>, now: Instant) -> Vec<Member> {
        let before = std::mem::replace(&mut self.overlay.cordoned, names.clone());
        let mut members = Vec::new();
        for name in before.symmetric_difference(names) {
            let Some(id) = self.handles.get(name.as_str()).copied() else { continue };
            if self.gone.contains(&id) {
                continue;
            }
            let Some(member) = self.member(id) else { continue };
            self.open_until(member, now + self.grace);
            members.push(member);
        }
        members
    }

    /// Applies a routing policy over lists and cordons. Returns the upstreams that this changes.
    ///
    /// An upstream that it excludes gets nothing more at once, not even an attempt that waits for its connection.
    pub fn apply_policy(&mut self, snapshot: PolicySnapshot, now: Instant) -> Vec<Member> {
        let is_restricted = snapshot.stops.old && self.is_any_in_fallback(&snapshot);
        let policy = Policy { snapshot: Some(snapshot), is_restricted };
        let before = std::mem::replace(&mut self.overlay.policy, policy);
        let mut members = Vec::new();
        for (id, known) in self.records.iter().filter(|(id, _)| !self.gone.contains(id)) {
            let (listed, place) = (known.member(*id), self.place(known));
            let member = self.overlay.apply(listed, &place);
            if member != self.overlay.apply_under(&before, listed, &place) {
                members.push(member);
            }
        }
        // Not in the order of the table, which differs between runs.
        members.sort_unstable_by_key(|m| m.id);
        members.iter().for_each(|member| self.open_until(*member, now));
        members
    }

    fn is_any_in_fallback(&self, snapshot: &PolicySnapshot) -> bool {
        let known = self.records.iter().filter(|(id, _)| !self.gone.contains(id));
        known.into_iter().any(|(_, known)| snapshot.rules.floor().allows(&self.place(known)))
    }

    /// Ends sends to an upstream at `until`, unless it is live.
    fn open_until(&mut self, member: Member, until: Instant) {
        let Some(known) = self.records.get(&member.id) else { return };
        match member.status {
            Status::Live => self.open_targets.open(&known.target),
            _ => self.open_targets.close_by(&known.target, until),
        }
    }

    /// An upstream and a class, to be checked against a policy later on.
    pub fn route(&self, server: ServerId, class: usize) -> Option<Route> {
        let known = self.records.get(&server)?;
        Some(Route {
            name: known.name.clone(),
            cell: known.listing.cell,
            machine_type: self.machine_types.name(known.listing.machine_type).clone(),
            zone: self.zones.name(known.listing.zone).clone(),
            class: self.overlay.classes.get(class)?.clone(),
        })
    }

    /// An upstream as policies see it.
    fn place<'a>(&'a self, known: &'a UpstreamRecord) -> RulesPlace<'a> {
        RulesPlace {
            name: &known.name,
            cell: known.listing.cell,
            machine_type: self.machine_types.name(known.listing.machine_type),
            zone: self.zones.name(known.listing.zone),
        }
    }
}

#[cfg(test)]
mod tests;
