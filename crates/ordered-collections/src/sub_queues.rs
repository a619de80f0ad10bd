//! Sub-queues with a common order of arrival.

use std::collections::BTreeMap;
use std::hash::Hash;

use rustc_hash::FxHashMap;

/// A position in the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(i64);

/// Sub-queues of items with a common order of arrival. An empty sub-queue uses no memory.
#[derive(Clone, Debug)]
pub struct SubQueues<K, T> {
    sub_queues: FxHashMap<K, BTreeMap<Ticket, T>>,
    first: i64,
    last: i64,
}

impl<K: Eq + Hash + Copy + Ord, T: Copy> Default for SubQueues<K, T> {
    fn default() -> Self {
        Self { sub_queues: FxHashMap::default(), first: 0, last: 0 }
    }
}

impl<K: Eq + Hash + Copy + Ord, T: Copy> SubQueues<K, T> {
    /// Returns a new ticket after all others.
    pub fn back_ticket(&mut self) -> Ticket {
        self.last += 1;
        Ticket(self.last)
    }

    /// Returns a new ticket before all others.
    pub fn front_ticket(&mut self) -> Ticket {
        self.first -= 1;
        Ticket(self.first)
    }

    /// Inserts an item into a sub-queue at the position of its ticket.
    pub fn put(&mut self, sub_queue: K, ticket: Ticket, item: T) {
        self.sub_queues.entry(sub_queue).or_default().insert(ticket, item);
    }

    /// Removes the item with this ticket from a sub-queue and returns it; `None` if there is none.
    pub fn take(&mut self, sub_queue: K, ticket: Ticket) -> Option<T> {
        let queue = self.sub_queues.get_mut(&sub_queue)?;
        let item = queue.remove(&ticket);
        if queue.is_empty() {
            self.sub_queues.remove(&sub_queue);
        }
        item
    }

    /// Returns the first item of a sub-queue after the ticket `after`; without a ticket, the first
    /// item.
    pub fn next(&self, sub_queue: K, after: Option<Ticket>) -> Option<(Ticket, T)> {
        let queue = self.sub_queues.get(&sub_queue)?;
        match after {
            None => queue.first_key_value(),
            Some(ticket) => {
                let range = (std::ops::Bound::Excluded(ticket), std::ops::Bound::Unbounded);
                queue.range(range).next()
            }
        }
        .map(|(ticket, item)| (*ticket, *item))
    }

    /// Returns the keys of the sub-queues that are not empty, in ascending order.
    pub fn sub_queues(&self) -> Vec<K> {
        let mut sub_queues: Vec<K> = self.sub_queues.keys().copied().collect();
        sub_queues.sort_unstable();
        sub_queues
    }

    /// Returns whether all sub-queues are empty.
    pub fn is_empty(&self) -> bool {
        self.sub_queues.is_empty()
    }
}
