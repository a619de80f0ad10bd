//! Decides whether and where a request may be attempted (again), and how it ends if it may not.

use super::Balancer;
use crate::interface::{Action, Effect, Group, Refusal, RequestId, Time};
use crate::request_state::{Affinity, AttemptState, RequestState};

impl Balancer {
    /// Whether a request may be attempted now, at the upstreams of its [`Self::affinity`]. Nothing
    /// else decides this.
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

    /// Until when a request may be sent: upstreams drop a repeat only within the window of each
    /// attempt that may have run.
    pub(super) fn send_by(&self, entry: &RequestState) -> Time {
        let class = &self.settings.classes[entry.class];
        if class.effect != Effect::Keyed {
            return entry.send_deadline;
        }
        let windows = entry.may_have_run().map(|a| a.sent.plus(class.window));
        windows.fold(entry.send_deadline, Time::min)
    }

    /// Where a request may be sent: to the cell that it sticks to, and once a keyed one may have
    /// run, only to the upstreams that drop its repeats.
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

    /// Whether there is a live upstream, free or not, that a request may be sent to and where it is
    /// not in flight.
    pub(super) fn has_upstream(&self, now: Time, entry: &RequestState) -> bool {
        let in_flight = entry.attempts.iter().filter(|a| a.state == AttemptState::InFlight);
        let busy: Vec<usize> = in_flight.map(|a| a.server).collect();
        self.may_attempt(now, entry) && self.upstreams.any(entry.class, self.affinity(entry), &busy)
    }

    /// Whether a request may be rejected, which promises that it is harmless to send it again.
    /// Nothing else decides this.
    fn may_refuse(&self, entry: &RequestState) -> bool {
        let class = &self.settings.classes[entry.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => entry.all_never_ran(),
            Effect::Keyed => class.group == Group::All || entry.all_never_ran(),
        }
    }

    /// After an attempt that did not serve a request: queues it for a retry, or ends it.
    pub(super) fn retry_or_finish(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(entry) = self.queue.get(id) else { return };
        if entry.is_finished {
            return self.end(id);
        }
        if entry.is_queued || entry.is_in_flight() {
            return;
        }
        if now < entry.queue_deadline && self.has_upstream(now, entry) {
            self.hold(id, true);
        } else {
            self.give_up(id, Refusal::AttemptsFailed, out);
        }
    }

    /// Rejects a request if that is safe, else fails it.
    fn give_up(&mut self, id: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let Some(entry) = self.queue.get(id) else { return };
        if self.may_refuse(entry) {
            self.refuse(id, reason, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// Gives up queued requests. One that was queued for a hedge only leaves the queue: its first
    /// attempt may still be answered.
    pub(super) fn give_up_all(
        &mut self,
        queued: Vec<RequestId>,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        for id in queued {
            if self.queue.get(id).is_some_and(RequestState::is_in_flight) {
                self.release(id);
            } else {
                self.give_up(id, reason, out);
            }
        }
    }
}
