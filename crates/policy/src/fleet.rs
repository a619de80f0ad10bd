//! Estimates for the fleet as a whole.

use crate::interface::Time;
use crate::sums::Times;

/// What the fleet as a whole sustains for this proxy.
#[derive(Debug, Default)]
pub(crate) struct FleetEstimates {
    pub(crate) ts: f64,
    /// Answers that it rests on, and those of each class.
    pub(crate) answers: f64,
    pub(crate) answers_by_class: Vec<f64>,
    /// Mean latency of each class, and its mean deviation.
    pub(crate) mean_latency: Vec<f64>,
    pub(crate) latency_deviation: Vec<f64>,
    /// Share of the attempts for which the time of a second copy came and that were never answered.
    pub(crate) unanswered_share: Vec<f64>,
    /// The longest wait that each class can bear.
    pub(crate) tolerable_wait: f64,
    pub(crate) tp2: f64,
    /// The sum of those that are known, and how many are.
    pub(crate) tp2_sum: Times,
    pub(crate) tp2_count: usize,
    pub(crate) probed_at: Time,
    /// This proxy's limit in even parts of the bank, and TS as it was in good times. Failure: judged by the
    /// TS of the moment, a whole bank that crowds itself never looks crowded.
    pub(crate) leeway: f64,
    pub(crate) baseline_ts: f64,
    pub(crate) decayed_at: Time,
    /// TS as of then.
    pub(crate) paced_ts: f64,
}
