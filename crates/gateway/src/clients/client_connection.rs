//! Serves one client's connection: its requests one after another, until the connection closes. The module `intake` answers
//! requests for `/api`.

use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hollowpaddle_net::Stream;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, sleep};

use super::ClientServer;
use super::response::{self, ClientResponse};
use crate::closing::{CloseReason, close, close_at_once};
use crate::connections::{Connection, ConnectionSlot, FIRST_BYTES_TIME};
use crate::http::{MAX_HEAD_BYTES, MAX_HEADER_LINES};
use crate::invariants::{Invariant, Violations};
use crate::receive_time::{AcceptedConnection, HeadTime, ReceiveClock};
use crate::response_body::ResponseBody;
use crate::shared_stream::SharedStream;
use crate::stream::{ObservedStream, RawHead, ReadAhead, Traffic};
use crate::tasks::CloseSignal;

/// How long a connection with unread bytes stays open after a close is requested, so that the bytes are read.
const UNREAD_BYTES_TIME: Duration = Duration::from_millis(2);

/// The state of a client's connection that its requests use.
pub(super) struct ClientStream {
    pub(super) stream: SharedStream,
    pub(super) traffic: Traffic,
    pub(super) connection: Rc<Connection>,
    pub(super) raw_head: RawHead,
    pub(super) read_ahead: ReadAhead,
}

/// Counts a violation if a request was received completely and got no response, though its client stayed connected.
struct ResponseCheck<'a> {
    violations: &'a Violations,
    client: &'a ClientStream,
    started_at: Instant,
    is_answered: bool,
}

impl<'a> ResponseCheck<'a> {
    fn new(violations: &'a Violations, client: &'a ClientStream) -> Self {
        Self { violations, client, started_at: Instant::now(), is_answered: false }
    }

    fn record_answer(&mut self, status: StatusCode) {
        self.is_answered = true;
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        tracing::debug!(status = status.as_u16(), elapsed_ms, "request answered");
    }
}

impl Drop for ResponseCheck<'_> {
    fn drop(&mut self) {
        let has_client_disconnected = self.client.stream.borrow().has_ended();
        let is_received = self.client.read_ahead.is_request_complete();
        if !self.is_answered && is_received && !has_client_disconnected {
            self.violations.count(Invariant::Unanswered, None, None);
        }
    }
}

impl ClientServer {
    /// Spawns a task that serves an accepted connection. The connection has waited in the backlog for `max_wait` at most.
    pub(super) fn serve_connection(self: &Rc<Self>, stream: Box<dyn Stream>, max_wait: Duration) {
        let accepted = AcceptedConnection::examine(&*stream, max_wait);
        let (io, stream, traffic) = ObservedStream::new(stream);
        // The slot and the signal are taken here and not in the task: the slot must count before the next connection is
        // accepted, and a task that first runs after a close signal would wait for a later signal that is never sent.
        let slot = self.connections.open(traffic.clone(), accepted.silent_since);
        let close_signal = self.close_signal.borrow().clone();
        let raw_head = RawHead::default();
        let read_ahead = ReadAhead::new(ReceiveClock::new(&accepted));
        let io = io.with_capture(&raw_head, &read_ahead);
        let connection = slot.share_connection();
        let client = ClientStream { stream, traffic, connection, raw_head, read_ahead };
        tokio::task::spawn_local(self.clone().serve_and_close(io, client, slot, close_signal));
    }

    /// Serves all requests of one connection, then closes the connection.
    async fn serve_and_close(
        self: Rc<Self>,
        io: ObservedStream,
        client: ClientStream,
        slot: ConnectionSlot,
        close_signal: Rc<CloseSignal>,
    ) {
        let reason = self.serve_requests(io, &client, &slot, &close_signal).await;
        let Some(reason) = reason else { return };
        self.close_connection(&client, &slot, reason).await;
    }

