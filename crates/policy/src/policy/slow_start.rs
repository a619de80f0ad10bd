//! Limits what upstreams that are warming up are sent.

use super::Balancer;
use super::sweep::OWN_DISTANCE;
use crate::interface::{Span, Time};
use crate::machine_types::Decay;
use crate::upstreams::Server;

/// Pace to a young upstream of one's own, as a share of the stated multiple: few proxies own the same one.
const OWNER_PACE: f64 = 1.0 / 3.0;
/// Pace of the whole bank to it, from what each proxy has seen, as a share of the same at most.
const EVEN_PACE: f64 = 0.5;
/// A send that a young upstream has earned is kept for this share of the window in which it may fall.
const RETENTION_OF_WINDOW: f64 = 0.25;

impl Balancer {
    /// Share of its capacity that a young upstream has for certain; `None` once warm.
    pub(super) fn warm_up_share(&self, now: Time, s: &Server) -> Option<f64> {
        let (age, rules) = (now.since(s.started?), &self.settings.rules);
        let grown = (age.f() / rules.warm_up.f()).max(0.0);
        (age < rules.warm_up)
            .then_some(rules.warm_up_initial_share + (1.0 - rules.warm_up_initial_share) * grown)
    }

    pub(super) fn has_earned_send(&self, now: Time, s: &Server) -> bool {
        self.earned_sends(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Sends that a young upstream has earned by now, kept for a while; `None` once warm.
    fn earned_sends(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.warm_up_share(now, s)?;
        let pace = self.warm_up_pace(s) * share;
        let earned_sends = s.earned_sends + now.since(s.earned_at).f().max(0.0) * pace;
        // Failure: what each of hundreds had kept for want of requests was spent in one burst by all.
        let kept = pace * self.settings.rules.tip_after.f() * RETENTION_OF_WINDOW;
        if kept >= 1.0 {
            return Some(earned_sends.min(1.0));
        }
        Some(if earned_sends > 1.0 + kept { earned_sends.fract() } else { earned_sends })
    }

    /// Answers per microsecond that one warm upstream like `s` has been seen to give.
    fn warm_up_pace(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        let like = self.upstreams.kinds.rate(s.type_index);
        let rate = s.weight * if like > 0.0 { like } else { self.upstreams.kinds.any_rate };
        let multiple = self.settings.rules.fall_multiple.max(1.0);
        // Failure: with every upstream young, or nothing observed yet, none got any work.
        let least = multiple / self.upstreams.sharers / f.paced_ts;
        // Failure: each of hundreds saw little and kept the most: together several times the truth.
        let rate =
            if rate > 0.0 { rate.min(least * EVEN_PACE * self.concurrency(s)) } else { least };
        // Failure: a fleet that grew fourfold kept refusing: each young upstream had the pace of an even
        // spread over the bank, but only the proxies whose own it was sent it anything.
        let owner = if s.distance <= OWN_DISTANCE {
            multiple * OWNER_PACE * self.concurrency(s) / f.paced_ts
        } else {
            0.0
        };
        rate.max(owner)
    }

    /// No later than when a young upstream will have earned a send: its share grows on the way there.
    pub(super) fn next_send_at(&self, now: Time, s: &Server) -> Time {
        let (rate, passed) = (self.warm_up_pace(s), now.since(s.earned_at).f().max(0.0));
        let by_now = s.earned_sends + passed * rate * self.warm_up_share(now, s).unwrap_or(1.0);
        let after = |at: Time| {
            let share = self.warm_up_share(at, s).unwrap_or(1.0);
            let missing = by_now.floor() + 1.0 - s.earned_sends;
            s.earned_at.plus(Span::of((missing / (rate * share)).min(1e15)))
        };
        after(after(now)).max(now.plus(Span(1)))
    }

    /// Books what a young upstream has earned by now, before its pace changes, and what of it is spent.
    pub(super) fn book_earned_sends(&mut self, now: Time, server: usize, spent: f64) {
        if let Some(earned_sends) = self.earned_sends(now, &self.upstreams.servers[server]) {
            let s = &mut self.upstreams.servers[server];
            (s.earned_sends, s.earned_at) = (earned_sends - spent, now);
        }
    }

    pub(super) fn decay_rates(&mut self, now: Time) {
        let elapsed = now.since(std::mem::replace(&mut self.fleet.decayed_at, now)).f();
        self.fleet.paced_ts = self.fleet.ts;
        let window = self.settings.rules.tip_after.f().max(1.0);
        let cold = self.settings.rules.warm_up.f().max(1.0);
        let (count, peak) = ((-elapsed / window).exp(), (-elapsed / cold).exp());
        self.upstreams.kinds.refresh(Decay { count, window, peak });
    }
}
