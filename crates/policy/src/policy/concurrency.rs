//! Probes how many requests upstreams of each machine type run side by side. The figures themselves are `crate::concurrency_levels`.

use super::Balancer;
use super::sweep::{CROSS_ZONE_DISTANCE, OWN_DISTANCE};
use crate::concurrency_levels::MAX_CONCURRENCY;
use crate::interface::Time;
use crate::upstreams::Server;

/// How long a trial runs, in service times: a few answers at each level.
const PROBE_OF_TS: f64 = 4.0;
/// And while too little is known of a kind: a round is as long as an answer takes.
const FIRST_PROBE_OF_TS: f64 = 1.5;
/// Share of one's own upstreams that are tried with more lanes until then, at most.
const MAX_FIRST_PROBES: f64 = 0.5;
/// Share of the upstreams that are tried with more lanes once enough is known of them.
const LATER_PROBES: f64 = 1.0 / 96.0;
/// Most own upstreams among which some are tried with more lanes: enough to learn from.
const MAX_PROBE_CANDIDATES: usize = 256;
/// An answer that comes so soon after another change, in service times, was under way with those before it.
const AT_ONCE_OF_TS: f64 = 0.05;
/// A longer wait for the next answer, in service times, tells of a fault, not of the level.
const MAX_GAP_OF_TS: f64 = 5.0;
/// An upstream this many times slower than the mean is a suspect.
const SUSPECT_SLOWNESS: f64 = 2.0;

impl Balancer {
    pub(super) fn refresh_probes(&mut self, now: Time) {
        let round =
            if self.upstreams.kinds.are_levels_known() { PROBE_OF_TS } else { FIRST_PROBE_OF_TS };
        if now.since(self.fleet.probed_at).f() < self.fleet.ts * round {
            return;
        }
        self.fleet.probed_at = now;
        self.upstreams.kinds.choose_levels();
        // One own upstream at a time, or half of them while nothing is known of more lanes (failure: at six
        // cores, learned one by one, a quarter was refused for the first minute of a quiet day). Not beyond
        // one's own part: there the trials of a bank would meet. Fewer where many proxies share an upstream:
        // it is their requests that fill its lanes then, each learns for itself, and what a bank pays for
        // that grows with it (failure: a bank of ten, all anew, crowded half of its upstreams for 5 s).
        for i in std::mem::take(&mut self.probed) {
            self.upstreams.servers[i].probe = 0;
            self.refresh_availability(now, i);
        }
        let part = self.upstreams.own_part();
        let own = self.upstreams.near(&part, OWN_DISTANCE);
        let own = own.clone().step_by(own.count() / MAX_PROBE_CANDIDATES + 1);
        let own =
            own.filter(|&j| self.upstreams.reach(j, &part, CROSS_ZONE_DISTANCE) <= OWN_DISTANCE);
        let own = own.map(|j| self.upstreams.ring.at(j).slot);
        let own: Vec<usize> =
            own.filter(|&i| self.is_representative(now, &self.upstreams.servers[i])).collect();
        if own.is_empty() {
            return;
        }
        let first = (1.0 / (self.upstreams.sharers * self.upstreams.sharers)).min(MAX_FIRST_PROBES);
        for &i in &own {
            let levels = self.upstreams.kinds.levels(self.upstreams.servers[i].type_index);
            let (next, known) = levels.next();
            if !known && self.rng.rand_float() < first {
                self.start_probe(now, i, (next - levels.count) as i32);
            }
        }
        let [more, fewer] =
            [(), ()].map(|()| own[self.rng.rand_range(0..own.len() as u64) as usize]);
        let levels = self.upstreams.kinds.levels(self.upstreams.servers[more].type_index);
        let (next, known) = levels.next();
        if !known {
            return;
        }
        if self.rng.rand_float() < LATER_PROBES * own.len() as f64 {
            self.start_probe(now, more, (next - levels.count) as i32);
        } else {
            let count = self.upstreams.kinds.levels(self.upstreams.servers[fewer].type_index).count;
            self.start_probe(now, fewer, -((count - 1).min((count / 3).max(1)) as i32));
        }
    }

    fn start_probe(&mut self, now: Time, server: usize, levels: i32) {
        self.upstreams.servers[server].probe = levels;
        self.probed.push(server);
        self.refresh_availability(now, server);
    }

    /// Young upstreams and outliers say nothing of their kind.
    fn is_representative(&self, now: Time, s: &Server) -> bool {
        s.estimate.slow <= SUSPECT_SLOWNESS && self.warm_up_share(now, s).is_none()
    }

    /// Books the time since the last change of an upstream's in-flight, and the work of an answer that ends
    /// it.
    ///
    /// Failure: of answers that came all at once (idle upstreams, equally quick at everything) the later ones
    /// were booked at the levels below, which seemed to get more done than there was time for, and lanes in
    /// use were given up again and again.
    pub(super) fn count_level(&mut self, now: Time, server: usize, answered: Option<usize>) {
        let s = &self.upstreams.servers[server];
        let passed = now.since(s.in_flight_changed).f();
        let (kind, level, ts) = (s.type_index, s.in_flight as usize, self.ts(s));
        let at_once = answered.is_some() && passed < ts * AT_ONCE_OF_TS;
        let done_at = if at_once { level.max(s.level_at_last_answer as usize) } else { level };
        if self.is_representative(now, s) && (1..=MAX_CONCURRENCY).contains(&level) {
            let of = &mut self.upstreams.kinds.levels_mut(kind).level;
            of[level].time += passed.min(ts * MAX_GAP_OF_TS);
            of[done_at.min(MAX_CONCURRENCY)].done +=
                answered.map_or(0.0, |class| self.fleet.mean_latency[class] / self.fleet.ts);
        }
        let s = &mut self.upstreams.servers[server];
        (s.in_flight_changed, s.level_at_last_answer) =
            (now, if answered.is_some() { done_at as u32 } else { 0 });
    }
}
