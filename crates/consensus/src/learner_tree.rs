//! Who learns from whom: a tree with the leader at its root and eight children at most, the same at
//! everybody that knows the leader and the council.

use hollowpaddle_peer_transport::NodeId;

use crate::message::VoterSet;

/// Children of one member.
pub const MAX_CHILDREN: usize = 8;

fn rank(member: NodeId) -> u64 {
    // The finalizer of SplitMix64: neighbours by number, which stand side by side, come far from each other.
    let mut z = u64::from(member.0).wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// All balancers in the tree's order: the leader, the other voters, everybody else; by a hash of their
/// numbers, so that a site or a row of machines is no branch. The parent of place p is that of place (p -
/// 1) / 8.
pub fn order(cluster: u16, members: &VoterSet, leader: Option<NodeId>) -> Vec<NodeId> {
    let leader = leader.filter(|l| members.voters.contains(l));
    let mut all: Vec<NodeId> = (0..cluster).map(NodeId).collect();
    all.extend(members.voters.iter().filter(|m| m.0 >= cluster));
    all.sort_unstable_by_key(|m| (Some(*m) != leader, !members.voters.contains(m), rank(*m), *m));
    all
}

/// From whom the one at this place learns first.
pub fn parent(order: &[NodeId], place: usize) -> Option<NodeId> {
    place.checked_sub(1).and_then(|p| order.get(p / MAX_CHILDREN)).copied()
}
