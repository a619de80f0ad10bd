//! Vans: whether what they send with one key ran in one pod, and how often they came to the pod that had
//! them. Reckoned from what nodes saw; which pod is right is nobody's to say here.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::Effect;

/// So many effects that ran in several pods are told in full.
const MAX_DUPLICATES: usize = 20;

/// How vans fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SessionReport {
    /// Vans that moved within the day.
    pub moved: usize,
    /// Keyed effects that ran, each counted once.
    pub effects: u64,
    /// Of those, that ran in more than one pod: no pod can drop what another ran.
    pub ran_twice: u64,
    /// The first of them.
    #[serde(rename = "twice")]
    pub duplicates: Vec<DuplicateEffect>,
    /// Runs of vans' requests.
    pub runs: u64,
    /// Of those, in a pod that did not know the van.
    #[serde(rename = "as_strangers")]
    pub in_unknown_cells: u64,
    /// Share of runs in the pod of the van's run before, over all but each van's first; 1 where there are
    /// none.
    #[serde(rename = "at_their_pod")]
    pub in_previous_cell: f64,
}

/// An effect that ran in more than one pod.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DuplicateEffect {
    /// The request that its key came with first, by place in the plan.
    #[serde(rename = "first")]
    pub original: u32,
    /// Each run: when, of which request, by which balancer, at which node, in which pod.
    pub runs: Vec<EffectRun>,
}

/// One run of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EffectRun {
    /// When it was taken into work.
    pub at: At,
    /// By place in the plan.
    pub request: u32,
    /// By number.
    pub balancer: usize,
    /// By place among the machines.
    pub node: usize,
    /// Its cell.
    #[serde(rename = "pod")]
    pub cell: u32,
}

/// Reckons it; `None` for a day without vans.
pub fn of(case: &Case) -> Option<SessionReport> {
    let expiry = super::micros(case.scenario.sessions.as_ref()?.session_expiry);
    let plan = case.plan;
    let moved = plan.sessions.iter().filter(|session| session.visit.is_some()).count();
    let mut sessions = SessionReport { moved, ..SessionReport::default() };
    let mut attempts: FxHashMap<u32, EffectRun> = FxHashMap::default();
    let mut effects: BTreeMap<u32, Vec<EffectRun>> = BTreeMap::new();
    let mut last_run: FxHashMap<(u32, u32), At> = FxHashMap::default();
    let mut previous_cell: FxHashMap<u32, u32> = FxHashMap::default();
    let (mut in_same_cell, mut counted) = (0_u64, 0_u64);
    for line in case.trace {
        match line.seen {
            Observation::Attempt { attempt, request, node, balancer, .. } => {
                let cell = plan.machines[node].cell;
                let run = EffectRun { at: line.at, request, balancer, node, cell };
                attempts.insert(attempt, run);
            }
            // From here on it may have had its effect, whatever its balancer hears of it.
            Observation::Ran { attempt } => {
                let Some(run) = attempts.get(&attempt) else { continue };
                let run = EffectRun { at: line.at, ..*run };
                let arrival = &plan.arrivals[run.request as usize];
                let Some((session, _)) = arrival.session else { continue };
                sessions.runs += 1;
                let before = last_run.insert((run.cell, session), run.at);
                let is_known = before.is_some_and(|b| run.at.0 - b.0 < expiry);
                sessions.in_unknown_cells += u64::from(!is_known);
                if let Some(before) = previous_cell.insert(session, run.cell) {
                    counted += 1;
                    in_same_cell += u64::from(before == run.cell);
                }
                if case.scenario.classes[arrival.class].effect == Effect::Keyed {
                    effects.entry(arrival.original).or_default().push(run);
                }
            }
            _ => {}
        }
    }
    sessions.effects = effects.len() as u64;
    for (original, runs) in effects {
        if runs.iter().any(|run| run.cell != runs[0].cell) {
            sessions.ran_twice += 1;
            if sessions.duplicates.len() < MAX_DUPLICATES {
                sessions.duplicates.push(DuplicateEffect { original, runs });
            }
        }
    }
    sessions.in_previous_cell =
        if counted == 0 { 1.0 } else { in_same_cell as f64 / counted as f64 };
    Some(sessions)
}
