//! Builds the responses to clients: upstreams' responses without internal headers, and the balancer's own responses.

use bytes::Bytes;
use hollowpaddle_policy::interface::SignedDuration;
use hyper::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::request_head::{Malformed, remove_hop_by_hop};
use crate::bodies::BodyError;
use crate::engine::Reply;
use crate::response_body::ResponseBody;

/// A response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Headers by which upstreams report to balancers, which clients do not get.
const INTERNAL_HEADERS: [&str; 2] = ["x-load", "x-not-run"];

/// Builds the response for a final answer.
pub(super) fn from_reply(reply: Reply) -> ClientResponse {
    match reply {
        Reply::Served(response) => from_upstream(response),
        Reply::Rejected { retry_after } => {
            let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(value) = retry_after_seconds(retry_after) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Reply::Failed { timed_out: true } => empty(StatusCode::GATEWAY_TIMEOUT),
        Reply::Failed { timed_out: false } => empty(StatusCode::BAD_GATEWAY),
    }
}

/// Converts an upstream's response to the response for the client.
fn from_upstream(response: Response<ResponseBody>) -> ClientResponse {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    for internal in INTERNAL_HEADERS {
        head.headers.remove(internal);
    }
    head.headers.remove(CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.headers_mut() = head.headers;
    response
}

/// Builds the response to a request whose body was not received.
pub(super) fn from_body_error(error: BodyError) -> ClientResponse {
    match error {
        BodyError::Malformed => malformed(Malformed("body")),
        BodyError::TooLarge => empty(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::TooSlow => empty(StatusCode::REQUEST_TIMEOUT),
        BodyError::OutOfMemory => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Builds the response to a malformed request.
pub(super) fn malformed(error: Malformed) -> ClientResponse {
    let mut response = Response::new(Bytes::from(format!("{error}\n")).into());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Builds a response without a body.
pub(super) fn empty(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Bytes::new().into());
    *response.status_mut() = status;
    response
}

/// Formats `Retry-After` in decimal seconds; `None` if no time is recommended.
fn retry_after_seconds(span: SignedDuration) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.as_micros_f64() / 1e6)).ok()
}
