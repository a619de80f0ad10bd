//! What a fault does to a datagram on its way through a shell: the daemon and the simulated network carry it
//! out alike.

use hollowpaddle_failpoints::{Fault, Kind, Points};

/// What becomes of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Passage {
    /// So many copies go on: one as a rule, none if it is lost, two if it arrives twice.
    Copies(usize),
    /// The process ends here, and the datagram goes nowhere.
    Crash,
    /// The process stands still for longer than any lease; then one copy goes on.
    Pause,
}

/// A datagram is about to go out: passes the point of this name.
pub fn transmit_through(points: &Points, name: &'static str) -> Passage {
    through(points.pass(name, Kind::Send))
}

/// A datagram has come, and is about to be handed in: passes the point of this name.
pub fn receive_through(points: &Points, name: &'static str) -> Passage {
    through(points.pass(name, Kind::Receive))
}

fn through(fault: Option<Fault>) -> Passage {
    match fault {
        Some(Fault::Lose) => Passage::Copies(0),
        Some(Fault::Copy) => Passage::Copies(2),
        Some(Fault::Crash) => Passage::Crash,
        Some(Fault::Pause) => Passage::Pause,
        // The others can't happen to a datagram, and no point gives them here.
        _ => Passage::Copies(1),
    }
}

#[cfg(test)]
mod tests {
    use hollowpaddle_failpoints::Plan;

    use super::*;

    #[test]
    fn each_fault_of_a_datagram_is_carried_out_and_without_any_it_goes_on_once() {
        for kind in [Kind::Send, Kind::Receive] {
            for fault in kind.faults() {
                let points = Points::armed(Plan::one(2, *fault));
                let pass = || match kind {
                    Kind::Send => transmit_through(&points, "out"),
                    _ => receive_through(&points, "in"),
                };
                let expected = match fault {
                    Fault::Lose => Passage::Copies(0),
                    Fault::Copy => Passage::Copies(2),
                    Fault::Crash => Passage::Crash,
                    _ => Passage::Pause,
                };
                assert_eq!(
                    (pass(), pass(), pass()),
                    (Passage::Copies(1), expected, Passage::Copies(1))
                );
                assert!(points.passed().iter().all(|passed| passed.kind == kind));
            }
        }
    }
}
