//! Plain records that the policy keeps of requests and of sets of upstreams. No decision is made here;
//! see [`crate::policy`].

use hollowpaddle_ordered_collections::total::Total;
use hollowpaddle_ordered_collections::waiting::Turn;

use crate::interface::*;

/// Weight of a new round trip in TS (per answer): about the last eight answers count.
pub(crate) const TS_GAIN: f64 = 0.125;
/// An attempt that failed counts as this many mean service times at least.
const FAULT_SLOWNESS: f64 = 5.0;
/// One answer counts as this many at most: a heavy request must not condemn the upstream that drew it.
pub(crate) const SLOWNESS_MAX: f64 = 10.0;
/// Most requests that an upstream is tried with side by side.
pub(crate) const MOST_LANES: usize = 32;
/// An unseen level weighs as so many answers that no more gets done than one below, as the paper has it.
const LANE_PRIOR: f64 = 16.0;
/// Answers that what is known of a level reaches back over.
const LANE_MEMORY: f64 = 128.0;
/// Answers at the level in use that others are measured against, each round.
const LANE_ROUND: f64 = 8.0;
/// The fewest lanes that reach this share of the best throughput are taken: more is bought with latency.
const LANES_ENOUGH: f64 = 0.75;
/// Housekeeping period as a share of the shortest aim: held requests are refused close to their limit.
const SWEEP_OF_AIM: f64 = 1.0 / 32.0;

/// A sum over the fleet of figures below 8 million.
pub(crate) type Sum = Total<40>;
/// A sum over the fleet of rates, below 128 a microsecond.
pub(crate) type Rates = Total<56>;
/// A sum over the fleet of times, in microseconds below 2^33.
pub(crate) type Times = Total<30>;

/// Where held requests stand in line together: the first of a lane that finds no slot holds up its like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// Repeats of one class, by where they may still go.
    Again(usize, Bound),
    /// Requests that were never sent, by room.
    Fresh(u32),
}

/// The upstreams that a repeat is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Bound {
    Any,
    Zone(u32),
    /// By zone and cell.
    Cell(u32, u32),
}

/// What a sweep is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sweep {
    /// The timer, or a list: the fleet's own figures are due too.
    Timer,
    List,
    /// What is left of the last one.
    Rest,
}

/// Why a request finds no upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stuck {
    /// For reasons of its own.
    Itself,
    /// None that it is bound to has a free slot.
    NoneFree,
}

/// A circuit breaker: shut after a fault, twice as long after each further one in a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breaker {
    pub(crate) until: Time,
    pub(crate) faults: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { until: Time(i64::MIN), faults: 0 }
    }
}

/// What the answers of one upstream told: the round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Twice the propagation time: the least round trip of an answer that did no work.
    pub(crate) tp2: Option<f64>,
    /// Slowness: service time, waiting at the upstream included, over the fleet's mean for the same class.
    /// TS_i is this times the fleet's mean, whatever mix of classes it drew.
    pub(crate) slow: f64,
}

impl Estimate {
    /// Before any answer: as fast as the fleet's mean.
    pub(crate) const NONE: Self = Self { tp2: None, slow: 1.0 };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) fate: Fate,
    /// Unanswered for too long.
    pub(crate) overdue: bool,
    /// Out at the time when a second copy had to go to be in time.
    pub(crate) asked: bool,
    /// Its slot was given back before its outcome came.
    pub(crate) freed: bool,
}

impl Attempt {
    pub(crate) fn new(server: usize, sent: Time) -> Self {
        Self { server, sent, fate: Fate::Out, overdue: false, asked: false, freed: false }
    }
}

/// An attempt that may still be out, with what tells when it is overdue: a look at its request costs more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watched {
    /// Counts sends.
    pub(crate) order: u64,
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) hold_until: Time,
    /// It was overdue once.
    pub(crate) late: bool,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) class: usize,
    pub(crate) send_deadline: Time,
    /// When an answer stops being worth anything.
    pub(crate) worth_until: Time,
    /// When a held request must be given up.
    pub(crate) hold_until: Time,
    pub(crate) held: bool,
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// While it is held: its place in the order, its lane, and whether it stands there already.
    pub(crate) seat: Turn,
    pub(crate) lane: Lane,
    pub(crate) seated: bool,
    /// The key whose turn it waits for.
    pub(crate) turn: Option<u64>,
    /// Its last byte has not come: what is out of it is nobody's fault.
    pub(crate) flows: bool,
    /// A part of its body went out and is kept nowhere: it can't be sent again.
    pub(crate) spent: bool,
    /// The only zone and cell that it may go to.
    pub(crate) sticky_cell: Option<(u32, u32)>,
}

