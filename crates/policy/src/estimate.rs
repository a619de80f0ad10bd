//! Propagation time and slowness of one upstream, estimated from its answers.

use crate::interface::Outcome;

/// Weight of a new round trip in TS (per answer): about the last eight answers count.
pub(crate) const SLOWNESS_GAIN: f64 = 0.125;
/// An attempt that failed counts as this many mean service times at least.
const FAULT_SLOWNESS: f64 = 5.0;
/// One answer counts as this many at most: a heavy request must not condemn the upstream that drew it.
pub(crate) const MAX_SLOWNESS: f64 = 10.0;

/// What the answers of one upstream told: the round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Twice the propagation time: the least round trip of an answer that did no work.
    pub(crate) tp2: Option<f64>,
    /// Slowness: service time, waiting at the upstream included, over the fleet's mean for the same class.
    /// TS_i is this times the fleet's mean, whatever mix of classes it drew.
    pub(crate) slow: f64,
}

impl Estimate {
    /// Before any answer: as fast as the fleet's mean.
    pub(crate) const NONE: Self = Self { tp2: None, slow: 1.0 };

    /// Takes in an answer of this latency, where the fleet's mean for its class is `mean`.
    pub(crate) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        if outcome == Outcome::Full {
            self.tp2 = Some(self.tp2.map_or(latency, |t| t.min(latency)));
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not look like a fast upstream (it would earn slots).
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slow += (service.min(MAX_SLOWNESS) - self.slow) * SLOWNESS_GAIN;
    }
}
