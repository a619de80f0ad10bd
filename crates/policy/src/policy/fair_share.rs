//! Sets this balancer's limit on attempts in flight: its even part of the fleet's slots, times a
//! leeway that it learns.

use super::Balancer;
use crate::estimate::MAX_SLOWNESS;
use crate::interface::Outcome;

/// Least and first leeway, in even parts of the fleet's slots: clients are never spread evenly over
/// balancers.
pub(super) const MIN_LEEWAY: f64 = 1.2;
/// Relative change of the leeway by one answer at the limit.
const LEEWAY_GAIN: f64 = 0.02;
/// An answer counts as congested if it took this many times as long as in good times.
const CONGESTED_LATENCY: f64 = 1.5;
/// The leeway falls this many times faster than it grows, since it is others' part that it takes.
const LEEWAY_FALL: f64 = 1.5;
/// It falls this many times faster again where an upstream rejected a request.
const REJECTED_FALL: f64 = 6.0;
/// An even part of more upstreams than this makes the leeway fall faster: its bursts even out by
/// themselves.
const SMALL_PART: f64 = 3.0;
/// Weight of a longer service time in that of good times, per answer.
const BASELINE_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// The part of the fleet's slots that this balancer may use, at most 1. (The design's one
    /// balancer uses all.)
    pub(super) fn part(&self) -> f64 {
        (self.fleet.leeway / self.upstreams.sharers).min(1.0)
    }

    /// Moves the leeway by an answer that took `latency`, in mean latencies of its class.
    ///
    /// It grows as long as the fleet answers as in good times, so that the balancers that remain
    /// after a loss use the whole fleet, and falls when the fleet is congested.
    pub(super) fn adjust_leeway(&mut self, latency: f64, outcome: Outcome) {
        let latency = match outcome {
            Outcome::Ok => latency.min(MAX_SLOWNESS),
            Outcome::Full => MAX_SLOWNESS,
            _ => return,
        };
        self.learn_baseline();
        // Only answers at the limit say whether it is too high: otherwise each heavy request would
        // lower it.
        let load = self.upstreams.capacity_groups.fleet_load();
        let is_below_limit = load.in_flight as f64 + 1.0 < load.slots;
        if is_below_limit && outcome == Outcome::Ok {
            return;
        }
        let fleet = &mut self.fleet;
        let is_congested = latency * fleet.ts / fleet.baseline_ts > CONGESTED_LATENCY;
        let even_part = self.upstreams.ring.len() as f64 / self.upstreams.sharers;
        let rejected = if outcome == Outcome::Ok { 1.0 } else { REJECTED_FALL };
        let fall = LEEWAY_FALL * (even_part / SMALL_PART).max(1.0) * rejected;
        fleet.leeway *= 1.0 + LEEWAY_GAIN * if is_congested { -fall } else { 1.0 };
        fleet.leeway = fleet.leeway.clamp(MIN_LEEWAY, MIN_LEEWAY.max(self.upstreams.sharers));
    }

    /// Lets the service time of good times follow TS: at once if it is shorter, slowly if it is
    /// longer.
    fn learn_baseline(&mut self) {
        let fleet = &mut self.fleet;
        let change = fleet.ts - fleet.baseline_ts;
        let is_shorter = fleet.ts < fleet.baseline_ts;
        fleet.baseline_ts += if is_shorter { change } else { change * BASELINE_GAIN };
    }
}
