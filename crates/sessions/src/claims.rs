//! Claims the ownership of a session from the owners in all other zones.
//!
//! 1. An owner that gets a route request of a session without a record sends claim requests to the owners in all other
//!    zones. The claimant owns the session once all of them have answered.
//! 2. An owner in another zone that owns the session transfers it (see [`transfers`](crate::transfers)).
//! 3. An owner in another zone that does not own the session answers with [`Message::NoRecord`] and its knowledge of
//!    the session. If two zones claim the same session, only the zone that precedes the other for this session gets an
//!    answer, and the claim of the other zone starts over: **a balancer that answers with no record voids its own
//!    claim** (Ricart and Agrawala 1981, with zones in place of processes). So of two zones without a record only one
//!    becomes the owner.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{Epoch, OwnerSlot, SessionId, UNKNOWN_CELL, Zone};
use crate::message::{ClaimRequest, Message, RouteOutcome, RouteRequest};
use crate::ownership_table::precedes;
use crate::record_store::{Ownership, StoreFull};
use crate::session_record::SessionRecord;
use crate::state::{Context, OwnershipClaim, Sessions, TRANSFER_RETRY_MS, Timer, Waiter};
use crate::time::to_ticks_rounded_up;

/// The largest number of requests that wait for one claim. Other requests are retried by their senders.
const MAX_WAITERS: usize = 8;
/// The largest number of queued claims. Beyond the limit, the oldest claim is dropped, whose requests have been routed
/// without a record by then.
const MAX_WAITING_CLAIMS: usize = 1_024;

impl Sessions {
    /// Claims a session, or adds a waiter to the claim in progress.
    pub(crate) fn claim(&mut self, session: SessionId, waiter: Option<Waiter>, ctx: &mut Context) {
        if let Some(claim) = self.claims.get_mut(&session) {
            if let Some(waiter) = waiter
                && has_capacity_for(&claim.waiters, &waiter)
            {
                claim.waiters.push(waiter);
            }
            return;
        }
        if self.claims.len() >= self.config.max_claims {
            self.queue_claim(session);
            return;
        }
        self.start_claim(session, waiter, ctx);
    }

    /// Queues a claim because the maximum number of claims is in progress. The newest queued claim is started first.
    /// The queue holds no waiters, since balancers retry their route requests.
    fn queue_claim(&mut self, session: SessionId) {
        if !self.waiting_claims.contains(&session) {
            self.waiting_claims.push_back(session);
        }
        if self.waiting_claims.len() > MAX_WAITING_CLAIMS {
            self.waiting_claims.pop_front();
            self.metrics.dropped_claims += 1;
        }
    }

    /// Starts a claim. A timer that is due at once sends the first claim requests.
    pub(crate) fn start_claim(
        &mut self,
        session: SessionId,
        waiter: Option<Waiter>,
        ctx: &mut Context,
    ) {
        let min_epoch = self.store.evicted_epoch.max(self.store.epoch(session));
        let claim = OwnershipClaim {
            number: self.next_number(),
            requested_at: ctx.now,
            answered: BTreeSet::new(),
            min_epoch,
            initial_min_epoch: min_epoch,
            waiters: waiter.into_iter().collect(),
        };
        self.claims.insert(session, claim);
        self.timers.set(ctx.now, Timer::Claim(session));
    }

    /// Starts a new round of a claim's requests, in which earlier answers do not count.
    fn restart_claim(&mut self, session: SessionId, now: u64) {
        let number = self.next_number();
        if let Some(claim) = self.claims.get_mut(&session) {
            claim.number = number;
            claim.requested_at = now;
            claim.answered.clear();
        }
    }

