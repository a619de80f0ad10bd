//! The store, used by several processes of one balancer.

use std::fs;

use hollowpaddle_operator_commands::{Store, StoreError};

fn dir() -> tempfile::TempDir {
    tempfile::tempdir().expect("a directory")
}

#[test]
fn change_by_one_process_is_seen_once_by_the_other() {
    let dir = dir();
    let (mut one, mut two) =
        (Store::open(dir.path()).expect("opens"), Store::open(dir.path()).expect("opens"));
    assert!(two.read_if_changed().expect("read").is_none(), "there is no state");
    one.change(|s| s.cordoned.extend(["s-1".into()])).expect("written");
    two.change(|s| s.quiesced = true).expect("written");
    let seen = one.read_if_changed().expect("read").expect("a change");
    assert!(seen.quiesced && seen.cordoned.contains("s-1"), "both commands apply");
    assert!(
        one.read_if_changed().expect("read").is_none()
            && two.read_if_changed().expect("read").is_none()
    );
    let mut later = Store::open(dir.path()).expect("opens");
    assert!(later.read_if_changed().expect("read").is_some_and(|s| s.cordoned.contains("s-1")));
}

#[test]
fn process_is_alive_while_its_registration_is_held() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let (old, state) = store.join().expect("joins");
    assert_eq!((old.number, state.started_before(old.number).count()), (1, 0));
    let mut other = Store::open(dir.path()).expect("opens");
    let (new, state) = other.join().expect("joins");
    assert_eq!((new.number, state.started_before(new.number).collect::<Vec<_>>()), (2, vec![1]));
    assert!(other.is_alive(1) && store.is_alive(2));
    drop(old);
    assert!(!other.is_alive(1));
    let (_, state) = other.join().expect("joins");
    assert_eq!(state.processes.keys().copied().collect::<Vec<_>>(), [2, 3]);
    assert!(!dir.path().join("process-1").exists(), "the file of a dead process is removed");
}

#[test]
fn store_is_busy_while_another_process_changes_it() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let lock_file = fs::File::create(dir.path().join("lock")).expect("a file");
    lock_file.lock().expect("locked");
    assert!(store.change(|s| s.quiesced = true).expect_err("busy").is_busy());
    assert!(store.read_if_changed().expect("read").is_none(), "nothing was changed");
    drop(lock_file);
    store.change(|s| s.quiesced = true).expect("free again");
}

#[test]
fn malformed_file_is_reported_and_left_unchanged() {
    let dir = dir();
    let path = dir.path().join("said.json");
    let text = "{\"cordoned\":\n [1]}";
    fs::write(&path, text).expect("written");
    let mut store = Store::open(dir.path()).expect("opens");
    let StoreError::Malformed { line, .. } = store.change(|_| {}).expect_err("malformed") else {
        panic!("another error")
    };
    assert_eq!(line, 2);
    assert_eq!(fs::read_to_string(&path).expect("still there"), text);
    // A file that was set aside is not lost, and does not block a start.
    let aside = store.set_aside().expect("moved");
    assert_eq!(fs::read_to_string(aside).expect("there"), text);
    store.set_aside().expect("nothing is left to move");
    let (started, state) = store.join().expect("joins");
    assert!(started.number == 1 && state.cordoned.is_empty());
}

#[test]
fn handoff_lasts_until_a_start_after_its_process_is_dead() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let (old, _) = store.join().expect("joins");
    assert_eq!(store.read_handoff(old.number), None);
    store.write_handoff(old.number, b"a").expect("written");
    store.write_handoff(old.number, b"what it knew").expect("written");
    let (new, _) = store.join().expect("joins");
    assert_eq!(store.read_handoff(old.number).as_deref(), Some(&b"what it knew"[..]));
    let number = old.number;
    drop((old, new));
    let _ = store.join().expect("joins");
    assert_eq!(store.read_handoff(number), None, "the handoff of a dead process is removed");
}
