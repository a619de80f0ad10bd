//! Entries of the endpoint list.

use super::time::Time;

/// The caller's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// State of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Live,
    /// Finishes what it has; gets nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of its name that is the same at every balancer.
    pub identity: u64,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When it last started, if not long ago.
    pub started: Option<Time>,
    /// Classes that are kept from it: bit i is class i's. Counts where the settings are [`Settings::barring`](crate::interface::Settings::barring).
    pub barred: u64,
}

impl Member {
    /// A live upstream of zone, kind and cell 0 and of size 1, started long ago.
    pub fn live(id: ServerId) -> Self {
        Self {
            id,
            identity: u64::from(id.0),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            started: None,
            barred: 0,
        }
    }
}

/// What kind of list event came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Update,
    /// The whole list.
    Complete,
    /// The whole list as last held, perhaps out of date.
    Restored,
    /// A list call failed or the subscription broke.
    Unavailable,
    /// Changed entries that the list did not tell: operators', or the caller's own. They say nothing of the
    /// subscription. Failure: told as an update, they passed for its first word, and it was never asked for.
    Aside,
}

impl ListKind {
    /// Whether whoever is left out stays as they were.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Update | Self::Aside)
    }
}
