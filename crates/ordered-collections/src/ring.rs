//! Who stands where among its like: a sorted list in parts.

/// A place: its part, its name within, and the slot that stands there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Parts are ranked apart from one another.
    pub part: u32,
    /// Orders the places of one part.
    pub name: u64,
    /// Whose place it is.
    pub slot: usize,
}

/// Places in order. A few changes cost a search and a move of memory each; more cost one
/// pass over the places.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    places: Vec<Place>,
    /// The parts that have places, in order, and where each begins.
    parts: Vec<(u32, usize)>,
}

/// So many changes at once are searched and moved one by one; more are merged in one pass over the places.
const FEW: usize = 4;
/// The table grows by this part of itself at least.
const GROWTH: usize = 8;

impl Ring {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The place at this index.
    pub fn at(&self, index: usize) -> Place {
        self.places[index]
    }

    /// All places of a part, as a range of indexes.
    pub fn part(&self, part: u32) -> std::ops::Range<usize> {
        let at = self.parts.partition_point(|p| p.0 < part);
        let begin = |at: usize| self.parts.get(at).map_or(self.places.len(), |p| p.1);
        let there = self.parts.get(at).is_some_and(|p| p.0 == part);
        begin(at)..begin(at + usize::from(there))
    }

    /// The index of a place, if it is there.
    pub fn find(&self, place: Place) -> Option<usize> {
        self.places.binary_search(&place).ok()
    }

    /// Takes places out, and others in. What is not there is not taken out; nothing is there twice.
    pub fn change(&mut self, out: &[Place], into: &[Place]) {
        self.change_places(out, into);
        self.parts.clear();
        let mut from = 0;
        while let Some(part) = self.places.get(from).map(|p| p.part) {
            self.parts.push((part, from));
            from += self.places[from..].partition_point(|p| p.part == part);
        }
    }

    fn change_places(&mut self, out: &[Place], into: &[Place]) {
        if out.len() + into.len() <= FEW {
            return self.change_one_by_one(out, into);
        }
        self.remove_all(out);
        self.insert_all(into);
    }

    fn remove_all(&mut self, out: &[Place]) {
        let mut out = out.to_vec();
        out.sort_unstable();
        let Some(first) = out.first() else { return };
        let unchanged = self.places.partition_point(|place| place < first);
        let mut out = out.into_iter().peekable();
        let mut kept = unchanged;
        for at in unchanged..self.places.len() {
            let place = self.places[at];
            while out.next_if(|gone| *gone < place).is_some() {}
            if out.peek() != Some(&place) {
                self.places[kept] = place;
                kept += 1;
            }
        }
        self.places.truncate(kept);
    }

    /// Merges from the last place to the first, so that each moves once.
    fn insert_all(&mut self, into: &[Place]) {
        let mut into = into.to_vec();
        into.sort_unstable();
        into.dedup();
        into.retain(|place| self.find(*place).is_none());
        let Some(&filler) = into.first() else { return };
        let mut left = self.places.len();
        if self.places.capacity() < left + into.len() {
            self.places.reserve_exact(into.len().max(left / GROWTH));
        }
        self.places.resize(left + into.len(), filler);
        let mut at = self.places.len();
        while let Some(&new) = into.last() {
            at -= 1;
            if left > 0 && self.places[left - 1] > new {
                left -= 1;
                self.places[at] = self.places[left];
            } else {
                self.places[at] = new;
                into.pop();
            }
        }
    }

    fn change_one_by_one(&mut self, out: &[Place], into: &[Place]) {
        for place in out {
            if let Ok(at) = self.places.binary_search(place) {
                self.places.remove(at);
            }
        }
        for place in into {
            if let Err(at) = self.places.binary_search(place) {
                self.places.insert(at, *place);
            }
        }
    }
}
