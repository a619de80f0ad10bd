//! Sends to upstreams that another balancer forbade at that time, and the durations of these contradictions. The parent
//! module defines them.

use std::collections::BTreeMap;
use std::fmt;

use hollowpaddle_scenario::record::{At, Observation};
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, RevisionId};
use super::{PolicyReport, seconds};
use crate::Case;

/// Longest time from the creation of a revision until a balancer knows it, in microseconds, for revisions that no call
/// returned.
const MAX_UNSEEN_US: u64 = 500_000;

/// Two balancers that acted on contradicting revisions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Contradiction {
    /// Duration, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// Time of the contradicting send, in seconds from the first client.
    pub at_s: f64,
    /// Number of the sending balancer.
    pub balancer: usize,
    /// Index of the request.
    pub request: u32,
    /// Index of the node.
    pub node: usize,
    /// Cell of the node.
    #[serde(rename = "pod")]
    pub cell: u32,
    /// Class of the request.
    pub class: String,
    /// First revision of the range that forbids the node.
    pub revision: u64,
    /// Number of the balancer that forbade the node: the first that did, or the last if the sender was ahead.
    pub other: usize,
    /// Time since which it did, or until which if the sender was ahead, in seconds from the first client.
    pub other_at_s: f64,
    /// Whether the sender was ahead of the other balancer; otherwise it was behind.
    pub ahead: bool,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at_s, balancer, node, cell, class, revision, other, other_at_s, .. } = self;
        let how = if self.ahead { "still forbade it at" } else { "had forbidden it since" };
        write!(
            f,
            "n{balancer} sent a {class} to node {node} of pod {cell} at {at_s:.3} s, which revision {revision} forbids; n{other} \
             {how} {other_at_s:.3} s"
        )
    }
}

/// Time of a status answer, and the balancer that gave it.
type Evidence = (At, usize);

/// Successive revisions that forbid a node to a class, as the parent module defines them.
struct ForbiddingRange {
    from: RevisionId,
    first: Evidence,
    last: Evidence,
    /// Time at which the revision after the range was requested; `None` if there is no such revision.
    next: Option<At>,
}

/// Returns the first and the last evidence of each policy state under a lease.
fn evidence_by_state(answers: &AdminAnswers) -> Vec<Option<(Evidence, Evidence)>> {
    let mut evidence: Vec<Option<(Evidence, Evidence)>> = vec![None; answers.policy_states.len()];
    for status in answers.statuses.iter().filter(|w| w.has_lease) {
        let (received, asked) =
            ((status.received, status.balancer), (status.asked, status.balancer));
        let (first, last) = evidence[status.policy_state].unwrap_or((received, asked));
        evidence[status.policy_state] = Some((first.min(received), last.max(asked)));
    }
    evidence
}

/// Returns the earliest time at which a revision was requested.
fn requested_at(answers: &AdminAnswers, number: RevisionId) -> Option<At> {
    let guess = answers.known(number).map(|at| At(at.0.saturating_sub(MAX_UNSEEN_US)));
    answers.requested_at.get(&number).copied().or(guess)
}

