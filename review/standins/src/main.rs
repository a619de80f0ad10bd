//! Stand-ins for clients, upstreams, discovery and the platform, for the cases of the independent review.
//!
//! `review-standins CASE` plays one case before a real daemon and exits with 1 if the rule was broken, 0 if the rule held,
//! and 2 if the case could not run. The environment variables `REVIEW_RUN` (the command that starts the daemon),
//! `REVIEW_ROOT` (the folder to start it in), `REVIEW_RECORD` (the file for the record), `REVIEW_STARTED` (the file for the
//! ids of started processes) and `TROUBLE` (`0` leaves out the disruption) come from the script of the case.
#![forbid(unsafe_code)]

mod balancer;
mod cases;
mod client;
mod discovery;
mod http;
mod link;
mod record;
mod settings;
mod upstream;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let verdict = match case.as_str() {
        "full-table" => cases::full_table::play(),
        "backlog" => cases::backlog::play(),
        "second-answer" => cases::second_answer::play(),
        "foreign-id" => cases::foreign_id::play(),
        "crowded-discovery" => cases::crowded_discovery::play(),
        other => Err(std::io::Error::other(format!("no case named {other:?}"))),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

/// Whether the case is to be played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
