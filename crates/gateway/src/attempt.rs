//! What an attempt at an upstream is given and what it comes to. Making it is left to `upstreams`, and whether it may be
//! written to `send_guard`.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use hollowpaddle_policy::interface::{Outcome, Report};
use hyper::Response;
use tokio::time::Instant;

use crate::response_body::ResponseBody;

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// When the attempt ends; with a streamed body, when that must have begun to go out.
    pub deadline: Instant,
    /// When the last byte of the request must be written, unless its body is streamed: a later one is outside the window
    /// in which upstreams recognise a repeat.
    pub send_by: Instant,
    /// From the last byte of a streamed body to the response.
    pub response_timeout: Duration,
    /// When the client gives up.
    pub client_deadline: Instant,
    /// When the window for repeats ends, if an earlier attempt may have run.
    pub retry_window_end: Option<Instant>,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome that the decision module is told.
    pub outcome: Outcome,
    /// The load report that came with the response.
    pub report: Report,
    /// The response, if the outcome is [`Outcome::Ok`].
    pub response: Option<Response<ResponseBody>>,
}

impl AttemptResult {
    /// A result that has neither a response nor a load report.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None }
    }
}

/// What may change about an upstream while an attempt waits for its connection.
#[derive(Debug)]
pub struct UpstreamTarget {
    /// The address that the endpoint list gives.
    pub address: Cell<SocketAddr>,
    /// When sends must have ended, if the upstream is draining or gone.
    pub closed_from: Cell<Option<Instant>>,
}
