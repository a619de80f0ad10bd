//! The agreed ownership table: who has a slot, and who owns the record of a session in each zone. What was lost with
//! those who lost their slots is tracked in [`lost_owners`](crate::lost_owners).

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

    /// The table without the slots of a zone.
    pub fn without(&self, zone: Zone, version: u64) -> Self {
        let others = self.slots.values().filter(|slot| slot.zone != zone);
        Self::new(version, &others.copied().collect::<Vec<OwnerSlot>>())
    }

    /// The slot of a node.
    pub fn slot(&self, node: NodeId) -> Option<&OwnerSlot> {
        self.slots.get(&node)
    }

    /// All slots, in the order of their nodes.
    pub fn slots(&self) -> impl Iterator<Item = &OwnerSlot> + '_ {
        self.slots.values()
    }

    /// The zone of a node that has a slot.
    pub fn zone_of(&self, node: NodeId) -> Option<Zone> {
        self.slots.get(&node).map(|slot| slot.zone)
    }

    /// Whether the table has exactly this slot.
    pub fn has(&self, slot: &OwnerSlot) -> bool {
        self.slots.get(&slot.node) == Some(slot)
    }

    /// The slots in a zone.
    pub fn in_zone(&self, zone: Zone) -> &[OwnerSlot] {
        self.zones.get(&zone).map_or(&[], Vec::as_slice)
    }

    /// All zones.
    pub fn zones(&self) -> impl Iterator<Item = Zone> + '_ {
        self.zones.keys().copied()
    }

    /// Of two nodes in a zone, whether one ranks before the other as the owner of a session's record.
    pub fn ranks_before(session: SessionId, one: NodeId, other: NodeId) -> bool {
        owner_rank(session, one) > owner_rank(session, other)
    }

    /// The owner of a session's record in a zone.
    pub fn owner(&self, session: SessionId, zone: Zone) -> Option<NodeId> {
        let nodes = self.in_zone(zone).iter().map(|slot| slot.node);
        nodes.max_by_key(|node| owner_rank(session, *node))
    }

    /// The other nodes of a zone, in the order in which they replicate the keys that its owner itself sends.
    pub fn replicas(&self, session: SessionId, zone: Zone, owner: NodeId) -> Vec<NodeId> {
        let nodes = self.in_zone(zone).iter().map(|slot| slot.node);
        let mut replicas: Vec<NodeId> = nodes.filter(|node| *node != owner).collect();
        replicas.sort_by_key(|node| Reverse(owner_rank(session, *node)));
        replicas
    }
}

/// The owner of a session in a zone is the node of the highest rank.
fn owner_rank(session: SessionId, node: NodeId) -> (u64, NodeId) {
    (score(Candidates::Owners, session, node.0), node)
}

/// Whether zone `one` precedes `other` when both claim a session at the same time. The order is total, and differs by
/// session.
pub(crate) fn precedes(session: SessionId, one: Zone, other: Zone) -> bool {
    let rank = |zone: Zone| (score(Candidates::Zones, session, zone.0), zone);
    rank(one) > rank(other)
}
