//! The container of a stored snapshot, the names of its files and the text of its errors, byte for byte.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use hollowpaddle_snapshot::{Directory, Store, StoreError, SuspectState};

/// Unix time of the save that wrote the first container.
const WRITTEN: Duration = Duration::from_millis(1_786_000_000_123);
const DAY: Duration = Duration::from_secs(86_400);
const NAME: &str = "balancer \"zero\"";
const FIRST_PAYLOAD: &[u8] = b"{\"state\":1}\nand a second line";
const SECOND_PAYLOAD: &[u8] = b"";
const FIRST: &[u8] = include_bytes!("formats/generation-1.snapshot");
const SECOND: &[u8] = include_bytes!("formats/generation-2.snapshot");

fn store(directory: &Path, name: &str) -> Store {
    Store::new(Directory::open(directory).expect("a directory"), name)
}

fn read(directory: &Path, file: &str) -> Vec<u8> {
    fs::read(directory.join(file)).expect("a file of this name")
}

#[test]
fn container_is_written_byte_for_byte() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = store(directory.path(), NAME);
    assert_eq!(store.save(WRITTEN, FIRST_PAYLOAD).expect("saved"), 1);
    assert_eq!(read(directory.path(), "snapshot"), FIRST);
    assert_eq!(store.save(WRITTEN + DAY, SECOND_PAYLOAD).expect("saved"), 2);
    assert_eq!(read(directory.path(), "snapshot"), SECOND);
    assert_eq!(read(directory.path(), "snapshot.before"), FIRST);
    assert_eq!(fs::read_dir(directory.path()).expect("a directory").count(), 2);
}

#[test]
fn container_is_read_under_each_name_of_a_generation() {
    for (file, container, generation, payload) in
        [("snapshot", SECOND, 2, SECOND_PAYLOAD), ("snapshot.before", FIRST, 1, FIRST_PAYLOAD)]
    {
        let directory = tempfile::tempdir().expect("a directory");
        fs::write(directory.path().join(file), container).expect("written");
        let found = store(directory.path(), NAME).load(WRITTEN + DAY, DAY);
        let snapshot = found.snapshot.expect("accepted");
        assert_eq!((snapshot.generation, &snapshot.payload[..]), (generation, payload));
    }
}

#[test]
fn unreadable_container_is_set_aside_and_file_names_are_unchanged() {
    let directory = tempfile::tempdir().expect("a directory");
    for file in ["snapshot", "snapshot.before"] {
        fs::write(directory.path().join(file), file).expect("written");
    }
    let mut store = store(directory.path(), NAME);
    assert_eq!(store.load(WRITTEN, DAY).aside.len(), 2);
    for file in ["snapshot", "snapshot.before"] {
        assert_eq!(read(directory.path(), &format!("{file}.aside")), file.as_bytes());
    }
    // A directory with the name of the file that is written first blocks the save.
    fs::create_dir(directory.path().join("snapshot.new")).expect("a directory");
    let error = store.save(WRITTEN, FIRST_PAYLOAD).expect_err("blocked").to_string();
    assert!(error.contains("/snapshot.new: written: "), "{error}");
}

/// Returns the reason why the balancer of this name rejects these bytes at this time.
fn rejection_reason(bytes: &[u8], name: &str, now: Duration) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("snapshot"), bytes).expect("written");
    let found = store(directory.path(), name).load(now, DAY);
    found.aside[0].reason.to_string()
}

#[test]
fn reasons_to_reject_a_container_keep_their_text() {
    let mut changed = FIRST.to_vec();
    *changed.last_mut().expect("a payload") ^= 1;
    let text = std::str::from_utf8(FIRST).expect("UTF-8");
    let later = text.replacen("\"version\":1", "\"version\":2", 1);
    let other = text.replacen("hollowpaddle-snapshot", "tar", 1);
    let header_with_unknown_field = text.replacen("\"crc32\"", "\"more\":0,\"crc32\"", 1);
    for (bytes, name, now, expected) in [
        (&b"x"[..], NAME, WRITTEN, "its first line is not that of a snapshot (it has no end)"),
        (
            other.as_bytes(),
            NAME,
            WRITTEN,
            "its first line is not that of a snapshot (it begins as `tar`)",
        ),
        (
            &FIRST[..FIRST.len() - 3],
            NAME,
            WRITTEN,
            "it holds 26 bytes behind its first line, and was written with 29",
        ),
        (&changed, NAME, WRITTEN, "its sum is c194a89c, and was written as b693980a"),
        (FIRST, "n1", WRITTEN, "it is the snapshot of `balancer \"zero\"`"),
        (later.as_bytes(), NAME, WRITTEN, "it is of version 2; this build reads 1"),
        (FIRST, NAME, WRITTEN - DAY, "it is 86400 s from the future: a clock was set back"),
        (FIRST, NAME, WRITTEN + 2 * DAY, "it is 172800 s old"),
    ] {
        assert_eq!(rejection_reason(bytes, name, now), expected);
    }
    let message = rejection_reason(header_with_unknown_field.as_bytes(), NAME, WRITTEN);
    assert!(message.contains("unknown field `more`"), "{message}");
    let unreadable = SuspectState::Unreadable(io::Error::other("EIO"));
    assert_eq!(unreadable.to_string(), "it can't be read (EIO)");
    let too_long = StoreError::TooLong(9_000_000).to_string();
    assert_eq!(too_long, "a snapshot of 9000000 bytes: 8388608 are the most");
}
