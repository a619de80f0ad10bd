use super::*;

const GRACE: Duration = Duration::from_secs(2);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns the state of a list that a watch confirmed until `start` and that no watch has confirmed since.
fn mark_unconfirmed(start: Instant) -> Freshness {
    let mut freshness = Freshness::new(GRACE, start);
    freshness.mark_confirmed();
    freshness.mark_unconfirmed(start);
    freshness
}

#[test]
fn expires_after_the_grace_period_of_a_missed_change() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    let expiry = freshness.expiry();
    freshness.call_ended(WatchEnd::ListCallRejected, start + seconds(1), start + seconds(1));
    let at = start + PROPAGATION_BOUND + GRACE;
    assert_eq!(expiry.at(), Some(at));
    assert!(!expiry.is_over(at - Duration::from_micros(1)));
    assert!(expiry.is_over(at));
}

#[test]
fn further_rejection_does_not_postpone_expiry() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    for second in 1..8 {
        let now = start + seconds(second);
        freshness.call_ended(WatchEnd::ListCallRejected, now, now);
    }
    assert_eq!(freshness.expiry().at(), Some(start + PROPAGATION_BOUND + GRACE));
}

#[test]
fn never_expires_while_discovery_is_unreachable() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    for second in 0..60 {
        let now = start + seconds(second);
        for end in [WatchEnd::Unreachable, WatchEnd::Failed, WatchEnd::Unanswered] {
            freshness.call_ended(end, now, now);
            assert_eq!(freshness.expiry().at(), None, "{end:?} after {second} s");
        }
    }
}

#[test]
fn age_restarts_when_discovery_could_not_be_reached() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    let down = start + seconds(5);
    freshness.call_ended(WatchEnd::ListCallRejected, start, start);
    freshness.call_ended(WatchEnd::Unreachable, down, down + seconds(2));
    assert_eq!(freshness.expiry().at(), None);
    freshness.call_ended(WatchEnd::ListCallRejected, down + seconds(3), down + seconds(3));
    assert_eq!(freshness.expiry().at(), Some(down + PROPAGATION_BOUND + GRACE));
}

#[test]
fn overloaded_discovery_that_fails_an_accepted_call_counts_as_reachable() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    freshness.call_ended(WatchEnd::ListCallRejected, start, start);
    freshness.call_ended(WatchEnd::Failed, start, start + seconds(3));
    assert_eq!(freshness.expiry().at(), Some(start + PROPAGATION_BOUND + GRACE));
}

#[test]
fn stays_expired_until_a_watch_confirms_the_list() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    freshness.call_ended(WatchEnd::ListCallRejected, start, start);
    let late = start + seconds(20);
    freshness.call_ended(WatchEnd::Unreachable, late, late);
    assert!(freshness.expiry().is_over(late), "an outage does not undo deliveries");
    freshness.mark_confirmed();
    assert!(!freshness.expiry().is_over(late));
}

#[test]
fn change_received_late_counts_from_its_delivery() {
    let start = Instant::now();
    let mut freshness = mark_unconfirmed(start);
    let (soon, late) = (start + seconds(1), start + seconds(7));
    assert_eq!(freshness.delivered(soon), soon);
    assert_eq!(freshness.delivered(late), start + PROPAGATION_BOUND);
    freshness.mark_confirmed();
    assert_eq!(freshness.delivered(late), late);
}

/// Returns the state of a new process whose list no watch has confirmed.
fn new_process(start: Instant) -> Freshness {
    Freshness::new(GRACE, start)
}

/// Returns the state after discovery has ended the watch that confirmed the list until `start`.
fn watch_ended(start: Instant) -> Freshness {
    let mut freshness = Freshness::new(GRACE, start);
    freshness.mark_confirmed();
    freshness.watch_ended(start);
    freshness
}

/// Returns the state after the watch that confirmed the list until `start` has fallen silent.
fn watch_silent(start: Instant) -> Freshness {
    let mut freshness = Freshness::new(GRACE, start);
    freshness.mark_confirmed();
    freshness.watch_silent(start);
    freshness
}

// Walks over the table in the documentation of the module.
#[test]
fn list_expires_if_calls_fail_that_have_reached_discovery() {
    type Rows = [(fn(Instant) -> Freshness, &'static [WatchEnd], &'static [WatchEnd]); 3];
    use WatchEnd::*;
    let rows: Rows = [
        (
            new_process,
            &[ListCallRejected, RejectedAfterWait, EndedWithoutList, Failed],
            &[Unreachable, ClosedAtOnce, Unanswered, Stalled],
        ),
        (
            watch_ended,
            &[ListCallRejected, EndedWithoutList],
            &[Unreachable, RejectedAfterWait, Failed, ClosedAtOnce, Unanswered, Stalled],
        ),
        (
            watch_silent,
            &[ListCallRejected, RejectedAfterWait, EndedWithoutList],
            &[Unreachable, Failed, ClosedAtOnce, Unanswered, Stalled],
        ),
    ];
    for (state, reached, not_reached) in rows {
        let start = Instant::now();
        for end in reached {
            let mut freshness = state(start);
            freshness.call_ended(*end, start, start + seconds(1));
            assert_eq!(freshness.expiry().at(), Some(start + PROPAGATION_BOUND + GRACE), "{end:?}");
        }
        for end in not_reached {
            let mut freshness = state(start);
            for second in 1..60 {
                let now = start + seconds(second);
                freshness.call_ended(*end, now, now);
                assert_eq!(freshness.expiry().at(), None, "{end:?} after {second} s");
            }
        }
    }
}

#[test]
fn status_after_a_wait_counts_as_reached_once_discovery_was_disconnected() {
    let start = Instant::now();
    let mut freshness = watch_ended(start);
    let (down, back) = (start + seconds(1), start + seconds(4));
    freshness.call_ended(WatchEnd::Unreachable, down, down);
    freshness.call_ended(WatchEnd::RejectedAfterWait, back, back + seconds(1));
    assert_eq!(freshness.expiry().at(), Some(down + PROPAGATION_BOUND + GRACE));
}
