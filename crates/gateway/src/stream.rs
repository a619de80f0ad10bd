//! A TCP stream wrapper that observes data which the HTTP library does not expose: the bytes read and written, the raw head
//! of a request, and the bytes that a client sends while its request is open. It also checks the guard of an attempt before
//! the attempt's first byte.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hollowpaddle_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::http::{MAX_HEAD_BYTES, MAX_HEADER_LINES};
use crate::receive_time::{ReceiveClock, TimedBytes};
use crate::send_guard::SendGuard;
use crate::shared_stream::{SharedStream, WeakStream};

/// The number of bytes that are read ahead at once.
const READ_AHEAD_CHUNK: usize = 4 << 10;
/// Counts the bytes read and written on a stream.
#[derive(Clone, Default)]
pub struct Traffic(Rc<TrafficState>);

#[derive(Default)]
struct TrafficState {
    /// The stream that is counted.
    stream: Option<WeakStream>,
    bytes_read: Cell<u64>,
    bytes_written: Cell<u64>,
    /// Whether the last write had to wait.
    is_write_blocked: Cell<bool>,
    /// The guard to be checked before the next write.
    guard_to_check: RefCell<Option<Rc<SendGuard>>>,
    /// The guard that has allowed the next write, until that write is verified.
    guard_to_verify: RefCell<Option<Rc<SendGuard>>>,
    /// The value of `bytes_written` at the first byte received after the guard was set.
    written_at_first_read: Cell<Option<u64>>,
    /// When the kernel received the bytes that were read last.
    received_at: Cell<Option<Instant>>,
}

