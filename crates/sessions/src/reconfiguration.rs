//! Changes of the ownership table. A change settles the transfers that it interrupts. The records of sessions that have
//! another owner now become tombstones, and the new owner fetches these records (see
//! [`record_fetch`](crate::record_fetch)).

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::ids::SessionId;
use crate::ownership_table::OwnershipTable;
use crate::record_store::{Ownership, Record};
use crate::session_record::SessionRecord;
use crate::state::{Context, RecordFetch, Sessions};
use crate::time::ticks_to_ms;

/// The effects of a change of the ownership table on the sessions of this balancer.
#[derive(Default)]
struct Reassignment {
    /// The sessions that this balancer does not own any more.
    tombstones: Vec<SessionId>,
    /// The sessions to be reported, with their new owners.
    reports: BTreeSet<(NodeId, SessionId)>,
}

impl Sessions {
    /// Puts another ownership table in force. This balancer's slot, if the table has one, is valid until `until`.
    pub(crate) fn reconfigure(&mut self, table: OwnershipTable, until: u64, ctx: &mut Context) {
        let old = std::mem::replace(&mut self.table, table);
        let slot = self.table.slot(self.config.node_id).copied();
        self.slot = slot.filter(|slot| slot.incarnation == self.config.incarnation);
        self.slot_until = if self.slot.is_some() { until } else { 0 };
        // If a table in between had no slot of this balancer, others may own the sessions that this balancer owned.
        let retains_slot = self.slot.is_some_and(|slot| slot.since <= old.version);
        self.record_lost_owners(&old, ctx.now);
        self.cache.clear();
        self.pending.reset_permissions();
        self.settle_transfers(retains_slot, ctx.now);
        self.reassign_sessions(retains_slot, &old, ctx.now);
        self.start_fetches(ctx);
        self.restart_claims(ctx);
        self.finish_fetching(ctx);
    }

    fn record_lost_owners(&mut self, old: &OwnershipTable, now: u64) {
        let retention_ms = self.retention_ms;
        if old.version > 0 {
            self.lost_owners.record_change(now, retention_ms, old, &self.table);
        } else if !self.config.first_start {
            let node_id = self.config.node_id;
            self.lost_owners.record_first_table(now, retention_ms, &self.table, node_id);
            self.initial_uncertain_until = Some(u64::MAX);
        }
    }

    /// Settles the transfers that the change interrupts:
    ///
    /// - If this balancer has retained its slot, a record that was not sent stays here.
    /// - If both balancers have retained their slots, the transfer of a record that was sent continues until the
    ///   receiver acknowledges it.
    /// - Otherwise the record becomes a tombstone, since the receiver or another balancer may own the session.
    fn settle_transfers(&mut self, retains_slot: bool, now: u64) {
        let sessions: Vec<SessionId> = self.outgoing.keys().copied().collect();
        for session in sessions {
            let Some(transfer) = self.outgoing.get(&session) else { continue };
            if retains_slot && transfer.is_sent && self.table.has(&transfer.to) {
                continue;
            }
            let remains_owner = retains_slot && !transfer.is_sent;
            let epoch = transfer.epoch;
            self.outgoing.remove(&session);
            if !remains_owner {
                // The update cannot fail, because a record is retained during its transfer.
                let _ = self.store.update(now, session, None, |record| {
                    record.ownership = Ownership::Tombstone;
                    record.epoch = epoch;
                });
            }
        }
    }

    /// Turns the records of sessions that have another owner now into tombstones, and collects the sessions to be
    /// reported to each new owner.
    fn reassign_sessions(&mut self, retains_slot: bool, old: &OwnershipTable, now: u64) {
        self.outbox.clear();
        let mut reassignment = self.reassignment(retains_slot, old, now);
        for session in reassignment.tombstones {
            let _ = self.store.update(now, session, None, |record| {
                record.ownership = Ownership::Tombstone;
            });
        }
        self.reassign_replicated_keys(&mut reassignment.reports, now);
        for (owner, session) in reassignment.reports {
            self.outbox.entry(owner).or_default().push(session);
        }
    }

