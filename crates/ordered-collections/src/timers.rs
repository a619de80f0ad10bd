//! Timers for many slots, at most one pending timer for each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The pending timers, at most one for each slot. The caller chooses the unit of times.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(i64, usize)>>,
    /// The pending time of each slot; `i64::MAX` for none.
    pending: Vec<i64>,
}

impl Timers {
    /// Sets the timer of a slot to `at`. An earlier pending timer remains: a caller that is notified
    /// too early sets the timer again.
    pub fn set(&mut self, slot: usize, at: i64) {
        if slot >= self.pending.len() {
            self.pending.resize(slot + 1, i64::MAX);
        }
        if at < self.pending[slot] {
            self.pending[slot] = at;
            self.heap.push(Reverse((at, slot)));
        }
    }

    /// Removes the earliest timer if it is due by `now`, and returns its slot.
    pub fn due(&mut self, now: i64) -> Option<usize> {
        while let Some(&Reverse((at, slot))) = self.heap.peek() {
            if at > now {
                return None;
            }
            self.heap.pop();
            if self.pending[slot] == at {
                self.pending[slot] = i64::MAX;
                return Some(slot);
            }
        }
        None
    }
}
