//! Routes the requests of this balancer: by an owned or cached record, by the owner's answer, or by hash if no answer
//! arrives in time. The owner's side is in [`ownership`](crate::ownership).

use hollowpaddle_peer_transport::NodeId;

use crate::config::PERMIT_MS;
use crate::ids::{Epoch, SessionId};
use crate::interface::{Action, ExecutionStatus, RoutingDecision, RoutingFailure};
use crate::key_entry::KeyEntry;
use crate::message::{Message, RouteOutcome, RouteRequest};
use crate::record_cache::CachedRecord;
use crate::requests::{PendingRequest, Request, Route, RoutedRequest};
use crate::state::{Context, Sessions, Timer};
use crate::time::{to_duration, to_millis, to_ticks, to_ticks_rounded_up};

/// The time after which a route request is sent again, in ms. As datagrams may be lost, the longest wait allows several
/// retries.
const REQUEST_RETRY_MS: u64 = 6;

/// Returns a span of this clock, which may be faster by 1 in 100, within which `ms` have not passed on another
/// balancer's clock.
fn drift_lower_bound(ms: u64) -> u64 {
    ms - ms / 100
}

impl Sessions {
    /// Routes a request, or asks the owner of the session for the route.
    pub(crate) fn on_request(&mut self, request: Request, ctx: &mut Context) {
        let is_keyed = request.key().is_some();
        if self.cells.is_empty() {
            return self.decide(request.id, RoutingDecision::Reject(RoutingFailure::NoCell), ctx);
        }
        if !self.holds_slot(ctx.now) {
            return if is_keyed {
                self.decide(request.id, RoutingDecision::Reject(RoutingFailure::NoSlot), ctx);
            } else {
                self.route_by_hash(&request, ctx);
            };
        }
        let usable = self.usable_record(ctx.now, request.session).filter(|_| !is_keyed);
        if let Some((route, until)) = usable {
            let number = self.next_number();
            let routed = RoutedRequest { session: request.session, key: None, number, until };
            return self.route_by_record(request.id, routed, route, ctx);
        }
        self.start_pending(request, ctx);
    }

    fn start_pending(&mut self, request: Request, ctx: &mut Context) {
        let remaining = request.deadline.saturating_sub(ctx.now);
        let share = remaining / u64::from(self.config.wait_divisor.max(1));
        let wait = share.min(to_millis(self.config.max_wait));
        let number = self.next_number();
        let pending = PendingRequest {
            request,
            requested_at: ctx.now,
            give_up_at: ctx.now.saturating_add(wait),
            waits_for_window: false,
            attempts: 0,
            permitted: None,
        };
        if wait == 0 || self.pending.is_full() {
            return self.route_without_record(&request, ctx);
        }
        self.pending.insert(number, pending);
        self.retry_request(number, ctx);
    }

    /// Sends a message for a pending request to the owner or a replica, or routes the request without a record once its
    /// wait has ended.
    pub(crate) fn retry_request(&mut self, number: u32, ctx: &mut Context) {
        let Some(pending) = self.pending.get(number).cloned() else { return };
        let request = pending.request;
        if pending.waits_for_window {
            // The window has ended, so the request is handled again as a new one.
            self.pending.remove(number);
            return self.on_request(request, ctx);
        }
        if ctx.now >= pending.give_up_at || !self.holds_slot(ctx.now) {
            self.pending.remove(number);
            return self.route_without_record(&request, ctx);
        }
        if pending.permitted.is_some() {
            self.replicate_key(number, &pending, ctx);
        } else if let Some(owner) = self.owner_in_zone(request.session) {
            let message = Message::RouteRequest(RouteRequest {
                number,
                session: request.session,
                key: request.key(),
                is_first: request.is_first,
            });
            self.send(owner, message, ctx);
        }
        if let Some(pending) = self.pending.get_mut(number) {
            pending.attempts += 1;
        }
        let retry_at = ctx.now.saturating_add(REQUEST_RETRY_MS).min(pending.give_up_at);
        self.timers.set(retry_at, Timer::Request(number));
    }

    /// Routes a request that the owner did not answer in time. A keyed request is rejected, since its key may have been
    /// executed in an unknown cell; other requests are routed by hash.
    fn route_without_record(&mut self, request: &Request, ctx: &mut Context) {
        if request.key().is_some() {
            let rejection = RoutingDecision::Reject(RoutingFailure::NoRecord);
            return self.decide(request.id, rejection, ctx);
        }
        self.route_by_hash(request, ctx);
    }

