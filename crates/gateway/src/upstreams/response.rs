//! Receives the response to an attempt: a short response completely, and the beginning of a long one.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use hollowpaddle_policy::interface::Outcome;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

use super::connection::Connection;
use super::pool::Pool;
use crate::attempt::AttemptResult;
use crate::response_body::{ResponseBody, ResponseStart, StreamedResponse, receive_start};
use crate::send_guard::SendGuard;

impl Pool {
    /// Receives a short response completely, or a long response up to the point from which it is streamed to its client.
    pub(super) async fn receive_response(
        self: &Rc<Self>,
        guard: &SendGuard,
        connection: Connection,
        response: Response<Incoming>,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let report = self.report_fields.read(&head.headers);
        let start = receive_start(body, &self.response_memory).await;
        let outcome = outcome(&head);
        let body = match start {
            ResponseStart::Complete(body) => {
                self.release(guard.upstream(), guard.target(), connection).await;
                ResponseBody::from(body)
            }
            ResponseStart::Long { first, rest, length } if outcome == Outcome::Ok => {
                self.stream_response(guard, connection, first, rest, length)
            }
            // Long error responses and truncated or oversized responses are not forwarded. A request whose `200` response is
            // truncated or oversized may have run.
            ResponseStart::Long { .. } | ResponseStart::Unusable => {
                let outcome = if outcome == Outcome::Ok { Outcome::Reset } else { outcome };
                return AttemptResult { report, ..AttemptResult::without_response(outcome) };
            }
        };
        let response = (outcome == Outcome::Ok).then(|| Response::from_parts(head, body));
        AttemptResult { outcome, report, response }
    }

    /// Creates the body of a long response. Its connection returns to the pool if the response ends properly, and is closed
    /// otherwise.
    fn stream_response(
        self: &Rc<Self>,
        guard: &SendGuard,
        connection: Connection,
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
    ) -> ResponseBody {
        let pool = self.clone();
        let server = guard.upstream();
        let target = guard.target().clone();
        let connection = Rc::new(RefCell::new(Some(connection)));
        let to_release = connection.clone();
        let on_complete = move || {
            let Some(connection) = to_release.take() else { return };
            tokio::task::spawn_local(async move {
                pool.release(server, &target, connection).await;
            });
        };
        let mut body = StreamedResponse::new(first, rest, length, on_complete);
        body.attach(connection);
        ResponseBody::Streamed(Box::new(body))
    }
}

/// Determines the outcome of the attempt from the head of its response (PROTOCOL: `X-Not-Run` marks a request whose
/// processing was not started).
fn outcome(head: &Parts) -> Outcome {
    let has_not_run = head.headers.get("x-not-run").is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_not_run => {
            Outcome::Full
        }
        _ => Outcome::Error,
    }
}
