//! The endpoint list that a process uses after its start until discovery delivers one, derived from the last list of the
//! previous process. The functions are pure; the state store reads the stored list.

use std::time::Duration;

use hollowpaddle_recovery::{RestoredState, Trust, trust};
use rustc_hash::FxHashSet;

use crate::members::{List, Phase};

/// The usable part of a stored list.
#[derive(Debug)]
pub struct RestoredList {
    /// The stored entries, with the version of the configuration's list, so that any list from discovery is newer.
    pub list: List,
    /// Whether the list counts as complete, so that an upstream missing from the list is gone.
    pub is_complete: bool,
}

/// Returns the usable part of a stored list that discovery delivered `age` ago. `initial_list` is the configuration's list.
/// Returns `None` if the configuration's list is as new as the stored one, or if the stored list is too old. `now` is Unix
/// time.
pub fn restored_list(
    stored: &List,
    initial_list: &List,
    age: Duration,
    now: Duration,
) -> Option<RestoredList> {
    if stored.revision <= initial_list.revision && !initial_list.members.is_empty() {
        return None;
    }
    let is_complete = match trust(RestoredState::EndpointList, age) {
        Trust::Full => true,
        Trust::Cautious => false,
        Trust::None => return None,
    };
    let mut list =
        List { revision: initial_list.revision, complete: is_complete, ..stored.clone() };
    if !is_complete {
        mark_newcomers_as_just_started(&mut list, initial_list, now);
    }
    Some(RestoredList { list, is_complete })
}

/// Marks the upstreams that only the stored list names as just started, so that they are warmed up. These upstreams may be
/// gone or replaced by now.
fn mark_newcomers_as_just_started(list: &mut List, initial_list: &List, now: Duration) {
    let known_ids: FxHashSet<&str> = initial_list.members.iter().map(|m| &*m.id).collect();
    for entry in &mut list.members {
        if entry.phase == Phase::Serving && !known_ids.contains(&*entry.id) {
            entry.up_since_ms = now.as_secs_f64() * 1e3;
        }
    }
}

#[cfg(test)]
mod tests;
