//! The HTTP server of the admin API: connections, routes and JSON responses.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::{Listener, Stream, accept};
use hollowpaddle_operator_commands::Call;
use hollowpaddle_operator_commands::call::BODY_LIMIT;
use hollowpaddle_revision::document::MAX_JSON_BYTES;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{Admin, ManagedBalancer};
use crate::cluster::admin_api::{AdminRequest, AdminResponse, is_cluster_path};
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::http::{MAX_HEAD_BYTES, MAX_HEADER_LINES};
use crate::tasks::AbortOnDrop;

/// Maximum time to read a call and write its response. A connection that takes longer is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time from the start of a connection to the response, even if the outcome of the call is unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1900);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A response to a call.
pub(super) type Answer = Response<Full<Bytes>>;

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// Accepts connections and answers their calls while the future is polled. When [`MAX_ADMIN_CONNECTIONS`] connections
    /// are open, a new connection replaces the oldest.
    pub async fn serve(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        let mut connections = VecDeque::<AbortOnDrop>::new();
        loop {
            match accept(&mut *listener).await {
                Ok((stream, _)) => {
                    connections.retain(|connection| !connection.0.is_finished());
                    while connections.len() >= MAX_ADMIN_CONNECTIONS {
                        connections.pop_front();
                    }
                    let connection = self.clone().serve_connection(stream);
                    connections.push_back(AbortOnDrop(tokio::task::spawn_local(connection)));
                }
                Err(cause) => {
                    tracing::warn!(%cause, "accept failed on the admin listener");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: Box<dyn Stream>) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let service = service_fn(|request| self.answer(request, deadline));
        let connection = http1::Builder::new()
            .keep_alive(false)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_LINES)
            .serve_connection(TokioIo::new(stream), service);
        let _ = timeout(CALL_TIMEOUT, connection).await;
    }

    /// Reads and answers a call by `deadline`. A caller without a response could not know the outcome of the call.
    async fn answer(
        &self,
        request: Request<Incoming>,
        deadline: Instant,
    ) -> Result<Answer, Infallible> {
        let (head, body) = request.into_parts();
        let is_for_cluster = is_cluster_path(head.uri.path());
        let limit = if is_for_cluster { MAX_JSON_BYTES } else { BODY_LIMIT };
        let body = match timeout_at(deadline, Limited::new(body, limit).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                let reason = "the body is too long or ends early";
                return Ok(failure(StatusCode::PAYLOAD_TOO_LARGE, reason));
            }
            Err(_) => {
                let reason = "the body did not come in time";
                return Ok(failure(StatusCode::REQUEST_TIMEOUT, reason));
            }
        };
        let answer = async {
            if is_for_cluster {
                self.answer_cluster_call(&head, &body, deadline).await
            } else {
                self.answer_own_call(&head, &body, deadline).await
            }
        };
        let late = |_| failure(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may be done");
        Ok(timeout_at(deadline, answer).await.unwrap_or_else(late))
    }

    async fn answer_cluster_call(&self, head: &Parts, body: &[u8], deadline: Instant) -> Answer {
        let query = head.uri.query().unwrap_or_default();
        match AdminRequest::read(head.method.as_str(), head.uri.path(), query, body) {
            Ok(request) => self.request_from_cluster(request, deadline).await,
            Err(cause) => cluster_answer(AdminResponse::unreadable(&cause)),
        }
    }

    async fn answer_own_call(&self, head: &Parts, body: &[u8], deadline: Instant) -> Answer {
        match Call::read(head.method.as_str(), head.uri.path(), body) {
            Ok(Call::Health) => self.health(),
            Ok(Call::Start) => json_answer(StatusCode::OK, &self.start_status()),
            Ok(call) => self.carry_out(call, deadline).await,
            Err(cause) => {
                let status = StatusCode::from_u16(cause.status());
                failure(status.unwrap_or(StatusCode::BAD_REQUEST), &cause.to_string())
            }
        }
    }
}

pub(super) fn success() -> Answer {
    json_answer(StatusCode::OK, &serde_json::json!({"ok": true}))
}

pub(super) fn failure(status: StatusCode, reason: &str) -> Answer {
    json_answer(status, &serde_json::json!({"ok": false, "error": reason}))
}

pub(super) fn cluster_answer(response: AdminResponse) -> Answer {
    let status = StatusCode::from_u16(response.status);
    json_answer(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &response.body)
}

fn json_answer(status: StatusCode, body: &serde_json::Value) -> Answer {
    let mut answer = Response::new(Full::from(format!("{body}\n")));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
