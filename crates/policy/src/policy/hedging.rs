//! Finds attempts that are overdue, releases their slots, and hedges them with a second attempt
//! elsewhere.
//!
//! Which upstream the second attempt goes to is for [`super::selection`] to say; that it goes out,
//! for [`super::dispatch`].

use super::Balancer;
use super::outlier::MAX_CLASS_PAUSE_DOUBLINGS;
use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{Outcome, RequestId, SignedDuration, Time};
use crate::request_state::{Attempt, AttemptState};

/// Due attempts that each event checks.
pub(super) const CHECKS_PER_EVENT: usize = 4;
/// An attempt is overdue this many mean deviations past its class's mean latency.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// The shortest hedge delay, in mean latencies of the class.
const MIN_HEDGE_MEANS: f64 = 1.5;
/// A class is hedged only if more than this share of its late attempts was never answered: more
/// load would not help a fleet that is merely slow.
const HEDGE_THRESHOLD: f64 = 0.4;

/// An attempt that has just been found late, hedgeable or both.
struct DueAttempt {
    request: RequestId,
    /// Its number among the attempts of the request.
    number: usize,
    class: usize,
    /// As it was before this check.
    attempt: Attempt,
    /// When it became overdue.
    overdue_at: Time,
    is_overdue: bool,
    is_hedge_due: bool,
    /// The client's body is still arriving, so that the delay is not the upstream's fault.
    streams_body: bool,
}

impl Balancer {
    /// When an attempt is overdue, and when it must be hedged for the second attempt to be in time.
    fn due_times(&self, tracked: &TrackedAttempt) -> (Time, Time) {
        let mean = self.fleet.mean_latency[tracked.class];
        let deviation = self.fleet.latency_deviation[tracked.class];
        if mean == 0.0 {
            let objective = self.settings.classes[tracked.class].latency_objective;
            let at = tracked.sent.plus(objective);
            return (at, at);
        }
        let overdue_after = mean + OVERDUE_DEVIATIONS * deviation;
        let latest_hedge = tracked.queue_deadline.since(tracked.sent).as_micros_f64() - mean;
        let hedge_after = overdue_after.min(latest_hedge).max(mean * MIN_HEDGE_MEANS);
        let overdue_at = tracked.sent.plus(SignedDuration::from_micros_f64(overdue_after));
        (overdue_at, tracked.sent.plus(SignedDuration::from_micros_f64(hedge_after)))
    }

    /// Recomputes the least delay after which attempts of a class may be due, from its mean
    /// latency.
    pub(crate) fn reset_hedge_delay(&mut self, class: usize) {
        let mean = self.fleet.mean_latency[class];
        let deviation = self.fleet.latency_deviation[class];
        let least = (mean + OVERDUE_DEVIATIONS * deviation).min(mean * MIN_HEDGE_MEANS);
        let objective = self.settings.classes[class].latency_objective;
        let delay = if mean == 0.0 { objective } else { SignedDuration::from_micros_f64(least) };
        self.tracker.set_hedge_delay(class, delay);
    }

    /// Collects attempts that may be due, at most `limit` of each class.
    pub(super) fn collect_due(&mut self, now: Time, limit: usize) {
        let queue = &self.queue;
        self.tracker.collect_due(now, limit, |tracked| {
            queue.attempt(tracked).is_some_and(|a| a.state == AttemptState::InFlight)
        });
    }

    /// Checks at most `limit` of the attempts that may be due.
    ///
    /// This guards against upstreams that hang or vanish, lost answers, stalls, a class that goes
    /// unanswered and dead connections. Its limit: where requests of one class differ widely, a
    /// heavy one looks lost.
    pub(super) fn check_due(&mut self, now: Time, limit: usize) {
        for _ in 0..limit {
            let Some(tracked) = self.tracker.next() else { return };
            if let Some(due) = self.find_due(now, tracked) {
                self.handle_due(now, due);
            }
        }
    }