    fn reassignment(&self, retains_slot: bool, old: &OwnershipTable, now: u64) -> Reassignment {
        let node_id = self.config.node_id;
        let was_in_zone = |node: NodeId| old.zone_of(node) == self.zone();
        // Only a balancer with a new slot can have replaced this balancer as the owner of a session. A comparison with
        // all slots would block the cluster's thread for too long: 200,000 records, 150 slots.
        let slots = self.zone().map_or(&[][..], |zone| self.table.in_zone(zone));
        let nodes = slots.iter().map(|slot| slot.node);
        let new_nodes: Vec<NodeId> = nodes.filter(|node| !was_in_zone(*node)).collect();
        let retains_slot = retains_slot && was_in_zone(node_id);
        let is_still_owner = |session: SessionId| {
            let ranks_first = |new: &NodeId| !OwnershipTable::ranks_before(session, *new, node_id);
            retains_slot && new_nodes.iter().all(ranks_first)
        };
        let mut result = Reassignment::default();
        for (session, record) in self.store.iter() {
            let is_owned_or_received = record.ownership != Ownership::Tombstone;
            let is_unaffected = if is_owned_or_received {
                is_still_owner(session)
            } else {
                !record.is_in_window(now)
            };
            if !is_unaffected {
                self.reassign_session(session, record, retains_slot, now, &mut result);
            }
        }
        result
    }

    fn reassign_session(
        &self,
        session: SessionId,
        record: &Record,
        retains_slot: bool,
        now: u64,
        result: &mut Reassignment,
    ) {
        let is_owned_or_received = record.ownership != Ownership::Tombstone;
        let Some(owner) = self.owner_in_zone(session) else {
            result.tombstones.push(session);
            return;
        };
        let is_owner = owner == self.config.node_id;
        let retains_record = is_owner && retains_slot;
        if is_owned_or_received && !retains_record && !self.outgoing.contains_key(&session) {
            result.tombstones.push(session);
        }
        if !is_owner && (is_owned_or_received || record.is_in_window(now)) {
            result.reports.insert((owner, session));
        }
    }

    /// Collects the sessions of the keys that this balancer has sent or replicated, so that they are reported to their
    /// owners. Keys of sessions that this balancer owns are imported into its own records.
    fn reassign_replicated_keys(&mut self, reports: &mut BTreeSet<(NodeId, SessionId)>, now: u64) {
        let keys: Vec<_> = self.replicated_keys.iter().collect();
        for (session, key, entry) in keys {
            if let Some(owner) = self.owner_in_zone(session)
                && owner != self.config.node_id
            {
                reports.insert((owner, session));
                continue;
            }
            let keys = vec![entry.to_record(key, now)];
            let record = SessionRecord { keys, ..SessionRecord::empty(session) };
            if !self.import(now, now, &record) {
                let uncertain_until = &mut self.lost_owners.all_uncertain_until;
                *uncertain_until = (*uncertain_until).max(ticks_to_ms(entry.expires_at));
            }
        }
    }

    /// Asks all other balancers of the zone for the records that they have for this balancer.
    fn start_fetches(&mut self, ctx: &mut Context) {
        self.fetches.clear();
        let node_id = self.config.node_id;
        let slots = self.zone().map_or(&[][..], |zone| self.table.in_zone(zone));
        let nodes = slots.iter().map(|slot| slot.node);
        let others: Vec<NodeId> = nodes.filter(|node| *node != node_id).collect();
        for from in others {
            self.fetches.insert(from, RecordFetch { started_at: ctx.now, offset: 0 });
            self.retry_fetch(from, ctx);
        }
    }

    /// Restarts the claims in progress of sessions that are still assigned to this balancer.
    fn restart_claims(&mut self, ctx: &mut Context) {
        self.waiting_claims.clear();
        for session in std::mem::take(&mut self.claims).into_keys() {
            if self.is_owner(session) && !self.store.is_owned(session) {
                self.claim(session, None, ctx);
            }
        }
    }
}
