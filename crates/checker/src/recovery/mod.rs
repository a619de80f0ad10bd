//! How a bank came through what broke it, against its *twin*: the same plan without the faults. Reckoned from what the
//! stand-ins saw, as the rules are.
//!
//! - **Time to full service** ([`Episode`]): how long after the last one struck was up again service was what it is
//!   in the twin.
//! - **Stampede** ([`Stampede`]): what came all at once, against the twin's 99th percentile of a second.
//! - **Crowd** ([`Contention`]): refusals while a node that could have taken the request stood idle.
//! - **Stale** ([`Stale`]): decisions on what had been told to be otherwise, with its age.

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

/// Points of the lines over time: one each so long, in seconds.
const STEP_S: f64 = 0.1;

/// How a bank came through its faults.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RecoveryReport {
    /// Service of the twin's whole run, 0 to 1.
    #[serde(rename = "twin_service")]
    pub control_service: f64,
    /// Faults that overlap, together; in order of time.
    pub episodes: Vec<Episode>,
    /// What came at once, by kind.
    pub stampede: Vec<Stampede>,
    /// Refusals beside idle nodes: of the run, and of its twin.
    #[serde(rename = "crowd")]
    pub contention: Contention,
    /// See `contention`.
    #[serde(rename = "twin_crowd")]
    pub control_contention: Contention,
    /// Decisions on old knowledge.
    pub stale: StaleReport,
    /// Service over time, in windows of 1 s, one each [`RecoveryReport::step_s`]: run and twin.
    pub service: Vec<Option<f64>>,
    /// See `service`.
    #[serde(rename = "service_of_twin")]
    pub service_of_control: Vec<Option<f64>>,
    /// Seconds from one window to the next.
    pub step_s: f64,
    /// What the scenario expects and the run did not show, in words, by how much.
    #[serde(rename = "missed")]
    pub missed_expectations: Vec<String>,
}

/// One run, with its times counted from the first client on.
struct Run<'a> {
    case: Case<'a>,
    began: At,
}

impl<'a> Run<'a> {
    fn of(played: &'a CompletedRun) -> Self {
        let (scenario, plan) = (&played.scenario, &played.plan);
        Self { case: Case { scenario, plan, trace: &played.trace, slack: 0 }, began: played.began }
    }

    /// Seconds from the first client; below 0 before that.
    fn seconds(&self, at: At) -> f64 {
        (at.0 as f64 - self.began.0 as f64) / 1e6
    }
}

/// Reckons it. `overall_service` is the run's service as a whole.
pub fn compare_with_control(
    played: &CompletedRun,
    control_run: &CompletedRun,
    overall_service: f64,
    control_service: f64,
) -> RecoveryReport {
    let (run, control) = (Run::of(played), Run::of(control_run));
    let (here, there) = (full_service::Series::of(&run), full_service::Series::of(&control));
    let mut report = RecoveryReport {
        control_service,
        episodes: full_service::episodes(&run, &here, &there),
        stampede: stampede::measure(&run, &control),
        contention: contention::of(&run),
        control_contention: contention::of(&control),
        stale: stale_sends::of(&run),
        service: here.over_time(),
        service_of_control: there.over_time(),
        step_s: STEP_S,
        missed_expectations: Vec::new(),
    };
    report.missed_expectations =
        expectations::missed_expectations(&played.scenario.expect, &report, overall_service);
    report
}

/// Whether a fault is one that its twin has as well: it is drawn into the arrivals.
fn is_load(kind: &FaultKind) -> bool {
    matches!(kind, FaultKind::Burst { .. } | FaultKind::Heavy { .. })
}
