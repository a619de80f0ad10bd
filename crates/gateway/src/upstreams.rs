//! Attempts at upstreams, and the connections kept for them.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Network;
use hollowpaddle_policy::interface::{Outcome, Report, ServerId};
use hollowpaddle_policy::settings::Field;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::attempt::{AttemptLimits, AttemptResult, UpstreamTarget};
use crate::bodies::{BodyError, MemoryBudget};
use crate::config::Config;
use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::response_body::{ResponseBody, ResponseStart, StreamedResponse, begin};
use crate::send_guard::SendGuard;
use crate::shared_stream::{SharedStream, WeakStream, is_open_and_quiet};
use crate::stream::{ObservedStream, Traffic};
use crate::streamed_body::{StreamedBody, UpstreamRequestBody};
use crate::tasks::AbortOnDrop;

/// Idle connections are dropped at this share of the upstream's own limit: a request that crosses with its
/// close would end as a reset, which no unsafe request survives.
const IDLE_OF_KEEPALIVE: f64 = 0.75;
/// A connection rests for so long behind an answer before it is used again. Failure: an upstream's second answer, some
/// milliseconds late, was taken for that of the next request, which had gone out meanwhile. A longer rest costs service where
/// requests queue for an upstream: 20 ms for all cost 0.1 on one deployment's short days.
const REST: Duration = Duration::from_millis(4);
/// And for so long where the upstream has written something that nobody asked for,
const REST_OF_SUSPECT: Duration = Duration::from_millis(20);
/// within this time.
const SUSPECT_FOR: Duration = Duration::from_secs(60);
/// How often idle connections are looked through.
const REAP_EVERY: Duration = Duration::from_millis(250);
/// How long a connection may take to be ready again once its answer is whole.
const READY: Duration = Duration::from_millis(10);
/// A connection that this machine can't open is tried again after so long at first, with twice the pause each time.
const LOCAL_RETRY: Duration = Duration::from_millis(2);
const LOCAL_RETRY_MAX: Duration = Duration::from_millis(50);
/// For so long at least. Failure: a machine that was out of ports for a moment spent all attempts of its requests within
/// milliseconds, and healthy upstreams were left alone for it.
const LOCAL_TROUBLE: Duration = Duration::from_secs(2);
/// Answers that are read, or not yet written to their clients, may take this part of the memory together.
const ANSWERS_OF_MEMORY: usize = 4;
/// No figure of a load report lies outside of this.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// A client's request as it goes on, the same for each of its attempts.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: ForwardedBody,
}

/// A client's body as it goes on.
pub enum ForwardedBody {
    /// All of it is here, for as many attempts as may be.
    Buffered(Bytes),
    /// It still comes, and is for one.
    Streamed(Rc<StreamedBody>),
}

/// A connection that no attempt is using, or that one attempt is.
struct Link {
    sender: SendRequest<UpstreamRequestBody>,
    traffic: Traffic,
    /// Gone once the connection has ended.
    stream: WeakStream,
    address: SocketAddr,
    idle_since: Instant,
    /// Bytes read by the end of its last answer.
    read_by_then: u64,
    _connection: AbortOnDrop,
}

impl Link {
    /// Guards against a close that has arrived and that the connection's own task has not been woken for yet:
    /// when it came in the same moment as a request, the request was written first, and was lost as a reset.
    fn still_open(&self) -> bool {
        is_open_and_quiet(&self.stream)
    }

    /// Whether something came on it while it was idle that was no end.
    fn has_spoken(&self) -> bool {
        let is_unread = |stream: SharedStream| {
            let stream = stream.borrow();
            !stream.is_quiet() && !stream.has_ended()
        };
        self.traffic.read() > self.read_by_then || self.stream.upgrade().is_some_and(is_unread)
    }
}

/// Whether a connection has served before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reuse {
    New,
    Pooled,
}

