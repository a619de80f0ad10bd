//! Identifiers of sessions, idempotency keys, cells, zones and ownerships. The only logic is the order of epochs.

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// A user session: the hash of its cookie `sid` (PROTOCOL, 'Clients to balancers').
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// The hash of an `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(pub u64);

impl IdempotencyKey {
    pub(crate) const MIN: Self = Self(0);
    pub(crate) const MAX: Self = Self(u64::MAX);
}

/// A cell, by its number in the agreed revision. The upstreams of a cell drop each other's repeated requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell(pub u16);

/// Stands for an unknown cell. A cell that has this number is never sent a repeated keyed request.
pub(crate) const UNKNOWN_CELL: Cell = Cell(u16::MAX);

/// A zone, by its number in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// The number of one ownership of a record. Each ownership has a higher epoch than all earlier ones of the record.
///
/// The upper 32 bits are the version of the ownership table under which the ownership began. A balancer that has lost
/// its state is not in that table until a newer version names its new incarnation, so its next ownership has a higher
/// epoch than the lost one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the lowest epoch under a version of the ownership table.
    pub(crate) const fn of_table(version: u64) -> Self {
        Self(version << 32)
    }

    /// Returns the next higher epoch.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The entry of one balancer in the ownership table that the cluster has agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerSlot {
    /// The balancer.
    pub node: NodeId,
    /// The balancer's incarnation. A process that has restarted has no slot until a table names its new incarnation.
    pub incarnation: Incarnation,
    /// The balancer's zone.
    pub zone: Zone,
    /// The version of the table that introduced the slot; all later versions up to the present one contain it. A
    /// balancer that was missing from a version and returns gets a new slot, since other balancers may have taken over
    /// its sessions.
    pub since: u64,
}
