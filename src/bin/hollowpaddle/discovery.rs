//! The list of upstreams: its form, and one watch on its changes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::engine::Note;

/// A watch says something every 2 s; without a word for this long it is dead, though nothing told so (a
/// machine that is cut off sends no reset). News counts as told after 6 s, heard or not: the next call must
/// fit in before that.
const SILENCE: Duration = Duration::from_millis(3500);
/// A call that waits for its turn longer than this has failed.
const CALL: Duration = Duration::from_millis(3000);
/// No line of a list is longer than this; more is not discovery.
const LONGEST_LINE: usize = 4 << 20;

/// One message of discovery: the whole list, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub complete: bool,
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Entry>,
}

/// Guards against one entry that can't be read: it must not cost the news of all others.
fn readable<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<Entry>, D::Error> {
    let all = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |entry| {
        serde_json::from_value(entry)
            .inspect_err(|cause| tracing::warn!(%cause, "an entry of the list is left out"))
            .ok()
    };
    Ok(all.into_iter().filter_map(read).collect())
}

#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub id: String,
    /// May differ between balancers and change over time; the id is who it is. What is deleted may have none.
    #[serde(default)]
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u32,
    pub phase: Phase,
    #[serde(default = "one")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
    /// One that this build does not know: nothing says that it takes requests.
    #[serde(other)]
    Unknown,
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
    #[error("a line that is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("a line without end")]
    Endless,
    #[error("ended")]
    Ended,
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Watches from this revision on until the watch ends, and tells that too: when to ask again is decided
/// elsewhere. `serial` tells this watch from those before it.
pub async fn watch(
    address: SocketAddr,
    revision: u64,
    beats: bool,
    serial: u64,
    notes: mpsc::UnboundedSender<Note>,
) {
    if let Err(cause) = follow(address, revision, beats, serial, &notes).await {
        tracing::info!(%cause, revision, "watch over");
    }
    let _ = notes.send(Note::WatchEnded { serial });
}

async fn follow(
    address: SocketAddr,
    revision: u64,
    beats: bool,
    serial: u64,
    notes: &mpsc::UnboundedSender<Note>,
) -> Result<(), WatchError> {
    let stream = timeout(CALL, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = crate::upstreams::AbortOnDrop(tokio::task::spawn_local(async move {
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
    let mut lines = BytesMut::new();
    loop {
        let frame = if beats {
            timeout(SILENCE, body.frame()).await?
        } else {
            body.frame().await // An agent is silent while discovery is down.
        };
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        lines.extend_from_slice(&data);
        // A line may come in pieces, and several may come at once.
        while let Some(end) = lines.iter().position(|b| *b == b'\n') {
            let line = lines.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue; // A heartbeat.
            }
            let list = serde_json::from_slice(&line)?;
            let _ = notes.send(Note::Listed { serial, list });
        }
        if lines.len() > LONGEST_LINE {
            return Err(WatchError::Endless);
        }
    }
}
