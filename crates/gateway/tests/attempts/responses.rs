//! Tests which received bytes count as a response, and to which request a response belongs.

use std::time::Duration;

use tokio::time::sleep;

use crate::harness::{Behaviour, Harness, Observation, ok, request, settings};

/// A body length above the size up to which the balancer buffers a response.
const LONG_BODY_BYTES: usize = 80 << 10;

fn without_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n\r\n{body}")
}

fn too_short(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 1)
}

fn no_last_chunk(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len())
}

/// Returns behaviours that truncate a response with this body in different ways.
fn truncated_responses(body: &str) -> Vec<Behaviour> {
    vec![
        Behaviour::Close(too_short(body)),
        Behaviour::Reset(too_short(body)),
        Behaviour::Reset(without_length(body)),
        Behaviour::Close(no_last_chunk(body)),
        Behaviour::Reset(no_last_chunk(body)),
    ]
}

#[tokio::test(start_paused = true)]
async fn truncated_response_counts_as_no_response() {
    for behaviour in truncated_responses("half") {
        Harness::run(settings(), vec![behaviour], async |mut harness| {
            let (status, _) =
                harness.client().await.exchange(&request("alarm", "r1", 6000, "x")).await;
            assert_eq!(status, 502, "the request may have run");
            assert!(matches!(
                [harness.next_observation().await, harness.next_observation().await],
                [Observation::Head(_), Observation::Complete]
            ));
            assert!(
                harness.has_observed_nothing() && harness.connections.opened.get() == 1,
                "the request was repeated"
            );
        })
        .await;
    }
    for behaviour in truncated_responses("half") {
        Harness::run(
            settings(),
            vec![behaviour, Behaviour::Respond(ok("whole"))],
            async |harness| {
                let response =
                    harness.client().await.exchange(&request("read", "r1", 6000, "")).await;
                assert_eq!(response, (200, "whole".to_string()));
            },
        )
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn client_can_detect_a_truncated_long_response() {
    for behaviour in truncated_responses(&"x".repeat(LONG_BODY_BYTES)) {
        Harness::run(settings(), vec![behaviour], async |harness| {
            let mut client = harness.client().await;
            client.send(&request("alarm", "r1", 6000, "x")).await;
            let (status, _, is_complete) = client.receive_long_response().await;
            assert_eq!((status, is_complete), (200, false));
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn response_without_length_ends_with_an_orderly_close() {
    for length in [4, LONG_BODY_BYTES] {
        let behaviours = vec![Behaviour::Close(without_length(&"x".repeat(length)))];
        Harness::run(settings(), behaviours, async |harness| {
            let mut client = harness.client().await;
            client.send(&request("alarm", "r1", 6000, "x")).await;
            assert_eq!(client.receive_long_response().await, (200, length, true));
        })
        .await;
    }
}

/// An upstream starts to process a request at its last byte, so bytes that arrive before that are no response to it.
#[tokio::test(start_paused = true)]
async fn bytes_before_a_requests_last_byte_are_not_its_response() {
    let long = "x".repeat(1 << 20);
    let behaviours =
        vec![Behaviour::Respond(ok("first")), Behaviour::RespondEarly(ok("first"), ok("own"))];
    Harness::run(settings(), behaviours, async |mut harness| {
        let mut client = harness.client().await;
        let first = client.exchange(&request("alarm", "r1", 6000, "x")).await;
        assert_eq!(first, (200, "first".to_string()));
        let (status, body) = client.exchange(&request("alarm", "r2", 6000, &long)).await;
        assert!(body != "first", "the response belongs to another request");
        // A request that is interrupted before its last byte has not run, and is repeated.
        assert_eq!((status, body.as_str()), (200, "more"));
        assert_eq!(harness.connections.opened.get(), 2);
        let observations = [
            harness.next_observation().await,
            harness.next_observation().await,
            harness.next_observation().await,
            harness.next_observation().await,
        ];
        assert!(
            matches!(
                observations,
                [
                    Observation::Head(_),
                    Observation::Complete,
                    Observation::Head(_),
                    Observation::Head(_)
                ]
            ),
            "{observations:?}"
        );
        assert_eq!(harness.next_observation().await, Observation::Complete);
    })
    .await;
}

/// If the rest of the request is written by the time the early response is examined, the request may have run. The early
/// response must not be used then, either.
#[tokio::test(start_paused = true)]
async fn early_response_is_not_used_even_if_the_request_is_complete_by_then() {
    let long = "x".repeat(400 << 10);
    let behaviours =
        vec![Behaviour::Respond(ok("first")), Behaviour::RespondEarly(ok("first"), ok("own"))];
    Harness::run(settings(), behaviours, async |harness| {
        let mut client = harness.client().await;
        client.exchange(&request("alarm", "r1", 6000, "x")).await;
        let (status, body) = client.exchange(&request("alarm", "r2", 6000, &long)).await;
        assert!(body != "first", "the response belongs to another request");
        assert!(matches!(status, 200 | 502), "{status}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn upstream_may_reject_a_request_before_reading_it() {
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let behaviours = vec![
        Behaviour::RespondEarly(rejection.to_string(), String::new()),
        Behaviour::Respond(ok("own")),
    ];
    Harness::run(settings(), behaviours, async |harness| {
        let long = "x".repeat(1 << 20);
        let response = harness.client().await.exchange(&request("alarm", "r1", 6000, &long)).await;
        assert_eq!(response, (200, "own".to_string()));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn unfinished_exchange_fails_at_the_clients_deadline() {
    for behaviour in
        [Behaviour::Respond(too_short("half")), Behaviour::PauseAfterHead(Duration::from_secs(6))]
    {
        Harness::run(settings(), vec![behaviour], async |harness| {
            let started_at = tokio::time::Instant::now();
            let (status, _) =
                harness.client().await.exchange(&request("alarm", "r1", 500, "x")).await;
            assert_eq!(status, 504);
            assert!(started_at.elapsed() <= Duration::from_millis(500));
        })
        .await;
    }
}

/// Checks that the second of two successive requests gets its own response from an upstream that answers the first request
/// twice. Before that, the upstream sends `earlier_duplicates` duplicate responses while no request is open.
async fn check_duplicate_response(delay: Duration, earlier_duplicates: usize) {
    let twice = Behaviour::RespondTwice(ok("first"), delay);
    let mut behaviours = vec![twice; earlier_duplicates + 1];
    behaviours.push(Behaviour::Respond(ok("second")));
    Harness::run(settings(), behaviours, async |harness| {
        let mut client = harness.client().await;
        for i in 0..earlier_duplicates {
            client.exchange(&request("alarm", &format!("r{i}"), 6000, "x")).await;
            sleep(Duration::from_millis(500)).await;
        }
        let response = client.exchange(&request("alarm", "first", 6000, "x")).await;
        assert_eq!(response, (200, "first".to_string()));
        // The second request is submitted before the duplicate response to the first one arrives.
        let response = client.exchange(&request("alarm", "second", 6000, "x")).await;
        assert_eq!(response, (200, "second".to_string()), "{delay:?} late");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn duplicate_response_a_few_ms_late_is_not_used_for_the_next_request() {
    for delay_ms in [1, 3] {
        check_duplicate_response(Duration::from_millis(delay_ms), 0).await;
    }
}

#[tokio::test(start_paused = true)]
async fn later_duplicate_response_is_not_used_after_an_earlier_duplicate() {
    for delay_ms in [1, 5, 15] {
        check_duplicate_response(Duration::from_millis(delay_ms), 1).await;
    }
}

#[tokio::test(start_paused = true)]
async fn first_duplicate_response_15_ms_late_is_not_used_for_the_next_request() {
    check_duplicate_response(Duration::from_millis(15), 0).await;
}

/// Guards against a duplicate response at any time within the reuse delay of a connection.
#[tokio::test(start_paused = true)]
async fn first_duplicate_response_within_20_ms_is_not_used_for_the_next_request() {
    for delay_ms in 1..20 {
        check_duplicate_response(Duration::from_millis(delay_ms), 0).await;
    }
}

/// Guards against duplicate responses on spare connections, which are opened while requests repeatedly wait.
#[tokio::test(start_paused = true)]
async fn duplicate_responses_to_successive_requests_are_not_used_for_others() {
    for delay_ms in [4, 8, 15, 19] {
        let delay = Duration::from_millis(delay_ms);
        let request_numbers = 0..12;
        let behaviours =
            request_numbers.clone().map(|n| Behaviour::RespondTwice(ok(&n.to_string()), delay));
        Harness::run(settings(), behaviours.collect(), async |harness| {
            let mut client = harness.client().await;
            for n in request_numbers {
                let response =
                    client.exchange(&request("alarm", &format!("r{n}"), 6000, "x")).await;
                assert_eq!(response, (200, n.to_string()), "{delay:?} late");
            }
        })
        .await;
    }
}

/// Guards against a new connection for each request that has to wait.
#[tokio::test(start_paused = true)]
async fn successive_requests_share_a_bounded_number_of_connections() {
    let behaviours = (0..200).map(|_| Behaviour::Respond(ok("own"))).collect();
    Harness::run(settings(), behaviours, async |harness| {
        let mut client = harness.client().await;
        for n in 0..200 {
            let response = client.exchange(&request("read", &format!("r{n}"), 6000, "")).await;
            assert_eq!(response, (200, "own".to_string()));
        }
        let (opened, max_open) =
            (harness.connections.opened.get(), harness.connections.max_open.get());
        assert!(opened <= 18 && max_open <= 18, "{opened} opened, {max_open} open at a time");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(harness.connections.open.get(), 0, "unused connections are closed");
    })
    .await;
}

/// Guards against retries without a delay, while a request waits, after a spare connection was refused at once.
#[tokio::test(start_paused = true)]
async fn refused_spare_connection_is_not_retried_at_once_and_fails_no_request() {
    let behaviours = (0..12).map(|_| Behaviour::Respond(ok("own"))).collect();
    Harness::run(settings(), behaviours, async |harness| {
        harness.connections.refused_from.set(Some(1));
        let mut client = harness.client().await;
        for n in 0..12 {
            let response = client.exchange(&request("alarm", &format!("r{n}"), 6000, "x")).await;
            assert_eq!(response, (200, "own".to_string()));
        }
        let opened = harness.connections.opened.get();
        assert!((2..=3).contains(&opened), "{opened} opened in twelve waits of 20 ms");
    })
    .await;
}
