//! When each of many slots is to be looked at again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One pending time a slot, the earliest that was asked for; times are whatever the caller counts in.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(i64, usize)>>,
    /// The pending time of each slot; `i64::MAX` for none.
    pending: Vec<i64>,
}

impl Timers {
    /// Asks for a slot to be looked at by `at`. Where an earlier time is pending already, that one stays: who is
    /// looked at too early asks again.
    pub fn set(&mut self, slot: usize, at: i64) {
        if slot >= self.pending.len() {
            self.pending.resize(slot + 1, i64::MAX);
        }
        if at < self.pending[slot] {
            self.pending[slot] = at;
            self.heap.push(Reverse((at, slot)));
        }
    }

    /// Takes the first slot whose time has come.
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
