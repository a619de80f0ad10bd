//! A change is accepted up to the stated bounds of a fleet, and rejected with a reason beyond these.

use hollowpaddle_model_checks::change_limits::{FleetSize, Outcome, propose_with};
use hollowpaddle_revision::document::MAX_LISTED_NAMES;
use hollowpaddle_revision::fleet::MAX_GROUPS;

const SMALL: FleetSize = FleetSize { classes: 2, machine_types: 1, groups: 6 };

fn propose(fleet: FleetSize) -> Outcome {
    propose_with(fleet).expect("a cluster that settles")
}

fn assert_rejected(outcome: &Outcome) {
    assert_eq!(outcome.in_force, 0, "{outcome:?}");
    let answer = outcome.answer.as_deref().expect("a response");
    assert!(answer.contains("too many"), "{outcome:?}");
}

#[test]
fn accepts_changes_up_to_the_bounds() {
    let largest_groups = MAX_GROUPS as u32;
    for fleet in [
        SMALL,
        FleetSize { classes: MAX_LISTED_NAMES, ..SMALL },
        FleetSize { machine_types: MAX_LISTED_NAMES, ..SMALL },
        FleetSize { groups: largest_groups, ..SMALL },
    ] {
        let outcome = propose(fleet);
        assert!(outcome.is_in_force(), "{outcome:?}");
    }
}

#[test]
fn rejects_changes_beyond_the_bounds_with_a_reason() {
    assert_rejected(&propose(FleetSize { classes: MAX_LISTED_NAMES + 1, ..SMALL }));
    assert_rejected(&propose(FleetSize { machine_types: MAX_LISTED_NAMES + 1, ..SMALL }));
    assert_rejected(&propose(FleetSize { groups: MAX_GROUPS as u32 + 1, ..SMALL }));
}
