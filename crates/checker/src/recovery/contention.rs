//! Contention: rejections while a node that could have taken the request was idle. No rule is violated by them: each balancer
//! limits its own small share of the capacity, and random arrivals fill one share while another is empty.

use hollowpaddle_scenario::record::{At, AttemptOutcome, Observation, Phase};
use hollowpaddle_scenario::scenario::FaultKind;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;

use super::Run;

/// Rejections, and those beside idle nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Contention {
    /// Number of answers 429 and 503.
    pub refused: u64,
    /// Number of these while a node without requests was up, warm, known to the balancer and in its reach.
    pub beside_idle: u64,
    /// Rejections beside idle nodes over all sent requests, 0 to 1.
    pub share: f64,
}

/// State of a node at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Node {
    is_up: bool,
    /// Time from which on the node is warm.
    warm_at: At,
    /// Number of attempts at the node.
    in_flight: i64,
    /// Time until which the node probably works on abandoned requests.
    busy_until: At,
    /// Number of active faults that silence the node.
    silencing_faults: u32,
}

/// Computes the contention of one run.
pub(super) fn of(run: &Run) -> Contention {
    let mut contention = Contention::default();
    let mut nodes = vec![Node::default(); run.case.plan.machines.len()];
    let mut serving: FxHashSet<(usize, usize)> = FxHashSet::default();
    let mut cut: FxHashMap<(usize, usize), u32> = FxHashMap::default();
    let mut attempts: FxHashMap<u32, (usize, f64)> = FxHashMap::default();
    let mut balancer_of: FxHashMap<u32, usize> = FxHashMap::default();
    // Nodes without attempts, whatever their other state.
    let mut idle: FxHashSet<usize> = FxHashSet::default();
    let mut sent = 0u64;
    for line in run.case.trace {
        match &line.seen {
            Observation::Up { node, cold_ms, .. } => {
                let warm_at = At(line.at.0 + (*cold_ms * 1e3) as u64);
                nodes[*node] = Node {
                    is_up: true,
                    warm_at,
                    silencing_faults: nodes[*node].silencing_faults,
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
                            nodes[*node].silencing_faults =
                                nodes[*node].silencing_faults.saturating_add_signed(change as i32);
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
                // An abandoned request keeps running on the node, at a speed of about 1.
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
                balancer_of.insert(*request, *balancer);
            }
            Observation::Answered { request, status: 429 | 503, .. } => {
                contention.refused += 1;
                let Some(balancer) = balancer_of.get(request).copied() else { continue };
                let is_usable = |n: &usize| {
                    let node = nodes[*n];
                    node.is_up
                        && node.silencing_faults == 0
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
