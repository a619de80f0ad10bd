//! What operators see of the leases: the generation, who is present and who is missing. Decides nothing.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::Leases;
use crate::fallback_policy::FallbackPolicy;
use crate::message::Generation;
use crate::node_set::NodeSet;

/// The status of one balancer's leases, for the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The generation that it acts on.
    pub generation: Generation,
    /// The nodes at and below it that were heard of recently at this generation.
    pub present: NodeSet,
    /// The nodes at and below it that hold the agreed fallback policy.
    pub fallback_holders: NodeSet,
    /// What it keeps to without a lease: the mandatory fallback until it knows which policy it held before.
    pub fallback_policy: Arc<FallbackPolicy>,
    /// At the leader: the nodes that were not heard of at this generation, and since when on its clock.
    pub missing: Vec<(NodeId, Duration)>,
}

impl Leases {
    /// The status for operators.
    pub fn status(&self) -> LeaseStatus {
        LeaseStatus {
            generation: self.generation(),
            present: self.present_nodes(),
            fallback_holders: self.fallback.holders(),
            fallback_policy: self.fallback.policy().clone(),
            missing: self.missing.iter().map(|(node, since)| (*node, *since)).collect(),
        }
    }
}
