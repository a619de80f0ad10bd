//! Admits or rejects a request that arrives, by the wait that the fleet's capacity lets it expect.
//!
//! When an admitted request is sent is for [`super::dispatch`] to say.

use super::Balancer;
use super::selection::Slots;
use crate::interface::{Action, Refusal, Request, RequestId, SignedDuration, Time};
use crate::ranks::Figures;
use crate::request_state::RequestState;

/// Share of the latency objective that wait and service may take on average: the rest is for the
/// spread of service.
const MAX_WAIT_OF_OBJECTIVE: f64 = 0.7;
/// Share of the tolerable wait that the class of least priority for its work may use.
const MIN_WAIT_PART: f64 = 0.2;

impl Balancer {
    /// A client's request has arrived; it is sent, queued or rejected.
    pub(super) fn request(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class).filter(|_| !self.expired) else {
            let reason = if self.expired { Refusal::ListExpired } else { Refusal::UnknownClass };
            out.push(Action::Refuse { request: id, retry_after: SignedDuration(0), reason });
            return;
        };
        if self.queue.get(id).is_some() {
            return;
        }
        let mut entry = RequestState::new(&request, class.in_order);
        entry.set_deadlines(now, class, request.send_deadline, self.give_up_margin());
        let queue_deadline = entry.queue_deadline;
        let waiting_for_key = self.queue.waiting_for_key(entry.ordering_key);
        self.queue.insert(now, id, entry);
        let is_within_quota = self.is_within_quota(now, request.tenant);
        let wait = waiting_for_key as f64 * self.fleet.mean_latency[request.class];
        let earliest_start = now.plus(SignedDuration::from_micros_f64(wait));
        let at_once = self.pick_at_once(now, &request, is_within_quota);
        if earliest_start >= queue_deadline {
            return self.refuse(id, Refusal::DeadlineTooClose, out);
        }
        if at_once.is_none() && !self.admits(request.class, is_within_quota) {
            let reason = if is_within_quota { Refusal::QueueFull } else { Refusal::OverQuota };
            return self.refuse(id, reason, out);
        }
        if is_within_quota {
            self.quotas.spend(request.tenant);
        }
        if let Some(server) = at_once {
            return self.send(now, id, server, out);
        }
        self.hold(id, false);
        self.dispatch(now, out);
        if self.queue.get(id).is_some_and(|e| e.is_queued) {
            self.queue.give_up_at(queue_deadline, id);
        }
    }

    /// The upstream for a request that comes to an empty queue. Such a request is not rejected
    /// while a slot is free.
    fn pick_at_once(
        &mut self,
        now: Time,
        request: &Request,
        is_within_quota: bool,
    ) -> Option<usize> {
        let may_run = |e| self.queue.may_run_in_order(now, request.id, e);
        let is_next = self.queue.is_empty() && self.queue.get(request.id).is_some_and(may_run);
        if !is_next || !is_within_quota || self.is_at_limit(request.class) {
            return None;
        }
        self.pick(now, request.id, Slots::Ordinary).ok()
    }

    /// Whether queued requests and attempts in flight stay below the sum of N_i.
    ///
    /// T_QoS is the same for all classes: the wait that even the tightest one tolerates. With
    /// longer ones, classes with a long objective would fill the queue and starve the others.
    /// Classes of less priority for their work, and tenants beyond their quota, get a smaller part
    /// of it.
    fn admits(&self, class: usize, is_within_quota: bool) -> bool {
        let part = if is_within_quota { self.wait_part(class) } else { 0.0 };
        let load = self.upstreams.capacity_groups.load(class);
        let n = load.n_per_time * (self.fleet.ts + self.fleet.tolerable_wait * part);
        // With no list yet there is no N_i to sum: the request waits for an upstream until its
        // deadline.
        n == 0.0 || ((load.queued + load.in_flight) as f64) < n.max(1.0)
    }

    /// Share of the tolerable wait that a class may use.
    pub(crate) fn wait_part(&self, class: usize) -> f64 {
        let ranked = || MIN_WAIT_PART + (1.0 - MIN_WAIT_PART) * self.ranks.rank(class);
        self.ranks.restored_part(class).unwrap_or_else(ranked)
    }

    /// Recomputes the tolerable wait, and how classes rank by their priority for their work.
    pub(super) fn refresh_admission(&mut self) {
        let (classes, mean) = (&self.settings.classes, &self.fleet.mean_latency);
        self.ranks.refresh(|c| Figures {
            value: classes[c].priority_weight / mean[c].max(1.0),
            bearable: classes[c].latency_objective.as_micros_f64() * MAX_WAIT_OF_OBJECTIVE
                - mean[c],
        });
        self.fleet.tolerable_wait = self.ranks.least_bearable().max(0.0);
    }

    /// Whether one more request of a tenant is within its quota. A rejected request uses none of
    /// it.
    fn is_within_quota(&mut self, now: Time, tenant: usize) -> bool {
        let Some(of) = self.settings.tenants.get(tenant) else { return true };
        self.quotas.refill(now, tenant, of.quota_rps) >= 1.0
    }

    /// Rejects a request, with the time after which all that is queued now has ended as its retry
    /// advice.
    pub(super) fn refuse(&mut self, request: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let longest = self.settings.limits.max_retry_after;
        let retry_after =
            SignedDuration::from_micros_f64(self.fleet.ts + self.fleet.tolerable_wait).min(longest);
        out.push(Action::Refuse { request, retry_after, reason });
        self.end(request);
    }

    /// Ends a request. It is dropped once none of its attempts is in flight.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(entry) = self.queue.get_mut(id) else { return };
        entry.is_finished = true;
        let is_in_flight = entry.is_in_flight();
        self.release(id);
        if is_in_flight {
            return;
        }
        let removed = self.queue.remove(id);
        for attempt in removed.iter().flat_map(|e| &e.attempts) {
            self.upstreams.servers[attempt.server].attempt_refs -= 1;
        }
    }
}
