//! The set of upstreams, by endpoint lists that may arrive late, twice or out of order. Maps names to the handles of the
//! decision module, and converts each list into changes for that module. The functions are pure; the engine manages
//! connections.

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

/// The upstreams that endpoint lists have named, by handle.
///
/// Applying a list takes time proportional to its entries. Memory is proportional to the number of upstreams, since names
/// are shared with the entries of the list.
pub struct Membership {
    handles: FxHashMap<Arc<str>, ServerId>,
    /// Records are boxed, because a hash table has capacity for up to twice its entries.
    records: FxHashMap<ServerId, Box<UpstreamRecord>>,
    /// Upstreams in `records` that are gone but may still be in use by an attempt.
    gone: FxHashSet<ServerId>,
    /// The next unused handle. Handles are never reused, or an event of a departed upstream would be attributed to another
    /// upstream.
    next_handle: u32,
    /// The highest version of a list so far.
    newest_revision: u64,
    departed: Departed,
    open_targets: OpenTargets,
    overlay: Overlay,
    start_times: StartTimes,
    zones: NameTable,
    machine_types: NameTable,
    /// Time after the notice of a drain during which requests are still sent to the upstream.
    grace: Duration,
    /// Number of lists applied so far.
    lists_received: u64,
}

/// Number of handles that one [`ListPart`] covers. The engine serves other tasks between two parts.
const HANDLES_PER_PART: u32 = 512;

/// A part of the current endpoint list.
pub struct ListPart {
    /// The entries of this part.
    pub members: Vec<Entry>,
    /// The handle at which the next part begins; `None` for the last part.
    pub next: Option<u32>,
    /// The highest version of a list so far.
    pub revision: u64,
    /// Number of lists applied so far. Parts with the same number belong to the same state of the list.
    pub lists: u64,
}

/// The changes that a list makes.
pub struct ListChanges {
    /// The kind of the list for the decision module.
    pub kind: ListKind,
    /// The upstreams whose entries were applied.
    pub members: Vec<Member>,
    /// Upstreams whose address has changed, so that idle connections to the old address have to be closed.
    pub moved: Vec<ServerId>,
}

impl Membership {
    /// Creates a membership without upstreams. Sends to an upstream that is draining or gone end `grace` after the notice.
    /// `start_times` corrects the start times in lists.
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

    /// Returns the address of an upstream and the time at which sends to it end.
    pub fn target(&self, server: ServerId) -> Option<Rc<UpstreamTarget>> {
        self.records.get(&server).map(|k| k.target.clone())
    }

    /// Returns the zone and cell of an upstream, by the last list that named it.
    pub fn location_of(&self, server: ServerId) -> Option<Location> {
        let listed = &self.records.get(&server)?.listing;
        Some(Location { zone: listed.zone, cell: listed.cell })
    }

    /// Returns whether requests may be sent to any upstream.
    pub fn any_open(&self) -> bool {
        self.open_targets.is_any()
    }

    /// Returns the highest version of a list so far.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Returns an upstream's current description for the decision module, if the upstream is known. An upstream missing from
    /// a complete list keeps the status from its last entry.
    pub fn member(&self, server: ServerId) -> Option<Member> {
        let record = self.records.get(&server)?;
        Some(self.overlay.apply(record.member(server), &self.place(record)))
    }

    /// Returns the part of the endpoint list that begins at handle `from`, without cordons.
    pub fn list_part(&self, from: u32) -> ListPart {
        let end = from.saturating_add(HANDLES_PER_PART);
        let handles = (from..end.min(self.next_handle)).map(ServerId);
        let members = handles
            .filter(|id| !self.gone.contains(id))
            .filter_map(|id| self.records.get(&id))
            .map(|record| self.entry(record))
            .collect();
        let next = (end < self.next_handle).then_some(end);
        ListPart { members, next, revision: self.newest_revision, lists: self.lists_received }
    }

    fn entry(&self, record: &UpstreamRecord) -> Entry {
        let listed = &record.listing;
        Entry {
            id: record.name.clone(),
            address: Some(record.target.address.get()),
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

    /// Restarts the versions of lists, because another discovery server assigns them from now on.
    pub fn restart_versions(&mut self) {
        self.newest_revision = 0;
        self.departed = Departed::default();
        self.records.values_mut().for_each(|k| k.revision = 0);
    }

    /// Returns whether a list or a cordon has named this upstream. Only the most recently removed upstreams are remembered.
    pub fn has_named(&self, name: &str) -> bool {
        self.handles.contains_key(name)
            || self.departed.contains(name)
            || self.overlay.cordoned.contains(name)
    }

    /// Cordons exactly the upstreams with these names, and uncordons all others. Returns the changed upstreams.
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

    /// Applies a routing policy, which overrides lists and cordons. Returns the changed upstreams.
    ///
    /// Sends to an upstream that the policy excludes end at once, even for an attempt that waits for its connection.
    pub fn apply_policy(&mut self, snapshot: PolicySnapshot, now: Instant) -> Vec<Member> {
        let is_restricted = snapshot.stops.is_list_stale && self.is_any_in_fallback(&snapshot);
        let policy = Policy { snapshot: Some(snapshot), is_restricted };
        let before = std::mem::replace(&mut self.overlay.policy, policy);
        let mut members = Vec::new();
        for (id, record) in self.records.iter().filter(|(id, _)| !self.gone.contains(id)) {
            let (listed, place) = (record.member(*id), self.place(record));
            let member = self.overlay.apply(listed, &place);
            if member != self.overlay.apply_under(&before, listed, &place) {
                members.push(member);
            }
        }
        // Sorted, because the order of the hash table differs between runs.
        members.sort_unstable_by_key(|m| m.id);
        members.iter().for_each(|member| self.open_until(*member, now));
        members
    }

    fn is_any_in_fallback(&self, snapshot: &PolicySnapshot) -> bool {
        let mut records = self.records.iter().filter(|(id, _)| !self.gone.contains(id));
        records.any(|(_, record)| snapshot.rules.floor().allows(&self.place(record)))
    }

    /// Ends sends to an upstream at `until`, unless the upstream is live.
    fn open_until(&mut self, member: Member, until: Instant) {
        let Some(record) = self.records.get(&member.id) else { return };
        match member.status {
            Status::Live => self.open_targets.open(&record.target),
            _ => self.open_targets.close_by(&record.target, until),
        }
    }

    /// Returns the combination of an upstream and a class, for later checks against a policy.
    pub fn route(&self, server: ServerId, class: usize) -> Option<Route> {
        let record = self.records.get(&server)?;
        Some(Route {
            name: record.name.clone(),
            cell: record.listing.cell,
            machine_type: self.machine_types.name(record.listing.machine_type).clone(),
            zone: self.zones.name(record.listing.zone).clone(),
            class: self.overlay.classes.get(class)?.clone(),
        })
    }

    /// Returns an upstream's description for routing policies.
    fn place<'a>(&'a self, record: &'a UpstreamRecord) -> RulesPlace<'a> {
        RulesPlace {
            name: &record.name,
            cell: record.listing.cell,
            machine_type: self.machine_types.name(record.listing.machine_type),
            zone: self.zones.name(record.listing.zone),
        }
    }
}

#[cfg(test)]
mod tests;
