//! Time to full service: from the instant at which the last one struck was up again until, for 3 s, service was what it
//! is in the twin: as a whole and in every class.
//!
//! Windows of 1 s, ten a second, may each lie 0.02 below the twin's, or as far as three standard errors of the
//! difference, where those are more: with a few requests a window chance alone is worth more than 0.02. The 3 s as a
//! whole are held to the same, where chance weighs less. Faults that overlap are one episode: the time belongs to all
//! of them together, and counts from the last one's end.

use serde::Serialize;

use hollowpaddle_scenario::plan::Act;
use hollowpaddle_scenario::record::Observation;
use hollowpaddle_scenario::scenario::FaultKind;

use super::{Run, STEP_S, is_load};
use crate::service::asked;

/// How far below its twin service may be and still be full.
const WITHIN: f64 = 0.02;
/// Standard errors that chance may take it further.
const ERRORS: f64 = 3.0;
/// Steps of a window, and of the stretch over which all windows have to be well.
const WINDOW: usize = 10;
const STRETCH: usize = 30;

/// Faults that overlap, and what came of them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Episode {
    /// Their kinds, in the order of the scenario.
    pub faults: Vec<String>,
    /// When the first began, in seconds from the first client.
    pub from_s: f64,
    /// When the last one struck was up again.
    pub up_s: Option<f64>,
    /// From then until full service, in seconds; `None` if that was not seen.
    pub full_service_s: Option<f64>,
    /// So long it was looked for: to the next fault, or to the end of the run, less the 3 s that it takes to tell.
    pub watched_s: f64,
    /// The lowest service in windows of 1 s from the first fault's beginning on, and the twin's in that window.
    pub lowest: f64,
    /// See `lowest`.
    #[serde(rename = "lowest_of_twin")]
    pub lowest_of_control: f64,
    /// Worth that the twin served and the run did not, from the first fault's beginning on, in seconds of full load.
    pub lost_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    got: f64,
    asked: f64,
    squares: f64,
}

impl Cell {
    fn ratio(self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.got / self.asked)
    }
}

/// Worth asked and served by step: prefix sums, for the whole first and then for each class.
pub(super) struct Series(Vec<Vec<Cell>>);

impl Series {
    pub(super) fn of(run: &Run) -> Self {
        let steps = (run.case.scenario.length.as_secs_f64() / STEP_S).ceil() as usize;
        let classes = run.case.scenario.classes.len();
        let mut all = vec![vec![Cell::default(); steps + 1]; classes + 1];
        for one in asked(&run.case) {
            let (got, wanted) = one.worth(&run.case);
            let step = ((one.due.as_secs_f64() / STEP_S) as usize).min(steps - 1);
            for series in [0, one.class + 1] {
                let cell = &mut all[series][step + 1];
                cell.got += got;
                cell.asked += wanted;
                cell.squares += wanted * wanted;
            }
        }
        for series in &mut all {
            for i in 1..series.len() {
                let before = series[i - 1];
                let cell = &mut series[i];
                cell.got += before.got;
                cell.asked += before.asked;
                cell.squares += before.squares;
            }
        }
        Self(all)
    }

    fn steps(&self) -> usize {
        self.0[0].len() - 1
    }

    fn sum(&self, series: usize, from: usize, steps: usize) -> Cell {
        let (a, b) = (self.0[series][from], self.0[series][(from + steps).min(self.steps())]);
        Cell { got: b.got - a.got, asked: b.asked - a.asked, squares: b.squares - a.squares }
    }

    /// Service in windows of 1 s, one a step.
    pub(super) fn over_time(&self) -> Vec<Option<f64>> {
        let windows = self.steps().saturating_sub(WINDOW) + 1;
        (0..windows).map(|from| self.sum(0, from, WINDOW).ratio()).collect()
    }

    /// Whether service was not what it is in the twin.
    fn is_short(&self, control_run: &Self, series: usize, from: usize, steps: usize) -> bool {
        let (here, there) = (self.sum(series, from, steps), control_run.sum(series, from, steps));
        let (Some(p), Some(q)) = (here.ratio(), there.ratio()) else { return false };
        let chance = |p: f64, cell: Cell| p * (1.0 - p) * cell.squares / (cell.asked * cell.asked);
        let error = (chance(p, here) + chance(q, there)).sqrt();
        q - p > WITHIN.max(ERRORS * error)
    }

