//! Reads endpoint lists from a stream of bytes, in whatever pieces it comes and however it is laid out. Pure.
//!
//! A list is read entry by entry: the text of an entry is dropped at its last byte, and a compact record is retained. What
//! stands around the entries (the outline) is retained as text until the list is complete.

mod text;

use serde::Deserialize;
use serde::de::{Error as _, IgnoredAny};
use serde_json::Value;

use crate::members::{Entry, List};
use crate::names::NameInterner;
use text::Text;

/// Bytes of one entry, with each run of white space counted as one. Entries have about 150; the rest is room for keys
/// that this build does not know. Without a bound an entry that never ends takes all memory.
pub const MAX_ENTRY_LENGTH: usize = 64 << 10;
/// Bytes of a list outside of its entries, counted in the same way. They hold a version and a flag; the rest is room for
/// keys that this build does not know. Without a bound a list that never ends takes all memory.
pub const MAX_OUTLINE_LENGTH: usize = 256 << 10;
/// Objects and arrays within each other, the list itself included: what `serde_json` reads.
pub const MAX_DEPTH: usize = 127;
/// Entries received of one list: two and a half times the 39,000 upstreams that the largest deployment in sight has.
/// Without a bound a list that never ends takes all memory.
pub const MAX_ENTRIES: usize = 100_000;
/// Bytes of all ids of one list: on average 160 for each of [`MAX_ENTRIES`]. Without a bound ids as long as an entry may
/// be would take gigabytes.
pub const MAX_ID_BYTES: usize = 16 << 20;
/// A stream is best handed over in pieces of at most so many bytes, with a chance for other tasks in between: about
/// fifty entries, which take a fraction of a millisecond to read.
pub const PIECE_LENGTH: usize = 8 << 10;

/// Why there are no more lists in a stream.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// Text that is no list.
    #[error("text that is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An entry that is too long, or never ends.
    #[error("an entry of more than {MAX_ENTRY_LENGTH} bytes")]
    EntryTooLong,
    /// Too much text around the entries.
    #[error("a list with more than {MAX_OUTLINE_LENGTH} bytes beside its entries")]
    OutlineTooLong,
    /// Too many values within each other.
    #[error("a list with more than {MAX_DEPTH} values within each other")]
    TooDeep,
    /// Too many entries.
    #[error("a list of more than {MAX_ENTRIES} entries")]
    TooManyEntries,
    /// Ids that are too long all together.
    #[error("a list with more than {MAX_ID_BYTES} bytes of ids")]
    IdsTooLong,
}

/// Reads lists from a stream. Each byte is read once, however small the pieces.
#[derive(Default)]
pub struct ListReader {
    position: Position,
    /// The list without its entries.
    outline: Text,
    /// Where in the outline the key begins that is being read.
    key_start: Option<usize>,
    /// The next string directly within the list is a key.
    expects_key: bool,
    /// The key of the entries has come, and its value has not begun.
    expects_members: bool,
    /// The entry that is being read.
    entry: Text,
    received: ReceivedEntries,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Default)]
enum Position {
    /// The outline.
    #[default]
    Outline,
    /// The array of entries, between two of them.
    Members(Expected),
    /// An entry.
    Entry,
}

/// What may come next between two entries.
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

/// The outline of a list, once it is whole.
#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    complete: bool,
    /// Empty, as its entries were read before. Here it is made sure that it is an array.
    #[serde(default, rename = "members")]
    _members: Vec<IgnoredAny>,
}

impl ListReader {
    /// Reads the next piece, and delivers each list that it completes, in order.
    ///
    /// # Errors
    /// The text is no list, or the list is beyond a limit. Nothing more can be read from this stream then.
    pub fn take(&mut self, piece: &[u8], mut deliver: impl FnMut(List)) -> Result<(), ListError> {
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
            Position::Members(expected) => self.push_between_entries(byte, expected).map(|()| None),
            Position::Entry => self.push_to_entry(byte).map(|()| None),
        }
    }

    fn push_to_outline(&mut self, byte: u8) -> Result<Option<List>, ListError> {
        let begins_members = self.follow_keys(byte);
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
            // Of a key that occurs twice the last one counts.
            self.received.clear();
            self.position = Position::Members(Expected::EntryOrEnd);
        }
        // What doesn't begin as an object is none, and is read to no end of its own.
        if self.outline.is_complete() { self.end_of_list().map(Some) } else { Ok(None) }
    }

    /// Follows the keys directly within the list. Tells whether this byte begins the array of entries.
    fn follow_keys(&mut self, byte: u8) -> bool {
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
                self.position = Position::Members(Expected::Entry);
            }
            b']' if expected != Expected::Entry => {
                self.outline.push(byte);
                self.position = Position::Outline;
            }
            b',' | b']' | b'}' | b':' => {
                return Err(malformed("expected an entry in `members`"));
            }
            _ if expected == Expected::CommaOrEnd => {
                return Err(malformed("expected `,` or `]` behind an entry of `members`"));
            }
            _ => {
                self.position = Position::Entry;
                self.push_to_entry(byte)?;
            }
        }
        Ok(())
    }

    fn push_to_entry(&mut self, byte: u8) -> Result<(), ListError> {
        // A number or a word has no end of its own.
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
        self.position = Position::Members(Expected::CommaOrEnd);
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
