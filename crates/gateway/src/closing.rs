//! Closes clients' connections. The modules `connections` and `clients` decide when a connection closes.
//!
//! A request that crosses with the close of an idle connection must stay unread: the kernel then resets the connection, and
//! the client knows that the request was never received and sends it again. After the last response of a connection, in
//! contrast, further bytes are read and dropped, since a reset could destroy that response (RFC 9112, 9.6).

use std::future::poll_fn;
use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, timeout};

use crate::http::MAX_HEAD_BYTES;
use crate::shared_stream::SharedStream;

/// How long a client may take to close its side after the balancer's close, and to read the last bytes before that.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The largest number of bytes that are read and dropped after the last response.
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Delay between the last bytes to a client and a possible reset, so that bytes in flight to the client arrive first.
pub const RESET_DELAY: Duration = Duration::from_millis(20);
/// The response to a request that was not complete in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The reason why this side closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The HTTP exchange has ended: the client closed its side, one side announced the close, or the client sent invalid
    /// HTTP.
    ExchangeOver,
    /// The process is shutting down or quiesced, and no request is open.
    Leaving,
    /// The connection was idle for too long, or a head was not complete in time.
    Overdue,
    /// The connection was evicted in favour of another one.
    Evicted,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// After a response: further bytes are read and dropped.
    AfterResponse,
    /// In the middle of a request: a timeout response is sent first, and further bytes are dropped.
    UnfinishedRequest,
    /// Between requests: nothing more is read.
    Idle,
}

/// Shuts down the write side of `stream`, and waits up to [`LINGER_TIME`] for the client to close its side.
pub async fn close(stream: &SharedStream, mode: CloseMode) {
    if mode == CloseMode::UnfinishedRequest {
        // The response is written completely or not at all, since this mode implies that no other bytes wait to be written.
        let response = |cx: &mut Context<'_>| poll_write_timeout_response(stream, cx);
        let _ = timeout(RESET_DELAY, poll_fn(response)).await;
    }
    let _ = poll_fn(|cx| poll_shutdown(stream, cx)).await;
    let _ = match mode {
        CloseMode::AfterResponse | CloseMode::UnfinishedRequest => {
            timeout(LINGER_TIME, drain(stream)).await
        }
        CloseMode::Idle => timeout(LINGER_TIME, wait_for_client(stream)).await,
    };
}

/// Shuts down the write side of `stream` without waiting for the client. The caller drops the stream next.
pub async fn close_at_once(stream: &SharedStream, mode: CloseMode) {
    poll_fn(|cx| {
        if mode == CloseMode::UnfinishedRequest {
            let _ = poll_write_timeout_response(stream, cx);
        }
        let _ = poll_shutdown(stream, cx);
        Poll::Ready(())
    })
    .await;
}

fn poll_write_timeout_response(stream: &SharedStream, cx: &mut Context<'_>) -> Poll<Result<usize>> {
    Pin::new(&mut *stream.borrow_mut()).poll_write(cx, REQUEST_TIMEOUT_RESPONSE)
}

fn poll_shutdown(stream: &SharedStream, cx: &mut Context<'_>) -> Poll<Result<()>> {
    Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)
}

/// Reads and drops further bytes, up to [`MAX_LINGER_BYTES`].
async fn drain(stream: &SharedStream) {
    let mut discarded = vec![0; MAX_HEAD_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut discarded);
            let read = Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf);
            read.map_ok(|()| buf.filled().len())
        });
        match read.await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => remaining = remaining.saturating_sub(bytes),
        }
    }
}

/// Waits for the client's close, or for a request that crosses with this side's close and is left unread.
async fn wait_for_client(stream: &SharedStream) {
    poll_fn(|cx| stream.borrow_mut().poll_unread(cx)).await;
    if !stream.borrow().has_ended() {
        sleep(RESET_DELAY).await;
    }
}
