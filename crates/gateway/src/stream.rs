//! A TCP stream of which more is known than hyper tells: what was read and written, and whether the kernel
//! holds something that nobody has read. It outlives hyper's use of it.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

use hollowpaddle_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that passed on a stream.
#[derive(Clone, Default)]
pub struct Traffic(Rc<Passed>);

#[derive(Default)]
struct Passed {
    read: Cell<u64>,
    written: Cell<u64>,
    /// The last write had to wait.
    blocked: Cell<bool>,
    /// The next write fails if something unread has come before it.
    first_look: Cell<bool>,
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

    /// The next write is to fail if something waits to be read by then.
    pub fn look_before_writing(&self) {
        self.0.first_look.set(true);
    }

    pub fn count_written(&self, bytes: usize) {
        self.0.written.set(self.0.written.get() + bytes as u64);
    }
}

/// The stream itself, for its owner.
pub type Shared = Rc<RefCell<Box<dyn Stream>>>;

/// The stream for hyper.
pub struct Tapped {
    inner: Shared,
    traffic: Traffic,
}

impl Tapped {
    pub fn new(stream: Box<dyn Stream>) -> (Self, Shared, Traffic) {
        let (inner, traffic) = (Rc::new(RefCell::new(stream)), Traffic::default());
        (Self { inner: inner.clone(), traffic: traffic.clone() }, inner, traffic)
    }

    /// Guards against bytes that came after the last look at the connection: what is there before a request
    /// is written cannot be its answer, but would be taken for it.
    fn look(&self) -> Result<()> {
        if self.traffic.0.first_look.replace(false) && !self.inner.borrow().is_quiet() {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn wrote(&self, wrote: Poll<Result<usize>>) -> Poll<Result<usize>> {
        self.traffic.0.blocked.set(wrote.is_pending());
        if let Poll::Ready(Ok(n)) = wrote {
            self.traffic.count_written(n);
        }
        wrote
    }
}

/// Whether a stream that hyper may have let go is open, and nothing unread has come on it.
pub fn still_quiet(stream: &Weak<RefCell<Box<dyn Stream>>>) -> bool {
    stream.upgrade().is_some_and(|s| s.borrow().is_quiet())
}

impl AsyncRead for Tapped {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(cx, buf))?;
        let passed = &self.traffic.0.read;
        passed.set(passed.get() + (buf.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tapped {
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
