//! The JSON of the start history, and the names of the start modes, byte for byte.

use std::time::Duration;

use hollowpaddle_recovery::{StartHistory, StartMode};

const FIRST_START: Duration = Duration::from_millis(1_786_000_000_123);
const SECOND_START: Duration = Duration::from_millis(1_786_000_001_000);

const NO_STARTS: &str = r#"{"open":[],"count":0}"#;
const TWO_STARTS: &str = r#"{"open":[{"at_ms":1786000000123},{"at_ms":1786000001000}],"count":2}"#;
const ONE_ENDED: &str = r#"{"open":[{"at_ms":1786000000123}],"count":2}"#;

/// Returns a history of two starts, neither of which has ended in order.
fn two_starts() -> StartHistory {
    let mut starts = StartHistory::default();
    starts.begin(FIRST_START);
    starts.begin(SECOND_START);
    starts
}

#[test]
fn starts_are_written_and_read_byte_for_byte() {
    let mut one_ended = two_starts();
    one_ended.record_orderly_end();
    for (starts, text) in
        [(StartHistory::default(), NO_STARTS), (two_starts(), TWO_STARTS), (one_ended, ONE_ENDED)]
    {
        assert_eq!(serde_json::to_string(&starts).expect("JSON"), text);
        assert_eq!(serde_json::from_str::<StartHistory>(text).expect("readable"), starts);
    }
    assert_eq!(
        serde_json::from_str::<StartHistory>("{}").expect("readable"),
        StartHistory::default()
    );
}

#[test]
fn start_modes_keep_their_names() {
    for (mode, name) in [
        (StartMode::Normal, "usual"),
        (StartMode::WithoutSnapshot, "without-snapshot"),
        (StartMode::Minimal, "bare"),
    ] {
        assert_eq!(mode.name(), name);
    }
}
