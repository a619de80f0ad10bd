//! What is released holds no point: asked of cargo, which decides it.

use std::path::Path;
use std::process::Command;

/// What `cargo tree` says, and `None` where it names no such package.
fn tree(args: &[&str]) -> Option<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let output = Command::new(cargo)
        .current_dir(root)
        .args(["tree", "--offline", "--locked", "--prefix", "none"])
        .args(args)
        .output()
        .expect("cargo runs");
    let error = String::from_utf8_lossy(&output.stderr);
    if error.contains("did not match any packages") || error.contains("nothing to print") {
        return None;
    }
    assert!(output.status.success(), "cargo tree {args:?}: {error}");
    let text = String::from_utf8_lossy(&output.stdout);
    (!text.trim().is_empty()).then(|| text.into_owned())
}

/// All ways from the points' features up to whoever asks for them.
const POINTS: [&str; 2] = ["-i", "hollowpaddle-failpoints"];
const ARMED: &str = "hollowpaddle-failpoints feature \"armed\"";

#[test]
fn no_dependency_but_those_of_tests_arms_the_points() {
    // The daemon; what `cargo build --release` makes; all there is. One normal dependency that is armed arms
    // all that is built with it, also where it is another package's.
    for built in [&["-p", "hollowpaddle"][..], &[], &["--workspace"]] {
        let released = [&["-e", "normal,build,features"], built, &POINTS].concat();
        if let Some(text) = tree(&released) {
            assert!(!text.contains(ARMED), "cargo tree {released:?}:\n{text}");
        }
    }
    // The question is one that can be answered with yes.
    let tested = tree(&[
        "-e",
        "all,features",
        "-p",
        "hollowpaddle-failpoints",
        "-i",
        "hollowpaddle-failpoints",
    ]);
    assert!(tested.is_some_and(|text| text.contains(ARMED)), "its own tests are armed");
}

#[test]
fn the_daemon_that_tests_start_is_armed() {
    let tested = tree(&[
        "-e",
        "normal,build,dev,features",
        "-p",
        "hollowpaddle",
        "-i",
        "hollowpaddle-failpoints",
    ]);
    assert!(
        tested.is_some_and(|text| text.contains(ARMED)),
        "the root package's tests ask for `armed`"
    );
}
