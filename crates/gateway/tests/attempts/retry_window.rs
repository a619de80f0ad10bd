//! Tests until when a repeated attempt may be sent, with windows shorter than the time to establish a connection.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use crate::harness::{Behaviour, Harness, Observation, ok, request};

const WINDOW: Duration = Duration::from_millis(1000);

/// Returns behaviours by which the first attempt may have run, and delays by which the connection of the second attempt
/// takes `second_delay` to be established.
fn reset_then_respond(second_delay: Duration) -> (Vec<Behaviour>, [Duration; 2]) {
    (
        vec![Behaviour::Reset(String::new()), Behaviour::Respond(ok("again"))],
        [Duration::ZERO, second_delay],
    )
}

#[tokio::test(start_paused = true)]
async fn repeat_is_not_sent_if_its_connection_is_established_after_the_window() {
    let (behaviours, connect_delays) = reset_then_respond(WINDOW);
    Harness::run(super::harness::settings(), behaviours, async |mut harness| {
        harness.connections.connect_delays.borrow_mut().extend(connect_delays);
        let mut client = harness.client().await;
        let started_at = Instant::now();
        let (status, _) = client.exchange(&request("log", "r1", 6000, "x")).await;
        assert!(matches!(harness.next_observation().await, Observation::Head(_)));
        assert_eq!(harness.next_observation().await, Observation::Complete);
        assert_eq!(harness.connections.opened.get(), 2, "a repeat was started");
        assert!(harness.has_observed_nothing(), "the request was repeated after the window");
        assert_eq!(status, 502, "the request may have run, and can't be repeated any more");
        assert!(started_at.elapsed() <= WINDOW, "the client waits although no response can arrive");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn late_repeat_is_sent_within_its_window() {
    let (behaviours, connect_delays) = reset_then_respond(WINDOW);
    let mut settings = super::harness::settings();
    settings["Services"][1]["Window"] = json!(5000.0);
    Harness::run(settings, behaviours, async |harness| {
        harness.connections.connect_delays.borrow_mut().extend(connect_delays);
        let response = harness.client().await.exchange(&request("log", "r1", 6000, "x")).await;
        assert_eq!(response, (200, "again".to_string()));
    })
    .await;
}

/// The connection is established and the request submitted to it in time, but the process then stalls until the window has
/// ended.
#[tokio::test(start_paused = true)]
async fn window_is_checked_when_the_first_byte_is_written() {
    let (behaviours, _) = reset_then_respond(Duration::ZERO);
    Harness::run(super::harness::settings(), behaviours, async |mut harness| {
        harness.connections.stall.set(Some((1, WINDOW)));
        let (status, _) = harness.client().await.exchange(&request("log", "r1", 6000, "x")).await;
        assert!(matches!(harness.next_observation().await, Observation::Head(_)));
        assert_eq!(harness.next_observation().await, Observation::Complete);
        assert_eq!(harness.connections.opened.get(), 2, "a repeat was started");
        assert!(harness.has_observed_nothing(), "the request was repeated after the window");
        assert_eq!(status, 502);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn repeat_is_abandoned_if_its_last_byte_would_be_written_after_the_window() {
    let behaviours = vec![
        Behaviour::Reset(String::new()),
        Behaviour::PauseAfterHead(WINDOW),
        Behaviour::Respond(ok("no")),
    ];
    Harness::run(super::harness::settings(), behaviours, async |mut harness| {
        let long = "x".repeat(1 << 20);
        let (status, _) = harness.client().await.exchange(&request("log", "r1", 6000, &long)).await;
        let heads = [
            harness.next_observation().await,
            harness.next_observation().await,
            harness.next_observation().await,
        ];
        assert!(
            matches!(&heads, [Observation::Head(_), Observation::Complete, Observation::Head(_)]),
            "{heads:?}"
        );
        tokio::time::sleep(2 * WINDOW).await;
        assert!(harness.has_observed_nothing(), "the last byte was written after the window");
        assert_eq!(status, 502);
    })
    .await;
}

/// The process may stall for 150 ms between its last reading of the clock and the write.
#[tokio::test(start_paused = true)]
async fn repeat_is_not_sent_within_one_process_stall_of_the_end_of_its_window() {
    let (behaviours, connect_delays) = reset_then_respond(WINDOW - Duration::from_millis(100));
    Harness::run(super::harness::settings(), behaviours, async |mut harness| {
        harness.connections.connect_delays.borrow_mut().extend(connect_delays);
        let (status, _) = harness.client().await.exchange(&request("log", "r1", 6000, "x")).await;
        assert!(matches!(harness.next_observation().await, Observation::Head(_)));
        assert_eq!(harness.next_observation().await, Observation::Complete);
        assert!(harness.has_observed_nothing(), "the request was repeated");
        assert_eq!(status, 502);
    })
    .await;
}
