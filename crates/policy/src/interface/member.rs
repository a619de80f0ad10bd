//! Entries of the endpoint list.

use super::time::Time;

/// The caller's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Status of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The upstream accepts requests.
    Live,
    /// The upstream finishes its requests in flight and must not be sent new ones.
    Draining,
    /// The upstream has been withdrawn.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's handle for the upstream.
    pub id: ServerId,
    /// Hash of the name of the upstream, the same at every balancer.
    pub identity: u64,
    /// Zone of the upstream.
    pub zone: u32,
    /// Machine type of the upstream.
    pub machine_type: u32,
    /// Cell of the upstream.
    pub cell: u32,
    /// Status of the upstream.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When the upstream last started; `None` if that is long ago.
    pub started: Option<Time>,
    /// Classes whose requests must not be sent to the upstream: bit i stands for class i. Ignored
    /// without [`Settings::bars_classes`](crate::interface::Settings::bars_classes).
    pub barred_classes: u64,
}

impl Member {
    /// Creates an entry for a live upstream of zone, machine type and cell 0 and of size 1, which
    /// started long ago.
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
    /// Discovery has sent entries that have changed.
    Update,
    /// Discovery has sent the complete list.
    Complete,
    /// The complete list was restored from storage and may be out of date.
    Restored,
    /// A call for the list failed, or the subscription ended.
    Unavailable,
    /// Operators or the caller, and not discovery, have changed entries. Unlike an update, this does
    /// not show that the subscription is open.
    LocalChange,
}

impl ListKind {
    /// Returns whether upstreams that the event does not name remain unchanged.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Update | Self::LocalChange)
    }
}
