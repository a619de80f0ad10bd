//! Names of zones and machine types, each stored once and shared between upstreams.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

/// Maximum number of distinct names in one list. The largest expected deployment has 11 zones and 1,300 machine types.
/// Without a limit, a list with a different name in each entry would store as many strings.
pub const MAX_DISTINCT_NAMES: usize = 16_384;
/// Maximum length of a name in bytes. Without a limit, the maximum number of names would not limit memory.
pub const MAX_NAME_LENGTH: usize = 256;

/// Returns one shared copy of each name of a list.
#[derive(Default)]
pub struct NameInterner {
    names: FxHashSet<Arc<str>>,
}

impl NameInterner {
    /// Returns the shared copy of `name`.
    ///
    /// A name beyond [`MAX_DISTINCT_NAMES`] or [`MAX_NAME_LENGTH`] becomes the empty name, which no settings define, so the
    /// zone or machine type of the upstream counts as unknown.
    pub fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        if name.len() > MAX_NAME_LENGTH || self.names.len() >= MAX_DISTINCT_NAMES {
            return Arc::default();
        }
        let shared: Arc<str> = name.into();
        self.names.insert(shared.clone());
        shared
    }
}

/// The names in the settings, with their indices.
pub struct NameTable {
    names: Vec<Arc<str>>,
    indices: FxHashMap<Arc<str>, u32>,
    unknown: Arc<str>,
}

impl NameTable {
    /// Creates a table of these names. A repeated name has its first index.
    pub fn new(names: &[String]) -> Self {
        let names: Vec<Arc<str>> = names.iter().map(|name| name.as_str().into()).collect();
        let mut indices = FxHashMap::default();
        for (index, name) in names.iter().enumerate() {
            indices.entry(name.clone()).or_insert(index as u32);
        }
        Self { names, indices, unknown: Arc::default() }
    }

    /// Returns the index of `name`. For a name that is not in the settings, returns the number of names in the settings.
    pub fn index(&self, name: &str) -> u32 {
        self.indices.get(name).copied().unwrap_or(self.names.len() as u32)
    }

    /// Returns the name at `index`, or the empty name if there is none.
    pub fn name(&self, index: u32) -> &Arc<str> {
        self.names.get(index as usize).unwrap_or(&self.unknown)
    }
}

#[cfg(test)]
mod tests;
