//! Injects system call failures and wall clock offsets into a child process, for tests that start the daemon as a
//! process. The failures are those that Linux documents. A library is loaded into the child by `LD_PRELOAD`, so the rest
//! of the machine is unaffected and no privilege is needed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::os::unix::fs::FileExt;
use std::process::Command;
use std::time::Duration;

use tempfile::NamedTempFile;

/// Path of the library that child processes preload.
const LIBRARY: &str = env!("HOLLOWPADDLE_PRELOAD");
/// Number of eight-byte slots in the file that the library maps.
const SLOTS: usize = 32;

/// Linux error numbers (`errno(3)`) with which an intercepted call can fail.
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

/// A fault that is injected into the child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Fails every n-th call of `accept` without accepting a connection. 0 disables the fault.
    Accept(Errno, u64),
    /// Fails every n-th call of `connect`. 0 disables the fault.
    Connect(Errno, u64),
    /// Fails every n-th call of `recv`, including calls with `MSG_PEEK`. 0 disables the fault.
    Receive(Errno, u64),
    /// Fails every n-th call of `send` and `writev`, counted together. 0 disables the fault.
    Send(Errno, u64),
    /// Limits each read to this number of bytes. 0 removes the limit.
    ShortReceive(u64),
    /// Limits each write to this number of bytes. 0 removes the limit.
    ShortSend(u64),
    /// Sets the wall clock ahead by this number of seconds, or back if negative. Monotonic clocks are unaffected.
    WallClock(i64),
    /// Delays every n-th write to a socket by this duration. 0 disables the fault.
    HoldUp(Duration, u64),
}

/// Index of a slot in the mapped file. `preload/preload.rs` defines the same indices.
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

/// The faults of one child process. They can be changed while the process runs.
#[derive(Debug)]
pub struct Shim(NamedTempFile);

impl Shim {
    /// Creates the mapped file, with no faults set.
    ///
    /// # Errors
    /// Returns an error if the temporary file cannot be created or resized.
    pub fn new() -> io::Result<Self> {
        let file = NamedTempFile::new()?;
        file.as_file().set_len((SLOTS * 8) as u64)?;
        Ok(Self(file))
    }

    /// Configures `command` so that its child process preloads the library.
    pub fn load_into<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command.env("LD_PRELOAD", LIBRARY).env("HOLLOWPADDLE_SHIM", self.0.path())
    }

    /// Sets one fault. The other faults stay unchanged.
    ///
    /// # Errors
    /// Returns an error if the mapped file cannot be written.
    pub fn set(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Accept(errno, every) => self.write_failure(Slot::Accept, errno, every),
            Fault::Connect(errno, every) => self.write_failure(Slot::Connect, errno, every),
            Fault::Receive(errno, every) => self.write_failure(Slot::Receive, errno, every),
            Fault::Send(errno, every) => self.write_failure(Slot::Send, errno, every),
            Fault::ShortReceive(bytes) => self.write(Slot::ShortReceive as usize, bytes),
            Fault::ShortSend(bytes) => self.write(Slot::ShortSend as usize, bytes),
            Fault::WallClock(seconds) => self.write(Slot::WallClock as usize, seconds as u64),
            Fault::HoldUp(delay, every) => {
                self.write(Slot::HoldUp as usize + 1, every)?;
                self.write(Slot::HoldUp as usize, delay.as_micros() as u64)
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
