//! The estimates that a balancer has learned, in the form in which they are stored and restored by
//! the next process.
//!
//! The serialized names are those of stored files. [`crate::policy`] defines the meaning of the
//! values.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::concurrency_levels::ConcurrencyLevels;
use crate::estimate::Estimate;
use crate::interface::Time;
use crate::policy::Balancer;
use crate::upstreams::Server;

/// The estimates that a balancer has learned. Times and latencies are in microseconds, rates in
/// answers per microsecond.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// [`crate::interface::Settings::numbering_hash`] of the settings under which the estimates were
    /// learned; 0 if an older build stored them.
    #[serde(default, rename = "meaning")]
    numbering_hash: u64,
    ts: f64,
    #[serde(rename = "good")]
    baseline_ts: f64,
    leeway: f64,
    #[serde(rename = "bearable")]
    tolerable_wait: f64,
    answers: f64,
    any_rate: f64,
    classes: Vec<ClassLearned>,
    #[serde(rename = "kinds")]
    machine_types: Vec<MachineTypeLearned>,
    upstreams: Vec<UpstreamLearned>,
}

/// Learned estimates for one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ClassLearned {
    answers: f64,
    #[serde(rename = "mean")]
    mean_latency: f64,
    #[serde(rename = "dev")]
    latency_deviation: f64,
    #[serde(rename = "hopeless")]
    unanswered_share: f64,
    #[serde(rename = "part")]
    wait_share: f64,
}

/// Learned estimates for one machine type.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct MachineTypeLearned {
    warm_rate: f64,
    /// The concurrency level in use.
    #[serde(rename = "lanes")]
    level: usize,
    /// For each level, the work done and the work that the level in use would have done.
    levels: Vec<(f64, f64)>,
}

impl MachineTypeLearned {
    /// Returns the concurrency levels; `None` if the level in use is not a valid level.
    fn concurrency_levels(&self) -> Option<ConcurrencyLevels> {
        let mut levels = ConcurrencyLevels::INITIAL;
        if !(1..levels.stats.len()).contains(&self.level) {
            return None;
        }
        levels.current = self.level;
        for (level, learned) in levels.stats.iter_mut().zip(&self.levels) {
            (level.total_work, level.expected_work) = *learned;
        }
        Some(levels)
    }
}

/// Learned estimates for one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct UpstreamLearned {
    /// Hash of the name, which is the same in every process, unlike the handle of the upstream.
    identity: u64,
    started: Option<i64>,
    tp2: Option<f64>,
    slow: f64,
}

/// The reason for which a balancer rejects learned estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecallError {
    /// The number of classes differs: the number in the learned estimates, and in these settings.
    #[error("it was learned of {0} classes, and there are {1}")]
    Classes(usize, usize),
    /// The names or the order of classes, zones or machine types differ.
    #[error("it was learned of other classes, zones or kinds")]
    Numbering,
    /// Some value is out of the range that a balancer can store.
    #[error("a figure of it is out of range")]
    InvalidFigure,
}

impl Learned {
    /// Returns these estimates without those for single upstreams.
    pub fn without_upstreams(self) -> Self {
        Self { upstreams: Vec::new(), ..self }
    }

    /// Returns whether both are based on the same answers: each answer changes TS or a mean latency.
    pub fn has_same_answers(&self, other: &Self) -> bool {
        let means = |l: &Self| l.classes.iter().map(|c| c.mean_latency).collect::<Vec<_>>();
        self.ts == other.ts && means(self) == means(other)
    }

    /// Returns whether a balancer could have stored these values: all are finite, and none is
    /// negative.
    fn is_valid(&self) -> bool {
        let overall = [
            self.ts,
            self.baseline_ts,
            self.leeway,
            self.tolerable_wait,
            self.answers,
            self.any_rate,
        ];
        overall.into_iter().all(is_finite_and_non_negative)
            && self.ts > 0.0
            && self.baseline_ts > 0.0
            && self.classes.iter().all(ClassLearned::is_valid)
            && self.machine_types.iter().all(MachineTypeLearned::is_valid)
            && self.upstreams.iter().all(UpstreamLearned::is_valid)
    }
}

/// Returns whether a value is finite and not negative.
fn is_finite_and_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl ClassLearned {
    fn is_valid(&self) -> bool {
        let figures = [
            self.answers,
            self.mean_latency,
            self.latency_deviation,
            self.unanswered_share,
            self.wait_share,
        ];
        figures.into_iter().all(is_finite_and_non_negative)
    }
}

impl MachineTypeLearned {
    fn is_valid(&self) -> bool {
        let is_valid_level = |level: &(f64, f64)| {
            is_finite_and_non_negative(level.0) && is_finite_and_non_negative(level.1)
        };
        is_finite_and_non_negative(self.warm_rate) && self.levels.iter().all(is_valid_level)
    }
}

impl UpstreamLearned {
    fn is_valid(&self) -> bool {
        is_finite_and_non_negative(self.slow)
            && self.slow > 0.0
            && self.tp2.is_none_or(is_finite_and_non_negative)
    }
}

