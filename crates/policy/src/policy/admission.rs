//! Admits or rejects an arriving request, according to the wait that the capacity of the upstreams
//! implies for it.
//!
//! [`super::dispatch`] decides when an admitted request is sent.

use super::Balancer;
use super::selection::Slots;
use crate::interface::{Action, Refusal, Request, RequestId, SignedDuration, Time};
use crate::ranks::ClassFigures;
use crate::request_state::RequestState;

/// Share of the latency objective that wait plus mean service time may take. The rest is reserved
/// for the variation of service times.
const MAX_WAIT_OF_OBJECTIVE: f64 = 0.7;
/// Share of the tolerable wait that the class with the least priority weight per unit of work may
/// use.
const MIN_WAIT_SHARE: f64 = 0.2;

impl Balancer {
    /// Sends, queues or rejects a request that a client has sent.
    pub(super) fn on_request(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
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
        let wait = waiting_for_key as f64 * self.overall.mean_latency[request.class];
        let earliest_start = now.plus(SignedDuration::from_micros_f64(wait));
        let immediate_server = self.pick_immediately(now, &request, is_within_quota);
        if earliest_start >= queue_deadline {
            return self.refuse(id, Refusal::DeadlineTooClose, out);
        }
        if immediate_server.is_none() && !self.admits(request.class, is_within_quota) {
            let reason = if is_within_quota { Refusal::QueueFull } else { Refusal::OverQuota };
            return self.refuse(id, reason, out);
        }
        if is_within_quota {
            self.quotas.spend(request.tenant);
        }
        if let Some(server) = immediate_server {
            return self.send(now, id, server, out);
        }
        self.enqueue(id, false);
        self.dispatch(now, out);
        if self.queue.get(id).is_some_and(|e| e.is_queued) {
            self.queue.give_up_at(queue_deadline, id);
        }
    }

    /// Returns the upstream for a request that arrives while the queue is empty. Such a request is
    /// never rejected while a slot is free.
    fn pick_immediately(
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

    /// Returns whether queued requests plus attempts in flight stay below the sum of N_i.
    ///
    /// T_QoS is the same for all classes: the longest wait that even the class with the tightest
    /// latency objective tolerates. With a T_QoS per class, classes with a long objective would
    /// fill the queue and starve the others. Classes with less priority weight per unit of work,
    /// and tenants beyond their quota, may use a smaller share of this wait.
    fn admits(&self, class: usize, is_within_quota: bool) -> bool {
        let wait_share = if is_within_quota { self.wait_share(class) } else { 0.0 };
        let load = self.upstreams.capacity_groups.load(class);
        let n = load.n_per_time * (self.overall.ts + self.overall.tolerable_wait * wait_share);
        // Before the first endpoint list the sum of N_i is zero, and the request is queued until
        // an upstream is listed or its deadline passes.
        n == 0.0 || ((load.queued + load.in_flight) as f64) < n.max(1.0)
    }

    /// Returns the share of the tolerable wait that a class may use.
    pub(crate) fn wait_share(&self, class: usize) -> f64 {
        let ranked = || MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self.ranks.rank(class);
        self.ranks.restored_wait_share(class).unwrap_or_else(ranked)
    }

    /// Recomputes the tolerable wait, and the ranks of the classes by priority weight per unit of
    /// work.
    pub(super) fn refresh_admission(&mut self) {
        let (classes, mean) = (&self.settings.classes, &self.overall.mean_latency);
        self.ranks.refresh(|c| ClassFigures {
            priority: classes[c].priority_weight / mean[c].max(1.0),
            tolerable_wait: classes[c].latency_objective.as_micros_f64() * MAX_WAIT_OF_OBJECTIVE
                - mean[c],
        });
        self.overall.tolerable_wait = self.ranks.shortest_tolerable_wait().max(0.0);
    }

    /// Returns whether one more request of a tenant is within its quota. A rejected request uses
    /// up no quota.
    fn is_within_quota(&mut self, now: Time, tenant: usize) -> bool {
        let Some(of) = self.settings.tenants.get(tenant) else { return true };
        self.quotas.refill(now, tenant, of.quota_rps) >= 1.0
    }

    /// Rejects a request. Its Retry-After is the time by which all requests that are queued now
    /// should have been served.
    pub(super) fn refuse(&mut self, request: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let longest = self.settings.limits.max_retry_after;
        let retry_after =
            SignedDuration::from_micros_f64(self.overall.ts + self.overall.tolerable_wait)
                .min(longest);
        out.push(Action::Refuse { request, retry_after, reason });
        self.finish(request);
    }

    /// Finishes a request, and removes it once none of its attempts is in flight.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(entry) = self.queue.get_mut(id) else { return };
        entry.is_finished = true;
        let is_in_flight = entry.is_in_flight();
        self.dequeue(id);
        if is_in_flight {
            return;
        }
        let removed = self.queue.remove(id);
        for attempt in removed.iter().flat_map(|e| &e.attempts) {
            self.upstreams.servers[attempt.server].attempt_refs -= 1;
        }
    }
}
