//! Classes of error numbers, as Linux documents these numbers.

use std::io::Error;

use super::*;

#[test]
fn distinguishes_local_errors_from_those_of_the_peer() {
    for code in [
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
        libc::ENFILE,
        libc::EMFILE,
        libc::ENETUNREACH,
        libc::EINTR,
    ] {
        assert!(is_local(&Error::from_raw_os_error(code)), "{code}");
    }
    for code in [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET] {
        assert!(!is_local(&Error::from_raw_os_error(code)), "{code}");
    }
}

#[test]
fn retries_accept_at_once_for_errors_of_one_connection_only() {
    for code in [libc::ECONNABORTED, libc::EINTR, libc::EPROTO, libc::EHOSTUNREACH] {
        assert_eq!(
            AcceptFailure::of(&Error::from_raw_os_error(code)),
            AcceptFailure::Connection,
            "{code}"
        );
    }
    for code in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert_eq!(
            AcceptFailure::of(&Error::from_raw_os_error(code)),
            AcceptFailure::NoResources,
            "{code}"
        );
    }
}

#[test]
fn end_of_the_connection_is_not_transient() {
    for code in [libc::ECONNRESET, libc::ETIMEDOUT, libc::EPIPE] {
        assert!(!is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
    for code in [libc::EINTR, libc::EAGAIN, libc::ENOMEM, libc::ENOBUFS] {
        assert!(is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
}
