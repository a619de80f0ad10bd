//! One snapshot and the one before it, in files that say whose they are, when they were written and what they sum to.
//!
//! A file is one line of JSON ([`Header`]) and the payload behind it. A save writes `snapshot.new`, syncs it, renames
//! `snapshot` to `snapshot.before` and `snapshot.new` to `snapshot`, and syncs the names: six steps, and after each of them
//! one of `snapshot` and `snapshot.before` is whole, if one ever was.

use std::io::{self, ErrorKind};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Disk;

/// Version of the form. A file of another one is not believed.
pub const FORMAT_VERSION: u32 = 1;
/// The longest payload, in bytes. Without a bound one absurd snapshot would take the memory of every start after it.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;
/// The longest head.
const MAX_HEADER_BYTES: usize = 4 << 10;
/// A snapshot may be so much from the future: clocks differ. Beyond, nobody can say how old it is.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

const FORM: &str = "hollowpaddle-snapshot";
const CURRENT_FILE: &str = "snapshot";
const PREVIOUS_FILE: &str = "snapshot.before";
const NEW_FILE: &str = "snapshot.new";

/// The first line of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Head")]
struct Header {
    form: String,
    version: u32,
    name: String,
    generation: u64,
    written_ms: u64,
    length: usize,
    /// CRC-32 (IEEE 802.3) over all of the above, as this line says it, and the payload.
    crc32: u32,
}

impl Header {
    fn sum(&self, payload: &[u8]) -> u32 {
        let Self { form, version, name, generation, written_ms, length, crc32: _ } = self;
        let mut sum = crc32fast::Hasher::new();
        sum.update(
            format!("{form} {version} {name:?} {generation} {written_ms} {length}\n").as_bytes(),
        );
        sum.update(payload);
        sum.finalize()
    }
}

/// A snapshot that can be believed to be what was saved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Counts the saves of this name.
    pub generation: u64,
    /// Its age by the wall clock of whoever loads it; 0 for one from a moment ahead.
    pub age: Duration,
    /// As it was saved.
    pub payload: Vec<u8>,
}

/// Why a file is not believed.
#[derive(Debug, thiserror::Error)]
pub enum SuspectState {
    /// Something else lies there, or its first line is damaged.
    #[error("its first line is not that of a snapshot ({0})")]
    NoHeader(String),
    /// Cut off, or longer than it says.
    #[error("it holds {found} bytes behind its first line, and was written with {expected}")]
    Truncated {
        /// As its first line says.
        expected: usize,
        /// That are there.
        found: usize,
    },
    /// Some byte of it is another one.
    #[error("its sum is {found:08x}, and was written as {expected:08x}")]
    ChecksumMismatch {
        /// As its first line says.
        expected: u32,
        /// Of what is there.
        found: u32,
    },
    /// Another balancer's.
    #[error("it is the snapshot of `{0}`")]
    WrongOwner(String),
    /// Of a form that this build does not read.
    #[error("it is of version {0}; this build reads {FORMAT_VERSION}")]
    Version(u32),
    /// The clock says that it was written later than now.
    #[error("it is {} s from the future: a clock was set back", .0.as_secs())]
    FromFuture(Duration),
    /// Older than whoever loads it would believe.
    #[error("it is {} s old", .0.as_secs())]
    Expired(Duration),
    /// It can't be read at all.
    #[error("it can't be read ({0})")]
    Unreadable(io::Error),
}

/// A file that was not believed, and what was done with it.
#[derive(Debug)]
pub struct SetAsideFile {
    /// Which.
    pub file: String,
    /// Why.
    pub reason: SuspectState,
    /// Where it lies now; `None`: where it was, since it could not be moved.
    pub moved_to: Option<String>,
}

/// What a start finds.
#[derive(Debug, Default)]
pub struct Found {
    /// The newest that is believed.
    pub snapshot: Option<Snapshot>,
    /// What is not, in the order of looking.
    pub aside: Vec<SetAsideFile>,
}

/// A snapshot could not be saved.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file, what was being done with it, and what happened.
    #[error(
        "{file}: {doing}: {cause}; the directory must be this balancer's own, writable and with room"
    )]
    Failed {
        /// Which.
        file: String,
        /// In words.
        doing: &'static str,
        /// What happened.
        #[source]
        cause: io::Error,
    },
    /// The payload is too long.
    #[error("a snapshot of {0} bytes: {MAX_PAYLOAD_BYTES} are the most")]
    TooLong(usize),
}

/// The snapshots of one name in one directory. There may be one process at a time that saves.
pub struct Store {
    disk: Box<dyn Disk>,
    name: String,
    generation: u64,
}

impl Store {
    /// Of the balancer of this name.
    pub fn new(disk: impl Disk + 'static, name: &str) -> Self {
        Self { disk: Box::new(disk), name: name.to_string(), generation: 0 }
    }

