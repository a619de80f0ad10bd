//! Each fault that a failpoint injects has its outcome.

use hollowpaddle_failpoints::Plan;

use super::*;

#[test]
fn each_fault_has_its_outcome_and_a_datagram_without_fault_is_passed_once() {
    for kind in [Kind::Send, Kind::Receive] {
        for fault in kind.faults() {
            let points = Points::armed(Plan::one(2, *fault));
            let pass = || match kind {
                Kind::Send => transmit_through(&points, "out"),
                _ => receive_through(&points, "in"),
            };
            let expected = match fault {
                Fault::Lose => DatagramOutcome::Copies(0),
                Fault::Copy => DatagramOutcome::Copies(2),
                Fault::Crash => DatagramOutcome::Crash,
                _ => DatagramOutcome::Pause,
            };
            assert_eq!(
                (pass(), pass(), pass()),
                (DatagramOutcome::Copies(1), expected, DatagramOutcome::Copies(1))
            );
            assert!(points.passed().iter().all(|passed| passed.kind == kind));
        }
    }
}
