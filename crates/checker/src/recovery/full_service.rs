//! Time to full service: from the moment at which the last affected member is up again until the service equals that of the
//! control run for 3 s, as a whole and in every class.
//!
//! Each window of 1 s, of which ten begin every second, may lie 0.02 below that of the control run, or three standard errors
//! of the difference if these are more: with few requests in a window the random error alone exceeds 0.02. The same limit
//! holds for the 3 s as a whole, where the random error is smaller. Faults that overlap form one episode, whose time counts
//! from the end of the last fault.

use serde::Serialize;

use hollowpaddle_scenario::plan::FaultEvent;
use hollowpaddle_scenario::record::Observation;
use hollowpaddle_scenario::scenario::FaultKind;

use super::{Run, STEP_S, is_load};
use crate::service::client_requests;

/// Difference from the service of the control run up to which service counts as full.
const MAX_SHORTFALL: f64 = 0.02;
/// Difference that counts as random, in standard errors.
const MAX_STANDARD_ERRORS: f64 = 3.0;
/// Length of a window, in steps.
const WINDOW_STEPS: usize = 10;
/// Time for which service has to be full, in steps.
const FULL_STEPS: usize = 30;

/// Faults that overlap, and the recovery from them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Episode {
    /// Kinds of the faults, in the order of the scenario.
    pub faults: Vec<String>,
    /// Begin of the first fault, in seconds from the first client.
    pub from_s: f64,
    /// Time at which the last affected member was up again, in seconds from the first client; `None` if one never was.
    pub up_s: Option<f64>,
    /// Time from `up_s` until full service, in seconds; `None` if service did not become full.
    pub full_service_s: Option<f64>,
    /// Time from `up_s` in which full service could be found, in seconds: until 3 s before the next fault or the end of the
    /// run, since service has to be full for 3 s.
    pub watched_s: f64,
    /// Service in the window of 1 s, from the begin of the first fault, that lies furthest below the control run.
    pub lowest: f64,
    /// Service of the control run in the same window.
    #[serde(rename = "lowest_of_twin")]
    pub lowest_of_control: f64,
    /// Weight that the control run served and the run did not, from the begin of the first fault, in seconds of full load.
    pub lost_s: f64,
}

/// Sums of weights: earned, possible, and squares of the possible ones.
#[derive(Clone, Copy, Debug, Default)]
struct Weights {
    earned: f64,
    possible: f64,
    squares: f64,
}

impl Weights {
    /// Returns the service; `None` without requests.
    fn ratio(self) -> Option<f64> {
        (self.possible > 0.0).then(|| self.earned / self.possible)
    }
}

/// Prefix sums of weights by step: first of all classes together, then of each class.
pub(super) struct Series(Vec<Vec<Weights>>);

impl Series {
    pub(super) fn of(run: &Run) -> Self {
        let steps = (run.case.scenario.length.as_secs_f64() / STEP_S).ceil() as usize;
        let classes = run.case.scenario.classes.len();
        let mut all = vec![vec![Weights::default(); steps + 1]; classes + 1];
        for request in client_requests(&run.case) {
            let (earned, possible) = request.weights(&run.case);
            let step = ((request.due.as_secs_f64() / STEP_S) as usize).min(steps - 1);
            for series in [0, request.class + 1] {
                let weights = &mut all[series][step + 1];
                weights.earned += earned;
                weights.possible += possible;
                weights.squares += possible * possible;
            }
        }
        for series in &mut all {
            for i in 1..series.len() {
                let before = series[i - 1];
                let weights = &mut series[i];
                weights.earned += before.earned;
                weights.possible += before.possible;
                weights.squares += before.squares;
            }
        }
        Self(all)
    }

    fn steps(&self) -> usize {
        self.0[0].len() - 1
    }

    /// Returns the sums over some steps of a series.
    fn sum(&self, series: usize, from: usize, steps: usize) -> Weights {
        let (a, b) = (self.0[series][from], self.0[series][(from + steps).min(self.steps())]);
        Weights {
            earned: b.earned - a.earned,
            possible: b.possible - a.possible,
            squares: b.squares - a.squares,
        }
    }

    /// Returns the service in windows of 1 s, one for each step.
    pub(super) fn over_time(&self) -> Vec<Option<f64>> {
        let windows = self.steps().saturating_sub(WINDOW_STEPS) + 1;
        (0..windows).map(|from| self.sum(0, from, WINDOW_STEPS).ratio()).collect()
    }

    /// Returns whether the service of some steps was below that of the control run.
    fn is_short(&self, control_run: &Self, series: usize, from: usize, steps: usize) -> bool {
        let (run_service, control) =
            (self.sum(series, from, steps), control_run.sum(series, from, steps));
        let (Some(p), Some(q)) = (run_service.ratio(), control.ratio()) else { return false };
        let variance = |p: f64, weights: Weights| {
            p * (1.0 - p) * weights.squares / (weights.possible * weights.possible)
        };
        let error = (variance(p, run_service) + variance(q, control)).sqrt();
        q - p > MAX_SHORTFALL.max(MAX_STANDARD_ERRORS * error)
    }

