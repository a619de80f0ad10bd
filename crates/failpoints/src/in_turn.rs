//! Strikes the points of a scenario in turn: the first, the second, and so on until none is left (as SQLite's
//! tests do). What the scenario promises it says itself.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use oorandom::Rand64;

use crate::{Fault, Passed, Plan, Points, Report, Saw, Strike};

/// So many firsts are drawn for each pair that is wanted, at most.
const TRIES: usize = 4;

/// How many runs of a scenario there are to be.
#[derive(Clone, Debug, Default)]
pub struct InTurn {
    sample: Option<(u64, usize)>,
    pairs: (u64, usize),
    faults: Option<Vec<Fault>>,
    by_name: bool,
}

/// Runs a scenario once to count its N points, then once for each point and each fault that can happen there.
///
/// A scenario drives what it tests with these points, carries out what they say, checks what was promised,
/// heals, and checks that all is whole. It must pass the same points whenever the same faults happen. One
/// that hangs hangs the test.
pub fn each_in_turn(scenario: impl Fn(&Points) -> Result<(), String>) -> Report {
    InTurn::all().run(scenario)
}

impl InTurn {
    /// Every fault at every point.
    pub fn all() -> Self {
        Self::default()
    }

    /// At most `most` of them, drawn: for scenarios that are slow.
    pub fn sample(seed: u64, most: usize) -> Self {
        Self { sample: Some((seed, most)), ..Self::default() }
    }

    /// And so many runs with two faults, drawn. The second strikes among the points that are passed once the
    /// first has struck: where a program goes after one fault is where the next finds it worst prepared. Each
    /// takes two runs.
    #[must_use]
    pub fn and_pairs(self, seed: u64, how_many: usize) -> Self {
        Self { pairs: (seed, how_many), ..self }
    }

    /// Only these faults.
    #[must_use]
    pub fn only(self, faults: &[Fault]) -> Self {
        Self { faults: Some(faults.to_vec()), ..self }
    }

    /// Points are planned by name and place among those of that name, instead of by number, and may come in
    /// another order than in the run that counted: for real processes, whose threads and timers take turns as
    /// they like.
    #[must_use]
    pub fn by_name(self) -> Self {
        Self { by_name: true, ..self }
    }

    /// Every fault that can happen at one of these points from a place on, in their order.
    fn strikes(&self, points: &[Passed], from: usize) -> Vec<Strike> {
        let wanted = |fault: &Fault| self.faults.as_ref().is_none_or(|all| all.contains(fault));
        let mut by_name = BTreeMap::<&str, u64>::new();
        let of = |at: &Passed| {
            let nth = by_name.entry(at.name).or_default();
            *nth += 1;
            let nth = *nth;
            let faults = at.kind.faults().iter().copied().filter(wanted);
            faults.map(|fault| Strike { at: at.clone(), nth, fault }).collect::<Vec<_>>()
        };
        points.iter().flat_map(of).skip_while(|strike| strike.at.number <= from as u64).collect()
    }

    /// Runs it so.
    pub fn run(&self, scenario: impl Fn(&Points) -> Result<(), String>) -> Report {
        let mut report = Report::default();
        let points = self.once(&scenario, &[], &[], &mut report);
        report.points = points;
        if !report.findings.is_empty() {
            // What fails without a fault tells nothing with one.
            return report;
        }
        let mut strikes = self.strikes(&report.points, 0);
        report.possible = strikes.len() as u64;
        if let Some((seed, most)) = self.sample {
            strikes = drawn(strikes, seed, most);
        }
        let counted = report.points.clone();
        for strike in &strikes {
            report.singles += 1;
            self.once(&scenario, &counted, std::slice::from_ref(strike), &mut report);
        }
        self.run_pairs(&scenario, &counted, &mut report);
        report
    }

    fn run_pairs(
        &self,
        scenario: &impl Fn(&Points) -> Result<(), String>,
        counted: &[Passed],
        report: &mut Report,
    ) {
        let (seed, how_many) = self.pairs;
        let firsts = self.strikes(counted, 0);
        let mut chance = Rand64::new(u128::from(seed));
        // A first that ends it all leaves nothing for a second: others are drawn instead, up to a bound.
        for _ in 0..how_many.saturating_mul(TRIES) {
            if report.pairs >= how_many as u64 {
                return;
            }
            let Some(first) = pick(&firsts, &mut chance) else { return };
            let passed = self.once(scenario, counted, std::slice::from_ref(first), report);
            // By name it may have been at another number this time.
            let struck =
                passed.iter().find(|p| p.fault.is_some()).map_or(first.at.number, |p| p.number);
            let after = self.strikes(&passed, struck as usize);
            let Some(second) = pick(&after, &mut chance).cloned() else { continue };
            report.pairs += 1;
            self.once(scenario, &passed, &[first.clone(), second], report);
        }
    }

    /// One run: what it passed. `before` are the points of the run that these strikes were chosen by.
    fn once(
        &self,
        scenario: &impl Fn(&Points) -> Result<(), String>,
        before: &[Passed],
        strikes: &[Strike],
        report: &mut Report,
    ) -> Vec<Passed> {
        let plan = strikes.iter().fold(Plan::counting(), |plan, s| match self.by_name {
            true => plan.at(s.at.name, s.nth, s.fault),
            false => plan.and(s.at.number, s.fault),
        });
        let points = Points::armed(plan.clone());
        report.runs += 1;
        let said = catch_unwind(AssertUnwindSafe(|| scenario(&points)));
        let passed = points.passed();
        let last = strikes.last().map_or(0, |s| s.at.number as usize);
        let last = if self.by_name { 0 } else { last };
        let differs = before.iter().zip(&passed).take(last).find(|(then, now)| !then.is(now));
        let word = |p: &Passed| format!("{} `{}` of {}", p.kind.name(), p.name, p.whose);
        if let Some((then, now)) = differs {
            let (number, expected, found) = (then.number, word(then), word(now));
            report.found(strikes, &plan, Saw::Astray { number, expected, found });
        } else if points.struck() < strikes.len() {
            report.found(strikes, &plan, Saw::Unreached { passed: points.count() });
        }
        match said {
            Ok(Ok(())) => {}
            Ok(Err(what)) => report.found(strikes, &plan, Saw::Failed(what)),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().cloned();
                let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
                let text = text.unwrap_or_else(|| "without words".to_string());
                report.found(strikes, &plan, Saw::Panicked(text));
            }
        }
        passed
    }
}

fn pick<'a, T>(of: &'a [T], chance: &mut Rand64) -> Option<&'a T> {
    let place = if of.is_empty() { 0 } else { chance.rand_range(0..of.len() as u64) };
    of.get(place as usize)
}

/// So many of them, in their order, each as likely as any other.
fn drawn(mut of: Vec<Strike>, seed: u64, most: usize) -> Vec<Strike> {
    let mut chance = Rand64::new(u128::from(seed));
    while of.len() > most {
        let place = chance.rand_range(0..of.len() as u64);
        of.remove(place as usize);
    }
    of
}
