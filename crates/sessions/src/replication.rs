//! Replicates the keys that an owner itself sends. Without replication only the owner would know these keys, so another
//! balancer of the zone has to store each key before the request is sent.

use hollowpaddle_peer_transport::NodeId;

use crate::ids::SessionId;
use crate::key_entry::KeyEntry;
use crate::message::Message;
use crate::requests::PendingRequest;
use crate::session_record::KeyRecord;
use crate::state::{Context, Sessions};
use crate::time::to_ticks_rounded_up;

impl Sessions {
    /// Returns the balancers that replicate the keys that this owner sends for a session, in the order of preference.
    pub(crate) fn replicas(&self, session: SessionId) -> Vec<NodeId> {
        let Some(zone) = self.zone() else { return Vec::new() };
        self.table.replicas(session, zone, self.config.node_id)
    }

    /// Asks a replica to store the key of a permitted request.
    pub(crate) fn replicate_key(&self, number: u32, pending: &PendingRequest, ctx: &mut Context) {
        let session = pending.request.session;
        let Some(key) = pending.request.key() else { return };
        let Some(entry) = self.store.key(session, key) else { return };
        let key = entry.to_record(key, ctx.now);
        let replicas = self.replicas(session);
        // Each attempt uses another replica, since a replica may be down.
        if let Some(to) = replicas.get(pending.attempts % replicas.len().max(1)) {
            self.send(*to, Message::Replicate { number, session, key }, ctx);
        }
    }

    /// Stores a key for the owner.
    pub(crate) fn on_replicate(
        &mut self,
        from: NodeId,
        number: u32,
        session: SessionId,
        key: KeyRecord,
        ctx: &mut Context,
    ) {
        let expires_at = to_ticks_rounded_up(ctx.now.saturating_add(key.expires_in));
        // The time of the first permit is unknown here. The value 0 is too long ago for the key to be sent again.
        let entry = KeyEntry {
            first_permit_at: 0,
            expires_at,
            request: 0,
            requester: from,
            cell: key.cell,
        };
        self.drop_expired(ctx.now);
        if self.replicated_keys.add(session, key.key, entry) {
            self.send(from, Message::ReplicateAck { number }, ctx);
        }
    }

    /// Sends the request whose key a replica has stored, if this balancer still owns the record under the epoch that
    /// permitted the request. Otherwise the request waits for a new permit.
    pub(crate) fn on_replicate_ack(&mut self, number: u32, ctx: &mut Context) {
        let Some(pending) = self.pending.get_mut(number) else { return };
        let Some(route) = pending.permitted.take() else { return };
        let session = pending.request.session;
        let is_current = self.store.is_owned(session)
            && self.store.epoch(session) == route.epoch
            && !self.outgoing.contains_key(&session);
        if is_current {
            self.use_permit(number, route, ctx);
        }
    }
}
