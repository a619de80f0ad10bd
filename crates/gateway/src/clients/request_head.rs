//! Validates the head of a client's request, and derives the head that upstreams get.

use hyper::Uri;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;

use crate::stream::RawHead;

/// The longest id of a request, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 128;

/// Headers that must not be repeated.
const SINGLE_HEADERS: [&str; 7] = [
    "host",
    "x-request-id",
    "x-class",
    "x-tenant",
    "x-deadline-ms",
    "idempotency-key",
    "content-length",
];

/// Hop-by-hop headers that hyper defines no constant for.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 4] =
    ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization"];

/// A request is malformed. Names the faulty part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed: {0}")]
pub(super) struct Malformed(pub(super) &'static str);

/// Checks that the framing and the identification of a request are unambiguous, so that no upstream can interpret the
/// request differently.
///
/// # Errors
/// Names the first faulty part of the head.
pub(super) fn check(head: &Parts, raw: &RawHead) -> Result<(), Malformed> {
    check_transfer_encoding(head, raw)?;
    check_target(head)?;
    for name in SINGLE_HEADERS {
        if head.headers.get_all(name).iter().nth(1).is_some() {
            return Err(Malformed(name));
        }
    }
    let is_text = |value: &HeaderValue| value.to_str().is_ok();
    if !head.headers.contains_key(HOST) || !head.headers.values().all(is_text) {
        return Err(Malformed("headers"));
    }
    let id_length = head.headers.get("x-request-id").map_or(0, HeaderValue::len);
    if !(1..=MAX_REQUEST_ID_LENGTH).contains(&id_length) {
        return Err(Malformed("X-Request-Id"));
    }
    Ok(())
}

/// Checks that a `Transfer-Encoding` is `chunked` only (RFC 9112, 6.1 and 7.1), without another length.
fn check_transfer_encoding(head: &Parts, raw: &RawHead) -> Result<(), Malformed> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    let id = head.headers.get("x-request-id").map_or(&[][..], |value| value.as_bytes());
    let target = head.uri.to_string();
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    let is_alone = codings.next().is_none();
    if !is_chunked || !is_alone || !raw.has_single_length(head.method.as_str(), &target, id) {
        return Err(Malformed("Transfer-Encoding"));
    }
    Ok(())
}

/// Checks that a target in absolute form names the same host as the `Host` header (RFC 9112, 3.2.2).
fn check_target(head: &Parts) -> Result<(), Malformed> {
    let host = head.headers.get(HOST).map_or(&[][..], |value| value.as_bytes());
    if head.uri.authority().is_some_and(|authority| authority.as_str().as_bytes() != host) {
        return Err(Malformed("target"));
    }
    Ok(())
}

/// Converts the target to origin form, for upstreams (RFC 9112, 3.2.1).
pub(super) fn origin_form(target: Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or(target, Uri::from)
}

/// Derives the headers for an upstream, for a body of `length` bytes. A body of unknown length is sent in chunks.
pub(super) fn forwarded_headers(mut headers: HeaderMap, length: Option<u64>) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = length.filter(|length| *length > 0) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    // An HTTP/1.1 request without a host is invalid.
    headers.entry(HOST).or_insert(HeaderValue::from_static("api.internal"));
    headers
}

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1).
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns the value of the first cookie of this name.
pub(super) fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let pairs = lines.flat_map(|line| line.split(';'));
    let mut cookies = pairs.filter_map(|pair| pair.trim().split_once('='));
    cookies.find(|(cookie, _)| *cookie == name).map(|(_, value)| value)
}
