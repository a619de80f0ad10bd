//! Tests of the state names in responses of the admin API.

use hollowpaddle_consensus::ReplicaStatus;
use hollowpaddle_revision::policy_state::PolicyState;
use serde_json::Value;

use super::views::revisions;

/// A snapshot of a policy state with a revision of each origin and in each state: five revisions numbered 0, 11, 13, 17 and
/// 19 with the same empty document. The snapshot's format identifies enum variants by position, not by name.
const IMAGE: &[u8] = &[
    1, 1, 1, 0, 0, 1, 1, 0, 0, 1, 0, 1, 20, 19, 1, 13, 1, 17, 1, 19, 19, 0, 0, 1, 0, 0, 0, 0, 0, 0,
    0, 0, 0, 3, 100, 0, 0, 0, 5, 0, 0, 0, 1, 3, 11, 11, 0, 1, 178, 80, 1, 4, 13, 13, 0, 2, 178, 80,
    11, 0, 17, 0, 3, 13, 0, 0, 19, 0, 3, 13, 1, 250, 1, 0, 0,
];

/// The expected response of `GET /admin/revisions`, newest revision first.
const REVISIONS: &str = include_str!("revisions.json");

#[test]
fn names_each_origin_and_state_of_a_revision() {
    let policy = PolicyState::from_snapshot(IMAGE).expect("a snapshot");
    let expected: Value = serde_json::from_str(REVISIONS).expect("JSON");
    assert_eq!(revisions(&policy), expected);
}

#[test]
fn names_each_status_of_a_voter() {
    let names = [
        (ReplicaStatus::NonVoter, "outside"),
        (ReplicaStatus::WithoutState, "blank"),
        (ReplicaStatus::Recovering, "waking"),
        (ReplicaStatus::ViewChange, "changing"),
        (ReplicaStatus::Normal, "normal"),
        (ReplicaStatus::DiskFailed, "mute"),
    ];
    for (status, name) in names {
        // `views::cluster` formats the status in the same way.
        assert_eq!(status.to_string(), name);
    }
}
