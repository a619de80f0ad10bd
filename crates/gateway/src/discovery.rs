//! One watch on the list of upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Network;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::members::List;
use crate::objects::{ObjectError, Objects};
use crate::tasks::AbortOnDrop;

/// A watch says something every 2 s; without a word for this long it is dead, though nothing told so (a
/// machine that is cut off sends no reset). News counts as told after 6 s, heard or not: the next call must
/// fit in before that.
const SILENCE: Duration = Duration::from_millis(3500);
/// A call that waits for its turn longer than this has failed.
const CALL: Duration = Duration::from_millis(3000);

/// What a watch tells.
pub enum News {
    /// The list, or a change to it.
    List(List),
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
    Malformed(#[from] ObjectError),
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
    beats: bool,
    tell: impl Fn(News),
) {
    if let Err(cause) = follow(&*network, address, revision, beats, &tell).await {
        tracing::info!(%cause, revision, "watch over");
    }
    tell(News::Ended);
}

async fn follow(
    network: &dyn Network,
    address: SocketAddr,
    revision: u64,
    beats: bool,
    tell: &impl Fn(News),
) -> Result<(), WatchError> {
    let stream = timeout(CALL, network.connect(address)).await??;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDrop(tokio::task::spawn_local(async move {
        let _ = connection.await;
    }));
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(CALL, sender.send_request(request)).await??;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut objects = Objects::default();
    loop {
        let frame = if beats {
            timeout(SILENCE, body.frame()).await?
        } else {
            body.frame().await // An agent is silent while discovery is down.
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        // White space between objects is a heartbeat.
        objects.take(&data, |list| tell(News::List(list)))?;
    }
}
