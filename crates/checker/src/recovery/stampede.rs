//! Stampede: how much came in the worst second, over all balancers and for the busiest upstream, against the 99th
//! percentile of the twin's seconds.

use hdrhistogram::Histogram;
use hollowpaddle_scenario::record::Observation;
use rustc_hash::FxHashMap;
use serde::Serialize;

use super::{Run, STEP_S, is_load};

/// Steps of a second.
const STEPS_PER_SECOND: usize = 10;
/// What there may be least of in the twin: nothing is no measure.
const MIN_CONTROL: u64 = 1;

/// The worst second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Peak {
    /// So many in it.
    pub peak: u64,
    /// When it began, in seconds from the first client.
    pub at_s: f64,
    /// The 99th percentile of the twin's seconds.
    #[serde(rename = "twin")]
    pub control_run: u64,
    /// One over the other, 1 for a twin that had none.
    pub times: f64,
}

/// One kind of thing that can come all at once.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stampede {
    /// `connects`, `list-calls`, `attempts` or `datagrams`.
    #[serde(rename = "what")]
    pub kind: &'static str,
    /// Over all balancers.
    pub all: Peak,
    /// For the upstream that had most of it in a second, where it goes to upstreams.
    pub busiest: Option<Peak>,
    /// How many over all in each second, one second each [`super::RecoveryReport::step_s`].
    pub over_time: Vec<u64>,
}

const EVENT_KINDS: [&str; 4] = ["connects", "list-calls", "attempts", "datagrams"];

/// What kind a line is of, and of which upstream.
fn kind(seen: &Observation) -> Option<(usize, Option<usize>)> {
    match seen {
        Observation::Connected { node, .. } => Some((0, Some(*node))),
        Observation::ListCall { .. } => Some((1, None)),
        Observation::Attempt { node, .. } => Some((2, Some(*node))),
        Observation::Datagram { .. } => Some((3, None)),
        _ => None,
    }
}

/// Counts by step: over all, and by upstream.
#[derive(Clone, Default)]
struct Steps {
    all: Vec<u64>,
    by_node: FxHashMap<usize, Vec<u64>>,
}

/// Counts of each second that begins at a step.
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

/// Counts of a run, from the first client on.
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

/// Of each second, the most that any upstream had.
fn busiest(steps: &Steps) -> Vec<u64> {
    let mut most = vec![0; seconds(&steps.all).len()];
    for node in steps.by_node.values() {
        for (most, count) in most.iter_mut().zip(seconds(node)) {
            *most = count.max(*most);
        }
    }
    most
}

/// The worst second from a step on. Before the first fault a run is its twin, and both begin as a fresh bank does.
fn peak(run_counts: &[u64], control_run: &[u64], from: usize) -> Peak {
    let seconds = run_counts.iter().enumerate().skip(from);
    let (at, peak) = seconds.max_by_key(|(i, n)| (**n, usize::MAX - i)).unwrap_or((from, &0));
    // Three figures of a count are always to be had.
    let mut histogram = Histogram::<u64>::new(3).ok();
    if let Some(h) = &mut histogram {
        control_run.iter().skip(from).for_each(|n| h.saturating_record(*n));
    }
    let control_p99 = histogram.map_or(0, |h| h.value_at_quantile(0.99));
    Peak {
        peak: *peak,
        at_s: at as f64 * STEP_S,
        control_run: control_p99,
        times: *peak as f64 / control_p99.max(MIN_CONTROL) as f64,
    }
}

/// All kinds.
pub(super) fn measure(run: &Run, control_run: &Run) -> Vec<Stampede> {
    let (run_counts, control_counts) = (count(run), count(control_run));
    let faults = run.case.scenario.faults.iter().filter(|f| !is_load(&f.kind));
    let first = faults.map(|f| f.start.as_secs_f64()).fold(f64::INFINITY, f64::min);
    // A second that is cut by the first fault's beginning is one of its seconds.
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
