//! The body of a response on its way to a client. A short one is passed on once it is complete. A long one is passed on while
//! it is received, with no more of it in memory than the buffers of both connections hold.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::bodies::{MemoryBudget, ReservedBytes};

/// A response up to this size, in bytes, is passed on once it is complete (PROTOCOL: bodies hold at most 64 KiB).
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest response, in bytes. One that announces more, or sends it, would be received until its client gives up.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// How long an upstream may send nothing more of a response before the response is truncated, so that its client can tell.
const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the rest of a response is not passed on.
#[derive(Debug, thiserror::Error)]
pub enum TruncatedBody {
    /// The connection ended, or what was received can't be read.
    #[error("the answer broke off: {0}")]
    Broken(hyper::Error),
    /// Nothing was received for too long.
    #[error("the upstream fell silent in an answer")]
    Silent,
    /// It is longer than any response may be.
    #[error("the answer does not end")]
    TooLarge,
}

/// What was received of a response when its client need not wait any longer.
pub enum ResponseStart {
    /// All of it.
    Complete(Bytes),
    /// The beginning of a long one.
    Long {
        /// What was received; not empty.
        first: Bytes,
        /// What is still to come.
        rest: Incoming,
        /// The length of the body in bytes, if it is known.
        length: Option<u64>,
    },
    /// It broke off or is too large, or there is no memory for it.
    Unusable,
}

/// Receives a response to its end, or until it is known to be long.
pub async fn receive_start(mut body: Incoming, budget: &MemoryBudget) -> ResponseStart {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_RESPONSE_BYTES) {
        return ResponseStart::Unusable;
    }
    let announces_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let to_buffer = if announces_long { 0 } else { length.unwrap_or(0) as usize };
    let Some(mut reservation) = budget.reserve(to_buffer) else { return ResponseStart::Unusable };
    let mut received = BytesMut::with_capacity(to_buffer);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return ResponseStart::Unusable };
        let Ok(data) = frame.into_data() else { continue };
        if announces_long && !data.is_empty() {
            return ResponseStart::Long { first: data, rest: body, length };
        }
        if !reservation.grow_to(received.len() + data.len()) {
            return ResponseStart::Unusable;
        }
        received.extend_from_slice(&data);
        if received.len() > MAX_BUFFERED_BYTES {
            let first = ReservedBytes::share(received, reservation);
            return ResponseStart::Long { first, rest: body, length };
        }
    }
    ResponseStart::Complete(ReservedBytes::share(received, reservation))
}

/// The body of a response on its way to a client.
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

/// A response that is passed on while it is received.
pub struct StreamedResponse {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    bytes_sent: u64,
    silence_timer: Pin<Box<Sleep>>,
    /// Called once the response has ended as it should.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// Dropped once the response is over, well or not.
    attachments: Vec<Box<dyn Attachment>>,
}

/// Whatever has to last as long as a response.
pub trait Attachment {}
impl<T> Attachment for T {}

impl StreamedResponse {
    /// A response that begins with `first`. `on_complete` is called once it has ended as it should.
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

    /// Keeps `attachment` until the response is over.
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
