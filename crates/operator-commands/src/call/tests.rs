//! Parsing of calls.

use proptest::prelude::*;

use super::*;

#[test]
fn reads_each_call_by_method_path_and_body() {
    let read = |method, path, body: &str| Call::read(method, path, body.as_bytes());
    assert_eq!(read("GET", "/admin/health", ""), Ok(Call::Health));
    assert_eq!(read("GET", "/admin/start", ""), Ok(Call::Start));
    assert_eq!(read("POST", "/admin/cordon", r#"{"name":"s-1"}"#), Ok(Call::Cordon("s-1".into())));
    let with_unknown_key = r#" {"why":[1], "name":"s-1"} "#;
    assert_eq!(read("POST", "/admin/uncordon", with_unknown_key), Ok(Call::Uncordon("s-1".into())));
    assert_eq!(read("POST", "/admin/quiesce", "anything"), Ok(Call::Quiesce));
    assert_eq!(read("POST", "/admin/resume", ""), Ok(Call::Resume));
    assert_eq!(read("POST", "/admin/confirm", ""), Ok(Call::Confirm));
}

#[test]
fn rejects_other_methods_paths_and_bodies_with_their_status() {
    let status = |method, path, body: &str| {
        Call::read(method, path, body.as_bytes()).expect_err("an invalid call").status()
    };
    assert_eq!(status("GET", "/admin/cordon", r#"{"name":"s-1"}"#), 405);
    assert_eq!(status("POST", "/admin/health", ""), 405);
    assert_eq!(status("POST", "/admin/start", ""), 405);
    assert_eq!(status("GET", "/admin", ""), 404);
    assert_eq!(status("GET", "/health", ""), 404);
    for body in ["", "s-1", "{}", r#"{"name":1}"#, r#"{"name":""}"#, r#"{"name":"s"#] {
        assert_eq!(status("POST", "/admin/cordon", body), 400, "{body}");
    }
    let long = format!(r#"{{"name":"{}"}}"#, "x".repeat(NAME_LIMIT + 1));
    assert_eq!(status("POST", "/admin/cordon", &long), 400);
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_rejected(
        method in "(GET|POST|[A-Z]{0,6})",
        path in "(/admin/)?(health|start|cordon|uncordon|confirm|quiesce|resume|.{0,12})",
        body in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        if let Err(cause) = Call::read(&method, &path, &body) {
            prop_assert!((400..500).contains(&cause.status()));
        }
    }
}
