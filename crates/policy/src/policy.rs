//! Every decision of the balancer, and nothing else: no clock, no I/O, no threads.
//! Its interface (settings, events, actions) is `interface.rs`; its plain records are `state.rs`.
//! The ordinary path is Ould Deye et al.'s: a first-come queue, at most `K_i = 2*TP_i/TS_i + 1` requests out
//! per upstream, and refusal once queued plus in-flight reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)`.

use std::sync::Arc;

use hollowpaddle_ordered_collections::tournament::Key;
use oorandom::Rand64;

use crate::capacity::Capacity;
use crate::interface::*;
use crate::list_polling::Asking;
use crate::machine_types::Decay;
use crate::queue::{Out, Queue};
use crate::quotas::Quotas;
use crate::ranks::{Figures, Ranks};
use crate::state::*;
use crate::upstreams::{Server, Standing, Upstreams};

// ---------------------------------------------------------------- tunables

/// Weight of a new round trip in TS (per answer): about the last eight answers count.
const TS_GAIN: f64 = 0.125;
/// Weight of a new answer in the fleet's mean of its class.
const MEAN_GAIN: f64 = 0.02;
/// An attempt that failed counts as this many mean service times at least.
const FAULT_SLOWNESS: f64 = 5.0;
/// One answer counts as this many at most: a heavy request must not condemn the upstream that drew it.
const SLOWNESS_MAX: f64 = 10.0;
/// An upstream that turned a request away or can't be reached rests for this share of the mean service time.
const PAUSE_OF_TS: f64 = 0.5;
/// Most doublings of that: some thirty service times between trials of a dead upstream.
const PAUSE_DOUBLINGS: u32 = 6;
/// Most doublings where one class goes unanswered: a trial costs a request; no pause outlasts the trouble.
const CLASS_DOUBLINGS: u32 = 10;
/// An attempt is overdue so many mean deviations past its class's mean latency.
const PATIENCE: f64 = 3.0;
/// A second copy goes no sooner than after so many times the mean.
const LEAST_PATIENCE: f64 = 1.5;
/// And only where more than this share of those so late were never answered: a slow fleet needs no more load.
const LIKELY: f64 = 0.4;
/// Further attempts for what is late, per first attempt: more is a storm on a fleet that is slow.
const EXTRA: f64 = 0.3;
/// With so much of the fleet shut to a class it is the fleet that is slow, and none is shut.
const PANIC: f64 = 0.75;
/// Share of the aim that queue and service may take to be admitted: the rest is for the spread of service.
const HOLD_OF_AIM: f64 = 0.7;
/// Part of the bearable wait that the class of least worth for its work may use.
const LEAST_PART: f64 = 0.2;
/// An upstream this many times slower than the mean is a suspect.
const SUSPECT: f64 = 2.0;
/// An upstream across zones, where crossing has a price, is as far as a whole part of the fleet.
const FAR: f64 = 1.0;
/// Least reach in the cost of an upstream, so that slowness tells also in the middle of one's part.
const NEAR: f64 = 0.1;
/// Own are the upstreams within half a part to either side.
const OWN: f64 = 0.5;
/// Pace to a young upstream of one's own, as a share of the stated multiple: few proxies own the same one.
const OWNER_PACE: f64 = 1.0 / 3.0;
/// Pace of the whole bank to it, from what each proxy has seen, as a share of the same at most.
const EVEN_PACE: f64 = 0.5;
/// A send that a young upstream has earned is kept for this share of the window in which it may fall.
const KEPT_OF_WINDOW: f64 = 0.25;
/// A proxy starts with so many times its even part of the bank's slots: clients are never spread evenly.
const LEEWAY: f64 = 1.2;
/// Each answer at the limit moves that by so much.
const LEEWAY_GAIN: f64 = 0.02;
/// An answer that took so many times as long as in good times was crowded: one more in its way makes it two.
const CROWDED: f64 = 1.5;
/// The limit is given up so many times faster than won: it is others' part that is given back.
const LEEWAY_FALL: f64 = 1.5;
/// And so many times faster again where an upstream turned a request away.
const FULL_FALL: f64 = 6.0;
/// An even part of more upstreams than this needs less of others' part: its bursts even out by themselves.
const FEW: f64 = 3.0;
/// How fast the service time of good times follows a worse one, per answer.
const GOOD_GAIN: f64 = 1.0 / 1024.0;
/// Most requests that an upstream is tried with side by side.
pub(crate) const MOST_LANES: usize = 32;
/// An unseen level weighs as so many answers that no more gets done than one below, as the paper has it.
const LANE_PRIOR: f64 = 16.0;
/// Answers that what is known of a level reaches back over.
const LANE_MEMORY: f64 = 128.0;
/// Answers at the level in use that others are measured against, each round.
const LANE_ROUND: f64 = 8.0;
/// An answer that comes so soon after another change, in service times, was under way with those before it.
const AT_ONCE_OF_TS: f64 = 0.05;
/// A longer wait for the next answer, in service times, tells of a fault, not of the level.
const LANE_GAP: f64 = 5.0;
/// The fewest lanes that reach this share of the best throughput are taken: more is bought with latency.
const LANES_ENOUGH: f64 = 0.75;
/// How long a trial runs, in service times: a few answers at each level.
const TRIAL_OF_TS: f64 = 4.0;
/// And while too little is known of a kind: a round is as long as an answer takes.
const FIRST_TRIAL_OF_TS: f64 = 1.5;
/// Share of one's own upstreams that are tried with more lanes until then, at most.
const TRIALS_FIRST: f64 = 0.5;
/// Share of the upstreams that are tried with more lanes once enough is known of them.
const TRIALS_LATER: f64 = 1.0 / 96.0;
/// TS of an upstream before any answer from any upstream, as a share of T_QoS.
const TS_PRIOR_OF_QOS: f64 = 0.25;
/// A sweep looks at a fleet of up to this size at once. Of a larger one it looks at a slice, and leaves the
/// rest to the events that follow, one to each: no event may hold up those behind it.
const WHOLE: usize = 256;
const SLICE: usize = 64;
/// Attempts that each event looks at, of those that may be overdue.
const SLIVER: usize = 4;
/// Most own upstreams among which some are tried with more lanes: enough to learn from.
const MOST_TRIED: usize = 256;

// ---------------------------------------------------------------- state

