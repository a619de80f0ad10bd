//! Formats that leave the daemon, held against literal data beside this file: answers of the admin API and files of
//! the state directory. A rename inside the program must not change any of it.

mod admin_api;
mod state_directory;
mod transcript;

const DAEMON: &str = env!("CARGO_BIN_EXE_hollowpaddle");
