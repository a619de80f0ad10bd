//! What both sides hold HTTP/1.1 to.

/// A head may be this large, on either side.
pub const HEAD_LIMIT: usize = 16 << 10;
/// And have so many lines.
pub const HEAD_LINES: usize = 64;
