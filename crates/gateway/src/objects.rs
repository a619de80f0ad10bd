//! JSON objects out of a stream of bytes, in whatever pieces it comes and however they are laid out. Pure.

use serde::de::DeserializeOwned;

/// No object is longer than this, with each run of white space counted as one byte. Failure: without a bound an
/// answer that never ends takes all memory.
const LONGEST_OBJECT: usize = 4 << 20;

/// Why there are no more objects in a stream.
#[derive(Debug, thiserror::Error)]
pub enum ObjectError {
    /// Text that is none.
    #[error("text that is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It never ends.
    #[error("an object without end")]
    Endless,
}

/// The part of a stream that has come and is not a whole object yet.
///
/// Each byte is looked at once, however small the pieces. Failure: parsed from its start with each new piece, a list of
/// some megabytes held the engine up for as long as it took to come.
#[derive(Default)]
pub struct Objects {
    text: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// Takes in the next piece, and tells each object that is whole with it, in order.
    ///
    /// # Errors
    /// Text that is no such object, or one that is too long. Nothing more can be read from this stream then.
    pub fn take<T: DeserializeOwned>(
        &mut self,
        piece: &[u8],
        mut tell: impl FnMut(T),
    ) -> Result<(), ObjectError> {
        for byte in piece {
            if self.is_whole_with(*byte) {
                let text = std::mem::take(&mut self.text);
                tell(serde_json::from_slice(&text)?);
            } else if self.text.len() > LONGEST_OBJECT {
                return Err(ObjectError::Endless);
            }
        }
        Ok(())
    }

    /// Whether this byte ends what began.
    fn is_whole_with(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.text.push(byte);
            let ends = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.in_string = !ends;
            return false;
        }
        if byte.is_ascii_whitespace() {
            // Between two values it may part them, and nothing stands before the first.
            if self.text.last().is_some_and(|last| *last != b' ') {
                self.text.push(b' ');
            }
            return false;
        }
        self.text.push(byte);
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        // What doesn't begin as an object is none, and is read to no end of its own.
        self.depth == 0
    }
}

#[cfg(test)]
mod tests;
