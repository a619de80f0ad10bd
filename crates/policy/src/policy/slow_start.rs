//! Limits the sends to upstreams that are warming up, so that all balancers together do not overload
//! them.
//!
//! Each upstream that is warming up has a token bucket, which earns sends at a pace that grows during
//! the warm-up.

use super::Balancer;
use super::sweep::OWN_DISTANCE;
use crate::interface::{SignedDuration, Time};
use crate::machine_types::Decay;
use crate::upstreams::Server;

/// Pace of sends to an upstream next to this balancer on the ring, as a share of
/// [`crate::interface::Rules::overload_multiple`]. Few balancers are next to the same upstream.
const OWNER_PACE: f64 = 1.0 / 3.0;
/// Largest share of that multiple that all balancers together send by their observed rates.
const OBSERVED_PACE: f64 = 0.5;
/// Time for which an earned send is retained, as a share of
/// [`crate::interface::Rules::overload_window`]. With a longer time, the unused sends of many
/// balancers would go out in one burst.
const RETENTION_OF_WINDOW: f64 = 0.25;
/// Upper limit of a computed wait for an earned send, in microseconds.
const MAX_WAIT_US: f64 = 1e15;

impl Balancer {
    /// Returns the least share of its full capacity that a warming-up upstream has now; `None` once
    /// the upstream is warm.
    pub(super) fn warm_up_share(&self, now: Time, s: &Server) -> Option<f64> {
        let rules = &self.settings.rules;
        let age = now.since(s.started?);
        if age >= rules.warm_up {
            return None;
        }
        let grown = (age.as_micros_f64() / rules.warm_up.as_micros_f64()).max(0.0);
        let initial = rules.warm_up_initial_share;
        Some(initial + (1.0 - initial) * grown)
    }

    /// Returns whether slow start allows a send to an upstream now.
    pub(super) fn has_earned_send(&self, now: Time, s: &Server) -> bool {
        self.earned_sends(now, s).is_none_or(|sends| sends >= 1.0)
    }

    /// Returns the sends that a warming-up upstream has earned by now and not used; `None` once the
    /// upstream is warm.
    fn earned_sends(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.warm_up_share(now, s)?;
        let pace = self.warm_up_pace(s) * share;
        let earned = s.earned_sends + now.since(s.earned_at).as_micros_f64().max(0.0) * pace;
        let retained =
            pace * self.settings.rules.overload_window.as_micros_f64() * RETENTION_OF_WINDOW;
        if retained >= 1.0 {
            return Some(earned.min(1.0));
        }
        Some(if earned > 1.0 + retained { earned.fract() } else { earned })
    }

    /// Returns the sends per microsecond that this balancer may direct at an upstream like `s` once
    /// that is warm.
    fn warm_up_pace(&self, s: &Server) -> f64 {
        let overall = &self.overall;
        let machine_types = &self.upstreams.machine_types;
        let observed_for_type = machine_types.rate(s.type_index);
        let observed =
            if observed_for_type > 0.0 { observed_for_type } else { machine_types.any_rate };
        let observed = s.weight * observed;
        let multiple = self.settings.rules.overload_multiple.max(1.0);
        // If all upstreams are warming up or no rate has been observed yet, an even pace applies.
        let even = multiple / self.upstreams.sharers / overall.paced_ts;
        // The observed rate is bounded, since a balancer with few observations overestimates it.
        let by_observation = if observed > 0.0 {
            observed.min(even * OBSERVED_PACE * self.concurrency(s))
        } else {
            even
        };
        // The balancers next to an upstream send most of its requests: an even share of the pace
        // would leave the upstream idle.
        let by_ownership = if s.distance <= OWN_DISTANCE {
            multiple * OWNER_PACE * self.concurrency(s) / overall.paced_ts
        } else {
            0.0
        };
        by_observation.max(by_ownership)
    }

    /// Returns a lower bound of the time at which an upstream will have earned its next send. The
    /// bound is not exact, since the share of the upstream grows until then.
    pub(super) fn next_send_at(&self, now: Time, s: &Server) -> Time {
        let pace = self.warm_up_pace(s);
        let passed = now.since(s.earned_at).as_micros_f64().max(0.0);
        let earned = s.earned_sends + passed * pace * self.warm_up_share(now, s).unwrap_or(1.0);
        let missing = earned.floor() + 1.0 - s.earned_sends;
        let earned_at_share_of = |at: Time| {
            let share = self.warm_up_share(at, s).unwrap_or(1.0);
            s.earned_at
                .plus(SignedDuration::from_micros_f64((missing / (pace * share)).min(MAX_WAIT_US)))
        };
        // The share at the time of the first estimate gives an earlier second estimate.
        earned_at_share_of(earned_at_share_of(now)).max(now.plus(SignedDuration(1)))
    }

    /// Updates the earned sends of an upstream to the present time, before its pace changes, and
    /// subtracts `spent` sends.
    pub(super) fn update_earned_sends(&mut self, now: Time, server: usize, spent: f64) {
        if let Some(earned) = self.earned_sends(now, &self.upstreams.servers[server]) {
            let s = &mut self.upstreams.servers[server];
            (s.earned_sends, s.earned_at) = (earned - spent, now);
        }
    }

    /// Decays the observed rates by the time since the last call, and makes the present TS the base
    /// of all paces.
    pub(super) fn decay_rates(&mut self, now: Time) {
        let last = std::mem::replace(&mut self.overall.decayed_at, now);
        let elapsed = now.since(last).as_micros_f64();
        self.overall.paced_ts = self.overall.ts;
        let window = self.settings.rules.overload_window.as_micros_f64().max(1.0);
        let warm_up = self.settings.rules.warm_up.as_micros_f64().max(1.0);
        let count = (-elapsed / window).exp();
        let peak = (-elapsed / warm_up).exp();
        self.upstreams.machine_types.refresh(Decay { count, window, peak });
    }
}
