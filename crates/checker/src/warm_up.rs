//! Rule 4: the work that all balancers together send to a node that is warming up, against the budget that the settings
//! allow. If the budget is N requests of the mean work, N + 2 x root of N + 2 are allowed. The node's actual capacity may
//! be larger, since completed work warms it, too; balancers are not notified of that.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, Line, Observation, Phase};
use hollowpaddle_scenario::scenario::{cold_node_limit, counted_work};

/// Least share of the work over the limit that must come from balancers that knew of the start.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Tolerance of rounding errors, in requests.
const ROUNDING: f64 = 1e-9;
/// Largest difference between the time of a start and that in the node list, in microseconds.
const SAME_START_US: u64 = 1000;

/// One cold start of a node.
struct Start {
    at: At,
    until: At,
    full: f64,
    /// Balancers that were notified of the start.
    informed: FxHashSet<usize>,
    /// Work of the attempts in the window: their time, their work, and whether their balancer knew of the start.
    sent: VecDeque<(At, f64, bool)>,
    sum: f64,
    is_over: bool,
}

/// Finds nodes that received more work than allowed while they were warming up.
pub fn check(case: &Case, findings: &mut Vec<Finding>) {
    let rules = &case.scenario.rules;
    let mean = case.scenario.mean_work();
    let (cold_from, cold) = case.scenario.advertised_warm_up();
    let window = micros(rules.tip_after);
    let mut starts: FxHashMap<usize, Start> = FxHashMap::default();
    for line in case.trace {
        match &line.seen {
            Observation::Up { node, full, cold_ms, .. } if *cold_ms > 0.0 => {
                let until = At(line.at.0 + (*cold_ms * 1e3) as u64);
                starts.insert(
                    *node,
                    Start {
                        at: line.at,
                        until,
                        full: *full,
                        informed: FxHashSet::default(),
                        sent: VecDeque::new(),
                        sum: 0.0,
                        is_over: false,
                    },
                );
            }
            Observation::Down { node } => drop(starts.remove(node)),
            Observation::ListUpdate { balancer, node, phase: Phase::Serving, since, .. } => {
                if let Some(start) = starts.get_mut(node)
                    && since.0.abs_diff(start.at.0) <= SAME_START_US
                {
                    start.informed.insert(*balancer);
                }
            }
            Observation::Attempt { node, balancer, dark: false, work_ms, .. } => {
                let Some(start) = starts.get_mut(node) else { continue };
                if line.at >= start.until {
                    continue;
                }
                let informed = start.informed.contains(balancer);
                start.sent.push_back((line.at, *work_ms, informed));
                start.sum += work_ms;
                while let Some((at, work, _)) = start.sent.front().copied()
                    && at.0 + window < line.at.0
                {
                    start.sent.pop_front();
                    start.sum -= work;
                }
                let progress = line.at.ms_since(start.at) / (cold.as_secs_f64() * 1e3).max(1e-9);
                let share = cold_from + (1.0 - cold_from) * progress.min(1.0);
                let capacity = start.full * share * window as f64 / 1e3;
                let n = rules.fall_multiple * capacity / mean;
                let sent = counted_work(start.sent.iter().map(|(_, w, _)| *w), mean) / mean;
                if start.is_over || sent <= cold_node_limit(n) + ROUNDING {
                    continue;
                }
                start.is_over = true;
                let informed_work: f64 =
                    start.sent.iter().filter(|(_, _, t)| *t).map(|(_, w, _)| w).sum();
                if informed_work < MIN_INFORMED_SHARE * start.sum {
                    continue;
                }
                let what = format!(
                    "node {node}, {:.1} s after its start, was sent {sent:.1} requests of the mean work in \
                     {:.1} s, and its budget is {n:.1}, so that it bears {:.1}; {:.1} came from balancers that knew",
                    line.at.ms_since(start.at) / 1e3,
                    rules.tip_after.as_secs_f64(),
                    cold_node_limit(n),
                    informed_work / mean
                );
                findings.push(Finding {
                    violation: Violation::PushedOver,
                    at: line.at,
                    balancer: None,
                    request: None,
                    what,
                    history: history(case.trace, *node, start.at, line.at),
                });
            }
            _ => {}
        }
    }
}

/// Returns the trace lines of a node between two times.
fn history(trace: &[Line], node: usize, from: At, to: At) -> Vec<Line> {
    let of = |line: &&Line| {
        line.at >= from
            && line.at <= to
            && match &line.seen {
                Observation::Up { node: n, .. }
                | Observation::WarmUpProgress { node: n, .. }
                | Observation::ListUpdate { node: n, .. }
                | Observation::Attempt { node: n, .. } => *n == node,
                _ => false,
            }
    };
    trace.iter().filter(of).cloned().collect()
}
