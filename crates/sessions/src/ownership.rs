//! The owner's side of routing: answers the route requests of the balancers of its zone, and grants and revokes
//! permits. A balancer becomes the owner of a record in [`claims`](crate::claims) and gives the record up in
//! [`transfers`](crate::transfers).

use hollowpaddle_peer_transport::NodeId;

use crate::config::PERMIT_MS;
use crate::ids::{Epoch, IdempotencyKey, SessionId};
use crate::key_entry::KeyEntry;
use crate::message::{Message, RouteOutcome, RouteRequest};
use crate::record_store::Record;
use crate::state::{Context, Sessions, Waiter};
use crate::time::{ticks_to_ms, to_millis, to_ticks, to_ticks_rounded_up};

/// The largest number of concurrent permits and cached records at other balancers. At the limit, requests wait until
/// some of them end.
const MAX_PERMITS: usize = 8_192;

/// Returns a span of this clock within which `ms` pass on any other clock, which may be slower by 1 in 100.
fn drift_upper_bound(ms: u64) -> u64 {
    ms + ms.div_ceil(100)
}

impl Sessions {
    /// Answers a route request, or claims the session first.
    pub(crate) fn on_route_request(
        &mut self,
        from: NodeId,
        request: RouteRequest,
        ctx: &mut Context,
    ) {
        let RouteRequest { number, session, key, is_first } = request;
        let is_in_zone = self.table.zone_of(from) == self.zone();
        if !is_in_zone || !self.is_owner(session) || self.outgoing.contains_key(&session) {
            return;
        }
        let waiter = Waiter { from, number, key, is_first };
        if !self.store.is_owned(session) {
            return self.claim(session, Some(waiter), ctx);
        }
        let is_local = from == self.config.node_id;
        let has_capacity =
            self.permits.len() < MAX_PERMITS || self.permits.contains_key(&(session, from));
        if !is_local && !has_capacity {
            self.permits.retain(|_, until| *until > ctx.now);
            return;
        }
        let Some(outcome) = self.route(session, waiter, ctx.now) else { return };
        if matches!(outcome, RouteOutcome::Permit { .. }) && !is_local {
            let duration = to_millis(self.config.cache_ttl).max(PERMIT_MS);
            let until = ctx.now.saturating_add(drift_upper_bound(duration));
            self.permits.insert((session, from), until);
        }
        self.send(from, Message::RouteResponse { number, outcome }, ctx);
    }

    /// Decides the route of a request of an owned session. Returns `None` if no cell is in force.
    fn route(&mut self, session: SessionId, waiter: Waiter, now: u64) -> Option<RouteOutcome> {
        let hash_cell = self.hash_cell(session);
        let mut record = *self.store.get(session)?;
        if !self.is_in_force(record.cell) {
            // The session's cell is excluded, so new requests go to another cell.
            record.cell = hash_cell?;
        }
        // The update cannot fail, because the record exists.
        let _ = self.store.update(now, session, hash_cell, |stored| stored.cell = record.cell);
        let Some(key) = waiter.key else { return Some(self.permit(&record)) };
        match self.store.key(session, key).copied().filter(|entry| !entry.has_expired(now)) {
            Some(entry) => Some(self.route_known_key(session, key, entry, &record, waiter, now)),
            None => Some(self.route_new_key(session, key, &record, waiter, now)),
        }
    }

    fn permit(&self, record: &Record) -> RouteOutcome {
        let cache_ms = u32::try_from(to_millis(self.config.cache_ttl)).unwrap_or(0);
        RouteOutcome::Permit { cell: record.cell, epoch: record.epoch, cache_ms }
    }

    /// Returns the moment, by this clock, until which a request that is permitted now may be sent.
    fn permit_end(&self, now: u64) -> u64 {
        now.saturating_add(drift_upper_bound(PERMIT_MS))
    }

