//! Estimates for the fleet as a whole. Times and latencies are in microseconds.

use crate::interface::Time;
use crate::sums::Times;

/// What this balancer has estimated of the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetEstimates {
    /// TS: the mean service time of all answers.
    pub(crate) ts: f64,
    /// Answers that `ts` rests on.
    pub(crate) answers: f64,
    /// Answers that the means of each class rest on.
    pub(crate) answers_by_class: Vec<f64>,
    /// Mean latency of each class; 0 before its first answer.
    pub(crate) mean_latency: Vec<f64>,
    /// Mean deviation of the latency of each class.
    pub(crate) latency_deviation: Vec<f64>,
    /// By class: the share of attempts that were never answered, of those that were late enough to
    /// be hedged.
    pub(crate) unanswered_share: Vec<f64>,
    /// The longest wait that every class tolerates.
    pub(crate) tolerable_wait: f64,
    /// Mean of 2*TP_i over the upstreams where it is known.
    pub(crate) tp2: f64,
    /// Sum of 2*TP_i over these upstreams.
    pub(crate) tp2_sum: Times,
    /// How many these upstreams are.
    pub(crate) tp2_count: usize,
    /// When the present concurrency probes began.
    pub(crate) probed_at: Time,
    /// This balancer's limit, in even parts of the fleet's slots.
    pub(crate) leeway: f64,
    /// TS in good times. Judged by the present TS, a fleet that is congested as a whole would not
    /// look congested.
    pub(crate) baseline_ts: f64,
    /// When the observed rates were last decayed.
    pub(crate) decayed_at: Time,
    /// TS as of then.
    pub(crate) paced_ts: f64,
}
