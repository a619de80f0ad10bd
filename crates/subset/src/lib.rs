//! Deterministic subsetting: determines the subset of many upstreams to which one balancer of a cluster connects. In each zone
//! the subset is an arc of a ring of cells, around a point that depends only on the balancer's own number.
//!
//! An arc consists of complete cells, so that a retry that is bound to the cell of its first attempt finds the whole cell.
//! Points are multiples of the golden ratio: consecutive numbers are spread evenly over the ring (the three-distance theorem),
//! and no balancer's point moves when the cluster grows. Cells are placed by their rank, so that arcs of the same length
//! contain the same number of cells. An additional or removed cell moves only the two ends of an arc. A cell that leaves the
//! arc lingers in the subset for as long as a retry may be bound to the cell. `docs/design/scale.md` compares the alternatives.
//!
//! The package does no I/O: it takes the time and the endpoint lists, and returns the members of the subset. Times and spans
//! are in the unit of the caller.
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
/// Largest exponent of the doublings. Beyond it, every subset contains all upstreams.
const MAX_DOUBLINGS: u32 = 30;

/// The size of a subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Size of the subset, as a multiple of this balancer's even share of each zone's upstreams. It is about the number of
    /// balancers that connect to each upstream. Below 1 some upstreams would get no requests.
    pub times: f64,
    /// Smallest number of upstreams of each zone, if the zone has that many.
    pub min_upstreams: usize,
    /// How long a cell lingers in the subset after it has left the arc: the longest window in which a retry is bound to its
    /// group.
    pub linger: i64,
    /// The subset is doubled while less than this share of its upstreams can be sent to.
    pub min_healthy_share: f64,
}

impl Size {
    /// Returns the default of `times`.
    pub fn default_times() -> f64 {
        4.0
    }

    /// Returns the default of `min_upstreams`.
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

/// An invalid size.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SizeError {
    /// The multiple is too small, so that some upstreams would have no balancer.
    #[error(
        "a subset of {0} times the even share leaves upstreams out; expected 1 or more, the default is 4"
    )]
    Times(f64),
    /// The share of healthy upstreams is not between 0 and 1.
    #[error("a share of {0} of healthy upstreams; expected 0 to 1, the default is 0.5")]
    HealthyShare(f64),
    /// The lingering time is negative.
    #[error("a lingering time of {0}; expected the longest window of a class, 0 or more")]
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

/// The cell of an upstream, which is the same for all balancers.
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
    /// Number of the cell's upstreams that can be sent to.
    upstreams: usize,
}

/// A balancer's subset, which changes with the endpoint lists and with time.
#[derive(Clone, Debug)]
pub struct Subset {
    size: Size,
    cluster: Cluster,
    /// The number of upstreams of each cell that can be sent to, according to the list.
    cells: BTreeMap<Cell, usize>,
    /// The cells in the subset; for a cell that has left the arc, the time until which the cell lingers.
    members: FxHashMap<Cell, Option<i64>>,
    /// Number of times that the subset is doubled at present, because too few of its upstreams were healthy.
    doublings: u32,
}

impl Subset {
    /// Creates an empty subset, before any upstreams are known.
    ///
    /// # Errors
    /// The size is invalid.
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

    /// Replaces the upstreams by those that can be sent to, given as one cell for each upstream. Returns whether the subset
    /// changed.
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

    /// Records that `healthy` of `all` upstreams of the subset can be sent to. Returns whether the subset changed.
    ///
    /// The subset grows if too many of its upstreams are down or silent although the list names them. It shrinks again once
    /// half of the subset would suffice.
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

    /// Removes the cells whose lingering time has passed. Returns whether the subset changed.
    pub fn expire(&mut self, now: i64) -> bool {
        let before = self.members.len();
        self.members.retain(|_, until| until.is_none_or(|until| now < until));
        self.members.len() != before
    }

    /// Returns whether the upstreams of a cell are in the subset.
    pub fn contains(&self, cell: Cell) -> bool {
        self.members.contains_key(&cell)
    }

    /// Returns the number of cells in the subset.
    pub fn cell_count(&self) -> usize {
        self.members.len()
    }

    /// Recomputes the arc of each zone. Returns whether the subset changed.
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

    /// Returns the cells of the arc: from this balancer's point outwards to both sides, until they have enough upstreams.
    fn arc(&self, ring: &[RingEntry]) -> Vec<Cell> {
        let cell_count = ring.len();
        let all: usize = ring.iter().map(|entry| entry.upstreams).sum();
        let even_share = all as f64 / f64::from(self.cluster.balancers);
        let factor = 2f64.powi(self.doublings.min(MAX_DOUBLINGS) as i32);
        let enough = (even_share * self.size.times).max(self.size.min_upstreams as f64) * factor;
        let point = (f64::from(self.cluster.position) * GOLDEN_RATIO).fract() * cell_count as f64;
        // The arc begins with the cell at the point. Then the next cells on both sides alternate, the nearer side first.
        let middle = point as usize % cell_count;
        let up_first = point.fract() >= 0.5;
        let (mut up, mut down) = (0, 0);
        let mut upstreams = ring[middle].upstreams;
        let mut cells = vec![ring[middle].cell];
        while (upstreams as f64) < enough && cells.len() < cell_count {
            let is_up = if up == down { up_first } else { up < down };
            let index = if is_up {
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

/// Returns the hash of a cell, which determines its place on the ring: cells with neighbouring numbers, which often share a
/// rack, must not be neighbours on the ring. Uses the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
fn hash(cell: Cell) -> u64 {
    let mut z =
        (u64::from(cell.zone) << 32 | u64::from(cell.cell)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
