//! Rule 3: what each balancer was told of each node, and what it sent there after that.

use rustc_hash::FxHashMap;

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, Observation, Phase};
use hollowpaddle_scenario::scenario::FaultKind;

/// A change counts as told so long after the list had it and could be reached, in microseconds, whatever calls failed,
/// were refused or given up.
const TOLD_AFTER: u64 = 6_000_000;

/// What a balancer was last told of a node.
#[derive(Clone, Copy, Debug)]
struct Word {
    revision: u64,
    heard: At,
    /// Since when it knows that nothing new may go there.
    closed: Option<At>,
}

/// Whether a balancer hears from the list.
#[derive(Clone, Debug, Default)]
struct ListConnection {
    /// Watches that are open.
    open: Vec<u64>,
    /// When it last heard or asked, and whether that failed.
    last: At,
    failed: bool,
    /// What keeps it from reaching the list: faults, a freeze. And since when nothing does.
    kept: u32,
    reaches: At,
}

impl ListConnection {
    fn keep(&mut self, at: At, begins: bool) {
        self.kept = if begins { self.kept + 1 } else { self.kept.saturating_sub(1) };
        self.reaches = at;
    }
}

pub fn judge(case: &Case, findings: &mut Vec<Finding>) {
    let mut words: FxHashMap<(usize, usize), Word> = FxHashMap::default();
    let mut ears: FxHashMap<usize, ListConnection> = FxHashMap::default();
    let mut listed: FxHashMap<usize, Vec<(At, Phase)>> = FxHashMap::default();
    let mut asleep: FxHashMap<usize, At> = FxHashMap::default();
    let rules = &case.scenario.rules;
    let grace = micros(rules.drain_grace) + case.slack;
    for line in case.trace {
        let at = line.at;
        match &line.seen {
            Observation::Told { balancer, node, phase, revision, .. } => {
                let none = Word { revision: 0, heard: at, closed: None };
                let word = words.entry((*balancer, *node)).or_insert(none);
                // An older word that comes after a newer one takes nothing back.
                if *revision < word.revision {
                    continue;
                }
                (word.revision, word.heard) = (*revision, at);
                word.closed = match phase {
                    Phase::Serving => None,
                    _ => word.closed.or(Some(at)),
                };
            }
            Observation::Paused { balancer, .. } => {
                asleep.insert(*balancer, at);
                ears.entry(*balancer).or_default().keep(at, true);
            }
            Observation::Started { balancer, .. } => {
                let ear = ears.entry(*balancer).or_default();
                // A freeze of the process before it is over.
                if asleep.remove(balancer).is_some() {
                    ear.keep(at, false);
                }
                ear.reaches = at;
            }
            Observation::Fault { fault, begins } => {
                let kind = case.scenario.faults.get(*fault).map(|f| &f.kind);
                let struck: Vec<usize> = match kind {
                    Some(FaultKind::ListDown) => (0..case.scenario.bank.count).collect(),
                    Some(FaultKind::ListCut) => {
                        let act = case.plan.acts.iter().find(|a| a.fault == *fault);
                        act.map_or(Vec::new(), |a| a.balancers.clone())
                    }
                    _ => continue,
                };
                struck.iter().for_each(|b| ears.entry(*b).or_default().keep(at, *begins));
            }
            // Who is frozen hears nothing: what it was told meanwhile, or right before, it knows from here on.
            Observation::Resumed { balancer, .. } => {
                let slept = asleep.remove(balancer);
                let from = slept.unwrap_or(at).0.saturating_sub(grace);
                let of = words.iter_mut().filter(|((b, _), _)| b == balancer);
                let closed = of.filter_map(|(_, word)| word.closed.as_mut());
                closed.filter(|told| told.0 >= from).for_each(|told| *told = at);
                let ear = ears.entry(*balancer).or_default();
                ear.last = ear.last.max(at);
                if slept.is_some() {
                    ear.keep(at, false);
                }
            }
            Observation::Listed { node, phase, .. } => {
                listed.entry(*node).or_default().push((at, *phase));
            }
            Observation::Asked { balancer, watch } => {
                let ear = ears.entry(*balancer).or_default();
                (ear.last, ear.failed) = (at, false);
                if *watch != u64::MAX {
                    ear.open.push(*watch);
                }
            }
            Observation::Unheard { balancer, watch } => {
                let ear = ears.entry(*balancer).or_default();
                (ear.last, ear.failed) = (at, true);
                ear.open.retain(|w| Some(*w) != *watch);
            }
            Observation::Attempt { attempt, request, node, balancer, first, .. } => {
                let word = words.get(&(*balancer, *node));
                let told = word.and_then(|w| w.closed);
                let ear = ears.get(balancer).cloned().unwrap_or_default();
                let counts = if told.is_some() {
                    None
                } else {
                    let heard = word.map(|w| w.heard).unwrap_or_default();
                    let listed = listed.get(node);
                    let by_call = counts_as_told(case, &ear, listed, *first);
                    by_call.into_iter().chain(told_by_now(&ear, listed, heard, *first)).min()
                };
                let Some(told) = told.or(counts).filter(|t| first.0 > t.0 + grace) else {
                    continue;
                };
                let what = format!(
                    "sent to node {node} {:.1} ms after n{balancer} was told that it drains or is \
                     gone",
                    first.ms_since(told)
                );
                let of = |l: &&hollowpaddle_scenario::record::Line| match &l.seen {
                    Observation::Told { balancer: b, node: n, .. } => (b, n) == (balancer, node),
                    Observation::Attempt { attempt: a, .. } => a == attempt,
                    _ => false,
                };
                findings.push(Finding {
                    violation: Violation::SentToDrained,
                    at: *first,
                    balancer: Some(*balancer),
                    request: Some(*request),
                    what,
                    history: case.trace.iter().filter(of).cloned().collect(),
                });
            }
            _ => {}
        }
    }
}