/// Why there is no connection to an upstream.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// All descriptors for upstreams are in use.
    #[error("no descriptor left for an upstream")]
    NoDescriptor,
    /// This machine could not open one.
    #[error("local: {0}")]
    Local(io::Error),
    /// This machine has no way to the upstream's network.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// The upstream refused it, or the network does not reach it.
    #[error("{0}")]
    Refused(io::Error),
    /// The attempt may not be written any more.
    #[error("withheld")]
    SendDenied,
    /// It did not come up in time.
    #[error("not up in time")]
    TimedOut,
    /// It came up and was of no use.
    #[error("{0}")]
    Handshake(hyper::Error),
}

impl ConnectError {
    fn of(cause: io::Error) -> Self {
        match cause.kind() {
            ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown => Self::NoRoute(cause),
            _ if hollowpaddle_net::is_local(&cause) => Self::Local(cause),
            _ => Self::Refused(cause),
        }
    }

    /// Whether the upstream has nothing to do with it, as far as can be told: nothing has reached it.
    fn is_local(&self) -> bool {
        matches!(self, Self::NoDescriptor | Self::Local(_) | Self::NoRoute(_) | Self::SendDenied)
    }
}

/// Counts a descriptor for as long as it is open.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The connections to all upstreams, and how to use them.
pub struct Pool {
    network: Rc<dyn Network>,
    idle: RefCell<FxHashMap<ServerId, Vec<Link>>>,
    /// When upstreams have last written what nobody asked for.
    suspects: RefCell<FxHashMap<ServerId, Instant>>,
    open: Rc<Cell<usize>>,
    most: usize,
    idle_limit: Duration,
    connect_timeout: Duration,
    /// When a connection came up last.
    connected: Cell<Option<Instant>>,
    answers: MemoryBudget,
    fields: Vec<(String, Field)>,
}

