//! The dissemination tree of learners. The leader is the root, a node has at most eight children, and all nodes that
//! know the same leader and voters compute the same tree.

use hollowpaddle_peer_transport::NodeId;

use crate::split_mix;
use crate::voter_set::VoterSet;

/// Largest number of children of a node in the tree.
pub const MAX_CHILDREN: usize = 8;

/// Returns a hash of the node id, so that nodes with adjacent ids, which often share a rack, are far apart in the tree.
fn hash(node: NodeId) -> u64 {
    split_mix::finalize(u64::from(node.0).wrapping_add(split_mix::GOLDEN_GAMMA))
}

/// Returns all nodes in the order of the tree: the leader, the other voters, and then the other nodes, each group
/// ordered by a hash of the node ids. The parent of position `p` is at position `(p - 1) / 8`.
pub fn tree_order(cluster_size: u16, voter_set: &VoterSet, leader: Option<NodeId>) -> Vec<NodeId> {
    let voters = &voter_set.voters;
    let leader = leader.filter(|leader| voters.contains(leader));
    let mut nodes: Vec<NodeId> = (0..cluster_size).map(NodeId).collect();
    nodes.extend(voters.iter().filter(|voter| voter.0 >= cluster_size));
    nodes.sort_unstable_by_key(|node| {
        (Some(*node) != leader, !voters.contains(node), hash(*node), *node)
    });
    nodes
}

/// Returns the parent of the node at this position of the order; `None` for the root.
pub fn tree_parent(order: &[NodeId], position: usize) -> Option<NodeId> {
    let parent = position.checked_sub(1)? / MAX_CHILDREN;
    order.get(parent).copied()
}
