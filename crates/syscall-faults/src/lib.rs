//! Makes system calls of a child process fail as Linux documents them, and its wall clock wrong: for tests that start the
//! daemon as a process. A library is loaded into the child by `LD_PRELOAD`; nothing else of the machine is touched, and
//! no privilege is needed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::os::unix::fs::FileExt;
use std::process::Command;
use std::time::Duration;

use tempfile::NamedTempFile;

/// The library that is loaded into children.
const LIBRARY: &str = env!("HOLLOWPADDLE_PRELOAD");
/// Slots in the file that the library maps, eight bytes each.
const SLOTS: usize = 32;

/// Error numbers of Linux that the calls below may end with (`errno(3)`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
#[allow(missing_docs)]
pub enum Errno {
    Interrupted = 4,
    OutOfMemory = 12,
    FileTableOverflow = 23,
    TooManyOpenFiles = 24,
    ProtocolError = 71,
    AddressNotAvailable = 99,
    NetworkUnreachable = 101,
    ConnectionAborted = 103,
    ConnectionReset = 104,
    NoBufferSpace = 105,
    TimedOut = 110,
    ConnectionRefused = 111,
    HostUnreachable = 113,
}

/// What goes wrong in the child from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Every so many calls of `accept` fail, and take no connection; none for 0.
    Accept(Errno, u64),
    /// Every so many calls of `connect` fail.
    Connect(Errno, u64),
    /// Every so many calls of `recv` fail, those that only look among them.
    Receive(Errno, u64),
    /// Every so many calls of `send` and `writev` fail.
    Send(Errno, u64),
    /// A read gives so many bytes at most; any number for 0.
    ShortReceive(u64),
    /// A write takes so many bytes at most; any number for 0.
    ShortSend(u64),
    /// The wall clock is so many seconds ahead; behind, if negative. Monotonic clocks are right.
    WallClock(i64),
    /// The process stands still for so long before every so many writes to a socket.
    HoldUp(Duration, u64),
}

/// Places in the file; the library has the same numbers.
#[derive(Clone, Copy)]
enum Slot {
    Accept = 0,
    Connect = 2,
    Receive = 4,
    Send = 6,
    ShortReceive = 8,
    ShortSend = 9,
    WallClock = 10,
    HoldUp = 11,
}

/// The faults of one child, which may be changed while it runs.
#[derive(Debug)]
pub struct Shim(NamedTempFile);

impl Shim {
    /// No faults yet.
    ///
    /// # Errors
    /// There is no room for a temporary file.
    pub fn new() -> io::Result<Self> {
        let file = NamedTempFile::new()?;
        file.as_file().set_len((SLOTS * 8) as u64)?;
        Ok(Self(file))
    }

    /// Has the child that this command starts load the library.
    pub fn load_into<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command.env("LD_PRELOAD", LIBRARY).env("HOLLOWPADDLE_SHIM", self.0.path())
    }

    /// Sets one fault; others stay as they are.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Accept(errno, every) => self.write_failure(Slot::Accept, errno, every),
            Fault::Connect(errno, every) => self.write_failure(Slot::Connect, errno, every),
            Fault::Receive(errno, every) => self.write_failure(Slot::Receive, errno, every),
            Fault::Send(errno, every) => self.write_failure(Slot::Send, errno, every),
            Fault::ShortReceive(bytes) => self.write(Slot::ShortReceive as usize, bytes),
            Fault::ShortSend(bytes) => self.write(Slot::ShortSend as usize, bytes),
            Fault::WallClock(seconds) => self.write(Slot::WallClock as usize, seconds as u64),
            Fault::HoldUp(time, every) => {
                self.write(Slot::HoldUp as usize + 1, every)?;
                self.write(Slot::HoldUp as usize, time.as_micros() as u64)
            }
        }
    }

    fn write_failure(&self, slot: Slot, errno: Errno, every: u64) -> io::Result<()> {
        self.write(slot as usize + 1, every)?;
        self.write(slot as usize, errno as u64)
    }

    fn write(&self, slot: usize, value: u64) -> io::Result<()> {
        self.0.as_file().write_all_at(&value.to_ne_bytes(), (slot * 8) as u64)
    }
}
