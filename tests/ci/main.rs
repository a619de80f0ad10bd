//! What `.ci/known-red.sh` passes over, and what it doesn't: played on a scratch workspace with tests that pass, fail,
//! are ignored, and have one name twice.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

const CI: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci");

/// The scratch package `one`; its test `sometimes` fails where the tests are told so.
const ONE: &str = r#"
#[test]
fn passes() {}
#[test]
fn twin() {}
mod inner {
    #[test]
    fn fails() {
        assert!(std::env::var_os("SCRATCH_RED").is_none());
    }
    #[test]
    fn fails_too() {
        assert!(std::env::var_os("SCRATCH_REDDER").is_none());
    }
    #[test]
    #[ignore]
    fn ignored() {
        panic!();
    }
    #[test]
    fn aborts() {
        if std::env::var_os("SCRATCH_ABORT").is_some() {
            std::process::abort();
        }
    }
}
"#;
const TWO: &str = "#[test]\nfn twin() {}\n";

struct Scratch(TempDir);

impl Scratch {
    fn new() -> Self {
        let at = tempfile::tempdir().expect("a folder");
        let root = at.path();
        let write = |name: &str, text: &str| {
            let to = root.join(name);
            fs::create_dir_all(to.parent().expect("a folder")).expect("made");
            fs::write(to, text).expect("written");
        };
        write("Cargo.toml", "[workspace]\nmembers = [\"one\", \"two\"]\nresolver = \"3\"\n");
        for package in ["one", "two"] {
            let named = format!("[package]\nname = \"{package}\"\nedition = \"2024\"\n");
            write(&format!("{package}/Cargo.toml"), &named);
            write(&format!("{package}/src/lib.rs"), "");
        }
        write("one/tests/cases.rs", ONE);
        write("two/src/lib.rs", TWO);
        let scratch = Self(at);
        let locked = scratch.cargo().args(["generate-lockfile", "--offline"]).output();
        assert!(locked.expect("cargo runs").status.success());
        scratch
    }

    fn root(&self) -> &Path {
        self.0.path()
    }

    fn file(&self) -> PathBuf {
        self.root().join("KNOWN-RED.txt")
    }

    fn command(&self, program: &str) -> Command {
        let mut command = Command::new(program);
        let target = self.root().join("target");
        command.current_dir(self.root()).env("CARGO_TARGET_DIR", target);
        command.env_remove("RUSTFLAGS").env("CARGO_TERM_COLOR", "never");
        command
    }

    fn cargo(&self) -> Command {
        self.command("cargo")
    }

