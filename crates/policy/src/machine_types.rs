//! Statistics by machine type: the weight of warm upstreams, the number of their answers, and their
//! concurrency levels.
//!
//! A type without answers uses little memory, and a sweep updates only types that have changed or
//! have served requests lately. This module makes no decisions.

use std::collections::BTreeSet;

use crate::concurrency_levels::ConcurrencyLevels;
use crate::interface::Settings;
use crate::sums::Sum;

/// Number of machine types with separate statistics, beyond the types that classes are bound to.
/// Upstreams of any further type share the statistics of the last type.
///
/// The number is above the 1,300 types of the target fleet (`docs/CAPACITY.md`), and all of these
/// types together use 2 MB at most. Without a bound, an endpoint list with invalid types would grow
/// the table without limit.
pub(crate) const MAX_UNNAMED_TYPES: u32 = 2048;
/// Greatest number of machine types that classes can be bound to. The table is indexed by type.
pub(crate) const MAX_NAMED_TYPES: u32 = 16_384;

/// Statistics of one machine type.
#[derive(Debug, Default)]
struct MachineType {
    /// Weight of the warm upstreams.
    warm_weight: Sum,
    /// Decaying count of the answers of warm upstreams.
    served: f64,
    /// Weight of the upstreams that gave the counted answers: the highest warm weight, decaying like
    /// the count.
    past_weight: f64,
    /// The highest recent rate of answers per unit of weight.
    rate: f64,
    /// Concurrency levels; `None` before the first answer.
    levels: Option<Box<ConcurrencyLevels>>,
    /// Whether the type is counted in [`MachineTypes::unknown`].
    is_unknown: bool,
    /// Whether work has been recorded since the level was last chosen.
    has_new_work: bool,
}

/// The decay of counts and peaks at a refresh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decay {
    /// Factor of counts.
    pub(crate) count: f64,
    /// Time window of the counts in microseconds.
    pub(crate) window: f64,
    /// Factor of peaks.
    pub(crate) peak: f64,
}

impl Decay {
    /// Decays a peak rate, and raises it to the present rate if that is higher.
    fn update_peak(self, peak: &mut f64, served: f64, weight: f64) {
        let rate = if weight > 0.0 && served >= 1.0 { served / self.window / weight } else { 0.0 };
        *peak = (*peak * self.peak).max(rate);
    }
}

/// The levels of a type without recorded work.
static INITIAL_LEVELS: ConcurrencyLevels = ConcurrencyLevels::INITIAL;

/// Statistics of all machine types, by number.
#[derive(Debug)]
pub(crate) struct MachineTypes {
    types: Vec<MachineType>,
    /// Number of types with separate statistics. Types with this number or a higher one share the
    /// last entry.
    limit: u32,
    /// Types whose statistics a refresh may change, in ascending order.
    active: BTreeSet<usize>,
    /// Types with work that was recorded since their level was last chosen.
    with_new_work: Vec<usize>,
    /// Number of types with warm upstreams whose levels are unmeasured.
    unknown: usize,
    /// Sum of [`MachineType::past_weight`] over all types.
    past_weight: f64,
    /// The highest recent rate of answers per unit of weight, over all types together.
    pub(crate) any_rate: f64,
}

impl MachineTypes {
    /// Creates a table without types.
    pub(crate) fn new(settings: &Settings) -> Self {
        let bound =
            settings.classes.iter().filter_map(|c| c.machine_types.as_ref()).flatten().max();
        let named = bound.map_or(0, |last| last.saturating_add(1));
        Self {
            types: Vec::new(),
            limit: named.min(MAX_NAMED_TYPES) + MAX_UNNAMED_TYPES,
            active: BTreeSet::new(),
            with_new_work: Vec::new(),
            unknown: 0,
            past_weight: 0.0,
            any_rate: 0.0,
        }
    }

    /// Returns the index of the statistics of a machine type, and adds an entry if there is none.
    pub(crate) fn get_or_add(&mut self, machine_type: u32) -> u32 {
        let index = machine_type.min(self.limit - 1);
        if index as usize >= self.types.len() {
            self.types.resize_with(index as usize + 1, MachineType::default);
        }
        index
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.types.len()
    }

    // ------------------------------------------------------------ warm upstreams and their answers

    /// Adds the weight of an upstream that has become warm, or subtracts it if the upstream is no
    /// longer warm.
    pub(crate) fn change_warm(&mut self, machine_type: u32, weight: f64, is_warm: bool) {
        let entry = &mut self.types[machine_type as usize];
        if is_warm {
            entry.warm_weight.add(weight);
        } else {
            entry.warm_weight.sub(weight);
        }
        self.active.insert(machine_type as usize);
        self.count_unknown(machine_type as usize);
    }

