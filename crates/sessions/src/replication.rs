//! Replicates keys that an owner itself sends: it would be the only one to know them, so another balancer of its zone
//! has to remember each before it is sent.

use hollowpaddle_peer_transport::NodeId;

use crate::ids::SessionId;
use crate::key_entry::KeyEntry;
use crate::message::Message;
use crate::requests::PendingRequest;
use crate::session_record::KeyRecord;
use crate::state::{Context, Sessions};
use crate::time::to_ticks_rounded_up;

impl Sessions {
    /// The balancers that replicate the keys of a session that this owner sends, in the order of preference.
    pub(crate) fn replicas(&self, session: SessionId) -> Vec<NodeId> {
        let Some(zone) = self.zone() else { return Vec::new() };
        self.table.replicas(session, zone, self.config.node_id)
    }

    /// Asks a replica to remember the key of a permitted request.
    pub(crate) fn replicate_key(&self, number: u32, pending: &PendingRequest, ctx: &mut Context) {
        let session = pending.request.session;
        let Some(key) = pending.request.key() else { return };
        let Some(entry) = self.store.key(session, key) else { return };
        let key = entry.to_record(key, ctx.now);
        let replicas = self.replicas(session);
        // Another one at each attempt, since a replica may be down.
        if let Some(to) = replicas.get(pending.attempts % replicas.len().max(1)) {
            self.send(*to, Message::Replicate { number, session, key }, ctx);
        }
    }

    /// Remembers a key for the owner.
    pub(crate) fn on_replicate(
        &mut self,
        from: NodeId,
        number: u32,
        session: SessionId,
        key: KeyRecord,
        ctx: &mut Context,
    ) {
        let expires_at = to_ticks_rounded_up(ctx.now.saturating_add(key.expires_in));
        // The first permit is not known here: it counts as too long ago to send the key again.
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

    /// Sends the request whose key a replica remembers now, if this balancer still owns the record under the epoch that
    /// permitted it. Otherwise it asks anew.
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
