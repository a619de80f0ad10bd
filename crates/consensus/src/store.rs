//! Stores a voter's records in a file, which is appended to, synced, and rewritten when it grows long. The replica
//! interprets the records, and decides in `recovery` whether to trust them.
//!
//! At a start, a file is truncated after its last intact record. The truncation is safe: a record that was not synced
//! was never acknowledged, since the replica delays its messages until the sync.
//!
//! A sync that lied, damage to the last synced record, and a restored old copy have the same effect: the file has
//! fewer records than this voter has reported to its peers. At a start the peers return the reported number, and the
//! voter then counts as one that has lost its state. The loss remains undetected only if no voter of the responding
//! majority has received a message that was sent after the lost record was synced.
//!
//! A damaged record that is followed by intact ones is not a torn tail, and such a file is not trusted.

use std::io::{self, ErrorKind};

use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::NodeId;

use crate::log_file::Disk;
use crate::log_record::{DurableState, Record};
use crate::record_format::{
    Corruption, MAX_FILE_BYTES, Owner, ParsedLog, encode_header, encode_record, parse,
};

/// Length in bytes from which a file is rewritten when a snapshot shortens it.
pub const COMPACTION_THRESHOLD_BYTES: u64 = 1 << 20;

/// The current file.
const CURRENT_FILE: &str = "council.log";
/// The file that is being written to replace the current one.
const REWRITTEN_FILE: &str = "council.new";
/// A former current file that is not trusted.
const REJECTED_FILE: &str = "council.aside";

/// The error of a file operation of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The operating system reported an error.
    #[error(
        "{file} could not be {attempted}: {cause}; use a writable directory of this balancer alone with free space"
    )]
    Failed {
        /// The file.
        file: String,
        /// The operation on the file, as a past participle.
        attempted: &'static str,
        /// The error.
        #[source]
        cause: io::Error,
    },
    /// A failpoint ends the process here. The caller has to end it.
    #[error("failpoint {0} ends the process")]
    FailpointCrash(&'static str),
    /// The record's number is not above that of the previous record. A start would discard that record and all records
    /// after it.
    #[error(
        "{file}: record {number} was appended after record {last}; records must be appended in increasing order"
    )]
    OutOfOrder {
        /// The file.
        file: String,
        /// The record's number.
        number: u64,
        /// The number of the previous record.
        last: u64,
    },
    /// An earlier operation failed, so that the end of the file is unknown until the file is rewritten.
    #[error("{file}: an earlier write failed; the file has to be rewritten first")]
    Inconsistent {
        /// The file.
        file: String,
    },
}

/// The content of a voter's directory at a start.
#[derive(Debug, Default)]
pub struct LoadedLog {
    /// The state in the file; empty if the file is not trusted.
    pub durable: DurableState,
    /// The reason why the file is not trusted. Such a file has been renamed.
    pub corruption: Option<Corruption>,
    /// Number of bytes of a torn tail that were removed.
    pub torn_bytes: usize,
}

/// The store of one voter. Only one process may write at a time.
pub struct Store {
    disk: Box<dyn Disk>,
    points: Points,
    owner: Owner,
    /// Length of the current file.
    length: u64,
    /// Number of the last record that was appended.
    last_number: u64,
    /// Whether the end of the current file is known.
    is_consistent: bool,
    pause: bool,
}

impl Store {
    /// Opens the directory of a voter.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written. The replica must then start without state, and receive
    /// [`crate::Event::DiskFailed`].
    pub fn open(
        disk: impl Disk + 'static,
        points: Points,
        cluster: u64,
        node_id: NodeId,
    ) -> Result<(Self, LoadedLog), StoreError> {
        let mut store = Self::closed(disk, points, cluster, node_id);
        store.is_consistent = true;
        let loaded = store.load()?;
        Ok((store, loaded))
    }

