//! Runs one case of the second review: `review-standins-2 CASE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the case runs without its disruption.

mod balancer;
mod cases;
mod client;
mod config;
mod datagrams;
mod discovery;
mod http;
mod record;
mod upstream;
mod world;

use std::process::ExitCode;

use world::World;

/// The exit code of a case whose rule was broken.
const BROKEN: u8 = 1;
/// The exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

/// What a case has found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, as the text says.
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    match run(case, record) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(_)) => ExitCode::from(BROKEN),
        Err(cause) => {
            eprintln!("{case} could not run: {cause}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

fn run(case: &str, record: &str) -> std::io::Result<Verdict> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = cases::find(case).ok_or_else(|| std::io::Error::other("no such case"))?;
    let world = World::new(record.as_ref())?;
    world.record.line(format!("case {case}, trouble {has_trouble}"));
    let verdict = run(&world, has_trouble)?;
    world.record.print(match &verdict {
        Verdict::Held => format!("{case}: the rule held"),
        Verdict::Broken(how) => format!("{case}: the rule was broken: {how}"),
    });
    Ok(verdict)
}
