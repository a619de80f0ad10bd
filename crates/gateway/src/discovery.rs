//! One watch on the list of upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Network;
use hollowpaddle_policy::asking;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::list_reader::{ListError, ListReader, PIECE_LENGTH};
use crate::members::List;
use crate::tasks::AbortOnDrop;

/// Without a word for so long a watch or a call is dead, though nothing told so (a machine that is cut off sends no
/// reset).
const SILENCE: Duration = Duration::from_micros(asking::SILENCE.0 as u64);

/// What a watch tells.
pub enum News {
    /// The list, or a change to it.
    List(List),
    /// It has fallen silent. Whatever it says after all is told.
    Silent,
    /// The watch is over; nothing more comes from it.
    Ended,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(hyper::StatusCode),
    #[error("silent for too long")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Malformed(#[from] ListError),
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Watches from this revision on until the watch ends, and tells that too: when to ask again is decided
/// elsewhere.
pub async fn watch(
    network: Rc<dyn Network>,
    address: SocketAddr,
    revision: u64,
    tell: impl Fn(News),
) {
    if let Err(cause) = follow(&*network, address, revision, &tell).await {
        tracing::info!(%cause, revision, "watch over");
    }
    tell(News::Ended);
}

async fn follow(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
    tell: &impl Fn(News),
) -> Result<(), WatchError> {
    // Connecting and waiting for the answer share one time: they would not fit in one after the other.
    let call = timeout(SILENCE, call(network, address, revision)).await;
    let (mut body, _connection) = call??;
    let (mut reader, mut told, mut silent) = (ListReader::default(), false, false);
    loop {
        let frame = if silent {
            body.frame().await
        } else {
            match timeout(SILENCE, body.frame()).await {
                Ok(frame) => frame,
                // One that never told anything is of no use to anybody.
                Err(elapsed) if !told => return Err(elapsed.into()),
                Err(_) => {
                    tracing::info!(revision, "watch silent");
                    silent = true;
                    tell(News::Silent);
                    continue;
                }
            }
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        // White space between objects is a heartbeat.
        for (i, piece) in data.chunks(PIECE_LENGTH).enumerate() {
            if i > 0 {
                tokio::task::yield_now().await;
            }
            reader.take(piece, |list| {
                told = true;
                tell(News::List(list));
            })?;
        }
    }
}

/// Asks for what follows this version; what is answered, and the task that reads it.
async fn call(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
) -> Result<(Incoming, AbortOnDrop), WatchError> {
    let stream = network.connect(address).await?;
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
