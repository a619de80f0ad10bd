//! What discovery says while an attempt waits for its connection.

use std::time::Duration;

use tokio::time::sleep;

use crate::rig::{OTHER, Rig, UPSTREAM, request, settings};

/// Longer than a watch takes to come up, and than the grace of a drain.
const LATE: Duration = Duration::from_millis(1000);

#[tokio::test(start_paused = true)]
async fn an_upstream_that_moves_gets_its_request_where_it_is_now() {
    Rig::run(settings(), vec![], async |mut rig| {
        rig.links.late.borrow_mut().push_back(LATE);
        rig.lists(OTHER, "SERVING");
        let answer = rig.client().await.ask(&request("alarm", "r1", 6000, "x")).await;
        assert!(rig.saw_nothing(), "it was sent to where its upstream was");
        assert_eq!(answer, (200, "moved".to_string()));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_comes_up_past_the_grace_is_not_kept() {
    Rig::run(settings(), vec![], async |mut rig| {
        rig.links.late.borrow_mut().push_back(LATE);
        rig.lists(UPSTREAM, "DRAINING");
        let (status, _) = rig.client().await.ask(&request("alarm", "r1", 6000, "x")).await;
        assert_eq!((status, rig.links.begun.get()), (503, 1));
        assert!(rig.saw_nothing(), "it was sent all the same");
        sleep(LATE).await;
        assert_eq!(rig.links.open.get(), 0, "it idles at an upstream that gets nothing more");
    })
    .await;
}

/// The grace of the settings is 500 ms. A process may be held up for 150 ms before it reads the notice, and once more between
/// its last look at the clock and the write.
#[tokio::test(start_paused = true)]
async fn a_connection_that_comes_up_within_two_hold_ups_of_the_end_of_a_grace_is_not_used() {
    Rig::run(settings(), vec![], async |mut rig| {
        rig.links.late.borrow_mut().push_back(Duration::from_millis(350));
        rig.lists(UPSTREAM, "DRAINING");
        let (status, _) = rig.client().await.ask(&request("alarm", "r1", 6000, "x")).await;
        assert!(rig.saw_nothing(), "it was sent");
        assert_eq!(status, 503);
    })
    .await;
}