    /// Whether from a step on, for 3 s, service was full.
    fn is_full(&self, control_run: &Self, from: usize) -> bool {
        (0..self.0.len()).all(|series| {
            let windows = from..=from + STRETCH - WINDOW;
            windows.into_iter().all(|at| !self.is_short(control_run, series, at, WINDOW))
                && !self.is_short(control_run, series, from, STRETCH)
        })
    }
}

/// A fault's beginning, and when the last one it struck was up again.
struct Span {
    fault: usize,
    from: f64,
    up: Option<f64>,
}

/// From when to when each fault lasted.
fn spans(run: &Run) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for (fault, f) in run.case.scenario.faults.iter().enumerate() {
        if is_load(&f.kind) {
            continue;
        }
        let acts: Vec<&Act> = run.case.plan.acts.iter().filter(|a| a.fault == fault).collect();
        let Some(from) = acts.first().map(|a| a.at.as_secs_f64()) else { continue };
        let end = if f.kind.is_instant() { Some(from) } else { None };
        let end = end.or(acts.last().map(|a| a.at.as_secs_f64())).unwrap_or(from);
        let up = match f.kind {
            FaultKind::BalancerKill { .. } | FaultKind::BalancerRestart { .. } => {
                let last = |b: &usize| acts.iter().rev().find(|a| a.balancers.contains(b));
                let mut struck: Vec<usize> =
                    acts.iter().flat_map(|a| a.balancers.clone()).collect();
                struck.sort_unstable();
                struck.dedup();
                let up = |b: &usize| ready(run, *b, last(b).map_or(end, |a| a.at.as_secs_f64()));
                struck.iter().map(up).try_fold(end, |max, up| up.map(|up| max.max(up)))
            }
            _ => Some(end),
        };
        spans.push(Span { fault, from, up });
    }
    spans.sort_by(|a, b| a.from.total_cmp(&b.from));
    spans
}

/// When a balancer was first ready after a time.
fn ready(run: &Run, balancer: usize, after: f64) -> Option<f64> {
    let at = |l: &hollowpaddle_scenario::record::Line| match l.seen {
        Observation::Ready { balancer: b, .. } if b == balancer => Some(run.seconds(l.at)),
        _ => None,
    };
    run.case.trace.iter().filter_map(at).find(|at| *at >= after)
}

/// Faults that overlap, together.
pub(super) fn episodes(run: &Run, here: &Series, control_run: &Series) -> Vec<Episode> {
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
            episode(run, here, control_run, group, until)
        })
        .collect()
}

fn episode(run: &Run, here: &Series, control_run: &Series, group: &[Span], until: f64) -> Episode {
    let step = |s: f64| ((s / STEP_S).ceil().max(0.0) as usize).min(here.steps());
    let name = |s: &Span| run.case.scenario.faults[s.fault].kind.name().to_string();
    let mut faults: Vec<(usize, String)> = group.iter().map(|s| (s.fault, name(s))).collect();
    faults.sort();
    let from_s = group[0].from;
    let up_s = group.iter().try_fold(from_s, |max, s| s.up.map(|up| max.max(up)));
    let last = step(until).saturating_sub(STRETCH);
    let full = up_s.and_then(|up| {
        let full = (step(up)..=last).find(|at| here.is_full(control_run, *at))?;
        Some((full as f64 * STEP_S - up).max(0.0))
    });
    let windows = step(from_s)..=step(until).saturating_sub(WINDOW);
    let lowest = windows
        .filter_map(|at| {
            let (here, control_run) = (here.sum(0, at, WINDOW), control_run.sum(0, at, WINDOW));
            Some((here.ratio()?, control_run.ratio()?))
        })
        .min_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)));
    let (lowest, lowest_of_control) = lowest.unwrap_or((1.0, 1.0));
    let steps = step(until).saturating_sub(step(from_s));
    let (got, would) = (here.sum(0, step(from_s), steps), control_run.sum(0, step(from_s), steps));
    let a_second = would.asked / (steps as f64 * STEP_S).max(STEP_S);
    Episode {
        faults: faults.into_iter().map(|(_, name)| name).collect(),
        from_s,
        up_s,
        full_service_s: full,
        watched_s: up_s.map_or(0.0, |up| (last as f64 * STEP_S - up).max(0.0)),
        lowest,
        lowest_of_control,
        lost_s: if a_second > 0.0 { (would.got - got.got) / a_second } else { 0.0 },
    }
}
