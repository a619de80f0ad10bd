//! Refreshes the derived state of each upstream and of all upstreams together, in slices, so that no
//! single event takes long.

use super::Balancer;
use crate::interface::{Settings, SignedDuration, Time};

/// Up to this number, all upstreams are refreshed by one sweep.
const FULL_SWEEP_LIMIT: usize = 256;
/// Number of upstreams that one sweep refreshes if there are more than [`FULL_SWEEP_LIMIT`]. Each
/// following event refreshes one of the others.
const SWEEP_SLICE: usize = 64;
/// Panic threshold: if more than this share of the upstreams of a class is ejected for the class,
/// all upstreams are slow, and ejection is ignored.
const PANIC_SHARE: f64 = 0.75;
/// Distance added for an upstream in another zone where crossing zones has a price, in even shares
/// of the upstreams.
pub(super) const CROSS_ZONE_DISTANCE: f64 = 1.0;
/// Added to the distance in the cost of an upstream, so that slowness also counts where the
/// distance is zero.
const MIN_DISTANCE: f64 = 0.1;
/// A balancer's own upstreams are those within this distance, in even shares of the upstreams.
pub(super) const OWN_DISTANCE: f64 = 0.5;
/// Time between sweeps, as a share of the shortest latency objective. It is small, so that a queued
/// request is given up close to the end of its objective.
const SWEEP_OF_OBJECTIVE: f64 = 1.0 / 32.0;

/// The occasion of a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sweep {
    /// The timer: also refreshes the statistics of all upstreams and the concurrency probes.
    Timer,
    /// A new endpoint list: also refreshes the statistics of all upstreams.
    List,
    /// The remainder of the previous sweep.
    Rest,
}

/// Returns the time between sweeps.
pub(super) fn sweep_every(settings: &Settings) -> SignedDuration {
    let objectives = settings.classes.iter().map(|c| c.latency_objective.0);
    let shortest = objectives.min().unwrap_or(0);
    SignedDuration(((shortest as f64 * SWEEP_OF_OBJECTIVE) as i64).max(settings.tick.0))
}

impl Balancer {
    /// Returns the number of upstreams that one sweep refreshes.
    pub(super) fn sweep_slice(&self) -> usize {
        if self.upstreams.ring.len() <= FULL_SWEEP_LIMIT { FULL_SWEEP_LIMIT } else { SWEEP_SLICE }
    }

    /// Refreshes the next `limit` upstreams of the ring at most, and what this kind of sweep covers
    /// besides.
    pub(super) fn sweep(&mut self, now: Time, limit: usize, sweep: Sweep) {
        let all = self.upstreams.ring.len();
        let indexes: Vec<usize> =
            (0..limit.min(all)).map(|n| (self.sweep_position + n) % all).collect();
        let slots = self.refresh_distances(now, &indexes);
        if sweep != Sweep::Rest {
            self.refresh_overall(now);
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
        let share = self.capacity_share();
        self.upstreams.capacity_groups.sweep(share);
        self.refresh_admission();
    }

    /// Refreshes the distance and the earned sends of the upstreams at these indexes of the ring, and
    /// returns their slots.
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
            self.update_earned_sends(now, slot, 0.0);
        }
        slots
    }

    /// Refreshes the cost, capacity and availability of an upstream. Slower and more distant
    /// upstreams cost more.
    pub(crate) fn refresh(&mut self, now: Time, server: usize) {
        let s = &mut self.upstreams.servers[server];
        s.cost = (MIN_DISTANCE + s.distance) * s.estimate.slowness * s.estimate.slowness;
        self.update(server);
        self.refresh_availability(now, server);
    }

    /// Refreshes the mean propagation time of all upstreams, the observed rates, and the classes for
    /// which the panic threshold is reached.
    pub(crate) fn refresh_overall(&mut self, now: Time) {
        if self.overall.tp2_count > 0 {
            self.overall.tp2 = self.overall.tp2_sum.get() / self.overall.tp2_count as f64;
        }
        self.decay_rates(now);
        self.upstreams.refresh_panic(PANIC_SHARE);
    }
}