impl Traffic {
    /// Returns the number of bytes read from the stream.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Returns the number of bytes handed to the kernel. A request that was not handed over can't have run.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Whether the kernel has bytes, or the end of the stream, that were not read yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.stream().is_some_and(|stream| !stream.borrow().is_quiet())
    }

    /// Returns the time since the kernel received the last bytes, read or not, if that is known.
    pub fn since_last_bytes(&self) -> Option<Duration> {
        self.stream().and_then(|stream| stream.borrow().since_last_bytes())
    }

    fn stream(&self) -> Option<SharedStream> {
        self.0.stream.as_ref().and_then(WeakStream::upgrade)
    }

    /// Whether bytes are left to be written that the kernel could not take yet.
    pub fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.get()
    }

    /// Makes the next write fail if `guard` denies it, or if unread bytes have arrived by then.
    ///
    /// The guard is checked immediately before the first byte, since other tasks may run between the submission of a request
    /// to the HTTP library and the write.
    pub fn guard_next_write(&self, guard: Rc<SendGuard>) {
        self.0.guard_to_check.replace(Some(guard));
        self.0.guard_to_verify.take();
        self.0.written_at_first_read.set(None);
    }

    /// Returns the number of bytes written when the first byte was received after the guard was last set.
    pub fn written_at_first_read(&self) -> Option<u64> {
        self.0.written_at_first_read.get()
    }

    /// Returns when the kernel received the bytes that were read last, or the current time if that is not known.
    pub fn received_at(&self) -> Instant {
        self.0.received_at.get().unwrap_or_else(Instant::now)
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

/// The head of the request on a stream, byte for byte as it was received.
///
/// The HTTP library silently drops a `Content-Length` next to a `Transfer-Encoding`. Request smuggling sends both headers.
#[derive(Clone, Default)]
pub struct RawHead(Rc<RefCell<CapturedHead>>);

#[derive(Default)]
struct CapturedHead {
    bytes: Vec<u8>,
    is_paused: bool,
}

impl RawHead {
    /// Starts to capture the next head.
    pub fn start_next(&self) {
        let mut captured = self.0.borrow_mut();
        captured.bytes.clear();
        captured.is_paused = false;
    }

    /// Stops capturing until the next head.
    pub fn stop(&self) {
        self.0.borrow_mut().is_paused = true;
    }

    /// Releases the memory of the head, which has been checked.
    pub fn release(&self) {
        self.0.borrow_mut().bytes = Vec::new();
    }

    fn append(&self, bytes: &[u8]) {
        let mut captured = self.0.borrow_mut();
        if !captured.is_paused {
            let capacity = MAX_HEAD_BYTES.saturating_sub(captured.bytes.len());
            captured.bytes.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        }
    }

    /// Whether the captured bytes are the head of this request and specify the body's length at most once.
    pub fn has_single_length(&self, method: &str, target: &str, id: &[u8]) -> bool {
        let captured = self.0.borrow();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
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

/// Reads the bytes that a client sends while its request is open and the HTTP library reads nothing.
///
/// The library detects the client's close only if it holds no unread bytes. A single byte after a request would hide the
/// close, and the request would be forwarded after its client has disconnected.
#[derive(Clone)]
pub struct ReadAhead(Rc<ReadAheadState>);

struct ReadAheadState {
    /// The bytes to be passed to the library later, up to the size of a head.
    buffered: RefCell<TimedBytes>,
    is_request_complete: Cell<bool>,
    has_overflowed: Cell<bool>,
    receive_clock: ReceiveClock,
}

impl ReadAhead {
    /// Creates an empty buffer for a connection whose bytes are timed by `receive_clock`.
    pub fn new(receive_clock: ReceiveClock) -> Self {
        Self(Rc::new(ReadAheadState {
            buffered: RefCell::default(),
            is_request_complete: Cell::new(false),
            has_overflowed: Cell::new(false),
            receive_clock,
        }))
    }

    /// Records the start of a request, to which the following bytes belong.
    pub fn start_request(&self) {
        self.0.is_request_complete.set(false);
    }

    /// Records that the request was received completely. Up to the size of a head, the bytes after it are buffered for the
    /// next request. Further bytes are dropped, since a client sends one request at a time.
    pub fn finish_request(&self) {
        self.0.is_request_complete.set(true);
    }

    /// Whether the request was received completely.
    pub fn is_request_complete(&self) -> bool {
        self.0.is_request_complete.get()
    }

    /// Whether bytes were dropped, so that the following bytes on the connection can't be interpreted.
    pub fn has_overflowed(&self) -> bool {
        self.0.has_overflowed.get()
    }

    /// Ready once the client has closed or reset its connection. All bytes before the close are read, however many there are,
    /// but for those of a body that is still being received, where flow control stops the client.
    pub fn poll_client_close(&self, stream: &SharedStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut buffered = self.0.buffered.borrow_mut();
        loop {
            let capacity = MAX_HEAD_BYTES - buffered.len();
            if capacity == 0 && !self.is_request_complete() {
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
                self.0.has_overflowed.set(true);
                // Other tasks get to run between two chunks of a flood.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            buffered.push(buf.filled(), self.received_at(stream));
        }
    }

    /// Moves bytes that were read ahead and received together into `buf`. Returns when they were received; `None` if there are
    /// no such bytes.
    fn take_into(&self, buf: &mut ReadBuf<'_>) -> Option<Instant> {
        self.0.buffered.borrow_mut().take_into(buf)
    }

    /// Returns when the bytes that were just read from `stream` were received.
    fn received_at(&self, stream: &SharedStream) -> Instant {
        self.0.receive_clock.received_at(&**stream.borrow())
    }
}

/// The stream that the HTTP library uses.
pub struct ObservedStream {
    inner: SharedStream,
    traffic: Traffic,
    capture: Option<Capture>,
}

/// The observers of a client's stream.
struct Capture {
    raw_head: RawHead,
    read_ahead: ReadAhead,
}

impl ObservedStream {
    /// Wraps a stream. Returns the wrapper for the HTTP library, the shared stream for the owner, and the traffic counts.
    pub fn new(stream: Box<dyn Stream>) -> (Self, SharedStream, Traffic) {
        let inner = Rc::new(RefCell::new(stream));
        let stream = Some(Rc::downgrade(&inner));
        let traffic = Traffic(Rc::new(TrafficState { stream, ..TrafficState::default() }));
        let observed = Self { inner: inner.clone(), traffic: traffic.clone(), capture: None };
        (observed, inner, traffic)
    }

    /// Captures the heads of requests in `raw_head`, and serves reads from `read_ahead` first.
    pub fn with_capture(self, raw_head: &RawHead, read_ahead: &ReadAhead) -> Self {
        let capture = Capture { raw_head: raw_head.clone(), read_ahead: read_ahead.clone() };
        Self { capture: Some(capture), ..self }
    }

    /// Checks the guard of the next write, if there is one. Bytes received before a request is written can't be its response,
    /// but would be taken for the response.
    fn check_guard(&self) -> Result<()> {
        let Some(guard) = self.traffic.0.guard_to_check.take() else { return Ok(()) };
        if guard.check().is_ok() && self.inner.borrow().is_quiet() {
            self.traffic.0.guard_to_verify.replace(Some(guard));
            return Ok(());
        }
        Err(ErrorKind::ConnectionAborted.into())
    }

    /// Records the result of a write.
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
        let read_ahead = self.capture.as_ref().map(|capture| &capture.read_ahead);
        let ahead_received_at = read_ahead.and_then(|read_ahead| read_ahead.take_into(buf));
        if ahead_received_at.is_none() {
            ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(cx, buf))?;
        }
        let read = &buf.filled()[length_before..];
        self.traffic.count_read(read.len());
        if let Some(capture) = self.capture.as_ref().filter(|_| !read.is_empty()) {
            capture.raw_head.append(read);
            let received_at =
                ahead_received_at.unwrap_or_else(|| capture.read_ahead.received_at(&self.inner));
            self.traffic.0.received_at.set(Some(received_at));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.check_guard()?;
        let written = Pin::new(&mut *self.inner.borrow_mut()).poll_write(cx, buf);
        self.on_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_guard()?;
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
