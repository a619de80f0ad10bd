//! Maps failpoints to outcomes of a datagram, alike for the daemon and the simulated network, which carry out
//! the outcome.

use hollowpaddle_failpoints::{Fault, Kind, Points};

#[cfg(test)]
mod tests;

/// What a failpoint does to a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum DatagramOutcome {
    /// Number of copies that are passed on: one without a fault, none if the datagram is lost, two if it is
    /// duplicated.
    Copies(usize),
    /// The process ends here, and the datagram is lost.
    Crash,
    /// The process pauses for longer than any lease lasts; then one copy is passed on.
    Pause,
}

/// Passes the failpoint `name` before a datagram is sent.
pub fn transmit_through(points: &Points, name: &'static str) -> DatagramOutcome {
    outcome(points.pass(name, Kind::Send))
}

/// Passes the failpoint `name` before a received datagram is handed in.
pub fn receive_through(points: &Points, name: &'static str) -> DatagramOutcome {
    outcome(points.pass(name, Kind::Receive))
}

fn outcome(fault: Option<Fault>) -> DatagramOutcome {
    match fault {
        Some(Fault::Lose) => DatagramOutcome::Copies(0),
        Some(Fault::Copy) => DatagramOutcome::Copies(2),
        Some(Fault::Crash) => DatagramOutcome::Crash,
        Some(Fault::Pause) => DatagramOutcome::Pause,
        // The other faults do not apply to datagrams, and no failpoint injects them here.
        _ => DatagramOutcome::Copies(1),
    }
}
