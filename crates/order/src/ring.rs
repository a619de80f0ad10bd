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
        let (mut out, mut into) = (out.to_vec(), into.to_vec());
        out.sort_unstable();
        into.sort_unstable();
        into.dedup();
        let Some(first) = out.first().into_iter().chain(into.first()).min() else { return };
        let unchanged = self.places.partition_point(|place| place < first);
        let tail = self.places.split_off(unchanged);
        self.places.reserve(tail.len() + into.len());
        let mut into = into.into_iter().peekable();
        for place in tail {
            while let Some(new) = into.next_if(|new| *new < place) {
                self.places.push(new);
            }
            let stays = into.next_if_eq(&place).is_some() || out.binary_search(&place).is_err();
            if stays {
                self.places.push(place);
            }
        }
        self.places.extend(into);
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
