//! One watch on the endpoint list: the call to discovery, the lists that the watch delivers, and the end or silence of the
//! watch. The engine decides when to open a watch, and interprets the lists.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::{Network, Stream};
use hollowpaddle_policy::list_polling;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Frame, Incoming};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout, timeout_at};

use crate::list_reader::{ListError, ListReader, PIECE_LENGTH};
use crate::members::List;
use crate::tasks::AbortOnDrop;

/// Time after which a watch without lists and heartbeats, or a connection attempt without a result, counts as dead. A
/// machine that is disconnected sends no TCP reset.
pub const SILENCE_TIMEOUT: Duration = Duration::from_micros(list_polling::SILENCE_TIMEOUT.0 as u64);
/// Timeout of the first call that discovery has accepted.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_micros(list_polling::CALL_TIMEOUT.0 as u64);
/// Time after which a call that discovery has accepted is given up. A call without a response that exceeds its timeout
/// remains open for that long, beside its successor, since a slow discovery may still respond.
const GIVE_UP_TIME: Duration =
    Duration::from_micros(list_polling::CALL_TIMEOUT.0 as u64 * MAX_TIMEOUT_FACTOR as u64);
/// The longest timeout of a call, in multiples of [`FIRST_CALL_TIMEOUT`].
const MAX_TIMEOUT_FACTOR: u32 = 1 << list_polling::MAX_CALL_TIMEOUT_DOUBLINGS;
/// A call that ends within this time after its start did not wait in a queue of discovery.
const REJECTION_TIME: Duration = Duration::from_millis(200);

/// Timeout of a call that discovery has accepted.
#[derive(Debug, Default)]
pub struct CallTimeout {
    /// Calls that timed out while discovery was overloaded, since the last list.
    unanswered_calls: u32,
}

impl CallTimeout {
    /// Returns the timeout of the next call.
    pub fn current(&self) -> Duration {
        let doublings = self.unanswered_calls.min(list_polling::MAX_CALL_TIMEOUT_DOUBLINGS);
        FIRST_CALL_TIMEOUT * (1 << doublings)
    }

    /// Doubles the timeout after a call to an overloaded discovery that timed out, because the call may still have been
    /// waiting in discovery's queue.
    ///
    /// If discovery is not known to be overloaded, a call without a response hung, and a longer timeout would only delay the
    /// list.
    pub fn call_ended(&mut self, end: WatchEnd, is_overloaded: bool) {
        if matches!(end, WatchEnd::Unanswered | WatchEnd::Stalled) && is_overloaded {
            self.unanswered_calls += 1;
        }
    }
}

/// An event that a watch reports.
pub enum WatchEvent {
    /// The complete endpoint list, or a change to it.
    List(List),
    /// The call has exceeded its timeout without a response. It remains open, and lists that arrive later are still reported.
    Overdue,
    /// No data has arrived for [`SILENCE_TIMEOUT`]. Lists that arrive later are still reported.
    Silent,
    /// The watch has ended. This is its last event.
    Ended(WatchEnd),
}

/// The reason for the end of a watch or of the call that opens one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No connection was established, or a proxy reports that it can't reach discovery.
    Unreachable,
    /// Discovery rejected the call immediately, so discovery is reachable and overloaded.
    ListCallRejected,
    /// Discovery rejected the call after a wait: the call waited too long, or discovery is down.
    RejectedAfterWait,
    /// Discovery began a response that ended or broke off without a complete list, or ended the watch.
    EndedWithoutList,
    /// Discovery began a response and did not complete a list in time.
    Stalled,
    /// The connection was closed without a response after a wait.
    Failed,
    /// The connection was closed immediately without a response.
    ClosedAtOnce,
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
    Status(StatusCode),
    #[error("response timed out")]
    Unanswered(#[from] Elapsed),
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] BodyError),
}

