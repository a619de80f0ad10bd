//! What a balancer has learned of its fleet, in a form that outlasts its process: the next one goes on from it. Decides
//! nothing; what the figures mean is in [`crate::policy`].

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::concurrency_levels::Lanes;
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
    fn lanes(&self) -> Option<Lanes> {
        let mut lanes = Lanes::FRESH;
        if !(1..lanes.level.len()).contains(&self.lanes) {
            return None;
        }
        lanes.count = self.lanes;
        for (level, was) in lanes.level.iter_mut().zip(&self.levels) {
            (level.all, level.expected) = *was;
        }
        Some(lanes)
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
            answers: f.of_class[c],
            mean: f.mean[c],
            dev: f.dev[c],
            hopeless: f.hopeless[c],
            part: self.part_of(c),
        };
        let kind = |k: usize| {
            let lanes = self.up.kinds.lanes(k as u32);
            let levels = self.up.kinds.known_lanes(k).into_iter().flat_map(|lanes| &lanes.level);
            KindLearned {
                warm_rate: self.up.kinds.rate(k as u32),
                lanes: lanes.count,
                levels: levels.map(|l| (l.all, l.expected)).collect(),
            }
        };
        let known = self.up.by_id.values().map(|slot| &self.up.servers[*slot as usize]);
        let mut upstreams: Vec<UpstreamLearned> = known
            .map(|s| UpstreamLearned {
                identity: s.identity,
                started: s.started.map(|t| t.0),
                tp2: s.est.tp2,
                slow: s.est.slow,
            })
            .collect();
        upstreams.sort_unstable_by_key(|u| u.identity);
        Learned {
            meaning: self.settings.meaning,
            ts: f.ts,
            good: f.good,
            leeway: f.leeway,
            bearable: f.bearable,
            answers: f.answers,
            any_rate: self.up.kinds.any_rate,
            classes: (0..f.mean.len()).map(class).collect(),
            kinds: (0..self.up.kinds.len()).map(kind).collect(),
            upstreams,
        }
    }

    /// Goes on from what another process of this balancer has learned, in place of what this one has. Of upstreams only
    /// those that are listed here and have not started anew since are recalled.
    ///
    /// # Errors
    /// It does not fit; nothing has changed then.
    pub fn recall(&mut self, now: Time, learned: &Learned) -> Result<(), NotRecalled> {
        let classes = self.fleet.mean.len();
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
        (f.ts, f.good, f.leeway) = (learned.ts, learned.good, learned.leeway);
        (f.bearable, f.answers) = (learned.bearable, learned.answers);
        (f.paced, f.counted) = (learned.ts, now);
        for (c, was) in learned.classes.iter().enumerate() {
            (f.of_class[c], f.mean[c], f.dev[c]) = (was.answers, was.mean, was.dev);
            f.hopeless[c] = was.hopeless;
        }
        self.ranks.give(learned.classes.iter().map(|c| c.part).collect());
        (0..classes).for_each(|class| self.reset_patience(class));
        self.up.kinds.any_rate = learned.any_rate;
        for (kind, was) in learned.kinds.iter().enumerate() {
            self.up.kinds.restore(kind, was.warm_rate, was.lanes());
        }
        let was: FxHashMap<u64, &UpstreamLearned> =
            learned.upstreams.iter().map(|u| (u.identity, u)).collect();
        let mut all: Vec<usize> = self.up.by_id.values().map(|slot| *slot as usize).collect();
        all.sort_unstable();
        for i in all {
            let s = &mut self.up.servers[i];
            let was = was.get(&s.identity).filter(|u| u.started == s.started.map(|t| t.0));
            if let Some(was) = was {
                let before =
                    std::mem::replace(&mut s.est, Estimate { tp2: was.tp2, slow: was.slow });
                self.fleet.tp2_sum.change(before.tp2, was.tp2);
                self.fleet.tp2_seen += usize::from(was.tp2.is_some());
                self.fleet.tp2_seen -= usize::from(before.tp2.is_some());
            }
            self.refresh(now, i);
        }
        self.refresh_fleet(now);
        Ok(())
    }
}
