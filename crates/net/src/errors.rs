//! Classifies the errors of system calls: whether this machine or the peer is at fault, and whether to call again.

use std::io::{Error, ErrorKind};

/// Whether the same call may succeed soon, and nothing has happened to the socket.
pub fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::OutOfMemory)
        || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Whether a connection could not be opened for a reason on this machine: no descriptor, port, memory or route, or a
/// signal in the middle of the call (socket(2), connect(2)). Nothing has reached the peer then, and nothing is known of it.
pub fn is_local(error: &Error) -> bool {
    const LOCAL: [i32; 8] = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::EADDRNOTAVAIL,
        libc::EADDRINUSE,
        libc::EAGAIN,
        libc::ENETUNREACH,
        libc::ENETDOWN,
    ];
    is_transient(error) || error.raw_os_error().is_some_and(|code| LOCAL.contains(&code))
}

/// What a failed accept(2) is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection that was over before it was accepted, or an interrupted call. Others may wait behind it, and can be
    /// accepted at once.
    Connection,
    /// This machine or process lacks resources. Others wait, and can be accepted once there are some.
    NoResources,
}

impl AcceptFailure {
    /// Classifies an error of accept(2). Linux passes on network errors of the new connection, for which the call is to be
    /// repeated. An unknown error counts as a lack of resources, so that no busy loop comes of it.
    pub fn of(error: &Error) -> Self {
        const OF_CONNECTION: [i32; 10] = [
            libc::ECONNABORTED,
            libc::EINTR,
            libc::EPROTO,
            libc::ENOPROTOOPT,
            libc::EOPNOTSUPP,
            libc::ENETDOWN,
            libc::ENETUNREACH,
            libc::EHOSTDOWN,
            libc::EHOSTUNREACH,
            libc::ETIMEDOUT,
        ];
        match error.raw_os_error() {
            Some(code) if OF_CONNECTION.contains(&code) => Self::Connection,
            _ => Self::NoResources,
        }
    }
}

#[cfg(test)]
mod tests;
