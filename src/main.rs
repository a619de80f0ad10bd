//! The daemon as a program; see the library.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hollowpaddle::main()
}
