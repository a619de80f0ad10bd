//! What is believed at which age, right at the limits.

use std::time::Duration;

use hollowpaddle_recovery::{Belief, What, belief, oldest};

const MS: Duration = Duration::from_millis(1);

#[test]
fn each_kind_is_believed_up_to_its_age_and_budgets_never() {
    for (what, seconds) in [(What::Fleet, 600), (What::Upstreams, 60), (What::Words, 2_592_000)] {
        let most = Duration::from_secs(seconds);
        assert_eq!(belief(what, Duration::ZERO), Belief::Whole);
        assert_eq!(belief(what, most), Belief::Whole);
        assert_eq!(belief(what, most + MS), Belief::Nothing);
    }
    assert_eq!(belief(What::Budgets, Duration::ZERO), Belief::Nothing);
}

#[test]
fn a_list_is_believed_less_the_older_it_is() {
    let (minutes, days) = (Duration::from_secs(600), Duration::from_secs(30 * 24 * 3600));
    for (age, believed) in [
        (Duration::ZERO, Belief::Whole),
        (minutes, Belief::Whole),
        (minutes + MS, Belief::Cautious),
        (days, Belief::Cautious),
        (days + MS, Belief::Nothing),
    ] {
        assert_eq!(belief(What::List, age), believed, "{age:?}");
    }
}

#[test]
fn beyond_the_oldest_nothing_is_believed() {
    for what in [What::Fleet, What::Upstreams, What::List, What::Words, What::Budgets] {
        assert_eq!(belief(what, oldest() + MS), Belief::Nothing);
    }
    assert_eq!(belief(What::Words, oldest()), Belief::Whole, "no longer than it has to be");
}