    /// Has the script run the tests, with this list if there is one; `red` is set in the tests' environment.
    fn test(&self, list: Option<&str>, red: &[&str]) -> Output {
        let _ = fs::remove_file(self.file());
        list.into_iter().for_each(|text| fs::write(self.file(), text).expect("written"));
        let script =
            format!("set -euo pipefail; . '{CI}/known-red.sh'; known_red_test KNOWN-RED.txt");
        let mut bash = self.command("bash");
        bash.envs(red.iter().map(|name| (name, "1")));
        bash.args(["-c", &script]).output().expect("bash runs")
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[track_caller]
fn passed(run: &Output) -> String {
    assert!(run.status.success(), "{}{}", text(&run.stdout), text(&run.stderr));
    text(&run.stdout)
}

#[track_caller]
fn failed(run: &Output, says: &str) {
    let (said, errors) = (text(&run.stdout), text(&run.stderr));
    assert!(!run.status.success() && errors.contains(says), "{says}: {said}{errors}");
}

/// An entry for this test.
fn entry(test: &str) -> String {
    format!("test: {test}\ncommand: cargo test, no seed\nseen: it is told to fail\nissue: 44\n")
}

#[test]
fn just_the_listed_test_is_passed_over_and_it_has_to_fail() {
    let scratch = Scratch::new();
    let listed = entry("one::cases::inner::fails");
    let known = "known red, passed over: one --test cases inner::fails";
    // Without a file, or with nothing in it, nothing is passed over.
    assert!(!passed(&scratch.test(None, &[])).contains("known red"));
    failed(&scratch.test(None, &["SCRATCH_RED"]), "test failed");
    failed(&scratch.test(Some(""), &["SCRATCH_RED"]), "test failed");
    // All others run, also the one whose path begins alike; the listed one is printed.
    let run = passed(&scratch.test(Some(&listed), &["SCRATCH_RED"]));
    assert!(run.contains(known) && run.contains("test inner::fails_too ... ok"), "{run}");
    assert!(run.contains("test passes ... ok"), "{run}");
    assert!(run.contains("test result: ok. 4 passed; 0 failed; 1 ignored"), "{run}");
    failed(&scratch.test(Some(&listed), &["SCRATCH_RED", "SCRATCH_REDDER"]), "test failed");
    // One that passes doesn't belong there.
    failed(&scratch.test(Some(&listed), &[]), "did not run and fail");
    let two = format!("{listed}\n{}", entry("one::cases::inner::fails_too"));
    let run = passed(&scratch.test(Some(&two), &["SCRATCH_RED", "SCRATCH_REDDER"]));
    assert!(run.contains(known) && run.contains("cases inner::fails_too"), "{run}");
    failed(&scratch.test(Some(&two), &["SCRATCH_RED"]), "did not run and fail");
}

#[test]
fn what_does_not_fail_by_itself_is_not_known_red() {
    let scratch = Scratch::new();
    let run = |test: &str, red: &[&str]| scratch.test(Some(&entry(test)), red);
    let alone = "did not run and fail";
    failed(&run("one::cases::inner::ignored", &[]), alone);
    failed(&run("one::cases::inner::aborts", &["SCRATCH_ABORT"]), alone);
    // No such test, target, package.
    failed(&run("one::cases::inner::nowhere", &[]), "0 tests are called inner::nowhere");
    failed(&run("one::cases::fails", &["SCRATCH_RED"]), "0 tests are called fails");
    failed(&run("one::lib::inner::fails", &["SCRATCH_RED"]), alone);
    failed(&run("one::others::inner::fails", &["SCRATCH_RED"]), alone);
    failed(&run("two::cases::inner::fails", &["SCRATCH_RED"]), alone);
    // Passing over it would pass over another package's.
    failed(&run("one::cases::twin", &[]), "2 tests are called twin");
}

#[test]
fn a_malformed_entry_or_a_fourth_one_fails_before_anything_is_built() {
    let scratch = Scratch::new();
    fs::create_dir(scratch.root().join(".ci")).expect("made");
    for name in ["run", "known-red.sh"] {
        fs::copy(Path::new(CI).join(name), scratch.root().join(".ci").join(name)).expect("copied");
    }
    let run = |list: &str| {
        fs::write(scratch.file(), list).expect("written");
        // As CI does. To execute a file that was just written fails while another test's child still has it open (ETXTBSY).
        scratch.command("bash").arg(".ci/run").output().expect("it runs")
    };
    let one = entry("one::cases::a");
    failed(&run(&[&*one; 4].join("\n")), "4 entries; 3 at most");
    for test in [
        "inner::fails",
        "one::cases::inner::*",
        "one::cases::",
        "one::cases::inner::fails, a cause, 44",
        "# one::cases::inner::fails",
    ] {
        failed(&run(&entry(test)), "not `test: ...`, line 1 of an entry");
    }
    let changed = [
        ("test: ", "", "not `test: ...`"),
        ("test: ", "# test: ", "not `test: ...`"),
        ("command: cargo test, no seed", "command: ", "not `command: ...`"),
        ("cargo test, no seed", "cargo test", "not `command: ...`"),
        ("cargo test, no seed", "cargo test, seed x", "not `command: ...`"),
        ("it is told to fail", " ", "not `seen: ...`"),
        ("issue: 44", "issue: soon", "not `issue: ...`"),
        ("issue: 44", "issue: 44, and more", "not `issue: ...`"),
        ("issue: 44\n", "", "3 lines; 4 an entry"),
        ("issue: 44\n", "issue: 44\n\n", "5 lines; 4 an entry"),
        ("issue: 44\n", "issue: 44\n# a comment\n", "5 lines; 4 an entry"),
    ];
    for (from, to, says) in changed {
        failed(&run(&one.replace(from, to)), says);
    }
    failed(&run(&[&*one; 2].join("# a comment\n")), "not empty, between two entries");
    failed(&run(&[&*one; 2].concat()), "8 lines; 4 an entry");
    fs::write(scratch.file(), [&*one; 3].join("\n")).expect("written");
    let read = format!(". '{CI}/known-red.sh'; known_red_read KNOWN-RED.txt");
    let read = scratch.command("bash").args(["-c", &read]).output().expect("bash runs");
    assert_eq!(passed(&read), "one cases a\n".repeat(3));
}
