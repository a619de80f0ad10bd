//! The least of many keys, kept while keys change: a tournament tree (Knuth, The Art of Computer Programming, vol. 3,
//! 5.4.1).

use rustc_hash::FxHashMap;

/// A key: the lesser first number wins, of equals the lesser second one, of those the lesser slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64, pub u64);

impl Key {
    /// The key of a slot that does not take part.
    pub const OUT: Key = Key(u64::MAX, u64::MAX);

    /// A key that orders as `first` does, NaN like infinity.
    pub fn of(first: f64, second: u64) -> Self {
        let bits = if first.is_nan() { f64::INFINITY.to_bits() } else { first.to_bits() };
        // With all bits of negative numbers flipped, and the sign bit of others, bits order as
        // numbers do.
        Key(if bits >> 63 == 1 { !bits } else { bits | 1 << 63 }, second)
    }
}

/// Slots with keys, and which of them has the least. Changing a key costs O(log n), asking for the
/// least O(1), where n is the most slots that took part at once. Slots that take no part use no
/// memory, however high their numbers.
#[derive(Clone, Debug, Default)]
pub struct TournamentTree {
    /// The key of each leaf; a vacant one has [`Key::OUT`].
    keys: Vec<Key>,
    /// The slot of each leaf.
    slots: Vec<u32>,
    /// The winning leaf of each match; that of nodes `2*i` and `2*i + 1` is at `i`, leaves begin at
    /// `keys.len()`.
    tree: Vec<u32>,
    leaf_of: FxHashMap<u32, u32>,
    vacant: Vec<u32>,
    /// Leaves below this number were used before.
    first_unused: u32,
}

/// A tree of more leaves than this gives its memory back when the last slot leaves it.
const RETAINED_LEAVES: usize = 64;

impl TournamentTree {
    /// The key of a slot.
    pub fn get(&self, slot: usize) -> Key {
        self.leaf(slot).map_or(Key::OUT, |leaf| self.keys[leaf as usize])
    }

    /// Gives a slot a key; [`Key::OUT`] takes it out.
    ///
    /// # Panics
    /// The slot's number is over `u32::MAX`.
    pub fn set(&mut self, slot: usize, key: Key) {
        match self.leaf(slot) {
            Some(leaf) if key == Key::OUT => self.remove(slot, leaf),
            Some(leaf) if self.keys[leaf as usize] != key => self.replay(leaf, key),
            None if key != Key::OUT => {
                let leaf = self.insert(slot);
                self.replay(leaf, key);
            }
            _ => {}
        }
    }

    /// The slot with the least key, and the key; `None` when no slot takes part.
    pub fn best(&self) -> Option<(Key, usize)> {
        let leaf = *self.tree.get(1)? as usize;
        let key = self.keys[leaf];
        (key != Key::OUT).then_some((key, self.slots[leaf] as usize))
    }

    /// The same without some slots. Costs O(log n) for each of them.
    pub fn best_without(&mut self, slots: &[usize]) -> Option<(Key, usize)> {
        let leaves: Vec<u32> = slots.iter().filter_map(|slot| self.leaf(*slot)).collect();
        let mut keys = Vec::with_capacity(leaves.len());
        for &leaf in &leaves {
            keys.push(self.keys[leaf as usize]);
            self.replay(leaf, Key::OUT);
        }
        let best = self.best();
        // In reverse: of a slot that is named twice, the key stored second is already [`Key::OUT`].
        for (leaf, key) in leaves.into_iter().zip(keys).rev() {
            self.replay(leaf, key);
        }
        best
    }

    /// Whether no slot takes part.
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
        self.replay(leaf, Key::OUT);
        self.leaf_of.remove(&(slot as u32));
        self.vacant.push(leaf);
        if self.leaf_of.is_empty() && self.keys.len() > RETAINED_LEAVES {
            *self = Self::default();
        }
    }

    /// Gives a leaf its key and plays its matches again.
    fn replay(&mut self, leaf: u32, key: Key) {
        self.keys[leaf as usize] = key;
        let mut node = (self.keys.len() + leaf as usize) / 2;
        while node > 0 {
            let (a, b) = (self.tree[2 * node], self.tree[2 * node + 1]);
            let won = self.better(a, b);
            // The same leaf wins with the same key: nothing changes further up.
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
        self.keys.resize(leaves, Key::OUT);
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
