//! Estimates how many requests upstreams of one machine type run concurrently, from the rate of
//! their answers.
//!
//! The upstreams of the design run one request at a time, and no upstream reports its concurrency.
//! The concurrency level of an upstream is the number of its attempts in flight. The latency at each
//! level would be misleading: of two concurrent attempts, the short one ends first, so that one core
//! would look like two.

/// Most requests that an upstream is assumed to run concurrently.
pub(crate) const MAX_CONCURRENCY: usize = 32;
/// Weight, in answers, of the prior that a level has the same throughput as the next lower level.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Number of answers at one level after which the weight of all of them is halved.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Number of answers at the level in use that complete a round.
const LEVEL_ROUND_ANSWERS: f64 = 8.0;
/// The lowest level that reaches this share of the best throughput is used. Additional throughput
/// at higher levels would cost latency.
const SUFFICIENT_THROUGHPUT: f64 = 0.75;

/// Statistics of one concurrency level. The unit of work is the mean answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelStats {
    /// Time spent at the level in this round, in microseconds.
    pub(crate) time: f64,
    /// Work done at the level in this round.
    pub(crate) work: f64,
    /// Work done at the level in all rounds, with older answers at a lower weight.
    pub(crate) total_work: f64,
    /// Work that the level in use would have done in the same time. The ratio to `total_work` remains the
    /// same when all upstreams slow down together.
    pub(crate) expected_work: f64,
}

impl LevelStats {
    const NONE: Self = Self { time: 0.0, work: 0.0, total_work: 0.0, expected_work: 0.0 };

    /// Ends a round in which the level in use did `rate` work per microsecond.
    fn end_round(&mut self, rate: f64) {
        self.total_work += self.work;
        self.expected_work += self.time * rate;
        (self.time, self.work) = (0.0, 0.0);
        if self.total_work > LEVEL_MEMORY_ANSWERS {
            self.total_work /= 2.0;
            self.expected_work /= 2.0;
        }
    }

    /// Returns the throughput relative to the level in use. `below` is the relative throughput of
    /// the next lower level.
    fn throughput(&self, below: f64) -> f64 {
        (self.total_work + LEVEL_PRIOR_ANSWERS * below) / (self.expected_work + LEVEL_PRIOR_ANSWERS)
    }
}

/// The level of the next probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextProbe {
    pub(crate) level: usize,
    /// Whether enough answers have been measured at this level, so that a probe is not needed.
    pub(crate) is_known: bool,
}

/// The concurrency levels of one machine type.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLevels {
    /// The level in use: the number of requests that an upstream is assumed to run concurrently.
    pub(crate) current: usize,
    /// Statistics by level; level 0 is not used.
    pub(crate) stats: [LevelStats; MAX_CONCURRENCY + 1],
}

impl ConcurrencyLevels {
    /// The levels before any answer.
    pub(crate) const INITIAL: Self =
        Self { current: 1, stats: [LevelStats::NONE; MAX_CONCURRENCY + 1] };

    /// Returns whether no round has been completed, so that no level could be chosen.
    pub(crate) fn is_initial(&self) -> bool {
        self.current == 1
            && self.stats.iter().all(|l| l.total_work == 0.0 && l.expected_work == 0.0)
    }

    /// Ends a round, if it has enough answers, and chooses the lowest level of sufficient
    /// throughput.
    pub(crate) fn choose(&mut self) {
        let in_use = self.stats[self.current];
        if in_use.work < LEVEL_ROUND_ANSWERS {
            return;
        }
        let rate = in_use.work / in_use.time.max(1.0);
        let mut throughput = [0.0; MAX_CONCURRENCY + 1];
        let (mut highest_measured, mut best) = (1, 0.0);
        for n in 1..=MAX_CONCURRENCY {
            let below = if n == 1 { 1.0 } else { throughput[n - 1] };
            self.stats[n].end_round(rate);
            throughput[n] = self.stats[n].throughput(below);
            if self.stats[n].expected_work > 0.0 {
                highest_measured = n;
                best = throughput[n].max(best);
            }
        }
        let is_sufficient = |n: &usize| throughput[*n] >= SUFFICIENT_THROUGHPUT * best;
        let chosen = (1..=highest_measured).find(is_sufficient).unwrap_or(1);
        if chosen != self.current {
            self.current = chosen;
            self.stats.iter_mut().for_each(|l| l.expected_work *= throughput[chosen]);
        }
    }

    /// Returns the level to probe next: twice the level in use. A single step might gain less than
    /// [`SUFFICIENT_THROUGHPUT`] requires.
    pub(crate) fn next_probe(&self) -> NextProbe {
        let level = (2 * self.current).min(MAX_CONCURRENCY);
        NextProbe { level, is_known: self.stats[level].expected_work >= LEVEL_PRIOR_ANSWERS }
    }
}
