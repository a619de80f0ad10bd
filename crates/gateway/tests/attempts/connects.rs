//! Connections that come up late, or never.

use std::time::Duration;

use tokio::time::sleep;

use crate::rig::{Rig, request, settings};

const LATE: Duration = Duration::from_millis(1000);

#[tokio::test(start_paused = true)]
async fn what_its_client_left_while_its_connection_came_up_is_not_sent() {
    Rig::run(settings(), vec![], async |mut rig| {
        rig.links.late.borrow_mut().push_back(LATE);
        let mut client = rig.client().await;
        client.send(&request("alarm", "r1", 6000, "x")).await;
        sleep(LATE / 2).await;
        assert_eq!(rig.links.begun.get(), 1, "its connection is on its way");
        drop(client);
        sleep(LATE).await;
        assert!(rig.saw_nothing(), "sent for nobody");
        // What came up is there for the next.
        let answer = rig.client().await.ask(&request("alarm", "r2", 6000, "x")).await;
        assert_eq!((answer.0, rig.links.begun.get()), (200, 1));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_is_given_up_gives_its_descriptor_back() {
    Rig::run(settings(), vec![], async |rig| {
        // Past the 3000 ms that the settings give it, then past the client's deadline.
        rig.links.late.borrow_mut().extend([4 * LATE, 4 * LATE]);
        let (status, _) = rig.client().await.ask(&request("alarm", "r1", 6000, "x")).await;
        assert_eq!(status, 503, "it never ran");
        sleep(LATE).await;
        assert_eq!(rig.links.open.get(), 0);
    })
    .await;
}
