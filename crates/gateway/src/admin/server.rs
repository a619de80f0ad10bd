//! The HTTP server of the admin API: connections, routes and JSON answers.

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
use tokio::time::{sleep, timeout};

use super::{Admin, ManagedBalancer};
use crate::cluster::admin_api::{AdminRequest, AdminResponse, is_cluster_path};
use crate::config::CALLERS;
use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::tasks::AbortOnDrop;

/// Time in which a call must be read and answered. A connection that takes longer is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// An answer to a call.
pub(super) type Answer = Response<Full<Bytes>>;

impl<B: ManagedBalancer + 'static> Admin<B> {
    /// Accepts connections and answers their calls, for as long as it is polled. With [`CALLERS`] connections open, a new
    /// one replaces the oldest.
    pub async fn serve(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        let mut connections = VecDeque::<AbortOnDrop>::new();
        loop {
            match accept(&mut *listener).await {
                Ok((stream, _)) => {
                    connections.retain(|connection| !connection.0.is_finished());
                    while connections.len() >= CALLERS {
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
        let service = service_fn(|request| self.answer(request));
        let connection = http1::Builder::new()
            .keep_alive(false)
            .header_read_timeout(None)
            .max_buf_size(HEAD_LIMIT)
            .max_headers(HEAD_LINES)
            .serve_connection(TokioIo::new(stream), service);
        let _ = timeout(CALL_TIMEOUT, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Infallible> {
        let (head, body) = request.into_parts();
        let is_for_cluster = is_cluster_path(head.uri.path());
        let limit = if is_for_cluster { MAX_JSON_BYTES } else { BODY_LIMIT };
        let Ok(body) = Limited::new(body, limit).collect().await else {
            let why = "the body is too long or ends early";
            return Ok(failure(StatusCode::PAYLOAD_TOO_LARGE, why));
        };
        let body = body.to_bytes();
        Ok(if is_for_cluster {
            self.answer_cluster_call(&head, &body).await
        } else {
            self.answer_own_call(&head, &body).await
        })
    }

    async fn answer_cluster_call(&self, head: &Parts, body: &[u8]) -> Answer {
        let query = head.uri.query().unwrap_or_default();
        match AdminRequest::read(head.method.as_str(), head.uri.path(), query, body) {
            Ok(request) => self.ask_cluster(request).await,
            Err(cause) => cluster_answer(AdminResponse::unread(&cause)),
        }
    }

    async fn answer_own_call(&self, head: &Parts, body: &[u8]) -> Answer {
        match Call::read(head.method.as_str(), head.uri.path(), body) {
            Ok(Call::Health) => self.health(),
            Ok(Call::Start) => json_answer(StatusCode::OK, &self.start_status()),
            Ok(call) => self.carry_out(call).await,
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

pub(super) fn failure(status: StatusCode, why: &str) -> Answer {
    json_answer(status, &serde_json::json!({"ok": false, "error": why}))
}

pub(super) fn cluster_answer(response: AdminResponse) -> Answer {
    let status = StatusCode::from_u16(response.status);
    json_answer(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &response.text)
}

fn json_answer(status: StatusCode, body: &serde_json::Value) -> Answer {
    let mut answer = Response::new(Full::from(format!("{body}\n")));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
