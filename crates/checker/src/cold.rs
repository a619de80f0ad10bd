//! Rule 4: what a cold node was sent by all balancers together, against the budget that the settings allow. With N
//! requests of the mean work in it, N + 2 x root of N + 2 are borne. What the node itself can do may be more, since it
//! warms with work too: nobody tells balancers of that.

use std::collections::VecDeque;

use rustc_hash::{FxHashMap, FxHashSet};

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, Line, Observation, Phase};
use hollowpaddle_scenario::scenario::{borne, pressing};

/// Of the work that pushed it over, so much must come from balancers that were told of its start.
const TOLD_SHARE: f64 = 2.0 / 3.0;
/// Rounding is no break, in requests.
const NOTHING: f64 = 1e-9;
/// A start and the list's word of it lie no further apart.
const SAME_START: u64 = 1000;

/// One cold start.
struct Start {
    at: At,
    until: At,
    full: f64,
    /// Who was told of it.
    told: FxHashSet<usize>,
    sent: VecDeque<(At, f64, bool)>,
    sum: f64,
    over: bool,
}

pub fn judge(case: &Case, findings: &mut Vec<Finding>) {
    let rules = &case.scenario.rules;
    let mean = case.scenario.mean_work();
    let (cold_from, cold) = case.scenario.told_of_cold();
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
                        told: FxHashSet::default(),
                        sent: VecDeque::new(),
                        sum: 0.0,
                        over: false,
                    },
                );
            }
            Observation::Down { node } => drop(starts.remove(node)),
            Observation::Told { balancer, node, phase: Phase::Serving, since, .. } => {
                if let Some(start) = starts.get_mut(node)
                    && since.0.abs_diff(start.at.0) <= SAME_START
                {
                    start.told.insert(*balancer);
                }
            }
            Observation::Attempt { node, balancer, dark: false, work_ms, .. } => {
                let Some(start) = starts.get_mut(node) else { continue };
                if line.at >= start.until {
                    continue;
                }
                let told = start.told.contains(balancer);
                start.sent.push_back((line.at, *work_ms, told));
                start.sum += work_ms;
                while let Some((at, work, _)) = start.sent.front().copied()
                    && at.0 + window < line.at.0
                {
                    start.sent.pop_front();
                    start.sum -= work;
                }
                let grown = line.at.ms_since(start.at) / (cold.as_secs_f64() * 1e3).max(1e-9);
                let share = cold_from + (1.0 - cold_from) * grown.min(1.0);
                let able = start.full * share * window as f64 / 1e3;
                let n = rules.fall_multiple * able / mean;
                let sent = pressing(start.sent.iter().map(|(_, w, _)| *w), mean) / mean;
                if start.over || sent <= borne(n) + NOTHING {
                    continue;
                }
                start.over = true;
                let known: f64 = start.sent.iter().filter(|(_, _, t)| *t).map(|(_, w, _)| w).sum();
                if known < TOLD_SHARE * start.sum {
                    continue;
                }
                let what = format!(
                    "node {node}, {:.1} s after its start, was sent {sent:.1} requests of the mean work in \
                     {:.1} s, and its budget is {n:.1}, so that it bears {:.1}; {:.1} came from balancers that knew",
                    line.at.ms_since(start.at) / 1e3,
                    rules.tip_after.as_secs_f64(),
                    borne(n),
                    known / mean
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

/// All that was seen of a node in that time.
fn history(trace: &[Line], node: usize, from: At, to: At) -> Vec<Line> {
    let of = |line: &&Line| {
        line.at >= from
            && line.at <= to
            && match &line.seen {
                Observation::Up { node: n, .. }
                | Observation::Warmth { node: n, .. }
                | Observation::Told { node: n, .. }
                | Observation::Attempt { node: n, .. } => *n == node,
                _ => false,
            }
    };
    trace.iter().filter(of).cloned().collect()
}
