//! Tests of start times in lists, read with a correct clock and with wrong ones.

use serde_json::json;

use super::*;
use crate::members::List;

const HOUR: i64 = 3600;
/// Unix time at the start of the process by a correct clock, in seconds.
const START: i64 = 1_800_000_000;
const WARM_UP: Duration = Duration::from_secs(20);

/// Returns the state of a process whose clock is `seconds_ahead` of the correct time.
fn clock(seconds_ahead: i64) -> (StartTimes, Instant) {
    let origin = Instant::now();
    let unix = Duration::from_secs((START + seconds_ahead) as u64);
    (StartTimes::new(origin, unix, WARM_UP), origin)
}

/// Returns entries with start times `ages` seconds before `START`.
fn entries(ages: &[i64]) -> Vec<Entry> {
    let entry = |(i, age): (usize, &i64)| {
        let up_since_ms = if *age == i64::MAX { 0 } else { (START - age) * 1000 };
        json!({"id": format!("s-{i}"), "host_port": "127.0.0.1:1", "phase": "SERVING",
            "up_since_ms": up_since_ms})
    };
    let members: Vec<_> = ages.iter().enumerate().map(entry).collect();
    let list: List = serde_json::from_value(json!({"members": members})).expect("a list");
    list.members
}

/// Returns the corrected ages of these entries in seconds, with no earlier listing of any entry.
fn ages(times: &StartTimes, delivery: Delivery, entries: &[Entry]) -> Vec<Option<i64>> {
    let correction = times.correction(delivery, entries);
    let age = |entry: &Entry| {
        let corrected = times.corrected(&correction, &entry.id, ListedStart::of(entry)?, None);
        Some((correction.now - corrected.get()) / 1_000_000)
    };
    entries.iter().map(age).collect()
}

#[test]
fn accepts_starts_by_a_right_clock() {
    let (times, origin) = clock(0);
    let all = entries(&[0, 3, 300, 7 * HOUR, i64::MAX]);
    let expected = vec![Some(0), Some(3), Some(300), Some(7 * HOUR), None];
    assert_eq!(ages(&times, origin.into(), &all), expected);
    // A notice that arrives late makes no difference.
    let delivery = Delivery { complete_until: Some(origin), ..origin.into() };
    assert_eq!(ages(&times, delivery, &entries(&[60])), [Some(60)]);
}

#[test]
fn newest_upstreams_of_a_first_list_count_as_new_where_the_clock_is_ahead() {
    let (times, origin) = clock(HOUR);
    let all = entries(&[2, 5, 300, 7 * HOUR, 7 * HOUR, i64::MAX]);
    let expected = vec![Some(0), Some(3), Some(300 + HOUR), Some(8 * HOUR), Some(8 * HOUR), None];
    assert_eq!(ages(&times, origin.into(), &all), expected);
}

#[test]
fn upstreams_started_at_the_same_time_count_as_warm() {
    let (times, origin) = clock(0);
    assert_eq!(
        ages(&times, origin.into(), &entries(&[HOUR, HOUR + 1, HOUR + 2])),
        [Some(HOUR), Some(HOUR + 1), Some(HOUR + 2)]
    );
}

#[test]
fn upstream_that_joins_a_complete_list_counts_as_new_where_the_clock_is_ahead() {
    let (times, origin) = clock(HOUR);
    let delivery = Delivery { complete_until: Some(origin), ..origin.into() };
    assert_eq!(ages(&times, delivery, &entries(&[1])), [Some(0)]);
}

#[test]
fn start_in_the_future_counts_as_now() {
    let (times, origin) = clock(-HOUR);
    assert_eq!(
        ages(&times, origin.into(), &entries(&[1, 300, 7 * HOUR])),
        [Some(0), Some(0), Some(6 * HOUR)]
    );
}

#[test]
fn repeated_start_keeps_its_correction() {
    let (times, origin) = clock(HOUR);
    let listed = ListedStart::of(&entries(&[1])[0]).expect("a start");
    let nearly = std::num::NonZeroI64::new(listed.0.get() - 900_000).map(ListedStart);
    let corrected = CorrectedStart::new(START * 1_000_000).expect("not 0");
    let delivery = Delivery { complete_until: Some(origin), ..origin.into() };
    let correction = times.correction(delivery, &[]);
    for again in [Some(listed), nearly].into_iter().flatten() {
        let known = Some((listed, corrected));
        assert_eq!(times.corrected(&correction, "s-0", again, known), corrected);
    }
}

#[test]
fn upstream_that_returns_without_restart_keeps_its_start() {
    let (mut times, origin) = clock(0);
    let all = entries(&[HOUR, HOUR]);
    let delivery = Delivery { complete_until: Some(origin), ..origin.into() };
    let listed = ListedStart::of(&all[1]).expect("a start");
    times.departed(&all[1].id, listed);
    assert_eq!(ages(&times, delivery, &all), [Some(0), Some(HOUR)], "the first is new");
    for i in 0..2 * MAX_REMEMBERED {
        times.departed(&format!("t-{i}").into(), listed);
    }
    assert_eq!(times.departed.len(), MAX_REMEMBERED);
    assert_eq!(ages(&times, delivery, &all), [Some(0), Some(0)], "forgotten");
}
