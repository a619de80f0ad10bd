//! How far restored state is trusted just at and just beyond its maximum age.

use std::time::Duration;

use hollowpaddle_recovery::{RestoredState, Trust, max_age, trust};

const MS: Duration = Duration::from_millis(1);

#[test]
fn each_kind_is_trusted_up_to_its_age_and_budgets_never() {
    for (kind, seconds) in [
        (RestoredState::Fleet, 600),
        (RestoredState::Upstreams, 60),
        (RestoredState::OperatorState, 2_592_000),
    ] {
        let limit = Duration::from_secs(seconds);
        assert_eq!(trust(kind, Duration::ZERO), Trust::Full);
        assert_eq!(trust(kind, limit), Trust::Full);
        assert_eq!(trust(kind, limit + MS), Trust::None);
    }
    assert_eq!(trust(RestoredState::Budgets, Duration::ZERO), Trust::None);
}

#[test]
fn endpoint_list_is_trusted_less_with_age() {
    let (minutes, days) = (Duration::from_secs(600), Duration::from_secs(30 * 24 * 3600));
    for (age, expected) in [
        (Duration::ZERO, Trust::Full),
        (minutes, Trust::Full),
        (minutes + MS, Trust::Cautious),
        (days, Trust::Cautious),
        (days + MS, Trust::None),
    ] {
        assert_eq!(trust(RestoredState::EndpointList, age), expected, "{age:?}");
    }
}

#[test]
fn nothing_is_trusted_beyond_the_maximum_age() {
    for kind in [
        RestoredState::Fleet,
        RestoredState::Upstreams,
        RestoredState::EndpointList,
        RestoredState::OperatorState,
        RestoredState::Budgets,
    ] {
        assert_eq!(trust(kind, max_age() + MS), Trust::None);
    }
    assert_eq!(
        trust(RestoredState::OperatorState, max_age()),
        Trust::Full,
        "the maximum age is as short as possible"
    );
}
