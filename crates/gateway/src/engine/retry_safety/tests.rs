//! Each effect against each way in which an earlier attempt can have ended.

use hollowpaddle_policy::interface::Span;

use super::*;

fn class(effect: Effect, group: Group) -> Class {
    Class { effect, group, ..Class::safe(Span(1_000_000), Span(2_000_000)) }
}

fn earlier(cell: u32, outcome: Option<Outcome>) -> Earlier {
    Earlier { place: place(cell), outcome }
}

fn place(cell: u32) -> Option<Place> {
    Some(Place { zone: cell / 10, cell })
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
fn repeats_unsafe_requests_only_after_attempts_that_never_ran() {
    let class = class(Effect::Unsafe, Group::All);
    let never = NEVER_RAN.map(|outcome| earlier(1, Some(outcome)));
    assert!(may_repeat(&class, &never, place(1)) && may_refuse(&class, &never));
    for outcome in MAY_HAVE_RUN {
        let mut attempts = never.to_vec();
        attempts.push(earlier(1, outcome));
        assert!(
            !may_repeat(&class, &attempts, place(1)) && !may_refuse(&class, &attempts),
            "{outcome:?}"
        );
    }
}

#[test]
fn repeats_keyed_requests_only_within_the_group_of_each_that_may_have_run() {
    for outcome in MAY_HAVE_RUN {
        let attempts = [earlier(3, Some(Outcome::Full)), earlier(11, outcome)];
        let may = |group, cell| may_repeat(&class(Effect::Keyed, group), &attempts, place(cell));
        assert!(may(Group::Cell, 11) && !may(Group::Cell, 12) && !may(Group::Cell, 3));
        assert!(may(Group::Zone, 12) && !may(Group::Zone, 3));
        assert!(may(Group::All, 3));
        assert!(!may_repeat(&class(Effect::Keyed, Group::Zone), &attempts, None));
        assert!(!may_refuse(&class(Effect::Keyed, Group::Cell), &attempts));
        assert!(may_refuse(&class(Effect::Keyed, Group::All), &attempts));
    }
}

#[test]
fn repeats_safe_requests_whatever_came_before() {
    let class = class(Effect::Safe, Group::All);
    let attempts = MAY_HAVE_RUN.map(|outcome| earlier(1, outcome));
    assert!(may_repeat(&class, &attempts, place(2)) && may_refuse(&class, &attempts));
}
