//! Long answers, passed on as they come: their first bytes are held back only until they are known to be long, and no
//! more of the rest is in memory than both connections' buffers hold.

use std::error::Error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::bodies::{MemoryBudget, ReservedBytes};

/// An answer up to this size, in bytes, is passed on once it is whole (PROTOCOL: bodies hold at most 64 KiB); of a
/// longer one the first bytes are what its client waits for.
pub const LONG: usize = 64 << 10;
/// No answer is longer, in bytes. Failure: one that is said to have 3 GB kept coming until its client gave up.
const LONGEST: u64 = 64 << 20;
/// An upstream that gives nothing more of an answer for so long has gone silent; its client must be able to tell.
const SILENT: Duration = Duration::from_secs(10);

/// Why the rest of an answer is not passed on.
#[derive(Debug)]
pub enum TruncatedBody {
    /// The connection ended, or what came can't be read.
    Broken(hyper::Error),
    /// Nothing came for too long.
    Silent,
    /// It is longer than any answer is.
    TooLarge,
}

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(cause) => write!(f, "the answer broke off: {cause}"),
            Self::Silent => f.write_str("the upstream fell silent in an answer"),
            Self::TooLarge => f.write_str("the answer does not end"),
        }
    }
}

impl Error for TruncatedBody {}

/// What is known of an answer once as much of it has come as has to be waited for.
pub enum ResponseStart {
    /// All of it.
    Complete(Bytes),
    /// It is long, and begins like this.
    Long { first: Bytes, rest: Incoming, length: Option<u64> },
    /// It is none, or there is no room for it.
    Unusable,
}

/// Reads an answer to its end, or until it is known to be long.
pub async fn begin(mut body: Incoming, allowance: &MemoryBudget) -> ResponseStart {
    let length = body.size_hint().exact();
    if length.is_some_and(|n| n > LONGEST) {
        return ResponseStart::Unusable;
    }
    let long = length.is_some_and(|n| n > LONG as u64);
    let announced = if long { 0 } else { length.unwrap_or(0) as usize };
    let Some(mut room) = allowance.room(announced) else { return ResponseStart::Unusable };
    let mut read = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return ResponseStart::Unusable };
        let Ok(data) = frame.into_data() else { continue };
        if long && !data.is_empty() {
            return ResponseStart::Long { first: data, rest: body, length };
        }
        if !room.reach(read.len() + data.len()) {
            return ResponseStart::Unusable;
        }
        read.extend_from_slice(&data);
        if read.len() > LONG {
            return ResponseStart::Long {
                first: ReservedBytes::bytes(read, room),
                rest: body,
                length,
            };
        }
    }
    ResponseStart::Complete(ReservedBytes::bytes(read, room))
}

/// The body of an answer on its way to a client.
pub enum ResponseBody {
    /// There is no more of it.
    Complete(Full<Bytes>),
    /// It comes.
    Streamed(Box<StreamedResponse>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Full::new(bytes))
    }
}

/// An answer that still comes.
pub struct StreamedResponse {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    silent: Pin<Box<Sleep>>,
    /// Done once it has come to its good end.
    ended: Option<Box<dyn FnOnce()>>,
    /// Held until it is over, well or not.
    held: Vec<Box<dyn Held>>,
}

/// Whatever has to last as long as an answer.
pub trait Held {}
impl<T> Held for T {}

impl StreamedResponse {
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        ended: impl FnOnce() + 'static,
    ) -> Self {
        Self {
            first: Some(first),
            rest,
            length,
            passed: 0,
            silent: Box::pin(sleep(SILENT)),
            ended: Some(Box::new(ended)),
            held: Vec::new(),
        }
    }

    /// Holds this until the answer is over.
    pub fn hold(&mut self, held: impl Held + 'static) {
        self.held.push(Box::new(held));
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                ready!(self.silent.as_mut().poll(cx));
                return Poll::Ready(Some(Err(TruncatedBody::Silent)));
            };
            self.silent.as_mut().reset(Instant::now() + SILENT);
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(cause)) => return Poll::Ready(Some(Err(TruncatedBody::Broken(cause)))),
                None => {
                    self.ended.take().into_iter().for_each(|ended| ended());
                    return Poll::Ready(None);
                }
            }
        }
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
            Self::Streamed(passing) => {
                let next = ready!(passing.poll(cx));
                if let Some(Ok(data)) = &next {
                    passing.passed += data.len() as u64;
                    if passing.passed > LONGEST {
                        return Poll::Ready(Some(Err(TruncatedBody::TooLarge)));
                    }
                }
                if let Some(Err(cause)) = &next {
                    tracing::info!(%cause, passed = passing.passed, "a long answer is cut short");
                }
                Poll::Ready(next.map(|n| n.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_end_stream(),
            Self::Streamed(passing) => passing.ended.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Streamed(p) => {
                let left = p.length.map(|n| n.saturating_sub(p.passed));
                left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
