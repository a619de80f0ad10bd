//! How long it took from a yes until a revision was in force, and how the bank stood over time, by looks at the doors.

use std::collections::BTreeMap;

use hollowpaddle_scenario::record::At;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, RevisionId};
use super::seconds;
use crate::Case;

/// Points over time, one each so long.
const SAMPLE_INTERVAL_US: u64 = 250_000;
/// A word of a door counts for so long.
const MAX_STATUS_AGE_US: u64 = 1_500_000;

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
    #[serde(rename = "most_s")]
    pub in_force_99_s: Option<f64>,
    /// Until all had.
    #[serde(rename = "all_s")]
    pub in_force_all_s: Option<f64>,
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
pub struct PolicySample {
    /// From the first client, in seconds.
    pub at_s: f64,
    /// Share of all balancers that hold a lease.
    pub leased: f64,
    /// Share of all that hold one at the newest revision that was granted by then.
    pub newest: f64,
}

pub(super) fn of(case: &Case, answers: &AdminAnswers, began: At) -> InForce {
    let mut all = InForce::default();
    let count = case.scenario.cluster.count;
    let committed: Vec<(RevisionId, At)> =
        answers.committed.iter().map(|(n, at)| (*n, *at)).collect();
    for (place, &(revision, committed_at)) in committed.iter().enumerate() {
        let mut first: Vec<Option<At>> = vec![None; count];
        for status in answers.statuses.iter().filter(|w| w.has_lease && w.revision >= revision) {
            first[status.balancer].get_or_insert(status.received);
        }
        let (mut times, mut excused, mut missing) = (Vec::new(), 0, 0);
        for (balancer, first) in first.iter().enumerate() {
            let until = first.unwrap_or(answers.end).max(committed_at);
            let overlaps = |(from, to): &(At, At)| *from <= until && committed_at <= *to;
            let dead = answers.dead[balancer].iter().any(overlaps);
            if dead || answers.outages[balancer].iter().any(overlaps) {
                excused += 1;
            } else if let Some(first) = first {
                times.push(first.0.saturating_sub(committed_at.0) as f64 / 1e6);
            } else {
                missing += 1;
            }
        }
        times.sort_by(f64::total_cmp);
        let (seen, healthy) = (times.len(), times.len() + missing);
        let needed = (healthy as f64 * 0.99).ceil() as usize;
        let in_force_all_s = times.last().copied();
        let done = At(committed_at.0 + (in_force_all_s.unwrap_or(0.0) * 1e6) as u64);
        let superseded =
            committed.get(place + 1).is_some_and(|(_, next)| missing > 0 || *next < done);
        all.changes.push(Change {
            revision: revision.1,
            at_s: seconds(committed_at, began),
            in_force_99_s: needed.checked_sub(1).filter(|n| *n < seen).map(|n| times[n]),
            in_force_all_s,
            excused,
            missing,
            watched_s: answers.end.0.saturating_sub(committed_at.0) as f64 / 1e6,
            superseded,
        });
    }
    let counted = || all.changes.iter().filter(|c| !c.superseded);
    let mut of_all: Vec<f64> = counted().filter_map(|c| c.in_force_all_s).collect();
    of_all.sort_by(f64::total_cmp);
    let at_99 = counted().filter_map(|c| c.in_force_99_s).fold(0.0, f64::max);
    let (at_all, median) = (
        of_all.last().copied().unwrap_or(0.0),
        of_all.get(of_all.len() / 2).copied().unwrap_or(0.0),
    );
    InForce { at_99, at_all, median, ..all }
}

pub(super) fn over_time(case: &Case, answers: &AdminAnswers, began: At) -> Vec<PolicySample> {
    let count = case.scenario.cluster.count as f64;
    let (mut last, mut next) = (BTreeMap::new(), 0);
    let mut samples = Vec::new();
    let mut at = began.0;
    while at <= answers.end.0 {
        while let Some(status) = answers.statuses.get(next).filter(|w| w.received.0 <= at) {
            last.insert(status.balancer, status);
            next += 1;
        }
        let newest = answers
            .committed
            .iter()
            .filter(|(_, committed_at)| committed_at.0 <= at)
            .map(|(n, _)| *n)
            .max();
        let fresh =
            || last.values().filter(|w| w.has_lease && at - w.received.0 <= MAX_STATUS_AGE_US);
        let at_newest = fresh().filter(|w| newest.is_none_or(|n| w.revision >= n)).count();
        samples.push(PolicySample {
            at_s: seconds(At(at), began),
            leased: fresh().count() as f64 / count,
            newest: at_newest as f64 / count,
        });
        at += SAMPLE_INTERVAL_US;
    }
    samples
}
