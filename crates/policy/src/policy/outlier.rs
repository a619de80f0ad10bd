//! Takes in the outcomes of attempts: learns from them, and ejects upstreams that fail.

use super::Balancer;
use crate::estimate::TS_GAIN;
use crate::interface::{Action, Answer, Outcome, Time};
use crate::request_state::{Attempt, AttemptState};

/// An upstream that turned a request away or can't be reached rests for this share of the mean service time.
const PAUSE_OF_TS: f64 = 0.5;
/// Most doublings of that: some thirty service times between trials of a dead upstream.
const PAUSE_DOUBLINGS: u32 = 6;
/// Most doublings where one class goes unanswered: a trial costs a request; no pause outlasts the trouble.
pub(super) const CLASS_DOUBLINGS: u32 = 10;

impl Balancer {
    pub(super) fn outcome(&mut self, now: Time, a: Answer, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get_mut(a.request) else { return };
        let Some(attempt) =
            e.attempts.get_mut(a.attempt).filter(|t| t.state == AttemptState::InFlight)
        else {
            return;
        };
        attempt.state =
            if a.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let attempt = *attempt;
        let server = attempt.server;
        (e.spent, e.flows) = (e.spent || a.spent, e.flows && !a.spent);
        let (class, ordering_key) = (e.class, e.ordering_key);
        let may_run = matches!(a.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let rest_key = now.plus(self.settings.rules.turn_gap);
        self.queue.rest_key(ordering_key.filter(|_| may_run), rest_key);
        self.learn(now, class, attempt, &a);
        self.close_idle_connections(now, server, out);
        if a.last || a.outcome == Outcome::Ok {
            self.end(a.request);
        } else {
            self.retry_or_finish(now, a.request, out);
        }
        self.dispatch(now, out);
    }

    pub(super) fn learn(&mut self, now: Time, class: usize, attempt: Attempt, a: &Answer) {
        let server = attempt.server;
        // Failure: one absurd latency put the mean of its class out of reach for good.
        let latency = a.latency.f().clamp(1.0, self.settings.classes[class].deadline.f());
        self.count_level(now, server, (a.outcome == Outcome::Ok).then_some(class));
        // Failure: a second lane on trial made an upstream look slow, and drove its proxy into the parts of
        // others.
        let tried =
            self.upstreams.servers[server].in_flight > Self::k(&self.upstreams.servers[server], 0);
        if a.outcome == Outcome::Ok && !tried {
            self.learn_latency(class, latency);
        }
        // What warm upstreams served counts, not what they were sent: in a storm of refusals the sends of a
        // bank add up to a multiple of what any upstream can do.
        let s = &self.upstreams.servers[server];
        if a.outcome == Outcome::Ok && self.warm_up_share(now, s).is_none() {
            self.upstreams.kinds.count_served(s.type_index);
        }
        let mean = self.fleet.mean_latency[class];
        let mean = if mean > 0.0 { mean } else { self.fleet.ts };
        self.adjust_leeway(latency / mean, a.outcome);
        let s = &mut self.upstreams.servers[server];
        if attempt.hedge_due && a.outcome != Outcome::Cancelled {
            let hopeless = &mut self.fleet.unanswered_share[class];
            *hopeless += (f64::from(a.outcome != Outcome::Ok) - *hopeless) * TS_GAIN;
        }
        let counted = attempt.overdue && a.outcome == Outcome::Timeout;
        if !counted && (a.outcome != Outcome::Ok || !tried) {
            let tp2 = s.estimate.tp2;
            s.estimate.learn(a.outcome, latency, mean);
            self.fleet.tp2_sum.change(tp2, s.estimate.tp2);
            self.fleet.tp2_count += usize::from(tp2.is_none() && s.estimate.tp2.is_some());
        }
        match a.outcome {
            Outcome::Full | Outcome::ConnectFailed => {
                s.breaker.trip(now, self.fleet.ts * PAUSE_OF_TS, PAUSE_DOUBLINGS);
            }
            Outcome::Ok => {
                s.last_answered_sent = s.last_answered_sent.max(attempt.sent);
                s.breaker.faults = 0;
                s.by_class.reset(class);
            }
            Outcome::Error | Outcome::Timeout | Outcome::Reset if !attempt.overdue => {
                s.by_class.get_mut(class).trip(now, mean, CLASS_DOUBLINGS);
            }
            _ => {}
        }
        if !attempt.slot_released {
            self.upstreams.count_in_flight(server, -1);
        }
        self.update(server);
        self.refresh_availability(now, server);
    }
}
