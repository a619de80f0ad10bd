//! What a bank's balancers agreed on, held against what they sent: judged from stand-in nodes' account of what reached them
//! and from what the doors answered. It knows rules as plain sets of names, and shares no code with whoever keeps them.
//!
//! **A contradiction**, in answers. An upstream is *forbidden* to a class by a revision that has it, its pod, its kind or its
//! site out, or keeps the class from its pod; unless the charter of the same door's word allows it. Take the
//! revisions in the order of their numbers, those of a log founded later after all of one before: a *stretch* is as many after one another as forbid it. A stretch *is acted
//! on* wherever a door says that its balancer holds a lease and is at a revision of the stretch, or at the step towards one; and
//! everywhere, where a door said of one that it is in force everywhere. With
//!
//! - `first`: when it could first be known that anybody acts on the stretch (the answer's coming), and
//! - `last`: when somebody last did (the question's going), and
//! - `next`: when the first revision after the stretch that allows it was first asked for (without a call that got
//!   that number: half a second before any door knew it),
//!
//! each send there after `first` contradicts. Before `next` it does so for as long as it comes after `first`: nobody
//! allows it any more, so whoever sends has stayed behind. From `next` on the sender may as well be ahead of the others:
//! it contradicts for the shorter of that, and of the time from it to `last`. The longest of all is `contradiction_s`,
//! and must not be above [`MAX_CONTRADICTION_S`].
//!
//! Nobody's word excuses a send, least of all the sender's: who sends is told by nodes. Words only say what others
//! refuse. So a balancer that says nothing, or too much, of itself can't look better by it; one that says that it
//! forbids what it allows makes the others look worse. What is seen is shorter than what was by up to one look at the doors
//! (100 ms, usually). Left out are: words that were asked for before or while their balancer was frozen, and told after it
//! (they are older than they look); sends of a balancer that operators said is dead, from that word on (nobody waits for
//! it, and it was their word); attempts at most, weights and figures, which no single send shows.

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

/// T: the longest contradiction that a bank promises, in seconds (docs/design/cluster.md).
pub const MAX_CONTRADICTION_S: f64 = 3.0;
/// Contradictions that are told in full.
const MAX_CONTRADICTIONS: usize = 20;

/// What came of a bank's rule book on a day with acts on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PolicyReport {
    /// The longest contradiction that was seen, in seconds.
    pub contradiction_s: f64,
    /// The longest that may be, in seconds; times are told apart as [`crate::TimingTolerance`] says, on top.
    pub bound_s: f64,
    /// The longest ones, one for each stretch, upstream and class.
    pub contradictions: Vec<Contradiction>,
    /// Sends to what a revision of the day forbids, in whatever time.
    pub sends: u64,
    /// Of those, that contradict for however short a time.
    pub contradicting: u64,
    /// From a yes until it was in force.
    pub in_force_s: InForce,
    /// Questions that were answered with yes and a revision's number.
    pub changes: usize,
    /// Questions of any kind that were answered with no.
    pub refused: usize,
    /// That nobody answered.
    pub unanswered: usize,
    /// Calls of doors, repeats among them.
    pub calls: usize,
    /// Logs that there were: one more each time a majority of the council had forgotten, or operators said so.
    pub logs: usize,
    /// Yeses that came to nothing since nobody who knew of them could be asked when another log was founded: all were down,
    /// frozen or cut off.
    #[serde(rename = "forgotten")]
    pub unrecoverable: usize,
    /// Broken promises, a line each.
    pub broken: Vec<String>,
    /// Over time: under a lease, and at the newest revision.
    pub over_time: Vec<PolicySample>,
}

