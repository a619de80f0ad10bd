//! Limits on HTTP/1.1 messages, the same for clients and upstreams.

/// The largest head, in bytes.
pub const HEAD_LIMIT: usize = 16 << 10;
/// The largest number of header lines in a head.
pub const HEAD_LINES: usize = 64;
