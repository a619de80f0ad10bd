//! The daemon as a program; the library does everything.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hollowpaddle::main()
}
