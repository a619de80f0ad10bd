//! The files of one snapshot and the one before it.
//!
//! A save writes `snapshot.new`, syncs it, renames `snapshot` to `snapshot.before` and `snapshot.new` to `snapshot`, and
//! syncs the directory. After each of these steps one of `snapshot` and `snapshot.before` is complete, if one ever was.

use std::io::{self, ErrorKind};
use std::time::Duration;

use crate::Disk;
use crate::format::{self, MAX_FILE_BYTES, MAX_PAYLOAD_BYTES, Snapshot, SuspectState};

const CURRENT_FILE: &str = "snapshot";
const PREVIOUS_FILE: &str = "snapshot.before";
const NEW_FILE: &str = "snapshot.new";

/// A file that is not used, and what was done with it.
#[derive(Debug)]
pub struct SetAsideFile {
    /// Path of the file.
    pub file: String,
    /// Why it is not used.
    pub reason: SuspectState,
    /// Path to which it was moved; `None` where it could not be moved.
    pub moved_to: Option<String>,
}

/// What a start finds.
#[derive(Debug, Default)]
pub struct Found {
    /// The newest snapshot that can be used.
    pub snapshot: Option<Snapshot>,
    /// Files that are not used, the current one first.
    pub aside: Vec<SetAsideFile>,
}

/// Why a snapshot could not be saved.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A step on a file failed.
    #[error(
        "{file}: {doing}: {cause}; the directory must be this balancer's own, writable and with room"
    )]
    Failed {
        /// Path of the file.
        file: String,
        /// The step, as text for the message.
        doing: &'static str,
        /// What happened.
        #[source]
        cause: io::Error,
    },
    /// The payload has this many bytes, and is too long.
    #[error("a snapshot of {0} bytes: {MAX_PAYLOAD_BYTES} are the most")]
    TooLong(usize),
}

/// The snapshots of one name in one directory. Only one process at a time may save.
pub struct Store {
    disk: Box<dyn Disk>,
    name: String,
    generation: u64,
}

impl Store {
    /// Uses the directory `disk` for the balancer of this name.
    pub fn new(disk: impl Disk + 'static, name: &str) -> Self {
        Self { disk: Box::new(disk), name: name.to_string(), generation: 0 }
    }

    /// Loads the newest complete snapshot of this name that is at most `max_age` old at `now` (Unix time). Any other file is
    /// set aside under one name, so that none pile up.
    pub fn load(&mut self, now: Duration, max_age: Duration) -> Found {
        let mut found = Found::default();
        for file in [CURRENT_FILE, PREVIOUS_FILE] {
            let read = match self.disk.read(file, MAX_FILE_BYTES) {
                Err(e) if e.kind() == ErrorKind::NotFound => continue,
                Err(cause) => Err(SuspectState::Unreadable(cause)),
                Ok(bytes) => format::decode(&bytes, &self.name, now, max_age),
            };
            match read {
                Ok(snapshot) => {
                    self.generation = self.generation.max(snapshot.generation);
                    let is_newer = |s: &Snapshot| s.generation >= snapshot.generation;
                    if !found.snapshot.as_ref().is_some_and(is_newer) {
                        found.snapshot = Some(snapshot);
                    }
                }
                Err(reason) => found.aside.push(self.set_aside(file, reason)),
            }
        }
        found
    }

    fn set_aside(&self, file: &str, reason: SuspectState) -> SetAsideFile {
        let aside = format!("{file}.aside");
        let is_moved = self.disk.rename(file, &aside).is_ok();
        let moved_to = is_moved.then(|| self.disk.place(&aside));
        SetAsideFile { file: self.disk.place(file), reason, moved_to }
    }

    /// Saves a snapshot at `now` (Unix time), and returns its generation. The one before it is kept.
    ///
    /// # Errors
    /// The payload is too long, or the directory can't take it; the two snapshots of before are then still there.
    pub fn save(&mut self, now: Duration, payload: &[u8]) -> Result<u64, StoreError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLong(payload.len()));
        }
        let generation = self.generation + 1;
        let bytes = format::encode(&self.name, generation, now, payload)
            .map_err(|e| self.failed(NEW_FILE, "its first line", e.into()))?;
        self.disk.write(NEW_FILE, &bytes).map_err(|e| self.failed(NEW_FILE, "written", e))?;
        self.disk.sync(NEW_FILE).map_err(|e| self.failed(NEW_FILE, "synced", e))?;
        match self.disk.rename(CURRENT_FILE, PREVIOUS_FILE) {
            Err(e) if e.kind() != ErrorKind::NotFound => {
                return Err(self.failed(CURRENT_FILE, "renamed", e));
            }
            _ => {}
        }
        self.disk
            .rename(NEW_FILE, CURRENT_FILE)
            .map_err(|e| self.failed(NEW_FILE, "renamed", e))?;
        self.disk.sync_names().map_err(|e| self.failed(CURRENT_FILE, "its name synced", e))?;
        self.generation = generation;
        Ok(generation)
    }

    fn failed(&self, file: &str, doing: &'static str, cause: io::Error) -> StoreError {
        StoreError::Failed { file: self.disk.place(file), doing, cause }
    }
}
