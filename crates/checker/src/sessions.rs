//! Vans: whether what they send with one key ran in one pod, and how often they came to the pod that had
//! them. Reckoned from what nodes saw; which pod is right is nobody's to say here.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::Effect;

/// So many effects that ran in several pods are told in full.
const TOLD: usize = 20;

/// How vans fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sessions {
    /// Vans that moved within the day.
    pub moved: usize,
    /// Keyed effects that ran, each counted once.
    pub effects: u64,
    /// Of those, that ran in more than one pod: no pod can drop what another ran.
    pub ran_twice: u64,
    /// The first of them.
    pub twice: Vec<Twice>,
    /// Runs of vans' requests.
    pub runs: u64,
    /// Of those, in a pod that did not know the van.
    pub as_strangers: u64,
    /// Share of runs in the pod of the van's run before, over all but each van's first; 1 where there are
    /// none.
    pub at_their_pod: f64,
}

/// An effect that ran in more than one pod.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Twice {
    /// The request that its key came with first, by place in the plan.
    pub first: u32,
    /// Each run: when, of which request, by which balancer, at which node, in which pod.
    pub runs: Vec<Run>,
}

/// One run of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Run {
    /// When it was taken into work.
    pub at: At,
    /// By place in the plan.
    pub request: u32,
    /// By number.
    pub balancer: usize,
    /// By place among the machines.
    pub node: usize,
    /// Its cell.
    pub pod: u32,
}

/// Reckons it; `None` for a day without vans.
pub fn of(case: &Case) -> Option<Sessions> {
    let forgotten = super::micros(case.scenario.vans.as_ref()?.forgotten);
    let plan = case.plan;
    let moved = plan.vans.iter().filter(|van| van.away.is_some()).count();
    let mut sessions = Sessions { moved, ..Sessions::default() };
    let mut attempts: FxHashMap<u32, Run> = FxHashMap::default();
    let mut effects: BTreeMap<u32, Vec<Run>> = BTreeMap::new();
    let mut known: FxHashMap<(u32, u32), At> = FxHashMap::default();
    let mut last: FxHashMap<u32, u32> = FxHashMap::default();
    let (mut stayed, mut came) = (0_u64, 0_u64);
    for line in case.trace {
        match line.seen {
            Observation::Attempt { attempt, request, node, balancer, .. } => {
                let pod = plan.machines[node].cell;
                let run = Run { at: line.at, request, balancer, node, pod };
                attempts.insert(attempt, run);
            }
            // From here on it may have had its effect, whatever its balancer hears of it.
            Observation::Ran { attempt } => {
                let Some(run) = attempts.get(&attempt) else { continue };
                let run = Run { at: line.at, ..*run };
                let arrival = &plan.arrivals[run.request as usize];
                let Some((van, _)) = arrival.van else { continue };
                sessions.runs += 1;
                let before = known.insert((run.pod, van), run.at);
                let is_known = before.is_some_and(|b| run.at.0 - b.0 < forgotten);
                sessions.as_strangers += u64::from(!is_known);
                if let Some(before) = last.insert(van, run.pod) {
                    came += 1;
                    stayed += u64::from(before == run.pod);
                }
                if case.scenario.classes[arrival.class].effect == Effect::Keyed {
                    effects.entry(arrival.first).or_default().push(run);
                }
            }
            _ => {}
        }
    }
    sessions.effects = effects.len() as u64;
    for (first, runs) in effects {
        if runs.iter().any(|run| run.pod != runs[0].pod) {
            sessions.ran_twice += 1;
            if sessions.twice.len() < TOLD {
                sessions.twice.push(Twice { first, runs });
            }
        }
    }
    sessions.at_their_pod = if came == 0 { 1.0 } else { stayed as f64 / came as f64 };
    Some(sessions)
}
