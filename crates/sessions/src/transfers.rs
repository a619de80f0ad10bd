//! Transfers the ownership of a session to another zone.
//!
//! 1. The owner that receives a claim of a session grants no more permits, and revokes the existing ones or waits until
//!    they have ended.
//! 2. The owner sends the record under the next epoch, repeatedly until the receiver has acknowledged the record.
//! 3. The owner's record becomes a tombstone, which retains the owner's knowledge without ownership.
//!
//! The receiver takes ownership of the record in [`claims`](crate::claims).

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{Epoch, OwnerSlot, SessionId};
use crate::message::{ClaimRequest, Message};
use crate::record_store::Ownership;
use crate::session_record::SessionRecord;
use crate::state::{Context, OutgoingTransfer, Sessions, TRANSFER_RETRY_MS, Timer};

impl Sessions {
    /// Answers a claim of the owner in another zone: starts the transfer of an owned session, or answers that there is
    /// no record.
    pub(crate) fn on_claim_request(
        &mut self,
        from: NodeId,
        request: ClaimRequest,
        ctx: &mut Context,
    ) {
        let session = request.session;
        let Some(claimant) = self.peer_owner(from, session) else { return };
        if let Some(transfer) = self.outgoing.get_mut(&session) {
            if transfer.to == claimant {
                transfer.claim = request.claim;
            }
            return;
        }
        match self.store.get(session).map(|record| record.ownership) {
            Some(Ownership::Owned) => self.start_transfer(claimant, request, ctx),
            Some(Ownership::Received) => {}
            Some(Ownership::Tombstone) | None => {
                if self.fetches.is_empty() {
                    self.answer_no_record(claimant, request, ctx);
                }
            }
        }
    }

    fn start_transfer(&mut self, to: OwnerSlot, request: ClaimRequest, ctx: &mut Context) {
        let session = request.session;
        let transfer = OutgoingTransfer {
            to,
            claim: request.claim,
            epoch: self.store.epoch(session).max(request.min_epoch).next(),
            is_sent: false,
            table_version: self.table.version,
        };
        self.outgoing.insert(session, transfer);
        self.retain_record(session, ctx.now);
        self.revoke_permits(session, ctx);
        self.try_transfer(session, ctx);
        self.timers.set(ctx.now.saturating_add(TRANSFER_RETRY_MS), Timer::Transfer(session));
    }

    /// Retains a record for [`Config::retention`](crate::Config::retention), after which no earlier attempt has an
    /// effect.
    fn retain_record(&mut self, session: SessionId, now: u64) {
        self.store.retain_until(now, session, now.saturating_add(self.retention_ms));
    }

    /// Sends the record, if no request can be sent under the old epoch any more.
    pub(crate) fn try_transfer(&mut self, session: SessionId, ctx: &mut Context) {
        if self.has_permits(session)
            || self.routed.has_unsent(ctx.now, session)
            || !self.holds_slot(ctx.now)
        {
            return;
        }
        let Some(transfer) = self.outgoing.get_mut(&session) else { return };
        transfer.is_sent = true;
        let (to, claim, epoch) = (transfer.to.node, transfer.claim, transfer.epoch);
        let record = SessionRecord { epoch, ..self.store.export(ctx.now, session) };
        self.send(to, Message::Transfer { claim, record }, ctx);
    }

    /// Repeats the current step of a transfer that is not acknowledged yet.
    pub(crate) fn retry_transfer(&mut self, session: SessionId, ctx: &mut Context) {
        let Some(transfer) = self.outgoing.get(&session) else { return };
        if !transfer.is_sent {
            self.revoke_permits(session, ctx);
        }
        self.try_transfer(session, ctx);
        self.timers.set(ctx.now.saturating_add(TRANSFER_RETRY_MS), Timer::Transfer(session));
    }

