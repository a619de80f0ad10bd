//! A tournament tree, which finds the least of many changing keys (Knuth, The Art of Computer
//! Programming, vol. 3, 5.4.1).

use rustc_hash::FxHashMap;

/// A key of a slot. The least key wins; keys are compared by the first number, then by the second
/// number. Between equal keys, the lesser slot wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64, pub u64);

impl Key {
    /// The key of an absent slot.
    pub const ABSENT: Key = Key(u64::MAX, u64::MAX);

    /// Creates a key with the order of `first`, where NaN is ordered like infinity.
    pub fn of(first: f64, second: u64) -> Self {
        let bits = if first.is_nan() { f64::INFINITY.to_bits() } else { first.to_bits() };
        // With all bits of negative numbers and the sign bit of other numbers flipped, the bits
        // have the order of the numbers.
        Key(if bits >> 63 == 1 { !bits } else { bits | 1 << 63 }, second)
    }
}

/// Slots with keys, and the slot with the least key. Changing a key costs O(log n) and finding the
/// least key O(1), where n is the greatest number of slots that were present at the same time.
/// Absent slots use no memory, however high their numbers.
#[derive(Clone, Debug, Default)]
pub struct TournamentTree {
    /// The key of each leaf; [`Key::ABSENT`] for a vacant leaf.
    keys: Vec<Key>,
    /// The slot of each leaf.
    slots: Vec<u32>,
    /// The winning leaf of each match. The match of nodes `2*i` and `2*i + 1` is at `i`, and the
    /// leaves begin at `keys.len()`.
    tree: Vec<u32>,
    leaf_of: FxHashMap<u32, u32>,
    vacant: Vec<u32>,
    /// The first leaf that has never been used.
    first_unused: u32,
}

/// A tree with more leaves than this releases its memory when the last slot is removed.
const RETAINED_LEAVES: usize = 64;

impl TournamentTree {
    /// Returns the key of a slot.
    pub fn get(&self, slot: usize) -> Key {
        self.leaf(slot).map_or(Key::ABSENT, |leaf| self.keys[leaf as usize])
    }

    /// Sets the key of a slot; [`Key::ABSENT`] removes the slot.
    ///
    /// # Panics
    /// Panics if the slot is greater than `u32::MAX`.
    pub fn set(&mut self, slot: usize, key: Key) {
        match self.leaf(slot) {
            Some(leaf) if key == Key::ABSENT => self.remove(slot, leaf),
            Some(leaf) if self.keys[leaf as usize] != key => self.replay(leaf, key),
            None if key != Key::ABSENT => {
                let leaf = self.insert(slot);
                self.replay(leaf, key);
            }
            _ => {}
        }
    }

    /// Returns the least key and its slot; `None` if no slot is present.
    pub fn best(&self) -> Option<(Key, usize)> {
        let leaf = *self.tree.get(1)? as usize;
        let key = self.keys[leaf];
        (key != Key::ABSENT).then_some((key, self.slots[leaf] as usize))
    }

    /// Returns the least key and its slot among all slots except `slots`. Each exception costs
    /// O(log n).
    pub fn best_without(&mut self, slots: &[usize]) -> Option<(Key, usize)> {
        let leaves: Vec<u32> = slots.iter().filter_map(|slot| self.leaf(*slot)).collect();
        let mut keys = Vec::with_capacity(leaves.len());
        for &leaf in &leaves {
            keys.push(self.keys[leaf as usize]);
            self.replay(leaf, Key::ABSENT);
        }
        let best = self.best();
        // Keys are restored in reverse order: for a slot that is listed twice, the second stored
        // key is already `Key::ABSENT`.
        for (leaf, key) in leaves.into_iter().zip(keys).rev() {
            self.replay(leaf, key);
        }
        best
    }

    /// Returns whether no slot is present.
    pub fn is_empty(&self) -> bool {
        self.leaf_of.is_empty()
    }

    fn leaf(&self, slot: usize) -> Option<u32> {
        self.leaf_of.get(&u32::try_from(slot).ok()?).copied()
    }

    fn insert(&mut self, slot: usize) -> u32 {
        let slot = u32::try_from(slot).expect("slots are numbered in 32 bits");
        let leaf = self.vacant.pop().unwrap_or_else(|| {
            self.first_unused += 1;
            self.first_unused - 1
        });
        if leaf as usize >= self.keys.len() {
            self.grow(leaf as usize + 1);
        }
        self.slots[leaf as usize] = slot;
        self.leaf_of.insert(slot, leaf);
        leaf
    }

    fn remove(&mut self, slot: usize, leaf: u32) {
        self.replay(leaf, Key::ABSENT);
        self.leaf_of.remove(&(slot as u32));
        self.vacant.push(leaf);
        if self.leaf_of.is_empty() && self.keys.len() > RETAINED_LEAVES {
            *self = Self::default();
        }
    }

    /// Sets the key of a leaf, and replays the matches of the leaf.
    fn replay(&mut self, leaf: u32, key: Key) {
        self.keys[leaf as usize] = key;
        let mut node = (self.keys.len() + leaf as usize) / 2;
        while node > 0 {
            let (a, b) = (self.tree[2 * node], self.tree[2 * node + 1]);
            let won = self.better(a, b);
            // The same leaf wins with the same key, so that nothing changes further up.
            if self.tree[node] == won && won != leaf {
                return;
            }
            self.tree[node] = won;
            node /= 2;
        }
    }

    fn better(&self, a: u32, b: u32) -> u32 {
        let rank = |leaf: u32| (self.keys[leaf as usize], self.slots[leaf as usize]);
        if rank(b) < rank(a) { b } else { a }
    }

    fn grow(&mut self, least: usize) {
        let leaves = least.next_power_of_two().max(2);
        self.keys.resize(leaves, Key::ABSENT);
        self.slots.resize(leaves, 0);
        self.tree = vec![0; 2 * leaves];
        for leaf in 0..leaves {
            self.tree[leaves + leaf] = leaf as u32;
        }
        for node in (1..leaves).rev() {
            self.tree[node] = self.better(self.tree[2 * node], self.tree[2 * node + 1]);
        }
    }
}
