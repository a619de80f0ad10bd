//! Refreshes what is known of each upstream and of the fleet, in slices, so that no event takes
//! long.

use super::Balancer;
use crate::interface::{Settings, SignedDuration, Time};

/// A fleet of up to this many upstreams is swept at once.
const SMALL_FLEET: usize = 256;
/// Upstreams of a larger fleet that one sweep refreshes; each event that follows refreshes one of
/// the rest.
const SWEEP_SLICE: usize = 64;
/// If more than this share of a class's upstreams is ejected for it, the whole fleet is slow, and
/// none counts as ejected.
const PANIC_SHARE: f64 = 0.75;
/// Distance that an upstream in another zone adds where crossing has a price, in even parts of the
/// fleet.
pub(super) const CROSS_ZONE_DISTANCE: f64 = 1.0;
/// Added to the distance in the cost of an upstream, so that slowness also counts where the
/// distance is zero.
const MIN_DISTANCE: f64 = 0.1;
/// Upstreams within this distance are the balancer's own, in even parts of the fleet.
pub(super) const OWN_DISTANCE: f64 = 0.5;
/// Time between sweeps, as a share of the shortest latency objective: queued requests are rejected
/// close to their limit.
const SWEEP_OF_OBJECTIVE: f64 = 1.0 / 32.0;

/// What a sweep is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sweep {
    /// The timer: refreshes the fleet's figures and the concurrency probes too.
    Timer,
    /// A new list: refreshes the fleet's figures too.
    List,
    /// What is left of the last sweep.
    Rest,
}

/// Time between sweeps.
pub(super) fn sweep_every(settings: &Settings) -> SignedDuration {
    let objectives = settings.classes.iter().map(|c| c.latency_objective.0);
    let shortest = objectives.min().unwrap_or(0);
    SignedDuration(((shortest as f64 * SWEEP_OF_OBJECTIVE) as i64).max(settings.tick.0))
}

impl Balancer {
    /// Upstreams that one sweep refreshes.
    pub(super) fn sweep_slice(&self) -> usize {
        if self.upstreams.ring.len() <= SMALL_FLEET { SMALL_FLEET } else { SWEEP_SLICE }
    }

    /// Refreshes the next upstreams of the ring, at most `limit`, and with them what `sweep` says.
    pub(super) fn sweep(&mut self, now: Time, limit: usize, sweep: Sweep) {
        let all = self.upstreams.ring.len();
        let indexes: Vec<usize> =
            (0..limit.min(all)).map(|n| (self.sweep_position + n) % all).collect();
        let slots = self.refresh_distances(now, &indexes);
        if sweep != Sweep::Rest {
            self.refresh_fleet(now);
        }
        if sweep == Sweep::Timer {
            self.refresh_probes(now);
        }
        for slot in slots {
            self.refresh(now, slot);
        }
        self.sweep_position = indexes.last().map_or(0, |index| index + 1);
        if sweep == Sweep::Rest {
            self.sweep_remaining = self.sweep_remaining.saturating_sub(indexes.len());
            return;
        }
        self.sweep_remaining = all - indexes.len();
        let part = self.part();
        self.upstreams.capacity_groups.sweep(part);
        self.refresh_admission();
    }

    /// Refreshes distance and earned sends of the upstreams at these indexes of the ring; returns
    /// their slots.
    fn refresh_distances(&mut self, now: Time, indexes: &[usize]) -> Vec<usize> {
        let slots: Vec<usize> = indexes.iter().map(|i| self.upstreams.ring.at(*i).slot).collect();
        self.upstreams.preload(&slots);
        let mut part = 0..0;
        for (&index, &slot) in indexes.iter().zip(&slots) {
            if !part.contains(&index) {
                part = self.upstreams.ring.part(self.upstreams.ring.at(index).part);
            }
            let distance = self.upstreams.distance(index, &part, CROSS_ZONE_DISTANCE);
            self.upstreams.servers[slot].distance = distance;
            self.book_earned_sends(now, slot, 0.0);
        }
        slots
    }

    /// Refreshes the cost of an upstream (slower and more distant ones cost more), its capacity and
    /// availability.
    pub(crate) fn refresh(&mut self, now: Time, server: usize) {
        let s = &mut self.upstreams.servers[server];
        s.cost = (MIN_DISTANCE + s.distance) * s.estimate.slow * s.estimate.slow;
        self.update(server);
        self.refresh_availability(now, server);
    }

    /// Refreshes the fleet's mean propagation time, the observed rates and the ejected shares.
    pub(crate) fn refresh_fleet(&mut self, now: Time) {
        if self.fleet.tp2_count > 0 {
            self.fleet.tp2 = self.fleet.tp2_sum.get() / self.fleet.tp2_count as f64;
        }
        self.decay_rates(now);
        self.upstreams.refresh_panic(PANIC_SHARE);
    }
}
