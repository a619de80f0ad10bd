//! Estimates how many requests upstreams of one machine type run side by side, from how often their
//! answers come.
//!
//! The design's upstreams run one request at a time, and none reports how many it runs. The
//! concurrency level of an upstream is the number of its attempts in flight. How long answers take
//! at each level would mislead: attempts that end before their neighbour does are the short ones,
//! which makes one core look like two.

/// Most requests that an upstream is assumed to run side by side.
pub(crate) const MAX_CONCURRENCY: usize = 32;
/// Weight, in answers, of the prior that no more gets done at a level than at the one below.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Answers at one level after which the weight of all of them is halved.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Answers at the level in use that complete a round.
const LEVEL_ROUND_ANSWERS: f64 = 8.0;
/// The lowest level that reaches this share of the best throughput is used: more would be bought
/// with latency.
const SUFFICIENT_THROUGHPUT: f64 = 0.75;

/// What is known of one level. Work counts in mean answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelStats {
    /// Time spent at the level in this round, in microseconds.
    pub(crate) time: f64,
    /// Work done at the level in this round.
    pub(crate) done: f64,
    /// Work done at the level in all rounds.
    pub(crate) all: f64,
    /// Work that the level in use would have done in the same time. A fleet that slows down as a
    /// whole changes neither against the other.
    pub(crate) expected: f64,
}

impl LevelStats {
    const NONE: Self = Self { time: 0.0, done: 0.0, all: 0.0, expected: 0.0 };

    /// Ends a round in which the level in use got `rate` done per microsecond.
    fn end_round(&mut self, rate: f64) {
        self.all += self.done;
        self.expected += self.time * rate;
        (self.time, self.done) = (0.0, 0.0);
        if self.all > LEVEL_MEMORY_ANSWERS {
            self.all /= 2.0;
            self.expected /= 2.0;
        }
    }

    /// Throughput over that of the level in use, where `below` is that of the next lower level.
    fn throughput(&self, below: f64) -> f64 {
        (self.all + LEVEL_PRIOR_ANSWERS * below) / (self.expected + LEVEL_PRIOR_ANSWERS)
    }
}

/// The level that a probe uses next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextProbe {
    pub(crate) level: usize,
    /// Whether enough is known of it to do without.
    pub(crate) is_known: bool,
}

/// The concurrency levels of one machine type.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLevels {
    /// The level in use: how many requests an upstream is assumed to run side by side.
    pub(crate) count: usize,
    /// By level; the first is not used.
    pub(crate) level: [LevelStats; MAX_CONCURRENCY + 1],
}

impl ConcurrencyLevels {
    /// Before any work was seen.
    pub(crate) const FRESH: Self =
        Self { count: 1, level: [LevelStats::NONE; MAX_CONCURRENCY + 1] };

    /// Whether nothing is known that a choice could rest on.
    pub(crate) fn is_fresh(&self) -> bool {
        self.count == 1 && self.level.iter().all(|l| l.all == 0.0 && l.expected == 0.0)
    }

    /// Ends a round, if enough was seen, and chooses the lowest level of sufficient throughput.
    pub(crate) fn choose(&mut self) {
        let in_use = self.level[self.count];
        if in_use.done < LEVEL_ROUND_ANSWERS {
            return;
        }
        let rate = in_use.done / in_use.time.max(1.0);
        let mut throughput = [0.0; MAX_CONCURRENCY + 1];
        let (mut highest_seen, mut best) = (1, 0.0);
        for n in 1..=MAX_CONCURRENCY {
            let below = if n == 1 { 1.0 } else { throughput[n - 1] };
            self.level[n].end_round(rate);
            throughput[n] = self.level[n].throughput(below);
            if self.level[n].expected > 0.0 {
                highest_seen = n;
                best = throughput[n].max(best);
            }
        }
        let is_sufficient = |n: &usize| throughput[*n] >= SUFFICIENT_THROUGHPUT * best;
        let chosen = (1..=highest_seen).find(is_sufficient).unwrap_or(1);
        if chosen != self.count {
            self.count = chosen;
            self.level.iter_mut().for_each(|l| l.expected *= throughput[chosen]);
        }
    }

    /// The level to probe next: twice the one in use, since a single step may gain less than
    /// [`SUFFICIENT_THROUGHPUT`] asks for.
    pub(crate) fn next_probe(&self) -> NextProbe {
        let level = (2 * self.count).min(MAX_CONCURRENCY);
        NextProbe { level, is_known: self.level[level].expected >= LEVEL_PRIOR_ANSWERS }
    }
}
