//! Sends to what somebody else forbade at that time: for how long rules contradicted each other. The module above says
//! what counts.

use std::collections::BTreeMap;
use std::fmt;

use hollowpaddle_scenario::record::{At, Observation};
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::admin_answers::{AdminAnswers, Number};
use super::{Bank, seconds};
use crate::Case;

/// A revision that no call got came into being so long before a door knew it, at most.
const UNSEEN: u64 = 500_000;

/// Two balancers that acted on contradicting rules.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Contradiction {
    /// For how long, in seconds.
    pub for_s: f64,
    /// When the send came that shows it, from the first client.
    pub at_s: f64,
    /// Who sent.
    pub balancer: usize,
    /// Which request, by place in the plan.
    pub request: u32,
    /// To which machine, by place.
    pub node: usize,
    /// Its pod.
    pub pod: u32,
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
        let Self { at_s, balancer, node, pod, class, revision, other, other_at_s, .. } = self;
        let how = if self.ahead { "still forbade it at" } else { "had forbidden it since" };
        write!(
            f,
            "n{balancer} sent a {class} to node {node} of pod {pod} at {at_s:.3} s, which revision {revision} forbids; n{other} \
             {how} {other_at_s:.3} s"
        )
    }
}

/// A time, and whose word it is.
type Mark = (At, usize);

/// As many revisions after one another as forbid something.
struct Stretch {
    from: Number,
    first: Mark,
    last: Mark,
    /// When what follows was asked for; never, if nothing does.
    next: Option<At>,
}

/// Each rule set's first and last word.
fn marks(words: &AdminAnswers) -> Vec<Option<(Mark, Mark)>> {
    let mut marks: Vec<Option<(Mark, Mark)>> = vec![None; words.rules.len()];
    for word in words.words.iter().filter(|w| w.held) {
        let (told, asked) = ((word.told, word.balancer), (word.asked, word.balancer));
        let (first, last) = marks[word.at].unwrap_or((told, asked));
        marks[word.at] = Some((first.min(told), last.max(asked)));
    }
    marks
}

/// When a revision was asked for at the earliest.
fn asked_for(words: &AdminAnswers, number: Number) -> Option<At> {
    let guess = words.known(number).map(|at| At(at.0.saturating_sub(UNSEEN)));
    words.asked_for.get(&number).copied().or(guess)
}

/// The longest one of each stretch, for each machine and class.
pub(super) fn all(
    case: &Case,
    words: &AdminAnswers,
    began: At,
    bank: &mut Bank,
) -> Vec<Contradiction> {
    let marks = marks(words);
    let mut stretches: FxHashMap<(usize, usize), Vec<Stretch>> = FxHashMap::default();
    let mut longest: BTreeMap<(usize, usize, Number), Contradiction> = BTreeMap::new();
    for line in case.trace {
        let Observation::Attempt { request, node, balancer, first, .. } = &line.seen else {
            continue;
        };
        let class = case.plan.arrivals[*request as usize].class;
        let of = stretches
            .entry((*node, class))
            .or_insert_with(|| of(case, words, &marks, *node, class));
        if of.is_empty() {
            continue;
        }
        bank.sends += 1;
        if words.dead[*balancer].iter().any(|(from, to)| from <= first && first <= to) {
            continue;
        }
        let Some(stretch) = of.iter().rev().find(|s| s.first.0 < *first) else { continue };
        let behind = first.0 - stretch.first.0.0;
        let before = stretch.next.is_none_or(|next| *first < next);
        let ahead = if before { u64::MAX } else { stretch.last.0.0.saturating_sub(first.0) };
        let micros = behind.min(ahead);
        if micros == 0 {
            continue;
        }
        bank.contradicting += 1;
        let ahead = ahead < behind;
        let (other_at, other) = if ahead { stretch.last } else { stretch.first };
        let found = Contradiction {
            for_s: micros as f64 / 1e6,
            at_s: seconds(*first, began),
            balancer: *balancer,
            request: *request,
            node: *node,
            pod: case.plan.machines[*node].cell,
            class: case.scenario.classes[class].name.clone(),
            revision: stretch.from.1,
            other,
            other_at_s: seconds(other_at, began),
            ahead,
        };
        let known = longest.entry((*node, class, stretch.from)).or_insert_with(|| found.clone());
        if found.for_s > known.for_s {
            *known = found;
        }
    }
    longest.into_values().collect()
}

/// The stretches of one machine and class that were acted on, in the order of their numbers.
fn of(
    case: &Case,
    words: &AdminAnswers,
    marks: &[Option<(Mark, Mark)>],
    node: usize,
    class: usize,
) -> Vec<Stretch> {
    let machine = &case.plan.machines[node];
    let forbids = |number: &Number| {
        words.contents.get(number).map(|c| c.forbids(case.scenario, machine, class))
    };
    // By number: the first revision of its stretch, where it is of one.
    let mut stretch_of: BTreeMap<Number, Number> = BTreeMap::new();
    let mut nexts: BTreeMap<Number, Number> = BTreeMap::new();
    let mut open: Option<Number> = None;
    for number in words.contents.keys() {
        match (forbids(number), open) {
            (Some(true), Some(from)) => drop(stretch_of.insert(*number, from)),
            (Some(true), None) => {
                open = Some(*number);
                stretch_of.insert(*number, *number);
            }
            (_, Some(from)) => {
                nexts.insert(from, *number);
                open = None;
            }
            (_, None) => {}
        }
    }
    if stretch_of.is_empty() {
        return Vec::new();
    }
    let mut all: BTreeMap<Number, (Mark, Mark)> = BTreeMap::new();
    let mut note = |from: Number, first: Mark, last: Mark| {
        let known = all.entry(from).or_insert((first, last));
        *known = (known.0.min(first), known.1.max(last));
    };
    for (rules, marks) in words.rules.iter().zip(marks) {
        let Some((first, last)) = marks else { continue };
        let of = [Some(rules.revision), rules.towards].into_iter().flatten();
        let Some(from) = of.filter_map(|n| stretch_of.get(&n)).next() else { continue };
        if !rules.is_chartered(machine) {
            note(*from, *first, *last);
        }
    }
    // In force everywhere, said once: what the charter allows is none of it, as far as any word of that revision says.
    for (number, mark) in &words.everywhere {
        let Some(from) = stretch_of.get(number) else { continue };
        let chartered =
            words.rules.iter().filter(|r| r.revision == *number).all(|r| r.is_chartered(machine));
        if !chartered {
            note(*from, *mark, *mark);
        }
    }
    let stretch = |(from, (first, last))| {
        let next = nexts.get(&from).and_then(|n| asked_for(words, *n));
        Stretch { from, first, last, next }
    };
    all.into_iter().map(stretch).collect()
}
