//! What came out of striking points in turn, as plain data and as text.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::{Fault, Kind, Passed, Plan};

/// So many findings are kept in full; the rest is counted. Where each point fails, the first few say all.
pub const MOST_FINDINGS: usize = 1_000;
/// So many of them are told in text.
const MOST_TOLD: usize = 20;

/// A fault at a point of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The point, as it was passed in the run before, with what happened then.
    pub at: Passed,
    /// Which one of its name it was, from 1.
    pub nth: u64,
    /// What was planned there.
    pub fault: Fault,
}

/// What a run showed that it should not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Saw {
    /// A promise was broken, in the scenario's words.
    Failed(String),
    /// The scenario panicked, or what it drives.
    Panicked(String),
    /// The run ended before the point: no fault was there, and the scenario's word about it is worth nothing.
    Unreached {
        /// So many points were passed.
        passed: u64,
    },
    /// Other points were passed before it than in the run that the plan was made by: the scenario is not
    /// deterministic.
    Astray {
        /// The first that differs.
        number: u64,
        /// What was passed there before: whose, kind and name.
        expected: String,
        /// What was now.
        found: String,
    },
}

/// One run that showed something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What was planned: nothing (the counting run), a fault, or two.
    pub strikes: Vec<Strike>,
    /// The plan by which it is seen again.
    pub plan: Plan,
    /// What was seen.
    pub saw: Saw,
}

/// All runs of one scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The points of the run that counted: N of them.
    pub points: Vec<Passed>,
    /// How many runs there were, the one that counted among them.
    pub runs: u64,
    /// How many points and faults, singly, there are; each of them was a run unless a sample was asked for.
    pub possible: u64,
    /// So many of these were runs.
    pub singles: u64,
    /// Runs with two faults.
    pub pairs: u64,
    /// What the runs showed; the first [`MOST_FINDINGS`].
    pub findings: Vec<Finding>,
    /// So many more.
    pub more: u64,
}

impl Report {
    /// Whether there were points, and nothing was found.
    pub fn is_clean(&self) -> bool {
        !self.points.is_empty() && self.findings.is_empty()
    }

    /// How many points there are of each kind.
    pub fn kinds(&self) -> BTreeMap<Kind, u64> {
        let mut kinds = BTreeMap::new();
        for point in &self.points {
            *kinds.entry(point.kind).or_default() += 1;
        }
        kinds
    }

    pub(crate) fn found(&mut self, strikes: &[Strike], plan: &Plan, saw: Saw) {
        if self.findings.len() < MOST_FINDINGS {
            let (strikes, plan) = (strikes.to_vec(), plan.clone());
            self.findings.push(Finding { strikes, plan, saw });
        } else {
            self.more += 1;
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, Strike { at, fault, .. }) in self.strikes.iter().enumerate() {
            let then = if n == 0 { "" } else { ", then " };
            write!(f, "{then}{} at {} `{}` of {}", fault.name(), at.number, at.name, at.whose)?;
        }
        match &self.saw {
            _ if self.strikes.is_empty() => write!(f, "without a fault")?,
            _ => write!(f, " ({})", self.plan)?,
        }
        match &self.saw {
            Saw::Failed(what) => write!(f, ": {what}"),
            Saw::Panicked(what) => write!(f, ": panic: {what}"),
            Saw::Unreached { passed } => {
                write!(f, ": not reached; the run ended after {passed} points")
            }
            Saw::Astray { number, expected, found } => {
                write!(f, ": not deterministic: point {number} was {expected}, and is {found}")
            }
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds: Vec<String> =
            self.kinds().iter().map(|(k, n)| format!("{n} {}", k.name())).collect();
        let names: BTreeSet<&str> = self.points.iter().map(|p| p.name).collect();
        writeln!(
            f,
            "{} points of {} names ({}); {} runs: {} of {} single faults, {} pairs; {} findings",
            self.points.len(),
            names.len(),
            kinds.join(", "),
            self.runs,
            self.singles,
            self.possible,
            self.pairs,
            self.findings.len() as u64 + self.more,
        )?;
        if self.points.is_empty() {
            writeln!(f, "  no point was passed: nothing was tested")?;
        }
        for finding in self.findings.iter().take(MOST_TOLD) {
            writeln!(f, "  {finding}")?;
        }
        match self.findings.len().saturating_sub(MOST_TOLD) as u64 + self.more {
            0 => Ok(()),
            more => writeln!(f, "  and {more} more"),
        }
    }
}
