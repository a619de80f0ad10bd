//! What the module shows of itself to others, and is told beside events. Decides nothing.

use crate::interface::{ServerId, Span, Time};
use crate::policy::Balancer;

impl Balancer {
    /// Requests out at an upstream, its K_i, and its N_i within the time `t`.
    pub fn upstream(&self, id: ServerId, t: Span) -> Option<(u32, u32, f64)> {
        let s = &self.upstreams.servers[*self.upstreams.by_id.get(&id)? as usize];
        Some((s.in_flight, Self::k(s, 0), self.n_rate(s) * t.f()))
    }

    /// So many proxies of the bank send to each upstream that this one knows. All of them do, unless it is told
    /// otherwise. Failure: a proxy that was shown a ninth of the fleet took a thirty-sixth of that ninth for its part,
    /// and refused beside upstreams that idled.
    pub fn shared_by(&mut self, proxies: f64) {
        self.upstreams.sharers = if proxies >= 1.0 { proxies } else { 1.0 };
    }

    /// No request gets more attempts than this from now on, and none gets fewer than one. What is out stays out.
    pub fn attempts_at_most(&mut self, most: usize) {
        self.max_attempts = most.max(1);
    }

    /// Live upstreams, and how many of them do not rest after a fault; for whoever chooses which to name.
    pub fn standing(&self, now: Time) -> (usize, usize) {
        self.upstreams.standing(now)
    }
}
