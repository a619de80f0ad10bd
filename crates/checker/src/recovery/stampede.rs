//! Stampede: number of events in the worst second, over all balancers and for the busiest upstream, against the 99th
//! percentile of the seconds of the control run.

use hdrhistogram::Histogram;
use hollowpaddle_scenario::record::Observation;
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::{Run, STEP_S, is_load};

/// Number of steps of a second.
const STEPS_PER_SECOND: usize = 10;
/// Least number for the control run in a ratio, which avoids a division by zero.
const MIN_CONTROL: u64 = 1;

/// The worst second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Peak {
    /// Number of events in that second.
    pub peak: u64,
    /// Begin of that second, in seconds from the first client.
    pub at_s: f64,
    /// 99th percentile of the seconds of the control run.
    #[serde(rename = "twin")]
    pub control_p99: u64,
    /// Ratio of `peak` to `control_p99`, where a `control_p99` of 0 counts as 1.
    pub times: f64,
}

/// Worst second of one kind of event.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stampede {
    /// `connects`, `list-calls`, `attempts` or `datagrams`.
    #[serde(rename = "what")]
    pub kind: &'static str,
    /// Over all balancers.
    pub all: Peak,
    /// For the busiest upstream of that second, for events at upstreams.
    pub busiest: Option<Peak>,
    /// Number of events over all balancers in each second, one for each [`super::RecoveryReport::step_s`].
    pub over_time: Vec<u64>,
}

/// Names of the kinds of events.
const EVENT_KINDS: [&str; 4] = ["connects", "list-calls", "attempts", "datagrams"];

/// Returns the kind of an event, as an index into [`EVENT_KINDS`], and its upstream.
fn kind(seen: &Observation) -> Option<(usize, Option<usize>)> {
    match seen {
        Observation::Connected { node, .. } => Some((0, Some(*node))),
        Observation::ListCall { .. } => Some((1, None)),
        Observation::Attempt { node, .. } => Some((2, Some(*node))),
        Observation::Datagram { .. } => Some((3, None)),
        _ => None,
    }
}

/// Numbers of events by step: over all, and by upstream.
#[derive(Clone, Default)]
struct Steps {
    all: Vec<u64>,
    by_node: FxHashMap<usize, Vec<u64>>,
}

/// Returns the number of events in each second that begins at a step.
fn seconds(steps: &[u64]) -> Vec<u64> {
    let windows = steps.len().saturating_sub(STEPS_PER_SECOND) + 1;
    let mut sum: u64 = steps.iter().take(STEPS_PER_SECOND).sum();
    let mut all = Vec::with_capacity(windows);
    for from in 0..windows {
        all.push(sum);
        sum -= steps.get(from).copied().unwrap_or(0);
        sum += steps.get(from + STEPS_PER_SECOND).copied().unwrap_or(0);
    }
    all
}

/// Counts the events of a run from the first client, by kind.
fn count(run: &Run) -> Vec<Steps> {
    let steps = (run.case.scenario.length.as_secs_f64() / STEP_S).ceil() as usize;
    let empty = Steps { all: vec![0; steps], by_node: FxHashMap::default() };
    let mut counts = vec![empty; EVENT_KINDS.len()];
    for line in run.case.trace {
        let Some((kind, node)) = kind(&line.seen) else { continue };
        let at = run.seconds(line.at) / STEP_S;
        if at < 0.0 || at as usize >= steps {
            continue;
        }
        counts[kind].all[at as usize] += 1;
        if let Some(node) = node {
            counts[kind].by_node.entry(node).or_insert_with(|| vec![0; steps])[at as usize] += 1;
        }
    }
    counts
}

/// Returns the largest number of events of any upstream in each second.
fn busiest(steps: &Steps) -> Vec<u64> {
    let mut most = vec![0; seconds(&steps.all).len()];
    for node in steps.by_node.values() {
        for (most, count) in most.iter_mut().zip(seconds(node)) {
            *most = count.max(*most);
        }
    }
    most
}

/// Returns the worst second from a step on. Seconds before the first fault are left out: until then the run equals its
/// control run, and both begin with the start of the cluster.
fn peak(run_counts: &[u64], control_run: &[u64], from: usize) -> Peak {
    let seconds = run_counts.iter().enumerate().skip(from);
    let (at, peak) = seconds.max_by_key(|(i, n)| (**n, usize::MAX - i)).unwrap_or((from, &0));
    // A histogram with three significant digits can always be created.
    let mut histogram = Histogram::<u64>::new(3).ok();
    if let Some(h) = &mut histogram {
        control_run.iter().skip(from).for_each(|n| h.saturating_record(*n));
    }
    let control_p99 = histogram.map_or(0, |h| h.value_at_quantile(0.99));
    Peak {
        peak: *peak,
        at_s: at as f64 * STEP_S,
        control_p99,
        times: *peak as f64 / control_p99.max(MIN_CONTROL) as f64,
    }
}

/// Returns the worst second of each kind of event.
pub(super) fn measure(run: &Run, control_run: &Run) -> Vec<Stampede> {
    let (run_counts, control_counts) = (count(run), count(control_run));
    let faults = run.case.scenario.faults.iter().filter(|f| !is_load(&f.kind));
    let first = faults.map(|f| f.start.as_secs_f64()).fold(f64::INFINITY, f64::min);
    // A second in which the first fault begins counts as one after its begin.
    let from = if first.is_finite() {
        ((first / STEP_S) as usize + 1).saturating_sub(STEPS_PER_SECOND)
    } else {
        0
    };
    let stampede = |(n, kind): (usize, &&'static str)| Stampede {
        kind,
        all: peak(&seconds(&run_counts[n].all), &seconds(&control_counts[n].all), from),
        busiest: (!run_counts[n].by_node.is_empty())
            .then(|| peak(&busiest(&run_counts[n]), &busiest(&control_counts[n]), from)),
        over_time: seconds(&run_counts[n].all),
    };
    EVENT_KINDS.iter().enumerate().map(stampede).collect()
}
