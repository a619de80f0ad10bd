//! Decides whether and where a request may be attempted again, and ends it if it may not.

use super::Balancer;
use crate::interface::{Action, Effect, Group, Refusal, RequestId, Time};
use crate::request_state::{Affinity, AttemptState, RequestState};

impl Balancer {
    /// The one place that says whether a request may be sent (again), now, within [`Self::affinity`].
    pub(super) fn may_attempt(&self, now: Time, e: &RequestState) -> bool {
        let limits = &self.settings.limits;
        let tried = e.spent || e.attempts.len() >= self.max_attempts;
        if e.is_finished || now >= self.send_by(e) || tried || self.expired {
            return false;
        }
        if e.is_in_flight() && !limits.second_copies {
            return false;
        }
        let affinity = self.affinity(e);
        match self.settings.classes[e.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => e.may_have_run().all(|a| self.upstreams.satisfies(affinity, a.server)),
        }
    }

    /// Until when it may be sent, wherever its next attempt waits: a repeat is dropped only within the window
    /// of each attempt that may have run.
    pub(super) fn send_by(&self, e: &RequestState) -> Time {
        let class = &self.settings.classes[e.class];
        let keyed = e.may_have_run().filter(|_| class.effect == Effect::Keyed);
        keyed.map(|a| a.sent.plus(class.window)).fold(e.send_deadline, Time::min)
    }

    /// Where it may go: to its pod; once a keyed one may have run, only to those that drop its repeats.
    pub(super) fn affinity(&self, e: &RequestState) -> Affinity {
        let class = &self.settings.classes[e.class];
        match e.may_have_run().next().map(|a| &self.upstreams.servers[a.server]) {
            Some(s) if class.effect == Effect::Keyed => match class.group {
                Group::All => Affinity::Any,
                Group::Zone => Affinity::Zone(s.zone),
                Group::Cell => Affinity::Cell(s.zone, s.cell),
            },
            _ => e.sticky_cell.map_or(Affinity::Any, |(zone, cell)| Affinity::Cell(zone, cell)),
        }
    }

    /// Whether there is an upstream at all that a request may go to.
    pub(super) fn has_upstream(&self, now: Time, e: &RequestState) -> bool {
        let out = e.attempts.iter().filter(|a| a.state == AttemptState::InFlight).map(|a| a.server);
        let out: Vec<usize> = out.collect();
        self.may_attempt(now, e) && self.upstreams.any(e.class, self.affinity(e), &out)
    }

    /// The one place that says whether a request may be refused.
    fn may_refuse(&self, e: &RequestState) -> bool {
        let class = &self.settings.classes[e.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => class.group == Group::All || e.all_never_ran(),
        }
    }

    /// After an attempt that did not serve: again, or an end.
    pub(super) fn retry_or_finish(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get(id) else { return };
        if e.is_finished {
            return self.end(id);
        }
        if e.is_queued || e.is_in_flight() {
            return;
        }
        if now < e.queue_deadline && self.has_upstream(now, e) {
            self.hold(id, true);
        } else {
            self.give_up(id, Refusal::AttemptsFailed, out);
        }
    }

    fn give_up(&mut self, id: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get(id) else { return };
        if self.may_refuse(e) {
            self.refuse(id, reason, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// Refuses what was held too long.
    pub(super) fn give_up_all(
        &mut self,
        held: Vec<RequestId>,
        reason: Refusal,
        out: &mut Vec<Action>,
    ) {
        for id in held {
            // One with an attempt out waited for a second; the first may still be answered.
            if self.queue.get(id).is_some_and(RequestState::is_in_flight) {
                self.release(id);
            } else {
                self.give_up(id, reason, out);
            }
        }
    }
}