    /// Receives the record of a session that is transferred to this balancer.
    pub(crate) fn on_transfer(
        &mut self,
        from: NodeId,
        number: u32,
        record: &SessionRecord,
        ctx: &mut Context,
    ) {
        let (session, epoch) = (record.session, record.epoch);
        if self.store.get(session).is_some_and(|known| known.epoch >= epoch) {
            return self.acknowledge_transfer(from, session, epoch, true, ctx);
        }
        // A transfer of the record back to this balancer proves that the sender had received it, even if its
        // acknowledgement was lost.
        let sent = self.outgoing.get(&session).filter(|t| t.is_sent && t.to.node == from);
        if let Some(sent_epoch) = sent.map(|t| t.epoch).filter(|sent_epoch| *sent_epoch < epoch) {
            self.on_transfer_ack(from, session, sent_epoch, true, ctx.now);
        }
        let known = self.store.get(session);
        let is_owned_or_received =
            known.is_some_and(|known| known.ownership != Ownership::Tombstone);
        let sender = self.peer_owner(from, session);
        let Some(sender) =
            sender.filter(|_| !is_owned_or_received && epoch > self.store.evicted_epoch)
        else {
            return self.reject_transfer(from, session, epoch, ctx);
        };
        let claim = self.claims.get(&session).filter(|claim| claim.number == number);
        let requested_at = claim.map_or(0, |claim| claim.requested_at);
        if !self.import(ctx.now, requested_at, record) {
            self.abandon_claim(session, ctx);
            return self.reject_transfer(from, session, epoch, ctx);
        }
        self.accept_transfer(sender, session, epoch, ctx);
    }

    /// Accepts an imported record. This balancer owns the record once the owners in all other zones have answered.
    fn accept_transfer(
        &mut self,
        sender: OwnerSlot,
        session: SessionId,
        epoch: Epoch,
        ctx: &mut Context,
    ) {
        let hash_cell = self.hash_cell(session);
        // The update cannot fail, because the record was just imported.
        let _ = self.store.update(ctx.now, session, hash_cell, |record| {
            record.ownership = Ownership::Received;
        });
        self.retain_record(session, ctx.now);
        self.metrics.transferred_in += 1;
        self.acknowledge_transfer(sender.node, session, epoch, true, ctx);
        if !self.claims.contains_key(&session) {
            self.start_claim(session, None, ctx);
        }
        if let Some(claim) = self.claims.get_mut(&session) {
            claim.answered.insert(sender.zone);
        }
        self.try_own(session, ctx);
    }

    /// Rejects a transfer, so that the session stays with its owner. A duplicate of the message may arrive when the
    /// transfer could be accepted, so this balancer accepts no transfer of this epoch or a lower one from now on.
    fn reject_transfer(&mut self, to: NodeId, session: SessionId, epoch: Epoch, ctx: &mut Context) {
        self.store.evicted_epoch = self.store.evicted_epoch.max(epoch);
        self.acknowledge_transfer(to, session, epoch, false, ctx);
    }

    fn acknowledge_transfer(
        &self,
        to: NodeId,
        session: SessionId,
        epoch: Epoch,
        is_accepted: bool,
        ctx: &mut Context,
    ) {
        self.send(to, Message::TransferAck { session, epoch, is_accepted }, ctx);
    }

    /// Ends a transfer that the receiver has accepted or rejected.
    pub(crate) fn on_transfer_ack(
        &mut self,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        is_accepted: bool,
        now: u64,
    ) {
        let is_acknowledged = |transfer: &OutgoingTransfer| {
            transfer.is_sent && transfer.to.node == from && transfer.epoch == epoch
        };
        if !self.outgoing.get(&session).is_some_and(is_acknowledged) {
            return;
        }
        self.outgoing.remove(&session);
        let remains_owner = !is_accepted && self.is_owner(session);
        // The update cannot fail, because a record is retained during its transfer.
        let _ = self.store.update(now, session, None, |record| {
            record.ownership = if remains_owner { Ownership::Owned } else { Ownership::Tombstone };
            record.epoch = epoch;
        });
        self.retain_record(session, now);
        if is_accepted {
            self.metrics.transferred_out += 1;
        } else if !remains_owner && let Some(owner) = self.owner_in_zone(session) {
            self.outbox.entry(owner).or_default().push(session);
        }
    }
}
