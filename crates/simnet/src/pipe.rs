//! The two ends of a simulated connection, and the bytes in flight between them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, Bytes};
use hollowpaddle_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::Timer;

/// Maximum number of unread bytes that the kernels of sender and receiver buffer together.
const BUFFER_LENGTH: usize = 256 << 10;

/// One direction of a connection: the bytes that one end has sent and the other has not read.
#[derive(Default)]
struct Direction {
    /// Sent bytes with their times of arrival.
    segments: VecDeque<(Instant, Bytes)>,
    /// Number of bytes in `segments`.
    buffered: usize,
    /// End of the stream after the segments, with its time of arrival.
    end: Option<(Instant, EndKind)>,
    /// Whether the reader has closed its end, so that bytes that still arrive are answered by a reset.
    is_abandoned: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// How a direction ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndKind {
    Orderly,
    Reset,
}

impl Direction {
    /// Returns when the next segment, or else the end of the stream, arrives at the reader.
    fn next_arrival(&self) -> Option<Instant> {
        self.segments.front().map(|(at, _)| *at).or(self.end.map(|(at, _)| at))
    }

    fn has_reset_arrived(&self) -> bool {
        matches!(self.end, Some((at, EndKind::Reset)) if at <= Instant::now())
    }

    fn finish(&mut self, at: Instant, kind: EndKind) {
        if self.end.is_none() || kind == EndKind::Reset {
            // The end arrives after the segments sent before it.
            let arrival = self.segments.back().map_or(at, |(last, _)| (*last).max(at));
            self.end = Some((arrival, kind));
        }
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

/// One end of a connection.
pub struct End {
    incoming: Rc<RefCell<Direction>>,
    outgoing: Rc<RefCell<Direction>>,
    delay: Duration,
    timer: Timer,
    is_closed: bool,
    /// Time of arrival of the bytes that were read last.
    last_read_arrival: Option<Instant>,
}

impl End {
    /// Creates the two ends of a connection with this one-way delay.
    pub fn pair(delay: Duration) -> (Self, Self) {
        let (forward, backward) =
            (Rc::<RefCell<Direction>>::default(), Rc::<RefCell<Direction>>::default());
        let end = |incoming: &Rc<RefCell<Direction>>, outgoing: &Rc<RefCell<Direction>>| Self {
            incoming: incoming.clone(),
            outgoing: outgoing.clone(),
            delay,
            timer: Timer::default(),
            is_closed: false,
            last_read_arrival: None,
        };
        (end(&backward, &forward), end(&forward, &backward))
    }

    fn arrival(&self) -> Instant {
        Instant::now() + self.delay
    }

    fn close(&mut self, kind: EndKind) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        self.incoming.borrow_mut().is_abandoned = true;
        let at = self.arrival();
        self.outgoing.borrow_mut().finish(at, kind);
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let has_unread = !self.incoming.borrow().segments.is_empty();
        self.close(if has_unread { EndKind::Reset } else { EndKind::Orderly });
    }
}

impl Stream for End {
    fn is_quiet(&self) -> bool {
        self.incoming.borrow().next_arrival().is_none_or(|at| at > Instant::now())
    }

    fn has_ended(&self) -> bool {
        self.incoming.borrow().end.is_some_and(|(at, _)| at <= Instant::now())
    }

    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let next_arrival = self.incoming.borrow().next_arrival();
            if next_arrival.is_some_and(|at| at <= Instant::now()) {
                return Poll::Ready(());
            }
            self.incoming.borrow_mut().reader = Some(cx.waker().clone());
            let Some(at) = next_arrival else { return Poll::Pending };
            if self.timer.poll(at, cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn since_last_bytes(&self) -> Option<Duration> {
        let (now, direction) = (Instant::now(), self.incoming.borrow());
        let last_unread = direction.segments.iter().rev().map(|(at, _)| *at).find(|at| *at <= now);
        last_unread.or(self.last_read_arrival).map(|at| now - at)
    }

    fn reset(mut self: Box<Self>) {
        self.close(EndKind::Reset);
    }
}

impl AsyncRead for End {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let now = Instant::now();
            let incoming = self.incoming.clone();
            let mut direction = incoming.borrow_mut();
            let next_arrival = direction.next_arrival();
            if next_arrival.is_some_and(|at| at <= now) {
                let Some((at, segment)) = direction.segments.front_mut() else {
                    return Poll::Ready(match direction.end {
                        Some((_, EndKind::Reset)) => Err(ErrorKind::ConnectionReset.into()),
                        _ => Ok(()),
                    });
                };
                self.last_read_arrival = Some(*at);
                let count = segment.len().min(buf.remaining());
                buf.put_slice(&segment[..count]);
                segment.advance(count);
                if segment.is_empty() {
                    direction.segments.pop_front();
                }
                direction.buffered -= count;
                if let Some(writer) = direction.writer.take() {
                    writer.wake();
                }
                return Poll::Ready(Ok(()));
            }
            direction.reader = Some(cx.waker().clone());
            drop(direction);
            let Some(at) = next_arrival else { return Poll::Pending };
            if self.timer.poll(at, cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl AsyncWrite for End {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.incoming.borrow().has_reset_arrived() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let at = self.arrival();
        let mut direction = self.outgoing.borrow_mut();
        if direction.end.is_some() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if direction.is_abandoned {
            drop(direction);
            // The bytes are sent, and the other end answers them by a reset.
            self.incoming.borrow_mut().finish(at + self.delay, EndKind::Reset);
            return Poll::Ready(Ok(buf.len()));
        }
        let count = buf.len().min(BUFFER_LENGTH - direction.buffered);
        if count == 0 && !buf.is_empty() {
            direction.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        direction.segments.push_back((at, Bytes::copy_from_slice(&buf[..count])));
        direction.buffered += count;
        if let Some(reader) = direction.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let at = self.arrival();
        self.outgoing.borrow_mut().finish(at, EndKind::Orderly);
        Poll::Ready(Ok(()))
    }
}
