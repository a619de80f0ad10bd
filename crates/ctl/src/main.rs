//! `hollowpaddlectl`, the operators' command line: a thin shell over libraries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod in_process;
mod load;
mod output;
mod picture;
mod rehearse;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Operators' tools for hollowpaddle.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario: real balancers against a stand-in fleet with faults, and judge the four rules.
    ///
    /// Exit codes: 0 no rule broken and nothing missed that the scenario expects, 1 otherwise, 2 bad input or a run that could not be played.
    Rehearse(rehearse::Arguments),
    /// Put a defined load on a server that runs, and tell what came of it.
    ///
    /// Exit codes: 0 played, 1 played and the tool itself could not keep up, 2 bad input or nobody there.
    Load(load::Arguments),
    /// Ask a balancer from what it started, and how saving for its next start goes.
    ///
    /// Exit codes: 0 as usual, 1 a crash loop, stored files that were not believed or saving that fails, 2 bad input or
    /// nobody there.
    Status(status::Arguments),
    /// The daemon itself, as a rehearsal starts it: by LB_* and nothing else.
    #[command(hide = true)]
    Daemon,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Rehearse(arguments) => rehearse::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Daemon => hollowpaddle::main(),
    }
}
