//! Upstreams that lists have declared gone, remembered by name so that an older list brings none of them back.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

/// So many upstreams that were said to be gone are remembered by name. Beyond, an older list than the last word of
/// the forgotten ones brings nobody in.
pub(super) const REMEMBERED: usize = 4096;

/// Names of upstreams that are gone, with the version of the list that said so.
#[derive(Default)]
pub(super) struct Departed {
    pub(super) versions: FxHashMap<Arc<str>, u64>,
    /// The same in the order in which it was said.
    pub(super) order: VecDeque<(Arc<str>, u64)>,
    /// Whom an older list than this names, and nobody knows, is gone: a whole list left it out, or its name is
    /// forgotten.
    floor: u64,
}

impl Departed {
    /// A whole list of this version came: whom it leaves out is gone, and so is whoever an older one names alone.
    pub(super) fn raise_floor(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }

    /// Whether one that is not known had left when a list of this version was written.
    pub(super) fn had_left(&self, name: &str, revision: u64) -> bool {
        revision < self.floor || self.versions.get(name).is_some_and(|at| revision < *at)
    }

    /// Whether this name is remembered.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.versions.contains_key(name)
    }

    /// Remembers that a list of this version said that an upstream is gone.
    pub(super) fn remember(&mut self, name: &Arc<str>, revision: u64) {
        let last = self.versions.entry(name.clone()).or_insert(0);
        if revision <= *last {
            return;
        }
        *last = revision;
        self.order.push_back((name.clone(), revision));
        while self.order.len() > REMEMBERED {
            let Some((name, at)) = self.order.pop_front() else { return };
            if self.versions.get(&name) == Some(&at) {
                self.versions.remove(&name);
            }
            self.floor = self.floor.max(at);
        }
    }
}