/// Judges it; `None` for a day without acts on the rule book.
pub fn of(played: &CompletedRun, slack_s: f64) -> Option<PolicyReport> {
    let (scenario, plan) = (&played.scenario, &played.plan);
    if plan.policy_actions.is_empty() || !scenario.cluster.agrees() {
        return None;
    }
    let case = Case { scenario, plan, trace: &played.trace, slack: 0 };
    let answers = AdminAnswers::of(&case);
    let mut report = PolicyReport { bound_s: MAX_CONTRADICTION_S, ..PolicyReport::default() };
    let mut all = contradiction::all(&case, &answers, played.began, &mut report);
    all.sort_by(|a, b| b.duration_s.total_cmp(&a.duration_s).then(a.at_s.total_cmp(&b.at_s)));
    report.contradiction_s = all.first().map_or(0.0, |c| c.duration_s);
    let beyond = all.iter().filter(|c| c.duration_s > MAX_CONTRADICTION_S + slack_s).count();
    if let Some(longest) = all.first().filter(|_| beyond > 0) {
        report.broken.push(format!(
            "contradicting rules were acted on for {:.3} s, {MAX_CONTRADICTION_S:.1} s at most ({beyond} such stretches): {longest}",
            longest.duration_s
        ));
    }
    all.truncate(MAX_CONTRADICTIONS);
    report.contradictions = all;
    report.logs = answers.logs();
    check_answers(&case, &answers, &mut report);
    report.in_force_s = in_force::of(&case, &answers, played.began);
    report.over_time = in_force::over_time(&case, &answers, played.began);
    Some(report)
}

/// What was answered: each question one answer, each number one content, and no yes is lost.
fn check_answers(case: &Case, answers: &AdminAnswers, report: &mut PolicyReport) {
    let mut ids: BTreeMap<(u32, u32), Option<&str>> = BTreeMap::new();
    let mut tries: BTreeMap<u32, u32> = BTreeMap::new();
    let mut answers_by_id: BTreeMap<&str, BTreeSet<Result<u64, ()>>> = BTreeMap::new();
    let mut ended: BTreeMap<u32, Option<bool>> = BTreeMap::new();
    let mut committed: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for line in case.trace {
        match &line.seen {
            Observation::OperatorCall { call, tries: t, id, .. } => {
                report.calls += 1;
                ids.insert((*call, *t), id.as_deref());
                tries.insert(*call, *t);
                ended.entry(*call).or_insert(None);
            }
            Observation::OperatorAnswer { call, verb, status: Some(status), number, .. } => {
                let id = tries.get(call).and_then(|t| ids.get(&(*call, *t))).copied().flatten();
                let answer = match (status, number) {
                    (200, Some(number)) => Ok(*number),
                    (409, _) => Err(()),
                    (200, None) => {
                        ended.insert(*call, Some(true));
                        continue;
                    }
                    _ => continue,
                };
                ended.insert(*call, Some(answer.is_ok()));
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
    report.refused = ended.values().filter(|e| **e == Some(false)).count();
    report.unanswered = ended.values().filter(|e| e.is_none()).count();
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
    // A log that is founded on a copy goes on with its numbers.
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

/// What was expected of the rule book and not shown, a line each.
pub(crate) fn missed_expectations(expect: &Expect, report: &PolicyReport) -> Vec<String> {
    let mut missed_expectations = Vec::new();
    let most = expect.contradiction.map(|d| d.as_secs_f64());
    if let Some(most) = most.filter(|most| report.contradiction_s > *most) {
        let found = report.contradiction_s;
        missed_expectations
            .push(format!("contradicting rules for {found:.3} s; at most {most:.3} s expected"));
    }
    if let Some(most) = expect.in_force.map(|d| d.as_secs_f64()) {
        for change in &report.in_force_s.changes {
            match change.in_force_all_s {
                Some(took) if took <= most && change.missing == 0 => {}
                // Nobody looked for as long as it may take.
                _ if change.missing > 0 && change.watched_s < most => {}
                _ if change.superseded => {}
                Some(took) if change.missing == 0 => missed_expectations.push(format!(
                    "revision {} was in force everywhere {took:.3} s after the yes; at most {most:.3} s expected",
                    change.revision
                )),
                _ => missed_expectations.push(format!(
                    "revision {} was not in force at {} balancers that were well in the {:.1} s after the yes; {most:.3} s \
                     expected",
                    change.revision, change.missing, change.watched_s
                )),
            }
        }
    }
    missed_expectations
}

/// Seconds from the first client.
fn seconds(at: At, began: At) -> f64 {
    (at.0 as f64 - began.0 as f64) / 1e6
}