    /// Serves requests until the connection has to close. Returns the reason, or `None` if the client has closed it.
    async fn serve_requests(
        &self,
        io: ObservedStream,
        client: &ClientStream,
        slot: &ConnectionSlot,
        close_signal: &CloseSignal,
    ) -> Option<CloseReason> {
        let state = slot.connection();
        let service = service_fn(|request| {
            // The HTTP library calls this as soon as it has the head, and reads on before it polls the response.
            let head_time = HeadTime::new(client.traffic.received_at());
            self.respond(request, slot, client, head_time)
        });
        let connection = http1::Builder::new()
            .header_read_timeout(None) // The module `connections` enforces the timeouts.
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_LINES)
            .serve_connection(TokioIo::new(io), service);
        tokio::pin!(connection);
        let close_requested = close_requested(close_signal, state, client);
        tokio::pin!(close_requested);
        let mut is_closing = false;
        loop {
            // The connection is polled first, since its timeouts depend on the bytes that have passed on it.
            tokio::select! {
                biased;
                _ = &mut connection => {
                    let reason =
                        if is_closing { CloseReason::Leaving } else { CloseReason::ExchangeOver };
                    return Some(reason);
                }
                () = state.overdue() => {
                    let is_evicted = state.is_evicted();
                    return Some(if is_evicted { CloseReason::Evicted } else { CloseReason::Overdue });
                }
                () = client_disconnected(state, client) => {
                    tracing::debug!(connection = slot.id(), "client disconnected");
                    return None;
                }
                () = &mut close_requested, if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    /// Closes the connection from this side.
    async fn close_connection(
        &self,
        client: &ClientStream,
        slot: &ConnectionSlot,
        reason: CloseReason,
    ) {
        let state = slot.connection();
        let mode = state.close_mode(reason);
        tracing::debug!(connection = slot.id(), ?reason, ?mode, "connection closing");
        if state.is_evicted() && self.connections.is_full() {
            // The next client needs the slot.
            close_at_once(&client.stream, mode).await;
            return;
        }
        state.start_closing();
        tokio::select! {
            biased;
            () = close(&client.stream, mode) => {}
            () = state.evicted() => {}
        }
    }

    /// Answers one request.
    async fn respond(
        &self,
        request: Request<Incoming>,
        slot: &ConnectionSlot,
        client: &ClientStream,
        head_time: HeadTime,
    ) -> Result<ClientResponse, Infallible> {
        client.raw_head.stop();
        client.read_ahead.start_request();
        slot.connection().start_request();
        let mut check = ResponseCheck::new(self.engine.violations(), client);
        let mut response = self.route(request, client, head_time).await;
        // Bytes that follow an invalid request on its connection can't be interpreted.
        let is_invalid = response.status().is_client_error() || client.read_ahead.has_overflowed();
        if self.is_quiesced_or_stopping() || is_invalid {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            slot.connection().announce_close();
        }
        // The next request begins after the last byte of this one. If that byte was not received, the connection closes.
        client.raw_head.start_next();
        check.record_answer(response.status());
        match response.body_mut() {
            ResponseBody::Complete(_) => slot.finish_request(),
            ResponseBody::Streamed(body) => body.attach(slot.start_streaming()),
        }
        Ok(response)
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        client: &ClientStream,
        head_time: HeadTime,
    ) -> ClientResponse {
        let path = request.uri().path();
        if path == "/-/ready" {
            return response::empty(self.readiness());
        }
        if path == "/api" || path.starts_with("/api/") {
            return self.answer_api(request, client, head_time).await;
        }
        response::empty(StatusCode::NOT_FOUND)
    }

    fn readiness(&self) -> StatusCode {
        if self.engine.is_ready() && !self.is_quiesced_or_stopping() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Completes once the client has closed its connection while its request is open. While a body is being received, the HTTP
/// library reads the connection and detects the close, and bytes must not be buffered a second time.
async fn client_disconnected(state: &Connection, client: &ClientStream) {
    poll_fn(|cx| {
        if state.is_request_open() && !state.is_receiving_body() {
            client.read_ahead.poll_client_close(&client.stream, cx)
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Completes once the close signal was sent and the bytes received before it have had time to be read.
async fn close_requested(close_signal: &CloseSignal, state: &Connection, client: &ClientStream) {
    close_signal.sent().await;
    // Unread bytes may be a request that was sent before the client could see the close.
    let has_unread_bytes = !client.stream.borrow().is_quiet();
    if state.is_new() {
        sleep(FIRST_BYTES_TIME).await;
    } else if has_unread_bytes {
        sleep(UNREAD_BYTES_TIME).await;
    }
}
