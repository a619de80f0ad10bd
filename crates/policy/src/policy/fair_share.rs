//! Sets this balancer's limit on requests in flight: its even part of what the fleet can hold, times a leeway that is learned.

use super::Balancer;
use crate::estimate::MAX_SLOWNESS;
use crate::interface::Outcome;

/// A proxy starts with so many times its even part of the bank's slots: clients are never spread evenly.
pub(super) const LEEWAY: f64 = 1.2;
/// Each answer at the limit moves that by so much.
const LEEWAY_GAIN: f64 = 0.02;
/// An answer that took so many times as long as in good times was crowded: one more in its way makes it two.
const CONGESTED_LATENCY: f64 = 1.5;
/// The limit is given up so many times faster than won: it is others' part that is given back.
const LEEWAY_FALL: f64 = 1.5;
/// And so many times faster again where an upstream turned a request away.
const REJECTED_FALL: f64 = 6.0;
/// An even part of more upstreams than this needs less of others' part: its bursts even out by themselves.
const SMALL_SHARE: f64 = 3.0;
/// How fast the service time of good times follows a worse one, per answer.
const BASELINE_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// The part of the bank's work that falls to this proxy. The paper's one balancer sees all.
    pub(super) fn part(&self) -> f64 {
        (self.fleet.leeway / self.upstreams.sharers).min(1.0)
    }

    /// Moves the limit by what an answer tells of the room there. Failure: where a zone was lost with its
    /// proxies, the rest kept to the parts of a whole bank, and refused beside upstreams that idled.
    pub(super) fn adjust_leeway(&mut self, latency: f64, outcome: Outcome) {
        let f = &mut self.fleet;
        let latency = match outcome {
            Outcome::Ok => latency.min(MAX_SLOWNESS),
            Outcome::Full => MAX_SLOWNESS,
            _ => return,
        };
        f.baseline_ts += if f.ts < f.baseline_ts {
            f.ts - f.baseline_ts
        } else {
            (f.ts - f.baseline_ts) * BASELINE_GAIN
        };
        // Failure: it fell with every heavy request and rose only at the limit, so where bursts alone reach
        // the limit it never left its least value, and proxies refused beside idle upstreams.
        let capacity_group = self.upstreams.capacity_groups.fleet_load();
        let idle = capacity_group.in_flight as f64 + 1.0 < capacity_group.slots;
        if idle && outcome == Outcome::Ok {
            return;
        }
        let crowded = latency * f.ts / f.baseline_ts > CONGESTED_LATENCY;
        let even = self.upstreams.ring.len() as f64 / self.upstreams.sharers;
        let full = if outcome == Outcome::Ok { 1.0 } else { REJECTED_FALL };
        let fall = LEEWAY_FALL * (even / SMALL_SHARE).max(1.0) * full;
        f.leeway *= 1.0 + LEEWAY_GAIN * if crowded { -fall } else { 1.0 };
        f.leeway = f.leeway.clamp(LEEWAY, LEEWAY.max(self.upstreams.sharers));
    }
}
