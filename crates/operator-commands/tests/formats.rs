//! The file with the operator state, the copy of the state, and the calls of the admin API, byte for byte.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use hollowpaddle_operator_commands::{
    Call, OperatorState, OperatorStateCopy, RecoveredCopy, Store, StoreError,
};

const FULL_STATE: &str = include_str!("formats/operator-state.json");
const EMPTY_STATE: &str = r#"{"cordoned":[],"quiesced":false,"starts":0,"processes":{}}"#;
const FULL_COPY: &str = include_str!("formats/operator-copy.json");
const EMPTY_COPY: &str = r#"{"cordoned":[],"quiesced":false,"doubted":null,"last":false}"#;

fn cordoned_upstreams() -> BTreeSet<String> {
    ["cell-1/upstream-10".into(), "cell-1/upstream-9".into()].into()
}

/// Returns a state with a value other than the default in each field.
fn full_state() -> OperatorState {
    OperatorState {
        cordoned: cordoned_upstreams(),
        quiesced: true,
        starts: 12,
        suspect: Some("the file was gone".into()),
        processes: BTreeMap::from([(9, true), (12, false)]),
    }
}

/// Returns a copy with a value other than the default in each field.
fn full_copy() -> OperatorStateCopy {
    OperatorStateCopy {
        cordoned: cordoned_upstreams(),
        quiesced: true,
        suspect: Some("the file was gone".into()),
        is_final: true,
    }
}

/// Returns the names of the files in a directory, in alphabetical order.
fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("a directory");
    let mut names: Vec<String> =
        entries.map(|e| e.expect("an entry").file_name().into_string().expect("UTF-8")).collect();
    names.sort();
    names
}

#[test]
fn stored_state_is_written_and_read_as_in_the_file() {
    for (state, text) in
        [(full_state(), FULL_STATE.trim_end()), (OperatorState::default(), EMPTY_STATE)]
    {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("said.json");
        let mut store = Store::open(directory.path()).expect("opens");
        store.change(|stored| *stored = state.clone()).expect("written");
        assert_eq!(fs::read_to_string(&path).expect("a file"), text);
        fs::write(&path, text).expect("written");
        assert_eq!(store.read().expect("read"), state);
    }
}

#[test]
fn copy_of_the_state_is_written_and_read_as_in_the_file() {
    for (copy, text) in
        [(full_copy(), FULL_COPY.trim_end()), (OperatorStateCopy::default(), EMPTY_COPY)]
    {
        assert_eq!(serde_json::to_string(&copy).expect("JSON"), text);
        assert_eq!(serde_json::from_str::<OperatorStateCopy>(text).expect("readable"), copy);
    }
}

#[test]
fn files_of_the_store_keep_their_names() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = Store::open(directory.path()).expect("opens");
    let (first, _) = store.join().expect("starts");
    let (second, _) = store.join().expect("starts");
    store.write_handoff(first.number, b"left by the first").expect("written");
    let names = ["left-1", "lock", "process-1", "process-2", "said.json"];
    assert_eq!(file_names(directory.path()), names);
    store.set_aside().expect("moved");
    let names = ["left-1", "lock", "process-1", "process-2", "said.json.aside"];
    assert_eq!(file_names(directory.path()), names);
    // A directory with the name of the file that is written before the rename blocks a change.
    fs::create_dir(directory.path().join("said.json.new")).expect("a directory");
    assert!(matches!(store.change(|_| {}), Err(StoreError::File(..))));
    drop(second);
}

#[test]
fn calls_are_parsed_from_method_path_and_body() {
    let body = br#"{"name":"cell-1/upstream-9"}"#;
    let upstream = || "cell-1/upstream-9".to_string();
    for (method, path, call) in [
        ("GET", "/admin/health", Call::Health),
        ("GET", "/admin/start", Call::Start),
        ("POST", "/admin/cordon", Call::Cordon(upstream())),
        ("POST", "/admin/uncordon", Call::Uncordon(upstream())),
        ("POST", "/admin/confirm", Call::Confirm),
        ("POST", "/admin/quiesce", Call::Quiesce),
        ("POST", "/admin/resume", Call::Resume),
    ] {
        assert_eq!(Call::read(method, path, body), Ok(call), "{method} {path}");
    }
}

#[test]
fn invalid_calls_keep_status_and_message() {
    for (method, path, body, status, message) in [
        (
            "GET",
            "/admin/other",
            "",
            404,
            "no such call; there are health, start, cordon, uncordon, confirm, quiesce and resume under /admin/",
        ),
        ("POST", "/admin/health", "", 405, "the method must be GET"),
        ("GET", "/admin/cordon", "", 405, "the method must be POST"),
        (
            "POST",
            "/admin/cordon",
            "{}",
            400,
            r#"the body must be a JSON object {"name":"ID"}: missing field `name` at line 1 column 2"#,
        ),
        (
            "POST",
            "/admin/cordon",
            r#"{"name":""}"#,
            400,
            r#"the body must be a JSON object {"name":"ID"}: a name has 1 to 512 bytes"#,
        ),
    ] {
        let error = Call::read(method, path, body.as_bytes()).expect_err("an invalid call");
        assert_eq!((error.status(), error.to_string().as_str()), (status, message), "{path}");
    }
}

#[test]
fn reasons_for_suspect_state_keep_their_text() {
    let copy = || {
        RecoveredCopy::Found(OperatorStateCopy { suspect: None, is_final: false, ..full_copy() })
    };
    let lost_copy = || RecoveredCopy::Lost("checksum".into());
    for (damage, copied, reason) in [
        (Some("line 1"), copy(), "put back from this balancer's snapshot: line 1"),
        (None, copy(), "put back from this balancer's snapshot: the file was gone"),
        (
            None,
            lost_copy(),
            "every cordon may be forgotten: the file was gone; and the copy of it is lost: checksum",
        ),
        (
            Some("line 1"),
            lost_copy(),
            "every cordon may be forgotten: line 1; and the copy of it is lost: checksum",
        ),
        (Some("line 1"), RecoveredCopy::Absent, "every cordon is forgotten: line 1"),
    ] {
        let mut state = OperatorState::default();
        state.recover(damage, &copied);
        assert_eq!(state.suspect.as_deref(), Some(reason));
    }
}
