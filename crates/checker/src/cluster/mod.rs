//! Checks the replicated routing policy: compares the revisions that balancers reported through the admin API with the
//! attempts that stand-in nodes received. The check treats a revision as plain sets of names, and shares no code with the
//! implementation of the policy.
//!
//! **Contradictions.** A revision *forbids* an upstream to a class if it excludes the upstream, its cell, its machine type or
//! its zone, or excludes the cell for that class; unless the fallback policy in the same status answer allows the upstream.
//! Revisions are ordered by number, and all revisions of a log precede those of a log that was bootstrapped later. A *range*
//! is a maximal run of successive revisions that forbid the upstream. A balancer *acts on* a range if a status answer says
//! that it holds a lease and is at a revision of the range, or is moving to one. All balancers act on it if an answer says
//! that a revision of the range is in force everywhere. The times of a range are
//!
//! - `first`: the first time at which an answer showed that a balancer acts on the range (the arrival of the answer),
//! - `last`: the last time at which a balancer is known to act on it (the sending of the request for its status), and
//! - `next`: the time at which the first revision after the range that allows the upstream was requested. For a revision
//!   without a call that returned its number, it is half a second before a balancer first knew the revision.
//!
//! Every send to the upstream after `first` is a contradiction. Before `next` its duration is the time since `first`: no
//! revision allows the upstream any more, so the sender is behind. From `next` on the sender may be ahead of the others
//! instead: then the duration is the shorter of the time since `first` and the time until `last`. The longest duration is
//! `contradiction_s`, which must not exceed [`MAX_CONTRADICTION_S`].
//!
//! Sends are taken from the observations of nodes, and no status answer excuses a send. Status answers only show what other
//! balancers forbid. So a balancer cannot hide a contradiction by answers about itself, and one that wrongly reports that it
//! forbids an upstream adds contradictions of the others. Measured durations may be too short by up to one polling interval
//! of the status (usually 100 ms). Not counted are: status answers that were requested before or during a suspension of their
//! balancer and arrived after it, since they are older than their arrival suggests; sends of a balancer that operators
//! declared dead, from that command on, since the others do not wait for it; limits of attempts, weights and other numbers,
//! which a single send does not show.

mod admin_answers;
mod contradiction;
mod in_force;

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_scenario::record::{At, CompletedRun, Observation};
use hollowpaddle_scenario::scenario::Expect;
use serde::Serialize;

pub use contradiction::Contradiction;
pub use in_force::{Change, InForce, PolicySample};

use crate::Case;
use admin_answers::AdminAnswers;

/// T: the longest contradiction that a cluster guarantees, in seconds (docs/design/cluster.md).
pub const MAX_CONTRADICTION_S: f64 = 3.0;
/// Largest number of contradictions in the report.
const MAX_CONTRADICTIONS: usize = 20;

/// Report on the replicated routing policy of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Longest contradiction, in seconds.
    pub contradiction_s: f64,
    /// Longest allowed contradiction, in seconds, without the tolerance of [`crate::TimingTolerance`].
    pub bound_s: f64,
    /// Longest contradictions, at most one for each range, upstream and class.
    pub contradictions: Vec<Contradiction>,
    /// Number of sends to upstreams that some revision of the run forbids, at any time.
    pub sends: u64,
    /// Number of these sends that contradict, for however short a time.
    pub contradicting: u64,
    /// Times from the commit of a revision until it was in force.
    pub in_force_s: InForce,
    /// Number of revisions that a successful answer named.
    pub changes: usize,
    /// Number of calls that were rejected.
    pub refused: usize,
    /// Number of calls that got no final answer.
    pub unanswered: usize,
    /// Number of calls of the admin API, retries included.
    pub calls: usize,
    /// Number of logs: a new one is bootstrapped when a majority of the voters has lost its state, or on an operator command.
    pub logs: usize,
    /// Number of committed revisions that were lost because no balancer that knew them was reachable when a new log was
    /// bootstrapped: all were down, suspended or cut off.
    #[serde(rename = "forgotten")]
    pub unrecoverable: usize,
    /// Violated guarantees, one message each.
    pub broken: Vec<String>,
    /// Shares of balancers with a lease and at the newest revision, over time.
    pub over_time: Vec<PolicySample>,
}

/// Checks the routing policy of a run; `None` for scenarios without policy actions.
pub fn of(played: &CompletedRun, slack_s: f64) -> Option<PolicyReport> {
    let (scenario, plan) = (&played.scenario, &played.plan);
    if plan.policy_actions.is_empty() || !scenario.cluster.agrees() {
        return None;
    }
    let case = Case { scenario, plan, trace: &played.trace, slack: 0 };
    let answers = AdminAnswers::of(&case);
    let mut report = PolicyReport { bound_s: MAX_CONTRADICTION_S, ..PolicyReport::default() };
    let mut contradictions =
        contradiction::longest_of_each_range(&case, &answers, played.began, &mut report);
    contradictions
        .sort_by(|a, b| b.duration_s.total_cmp(&a.duration_s).then(a.at_s.total_cmp(&b.at_s)));
    report.contradiction_s = contradictions.first().map_or(0.0, |c| c.duration_s);
    let beyond =
        contradictions.iter().filter(|c| c.duration_s > MAX_CONTRADICTION_S + slack_s).count();
    if let Some(longest) = contradictions.first().filter(|_| beyond > 0) {
        report.broken.push(format!(
            "contradicting rules were acted on for {:.3} s, {MAX_CONTRADICTION_S:.1} s at most ({beyond} such stretches): {longest}",
            longest.duration_s
        ));
    }
    contradictions.truncate(MAX_CONTRADICTIONS);
    report.contradictions = contradictions;
    report.logs = answers.logs();
    check_answers(&case, &answers, &mut report);
    report.in_force_s = in_force::of(&case, &answers, played.began);
    report.over_time = in_force::over_time(&case, &answers, played.began);
    Some(report)
}

