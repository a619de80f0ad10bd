//! The files of the newest snapshot and the previous one.
//!
//! A save writes `snapshot.new`, syncs it, renames `snapshot` to `snapshot.before` and `snapshot.new` to `snapshot`, and
//! syncs the directory. After each of these steps, `snapshot` or `snapshot.before` is complete, if a snapshot was ever saved.

use std::io::{self, ErrorKind};
use std::time::Duration;

use crate::Disk;
use crate::format::{self, MAX_FILE_BYTES, MAX_PAYLOAD_BYTES, Snapshot, SuspectState};

const CURRENT_FILE: &str = "snapshot";
const PREVIOUS_FILE: &str = "snapshot.before";
const NEW_FILE: &str = "snapshot.new";

/// A file that is not used and was moved aside.
#[derive(Debug)]
pub struct SetAsideFile {
    /// Path of the file.
    pub file: String,
    /// Reason why the file is not used.
    pub reason: SuspectState,
    /// Path to which the file was moved; `None` if it could not be moved.
    pub moved_to: Option<String>,
}

/// The result of loading a snapshot.
#[derive(Debug, Default)]
pub struct Found {
    /// The newest snapshot that can be used.
    pub snapshot: Option<Snapshot>,
    /// Files that are not used, the current one first.
    pub aside: Vec<SetAsideFile>,
}

/// Error of saving a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation on a file failed.
    #[error(
        "{file}: {step}: {cause}; the directory must be this balancer's own, writable and with room"
    )]
    Failed {
        /// Path of the file.
        file: String,
        /// The operation, as text for the message.
        step: &'static str,
        /// Error of the operation.
        #[source]
        cause: io::Error,
    },
    /// The payload is too long; this is its length in bytes.
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
    /// Creates the store of the balancer of this name, in the directory `disk`.
    pub fn new(disk: impl Disk + 'static, name: &str) -> Self {
        Self { disk: Box::new(disk), name: name.to_string(), generation: 0 }
    }

    /// Loads the newest complete snapshot of this name that is at most `max_age` old at `now` (Unix time). Unusable files
    /// are set aside, each under a fixed name, so that they do not accumulate.
    pub fn load(&mut self, now: Duration, max_age: Duration) -> Found {
        let mut found = Found::default();
        for file in [CURRENT_FILE, PREVIOUS_FILE] {
            let decoded = match self.disk.read(file, MAX_FILE_BYTES) {
                Err(e) if e.kind() == ErrorKind::NotFound => continue,
                Err(cause) => Err(SuspectState::Unreadable(cause)),
                Ok(bytes) => format::decode(&bytes, &self.name, now, max_age),
            };
            match decoded {
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
        let moved_to = is_moved.then(|| self.disk.display_path(&aside));
        SetAsideFile { file: self.disk.display_path(file), reason, moved_to }
    }

    /// Saves a snapshot at `now` (Unix time), and returns its generation. The previous snapshot is retained.
    ///
    /// # Errors
    /// The payload is too long, or an operation on a file failed. The two earlier snapshots then still exist.
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

    fn failed(&self, file: &str, step: &'static str, cause: io::Error) -> StoreError {
        StoreError::Failed { file: self.disk.display_path(file), step, cause }
    }
}
