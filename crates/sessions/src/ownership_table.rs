//! The agreed ownership table: the balancers that have a slot, and the owner of each session in each zone. Owners that
//! have lost their slots are tracked in [`lost_owners`](crate::lost_owners).

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{OwnerSlot, SessionId, Zone};
use crate::rendezvous::{Candidates, score};

/// One version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct OwnershipTable {
    pub version: u64,
    zones: BTreeMap<Zone, Vec<OwnerSlot>>,
    slots: BTreeMap<NodeId, OwnerSlot>,
}

impl OwnershipTable {
    pub fn new(version: u64, slots: &[OwnerSlot]) -> Self {
        let slots: BTreeMap<NodeId, OwnerSlot> =
            slots.iter().map(|slot| (slot.node, *slot)).collect();
        let mut zones: BTreeMap<Zone, Vec<OwnerSlot>> = BTreeMap::new();
        for slot in slots.values() {
            zones.entry(slot.zone).or_default().push(*slot);
        }
        Self { version, zones, slots }
    }

    /// Returns the table without the slots of a zone, under a new version.
    pub fn without(&self, zone: Zone, version: u64) -> Self {
        let others = self.slots.values().filter(|slot| slot.zone != zone);
        Self::new(version, &others.copied().collect::<Vec<OwnerSlot>>())
    }

    /// Returns the slot of a node.
    pub fn slot(&self, node: NodeId) -> Option<&OwnerSlot> {
        self.slots.get(&node)
    }

    /// Returns all slots, in the order of their nodes.
    pub fn slots(&self) -> impl Iterator<Item = &OwnerSlot> + '_ {
        self.slots.values()
    }

    /// Returns the zone of a node that has a slot.
    pub fn zone_of(&self, node: NodeId) -> Option<Zone> {
        self.slots.get(&node).map(|slot| slot.zone)
    }

    /// Whether the table contains exactly this slot.
    pub fn has(&self, slot: &OwnerSlot) -> bool {
        self.slots.get(&slot.node) == Some(slot)
    }

    /// Returns the slots in a zone.
    pub fn in_zone(&self, zone: Zone) -> &[OwnerSlot] {
        self.zones.get(&zone).map_or(&[], Vec::as_slice)
    }

    /// Returns all zones.
    pub fn zones(&self) -> impl Iterator<Item = Zone> + '_ {
        self.zones.keys().copied()
    }

    /// Whether node `one` ranks before node `other` of the same zone as the owner of a session's record.
    pub fn ranks_before(session: SessionId, one: NodeId, other: NodeId) -> bool {
        owner_rank(session, one) > owner_rank(session, other)
    }

    /// Returns the owner of a session's record in a zone.
    pub fn owner(&self, session: SessionId, zone: Zone) -> Option<NodeId> {
        let nodes = self.in_zone(zone).iter().map(|slot| slot.node);
        nodes.max_by_key(|node| owner_rank(session, *node))
    }

    /// Returns the nodes of a zone other than `owner`, in the order in which they replicate the keys that the owner
    /// itself sends.
    pub fn replicas(&self, session: SessionId, zone: Zone, owner: NodeId) -> Vec<NodeId> {
        let nodes = self.in_zone(zone).iter().map(|slot| slot.node);
        let mut replicas: Vec<NodeId> = nodes.filter(|node| *node != owner).collect();
        replicas.sort_by_key(|node| Reverse(owner_rank(session, *node)));
        replicas
    }
}

/// Returns the rank of a node as the owner of a session. The node of the highest rank in a zone is the owner.
fn owner_rank(session: SessionId, node: NodeId) -> (u64, NodeId) {
    (score(Candidates::Owners, session, node.0), node)
}

/// Whether zone `one` precedes zone `other` when both claim a session at the same time. The order is total, and differs
/// between sessions.
pub(crate) fn precedes(session: SessionId, one: Zone, other: Zone) -> bool {
    let rank = |zone: Zone| (score(Candidates::Zones, session, zone.0), zone);
    rank(one) > rank(other)
}
