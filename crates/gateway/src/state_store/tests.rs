//! Tests of restoring a snapshot that was saved under other settings or by another clock.

use hollowpaddle_policy::interface::{Class, Settings, SignedDuration, Time};
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_snapshot::Snapshot;
use serde_json::json;

use super::*;
use crate::restored_list::RestoredList;

const NOW: Duration = Duration::from_secs(1_000_000);

/// A saver that discards all saves.
struct NoSaver;

impl StateSaver for NoSaver {
    fn save(&self, _: Duration, _: Box<dyn FnOnce() -> Vec<u8> + Send>) {}
    fn is_idle(&self) -> bool {
        true
    }
    fn status(&self) -> Status {
        Status { saved: None, failure: None, is_writing: false, superseded: 0 }
    }
}

/// Restores, under settings with the meaning `current_meaning`, a state that was saved one second ago under settings with
/// the meaning `saved_meaning`.
fn start(saved_meaning: Option<u64>, current_meaning: u64) -> (Restored, Option<RestoredList>) {
    start_on(saved_meaning, current_meaning, NOW - Duration::from_secs(1))
}

/// Restores, under settings with the meaning `current_meaning`, a state that was saved under settings with the meaning
/// `saved_meaning` at the time `saved_at` by the clock of the previous process.
fn start_on(
    saved_meaning: Option<u64>,
    current_meaning: u64,
    saved_at: Duration,
) -> (Restored, Option<RestoredList>) {
    let settings = Settings::basic(vec![Class::safe(SignedDuration(1000), SignedDuration(2000))]);
    let learned = Balancer::new(settings, 1, Time(0)).expect("settings").learned();
    let at = saved_at.as_millis() as u64;
    let entry = json!({"id": "s-0", "host_port": "10.0.0.1:80", "phase": "DRAINING"});
    let mut state = json!({
        "learned": learned, "learned_ms": at, "list_ms": at,
        "list": {"revision": 900, "complete": true, "members": [entry]},
        "said": {"cordoned": ["s-7"]},
    });
    if let Some(saved_meaning) = saved_meaning {
        state["meaning"] = saved_meaning.into();
    }
    let payload = state.to_string().into_bytes();
    let snapshot = Some(Snapshot { generation: 1, age: Duration::from_secs(1), payload });
    let found = Found { snapshot, aside: Vec::new() };
    Restored::read(
        StoredState { saver: Box::new(NoSaver), found },
        NOW,
        &List::default(),
        current_meaning,
    )
}

#[test]
fn state_saved_under_other_settings_is_discarded() {
    let (same, list) = start(Some(u64::MAX), u64::MAX);
    assert!(same.payload.learned.is_some() && same.payload.list.is_some() && list.is_some());
    // An older build did not save the meaning of its settings.
    for saved_meaning in [Some(7), None] {
        let (other, list) = start(saved_meaning, 8);
        assert!(other.payload.learned.is_none() && list.is_none(), "{saved_meaning:?}");
        assert!(other.payload.list.is_none() && other.list_age_s.is_none(), "{saved_meaning:?}");
        assert!(
            other.payload.operator_copy.is_some(),
            "operator commands apply under any settings"
        );
        assert_eq!(other.payload.meaning, 8, "later saves have the current meaning");
    }
}

#[test]
fn state_saved_by_a_clock_ahead_has_unknown_age() {
    // One of the two clocks is wrong, and the state may have been saved long ago.
    let (start, list) = start_on(Some(1), 1, NOW + Duration::from_secs(3600));
    assert!(start.payload.learned.is_none(), "the estimates may be outdated");
    assert!(
        list.is_some_and(|list| !list.is_complete),
        "the list drains upstreams, but removes none that it does not name"
    );
    let (start, list) = start_on(Some(1), 1, NOW + Duration::from_millis(500));
    assert!(
        start.payload.learned.is_some() && list.is_some_and(|list| list.is_complete),
        "a small clock difference is tolerated"
    );
}
