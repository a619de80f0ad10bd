//! The daemon as a program of this package, for tests that measure a real one: `cargo test` builds examples first.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hollowpaddle::main()
}
