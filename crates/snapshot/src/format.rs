//! The content of a snapshot file: one line of JSON ([`Header`]), followed by the payload.
//!
//! The header contains the owner of the payload, the time of writing and a checksum. The store manages the files.

use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Version of the format. A file of another version is not used.
pub const FORMAT_VERSION: u32 = 1;
/// The longest payload, in bytes. Without a bound, one oversized snapshot would use up the memory of every later start.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;
/// The longest header, in bytes, including its newline.
const MAX_HEADER_BYTES: usize = 4 << 10;
/// Bytes that are read of a file: enough to detect that it is too long.
pub(crate) const MAX_FILE_BYTES: u64 = (MAX_HEADER_BYTES + MAX_PAYLOAD_BYTES + 1) as u64;
/// How far in the future the time of a snapshot may be, since clocks differ. The age of a snapshot from further in the
/// future is unknown.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Name of the format in each header.
const FORMAT_NAME: &str = "hollowpaddle-snapshot";

/// A complete and undamaged snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Number of the save under this name, from 1.
    pub generation: u64,
    /// Age by the wall clock of the process that loads the snapshot; 0 for a snapshot from the near future.
    pub age: Duration,
    /// The bytes that were saved.
    pub payload: Vec<u8>,
}

/// Reason why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum SuspectState {
    /// The file is not a snapshot, or its first line is damaged.
    #[error("its first line is not that of a snapshot ({0})")]
    NoHeader(String),
    /// The file is shorter or longer than its header states.
    #[error("it holds {found} bytes behind its first line, and was written with {expected}")]
    Truncated {
        /// Bytes of the payload according to the header.
        expected: usize,
        /// Bytes of the payload in the file.
        found: usize,
    },
    /// The file has changed since it was written.
    #[error("its sum is {found:08x}, and was written as {expected:08x}")]
    ChecksumMismatch {
        /// Checksum in the header.
        expected: u32,
        /// Checksum of the file.
        found: u32,
    },
    /// The snapshot belongs to the balancer of this name.
    #[error("it is the snapshot of `{0}`")]
    WrongOwner(String),
    /// This build does not read this version of the format.
    #[error("it is of version {0}; this build reads {FORMAT_VERSION}")]
    Version(u32),
    /// The file was written this long after the present time, by the clock.
    #[error("it is {} s from the future: a clock was set back", .0.as_secs())]
    FromFuture(Duration),
    /// The file has this age, which is more than the caller allows.
    #[error("it is {} s old", .0.as_secs())]
    Expired(Duration),
    /// The file can't be read.
    #[error("it can't be read ({0})")]
    Unreadable(io::Error),
}

impl SuspectState {
    fn no_header(cause: &serde_json::Error) -> Self {
        Self::NoHeader(cause.to_string())
    }
}

/// The part of a header that every version has. It is parsed first, since a later version may have other keys.
#[derive(Deserialize)]
#[serde(expecting = "struct Form")]
struct FormatId {
    form: String,
    version: u32,
}

/// The first line of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Head")]
struct Header {
    form: String,
    version: u32,
    name: String,
    generation: u64,
    /// Unix time in milliseconds.
    written_ms: u64,
    /// Bytes of the payload.
    length: usize,
    /// CRC-32 (IEEE 802.3) of all fields above, as [`Header::checksum`] formats them, and of the payload.
    crc32: u32,
}

impl Header {
    fn checksum(&self, payload: &[u8]) -> u32 {
        let Self { form, version, name, generation, written_ms, length, crc32: _ } = self;
        let values = format!("{form} {version} {name:?} {generation} {written_ms} {length}\n");
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(values.as_bytes());
        checksum.update(payload);
        checksum.finalize()
    }

    fn decode(line: &[u8]) -> Result<Self, SuspectState> {
        let id: FormatId = serde_json::from_slice(line).map_err(|e| SuspectState::no_header(&e))?;
        if id.form != FORMAT_NAME {
            return Err(SuspectState::NoHeader(format!("it begins as `{}`", id.form)));
        }
        if id.version != FORMAT_VERSION {
            return Err(SuspectState::Version(id.version));
        }
        serde_json::from_slice(line).map_err(|e| SuspectState::no_header(&e))
    }

    /// Checks the length and the checksum of the payload.
    fn check_payload(&self, payload: &[u8]) -> Result<(), SuspectState> {
        if self.length != payload.len() {
            return Err(SuspectState::Truncated { expected: self.length, found: payload.len() });
        }
        let found = self.checksum(payload);
        if self.crc32 != found {
            return Err(SuspectState::ChecksumMismatch { expected: self.crc32, found });
        }
        Ok(())
    }

    /// Returns the age of the file at `now` (Unix time).
    fn age(&self, now: Duration) -> Result<Duration, SuspectState> {
        let written = Duration::from_millis(self.written_ms);
        if written > now + MAX_CLOCK_SKEW {
            return Err(SuspectState::FromFuture(written - now));
        }
        Ok(now.saturating_sub(written))
    }
}

/// Returns the content of a file with this payload, written at `now` (Unix time).
pub(crate) fn encode(
    name: &str,
    generation: u64,
    now: Duration,
    payload: &[u8],
) -> Result<Vec<u8>, serde_json::Error> {
    let mut header = Header {
        form: FORMAT_NAME.to_string(),
        version: FORMAT_VERSION,
        name: name.to_string(),
        generation,
        written_ms: now.as_millis() as u64,
        length: payload.len(),
        crc32: 0,
    };
    header.crc32 = header.checksum(payload);
    let mut bytes = serde_json::to_vec(&header)?;
    bytes.push(b'\n');
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

/// Decodes the content of a file at `now` (Unix time).
///
/// # Errors
/// The content is not a complete snapshot of this name, or is older than `max_age`.
pub(crate) fn decode(
    bytes: &[u8],
    name: &str,
    now: Duration,
    max_age: Duration,
) -> Result<Snapshot, SuspectState> {
    let line_end = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n');
    let line_end = line_end.ok_or_else(|| SuspectState::NoHeader("it has no end".to_string()))?;
    let (line, payload) = (&bytes[..line_end], &bytes[line_end + 1..]);
    let header = Header::decode(line)?;
    header.check_payload(payload)?;
    if header.name != name {
        return Err(SuspectState::WrongOwner(header.name));
    }
    let age = header.age(now)?;
    if age > max_age {
        return Err(SuspectState::Expired(age));
    }
    Ok(Snapshot { generation: header.generation, age, payload: payload.to_vec() })
}
