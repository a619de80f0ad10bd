//! Upstreams that lists have removed, remembered by name so that an older list does not bring them back.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

/// How many removed upstreams are remembered by name. Once one is forgotten, no list that is older than its removal adds
/// unknown upstreams.
pub(super) const MAX_REMEMBERED: usize = 4096;

/// Names of removed upstreams, with the version of the list that removed them.
#[derive(Default)]
pub(super) struct Departed {
    pub(super) versions: FxHashMap<Arc<str>, u64>,
    /// The same in the order of removal.
    pub(super) order: VecDeque<(Arc<str>, u64)>,
    /// An unknown upstream that an older list than this names is gone: a complete list left it out, or its removal is
    /// forgotten.
    floor: u64,
}

impl Departed {
    /// Notes a complete list of this version, which removes all that it leaves out.
    pub(super) fn raise_floor(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }

    /// Whether an unknown upstream on a list of this version was removed since.
    pub(super) fn was_removed_after(&self, name: &str, revision: u64) -> bool {
        revision < self.floor || self.versions.get(name).is_some_and(|at| revision < *at)
    }

    /// Whether this name is remembered.
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