/// Checks the answers to operators: each command has one answer, each revision number one content, and no committed revision
/// is lost.
fn check_answers(case: &Case, answers: &AdminAnswers, report: &mut PolicyReport) {
    let mut ids: BTreeMap<(u32, u32), Option<&str>> = BTreeMap::new();
    let mut tries: BTreeMap<u32, u32> = BTreeMap::new();
    let mut answers_by_id: BTreeMap<&str, BTreeSet<Result<u64, ()>>> = BTreeMap::new();
    let mut outcomes: BTreeMap<u32, Option<bool>> = BTreeMap::new();
    let mut committed: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for line in case.trace {
        match &line.seen {
            Observation::OperatorCall { call, tries: t, id, .. } => {
                report.calls += 1;
                ids.insert((*call, *t), id.as_deref());
                tries.insert(*call, *t);
                outcomes.entry(*call).or_insert(None);
            }
            Observation::OperatorAnswer { call, verb, status: Some(status), number, .. } => {
                let id = tries.get(call).and_then(|t| ids.get(&(*call, *t))).copied().flatten();
                let answer = match (status, number) {
                    (200, Some(number)) => Ok(*number),
                    (409, _) => Err(()),
                    (200, None) => {
                        outcomes.insert(*call, Some(true));
                        continue;
                    }
                    _ => continue,
                };
                outcomes.insert(*call, Some(answer.is_ok()));
                if let Some(id) = id {
                    answers_by_id.entry(id).or_default().insert(answer);
                    if let Some(number) = answer.ok().filter(|_| verb.revises()) {
                        committed.entry(number).or_default().insert(id);
                    }
                }
            }
            _ => {}
        }
    }
    report.changes = answers.committed.len();
    report.refused = outcomes.values().filter(|e| **e == Some(false)).count();
    report.unanswered = outcomes.values().filter(|e| e.is_none()).count();
    for (id, distinct) in answers_by_id.iter().filter(|(_, distinct)| distinct.len() > 1) {
        report.broken.push(format!(
            "the question {id} was answered in {} ways: {distinct:?}",
            distinct.len()
        ));
    }
    for (number, ids) in committed.iter().filter(|(_, ids)| ids.len() > 1 && report.logs < 2) {
        report
            .broken
            .push(format!("revision {number} was the answer to {} questions: {ids:?}", ids.len()));
    }
    for (log, number) in &answers.conflicting {
        report.broken.push(format!(
            "doors tell of two contents of revision {number} of one log, the {log}. of the day"
        ));
    }
    // A log that is bootstrapped from a copy continues its numbers.
    let newest = answers.newest_at_end();
    let lost = answers
        .committed
        .iter()
        .filter(|(number, _)| newest.is_some_and(|newest| newest.1 < number.1));
    for (number, at) in lost {
        if !answers.was_recoverable(*number) {
            report.unrecoverable += 1;
            continue;
        }
        report.broken.push(format!(
            "revision {} was granted at {:.3} s, somebody who knew it could be asked whenever a log was founded \
             since, and at the end the newest that any door knows is {}",
            number.1,
            at.0 as f64 / 1e6,
            newest.map_or(0, |n| n.1)
        ));
    }
}

/// Returns a message for each expectation about the policy that was missed.
pub(crate) fn missed_expectations(expect: &Expect, report: &PolicyReport) -> Vec<String> {
    let mut missed = Vec::new();
    let most = expect.contradiction.map(|d| d.as_secs_f64());
    if let Some(most) = most.filter(|most| report.contradiction_s > *most) {
        let found = report.contradiction_s;
        missed.push(format!("contradicting rules for {found:.3} s; at most {most:.3} s expected"));
    }
    if let Some(most) = expect.in_force.map(|d| d.as_secs_f64()) {
        for change in &report.in_force_s.changes {
            match change.in_force_all_s {
                Some(took) if took <= most && change.missing == 0 => {}
                // The run ended before the expected time was over.
                _ if change.missing > 0 && change.watched_s < most => {}
                _ if change.superseded => {}
                Some(took) if change.missing == 0 => missed.push(format!(
                    "revision {} was in force everywhere {took:.3} s after the yes; at most {most:.3} s expected",
                    change.revision
                )),
                _ => missed.push(format!(
                    "revision {} was not in force at {} balancers that were well in the {:.1} s after the yes; {most:.3} s \
                     expected",
                    change.revision, change.missing, change.watched_s
                )),
            }
        }
    }
    missed
}

/// Returns the seconds from the first client.
fn seconds(at: At, began: At) -> f64 {
    (at.0 as f64 - began.0 as f64) / 1e6
}
