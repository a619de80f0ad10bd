//! The received part of the text of a JSON value.

/// Collects the bytes of a value, reduces each run of white space outside of strings to one blank, and tracks open strings,
/// objects and arrays.
#[derive(Default)]
pub(super) struct Text {
    bytes: Vec<u8>,
    /// Number of open objects and arrays.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Text {
    /// Appends the next byte.
    pub(super) fn push(&mut self, byte: u8) {
        if self.in_string {
            self.bytes.push(byte);
            let is_end = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.in_string = !is_end;
            return;
        }
        if byte.is_ascii_whitespace() {
            // White space may separate two values, so one blank stays. Leading white space is dropped.
            if self.bytes.last().is_some_and(|last| *last != b' ') {
                self.bytes.push(b' ');
            }
            return;
        }
        self.bytes.push(byte);
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Returns whether no string, object or array is open. A number or literal may still continue.
    pub(super) fn is_complete(&self) -> bool {
        !self.bytes.is_empty() && self.depth == 0 && !self.in_string
    }

    /// Returns whether the text begins like a number or literal, or with a byte that begins no JSON value.
    pub(super) fn is_scalar(&self) -> bool {
        self.bytes.first().is_some_and(|first| !matches!(first, b'{' | b'[' | b'"'))
    }

    /// Returns whether the next byte belongs to a string.
    pub(super) fn is_in_string(&self) -> bool {
        self.in_string
    }

    /// Returns the number of open objects and arrays.
    pub(super) fn depth(&self) -> usize {
        self.depth
    }

    /// Returns the number of bytes so far.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the text is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the text so far.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Clears the text for the next value.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        (self.depth, self.in_string, self.escaped) = (0, false, false);
    }
}
