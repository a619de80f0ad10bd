//! Limits on HTTP/1.1 messages, the same for clients and upstreams.

/// The largest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The largest number of header lines in a head.
pub const MAX_HEADER_LINES: usize = 64;