    fn route_by_hash(&mut self, request: &Request, ctx: &mut Context) {
        // A record that is not owned is still a better choice than the hash: its cell may have the session's state.
        let recorded = self.store.get(request.session).map(|record| record.cell);
        let recorded = recorded.filter(|cell| self.is_in_force(*cell));
        let decision = match recorded.or_else(|| self.hash_cell(request.session)) {
            Some(cell) => {
                let until = to_duration(request.deadline.max(ctx.now));
                RoutingDecision::Send { cell, epoch: None, until }
            }
            None => RoutingDecision::Reject(RoutingFailure::NoCell),
        };
        self.decide(request.id, decision, ctx);
    }

    fn route_by_record(&mut self, id: u64, routed: RoutedRequest, route: Route, ctx: &mut Context) {
        let until = to_duration(routed.until);
        self.routed.insert(id, routed);
        let Route { cell, epoch } = route;
        self.decide(id, RoutingDecision::Send { cell, epoch: Some(epoch), until }, ctx);
    }

    fn decide(&mut self, id: u64, decision: RoutingDecision, ctx: &mut Context) {
        match decision {
            RoutingDecision::Send { epoch: Some(_), .. } => self.metrics.by_record += 1,
            RoutingDecision::Send { .. } => self.metrics.by_hash += 1,
            RoutingDecision::Reject(_) => self.metrics.rejected += 1,
            RoutingDecision::Fail(_) => self.metrics.failed += 1,
        }
        ctx.actions.push(Action::Route { id, decision });
    }

    /// Handles the owner's answer.
    pub(crate) fn on_route_response(
        &mut self,
        from: NodeId,
        number: u32,
        outcome: RouteOutcome,
        ctx: &mut Context,
    ) {
        let Some(pending) = self.pending.get(number) else { return };
        if pending.waits_for_window || pending.permitted.is_some() {
            return;
        }
        match outcome {
            RouteOutcome::Permit { cell, epoch, cache_ms } => {
                let route = Route { cell, epoch };
                self.cache_record(from, number, route, cache_ms, ctx.now);
                self.on_permit(from, number, route, ctx);
            }
            RouteOutcome::Wait { ms } => self.wait_for_window(number, ms, ctx),
            RouteOutcome::Full => {
                if let Some(pending) = self.pending.remove(number) {
                    let rejection = RoutingDecision::Reject(RoutingFailure::Full);
                    self.decide(pending.request.id, rejection, ctx);
                }
            }
        }
    }

    /// Caches the record in the answer of another owner.
    fn cache_record(&mut self, from: NodeId, number: u32, route: Route, cache_ms: u32, now: u64) {
        let Some(pending) = self.pending.get(number) else { return };
        // The duration counts from the request on, so the record expires here before it does at the owner.
        let duration = drift_lower_bound(u64::from(cache_ms));
        let until = pending.requested_at.saturating_add(duration).min(self.slot_until);
        if cache_ms > 0 && from != self.config.node_id && now < until {
            self.cache.insert(pending.request.session, CachedRecord { route, until });
        }
    }

    fn on_permit(&mut self, from: NodeId, number: u32, route: Route, ctx: &mut Context) {
        let Some(pending) = self.pending.get_mut(number) else { return };
        if from != self.config.node_id || pending.request.key().is_none() {
            return self.use_permit(number, route, ctx);
        }
        pending.permitted = Some(route);
        let pending = pending.clone();
        if self.replicas(pending.request.session).is_empty() {
            self.use_permit(number, route, ctx);
        } else {
            self.replicate_key(number, &pending, ctx);
        }
    }

    /// Lets the request wait for the end of its key's window, if its deadline allows that.
    fn wait_for_window(&mut self, number: u32, wait_ms: u64, ctx: &mut Context) {
        let Some(pending) = self.pending.get_mut(number) else { return };
        let window_end = ctx.now.saturating_add(wait_ms);
        let needed_until = window_end + to_millis(self.config.max_wait) + PERMIT_MS;
        if needed_until <= pending.request.deadline {
            pending.waits_for_window = true;
            self.timers.set(window_end, Timer::Request(number));
        } else if let Some(pending) = self.pending.remove(number) {
            let failure = RoutingDecision::Fail(RoutingFailure::MayHaveExecuted);
            self.decide(pending.request.id, failure, ctx);
        }
    }

