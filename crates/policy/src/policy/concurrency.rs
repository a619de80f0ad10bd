//! Probes how many requests upstreams of each machine type run concurrently, by sending some of
//! these upstreams more or fewer attempts than usual.
//!
//! [`crate::concurrency_levels`] evaluates the results of the probes.

use super::Balancer;
use super::sweep::{CROSS_ZONE_DISTANCE, OWN_DISTANCE};
use crate::concurrency_levels::MAX_CONCURRENCY;
use crate::interface::Time;
use crate::upstreams::Server;

/// Length of a probe, in mean service times: long enough for a few answers at each level.
const PROBE_OF_TS: f64 = 4.0;
/// Length of a probe, in mean service times, while the levels of some machine type are unmeasured.
const FIRST_PROBE_OF_TS: f64 = 1.5;
/// Largest share of the balancer's own upstreams that is probed while the levels of their machine
/// type are unmeasured.
const MAX_FIRST_PROBES: f64 = 0.5;
/// Share of the upstreams that is probed at a higher level once the levels are measured.
const LATER_PROBES: f64 = 1.0 / 96.0;
/// Most of the balancer's own upstreams that probes are chosen from.
const MAX_PROBE_CANDIDATES: usize = 256;
/// Answers that arrive within this time of one another, in mean service times, count as served
/// concurrently.
const AT_ONCE_OF_TS: f64 = 0.05;
/// Longest interval without an answer that counts in full, in mean service times. A longer
/// interval is due to a fault.
const MAX_GAP_OF_TS: f64 = 5.0;
/// An upstream this many times slower than the mean is not representative of its machine type.
const SUSPECT_SLOWNESS: f64 = 2.0;

impl Balancer {
    /// Ends the present probes and starts the next ones, if the present ones have lasted long
    /// enough.
    ///
    /// A balancer probes only its own upstreams, so that two balancers do not probe the same
    /// upstream.
    pub(super) fn refresh_probes(&mut self, now: Time) {
        let are_levels_known = self.upstreams.machine_types.are_levels_known();
        let length = if are_levels_known { PROBE_OF_TS } else { FIRST_PROBE_OF_TS };
        if now.since(self.overall.probed_at).as_micros_f64() < self.overall.ts * length {
            return;
        }
        self.overall.probed_at = now;
        self.upstreams.machine_types.choose_levels();
        for i in std::mem::take(&mut self.probed) {
            self.upstreams.servers[i].probe = 0;
            self.refresh_availability(now, i);
        }
        let candidates = self.probe_candidates(now);
        if !candidates.is_empty() {
            self.start_first_probes(now, &candidates);
            self.start_later_probe(now, &candidates);
        }
    }

    /// Returns the balancer's own upstreams that are representative of their machine type. Among
    /// many upstreams, every n-th one is taken.
    fn probe_candidates(&self, now: Time) -> Vec<usize> {
        let part = self.upstreams.own_part();
        let near = self.upstreams.near(&part, OWN_DISTANCE);
        let step = near.clone().count() / MAX_PROBE_CANDIDATES + 1;
        let is_own = |&index: &usize| {
            self.upstreams.distance(index, &part, CROSS_ZONE_DISTANCE) <= OWN_DISTANCE
        };
        near.step_by(step)
            .filter(is_own)
            .map(|index| self.upstreams.ring.at(index).slot)
            .filter(|&i| self.is_representative(now, &self.upstreams.servers[i]))
            .collect()
    }

    /// Probes a random part of the upstreams whose machine type has unmeasured levels.
    ///
    /// Where many balancers share an upstream, each of them probes fewer: every balancer learns for
    /// itself, and the probes of all balancers add up.
    fn start_first_probes(&mut self, now: Time, candidates: &[usize]) {
        let sharers = self.upstreams.sharers;
        let share = (1.0 / (sharers * sharers)).min(MAX_FIRST_PROBES);
        for &i in candidates {
            let levels = self.upstreams.machine_types.levels(self.upstreams.servers[i].type_index);
            let (current, next) = (levels.current, levels.next_probe());
            if !next.is_known && self.rng.rand_float() < share {
                self.start_probe(now, i, (next.level - current) as i32);
            }
        }
    }

    /// Probes one upstream, occasionally at a higher level and otherwise at a lower one.
    fn start_later_probe(&mut self, now: Time, candidates: &[usize]) {
        let higher = self.sample(candidates);
        let lower = self.sample(candidates);
        let levels = self.upstreams.machine_types.levels(self.upstreams.servers[higher].type_index);
        let (current, next) = (levels.current, levels.next_probe());
        if !next.is_known {
            return;
        }
        if self.rng.rand_float() < LATER_PROBES * candidates.len() as f64 {
            self.start_probe(now, higher, (next.level - current) as i32);
        } else {
            let levels =
                self.upstreams.machine_types.levels(self.upstreams.servers[lower].type_index);
            let fewer = (levels.current - 1).min((levels.current / 3).max(1));
            self.start_probe(now, lower, -(fewer as i32));
        }
    }

    fn sample(&mut self, candidates: &[usize]) -> usize {
        candidates[self.rng.rand_range(0..candidates.len() as u64) as usize]
    }

    /// Allows an upstream `change` more attempts in flight than K_i, or fewer if `change` is
    /// negative.
    fn start_probe(&mut self, now: Time, server: usize, change: i32) {
        self.upstreams.servers[server].probe = change;
        self.probed.push(server);
        self.refresh_availability(now, server);
    }

    /// Returns whether an upstream is representative of its machine type: neither warming up nor an
    /// outlier.
    fn is_representative(&self, now: Time, s: &Server) -> bool {
        s.estimate.slowness <= SUSPECT_SLOWNESS && self.warm_up_share(now, s).is_none()
    }

    /// Records the time since an upstream's number of attempts in flight last changed. If an answer
    /// ends this interval, `answered` is its class, and its work is recorded too.
    ///
    /// Answers that arrive at the same time are recorded at the level of the first of them. The
    /// lower levels last for no time between such answers: work recorded there would overestimate
    /// their throughput.
    pub(super) fn record_level(&mut self, now: Time, server: usize, answered: Option<usize>) {
        let s = &self.upstreams.servers[server];
        let passed = now.since(s.in_flight_changed).as_micros_f64();
        let level = s.in_flight as usize;
        let ts = self.ts(s);
        let is_at_once = answered.is_some() && passed < ts * AT_ONCE_OF_TS;
        let done_at = if is_at_once { level.max(s.level_at_last_answer as usize) } else { level };
        if self.is_representative(now, s) && (1..=MAX_CONCURRENCY).contains(&level) {
            let work =
                answered.map_or(0.0, |class| self.overall.mean_latency[class] / self.overall.ts);
            let levels = &mut self.upstreams.machine_types.levels_mut(s.type_index).stats;
            levels[level].time += passed.min(ts * MAX_GAP_OF_TS);
            levels[done_at.min(MAX_CONCURRENCY)].work += work;
        }
        let s = &mut self.upstreams.servers[server];
        s.in_flight_changed = now;
        s.level_at_last_answer = if answered.is_some() { done_at as u32 } else { 0 };
    }
}
