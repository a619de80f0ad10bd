//! Estimates the propagation time and the slowness of one upstream from its answers.

use crate::interface::Outcome;

/// Weight of a new answer in a moving mean, so that about the last eight answers count.
pub(crate) const SLOWNESS_GAIN: f64 = 0.125;
/// Least slowness that is recorded for a failed attempt.
const FAULT_SLOWNESS: f64 = 5.0;
/// Greatest slowness that is recorded for one answer. A heavy request must not make its upstream
/// look slow.
pub(crate) const MAX_SLOWNESS: f64 = 10.0;

/// The estimates for one upstream, whose round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// 2*TP in microseconds: the least round trip of an attempt that the upstream rejected without
    /// processing it; `None` before the first such attempt.
    pub(crate) tp2: Option<f64>,
    /// Slowness: service time, including the wait at the upstream, divided by the mean of all
    /// upstreams for the same class. TS_i is the slowness times the mean TS, whatever mix of
    /// classes the upstream serves.
    pub(crate) slowness: f64,
}

impl Estimate {
    /// The estimate before any answer: the upstream is as fast as the mean.
    pub(crate) const NONE: Self = Self { tp2: None, slowness: 1.0 };

    /// Updates the estimate with an outcome after `latency`. `mean` is the mean latency of the
    /// class over all upstreams. Both are in microseconds.
    pub(crate) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        if outcome == Outcome::Full {
            self.tp2 = Some(self.tp2.map_or(latency, |t| t.min(latency)));
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not make its upstream look fast, since the upstream would then
            // attract more requests.
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slowness += (service.min(MAX_SLOWNESS) - self.slowness) * SLOWNESS_GAIN;
    }
}