    /// Sends claim requests to the owners in all zones that have not answered, repeatedly until they answer.
    pub(crate) fn retry_claim(&mut self, session: SessionId, ctx: &mut Context) {
        let Some(claim) = self.claims.get(&session) else { return };
        let (own_zone, number) = (self.zone(), claim.number);
        let is_unanswered = |zone: &Zone| Some(*zone) != own_zone && !claim.answered.contains(zone);
        let unanswered_zones = self.table.zones().filter(is_unanswered);
        let owners: Vec<NodeId> =
            unanswered_zones.filter_map(|zone| self.table.owner(session, zone)).collect();
        if owners.is_empty() {
            return self.try_own(session, ctx);
        }
        let request = ClaimRequest {
            claim: number,
            session,
            min_epoch: self.store.evicted_epoch.max(self.store.epoch(session)),
            has_record: self.has_received(session),
        };
        for owner in owners {
            self.send(owner, Message::ClaimRequest(request), ctx);
        }
        self.timers.set(ctx.now.saturating_add(TRANSFER_RETRY_MS), Timer::Claim(session));
    }

    /// Whether the record was transferred to this balancer but is not owned yet.
    pub(crate) fn has_received(&self, session: SessionId) -> bool {
        self.store.get(session).is_some_and(|record| record.ownership == Ownership::Received)
    }

    /// Takes ownership of a claimed session if all other zones have answered.
    pub(crate) fn try_own(&mut self, session: SessionId, ctx: &mut Context) {
        let Some(claim) = self.claims.get(&session) else { return };
        let own_zone = self.zone();
        let is_complete =
            self.table.zones().all(|zone| Some(zone) == own_zone || claim.answered.contains(&zone));
        if !is_complete || !self.fetches.is_empty() || !self.holds_slot(ctx.now) {
            return;
        }
        // With three zones, zone A may answer that it has no record, then receive the record from zone B, which answers
        // after the transfer that it has no record either. The answer of zone B has a higher epoch, so a higher epoch
        // than at the start of the round requires another round.
        if claim.min_epoch > claim.initial_min_epoch && self.table.zones().count() > 2 {
            self.restart_claim(session, ctx.now);
            if let Some(claim) = self.claims.get_mut(&session) {
                claim.initial_min_epoch = claim.min_epoch;
            }
            return self.timers.set(ctx.now, Timer::Claim(session));
        }
        let Some(claim) = self.claims.remove(&session) else { return };
        let owned = self.own(session, claim.min_epoch, ctx.now);
        self.answer_waiters(session, claim.waiters, owned, ctx);
        self.start_waiting_claims(ctx);
    }

    /// Makes this balancer the owner of a session, under the epoch of a transferred record or otherwise a new epoch
    /// above `min_epoch`.
    fn own(&mut self, session: SessionId, min_epoch: Epoch, now: u64) -> Result<(), StoreFull> {
        let hash_cell = self.hash_cell(session);
        let has_received = self.has_received(session);
        let uncertain_until = if has_received {
            0
        } else {
            self.lost_owners.uncertain_until(session, self.retention_ms)
        };
        let epoch_floor = min_epoch
            .max(self.store.evicted_epoch)
            .max(self.store.epoch(session))
            .max(Epoch::of_table(self.table.version));
        let cells = &self.cells;
        self.store.update(now, session, hash_cell, |record| {
            if !has_received {
                record.epoch = epoch_floor.next();
            }
            if !cells.iter().any(|weighted| weighted.cell == record.cell) {
                record.cell = hash_cell.unwrap_or(UNKNOWN_CELL);
            }
            record.uncertain_until =
                record.uncertain_until.max(to_ticks_rounded_up(uncertain_until));
            record.ownership = Ownership::Owned;
        })
    }

    fn answer_waiters(
        &mut self,
        session: SessionId,
        waiters: Vec<Waiter>,
        owned: Result<(), StoreFull>,
        ctx: &mut Context,
    ) {
        for Waiter { from, number, key, is_first } in waiters {
            if owned.is_ok() {
                let request = RouteRequest { number, session, key, is_first };
                self.on_route_request(from, request, ctx);
            } else if key.is_some() {
                // Without a record, the cell in which the key is executed would be unknown later.
                self.send_full(from, number, ctx);
            }
        }
    }

