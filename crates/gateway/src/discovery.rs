//! One watch on the endpoint list: the call to discovery, the lists that it delivers, and its silence or end. When to open
//! a watch, and what a list means, is left to the engine.

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

/// A watch that has delivered nothing, not even a heartbeat, for so long is dead, and so is a connection that has not come
/// up: a machine that is cut off sends no reset.
pub const SILENCE_TIMEOUT: Duration = Duration::from_micros(list_polling::SILENCE_TIMEOUT.0 as u64);
/// How long the first call that discovery has accepted is waited for.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_micros(list_polling::CALL_TIMEOUT.0 as u64);
/// An error status that comes sooner than this after the call began is a rejection: the call did not wait for its turn.
const REJECTION_TIME: Duration = Duration::from_millis(200);

/// How long a call that discovery has accepted is waited for.
#[derive(Debug, Default)]
pub struct CallTimeout {
    /// Calls without an answer while discovery was crowded, since the last list.
    unanswered_calls: u32,
}

impl CallTimeout {
    /// The timeout of the next call.
    pub fn current(&self) -> Duration {
        let doublings = self.unanswered_calls.min(list_polling::MAX_CALL_TIMEOUT_DOUBLINGS);
        FIRST_CALL_TIMEOUT * (1 << doublings)
    }

    /// Learns from the end of a call.
    ///
    /// A call without an answer may still have been waiting for its turn only where discovery is known to be crowded.
    /// Elsewhere it hung, and longer waits would delay the list.
    pub fn call_ended(&mut self, end: WatchEnd, is_crowded: bool) {
        if end == WatchEnd::Unanswered && is_crowded {
            self.unanswered_calls += 1;
        }
    }
}

/// What a watch reports.
pub enum WatchEvent {
    /// The endpoint list, or a change to it.
    List(List),
    /// Nothing has come for [`SILENCE_TIMEOUT`]. Lists that come after all are still reported.
    Silent,
    /// The watch is over. This is its last report.
    Ended(WatchEnd),
}

/// How a watch, or the call for one, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No connection came up.
    Unreachable,
    /// Discovery rejected the call at once: it works, and is crowded.
    ListCallRejected,
    /// Discovery accepted the call and then failed it, or ended a watch.
    Failed,
    /// Discovery accepted the call and has not answered in time.
    Unanswered,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(hyper::StatusCode),
    #[error("no answer in time")]
    Unanswered(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Malformed(#[from] ListError),
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl WatchError {
    /// What the error tells of discovery, `elapsed` after the call began.
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

/// Watches for lists that follow version `revision`, and reports them until the watch ends. A call that discovery has
/// accepted is waited for as long as `call_timeout`.
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

/// Calls discovery, and reports what it delivers until that ends.
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

/// What discovery has delivered to a watch so far.
struct WatchBody {
    body: Incoming,
    reader: ListReader,
    /// The version that the watch follows.
    revision: u64,
    answer_by: Instant,
    /// Whether the first list has begun. A long one may take longer to come than a call may wait.
    has_begun: bool,
    /// Whether a list was delivered.
    has_delivered: bool,
    is_silent: bool,
}

impl WatchBody {
    /// The next frame, however long it takes once a silence is reported.
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
                // A watch that has never delivered anything is of no use.
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

    /// Reads a frame, and reports each list that ends in it. White space between lists is a heartbeat.
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
            self.reader.take(piece, |list| {
                self.has_delivered = true;
                report(WatchEvent::List(list));
            })?;
        }
        Ok(())
    }
}

/// Asks for lists that follow version `revision`. Returns the body of the response, and the task that receives it.
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
