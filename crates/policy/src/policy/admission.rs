//! Admits, holds or rejects a request that arrives.

use super::Balancer;
use crate::interface::{Action, Refusal, Request, RequestId, Span, Time};
use crate::ranks::Figures;
use crate::request_state::RequestState;

/// Share of the aim that queue and service may take to be admitted: the rest is for the spread of service.
const MAX_WAIT_OF_OBJECTIVE: f64 = 0.7;
/// Part of the bearable wait that the class of least worth for its work may use.
const MIN_WAIT_PART: f64 = 0.2;

impl Balancer {
    /// A client request has arrived; it is sent, held or refused.
    pub(super) fn request(&mut self, now: Time, r: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(r.class).filter(|_| !self.expired) else {
            let reason = if self.expired { Refusal::ListExpired } else { Refusal::UnknownClass };
            out.push(Action::Refuse { request: r.id, retry_after: Span(0), reason });
            return;
        };
        if self.queue.get(r.id).is_some() {
            return;
        }
        let mut entry = RequestState::new(&r, class.in_order);
        entry.date(now, class, r.send_deadline, self.give_up_margin());
        let queue_deadline = entry.queue_deadline;
        let waiting_for_key = self.queue.waiting_for_key(entry.ordering_key);
        self.queue.insert(now, r.id, entry);
        let is_within_quota = self.is_within_quota(now, r.tenant);
        let starts = now.plus(Span::of(waiting_for_key as f64 * self.fleet.mean_latency[r.class]));
        // Who comes to an empty queue is sent right away, and is not refused while somebody stands idle.
        let may_run_in_order = |e| self.queue.may_run_in_order(now, r.id, e);
        let first = self.queue.is_empty() && self.queue.get(r.id).is_some_and(may_run_in_order);
        let idle = first && is_within_quota && !self.is_at_limit(r.class);
        let at_once = if idle { self.pick(now, r.id, false).ok() } else { None };
        if starts >= queue_deadline {
            return self.refuse(r.id, Refusal::NoTime, out);
        }
        if at_once.is_none() && !self.admits(r.class, is_within_quota) {
            let reason = if is_within_quota { Refusal::QueueFull } else { Refusal::OverShare };
            return self.refuse(r.id, reason, out);
        }
        if is_within_quota {
            self.quotas.spend(r.tenant);
        }
        if let Some(server) = at_once {
            return self.send(now, r.id, server, out);
        }
        self.hold(r.id, false);
        self.dispatch(now, out);
        if self.queue.get(r.id).is_some_and(|e| e.is_queued) {
            self.queue.give_up_at(queue_deadline, r.id);
        }
    }

    /// The paper's check: queued plus in-flight stay under the sum of N_i. T_QoS is one for all, the wait
    /// that even the tightest class can bear, or long aims would fill the queue and starve short ones;
    /// classes worth less for their work get a smaller part of it.
    fn admits(&self, class: usize, is_within_quota: bool) -> bool {
        // Failure: a tenant that sent three times its share took the others' part of a full fleet.
        let part = if is_within_quota { self.wait_part(class) } else { 0.0 };
        let capacity_group = self.upstreams.capacity_groups.load(class);
        let n = capacity_group.n_per_time * (self.fleet.ts + self.fleet.tolerable_wait * part);
        // With no list yet there is no N to sum: hold until an upstream shows or time is up.
        n == 0.0 || ((capacity_group.queued + capacity_group.in_flight) as f64) < n.max(1.0)
    }

    /// Part of the bearable wait that a class may use.
    pub(crate) fn wait_part(&self, class: usize) -> f64 {
        let ranked = || MIN_WAIT_PART + (1.0 - MIN_WAIT_PART) * self.ranks.rank(class);
        self.ranks.restored_part(class).unwrap_or_else(ranked)
    }

    pub(super) fn refresh_admission(&mut self) {
        let (classes, mean) = (&self.settings.classes, &self.fleet.mean_latency);
        self.ranks.refresh(|c| Figures {
            value: classes[c].priority_weight / mean[c].max(1.0),
            bearable: classes[c].latency_objective.f() * MAX_WAIT_OF_OBJECTIVE - mean[c],
        });
        self.fleet.tolerable_wait = self.ranks.least_bearable().max(0.0);
    }

    /// Whether one more request of this tenant is within its share; what is refused uses up none.
    fn is_within_quota(&mut self, now: Time, tenant: usize) -> bool {
        let Some(of) = self.settings.tenants.get(tenant) else { return true };
        // A share unused for the life of a request is gone: the fleet did not wait for it.
        self.quotas.refill(now, tenant, of.quota_rps) >= 1.0
    }

    pub(super) fn refuse(&mut self, request: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        // By then all that is queued now has ended: who comes sooner stands behind the same queue.
        let most = self.settings.limits.max_retry_after;
        let retry_after = Span::of(self.fleet.ts + self.fleet.tolerable_wait).min(most);
        out.push(Action::Refuse { request, retry_after, reason });
        self.end(request);
    }

    pub(super) fn end(&mut self, id: RequestId) {
        let Some(e) = self.queue.get_mut(id) else { return };
        e.is_finished = true;
        let out = e.is_in_flight();
        self.release(id);
        if out {
            return;
        }
        let gone = self.queue.remove(id);
        for a in gone.iter().flat_map(|e| &e.attempts) {
            self.upstreams.servers[a.server].attempt_refs -= 1;
        }
    }
}
