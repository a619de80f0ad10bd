//! Tests when a request counts as unsent, incomplete or complete.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use super::*;
use crate::stream::Traffic;

#[test]
fn request_has_not_run_until_its_last_byte_may_be_written() {
    let forwarded = ForwardedRequest {
        method: Method::POST,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: ForwardedBody::Buffered(Bytes::from_static(b"0123456789")),
    };
    let progress = SendProgress::default();
    assert!(progress.is_unsent() && progress.is_incomplete(), "no connection yet");
    let traffic = Traffic::default();
    traffic.count_written(1000); // An earlier request on the same connection.
    let now = Instant::now();
    let limits = AttemptLimits {
        deadline: now,
        send_by: now,
        response_timeout: Duration::ZERO,
        client_deadline: now,
        retry_window_end: None,
    };
    assert!(request(&forwarded, limits, &progress).is_some());
    progress.start(&traffic);
    assert!(progress.is_unsent() && progress.is_incomplete());
    traffic.count_written(10);
    assert!(
        !progress.is_unsent() && progress.is_incomplete(),
        "head and body are longer than the body"
    );
    // The complete request: the request line, `X-Deadline-Ms` and the body.
    let complete = "POST /api HTTP/1.1\r\nx-deadline-ms: 0\r\n\r\n0123456789".len();
    traffic.count_written(complete - 10);
    assert!(!progress.is_incomplete());
}
