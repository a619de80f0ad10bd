//! Tests when bytes count as received, with a kernel that tells and with one that does not.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::advance;

use super::*;

const MS: Duration = Duration::from_millis(1);
const ZERO: Duration = Duration::ZERO;

/// The kernel's view of a socket.
#[derive(Clone, Copy)]
struct Socket {
    since_last_bytes: Option<Duration>,
    has_bytes: bool,
}

/// A stream of which only the kernel's view is used.
struct FakeStream(Rc<RefCell<Socket>>);

impl Stream for FakeStream {
    fn is_quiet(&self) -> bool {
        !self.0.borrow().has_bytes
    }
    fn has_ended(&self) -> bool {
        false
    }
    fn poll_unread(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }
    fn since_last_bytes(&self) -> Option<Duration> {
        self.0.borrow().since_last_bytes
    }
    fn reset(self: Box<Self>) {}
}

impl AsyncRead for FakeStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for FakeStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Pending
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Pending
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

/// Accepts a connection that the kernel sees like this, and returns when its client fell silent and when the bytes of its
/// first two reads were received, as times before the accept.
fn accept(socket: Socket, max_wait: Duration) -> (Duration, [Duration; 2]) {
    let stream = FakeStream(Rc::new(RefCell::new(socket)));
    let now = Instant::now();
    let accepted = AcceptedConnection::examine(&stream, max_wait);
    let clock = ReceiveClock::new(&accepted);
    let waits = [(); 2].map(|()| now - clock.received_at(&stream));
    (now - accepted.silent_since, waits)
}

#[tokio::test(start_paused = true)]
async fn kernel_tells_the_wait_in_the_backlog() {
    advance(5000 * MS).await;
    let socket = |ms: u32, has_bytes| Socket { since_last_bytes: Some(ms * MS), has_bytes };
    // The kernel is believed beyond the bound, which is unknown for a socket of a previous process.
    assert_eq!(accept(socket(1200, true), MS), (ZERO, [1200 * MS; 2]));
    assert_eq!(accept(socket(1200, false), MS).0, 1200 * MS);
    assert_eq!(accept(socket(10, true), 900 * MS), (ZERO, [ZERO; 2]), "within a tick");
}

#[tokio::test(start_paused = true)]
async fn longest_possible_wait_counts_where_the_kernel_does_not_tell() {
    advance(5000 * MS).await;
    let socket = |has_bytes| Socket { since_last_bytes: None, has_bytes };
    // Bytes of a later read have arrived since the first read.
    assert_eq!(accept(socket(true), 900 * MS), (ZERO, [900 * MS, ZERO]));
    assert_eq!(accept(socket(false), 900 * MS), (900 * MS, [ZERO; 2]));
    assert_eq!(accept(socket(true), ZERO), (ZERO, [ZERO; 2]));
}

#[tokio::test(start_paused = true)]
async fn kernel_tells_the_wait_on_a_kept_connection() {
    advance(5000 * MS).await;
    let socket = Rc::new(RefCell::new(Socket { since_last_bytes: Some(ZERO), has_bytes: true }));
    let stream = FakeStream(socket.clone());
    let clock = ReceiveClock::new(&AcceptedConnection::examine(&stream, ZERO));
    for wait in [ZERO, 9 * MS, 150 * MS, 3000 * MS] {
        advance(100 * MS).await;
        socket.borrow_mut().since_last_bytes = Some(wait);
        let expected = if wait < 10 * MS { ZERO } else { wait };
        assert_eq!(Instant::now() - clock.received_at(&stream), expected);
    }
    socket.borrow_mut().since_last_bytes = None;
    assert_eq!(clock.received_at(&stream), Instant::now(), "unknown");
}

#[tokio::test(start_paused = true)]
async fn time_of_a_request_begins_with_its_last_byte_and_not_with_the_next_request() {
    advance(5000 * MS).await;
    let head_received_at = Instant::now() - 900 * MS;
    let head = HeadTime::new(head_received_at);
    let read_ahead_at = Instant::now() - 100 * MS;
    advance(300 * MS).await;
    let now = Instant::now();
    assert_eq!(head.end_of_request(true, now), head_received_at, "bytes of the next request");
    assert_eq!(head.end_of_request(false, now), now, "bytes of the body");
    assert_eq!(head.end_of_request(false, read_ahead_at), head_received_at, "sent at once");
}

#[tokio::test(start_paused = true)]
async fn bytes_keep_the_times_at_which_they_were_received() {
    let start = Instant::now();
    let mut bytes = TimedBytes::default();
    for (text, at) in [("ab", 0), ("c", 10), ("def", 30), ("g", 41)] {
        bytes.push(text.as_bytes(), start + at * MS);
    }
    assert_eq!(bytes.len(), 7);
    let mut take = |capacity: usize| {
        let mut space = vec![0; capacity];
        let mut buf = ReadBuf::new(&mut space);
        let received_at = bytes.take_into(&mut buf);
        let text = String::from_utf8_lossy(buf.filled()).into_owned();
        received_at.map(|at| (text, at - start))
    };
    assert_eq!(take(10), Some(("abc".to_string(), ZERO)));
    assert_eq!(take(2), Some(("de".to_string(), 30 * MS)));
    assert_eq!(take(10), Some(("f".to_string(), 30 * MS)));
    assert_eq!(take(10), Some(("g".to_string(), 41 * MS)));
    assert_eq!(take(10), None);
}
