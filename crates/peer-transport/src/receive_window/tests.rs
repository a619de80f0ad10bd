//! Compares the window with a set of all sequence numbers, and tests the largest sequence number.

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn no_number_is_new_twice_and_no_number_within_the_window_is_too_old(
        floor in 0..300u64,
        steps in proptest::collection::vec((0..3_000u64, any::<bool>()), 1..400),
    ) {
        let mut window = ReceiveWindow::starting_after(floor);
        let (mut received, mut highest) = (BTreeSet::new(), floor);
        for (step, ahead) in steps {
            let sequence = if ahead { highest + step / 16 } else { highest.saturating_sub(step / 2) };
            let expected = if sequence <= floor || sequence + WINDOW_SEQUENCES <= highest {
                SequenceStatus::TooOld
            } else if received.insert(sequence) {
                SequenceStatus::New
            } else {
                SequenceStatus::Duplicate
            };
            prop_assert_eq!(window.record(sequence), expected, "{} after {}", sequence, highest);
            highest = highest.max(sequence);
        }
    }
}

#[test]
fn handles_the_largest_sequence_number() {
    let mut window = ReceiveWindow::starting_after(0);
    assert_eq!(window.record(u64::MAX), SequenceStatus::New);
    assert_eq!(
        (window.record(u64::MAX), window.record(1)),
        (SequenceStatus::Duplicate, SequenceStatus::TooOld)
    );
    assert_eq!(window.record(u64::MAX - WINDOW_SEQUENCES + 1), SequenceStatus::New);
}
