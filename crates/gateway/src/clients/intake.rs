//! Receives a client's request, checks and parses its head, and submits the request to the engine.

use std::time::Duration;

use hollowpaddle_policy::interface::{Effect, SignedDuration};
use hollowpaddle_policy::settings::key_hash;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;

use super::ClientServer;
use super::client_connection::ClientStream;
use super::request_head::{self, Malformed};
use super::response::{self, ClientResponse};
use crate::bodies::{BodyError, BodyLimits, ReceivedBody, receive_body};
use crate::cancellation::Cancellation;
use crate::engine::Arrival;
use crate::forwarded_request::{ForwardedBody, ForwardedRequest};
use crate::receive_time::HeadTime;
use crate::shared_stream::SharedStream;
use crate::streamed_body::StreamedBody;

/// The largest body that a client may send, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// The largest body that is buffered while its request is open, in bytes. A longer body is streamed, and can't be sent
/// again.
const MAX_BUFFERED_BODY_BYTES: usize = 2 << 20;
/// The limits on a client's body. A body may take 2 s plus the time that it takes at 60 KiB/s. A client that stops halfway
/// must get a response within 3 s.
const BODY_LIMITS: BodyLimits = BodyLimits {
    max_bytes: MAX_BODY_BYTES,
    base_timeout: Duration::from_secs(2),
    timeout_per_byte: Duration::from_nanos(1_000_000_000 / (60 << 10)),
};

/// The least time for a body whose head waited to be read, in which the bytes that have arrived meanwhile are read.
const MIN_BODY_TIME: Duration = Duration::from_millis(100);

/// A body that is ready to be forwarded.
struct ReadyBody {
    body: ForwardedBody,
    /// Length of the body in bytes, if known.
    length: Option<u64>,
}

impl ClientServer {
    /// Answers a request for `/api`.
    pub(super) async fn answer_api(
        &self,
        request: Request<Incoming>,
        client: &ClientStream,
        head_time: HeadTime,
    ) -> ClientResponse {
        let (head, body) = request.into_parts();
        if let Err(error) = request_head::check(&head, &client.raw_head) {
            return response::malformed(error);
        }
        client.raw_head.release();
        let ready = match self.receive(body, client, head_time).await {
            Ok(ready) => ready,
            Err(error) => return response::from_body_error(error),
        };
        let Some(open_id) = self.open_ids.open(&head.headers) else {
            return response::empty(StatusCode::CONFLICT);
        };
        let has_no_body = ready.length == Some(0);
        // The deadline of a request counts from the arrival of its last byte (PROTOCOL, 'Figures'), however long that byte
        // waited to be read. For a streamed body, the engine restarts the deadline at the end of the body.
        let received_at = head_time.end_of_request(has_no_body, client.traffic.received_at());
        let arrival = match self.arrival(&head, has_no_body, received_at, &client.stream) {
            Ok(arrival) => arrival,
            Err(error) => {
                open_id.finish();
                return response::malformed(error);
            }
        };
        // If the client disconnects, this future is dropped here.
        let response = self.forward(head, ready, arrival).await;
        open_id.finish();
        response
    }

    /// Receives the body of a request to its end, or until the body is too long to be buffered.
    async fn receive(
        &self,
        body: Incoming,
        client: &ClientStream,
        head_time: HeadTime,
    ) -> Result<ReadyBody, BodyError> {
        let limits = limits_after_wait(head_time.wait());
        client.connection.start_body();
        let received = receive_body(body, limits, MAX_BUFFERED_BODY_BYTES, &self.body_memory).await;
        client.connection.finish_body();
        Ok(match received? {
            ReceivedBody::Complete(body) => {
                client.read_ahead.finish_request();
                let length = Some(body.len() as u64);
                ReadyBody { body: ForwardedBody::Buffered(body), length }
            }
            ReceivedBody::Long { first, rest, length } => {
                let body = StreamedBody::new(first, rest, length, BODY_LIMITS);
                ReadyBody { body: ForwardedBody::Streamed(body), length }
            }
        })
    }