impl Breaker {
    /// Failure: the upstreams of a lost zone, long still on the list, were tried again every few milliseconds
    /// by every proxy, and most attempts of the bank ended there.
    fn trip(&mut self, now: Time, pause: f64, doublings: u32) {
        if now < self.until {
            return; // Sent before the pause began: the same trouble, already counted.
        }
        self.until = now.plus(Span::of(pause * f64::from(1 << self.faults)));
        self.faults = (self.faults + 1).min(doublings);
    }
}

/// One proxy's share of the bank: all its decisions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Arc<Settings>,
    t_qos: f64,
    rng: Rand64,
    started: bool,
    pub(crate) up: Upstreams,
    queue: Queue,
    /// How far the sweep over the ring is, and how much it still owes.
    at: usize,
    owed: usize,
    /// Upstreams with lanes on trial, and those whose idle connections are closed.
    trying: Vec<usize>,
    closing: Vec<usize>,
    /// Attempts that are out, and further ones that what is overdue may still have.
    out: Out,
    extra: f64,
    pub(crate) max_attempts: usize,
    pub(crate) fleet: Fleet,
    /// Classes by worth for their work, and what each tenant may still send within its share.
    pub(crate) ranks: Ranks,
    quotas: Quotas,
    ask: Asking,
    /// Whether the list may not be acted on.
    expired: bool,
    /// Sends to cold upstreams that had not been earned.
    overdrafts: u64,
}

// ---------------------------------------------------------------- estimator: TP, TS -> K, N

impl Estimate {
    /// Takes in an answer of this latency, where the fleet's mean for its class is `mean`.
    fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        if outcome == Outcome::Full {
            self.tp2 = Some(self.tp2.map_or(latency, |t| t.min(latency)));
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not look like a fast upstream (it would earn slots).
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slow += (service.min(SLOWNESS_MAX) - self.slow) * TS_GAIN;
    }
}

impl Lanes {
    /// Ends a round, if enough was seen, and takes the fewest lanes that get enough done.
    pub(crate) fn choose(&mut self) {
        let now = self.level[self.count];
        if now.done < LANE_ROUND {
            return;
        }
        let rate = now.done / now.time.max(1.0);
        let mut gain = [0.0; MOST_LANES + 1];
        let (mut top, mut best) = (1, 0.0);
        for n in 1..=MOST_LANES {
            let l = &mut self.level[n];
            (l.all, l.expected) = (l.all + l.done, l.expected + l.time * rate);
            (l.time, l.done) = (0.0, 0.0);
            if l.all > LANE_MEMORY {
                (l.all, l.expected) = (l.all / 2.0, l.expected / 2.0);
            }
            let below = if n == 1 { 1.0 } else { gain[n - 1] };
            gain[n] = (l.all + LANE_PRIOR * below) / (l.expected + LANE_PRIOR);
            if l.expected > 0.0 {
                (top, best) = (n, gain[n].max(best));
            }
        }
        let enough = (1..=top).find(|&n| gain[n] >= LANES_ENOUGH * best).unwrap_or(1);
        if enough != self.count {
            self.count = enough;
            self.level.iter_mut().for_each(|l| l.expected *= gain[enough]);
        }
    }

    /// The level to try next, and whether enough is known of it. Twice the count, a step that wins more than
    /// LANES_ENOUGH asks. Failure: tried with one more, six cores stuck at three lanes for good.
    pub(crate) fn next(&self) -> (usize, bool) {
        let next = (2 * self.count).min(MOST_LANES);
        (next, self.level[next].expected >= LANE_PRIOR)
    }
}

impl Balancer {
    fn ts(&self, s: &Server) -> f64 {
        self.fleet.ts * s.est.slow
    }

    fn tp2(&self, s: &Server) -> f64 {
        s.est.tp2.unwrap_or(self.fleet.tp2)
    }

    /// Requests that upstreams of its kind run side by side.
    fn lanes(&self, s: &Server) -> f64 {
        self.up.kinds.lanes(s.kept_kind).count as f64
    }

    /// K_i = 2*TP_i / TS_i + 1 for an upstream that runs one request at a time, and one more for each further
    /// lane; N_i at most.
    fn k_exact(&self, s: &Server) -> f64 {
        let k = self.tp2(s) / self.ts(s) + self.lanes(s);
        k.min(self.n_rate(s) * self.t_qos)
    }

    /// K_i in whole requests, with lanes on trial; below one it still is one, or the upstream would never
    /// update.
    pub(crate) fn k(s: &Server, trial: i32) -> u32 {
        (s.k as i32 + trial).max(1) as u32
    }

    /// Each answer and each sweep updates K_i and N_i, and with them the sums over the fleet.
    fn update(&mut self, server: usize) {
        let s = &self.up.servers[server];
        let capacity = Capacity { k: self.k_exact(s), n: self.n_hoped(s) };
        self.up.sum(server, capacity);
    }

    /// The same as admission counts on it. Until it is known that more lanes win nothing they are hoped for,
    /// or a fresh proxy refuses beside upstreams that have room.
    fn n_hoped(&self, s: &Server) -> f64 {
        let lanes = self.up.kinds.lanes(s.kept_kind);
        let (next, known) = lanes.next();
        self.n_rate(s) * if known { 1.0 } else { next as f64 / lanes.count as f64 }
    }

    /// N_i per unit of time: 1 / (2*TP_i + TS_i) for each lane.
    pub(crate) fn n_rate(&self, s: &Server) -> f64 {
        self.lanes(s) / (self.tp2(s) + self.ts(s))
    }

