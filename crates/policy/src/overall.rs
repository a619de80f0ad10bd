//! Estimates over all upstreams. Times and latencies are in microseconds.

use crate::interface::Time;
use crate::sums::Times;

/// This balancer's estimates over all upstreams.
#[derive(Debug, Default)]
pub(crate) struct OverallEstimates {
    /// TS: the mean service time of all answers.
    pub(crate) ts: f64,
    /// Number of answers that `ts` is based on.
    pub(crate) answers: f64,
    /// Number of answers that the means of each class are based on.
    pub(crate) answers_by_class: Vec<f64>,
    /// Mean latency of each class; 0 before its first answer.
    pub(crate) mean_latency: Vec<f64>,
    /// Mean deviation of the latency of each class.
    pub(crate) latency_deviation: Vec<f64>,
    /// By class: among the attempts that were late enough to be hedged, the share that was never
    /// answered.
    pub(crate) unanswered_share: Vec<f64>,
    /// The longest wait that every class tolerates.
    pub(crate) tolerable_wait: f64,
    /// Mean of 2*TP_i over the upstreams whose TP_i has been estimated.
    pub(crate) tp2: f64,
    /// Sum of 2*TP_i over the upstreams whose TP_i has been estimated.
    pub(crate) tp2_sum: Times,
    /// Number of upstreams whose TP_i has been estimated.
    pub(crate) tp2_count: usize,
    /// When the present concurrency probes began.
    pub(crate) probed_at: Time,
    /// This balancer's limit on attempts in flight, in even shares of all slots.
    pub(crate) leeway: f64,
    /// TS without congestion. Compared with the present TS, upstreams that are all congested would
    /// not look congested.
    pub(crate) baseline_ts: f64,
    /// When the observed rates were last decayed.
    pub(crate) decayed_at: Time,
    /// TS as of `decayed_at`.
    pub(crate) paced_ts: f64,
}
