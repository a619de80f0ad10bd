//! Reads endpoint lists from a stream of bytes, which may be split into arbitrary pieces and have any JSON layout. The
//! reader does no I/O.
//!
//! A list is parsed entry by entry: the text of an entry is dropped at its last byte, and a compact record is retained. The
//! text around the entries (the outline) is retained until the list is complete.

mod text;

use serde::Deserialize;
use serde::de::{Error as _, IgnoredAny};
use serde_json::Value;

use crate::members::{Entry, List};
use crate::names::NameInterner;
use text::Text;

/// Maximum number of bytes of one entry; a run of white space counts as one byte. Entries have about 150 bytes, and the rest
/// is room for keys that this build does not know. Without a limit, an endless entry would use all memory.
pub const MAX_ENTRY_LENGTH: usize = 64 << 10;
/// Maximum number of bytes of a list outside of its entries; a run of white space counts as one byte. The outline holds a
/// version and a flag, and the rest is room for keys that this build does not know. Without a limit, an endless list would
/// use all memory.
pub const MAX_OUTLINE_LENGTH: usize = 256 << 10;
/// Maximum depth of nested objects and arrays, including the list itself. `serde_json` has the same limit.
pub const MAX_DEPTH: usize = 127;
/// Maximum number of entries of one list: two and a half times the 39,000 upstreams of the largest expected deployment.
/// Without a limit, an endless list would use all memory.
pub const MAX_ENTRIES: usize = 100_000;
/// Maximum number of bytes of all ids of one list: on average 160 for each of [`MAX_ENTRIES`]. Without a limit, ids as long
/// as [`MAX_ENTRY_LENGTH`] would use gigabytes.
pub const MAX_ID_BYTES: usize = 16 << 20;
/// Number of bytes after which a caller of [`ListReader::feed`] should yield to other tasks: about fifty entries, which take
/// a fraction of a millisecond to read.
pub const PIECE_LENGTH: usize = 8 << 10;

/// An error that ends the reading of a stream.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not a valid endpoint list.
    #[error("invalid endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An entry is too long or endless.
    #[error("entry longer than {MAX_ENTRY_LENGTH} bytes")]
    EntryTooLong,
    /// The text around the entries is too long.
    #[error("list with more than {MAX_OUTLINE_LENGTH} bytes outside of its entries")]
    OutlineTooLong,
    /// Values are nested too deeply.
    #[error("list nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// The list has too many entries.
    #[error("list with more than {MAX_ENTRIES} entries")]
    TooManyEntries,
    /// The total length of the ids is too large.
    #[error("list with more than {MAX_ID_BYTES} bytes of ids")]
    IdsTooLong,
}

/// Reads lists from a stream. Each byte is read once, even if the pieces are small.
#[derive(Default)]
pub struct ListReader {
    position: Position,
    /// The list without its entries.
    outline: Text,
    /// Offset in the outline of the key that is being read.
    key_start: Option<usize>,
    /// Whether the next string at the top level of the list is a key.
    expects_key: bool,
    /// Whether the key `members` has been read and its value has not begun.
    expects_members: bool,
    /// The entry that is being read.
    entry: Text,
    received: ReceivedEntries,
}

/// The part of the list that the next byte belongs to.
#[derive(Clone, Copy, Default)]
enum Position {
    /// The outline.
    #[default]
    Outline,
    /// The array `members`, outside of an entry.
    BetweenEntries(Expected),
    /// An entry.
    Entry,
}

/// The tokens that may follow outside of an entry.
#[derive(Clone, Copy, PartialEq)]
enum Expected {
    EntryOrEnd,
    Entry,
    CommaOrEnd,
}

/// The entries of the list that is being read.
#[derive(Default)]
struct ReceivedEntries {
    entries: Vec<Entry>,
    id_bytes: usize,
    names: NameInterner,
}

/// The outline of a complete list.
#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    complete: bool,
    /// Empty, since the entries were read before. Parsed to check that the value is an array.
    #[serde(default, rename = "members")]
    _members: Vec<IgnoredAny>,
}

impl ListReader {
    /// Reads the next piece of the stream, and delivers each list that the piece completes, in order.
    ///
    /// # Errors
    /// Returns an error if the text is not a list or the list exceeds a limit. The stream can't be read further then.
    pub fn feed(&mut self, piece: &[u8], mut deliver: impl FnMut(List)) -> Result<(), ListError> {
        for byte in piece {
            if let Some(list) = self.push(*byte)? {
                deliver(list);
            }
        }
        Ok(())
    }

    fn push(&mut self, byte: u8) -> Result<Option<List>, ListError> {
        match self.position {
            Position::Outline => self.push_to_outline(byte),
            Position::BetweenEntries(expected) => {
                self.push_between_entries(byte, expected).map(|()| None)
            }
            Position::Entry => self.push_to_entry(byte).map(|()| None),
        }
    }

