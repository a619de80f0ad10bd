//! What discovery says while an attempt waits for its connection.

use std::time::Duration;

use crate::rig::{OTHER, Rig, request, settings};

/// Longer than a watch takes to come up.
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
