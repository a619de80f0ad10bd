//! The store as two processes of one balancer use it.

use std::fs;

use hollowpaddle_operator_commands::{Store, StoreError};

fn dir() -> tempfile::TempDir {
    tempfile::tempdir().expect("a directory")
}

#[test]
fn what_one_says_the_other_sees_once() {
    let dir = dir();
    let (mut one, mut two) =
        (Store::open(dir.path()).expect("opens"), Store::open(dir.path()).expect("opens"));
    assert!(two.look().expect("read").is_none(), "nothing was said");
    one.change(|s| s.cordoned.extend(["s-1".into()])).expect("written");
    two.change(|s| s.quiesced = true).expect("written");
    let seen = one.look().expect("read").expect("news");
    assert!(seen.quiesced && seen.cordoned.contains("s-1"), "both stand");
    assert!(one.look().expect("read").is_none() && two.look().expect("read").is_none());
    let mut later = Store::open(dir.path()).expect("opens");
    assert!(later.look().expect("read").is_some_and(|s| s.cordoned.contains("s-1")));
}

#[test]
fn a_process_is_alive_for_as_long_as_it_is_held() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let (old, said) = store.start().expect("joins");
    assert_eq!((old.number, said.before(old.number).count()), (1, 0));
    let mut other = Store::open(dir.path()).expect("opens");
    let (new, said) = other.start().expect("joins");
    assert_eq!((new.number, said.before(new.number).collect::<Vec<_>>()), (2, vec![1]));
    assert!(other.alive(1) && store.alive(2));
    drop(old);
    assert!(!other.alive(1));
    let (_, said) = other.start().expect("joins");
    assert_eq!(said.processes.keys().copied().collect::<Vec<_>>(), [2, 3]);
    assert!(!dir.path().join("process-1").exists(), "the dead leave nothing");
}

#[test]
fn while_one_changes_it_the_other_is_told_to_try_again() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let held = fs::File::create(dir.path().join("lock")).expect("a file");
    held.lock().expect("locked");
    assert!(store.change(|s| s.quiesced = true).expect_err("busy").is_busy());
    assert!(store.look().expect("read").is_none(), "nothing was changed");
    drop(held);
    store.change(|s| s.quiesced = true).expect("free again");
}

#[test]
fn a_file_that_is_not_ours_is_named_and_left_as_it_is() {
    let dir = dir();
    let path = dir.path().join("said.json");
    let text = "{\"cordoned\":\n [1]}";
    fs::write(&path, text).expect("written");
    let mut store = Store::open(dir.path()).expect("opens");
    let StoreError::Malformed { line, .. } = store.change(|_| {}).expect_err("not ours") else {
        panic!("another error")
    };
    assert_eq!(line, 2);
    assert_eq!(fs::read_to_string(&path).expect("still there"), text);
    // Put aside it is neither lost nor in the way.
    let aside = store.put_aside().expect("moved");
    assert_eq!(fs::read_to_string(aside).expect("there"), text);
    store.put_aside().expect("nothing is left to move");
    let (started, said) = store.start().expect("joins");
    assert!(started.number == 1 && said.cordoned.is_empty());
}

#[test]
fn what_a_process_leaves_lasts_until_the_next_but_one() {
    let dir = dir();
    let mut store = Store::open(dir.path()).expect("opens");
    let (old, _) = store.start().expect("joins");
    assert_eq!(store.left(old.number), None);
    store.leave(old.number, b"a").expect("written");
    store.leave(old.number, b"what it knew").expect("written");
    let (new, _) = store.start().expect("joins");
    assert_eq!(store.left(old.number).as_deref(), Some(&b"what it knew"[..]));
    let number = old.number;
    drop((old, new));
    let _ = store.start().expect("joins");
    assert_eq!(store.left(number), None, "the dead leave nothing");
}
