//! Upstreams that lists have removed. Their names are remembered so that an older list does not add them again.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

/// Maximum number of removed upstreams that are remembered by name. Once a removed upstream is forgotten, lists older than
/// its removal add no unknown upstreams.
pub(super) const MAX_REMEMBERED: usize = 4096;

/// Names of removed upstreams, with the version of the list that removed them.
#[derive(Default)]
pub(super) struct Departed {
    pub(super) versions: FxHashMap<Arc<str>, u64>,
    /// Names and versions in the order of removal.
    pub(super) order: VecDeque<(Arc<str>, u64)>,
    /// Lists below this version add no unknown upstreams: a complete list of this version did not name them, or their
    /// removal may be forgotten.
    floor: u64,
}

impl Departed {
    /// Records the version of a complete list, which removes all upstreams that the list does not name.
    pub(super) fn raise_floor(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }

    /// Returns whether an unknown upstream on a list of this version was removed by a later version.
    pub(super) fn was_removed_after(&self, name: &str, revision: u64) -> bool {
        revision < self.floor || self.versions.get(name).is_some_and(|at| revision < *at)
    }

    /// Returns whether this name is remembered.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.versions.contains_key(name)
    }

    /// Remembers that a list of this version removed an upstream.
    pub(super) fn remember(&mut self, name: &Arc<str>, revision: u64) {
        let last = self.versions.entry(name.clone()).or_insert(0);
        if revision <= *last {
            return;
        }
        *last = revision;
        self.order.push_back((name.clone(), revision));
        while self.order.len() > MAX_REMEMBERED {
            let Some((name, at)) = self.order.pop_front() else { return };
            if self.versions.get(&name) == Some(&at) {
                self.versions.remove(&name);
            }
            self.floor = self.floor.max(at);
        }
    }
}