impl Pool {
    pub fn new(most: usize, config: &Config, network: Rc<dyn Network>) -> Rc<Self> {
        let limits = &config.facts.policy_limits;
        let ms = |ms: f64, default: f64| {
            let ms = if ms > 0.0 && ms < 1e7 { ms } else { default };
            Duration::from_secs_f64(ms / 1000.0)
        };
        let names = &config.facts.stats.names;
        let pool = Rc::new(Self {
            network,
            idle: RefCell::default(),
            suspects: RefCell::default(),
            open: Rc::default(),
            most,
            idle_limit: ms(limits.keepalive, 5000.0).mul_f64(IDLE_OF_KEEPALIVE),
            connect_timeout: ms(limits.connect_timeout, 250.0),
            connected: Cell::new(None),
            answers: MemoryBudget::new(config.memory / ANSWERS_OF_MEMORY),
            fields: names.iter().map(|n| (n.clone(), Field::named(n))).collect(),
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_EVERY).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.reap();
            }
        });
        pool
    }

    /// Drops what has idled for too long, was closed from the other side, or has spoken out of turn.
    fn reap(&self) {
        let mut spoke = Vec::new();
        self.idle.borrow_mut().retain(|server, links| {
            links.retain(|link| {
                let has_spoken = link.traffic.read() > link.read_by_then;
                if has_spoken {
                    spoke.push(*server);
                }
                self.usable(link) && !has_spoken
            });
            !links.is_empty()
        });
        spoke.into_iter().for_each(|server| self.suspect(server));
        self.suspects.borrow_mut().retain(|_, at| at.elapsed() < SUSPECT_FOR);
    }

    fn usable(&self, link: &Link) -> bool {
        !link.sender.is_closed() && link.idle_since.elapsed() < self.idle_limit
    }

    /// Drops the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// The connection used last of those that have rested: the others can age out.
    fn take(&self, server: ServerId, address: SocketAddr) -> Option<Link> {
        let rest = self.rest(server);
        loop {
            let link = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&server)?;
                // One that was put back unused may stand behind those that rest.
                let rested = links.iter().rposition(|link| link.idle_since.elapsed() >= rest)?;
                links.remove(rested)
            };
            if self.usable(&link) && link.address == address && link.still_open() {
                return Some(link);
            }
            if link.has_spoken() {
                self.suspect(server);
            }
        }
    }

    /// How long a connection to this upstream rests behind an answer.
    fn rest(&self, server: ServerId) -> Duration {
        let suspected = self.suspects.borrow().get(&server).copied();
        match suspected {
            Some(at) if at.elapsed() < SUSPECT_FOR => REST_OF_SUSPECT,
            _ => REST,
        }
    }

    /// How long until one of the idle connections to this upstream has rested; none if there is no such.
    fn rested_in(&self, server: ServerId) -> Option<Duration> {
        let rest = self.rest(server);
        let idle = self.idle.borrow();
        let left = |link: &Link| rest.saturating_sub(link.idle_since.elapsed());
        idle.get(&server)?.iter().map(left).min()
    }

    /// Notes that an upstream has written what nobody asked for.
    fn suspect(&self, server: ServerId) {
        tracing::warn!(
            upstream = server.0,
            "an upstream has written something that nobody asked for"
        );
        self.suspects.borrow_mut().insert(server, Instant::now());
    }

    /// Keeps it for the next request. To one that drains or is gone there will be none.
    fn put(&self, server: ServerId, target: &UpstreamTarget, link: Link) {
        if target.closed_from.get().is_none() {
            self.idle.borrow_mut().entry(server).or_default().push(link);
        }
    }

    /// Makes room for one more connection at the cost of the one that has idled longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // Each stack is in order of age, the oldest first.
        let oldest = idle
            .iter()
            .filter_map(|(server, links)| links.first().map(|l| (l.idle_since, *server)))
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = oldest else { return false };
        if let Some(links) = idle.get_mut(&server) {
            drop(links.remove(0));
        }
        true
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, ConnectError> {
        if !self.make_room() {
            return Err(ConnectError::NoDescriptor);
        }
        let open = Open::new(&self.open);
        let connect = timeout(self.connect_timeout, self.network.connect(address));
        let stream =
            connect.await.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::of)?;
        let (io, stream, traffic) = ObservedStream::new(stream);
        let stream = Rc::downgrade(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .max_headers(HEAD_LINES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(ConnectError::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            let _open = open;
            let _ = connection.await;
        });
        let idle_since = Instant::now();
        let _connection = AbortOnDrop(task);
        Ok(Link { sender, traffic, stream, address, idle_since, read_by_then: 0, _connection })
    }

    /// A connection for an attempt: one that is kept, or a new one. Trouble of this machine is waited out for as long as a
    /// connection may take to come up, since no upstream is to blame for it; a connection that comes free meanwhile
    /// will do.
    async fn link(&self, guard: &SendGuard, sent: &Sent) -> Result<(Link, Reuse), ConnectError> {
        let (server, target, begun) = (guard.upstream(), guard.target(), Instant::now());
        let mut pause = LOCAL_RETRY;
        loop {
            let address = target.address.get();
            if let Some(link) = self.take(server, address) {
                return Ok((link, Reuse::Pooled));
            }
            // A new one would cost its upstream more than the wait costs the request.
            if let Some(left) = self.rested_in(server) {
                if guard.check().is_err() {
                    return Err(ConnectError::SendDenied);
                }
                sleep(left).await;
                continue;
            }
            let cause = match self.connect(address).await {
                Ok(link) => return Ok((link, Reuse::New)),
                Err(cause) => cause,
            };
            let is_over = begun.elapsed() >= self.connect_timeout.max(LOCAL_TROUBLE);
            if !cause.is_local()
                || is_over
                || self.is_route_missing(&cause, begun)
                || guard.check().is_err()
            {
                tracing::debug!(upstream = server.0, %cause, "no connection");
                return Err(cause);
            }
            if !sent.waits_for_machine.replace(true) {
                tracing::warn!(upstream = server.0, %cause, "no connection, for a reason on this machine");
            }
            sleep(pause).await;
            pause = (pause * 2).min(LOCAL_RETRY_MAX);
        }
    }

    /// Whether it is this upstream's network that is out of reach and not all networks: since `begun` a connection to
    /// another has come up.
    fn is_route_missing(&self, cause: &ConnectError, begun: Instant) -> bool {
        matches!(cause, ConnectError::NoRoute(_))
            && self.connected.get().is_some_and(|at| at >= begun)
    }

    /// One attempt: at most one request reaches the wire, and `guard` is asked right before it does. Of a long answer only
    /// the beginning has to come within the time.
    pub async fn attempt(
        self: &Rc<Self>,
        forward: &ForwardedRequest,
        guard: Rc<SendGuard>,
    ) -> AttemptResult {
        let (sent, limit) = (Sent::default(), guard.limits());
        let exchange = self.exchange(forward, &guard, &sent);
        tokio::pin!(exchange);
        let until = || {
            let waits = !forward.is_spent() && sent.never_whole();
            let until = forward.until(limit);
            if waits { until.min(limit.send_by) } else { until }
        };
        loop {
            match timeout_at(until(), &mut exchange).await {
                Ok(ended) => return ended,
                // A body that flows has moved it, or the request is out by now.
                Err(_) if Instant::now() < until() => {}
                // Its upstream is not to blame for a short window, nor for this machine.
                Err(_) if sent.waits_for_machine.get() => {
                    return AttemptResult::without_response(Outcome::Moot);
                }
                Err(_) if sent.untouched() && Instant::now() < forward.until(limit) => {
                    return AttemptResult::without_response(Outcome::Moot);
                }
                // Time ran out before all of it was handed over: it cannot have run.
                Err(_) if sent.never_whole() => {
                    return AttemptResult::without_response(Outcome::ConnectFailed);
                }
                Err(_) => return AttemptResult::without_response(Outcome::Timeout),
            }
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        forward: &ForwardedRequest,
        guard: &Rc<SendGuard>,
        sent: &Sent,
    ) -> AttemptResult {
        let (server, target, begun) = (guard.upstream(), guard.target(), Instant::now());
        loop {
            let (mut link, reuse) = match self.link(guard, sent).await {
                Ok(found) => found,
                Err(cause) if self.is_route_missing(&cause, begun) => {
                    return AttemptResult::without_response(Outcome::ConnectFailed);
                }
                Err(cause) if cause.is_local() => {
                    return AttemptResult::without_response(Outcome::Moot);
                }
                Err(_) => return AttemptResult::without_response(Outcome::ConnectFailed),
            };
            sent.waits_for_machine.set(false);
            // The wait for a connection may outlast the request, the grace of a drain, or a window.
            if guard.check().is_err() {
                self.put(server, target, link);
                return AttemptResult::without_response(Outcome::Moot);
            }
            // And its upstream may have moved meanwhile: who is at its old address now is not known.
            if link.address != target.address.get() {
                continue;
            }
            let Some(request) = forward.request(guard.limits(), sent) else {
                return AttemptResult::without_response(Outcome::Moot);
            };
            if let Some(deadline) = sent.told.get() {
                guard.record_announced_deadline(deadline);
            }
            sent.start(&link.traffic);
            link.traffic.look_before_writing(guard.clone());
            let answer = match link.sender.send_request(request).await {
                // Its upstream has not begun: this is another's, or nobody's. Failure: a second answer that came
                // while a long body was on its way was taken for its answer.
                Ok(answer) if answer.status() == StatusCode::OK && sent.answered_early() => {
                    let whole = !sent.never_whole();
                    return AttemptResult::without_response(if whole {
                        Outcome::Reset
                    } else {
                        Outcome::ConnectFailed
                    });
                }
                Ok(answer) => answer,
                // And so may the wait for its first byte to be written.
                Err(_) if sent.untouched() && guard.check().is_err() => {
                    return AttemptResult::without_response(Outcome::Moot);
                }
                // A kept connection that closed before a byte went out is no attempt yet.
                Err(_) if reuse == Reuse::Pooled && sent.untouched() && !forward.is_spent() => {
                    continue;
                }
                // Its client broke off, which says nothing of the upstream: that has no whole request.
                Err(_) if forward.fault().is_some() => {
                    return AttemptResult::without_response(Outcome::Moot);
                }
                Err(_) if sent.never_whole() => {
                    return AttemptResult::without_response(Outcome::ConnectFailed);
                }
                Err(_) => return AttemptResult::without_response(Outcome::Reset),
            };
            return self.answer(server, target, link, answer).await;
        }
    }

    /// Reads an answer to its end; only then is it one. Of a long one it has to do that it begins.
    async fn answer(
        self: &Rc<Self>,
        server: ServerId,
        target: &Rc<UpstreamTarget>,
        link: Link,
        answer: Response<hyper::body::Incoming>,
    ) -> AttemptResult {
        let (head, body) = answer.into_parts();
        let report = report(&self.fields, &head.headers);
        let begun = begin(body, &self.answers).await;
        let not_run = head.headers.get("x-not-run").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
                Outcome::Full
            }
            _ => Outcome::Error,
        };
        let body = match begun {
            ResponseStart::Complete(body) => {
                self.keep(server, target, link).await;
                ResponseBody::from(body)
            }
            ResponseStart::Long { first, rest, length } if outcome == Outcome::Ok => {
                let (pool, target) = (self.clone(), target.clone());
                // The connection is this answer's, and closes with it unless that ends well.
                let link = Rc::new(RefCell::new(Some(link)));
                let kept = link.clone();
                let mut passing = StreamedResponse::new(first, rest, length, move || {
                    let Some(link) = kept.take() else { return };
                    tokio::task::spawn_local(async move { pool.keep(server, &target, link).await });
                });
                passing.hold(link);
                ResponseBody::Streamed(Box::new(passing))
            }
            // Cut short, or larger than any answer may be: it ran, and there is nothing to pass on.
            ResponseStart::Long { .. } | ResponseStart::Unusable if outcome == Outcome::Ok => {
                return AttemptResult { report, ..AttemptResult::without_response(Outcome::Reset) };
            }
            // What a failure has to say beyond its status is not waited for.
            ResponseStart::Long { .. } | ResponseStart::Unusable => {
                return AttemptResult { report, ..AttemptResult::without_response(outcome) };
            }
        };
        let response = (outcome == Outcome::Ok).then(|| Response::from_parts(head, body));
        AttemptResult { outcome, report, response }
    }

    /// Keeps a connection whose answer has come to its end for the next request, if it is of use.
    async fn keep(&self, server: ServerId, target: &UpstreamTarget, mut link: Link) {
        if let Ok(Ok(())) = timeout(READY, link.sender.ready()).await {
            link.idle_since = Instant::now();
            link.read_by_then = link.traffic.read();
            self.put(server, target, link);
        }
    }
}

