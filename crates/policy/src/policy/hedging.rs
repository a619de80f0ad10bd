//! Finds attempts that are overdue, and hedges them.

use super::Balancer;
use super::outlier::CLASS_DOUBLINGS;
use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{Outcome, Span, Time};
use crate::request_state::{Attempt, AttemptState};

/// Attempts that each event looks at, of those that may be overdue.
pub(super) const CHECKS_PER_EVENT: usize = 4;
/// An attempt is overdue so many mean deviations past its class's mean latency.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// A second copy goes no sooner than after so many times the mean.
const MIN_HEDGE_MEANS: f64 = 1.5;
/// And only where more than this share of those so late were never answered: a slow fleet needs no more load.
const HEDGE_THRESHOLD: f64 = 0.4;

impl Balancer {
    /// When an attempt is overdue, long past its class's latency; and when a second one must go to be in
    /// time.
    fn due_times(&self, w: &TrackedAttempt) -> (Time, Time) {
        let (mean, dev) = (self.fleet.mean_latency[w.class], self.fleet.latency_deviation[w.class]);
        if mean == 0.0 {
            let latency_objective = w.sent.plus(self.settings.classes[w.class].latency_objective);
            return (latency_objective, latency_objective);
        }
        let hedge_delay = mean + OVERDUE_DEVIATIONS * dev;
        let left = w.queue_deadline.since(w.sent).f() - mean;
        let again = hedge_delay.min(left).max(mean * MIN_HEDGE_MEANS);
        (w.sent.plus(Span::of(hedge_delay)), w.sent.plus(Span::of(again)))
    }

    /// Sets when an attempt of a class may be overdue, or in need of a second one, from its mean.
    pub(crate) fn reset_hedge_delay(&mut self, class: usize) {
        let (mean, dev) = (self.fleet.mean_latency[class], self.fleet.latency_deviation[class]);
        let least = (mean + OVERDUE_DEVIATIONS * dev).min(mean * MIN_HEDGE_MEANS);
        let latency_objective = self.settings.classes[class].latency_objective;
        self.tracker
            .set_hedge_delay(class, if mean == 0.0 { latency_objective } else { Span::of(least) });
    }

    /// Attempts that may be due leave the young ones; so many a class.
    pub(super) fn collect_due(&mut self, now: Time, most: usize) {
        let queue = &self.queue;
        self.tracker.collect_due(now, most, |w| {
            queue.attempt(w).is_some_and(|a| a.state == AttemptState::InFlight)
        });
    }

    /// Watches what is out. What is overdue is a fault of its upstream in its class; in time for a second
    /// one, it is sent elsewhere too where that is allowed, promises something and the budget lasts. Guards
    /// against hung and vanished upstreams, lost answers, stalls, a class that goes unanswered, dead
    /// connections. May hurt where requests of one class differ widely: a heavy one looks lost.
    pub(super) fn check_due(&mut self, now: Time, most: usize) {
        for _ in 0..most {
            let Some(mut w) = self.tracker.next() else { return };
            let (late_at, again_at) = self.due_times(&w);
            if now < late_at.min(again_at) && !w.late {
                self.tracker.retain(w);
                continue;
            }
            let (id, n) = (w.request, w.attempt);
            let Some(e) = self.queue.get(id) else { continue };
            // One that flowed when it was sent is watched anew since it is whole.
            let out = |a: &&Attempt| a.state == AttemptState::InFlight && a.sent == w.sent;
            let Some(a) = e.attempts.get(n).filter(out).copied() else { continue };
            w.late = true;
            self.tracker.retain(w);
            let (late, hedge_due) = (a.overdue || now >= late_at, a.hedge_due || now >= again_at);
            let capacity_group = self.upstreams.capacity_groups.load(e.class);
            let idle = capacity_group.queued == 0
                && (capacity_group.in_flight as f64) < capacity_group.slots;
            let likely = self.fleet.unanswered_share[e.class] > HEDGE_THRESHOLD;
            let again = hedge_due && !a.hedge_due && likely && idle && self.hedge_budget >= 1.0;
            let again =
                again && !e.is_finished && !e.is_queued && !e.flows && now < e.queue_deadline;
            let again = again && self.has_upstream(now, e);
            let (class, server, was_late, flows) = (e.class, a.server, a.overdue, e.flows);
            let s = &mut self.upstreams.servers[server];
            // Failure: lost answers held their slots for two aims, and the fleet was refused for. What is
            // overtaken is lost. With a K_i of one nothing overtakes (silent connections held all slots), so
            // between two answers of an upstream one is given up on time alone.
            let over =
                s.last_answered_sent > Time(i64::MIN) && now >= late_at.plus(late_at.since(a.sent));
            // Its client is slow, not its upstream: it has the slot again once it is whole.
            let lost = late && !a.slot_released && (s.last_answered_sent > a.sent || over || flows);
            if lost && !flows && s.last_answered_sent <= a.sent {
                s.last_answered_sent = Time(i64::MIN);
            }
            if late && !a.overdue && !flows {
                let mean = self.fleet.mean_latency[class].max(1.0);
                s.estimate.learn(Outcome::Timeout, now.since(a.sent).f(), mean);
                s.by_class.get_mut(class).trip(now, mean, CLASS_DOUBLINGS);
            }
            if again {
                self.hedge_budget -= 1.0;
                self.hold(id, true);
            }
            if lost {
                self.count_level(now, a.server, None);
                self.upstreams.count_in_flight(a.server, -1);
            }
            if let Some(a) = self.queue.get_mut(id).and_then(|e| e.attempts.get_mut(n)) {
                (a.overdue, a.hedge_due, a.slot_released) =
                    (late, hedge_due, a.slot_released || lost);
            }
            if lost || late && !was_late {
                self.update(server);
                self.refresh_availability(now, server);
            }
        }
    }
}
