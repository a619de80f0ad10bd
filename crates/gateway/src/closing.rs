//! Closes a client's connection: what may still be read behind its end, and what may not. When a connection closes is left
//! to `connections` and `clients`.
//!
//! A request that crosses with the close of an idle connection must stay unread: the kernel then resets the connection, and
//! its client knows that the request was never received and sends it once more. What follows a response that ends the
//! connection is read and dropped instead, since a reset could cost that response (RFC 9112, 9.6).

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, timeout};

use crate::http::HEAD_LIMIT;
use crate::shared_stream::SharedStream;

/// How long a client is given to close its side after ours, in which it can read what was written last.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// How many bytes are read at most of what a client still sends behind its last response.
const LINGER_BYTES: usize = 4 << 20;
/// Pause between a crossing request and the reset: bytes of ours that are under way arrive first.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// The response to a head that is not complete in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a connection is closed from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The HTTP exchange has ended: the client closed, asked for the close or was told of it, or sent what is not HTTP.
    ExchangeOver,
    /// The process is shutting down, or operators send clients away, and no request is open.
    Leaving,
    /// It was idle for too long, or a head was not complete in time.
    Overdue,
    /// It gave way to another connection.
    Evicted,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// Behind a response: what follows is read and dropped.
    AfterResponse,
    /// In the middle of a request's head, which is answered first.
    UnfinishedHead,
    /// Between requests: nothing more is read.
    Idle,
}

/// Ends sending on `stream`, and waits for a while until the client closes too.
pub async fn close(stream: &SharedStream, mode: CloseMode) {
    if mode == CloseMode::UnfinishedHead {
        // Written completely or not at all: the mode says that nothing else waits to be written.
        let answer = |cx: &mut Context<'_>| {
            Pin::new(&mut *stream.borrow_mut()).poll_write(cx, HEAD_TIMEOUT_RESPONSE)
        };
        let _ = timeout(RESET_DELAY, poll_fn(answer)).await;
    }
    let _ = poll_fn(|cx| Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)).await;
    let _ = match mode {
        CloseMode::AfterResponse | CloseMode::UnfinishedHead => {
            timeout(LINGER_TIME, drain(stream)).await
        }
        CloseMode::Idle => timeout(LINGER_TIME, wait_for_client(stream)).await,
    };
}

/// Reads and drops what still comes, up to a limit.
async fn drain(stream: &SharedStream) {
    let mut scrap = vec![0; HEAD_LIMIT];
    let mut left = LINGER_BYTES;
    while left > 0 {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut scrap);
            let read = Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf);
            read.map_ok(|()| buf.filled().len())
        });
        match read.await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => left = left.saturating_sub(bytes),
        }
    }
}

/// Waits for the client's close, or for a request that crosses with ours and is left unread.
async fn wait_for_client(stream: &SharedStream) {
    poll_fn(|cx| stream.borrow_mut().poll_unread(cx)).await;
    if !stream.borrow().has_ended() {
        sleep(RESET_DELAY).await;
    }
}
