//! Probes how many requests upstreams of each machine type run side by side. The figures themselves are `crate::concurrency_levels`.

use super::Balancer;
use super::sweep::{FAR, OWN};
use crate::concurrency_levels::MOST_LANES;
use crate::interface::Time;
use crate::upstreams::Server;

/// How long a trial runs, in service times: a few answers at each level.
const TRIAL_OF_TS: f64 = 4.0;
/// And while too little is known of a kind: a round is as long as an answer takes.
const FIRST_TRIAL_OF_TS: f64 = 1.5;
/// Share of one's own upstreams that are tried with more lanes until then, at most.
const TRIALS_FIRST: f64 = 0.5;
/// Share of the upstreams that are tried with more lanes once enough is known of them.
const TRIALS_LATER: f64 = 1.0 / 96.0;
/// Most own upstreams among which some are tried with more lanes: enough to learn from.
const MOST_TRIED: usize = 256;
/// An answer that comes so soon after another change, in service times, was under way with those before it.
const AT_ONCE_OF_TS: f64 = 0.05;
/// A longer wait for the next answer, in service times, tells of a fault, not of the level.
const LANE_GAP: f64 = 5.0;
/// An upstream this many times slower than the mean is a suspect.
const SUSPECT: f64 = 2.0;

impl Balancer {
    pub(super) fn refresh_lanes(&mut self, now: Time) {
        let round = if self.up.kinds.are_lanes_known() { TRIAL_OF_TS } else { FIRST_TRIAL_OF_TS };
        if now.since(self.fleet.tried).f() < self.fleet.ts * round {
            return;
        }
        self.fleet.tried = now;
        self.up.kinds.choose_lanes();
        // One own upstream at a time, or half of them while nothing is known of more lanes (failure: at six
        // cores, learned one by one, a quarter was refused for the first minute of a quiet day). Not beyond
        // one's own part: there the trials of a bank would meet. Fewer where many proxies share an upstream:
        // it is their requests that fill its lanes then, each learns for itself, and what a bank pays for
        // that grows with it (failure: a bank of ten, all anew, crowded half of its upstreams for 5 s).
        for i in std::mem::take(&mut self.trying) {
            self.up.servers[i].trial = 0;
            self.touch(now, i);
        }
        let part = self.up.own_part();
        let own = self.up.near(&part, OWN);
        let own = own.clone().step_by(own.count() / MOST_TRIED + 1);
        let own = own.filter(|&j| self.up.reach(j, &part, FAR) <= OWN);
        let own = own.map(|j| self.up.ring.at(j).slot);
        let own: Vec<usize> = own.filter(|&i| self.fair(now, &self.up.servers[i])).collect();
        if own.is_empty() {
            return;
        }
        let first = (1.0 / (self.up.sharers * self.up.sharers)).min(TRIALS_FIRST);
        for &i in &own {
            let lanes = self.up.kinds.lanes(self.up.servers[i].kept_kind);
            let (next, known) = lanes.next();
            if !known && self.rng.rand_float() < first {
                self.on_trial(now, i, (next - lanes.count) as i32);
            }
        }
        let [more, fewer] =
            [(), ()].map(|()| own[self.rng.rand_range(0..own.len() as u64) as usize]);
        let lanes = self.up.kinds.lanes(self.up.servers[more].kept_kind);
        let (next, known) = lanes.next();
        if !known {
            return;
        }
        if self.rng.rand_float() < TRIALS_LATER * own.len() as f64 {
            self.on_trial(now, more, (next - lanes.count) as i32);
        } else {
            let count = self.up.kinds.lanes(self.up.servers[fewer].kept_kind).count;
            self.on_trial(now, fewer, -((count - 1).min((count / 3).max(1)) as i32));
        }
    }

    fn on_trial(&mut self, now: Time, server: usize, lanes: i32) {
        self.up.servers[server].trial = lanes;
        self.trying.push(server);
        self.touch(now, server);
    }

    /// Young upstreams and outliers say nothing of their kind.
    fn fair(&self, now: Time, s: &Server) -> bool {
        s.est.slow <= SUSPECT && self.cold_share(now, s).is_none()
    }

    /// Books the time since the last change of an upstream's in-flight, and the work of an answer that ends
    /// it.
    ///
    /// Failure: of answers that came all at once (idle upstreams, equally quick at everything) the later ones
    /// were booked at the levels below, which seemed to get more done than there was time for, and lanes in
    /// use were given up again and again.
    pub(super) fn count_level(&mut self, now: Time, server: usize, answered: Option<usize>) {
        let s = &self.up.servers[server];
        let passed = now.since(s.changed).f();
        let (kind, level, ts) = (s.kept_kind, s.in_flight as usize, self.ts(s));
        let at_once = answered.is_some() && passed < ts * AT_ONCE_OF_TS;
        let done_at = if at_once { level.max(s.done_at as usize) } else { level };
        if self.fair(now, s) && (1..=MOST_LANES).contains(&level) {
            let of = &mut self.up.kinds.lanes_at_work(kind).level;
            of[level].time += passed.min(ts * LANE_GAP);
            of[done_at.min(MOST_LANES)].done +=
                answered.map_or(0.0, |class| self.fleet.mean[class] / self.fleet.ts);
        }
        let s = &mut self.up.servers[server];
        (s.changed, s.done_at) = (now, if answered.is_some() { done_at as u32 } else { 0 });
    }
}