/// When a balancer that could reach the list for long enough counts as told that a node takes nothing new, whatever came
/// of its calls. The time counts anew once the list is back; what it has heard of the node since is newer.
fn told_by_now(
    ear: &ListConnection,
    listed: Option<&Vec<(At, Phase)>>,
    heard: At,
    now: At,
) -> Option<At> {
    if ear.kept > 0 {
        return None;
    }
    let counts = |at: At| At(at.max(ear.reaches).0 + TOLD_AFTER);
    let known: Vec<_> =
        listed?.iter().filter(|(at, _)| *at > heard && counts(*at) <= now).collect();
    let (_, phase) = known.last()?;
    let serving = known.iter().rposition(|(_, p)| *p == Phase::Serving);
    let first = known.get(serving.map_or(0, |i| i + 1))?;
    (*phase != Phase::Serving).then(|| counts(first.0))
}

/// When a balancer that has neither watched nor asked for too long counts as told of what was listed that
/// long ago (WIRE, `Safety.AskEvery`: four times as long after a failed call).
fn counts_as_told(
    case: &Case,
    ear: &ListConnection,
    listed: Option<&Vec<(At, Phase)>>,
    now: At,
) -> Option<At> {
    if !case.scenario.list.asked || !ear.open.is_empty() {
        return None;
    }
    let every = micros(case.scenario.rules.ask_every) * if ear.failed { 4 } else { 1 };
    if now.0 <= ear.last.0 + every {
        return None;
    }
    let horizon = At(now.0 - every);
    let known: Vec<_> = listed?.iter().filter(|(at, _)| *at <= horizon).collect();
    match known.last()? {
        (_, Phase::Serving) => None,
        // The first of the words that say so.
        _ => {
            let serving = known.iter().rposition(|(_, p)| *p == Phase::Serving);
            let first = known[serving.map_or(0, |i| i + 1)];
            Some(At(first.0.0 + every))
        }
    }
}