    /// Returns the tick at which a key that is permitted now expires.
    fn key_expiry(&self, now: u64) -> u32 {
        let max_delay = to_millis(self.config.max_execution_delay);
        let window = to_millis(self.config.dedup_window);
        let last_execution = self.permit_end(now).saturating_add(max_delay);
        to_ticks_rounded_up(last_execution.saturating_add(window))
    }

    /// Routes a key that may have been executed. The key is sent to its cell again as long as the cell is certain to
    /// remember it, and otherwise waits for the end of its window.
    fn route_known_key(
        &mut self,
        session: SessionId,
        key: IdempotencyKey,
        entry: KeyEntry,
        record: &Record,
        waiter: Waiter,
        now: u64,
    ) -> RouteOutcome {
        let window = to_millis(self.config.dedup_window);
        let remembered_until = ticks_to_ms(entry.first_permit_at).saturating_add(window);
        let max_delay = to_millis(self.config.max_execution_delay);
        let last_execution = self.permit_end(now).saturating_add(max_delay);
        if !self.is_in_force(entry.cell) || last_execution > remembered_until {
            return RouteOutcome::Wait { ms: ticks_to_ms(entry.expires_at).saturating_sub(now) };
        }
        let is_sole = (entry.requester, entry.request) == (waiter.from, waiter.number);
        let sole_request = if is_sole { waiter.number } else { 0 };
        self.store.extend_key(now, session, key, self.key_expiry(now), sole_request);
        if entry.cell == record.cell {
            return self.permit(record);
        }
        // A cached record holds the cell of new requests, and this request goes to another cell.
        RouteOutcome::Permit { cell: entry.cell, epoch: record.epoch, cache_ms: 0 }
    }

    /// Routes a new key to the session's cell. While the session is uncertain, only a key that was never sent before is
    /// permitted.
    fn route_new_key(
        &mut self,
        session: SessionId,
        key: IdempotencyKey,
        record: &Record,
        waiter: Waiter,
        now: u64,
    ) -> RouteOutcome {
        if record.uncertain_until > to_ticks(now) && !waiter.is_first {
            let ms = ticks_to_ms(record.uncertain_until).saturating_sub(now);
            return RouteOutcome::Wait { ms };
        }
        let entry = KeyEntry {
            first_permit_at: to_ticks(now),
            expires_at: self.key_expiry(now),
            request: waiter.number,
            requester: waiter.from,
            cell: record.cell,
        };
        match self.store.add_key(now, session, key, entry) {
            Ok(()) => self.permit(record),
            Err(_) => RouteOutcome::Full,
        }
    }

    /// Returns the holders of permits and cached records of a session, and the moments at which these end.
    fn permits_of(&self, session: SessionId) -> impl Iterator<Item = (NodeId, u64)> {
        let range = (session, NodeId(0))..=(session, NodeId(u16::MAX));
        self.permits.range(range).map(|((_, holder), until)| (*holder, *until))
    }

    /// Whether another balancer may still use a permit or cached record of a session.
    pub(crate) fn has_permits(&self, session: SessionId) -> bool {
        self.permits_of(session).next().is_some()
    }

    /// Revokes all permits and cached records of a session.
    pub(crate) fn revoke_permits(&mut self, session: SessionId, ctx: &mut Context) {
        let Some(epoch) = self.store.get(session).map(|record| record.epoch) else { return };
        let permits: Vec<(NodeId, u64)> = self.permits_of(session).collect();
        for (holder, until) in permits {
            // A balancer that has lost its slot may not use permits or cached records any more.
            if until <= ctx.now || self.table.slot(holder).is_none() {
                self.permits.remove(&(session, holder));
            } else {
                self.send(holder, Message::Revoke { session, epoch }, ctx);
            }
        }
    }

    /// Removes the permits that a holder has stopped using, and continues the transfer that waits for this.
    pub(crate) fn on_revoke_ack(
        &mut self,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        ctx: &mut Context,
    ) {
        let is_current = self.store.get(session).is_some_and(|record| record.epoch == epoch);
        if is_current && self.outgoing.contains_key(&session) {
            self.permits.remove(&(session, from));
            self.try_transfer(session, ctx);
        }
    }
}
