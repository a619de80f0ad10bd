//! Random numbers: one generator for each part of a run, all derived from the seed of the run.

use std::time::Duration;

use oorandom::Rand64;

/// A seeded random number generator.
#[derive(Debug)]
pub struct Random(Rand64);

impl Random {
    /// Creates the generator for one part of the run with this seed.
    pub fn new(seed: u64, part: u64) -> Self {
        Self(Rand64::new(u128::from(seed) << 64 | u128::from(part)))
    }

    /// Returns a fraction from 0 (included) to 1 (excluded).
    pub fn fraction(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Returns an integer from `from` (included) to `to` (excluded).
    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        self.0.rand_range(from..to)
    }

    /// Returns a duration from `from` (included) to `to` (excluded) milliseconds, in whole microseconds.
    pub fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.range(from * 1000, to * 1000))
    }

    /// Returns an element of `items`, each with the same probability.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.range(0, items.len() as u64) as usize]
    }
}
