//! The side that faces clients: an HTTP server that reads requests, asks the engine, and answers once.

mod accept;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Stream;
use hollowpaddle_policy::interface::{Class, Effect, Span};
use hollowpaddle_policy::settings::{Facts, key_hash};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashSet;
use tokio::time::{Instant, sleep};

use crate::bodies::{BodyError, MemoryBudget, Pace, ReceivedBody, receive_body};
use crate::cancellation::Cancellation;
use crate::closing::{CloseReason, close};
use crate::config::{Budget, Config};
use crate::connections::{ConnectionSlot, Connections};
use crate::engine::{Arrival, EngineHandle, Reply};
use crate::forwarded_request::{ForwardedBody, ForwardedRequest};
use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::invariants::{Invariant, Violations};
use crate::response_body::ResponseBody;
use crate::shared_stream::SharedStream;
use crate::stall_detector::StallDetector;
use crate::stream::{ObservedStream, RawHead, ReadAhead};
use crate::streamed_body::StreamedBody;
use crate::tasks::CloseSignal;

/// The largest body that a client may send, in bytes.
const BODY_LIMIT: usize = 32 << 20;
/// Up to this size, in bytes, it is held here for as long as its request. A longer one is passed on while it comes, and
/// can't be sent again.
const BODY_HELD: usize = 2 << 20;
/// The front asks every 0.1 s whether clients may come, and sends them for 0.2 s more.
const NOTICE: Duration = Duration::from_millis(600);
/// Clients send their first request right away: so long a connection on which nothing was asked is given for that. Failure:
/// those that had just come up were closed with no answer.
const FIRST: Duration = Duration::from_millis(100);
/// How long what has come on a connection is given to be read before the connection closes.
const CROSSING: Duration = Duration::from_millis(2);
/// An identifier of a request may be this long.
const ID_LIMIT: usize = 128;
/// How a body must come: within 2 s, or as slowly as 64 kB/s. Failure: some clients take 1 s over 1 KB, and were cut
/// off; one that stops halfway is owed a word within 3 s.
const BODY_GRACE: Duration = Duration::from_millis(2000);
const BODY_A_BYTE: Duration = Duration::from_nanos(1_000_000_000 / (60 << 10));
/// Bodies that are read or held may take this part of the memory together.
const BODIES_OF_MEMORY: usize = 8;

/// Headers that mean nothing when they come twice.
const ONCE: [&str; 7] = [
    "host",
    "x-request-id",
    "x-class",
    "x-tenant",
    "x-deadline-ms",
    "idempotency-key",
    "content-length",
];

type Answer = Response<ResponseBody>;

pub struct Front {
    engine: EngineHandle,
    facts: Facts,
    effects: Vec<Effect>,
    deadlines: Vec<Duration>,
    longest: Duration,
    connections: Rc<Connections>,
    open_ids: RefCell<FxHashSet<TenantRequest>>,
    bodies: MemoryBudget,
    sleepers: Rc<StallDetector>,
    /// The process ends.
    stopping: Cell<bool>,
    /// By when all is answered, once it does.
    ends: Cell<Option<Instant>>,
    /// Operators send clients away.
    quiesced: Cell<bool>,
    /// How often they have said so, or the contrary.
    quiesce_serial: Cell<u64>,
    /// Given to all connections that were there by then: close once nothing is open.
    closing: RefCell<Rc<CloseSignal>>,
}

/// An id of a request, and whose: tenants choose theirs without knowing of each other.
#[derive(Clone, PartialEq, Eq, Hash)]
struct TenantRequest {
    tenant: Option<HeaderValue>,
    id: HeaderValue,
}

/// The id of a request that is open, for as long as it is.
struct OpenId<'a> {
    ids: &'a RefCell<FxHashSet<TenantRequest>>,
    id: TenantRequest,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The answer that is owed for a request once its last byte has been read.
struct Owed<'a> {
    violations: &'a Violations,
    client: &'a SharedStream,
    ahead: &'a ReadAhead,
    begun: Instant,
    is_answered: bool,
}

impl<'a> Owed<'a> {
    fn new(violations: &'a Violations, client: &'a SharedStream, ahead: &'a ReadAhead) -> Self {
        Self { violations, client, ahead, begun: Instant::now(), is_answered: false }
    }

