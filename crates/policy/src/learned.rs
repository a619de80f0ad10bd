//! What a balancer has learned of its fleet, in a form that outlasts its process: the next one goes on from it. Decides
//! nothing; what the figures mean is in [`crate::policy`].

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::concurrency_levels::ConcurrencyLevels;
use crate::estimate::Estimate;
use crate::interface::Time;
use crate::policy::Balancer;

/// What was learned. Times and latencies in microseconds, rates in answers a microsecond, as the module keeps them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Under which settings, as [`crate::interface::Settings::meaning`] says; what an older build learned doesn't say.
    #[serde(default)]
    meaning: u64,
    ts: f64,
    good: f64,
    leeway: f64,
    bearable: f64,
    answers: f64,
    any_rate: f64,
    classes: Vec<ClassLearned>,
    kinds: Vec<KindLearned>,
    upstreams: Vec<UpstreamLearned>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ClassLearned {
    answers: f64,
    mean: f64,
    dev: f64,
    hopeless: f64,
    part: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct KindLearned {
    warm_rate: f64,
    lanes: usize,
    /// Work done at each level, and what the level in use would have done.
    levels: Vec<(f64, f64)>,
}

impl KindLearned {
    /// The lanes as they were, unless their count is none that a balancer chooses.
    fn lanes(&self) -> Option<ConcurrencyLevels> {
        let mut levels = ConcurrencyLevels::FRESH;
        if !(1..levels.level.len()).contains(&self.lanes) {
            return None;
        }
        levels.count = self.lanes;
        for (level, was) in levels.level.iter_mut().zip(&self.levels) {
            (level.all, level.expected) = *was;
        }
        Some(levels)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct UpstreamLearned {
    /// The same in every process, unlike its handle.
    identity: u64,
    started: Option<i64>,
    tp2: Option<f64>,
    slow: f64,
}

/// Why what was learned elsewhere can't be gone on from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRecalled {
    /// The settings were others: so many classes there, and here.
    #[error("it was learned of {0} classes, and there are {1}")]
    Classes(usize, usize),
    /// So many classes there were, but other ones, or other zones or kinds of upstreams.
    #[error("it was learned of other classes, zones or kinds")]
    Meaning,
    /// Some figure is none that a balancer keeps.
    #[error("a figure of it is out of range")]
    Nonsense,
}

impl Learned {
    /// The fleet's part of it, without what is single upstreams' own.
    pub fn of_fleet(self) -> Self {
        Self { upstreams: Vec::new(), ..self }
    }

    /// Whether both rest on the same answers: any answer moves the service time that they were learned from.
    pub fn rests_on_the_same(&self, other: &Self) -> bool {
        let means = |l: &Self| l.classes.iter().map(|c| c.mean).collect::<Vec<_>>();
        self.ts == other.ts && means(self) == means(other)
    }

    /// Whether every figure is one that a balancer could have kept: finite, and none negative.
    fn is_sound(&self) -> bool {
        let plain = |f: f64| f.is_finite() && f >= 0.0;
        let whole = [self.ts, self.good, self.leeway, self.bearable, self.answers, self.any_rate];
        let class = |c: &ClassLearned| {
            [c.answers, c.mean, c.dev, c.hopeless, c.part].map(plain) == [true; 5]
        };
        let level = |l: &(f64, f64)| plain(l.0) && plain(l.1);
        let kind = |k: &KindLearned| plain(k.warm_rate) && k.levels.iter().all(level);
        let upstream =
            |u: &UpstreamLearned| plain(u.slow) && u.slow > 0.0 && u.tp2.is_none_or(plain);
        whole.into_iter().all(plain)
            && self.ts > 0.0
            && self.good > 0.0
            && self.classes.iter().all(class)
            && self.kinds.iter().all(kind)
            && self.upstreams.iter().all(upstream)
    }
}

impl Balancer {
    /// What it has learned so far. Walks the fleet.
    pub fn learned(&self) -> Learned {
        let f = &self.fleet;
        let class = |c: usize| ClassLearned {
            answers: f.answers_by_class[c],
            mean: f.mean_latency[c],
            dev: f.latency_deviation[c],
            hopeless: f.unanswered_share[c],
            part: self.wait_part(c),
        };
        let kind = |k: usize| {
            let current = self.upstreams.kinds.levels(k as u32).count;
            let known = self.upstreams.kinds.known_levels(k).into_iter();
            KindLearned {
                warm_rate: self.upstreams.kinds.rate(k as u32),
                lanes: current,
                levels: known
                    .flat_map(|levels| &levels.level)
                    .map(|l| (l.all, l.expected))
                    .collect(),
            }
        };
        let known =
            self.upstreams.by_id.values().map(|slot| &self.upstreams.servers[*slot as usize]);
        let mut upstreams: Vec<UpstreamLearned> = known
            .map(|s| UpstreamLearned {
                identity: s.identity,
                started: s.started.map(|t| t.0),
                tp2: s.estimate.tp2,
                slow: s.estimate.slow,
            })
            .collect();
        upstreams.sort_unstable_by_key(|u| u.identity);
        Learned {
            meaning: self.settings.meaning,
            ts: f.ts,
            good: f.baseline_ts,
            leeway: f.leeway,
            bearable: f.tolerable_wait,
            answers: f.answers,
            any_rate: self.upstreams.kinds.any_rate,
            classes: (0..f.mean_latency.len()).map(class).collect(),
            kinds: (0..self.upstreams.kinds.len()).map(kind).collect(),
            upstreams,
        }
    }

    /// Goes on from what another process of this balancer has learned, in place of what this one has. Of upstreams only
    /// those that are listed here and have not started anew since are recalled.
    ///
    /// # Errors
    /// It does not fit; nothing has changed then.
    pub fn recall(&mut self, now: Time, learned: &Learned) -> Result<(), NotRecalled> {
        let classes = self.fleet.mean_latency.len();
        if learned.classes.len() != classes {
            return Err(NotRecalled::Classes(learned.classes.len(), classes));
        }
        // Failure: what a class of other settings had taught decided for the one that has its number here.
        if learned.meaning != self.settings.meaning {
            return Err(NotRecalled::Meaning);
        }
        if !learned.is_sound() {
            return Err(NotRecalled::Nonsense);
        }
        let f = &mut self.fleet;
        (f.ts, f.baseline_ts, f.leeway) = (learned.ts, learned.good, learned.leeway);
        (f.tolerable_wait, f.answers) = (learned.bearable, learned.answers);
        (f.paced_ts, f.decayed_at) = (learned.ts, now);
        for (c, was) in learned.classes.iter().enumerate() {
            (f.answers_by_class[c], f.mean_latency[c], f.latency_deviation[c]) =
                (was.answers, was.mean, was.dev);
            f.unanswered_share[c] = was.hopeless;
        }
        self.ranks.restore_parts(learned.classes.iter().map(|c| c.part).collect());
        (0..classes).for_each(|class| self.reset_hedge_delay(class));
        self.upstreams.kinds.any_rate = learned.any_rate;
        for (kind, was) in learned.kinds.iter().enumerate() {
            self.upstreams.kinds.restore(kind, was.warm_rate, was.lanes());
        }
        let was: FxHashMap<u64, &UpstreamLearned> =
            learned.upstreams.iter().map(|u| (u.identity, u)).collect();
        let mut all: Vec<usize> =
            self.upstreams.by_id.values().map(|slot| *slot as usize).collect();
        all.sort_unstable();
        for i in all {
            let s = &mut self.upstreams.servers[i];
            let was = was.get(&s.identity).filter(|u| u.started == s.started.map(|t| t.0));
            if let Some(was) = was {
                let before =
                    std::mem::replace(&mut s.estimate, Estimate { tp2: was.tp2, slow: was.slow });
                self.fleet.tp2_sum.change(before.tp2, was.tp2);
                self.fleet.tp2_count += usize::from(was.tp2.is_some());
                self.fleet.tp2_count -= usize::from(before.tp2.is_some());
            }
            self.refresh(now, i);
        }
        self.refresh_fleet(now);
        Ok(())
    }
}