    /// Creates a store whose directory could not be opened. [`Self::reset`] tries to open it again.
    pub fn closed(
        disk: impl Disk + 'static,
        points: Points,
        cluster: u64,
        node_id: NodeId,
    ) -> Self {
        Self {
            disk: Box::new(disk),
            points,
            owner: Owner { cluster, node_id },
            length: 0,
            last_number: 0,
            is_consistent: false,
            pause: false,
        }
    }

    fn load(&mut self) -> Result<LoadedLog, StoreError> {
        let Some(bytes) = self.read()? else {
            self.rewrite(&[])?;
            return Ok(LoadedLog::default());
        };
        match parse(&bytes, self.owner) {
            Ok(parsed) => self.load_parsed(parsed, bytes.len()),
            Err(corruption) => {
                self.step("council.aside", Kind::Rename, CURRENT_FILE, "set aside", |store, _| {
                    store.disk.rename(CURRENT_FILE, REJECTED_FILE)
                })?;
                self.rewrite(&[])?;
                Ok(LoadedLog { corruption: Some(corruption), ..LoadedLog::default() })
            }
        }
    }

    /// Removes a torn tail from the file.
    fn load_parsed(
        &mut self,
        parsed: ParsedLog,
        file_bytes: usize,
    ) -> Result<LoadedLog, StoreError> {
        let length = parsed.intact_bytes as u64;
        let torn_bytes = file_bytes - parsed.intact_bytes;
        if torn_bytes > 0 {
            let attempted = "truncated after its last intact record";
            self.step("council.cut", Kind::Write, CURRENT_FILE, attempted, |store, _| {
                store.disk.truncate(CURRENT_FILE, length)
            })?;
            self.sync_file(CURRENT_FILE)?;
        }
        self.length = length;
        self.last_number = parsed.durable.last_number;
        Ok(LoadedLog { durable: parsed.durable, corruption: None, torn_bytes })
    }

    fn read(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        let mut bytes = None;
        self.step("council.read", Kind::Read, CURRENT_FILE, "read", |store, is_short| {
            bytes = match store.disk.read(CURRENT_FILE, MAX_FILE_BYTES + 1) {
                Err(error) if error.kind() == ErrorKind::NotFound => None,
                Err(error) => return Err(error),
                // A partial read must not lead to a truncation.
                Ok(_) if is_short => return Err(io::Error::from(ErrorKind::UnexpectedEof)),
                Ok(read) => Some(read),
            };
            Ok(())
        })?;
        Ok(bytes)
    }

    /// Appends a record, which survives a crash once [`Self::sync`] has returned. A complete state survives a crash
    /// once this function has returned.
    ///
    /// # Errors
    ///
    /// The record cannot be written. The replica must then receive [`crate::Event::DiskFailed`].
    pub fn append(&mut self, number: u64, record: &Record) -> Result<(), StoreError> {
        self.check_consistent()?;
        let frame = encode_record(number, record);
        if number <= self.last_number {
            let file = self.disk.path(CURRENT_FILE);
            return Err(StoreError::OutOfOrder { file, number, last: self.last_number });
        }
        if matches!(record, Record::CompleteState { .. }) {
            self.last_number = number;
            return self.rewrite(&frame);
        }
        self.is_consistent = false;
        let attempted = "appended to";
        self.step("council.append", Kind::Write, CURRENT_FILE, attempted, |store, is_short| {
            store.disk.append(CURRENT_FILE, first_half_if(is_short, &frame))
        })?;
        self.is_consistent = true;
        self.length += frame.len() as u64;
        self.last_number = number;
        if matches!(record, Record::Snapshot(_)) && self.length > COMPACTION_THRESHOLD_BYTES {
            self.compact()?;
        }
        Ok(())
    }

    /// Syncs all appended records, and returns the number of the last one.
    ///
    /// # Errors
    ///
    /// The records cannot be synced. The content on disk after a failed sync is unknown, and another sync does not
    /// reveal it (fsyncgate, 2018), so the file has to be rewritten before another record is appended.
    pub fn sync(&mut self) -> Result<u64, StoreError> {
        self.check_consistent()?;
        self.sync_file(CURRENT_FILE)?;
        Ok(self.last_number)
    }

