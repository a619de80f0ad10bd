//! A TCP stream of which more is known than hyper tells: what was read and written, and whether the kernel
//! holds something that nobody has read. It outlives hyper's use of it.

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

/// So many bytes are read ahead at once.
const CHUNK: usize = 4 << 10;
/// Of what comes behind a request so much is dropped, to see the client's end behind it. Failure: without a bound a
/// client could keep this process reading for as long as its request is open.
const DROPPED: usize = 4 << 20;

/// Bytes that passed on a stream.
#[derive(Clone, Default)]
pub struct Traffic(Rc<Passed>);

#[derive(Default)]
struct Passed {
    read: Cell<u64>,
    written: Cell<u64>,
    /// The last write had to wait.
    blocked: Cell<bool>,
    /// The next write fails if something unread has come before it, or it may not go any more.
    first_look: RefCell<Option<Rc<SendGuard>>>,
    /// Looked at that, and nothing is written yet.
    looked: RefCell<Option<Rc<SendGuard>>>,
    /// What was written by the time at which something came behind that look.
    at_first_read: Cell<Option<u64>>,
}

impl Traffic {
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    /// Bytes handed to the kernel. What was not handed over cannot have run.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Whether something is left to be written that the kernel could not take yet.
    pub fn blocked(&self) -> bool {
        self.0.blocked.get()
    }

    /// The next write is to fail if something waits to be read by then, or the message does not go any more. Failure:
    /// asked when the message was handed over, other tasks ran before its first byte was written.
    pub fn look_before_writing(&self, guard: Rc<SendGuard>) {
        self.0.first_look.replace(Some(guard));
        self.0.looked.take();
        self.0.at_first_read.set(None);
    }

    /// What was written by the time at which something came behind the last such look.
    pub fn written_at_first_read(&self) -> Option<u64> {
        self.0.at_first_read.get()
    }

    pub fn count_written(&self, bytes: usize) {
        self.0.written.set(self.0.written.get() + bytes as u64);
    }
}

/// The head of the message that comes on a stream, as it came. Failure: hyper drops a `Content-Length` beside a
/// `Transfer-Encoding` without a word, and whoever hides a second request in a body sends both.
#[derive(Clone)]
pub struct RawHead(Rc<RefCell<Kept>>, Rc<StallDetector>);

#[derive(Default)]
struct Kept {
    bytes: Vec<u8>,
    over: bool,
    /// How long what was read last had waited to be read.
    waited: Duration,
}

impl RawHead {
    /// For one connection of a process whose `sleepers` are known.
    pub fn new(sleepers: &Rc<StallDetector>) -> Self {
        Self(Rc::default(), sleepers.clone())
    }

    /// How long what was read last had waited to be read, because this process did not run.
    pub fn waited(&self) -> Duration {
        self.0.borrow().waited
    }

    /// What comes from here on belongs to the next message.
    pub fn next(&self) {
        let mut kept = self.0.borrow_mut();
        kept.bytes.clear();
        kept.over = false;
    }

    /// Nothing more is kept until the next message.
    pub fn stop(&self) {
        self.0.borrow_mut().over = true;
    }

