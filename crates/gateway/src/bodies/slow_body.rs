//! Bodies for tests that arrive slowly.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// A body whose bytes are sent by another task.
#[derive(Debug)]
pub struct SlowBody(tokio::sync::mpsc::Receiver<Bytes>);

impl Body for SlowBody {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|b| b.map(|b| Ok(Frame::data(b))))
    }
}

/// Creates a body of `bytes` bytes, one of which arrives every `interval_ms` milliseconds.
pub fn slow_body(bytes: usize, interval_ms: u64) -> SlowBody {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        for _ in 0..bytes {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            if sender.send(Bytes::from_static(b"x")).await.is_err() {
                return;
            }
        }
    });
    SlowBody(receiver)
}
