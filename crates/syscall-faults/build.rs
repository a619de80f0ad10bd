//! Compiles the library that child processes preload. The build script does this because Cargo builds no `cdylib` for the
//! tests of other packages.

use std::path::PathBuf;
use std::process::Command;

fn main() {
    const SOURCE: &str = "preload/preload.rs";
    println!("cargo::rerun-if-changed={SOURCE}");
    println!("cargo::rerun-if-changed=build.rs");
    let variable =
        |name: &str| std::env::var_os(name).unwrap_or_else(|| panic!("{name} is set by Cargo"));
    let library = PathBuf::from(variable("OUT_DIR")).join("libhollowpaddle_preload.so");
    let status = Command::new(variable("RUSTC"))
        .args(["--crate-type", "cdylib", "--crate-name", "hollowpaddle_preload"])
        .args(["--edition", "2024", "-O", "-D", "warnings", "-C", "panic=abort", "-o"])
        .arg(&library)
        .arg(SOURCE)
        .status()
        .expect("rustc runs");
    assert!(status.success(), "{SOURCE} does not compile");
    println!("cargo::rustc-env=HOLLOWPADDLE_PRELOAD={}", library.display());
}
