//! Tests of the choice between the stored list and the configuration's list, and of the use of an old list.

use serde_json::json;

use super::*;

const MINUTE: Duration = Duration::from_secs(60);
const NOW: Duration = Duration::from_secs(1_000_000);

fn list(revision: u64, members: &[(&str, &str)]) -> List {
    let entry = |(id, phase): &(&str, &str)| json!({"id": id, "phase": phase, "up_since_ms": 7.0});
    let members: Vec<_> = members.iter().map(entry).collect();
    serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
}

fn start_times(restored: &RestoredList) -> Vec<f64> {
    restored.list.members.iter().map(|m| m.up_since_ms).collect()
}

#[test]
fn stored_list_applies_only_if_newer_than_the_initial_list() {
    let initial_list = list(5, &[("a", "SERVING")]);
    for (revision, applies) in [(4, false), (5, false), (6, true)] {
        let stored = list(revision, &[("a", "DRAINING")]);
        assert_eq!(
            restored_list(&stored, &initial_list, MINUTE, NOW).is_some(),
            applies,
            "{revision}"
        );
    }
    let stored = list(0, &[("a", "SERVING")]);
    assert!(
        restored_list(&stored, &List::default(), MINUTE, NOW).is_some(),
        "without a list in the configuration"
    );
}

#[test]
fn recent_list_counts_as_complete_with_the_version_of_the_initial_list() {
    let (stored, initial_list) =
        (list(9, &[("a", "DRAINING"), ("b", "SERVING")]), list(5, &[("c", "SERVING")]));
    let recent = restored_list(&stored, &initial_list, 10 * MINUTE, NOW).expect("it applies");
    assert!(recent.is_complete && recent.list.revision == 5, "{recent:?}");
    assert_eq!(start_times(&recent), [7.0, 7.0]);
}

#[test]
fn old_list_drains_upstreams_and_marks_new_ones_as_just_started() {
    let stored = list(9, &[("a", "DRAINING"), ("b", "SERVING"), ("c", "SERVING")]);
    let initial_list = list(5, &[("a", "SERVING"), ("c", "SERVING"), ("d", "SERVING")]);
    let old = restored_list(&stored, &initial_list, 11 * MINUTE, NOW).expect("it applies");
    assert!(!old.is_complete);
    assert_eq!(start_times(&old), [7.0, 1e9, 7.0], "only `b` is marked as just started");
    assert!(restored_list(&stored, &initial_list, 31 * 24 * 60 * MINUTE, NOW).is_none());
}
