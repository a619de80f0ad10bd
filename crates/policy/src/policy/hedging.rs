//! Finds overdue attempts, releases their slots, and hedges them with a second attempt at another
//! upstream.
//!
//! [`super::selection`] chooses the upstream of the second attempt, and [`super::dispatch`] sends
//! it.

use super::Balancer;
use super::outlier::MAX_CLASS_PAUSE_DOUBLINGS;
use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{Outcome, RequestId, SignedDuration, Time};
use crate::request_state::{Attempt, AttemptState};

/// Number of due attempts that each event checks.
pub(super) const CHECKS_PER_EVENT: usize = 4;
/// An attempt is overdue this many mean deviations after the mean latency of its class.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// The shortest hedge delay, in mean latencies of the class.
const MIN_HEDGE_MEANS: f64 = 1.5;
/// A class is hedged only if more than this share of its late attempts was never answered. If
/// upstreams are merely slow, the additional load of hedges does not help.
const HEDGE_THRESHOLD: f64 = 0.4;

/// An attempt that is overdue or due for a hedge.
struct DueAttempt {
    request: RequestId,
    /// Number among the attempts of the request.
    number: usize,
    class: usize,
    /// The state of the attempt before this check.
    attempt: Attempt,
    /// When the attempt became overdue.
    overdue_at: Time,
    is_overdue: bool,
    is_hedge_due: bool,
    /// Whether the client is still sending the request body: then the upstream is not responsible
    /// for the delay.
    streams_body: bool,
}

impl Balancer {
    /// Returns when an attempt becomes overdue, and when it must be hedged so that the second
    /// attempt can be answered in time.
    fn due_times(&self, tracked: &TrackedAttempt) -> (Time, Time) {
        let mean = self.overall.mean_latency[tracked.class];
        let deviation = self.overall.latency_deviation[tracked.class];
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

    /// Recomputes, from the mean latency of a class, the least delay after which its attempts may be
    /// due.
    pub(crate) fn reset_hedge_delay(&mut self, class: usize) {
        let mean = self.overall.mean_latency[class];
        let deviation = self.overall.latency_deviation[class];
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
    /// This guards against upstreams that hang or vanish, lost answers, stalls, a class that an
    /// upstream never answers, and dead connections. Its limitation: where the requests of one class
    /// differ widely, a heavy request looks lost.
    pub(super) fn check_due(&mut self, now: Time, limit: usize) {
        for _ in 0..limit {
            let Some(tracked) = self.tracker.next() else { return };
            if let Some(due) = self.find_due(now, tracked) {
                self.handle_due(now, due);
            }
        }
    }

    /// Returns the attempt if it is due. An attempt that is still in flight remains tracked.
    fn find_due(&mut self, now: Time, mut tracked: TrackedAttempt) -> Option<DueAttempt> {
        let (overdue_at, hedge_at) = self.due_times(&tracked);
        if now < overdue_at.min(hedge_at) && !tracked.was_due {
            self.tracker.retain(tracked);
            return None;
        }
        let entry = self.queue.get(tracked.request)?;
        // When a streamed body is complete, its attempt is tracked again with a new time of
        // sending; the entry with the former time is dropped here.
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

    /// Counts an overdue attempt as a fault, hedges it if that may help, and releases its slot if the
    /// attempt counts as lost.
    fn handle_due(&mut self, now: Time, due: DueAttempt) {
        let server = due.attempt.server;
        let is_hedged = self.may_hedge(now, &due);
        let is_lost = self.is_lost(now, &due);
        let s = &mut self.upstreams.servers[server];
        if is_lost && !due.streams_body && s.last_answered_sent <= due.attempt.sent {
            // At most one attempt that no later attempt overtook counts as lost between two answers
            // of an upstream.
            s.last_answered_sent = Time(i64::MIN);
        }
        if due.is_overdue && !due.attempt.overdue && !due.streams_body {
            let mean = self.overall.mean_latency[due.class].max(1.0);
            s.estimate.learn(Outcome::Timeout, now.since(due.attempt.sent).as_micros_f64(), mean);
            s.class_breakers.get_mut(due.class).trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
        }
        if is_hedged {
            self.hedge_budget -= 1.0;
            self.enqueue(due.request, true);
        }
        if is_lost {
            self.record_level(now, server, None);
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

    /// Returns whether a second attempt may be sent now: the first attempt has just become due for a
    /// hedge, a second attempt is likely to be answered, slots are idle, and the hedge budget is not
    /// used up.
    fn may_hedge(&self, now: Time, due: &DueAttempt) -> bool {
        let Some(entry) = self.queue.get(due.request) else { return false };
        let load = self.upstreams.capacity_groups.load(due.class);
        let has_idle_slots = load.queued == 0 && (load.in_flight as f64) < load.slots;
        due.is_hedge_due
            && !due.attempt.hedge_due
            && self.overall.unanswered_share[due.class] > HEDGE_THRESHOLD
            && has_idle_slots
            && self.hedge_budget >= 1.0
            && !entry.is_finished
            && !entry.is_queued
            && !entry.streams_body
            && now < entry.queue_deadline
            && self.has_upstream(now, entry)
    }

    /// Returns whether an overdue attempt counts as lost, so that its slot is released.
    ///
    /// An attempt counts as lost once the same upstream has answered a later attempt. Where K_i is
    /// one there is no later attempt, so that only a timeout applies. An attempt whose body is still
    /// arriving also releases its slot, since the client causes the delay; it takes a slot again
    /// when the body is complete.
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
