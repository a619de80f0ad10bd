//! Maps failpoints to what happens to a datagram, alike for the daemon and the simulated network; carrying
//! it out is left to them.

use hollowpaddle_failpoints::{Fault, Kind, Points};

#[cfg(test)]
mod tests;

/// What happens to a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum DatagramOutcome {
    /// This many copies are passed on: usually one, none if it is lost, two if it is duplicated.
    Copies(usize),
    /// The process ends here, and the datagram is lost.
    Crash,
    /// The process stops for longer than any lease; then one copy is passed on.
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
