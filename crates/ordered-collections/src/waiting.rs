//! Who came first, in each of many lanes and over all of them.

use std::collections::BTreeMap;
use std::hash::Hash;

use rustc_hash::FxHashMap;

/// A place in the one order of arrival that goes through all lanes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(i64);

/// Lanes of waiting items with one order of arrival through all. A lane that is empty costs nothing.
#[derive(Clone, Debug)]
pub struct Waiting<K, T> {
    sub_queues: FxHashMap<K, BTreeMap<Ticket, T>>,
    first: i64,
    last: i64,
}

impl<K: Eq + Hash + Copy + Ord, T: Copy> Default for Waiting<K, T> {
    fn default() -> Self {
        Self { sub_queues: FxHashMap::default(), first: 0, last: 0 }
    }
}

impl<K: Eq + Hash + Copy + Ord, T: Copy> Waiting<K, T> {
    /// The next turn behind all others.
    pub fn back_ticket(&mut self) -> Ticket {
        self.last += 1;
        Ticket(self.last)
    }

    /// The next turn before all others.
    pub fn front_ticket(&mut self) -> Ticket {
        self.first -= 1;
        Ticket(self.first)
    }

    /// Puts an item into a lane at its turn.
    pub fn put(&mut self, sub_queue: K, turn: Ticket, item: T) {
        self.sub_queues.entry(sub_queue).or_default().insert(turn, item);
    }

    /// Takes the item of this turn out of a lane; `None` if it is not there.
    pub fn take(&mut self, sub_queue: K, turn: Ticket) -> Option<T> {
        let queue = self.sub_queues.get_mut(&sub_queue)?;
        let item = queue.remove(&turn);
        if queue.is_empty() {
            self.sub_queues.remove(&sub_queue);
        }
        item
    }

    /// The first item of a lane that comes after `turn`, or its very first.
    pub fn next(&self, sub_queue: K, after: Option<Ticket>) -> Option<(Ticket, T)> {
        let queue = self.sub_queues.get(&sub_queue)?;
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
    pub fn sub_queues(&self) -> Vec<K> {
        let mut sub_queues: Vec<K> = self.sub_queues.keys().copied().collect();
        sub_queues.sort_unstable();
        sub_queues
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.sub_queues.is_empty()
    }
}
