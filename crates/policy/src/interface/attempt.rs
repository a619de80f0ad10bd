//! Outcomes of attempts, and the load reports that come with them.

use super::member::ServerId;
use super::request::RequestId;
use super::time::SignedDuration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected unseen; never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the balancer; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// The outcome of an attempt, as the caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
    /// The upstream it went to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: SignedDuration,
    /// The request is over.
    pub last: bool,
    /// A part of its body was passed on and not stored: it can't be sent again.
    pub body_consumed: bool,
    /// What the upstream reported of itself.
    pub report: Report,
}

impl CompletedAttempt {
    /// An outcome without a load report.
    pub fn new(
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: SignedDuration,
        last: bool,
    ) -> Self {
        let (body_consumed, report) = (false, Report::default());
        Self { request, attempt, server, outcome, latency, last, body_consumed, report }
    }
}

/// The load report of an upstream; a value that it does not give is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of its cores that is busy.
    pub util: Option<f64>,
    /// Recent service time, without the wait.
    pub service: Option<SignedDuration>,
    /// Requests served per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
}
