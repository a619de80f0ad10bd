//! Numbered points at which a step can fail: each write, sync, send, hand-over or step of a protocol passes
//! one, with a name. A scenario is run once to count the points that it passes, then again with a fault at
//! the first, the second, and so on until none is left.
//!
//! Without the feature `armed`, [`Points`] holds nothing and [`Points::pass`] is a constant: what the
//! platform runs is built like this. With it there is the rest: `Plan`s of faults by number or by name,
//! `InTurn` which strikes each point once, `Settings` by which a real process is struck, and `disk`,
//! which forgets what was not synced.
//!
//! It holds (each with the test that holds it to that):
//!
//! 1. What is released holds no point: no dependency but tests' asks for `armed` (`tests/disarmed.rs`).
//! 2. Every point of a scenario is struck by every fault of its kind, once each, and no run counts as struck
//!    in which the point was not reached or came after others than in the run that counted
//!    (`tests/in_turn.rs`).
//! 3. What a real process had passed is known after any end of it, SIGKILL included, and a planned end is
//!    told from one of the process's own: only the first is a SIGKILL (`tests/processes.rs`).
//! 4. A played disk gives back after the machine's end, byte for byte, nothing that a file system might not:
//!    what was synced and said so truly is there; what was not is there, in part or not, as the test says
//!    (`tests/disk.rs`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(feature = "armed")]
mod armed;
// Tests are armed, all of them: in those of this package what is released is compiled as well.
#[cfg(any(test, not(feature = "armed")))]
#[cfg_attr(feature = "armed", allow(dead_code))]
mod disarmed;
#[cfg(feature = "armed")]
pub mod disk;
#[cfg(feature = "armed")]
mod in_turn;
#[cfg(feature = "armed")]
mod plan;
#[cfg(feature = "armed")]
mod report;
#[cfg(feature = "armed")]
mod trace;

#[cfg(feature = "armed")]
pub use armed::{MOST_PASSED, Passed, Points};
#[cfg(not(feature = "armed"))]
pub use disarmed::Points;
#[cfg(feature = "armed")]
pub use in_turn::{InTurn, each_in_turn};
#[cfg(feature = "armed")]
pub use plan::{Lasts, Plan, PlanError, Settings, VARIABLE};
#[cfg(feature = "armed")]
pub use report::{Finding, MOST_FINDINGS, Report, Saw, Strike};
#[cfg(feature = "armed")]
pub use trace::{TraceError, read_trace};

/// What kind of step passes a point: it says which faults can happen there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Bytes go to a file.
    Write,
    /// What a file holds is to survive the machine's end from here on.
    Sync,
    /// A file gets another name.
    Rename,
    /// A file is read.
    Read,
    /// What files are called is to survive the machine's end from here on.
    SyncNames,
    /// A datagram goes out.
    Send,
    /// A datagram has come.
    Receive,
    /// Something goes from one thread to another.
    Handover,
    /// A timer is due.
    Timer,
    /// One step of a protocol is done, and the next is not begun.
    Step,
}

impl Kind {
    /// All, in their order.
    pub const ALL: [Self; 10] = [
        Self::Write,
        Self::Sync,
        Self::Rename,
        Self::Read,
        Self::SyncNames,
        Self::Send,
        Self::Receive,
        Self::Handover,
        Self::Timer,
        Self::Step,
    ];

    /// Its name in traces and reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Write => "write",
            Self::Sync => "sync",
            Self::Rename => "rename",
            Self::Read => "read",
            Self::SyncNames => "sync-names",
            Self::Send => "send",
            Self::Receive => "receive",
            Self::Handover => "handover",
            Self::Timer => "timer",
            Self::Step => "step",
        }
    }

    /// What can go wrong at such a step.
    pub const fn faults(self) -> &'static [Fault] {
        use Fault::{Copy, Crash, Io, Lie, Lose, NoSpace, Pause, Short};
        match self {
            Self::Write => &[NoSpace, Io, Short, Crash, Pause],
            Self::Sync | Self::SyncNames => &[NoSpace, Io, Lie, Crash, Pause],
            Self::Rename => &[NoSpace, Io, Crash],
            Self::Read => &[Io, Short, Crash],
            Self::Send | Self::Receive => &[Lose, Copy, Crash, Pause],
            Self::Handover | Self::Timer => &[Crash, Pause],
            Self::Step => &[Crash, Pause],
        }
    }
}

/// What goes wrong at a point. Who passes it carries that out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// There is no room (ENOSPC); nothing of it is done.
    NoSpace,
    /// The device fails (EIO); nothing of it is done.
    Io,
    /// Half of it is done, and then there is no room. Of a read: half of it is given, as if it were all.
    Short,
    /// Success is told, and nothing is kept: what was written is gone once the machine ends.
    Lie,
    /// The process ends here, before the step.
    Crash,
    /// The process stands still here, for longer than any lease.
    Pause,
    /// It is lost on its way.
    Lose,
    /// It arrives twice.
    Copy,
}

impl Fault {
    /// All, in their order.
    pub const ALL: [Self; 8] = [
        Self::NoSpace,
        Self::Io,
        Self::Short,
        Self::Lie,
        Self::Crash,
        Self::Pause,
        Self::Lose,
        Self::Copy,
    ];

    /// Its name in plans, traces and reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoSpace => "no-space",
            Self::Io => "io",
            Self::Short => "short",
            Self::Lie => "lie",
            Self::Crash => "crash",
            Self::Pause => "pause",
            Self::Lose => "lose",
            Self::Copy => "copy",
        }
    }

    /// The error of a file system, if it is one.
    pub fn error(self) -> Option<std::io::Error> {
        match self {
            // The numbers of Linux: ENOSPC, EIO.
            Self::NoSpace | Self::Short => Some(std::io::Error::from_raw_os_error(28)),
            Self::Io => Some(std::io::Error::from_raw_os_error(5)),
            _ => None,
        }
    }
}
