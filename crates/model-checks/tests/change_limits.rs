//! A change is accepted up to the stated bounds of a fleet, and refused with a reason beyond.

use hollowpaddle_model_checks::change_limits::{FleetSize, Outcome, propose_with};
use hollowpaddle_revision::document::MAX_LISTED_NAMES;
use hollowpaddle_revision::fleet::MAX_GROUPS;

const SMALL: FleetSize = FleetSize { classes: 2, machine_types: 1, groups: 6 };

fn propose(fleet: FleetSize) -> Outcome {
    propose_with(fleet).expect("a cluster that comes to rest")
}

fn assert_refused(outcome: &Outcome) {
    assert_eq!(outcome.in_force, 0, "{outcome:?}");
    let answer = outcome.answer.as_deref().expect("an answer");
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
fn refuses_changes_beyond_the_bounds_with_a_reason() {
    assert_refused(&propose(FleetSize { classes: MAX_LISTED_NAMES + 1, ..SMALL }));
    assert_refused(&propose(FleetSize { machine_types: MAX_LISTED_NAMES + 1, ..SMALL }));
    assert_refused(&propose(FleetSize { groups: MAX_GROUPS as u32 + 1, ..SMALL }));
}
