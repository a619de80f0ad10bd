//! Times from the commit of a revision until it was in force, and the state of the cluster over time, from status answers.

use std::collections::BTreeMap;

use hollowpaddle_scenario::record::At;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, RevisionId};
use super::seconds;
use crate::Case;

/// Interval of the samples over time, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 250_000;
/// Age up to which a status answer counts, in microseconds.
const MAX_STATUS_AGE_US: u64 = 1_500_000;

/// Times from commit to in force, over all revisions of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    /// Longest time until 99 % of the healthy balancers had a revision in force, in seconds.
    pub at_99: f64,
    /// Longest time until all healthy balancers had a revision in force, in seconds.
    pub at_all: f64,
    /// Median time until all healthy balancers had a revision in force, in seconds.
    pub median: f64,
    /// All committed revisions.
    pub changes: Vec<Change>,
}

/// One committed revision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Number of the revision.
    pub revision: u64,
    /// Time of the successful answer, in seconds from the first client.
    pub at_s: f64,
    /// Time until 99 % of the healthy balancers had the revision in force under a lease, in seconds; `None` if they never had.
    #[serde(rename = "most_s")]
    pub in_force_99_s: Option<f64>,
    /// Time until the last healthy balancer known to have the revision in force had it, in seconds.
    #[serde(rename = "all_s")]
    pub in_force_all_s: Option<f64>,
    /// Number of balancers that are not counted: down, suspended, cut off or declared dead in that time.
    pub excused: usize,
    /// Number of healthy balancers that never had the revision in force, as far as was observed.
    pub missing: usize,
    /// Time from the successful answer to the end of the run, in seconds.
    pub watched_s: f64,
    /// Whether a newer revision was committed before this one was in force everywhere.
    pub superseded: bool,
}

/// State of the cluster at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PolicySample {
    /// Time of the sample, in seconds from the first client.
    pub at_s: f64,
    /// Share of all balancers that hold a lease.
    pub leased: f64,
    /// Share of all balancers that hold a lease and are at the newest revision committed by then.
    pub newest: f64,
}

/// Computes the times of all committed revisions.
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

/// Samples the state of the cluster over time.
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
