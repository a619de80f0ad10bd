//! Memory for the bodies of requests and answers, and the reading of a client's body within it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// What bodies of one side may take together. Atomic since `Bytes` asks for it; there is one thread.
#[derive(Clone)]
pub struct MemoryBudget {
    taken: Arc<AtomicUsize>,
    most: usize,
}

/// A part of it, for as long as it is held.
pub struct MemoryReservation {
    of: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    pub fn new(most: usize) -> Self {
        Self { taken: Arc::default(), most }
    }

    pub fn room(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut room = MemoryReservation { of: self.clone(), bytes: 0 };
        room.reach(bytes).then_some(room)
    }
}

impl MemoryReservation {
    /// Grows to so many bytes, if there are as many left.
    pub fn reach(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let taken = self.of.taken.load(Relaxed);
        let fits = more <= self.of.most.saturating_sub(taken);
        if fits {
            self.of.taken.store(taken + more, Relaxed);
            self.bytes += more;
        }
        fits
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.of.taken.fetch_sub(self.bytes, Relaxed);
    }
}

/// A body that is counted until its last copy is dropped, a slow reader's too.
pub struct ReservedBytes {
    body: BytesMut,
    _room: MemoryReservation,
}

impl ReservedBytes {
    pub fn bytes(body: BytesMut, room: MemoryReservation) -> Bytes {
        Bytes::from_owner(Self { body, _room: room })
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a client's body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It ends early, or can't be read.
    Malformed,
    /// It is longer than it may be.
    TooLarge,
    /// It comes more slowly than a client may send.
    TooSlow,
    /// There is no memory for it now.
    OutOfMemory,
}

/// How much a client may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// In bytes, all told.
    pub longest: usize,
    /// So long it may take whatever it has.
    pub grace: Duration,
    /// And so much longer for each byte that has come.
    pub a_byte: Duration,
}

impl Pace {
    /// How long a client may take for so many bytes.
    pub fn allows(&self, bytes: usize) -> Duration {
        self.grace + self.a_byte.saturating_mul(u32::try_from(bytes).unwrap_or(u32::MAX))
    }
}

/// What was taken of a client's body.
#[derive(Debug)]
pub enum ReceivedBody<B> {
    /// All of it.
    Complete(Bytes),
    /// It is longer than what is held here, and begins like this.
    Long {
        /// What has come.
        first: Bytes,
        /// What is still to come.
        rest: B,
        /// In bytes, all told, if that is known.
        length: Option<u64>,
    },
}

/// Reads a client's body to its end, or until it has more bytes than are `held` here. Of one that announces more
/// nothing is read.
///
/// # Errors
/// There is none that may be passed on.
pub async fn take<B>(
    mut body: B,
    pace: Pace,
    held: usize,
    allowance: &MemoryBudget,
) -> Result<ReceivedBody<B>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let from = Instant::now();
    let length = body.size_hint().exact();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > pace.longest {
        return Err(BodyError::TooLarge);
    }
    if announced > held {
        return Ok(ReceivedBody::Long { first: Bytes::new(), rest: body, length });
    }
    let mut room = allowance.room(announced).ok_or(BodyError::OutOfMemory)?;
    let mut read = BytesMut::with_capacity(announced);
    loop {
        let until = from + pace.allows(read.len());
        let frame = timeout_at(until, body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(ReceivedBody::Complete(ReservedBytes::bytes(read, room)));
        };
        let Ok(data) = frame.map_err(|_| BodyError::Malformed)?.into_data() else { continue };
        if read.len() + data.len() > pace.longest {
            return Err(BodyError::TooLarge);
        }
        if !room.reach(read.len() + data.len()) {
            return Err(BodyError::OutOfMemory);
        }
        read.extend_from_slice(&data);
        if read.len() > held {
            return Ok(ReceivedBody::Long {
                first: ReservedBytes::bytes(read, room),
                rest: body,
                length,
            });
        }
    }
}

