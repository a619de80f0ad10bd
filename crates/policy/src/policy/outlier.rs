//! Handles the outcomes of attempts: updates the estimates, and temporarily ejects upstreams that
//! fail.
//!
//! [`super::retry`] decides whether the request is retried.

use super::Balancer;
use crate::estimate::SLOWNESS_GAIN;
use crate::interface::{Action, CompletedAttempt, Outcome, Time};
use crate::request_state::{Attempt, AttemptState};

/// First ejection time of an upstream that rejected a request or is unreachable, in mean service
/// times.
const PAUSE_OF_TS: f64 = 0.5;
/// Most doublings of that ejection time: a dead upstream gets an attempt about every thirty service
/// times.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// Most doublings of the ejection time of one class at an upstream. It may grow long, since each
/// new attempt risks a request.
pub(super) const MAX_CLASS_PAUSE_DOUBLINGS: u32 = 10;

impl Balancer {
    /// Records the outcome of an attempt, then retries or finishes its request.
    pub(super) fn on_attempt_completed(
        &mut self,
        now: Time,
        completed: CompletedAttempt,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.queue.get_mut(completed.request) else { return };
        let in_flight = |a: &&mut Attempt| a.state == AttemptState::InFlight;
        let Some(attempt) = entry.attempts.get_mut(completed.attempt).filter(in_flight) else {
            return;
        };
        attempt.state = if completed.outcome.never_ran() {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        let attempt = *attempt;
        entry.body_consumed |= completed.body_consumed;
        entry.streams_body &= !completed.body_consumed;
        let (class, ordering_key) = (entry.class, entry.ordering_key);
        if matches!(completed.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            // The attempt may still be running at the upstream.
            self.queue.rest_key(ordering_key, now.plus(self.settings.rules.ordering_key_rest));
        }
        self.learn(now, class, attempt, &completed);
        self.close_idle_connections(now, attempt.server, out);
        if completed.last || completed.outcome == Outcome::Ok {
            self.finish(completed.request);
        } else {
            self.retry_or_finish(now, completed.request, out);
        }
        self.dispatch(now, out);
    }

    /// Updates all estimates with an outcome, and releases the slot of its attempt.
    fn learn(&mut self, now: Time, class: usize, attempt: Attempt, completed: &CompletedAttempt) {
        let server = attempt.server;
        let outcome = completed.outcome;
        let is_ok = outcome == Outcome::Ok;
        // A single implausible latency must not distort the mean of its class.
        let latency = completed
            .latency
            .as_micros_f64()
            .clamp(1.0, self.settings.classes[class].deadline.as_micros_f64());
        self.record_level(now, server, is_ok.then_some(class));
        // A probed upstream runs more requests than usual, so its latency does not reflect its
        // speed.
        let s = &self.upstreams.servers[server];
        let is_probe = s.in_flight > Self::k(s, 0);
        if is_ok && !is_probe {
            self.learn_latency(class, latency);
        }
        self.count_served(now, server, outcome);
        let mean = self.overall.mean_latency[class];
        let mean = if mean > 0.0 { mean } else { self.overall.ts };
        self.adjust_leeway(latency / mean, outcome);
        self.learn_unanswered(class, attempt, outcome);
        // An overdue attempt was already counted as timed out when it became overdue.
        let is_already_counted = attempt.overdue && outcome == Outcome::Timeout;
        let is_uninformative = is_already_counted || is_ok && is_probe;
        if !is_uninformative {
            self.learn_slowness(server, outcome, latency, mean);
        }
        self.eject_or_restore(now, class, attempt, outcome, mean);
        if !attempt.slot_released {
            self.upstreams.count_in_flight(server, -1);
        }
        self.update(server);
        self.refresh_availability(now, server);
    }

    /// Counts an answer of a warm upstream for its machine type. Slow start paces sends by this
    /// count.
    ///
    /// Sends would be a wrong measure: under overload, the sends of all balancers add up to a
    /// multiple of the capacity of an upstream.
    fn count_served(&mut self, now: Time, server: usize, outcome: Outcome) {
        let s = &self.upstreams.servers[server];
        if outcome == Outcome::Ok && self.warm_up_share(now, s).is_none() {
            self.upstreams.machine_types.count_served(s.type_index);
        }
    }

    /// Updates the share of attempts that were late enough to be hedged and were never answered.
    fn learn_unanswered(&mut self, class: usize, attempt: Attempt, outcome: Outcome) {
        if attempt.hedge_due && outcome != Outcome::Cancelled {
            let share = &mut self.overall.unanswered_share[class];
            *share += (f64::from(outcome != Outcome::Ok) - *share) * SLOWNESS_GAIN;
        }
    }

    /// Updates the estimates of one upstream, and the sum of the propagation times of all upstreams.
    fn learn_slowness(&mut self, server: usize, outcome: Outcome, latency: f64, mean: f64) {
        let estimate = &mut self.upstreams.servers[server].estimate;
        let before = estimate.tp2;
        estimate.learn(outcome, latency, mean);
        self.overall.tp2_sum.change(before, estimate.tp2);
        self.overall.tp2_count += usize::from(before.is_none() && estimate.tp2.is_some());
    }

    /// Ejects an upstream after a fault, either for all classes or for the class of the attempt. An
    /// answer ends both kinds of ejection.
    fn eject_or_restore(
        &mut self,
        now: Time,
        class: usize,
        attempt: Attempt,
        outcome: Outcome,
        mean: f64,
    ) {
        let s = &mut self.upstreams.servers[attempt.server];
        match outcome {
            Outcome::Full | Outcome::ConnectFailed => {
                s.breaker.trip(now, self.overall.ts * PAUSE_OF_TS, MAX_PAUSE_DOUBLINGS);
            }
            Outcome::Ok => {
                s.last_answered_sent = s.last_answered_sent.max(attempt.sent);
                s.breaker.faults = 0;
                s.class_breakers.reset(class);
            }
            Outcome::Error | Outcome::Timeout | Outcome::Reset if !attempt.overdue => {
                s.class_breakers.get_mut(class).trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
            }
            _ => {}
        }
    }
}
