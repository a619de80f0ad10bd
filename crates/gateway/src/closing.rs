//! The end of a client's connection: what may still be read behind it, and what may not.
//!
//! A request that crosses with the end of a resting connection must stay unread: the kernel then resets the connection, and
//! its client knows that the request was never taken and sends it once more. What follows an answer that ends the
//! connection is read and dropped instead, since a reset could cost that answer (RFC 9112, 9.6).

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, timeout};

use crate::http::HEAD_LIMIT;
use crate::shared_stream::SharedStream;

/// A client is given so long to close its side after ours, in which it can read what was written last.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// What a client still sends behind its last answer is read up to so many bytes.
const LINGER_BYTES: usize = 4 << 20;
/// From a crossing request to the reset: bytes of ours that are under way arrive first.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// The answer to a head that is not whole in time.
const HEAD_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a connection is closed from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The HTTP exchange has ended: the client closed, asked for the close or was told of it, or sent what is no HTTP.
    ExchangeOver,
    /// The process ends, or operators send clients away; nothing was open.
    Leaving,
    /// It rested for too long, or a head was not whole in time.
    Overdue,
    /// It gave way to another.
    Evicted,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// Behind an answer: what follows is read and dropped.
    Answered,
    /// A request's head is not whole: it is answered first.
    UnfinishedHead,
    /// Between requests: nothing more is read.
    Resting,
}

/// Ends our sending, and waits until the client closes too, for a while.
pub async fn close(stream: &SharedStream, manner: CloseMode) {
    if manner == CloseMode::UnfinishedHead {
        // Taken whole or not at all: nothing of ours waits to be written, as the caller has looked.
        let answer =
            |cx: &mut Context<'_>| Pin::new(&mut *stream.borrow_mut()).poll_write(cx, HEAD_TIMEOUT);
        let _ = timeout(RESET_DELAY, poll_fn(answer)).await;
    }
    let _ = poll_fn(|cx| Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)).await;
    let _ = match manner {
        CloseMode::Answered | CloseMode::UnfinishedHead => {
            timeout(LINGER_TIME, drain(stream)).await
        }
        CloseMode::Resting => timeout(LINGER_TIME, wait_for_client(stream)).await,
    };
}

/// Reads what still comes, up to a bound.
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

/// Waits for the client's close, or for a request that crosses with ours.
async fn wait_for_client(stream: &SharedStream) {
    poll_fn(|cx| stream.borrow_mut().poll_unread(cx)).await;
    if !stream.borrow().has_ended() {
        sleep(RESET_DELAY).await;
    }
}
