//! The choice of a learner's source: the parent in the dissemination tree or, while the parent is silent or
//! disconnected from the leader, another node.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::{Learner, LearnerAction, MAX_LEADER_AGE, SOURCE_TIMEOUT};
use crate::learner_tree::{tree_order, tree_parent};
use crate::message::MessageBody;

/// Time after which a learner returns from another source to its parent in the tree.
const TREE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Largest reported age of a known leader, in milliseconds.
const MAX_AGE_MS: u128 = 1 << 30;

impl Learner {
    /// Returns the time since the leader was last known to lead, in milliseconds.
    pub(super) fn leader_age_ms(&self) -> u32 {
        if self.is_replica_connected {
            return 0;
        }
        let Some(seen_at) = self.leader_seen_at else { return u32::MAX };
        self.now.saturating_sub(seen_at).as_millis().min(MAX_AGE_MS) as u32
    }

    /// Computes the dissemination tree for the current leader and voters.
    pub(super) fn update_tree(&mut self, actions: &mut Vec<LearnerAction>) {
        self.tree_order = tree_order(self.config.cluster_size, &self.voter_set, self.leader);
        if self.source_changes == 0 {
            self.set_source(self.tree_source(), actions);
        }
    }

    pub(super) fn learn_leader(
        &mut self,
        leader: Option<NodeId>,
        actions: &mut Vec<LearnerAction>,
    ) {
        if leader.is_some() && leader != self.leader {
            self.leader = leader;
            self.source_changes = 0;
            self.update_tree(actions);
        }
    }

    /// Returns the position of this node in the tree.
    fn tree_position(&self) -> usize {
        let is_self = |node: &NodeId| *node == self.config.node_id;
        self.tree_order.iter().position(is_self).unwrap_or(self.tree_order.len())
    }

    /// Returns the parent of this node in the tree.
    pub(super) fn tree_source(&self) -> Option<NodeId> {
        tree_parent(&self.tree_order, self.tree_position())
    }

    fn set_source(&mut self, source: Option<NodeId>, actions: &mut Vec<LearnerAction>) {
        if source == self.source {
            return;
        }
        self.source = source;
        self.source_active_at = self.now;
        self.source_since = self.now;
        self.polled_at = None;
        actions.push(LearnerAction::Source(source));
    }

    /// Returns the nodes that are voters or nearer to the root than this node, except this node and its source.
    pub(super) fn alternative_sources(&self) -> Vec<NodeId> {
        let voters = self.voter_set.voters.len();
        let nearer = self.tree_position().max(voters).min(self.tree_order.len());
        let is_other = |node: &NodeId| *node != self.config.node_id && Some(*node) != self.source;
        self.tree_order.iter().take(nearer).copied().filter(is_other).collect()
    }

    /// Changes to a random other source that does not learn from this node.
    fn change_source(&mut self, actions: &mut Vec<LearnerAction>) {
        self.source_changes = self.source_changes.saturating_add(1);
        let mut candidates = self.alternative_sources();
        candidates.retain(|node| !self.children.contains_key(node));
        let chosen = self.sample(candidates.len());
        let next = candidates.get(chosen).copied().or(self.source);
        self.source_active_at = self.now;
        self.source_since = self.now;
        self.set_source(next, actions);
    }

    /// Changes the source on behalf of the leases, unless the source was chosen recently, since a new source needs time
    /// to answer.
    pub(super) fn on_change_source(&mut self, unwanted: NodeId, actions: &mut Vec<LearnerAction>) {
        let is_settled = self.has_passed(self.source_since, SOURCE_TIMEOUT);
        if self.source == Some(unwanted) && is_settled {
            self.change_source(actions);
        }
    }

    /// Changes a source that is silent or disconnected from the leader, and returns to the parent in the tree after
    /// [`TREE_RETRY_INTERVAL`].
    pub(super) fn check_source(&mut self, actions: &mut Vec<LearnerAction>) {
        let is_root = self.is_replica_connected && self.leader == Some(self.config.node_id);
        if is_root {
            self.source_changes = 0;
            self.set_source(None, actions);
            return;
        }
        let is_silent = self.has_passed(self.source_active_at, SOURCE_TIMEOUT);
        let is_stale = !self.is_replica_connected
            && self.has_passed(self.source_since, MAX_LEADER_AGE)
            && self.leader_age_ms() > MAX_LEADER_AGE.as_millis() as u32;
        let has_none = self.source.is_none() && self.tree_order.len() > 1;
        if is_silent || is_stale || has_none {
            self.change_source(actions);
        } else if self.source_changes > 0 && self.has_passed(self.source_since, TREE_RETRY_INTERVAL)
        {
            self.source_changes = 0;
            self.source_since = self.now;
            self.set_source(self.tree_source(), actions);
        }
    }

    pub(super) fn poll_source(&mut self, actions: &mut Vec<LearnerAction>) {
        self.polled_at = Some(self.now);
        let Some(source) = self.source else { return };
        let body = MessageBody::LearnerPoll {
            index: self.last_index(),
            offset: self.snapshot.offset(),
            checksum: self.snapshot.checksum(),
        };
        self.send(source, body, actions);
    }

    /// Requests the next bytes of the snapshot from a node other than the source, so that several nodes share the load
    /// of a snapshot. The nodes take turns. Returns whether there is such a node.
    pub(super) fn request_chunk_from_other(&mut self, actions: &mut Vec<LearnerAction>) -> bool {
        let others = self.alternative_sources();
        self.other_requests = self.other_requests.wrapping_add(1);
        let turn = self.other_requests % others.len().max(1);
        let Some(other) = others.get(turn).copied() else { return false };
        self.polled_at = Some(self.now);
        let body = MessageBody::SnapshotChunkRequest {
            offset: self.snapshot.offset(),
            checksum: self.snapshot.checksum(),
        };
        self.send(other, body, actions);
        true
    }
}
