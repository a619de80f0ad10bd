//! Crash loops are distinguished from single kills, end without an operator, and are not caused by clock steps.

use std::time::Duration;

use hollowpaddle_recovery::{
    CRASH_LOOP_STARTS, CRASH_WINDOW, MAX_RECORDED_STARTS, MINIMAL_MODE_STARTS, SETTLED_AFTER,
    StartHistory, StartMode,
};
use proptest::prelude::*;

const NOON: Duration = Duration::from_secs(1_786_000_000);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns the history as the next start reads it.
fn stored_and_read(starts: &StartHistory) -> StartHistory {
    serde_json::from_str(&serde_json::to_string(starts).expect("plain")).expect("readable")
}

/// Starts and kills the process `times` times, at this interval, and returns the mode of each start.
fn start_and_kill(
    starts: &mut StartHistory,
    from: Duration,
    interval: Duration,
    times: u32,
) -> Vec<StartMode> {
    let start = |n| {
        *starts = stored_and_read(starts);
        starts.begin(from + interval * n)
    };
    (0..times).map(start).collect()
}

#[test]
fn crash_loop_uses_no_snapshot_and_then_minimal_mode() {
    let modes = start_and_kill(&mut StartHistory::default(), NOON, seconds(2.0), 12);
    let normal = modes.iter().filter(|mode| **mode == StartMode::Normal).count();
    let without_snapshot = modes.iter().filter(|mode| **mode == StartMode::WithoutSnapshot).count();
    assert_eq!(
        (normal, without_snapshot),
        (CRASH_LOOP_STARTS, MINIMAL_MODE_STARTS - CRASH_LOOP_STARTS)
    );
    assert!(modes.is_sorted() && modes.last() == Some(&StartMode::Minimal));
}

#[test]
fn one_kill_and_planned_restarts_are_not_a_crash_loop() {
    let mut starts = StartHistory::default();
    assert_eq!(start_and_kill(&mut starts, NOON, seconds(1.5), 2), [StartMode::Normal; 2]);
    // Planned restarts: each process ends in order.
    let mut starts = StartHistory::default();
    for n in 0..20 {
        assert_eq!(starts.begin(NOON + seconds(3.0) * n), StartMode::Normal);
        starts.record_orderly_end();
    }
    assert_eq!((starts.count(), starts.crash_count()), (20, 0));
}

#[test]
fn orderly_end_does_not_hide_a_crash_loop() {
    let mut starts = StartHistory::default();
    start_and_kill(&mut starts, NOON, seconds(2.0), 4);
    assert_eq!(starts.begin(NOON + seconds(8.0)), StartMode::WithoutSnapshot);
    starts.record_orderly_end();
    assert_eq!(starts.begin(NOON + seconds(9.0)), StartMode::WithoutSnapshot);
    assert_eq!(starts.crash_count(), 4);
}

#[test]
fn crash_loop_ends_by_settling_or_by_time() {
    let mut starts = StartHistory::default();
    start_and_kill(&mut starts, NOON, seconds(2.0), 8);
    assert_eq!(starts.begin(NOON + seconds(16.0)), StartMode::Minimal);
    starts.record_settled();
    assert_eq!(starts.begin(NOON + seconds(16.0) + SETTLED_AFTER), StartMode::Normal);
    let mut starts = StartHistory::default();
    start_and_kill(&mut starts, NOON, seconds(2.0), 8);
    assert_eq!(starts.begin(NOON + seconds(14.0) + CRASH_WINDOW + seconds(0.1)), StartMode::Normal);
}

#[test]
fn crashes_are_counted_within_the_window() {
    // With one start in 50 s, three starts lie within the window.
    let modes = start_and_kill(&mut StartHistory::default(), NOON, seconds(50.0), 30);
    assert!(modes.iter().all(|mode| *mode == StartMode::Normal));
    let modes = start_and_kill(&mut StartHistory::default(), NOON, seconds(35.0), 30);
    assert_eq!(modes.last(), Some(&StartMode::WithoutSnapshot));
}

#[test]
fn clock_step_causes_no_crash_loop_and_hides_none_for_long() {
    // The clock steps back by a day between two starts, and forward again.
    let mut starts = StartHistory::default();
    let day = seconds(86_400.0);
    let modes: Vec<StartMode> =
        [NOON, NOON - day, NOON].into_iter().map(|t| starts.begin(t)).collect();
    assert_eq!(modes, [StartMode::Normal; 3]);
    // Under a clock that was set back, a crash loop is detected after the same number of crashes.
    let mut starts = StartHistory::default();
    starts.begin(NOON);
    let modes = start_and_kill(&mut starts, NOON - day, seconds(2.0), 8);
    assert_eq!(
        modes[CRASH_LOOP_STARTS - 1],
        StartMode::WithoutSnapshot,
        "the start from the future counts"
    );
    // The crash loop ends as usual, although the time of the start from the future is never reached.
    assert_eq!(
        starts.begin(NOON - day + seconds(14.0) + CRASH_WINDOW + seconds(0.1)),
        StartMode::Normal
    );
}

proptest! {
    #[test]
    fn recorded_starts_are_bounded(
        steps in proptest::collection::vec((0u64..200_000, 0u8..4), 0..200),
    ) {
        let (mut starts, mut now) = (StartHistory::default(), NOON);
        for (ms, action) in steps {
            now += Duration::from_millis(ms);
            match action {
                0 => starts.record_orderly_end(),
                1 => starts.record_settled(),
                2 => now -= Duration::from_millis(ms * 3 % 500_000),
                _ => drop(starts.begin(now)),
            }
            prop_assert!(starts.crash_count() < MAX_RECORDED_STARTS);
            prop_assert!(serde_json::to_string(&starts).expect("plain").len() < 64 * MAX_RECORDED_STARTS);
        }
    }
}