    fn send_full(&self, to: NodeId, number: u32, ctx: &mut Context) {
        let outcome = RouteOutcome::Full;
        self.send(to, Message::RouteResponse { number, outcome }, ctx);
    }

    /// Starts queued claims, the newest first, up to the maximum number of claims in progress.
    fn start_waiting_claims(&mut self, ctx: &mut Context) {
        while self.claims.len() < self.config.max_claims
            && let Some(next) = self.waiting_claims.pop_back()
        {
            let is_needed = !self.store.is_owned(next) && self.is_owner(next);
            if is_needed && !self.claims.contains_key(&next) {
                self.start_claim(next, None, ctx);
            }
        }
    }

    /// Returns the slot of `from`, if `from` is the owner of the session in another zone and this balancer is the owner
    /// in its own zone.
    pub(crate) fn peer_owner(&self, from: NodeId, session: SessionId) -> Option<OwnerSlot> {
        let slot = *self.table.slot(from)?;
        let is_peer =
            Some(slot.zone) != self.zone() && self.table.owner(session, slot.zone) == Some(from);
        (is_peer && self.is_owner(session)).then_some(slot)
    }

    /// Answers the claim of a session that this balancer does not own with its knowledge of the session, unless this
    /// balancer's own claim precedes the claimant's.
    pub(crate) fn answer_no_record(
        &mut self,
        claimant: OwnerSlot,
        request: ClaimRequest,
        ctx: &mut Context,
    ) {
        let session = request.session;
        if self.claims.contains_key(&session) {
            // A zone that has received the record precedes all others. At most one zone has received it.
            let is_preceded =
                self.zone().is_some_and(|zone| precedes(session, zone, claimant.zone));
            if !request.has_record && is_preceded {
                return;
            }
            self.restart_claim(session, ctx.now);
            self.timers.set(ctx.now.saturating_add(TRANSFER_RETRY_MS), Timer::Claim(session));
        }
        let message = Message::NoRecord {
            claim: request.claim,
            min_epoch: self.store.evicted_epoch,
            record: self.store.export(ctx.now, session),
        };
        self.send(claimant.node, message, ctx);
    }

    /// Handles the answer that the owner in another zone has no record, and imports that owner's knowledge.
    pub(crate) fn on_no_record(
        &mut self,
        from: NodeId,
        number: u32,
        min_epoch: Epoch,
        record: &SessionRecord,
        ctx: &mut Context,
    ) {
        let session = record.session;
        let Some(slot) = self.peer_owner(from, session) else { return };
        let claim = self.claims.get_mut(&session).filter(|claim| claim.number == number);
        let Some(claim) = claim else { return };
        claim.min_epoch = claim.min_epoch.max(min_epoch).max(record.epoch);
        let requested_at = claim.requested_at;
        if record.is_informative() && !self.import(ctx.now, requested_at, record) {
            return self.abandon_claim(session, ctx);
        }
        if let Some(claim) = self.claims.get_mut(&session) {
            claim.answered.insert(slot.zone);
        }
        self.try_own(session, ctx);
    }

    /// Abandons a claim, because the store has no capacity for the session's record.
    pub(crate) fn abandon_claim(&mut self, session: SessionId, ctx: &mut Context) {
        let Some(claim) = self.claims.remove(&session) else { return };
        for waiter in claim.waiters.iter().filter(|waiter| waiter.key.is_some()) {
            self.send_full(waiter.from, waiter.number, ctx);
        }
    }
}

/// Whether a waiter can be added to the waiters of a claim, in which each request waits once.
fn has_capacity_for(waiters: &[Waiter], new: &Waiter) -> bool {
    let is_same = |waiter: &Waiter| (waiter.from, waiter.number) == (new.from, new.number);
    waiters.len() < MAX_WAITERS && !waiters.iter().any(is_same)
}