    /// What there is to go on from, `now` (Unix time): the newest that is whole, this balancer's and at most `max_age`.
    /// What is not is set aside, under one name, so that nothing piles up.
    pub fn load(&mut self, now: Duration, max_age: Duration) -> Found {
        let mut found = Found::default();
        for name in [CURRENT_FILE, PREVIOUS_FILE] {
            let read = match self.disk.read(name, (MAX_HEADER_BYTES + MAX_PAYLOAD_BYTES + 1) as u64)
            {
                Err(e) if e.kind() == ErrorKind::NotFound => continue,
                Err(cause) => Err(SuspectState::Unreadable(cause)),
                Ok(bytes) => self.parse(&bytes, now, max_age),
            };
            match read {
                Ok(snapshot) => {
                    self.generation = self.generation.max(snapshot.generation);
                    let newer = |s: &Snapshot| s.generation >= snapshot.generation;
                    if !found.snapshot.as_ref().is_some_and(newer) {
                        found.snapshot = Some(snapshot);
                    }
                }
                Err(reason) => {
                    let aside = format!("{name}.aside");
                    let moved = self.disk.rename(name, &aside).is_ok();
                    let moved_to = moved.then(|| self.disk.place(&aside));
                    found.aside.push(SetAsideFile {
                        file: self.disk.place(name),
                        reason,
                        moved_to,
                    });
                }
            }
        }
        found
    }

    fn parse(
        &self,
        bytes: &[u8],
        now: Duration,
        max_age: Duration,
    ) -> Result<Snapshot, SuspectState> {
        let line = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n');
        let line = line.ok_or_else(|| SuspectState::NoHeader("it has no end".to_string()))?;
        let (header, payload) = (&bytes[..line], &bytes[line + 1..]);
        // The form first: a later one may have other fields.
        #[derive(Deserialize)]
        struct Form {
            form: String,
            version: u32,
        }
        let no_head = |e: serde_json::Error| SuspectState::NoHeader(e.to_string());
        let form: Form = serde_json::from_slice(header).map_err(no_head)?;
        if form.form != FORM {
            return Err(SuspectState::NoHeader(format!("it begins as `{}`", form.form)));
        }
        if form.version != FORMAT_VERSION {
            return Err(SuspectState::Version(form.version));
        }
        let header: Header = serde_json::from_slice(header).map_err(no_head)?;
        if header.length != payload.len() {
            return Err(SuspectState::Truncated { expected: header.length, found: payload.len() });
        }
        let sum = header.sum(payload);
        if header.crc32 != sum {
            return Err(SuspectState::ChecksumMismatch { expected: header.crc32, found: sum });
        }
        if header.name != self.name {
            return Err(SuspectState::WrongOwner(header.name));
        }
        let written = Duration::from_millis(header.written_ms);
        if written > now + MAX_CLOCK_SKEW {
            return Err(SuspectState::FromFuture(written - now));
        }
        let age = now.saturating_sub(written);
        if age > max_age {
            return Err(SuspectState::Expired(age));
        }
        Ok(Snapshot { generation: header.generation, age, payload: payload.to_vec() })
    }

    /// Saves one, `now` (Unix time). The one before it is kept; where it fails, both that were there are.
    ///
    /// # Errors
    /// It is too long, or the directory can't take it.
    pub fn save(&mut self, now: Duration, payload: &[u8]) -> Result<u64, StoreError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLong(payload.len()));
        }
        let mut header = Header {
            form: FORM.to_string(),
            version: FORMAT_VERSION,
            name: self.name.clone(),
            generation: self.generation + 1,
            written_ms: now.as_millis() as u64,
            length: payload.len(),
            crc32: 0,
        };
        header.crc32 = header.sum(payload);
        let failed = |file: &str, doing, disk: &dyn Disk| {
            let file = disk.place(file);
            move |cause| StoreError::Failed { file, doing, cause }
        };
        let disk = &*self.disk;
        let mut bytes = serde_json::to_vec(&header)
            .map_err(|e| failed(NEW_FILE, "its first line", disk)(e.into()))?;
        bytes.push(b'\n');
        bytes.extend_from_slice(payload);
        disk.write(NEW_FILE, &bytes).map_err(failed(NEW_FILE, "written", disk))?;
        disk.sync(NEW_FILE).map_err(failed(NEW_FILE, "synced", disk))?;
        match disk.rename(CURRENT_FILE, PREVIOUS_FILE) {
            Err(e) if e.kind() != ErrorKind::NotFound => {
                return Err(failed(CURRENT_FILE, "renamed", disk)(e));
            }
            _ => {}
        }
        disk.rename(NEW_FILE, CURRENT_FILE).map_err(failed(NEW_FILE, "renamed", disk))?;
        disk.sync_names().map_err(failed(CURRENT_FILE, "its name synced", disk))?;
        self.generation = header.generation;
        Ok(header.generation)
    }
}
