//! The side that faces clients: an HTTP server that reads requests, asks the engine, and answers once.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::interface::{Effect, Span};
use hollowpaddle::settings::{Facts, key_hash};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::config::Config;
use crate::engine::{Arrival, Handle, Reply};
use crate::upstreams::Forward;

/// The largest body that either side may send.
pub const BODY_LIMIT: usize = 64 << 10;
/// How long connections are still accepted after SIGTERM: the front needs a moment to hear of it.
const LINGER: Duration = Duration::from_millis(500);
/// After the last deadline, time for the answers to be written.
const FINISH: Duration = Duration::from_millis(100);
/// Wait after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// No client waits longer than this; a figure beyond it is a mistake.
const LONGEST_DEADLINE_MS: u64 = 3_600_000;

type Answer = Response<Full<Bytes>>;

pub struct Front {
    engine: Handle,
    facts: Facts,
    effects: Vec<Effect>,
    longest: Duration,
    most: usize,
    open: Cell<usize>,
    stopping: Cell<bool>,
}

impl Front {
    pub fn new(config: &Config, engine: Handle, most: usize) -> Self {
        let settings = config.facts.settings();
        let longest = settings.classes.iter().map(|c| c.deadline.0.max(0)).max().unwrap_or(0);
        Self {
            engine,
            facts: config.facts.clone(),
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            longest: Duration::from_micros(longest as u64),
            most,
            open: Cell::new(0),
            stopping: Cell::new(false),
        }
    }

    /// Serves until `stop`, then finishes what was taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let (close, closing) = watch::channel(false);
        {
            let accepting = self.accept(&listener, &closing);
            tokio::pin!(accepting);
            tokio::select! {
                () = &mut accepting => {}
                () = stop => {}
            }
            tracing::info!("stopping");
            // From here each answer asks its client to go elsewhere; new connections still find us.
            self.stopping.set(true);
            let _ = timeout(LINGER, accepting).await;
        }
        drop(listener);
        let _ = close.send(true);
        let finished = async {
            while self.open.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // Counted from the last accept, not from the signal: what came last has its whole deadline.
        let _ = timeout(self.longest + FINISH, finished).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        loop {
            // Left in the backlog, a client waits a moment; without a descriptor it would be dropped.
            if self.open.get() >= self.most {
                sleep(Duration::from_millis(1)).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(self.clone().converse(stream, closing.clone()));
                }
                // Guards against EMFILE and aborted connections: neither is a reason to end.
                Err(cause) => {
                    tracing::warn!(%cause, "accept");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// All requests of one connection.
    async fn converse(self: Rc<Self>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.respond(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let closed = tokio::select! {
            ended = &mut connection => Some(ended),
            _ = closing.wait_for(|c| *c) => None,
        };
        if closed.is_none() {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        self.open.set(self.open.get() - 1);
    }

    async fn respond(&self, request: Request<hyper::body::Incoming>) -> Result<Answer, Infallible> {
        let arrived = Instant::now();
        let path = request.uri().path();
        let mut answer = if path == "/-/ready" {
            let ready = self.engine.ready() && !self.stopping.get();
            bare(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        } else if path == "/api" || path.starts_with("/api/") {
            self.api(request, arrived).await
        } else {
            bare(StatusCode::NOT_FOUND)
        };
        // Close to the limit, connections are given back so that waiting clients get their turn.
        if self.stopping.get() || self.open.get() + self.most / 8 >= self.most {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn api(&self, request: Request<hyper::body::Incoming>, arrived: Instant) -> Answer {
        let (head, body) = request.into_parts();
        let read = timeout(self.longest, Limited::new(body, BODY_LIMIT).collect());
        let Ok(Ok(body)) = read.await else { return malformed("body") };
        let body = body.to_bytes();
        let arrival = match self.arrival(&head, &body, arrived) {
            Ok(arrival) => arrival,
            Err(what) => return malformed(what),
        };
        let forward = Forward {
            method: head.method,
            uri: head.uri,
            headers: onward(head.headers, body.len()),
            body,
        };
        match self.engine.ask(arrival, forward).await {
            Reply::Served(response) => {
                let (mut head, body) = response.into_parts();
                end_to_end(&mut head.headers);
                for internal in ["x-load", "x-not-run"] {
                    head.headers.remove(internal);
                }
                head.headers.remove(CONTENT_LENGTH);
                let mut answer = Response::new(Full::new(body));
                *answer.headers_mut() = head.headers;
                answer
            }
            Reply::Refused { retry_after } => {
                let mut answer = bare(StatusCode::SERVICE_UNAVAILABLE);
                if let Some(value) = seconds(retry_after) {
                    answer.headers_mut().insert(RETRY_AFTER, value);
                }
                answer
            }
            Reply::Failed { late: true } => bare(StatusCode::GATEWAY_TIMEOUT),
            Reply::Failed { late: false } => bare(StatusCode::BAD_GATEWAY),
        }
    }

    /// Reads what the module needs to know; the error names what is wrong.
    fn arrival(
        &self,
        head: &hyper::http::request::Parts,
        body: &Bytes,
        arrived: Instant,
    ) -> Result<Arrival, &'static str> {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        text("x-request-id").filter(|id| !id.is_empty()).ok_or("X-Request-Id")?;
        let class = text("x-class").ok_or("X-Class")?;
        let class = self.facts.services.iter().position(|s| s.name == class).ok_or("X-Class")?;
        let key = head.headers.get("idempotency-key");
        let fits = match self.effects[class] {
            Effect::Safe => head.method == Method::GET && body.is_empty(),
            Effect::Keyed => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err("method");
        }
        let deadline = text("x-deadline-ms").and_then(|v| v.trim().parse::<u64>().ok());
        let deadline = deadline.filter(|ms| (1..=LONGEST_DEADLINE_MS).contains(ms));
        let deadline = Duration::from_millis(deadline.ok_or("X-Deadline-Ms")?);
        let tenant = if self.facts.tenants.is_empty() {
            0
        } else {
            let name = text("x-tenant").unwrap_or_default();
            self.facts.tenants.iter().position(|t| t.name == name).ok_or("X-Tenant")?
        };
        let hint = text("x-cost-hint").and_then(|v| v.trim().parse::<f64>().ok());
        Ok(Arrival {
            class,
            tenant,
            key: cookie(&head.headers, "sid").map(key_hash),
            until: arrived + deadline,
            cost_guess: hint.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span(us as i64)),
            resent: text("x-retry").is_some_and(|v| v == "1"),
        })
    }
}

fn bare(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn malformed(what: &str) -> Answer {
    let mut answer = Response::new(Full::from(format!("malformed: {what}\n")));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

/// `Retry-After` in decimal seconds; none for no advice.
fn seconds(span: Span) -> Option<HeaderValue> {
    if span.0 <= 0 {
        return None;
    }
    HeaderValue::from_str(&format!("{:.3}", span.f() / 1e6)).ok()
}

fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok());
    let mut pairs = lines.flat_map(|l| l.split(';')).filter_map(|p| p.trim().split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

/// The headers that go on to an upstream.
fn onward(mut headers: HeaderMap, body: usize) -> HeaderMap {
    end_to_end(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if body > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body));
    }
    // Without one the upstream could not read it as HTTP/1.1.
    headers.entry(HOST).or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Takes out what concerns one connection only (RFC 9110, 7.6.1).
fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"] {
        headers.remove(name);
    }
}
