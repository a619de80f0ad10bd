//! Refreshes what is known of the fleet in slices, so that no event takes long.

use super::Balancer;
use crate::interface::{Settings, Span, Time};

/// A sweep looks at a fleet of up to this size at once. Of a larger one it looks at a slice, and leaves the
/// rest to the events that follow, one to each: no event may hold up those behind it.
const SMALL_FLEET: usize = 256;
const SWEEP_SLICE: usize = 64;
/// With so much of the fleet shut to a class it is the fleet that is slow, and none is shut.
const PANIC_SHARE: f64 = 0.75;
/// An upstream across zones, where crossing has a price, is as far as a whole part of the fleet.
pub(super) const CROSS_ZONE_DISTANCE: f64 = 1.0;
/// Least reach in the cost of an upstream, so that slowness tells also in the middle of one's part.
const MIN_DISTANCE: f64 = 0.1;
/// Own are the upstreams within half a part to either side.
pub(super) const OWN_DISTANCE: f64 = 0.5;

/// Housekeeping period as a share of the shortest aim: held requests are refused close to their limit.
const SWEEP_OF_AIM: f64 = 1.0 / 32.0;

/// What a sweep is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sweep {
    /// The timer, or a list: the fleet's own figures are due too.
    Timer,
    List,
    /// What is left of the last one.
    Rest,
}

/// How often housekeeping is due.
pub(super) fn sweep_every(settings: &Settings) -> Span {
    let latency_objective =
        settings.classes.iter().map(|c| c.latency_objective.0).min().unwrap_or(0);
    Span(((latency_objective as f64 * SWEEP_OF_AIM) as i64).max(settings.tick.0))
}

impl Balancer {
    pub(super) fn sweep_slice(&self) -> usize {
        if self.upstreams.ring.len() <= SMALL_FLEET { SMALL_FLEET } else { SWEEP_SLICE }
    }

    /// The next so many upstreams of the sweep, all of a small fleet: what is known of each, and of all.
    pub(super) fn sweep(&mut self, now: Time, most: usize, of: Sweep) {
        let all = self.upstreams.ring.len();
        let places: Vec<usize> =
            (0..most.min(all)).map(|n| (self.sweep_position + n) % all).collect();
        let slots: Vec<usize> = places.iter().map(|j| self.upstreams.ring.at(*j).slot).collect();
        self.upstreams.preload(&slots);
        let mut part = 0..0;
        for &j in &places {
            if !part.contains(&j) {
                part = self.upstreams.ring.part(self.upstreams.ring.at(j).part);
            }
            let slot = self.upstreams.ring.at(j).slot;
            self.upstreams.servers[slot].distance =
                self.upstreams.reach(j, &part, CROSS_ZONE_DISTANCE);
            self.book_earned_sends(now, slot, 0.0);
        }
        if of != Sweep::Rest {
            self.refresh_fleet(now);
        }
        if of == Sweep::Timer {
            self.refresh_probes(now);
        }
        slots.into_iter().for_each(|slot| self.refresh(now, slot));
        self.sweep_position = places.last().map_or(0, |j| j + 1);
        if of == Sweep::Rest {
            self.sweep_remaining = self.sweep_remaining.saturating_sub(places.len());
            return;
        }
        self.sweep_remaining = all - places.len();
        let part = self.part();
        self.upstreams.capacity_groups.sweep(part);
        self.refresh_admission();
    }

    /// Slower upstreams and those farther off are the dearer ones.
    pub(crate) fn refresh(&mut self, now: Time, server: usize) {
        let s = &mut self.upstreams.servers[server];
        s.cost = (MIN_DISTANCE + s.distance) * s.estimate.slow * s.estimate.slow;
        self.update(server);
        self.refresh_availability(now, server);
    }

    pub(crate) fn refresh_fleet(&mut self, now: Time) {
        if self.fleet.tp2_count > 0 {
            self.fleet.tp2 = self.fleet.tp2_sum.get() / self.fleet.tp2_count as f64;
        }
        self.decay_rates(now);
        self.upstreams.refresh_panic(PANIC_SHARE);
    }
}
