//! What a start uses of the endpoint list that the process before it had last, until discovery delivers one. Pure
//! functions; reading the stored list is left to the state store.

use std::time::Duration;

use hollowpaddle_recovery::{RestoredState, Trust, trust};
use rustc_hash::FxHashSet;

use crate::members::{List, Phase};

/// A stored list, as far as it applies.
#[derive(Debug)]
pub struct RestoredList {
    /// Entries, under the version of the list over which they are laid: whatever discovery delivers is newer.
    pub list: List,
    /// Whether the list counts as complete: an upstream that it leaves out is gone.
    pub whole: bool,
}

/// What applies of the list that discovery delivered `age` ago, over the list `known` to the configuration; `None` where
/// that is as new, or the stored one is too old. `now` is Unix time.
pub fn restored_list(
    stored: &List,
    known: &List,
    age: Duration,
    now: Duration,
) -> Option<RestoredList> {
    if stored.revision <= known.revision && !known.members.is_empty() {
        return None;
    }
    let whole = match trust(RestoredState::EndpointList, age) {
        Trust::Full => true,
        Trust::Cautious => false,
        Trust::None => return None,
    };
    let mut list = List { revision: known.revision, complete: whole, ..stored.clone() };
    if !whole {
        mark_newcomers_as_just_started(&mut list, known, now);
    }
    Some(RestoredList { list, whole })
}

/// Upstreams that the old list alone names may be gone or replaced: they are warmed up as if they had just started.
fn mark_newcomers_as_just_started(list: &mut List, known: &List, now: Duration) {
    let known_ids: FxHashSet<&str> = known.members.iter().map(|m| &*m.id).collect();
    for entry in &mut list.members {
        if entry.phase == Phase::Serving && !known_ids.contains(&*entry.id) {
            entry.up_since_ms = now.as_secs_f64() * 1e3;
        }
    }
}

#[cfg(test)]
mod tests;