    /// Begins an empty file after a failure. The replica must then receive [`crate::Event::DiskRecovered`].
    ///
    /// # Errors
    ///
    /// The directory still cannot be written.
    pub fn reset(&mut self) -> Result<(), StoreError> {
        self.last_number = 0;
        self.rewrite(&[])
    }

    /// Returns and clears whether a failpoint pauses the process here. The caller has to pause before any other action.
    pub fn take_pause(&mut self) -> bool {
        std::mem::take(&mut self.pause)
    }

    fn check_consistent(&self) -> Result<(), StoreError> {
        if self.is_consistent {
            return Ok(());
        }
        Err(StoreError::Inconsistent { file: self.disk.path(CURRENT_FILE) })
    }

    /// Replaces all records by one record of the complete state.
    fn compact(&mut self) -> Result<(), StoreError> {
        let bytes = self.read()?.unwrap_or_default();
        let parsed = parse(&bytes, self.owner).map_err(|corruption| {
            self.is_consistent = false;
            let cause = io::Error::new(ErrorKind::InvalidData, corruption.to_string());
            StoreError::Failed { file: self.disk.path(CURRENT_FILE), attempted: "read back", cause }
        })?;
        let durable = parsed.durable;
        match durable.to_record() {
            Some(complete) => self.rewrite(&encode_record(durable.last_number, &complete)),
            None => Ok(()),
        }
    }

    /// Replaces the file atomically: the new file is written, synced and renamed, and its name is synced.
    fn rewrite(&mut self, frames: &[u8]) -> Result<(), StoreError> {
        self.is_consistent = false;
        let mut bytes = encode_header(self.owner);
        bytes.extend_from_slice(frames);
        self.step("council.rewrite", Kind::Write, REWRITTEN_FILE, "written", |store, is_short| {
            store.disk.write(REWRITTEN_FILE, first_half_if(is_short, &bytes))
        })?;
        self.sync_file(REWRITTEN_FILE)?;
        self.step("council.rename", Kind::Rename, REWRITTEN_FILE, "renamed", |store, _| {
            store.disk.rename(REWRITTEN_FILE, CURRENT_FILE)
        })?;
        let attempted = "synced in its directory";
        self.step("council.names", Kind::SyncNames, CURRENT_FILE, attempted, |store, _| {
            store.disk.sync_names()
        })?;
        self.length = bytes.len() as u64;
        self.is_consistent = true;
        Ok(())
    }

    fn sync_file(&mut self, file: &'static str) -> Result<(), StoreError> {
        let was_consistent = std::mem::replace(&mut self.is_consistent, false);
        self.step("council.sync", Kind::Sync, file, "synced", |store, _| store.disk.sync(file))?;
        self.is_consistent = was_consistent;
        Ok(())
    }

    /// Passes a failpoint and performs the operation, whose second argument is whether to perform only a part of it.
    fn step(
        &mut self,
        failpoint: &'static str,
        kind: Kind,
        file: &str,
        attempted: &'static str,
        mut operation: impl FnMut(&mut Self, bool) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        let fault = self.points.pass(failpoint, kind);
        let result = match fault {
            None => operation(self, false),
            Some(Fault::Pause) => {
                self.pause = true;
                operation(self, false)
            }
            Some(Fault::Crash) => return Err(StoreError::FailpointCrash(failpoint)),
            Some(Fault::Lie) => Ok(()),
            Some(Fault::Short) => operation(self, true).and_then(|()| Err(no_space())),
            Some(fault) => Err(fault.error().unwrap_or_else(no_space)),
        };
        result.map_err(|cause| StoreError::Failed { file: self.disk.path(file), attempted, cause })
    }
}

fn first_half_if(is_short: bool, bytes: &[u8]) -> &[u8] {
    if is_short { &bytes[..bytes.len() / 2] } else { bytes }
}

fn no_space() -> io::Error {
    Fault::NoSpace.error().unwrap_or_else(|| io::Error::from(ErrorKind::Other))
}
