//! Stale: sends to a node that the list had said takes nothing new. Those that the balancer itself had been told of
//! (within the grace of rule 3 they break nothing), and those of which the list knew and it had not been told.

use hollowpaddle_scenario::record::{At, Observation, Phase};
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::Run;

/// Sends on old knowledge, of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StaleSends {
    /// How many.
    pub sends: u64,
    /// How old the word against the oldest was, in milliseconds.
    pub oldest_ms: f64,
    /// Balancers that made such.
    pub balancers: u64,
}

/// Decisions on what had been told to be otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Stale {
    /// The balancer had been told.
    pub told: StaleSends,
    /// The list knew, and the balancer had not been told.
    pub untold: StaleSends,
}

/// Reckons it for one run.
pub(super) fn of(run: &Run) -> Stale {
    let mut told: FxHashMap<(usize, usize), (u64, Option<At>)> = FxHashMap::default();
    let mut listed: FxHashMap<usize, At> = FxHashMap::default();
    let mut stale = Stale::default();
    let mut who = [Vec::new(), Vec::new()];
    for line in run.case.trace {
        match &line.seen {
            Observation::Listed { node, phase: Phase::Serving, .. } => drop(listed.remove(node)),
            Observation::Listed { node, .. } => {
                listed.entry(*node).or_insert(line.at);
            }
            Observation::Told { balancer, node, phase, revision, .. } => {
                let word = told.entry((*balancer, *node)).or_default();
                // An older word that comes after a newer one takes nothing back.
                if *revision >= word.0 {
                    let closed = (*phase != Phase::Serving).then_some(line.at);
                    *word = (*revision, closed.map(|at| word.1.unwrap_or(at)));
                }
            }
            Observation::Attempt { node, balancer, first, .. } => {
                let own = told.get(&(*balancer, *node)).and_then(|w| w.1);
                let other = listed.get(node).copied().filter(|_| own.is_none());
                let kinds = [(own, &mut stale.told), (other, &mut stale.untold)];
                for ((since, sends), who) in kinds.into_iter().zip(&mut who) {
                    let Some(since) = since.filter(|since| *since < *first) else { continue };
                    sends.sends += 1;
                    sends.oldest_ms = sends.oldest_ms.max(first.ms_since(since));
                    who.push(*balancer);
                }
            }
            _ => {}
        }
    }
    for (sends, mut who) in [&mut stale.told, &mut stale.untold].into_iter().zip(who) {
        who.sort_unstable();
        who.dedup();
        sends.balancers = who.len() as u64;
    }
    stale
}