/// `X-Load: TEXT name=value, name=value`; what is not understood is left out.
fn report(fields: &[(String, Field)], headers: &HeaderMap) -> Report {
    let mut report = Report::default();
    let text = headers.get("x-load").and_then(|v| v.to_str().ok());
    let Some(text) = text.and_then(|t| t.trim().strip_prefix("TEXT")) else { return report };
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        let known = fields.iter().find(|(n, _)| n == name.trim());
        if let Some((_, field)) = known.filter(|_| PLAUSIBLE.contains(&value)) {
            field.set(&mut report, value);
        }
    }
    report
}

/// How much of a request was handed to the kernel.
#[derive(Default)]
struct Sent {
    written: RefCell<Option<(Traffic, u64)>>,
    /// Its head, and its body if that was here, have this many bytes at least.
    size: Cell<u64>,
    flow: RefCell<Option<Rc<StreamedBody>>>,
    /// The deadline that the upstream is told, where its client's time has begun.
    told: Cell<Option<Duration>>,
    /// No connection could be opened for a reason on this machine, and it is tried again.
    waits_for_machine: Cell<bool>,
}

impl Sent {
    fn start(&self, traffic: &Traffic) {
        self.written.replace(Some((traffic.clone(), traffic.written())));
    }
    fn bytes(&self) -> u64 {
        self.written.borrow().as_ref().map_or(0, |(traffic, from)| traffic.written() - from)
    }
    fn untouched(&self) -> bool {
        self.bytes() == 0
    }
    /// Something came while its last byte was certainly not out.
    fn answered_early(&self) -> bool {
        let written = self.written.borrow();
        let of = written.as_ref().and_then(|(t, from)| Some(t.written_at_first_read()? - from));
        self.never_whole() || of.is_some_and(|bytes| bytes < self.size.get())
    }
    /// Its last byte is certainly not out; in doubt it is.
    fn never_whole(&self) -> bool {
        let flow = self.flow.borrow();
        let flows = flow.as_ref().is_some_and(|f| !f.is_whole());
        let passed = flow.as_ref().map_or(0, |f| f.passed());
        flows || self.bytes() < (self.size.get() + passed).max(1)
    }
}

