//! Sends to what somebody else forbade at that time: for how long rules contradicted each other. The module above says
//! what counts.

use std::collections::BTreeMap;
use std::fmt;

use hollowpaddle_scenario::record::{At, Observation};
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, RevisionId};
use super::{PolicyReport, seconds};
use crate::Case;

/// A revision that no call got came into being so long before a door knew it, at most.
const MAX_UNSEEN_US: u64 = 500_000;

/// Two balancers that acted on contradicting rules.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Contradiction {
    /// For how long, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// When the send came that shows it, from the first client.
    pub at_s: f64,
    /// Who sent.
    pub balancer: usize,
    /// Which request, by place in the plan.
    pub request: u32,
    /// To which machine, by place.
    pub node: usize,
    /// Its pod.
    #[serde(rename = "pod")]
    pub cell: u32,
    /// Of which class.
    pub class: String,
    /// The first revision of those that forbid it.
    pub revision: u64,
    /// Who was known to forbid it then: the first, or where the sender was ahead the last.
    pub other: usize,
    /// Since when, or until when.
    pub other_at_s: f64,
    /// The sender was ahead of the others, and not behind.
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

/// A time, and whose word it is.
type Evidence = (At, usize);

/// As many revisions after one another as forbid something.
struct ForbiddingRange {
    from: RevisionId,
    first: Evidence,
    last: Evidence,
    /// When what follows was asked for; never, if nothing does.
    next: Option<At>,
}

/// Each rule set's first and last word.
fn evidence(answers: &AdminAnswers) -> Vec<Option<(Evidence, Evidence)>> {
    let mut evidence: Vec<Option<(Evidence, Evidence)>> = vec![None; answers.policy_states.len()];
    for status in answers.statuses.iter().filter(|w| w.has_lease) {
        let (received, asked) =
            ((status.received, status.balancer), (status.asked, status.balancer));
        let (first, last) = evidence[status.policy_state].unwrap_or((received, asked));
        evidence[status.policy_state] = Some((first.min(received), last.max(asked)));
    }
    evidence
}

/// When a revision was asked for at the earliest.
fn requested_at(answers: &AdminAnswers, number: RevisionId) -> Option<At> {
    let guess = answers.known(number).map(|at| At(at.0.saturating_sub(MAX_UNSEEN_US)));
    answers.requested_at.get(&number).copied().or(guess)
}

/// The longest one of each stretch, for each machine and class.
pub(super) fn all(
    case: &Case,
    answers: &AdminAnswers,
    began: At,
    report: &mut PolicyReport,
) -> Vec<Contradiction> {
    let evidence = evidence(answers);
    let mut ranges: FxHashMap<(usize, usize), Vec<ForbiddingRange>> = FxHashMap::default();
    let mut longest: BTreeMap<(usize, usize, RevisionId), Contradiction> = BTreeMap::new();
    for line in case.trace {
        let Observation::Attempt { request, node, balancer, first, .. } = &line.seen else {
            continue;
        };
        let class = case.plan.arrivals[*request as usize].class;
        let of = ranges
            .entry((*node, class))
            .or_insert_with(|| of(case, answers, &evidence, *node, class));
        if of.is_empty() {
            continue;
        }
        report.sends += 1;
        if answers.dead[*balancer].iter().any(|(from, to)| from <= first && first <= to) {
            continue;
        }
        let Some(range) = of.iter().rev().find(|s| s.first.0 < *first) else { continue };
        let behind = first.0 - range.first.0.0;
        let before = range.next.is_none_or(|next| *first < next);
        let ahead = if before { u64::MAX } else { range.last.0.0.saturating_sub(first.0) };
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

/// The stretches of one machine and class that were acted on, in the order of their numbers.
fn of(
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
    // By number: the first revision of its stretch, where it is of one.
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
        let of = [Some(state.revision), state.target].into_iter().flatten();
        let Some(from) = of.filter_map(|n| range_of.get(&n)).next() else { continue };
        if !state.is_allowed_by_fallback(machine) {
            note(*from, *first, *last);
        }
    }
    // In force everywhere, said once: what the charter allows is none of it, as far as any word of that revision says.
    for (number, mark) in &answers.in_force_everywhere {
        let Some(from) = range_of.get(number) else { continue };
        let chartered = answers
            .policy_states
            .iter()
            .filter(|r| r.revision == *number)
            .all(|r| r.is_allowed_by_fallback(machine));
        if !chartered {
            note(*from, *mark, *mark);
        }
    }
    let range = |(from, (first, last))| {
        let next = followers.get(&from).and_then(|n| requested_at(answers, *n));
        ForbiddingRange { from, first, last, next }
    };
    all.into_iter().map(range).collect()
}