    /// Routes a permitted request. The key of a keyed request is stored first, since it may be executed from now on.
    pub(crate) fn use_permit(&mut self, number: u32, route: Route, ctx: &mut Context) {
        let Some(pending) = self.pending.remove(number) else { return };
        let request = pending.request;
        let session = request.session;
        let Some(key) = request.key() else {
            let cached_until = self.cache.get(session).map(|cached| cached.until);
            let until = cached_until.unwrap_or(ctx.now.saturating_add(PERMIT_MS));
            let until = until.min(self.slot_until);
            let routed = RoutedRequest { session, key: None, number, until };
            return self.route_by_record(request.id, routed, route, ctx);
        };
        let permit_end = pending.requested_at.saturating_add(drift_lower_bound(PERMIT_MS));
        let until = permit_end.min(self.slot_until);
        if ctx.now >= until {
            return self.route_without_record(&request, ctx);
        }
        self.drop_expired(ctx.now);
        let expires_at = to_ticks_rounded_up(until.saturating_add(self.retention_ms));
        if !self.sent_keys.record(ctx.now, session, key, route.cell, expires_at) {
            let failure = RoutingDecision::Fail(RoutingFailure::MayHaveExecuted);
            return self.decide(request.id, failure, ctx);
        }
        if !self.is_owner(session) {
            let entry = self.own_key_entry(number, &pending, route, until);
            self.drop_expired(ctx.now);
            if !self.replicated_keys.add(session, key, entry) {
                let rejection = RoutingDecision::Reject(RoutingFailure::Full);
                return self.decide(request.id, rejection, ctx);
            }
        }
        let routed = RoutedRequest { session, key: Some(key), number, until };
        self.route_by_record(request.id, routed, route, ctx);
    }

    /// Returns the entry of a key that this balancer itself may send until `until`.
    fn own_key_entry(
        &self,
        number: u32,
        pending: &PendingRequest,
        route: Route,
        until: u64,
    ) -> KeyEntry {
        let max_delay = to_millis(self.config.max_execution_delay);
        let window = to_millis(self.config.dedup_window);
        let window_end = until.saturating_add(max_delay).saturating_add(window);
        KeyEntry {
            first_permit_at: to_ticks(pending.requested_at),
            expires_at: to_ticks_rounded_up(window_end),
            request: number,
            requester: self.config.node_id,
            cell: route.cell,
        }
    }

    /// Drops a bounded number of expired keys and cached records.
    pub(crate) fn drop_expired(&mut self, now: u64) {
        self.replicated_keys.drop_expired(now);
        self.sent_keys.drop_expired(now);
        self.cache.drop_expired(now);
    }

    /// Records that a request was sent or will not be sent, and continues a transfer that waits for this.
    pub(crate) fn on_sent(&mut self, id: u64, ctx: &mut Context) {
        let Some(session) = self.routed.mark_sent(id) else { return };
        if self.outgoing.contains_key(&session) {
            self.try_transfer(session, ctx);
        }
    }

    /// Records that all attempts of a request have ended. A key that was not executed is removed here and at the owner.
    pub(crate) fn on_finished(&mut self, id: u64, status: ExecutionStatus, ctx: &mut Context) {
        self.on_sent(id, ctx);
        let Some(RoutedRequest { session, key, number, .. }) = self.routed.remove(id) else {
            return;
        };
        let (Some(key), ExecutionStatus::NotExecuted) = (key, status) else { return };
        let own_permit = (self.config.node_id, number);
        let entry = self.replicated_keys.get(session, key);
        if entry.is_some_and(|entry| (entry.requester, entry.request) == own_permit) {
            self.replicated_keys.remove(session, key);
        }
        if let Some(owner) = self.owner_in_zone(session) {
            self.send(owner, Message::AttemptNotRun { number, session, key }, ctx);
        }
    }

    /// Stops using the permits and the cached record of this epoch. Acknowledges the revocation if no routed request of
    /// the session is still to be sent.
    pub(crate) fn on_revoke(
        &mut self,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        ctx: &mut Context,
    ) {
        self.cache.revoke(session, epoch);
        // Responses under the epoch that ends may still be in flight. The requests get new numbers, so that these
        // responses are ignored.
        for number in self.pending.numbers(session) {
            let is_answered = |p: &PendingRequest| p.waits_for_window || p.permitted.is_some();
            if self.pending.get(number).is_some_and(is_answered) {
                continue;
            }
            if let Some(pending) = self.pending.remove(number) {
                let number = self.next_number();
                let retry_at = ctx.now.saturating_add(REQUEST_RETRY_MS).min(pending.give_up_at);
                self.timers.set(retry_at, Timer::Request(number));
                self.pending.insert(number, PendingRequest { requested_at: ctx.now, ..pending });
            }
        }
        if !self.routed.has_unsent(ctx.now, session) {
            self.send(from, Message::RevokeAck { session, epoch }, ctx);
        }
    }
}
