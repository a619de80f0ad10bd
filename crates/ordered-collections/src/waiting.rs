//! Who came first, in each of many lanes and over all of them.

use std::collections::BTreeMap;
use std::hash::Hash;

use rustc_hash::FxHashMap;

/// A place in the one order of arrival that goes through all lanes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Turn(i64);

/// Lanes of waiting items with one order of arrival through all. A lane that is empty costs nothing.
#[derive(Clone, Debug)]
pub struct Waiting<L, T> {
    lanes: FxHashMap<L, BTreeMap<Turn, T>>,
    first: i64,
    last: i64,
}

impl<L: Eq + Hash + Copy + Ord, T: Copy> Default for Waiting<L, T> {
    fn default() -> Self {
        Self { lanes: FxHashMap::default(), first: 0, last: 0 }
    }
}

impl<L: Eq + Hash + Copy + Ord, T: Copy> Waiting<L, T> {
    /// The next turn behind all others.
    pub fn last(&mut self) -> Turn {
        self.last += 1;
        Turn(self.last)
    }

    /// The next turn before all others.
    pub fn first(&mut self) -> Turn {
        self.first -= 1;
        Turn(self.first)
    }

    /// Puts an item into a lane at its turn.
    pub fn put(&mut self, lane: L, turn: Turn, item: T) {
        self.lanes.entry(lane).or_default().insert(turn, item);
    }

    /// Takes the item of this turn out of a lane; `None` if it is not there.
    pub fn take(&mut self, lane: L, turn: Turn) -> Option<T> {
        let queue = self.lanes.get_mut(&lane)?;
        let item = queue.remove(&turn);
        if queue.is_empty() {
            self.lanes.remove(&lane);
        }
        item
    }

    /// The first item of a lane that comes after `turn`, or its very first.
    pub fn next(&self, lane: L, after: Option<Turn>) -> Option<(Turn, T)> {
        let queue = self.lanes.get(&lane)?;
        match after {
            None => queue.first_key_value(),
            Some(turn) => {
                let behind = (std::ops::Bound::Excluded(turn), std::ops::Bound::Unbounded);
                queue.range(behind).next()
            }
        }
        .map(|(turn, item)| (*turn, *item))
    }

    /// The lanes in which something waits, in their own order.
    pub fn lanes(&self) -> Vec<L> {
        let mut lanes: Vec<L> = self.lanes.keys().copied().collect();
        lanes.sort_unstable();
        lanes
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }
}
