//! The cases, one module each.

mod crowded_discovery;
mod late_datagrams;
mod pipelined_burst;
mod removed_key;
mod restarted_leader;

use std::io::Result;

use crate::Verdict;
use crate::world::World;

/// Runs a case, with or without its disruption.
pub type Case = fn(&World, bool) -> Result<Verdict>;

/// Returns the case of this name.
pub fn find(name: &str) -> Option<Case> {
    let case: Case = match name {
        "removed-key" => removed_key::run,
        "crowded-discovery" => crowded_discovery::run,
        "late-datagrams" => late_datagrams::run,
        "pipelined-burst" => pipelined_burst::run,
        "restarted-leader" => restarted_leader::run,
        _ => return None,
    };
    Some(case)
}
