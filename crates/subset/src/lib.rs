//! Which part of a large fleet one balancer of a bank keeps links to: an arc of a ring of cells in each zone,
//! round a point that only the balancer's own number decides.
//!
//! Whole cells are taken, so that a repeat that is bound to the cell of its first attempt finds all of it. Points
//! are multiples of the golden ratio: any run of numbers lies evenly on the ring (the three-distance theorem), and
//! nobody's point moves when the bank grows. Cells stand at their rank, so that arcs of one length hold equally
//! many; one cell more or fewer moves an arc's two ends and nothing else. What leaves the arc lingers for as long
//! as a repeat may be bound to it. `docs/design/scale.md` weighs the other ways.
//!
//! Pure: time and lists in, members out. Times and spans are in the caller's unit.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

const GOLDEN: f64 = 0.618_033_988_749_895;

/// How large a subset is to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// So many times this balancer's even part of each zone's upstreams. Upstreams are then linked to by about so
    /// many balancers. Below 1 some would get nothing.
    pub times: f64,
    /// And so many upstreams of each zone at least, where there are.
    pub least: usize,
    /// What leaves the subset stays for so long: the longest window in which a repeat is bound to its group.
    pub linger: i64,
    /// Once fewer than this share of the subset can be sent to, it is doubled, until so many can again.
    pub well: f64,
}

impl Size {
    /// What `times` is where nothing else is said.
    pub fn usual_times() -> f64 {
        4.0
    }

    /// What `least` is where nothing else is said.
    pub fn usual_least() -> usize {
        64
    }
}

impl Default for Size {
    fn default() -> Self {
        let (times, least) = (Self::usual_times(), Self::usual_least());
        Self { times, least, linger: 10_000_000, well: 0.5 }
    }
}

/// Why a size is none.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SizeError {
    /// Upstreams would be left with no balancer.
    #[error(
        "a subset of {0} times the even part leaves upstreams out; expected 1 or more, 4 is usual"
    )]
    Times(f64),
    /// Nothing is so well.
    #[error("a share of {0} that is well; expected 0 to 1, 0.5 is usual")]
    Well(f64),
    /// Time does not go back.
    #[error("lingers for {0}; expected the longest window of a class, 0 or more")]
    Linger(i64),
}

/// The bank and this balancer in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cluster {
    /// Balancers in it, this one included; at least 1.
    pub balancers: u32,
    /// This one's number, from 0.
    pub position: u32,
}

/// Where an upstream belongs; the same at every balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cell {
    /// Its zone.
    pub zone: u32,
    /// Its cell there.
    pub cell: u32,
}

/// A balancer's subset, as lists and time go on.
#[derive(Clone, Debug)]
pub struct Subset {
    size: Size,
    cluster: Cluster,
    /// Upstreams of each cell that can be sent to, by the list.
    cells: BTreeMap<Cell, usize>,
    /// Cells in the subset; until when, where they only linger.
    held: FxHashMap<Cell, Option<i64>>,
    /// Doublings while too little of it is well.
    doubled: u32,
}

impl Subset {
    /// Of a bank, with nothing listed yet.
    ///
    /// # Errors
    /// A size that can't be: see [`SizeError`].
    pub fn new(size: Size, cluster: Cluster) -> Result<Self, SizeError> {
        if !(size.times.is_finite() && size.times >= 1.0) {
            return Err(SizeError::Times(size.times));
        }
        if !(0.0..=1.0).contains(&size.well) {
            return Err(SizeError::Well(size.well));
        }
        if size.linger < 0 {
            return Err(SizeError::Linger(size.linger));
        }
        let cluster = Cluster { balancers: cluster.balancers.max(1), ..cluster };
        Ok(Self { size, cluster, cells: BTreeMap::new(), held: FxHashMap::default(), doubled: 0 })
    }

