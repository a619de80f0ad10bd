//! Sets this balancer's limit on attempts in flight: an even share of all slots, times a leeway that
//! the balancer learns.

use super::Balancer;
use crate::estimate::MAX_SLOWNESS;
use crate::interface::Outcome;

/// Least and initial leeway, in even shares of all slots. It is above one since clients are never
/// spread evenly over balancers.
pub(super) const MIN_LEEWAY: f64 = 1.2;
/// Relative change of the leeway by one answer while the balancer is at its limit.
const LEEWAY_GAIN: f64 = 0.02;
/// An answer shows congestion if it took this many times the uncongested service time.
const CONGESTED_LATENCY: f64 = 1.5;
/// The leeway falls this many times faster than it grows, since it takes slots from other balancers.
const LEEWAY_FALL: f64 = 1.5;
/// A request that an upstream rejected lowers the leeway this many times more than a congested
/// answer.
const REJECTED_FALL: f64 = 6.0;
/// With more upstreams than this in an even share, the leeway falls faster: bursts average out over
/// many upstreams.
const SMALL_EVEN_SHARE: f64 = 3.0;
/// Weight of an answer in the uncongested service time while that grows.
const BASELINE_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// Returns the share of all slots that this balancer may use, at most 1. (The single balancer of
    /// the design uses all of them.)
    pub(super) fn capacity_share(&self) -> f64 {
        (self.overall.leeway / self.upstreams.sharers).min(1.0)
    }

    /// Adjusts the leeway after an attempt that took `latency`, in mean latencies of its class.
    ///
    /// The leeway grows while the upstreams are uncongested, so that the remaining balancers use
    /// all upstreams after the loss of a balancer. It falls when the upstreams are congested.
    pub(super) fn adjust_leeway(&mut self, latency: f64, outcome: Outcome) {
        let latency = match outcome {
            Outcome::Ok => latency.min(MAX_SLOWNESS),
            Outcome::Full => MAX_SLOWNESS,
            _ => return,
        };
        self.learn_baseline();
        // Only answers at the limit show whether the limit is too high. If all answers counted,
        // each heavy request would lower the leeway.
        let load = self.upstreams.capacity_groups.total_load();
        let is_below_limit = load.in_flight as f64 + 1.0 < load.slots;
        if is_below_limit && outcome == Outcome::Ok {
            return;
        }
        let overall = &mut self.overall;
        let is_congested = latency * overall.ts / overall.baseline_ts > CONGESTED_LATENCY;
        let even_share = self.upstreams.ring.len() as f64 / self.upstreams.sharers;
        let rejected = if outcome == Outcome::Ok { 1.0 } else { REJECTED_FALL };
        let fall = LEEWAY_FALL * (even_share / SMALL_EVEN_SHARE).max(1.0) * rejected;
        overall.leeway *= 1.0 + LEEWAY_GAIN * if is_congested { -fall } else { 1.0 };
        overall.leeway = overall.leeway.clamp(MIN_LEEWAY, MIN_LEEWAY.max(self.upstreams.sharers));
    }

    /// Lets the uncongested service time follow TS: at once if TS is shorter, slowly if TS is longer.
    fn learn_baseline(&mut self) {
        let overall = &mut self.overall;
        let change = overall.ts - overall.baseline_ts;
        let is_shorter = overall.ts < overall.baseline_ts;
        overall.baseline_ts += if is_shorter { change } else { change * BASELINE_GAIN };
    }
}
