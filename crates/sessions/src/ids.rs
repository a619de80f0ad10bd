//! Identifiers of sessions, idempotency keys, places and ownerships; holds no logic but the order of epochs.

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

/// A cell: upstreams that drop each other's repeated requests, by its number in the agreed revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell(pub u16);

/// Stands for a cell that nobody knows. A cell that has this number is never sent a repeated keyed request.
pub(crate) const UNKNOWN_CELL: Cell = Cell(u16::MAX);

/// A zone, by its number in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// The ownership of a record: each one has a higher epoch than all before it.
///
/// The upper 32 bits are the version of the ownership table under which it began. A balancer that has lost its state is
/// not in that table, so an ownership that begins anew is above the lost one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The lowest epoch under a version of the ownership table.
    pub(crate) const fn of_table(version: u64) -> Self {
        Self(version << 32)
    }

    /// The next epoch.
    pub(crate) const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The entry of one balancer in the ownership table that the cluster has agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerSlot {
    /// The balancer.
    pub node: NodeId,
    /// Its incarnation. A process that has restarted has no slot until a table names its new incarnation.
    pub incarnation: Incarnation,
    /// The zone that it is in.
    pub zone: Zone,
    /// The version of the table that gave the slot; all versions since have it. A balancer that was left out and is back
    /// has a new slot, since whatever it owned may have been taken over.
    pub since: u64,
}
