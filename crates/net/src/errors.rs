//! Classifies the errors of system calls: whether the cause is on this machine or at the peer, and whether to retry the call.

use std::io::{Error, ErrorKind};

/// Returns whether the same call may succeed soon, and the socket is unaffected.
pub fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::OutOfMemory)
        || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Returns whether a connection could not be opened for a reason on this machine: no descriptor, port, memory or route, or a
/// signal during the call (socket(2), connect(2)). Such an error says nothing about the peer, to which nothing was sent.
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

/// The cause of a failed accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// A connection ended before it was accepted, or the call was interrupted. Other connections may wait, and can be
    /// accepted at once.
    Connection,
    /// This machine or process lacks resources. Connections wait, and can be accepted once resources are available.
    NoResources,
}

impl AcceptFailure {
    /// Classifies an error of accept(2). Linux passes on network errors of the new connection, after which the call is to be
    /// repeated. An unknown error counts as a lack of resources, so that the caller does not retry in a busy loop.
    pub fn of(error: &Error) -> Self {
        const CONNECTION: [i32; 10] = [
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
            Some(code) if CONNECTION.contains(&code) => Self::Connection,
            _ => Self::NoResources,
        }
    }
}

#[cfg(test)]
mod tests;