/// Returns the longest contradiction of each range, for each node and class.
pub(super) fn longest_of_each_range(
    case: &Case,
    answers: &AdminAnswers,
    began: At,
    report: &mut PolicyReport,
) -> Vec<Contradiction> {
    let evidence = evidence_by_state(answers);
    let mut ranges: FxHashMap<(usize, usize), Vec<ForbiddingRange>> = FxHashMap::default();
    let mut longest: BTreeMap<(usize, usize, RevisionId), Contradiction> = BTreeMap::new();
    for line in case.trace {
        let Observation::Attempt { request, node, balancer, first, .. } = &line.seen else {
            continue;
        };
        let class = case.plan.arrivals[*request as usize].class;
        let node_ranges = ranges
            .entry((*node, class))
            .or_insert_with(|| ranges_of(case, answers, &evidence, *node, class));
        if node_ranges.is_empty() {
            continue;
        }
        report.sends += 1;
        if answers.dead[*balancer].iter().any(|(from, to)| from <= first && first <= to) {
            continue;
        }
        let Some(range) = node_ranges.iter().rev().find(|s| s.first.0 < *first) else { continue };
        let behind = first.0 - range.first.0.0;
        let is_before_next = range.next.is_none_or(|next| *first < next);
        let ahead = if is_before_next { u64::MAX } else { range.last.0.0.saturating_sub(first.0) };
        let micros = behind.min(ahead);
        if micros == 0 {
            continue;
        }
        report.contradicting += 1;
        let ahead = ahead < behind;
        let (other_at, other) = if ahead { range.last } else { range.first };
        let found = Contradiction {
            duration_s: micros as f64 / 1e6,
            at_s: seconds(*first, began),
            balancer: *balancer,
            request: *request,
            node: *node,
            cell: case.plan.machines[*node].cell,
            class: case.scenario.classes[class].name.clone(),
            revision: range.from.1,
            other,
            other_at_s: seconds(other_at, began),
            ahead,
        };
        let known = longest.entry((*node, class, range.from)).or_insert_with(|| found.clone());
        if found.duration_s > known.duration_s {
            *known = found;
        }
    }
    longest.into_values().collect()
}

/// Returns the ranges of one node and class that a balancer acted on, in the order of their revisions.
fn ranges_of(
    case: &Case,
    answers: &AdminAnswers,
    evidence: &[Option<(Evidence, Evidence)>],
    node: usize,
    class: usize,
) -> Vec<ForbiddingRange> {
    let machine = &case.plan.machines[node];
    let forbids = |number: &RevisionId| {
        answers.contents.get(number).map(|c| c.forbids(case.scenario, machine, class))
    };
    // The first revision of its range, for each revision of a range.
    let mut range_of: BTreeMap<RevisionId, RevisionId> = BTreeMap::new();
    let mut followers: BTreeMap<RevisionId, RevisionId> = BTreeMap::new();
    let mut open: Option<RevisionId> = None;
    for number in answers.contents.keys() {
        match (forbids(number), open) {
            (Some(true), Some(from)) => drop(range_of.insert(*number, from)),
            (Some(true), None) => {
                open = Some(*number);
                range_of.insert(*number, *number);
            }
            (_, Some(from)) => {
                followers.insert(from, *number);
                open = None;
            }
            (_, None) => {}
        }
    }
    if range_of.is_empty() {
        return Vec::new();
    }
    let mut all: BTreeMap<RevisionId, (Evidence, Evidence)> = BTreeMap::new();
    let mut note = |from: RevisionId, first: Evidence, last: Evidence| {
        let known = all.entry(from).or_insert((first, last));
        *known = (known.0.min(first), known.1.max(last));
    };
    for (state, evidence) in answers.policy_states.iter().zip(evidence) {
        let Some((first, last)) = evidence else { continue };
        let revisions = [Some(state.revision), state.target].into_iter().flatten();
        let Some(from) = revisions.filter_map(|n| range_of.get(&n)).next() else { continue };
        if !state.is_allowed_by_fallback(machine) {
            note(*from, *first, *last);
        }
    }
    // An answer that a revision is in force everywhere counts once, unless all status answers of that revision have a
    // fallback policy that allows the node.
    for (number, mark) in &answers.in_force_everywhere {
        let Some(from) = range_of.get(number) else { continue };
        let allowed_by_fallback = answers
            .policy_states
            .iter()
            .filter(|r| r.revision == *number)
            .all(|r| r.is_allowed_by_fallback(machine));
        if !allowed_by_fallback {
            note(*from, *mark, *mark);
        }
    }
    let range = |(from, (first, last))| {
        let next = followers.get(&from).and_then(|n| requested_at(answers, *n));
        ForbiddingRange { from, first, last, next }
    };
    all.into_iter().map(range).collect()
}
