//! Deterministic subsetting: which part of a large fleet one balancer of a cluster connects to. It is an arc of a ring of cells
//! in each zone, around a point that only the balancer's own number decides.
//!
//! An arc consists of complete cells, so that a retry that is bound to the cell of its first attempt finds all of it. Points
//! are multiples of the golden ratio: any run of numbers is spread evenly over the ring (the three-distance theorem), and no
//! balancer's point moves when the cluster grows. Cells stand at their rank, so that arcs of one length hold equally many;
//! one cell more or fewer moves the two ends of an arc and nothing else. A cell that leaves the arc lingers for as long as a
//! retry may be bound to it. `docs/design/scale.md` compares the alternatives.
//!
//! Pure: time and lists in, members out. Times and spans are in the unit of the caller.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// The fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Default of [`Size::linger`]: 10 s in microseconds.
const DEFAULT_LINGER: i64 = 10_000_000;
/// Default of [`Size::min_healthy_share`].
const DEFAULT_MIN_HEALTHY_SHARE: f64 = 0.5;
/// Bound on the exponent of the doublings, beyond which every subset holds the whole fleet.
const MAX_DOUBLINGS: u32 = 30;

/// The size of a subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Multiple of this balancer's even part of each zone's upstreams, which is about the number of balancers that connect to
    /// each upstream. Below 1 some would get no requests.
    pub times: f64,
    /// The least number of upstreams of each zone, where there are that many.
    pub min_upstreams: usize,
    /// How long a cell that leaves the subset stays: the longest window in which a retry is bound to its group.
    pub linger: i64,
    /// The subset is doubled while less than this share of it can be sent to.
    pub min_healthy_share: f64,
}

impl Size {
    /// The default of `times`.
    pub fn default_times() -> f64 {
        4.0
    }

    /// The default of `least`.
    pub fn default_min_upstreams() -> usize {
        64
    }
}

impl Default for Size {
    fn default() -> Self {
        let (times, min_upstreams) = (Self::default_times(), Self::default_min_upstreams());
        Self {
            times,
            min_upstreams,
            linger: DEFAULT_LINGER,
            min_healthy_share: DEFAULT_MIN_HEALTHY_SHARE,
        }
    }
}

/// Why a size can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SizeError {
    /// Some upstreams would have no balancer.
    #[error(
        "a subset of {0} times the even part leaves upstreams out; expected 1 or more, 4 is usual"
    )]
    Times(f64),
    /// The share of healthy upstreams is none.
    #[error("a share of {0} that is well; expected 0 to 1, 0.5 is usual")]
    HealthyShare(f64),
    /// The span is negative.
    #[error("lingers for {0}; expected the longest window of a class, 0 or more")]
    Linger(i64),
}

/// The cluster of balancers, and this balancer in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cluster {
    /// The number of balancers, this one included; at least 1.
    pub balancers: u32,
    /// The number of this balancer, from 0.
    pub position: u32,
}

/// The cell of an upstream, the same at every balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cell {
    /// The zone.
    pub zone: u32,
    /// The cell within the zone.
    pub cell: u32,
}

/// A cell on the ring of its zone, in the order of the ring.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingEntry {
    hash: u64,
    cell: Cell,
    /// Its upstreams that can be sent to.
    upstreams: usize,
}

/// A balancer's subset, which changes with lists and time.
#[derive(Clone, Debug)]
pub struct Subset {
    size: Size,
    cluster: Cluster,
    /// The number of upstreams of each cell that can be sent to, by the list.
    cells: BTreeMap<Cell, usize>,
    /// The cells in the subset, and until when those stay that have left the arc.
    members: FxHashMap<Cell, Option<i64>>,
    /// How often the subset was doubled since too little of it was healthy.
    doublings: u32,
}

impl Subset {
    /// An empty subset of a fleet that is not known yet.
    ///
    /// # Errors
    /// The size can't be used.
    pub fn new(size: Size, cluster: Cluster) -> Result<Self, SizeError> {
        if !(size.times.is_finite() && size.times >= 1.0) {
            return Err(SizeError::Times(size.times));
        }
        if !(0.0..=1.0).contains(&size.min_healthy_share) {
            return Err(SizeError::HealthyShare(size.min_healthy_share));
        }
        if size.linger < 0 {
            return Err(SizeError::Linger(size.linger));
        }
        let cluster = Cluster { balancers: cluster.balancers.max(1), ..cluster };
        Ok(Self {
            size,
            cluster,
            cells: BTreeMap::new(),
            members: FxHashMap::default(),
            doublings: 0,
        })
    }

