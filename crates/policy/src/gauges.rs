//! Public queries of a balancer's state, and parameters that are set outside of events. This module
//! makes no decisions.

use crate::interface::{ServerId, SignedDuration, Time};
use crate::policy::Balancer;

impl Balancer {
    /// Returns the attempts in flight at an upstream, its K_i, and its N_i for the target `t_qos`;
    /// `None` for an unknown upstream.
    pub fn upstream(&self, id: ServerId, t_qos: SignedDuration) -> Option<(u32, u32, f64)> {
        let s = &self.upstreams.servers[*self.upstreams.by_id.get(&id)? as usize];
        Some((s.in_flight, Self::k(s, 0), self.n_rate(s) * t_qos.as_micros_f64()))
    }

    /// Sets the number of balancers that send to each upstream known to this balancer. The initial
    /// number is that of all balancers of the cluster.
    ///
    /// Without this number, a balancer that knows only a subset of the upstreams would use too small
    /// a share of the subset.
    pub fn set_sharers(&mut self, balancers: f64) {
        self.upstreams.sharers = if balancers >= 1.0 { balancers } else { 1.0 };
    }

    /// Sets the most attempts of each request from now on, at least one. Attempts in flight continue.
    pub fn limit_attempts(&mut self, most: usize) {
        self.max_attempts = most.max(1);
    }

    /// Returns the number of live upstreams, and the number of those that are not ejected for all
    /// classes.
    pub fn upstream_counts(&self, now: Time) -> (usize, usize) {
        self.upstreams.upstream_counts(now)
    }
}
