//! The body of a response to a client. A short body is forwarded once it is complete. A long body is forwarded while it is
//! received, with only the buffers of both connections in memory.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::bodies::{GrowingBody, MemoryBudget};

/// The largest response that is buffered until it is complete, in bytes (PROTOCOL: bodies hold at most 64 KiB).
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest response, in bytes. A larger one could otherwise be received until its client gives up.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// How long an upstream may send no more of a response before the response is truncated in a way that its client can detect.
const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// The reason why a response is truncated.
#[derive(Debug, thiserror::Error)]
pub enum TruncatedBody {
    /// The connection to the upstream ended, or the response can't be parsed.
    #[error("connection to upstream failed: {0}")]
    Broken(hyper::Error),
    /// Nothing was received for [`UPSTREAM_SILENCE_TIMEOUT`].
    #[error("upstream stopped sending")]
    Silent,
    /// The response exceeds the size limit.
    #[error("response exceeds size limit")]
    TooLarge,
}

/// A response body, received as far as necessary before it is forwarded.
pub enum ResponseStart {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a long body.
    Long {
        /// The bytes received so far; not empty.
        first: Bytes,
        /// The body that is still to be received.
        rest: Incoming,
        /// The length of the body in bytes, if known.
        length: Option<u64>,
    },
    /// The body is truncated or too large, or the memory budget is used up.
    Unusable,
}

/// Receives a response body to its end, or until it is too long to be buffered.
pub async fn receive_start(mut body: Incoming, budget: &MemoryBudget) -> ResponseStart {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
        return ResponseStart::Unusable;
    }
    let announces_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let to_buffer = if announces_long { 0 } else { length.unwrap_or(0) as usize };
    let Some(mut received) = GrowingBody::with_capacity(to_buffer, budget) else {
        return ResponseStart::Unusable;
    };
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return ResponseStart::Unusable };
        let Ok(data) = frame.into_data() else { continue };
        if announces_long && !data.is_empty() {
            return ResponseStart::Long { first: data, rest: body, length };
        }
        if !received.append(&data) {
            return ResponseStart::Unusable;
        }
        if received.len() > MAX_BUFFERED_BYTES {
            return ResponseStart::Long { first: received.share(), rest: body, length };
        }
    }
    ResponseStart::Complete(received.share())
}

/// The body of a response to a client.
pub enum ResponseBody {
    /// A body that was received completely.
    Complete(Full<Bytes>),
    /// A body that is still being received.
    Streamed(Box<StreamedResponse>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Full::new(bytes))
    }
}

/// A response that is forwarded while it is received.
pub struct StreamedResponse {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    bytes_sent: u64,
    silence_timer: Pin<Box<Sleep>>,
    /// Called once the response is complete.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// Dropped once the response has ended, complete or not.
    attachments: Vec<Box<dyn Attachment>>,
}

/// A value that is dropped together with a response, such as the connection that delivers it.
pub trait Attachment {}
impl<T> Attachment for T {}

impl StreamedResponse {
    /// Creates a response that begins with `first`. `on_complete` is called once the response is complete.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        Self {
            first: Some(first),
            rest,
            length,
            bytes_sent: 0,
            silence_timer: Box::pin(sleep(UPSTREAM_SILENCE_TIMEOUT)),
            on_complete: Some(Box::new(on_complete)),
            attachments: Vec::new(),
        }
    }

    /// Holds `attachment` until the response has ended.
    pub fn attach(&mut self, attachment: impl Attachment + 'static) {
        self.attachments.push(Box::new(attachment));
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                ready!(self.silence_timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(TruncatedBody::Silent)));
            };
            self.silence_timer.as_mut().reset(Instant::now() + UPSTREAM_SILENCE_TIMEOUT);
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(cause)) => return Poll::Ready(Some(Err(TruncatedBody::Broken(cause)))),
                None => {
                    if let Some(on_complete) = self.on_complete.take() {
                        on_complete();
                    }
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let data = ready!(self.poll_data(cx));
        match &data {
            Some(Ok(data)) => {
                self.bytes_sent += data.len() as u64;
                if self.bytes_sent > MAX_RESPONSE_BYTES {
                    return Poll::Ready(Some(Err(TruncatedBody::TooLarge)));
                }
            }
            Some(Err(cause)) => {
                tracing::info!(%cause, bytes_sent = self.bytes_sent, "response truncated");
            }
            None => {}
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Complete(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: std::convert::Infallible| match never {}),
            Self::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_end_stream(),
            Self::Streamed(body) => body.on_complete.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Streamed(body) => {
                let left = body.length.map(|length| length.saturating_sub(body.bytes_sent));
                left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
