//! Tests changes of the endpoint list while an attempt waits for its connection.

use std::time::Duration;

use tokio::time::sleep;

use crate::harness::{Harness, MOVED_UPSTREAM, UPSTREAM, request, settings};

/// Longer than a watch takes to deliver a change, and than the grace period of a drain.
const CONNECT_DELAY: Duration = Duration::from_millis(1000);

#[tokio::test(start_paused = true)]
async fn request_is_sent_to_the_new_address_of_a_moved_upstream() {
    Harness::run(settings(), vec![], async |mut harness| {
        harness.connections.connect_delays.borrow_mut().push_back(CONNECT_DELAY);
        harness.publish(MOVED_UPSTREAM, "SERVING");
        let response = harness.client().await.exchange(&request("alarm", "r1", 6000, "x")).await;
        assert!(harness.has_observed_nothing(), "the request was sent to the old address");
        assert_eq!(response, (200, "moved".to_string()));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_established_after_the_grace_period_is_closed_unused() {
    Harness::run(settings(), vec![], async |mut harness| {
        harness.connections.connect_delays.borrow_mut().push_back(CONNECT_DELAY);
        harness.publish(UPSTREAM, "DRAINING");
        let (status, _) = harness.client().await.exchange(&request("alarm", "r1", 6000, "x")).await;
        assert_eq!((status, harness.connections.opened.get()), (503, 1));
        assert!(harness.has_observed_nothing(), "the request was sent");
        sleep(CONNECT_DELAY).await;
        assert_eq!(
            harness.connections.open.get(),
            0,
            "the connection stays idle at a draining upstream"
        );
    })
    .await;
}

/// The grace period in the settings is 500 ms. A process may stall for 150 ms before it reads the notice of the drain, and
/// for another 150 ms between its last reading of the clock and the write.
#[tokio::test(start_paused = true)]
async fn connection_established_within_two_stalls_of_the_end_of_a_grace_period_is_not_used() {
    Harness::run(settings(), vec![], async |mut harness| {
        harness.connections.connect_delays.borrow_mut().push_back(Duration::from_millis(350));
        harness.publish(UPSTREAM, "DRAINING");
        let (status, _) = harness.client().await.exchange(&request("alarm", "r1", 6000, "x")).await;
        assert!(harness.has_observed_nothing(), "the request was sent");
        assert_eq!(status, 503);
    })
    .await;
}
