//! A TCP stream that tells more than the HTTP library does: what was read and written, the head of a request as it came, and
//! what a client sends while its request is open. Also the place where an attempt's guard is asked before its first byte.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use hollowpaddle_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::send_guard::SendGuard;
use crate::shared_stream::SharedStream;
use crate::stall_detector::StallDetector;

/// How many bytes are read ahead at once.
const READ_AHEAD_CHUNK: usize = 4 << 10;
/// How many bytes behind a request are dropped at most to see the client's close behind them. Without a bound a client could
/// keep this process reading for as long as its request is open.
const MAX_DROPPED_BYTES: usize = 4 << 20;

/// The bytes that have passed on a stream.
#[derive(Clone, Default)]
pub struct Traffic(Rc<TrafficState>);

#[derive(Default)]
struct TrafficState {
    bytes_read: Cell<u64>,
    bytes_written: Cell<u64>,
    /// Whether the last write had to wait.
    is_write_blocked: Cell<bool>,
    /// The guard to be asked before the next write.
    guard_to_ask: RefCell<Option<Rc<SendGuard>>>,
    /// The guard that has agreed, until the write behind it is verified.
    guard_to_verify: RefCell<Option<Rc<SendGuard>>>,
    /// What was written when the first byte was received after the guard was set.
    written_at_first_read: Cell<Option<u64>>,
}

impl Traffic {
    /// Bytes read from the stream.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Bytes handed to the kernel. What was not handed over can't have run.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Whether something is left to be written that the kernel could not take yet.
    pub fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.get()
    }

    /// Has the next write fail if `guard` denies it, or if something unread has come by then.
    ///
    /// The guard is asked right before the first byte: other tasks may run between handing a message over and writing it.
    pub fn guard_next_write(&self, guard: Rc<SendGuard>) {
        self.0.guard_to_ask.replace(Some(guard));
        self.0.guard_to_verify.take();
        self.0.written_at_first_read.set(None);
    }

    /// What was written when the first byte was received after the guard was last set.
    pub fn written_at_first_read(&self) -> Option<u64> {
        self.0.written_at_first_read.get()
    }

    /// Counts bytes as handed to the kernel.
    pub fn count_written(&self, bytes: usize) {
        self.0.bytes_written.set(self.0.bytes_written.get() + bytes as u64);
    }

    fn count_read(&self, bytes: usize) {
        self.0.bytes_read.set(self.0.bytes_read.get() + bytes as u64);
        if bytes > 0 && self.0.written_at_first_read.get().is_none() {
            self.0.written_at_first_read.set(Some(self.bytes_written()));
        }
    }
}

/// The head of the request that comes on a stream, byte for byte.
///
/// The HTTP library drops a `Content-Length` beside a `Transfer-Encoding` silently, and whoever smuggles a second request in
/// a body sends both.
#[derive(Clone)]
pub struct RawHead {
    captured: Rc<RefCell<CapturedHead>>,
    stall_detector: Rc<StallDetector>,
}

#[derive(Default)]
struct CapturedHead {
    bytes: Vec<u8>,
    is_stopped: bool,
    /// How long what was read last had waited to be read.
    read_delay: Duration,
}

impl RawHead {
    /// An empty head, for one connection.
    pub fn new(stall_detector: &Rc<StallDetector>) -> Self {
        Self { captured: Rc::default(), stall_detector: stall_detector.clone() }
    }

    /// How long what was read last had waited to be read, because this process did not run.
    pub fn read_delay(&self) -> Duration {
        self.captured.borrow().read_delay
    }

    /// Begins with the next head.
    pub fn start_next(&self) {
        let mut captured = self.captured.borrow_mut();
        captured.bytes.clear();
        captured.is_stopped = false;
    }

    /// Captures nothing more until the next head.
    pub fn stop(&self) {
        self.captured.borrow_mut().is_stopped = true;
    }

    fn append(&self, bytes: &[u8]) {
        let mut captured = self.captured.borrow_mut();
        if !captured.is_stopped {
            let capacity = HEAD_LIMIT.saturating_sub(captured.bytes.len());
            captured.bytes.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        }
    }

    fn measure_read_delay(&self, stream: &SharedStream) {
        let since_received = || stream.borrow().since_last_bytes();
        let read_delay = self.stall_detector.on_read(since_received);
        self.captured.borrow_mut().read_delay = read_delay;
    }

    /// Whether what was captured is the head of this request, and gives its length in one way only.
    pub fn has_single_length(&self, method: &str, target: &str, id: &[u8]) -> bool {
        let captured = self.captured.borrow();
        let mut headers = [httparse::EMPTY_HEADER; HEAD_LINES];
        let mut head = httparse::Request::new(&mut headers);
        if !head.parse(&captured.bytes).is_ok_and(|status| status.is_complete()) {
            return false;
        }
        let values_of = |name: &'static str| {
            head.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
        };
        let has_id = values_of("x-request-id").next().is_some_and(|header| header.value == id);
        let is_this_request = head.method == Some(method) && head.path == Some(target) && has_id;
        let lengths = values_of("content-length").count() + values_of("transfer-encoding").count();
        is_this_request && lengths <= 1
    }
}

