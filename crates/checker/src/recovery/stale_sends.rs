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
pub struct StaleReport {
    /// The balancer had been told.
    #[serde(rename = "told")]
    pub informed: StaleSends,
    /// The list knew, and the balancer had not been told.
    #[serde(rename = "untold")]
    pub uninformed: StaleSends,
}

/// Reckons it for one run.
pub(super) fn of(run: &Run) -> StaleReport {
    let mut updates: FxHashMap<(usize, usize), (u64, Option<At>)> = FxHashMap::default();
    let mut listed: FxHashMap<usize, At> = FxHashMap::default();
    let mut stale = StaleReport::default();
    let mut balancers = [Vec::new(), Vec::new()];
    for line in run.case.trace {
        match &line.seen {
            Observation::Listed { node, phase: Phase::Serving, .. } => drop(listed.remove(node)),
            Observation::Listed { node, .. } => {
                listed.entry(*node).or_insert(line.at);
            }
            Observation::ListUpdate { balancer, node, phase, revision, .. } => {
                let update = updates.entry((*balancer, *node)).or_default();
                // An older word that comes after a newer one takes nothing back.
                if *revision >= update.0 {
                    let closed = (*phase != Phase::Serving).then_some(line.at);
                    *update = (*revision, closed.map(|at| update.1.unwrap_or(at)));
                }
            }
            Observation::Attempt { node, balancer, first, .. } => {
                let updated_at = updates.get(&(*balancer, *node)).and_then(|w| w.1);
                let listed_at = listed.get(node).copied().filter(|_| updated_at.is_none());
                let cases = [(updated_at, &mut stale.informed), (listed_at, &mut stale.uninformed)];
                for ((since, sends), balancers) in cases.into_iter().zip(&mut balancers) {
                    let Some(since) = since.filter(|since| *since < *first) else { continue };
                    sends.sends += 1;
                    sends.oldest_ms = sends.oldest_ms.max(first.ms_since(since));
                    balancers.push(*balancer);
                }
            }
            _ => {}
        }
    }
    for (sends, mut balancers) in
        [&mut stale.informed, &mut stale.uninformed].into_iter().zip(balancers)
    {
        balancers.sort_unstable();
        balancers.dedup();
        sends.balancers = balancers.len() as u64;
    }
    stale
}
