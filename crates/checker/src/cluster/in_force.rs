//! How long it took from a yes until a revision was in force, and how the bank stood over time, by looks at the doors.

use std::collections::BTreeMap;

use hollowpaddle_scenario::record::At;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, Number};
use super::seconds;
use crate::Case;

/// Points over time, one each so long.
const STEP: u64 = 250_000;
/// A word of a door counts for so long.
const FRESH: u64 = 1_500_000;

/// From yes to in force, over all revisions of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    /// The longest until 99 % of the balancers that were well had it in force, in seconds.
    pub at_99: f64,
    /// The longest until all of them had.
    pub at_all: f64,
    /// The median of those until all of them had.
    pub median: f64,
    /// Each revision that was granted.
    pub changes: Vec<Change>,
}

/// One revision that was granted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Its number.
    pub revision: u64,
    /// When the yes came, from the first client.
    pub at_s: f64,
    /// Until 99 % had it in force under a lease, in seconds; `None` if that was never seen.
    pub most_s: Option<f64>,
    /// Until all had.
    pub all_s: Option<f64>,
    /// Balancers that are no part of this: down, frozen or cut off in that time.
    pub excused: usize,
    /// Balancers that were well, and of which it was never seen.
    pub missing: usize,
    /// From the yes to the end.
    pub watched_s: f64,
    /// A newer one was granted before it was in force everywhere.
    pub superseded: bool,
}

/// How the bank stood at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Moment {
    /// From the first client, in seconds.
    pub at_s: f64,
    /// Share of all balancers that hold a lease.
    pub leased: f64,
    /// Share of all that hold one at the newest revision that was granted by then.
    pub newest: f64,
}

pub(super) fn of(case: &Case, words: &AdminAnswers, began: At) -> InForce {
    let mut all = InForce::default();
    let count = case.scenario.bank.count;
    let granted: Vec<(Number, At)> = words.granted.iter().map(|(n, at)| (*n, *at)).collect();
    for (place, &(revision, yes)) in granted.iter().enumerate() {
        let mut first: Vec<Option<At>> = vec![None; count];
        for word in words.words.iter().filter(|w| w.held && w.revision >= revision) {
            first[word.balancer].get_or_insert(word.told);
        }
        let (mut times, mut excused, mut missing) = (Vec::new(), 0, 0);
        for (balancer, first) in first.iter().enumerate() {
            let until = first.unwrap_or(words.end).max(yes);
            let struck = |(from, to): &(At, At)| *from <= until && yes <= *to;
            let dead = words.dead[balancer].iter().any(struck);
            if dead || words.outages[balancer].iter().any(struck) {
                excused += 1;
            } else if let Some(first) = first {
                times.push(first.0.saturating_sub(yes.0) as f64 / 1e6);
            } else {
                missing += 1;
            }
        }
        times.sort_by(f64::total_cmp);
        let (seen, well) = (times.len(), times.len() + missing);
        let most = (well as f64 * 0.99).ceil() as usize;
        let all_s = times.last().copied();
        let done = At(yes.0 + (all_s.unwrap_or(0.0) * 1e6) as u64);
        let superseded =
            granted.get(place + 1).is_some_and(|(_, next)| missing > 0 || *next < done);
        all.changes.push(Change {
            revision: revision.1,
            at_s: seconds(yes, began),
            most_s: most.checked_sub(1).filter(|n| *n < seen).map(|n| times[n]),
            all_s,
            excused,
            missing,
            watched_s: words.end.0.saturating_sub(yes.0) as f64 / 1e6,
            superseded,
        });
    }
    let whole = || all.changes.iter().filter(|c| !c.superseded);
    let mut of_all: Vec<f64> = whole().filter_map(|c| c.all_s).collect();
    of_all.sort_by(f64::total_cmp);
    let at_99 = whole().filter_map(|c| c.most_s).fold(0.0, f64::max);
    let (at_all, median) = (
        of_all.last().copied().unwrap_or(0.0),
        of_all.get(of_all.len() / 2).copied().unwrap_or(0.0),
    );
    InForce { at_99, at_all, median, ..all }
}

pub(super) fn over_time(case: &Case, words: &AdminAnswers, began: At) -> Vec<Moment> {
    let count = case.scenario.bank.count as f64;
    let (mut last, mut next) = (BTreeMap::new(), 0);
    let mut moments = Vec::new();
    let mut at = began.0;
    while at <= words.end.0 {
        while let Some(word) = words.words.get(next).filter(|w| w.told.0 <= at) {
            last.insert(word.balancer, word);
            next += 1;
        }
        let newest = words.granted.iter().filter(|(_, yes)| yes.0 <= at).map(|(n, _)| *n).max();
        let fresh = || last.values().filter(|w| w.held && at - w.told.0 <= FRESH);
        let at_newest = fresh().filter(|w| newest.is_none_or(|n| w.revision >= n)).count();
        moments.push(Moment {
            at_s: seconds(At(at), began),
            leased: fresh().count() as f64 / count,
            newest: at_newest as f64 / count,
        });
        at += STEP;
    }
    moments
}
