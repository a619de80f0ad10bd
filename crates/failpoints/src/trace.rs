//! The trace of a real process: one line a point, read back by whoever started it.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use crate::{Fault, Kind, Passed};

/// A trace can't be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// There is none, or it can't be had.
    #[error("trace {file}: reading it: {cause}; the process that was to write it may not be armed")]
    Unreadable {
        /// Which.
        file: String,
        /// What happened.
        #[source]
        cause: std::io::Error,
    },
    /// A line is not one of a trace, or one is missing before it.
    #[error("trace {file}, line {line}: found `{found}`, expected `{line} WHOSE KIND NAME FAULT`")]
    Line {
        /// Which.
        file: String,
        /// From 1.
        line: u64,
        /// As it stands there.
        found: String,
    },
}

/// A name that lives as long as the program. Names of points are few and known when it is built: each is kept
/// once.
pub(crate) fn kept(name: &str) -> &'static str {
    static NAMES: Mutex<BTreeSet<&'static str>> = Mutex::new(BTreeSet::new());
    let mut names = NAMES.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(known) = names.get(name) {
        return known;
    }
    let new: &'static str = Box::leak(name.to_string().into_boxed_str());
    names.insert(new);
    new
}

/// The line of one, with its end.
pub(crate) fn line(passed: &Passed) -> String {
    let Passed { number, whose, name, kind, fault } = passed;
    format!("{number} {whose} {} {name} {}\n", kind.name(), fault.map_or("-", Fault::name))
}

fn parse(line: &str, number: u64) -> Option<Passed> {
    let mut words = line.split(' ');
    let is_number = words.next()?.parse::<u64>().ok()? == number;
    let whose = words.next()?.parse().ok()?;
    let kind = words.next()?;
    let kind = Kind::ALL.into_iter().find(|k| k.name() == kind)?;
    let name = kept(words.next()?);
    let fault = match words.next()? {
        "-" => None,
        said => Some(Fault::ALL.into_iter().find(|f| f.name() == said)?),
    };
    (is_number && words.next().is_none()).then_some(Passed { number, whose, name, kind, fault })
}

/// What a process has passed, by its trace. A last line without an end is left out: the process ended within
/// it.
///
/// # Errors
/// There is none, or it is not that of one process: a second one appended to it, or a line is missing.
pub fn read_trace(path: &Path) -> Result<Vec<Passed>, TraceError> {
    let file = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(cause) => return Err(TraceError::Unreadable { file, cause }),
    };
    let lines = text.split_inclusive('\n').filter_map(|l| l.strip_suffix('\n'));
    let mut all = Vec::new();
    for (line, found) in (1..).zip(lines) {
        let passed = parse(found, line);
        let found = || found.to_string();
        all.push(passed.ok_or_else(|| TraceError::Line {
            file: file.clone(),
            line,
            found: found(),
        })?);
    }
    Ok(all)
}