/// The reason for the end of a watch after discovery has begun its response.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("response timed out")]
    Unanswered(#[from] Elapsed),
    #[error("{0}")]
    Malformed(#[from] ListError),
    #[error("ended")]
    Ended,
}

impl WatchError {
    /// Classifies the error by the state of discovery that it shows. `elapsed` is the time since the start of the call.
    fn watch_end(&self, elapsed: Duration) -> WatchEnd {
        let has_waited = elapsed >= REJECTION_TIME;
        match self {
            Self::Connect(_) | Self::ConnectTimeout => WatchEnd::Unreachable,
            Self::Status(StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                WatchEnd::Unreachable
            }
            Self::Status(_) if has_waited => WatchEnd::RejectedAfterWait,
            Self::Status(_) => WatchEnd::ListCallRejected,
            Self::Unanswered(_) => WatchEnd::Unanswered,
            Self::Body(BodyError::Unanswered(_)) => WatchEnd::Stalled,
            Self::Body(_) => WatchEnd::EndedWithoutList,
            Self::Http(_) | Self::Request(_) if has_waited => WatchEnd::Failed,
            Self::Http(_) | Self::Request(_) => WatchEnd::ClosedAtOnce,
        }
    }
}

/// Watches for lists that follow version `revision`, and reports them until the watch ends. A call that discovery has
/// accepted is reported as overdue after `call_timeout`, and given up after [`GIVE_UP_TIME`].
pub async fn watch(
    network: Rc<dyn Network>,
    address: SocketAddr,
    revision: u64,
    call_timeout: Duration,
    report: impl Fn(WatchEvent),
) {
    let started_at = Instant::now();
    let deadline = CallDeadline {
        overdue_at: Some(started_at + call_timeout),
        give_up_at: started_at + GIVE_UP_TIME,
    };
    let Err(cause) = run(&*network, address, revision, deadline, &report).await;
    let elapsed = started_at.elapsed();
    let elapsed_ms = elapsed.as_millis() as u64;
    let end = cause.watch_end(elapsed);
    tracing::info!(%cause, ?end, revision, elapsed_ms, "watch ended");
    report(WatchEvent::Ended(end));
}

/// Calls discovery, and reports the delivered lists until the watch ends.
async fn run(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
    mut deadline: CallDeadline,
    report: &impl Fn(WatchEvent),
) -> Result<Infallible, WatchError> {
    let connect = timeout(SILENCE_TIMEOUT, network.connect(address)).await;
    let stream = connect.map_err(|_| WatchError::ConnectTimeout)??;
    let call = call(stream, address, revision);
    let (body, _connection) = deadline.limit(call, report).await??;
    let mut watch_body = WatchBody {
        body,
        reader: ListReader::default(),
        revision,
        deadline,
        has_begun: false,
        has_delivered: false,
        is_silent: false,
    };
    loop {
        let frame = watch_body.next_frame(report).await?;
        watch_body.read(frame, report).await.map_err(BodyError::from)?;
    }
}

/// The limits on the wait for a call.
struct CallDeadline {
    /// When the call exceeds its timeout; `None` once that was reported.
    overdue_at: Option<Instant>,
    give_up_at: Instant,
}

impl CallDeadline {
    /// Returns when the first list has to begin after the response has begun.
    fn list_by(&self) -> Instant {
        self.overdue_at.unwrap_or(self.give_up_at)
    }

    /// Waits for the response until the call is given up. Reports the call once it exceeds its timeout.
    async fn limit<T>(
        &mut self,
        wait: impl Future<Output = T>,
        report: &impl Fn(WatchEvent),
    ) -> Result<T, Elapsed> {
        let mut wait = pin!(wait);
        if let Some(overdue_at) = self.overdue_at {
            if let Ok(output) = timeout_at(overdue_at, wait.as_mut()).await {
                return Ok(output);
            }
            self.overdue_at = None;
            report(WatchEvent::Overdue);
        }
        timeout_at(self.give_up_at, wait).await
    }
}

/// The response body of a watch, and the state of reading it.
struct WatchBody {
    body: Incoming,
    reader: ListReader,
    /// The version that the watch follows.
    revision: u64,
    deadline: CallDeadline,
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
    ) -> Result<Frame<Bytes>, BodyError> {
        let frame = if !self.has_begun {
            timeout_at(self.deadline.list_by(), self.body.frame()).await?
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
        Ok(frame.ok_or(BodyError::Ended)??)
    }

    /// Reads a frame, and reports each list that ends in the frame. White space between lists is a heartbeat.
    async fn read(
        &mut self,
        frame: Frame<Bytes>,
        report: &impl Fn(WatchEvent),
    ) -> Result<(), ListError> {
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
