//! Crash loops: told from a single kill, left by themselves, and not made up by clocks.

use std::time::Duration;

use hollowpaddle_recovery::{MANY, REMEMBERED, SETTLED, Starts, TOO_MANY, WINDOW, Way};
use proptest::prelude::*;

const NOON: Duration = Duration::from_secs(1_786_000_000);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// What one start leaves, the next reads from a file.
fn passed_on(starts: &Starts) -> Starts {
    serde_json::from_str(&serde_json::to_string(starts).expect("plain")).expect("readable")
}

/// Starts and kills each `every`, so often; how each start goes on.
fn killed(starts: &mut Starts, from: Duration, every: Duration, times: u32) -> Vec<Way> {
    let start = |n| {
        *starts = passed_on(starts);
        starts.begin(from + every * n)
    };
    (0..times).map(start).collect()
}

#[test]
fn a_loop_goes_on_without_what_was_stored_and_then_bare() {
    let ways = killed(&mut Starts::default(), NOON, s(2.0), 12);
    let usual = ways.iter().filter(|w| **w == Way::Usual).count();
    let without = ways.iter().filter(|w| **w == Way::WithoutSnapshot).count();
    assert_eq!((usual, without), (MANY, TOO_MANY - MANY));
    assert!(ways.is_sorted() && ways.last() == Some(&Way::Bare));
}

#[test]
fn one_kill_and_planned_restarts_are_no_loop() {
    let mut starts = Starts::default();
    assert_eq!(killed(&mut starts, NOON, s(1.5), 2), [Way::Usual; 2]);
    // Releases, one after another, each ending in order.
    let mut starts = Starts::default();
    for n in 0..20 {
        assert_eq!(starts.begin(NOON + s(3.0) * n), Way::Usual);
        starts.ended();
    }
    assert_eq!((starts.count(), starts.crashes()), (20, 0));
}

#[test]
fn an_orderly_end_in_a_loop_does_not_hide_it() {
    let mut starts = Starts::default();
    killed(&mut starts, NOON, s(2.0), 4);
    assert_eq!(starts.begin(NOON + s(8.0)), Way::WithoutSnapshot);
    starts.ended();
    assert_eq!(starts.begin(NOON + s(9.0)), Way::WithoutSnapshot);
    assert_eq!(starts.crashes(), 4);
}

#[test]
fn a_loop_is_left_by_serving_for_a_while_or_by_time() {
    let mut starts = Starts::default();
    killed(&mut starts, NOON, s(2.0), 8);
    assert_eq!(starts.begin(NOON + s(16.0)), Way::Bare);
    starts.settled();
    assert_eq!(starts.begin(NOON + s(16.0) + SETTLED), Way::Usual);
    let mut starts = Starts::default();
    killed(&mut starts, NOON, s(2.0), 8);
    assert_eq!(starts.begin(NOON + s(14.0) + WINDOW + s(0.1)), Way::Usual);
}

#[test]
fn slow_crashes_are_counted_as_far_as_the_window_goes() {
    // One in 50 s: three starts lie within it.
    let ways = killed(&mut Starts::default(), NOON, s(50.0), 30);
    assert!(ways.iter().all(|w| *w == Way::Usual));
    let ways = killed(&mut Starts::default(), NOON, s(35.0), 30);
    assert_eq!(ways.last(), Some(&Way::WithoutSnapshot));
}

#[test]
fn a_clock_that_steps_makes_no_loop_and_hides_none_for_long() {
    // Back by a day between two starts, and on again.
    let mut starts = Starts::default();
    let day = s(86_400.0);
    let ways: Vec<Way> = [NOON, NOON - day, NOON].into_iter().map(|t| starts.begin(t)).collect();
    assert_eq!(ways, [Way::Usual; 3]);
    // A loop under a clock that was set back is seen after as many crashes as any.
    let mut starts = Starts::default();
    starts.begin(NOON);
    let ways = killed(&mut starts, NOON - day, s(2.0), 8);
    assert_eq!(ways[MANY - 1], Way::WithoutSnapshot, "the one from the future counts");
    // And left as any, though the one from the future never comes to pass.
    assert_eq!(starts.begin(NOON - day + s(14.0) + WINDOW + s(0.1)), Way::Usual);
}

proptest! {
    #[test]
    fn what_is_noted_is_bounded_whatever_happens(
        steps in proptest::collection::vec((0u64..200_000, 0u8..4), 0..200),
    ) {
        let (mut starts, mut now) = (Starts::default(), NOON);
        for (ms, what) in steps {
            now += Duration::from_millis(ms);
            match what {
                0 => starts.ended(),
                1 => starts.settled(),
                2 => now -= Duration::from_millis(ms * 3 % 500_000),
                _ => drop(starts.begin(now)),
            }
            prop_assert!(starts.crashes() < REMEMBERED);
            prop_assert!(serde_json::to_string(&starts).expect("plain").len() < 64 * REMEMBERED);
        }
    }
}
