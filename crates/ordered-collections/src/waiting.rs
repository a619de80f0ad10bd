//! Many queues with one order of arrival over all of them.

use std::collections::BTreeMap;
use std::hash::Hash;

use rustc_hash::FxHashMap;

/// A position in the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(i64);

/// Sub-queues of items with one order of arrival over all. An empty sub-queue costs nothing.
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
    /// A new ticket behind all others.
    pub fn back_ticket(&mut self) -> Ticket {
        self.last += 1;
        Ticket(self.last)
    }

    /// A new ticket before all others.
    pub fn front_ticket(&mut self) -> Ticket {
        self.first -= 1;
        Ticket(self.first)
    }

    /// Puts an item into a sub-queue, at the position of its ticket.
    pub fn put(&mut self, sub_queue: K, ticket: Ticket, item: T) {
        self.sub_queues.entry(sub_queue).or_default().insert(ticket, item);
    }

    /// Takes the item with this ticket out of a sub-queue; `None` if it is not there.
    pub fn take(&mut self, sub_queue: K, ticket: Ticket) -> Option<T> {
        let queue = self.sub_queues.get_mut(&sub_queue)?;
        let item = queue.remove(&ticket);
        if queue.is_empty() {
            self.sub_queues.remove(&sub_queue);
        }
        item
    }

    /// The first item of a sub-queue behind the ticket `after`, or the first of all.
    pub fn next(&self, sub_queue: K, after: Option<Ticket>) -> Option<(Ticket, T)> {
        let queue = self.sub_queues.get(&sub_queue)?;
        match after {
            None => queue.first_key_value(),
            Some(ticket) => {
                let behind = (std::ops::Bound::Excluded(ticket), std::ops::Bound::Unbounded);
                queue.range(behind).next()
            }
        }
        .map(|(ticket, item)| (*ticket, *item))
    }

    /// The sub-queues that are not empty, in the order of their keys.
    pub fn sub_queues(&self) -> Vec<K> {
        let mut sub_queues: Vec<K> = self.sub_queues.keys().copied().collect();
        sub_queues.sort_unstable();
        sub_queues
    }

    /// Whether all sub-queues are empty.
    pub fn is_empty(&self) -> bool {
        self.sub_queues.is_empty()
    }
}
