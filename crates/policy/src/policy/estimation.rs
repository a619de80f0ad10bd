//! Keeps the queueing model of each upstream up to date: TP_i and TS_i to K_i (slots) and N_i (admission).
//!
//! Which upstream is sent to, and what is refused, is for other modules to say.

use super::Balancer;
use crate::capacity::Capacity;
use crate::interface::Settings;
use crate::upstreams::Server;

/// TS of an upstream before any answer from any upstream, as a share of T_QoS.
pub(super) const TS_PRIOR_OF_QOS: f64 = 0.25;
/// Weight of a new answer in the fleet's mean of its class.
const MEAN_GAIN: f64 = 0.02;

/// T_QoS: one target for all, the mean of the class aims.
pub(super) fn t_qos(settings: &Settings) -> f64 {
    settings.classes.iter().map(|c| c.latency_objective.f()).sum::<f64>()
        / settings.classes.len() as f64
}

impl Balancer {
    pub(super) fn ts(&self, s: &Server) -> f64 {
        self.fleet.ts * s.estimate.slow
    }

    fn tp2(&self, s: &Server) -> f64 {
        s.estimate.tp2.unwrap_or(self.fleet.tp2)
    }

    /// Requests that upstreams of its kind run side by side.
    pub(super) fn concurrency(&self, s: &Server) -> f64 {
        self.upstreams.kinds.levels(s.type_index).count as f64
    }

    /// K_i = 2*TP_i / TS_i + 1 for an upstream that runs one request at a time, and one more for each further
    /// lane; N_i at most.
    fn k_exact(&self, s: &Server) -> f64 {
        let k = self.tp2(s) / self.ts(s) + self.concurrency(s);
        k.min(self.n_rate(s) * self.t_qos)
    }

    /// K_i in whole requests, with lanes on trial; below one it still is one, or the upstream would never
    /// update.
    pub(crate) fn k(s: &Server, trial: i32) -> u32 {
        (s.k as i32 + trial).max(1) as u32
    }

    /// Each answer and each sweep updates K_i and N_i, and with them the sums over the fleet.
    pub(super) fn update(&mut self, server: usize) {
        let s = &self.upstreams.servers[server];
        let capacity = Capacity { k: self.k_exact(s), n: self.n_optimistic(s) };
        self.upstreams.sum(server, capacity);
    }

    /// The same as admission counts on it. Until it is known that more lanes win nothing they are hoped for,
    /// or a fresh proxy refuses beside upstreams that have room.
    fn n_optimistic(&self, s: &Server) -> f64 {
        let levels = self.upstreams.kinds.levels(s.type_index);
        let (next, known) = levels.next();
        self.n_rate(s) * if known { 1.0 } else { next as f64 / levels.count as f64 }
    }

    /// N_i per unit of time: 1 / (2*TP_i + TS_i) for each lane.
    pub(crate) fn n_rate(&self, s: &Server) -> f64 {
        self.concurrency(s) / (self.tp2(s) + self.ts(s))
    }

    /// A prior counts as one answer, and each further one for its part of all, until the means follow.
    pub(super) fn learn_latency(&mut self, class: usize, latency: f64) {
        let f = &mut self.fleet;
        let gain = |seen: &mut f64| {
            *seen += 1.0;
            MEAN_GAIN.max(1.0 / *seen)
        };
        f.ts += (latency - f.ts) * gain(&mut f.answers);
        let (mean, dev) = (&mut f.mean_latency[class], &mut f.latency_deviation[class]);
        let (off, new) = ((latency - *mean).abs(), *mean == 0.0);
        let gain = gain(&mut f.answers_by_class[class]);
        *dev += (if new { latency / 2.0 } else { off } - *dev) * gain;
        *mean += (latency - *mean) * gain;
        self.ranks.change(class);
        self.reset_hedge_delay(class);
    }
}
