//! Derives the capacity of each upstream from its estimates. K_i is the number of attempts in
//! flight that keeps the upstream busy; N_i is the number of attempts that it can answer in time.
//!
//! With TP_i the propagation time of an upstream and TS_i its mean service time, `K_i = 2*TP_i /
//! TS_i + c` and `N_i = c * T_QoS / (2*TP_i + TS_i)`, where c is the number of requests that the
//! upstream runs concurrently. `tp2` is 2*TP_i.

use super::Balancer;
use super::fair_share::MIN_LEEWAY;
use crate::capacity::Capacity;
use crate::interface::{Settings, Time};
use crate::overall::OverallEstimates;
use crate::upstreams::Server;

/// TS of the upstreams before the first answer, as a share of T_QoS.
const TS_PRIOR_OF_QOS: f64 = 0.25;
/// Least weight of an answer in the means over all upstreams.
const MIN_MEAN_GAIN: f64 = 0.02;

/// Returns T_QoS in microseconds: the mean latency objective of the classes, used as one target for
/// all of them.
pub(super) fn t_qos(settings: &Settings) -> f64 {
    settings.classes.iter().map(|c| c.latency_objective.as_micros_f64()).sum::<f64>()
        / settings.classes.len() as f64
}

/// Returns the estimates that are assumed before the first answer of an upstream.
pub(super) fn prior(t_qos: f64, classes: usize, now: Time) -> OverallEstimates {
    let ts = t_qos * TS_PRIOR_OF_QOS;
    OverallEstimates {
        ts,
        answers: 1.0,
        answers_by_class: vec![0.0; classes],
        mean_latency: vec![0.0; classes],
        latency_deviation: vec![0.0; classes],
        unanswered_share: vec![0.0; classes],
        tolerable_wait: ts,
        probed_at: Time(i64::MIN),
        leeway: MIN_LEEWAY,
        baseline_ts: t_qos,
        decayed_at: now,
        paced_ts: ts,
        ..OverallEstimates::default()
    }
}

impl Balancer {
    /// Returns TS_i in microseconds.
    pub(super) fn ts(&self, s: &Server) -> f64 {
        self.overall.ts * s.estimate.slowness
    }

    /// Returns 2*TP_i in microseconds, or the mean over all upstreams if the upstream has no
    /// estimate yet.
    fn tp2(&self, s: &Server) -> f64 {
        s.estimate.tp2.unwrap_or(self.overall.tp2)
    }

    /// Returns how many requests an upstream of this machine type runs concurrently.
    pub(super) fn concurrency(&self, s: &Server) -> f64 {
        self.upstreams.machine_types.levels(s.type_index).current as f64
    }

    /// Returns K_i, limited to N_i.
    fn k_exact(&self, s: &Server) -> f64 {
        let k = self.tp2(s) / self.ts(s) + self.concurrency(s);
        k.min(self.n_rate(s) * self.t_qos)
    }

    /// Returns K_i in whole attempts, plus the change `probe` of a concurrency probe. The result is
    /// at least one, since an upstream without attempts would never get a new estimate.
    pub(crate) fn k(s: &Server, probe: i32) -> u32 {
        (s.k as i32 + probe).max(1) as u32
    }

    /// Updates K_i and N_i of an upstream, and the sums of its capacity groups.
    pub(super) fn update(&mut self, server: usize) {
        let s = &self.upstreams.servers[server];
        let capacity = Capacity { k: self.k_exact(s), n: self.n_optimistic(s) };
        self.upstreams.set_capacity(server, capacity);
    }

    /// Returns N_i per microsecond for admission.
    ///
    /// While the next concurrency level is unmeasured, it is assumed to have a proportionally
    /// higher throughput. Without this assumption a new balancer would reject requests while
    /// upstreams are idle.
    fn n_optimistic(&self, s: &Server) -> f64 {
        let levels = self.upstreams.machine_types.levels(s.type_index);
        let next = levels.next_probe();
        let gain = if next.is_known { 1.0 } else { next.level as f64 / levels.current as f64 };
        self.n_rate(s) * gain
    }

    /// Returns N_i per microsecond.
    pub(crate) fn n_rate(&self, s: &Server) -> f64 {
        self.concurrency(s) / (self.tp2(s) + self.ts(s))
    }

    /// Adds the latency of an answer to TS, and to the mean and deviation of its class.
    ///
    /// Each value starts as the plain mean of all answers, where the prior counts as one answer.
    /// Once the weight of a new answer has fallen to [`MIN_MEAN_GAIN`], the value becomes a moving
    /// mean.
    pub(super) fn learn_latency(&mut self, class: usize, latency: f64) {
        let next_gain = |answers: &mut f64| {
            *answers += 1.0;
            MIN_MEAN_GAIN.max(1.0 / *answers)
        };
        let overall = &mut self.overall;
        overall.ts += (latency - overall.ts) * next_gain(&mut overall.answers);
        let mean = &mut overall.mean_latency[class];
        let is_first = *mean == 0.0;
        let deviation = if is_first { latency / 2.0 } else { (latency - *mean).abs() };
        let gain = next_gain(&mut overall.answers_by_class[class]);
        let mean_deviation = &mut overall.latency_deviation[class];
        *mean_deviation += (deviation - *mean_deviation) * gain;
        *mean += (latency - *mean) * gain;
        self.ranks.change(class);
        self.reset_hedge_delay(class);
    }
}
