//! Entries of the endpoint list.

use super::time::Time;

/// The caller's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Status of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes requests.
    Live,
    /// It finishes what it has and must be sent nothing new.
    Draining,
    /// It has been withdrawn.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of its name, the same at every balancer.
    pub identity: u64,
    /// Its zone.
    pub zone: u32,
    /// Its machine type.
    pub machine_type: u32,
    /// Its cell.
    pub cell: u32,
    /// Its status.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started: Option<Time>,
    /// Classes that it must not be sent: bit i stands for class i. Counts only with
    /// [`Settings::bars_classes`](crate::interface::Settings::bars_classes).
    pub barred_classes: u64,
}

impl Member {
    /// A live upstream of zone, machine type and cell 0 and of size 1, started long ago.
    pub fn live(id: ServerId) -> Self {
        Self {
            id,
            identity: u64::from(id.0),
            zone: 0,
            machine_type: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            started: None,
            barred_classes: 0,
        }
    }
}

/// The kind of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Entries that have changed.
    Update,
    /// The complete list.
    Complete,
    /// The complete list as it was stored, perhaps out of date.
    Restored,
    /// A call for the list failed, or the subscription ended.
    Unavailable,
    /// Entries that were changed by operators or the caller, not by discovery. Unlike an update,
    /// they do not show that the subscription is open.
    LocalChange,
}

impl ListKind {
    /// Whether upstreams that the event does not name stay as they were.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Update | Self::LocalChange)
    }
}