    fn answered(&mut self, status: StatusCode) {
        self.is_answered = true;
        let elapsed_ms = self.begun.elapsed().as_millis() as u64;
        tracing::debug!(status = status.as_u16(), elapsed_ms, "answer");
    }
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        // A client that has gone is owed nothing.
        if !self.is_answered && self.ahead.is_whole() && !self.client.borrow().has_ended() {
            self.violations.count(Invariant::Unanswered, None, None);
        }
    }
}

impl Front {
    pub fn new(config: &Config, engine: EngineHandle, budget: &Budget) -> Self {
        let settings = config.facts.settings();
        let deadline = |c: &Class| Duration::from_micros(c.deadline.0.max(0) as u64);
        let deadlines: Vec<Duration> = settings.classes.iter().map(deadline).collect();
        Self {
            engine,
            facts: config.facts.clone(),
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            longest: deadlines.iter().max().copied().unwrap_or_default(),
            deadlines,
            connections: Connections::new(budget.clients, budget.clients_at_ease),
            open_ids: RefCell::default(),
            bodies: MemoryBudget::new(config.memory / BODIES_OF_MEMORY),
            sleepers: Rc::default(),
            stopping: Cell::new(false),
            ends: Cell::new(None),
            quiesced: Cell::new(false),
            quiesce_serial: Cell::new(0),
            closing: RefCell::default(),
        }
    }

    /// Sends clients away, or takes them again. Whoever has a request open has it answered, and those that idle are
    /// closed once the front has had time to notice.
    pub fn quiesce(self: &Rc<Self>, quiesced: bool) {
        if self.quiesced.replace(quiesced) == quiesced {
            return;
        }
        tracing::info!(quiesced, "by operators");
        let serial = self.quiesce_serial.get() + 1;
        self.quiesce_serial.set(serial);
        if quiesced {
            let this = self.clone();
            tokio::task::spawn_local(async move {
                sleep(NOTICE).await;
                if this.quiesce_serial.get() == serial {
                    this.close_idle();
                }
            });
        }
    }

    /// Lets all connections go that are there now, each once nothing is open on it.
    fn close_idle(&self) {
        self.closing.take().give();
    }

    /// Whether clients should go elsewhere.
    fn leaving(&self) -> bool {
        self.stopping.get() || self.quiesced.get()
    }

    /// Serves a connection that was accepted.
    fn begin(self: &Rc<Self>, stream: Box<dyn Stream>) {
        let (io, stream, traffic) = ObservedStream::new(stream);
        // It has its place before the next one is accepted, and hears the next word to close. Failure: a task that ran
        // only after that word waited for one that nobody gives.
        let (seat, closing) = (self.connections.seat(traffic), self.closing.borrow().clone());
        tokio::task::spawn_local(self.clone().converse(io, stream, seat, closing));
    }

