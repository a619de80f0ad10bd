//! A client's long body on its way to an upstream while it comes: paced, bounded, and of use once. No more of it is in
//! memory than both connections' buffers hold, and what was read before it was known to be long.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::bodies::{BodyError, Pace};

/// An upstream that takes nothing of a body for so long has gone silent; its client would wait for ever.
const STALLED: Duration = Duration::from_secs(10);

/// Why the rest of a body does not come. What its client is told is in [`StreamedBody::fault`].
#[derive(Debug)]
pub struct Broken(BodyError);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the client's body breaks off: {:?}", self.0)
    }
}

impl std::error::Error for Broken {}

/// A body that flows.
pub struct StreamedBody<B = Incoming> {
    source: RefCell<Source<B>>,
    /// In bytes; unknown of a chunked one.
    length: Option<u64>,
    passed: Cell<u64>,
    /// When something was last taken of it.
    taken: Cell<Option<Instant>>,
    whole: Cell<Option<Instant>>,
    fault: Cell<Option<BodyError>>,
    told: RefCell<Option<Box<dyn FnOnce()>>>,
}

struct Source<B> {
    /// What had come by the time it was known to be long.
    first: Bytes,
    rest: B,
    pace: Pace,
    /// How long its client was waited for, in all and since when now. Failure: time that its upstream took counted
    /// as the client's.
    waited: Duration,
    waits: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl<B: Body<Data = Bytes> + Unpin> StreamedBody<B> {
    /// A body that begins with `first`, and has `length` bytes in all if that is known. Its client may take its time
    /// as `pace` says, from the first look on.
    pub fn new(first: Bytes, rest: B, length: Option<u64>, pace: Pace) -> Rc<Self> {
        let timer = Box::pin(sleep(Duration::ZERO));
        let source = Source { first, rest, pace, waited: Duration::ZERO, waits: None, timer };
        Rc::new(Self {
            source: RefCell::new(source),
            length,
            passed: Cell::new(0),
            taken: Cell::new(None),
            whole: Cell::new(None),
            fault: Cell::new(None),
            told: RefCell::new(None),
        })
    }

    /// Has this done once its last byte was taken.
    pub fn when_whole(&self, tell: impl FnOnce() + 'static) {
        *self.told.borrow_mut() = Some(Box::new(tell));
    }

    /// Whether something was taken of it: it can't be sent again.
    pub fn is_spent(&self) -> bool {
        self.taken.get().is_some()
    }

    /// Whether its last byte was taken.
    pub fn is_whole(&self) -> bool {
        self.whole.get().is_some()
    }

    /// Bytes taken so far.
    pub fn passed(&self) -> u64 {
        self.passed.get()
    }

    /// What its client did wrong.
    pub fn fault(&self) -> Option<BodyError> {
        self.fault.get()
    }

    /// How long an attempt that sends it may wait as things stand: `until` to begin, then for the upstream to take more
    /// of it, then so long for the `answer`.
    pub fn limit(&self, until: Instant, answer: Duration) -> Instant {
        match (self.whole.get(), self.taken.get()) {
            (Some(whole), _) => whole + answer,
            (None, Some(taken)) => {
                // While its client is waited for, the pace is the limit.
                let waits = self.source.borrow().waits.is_some();
                if waits { Instant::now() + STALLED } else { taken + STALLED }
            }
            (None, None) => until,
        }
    }

    fn end(&self) {
        if self.whole.replace(Some(Instant::now())).is_none() {
            self.told.take().into_iter().for_each(|tell| tell());
        }
    }

    fn take(&self, data: &Bytes) {
        self.taken.set(Some(Instant::now()));
        self.passed.set(self.passed.get() + data.len() as u64);
        if self.length == Some(self.passed.get()) {
            self.end();
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        let source = &mut *self.source.borrow_mut();
        if !source.first.is_empty() {
            let first = std::mem::take(&mut source.first);
            self.take(&first);
            return Poll::Ready(Some(Ok(first)));
        }
        let broken = |why| {
            self.fault.set(Some(why));
            Poll::Ready(Some(Err(Broken(why))))
        };
        loop {
            let Poll::Ready(frame) = Pin::new(&mut source.rest).poll_frame(cx) else {
                return match source.wait(self.passed.get(), cx) {
                    Poll::Ready(()) => broken(BodyError::TooSlow),
                    Poll::Pending => Poll::Pending,
                };
            };
            source.came();
            match frame {
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return broken(BodyError::Malformed),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.passed.get() + data.len() as u64 > source.pace.longest as u64 {
                        return broken(BodyError::TooLarge);
                    }
                    self.take(&data);
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl<B> Source<B> {
    /// Its client is waited for; ends once that was too long, for so many bytes.
    fn wait(&mut self, passed: u64, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waits.get_or_insert_with(Instant::now);
        let allowed = self.pace.allows(passed as usize).saturating_sub(self.waited);
        if self.timer.deadline() != since + allowed {
            self.timer.as_mut().reset(since + allowed);
        }
        self.timer.as_mut().poll(cx)
    }

    fn came(&mut self) {
        self.waited += self.waits.take().map_or(Duration::ZERO, |since| since.elapsed());
    }
}

/// The body of a request as an upstream's connection takes it.
pub enum UpstreamRequestBody {
    /// All of it is here.
    Buffered(Full<Bytes>),
    /// It still comes.
    Streamed(Rc<StreamedBody>),
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: std::convert::Infallible| match never {}),
            Self::Streamed(flow) => flow.poll(cx).map(|next| next.map(|n| n.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(flow) => flow.is_whole(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(flow) => {
                let left = flow.length.map(|n| n.saturating_sub(flow.passed()));
                left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::future::poll_fn;

    use super::*;
    use crate::bodies::trickle::trickle;

    const PACE: Pace =
        Pace { longest: 100, grace: Duration::from_millis(100), a_byte: Duration::from_millis(10) };

    async fn next<B: Body<Data = Bytes> + Unpin>(
        flow: &StreamedBody<B>,
    ) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|cx| flow.poll(cx)).await.map(|r| r.map_err(|b| b.0))
    }

    #[tokio::test(start_paused = true)]
    async fn a_client_may_be_slow_up_to_a_pace_and_its_upstream_is_not_its_fault() {
        // 100 ms, and 10 ms more for each byte: one each 9 ms may come for ever.
        let flow = StreamedBody::new(Bytes::from_static(b"ab"), trickle(60, 9), None, PACE);
        assert!(!flow.is_spent());
        for _ in 0..30 {
            assert!(next(&flow).await.expect("more").is_ok());
        }
        // What waits here meanwhile is not late.
        sleep(Duration::from_secs(5)).await;
        while let Some(data) = next(&flow).await {
            data.expect("in time");
        }
        assert_eq!((flow.passed(), flow.is_whole(), flow.fault()), (62, true, None));
        let slow = StreamedBody::new(Bytes::new(), trickle(60, 30), None, PACE);
        let mut last = None;
        while let Some(Ok(_)) = last.insert(next(&slow).await) {}
        assert_eq!(last, Some(Some(Err(BodyError::TooSlow))));
        assert!(!slow.is_whole() && slow.fault() == Some(BodyError::TooSlow));
    }

    #[tokio::test(start_paused = true)]
    async fn the_last_byte_is_told_once_and_what_is_too_long_never_ends() {
        let told = Rc::new(Cell::new(0));
        let flow = StreamedBody::new(Bytes::from_static(b"ab"), trickle(3, 1), Some(5), PACE);
        let counts = told.clone();
        flow.when_whole(move || counts.set(counts.get() + 1));
        for whole in [0, 0, 0, 1] {
            next(&flow).await.expect("more").expect("in time");
            assert_eq!(told.get(), whole);
        }
        assert!(next(&flow).await.is_none());
        assert_eq!(told.get(), 1);
        let short = Pace { longest: 4, ..PACE };
        let flow = StreamedBody::new(Bytes::from_static(b"ab"), trickle(3, 1), None, short);
        let mut last = None;
        while let Some(Ok(_)) = last.insert(next(&flow).await) {}
        assert_eq!((last, flow.is_whole()), (Some(Some(Err(BodyError::TooLarge))), false));
    }

    #[tokio::test(start_paused = true)]
    async fn an_attempt_waits_for_the_upstream_then_for_the_answer() {
        let flow = StreamedBody::new(Bytes::from_static(b"ab"), trickle(1, 50), Some(3), PACE);
        let (now, answer) = (Instant::now(), Duration::from_secs(1));
        let until = now + Duration::from_secs(3);
        assert_eq!(flow.limit(until, answer), until);
        next(&flow).await;
        assert_eq!(flow.limit(until, answer), now + STALLED, "its upstream takes no more");
        next(&flow).await;
        assert_eq!(flow.limit(until, answer), now + Duration::from_millis(50) + answer);
    }
}
