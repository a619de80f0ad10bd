//! Decides whether and where a request may be attempted, and how it ends if no further attempt is
//! allowed.

use super::Balancer;
use crate::interface::{Action, Effect, Group, Refusal, RequestId, Time};
use crate::request_state::{Affinity, AttemptState, RequestState};

impl Balancer {
    /// Returns whether a request may be attempted now, at the upstreams of its [`Self::affinity`].
    /// This is the only place that decides it.
    pub(super) fn may_attempt(&self, now: Time, entry: &RequestState) -> bool {
        let is_used_up = entry.body_consumed || entry.attempts.len() >= self.max_attempts;
        if entry.is_finished || now >= self.send_by(entry) || is_used_up || self.expired {
            return false;
        }
        if entry.is_in_flight() && !self.settings.limits.hedging {
            return false;
        }
        let affinity = self.affinity(entry);
        match self.settings.classes[entry.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => entry.all_never_ran(),
            Effect::Keyed => {
                entry.may_have_run().all(|a| self.upstreams.satisfies(affinity, a.server))
            }
        }
    }

    /// Returns the time until which a request may be sent. For a request with an idempotency key,
    /// it ends with the first deduplication window of its attempts that may have run: afterwards an
    /// upstream might run the request a second time.
    pub(super) fn send_by(&self, entry: &RequestState) -> Time {
        let class = &self.settings.classes[entry.class];
        if class.effect != Effect::Keyed {
            return entry.send_deadline;
        }
        let windows = entry.may_have_run().map(|a| a.sent.plus(class.window));
        windows.fold(entry.send_deadline, Time::min)
    }

    /// Returns the upstreams that a request may be sent to: those of its sticky cell, if it has one.
    /// Once a request with an idempotency key may have run, only the upstreams that drop its repeats
    /// remain.
    pub(super) fn affinity(&self, entry: &RequestState) -> Affinity {
        let class = &self.settings.classes[entry.class];
        let first_run = entry.may_have_run().next().map(|a| &self.upstreams.servers[a.server]);
        match first_run {
            Some(s) if class.effect == Effect::Keyed => match class.group {
                Group::All => Affinity::Any,
                Group::Zone => Affinity::Zone(s.zone),
                Group::Cell => Affinity::Cell(s.zone, s.cell),
            },
            _ => entry.sticky_cell.map_or(Affinity::Any, |(zone, cell)| Affinity::Cell(zone, cell)),
        }
    }

    /// Returns whether a request may be sent to some live upstream, with or without a free slot, at
    /// which the request is not in flight already.
    pub(super) fn has_upstream(&self, now: Time, entry: &RequestState) -> bool {
        let in_flight = entry.attempts.iter().filter(|a| a.state == AttemptState::InFlight);
        let busy: Vec<usize> = in_flight.map(|a| a.server).collect();
        self.may_attempt(now, entry)
            && self.upstreams.has_live(entry.class, self.affinity(entry), &busy)
    }

    /// Returns whether a request may be rejected. A rejection promises the client that it is safe to
    /// send the request again. This is the only place that decides it.
    fn may_refuse(&self, entry: &RequestState) -> bool {
        let class = &self.settings.classes[entry.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => entry.all_never_ran(),
            Effect::Keyed => class.group == Group::All || entry.all_never_ran(),
        }
    }

    /// Queues a request for a retry after a failed attempt, or finishes the request.
    pub(super) fn retry_or_finish(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(entry) = self.queue.get(id) else { return };
        if entry.is_finished {
            return self.finish(id);
        }
        if entry.is_queued || entry.is_in_flight() {
            return;
        }
        if now < entry.queue_deadline && self.has_upstream(now, entry) {
            self.enqueue(id, true);
        } else {
            self.give_up(id, Refusal::AttemptsFailed, out);
        }
    }

    /// Rejects a request if that is safe, or else fails it.
    fn give_up(&mut self, id: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let Some(entry) = self.queue.get(id) else { return };
        if self.may_refuse(entry) {
            self.refuse(id, reason, out);
        } else {
            out.push(Action::Fail { request: id });
            self.finish(id);
        }
    }

    /// Gives up queued requests. A request that is queued for a hedge only leaves the queue, since
    /// its first attempt may still be answered.
    pub(super) fn give_up_all(
        &mut self,
        queued: Vec<RequestId>,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        for id in queued {
            if self.queue.get(id).is_some_and(RequestState::is_in_flight) {
                self.dequeue(id);
            } else {
                self.give_up(id, reason, out);
            }
        }
    }
}
