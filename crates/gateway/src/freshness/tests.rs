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
