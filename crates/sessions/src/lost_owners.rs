//! Tracks the owners that were lost within the retention time, and how long keys that only lost owners knew may still
//! be inside their windows. Times are in ms.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{OwnerSlot, SessionId, Zone};
use crate::ownership_table::OwnershipTable;

/// The largest number of old tables that are retained to find the sessions whose owners were lost. If an older table is
/// dropped, every session is uncertain for the retention time.
const MAX_OLD_TABLES: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LostOwner {
    lost_at: u64,
    slot: OwnerSlot,
    /// The version of the last table that had the slot.
    version: u64,
}

/// The owners that were lost within the retention time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LostOwners {
    lost: Vec<LostOwner>,
    old_tables: BTreeMap<u64, OwnershipTable>,
    /// The moments at which the old tables were replaced, by version.
    replaced_at: BTreeMap<u64, u64>,
    /// The moment until which every session is uncertain, because of losses that cannot be attributed to a session.
    pub all_uncertain_until: u64,
}

impl LostOwners {
    /// Records the first table of this process. The process knows neither the keys of its previous incarnation nor the
    /// earlier losses of other owners.
    pub fn record_first_table(
        &mut self,
        now: u64,
        retention_ms: u64,
        table: &OwnershipTable,
        node_id: NodeId,
    ) {
        self.all_uncertain_until = now.saturating_add(retention_ms);
        if let Some(slot) = table.slot(node_id) {
            let previous = OwnerSlot { since: 0, ..*slot };
            self.old_tables.insert(table.version, table.clone());
            self.lost.push(LostOwner { lost_at: now, slot: previous, version: table.version });
        }
    }

    /// Records that table `new` replaces table `old`, and drops losses and tables older than the retention time.
    pub fn record_change(
        &mut self,
        now: u64,
        retention_ms: u64,
        old: &OwnershipTable,
        new: &OwnershipTable,
    ) {
        let is_over = |at: u64| at.saturating_add(retention_ms) <= now;
        self.lost.retain(|lost| !is_over(lost.lost_at));
        let version = old.version;
        let lost = old.slots().filter(|slot| !new.has(slot));
        self.lost.extend(lost.map(|slot| LostOwner { lost_at: now, slot: *slot, version }));
        // The table is retained even if no owner was lost, since the owners of a session are looked up in all old
        // tables.
        self.old_tables.insert(version, old.clone());
        self.replaced_at.insert(version, now);
        let used: BTreeSet<u64> = self.lost.iter().map(|lost| lost.version).collect();
        let replaced_at = &self.replaced_at;
        self.old_tables.retain(|version, _| {
            used.contains(version) || replaced_at.get(version).is_some_and(|at| !is_over(*at))
        });
        while self.old_tables.len() > MAX_OLD_TABLES {
            self.old_tables.pop_first();
            self.all_uncertain_until =
                self.all_uncertain_until.max(now.saturating_add(retention_ms));
        }
        let old_tables = &self.old_tables;
        self.replaced_at.retain(|version, _| old_tables.contains_key(version));
    }

    /// Returns the moment until which a key of this session may have been executed in an unknown cell, because both the
    /// key's sender and the owner that permitted the key were lost; 0 if there is no such key.
    pub fn uncertain_until(&self, session: SessionId, retention_ms: u64) -> u64 {
        let mut until = self.all_uncertain_until;
        if self.lost.is_empty() {
            return until;
        }
        let owners = self.owners_in_old_tables(session);
        for lost in &self.lost {
            if owners.contains(&(lost.slot.zone, lost.slot.node)) {
                until = until.max(self.uncertain_due_to(lost, retention_ms));
            }
        }
        until
    }

    /// Returns an upper bound of [`Self::uncertain_until`] for all sessions, which is reported to new owners.
    pub fn max_uncertain_until(&self, retention_ms: u64) -> u64 {
        let due_to_each = self.lost.iter().map(|lost| self.uncertain_due_to(lost, retention_ms));
        due_to_each.fold(self.all_uncertain_until, u64::max)
    }

    fn owners_in_old_tables(&self, session: SessionId) -> BTreeSet<(Zone, NodeId)> {
        let mut owners = BTreeSet::new();
        for table in self.old_tables.values() {
            for zone in table.zones() {
                owners.extend(table.owner(session, zone).map(|owner| (zone, owner)));
            }
        }
        owners
    }

    /// Returns the moment until which the loss of this owner makes its sessions uncertain; 0 unless another owner of
    /// the zone was lost too, or the zone had no other owner.
    fn uncertain_due_to(&self, owner: &LostOwner, retention_ms: u64) -> u64 {
        let zone = owner.slot.zone;
        let table = self.old_tables.get(&owner.version);
        let has_no_replica = table.is_none_or(|table| table.in_zone(zone).len() < 2);
        let mut until = if has_no_replica { owner.lost_at.saturating_add(retention_ms) } else { 0 };
        for other in &self.lost {
            if other.slot.zone == zone && other.slot != owner.slot {
                let earlier_loss_at = other.lost_at.min(owner.lost_at);
                until = until.max(earlier_loss_at.saturating_add(retention_ms));
            }
        }
        until
    }
}