    /// Counts an answer of a warm upstream.
    pub(crate) fn count_served(&mut self, machine_type: u32) {
        self.types[machine_type as usize].served += 1.0;
        self.active.insert(machine_type as usize);
    }

    /// Returns the highest recent rate of a type, in answers per microsecond and unit of weight.
    pub(crate) fn rate(&self, machine_type: u32) -> f64 {
        self.types.get(machine_type as usize).map_or(0.0, |t| t.rate)
    }

    /// Decays counts and peaks, and adds the answers since the last refresh.
    ///
    /// The past weight decays like the counts: when upstreams leave, the answers of all upstreams
    /// must not be attributed to the remaining ones. A rate is a decaying peak: when warm upstreams
    /// slow down, upstreams that are warming up must not be paced more slowly too.
    pub(crate) fn refresh(&mut self, decay: Decay) {
        let mut is_past_changed = false;
        let mut served = 0.0;
        for &machine_type in &self.active {
            let entry = &mut self.types[machine_type];
            entry.served *= decay.count;
            served += entry.served;
            let past = (entry.past_weight * decay.count).max(entry.warm_weight.get());
            is_past_changed |= past != entry.past_weight;
            entry.past_weight = past;
        }
        if is_past_changed {
            self.past_weight = self.types.iter().map(|t| t.past_weight).sum();
        }
        decay.update_peak(&mut self.any_rate, served, self.past_weight);
        let types = &mut self.types;
        self.active.retain(|&machine_type| {
            let entry = &mut types[machine_type];
            decay.update_peak(&mut entry.rate, entry.served, entry.past_weight);
            entry.served != 0.0 || entry.rate != 0.0 || entry.past_weight != entry.warm_weight.get()
        });
    }

    // ------------------------------------------------------------ concurrency levels

    /// Returns the concurrency levels of a type.
    pub(crate) fn levels(&self, machine_type: u32) -> &ConcurrencyLevels {
        self.types[machine_type as usize].levels.as_deref().unwrap_or(&INITIAL_LEVELS)
    }

    /// Returns the concurrency levels of a type to record work in them.
    pub(crate) fn levels_mut(&mut self, machine_type: u32) -> &mut ConcurrencyLevels {
        let entry = &mut self.types[machine_type as usize];
        if !std::mem::replace(&mut entry.has_new_work, true) {
            self.with_new_work.push(machine_type as usize);
        }
        entry.levels.get_or_insert_with(|| Box::new(ConcurrencyLevels::INITIAL))
    }

    /// Ends a round for each type with new work.
    pub(crate) fn choose_levels(&mut self) {
        for machine_type in std::mem::take(&mut self.with_new_work) {
            let entry = &mut self.types[machine_type];
            entry.has_new_work = false;
            if let Some(levels) = &mut entry.levels {
                levels.choose();
            }
            self.count_unknown(machine_type);
        }
    }

    /// Returns whether the levels of every type with warm upstreams are measured.
    pub(crate) fn are_levels_known(&self) -> bool {
        self.unknown == 0
    }

    fn count_unknown(&mut self, machine_type: usize) {
        let entry = &mut self.types[machine_type];
        let known = entry.levels.as_deref().unwrap_or(&INITIAL_LEVELS).next_probe().is_known;
        let is_unknown = entry.warm_weight.get() != 0.0 && !known;
        let was_unknown = std::mem::replace(&mut entry.is_unknown, is_unknown);
        self.unknown = self.unknown + usize::from(is_unknown) - usize::from(was_unknown);
    }

    // ------------------------------------------------------------ restored state

    /// Returns the concurrency levels of a type; `None` before the first answer.
    pub(crate) fn known_levels(&self, machine_type: usize) -> Option<&ConcurrencyLevels> {
        self.types[machine_type].levels.as_deref()
    }

    /// Restores the rate of a type, and its levels if they are given. The work of the present round
    /// is retained.
    pub(crate) fn restore(
        &mut self,
        machine_type: usize,
        rate: f64,
        levels: Option<ConcurrencyLevels>,
    ) {
        let Some(entry) = self.types.get_mut(machine_type) else { return };
        entry.rate = rate;
        let is_informative =
            |levels: &ConcurrencyLevels| entry.levels.is_some() || !levels.is_initial();
        if let Some(mut levels) = levels.filter(is_informative) {
            let present = entry.levels.as_deref().unwrap_or(&INITIAL_LEVELS);
            for (level, present) in levels.stats.iter_mut().zip(&present.stats) {
                (level.time, level.work) = (present.time, present.work);
            }
            entry.levels = Some(Box::new(levels));
        }
        self.active.insert(machine_type);
        self.count_unknown(machine_type);
    }
}