    fn keep(&self, bytes: &[u8]) {
        let mut kept = self.0.borrow_mut();
        let room = HEAD_LIMIT.saturating_sub(kept.bytes.len());
        if !kept.over {
            kept.bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// Whether what was kept is the head of this request, and says its length in one way only.
    pub fn is_plain(&self, method: &str, target: &str, id: &[u8]) -> bool {
        let kept = self.0.borrow();
        let mut headers = [httparse::EMPTY_HEADER; HEAD_LINES];
        let mut head = httparse::Request::new(&mut headers);
        if !head.parse(&kept.bytes).is_ok_and(|s| s.is_complete()) {
            return false;
        }
        let is =
            |name: &'static str| move |h: &&httparse::Header| h.name.eq_ignore_ascii_case(name);
        let this = head.method == Some(method)
            && head.path == Some(target)
            && head.headers.iter().find(is("x-request-id")).is_some_and(|h| h.value == id);
        let framed = ["content-length", "transfer-encoding"];
        let lines = framed.map(|name| head.headers.iter().filter(is(name)).count());
        this && lines.iter().sum::<usize>() <= 1
    }
}

/// What a client sends while its request is open and hyper reads nothing. Failure: a byte behind a request hid its
/// client's close, since hyper looks for that only where it holds nothing unread; the request was sent on later.
#[derive(Clone, Default)]
pub struct ReadAhead(Rc<Ahead>);

#[derive(Default)]
struct Ahead {
    /// Up to a head's size of it is kept for hyper.
    bytes: RefCell<BytesMut>,
    /// No byte of the request is to come any more.
    whole: Cell<bool>,
    /// So many bytes more were dropped.
    dropped: Cell<usize>,
}

impl ReadAhead {
    /// A request begins; what comes belongs to it.
    pub fn begin(&self) {
        self.0.whole.set(false);
    }

    /// The request is here. A client asks one thing at a time: of what comes behind, a head's size is kept for the next
    /// request, and what is more is dropped.
    pub fn whole(&self) {
        self.0.whole.set(true);
    }

    /// Whether no byte of the request is to come any more.
    pub fn is_whole(&self) -> bool {
        self.0.whole.get()
    }

    /// Whether something was dropped: nothing that follows on the connection makes sense.
    pub fn overflowed(&self) -> bool {
        self.0.dropped.get() > 0
    }

    /// Ends once the client has closed or reset its connection.
    pub fn poll_end(&self, stream: &SharedStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut kept = self.0.bytes.borrow_mut();
        loop {
            let room = HEAD_LIMIT - kept.len();
            // What lies behind a body is left to flow control, and so is what nobody would wait for.
            if room == 0 && (!self.0.whole.get() || self.0.dropped.get() >= DROPPED) {
                return Poll::Pending;
            }
            let mut chunk = [MaybeUninit::uninit(); CHUNK];
            let most = if room == 0 { CHUNK } else { room.min(CHUNK) };
            let mut buf = ReadBuf::uninit(&mut chunk[..most]);
            match ready!(Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
            if room == 0 {
                self.0.dropped.set(self.0.dropped.get() + buf.filled().len());
                // A flood takes turns with everybody else.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            kept.extend_from_slice(buf.filled());
        }
    }

    /// Hands over what was read ahead; whether there was anything.
    fn take(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut kept = self.0.bytes.borrow_mut();
        let bytes = kept.len().min(buf.remaining());
        buf.put_slice(&kept.split_to(bytes));
        bytes > 0
    }
}

/// The stream for hyper.
pub struct ObservedStream {
    inner: SharedStream,
    traffic: Traffic,
    head: Option<RawHead>,
    ahead: Option<ReadAhead>,
}

impl ObservedStream {
    pub fn new(stream: Box<dyn Stream>) -> (Self, SharedStream, Traffic) {
        let (inner, traffic) = (Rc::new(RefCell::new(stream)), Traffic::default());
        (
            Self { inner: inner.clone(), traffic: traffic.clone(), head: None, ahead: None },
            inner,
            traffic,
        )
    }

    /// Keeps each head as it comes, too, and begins with what was read ahead.
    pub fn keeping(self, head: &RawHead, ahead: &ReadAhead) -> Self {
        Self { head: Some(head.clone()), ahead: Some(ahead.clone()), ..self }
    }

    /// Guards against bytes that came after the last look at the connection: what is there before a request
    /// is written cannot be its answer, but would be taken for it.
    fn look(&self) -> Result<()> {
        let Some(guard) = self.traffic.0.first_look.take() else { return Ok(()) };
        if guard.check().is_ok() && self.inner.borrow().is_quiet() {
            self.traffic.0.looked.replace(Some(guard));
            return Ok(());
        }
        Err(ErrorKind::ConnectionAborted.into())
    }

    fn wrote(&self, wrote: Poll<Result<usize>>) -> Poll<Result<usize>> {
        self.traffic.0.blocked.set(wrote.is_pending());
        if let Poll::Ready(Ok(n)) = wrote {
            self.traffic.count_written(n);
            if let Some(guard) = self.traffic.0.looked.take() {
                guard.verify_sent();
            }
        }
        wrote
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        if !self.ahead.as_ref().is_some_and(|ahead| ahead.take(buf)) {
            ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(cx, buf))?;
        }
        let passed = &self.traffic.0.read;
        passed.set(passed.get() + (buf.filled().len() - before) as u64);
        if buf.filled().len() > before && self.traffic.0.at_first_read.get().is_none() {
            self.traffic.0.at_first_read.set(Some(self.traffic.written()));
        }
        if let Some(head) = self.head.as_ref().filter(|_| buf.filled().len() > before) {
            head.keep(&buf.filled()[before..]);
            let waited = head.1.read(|| self.inner.borrow().since_last_bytes());
            head.0.borrow_mut().waited = waited;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.look()?;
        let wrote = Pin::new(&mut *self.inner.borrow_mut()).poll_write(cx, buf);
        self.wrote(wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.look()?;
        let wrote = Pin::new(&mut *self.inner.borrow_mut()).poll_write_vectored(cx, bufs);
        self.wrote(wrote)
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
mod tests {
    use super::*;

    #[test]
    fn a_head_is_plain_if_it_is_this_one_and_says_one_length() {
        let raw = RawHead::new(&Rc::default());
        let plain = |text: &str| {
            raw.next();
            // In pieces, as it may come.
            text.as_bytes().chunks(7).for_each(|piece| raw.keep(piece));
            raw.stop();
            raw.keep(b"Content-Length: 1\r\n");
            raw.is_plain("POST", "/api?x", b"r1")
        };
        let head = "POST /api?x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n";
        let (te, cl) = ("Transfer-Encoding: chunked\r\n", "content-LENGTH: 3\r\n");
        assert!(plain(&format!("{head}{te}\r\n0\r\n\r\n")));
        // In a body it is no header.
        assert!(plain(&format!("{head}{te}\r\n13\r\n\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")));
        assert!(!plain(&format!("{head}{te}{cl}\r\n0\r\n\r\n")));
        assert!(!plain(&format!("{head}{cl}{te}\r\n0\r\n\r\n")));
        assert!(!plain(&format!("{head}{te}")), "not whole");
        let others = [("/api?x", "/api"), ("r1", "r2"), ("POST", "PUT"), ("POST", "\r\n0")];
        for (this, other) in others {
            assert!(!plain(&format!("{head}{te}\r\n").replace(this, other)), "{other}");
        }
    }
}
