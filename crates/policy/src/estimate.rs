//! Estimates propagation time and slowness of one upstream from its answers.

use crate::interface::Outcome;

/// Weight of a new answer in a moving mean: about the last eight answers count.
pub(crate) const SLOWNESS_GAIN: f64 = 0.125;
/// Least slowness that a failed attempt counts with.
const FAULT_SLOWNESS: f64 = 5.0;
/// Most slowness that one answer counts with: a heavy request must not make its upstream look slow.
pub(crate) const MAX_SLOWNESS: f64 = 10.0;

/// The estimates for one upstream: its round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// 2*TP in microseconds: the least round trip of an attempt that was rejected unseen; `None`
    /// before the first.
    pub(crate) tp2: Option<f64>,
    /// Slowness: service time, with the wait at the upstream, over the fleet's mean for the same
    /// class. TS_i is this times the fleet's mean, whatever mix of classes the upstream was sent.
    pub(crate) slow: f64,
}

impl Estimate {
    /// Before any answer: as fast as the fleet's mean.
    pub(crate) const NONE: Self = Self { tp2: None, slow: 1.0 };

    /// Takes in an outcome after `latency`, where the fleet's mean latency for its class is `mean`;
    /// both in microseconds.
    pub(crate) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        if outcome == Outcome::Full {
            self.tp2 = Some(self.tp2.map_or(latency, |t| t.min(latency)));
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not make its upstream look fast, or it would be sent more.
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slow += (service.min(MAX_SLOWNESS) - self.slow) * SLOWNESS_GAIN;
    }
}