    /// The cells of the whole fleet, one entry an upstream that can be sent to. Says whether the subset changed.
    pub fn listed(&mut self, now: i64, upstreams: impl IntoIterator<Item = Cell>) -> bool {
        self.cells.clear();
        for cell in upstreams {
            *self.cells.entry(cell).or_default() += 1;
        }
        self.draw(now)
    }

    /// The bank has another size. Says whether the subset changed.
    pub fn cluster(&mut self, now: i64, balancers: u32) -> bool {
        self.cluster.balancers = balancers.max(1);
        self.draw(now)
    }

    /// How many upstreams of the subset there are, and how many of them can be sent to. Where a subset is down or
    /// silent though the list still names it, it grows; it shrinks again once half of it would do. Says whether the
    /// subset changed.
    pub fn seen(&mut self, now: i64, all: usize, well: usize) -> bool {
        let share = if all == 0 { 1.0 } else { well as f64 / all as f64 };
        let covers_all = self.held.len() >= self.cells.len();
        if share < self.size.well && !covers_all {
            self.doubled += 1;
        } else if self.doubled > 0 && share > 1.0 - self.size.well / 2.0 {
            self.doubled -= 1;
        }
        self.draw(now)
    }

    /// Lets what has lingered for long enough go. Says whether the subset changed.
    pub fn passed(&mut self, now: i64) -> bool {
        let before = self.held.len();
        self.held.retain(|_, until| until.is_none_or(|until| now < until));
        self.held.len() != before
    }

    /// Whether upstreams of a cell are in the subset.
    pub fn holds(&self, cell: Cell) -> bool {
        self.held.contains_key(&cell)
    }

    /// How many cells are.
    pub fn cells(&self) -> usize {
        self.held.len()
    }

    /// Draws the arc of each zone anew.
    fn draw(&mut self, now: i64) -> bool {
        let mut drawn: FxHashMap<Cell, ()> = FxHashMap::default();
        let mut zones: BTreeMap<u32, Vec<(u64, Cell, usize)>> = BTreeMap::new();
        for (cell, upstreams) in &self.cells {
            zones.entry(cell.zone).or_default().push((scatter(*cell), *cell, *upstreams));
        }
        for ring in zones.values_mut() {
            ring.sort_unstable();
            for cell in self.arc(ring) {
                drawn.insert(cell, ());
            }
        }
        let mut changed = false;
        for cell in drawn.keys() {
            changed |= self.held.insert(*cell, None).is_none();
        }
        let linger = now.saturating_add(self.size.linger);
        for (cell, until) in &mut self.held {
            if !drawn.contains_key(cell) {
                until.get_or_insert(linger);
            }
        }
        self.passed(now) || changed
    }

    /// The cells from this balancer's point on to both sides, until there are enough upstreams.
    fn arc(&self, ring: &[(u64, Cell, usize)]) -> Vec<Cell> {
        let n = ring.len();
        let all: usize = ring.iter().map(|(_, _, upstreams)| upstreams).sum();
        let even = all as f64 / f64::from(self.cluster.balancers);
        let most = 2f64.powi(self.doubled.min(30) as i32);
        let enough = (even * self.size.times).max(self.size.least as f64) * most;
        let point = (f64::from(self.cluster.position) * GOLDEN).fract() * n as f64;
        // The cell that the point lies in first, then by turns the next on the nearer side.
        let middle = point as usize % n;
        let up_first = point.fract() >= 0.5;
        let (mut up, mut down, mut got) = (0, 0, ring[middle].2);
        let mut taken = vec![ring[middle].1];
        while (got as f64) < enough && taken.len() < n {
            let upward = if up == down { up_first } else { up < down };
            let at = if upward {
                up += 1;
                (middle + up) % n
            } else {
                down += 1;
                (middle + n - down % n) % n
            };
            taken.push(ring[at].1);
            got += ring[at].2;
        }
        taken
    }
}

/// Scatters cells over the ring, so that neighbours in number, which often share a rack, are none here: the
/// finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn scatter(cell: Cell) -> u64 {
    let mut z =
        (u64::from(cell.zone) << 32 | u64::from(cell.cell)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