    /// Returns whether service was full for 3 s from a step.
    fn is_full(&self, control_run: &Self, from: usize) -> bool {
        (0..self.0.len()).all(|series| {
            let windows = from..=from + FULL_STEPS - WINDOW_STEPS;
            windows.into_iter().all(|at| !self.is_short(control_run, series, at, WINDOW_STEPS))
                && !self.is_short(control_run, series, from, FULL_STEPS)
        })
    }
}

/// Begin of a fault, and the time at which the last affected member was up again, in seconds.
struct Span {
    fault: usize,
    from: f64,
    up: Option<f64>,
}

/// Returns the span of each fault, in order of time.
fn spans(run: &Run) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for (fault, f) in run.case.scenario.faults.iter().enumerate() {
        if is_load(&f.kind) {
            continue;
        }
        let events: Vec<&FaultEvent> =
            run.case.plan.fault_events.iter().filter(|a| a.fault == fault).collect();
        let Some(from) = events.first().map(|a| a.at.as_secs_f64()) else { continue };
        let end = if f.kind.is_instant() { Some(from) } else { None };
        let end = end.or(events.last().map(|a| a.at.as_secs_f64())).unwrap_or(from);
        let up = match f.kind {
            FaultKind::BalancerKill { .. } | FaultKind::BalancerRestart { .. } => {
                let last = |b: &usize| events.iter().rev().find(|a| a.balancers.contains(b));
                let mut affected: Vec<usize> =
                    events.iter().flat_map(|a| a.balancers.clone()).collect();
                affected.sort_unstable();
                affected.dedup();
                let up = |b: &usize| ready(run, *b, last(b).map_or(end, |a| a.at.as_secs_f64()));
                affected.iter().map(up).try_fold(end, |max, up| up.map(|up| max.max(up)))
            }
            _ => Some(end),
        };
        spans.push(Span { fault, from, up });
    }
    spans.sort_by(|a, b| a.from.total_cmp(&b.from));
    spans
}

/// Returns the time at which a balancer first became ready after a time.
fn ready(run: &Run, balancer: usize, after: f64) -> Option<f64> {
    let at = |l: &hollowpaddle_scenario::record::Line| match l.seen {
        Observation::Ready { balancer: b, .. } if b == balancer => Some(run.seconds(l.at)),
        _ => None,
    };
    run.case.trace.iter().filter_map(at).find(|at| *at >= after)
}

/// Returns the episodes of a run.
pub(super) fn episodes(run: &Run, run_service: &Series, control_run: &Series) -> Vec<Episode> {
    let mut groups: Vec<Vec<Span>> = Vec::new();
    for span in spans(run) {
        let open = groups
            .last_mut()
            .filter(|group| group.iter().any(|s| s.up.is_none_or(|up| span.from <= up)));
        match open {
            Some(group) => group.push(span),
            None => groups.push(vec![span]),
        }
    }
    let length = run.case.scenario.length.as_secs_f64();
    let starts: Vec<f64> = groups.iter().map(|g| g[0].from).collect();
    groups
        .iter()
        .enumerate()
        .map(|(n, group)| {
            let until = starts.get(n + 1).copied().unwrap_or(length).min(length);
            episode(run, run_service, control_run, group, until)
        })
        .collect()
}

/// Computes the recovery from the faults of one episode, which ends at `until`.
fn episode(
    run: &Run,
    run_service: &Series,
    control_run: &Series,
    group: &[Span],
    until: f64,
) -> Episode {
    let step = |s: f64| ((s / STEP_S).ceil().max(0.0) as usize).min(run_service.steps());
    let name = |s: &Span| run.case.scenario.faults[s.fault].kind.name().to_string();
    let mut faults: Vec<(usize, String)> = group.iter().map(|s| (s.fault, name(s))).collect();
    faults.sort();
    let from_s = group[0].from;
    let up_s = group.iter().try_fold(from_s, |max, s| s.up.map(|up| max.max(up)));
    let last = step(until).saturating_sub(FULL_STEPS);
    let full = up_s.and_then(|up| {
        let full = (step(up)..=last).find(|at| run_service.is_full(control_run, *at))?;
        Some((full as f64 * STEP_S - up).max(0.0))
    });
    let windows = step(from_s)..=step(until).saturating_sub(WINDOW_STEPS);
    let lowest = windows
        .filter_map(|at| {
            let (run_service, control_run) =
                (run_service.sum(0, at, WINDOW_STEPS), control_run.sum(0, at, WINDOW_STEPS));
            Some((run_service.ratio()?, control_run.ratio()?))
        })
        .min_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)));
    let (lowest, lowest_of_control) = lowest.unwrap_or((1.0, 1.0));
    let steps = step(until).saturating_sub(step(from_s));
    let (earned, control_total) =
        (run_service.sum(0, step(from_s), steps), control_run.sum(0, step(from_s), steps));
    let possible_per_second = control_total.possible / (steps as f64 * STEP_S).max(STEP_S);
    Episode {
        faults: faults.into_iter().map(|(_, name)| name).collect(),
        from_s,
        up_s,
        full_service_s: full,
        watched_s: up_s.map_or(0.0, |up| (last as f64 * STEP_S - up).max(0.0)),
        lowest,
        lowest_of_control,
        lost_s: if possible_per_second > 0.0 {
            (control_total.earned - earned.earned) / possible_per_second
        } else {
            0.0
        },
    }
}
