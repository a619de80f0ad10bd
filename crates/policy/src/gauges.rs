//! What a balancer shows of itself, and what it is set to beside events. Decides nothing.

use crate::interface::{ServerId, SignedDuration, Time};
use crate::policy::Balancer;

impl Balancer {
    /// Attempts in flight at an upstream, its K_i, and its N_i for the target `t_qos`; `None` if it
    /// is not known.
    pub fn upstream(&self, id: ServerId, t_qos: SignedDuration) -> Option<(u32, u32, f64)> {
        let s = &self.upstreams.servers[*self.upstreams.by_id.get(&id)? as usize];
        Some((s.in_flight, Self::k(s, 0), self.n_rate(s) * t_qos.as_micros_f64()))
    }

    /// Sets how many balancers send to each upstream that this one knows; at first all of the
    /// cluster.
    ///
    /// A balancer that knows a subset of the fleet would otherwise take too small a part of that
    /// subset for its own.
    pub fn set_sharers(&mut self, balancers: f64) {
        self.upstreams.sharers = if balancers >= 1.0 { balancers } else { 1.0 };
    }

    /// Limits the attempts of each request from now on, to one at least. Attempts in flight go on.
    pub fn limit_attempts(&mut self, most: usize) {
        self.max_attempts = most.max(1);
    }

    /// Live upstreams, and how many of them are not ejected for all classes.
    pub fn upstream_counts(&self, now: Time) -> (usize, usize) {
        self.upstreams.upstream_counts(now)
    }
}
