//! Crowd: refusals while a node that could have taken the request stood idle. Nobody harms anybody here; each balancer
//! guards its own small part of the room, and chance fills one part while the next stands empty.

use hollowpaddle_scenario::record::{At, AttemptOutcome, Observation, Phase};
use hollowpaddle_scenario::scenario::FaultKind;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;

use super::Run;

/// Refusals, and those of them beside idle nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Contention {
    /// Answers 429 and 503.
    pub refused: u64,
    /// While a node that the balancer had been told of, up, warm and in its reach, held nothing.
    pub beside_idle: u64,
    /// Those over all requests that were sent, 0 to 1.
    pub share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    up: bool,
    /// Warm from here on.
    warm: At,
    holds: i64,
    /// With what nobody waits for, until about then.
    busy: At,
    /// Faults that keep it from answering anyone.
    dark: u32,
}

/// Reckons it for one run.
pub(super) fn of(run: &Run) -> Contention {
    let mut contention = Contention::default();
    let mut nodes = vec![Node::default(); run.case.plan.machines.len()];
    let mut serving: FxHashSet<(usize, usize)> = FxHashSet::default();
    let mut cut: FxHashMap<(usize, usize), u32> = FxHashMap::default();
    let mut attempts: FxHashMap<u32, (usize, f64)> = FxHashMap::default();
    let mut asked: FxHashMap<u32, usize> = FxHashMap::default();
    // Nodes that hold nothing, whatever else is with them.
    let mut idle: FxHashSet<usize> = FxHashSet::default();
    let mut sent = 0u64;
    for line in run.case.trace {
        match &line.seen {
            Observation::Up { node, cold_ms, .. } => {
                let warm = At(line.at.0 + (*cold_ms * 1e3) as u64);
                nodes[*node] = Node { up: true, warm, dark: nodes[*node].dark, ..Node::default() };
                idle.insert(*node);
            }
            Observation::Down { node } | Observation::Tipped { node } => nodes[*node].up = false,
            Observation::Warmth { node, share } if *share >= 1.0 => {
                nodes[*node].warm = nodes[*node].warm.min(line.at);
            }
            Observation::Fault { fault, begins } => {
                let acts = run.case.plan.acts.iter().filter(|a| a.fault == *fault);
                let Some(act) = acts.into_iter().find(|a| a.begins == *begins) else { continue };
                let by: i64 = if *begins { 1 } else { -1 };
                for node in &act.nodes {
                    match &run.case.scenario.faults[*fault].kind {
                        FaultKind::Vanish => {
                            nodes[*node].dark = nodes[*node].dark.saturating_add_signed(by as i32);
                        }
                        FaultKind::Unreachable { balancers } => balancers.iter().for_each(|b| {
                            let entry = cut.entry((*b, *node)).or_default();
                            *entry = entry.saturating_add_signed(by as i32);
                        }),
                        _ => {}
                    }
                }
            }
            Observation::Told { balancer, node, phase, .. } => {
                if *phase == Phase::Serving {
                    serving.insert((*balancer, *node));
                } else {
                    serving.remove(&(*balancer, *node));
                }
            }
            Observation::Attempt { attempt, node, dark: false, work_ms, .. } => {
                attempts.insert(*attempt, (*node, *work_ms));
                nodes[*node].holds += 1;
                idle.remove(node);
            }
            Observation::Ended { attempt, fate } => {
                let Some((node, work_ms)) = attempts.remove(attempt) else { continue };
                // What its balancer gave up goes on there, at a speed that is about 1.
                if *fate == AttemptOutcome::Abandoned {
                    let over = At(line.at.0 + (work_ms * 1e3) as u64);
                    nodes[node].busy = nodes[node].busy.max(over);
                }
                nodes[node].holds -= 1;
                if nodes[node].holds <= 0 {
                    idle.insert(node);
                }
            }
            Observation::Sent { request, balancer, .. } => {
                sent += 1;
                asked.insert(*request, *balancer);
            }
            Observation::Answered { request, status: 429 | 503, .. } => {
                contention.refused += 1;
                let Some(balancer) = asked.get(request).copied() else { continue };
                let could = |n: &usize| {
                    let node = nodes[*n];
                    node.up
                        && node.dark == 0
                        && node.warm <= line.at
                        && node.busy <= line.at
                        && serving.contains(&(balancer, *n))
                        && cut.get(&(balancer, *n)).is_none_or(|c| *c == 0)
                };
                if idle.iter().any(could) {
                    contention.beside_idle += 1;
                }
            }
            _ => {}
        }
    }
    contention.share = contention.beside_idle as f64 / sent.max(1) as f64;
    contention
}
