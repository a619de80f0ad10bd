//! Applies an endpoint list: decides which entries are current, and adds, changes and removes upstreams.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status};
use tokio::time::Instant;

use super::record::{Listing, UpstreamRecord};
use super::{ListChanges, Membership};
use crate::attempt::UpstreamTarget;
use crate::members::{Entry, List, Phase};
use crate::start_times::{Delivery, ListCorrection, ListedStart};

impl Membership {
    /// Applies a list.
    ///
    /// A list that is older than another must not undo the notice of a drain. For each upstream, only an entry that is no
    /// older than the last applied one is used, and an older list removes no upstream that it does not name. An upstream
    /// that only an older list names is added.
    pub fn update(
        &mut self,
        list: &List,
        kind: ListKind,
        delivery: impl Into<Delivery>,
    ) -> ListChanges {
        let delivery = delivery.into();
        self.lists_received += 1;
        let is_older = list.revision < self.newest_revision;
        self.newest_revision = self.newest_revision.max(list.revision);
        let kind = match kind {
            ListKind::Restored if is_older => ListKind::LocalChange,
            ListKind::Complete if is_older => ListKind::Update,
            kind => kind,
        };
        if is_older {
            let (newest, revision) = (self.newest_revision, list.revision);
            tracing::warn!(newest, revision, "endpoint list out of order");
        }
        if !kind.is_part() {
            self.departed.raise_floor(list.revision);
        }
        let closed_from = delivery.at + self.grace;
        let correction = self.start_times.correction(delivery, &list.members);
        let members = Vec::with_capacity(list.members.len());
        let mut changes = ListChanges { kind, members, moved: Vec::new() };
        for entry in &list.members {
            self.apply_entry(entry, list.revision, closed_from, &correction, &mut changes);
        }
        if !kind.is_part() {
            self.remove_unnamed(closed_from);
        }
        changes
    }

    /// Applies one entry of a list of this version.
    fn apply_entry(
        &mut self,
        entry: &Entry,
        revision: u64,
        closed_from: Instant,
        correction: &ListCorrection,
        changes: &mut ListChanges,
    ) {
        let record = self.handles.get(&entry.id).and_then(|id| self.records.get(id));
        if record.is_some_and(|record| revision < record.revision) {
            return;
        }
        let is_deleted = entry.phase == Phase::Deleted;
        if record.is_none() && (is_deleted || self.departed.was_removed_after(&entry.id, revision))
        {
            if is_deleted {
                self.departed.remember(&entry.id, revision);
            }
            return;
        }
        // An entry without a valid address keeps the last address, so that the notice of a drain is not lost.
        let last_address = record.map(|record| record.target.address.get());
        let Some(address) = entry.address.or(last_address) else {
            tracing::warn!(upstream = &*entry.id, "entry without valid address ignored");
            return;
        };
        let listed = self.listing(entry, record.map(|record| &**record), correction);
        let id = self.handle_of(entry, address, listed);
        if is_deleted {
            self.departed.remember(&entry.id, revision);
            self.gone.insert(id);
        } else {
            self.gone.remove(&id);
        }
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.target.address.replace(address) != address {
            changes.moved.push(id);
        }
        record.last_named_by = self.lists_received;
        record.revision = revision;
        record.listing = listed;
        if let Some(member) = self.member(id) {
            self.open_or_close(&member, closed_from);
            changes.members.push(member);
        }
    }

    /// Opens the target of a live upstream, and closes the target of any other upstream at `closed_from`.
    fn open_or_close(&mut self, member: &Member, closed_from: Instant) {
        let Some(record) = self.records.get(&member.id) else { return };
        match member.status {
            Status::Live => self.open_targets.open(&record.target),
            Status::Draining | Status::Gone => self.open_targets.close(&record.target, closed_from),
        }
    }

    /// Removes the upstreams that the last list, which is complete, did not name.
    fn remove_unnamed(&mut self, closed_from: Instant) {
        for (id, record) in &self.records {
            if record.last_named_by != self.lists_received {
                self.gone.insert(*id);
                self.open_targets.close(&record.target, closed_from);
            }
        }
    }

    /// Forgets departed upstreams that no attempt uses any more. Returns them, so that their idle connections can be closed.
    pub fn forget_departed(&mut self) -> Vec<ServerId> {
        let is_unused = |record: &UpstreamRecord| Rc::strong_count(&record.target) == 1;
        let unused = |id: &&ServerId| self.records.get(id).is_none_or(|record| is_unused(record));
        let dropped: Vec<ServerId> = self.gone.iter().filter(unused).copied().collect();
        for id in &dropped {
            self.gone.remove(id);
            if let Some(record) = self.records.remove(id) {
                self.handles.remove(&record.name);
                if let Some((start, _)) = record.listing.started {
                    self.start_times.departed(&record.name, start);
                }
            }
        }
        dropped
    }

    /// Returns the handle of an upstream, and adds the upstream if it is unknown.
    fn handle_of(&mut self, entry: &Entry, address: SocketAddr, listed: Listing) -> ServerId {
        if let Some(id) = self.handles.get(&entry.id) {
            return *id;
        }
        let id = ServerId(self.next_handle);
        self.next_handle += 1;
        let name = entry.id.clone();
        self.handles.insert(name.clone(), id);
        let target = UpstreamTarget { address: Cell::new(address), closed_from: Cell::new(None) };
        let target = Rc::new(target);
        self.open_targets.add_open();
        let record =
            UpstreamRecord { name, target, listing: listed, revision: 0, last_named_by: 0 };
        self.records.insert(id, Box::new(record));
        id
    }

    /// Converts an entry into a listing, with the corrected start time.
    fn listing(
        &self,
        entry: &Entry,
        record: Option<&UpstreamRecord>,
        correction: &ListCorrection,
    ) -> Listing {
        let before = record.and_then(|record| record.listing.started);
        let corrected = |start| self.start_times.corrected(correction, &entry.id, start, before);
        Listing {
            weight: entry.size,
            started: ListedStart::of(entry).map(|start| (start, corrected(start))),
            zone: self.zones.index(&entry.zone),
            machine_type: self.machine_types.index(&entry.machine_type),
            cell: entry.cell,
            status: match entry.phase {
                Phase::Serving => Status::Live,
                Phase::Draining | Phase::Unknown => Status::Draining,
                Phase::Deleted => Status::Gone,
            },
        }
    }
}