    fn refresh_lanes(&mut self, now: Time) {
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

    /// The part of the bank's work that falls to this proxy. The paper's one balancer sees all.
    fn part(&self) -> f64 {
        (self.fleet.leeway / self.up.sharers).min(1.0)
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
    fn count_level(&mut self, now: Time, server: usize, answered: Option<usize>) {
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

    /// A prior counts as one answer, and each further one for its part of all, until the means follow.
    fn learn_means(&mut self, class: usize, latency: f64) {
        let f = &mut self.fleet;
        let gain = |seen: &mut f64| {
            *seen += 1.0;
            MEAN_GAIN.max(1.0 / *seen)
        };
        f.ts += (latency - f.ts) * gain(&mut f.answers);
        let (mean, dev) = (&mut f.mean[class], &mut f.dev[class]);
        let (off, new) = ((latency - *mean).abs(), *mean == 0.0);
        let gain = gain(&mut f.of_class[class]);
        *dev += (if new { latency / 2.0 } else { off } - *dev) * gain;
        *mean += (latency - *mean) * gain;
        self.ranks.change(class);
        self.reset_patience(class);
    }

    fn slice(&self) -> usize {
        if self.up.ring.len() <= WHOLE { WHOLE } else { SLICE }
    }

    /// The next so many upstreams of the sweep, all of a small fleet: what is known of each, and of all.
    fn sweep(&mut self, now: Time, most: usize, of: Sweep) {
        let all = self.up.ring.len();
        let places: Vec<usize> = (0..most.min(all)).map(|n| (self.at + n) % all).collect();
        let slots: Vec<usize> = places.iter().map(|j| self.up.ring.at(*j).slot).collect();
        self.up.preload(&slots);
        let mut part = 0..0;
        for &j in &places {
            if !part.contains(&j) {
                part = self.up.ring.part(self.up.ring.at(j).part);
            }
            let slot = self.up.ring.at(j).slot;
            self.up.servers[slot].reach = self.up.reach(j, &part, FAR);
            self.earn(now, slot, 0.0);
        }
        if of != Sweep::Rest {
            self.refresh_fleet(now);
        }
        if of == Sweep::Timer {
            self.refresh_lanes(now);
        }
        slots.into_iter().for_each(|slot| self.refresh(now, slot));
        self.at = places.last().map_or(0, |j| j + 1);
        if of == Sweep::Rest {
            self.owed = self.owed.saturating_sub(places.len());
            return;
        }
        self.owed = all - places.len();
        let part = self.part();
        self.up.rooms.sweep(part);
        self.refresh_admission();
    }

    /// Slower upstreams and those farther off are the dearer ones.
    pub(crate) fn refresh(&mut self, now: Time, server: usize) {
        let s = &mut self.up.servers[server];
        s.cost = (NEAR + s.reach) * s.est.slow * s.est.slow;
        self.update(server);
        self.touch(now, server);
    }

    pub(crate) fn refresh_fleet(&mut self, now: Time) {
        if self.fleet.tp2_seen > 0 {
            self.fleet.tp2 = self.fleet.tp2_sum.get() / self.fleet.tp2_seen as f64;
        }
        self.refresh_warm(now);
        self.up.refresh_panic(PANIC);
    }
}

// ---------------------------------------------------------------- who has a free slot

impl Balancer {
    /// Whether an upstream has a free slot for a class: an ordinary one, or one on trial. Lanes on trial are
    /// filled once the ordinary slots are all taken.
    fn is_free(&self, now: Time, class: usize, server: usize, trial: bool) -> bool {
        let s = &self.up.servers[server];
        let k = Self::k(s, if trial { s.trial } else { s.trial.min(0) });
        // Failure: a proxy at its limit sent on trial to upstreams that it had left idle as slow.
        let slot = s.in_flight < k && !(trial && s.in_flight < Self::k(s, 0));
        slot && (!s.by_class.is_shut(now, class) || self.up.is_panicking(class))
            && s.status == Status::Live
            && now >= s.breaker.until
            && self.up.is_open(class, s)
            && self.cold_allows(now, s)
    }

    /// Looks at an upstream again: whether it stands with those that have a free slot, and when to look next.
    fn touch(&mut self, now: Time, server: usize) {
        let s = &self.up.servers[server];
        let live = s.status == Status::Live;
        let spotted = live && s.by_class.shut(now).next().is_some();
        let cold = if live { self.cold_share(now, s) } else { None };
        let earned = cold.is_none() || self.cold_allows(now, s);
        let slot = s.in_flight < Self::k(s, s.trial.min(0));
        let key = if live && slot && now >= s.breaker.until && earned { s.key() } else { Key::OUT };
        if live {
            let mut next = [s.breaker.until, Time(i64::MAX), Time(i64::MAX)];
            if let Some(started) = s.started.filter(|_| cold.is_some()) {
                next[1] = started.plus(self.settings.rules.warm_up);
                next[2] = if earned { next[1] } else { self.earns_at(now, s) };
            }
            let shut = s.by_class.shut(now).map(|b| b.breaker.until);
            if let Some(at) = next.into_iter().chain(shut).filter(|t| now < *t).min() {
                self.up.timers.set(server, at.0);
            }
        }
        let standing = Standing { key, warm: live && cold.is_none(), spotted };
        self.up.stand(now, server, standing);
    }

    /// The upstream of least cost with a free slot, of those that a request may be sent to. One that already
    /// failed it comes last.
    fn pick(&mut self, now: Time, id: RequestId, full: bool) -> Result<usize, Stuck> {
        let Some(e) = self.queue.get(id).filter(|e| self.may_go(now, e)) else {
            return Err(Stuck::Itself);
        };
        let (class, bound) = (e.class, self.bound(e));
        let tried: Vec<usize> = e.attempts.iter().map(|a| a.server).collect();
        let out = |i: &usize| e.attempts.iter().any(|a| a.fate == Fate::Out && a.server == *i);
        let free = |i: &usize| self.up.in_bound(bound, *i) && self.is_free(now, class, *i, full);
        let key = |i: &usize| self.up.servers[*i].key();
        let last: Vec<usize> = tried.iter().copied().filter(free).collect();
        let again = last.iter().copied().filter(|i| !out(i)).min_by_key(key);
        let none = if last.is_empty() { Stuck::NoneFree } else { Stuck::Itself };
        let fits = |i: &usize| !tried.contains(i) && free(i);
        if full {
            let best = self.trying.iter().copied().filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        if let Bound::Cell(zone, cell) = bound {
            let best = self.up.cell(zone, cell).filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        // What stands with the free is looked at once more before it is sent to.
        while let Some(i) = self.up.best(class, bound, &tried) {
            if self.up.in_bound(bound, i) && self.is_free(now, class, i, full) {
                return Ok(i);
            }
            self.touch(now, i);
        }
        again.ok_or(none)
    }
}

// ---------------------------------------------------------------- admission

impl Balancer {
    /// A client request has arrived; it is sent, held or refused.
    fn request(&mut self, now: Time, r: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(r.class).filter(|_| !self.expired) else {
            let reason = if self.expired { Refusal::ListExpired } else { Refusal::UnknownClass };
            out.push(Action::Refuse { request: r.id, retry_after: Span(0), reason });
            return;
        };
        if self.queue.get(r.id).is_some() {
            return;
        }
        let mut entry = Entry::new(&r, class.in_order);
        entry.date(now, class, r.send_deadline, self.early());
        let hold_until = entry.hold_until;
        let ahead = self.queue.ahead(entry.turn);
        self.queue.insert(now, r.id, entry);
        let in_share = self.in_share(now, r.tenant);
        let starts = now.plus(Span::of(ahead as f64 * self.fleet.mean[r.class]));
        // Who comes to an empty queue is sent right away, and is not refused while somebody stands idle.
        let has_turn = |e| self.queue.has_turn(now, r.id, e);
        let first = self.queue.is_empty() && self.queue.get(r.id).is_some_and(has_turn);
        let idle = first && in_share && !self.is_full(r.class);
        let at_once = if idle { self.pick(now, r.id, false).ok() } else { None };
        if starts >= hold_until {
            return self.refuse(r.id, Refusal::NoTime, out);
        }
        if at_once.is_none() && !self.admits(r.class, in_share) {
            let reason = if in_share { Refusal::QueueFull } else { Refusal::OverShare };
            return self.refuse(r.id, reason, out);
        }
        if in_share {
            self.quotas.spend(r.tenant);
        }
        if let Some(server) = at_once {
            return self.send(now, r.id, server, out);
        }
        self.hold(r.id, false);
        self.dispatch(now, out);
        if self.queue.get(r.id).is_some_and(|e| e.held) {
            self.queue.give_up_at(hold_until, r.id);
        }
    }

    /// The paper's check: queued plus in-flight stay under the sum of N_i. T_QoS is one for all, the wait
    /// that even the tightest class can bear, or long aims would fill the queue and starve short ones;
    /// classes worth less for their work get a smaller part of it.
    fn admits(&self, class: usize, in_share: bool) -> bool {
        // Failure: a tenant that sent three times its share took the others' part of a full fleet.
        let part = if in_share { self.part_of(class) } else { 0.0 };
        let room = self.up.rooms.load(class);
        let n = room.n_per_time * (self.fleet.ts + self.fleet.bearable * part);
        // With no list yet there is no N to sum: hold until an upstream shows or time is up.
        n == 0.0 || ((room.queued + room.in_flight) as f64) < n.max(1.0)
    }

    /// Part of the bearable wait that a class may use.
    pub(crate) fn part_of(&self, class: usize) -> f64 {
        let ranked = || LEAST_PART + (1.0 - LEAST_PART) * self.ranks.rank(class);
        self.ranks.given(class).unwrap_or_else(ranked)
    }

    fn refresh_admission(&mut self) {
        let (classes, mean) = (&self.settings.classes, &self.fleet.mean);
        self.ranks.refresh(|c| Figures {
            value: classes[c].priority_weight / mean[c].max(1.0),
            bearable: classes[c].latency_objective.f() * HOLD_OF_AIM - mean[c],
        });
        self.fleet.bearable = self.ranks.least_bearable().max(0.0);
    }

    fn refuse(&mut self, request: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        // By then all that is queued now has ended: who comes sooner stands behind the same queue.
        let most = self.settings.limits.max_retry_after;
        let retry_after = Span::of(self.fleet.ts + self.fleet.bearable).min(most);
        out.push(Action::Refuse { request, retry_after, reason });
        self.end(request);
    }

    fn end(&mut self, id: RequestId) {
        let Some(e) = self.queue.get_mut(id) else { return };
        e.ended = true;
        let out = e.out();
        self.release(id);
        if out {
            return;
        }
        let gone = self.queue.remove(id);
        for a in gone.iter().flat_map(|e| &e.attempts) {
            self.up.servers[a.server].refs -= 1;
        }
    }
}

// ---------------------------------------------------------------- queue and dispatch

impl Balancer {
    fn hold(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.queue.get(id) else { return };
        let (class, until) = (e.class, e.hold_until);
        let fresh = e.attempts.is_empty() && e.sticky_cell.is_none();
        let lane = match fresh {
            true => Lane::Fresh(self.up.rooms.room_of(class)),
            false => Lane::Again(class, self.bound(e)),
        };
        self.queue.hold(id, lane, at_head);
        self.up.rooms.count_queued(class, 1);
        if !fresh {
            self.queue.give_up_at(until, id);
        }
    }

    /// It is held no longer.
    fn release(&mut self, id: RequestId) {
        if let Some(class) = self.queue.get(id).filter(|e| e.held).map(|e| e.class) {
            self.queue.release(id);
            self.up.rooms.count_queued(class, -1);
        }
    }

    /// Whether this proxy's part of the slots is taken, of those that a class can have.
    fn is_full(&self, class: usize) -> bool {
        let room = self.up.rooms.load(class);
        room.in_flight as f64 >= room.slots.max(1.0)
    }

    /// First come, first served, while some upstream has a free slot. One that waits for its key's turn, or
    /// finds no slot among the upstreams it is bound to, holds up only its like.
    fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut look = self.queue.look();
        while let Some(id) = self.queue.head(&mut look) {
            let Some(e) = self.queue.get(id) else { return };
            if !self.queue.has_turn(now, id, e) {
                self.queue.step_back(id);
                continue;
            }
            let (class, full) = (e.class, self.is_full(e.class));
            match self.pick(now, id, full) {
                Ok(server) => {
                    self.send(now, id, server, out);
                    // With the last ordinary slot taken, lanes on trial open to repeats behind it.
                    if !full && self.is_full(class) {
                        look.reopen();
                    }
                }
                // It can't go for reasons of its own: look behind it.
                Err(Stuck::Itself) => look.pass(),
                Err(Stuck::NoneFree) => look.close(),
            }
        }
    }

    fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        self.overdrafts += u64::from(!self.cold_allows(now, &self.up.servers[server]));
        self.earn(now, server, 1.0);
        self.release(id);
        let Some(send_by) = self.queue.get(id).map(|e| self.send_by(e)) else { return };
        let Some(e) = self.queue.get_mut(id) else { return };
        let (first, timeout) = (e.attempts.is_empty(), e.worth_until.since(now));
        e.attempts.push(Attempt::new(server, now));
        self.up.servers[server].refs += 1;
        self.take_slot(now, id, true);
        if first {
            self.extra = (self.extra + EXTRA).min(self.up.rooms.whole().slots.max(1.0));
        }
        let server = self.up.servers[server].id;
        out.push(Action::Send { request: id, server, timeout, send_by });
    }

    /// The latest attempt is watched from now on, and takes a slot unless it has one.
    fn take_slot(&mut self, now: Time, request: RequestId, takes: bool) {
        let Some((e, a)) = self.queue.get(request).and_then(|e| Some((e, e.attempts.last()?)))
        else {
            return;
        };
        let (class, attempt, server) = (e.class, e.attempts.len() - 1, a.server);
        let (sent, hold_until) = (now, e.hold_until);
        self.out.sent(Watched { order: 0, request, attempt, class, sent, hold_until, late: false });
        self.count_level(now, server, None);
        self.up.count_in_flight(server, i32::from(takes));
        self.touch(now, server);
    }

    /// The last byte of a request that flows is out: its upstream can begin, and is to blame from here on.
    fn whole(&mut self, now: Time, id: RequestId, send_deadline: Time) {
        let early = self.early();
        let Some(e) = self.queue.get_mut(id).filter(|e| e.flows) else { return };
        e.date(now, &self.settings.classes[e.class], send_deadline, early);
        // What was passed on while it came is kept nowhere.
        (e.flows, e.spent) = (false, true);
        if let Some(a) = e.attempts.last_mut().filter(|a| a.fate == Fate::Out) {
            let freed = a.freed;
            *a = Attempt::new(a.server, now);
            self.take_slot(now, id, freed);
        }
    }
}

// ---------------------------------------------------------------- attempts and retries

impl Balancer {
    /// The one place that says whether a request may be sent (again), now, within [`Self::bound`].
    fn may_go(&self, now: Time, e: &Entry) -> bool {
        let limits = &self.settings.limits;
        let tried = e.spent || e.attempts.len() >= self.max_attempts;
        if e.ended || now >= self.send_by(e) || tried || self.expired {
            return false;
        }
        if e.out() && !limits.second_copies {
            return false;
        }
        let bound = self.bound(e);
        match self.settings.classes[e.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => e.may_have_run().all(|a| self.up.in_bound(bound, a.server)),
        }
    }

    /// Until when it may be sent, wherever its next attempt waits: a repeat is dropped only within the window
    /// of each attempt that may have run.
    fn send_by(&self, e: &Entry) -> Time {
        let class = &self.settings.classes[e.class];
        let keyed = e.may_have_run().filter(|_| class.effect == Effect::Keyed);
        keyed.map(|a| a.sent.plus(class.window)).fold(e.send_deadline, Time::min)
    }

    /// Where it may go: to its pod; once a keyed one may have run, only to those that drop its repeats.
    fn bound(&self, e: &Entry) -> Bound {
        let class = &self.settings.classes[e.class];
        match e.may_have_run().next().map(|a| &self.up.servers[a.server]) {
            Some(s) if class.effect == Effect::Keyed => match class.group {
                Group::All => Bound::Any,
                Group::Zone => Bound::Zone(s.zone),
                Group::Cell => Bound::Cell(s.zone, s.cell),
            },
            _ => e.sticky_cell.map_or(Bound::Any, |(zone, cell)| Bound::Cell(zone, cell)),
        }
    }

    /// Whether there is an upstream at all that a request may go to.
    fn anywhere(&self, now: Time, e: &Entry) -> bool {
        let out = e.attempts.iter().filter(|a| a.fate == Fate::Out).map(|a| a.server);
        let out: Vec<usize> = out.collect();
        self.may_go(now, e) && self.up.any(e.class, self.bound(e), &out)
    }

    /// The one place that says whether a request may be refused.
    fn may_refuse(&self, e: &Entry) -> bool {
        let class = &self.settings.classes[e.class];
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => class.group == Group::All || e.all_never_ran(),
        }
    }

    fn outcome(&mut self, now: Time, a: Answer, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get_mut(a.request) else { return };
        let Some(attempt) = e.attempts.get_mut(a.attempt).filter(|t| t.fate == Fate::Out) else {
            return;
        };
        attempt.fate = if a.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let attempt = *attempt;
        let server = attempt.server;
        (e.spent, e.flows) = (e.spent || a.spent, e.flows && !a.spent);
        let (class, turn) = (e.class, e.turn);
        let may_run = matches!(a.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let rest = now.plus(self.settings.rules.turn_gap);
        self.queue.rest(turn.filter(|_| may_run), rest);
        self.learn(now, class, attempt, &a);
        self.close_idle(now, server, out);
        if a.last || a.outcome == Outcome::Ok {
            self.end(a.request);
        } else {
            self.settle(now, a.request, out);
        }
        self.dispatch(now, out);
    }

    fn learn(&mut self, now: Time, class: usize, attempt: Attempt, a: &Answer) {
        let server = attempt.server;
        // Failure: one absurd latency put the mean of its class out of reach for good.
        let latency = a.latency.f().clamp(1.0, self.settings.classes[class].deadline.f());
        self.count_level(now, server, (a.outcome == Outcome::Ok).then_some(class));
        // Failure: a second lane on trial made an upstream look slow, and drove its proxy into the parts of
        // others.
        let tried = self.up.servers[server].in_flight > Self::k(&self.up.servers[server], 0);
        if a.outcome == Outcome::Ok && !tried {
            self.learn_means(class, latency);
        }
        // What warm upstreams served counts, not what they were sent: in a storm of refusals the sends of a
        // bank add up to a multiple of what any upstream can do.
        let s = &self.up.servers[server];
        if a.outcome == Outcome::Ok && self.cold_share(now, s).is_none() {
            self.up.kinds.count_served(s.kept_kind);
        }
        let mean = self.fleet.mean[class];
        let mean = if mean > 0.0 { mean } else { self.fleet.ts };
        self.learn_leeway(latency / mean, a.outcome);
        let s = &mut self.up.servers[server];
        if attempt.asked && a.outcome != Outcome::Cancelled {
            let hopeless = &mut self.fleet.hopeless[class];
            *hopeless += (f64::from(a.outcome != Outcome::Ok) - *hopeless) * TS_GAIN;
        }
        let counted = attempt.overdue && a.outcome == Outcome::Timeout;
        if !counted && (a.outcome != Outcome::Ok || !tried) {
            let tp2 = s.est.tp2;
            s.est.learn(a.outcome, latency, mean);
            self.fleet.tp2_sum.change(tp2, s.est.tp2);
            self.fleet.tp2_seen += usize::from(tp2.is_none() && s.est.tp2.is_some());
        }
        match a.outcome {
            Outcome::Full | Outcome::ConnectFailed => {
                s.breaker.trip(now, self.fleet.ts * PAUSE_OF_TS, PAUSE_DOUBLINGS);
            }
            Outcome::Ok => {
                s.answered = s.answered.max(attempt.sent);
                s.breaker.faults = 0;
                s.by_class.reset(class);
            }
            Outcome::Error | Outcome::Timeout | Outcome::Reset if !attempt.overdue => {
                s.by_class.get_mut(class).trip(now, mean, CLASS_DOUBLINGS);
            }
            _ => {}
        }
        if !attempt.freed {
            self.up.count_in_flight(server, -1);
        }
        self.update(server);
        self.touch(now, server);
    }

    /// Moves the limit by what an answer tells of the room there. Failure: where a zone was lost with its
    /// proxies, the rest kept to the parts of a whole bank, and refused beside upstreams that idled.
    fn learn_leeway(&mut self, latency: f64, outcome: Outcome) {
        let f = &mut self.fleet;
        let latency = match outcome {
            Outcome::Ok => latency.min(SLOWNESS_MAX),
            Outcome::Full => SLOWNESS_MAX,
            _ => return,
        };
        f.good += if f.ts < f.good { f.ts - f.good } else { (f.ts - f.good) * GOOD_GAIN };
        // Failure: it fell with every heavy request and rose only at the limit, so where bursts alone reach
        // the limit it never left its least value, and proxies refused beside idle upstreams.
        let room = self.up.rooms.whole();
        let idle = room.in_flight as f64 + 1.0 < room.slots;
        if idle && outcome == Outcome::Ok {
            return;
        }
        let crowded = latency * f.ts / f.good > CROWDED;
        let even = self.up.ring.len() as f64 / self.up.sharers;
        let full = if outcome == Outcome::Ok { 1.0 } else { FULL_FALL };
        let fall = LEEWAY_FALL * (even / FEW).max(1.0) * full;
        f.leeway *= 1.0 + LEEWAY_GAIN * if crowded { -fall } else { 1.0 };
        f.leeway = f.leeway.clamp(LEEWAY, LEEWAY.max(self.up.sharers));
    }

    /// When an attempt is overdue, long past its class's latency; and when a second one must go to be in
    /// time.
    fn overdue_at(&self, w: &Watched) -> (Time, Time) {
        let (mean, dev) = (self.fleet.mean[w.class], self.fleet.dev[w.class]);
        if mean == 0.0 {
            let latency_objective = w.sent.plus(self.settings.classes[w.class].latency_objective);
            return (latency_objective, latency_objective);
        }
        let patience = mean + PATIENCE * dev;
        let left = w.hold_until.since(w.sent).f() - mean;
        let again = patience.min(left).max(mean * LEAST_PATIENCE);
        (w.sent.plus(Span::of(patience)), w.sent.plus(Span::of(again)))
    }

    /// Sets when an attempt of a class may be overdue, or in need of a second one, from its mean.
    pub(crate) fn reset_patience(&mut self, class: usize) {
        let (mean, dev) = (self.fleet.mean[class], self.fleet.dev[class]);
        let least = (mean + PATIENCE * dev).min(mean * LEAST_PATIENCE);
        let latency_objective = self.settings.classes[class].latency_objective;
        self.out.set_patience(class, if mean == 0.0 { latency_objective } else { Span::of(least) });
    }

    /// Attempts that may be due leave the young ones; so many a class.
    fn ripen(&mut self, now: Time, most: usize) {
        let queue = &self.queue;
        self.out.ripen(now, most, |w| queue.attempt(w).is_some_and(|a| a.fate == Fate::Out));
    }

    /// Watches what is out. What is overdue is a fault of its upstream in its class; in time for a second
    /// one, it is sent elsewhere too where that is allowed, promises something and the budget lasts. Guards
    /// against hung and vanished upstreams, lost answers, stalls, a class that goes unanswered, dead
    /// connections. May hurt where requests of one class differ widely: a heavy one looks lost.
    fn watch(&mut self, now: Time, most: usize) {
        for _ in 0..most {
            let Some(mut w) = self.out.next() else { return };
            let (late_at, again_at) = self.overdue_at(&w);
            if now < late_at.min(again_at) && !w.late {
                self.out.keep(w);
                continue;
            }
            let (id, n) = (w.request, w.attempt);
            let Some(e) = self.queue.get(id) else { continue };
            // One that flowed when it was sent is watched anew since it is whole.
            let out = |a: &&Attempt| a.fate == Fate::Out && a.sent == w.sent;
            let Some(a) = e.attempts.get(n).filter(out).copied() else { continue };
            w.late = true;
            self.out.keep(w);
            let (late, asked) = (a.overdue || now >= late_at, a.asked || now >= again_at);
            let room = self.up.rooms.load(e.class);
            let idle = room.queued == 0 && (room.in_flight as f64) < room.slots;
            let likely = self.fleet.hopeless[e.class] > LIKELY;
            let again = asked && !a.asked && likely && idle && self.extra >= 1.0;
            let again = again && !e.ended && !e.held && !e.flows && now < e.hold_until;
            let again = again && self.anywhere(now, e);
            let (class, server, was_late, flows) = (e.class, a.server, a.overdue, e.flows);
            let s = &mut self.up.servers[server];
            // Failure: lost answers held their slots for two aims, and the fleet was refused for. What is
            // overtaken is lost. With a K_i of one nothing overtakes (silent connections held all slots), so
            // between two answers of an upstream one is given up on time alone.
            let over = s.answered > Time(i64::MIN) && now >= late_at.plus(late_at.since(a.sent));
            // Its client is slow, not its upstream: it has the slot again once it is whole.
            let lost = late && !a.freed && (s.answered > a.sent || over || flows);
            if lost && !flows && s.answered <= a.sent {
                s.answered = Time(i64::MIN);
            }
            if late && !a.overdue && !flows {
                let mean = self.fleet.mean[class].max(1.0);
                s.est.learn(Outcome::Timeout, now.since(a.sent).f(), mean);
                s.by_class.get_mut(class).trip(now, mean, CLASS_DOUBLINGS);
            }
            if again {
                self.extra -= 1.0;
                self.hold(id, true);
            }
            if lost {
                self.count_level(now, a.server, None);
                self.up.count_in_flight(a.server, -1);
            }
            if let Some(a) = self.queue.get_mut(id).and_then(|e| e.attempts.get_mut(n)) {
                (a.overdue, a.asked, a.freed) = (late, asked, a.freed || lost);
            }
            if lost || late && !was_late {
                self.update(server);
                self.touch(now, server);
            }
        }
    }

    /// After an attempt that did not serve: again, or an end.
    fn settle(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get(id) else { return };
        if e.ended {
            return self.end(id);
        }
        if e.held || e.out() {
            return;
        }
        if now < e.hold_until && self.anywhere(now, e) {
            self.hold(id, true);
        } else {
            self.give_up(id, Refusal::AttemptsFailed, out);
        }
    }

    fn give_up(&mut self, id: RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let Some(e) = self.queue.get(id) else { return };
        if self.may_refuse(e) {
            self.refuse(id, reason, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// Refuses what was held too long.
    fn give_up_all(&mut self, held: Vec<RequestId>, reason: Refusal, out: &mut Vec<Action>) {
        for id in held {
            // One with an attempt out waited for a second; the first may still be answered.
            if self.queue.get(id).is_some_and(Entry::out) {
                self.release(id);
            } else {
                self.give_up(id, reason, out);
            }
        }
    }
}

// ---------------------------------------------------------------- cold ramp

impl Balancer {
    /// Share of its capacity that a young upstream has for certain; `None` once warm.
    fn cold_share(&self, now: Time, s: &Server) -> Option<f64> {
        let (age, rules) = (now.since(s.started?), &self.settings.rules);
        let grown = (age.f() / rules.warm_up.f()).max(0.0);
        (age < rules.warm_up)
            .then_some(rules.warm_up_initial_share + (1.0 - rules.warm_up_initial_share) * grown)
    }

    fn cold_allows(&self, now: Time, s: &Server) -> bool {
        self.earned(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Sends that a young upstream has earned by now, kept for a while; `None` once warm.
    fn earned(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.cold_share(now, s)?;
        let pace = self.warm_rate(s) * share;
        let earned = s.tokens + now.since(s.refilled).f().max(0.0) * pace;
        // Failure: what each of hundreds had kept for want of requests was spent in one burst by all.
        let kept = pace * self.settings.rules.tip_after.f() * KEPT_OF_WINDOW;
        if kept >= 1.0 {
            return Some(earned.min(1.0));
        }
        Some(if earned > 1.0 + kept { earned.fract() } else { earned })
    }

    /// Answers per microsecond that one warm upstream like `s` has been seen to give.
    fn warm_rate(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        let like = self.up.kinds.rate(s.kept_kind);
        let rate = s.weight * if like > 0.0 { like } else { self.up.kinds.any_rate };
        let multiple = self.settings.rules.fall_multiple.max(1.0);
        // Failure: with every upstream young, or nothing observed yet, none got any work.
        let least = multiple / self.up.sharers / f.paced;
        // Failure: each of hundreds saw little and kept the most: together several times the truth.
        let rate = if rate > 0.0 { rate.min(least * EVEN_PACE * self.lanes(s)) } else { least };
        // Failure: a fleet that grew fourfold kept refusing: each young upstream had the pace of an even
        // spread over the bank, but only the proxies whose own it was sent it anything.
        let owner =
            if s.reach <= OWN { multiple * OWNER_PACE * self.lanes(s) / f.paced } else { 0.0 };
        rate.max(owner)
    }

    /// No later than when a young upstream will have earned a send: its share grows on the way there.
    fn earns_at(&self, now: Time, s: &Server) -> Time {
        let (rate, passed) = (self.warm_rate(s), now.since(s.refilled).f().max(0.0));
        let by_now = s.tokens + passed * rate * self.cold_share(now, s).unwrap_or(1.0);
        let after = |at: Time| {
            let share = self.cold_share(at, s).unwrap_or(1.0);
            let missing = by_now.floor() + 1.0 - s.tokens;
            s.refilled.plus(Span::of((missing / (rate * share)).min(1e15)))
        };
        after(after(now)).max(now.plus(Span(1)))
    }

    /// Books what a young upstream has earned by now, before its pace changes, and what of it is spent.
    fn earn(&mut self, now: Time, server: usize, spent: f64) {
        if let Some(earned) = self.earned(now, &self.up.servers[server]) {
            let s = &mut self.up.servers[server];
            (s.tokens, s.refilled) = (earned - spent, now);
        }
    }

    fn refresh_warm(&mut self, now: Time) {
        let elapsed = now.since(std::mem::replace(&mut self.fleet.counted, now)).f();
        self.fleet.paced = self.fleet.ts;
        let window = self.settings.rules.tip_after.f().max(1.0);
        let cold = self.settings.rules.warm_up.f().max(1.0);
        let (count, peak) = ((-elapsed / window).exp(), (-elapsed / cold).exp());
        self.up.kinds.refresh(Decay { count, window, peak });
    }
}

// ---------------------------------------------------------------- tenants

impl Balancer {
    /// Whether one more request of this tenant is within its share; what is refused uses up none.
    fn in_share(&mut self, now: Time, tenant: usize) -> bool {
        let Some(of) = self.settings.tenants.get(tenant) else { return true };
        // A share unused for the life of a request is gone: the fleet did not wait for it.
        self.quotas.refill(now, tenant, of.quota_rps) >= 1.0
    }
}

// ---------------------------------------------------------------- membership and time

const SWEEP: u64 = 1;
const ASK: u64 = 2;

impl Balancer {
    /// A balancer that knows its settings and nothing else yet. Its first event starts its timers: give it
    /// what list there is right away, if only an empty [`ListKind::Restored`].
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let settings = settings.checked()?;
        let t_qos = settings.t_qos();
        let classes = settings.classes.len();
        let settings = Arc::new(settings);
        Ok(Self {
            t_qos,
            rng: Rand64::new(u128::from(seed)),
            started: false,
            up: Upstreams::new(settings.clone()),
            max_attempts: settings.limits.max_attempts,
            queue: Queue::default(),
            at: 0,
            owed: 0,
            trying: Vec::new(),
            closing: Vec::new(),
            out: Out::new(settings.classes.iter().map(|c| c.latency_objective)),
            extra: 1.0,
            ranks: Ranks::new(classes, 1.0),
            fleet: Fleet {
                ts: t_qos * TS_PRIOR_OF_QOS,
                mean: vec![0.0; classes],
                dev: vec![0.0; classes],
                hopeless: vec![0.0; classes],
                bearable: t_qos * TS_PRIOR_OF_QOS,
                paced: t_qos * TS_PRIOR_OF_QOS,
                tried: Time(i64::MIN),
                answers: 1.0,
                of_class: vec![0.0; classes],
                leeway: LEEWAY,
                good: t_qos,
                counted: now,
                ..Fleet::default()
            },
            quotas: Quotas::new(&settings, now),
            ask: Asking::new(&settings, now, 0.0),
            expired: false,
            overdrafts: 0,
            settings,
        })
    }

    /// Takes in what happened and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.start(now, out);
        }
        for _ in 0..self.slice() {
            let Some(server) = self.up.timers.due(now.0) else { break };
            self.touch(now, server);
        }
        self.queue.rested(now);
        self.queue.tidy();
        self.quotas.drop_full(now, &self.settings);
        if !matches!(event, Event::Timer(_) | Event::Members { .. }) {
            self.ripen(now, SLIVER);
            self.watch(now, SLIVER);
            if self.owed > 0 {
                self.sweep(now, 1, Sweep::Rest);
            }
        }
        match event {
            Event::Members { kind, list } => self.members(now, kind, list, out),
            Event::ListCallRejected => {
                self.ask.turned_away(now, self.rng.rand_float());
                self.arm_ask(out);
            }
            Event::ListExpired => {
                self.expired = true;
                let held = self.queue.held();
                self.give_up_all(held, Refusal::ListExpired, out);
            }
            Event::Request(r) => self.request(now, r, out),
            Event::Answered(a) => self.outcome(now, a, out),
            Event::BodyReceived { request, send_deadline } => {
                self.whole(now, request, send_deadline)
            }
            Event::Started(id) | Event::ClientLeft(id) => self.end(id),
            Event::Timer(token) => self.timer(now, token, out),
            Event::Probed { .. } => {}
        }
    }

    /// How many sends to cold upstreams had not been earned, since the last call: each is a fault of this
    /// module.
    pub fn take_overdrafts(&mut self) -> u64 {
        std::mem::take(&mut self.overdrafts)
    }

    /// So long before its time a held request is given up.
    fn early(&self) -> Span {
        Span(2 * self.settings.sweep_every().0)
    }

    /// Begins to keep time and to ask for the list, with the first event.
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ask = Asking::new(&self.settings, now, self.rng.rand_float());
        self.arm_ask(out);
        self.arm(now, out);
    }

    fn arm(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::Arm { token: SWEEP, at: now.plus(self.settings.sweep_every()) });
    }

    fn timer(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        match token {
            ASK => return self.ask_for_list(now, out),
            SWEEP => {}
            _ => return,
        }
        let slice = self.slice();
        self.ripen(now, slice);
        self.out.begin();
        self.watch(now, slice);
        self.sweep(now, slice, Sweep::Timer);
        let late = self.queue.overheld(now);
        self.give_up_all(late, Refusal::HeldTooLong, out);
        self.dispatch(now, out);
        let late = |s: &Server| s.status == Status::Live || now > s.close_until;
        self.closing.sort_unstable();
        self.closing.dedup();
        self.closing.retain(|i| !late(&self.up.servers[*i]));
        for i in self.closing.clone() {
            self.close_idle(now, i, out);
        }
        self.ask_for_list(now, out);
        self.arm(now, out);
    }

    fn ask_for_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.ask.asks(now) {
            out.push(Action::Subscribe);
            self.arm_ask(out);
        }
    }

    /// The sweep may come too seldom for it. Failure: with aims of a minute the list was asked for 2 s late.
    fn arm_ask(&self, out: &mut Vec<Action>) {
        out.extend(self.ask.next().map(|at| Action::Arm { token: ASK, at }));
    }

    fn members(&mut self, now: Time, kind: ListKind, list: &[Member], out: &mut Vec<Action>) {
        match kind {
            ListKind::Unavailable => {
                self.ask.failed(now, self.rng.rand_float());
                return self.arm_ask(out);
            }
            ListKind::Restored | ListKind::Aside => {}
            ListKind::Update | ListKind::Complete => {
                self.ask.told();
                self.expired = false;
            }
        }
        let changed = self.up.list(now, kind, list);
        for c in &changed {
            let s = &mut self.up.servers[c.server];
            if c.restarted {
                // Spread over the bank: a random part of the first send is already earned.
                (s.tokens, s.refilled) = (self.rng.rand_float(), now);
                s.est.slow = Estimate::NONE.slow;
                s.breaker = Breaker::default();
                s.by_class.reset_all();
            }
            if c.was != Some(s.status) {
                s.close_until = now.plus(self.settings.rules.drain_close);
                self.closing.push(c.server);
                self.close_idle(now, c.server, out);
            }
        }
        let fleet = &mut self.fleet;
        self.up.forget(now, |est| {
            fleet.tp2_sum.change(est.tp2, None);
            fleet.tp2_seen -= usize::from(est.tp2.is_some());
        });
        for c in &changed {
            if let Some((j, part)) = self.up.find(c.server) {
                self.up.servers[c.server].reach = self.up.reach(j, &part, FAR);
            }
            self.refresh(now, c.server);
        }
        self.sweep(now, self.slice(), Sweep::List);
        self.dispatch(now, out);
    }

    /// Closes what idles at an upstream that drains or is gone, where a rule asks for it: on the notice,
    /// after each outcome there, and once a sweep for as long as the rule allows, since a connection may come
    /// free a moment after the outcome that used it was told.
    fn close_idle(&mut self, now: Time, server: usize, out: &mut Vec<Action>) {
        let s = &mut self.up.servers[server];
        let within = self.settings.rules.drain_close;
        if within.0 <= 0 || s.status == Status::Live {
            return;
        }
        out.push(Action::CloseIdle { server: s.id });
        if s.in_flight > 0 {
            s.close_until = now.plus(within);
            self.closing.push(server);
        }
    }
}