    /// The attempt, if it is due. One that is still in flight stays tracked.
    fn find_due(&mut self, now: Time, mut tracked: TrackedAttempt) -> Option<DueAttempt> {
        let (overdue_at, hedge_at) = self.due_times(&tracked);
        if now < overdue_at.min(hedge_at) && !tracked.was_due {
            self.tracker.retain(tracked);
            return None;
        }
        let entry = self.queue.get(tracked.request)?;
        // An attempt whose body was complete only later is tracked anew from then on, with another
        // time of sending.
        let is_tracked = |a: &&Attempt| a.state == AttemptState::InFlight && a.sent == tracked.sent;
        let attempt = entry.attempts.get(tracked.attempt).filter(is_tracked).copied()?;
        let due = DueAttempt {
            request: tracked.request,
            number: tracked.attempt,
            class: entry.class,
            attempt,
            overdue_at,
            is_overdue: attempt.overdue || now >= overdue_at,
            is_hedge_due: attempt.hedge_due || now >= hedge_at,
            streams_body: entry.streams_body,
        };
        tracked.was_due = true;
        self.tracker.retain(tracked);
        Some(due)
    }

    /// Counts an overdue attempt as a fault, hedges it, and releases its slot if it counts as lost.
    fn handle_due(&mut self, now: Time, due: DueAttempt) {
        let server = due.attempt.server;
        let is_hedged = self.may_hedge(now, &due);
        let is_lost = self.is_lost(now, &due);
        let s = &mut self.upstreams.servers[server];
        if is_lost && !due.streams_body && s.last_answered_sent <= due.attempt.sent {
            // Of those not overtaken, one is given up between two answers of an upstream.
            s.last_answered_sent = Time(i64::MIN);
        }
        if due.is_overdue && !due.attempt.overdue && !due.streams_body {
            let mean = self.fleet.mean_latency[due.class].max(1.0);
            s.estimate.learn(Outcome::Timeout, now.since(due.attempt.sent).as_micros_f64(), mean);
            s.by_class.get_mut(due.class).trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
        }
        if is_hedged {
            self.hedge_budget -= 1.0;
            self.hold(due.request, true);
        }
        if is_lost {
            self.count_level(now, server, None);
            self.upstreams.count_in_flight(server, -1);
        }
        let entry = self.queue.get_mut(due.request);
        if let Some(attempt) = entry.and_then(|e| e.attempts.get_mut(due.number)) {
            attempt.overdue = due.is_overdue;
            attempt.hedge_due = due.is_hedge_due;
            attempt.slot_released = due.attempt.slot_released || is_lost;
        }
        if is_lost || due.is_overdue && !due.attempt.overdue {
            self.update(server);
            self.refresh_availability(now, server);
        }
    }

    /// Whether a second attempt may go out now: the first has just become late enough, a second one
    /// promises an answer, slots are idle, and the budget lasts.
    fn may_hedge(&self, now: Time, due: &DueAttempt) -> bool {
        let Some(entry) = self.queue.get(due.request) else { return false };
        let load = self.upstreams.capacity_groups.load(due.class);
        let has_idle_slots = load.queued == 0 && (load.in_flight as f64) < load.slots;
        due.is_hedge_due
            && !due.attempt.hedge_due
            && self.fleet.unanswered_share[due.class] > HEDGE_THRESHOLD
            && has_idle_slots
            && self.hedge_budget >= 1.0
            && !entry.is_finished
            && !entry.is_queued
            && !entry.streams_body
            && now < entry.queue_deadline
            && self.has_upstream(now, entry)
    }

    /// Whether an overdue attempt counts as lost, so that its slot is free again.
    ///
    /// An attempt is lost once a later one was answered by the same upstream. Where K_i is one
    /// there is no later one: then time alone decides. While its body arrives, the client is the
    /// slow one, and the slot is taken again once the body is complete.
    fn is_lost(&self, now: Time, due: &DueAttempt) -> bool {
        let answered = self.upstreams.servers[due.attempt.server].last_answered_sent;
        let sent = due.attempt.sent;
        let is_overtaken = answered > sent;
        let has_timed_out =
            answered > Time(i64::MIN) && now >= due.overdue_at.plus(due.overdue_at.since(sent));
        due.is_overdue
            && !due.attempt.slot_released
            && (is_overtaken || has_timed_out || due.streams_body)
    }
}
