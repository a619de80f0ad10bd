//! The limits, the target and the result of an attempt. The module `upstreams` carries attempts out, and `send_guard`
//! decides whether an attempt may be written.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use hollowpaddle_policy::interface::{Outcome, Report};
use hyper::Response;
use tokio::time::Instant;

use crate::response_body::ResponseBody;

/// The time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// When the attempt must have ended; with a streamed body, when sending the body must have started.
    pub deadline: Instant,
    /// When the last byte of the request must be written, unless its body is streamed. A later byte is outside the window
    /// in which upstreams recognise a repeated request.
    pub send_by: Instant,
    /// The time from the last byte of a streamed body to the response.
    pub response_timeout: Duration,
    /// When the client gives up.
    pub client_deadline: Instant,
    /// When the window for repeated requests ends, if an earlier attempt may have run.
    pub retry_window_end: Option<Instant>,
}

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome reported to the decision module.
    pub outcome: Outcome,
    /// The load report that came with the response.
    pub report: Report,
    /// The response, if the outcome is [`Outcome::Ok`].
    pub response: Option<Response<ResponseBody>>,
}

impl AttemptResult {
    /// Creates a result that has neither a response nor a load report.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None }
    }
}

/// The data of an upstream that may change while an attempt waits for a connection.
#[derive(Debug)]
pub struct UpstreamTarget {
    /// The address in the endpoint list.
    pub address: Cell<SocketAddr>,
    /// From when on nothing may be sent to the upstream, if it is draining or removed.
    pub closed_from: Cell<Option<Instant>>,
}
