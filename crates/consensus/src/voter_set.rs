//! The set of voters, its majorities, and the changes of the set by entries of the log.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::entry::EntryPayload;

/// Largest number of voters, including those that are joining or leaving.
pub const MAX_VOTERS: usize = 16;

/// The voters. A change takes effect when its entry is committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// The nodes that vote.
    pub voters: BTreeSet<NodeId>,
    /// The node that joins next, in place of a removed voter.
    pub joining: Option<NodeId>,
    /// Number of the entry that last changed the set; 0 for the configured voters.
    pub changed_at: u64,
}

impl VoterSet {
    /// Creates the set of the configured voters.
    pub fn of(voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters = voters.into_iter().take(MAX_VOTERS).collect();
        Self { voters, joining: None, changed_at: 0 }
    }

    /// Whether a node is a voter, or joins next.
    pub fn has(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.joining == Some(node)
    }

    /// Returns the number of voters in the smallest majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters among these nodes are a majority.
    pub fn is_majority<'a>(&self, nodes: impl IntoIterator<Item = &'a NodeId>) -> bool {
        nodes.into_iter().filter(|node| self.voters.contains(node)).count() >= self.majority()
    }

    /// Whether a voter may be removed and replaced by `replacement`, in a cluster of `cluster_size` nodes.
    pub fn allows_replacement(
        &self,
        removed: NodeId,
        replacement: Option<NodeId>,
        cluster_size: u16,
    ) -> bool {
        let can_join = |node: NodeId| node.0 < cluster_size && !self.voters.contains(&node);
        self.voters.contains(&removed) && self.voters.len() > 1 && replacement.is_none_or(can_join)
    }

    /// Applies the entry with this number.
    pub fn apply(&mut self, op: u64, payload: &EntryPayload) {
        match payload {
            EntryPayload::Command(_) => return,
            EntryPayload::RemoveVoter { removed, replacement } => {
                self.voters.remove(removed);
                self.joining = *replacement;
            }
            EntryPayload::AddVoter(node) => {
                if self.voters.len() < MAX_VOTERS {
                    self.voters.insert(*node);
                }
                self.joining = None;
            }
        }
        self.changed_at = op;
    }
}

/// Returns the default voters of a cluster: 5 voters for up to 100 nodes and 7 voters beyond, evenly spaced over the
/// node ids.
pub fn default_voters(cluster_size: u16) -> Vec<NodeId> {
    let count = if cluster_size > 100 { 7 } else { 5.min(cluster_size) };
    let spaced = |position| u32::from(position) * u32::from(cluster_size) / u32::from(count.max(1));
    (0..count).map(|position| NodeId(spaced(position) as u16)).collect()
}
