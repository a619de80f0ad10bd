//! The text of one JSON value, as far as it was received.

/// Collects the bytes of a value, with each run of white space outside of strings as one blank, and follows what is open.
#[derive(Default)]
pub(super) struct Text {
    bytes: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Text {
    /// Appends the next byte.
    pub(super) fn push(&mut self, byte: u8) {
        if self.in_string {
            self.bytes.push(byte);
            let ends = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.in_string = !ends;
            return;
        }
        if byte.is_ascii_whitespace() {
            // Between two values it may part them, and nothing stands before the first.
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

    /// Whether nothing is open. Of a number or a word there may be more to come.
    pub(super) fn is_complete(&self) -> bool {
        !self.bytes.is_empty() && self.depth == 0 && !self.in_string
    }

    /// Whether it began as a number or a word, or as nothing that a value begins with.
    pub(super) fn is_scalar(&self) -> bool {
        self.bytes.first().is_some_and(|first| !matches!(first, b'{' | b'[' | b'"'))
    }

    /// Whether the next byte belongs to a string.
    pub(super) fn is_in_string(&self) -> bool {
        self.in_string
    }

    /// Objects and arrays that are open.
    pub(super) fn depth(&self) -> usize {
        self.depth
    }

    /// Bytes so far.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was received.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The text so far.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Begins the next value.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        (self.depth, self.in_string, self.escaped) = (0, false, false);
    }
}
