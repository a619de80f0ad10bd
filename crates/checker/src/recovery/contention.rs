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
    is_up: bool,
    /// Warm from here on.
    warm_at: At,
    in_flight: i64,
    /// With what nobody waits for, until about then.
    busy_until: At,
    /// Faults that keep it from answering anyone.
    unreachable_faults: u32,
}

/// Reckons it for one run.
pub(super) fn of(run: &Run) -> Contention {
    let mut contention = Contention::default();
    let mut nodes = vec![Node::default(); run.case.plan.machines.len()];
    let mut serving: FxHashSet<(usize, usize)> = FxHashSet::default();
    let mut cut: FxHashMap<(usize, usize), u32> = FxHashMap::default();
    let mut attempts: FxHashMap<u32, (usize, f64)> = FxHashMap::default();
    let mut balancers: FxHashMap<u32, usize> = FxHashMap::default();
    // Nodes that hold nothing, whatever else is with them.
    let mut idle: FxHashSet<usize> = FxHashSet::default();
    let mut sent = 0u64;
    for line in run.case.trace {
        match &line.seen {
            Observation::Up { node, cold_ms, .. } => {
                let warm_at = At(line.at.0 + (*cold_ms * 1e3) as u64);
                nodes[*node] = Node {
                    is_up: true,
                    warm_at,
                    unreachable_faults: nodes[*node].unreachable_faults,
                    ..Node::default()
                };
                idle.insert(*node);
            }
            Observation::Down { node } | Observation::Overloaded { node } => {
                nodes[*node].is_up = false
            }
            Observation::WarmUpProgress { node, share } if *share >= 1.0 => {
                nodes[*node].warm_at = nodes[*node].warm_at.min(line.at);
            }
            Observation::Fault { fault, begins } => {
                let events = run.case.plan.fault_events.iter().filter(|a| a.fault == *fault);
                let Some(event) = events.into_iter().find(|a| a.begins == *begins) else {
                    continue;
                };
                let change: i64 = if *begins { 1 } else { -1 };
                for node in &event.nodes {
                    match &run.case.scenario.faults[*fault].kind {
                        FaultKind::Vanish => {
                            nodes[*node].unreachable_faults = nodes[*node]
                                .unreachable_faults
                                .saturating_add_signed(change as i32);
                        }
                        FaultKind::Unreachable { balancers } => balancers.iter().for_each(|b| {
                            let entry = cut.entry((*b, *node)).or_default();
                            *entry = entry.saturating_add_signed(change as i32);
                        }),
                        _ => {}
                    }
                }
            }
            Observation::ListUpdate { balancer, node, phase, .. } => {
                if *phase == Phase::Serving {
                    serving.insert((*balancer, *node));
                } else {
                    serving.remove(&(*balancer, *node));
                }
            }
            Observation::Attempt { attempt, node, dark: false, work_ms, .. } => {
                attempts.insert(*attempt, (*node, *work_ms));
                nodes[*node].in_flight += 1;
                idle.remove(node);
            }
            Observation::Ended { attempt, outcome } => {
                let Some((node, work_ms)) = attempts.remove(attempt) else { continue };
                // What its balancer gave up goes on there, at a speed that is about 1.
                if *outcome == AttemptOutcome::Abandoned {
                    let over = At(line.at.0 + (work_ms * 1e3) as u64);
                    nodes[node].busy_until = nodes[node].busy_until.max(over);
                }
                nodes[node].in_flight -= 1;
                if nodes[node].in_flight <= 0 {
                    idle.insert(node);
                }
            }
            Observation::Sent { request, balancer, .. } => {
                sent += 1;
                balancers.insert(*request, *balancer);
            }
            Observation::Answered { request, status: 429 | 503, .. } => {
                contention.refused += 1;
                let Some(balancer) = balancers.get(request).copied() else { continue };
                let is_usable = |n: &usize| {
                    let node = nodes[*n];
                    node.is_up
                        && node.unreachable_faults == 0
                        && node.warm_at <= line.at
                        && node.busy_until <= line.at
                        && serving.contains(&(balancer, *n))
                        && cut.get(&(balancer, *n)).is_none_or(|c| *c == 0)
                };
                if idle.iter().any(is_usable) {
                    contention.beside_idle += 1;
                }
            }
            _ => {}
        }
    }
    contention.share = contention.beside_idle as f64 / sent.max(1) as f64;
    contention
}