    /// Submits a request to the engine, and builds the response from the final answer.
    async fn forward(&self, head: Parts, ready: ReadyBody, arrival: Arrival) -> ClientResponse {
        let id = self.engine.next_id();
        let client_id = head.headers.get("x-request-id");
        tracing::debug!(request = id.0, id = ?client_id, "request received");
        let forwarded = ForwardedRequest {
            method: head.method,
            uri: request_head::origin_form(head.uri),
            headers: request_head::forwarded_headers(head.headers, ready.length),
            body: ready.body,
        };
        let streamed_body = forwarded.streamed_body().cloned();
        let reply = self.engine.submit(id, arrival, forwarded).await;
        let client_fault = streamed_body.and_then(|body| body.client_fault());
        match client_fault {
            Some(fault) if !reply.is_served() => response::from_body_error(fault),
            _ => response::from_reply(reply),
        }
    }

    /// Parses the properties of a request that the decision module uses.
    fn arrival(
        &self,
        head: &Parts,
        has_no_body: bool,
        received_at: Instant,
        client: &SharedStream,
    ) -> Result<Arrival, Malformed> {
        let class = self.class(&head.headers)?;
        if !fits_effect(self.classes[class].effect, head, has_no_body) {
            return Err(Malformed("method"));
        }
        let announced = announced_deadline(&head.headers).ok_or(Malformed("X-Deadline-Ms"))?;
        // The deadline that the client announces is limited by that of its class.
        let deadline = received_at + announced.min(self.classes[class].max_deadline);
        let client_deadline = self
            .answer_deadline
            .get()
            .map_or(deadline, |answer_deadline| answer_deadline.min(deadline));
        let cost_hint = text(&head.headers, "x-cost-hint");
        let cost_hint_us = cost_hint.and_then(|hint| hint.trim().parse::<f64>().ok());
        Ok(Arrival {
            class,
            tenant: self.tenant(&head.headers)?,
            key: request_head::cookie(&head.headers, "sid").map(key_hash),
            client_deadline,
            cost_guess: cost_hint_us
                .filter(|us| us.is_finite() && *us > 0.0)
                .map(|us| SignedDuration(us as i64)),
            is_client_retry: text(&head.headers, "x-retry") == Some("1"),
            cancellation: Cancellation::new(client),
        })
    }

    /// Returns the index of the class that the request names.
    fn class(&self, headers: &HeaderMap) -> Result<usize, Malformed> {
        let name = text(headers, "x-class").ok_or(Malformed("X-Class"))?;
        let position = self.facts.services.iter().position(|service| service.name == name);
        position.ok_or(Malformed("X-Class"))
    }

    /// Returns the index of the tenant that the request names; 0 if the settings define no tenants.
    fn tenant(&self, headers: &HeaderMap) -> Result<usize, Malformed> {
        if self.facts.tenants.is_empty() {
            return Ok(0);
        }
        let name = text(headers, "x-tenant").unwrap_or_default();
        self.facts.tenants.position(name).ok_or(Malformed("X-Tenant"))
    }
}

/// Returns the limits on a body whose head waited for this time until it was read.
fn limits_after_wait(head_wait: Duration) -> BodyLimits {
    let time_left = BODY_LIMITS.base_timeout.saturating_sub(head_wait);
    BodyLimits { base_timeout: time_left.max(MIN_BODY_TIME), ..BODY_LIMITS }
}

/// Whether the method, key and body of a request are valid for a class with this effect.
fn fits_effect(effect: Effect, head: &Parts, has_no_body: bool) -> bool {
    let key = head.headers.get("idempotency-key");
    match effect {
        Effect::Safe => head.method == Method::GET && has_no_body,
        Effect::Keyed => head.method == Method::POST && key.is_some_and(|key| !key.is_empty()),
        Effect::Unsafe => head.method == Method::POST && key.is_none(),
    }
}

/// Parses the deadline that the client announces; `None` unless it is a positive number of milliseconds.
fn announced_deadline(headers: &HeaderMap) -> Option<Duration> {
    let digits = text(headers, "x-deadline-ms")?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let milliseconds = digits.parse::<u64>().ok().filter(|milliseconds| *milliseconds > 0)?;
    Some(Duration::from_millis(milliseconds))
}

/// Returns the value of a header, if it is visible ASCII text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
