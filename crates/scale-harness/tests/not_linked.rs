//! The harness is no part of the daemon.

use std::path::Path;
use std::process::Command;

/// The packages that cargo builds into the daemon.
fn packages_of_the_daemon() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let arguments = ["tree", "--offline", "--locked", "--prefix", "none", "-e", "normal,build"];
    let output = Command::new(cargo)
        .current_dir(root)
        .args(arguments)
        .args(["-p", "hollowpaddle"])
        .output()
        .expect("cargo runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn daemon_does_not_depend_on_the_harness() {
    let packages = packages_of_the_daemon();
    assert!(packages.contains("hollowpaddle-gateway"), "{packages}");
    assert!(!packages.contains("hollowpaddle-scale-harness"), "{packages}");
}
