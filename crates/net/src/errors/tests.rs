//! Errors by their numbers, as Linux documents them.

use std::io::Error;

use super::*;

#[test]
fn tells_local_trouble_from_the_peers() {
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
fn an_end_of_the_connection_is_not_transient() {
    for code in [libc::ECONNRESET, libc::ETIMEDOUT, libc::EPIPE] {
        assert!(!is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
    for code in [libc::EINTR, libc::EAGAIN, libc::ENOMEM, libc::ENOBUFS] {
        assert!(is_transient(&Error::from_raw_os_error(code)), "{code}");
    }
}
