//! The daemon as a child process: its start, what the kernel tells of it, and its end.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;

use super::MeasureError;
use crate::usage;

/// Lines of the daemon's log that an error shows.
const LAST_LINES: usize = 8;

/// What the kernel tells of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory in KiB (`VmRSS`).
    pub resident_kib: u64,
    /// Highest resident memory so far in KiB (`VmHWM`).
    pub resident_peak_kib: u64,
    /// Processor time so far, of all present threads.
    pub cpu: Duration,
    /// Open descriptors.
    pub descriptors: u64,
}

/// A running daemon. Dropped, it is killed.
pub(super) struct Daemon {
    child: Child,
    started: Instant,
    log: PathBuf,
    /// Holds its configuration, its log and its temporary files.
    _directory: TempDir,
}

impl Daemon {
    /// Starts the program with this configuration.
    pub(super) fn start(program: &Path, config: &str) -> Result<Self, MeasureError> {
        let directory =
            tempfile::tempdir().map_err(MeasureError::setup("a temporary directory"))?;
        let file = directory.path().join("config.json");
        fs::write(&file, config).map_err(MeasureError::setup("the configuration file"))?;
        let log = directory.path().join("log");
        let errors = File::create(&log).map_err(MeasureError::setup("the log file"))?;
        let child = Command::new(program)
            .env_clear()
            .env("LB_CONFIG", &file)
            .env("TMPDIR", directory.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .map_err(MeasureError::setup("the daemon"))?;
        Ok(Self { child, started: Instant::now(), log, _directory: directory })
    }

    /// Time since its start.
    pub(super) fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Fails if it has ended.
    pub(super) fn check_runs(&mut self) -> Result<(), MeasureError> {
        let status = self.child.try_wait().map_err(MeasureError::setup("the wait for it"))?;
        let Some(status) = status else { return Ok(()) };
        Err(MeasureError::Ended { status: status.to_string(), log: self.last_lines() })
    }

    fn last_lines(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].join("\n")
    }

    /// What the kernel tells of it now.
    pub(super) fn usage(&self) -> Result<Usage, MeasureError> {
        let directory = usage::process(self.child.id());
        let status = read(&directory.join("status"))?;
        let memory = |name| kib_of(&status, name).ok_or_else(|| lacks(&directory, name));
        Ok(Usage {
            resident_kib: memory("VmRSS:")?,
            resident_peak_kib: memory("VmHWM:")?,
            cpu: usage::process_processor_time(&directory)
                .map_err(|cause| unreadable(&directory, &cause))?,
            descriptors: count(&directory.join("fd"))?,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended by itself; then there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read(path: &Path) -> Result<String, MeasureError> {
    fs::read_to_string(path).map_err(|cause| unreadable(path, &cause))
}

fn count(path: &Path) -> Result<u64, MeasureError> {
    let entries = fs::read_dir(path).map_err(|cause| unreadable(path, &cause))?;
    Ok(entries.count() as u64)
}

fn unreadable(path: &Path, cause: &std::io::Error) -> MeasureError {
    MeasureError::Process { path: path.to_path_buf(), cause: cause.to_string() }
}

fn lacks(directory: &Path, name: &str) -> MeasureError {
    let cause = format!("it does not tell {name}");
    MeasureError::Process { path: directory.to_path_buf(), cause }
}

/// A field of `/proc/PID/status` in KiB.
fn kib_of(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
#[path = "process_tests.rs"]
mod tests;