impl Entry {
    /// One that has just come, to be given its times by [`Self::date`].
    pub(crate) fn new(r: &Request, in_order: bool) -> Self {
        Self {
            class: r.class,
            send_deadline: r.send_deadline,
            worth_until: r.send_deadline,
            hold_until: r.send_deadline,
            held: false,
            ended: false,
            attempts: Vec::new(),
            seat: Turn::default(),
            lane: Lane::Fresh(0),
            seated: false,
            turn: r.key.filter(|_| in_order),
            flows: r.flows,
            spent: false,
            sticky_cell: r.sticky_cell,
        }
    }

    /// Reckons its times anew, from its last byte on. A held request is worth holding only while its aim can be met,
    /// also where a late answer keeps some worth: else, in lasting overload, the whole queue is served late. It is
    /// given up `early`: a refusal must come while it is still harmless.
    pub(crate) fn date(&mut self, now: Time, class: &Class, send_deadline: Time, early: Span) {
        let aim_at = send_deadline.min(now.plus(class.latency_objective));
        self.send_deadline = send_deadline;
        self.worth_until = if class.late_priority_weight > 0.0 { send_deadline } else { aim_at };
        self.hold_until = aim_at.plus(Span(-early.0));
    }
}

/// What is known of so many requests side by side at upstreams of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    /// This round: time spent at the level, and work done there.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Of all rounds: work done, and what the level in use would have done in that time. A fleet that slows
    /// down as a whole changes neither against the other.
    pub(crate) all: f64,
    pub(crate) expected: f64,
}

impl Entry {
    pub(crate) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
    pub(crate) fn all_never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }
    /// Those that are out, too.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }
}

impl Settings {
    /// T_QoS: one target for all, the mean of the class aims.
    pub(crate) fn t_qos(&self) -> f64 {
        self.classes.iter().map(|c| c.latency_objective.f()).sum::<f64>()
            / self.classes.len() as f64
    }

    /// How often housekeeping is due.
    pub(crate) fn sweep_every(&self) -> Span {
        let latency_objective =
            self.classes.iter().map(|c| c.latency_objective.0).min().unwrap_or(0);
        Span(((latency_objective as f64 * SWEEP_OF_AIM) as i64).max(self.tick.0))
    }
}

impl Level {
    const NONE: Self = Self { time: 0.0, done: 0.0, all: 0.0, expected: 0.0 };
}

/// What the fleet as a whole sustains for this proxy.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) ts: f64,
    /// Answers that it rests on, and those of each class.
    pub(crate) answers: f64,
    pub(crate) of_class: Vec<f64>,
    /// Mean latency of each class, and its mean deviation.
    pub(crate) mean: Vec<f64>,
    pub(crate) dev: Vec<f64>,
    /// Share of the attempts for which the time of a second copy came and that were never answered.
    pub(crate) hopeless: Vec<f64>,
    /// The longest wait that each class can bear.
    pub(crate) bearable: f64,
    pub(crate) tp2: f64,
    /// The sum of those that are known, and how many are.
    pub(crate) tp2_sum: Times,
    pub(crate) tp2_seen: usize,
    pub(crate) tried: Time,
    /// This proxy's limit in even parts of the bank, and TS as it was in good times. Failure: judged by the
    /// TS of the moment, a whole bank that crowds itself never looks crowded.
    pub(crate) leeway: f64,
    pub(crate) good: f64,
    pub(crate) counted: Time,
    /// TS as of then.
    pub(crate) paced: f64,
}

/// How many requests an upstream of one kind runs side by side. The paper's run one; nobody tells. Learned
/// from how often answers come while so many own requests are out at an upstream.
///
/// Failure: judged by how long answers take at each level, one core looked like two: attempts that end before
/// their neighbour does are the short ones.
#[derive(Clone, Debug)]
pub(crate) struct Lanes {
    pub(crate) count: usize,
    pub(crate) level: [Level; MOST_LANES + 1],
}

impl Lanes {
    /// Before any work was seen.
    pub(crate) const FRESH: Self = Self { count: 1, level: [Level::NONE; MOST_LANES + 1] };

    /// Whether nothing is known of them that a choice rests on.
    pub(crate) fn is_fresh(&self) -> bool {
        self.count == 1 && self.level.iter().all(|l| l.all == 0.0 && l.expected == 0.0)
    }
}

impl Estimate {
    /// Takes in an answer of this latency, where the fleet's mean for its class is `mean`.
    pub(crate) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
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

impl Breaker {
    /// Failure: the upstreams of a lost zone, long still on the list, were tried again every few milliseconds
    /// by every proxy, and most attempts of the bank ended there.
    pub(crate) fn trip(&mut self, now: Time, pause: f64, doublings: u32) {
        if now < self.until {
            return; // Sent before the pause began: the same trouble, already counted.
        }
        self.until = now.plus(Span::of(pause * f64::from(1 << self.faults)));
        self.faults = (self.faults + 1).min(doublings);
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
