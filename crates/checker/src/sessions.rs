//! Figures of user sessions: how many effects ran in more than one cell, and how often a session's requests ran in the
//! cell of its previous run. Computed from the observations of nodes; the checker does not know which cell is the right one.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::Effect;

/// Largest number of duplicate effects that are listed.
const MAX_DUPLICATES: usize = 20;

/// Figures of user sessions.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SessionReport {
    /// Number of sessions that changed their zone.
    pub moved: usize,
    /// Number of keyed effects that ran, each counted once.
    pub effects: u64,
    /// Number of these effects that ran in more than one cell: a cell cannot drop a request that ran in another cell.
    pub ran_twice: u64,
    /// The first effects that ran in more than one cell.
    #[serde(rename = "twice")]
    pub duplicates: Vec<DuplicateEffect>,
    /// Number of runs of the sessions' requests.
    pub runs: u64,
    /// Number of these runs that took place in a cell that did not know the session.
    #[serde(rename = "as_strangers")]
    pub in_unknown_cells: u64,
    /// Share of runs in the cell of the session's previous run, over all runs but the first of each session; 1 if there
    /// are none.
    #[serde(rename = "at_their_pod")]
    pub in_previous_cell: f64,
}

/// An effect that ran in more than one cell.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DuplicateEffect {
    /// Index of the original request of its key.
    #[serde(rename = "first")]
    pub original: u32,
    /// All runs of the effect.
    pub runs: Vec<EffectRun>,
}

/// One run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EffectRun {
    /// Time at which the node started the work.
    pub at: At,
    /// Index of the request.
    pub request: u32,
    /// Number of the balancer.
    pub balancer: usize,
    /// Index of the node.
    pub node: usize,
    /// Cell of the node.
    #[serde(rename = "pod")]
    pub cell: u32,
}

/// Computes the figures; `None` for scenarios without user sessions.
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
            // From here on the request may have had its effect, whatever answer its balancer gets.
            Observation::Ran { attempt } => {
                let Some(run) = attempts.get(&attempt) else { continue };
                let run = EffectRun { at: line.at, ..*run };
                let arrival = &plan.arrivals[run.request as usize];
                let Some((session, _)) = arrival.session else { continue };
                sessions.runs += 1;
                let previous_run = last_run.insert((run.cell, session), run.at);
                let is_known = previous_run.is_some_and(|at| run.at.0 - at.0 < expiry);
                sessions.in_unknown_cells += u64::from(!is_known);
                if let Some(cell) = previous_cell.insert(session, run.cell) {
                    counted += 1;
                    in_same_cell += u64::from(cell == run.cell);
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