    /// All requests of one connection, which is told to close by `closing`.
    async fn converse(
        self: Rc<Self>,
        io: ObservedStream,
        stream: SharedStream,
        seat: ConnectionSlot,
        closing: Rc<CloseSignal>,
    ) {
        let known = seat.connection();
        let raw = RawHead::new(&self.sleepers);
        let ahead = ReadAhead::default();
        let io = io.keeping(&raw, &ahead);
        let service = service_fn(|request| self.respond(request, &seat, &raw, &ahead, &stream));
        let reason = {
            let connection = http1::Builder::new()
                .header_read_timeout(None) // Each connection's own limits hold.
                .max_buf_size(HEAD_LIMIT)
                .max_headers(HEAD_LINES)
                .serve_connection(TokioIo::new(io), service);
            tokio::pin!(connection);
            let closes = async {
                closing.given().await;
                // What has come and is not read yet was asked before the close.
                let crosses = !stream.borrow().is_quiet();
                match known.is_new() {
                    true => sleep(FIRST).await,
                    false if crosses => sleep(CROSSING).await,
                    false => {}
                }
            };
            tokio::pin!(closes);
            let mut told = false;
            loop {
                let gone = poll_fn(|cx| {
                    if known.is_asked() { ahead.poll_end(&stream, cx) } else { Poll::Pending }
                });
                // The connection first: its limits are judged by what has passed on it.
                tokio::select! {
                    biased;
                    _ = &mut connection => {
                        break if told { CloseReason::Leaving } else { CloseReason::ExchangeOver };
                    }
                    () = known.outstays() => {
                        break if known.gives_way() { CloseReason::Evicted } else { CloseReason::Overdue };
                    }
                    () = gone => {
                        tracing::debug!(connection = seat.id(), "client gone");
                        return;
                    }
                    () = &mut closes, if !told => {
                        told = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        };
        let manner = known.manner(reason);
        tracing::debug!(connection = seat.id(), ?reason, ?manner, "closes");
        // Where no place is left for the next client, no more is waited for than what is there.
        let crowded = known.gives_way() && self.connections.full();
        known.closing();
        tokio::select! {
            biased;
            () = close(&stream, manner), if !crowded => {}
            () = known.evicted() => {}
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        seat: &ConnectionSlot,
        raw: &RawHead,
        ahead: &ReadAhead,
        stream: &SharedStream,
    ) -> Result<Answer, Infallible> {
        raw.stop();
        ahead.begin();
        seat.connection().asked();
        let mut owed = Owed::new(self.engine.violations(), stream, ahead);
        let path = request.uri().path();
        let mut answer = if path == "/-/ready" {
            let ready = self.engine.is_ready() && !self.leaving();
            bare(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        } else if path == "/api" || path.starts_with("/api/") {
            self.api(request, raw, ahead, stream).await
        } else {
            bare(StatusCode::NOT_FOUND)
        };
        // What follows on the connection of a client whose request makes no sense makes none either.
        let makes_none = answer.status().is_client_error() || ahead.overflowed();
        if self.leaving() || makes_none {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            seat.connection().announce_close();
        }
        // A request that follows begins behind this one's last byte, which has come: else the connection closes.
        raw.next();
        owed.answered(answer.status());
        match answer.body_mut() {
            ResponseBody::Complete(_) => seat.answered(),
            ResponseBody::Streamed(passing) => passing.attach(seat.answering()),
        }
        Ok(answer)
    }

    async fn api(
        &self,
        request: Request<Incoming>,
        raw: &RawHead,
        ahead: &ReadAhead,
        stream: &SharedStream,
    ) -> Answer {
        let (head, body) = request.into_parts();
        if let Err(what) = framed(&head, raw) {
            return malformed(what);
        }
        let pace =
            Pace { max_bytes: BODY_LIMIT, base_time: BODY_GRACE, time_per_byte: BODY_A_BYTE };
        let (body, length) = match receive_body(body, pace, BODY_HELD, &self.bodies).await {
            Ok(ReceivedBody::Complete(body)) => {
                ahead.whole();
                let length = Some(body.len() as u64);
                (ForwardedBody::Buffered(body), length)
            }
            Ok(ReceivedBody::Long { first, rest, length }) => {
                (ForwardedBody::Streamed(StreamedBody::new(first, rest, length, pace)), length)
            }
            Err(why) => return not_taken(why),
        };
        // A request's time counts from its last byte (PROTOCOL, 'Figures'), also where nobody ran to read it; of one
        // that flows the engine is told.
        let arrived = Instant::now();
        let arrived = arrived.checked_sub(raw.waited()).unwrap_or(arrived);
        // Two requests of one id could not be told apart at an upstream.
        let Some(_open) = self.open_id(&head.headers) else {
            return bare(StatusCode::CONFLICT);
        };
        let arrival = match self.arrival(&head, length == Some(0), arrived, stream) {
            Ok(arrival) => arrival,
            Err(what) => return malformed(what),
        };
        let request = self.engine.next_id();
        tracing::debug!(request = request.0, id = ?head.headers.get("x-request-id"), "request");
        let forward = ForwardedRequest {
            method: head.method,
            uri: origin_form(head.uri),
            headers: onward(head.headers, length),
            body,
        };
        let flow = forward.streamed_body().cloned();
        let reply = self.engine.submit(request, arrival, forward).await;
        if let Some(why) = flow.and_then(|f| f.client_fault()).filter(|_| !reply.is_served()) {
            return not_taken(why);
        }
        match reply {
            Reply::Served(response) => {
                let (mut head, body) = response.into_parts();
                end_to_end(&mut head.headers);
                for internal in ["x-load", "x-not-run"] {
                    head.headers.remove(internal);
                }
                head.headers.remove(CONTENT_LENGTH);
                let mut answer = Response::new(body);
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

    fn open_id(&self, headers: &HeaderMap) -> Option<OpenId<'_>> {
        let id = headers.get("x-request-id")?.clone();
        let id = TenantRequest { tenant: headers.get("x-tenant").cloned(), id };
        let is_new = self.open_ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId { ids: &self.open_ids, id })
    }

    /// Reads what the module needs to know; the error names what is wrong.
    fn arrival(
        &self,
        head: &Parts,
        empty: bool,
        arrived: Instant,
        stream: &SharedStream,
    ) -> Result<Arrival, &'static str> {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let class = text("x-class").ok_or("X-Class")?;
        let class = self.facts.services.iter().position(|s| s.name == class).ok_or("X-Class")?;
        let key = head.headers.get("idempotency-key");
        let fits = match self.effects[class] {
            Effect::Safe => head.method == Method::GET && empty,
            Effect::Keyed => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err("method");
        }
        let deadline = text("x-deadline-ms").filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        let deadline = deadline.and_then(|v| v.parse::<u64>().ok()).filter(|ms| *ms > 0);
        // No client waits longer than its class's deadline, whatever it says.
        let deadline =
            Duration::from_millis(deadline.ok_or("X-Deadline-Ms")?).min(self.deadlines[class]);
        let tenant = if self.facts.tenants.is_empty() {
            0
        } else {
            let name = text("x-tenant").unwrap_or_default();
            self.facts.tenants.position(name).ok_or("X-Tenant")?
        };
        let hint = text("x-cost-hint").and_then(|v| v.trim().parse::<f64>().ok());
        Ok(Arrival {
            class,
            tenant,
            key: cookie(&head.headers, "sid").map(key_hash),
            client_deadline: self
                .ends
                .get()
                .map_or(arrived + deadline, |ends| ends.min(arrived + deadline)),
            cost_guess: hint.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span(us as i64)),
            resent: text("x-retry").is_some_and(|v| v == "1"),
            cancellation: Cancellation::new(stream),
        })
    }
}

/// Whether the request is framed and named such that nobody behind can read it in another way; the error
/// names what is wrong. The one transfer coding is `chunked`, alone (RFC 9112, 6.1 and 7.1).
fn framed(head: &Parts, raw: &RawHead) -> Result<(), &'static str> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let id = head.headers.get("x-request-id").map_or(&[][..], |v| v.as_bytes());
        let target = head.uri.to_string();
        let chunked =
            coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
        if !chunked || !raw.is_plain(head.method.as_str(), &target, id) {
            return Err("Transfer-Encoding");
        }
    }
    // A target in absolute form names the host once more (RFC 9112, 3.2.2).
    let host = head.headers.get(HOST).map_or(&[][..], |v| v.as_bytes());
    if head.uri.authority().is_some_and(|a| a.as_str().as_bytes() != host) {
        return Err("target");
    }
    for name in ONCE {
        if head.headers.get_all(name).iter().nth(1).is_some() {
            return Err(name);
        }
    }
    let plain = |v: &HeaderValue| v.to_str().is_ok();
    if !head.headers.contains_key(HOST) || !head.headers.values().all(plain) {
        return Err("headers");
    }
    let id = head.headers.get("x-request-id").map_or(0, HeaderValue::len);
    if (1..=ID_LIMIT).contains(&id) { Ok(()) } else { Err("X-Request-Id") }
}

/// The target as an upstream is to see it (RFC 9112, 3.2.1).
fn origin_form(target: Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or(target, Uri::from)
}

fn bare(status: StatusCode) -> Answer {
    let mut answer = Response::new(Bytes::new().into());
    *answer.status_mut() = status;
    answer
}

/// The word to a client whose body was not taken.
fn not_taken(why: BodyError) -> Answer {
    match why {
        BodyError::Malformed => malformed("body"),
        BodyError::TooLarge => bare(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::TooSlow => bare(StatusCode::REQUEST_TIMEOUT),
        BodyError::OutOfMemory => bare(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn malformed(what: &str) -> Answer {
    let mut answer = Response::new(Bytes::from(format!("malformed: {what}\n")).into());
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

/// The headers that go on to an upstream with a body of so many bytes; one of unknown length goes in chunks.
fn onward(mut headers: HeaderMap, length: Option<u64>) -> HeaderMap {
    end_to_end(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = length.filter(|n| *n > 0) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
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
