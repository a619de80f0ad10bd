//! Tests the receiving of bodies within limits of memory and time.

use super::*;
use crate::bodies::slow_body::slow_body;
use http_body_util::Full;

const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 6,
    base_timeout: Duration::from_millis(100),
    timeout_per_byte: Duration::from_millis(10),
};

#[tokio::test]
async fn body_uses_memory_until_its_last_copy_is_dropped() {
    let budget = MemoryBudget::new(10);
    let body = || Full::new(Bytes::from_static(b"123456"));
    let first = complete(body(), LIMITS, &budget).await.expect("there is memory");
    assert_eq!(first, "123456");
    assert_eq!(complete(body(), LIMITS, &budget).await, Err(BodyError::OutOfMemory));
    let part = first.slice(2..3);
    drop(first);
    assert_eq!(
        complete(body(), LIMITS, &budget).await,
        Err(BodyError::OutOfMemory),
        "a copy is left"
    );
    drop(part);
    let short = BodyLimits { max_bytes: 5, ..LIMITS };
    assert_eq!(complete(body(), short, &budget).await, Err(BodyError::TooLarge));
    assert!(complete(body(), LIMITS, &budget).await.is_ok());
    assert_eq!(budget.used.load(Relaxed), 0);
}

/// Receives a body that is short enough to be buffered.
async fn complete<B>(body: B, limits: BodyLimits, budget: &MemoryBudget) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin + std::fmt::Debug,
{
    match receive_body(body, limits, 6, budget).await? {
        ReceivedBody::Complete(body) => Ok(body),
        long => panic!("not complete: {long:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn body_below_the_minimum_rate_is_rejected() {
    let budget = MemoryBudget::new(10);
    // 6 bytes may take 100 + 60 ms, and each byte must arrive within the time allowed for the bytes before it.
    let taken = complete(slow_body(6, 22), LIMITS, &budget).await;
    assert_eq!(taken.expect("in time").len(), 6);
    assert_eq!(complete(slow_body(6, 35), LIMITS, &budget).await, Err(BodyError::TooSlow));
    assert_eq!(complete(slow_body(1, 200), LIMITS, &budget).await, Err(BodyError::TooSlow));
    assert_eq!(complete(slow_body(7, 1), LIMITS, &budget).await, Err(BodyError::TooLarge));
}

#[tokio::test(start_paused = true)]
async fn body_beyond_the_buffer_limit_is_streamed() {
    let budget = MemoryBudget::new(10);
    let long = BodyLimits { max_bytes: 20, ..LIMITS };
    let body = Full::new(Bytes::from_static(b"12345678"));
    let taken = receive_body(body, long, 6, &budget).await.expect("not too long");
    assert!(
        matches!(taken, ReceivedBody::Long { ref first, length: Some(8), .. } if first.is_empty()),
        "{taken:?}"
    );
    // A body without an announced length is received until it exceeds the buffer limit.
    let taken = receive_body(slow_body(9, 1), long, 6, &budget).await.expect("not too long");
    assert!(
        matches!(taken, ReceivedBody::Long { ref first, length: None, .. } if first.len() == 7)
    );
    assert_eq!(budget.used.load(Relaxed), 7);
}
