//! The daemon's executable, which runs the library's `main`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hollowpaddle::main()
}
