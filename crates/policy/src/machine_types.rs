//! Figures by machine type: the weight of warm upstreams, what these served, their concurrency
//! levels.
//!
//! A type costs a few words until it serves something, and a sweep touches only types that changed
//! or served lately. Decides nothing.

use std::collections::BTreeSet;

use crate::concurrency_levels::ConcurrencyLevels;
use crate::interface::Settings;
use crate::sums::Sum;

/// Machine types beyond those that classes are bound to which have figures of their own; upstreams
/// of any further type share those of the last one. It is above the 1,300 of the target fleet
/// (`docs/CAPACITY.md`), and all of them hold 2 MB at most. Without a bound, a list with nonsense
/// for types would grow the table without end.
pub(crate) const MAX_UNNAMED_TYPES: u32 = 2048;
/// The most that classes can be bound to: the table is indexed by number.
pub(crate) const MAX_NAMED_TYPES: u32 = 16_384;

/// One machine type.
#[derive(Debug, Default)]
struct MachineType {
    /// Weight of its warm upstreams.
    warm_weight: Sum,
    /// Answers of its warm upstreams, a decaying count.
    served: f64,
    /// The weight that served them: the most there was, decaying as their count does.
    past_weight: f64,
    /// The highest rate of answers per unit of weight that was seen lately.
    rate: f64,
    /// `None` before any work was seen.
    levels: Option<Box<ConcurrencyLevels>>,
    /// It is counted among the types with warm upstreams of whose levels too little is known.
    is_unknown: bool,
    /// Work was booked since its level was last chosen.
    has_new_work: bool,
}

/// How counts and peaks decay at a refresh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decay {
    /// Factor of counts.
    pub(crate) count: f64,
    /// Window that counts reach back over, in microseconds.
    pub(crate) window: f64,
    /// Factor of peaks.
    pub(crate) peak: f64,
}

impl Decay {
    /// Decays a peak rate, and raises it to the one seen now.
    fn update_peak(self, peak: &mut f64, served: f64, weight: f64) {
        let seen = if weight > 0.0 && served >= 1.0 { served / self.window / weight } else { 0.0 };
        *peak = (*peak * self.peak).max(seen);
    }
}

/// The levels of a type for which no work was seen.
static FRESH: ConcurrencyLevels = ConcurrencyLevels::FRESH;

/// All machine types, by number.
#[derive(Debug)]
pub(crate) struct MachineTypes {
    types: Vec<MachineType>,
    /// The number from which on types share the figures of one.
    limit: u32,
    /// Types whose figures a refresh may change, in ascending order.
    active: BTreeSet<usize>,
    /// Types for which work was booked since their level was last chosen.
    with_new_work: Vec<usize>,
    /// Types with warm upstreams of whose levels too little is known.
    unknown: usize,
    /// The weight that served, over all types.
    past_weight: f64,
    /// The highest rate of answers per unit of weight over all types that was seen lately.
    pub(crate) any_rate: f64,
}

impl MachineTypes {
    /// No type is known yet.
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

    /// The number under which figures of a machine type are kept; there is a place for it from then
    /// on.
    pub(crate) fn enter(&mut self, machine_type: u32) -> u32 {
        let index = machine_type.min(self.limit - 1);
        if index as usize >= self.types.len() {
            self.types.resize_with(index as usize + 1, MachineType::default);
        }
        index
    }

    /// The number after the last type that has figures.
    pub(crate) fn len(&self) -> usize {
        self.types.len()
    }

    // ------------------------------------------------------------ warm upstreams and what they serve

    /// An upstream of this weight has become warm, or is not any more.
    pub(crate) fn change_warm(&mut self, machine_type: u32, weight: f64, is_warm: bool) {
        let of = &mut self.types[machine_type as usize];
        if is_warm {
            of.warm_weight.add(weight);
        } else {
            of.warm_weight.sub(weight);
        }
        self.active.insert(machine_type as usize);
        self.count_unknown(machine_type as usize);
    }

    /// A warm upstream has served one request.
    pub(crate) fn count_served(&mut self, machine_type: u32) {
        self.types[machine_type as usize].served += 1.0;
        self.active.insert(machine_type as usize);
    }

