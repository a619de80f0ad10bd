//! Tests the check of a request's raw head.

use super::*;

#[test]
fn accepts_head_of_this_request_with_a_single_length() {
    let raw = RawHead::default();
    let is_accepted = |text: &str| {
        raw.start_next();
        // The head may arrive in several reads.
        text.as_bytes().chunks(7).for_each(|piece| raw.append(piece));
        raw.stop();
        raw.append(b"Content-Length: 1\r\n");
        raw.has_single_length("POST", "/api?x", b"r1")
    };
    let head = "POST /api?x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n";
    let (te, cl) = ("Transfer-Encoding: chunked\r\n", "content-LENGTH: 3\r\n");
    assert!(is_accepted(&format!("{head}{te}\r\n0\r\n\r\n")));
    // A `Content-Length` in a body is no header.
    assert!(is_accepted(&format!("{head}{te}\r\n13\r\n\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")));
    assert!(!is_accepted(&format!("{head}{te}{cl}\r\n0\r\n\r\n")));
    assert!(!is_accepted(&format!("{head}{cl}{te}\r\n0\r\n\r\n")));
    assert!(!is_accepted(&format!("{head}{te}")), "incomplete head");
    let others = [("/api?x", "/api"), ("r1", "r2"), ("POST", "PUT"), ("POST", "\r\n0")];
    for (this, other) in others {
        assert!(!is_accepted(&format!("{head}{te}\r\n").replace(this, other)), "{other}");
    }
}
