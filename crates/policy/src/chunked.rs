//! A growing table that never moves its items.
//!
//! A vector copies all of its items when it grows, which for a large fleet takes several
//! milliseconds within one event.

use std::ops::{Index, IndexMut};

/// Number of items in one allocation.
const CHUNK: usize = 128;

/// Items by index, in allocations of equal size.
#[derive(Debug)]
pub(crate) struct Chunked<T> {
    chunks: Vec<Vec<T>>,
}

impl<T> Default for Chunked<T> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<T> Chunked<T> {
    /// Returns the number of items.
    pub(crate) fn len(&self) -> usize {
        match self.chunks.split_last() {
            Some((last, full)) => full.len() * CHUNK + last.len(),
            None => 0,
        }
    }

    /// Appends an item.
    pub(crate) fn push(&mut self, item: T) {
        if self.chunks.last().is_none_or(|last| last.len() == CHUNK) {
            self.chunks.push(Vec::with_capacity(CHUNK));
        }
        if let Some(last) = self.chunks.last_mut() {
            last.push(item);
        }
    }
}

impl<T> Index<usize> for Chunked<T> {
    type Output = T;

    fn index(&self, index: usize) -> &T {
        &self.chunks[index / CHUNK][index % CHUNK]
    }
}

impl<T> IndexMut<usize> for Chunked<T> {
    fn index_mut(&mut self, index: usize) -> &mut T {
        &mut self.chunks[index / CHUNK][index % CHUNK]
    }
}
