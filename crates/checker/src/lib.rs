//! The four rules, held against the account of a run. Everything here is reckoned from what the stand-ins saw
//! on their sockets; what a balancer believes of itself is not asked.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cluster;
mod drains;
mod floors;
pub mod recovery;
pub mod report;
mod requests;
mod service;
mod sessions;
mod warm_up;

use std::time::Duration;

use serde::Serialize;

use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, Line, Observation};
use hollowpaddle_scenario::scenario::Scenario;

pub use floors::Floor;
pub use service::{ClassService, Counts, Service};
pub use sessions::{DuplicateEffect, EffectRun, SessionReport};

/// Which rule was broken, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// Rule 1: a request that a running balancer had taken got no whole answer in time.
    Lost,
    /// Rule 1: more than one answer, or bytes that no request asked for.
    AnsweredTwice,
    /// Rule 1: an answer 200 that no node made for this request.
    ForeignAnswer,
    /// Rule 1: an attempt after the final answer.
    SentAfterAnswer,
    /// Rule 1: attempts that began after their clients had gone, beyond the first ones.
    SentAfterLeaving,
    /// Rule 1: too many of the requests that waited as their clients left were sent on all the same.
    SentForNobody,
    /// Rule 1: the balancer ended by itself.
    Crashed,
    /// Rule 2: an unsafe request was sent again after an attempt that may have run.
    ResentUnsafe,
    /// Rule 2: a keyed request that may have run was sent to another group.
    ResentElsewhere,
    /// Rule 2: the same, to its group, which may have forgotten it.
    ResentTooLate,
    /// Rule 2: two attempts of one request at a time.
    TwoAtOnce,
    /// Rule 2: more attempts than there may be.
    TooManyAttempts,
    /// Rule 2: a refusal says that a retry is harmless, and the request may have run.
    RefusedAfterRun,
    /// Rule 2: a node was sent something that no client sent in this form.
    Altered,
    /// Rule 3: sent to a node that the balancer was told drains or is gone.
    SentToDrained,
    /// Rule 4: a cold node was sent more than it bears, by balancers that were told of its start.
    PushedOver,
}

impl Violation {
    /// The rule, 1 to 4.
    pub fn rule(self) -> u8 {
        match self {
            Violation::Lost
            | Violation::AnsweredTwice
            | Violation::ForeignAnswer
            | Violation::SentAfterAnswer
            | Violation::SentAfterLeaving
            | Violation::SentForNobody
            | Violation::Crashed => 1,
            Violation::ResentUnsafe
            | Violation::ResentElsewhere
            | Violation::ResentTooLate
            | Violation::TwoAtOnce
            | Violation::TooManyAttempts
            | Violation::RefusedAfterRun
            | Violation::Altered => 2,
            Violation::SentToDrained => 3,
            Violation::PushedOver => 4,
        }
    }

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Violation::Lost => "lost",
            Violation::AnsweredTwice => "answered-twice",
            Violation::ForeignAnswer => "foreign-answer",
            Violation::SentAfterAnswer => "sent-after-answer",
            Violation::SentAfterLeaving => "sent-after-leaving",
            Violation::SentForNobody => "sent-for-nobody",
            Violation::Crashed => "crashed",
            Violation::ResentUnsafe => "resent-unsafe",
            Violation::ResentElsewhere => "resent-elsewhere",
            Violation::ResentTooLate => "resent-too-late",
            Violation::TwoAtOnce => "two-at-once",
            Violation::TooManyAttempts => "too-many-attempts",
            Violation::RefusedAfterRun => "refused-after-run",
            Violation::Altered => "altered",
            Violation::SentToDrained => "sent-to-drained",
            Violation::PushedOver => "pushed-over",
        }
    }
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// Which, and how.
    #[serde(rename = "breach")]
    pub violation: Violation,
    /// When it was broken.
    pub at: At,
    /// By which balancer, where it was one.
    pub balancer: Option<usize>,
    /// Whose request, where it is about one.
    pub request: Option<u32>,
    /// In words, with the figures.
    pub what: String,
    /// All that was seen of the request, or of the node while it was cold.
    pub history: Vec<Line>,
}

/// How exactly times can be told apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingTolerance {
    /// Limits of time are this much longer: what passes between a program's act and a stand-in's seeing it.
    pub slack: Duration,
}

impl TimingTolerance {
    /// Of real sockets: the platform's own allowance (PROTOCOL, 'The rules on sockets').
    pub const LIVE: Self = Self { slack: Duration::from_millis(50) };

    /// Of a simulated network: one way, and the clock's tick at either end.
    pub fn simulated(scenario: &Scenario) -> Self {
        let way = scenario.fleet.cross_zone.max(scenario.fleet.same_zone);
        Self { slack: way + Duration::from_millis(2) }
    }
}

/// The judge's findings, and what the run was like.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckResult {
    /// Broken rules in order of time; none is well.
    pub findings: Vec<Finding>,
    /// How clients were served.
    pub service: Service,
    /// What had to be served at least, and was or was not.
    pub floors: Vec<Floor>,
    /// How vans fared, on a day that has some.
    pub sessions: Option<SessionReport>,
}

/// Judges a run.
pub fn check(
    scenario: &Scenario,
    plan: &Plan,
    trace: &[Line],
    exact: TimingTolerance,
) -> CheckResult {
    let case = Case { scenario, plan, trace, slack: exact.slack.as_micros() as u64 };
    let mut findings = Vec::new();
    requests::check(&case, &mut findings);
    drains::check(&case, &mut findings);
    warm_up::check(&case, &mut findings);
    crashes(&case, &mut findings);
    findings.sort_by_key(|f| (f.at, f.violation, f.request));
    let (service, floors) = (service::report(&case), floors::of(&case));
    CheckResult { findings, service, floors, sessions: sessions::of(&case) }
}

/// What is judged.
struct Case<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    trace: &'a [Line],
    /// In microseconds.
    slack: u64,
}

fn micros(d: Duration) -> u64 {
    d.as_micros() as u64
}

/// A balancer that ends and was neither killed nor asked to.
fn crashes(case: &Case, findings: &mut Vec<Finding>) {
    for (i, line) in case.trace.iter().enumerate() {
        let Observation::Exited { balancer, start, code } = line.seen else { continue };
        let asked = case.trace[..i].iter().any(|l| match l.seen {
            Observation::Killed { balancer: b, start: s }
            | Observation::Stopping { balancer: b, start: s } => (b, s) == (balancer, start),
            _ => false,
        });
        if !asked {
            let code = code.map_or("by a signal".to_string(), |c| format!("with code {c}"));
            findings.push(Finding {
                violation: Violation::Crashed,
                at: line.at,
                balancer: Some(balancer),
                request: None,
                what: format!("balancer n{balancer} ended {code}, and nobody had asked it to"),
                history: vec![line.clone()],
            });
        }
    }
}
