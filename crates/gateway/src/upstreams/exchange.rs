//! One attempt: sends a request at most once, immediately after its guard has allowed it, and determines the outcome.

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::Outcome;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::connection::Connection;
use super::pool::Pool;
use super::send_progress::SendProgress;
use crate::attempt::{AttemptLimits, AttemptResult};
use crate::forwarded_request::{ForwardedBody, ForwardedRequest};
use crate::send_guard::SendGuard;
use crate::streamed_body::UpstreamRequestBody;

/// The least number of bytes in a header line besides the name and the value: `: ` and the end of the line.
const HEADER_LINE_OVERHEAD: usize = 4;

/// The reason why a request got no response.
enum SendFailure {
    /// A reused connection was closed before a byte was written, so the request can be sent on another connection.
    ConnectionClosed,
    /// The attempt has ended with this outcome.
    Ended(Outcome),
}

/// How often the deadline of an attempt is computed anew while its body is streamed: an upstream that reads slowly brings the
/// deadline closer.
const STREAMED_BODY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Pool {
    /// Makes one attempt, within the limits of its guard. Of a long response, only the beginning has to arrive in time.
    pub async fn attempt(
        self: &Rc<Self>,
        forwarded: &ForwardedRequest,
        guard: Rc<SendGuard>,
    ) -> AttemptResult {
        let progress = SendProgress::default();
        let limits = guard.limits();
        let exchange = self.exchange(forwarded, &guard, &progress);
        tokio::pin!(exchange);
        loop {
            let mut check_at = attempt_deadline(forwarded, &progress, limits);
            if forwarded.is_body_started() {
                check_at = check_at.min(Instant::now() + STREAMED_BODY_CHECK_INTERVAL);
            }
            if let Ok(result) = timeout_at(check_at, &mut exchange).await {
                return result;
            }
            // The progress of a streamed body, or the last byte of the request, may have moved the deadline.
            if Instant::now() >= attempt_deadline(forwarded, &progress, limits) {
                let outcome = outcome_of_timeout(forwarded, &progress, limits);
                return AttemptResult::without_response(outcome);
            }
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        forwarded: &ForwardedRequest,
        guard: &Rc<SendGuard>,
        progress: &SendProgress,
    ) -> AttemptResult {
        loop {
            let mut connection = match self.acquire(guard, progress).await {
                Ok(connection) => connection,
                Err(cause) => return AttemptResult::without_response(cause.outcome()),
            };
            progress.clear_local_retry();
            // The wait for a connection may outlast the request, the grace period of a drain, or a window.
            if guard.check().is_err() {
                self.put_idle(guard.upstream(), guard.target(), connection);
                return AttemptResult::without_response(Outcome::Moot);
            }
            // The upstream may have moved meanwhile, and another process may use its old address now.
            if connection.address != guard.target().address.get() {
                continue;
            }
            match send(&mut connection, forwarded, guard, progress).await {
                Ok(response) => return self.receive_response(guard, connection, response).await,
                Err(SendFailure::ConnectionClosed) => {}
                Err(SendFailure::Ended(outcome)) => {
                    return AttemptResult::without_response(outcome);
                }
            }
        }
    }
}

/// Computes the current deadline of an attempt.
fn attempt_deadline(
    forwarded: &ForwardedRequest,
    progress: &SendProgress,
    limits: AttemptLimits,
) -> Instant {
    let is_being_sent = !forwarded.is_body_started() && progress.is_incomplete();
    let deadline = forwarded.attempt_deadline(limits);
    if is_being_sent { deadline.min(limits.send_by) } else { deadline }
}

/// Determines the outcome of an attempt that has reached its deadline.
fn outcome_of_timeout(
    forwarded: &ForwardedRequest,
    progress: &SendProgress,
    limits: AttemptLimits,
) -> Outcome {
    // Neither an error of this machine nor a short retry window is a fault of the upstream.
    if progress.is_local_retry() {
        return Outcome::Moot;
    }
    if progress.is_unsent() && Instant::now() < forwarded.attempt_deadline(limits) {
        return Outcome::Moot;
    }
    // A request that was not sent completely can't have run.
    if progress.is_incomplete() { Outcome::ConnectFailed } else { Outcome::Timeout }
}

/// Sends the request on a connection, and waits for the head of the response.
async fn send(
    connection: &mut Connection,
    forwarded: &ForwardedRequest,
    guard: &Rc<SendGuard>,
    progress: &SendProgress,
) -> Result<Response<Incoming>, SendFailure> {
    let request = request(forwarded, guard.limits(), progress);
    let request = request.ok_or(SendFailure::Ended(Outcome::Moot))?;
    if let Some(deadline) = progress.announced_deadline() {
        guard.record_announced_deadline(deadline);
    }
    progress.start(&connection.traffic);
    connection.traffic.guard_next_write(guard.clone());
    let Ok(response) = connection.sender.send_request(request).await else {
        return Err(failure(connection, forwarded, guard, progress));
    };
    // Upstreams process a request only once its last byte is received, so an earlier response belongs to another request
    // or to none.
    if response.status() == StatusCode::OK && progress.was_answered_early() {
        let is_incomplete = progress.is_incomplete();
        let outcome = if is_incomplete { Outcome::ConnectFailed } else { Outcome::Reset };
        return Err(SendFailure::Ended(outcome));
    }
    Ok(response)
}

/// Determines the failure of an attempt whose connection has ended without a response.
fn failure(
    connection: &Connection,
    forwarded: &ForwardedRequest,
    guard: &SendGuard,
    progress: &SendProgress,
) -> SendFailure {
    // The stream checks the guard again before the first byte, and the guard may have denied the send.
    if progress.is_unsent() && guard.check().is_err() {
        return SendFailure::Ended(Outcome::Moot);
    }
    if connection.is_reused && progress.is_unsent() && !forwarded.is_body_started() {
        return SendFailure::ConnectionClosed;
    }
    // The client did not complete its body, so the upstream has no complete request and is not at fault.
    if forwarded.client_fault().is_some() {
        return SendFailure::Ended(Outcome::Moot);
    }
    if progress.is_incomplete() {
        return SendFailure::Ended(Outcome::ConnectFailed);
    }
    SendFailure::Ended(Outcome::Reset)
}

/// Builds the request for one attempt, which announces the remaining time; `None` if the header can't be built.
fn request(
    forwarded: &ForwardedRequest,
    limits: AttemptLimits,
    progress: &SendProgress,
) -> Option<Request<UpstreamRequestBody>> {
    let (body, time_left, buffered_size) = match &forwarded.body {
        ForwardedBody::Buffered(body) => {
            let time_left = limits.deadline.saturating_duration_since(Instant::now());
            progress.set_announced_deadline(time_left);
            (UpstreamRequestBody::Buffered(Full::new(body.clone())), time_left, body.len())
        }
        ForwardedBody::Streamed(body) => {
            (UpstreamRequestBody::Streamed(body.clone()), limits.response_timeout, 0)
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    let time_left = HeaderValue::from_str(&time_left.as_millis().to_string()).ok()?;
    request.headers_mut().insert("x-deadline-ms", time_left);
    let headers = request.headers().iter();
    let head_size: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD).sum();
    let min_size = (head_size + buffered_size) as u64;
    progress.set_request(min_size, forwarded.streamed_body().cloned());
    Some(request)
}

#[cfg(test)]
mod tests;