/// Slow bodies for tests.
#[cfg(test)]
pub mod trickle {
    use std::convert::Infallible;
    use std::pin::Pin;
    use std::task::{Context, Poll};
    use std::time::Duration;

    use bytes::Bytes;
    use hyper::body::{Body, Frame};

    /// A body as it is sent from elsewhere.
    #[derive(Debug)]
    pub struct Sent(tokio::sync::mpsc::Receiver<Bytes>);

    impl Body for Sent {
        type Data = Bytes;
        type Error = Infallible;
        fn poll_frame(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            self.0.poll_recv(cx).map(|b| b.map(|b| Ok(Frame::data(b))))
        }
    }

    /// A body of single bytes, one each so many milliseconds.
    pub fn trickle(bytes: usize, every: u64) -> Sent {
        let (send, sent) = tokio::sync::mpsc::channel(1);
        tokio::spawn(async move {
            for _ in 0..bytes {
                tokio::time::sleep(Duration::from_millis(every)).await;
                if send.send(Bytes::from_static(b"x")).await.is_err() {
                    return;
                }
            }
        });
        Sent(sent)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bodies::trickle::trickle;
    use http_body_util::Full;

    const PACE: Pace =
        Pace { longest: 6, grace: Duration::from_millis(100), a_byte: Duration::from_millis(10) };

    #[tokio::test]
    async fn a_body_takes_room_until_its_last_copy_is_gone() {
        let allowance = MemoryBudget::new(10);
        let body = || Full::new(Bytes::from_static(b"123456"));
        let first = whole(body(), PACE, &allowance).await.expect("there is room");
        assert_eq!(first, "123456");
        assert_eq!(whole(body(), PACE, &allowance).await, Err(BodyError::OutOfMemory));
        let part = first.slice(2..3);
        drop(first);
        assert_eq!(
            whole(body(), PACE, &allowance).await,
            Err(BodyError::OutOfMemory),
            "a copy is left"
        );
        drop(part);
        let short = Pace { longest: 5, ..PACE };
        assert_eq!(whole(body(), short, &allowance).await, Err(BodyError::TooLarge));
        assert!(whole(body(), PACE, &allowance).await.is_ok());
        assert_eq!(allowance.taken.load(Relaxed), 0);
    }

    /// All of it, if it is not long.
    async fn whole<B>(body: B, pace: Pace, allowance: &MemoryBudget) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin + std::fmt::Debug,
    {
        match take(body, pace, 6, allowance).await? {
            ReceivedBody::Complete(body) => Ok(body),
            long => panic!("not whole: {long:?}"),
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_client_may_be_slow_up_to_a_pace() {
        let allowance = MemoryBudget::new(10);
        // 6 bytes may take 100 + 60 ms, and each must come in the time of those before it.
        let taken = whole(trickle(6, 22), PACE, &allowance).await;
        assert_eq!(taken.expect("in time").len(), 6);
        assert_eq!(whole(trickle(6, 35), PACE, &allowance).await, Err(BodyError::TooSlow));
        assert_eq!(whole(trickle(1, 200), PACE, &allowance).await, Err(BodyError::TooSlow));
        assert_eq!(whole(trickle(7, 1), PACE, &allowance).await, Err(BodyError::TooLarge));
    }

    #[tokio::test(start_paused = true)]
    async fn what_is_longer_than_is_held_is_left_to_flow() {
        let allowance = MemoryBudget::new(10);
        let long = Pace { longest: 20, ..PACE };
        let body = Full::new(Bytes::from_static(b"12345678"));
        let taken = take(body, long, 6, &allowance).await.expect("not too long");
        assert!(
            matches!(taken, ReceivedBody::Long { ref first, length: Some(8), .. } if first.is_empty()),
            "{taken:?}"
        );
        // One that announces nothing is read until it is known to be long.
        let taken = take(trickle(9, 1), long, 6, &allowance).await.expect("not too long");
        assert!(
            matches!(taken, ReceivedBody::Long { ref first, length: None, .. } if first.len() == 7)
        );
        assert_eq!(allowance.taken.load(Relaxed), 7);
    }
}
