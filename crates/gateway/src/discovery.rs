//! One watch on the endpoint list: the call to discovery, the lists that the watch delivers, and the end or silence of the
//! watch. The engine decides when to open a watch, and interprets the lists.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::{Network, Stream};
use hollowpaddle_policy::list_polling;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::{Frame, Incoming};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, timeout, timeout_at};

use crate::list_reader::{ListError, ListReader, PIECE_LENGTH};
use crate::members::List;
use crate::tasks::AbortOnDrop;

/// Time after which a watch without lists and heartbeats, or a connection attempt without a result, counts as dead. A
/// machine that is disconnected sends no TCP reset.
pub const SILENCE_TIMEOUT: Duration = Duration::from_micros(list_polling::SILENCE_TIMEOUT.0 as u64);
/// Timeout of the first call that discovery has accepted.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_micros(list_polling::CALL_TIMEOUT.0 as u64);
/// An error status that arrives within this time after the start of the call is a rejection: the call did not wait in a
/// queue of discovery.
const REJECTION_TIME: Duration = Duration::from_millis(200);

/// Timeout of a call that discovery has accepted.
#[derive(Debug, Default)]
pub struct CallTimeout {
    /// Calls without a response while discovery was overloaded, since the last list.
    unanswered_calls: u32,
}

impl CallTimeout {
    /// Returns the timeout of the next call.
    pub fn current(&self) -> Duration {
        let doublings = self.unanswered_calls.min(list_polling::MAX_CALL_TIMEOUT_DOUBLINGS);
        FIRST_CALL_TIMEOUT * (1 << doublings)
    }

    /// Doubles the timeout after a call without a response to an overloaded discovery, because the call may still have been
    /// waiting in discovery's queue.
    ///
    /// If discovery is not known to be overloaded, a call without a response hung, and a longer timeout would only delay the
    /// list.
    pub fn call_ended(&mut self, end: WatchEnd, is_overloaded: bool) {
        if end == WatchEnd::Unanswered && is_overloaded {
            self.unanswered_calls += 1;
        }
    }
}

/// An event that a watch reports.
pub enum WatchEvent {
    /// The complete endpoint list, or a change to it.
    List(List),
    /// No data has arrived for [`SILENCE_TIMEOUT`]. Lists that arrive later are still reported.
    Silent,
    /// The watch has ended. This is its last event.
    Ended(WatchEnd),
}

/// The reason for the end of a watch or of the call that opens one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No connection was established.
    Unreachable,
    /// Discovery rejected the call immediately, so discovery is reachable and overloaded.
    ListCallRejected,
    /// Discovery accepted the call and then failed it, or ended the watch.
    Failed,
    /// Discovery accepted the call and did not respond in time.
    Unanswered,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("connection timed out")]
    ConnectTimeout,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected status {0}")]
    Status(hyper::StatusCode),
    #[error("response timed out")]
    Unanswered(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Malformed(#[from] ListError),
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl WatchError {
    /// Classifies the error by the state of discovery that it shows. `elapsed` is the time since the start of the call.
    fn watch_end(&self, elapsed: Duration) -> WatchEnd {
        match self {
            Self::Connect(_) | Self::ConnectTimeout => WatchEnd::Unreachable,
            Self::Status(_) if elapsed < REJECTION_TIME => WatchEnd::ListCallRejected,
            Self::Unanswered(_) => WatchEnd::Unanswered,
            Self::Status(_)
            | Self::Http(_)
            | Self::Malformed(_)
            | Self::Ended
            | Self::Request(_) => WatchEnd::Failed,
        }
    }
}

/// Watches for lists that follow version `revision`, and reports them until the watch ends. `call_timeout` limits the wait
/// for the response to a call that discovery has accepted.
pub async fn watch(
    network: Rc<dyn Network>,
    address: SocketAddr,
    revision: u64,
    call_timeout: Duration,
    report: impl Fn(WatchEvent),
) {
    let started_at = Instant::now();
    let answer_by = started_at + call_timeout;
    let Err(cause) = run(&*network, address, revision, answer_by, &report).await;
    let elapsed = started_at.elapsed();
    let elapsed_ms = elapsed.as_millis() as u64;
    tracing::info!(%cause, revision, elapsed_ms, "watch ended");
    report(WatchEvent::Ended(cause.watch_end(elapsed)));
}

/// Calls discovery, and reports the delivered lists until the watch ends.
async fn run(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
    answer_by: Instant,
    report: &impl Fn(WatchEvent),
) -> Result<Infallible, WatchError> {
    let connect = timeout(SILENCE_TIMEOUT, network.connect(address)).await;
    let stream = connect.map_err(|_| WatchError::ConnectTimeout)??;
    let (body, _connection) = timeout_at(answer_by, call(stream, address, revision)).await??;
    let mut watch_body = WatchBody {
        body,
        reader: ListReader::default(),
        revision,
        answer_by,
        has_begun: false,
        has_delivered: false,
        is_silent: false,
    };
    loop {
        let frame = watch_body.next_frame(report).await?;
        watch_body.read(frame, report).await?;
    }
}

/// The response body of a watch, and the state of reading it.
struct WatchBody {
    body: Incoming,
    reader: ListReader,
    /// The version that the watch follows.
    revision: u64,
    answer_by: Instant,
    /// Whether the first list has begun. A long list may take longer to arrive than the timeout of the call.
    has_begun: bool,
    /// Whether a list was delivered.
    has_delivered: bool,
    is_silent: bool,
}

impl WatchBody {
    /// Returns the next frame. After a silence is reported, the wait has no timeout.
    async fn next_frame(
        &mut self,
        report: &impl Fn(WatchEvent),
    ) -> Result<Frame<Bytes>, WatchError> {
        let frame = if !self.has_begun {
            timeout_at(self.answer_by, self.body.frame()).await?
        } else if self.is_silent {
            self.body.frame().await
        } else {
            match timeout(SILENCE_TIMEOUT, self.body.frame()).await {
                Ok(frame) => frame,
                // A silent watch that has never delivered a list counts as failed.
                Err(elapsed) if !self.has_delivered => return Err(elapsed.into()),
                Err(_) => {
                    tracing::info!(revision = self.revision, "watch silent");
                    self.is_silent = true;
                    report(WatchEvent::Silent);
                    self.body.frame().await
                }
            }
        };
        Ok(frame.ok_or(WatchError::Ended)??)
    }

    /// Reads a frame, and reports each list that ends in the frame. White space between lists is a heartbeat.
    async fn read(
        &mut self,
        frame: Frame<Bytes>,
        report: &impl Fn(WatchEvent),
    ) -> Result<(), WatchError> {
        let Ok(data) = frame.into_data() else { return Ok(()) };
        self.has_begun = self.has_begun || !data.trim_ascii().is_empty();
        for (index, piece) in data.chunks(PIECE_LENGTH).enumerate() {
            if index > 0 {
                tokio::task::yield_now().await;
            }
            self.reader.feed(piece, |list| {
                self.has_delivered = true;
                report(WatchEvent::List(list));
            })?;
        }
        Ok(())
    }
}

/// Requests the lists that follow version `revision`. Returns the body of the response and the task that receives it.
async fn call(
    stream: Box<dyn Stream>,
    address: SocketAddr,
    revision: u64,
) -> Result<(Incoming, AbortOnDrop), WatchError> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop(tokio::task::spawn_local(async move {
        let _ = connection.await;
    }));
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    Ok((response.into_body(), connection))
}
