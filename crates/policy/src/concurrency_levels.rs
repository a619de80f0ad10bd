//! How many requests upstreams of one machine type run side by side, estimated from how often their answers come.

/// Most requests that an upstream is tried with side by side.
pub(crate) const MAX_CONCURRENCY: usize = 32;
/// An unseen level weighs as so many answers that no more gets done than one below, as the paper has it.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Answers that what is known of a level reaches back over.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Answers at the level in use that others are measured against, each round.
const LEVEL_ROUND_ANSWERS: f64 = 8.0;
/// The fewest lanes that reach this share of the best throughput are taken: more is bought with latency.
const SUFFICIENT_THROUGHPUT: f64 = 0.75;

/// What is known of so many requests side by side at upstreams of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelStats {
    /// This round: time spent at the level, and work done there.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Of all rounds: work done, and what the level in use would have done in that time. A fleet that slows
    /// down as a whole changes neither against the other.
    pub(crate) all: f64,
    pub(crate) expected: f64,
}

impl LevelStats {
    const NONE: Self = Self { time: 0.0, done: 0.0, all: 0.0, expected: 0.0 };
}

/// How many requests an upstream of one kind runs side by side. The paper's run one; nobody tells. Learned
/// from how often answers come while so many own requests are out at an upstream.
///
/// Failure: judged by how long answers take at each level, one core looked like two: attempts that end before
/// their neighbour does are the short ones.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLevels {
    pub(crate) count: usize,
    pub(crate) level: [LevelStats; MAX_CONCURRENCY + 1],
}

impl ConcurrencyLevels {
    /// Before any work was seen.
    pub(crate) const FRESH: Self =
        Self { count: 1, level: [LevelStats::NONE; MAX_CONCURRENCY + 1] };

    /// Whether nothing is known of them that a choice rests on.
    pub(crate) fn is_fresh(&self) -> bool {
        self.count == 1 && self.level.iter().all(|l| l.all == 0.0 && l.expected == 0.0)
    }

    /// Ends a round, if enough was seen, and takes the fewest lanes that get enough done.
    pub(crate) fn choose(&mut self) {
        let now = self.level[self.count];
        if now.done < LEVEL_ROUND_ANSWERS {
            return;
        }
        let rate = now.done / now.time.max(1.0);
        let mut gain = [0.0; MAX_CONCURRENCY + 1];
        let (mut top, mut best) = (1, 0.0);
        for n in 1..=MAX_CONCURRENCY {
            let l = &mut self.level[n];
            (l.all, l.expected) = (l.all + l.done, l.expected + l.time * rate);
            (l.time, l.done) = (0.0, 0.0);
            if l.all > LEVEL_MEMORY_ANSWERS {
                (l.all, l.expected) = (l.all / 2.0, l.expected / 2.0);
            }
            let below = if n == 1 { 1.0 } else { gain[n - 1] };
            gain[n] = (l.all + LEVEL_PRIOR_ANSWERS * below) / (l.expected + LEVEL_PRIOR_ANSWERS);
            if l.expected > 0.0 {
                (top, best) = (n, gain[n].max(best));
            }
        }
        let enough = (1..=top).find(|&n| gain[n] >= SUFFICIENT_THROUGHPUT * best).unwrap_or(1);
        if enough != self.count {
            self.count = enough;
            self.level.iter_mut().for_each(|l| l.expected *= gain[enough]);
        }
    }

    /// The level to try next, and whether enough is known of it. Twice the count, a step that wins more than
    /// LANES_ENOUGH asks. Failure: tried with one more, six cores stuck at three lanes for good.
    pub(crate) fn next(&self) -> (usize, bool) {
        let next = (2 * self.count).min(MAX_CONCURRENCY);
        (next, self.level[next].expected >= LEVEL_PRIOR_ANSWERS)
    }
}