    fn push_to_outline(&mut self, byte: u8) -> Result<Option<List>, ListError> {
        let begins_members = self.track_keys(byte);
        let was_in_string = self.outline.is_in_string();
        self.outline.push(byte);
        if was_in_string && !self.outline.is_in_string() {
            self.end_of_string();
        }
        if self.outline.len() > MAX_OUTLINE_LENGTH {
            return Err(ListError::OutlineTooLong);
        }
        if self.outline.depth() > MAX_DEPTH {
            return Err(ListError::TooDeep);
        }
        if begins_members {
            // The last value of a repeated key is used.
            self.received.clear();
            self.position = Position::BetweenEntries(Expected::EntryOrEnd);
        }
        // Any text other than an object is rejected, a number or literal already at its first byte.
        if self.outline.is_complete() { self.end_of_list().map(Some) } else { Ok(None) }
    }

    /// Tracks the keys at the top level of the list. Returns whether this byte begins the array of entries.
    fn track_keys(&mut self, byte: u8) -> bool {
        if self.outline.is_empty() {
            self.expects_key = byte == b'{';
            return false;
        }
        if self.outline.depth() != 1 || self.outline.is_in_string() || byte.is_ascii_whitespace() {
            return false;
        }
        if byte == b':' {
            return false;
        }
        let expects_members = std::mem::take(&mut self.expects_members);
        match byte {
            b',' => self.expects_key = true,
            b'"' if std::mem::take(&mut self.expects_key) => {
                self.key_start = Some(self.outline.len());
            }
            _ => {}
        }
        expects_members && byte == b'['
    }

    fn end_of_string(&mut self) {
        let Some(start) = self.key_start.take() else { return };
        let key = serde_json::from_slice::<String>(&self.outline.bytes()[start..]);
        self.expects_members = key.is_ok_and(|key| key == "members");
    }

    fn push_between_entries(&mut self, byte: u8, expected: Expected) -> Result<(), ListError> {
        match byte {
            byte if byte.is_ascii_whitespace() => {}
            b',' if expected == Expected::CommaOrEnd => {
                self.position = Position::BetweenEntries(Expected::Entry);
            }
            b']' if expected != Expected::Entry => {
                self.outline.push(byte);
                self.position = Position::Outline;
            }
            b',' | b']' | b'}' | b':' => {
                return Err(malformed("expected an entry in `members`"));
            }
            _ if expected == Expected::CommaOrEnd => {
                return Err(malformed("expected `,` or `]` after an entry of `members`"));
            }
            _ => {
                self.position = Position::Entry;
                self.push_to_entry(byte)?;
            }
        }
        Ok(())
    }

    fn push_to_entry(&mut self, byte: u8) -> Result<(), ListError> {
        // A number or literal ends only at the byte that follows it.
        if self.entry.is_scalar() && (byte.is_ascii_whitespace() || matches!(byte, b',' | b']')) {
            self.end_of_entry()?;
            return self.push_between_entries(byte, Expected::CommaOrEnd);
        }
        self.entry.push(byte);
        if self.entry.len() > MAX_ENTRY_LENGTH {
            return Err(ListError::EntryTooLong);
        }
        if self.outline.depth() + self.entry.depth() > MAX_DEPTH {
            return Err(ListError::TooDeep);
        }
        if self.entry.is_complete() && !self.entry.is_scalar() {
            self.end_of_entry()?;
        }
        Ok(())
    }

    fn end_of_entry(&mut self) -> Result<(), ListError> {
        let entry = Entry::from_json(self.entry.bytes(), &mut self.received.names)?;
        self.entry.clear();
        self.position = Position::BetweenEntries(Expected::CommaOrEnd);
        match entry {
            Some(entry) => self.received.push(entry),
            None => Ok(()),
        }
    }

    fn end_of_list(&mut self) -> Result<List, ListError> {
        let outline: Value = serde_json::from_slice(self.outline.bytes())?;
        if !outline.is_object() {
            return Err(malformed("expected an object"));
        }
        let Header { revision, complete, .. } = Header::deserialize(outline)?;
        let received = std::mem::take(&mut self.received);
        self.outline.clear();
        Ok(List { revision, complete, members: received.entries })
    }
}

impl ReceivedEntries {
    fn clear(&mut self) {
        *self = Self::default();
    }

    fn push(&mut self, entry: Entry) -> Result<(), ListError> {
        if self.entries.len() == MAX_ENTRIES {
            return Err(ListError::TooManyEntries);
        }
        self.id_bytes += entry.id.len();
        if self.id_bytes > MAX_ID_BYTES {
            return Err(ListError::IdsTooLong);
        }
        self.entries.push(entry);
        Ok(())
    }
}

fn malformed(expected: &str) -> ListError {
    ListError::Malformed(serde_json::Error::custom(expected))
}

#[cfg(test)]
mod tests;
