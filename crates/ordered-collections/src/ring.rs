//! A sorted list that is divided into parts and finds the index of each item.

/// An item of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The part of the list. Each part is one range of indexes.
    pub part: u32,
    /// The sort key within the part.
    pub name: u64,
    /// The caller's slot for this item.
    pub slot: usize,
}

/// A sorted list of places. Each of a few changes costs a search and a move of memory; many changes
/// together cost one pass over the list.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    places: Vec<Place>,
    /// The parts that are not empty, in order, each with its first index.
    parts: Vec<(u32, usize)>,
}

/// Up to this many changes are made one by one. More changes are merged in one pass over the list.
const MAX_SINGLE_CHANGES: usize = 4;
/// The list grows by at least its length divided by this number.
const GROWTH_DIVISOR: usize = 8;

impl Ring {
    /// Returns the number of places.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there are no places.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the place at an index.
    pub fn at(&self, index: usize) -> Place {
        self.places[index]
    }

    /// Returns the range of indexes of a part.
    pub fn part(&self, part: u32) -> std::ops::Range<usize> {
        let at = self.parts.partition_point(|p| p.0 < part);
        let begin = |at: usize| self.parts.get(at).map_or(self.places.len(), |p| p.1);
        let exists = self.parts.get(at).is_some_and(|p| p.0 == part);
        begin(at)..begin(at + usize::from(exists))
    }

    /// Returns the index of a place, if the list contains it.
    pub fn find(&self, place: Place) -> Option<usize> {
        self.places.binary_search(&place).ok()
    }

    /// Removes places and adds others. Removing an absent place or adding a present one has no
    /// effect.
    pub fn change(&mut self, removed: &[Place], added: &[Place]) {
        self.change_places(removed, added);
        self.parts.clear();
        let mut from = 0;
        while let Some(part) = self.places.get(from).map(|p| p.part) {
            self.parts.push((part, from));
            from += self.places[from..].partition_point(|p| p.part == part);
        }
    }

    fn change_places(&mut self, removed: &[Place], added: &[Place]) {
        if removed.len() + added.len() <= MAX_SINGLE_CHANGES {
            return self.change_one_by_one(removed, added);
        }
        self.remove_all(removed);
        self.insert_all(added);
    }

    fn remove_all(&mut self, removed: &[Place]) {
        let mut removed = removed.to_vec();
        removed.sort_unstable();
        let Some(first) = removed.first() else { return };
        let unchanged = self.places.partition_point(|place| place < first);
        let mut removed = removed.into_iter().peekable();
        let mut retained = unchanged;
        for at in unchanged..self.places.len() {
            let place = self.places[at];
            while removed.next_if(|other| *other < place).is_some() {}
            if removed.peek() != Some(&place) {
                self.places[retained] = place;
                retained += 1;
            }
        }
        self.places.truncate(retained);
    }

    /// Merges the new places from the last to the first, so that each place moves once.
    fn insert_all(&mut self, added: &[Place]) {
        let mut added = added.to_vec();
        added.sort_unstable();
        added.dedup();
        added.retain(|place| self.find(*place).is_none());
        let Some(&filler) = added.first() else { return };
        let mut unmoved = self.places.len();
        if self.places.capacity() < unmoved + added.len() {
            self.places.reserve_exact(added.len().max(unmoved / GROWTH_DIVISOR));
        }
        self.places.resize(unmoved + added.len(), filler);
        let mut at = self.places.len();
        while let Some(&new) = added.last() {
            at -= 1;
            if unmoved > 0 && self.places[unmoved - 1] > new {
                unmoved -= 1;
                self.places[at] = self.places[unmoved];
            } else {
                self.places[at] = new;
                added.pop();
            }
        }
    }

    fn change_one_by_one(&mut self, removed: &[Place], added: &[Place]) {
        for place in removed {
            if let Ok(at) = self.places.binary_search(place) {
                self.places.remove(at);
            }
        }
        for place in added {
            if let Err(at) = self.places.binary_search(place) {
                self.places.insert(at, *place);
            }
        }
    }
}