/// Reads what a client sends while its request is open and the HTTP library reads nothing.
///
/// The library looks for the client's close only where it holds nothing unread, so one byte behind a request would hide it,
/// and the request would be forwarded after its client has gone.
#[derive(Clone, Default)]
pub struct ReadAhead(Rc<ReadAheadState>);

#[derive(Default)]
struct ReadAheadState {
    /// What the library is given later, up to the size of a head.
    bytes: RefCell<BytesMut>,
    is_request_complete: Cell<bool>,
    dropped_bytes: Cell<usize>,
}

impl ReadAhead {
    /// A request begins. What comes belongs to it.
    pub fn start_request(&self) {
        self.0.is_request_complete.set(false);
    }

    /// The request was received. Of what comes behind it the size of a head is kept for the next request, and the rest is
    /// dropped: a client sends one request at a time.
    pub fn finish_request(&self) {
        self.0.is_request_complete.set(true);
    }

    /// Whether the request was received completely.
    pub fn is_request_complete(&self) -> bool {
        self.0.is_request_complete.get()
    }

    /// Whether something was dropped, so that nothing that follows on the connection makes sense.
    pub fn has_overflowed(&self) -> bool {
        self.0.dropped_bytes.get() > 0
    }

    /// Ready once the client has closed or reset its connection.
    pub fn poll_client_end(&self, stream: &SharedStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut kept = self.0.bytes.borrow_mut();
        loop {
            let capacity = HEAD_LIMIT - kept.len();
            if capacity == 0 && !self.may_drop() {
                return Poll::Pending;
            }
            let mut chunk = [MaybeUninit::uninit(); READ_AHEAD_CHUNK];
            let chunk_length =
                if capacity == 0 { READ_AHEAD_CHUNK } else { capacity.min(READ_AHEAD_CHUNK) };
            let mut buf = ReadBuf::uninit(&mut chunk[..chunk_length]);
            match ready!(Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
            if capacity == 0 {
                self.0.dropped_bytes.set(self.0.dropped_bytes.get() + buf.filled().len());
                // Others are served between two chunks of a flood.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            kept.extend_from_slice(buf.filled());
        }
    }

    /// Whether more may be dropped. What is behind a body that is still received is left to flow control.
    fn may_drop(&self) -> bool {
        self.is_request_complete() && self.0.dropped_bytes.get() < MAX_DROPPED_BYTES
    }

    /// Moves what was read ahead into `buf`. Returns whether there was anything.
    fn take_into(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut kept = self.0.bytes.borrow_mut();
        let bytes = kept.len().min(buf.remaining());
        buf.put_slice(&kept.split_to(bytes));
        bytes > 0
    }
}

/// The stream as the HTTP library uses it.
pub struct ObservedStream {
    inner: SharedStream,
    traffic: Traffic,
    raw_head: Option<RawHead>,
    read_ahead: Option<ReadAhead>,
}

impl ObservedStream {
    /// The stream for the HTTP library, the same for its owner, and the bytes that pass on it.
    pub fn new(stream: Box<dyn Stream>) -> (Self, SharedStream, Traffic) {
        let inner = Rc::new(RefCell::new(stream));
        let traffic = Traffic::default();
        let observed = Self {
            inner: inner.clone(),
            traffic: traffic.clone(),
            raw_head: None,
            read_ahead: None,
        };
        (observed, inner, traffic)
    }

    /// Captures the heads of requests in `raw_head`, and reads what is in `read_ahead` first.
    pub fn with_capture(self, raw_head: &RawHead, read_ahead: &ReadAhead) -> Self {
        let (raw_head, read_ahead) = (Some(raw_head.clone()), Some(read_ahead.clone()));
        Self { raw_head, read_ahead, ..self }
    }

    /// Asks the guard of the next write, if there is one. Bytes that are there before a request is written can't be its
    /// response, but would be taken for it.
    fn ask_guard(&self) -> Result<()> {
        let Some(guard) = self.traffic.0.guard_to_ask.take() else { return Ok(()) };
        if guard.check().is_ok() && self.inner.borrow().is_quiet() {
            self.traffic.0.guard_to_verify.replace(Some(guard));
            return Ok(());
        }
        Err(ErrorKind::ConnectionAborted.into())
    }

    /// Takes in the result of a write.
    fn on_written(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        self.traffic.0.is_write_blocked.set(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.traffic.count_written(bytes);
            if let Some(guard) = self.traffic.0.guard_to_verify.take() {
                guard.verify_sent();
            }
        }
        written
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let length_before = buf.filled().len();
        if !self.read_ahead.as_ref().is_some_and(|read_ahead| read_ahead.take_into(buf)) {
            ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(cx, buf))?;
        }
        let read = &buf.filled()[length_before..];
        self.traffic.count_read(read.len());
        if let Some(raw_head) = self.raw_head.as_ref().filter(|_| !read.is_empty()) {
            raw_head.append(read);
            raw_head.measure_read_delay(&self.inner);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.ask_guard()?;
        let written = Pin::new(&mut *self.inner.borrow_mut()).poll_write(cx, buf);
        self.on_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.ask_guard()?;
        let written = Pin::new(&mut *self.inner.borrow_mut()).poll_write_vectored(cx, bufs);
        self.on_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.inner.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.inner.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
