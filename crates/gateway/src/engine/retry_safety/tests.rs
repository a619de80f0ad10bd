//! Tests each class effect against each outcome of an earlier attempt.

use hollowpaddle_policy::interface::SignedDuration;

use super::*;

fn class(effect: Effect, group: Group) -> Class {
    Class { effect, group, ..Class::safe(SignedDuration(1_000_000), SignedDuration(2_000_000)) }
}

fn prior(cell: u32, outcome: Option<Outcome>) -> PriorAttempt {
    PriorAttempt { location: location(cell), outcome }
}

fn location(cell: u32) -> Option<Location> {
    Some(Location { zone: cell / 10, cell })
}

const NEVER_RAN: [Outcome; 3] = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];
const MAY_HAVE_RUN: [Option<Outcome>; 5] = [
    None,
    Some(Outcome::Error),
    Some(Outcome::Timeout),
    Some(Outcome::Reset),
    Some(Outcome::Cancelled),
];

#[test]
fn retries_unsafe_requests_only_after_attempts_that_never_ran() {
    let class = class(Effect::Unsafe, Group::All);
    let never = NEVER_RAN.map(|outcome| prior(1, Some(outcome)));
    assert!(is_retry_safe(&class, &never, location(1)) && is_rejection_safe(&class, &never));
    for outcome in MAY_HAVE_RUN {
        let mut attempts = never.to_vec();
        attempts.push(prior(1, outcome));
        assert!(
            !is_retry_safe(&class, &attempts, location(1)) && !is_rejection_safe(&class, &attempts),
            "{outcome:?}"
        );
    }
}

#[test]
fn retries_keyed_requests_only_within_the_group_of_each_that_may_have_run() {
    for outcome in MAY_HAVE_RUN {
        let attempts = [prior(3, Some(Outcome::Full)), prior(11, outcome)];
        let may =
            |group, cell| is_retry_safe(&class(Effect::Keyed, group), &attempts, location(cell));
        assert!(may(Group::Cell, 11) && !may(Group::Cell, 12) && !may(Group::Cell, 3));
        assert!(may(Group::Zone, 12) && !may(Group::Zone, 3));
        assert!(may(Group::All, 3));
        assert!(!is_retry_safe(&class(Effect::Keyed, Group::Zone), &attempts, None));
        assert!(!is_rejection_safe(&class(Effect::Keyed, Group::Cell), &attempts));
        assert!(is_rejection_safe(&class(Effect::Keyed, Group::All), &attempts));
    }
}

#[test]
fn retries_safe_requests_after_any_outcome() {
    let class = class(Effect::Safe, Group::All);
    let attempts = MAY_HAVE_RUN.map(|outcome| prior(1, outcome));
    assert!(is_retry_safe(&class, &attempts, location(2)) && is_rejection_safe(&class, &attempts));
}
