//! One watch on the list of upstreams.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::{Network, Stream};
use hollowpaddle_policy::list_polling;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, timeout, timeout_at};

use crate::list_reader::{ListError, ListReader, PIECE_LENGTH};
use crate::members::List;
use crate::tasks::AbortOnDrop;

/// A watch without a word for so long is dead, and so is a connection that has not come up, though nothing told so (a
/// machine that is cut off sends no reset).
pub const SILENCE: Duration = Duration::from_micros(list_polling::SILENCE.0 as u64);

/// How long the first call is waited for that discovery has taken.
const CALL_PATIENCE: Duration = Duration::from_micros(list_polling::CALL_PATIENCE.0 as u64);

/// An error that comes sooner than this after the call began was no turn waited for in vain: discovery has turned the
/// call away.
const AT_ONCE: Duration = Duration::from_millis(200);

/// How long a call is waited for that discovery has taken.
#[derive(Debug, Default)]
pub struct CallTimeout {
    /// Calls given up without an answer while discovery was crowded, since the last list.
    unanswered: u32,
}

impl CallTimeout {
    /// That of the next call.
    pub fn current(&self) -> Duration {
        CALL_PATIENCE * (1 << self.unanswered.min(list_polling::PATIENCE_DOUBLINGS))
    }

    /// Learns from the end of a call. Only where discovery is known to be crowded a call without an answer may still have
    /// been waiting for its turn. Failure: one that hung for good was waited for longer and longer, and a list that came
    /// meanwhile was late.
    pub fn call_ended(&mut self, ending: WatchEnd, is_crowded: bool) {
        if ending == WatchEnd::Unanswered && is_crowded {
            self.unanswered += 1;
        }
    }
}

/// What a watch tells.
pub enum WatchEvent {
    /// The list, or a change to it.
    List(List),
    /// It has fallen silent. Whatever it says after all is told.
    Silent,
    /// The watch is over; nothing more comes from it.
    Ended(WatchEnd),
}

/// How a watch, or the call for one, came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No connection came up.
    Unreachable,
    /// Discovery answered at once that it does not take the call: it works, and is crowded.
    ListCallRejected,
    /// Discovery took the call and then failed it, or ended a watch.
    Failed,
    /// Discovery took the call, and it was given up without an answer.
    Unanswered,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no connection in time")]
    NoConnection,
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
    /// What that tells of discovery, where the call began so long ago.
    fn ending(&self, elapsed: Duration) -> WatchEnd {
        match self {
            Self::Connect(_) | Self::NoConnection => WatchEnd::Unreachable,
            Self::Status(_) if elapsed < AT_ONCE => WatchEnd::ListCallRejected,
            Self::Unanswered(_) => WatchEnd::Unanswered,
            Self::Status(_)
            | Self::Http(_)
            | Self::Malformed(_)
            | Self::Ended
            | Self::Request(_) => WatchEnd::Failed,
        }
    }
}

/// Watches from this revision on until the watch ends, and tells that too: when to ask again is decided
/// elsewhere. A call that discovery has taken is waited for as long as `patience`.
pub async fn watch(
    network: Rc<dyn Network>,
    address: SocketAddr,
    revision: u64,
    patience: Duration,
    tell: impl Fn(WatchEvent),
) {
    let begun = Instant::now();
    let Err(cause) = follow(&*network, address, revision, begun + patience, &tell).await;
    let elapsed = begun.elapsed();
    let elapsed_ms = elapsed.as_millis() as u64;
    tracing::info!(%cause, revision, elapsed_ms, "watch over");
    tell(WatchEvent::Ended(cause.ending(elapsed)));
}

async fn follow(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
    answer_by: Instant,
    tell: &impl Fn(WatchEvent),
) -> Result<Infallible, WatchError> {
    let connect = timeout(SILENCE, network.connect(address)).await;
    let stream = connect.map_err(|_| WatchError::NoConnection)??;
    let (mut body, _connection) = timeout_at(answer_by, call(stream, address, revision)).await??;
    let (mut reader, mut answer_begun, mut told, mut silent) =
        (ListReader::default(), false, false, false);
    loop {
        let frame = if silent {
            body.frame().await
        } else if !answer_begun {
            timeout_at(answer_by, body.frame()).await?
        } else {
            match timeout(SILENCE, body.frame()).await {
                Ok(frame) => frame,
                // One that never told anything is of no use to anybody.
                Err(elapsed) if !told => return Err(elapsed.into()),
                Err(_) => {
                    tracing::info!(revision, "watch silent");
                    silent = true;
                    tell(WatchEvent::Silent);
                    continue;
                }
            }
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        // White space between objects is a heartbeat. A long list may take longer to come than a call may wait.
        answer_begun = answer_begun || !data.trim_ascii().is_empty();
        for (i, piece) in data.chunks(PIECE_LENGTH).enumerate() {
            if i > 0 {
                tokio::task::yield_now().await;
            }
            reader.take(piece, |list| {
                told = true;
                tell(WatchEvent::List(list));
            })?;
        }
    }
}

/// Asks for what follows this version; what is answered, and the task that reads it.
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
