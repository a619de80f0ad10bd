//! Stale sends: sends to a node after the node list recorded that it takes nothing new. They are counted apart by whether
//! the balancer had received the update. Within the grace period of rule 3 they are no violation.

use hollowpaddle_scenario::record::{At, Observation, Phase};
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::Run;

/// Stale sends of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StaleSends {
    /// Number of sends.
    pub sends: u64,
    /// Largest time from the update to a send, in milliseconds.
    pub oldest_ms: f64,
    /// Number of balancers with stale sends.
    pub balancers: u64,
}

/// Stale sends of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct StaleReport {
    /// Sends after the balancer had received the update.
    #[serde(rename = "told")]
    pub informed: StaleSends,
    /// Sends after the list had recorded the change, and before the balancer received the update.
    #[serde(rename = "untold")]
    pub uninformed: StaleSends,
}

/// Counts the stale sends of one run.
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
                // An older update that arrives after a newer one is ignored.
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
