//! A growing table that never moves its items.
//!
//! A vector copies all of its items when it grows, which for a large fleet takes several
//! milliseconds within one event.

use std::ops::{Index, IndexMut};

/// Items in one allocation.
const CHUNK: usize = 128;

/// Items by number, in allocations of equal size.
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
    /// How many items there are.
    pub(crate) fn len(&self) -> usize {
        match self.chunks.split_last() {
            Some((last, full)) => full.len() * CHUNK + last.len(),
            None => 0,
        }
    }

    /// Adds an item behind all others.
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

    fn index(&self, number: usize) -> &T {
        &self.chunks[number / CHUNK][number % CHUNK]
    }
}

impl<T> IndexMut<usize> for Chunked<T> {
    fn index_mut(&mut self, number: usize) -> &mut T {
        &mut self.chunks[number / CHUNK][number % CHUNK]
    }
}
