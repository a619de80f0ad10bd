//! Names of zones and machine types, held once however many upstreams carry them.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};

/// Distinct names that one list may bring. The largest deployment in sight has 11 zones and 1,300 machine types.
/// Without a bound a list of ever new names would be held as many strings.
pub const MAX_DISTINCT_NAMES: usize = 16_384;
/// Length of such a name in bytes. Without a bound the number of names would bound no memory.
pub const MAX_NAME_LENGTH: usize = 256;

/// Hands out one shared copy of each name of a list.
#[derive(Default)]
pub struct NameInterner {
    names: FxHashSet<Arc<str>>,
}

impl NameInterner {
    /// The shared copy of `name`.
    ///
    /// A name beyond [`MAX_DISTINCT_NAMES`] or [`MAX_NAME_LENGTH`] becomes the empty one, which no settings define: its
    /// upstream counts as one of an unknown zone or machine type.
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

/// The names that the settings define, each with its index there.
pub struct NameTable {
    names: Vec<Arc<str>>,
    indices: FxHashMap<Arc<str>, u32>,
    unknown: Arc<str>,
}

impl NameTable {
    /// A table of these names. Of a name that occurs twice the first index counts.
    pub fn new(names: &[String]) -> Self {
        let names: Vec<Arc<str>> = names.iter().map(|name| name.as_str().into()).collect();
        let mut indices = FxHashMap::default();
        for (index, name) in names.iter().enumerate() {
            indices.entry(name.clone()).or_insert(index as u32);
        }
        Self { names, indices, unknown: Arc::default() }
    }

    /// The index of `name`; of one that the settings don't define, the first index that no name has.
    pub fn index(&self, name: &str) -> u32 {
        self.indices.get(name).copied().unwrap_or(self.names.len() as u32)
    }

    /// The name at `index`, or the empty one.
    pub fn name(&self, index: u32) -> &Arc<str> {
        self.names.get(index as usize).unwrap_or(&self.unknown)
    }
}

#[cfg(test)]
mod tests;
