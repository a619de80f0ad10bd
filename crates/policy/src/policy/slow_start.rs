//! Limits what upstreams that are warming up are sent.

use super::Balancer;
use super::sweep::OWN;
use crate::interface::{Span, Time};
use crate::machine_types::Decay;
use crate::upstreams::Server;

/// Pace to a young upstream of one's own, as a share of the stated multiple: few proxies own the same one.
const OWNER_PACE: f64 = 1.0 / 3.0;
/// Pace of the whole bank to it, from what each proxy has seen, as a share of the same at most.
const EVEN_PACE: f64 = 0.5;
/// A send that a young upstream has earned is kept for this share of the window in which it may fall.
const KEPT_OF_WINDOW: f64 = 0.25;

impl Balancer {
    /// Share of its capacity that a young upstream has for certain; `None` once warm.
    pub(super) fn cold_share(&self, now: Time, s: &Server) -> Option<f64> {
        let (age, rules) = (now.since(s.started?), &self.settings.rules);
        let grown = (age.f() / rules.warm_up.f()).max(0.0);
        (age < rules.warm_up)
            .then_some(rules.warm_up_initial_share + (1.0 - rules.warm_up_initial_share) * grown)
    }

    pub(super) fn cold_allows(&self, now: Time, s: &Server) -> bool {
        self.earned(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Sends that a young upstream has earned by now, kept for a while; `None` once warm.
    fn earned(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.cold_share(now, s)?;
        let pace = self.warm_rate(s) * share;
        let earned = s.tokens + now.since(s.refilled).f().max(0.0) * pace;
        // Failure: what each of hundreds had kept for want of requests was spent in one burst by all.
        let kept = pace * self.settings.rules.tip_after.f() * KEPT_OF_WINDOW;
        if kept >= 1.0 {
            return Some(earned.min(1.0));
        }
        Some(if earned > 1.0 + kept { earned.fract() } else { earned })
    }

    /// Answers per microsecond that one warm upstream like `s` has been seen to give.
    fn warm_rate(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        let like = self.up.kinds.rate(s.kept_kind);
        let rate = s.weight * if like > 0.0 { like } else { self.up.kinds.any_rate };
        let multiple = self.settings.rules.fall_multiple.max(1.0);
        // Failure: with every upstream young, or nothing observed yet, none got any work.
        let least = multiple / self.up.sharers / f.paced;
        // Failure: each of hundreds saw little and kept the most: together several times the truth.
        let rate = if rate > 0.0 { rate.min(least * EVEN_PACE * self.lanes(s)) } else { least };
        // Failure: a fleet that grew fourfold kept refusing: each young upstream had the pace of an even
        // spread over the bank, but only the proxies whose own it was sent it anything.
        let owner =
            if s.reach <= OWN { multiple * OWNER_PACE * self.lanes(s) / f.paced } else { 0.0 };
        rate.max(owner)
    }

    /// No later than when a young upstream will have earned a send: its share grows on the way there.
    pub(super) fn earns_at(&self, now: Time, s: &Server) -> Time {
        let (rate, passed) = (self.warm_rate(s), now.since(s.refilled).f().max(0.0));
        let by_now = s.tokens + passed * rate * self.cold_share(now, s).unwrap_or(1.0);
        let after = |at: Time| {
            let share = self.cold_share(at, s).unwrap_or(1.0);
            let missing = by_now.floor() + 1.0 - s.tokens;
            s.refilled.plus(Span::of((missing / (rate * share)).min(1e15)))
        };
        after(after(now)).max(now.plus(Span(1)))
    }

    /// Books what a young upstream has earned by now, before its pace changes, and what of it is spent.
    pub(super) fn earn(&mut self, now: Time, server: usize, spent: f64) {
        if let Some(earned) = self.earned(now, &self.up.servers[server]) {
            let s = &mut self.up.servers[server];
            (s.tokens, s.refilled) = (earned - spent, now);
        }
    }

    pub(super) fn refresh_warm(&mut self, now: Time) {
        let elapsed = now.since(std::mem::replace(&mut self.fleet.counted, now)).f();
        self.fleet.paced = self.fleet.ts;
        let window = self.settings.rules.tip_after.f().max(1.0);
        let cold = self.settings.rules.warm_up.f().max(1.0);
        let (count, peak) = ((-elapsed / window).exp(), (-elapsed / cold).exp());
        self.up.kinds.refresh(Decay { count, window, peak });
    }
}
