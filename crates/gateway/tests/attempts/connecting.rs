//! Tests connections that are established late, or never.

use std::time::Duration;

use tokio::time::sleep;

use crate::harness::{Harness, request, settings};

const CONNECT_DELAY: Duration = Duration::from_millis(1000);

#[tokio::test(start_paused = true)]
async fn request_is_not_sent_if_its_client_disconnects_while_connecting() {
    Harness::run(settings(), vec![], async |mut harness| {
        harness.connections.connect_delays.borrow_mut().push_back(CONNECT_DELAY);
        let mut client = harness.client().await;
        client.send(&request("alarm", "r1", 6000, "x")).await;
        sleep(CONNECT_DELAY / 2).await;
        assert_eq!(harness.connections.opened.get(), 1, "the connection is being established");
        drop(client);
        sleep(CONNECT_DELAY).await;
        assert!(harness.has_observed_nothing(), "sent for a disconnected client");
        // The next request uses the established connection.
        let response = harness.client().await.exchange(&request("alarm", "r2", 6000, "x")).await;
        assert_eq!((response.0, harness.connections.opened.get()), (200, 1));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn abandoned_connection_releases_its_descriptor() {
    Harness::run(settings(), vec![], async |harness| {
        // The first connection exceeds the connect timeout of 3000 ms, the second the client's deadline.
        harness
            .connections
            .connect_delays
            .borrow_mut()
            .extend([4 * CONNECT_DELAY, 4 * CONNECT_DELAY]);
        let (status, _) = harness.client().await.exchange(&request("alarm", "r1", 6000, "x")).await;
        assert_eq!(status, 503, "the request never ran");
        sleep(CONNECT_DELAY).await;
        assert_eq!(harness.connections.open.get(), 0);
    })
    .await;
}
