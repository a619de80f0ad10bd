//! The dissemination tree of learners: the leader is its root, a node has at most eight children, and every node
//! that knows the leader and the voters computes the same tree.

use hollowpaddle_peer_transport::NodeId;

use crate::split_mix;
use crate::voter_set::VoterSet;

/// Largest number of children of a node in the tree.
pub const MAX_CHILDREN: usize = 8;

/// A hash of the node id, so that nodes with neighbouring numbers, which often share a rack, are far from each other
/// in the tree.
fn hash(node: NodeId) -> u64 {
    split_mix::finalize(u64::from(node.0).wrapping_add(split_mix::GOLDEN_GAMMA))
}

/// All nodes in the order of the tree: the leader, the other voters, and everybody else, each by a hash of their
/// node ids. The parent of position `p` is at position `(p - 1) / 8`.
pub fn order(cluster: u16, voter_set: &VoterSet, leader: Option<NodeId>) -> Vec<NodeId> {
    let voters = &voter_set.voters;
    let leader = leader.filter(|leader| voters.contains(leader));
    let mut nodes: Vec<NodeId> = (0..cluster).map(NodeId).collect();
    nodes.extend(voters.iter().filter(|voter| voter.0 >= cluster));
    nodes.sort_unstable_by_key(|node| {
        (Some(*node) != leader, !voters.contains(node), hash(*node), *node)
    });
    nodes
}

/// The parent of the node at this position of the order; `None` for the root.
pub fn parent(order: &[NodeId], position: usize) -> Option<NodeId> {
    let parent = position.checked_sub(1)? / MAX_CHILDREN;
    order.get(parent).copied()
}
