//! Recovery of a cluster from faults, compared with a control run of the same plan without faults. Computed from the
//! observations of the stand-ins, as the rules are.
//!
//! - **Time to full service** ([`Episode`]): time from the restart of the last affected member until the service equals
//!   that of the control run.
//! - **Stampede** ([`Stampede`]): number of events in the worst second, against the 99th percentile of the seconds of the
//!   control run.
//! - **Contention** ([`Contention`]): rejections while a node that could have taken the request was idle.
//! - **Stale sends** ([`StaleReport`]): sends to nodes that were known to take nothing new, with the age of that knowledge.

mod contention;
mod expectations;
mod full_service;
mod stale_sends;
mod stampede;

use hollowpaddle_scenario::record::{At, CompletedRun};
use hollowpaddle_scenario::scenario::FaultKind;
use serde::Serialize;

use crate::Case;

pub use contention::Contention;
pub use full_service::Episode;
pub use stale_sends::{StaleReport, StaleSends};
pub use stampede::{Peak, Stampede};

/// Step of the series over time, in seconds.
const STEP_S: f64 = 0.1;

/// Recovery of a cluster from the faults of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RecoveryReport {
    /// Service of the whole control run, 0 to 1.
    #[serde(rename = "twin_service")]
    pub control_service: f64,
    /// Episodes, each of which joins faults that overlap, in order of time.
    pub episodes: Vec<Episode>,
    /// Worst second of each kind of event.
    pub stampede: Vec<Stampede>,
    /// Rejections beside idle nodes in the run.
    #[serde(rename = "crowd")]
    pub contention: Contention,
    /// Rejections beside idle nodes in the control run.
    #[serde(rename = "twin_crowd")]
    pub control_contention: Contention,
    /// Sends to nodes that were known to take nothing new.
    pub stale: StaleReport,
    /// Service of the run over time, in windows of 1 s, one for each [`RecoveryReport::step_s`].
    pub service: Vec<Option<f64>>,
    /// Service of the control run over time, in the same windows.
    #[serde(rename = "service_of_twin")]
    pub service_of_control: Vec<Option<f64>>,
    /// Seconds from one window to the next.
    pub step_s: f64,
    /// Messages about missed expectations, each with the shortfall.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
}

/// One run, whose times are counted from the first client.
struct Run<'a> {
    case: Case<'a>,
    began: At,
}

impl<'a> Run<'a> {
    fn of(played: &'a CompletedRun) -> Self {
        let (scenario, plan) = (&played.scenario, &played.plan);
        Self { case: Case { scenario, plan, trace: &played.trace, slack: 0 }, began: played.began }
    }

    /// Returns the seconds from the first client; negative before it.
    fn seconds(&self, at: At) -> f64 {
        (at.0 as f64 - self.began.0 as f64) / 1e6
    }
}

/// Compares a run with its control run. `overall_service` is the service of the whole run.
pub fn compare_with_control(
    played: &CompletedRun,
    control_run: &CompletedRun,
    overall_service: f64,
    control_service: f64,
) -> RecoveryReport {
    let (run, control) = (Run::of(played), Run::of(control_run));
    let (run_series, control_series) =
        (full_service::Series::of(&run), full_service::Series::of(&control));
    let mut report = RecoveryReport {
        control_service,
        episodes: full_service::episodes(&run, &run_series, &control_series),
        stampede: stampede::measure(&run, &control),
        contention: contention::of(&run),
        control_contention: contention::of(&control),
        stale: stale_sends::of(&run),
        service: run_series.over_time(),
        service_of_control: control_series.over_time(),
        step_s: STEP_S,
        missed_expectations: Vec::new(),
    };
    report.missed_expectations =
        expectations::missed_expectations(&played.scenario.expect, &report, overall_service);
    report
}

/// Returns whether a fault is part of the arrivals, so that the control run has it, too.
fn is_load(kind: &FaultKind) -> bool {
    matches!(kind, FaultKind::Burst { .. } | FaultKind::Heavy { .. })
}