impl ForwardedRequest {
    /// A body that flows.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedBody>> {
        match &self.body {
            ForwardedBody::Buffered(_) => None,
            ForwardedBody::Streamed(flow) => Some(flow),
        }
    }

    /// Whether it can't be sent any more.
    pub fn is_spent(&self) -> bool {
        self.streamed_body().is_some_and(|f| f.is_spent())
    }

    fn fault(&self) -> Option<BodyError> {
        self.streamed_body().and_then(|f| f.fault())
    }

    /// When an attempt has to end, as things stand.
    fn until(&self, limit: AttemptLimits) -> Instant {
        self.streamed_body()
            .map_or(limit.deadline, |f| f.limit(limit.deadline, limit.response_timeout))
    }

    fn request(&self, limit: AttemptLimits, sent: &Sent) -> Option<Request<UpstreamRequestBody>> {
        let (body, left, size) = match &self.body {
            ForwardedBody::Buffered(body) => {
                let left = limit.deadline.saturating_duration_since(Instant::now());
                sent.told.set(Some(left));
                (UpstreamRequestBody::Buffered(Full::new(body.clone())), left, body.len())
            }
            ForwardedBody::Streamed(flow) => {
                (UpstreamRequestBody::Streamed(flow.clone()), limit.response_timeout, 0)
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = HeaderValue::from_str(&left.as_millis().to_string()).ok()?;
        request.headers_mut().insert("x-deadline-ms", left);
        // Every name and value goes out with at least this much around it.
        let head: usize =
            request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        sent.size.set((head + size) as u64);
        sent.flow.replace(self.streamed_body().cloned());
        Some(request)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_as_far_as_it_is_understood() {
        let fields = ["eps", "qps", "inflight"].map(|n| (n.to_string(), Field::named(n)));
        let read = |text: &str| {
            let mut headers = HeaderMap::new();
            headers.insert("x-load", text.parse().expect("a header"));
            let r = report(&fields, &headers);
            (r.eps, r.qps, r.inflight)
        };
        assert_eq!(read("TEXT eps=0.5, qps=140, inflight=7"), (Some(0.5), Some(140.0), Some(7.0)));
        assert_eq!(read("TEXT inflight=7,queue=2, qps=NaN, eps=x,"), (None, None, Some(7.0)));
        assert_eq!(read("TEXT eps=-1, qps=1e300, inflight=0"), (None, None, Some(0.0)));
        assert_eq!(read("JSON {\"eps\": 1}"), (None, None, None));
    }

    #[test]
    fn only_what_is_certainly_not_whole_never_ran() {
        let forward = ForwardedRequest {
            method: Method::POST,
            uri: Uri::from_static("/api"),
            headers: HeaderMap::new(),
            body: ForwardedBody::Buffered(Bytes::from_static(b"0123456789")),
        };
        let sent = Sent::default();
        assert!(sent.untouched() && sent.never_whole(), "no connection yet");
        let traffic = Traffic::default();
        traffic.count_written(1000); // An earlier request on the same connection.
        let now = Instant::now();
        let limit = AttemptLimits {
            deadline: now,
            send_by: now,
            response_timeout: Duration::ZERO,
            client_deadline: now,
            retry_window_end: None,
        };
        assert!(forward.request(limit, &sent).is_some());
        sent.start(&traffic);
        assert!(sent.untouched() && sent.never_whole());
        traffic.count_written(10);
        assert!(!sent.untouched() && sent.never_whole(), "head and body are longer than the body");
        // `POST /api HTTP/1.1`, X-Deadline-Ms and the body, and not a byte less.
        let whole = "POST /api HTTP/1.1\r\nx-deadline-ms: 0\r\n\r\n0123456789".len();
        traffic.count_written(whole - 10);
        assert!(!sent.never_whole());
    }
}