    /// Replaces the fleet by the cells of all upstreams that can be sent to, one entry each. Returns whether the subset changed.
    pub fn set_fleet(&mut self, now: i64, upstreams: impl IntoIterator<Item = Cell>) -> bool {
        self.cells.clear();
        for cell in upstreams {
            *self.cells.entry(cell).or_default() += 1;
        }
        self.recompute(now)
    }

    /// Changes the number of balancers. Returns whether the subset changed.
    pub fn set_balancers(&mut self, now: i64, balancers: u32) -> bool {
        self.cluster.balancers = balancers.max(1);
        self.recompute(now)
    }

    /// Takes in that `healthy` of `all` upstreams of the subset can be sent to. Returns whether the subset changed.
    ///
    /// A subset that is down or silent though the list still names it grows. It shrinks again once half of it would do.
    pub fn set_health(&mut self, now: i64, all: usize, healthy: usize) -> bool {
        let share = if all == 0 { 1.0 } else { healthy as f64 / all as f64 };
        let covers_all = self.members.len() >= self.cells.len();
        if share < self.size.min_healthy_share && !covers_all {
            self.doublings += 1;
        } else if self.doublings > 0 && share > 1.0 - self.size.min_healthy_share / 2.0 {
            self.doublings -= 1;
        }
        self.recompute(now)
    }

    /// Removes cells that have lingered for long enough. Returns whether the subset changed.
    pub fn expire(&mut self, now: i64) -> bool {
        let before = self.members.len();
        self.members.retain(|_, until| until.is_none_or(|until| now < until));
        self.members.len() != before
    }

    /// Whether the upstreams of a cell are in the subset.
    pub fn contains(&self, cell: Cell) -> bool {
        self.members.contains_key(&cell)
    }

    /// The number of cells in the subset.
    pub fn cell_count(&self) -> usize {
        self.members.len()
    }

    /// Computes the arc of each zone anew. Returns whether the subset changed.
    fn recompute(&mut self, now: i64) -> bool {
        let mut in_arcs: FxHashMap<Cell, ()> = FxHashMap::default();
        let mut rings: BTreeMap<u32, Vec<RingEntry>> = BTreeMap::new();
        for (cell, upstreams) in &self.cells {
            let entry = RingEntry { hash: hash(*cell), cell: *cell, upstreams: *upstreams };
            rings.entry(cell.zone).or_default().push(entry);
        }
        for ring in rings.values_mut() {
            ring.sort_unstable();
            for cell in self.arc(ring) {
                in_arcs.insert(cell, ());
            }
        }
        let mut changed = false;
        for cell in in_arcs.keys() {
            changed |= self.members.insert(*cell, None).is_none();
        }
        let linger = now.saturating_add(self.size.linger);
        for (cell, until) in &mut self.members {
            if !in_arcs.contains_key(cell) {
                until.get_or_insert(linger);
            }
        }
        self.expire(now) || changed
    }

    /// The cells from this balancer's point outwards to both sides, until they have enough upstreams.
    fn arc(&self, ring: &[RingEntry]) -> Vec<Cell> {
        let cell_count = ring.len();
        let all: usize = ring.iter().map(|entry| entry.upstreams).sum();
        let even_part = all as f64 / f64::from(self.cluster.balancers);
        let factor = 2f64.powi(self.doublings.min(MAX_DOUBLINGS) as i32);
        let enough = (even_part * self.size.times).max(self.size.min_upstreams as f64) * factor;
        let point = (f64::from(self.cluster.position) * GOLDEN_RATIO).fract() * cell_count as f64;
        // The cell at the point first, then in turns the next one on either side, the nearer side first.
        let middle = point as usize % cell_count;
        let up_first = point.fract() >= 0.5;
        let (mut up, mut down) = (0, 0);
        let mut upstreams = ring[middle].upstreams;
        let mut cells = vec![ring[middle].cell];
        while (upstreams as f64) < enough && cells.len() < cell_count {
            let goes_up = if up == down { up_first } else { up < down };
            let index = if goes_up {
                up += 1;
                (middle + up) % cell_count
            } else {
                down += 1;
                (middle + cell_count - down % cell_count) % cell_count
            };
            cells.push(ring[index].cell);
            upstreams += ring[index].upstreams;
        }
        cells
    }
}

/// The place of a cell on the ring: neighbours in number, which often share a rack, must not be neighbours there. The
/// finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn hash(cell: Cell) -> u64 {
    let mut z =
        (u64::from(cell.zone) << 32 | u64::from(cell.cell)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