impl Balancer {
    /// Returns the estimates that the balancer has learned so far. The call visits all upstreams.
    pub fn learned(&self) -> Learned {
        let overall = &self.overall;
        Learned {
            numbering_hash: self.settings.numbering_hash,
            ts: overall.ts,
            baseline_ts: overall.baseline_ts,
            leeway: overall.leeway,
            tolerable_wait: overall.tolerable_wait,
            answers: overall.answers,
            any_rate: self.upstreams.machine_types.any_rate,
            classes: (0..overall.mean_latency.len()).map(|c| self.learned_of_class(c)).collect(),
            machine_types: (0..self.upstreams.machine_types.len())
                .map(|k| self.learned_of_machine_type(k))
                .collect(),
            upstreams: self.learned_of_upstreams(),
        }
    }

    fn learned_of_class(&self, class: usize) -> ClassLearned {
        ClassLearned {
            answers: self.overall.answers_by_class[class],
            mean_latency: self.overall.mean_latency[class],
            latency_deviation: self.overall.latency_deviation[class],
            unanswered_share: self.overall.unanswered_share[class],
            wait_share: self.wait_share(class),
        }
    }

    fn learned_of_machine_type(&self, machine_type: usize) -> MachineTypeLearned {
        let machine_types = &self.upstreams.machine_types;
        let known =
            machine_types.known_levels(machine_type).into_iter().flat_map(|levels| &levels.stats);
        MachineTypeLearned {
            warm_rate: machine_types.rate(machine_type as u32),
            level: machine_types.levels(machine_type as u32).current,
            levels: known.map(|level| (level.total_work, level.expected_work)).collect(),
        }
    }

    fn learned_of_upstreams(&self) -> Vec<UpstreamLearned> {
        let known =
            self.upstreams.by_id.values().map(|slot| &self.upstreams.servers[*slot as usize]);
        let learned = |s: &Server| UpstreamLearned {
            identity: s.identity,
            started: s.started.map(|t| t.0),
            tp2: s.estimate.tp2,
            slow: s.estimate.slowness,
        };
        let mut upstreams: Vec<UpstreamLearned> = known.map(learned).collect();
        upstreams.sort_unstable_by_key(|u| u.identity);
        upstreams
    }

    /// Replaces the estimates of this balancer by those that a previous process has learned.
    /// Estimates for an upstream are restored only if the upstream is listed and has not restarted
    /// since.
    ///
    /// # Errors
    /// Returns an error if the estimates do not fit these settings or contain an invalid value. The
    /// balancer is unchanged then.
    pub fn recall(&mut self, now: Time, learned: &Learned) -> Result<(), RecallError> {
        let classes = self.overall.mean_latency.len();
        if learned.classes.len() != classes {
            return Err(RecallError::Classes(learned.classes.len(), classes));
        }
        // Classes are identified by number. Under other settings, the same number may stand for
        // another class.
        if learned.numbering_hash != self.settings.numbering_hash {
            return Err(RecallError::Numbering);
        }
        if !learned.is_valid() {
            return Err(RecallError::InvalidFigure);
        }
        self.recall_overall(now, learned);
        for (machine_type, was) in learned.machine_types.iter().enumerate() {
            self.upstreams.machine_types.restore(
                machine_type,
                was.warm_rate,
                was.concurrency_levels(),
            );
        }
        self.recall_upstreams(now, learned);
        self.refresh_overall(now);
        Ok(())
    }

    fn recall_overall(&mut self, now: Time, learned: &Learned) {
        let overall = &mut self.overall;
        overall.ts = learned.ts;
        overall.baseline_ts = learned.baseline_ts;
        overall.leeway = learned.leeway;
        overall.tolerable_wait = learned.tolerable_wait;
        overall.answers = learned.answers;
        overall.paced_ts = learned.ts;
        overall.decayed_at = now;
        for (class, was) in learned.classes.iter().enumerate() {
            overall.answers_by_class[class] = was.answers;
            overall.mean_latency[class] = was.mean_latency;
            overall.latency_deviation[class] = was.latency_deviation;
            overall.unanswered_share[class] = was.unanswered_share;
        }
        self.upstreams.machine_types.any_rate = learned.any_rate;
        self.ranks.restore_wait_shares(learned.classes.iter().map(|c| c.wait_share).collect());
        (0..learned.classes.len()).for_each(|class| self.reset_hedge_delay(class));
    }

    fn recall_upstreams(&mut self, now: Time, learned: &Learned) {
        let by_identity: FxHashMap<u64, &UpstreamLearned> =
            learned.upstreams.iter().map(|u| (u.identity, u)).collect();
        let slots = self.upstreams.by_id.values().map(|slot| *slot as usize);
        let mut slots: Vec<usize> = slots.collect();
        slots.sort_unstable();
        for slot in slots {
            let s = &mut self.upstreams.servers[slot];
            let started = s.started.map(|t| t.0);
            if let Some(was) = by_identity.get(&s.identity).filter(|u| u.started == started) {
                let recalled = Estimate { tp2: was.tp2, slowness: was.slow };
                let before = std::mem::replace(&mut s.estimate, recalled);
                self.overall.tp2_sum.change(before.tp2, was.tp2);
                self.overall.tp2_count += usize::from(was.tp2.is_some());
                self.overall.tp2_count -= usize::from(before.tp2.is_some());
            }
            self.refresh(now, slot);
        }
    }
}
