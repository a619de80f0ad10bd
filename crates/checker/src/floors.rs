//! Floors of the service of a run: the least share that has to be served over the whole run, in each third of it and in each
//! class.
//!
//! **The achievable share** of a period is the work that the running nodes can do in it over the work that clients request in
//! it, at most 1. It is the same for every class. A node counts with its capacity of the moment: less while it is warming up,
//! slowed down or sends unreadable answers, and nothing while it is silent. No policy is simulated for this, and none could
//! achieve more. So a floor requires slightly more than a share of what a real policy would achieve. Requests that arrived
//! while no balancer was reachable count neither as requested nor as served.
//!
//! **The required share** of the weight is 0.5 of the achievable share over the whole run, 0.3 of it in each third, and 0.5
//! of it in each class that has a twentieth of the requests or of the weight, or that is not simply repeatable. There is no
//! floor of a class if less than 0.3 is achievable.

use serde::Serialize;

use super::Case;
use super::service::{ClientRequest, RequestOutcome, client_requests};
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::{Effect, FaultKind};

/// Required share of what is achievable, over the whole run and in a class.
const REQUIRED_SHARE: f64 = 0.5;
/// Required share of what is achievable in a third of the run.
const REQUIRED_SHARE_OF_THIRD: f64 = 0.3;
/// Least share of the requests or of the weight with which a class has a floor.
const MIN_CLASS_SHARE: f64 = 0.05;
/// Least achievable share of the whole run with which classes have floors.
const MIN_ACHIEVABLE: f64 = 0.3;
/// Least number of requests with which there is a floor.
const MIN_REQUESTS: usize = 20;
/// Number of parts of the run with a floor of their own.
const THIRDS: usize = 3;

/// One floor of the service. Shares are of the priority weight, 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Floor {
    /// What the floor covers: `the day`, `third 1` and so on, or the name of a class.
    #[serde(rename = "of")]
    pub scope: String,
    /// Share that was served.
    pub served: f64,
    /// Share that was achievable.
    #[serde(rename = "can")]
    pub achievable: f64,
    /// Share that is required.
    #[serde(rename = "wants")]
    pub required: f64,
}

impl Floor {
    /// Returns whether less was served than required.
    pub fn is_missed(&self) -> bool {
        self.served < self.required
    }

    /// Formats the floor for readers.
    pub fn text(&self) -> String {
        let Self { scope, served, achievable, required } = self;
        format!(
            "{scope}: {served:.3} served of {achievable:.3} that can be had, and {required:.3} is wanted"
        )
    }
}

/// Computes the floors of a run.
pub(crate) fn of(case: &Case) -> Vec<Floor> {
    let all = client_requests(case);
    let is_counted = |a: &&ClientRequest| {
        !matches!(a.outcome, RequestOutcome::Unreachable | RequestOutcome::Abandoned)
    };
    let all: Vec<&ClientRequest> = all.iter().filter(is_counted).collect();
    let length = case.scenario.length.as_secs_f64();
    let third = |a: &ClientRequest| {
        let at = (a.due.as_secs_f64() / length * THIRDS as f64) as usize;
        at.min(THIRDS - 1)
    };
    let capacity = capacity(case);
    let mean = case.scenario.mean_work();
    let floor =
        |scope: String, requests: &[&ClientRequest], achievable: f64, required_share: f64| {
            let weights = requests.iter().map(|a| a.weights(case));
            let (earned, possible) = weights.fold((0.0, 0.0), |s, w| (s.0 + w.0, s.1 + w.1));
            let served = if possible > 0.0 { earned / possible } else { 1.0 };
            (requests.len() >= MIN_REQUESTS).then_some(Floor {
                scope,
                served,
                achievable,
                required: required_share * achievable,
            })
        };
    let achievable_of = |capacity: f64, requests: &[&ClientRequest]| {
        let work = requests.len() as f64 * mean;
        if work > 0.0 { (capacity / work).min(1.0) } else { 1.0 }
    };
    let overall = achievable_of(capacity.iter().sum(), &all);
    let mut floors = Vec::new();
    floors.extend(floor("the day".to_string(), &all, overall, REQUIRED_SHARE));
    for (t, third_capacity) in capacity.iter().enumerate() {
        let requests: Vec<&ClientRequest> = all.iter().copied().filter(|a| third(a) == t).collect();
        let achievable = achievable_of(*third_capacity, &requests);
        floors.extend(floor(
            format!("third {}", t + 1),
            &requests,
            achievable,
            REQUIRED_SHARE_OF_THIRD,
        ));
    }
    let weights =
        |requests: &[&ClientRequest]| requests.iter().map(|a| a.weights(case).1).sum::<f64>();
    for (c, class) in case.scenario.classes.iter().enumerate() {
        let requests: Vec<&ClientRequest> = all.iter().copied().filter(|a| a.class == c).collect();
        let request_share = requests.len() as f64 / all.len().max(1) as f64;
        let weight_share = weights(&requests) / weights(&all).max(1e-9);
        let counts = request_share >= MIN_CLASS_SHARE || weight_share >= MIN_CLASS_SHARE;
        if (counts || class.effect != Effect::Safe) && overall >= MIN_ACHIEVABLE {
            floors.extend(floor(class.name.clone(), &requests, overall, REQUIRED_SHARE));
        }
    }
    floors
}

