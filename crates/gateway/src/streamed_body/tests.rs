//! Tests the minimum rate of clients, the stall timeout of upstreams, and the end of a streamed body.

use std::future::poll_fn;

use super::*;
use crate::bodies::slow_body::slow_body;

const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 100,
    base_timeout: Duration::from_millis(100),
    timeout_per_byte: Duration::from_millis(10),
};

async fn next<B: Body<Data = Bytes> + Unpin>(
    body: &StreamedBody<B>,
) -> Option<Result<Bytes, BodyError>> {
    poll_fn(|cx| body.poll_data(cx)).await.map(|r| r.map_err(|b| b.0))
}

#[tokio::test(start_paused = true)]
async fn slow_client_is_rejected_but_a_slow_upstream_does_not_count() {
    // The limits allow 100 ms plus 10 ms per byte, so a client that sends one byte every 9 ms is never too slow.
    let body = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(60, 9), None, LIMITS);
    assert!(!body.is_started());
    for _ in 0..30 {
        assert!(next(&body).await.expect("more").is_ok());
    }
    // Bytes that wait for the upstream meanwhile are not late.
    sleep(Duration::from_secs(5)).await;
    while let Some(data) = next(&body).await {
        data.expect("in time");
    }
    assert_eq!((body.bytes_sent(), body.is_complete(), body.client_fault()), (62, true, None));
    let slow = StreamedBody::new(Bytes::new(), slow_body(60, 30), None, LIMITS);
    let mut last = None;
    while let Some(Ok(_)) = last.insert(next(&slow).await) {}
    assert_eq!(last, Some(Some(Err(BodyError::TooSlow))));
    assert!(!slow.is_complete() && slow.client_fault() == Some(BodyError::TooSlow));
}

#[tokio::test(start_paused = true)]
async fn completion_is_notified_once_and_too_large_body_never_completes() {
    let notified = Rc::new(Cell::new(0));
    let body = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(3, 1), Some(5), LIMITS);
    let count = notified.clone();
    body.on_complete(move || count.set(count.get() + 1));
    for expected in [0, 0, 0, 1] {
        next(&body).await.expect("more").expect("in time");
        assert_eq!(notified.get(), expected);
    }
    assert!(next(&body).await.is_none());
    assert_eq!(notified.get(), 1);
    let short = BodyLimits { max_bytes: 4, ..LIMITS };
    let body = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(3, 1), None, short);
    let mut last = None;
    while let Some(Ok(_)) = last.insert(next(&body).await) {}
    assert_eq!((last, body.is_complete()), (Some(Some(Err(BodyError::TooLarge))), false));
}

#[tokio::test(start_paused = true)]
async fn attempt_waits_for_upstream_to_read_then_for_response() {
    let body = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(1, 50), Some(3), LIMITS);
    let (now, timeout) = (Instant::now(), Duration::from_secs(1));
    let start_deadline = now + Duration::from_secs(3);
    assert_eq!(body.attempt_deadline(start_deadline, timeout), start_deadline);
    next(&body).await;
    assert_eq!(
        body.attempt_deadline(start_deadline, timeout),
        now + timeout,
        "the upstream reads no more, and the client may have written its last byte"
    );
    let length = Some(MAX_BYTES_IN_TRANSIT + 3);
    let long = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(1, 50), length, LIMITS);
    next(&long).await;
    assert_eq!(
        long.attempt_deadline(start_deadline, timeout),
        now + UPSTREAM_STALL_TIMEOUT,
        "the upstream reads no more, and the client still writes"
    );
    next(&body).await;
    assert_eq!(
        body.attempt_deadline(start_deadline, timeout),
        now + Duration::from_millis(50) + timeout
    );
}

#[tokio::test(start_paused = true)]
async fn time_in_which_the_upstream_blocks_the_body_counts_towards_the_response_timeout() {
    let timeout = Duration::from_secs(3);
    let body = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(60, 9), Some(62), LIMITS);
    next(&body).await.expect("more").expect("in time");
    let deadline = Instant::now() + timeout;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(body.attempt_deadline(deadline, timeout), deadline, "blocked since the first bytes");
    next(&body).await.expect("more").expect("in time");
    assert_eq!(body.blocked(), Duration::from_secs(2));
    let left = Duration::from_secs(1);
    assert_eq!(body.attempt_deadline(deadline, timeout), Instant::now() + left);
    while let Some(data) = next(&body).await {
        data.expect("in time");
    }
    assert_eq!(body.blocked(), Duration::from_secs(2), "waits for the client do not count");
    let completed_at = body.completed_at.get().expect("complete");
    assert_eq!(body.attempt_deadline(deadline, timeout), completed_at + left);
    // The client of a longer body can't have written its last byte.
    let length = Some(MAX_BYTES_IN_TRANSIT + 3);
    let long = StreamedBody::new(Bytes::from_static(b"ab"), slow_body(60, 9), length, LIMITS);
    next(&long).await.expect("more").expect("in time");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(long.blocked(), Duration::ZERO);
}