    /// Answers a microsecond that one unit of weight of a type has been seen to give lately.
    pub(crate) fn rate(&self, machine_type: u32) -> f64 {
        self.types.get(machine_type as usize).map_or(0.0, |t| t.rate)
    }

    /// Decays counts and peaks, and takes in what was served since.
    ///
    /// The weight decays as the counts do: when upstreams leave, the last ones must not seem to
    /// have served what all did. A rate is a peak that decays: when warm upstreams slow down, those
    /// that warm up must not be held back with them.
    pub(crate) fn refresh(&mut self, decay: Decay) {
        let mut is_past_changed = false;
        let mut served = 0.0;
        for &machine_type in &self.active {
            let of = &mut self.types[machine_type];
            of.served *= decay.count;
            served += of.served;
            let past = (of.past_weight * decay.count).max(of.warm_weight.get());
            is_past_changed |= past != of.past_weight;
            of.past_weight = past;
        }
        if is_past_changed {
            self.past_weight = self.types.iter().map(|t| t.past_weight).sum();
        }
        decay.update_peak(&mut self.any_rate, served, self.past_weight);
        let types = &mut self.types;
        self.active.retain(|&machine_type| {
            let of = &mut types[machine_type];
            decay.update_peak(&mut of.rate, of.served, of.past_weight);
            of.served != 0.0 || of.rate != 0.0 || of.past_weight != of.warm_weight.get()
        });
    }

    // ------------------------------------------------------------ concurrency levels

    /// The concurrency levels of a type.
    pub(crate) fn levels(&self, machine_type: u32) -> &ConcurrencyLevels {
        self.types[machine_type as usize].levels.as_deref().unwrap_or(&FRESH)
    }

    /// The concurrency levels of a type, to book work in.
    pub(crate) fn levels_mut(&mut self, machine_type: u32) -> &mut ConcurrencyLevels {
        let of = &mut self.types[machine_type as usize];
        if !std::mem::replace(&mut of.has_new_work, true) {
            self.with_new_work.push(machine_type as usize);
        }
        of.levels.get_or_insert_with(|| Box::new(ConcurrencyLevels::FRESH))
    }

    /// Ends a round for the types for which work was booked.
    pub(crate) fn choose_levels(&mut self) {
        for machine_type in std::mem::take(&mut self.with_new_work) {
            let of = &mut self.types[machine_type];
            of.has_new_work = false;
            if let Some(levels) = &mut of.levels {
                levels.choose();
            }
            self.count_unknown(machine_type);
        }
    }

    /// Whether enough is known of the levels of every type with warm upstreams.
    pub(crate) fn are_levels_known(&self) -> bool {
        self.unknown == 0
    }

    fn count_unknown(&mut self, machine_type: usize) {
        let of = &mut self.types[machine_type];
        let known = of.levels.as_deref().unwrap_or(&FRESH).next_probe().is_known;
        let is_unknown = of.warm_weight.get() != 0.0 && !known;
        let was_unknown = std::mem::replace(&mut of.is_unknown, is_unknown);
        self.unknown = self.unknown + usize::from(is_unknown) - usize::from(was_unknown);
    }

    // ------------------------------------------------------------ what is restored

    /// The concurrency levels of a type, unless no work was seen.
    pub(crate) fn known_levels(&self, machine_type: usize) -> Option<&ConcurrencyLevels> {
        self.types[machine_type].levels.as_deref()
    }

    /// Sets the rate of a type, and its levels if they are given; work of the present round stays.
    pub(crate) fn restore(
        &mut self,
        machine_type: usize,
        rate: f64,
        levels: Option<ConcurrencyLevels>,
    ) {
        let Some(of) = self.types.get_mut(machine_type) else { return };
        of.rate = rate;
        let is_informative = |levels: &ConcurrencyLevels| of.levels.is_some() || !levels.is_fresh();
        if let Some(mut levels) = levels.filter(is_informative) {
            let present = of.levels.as_deref().unwrap_or(&FRESH);
            for (level, present) in levels.level.iter_mut().zip(&present.level) {
                (level.time, level.done) = (present.time, present.done);
            }
            of.levels = Some(Box::new(levels));
        }
        self.active.insert(machine_type);
        self.count_unknown(machine_type);
    }
}