/// Capacity of a node at a moment.
#[derive(Clone, Debug, Default)]
struct NodeCapacity {
    /// Work per millisecond of the warm node; 0 while it is down.
    full_speed: f64,
    /// Present share of that, by warm-up.
    share: f64,
    /// Number of active faults that silence the node.
    silent_faults: u32,
    /// Active faults that reduce the capacity, by index, with the share that is left.
    reductions: Vec<(usize, f64)>,
}

impl NodeCapacity {
    /// Returns the work per millisecond that the node can do now.
    fn now(&self) -> f64 {
        let remaining: f64 = self.reductions.iter().map(|(_, part)| part).product();
        if self.silent_faults > 0 { 0.0 } else { self.full_speed * self.share * remaining }
    }
}

/// Returns the work that all nodes together can do in each third, in milliseconds.
fn capacity(case: &Case) -> [f64; THIRDS] {
    let mut nodes = vec![NodeCapacity::default(); case.plan.machines.len()];
    let mut done = [0.0; THIRDS];
    // The thirds are counted from the first request.
    let first = case.trace.iter().find(|l| matches!(l.seen, Observation::Sent { .. }));
    let start_ms = first.map_or(0.0, |l| l.at.0 as f64 / 1e3);
    let third_ms = case.scenario.length.as_secs_f64() * 1e3 / THIRDS as f64;
    let mut integrated_until = 0.0;
    let mut advance = |now: f64, rate: f64| {
        for (t, done_in_third) in done.iter_mut().enumerate() {
            let (from, to) = (start_ms + third_ms * t as f64, start_ms + third_ms * (t + 1) as f64);
            *done_in_third += rate * (now.min(to) - f64::max(integrated_until, from)).max(0.0);
        }
        integrated_until = now;
    };
    for line in case.trace {
        let rate = |nodes: &[NodeCapacity]| nodes.iter().map(NodeCapacity::now).sum::<f64>();
        match &line.seen {
            Observation::Up { .. }
            | Observation::WarmUpProgress { .. }
            | Observation::Down { .. }
            | Observation::Fault { .. } => {
                advance(ms(line.at), rate(&nodes));
            }
            _ => continue,
        }
        match &line.seen {
            Observation::Up { node, full, cold_from, cold_ms } => {
                nodes[*node].full_speed = *full;
                nodes[*node].share = if *cold_ms > 0.0 { *cold_from } else { 1.0 };
            }
            Observation::WarmUpProgress { node, share } => nodes[*node].share = *share,
            Observation::Down { node } => nodes[*node].full_speed = 0.0,
            Observation::Fault { fault, begins } => {
                let Some(kind) = case.scenario.faults.get(*fault).map(|f| &f.kind) else {
                    continue;
                };
                let events = case
                    .plan
                    .fault_events
                    .iter()
                    .filter(|a| a.fault == *fault && a.begins == *begins);
                let affected: Vec<usize> = events.flat_map(|a| a.nodes.clone()).collect();
                for n in affected {
                    let node = &mut nodes[n];
                    let remaining = match kind {
                        FaultKind::Slow { factor } => 1.0 / factor,
                        FaultKind::Spoil { share } => 1.0 - share,
                        FaultKind::Vanish if *begins => {
                            node.silent_faults += 1;
                            continue;
                        }
                        FaultKind::Vanish => {
                            node.silent_faults = node.silent_faults.saturating_sub(1);
                            continue;
                        }
                        _ => continue,
                    };
                    node.reductions.retain(|(f, _)| f != fault);
                    if *begins {
                        node.reductions.push((*fault, remaining));
                    }
                }
            }
            _ => {}
        }
    }
    advance(f64::MAX, nodes.iter().map(NodeCapacity::now).sum());
    done
}

fn ms(at: At) -> f64 {
    at.0 as f64 / 1e3
}
