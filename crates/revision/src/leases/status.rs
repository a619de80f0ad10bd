//! The status of the leases for operators: the generation, and the nodes that are present and missing. Nothing is
//! decided by the status.

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
    /// The generation that the balancer acts on.
    pub generation: Generation,
    /// The balancer, and the nodes below it that have recently reported this generation.
    pub present: NodeSet,
    /// The nodes at and below the balancer that hold the agreed fallback policy.
    pub fallback_holders: NodeSet,
    /// The fallback policy that the balancer follows without a lease: the mandatory fallback until the balancer knows
    /// the policy of its earlier incarnations.
    pub fallback_policy: Arc<FallbackPolicy>,
    /// At the leader: the nodes that have not recently reported this generation, and since when on the leader's clock.
    pub missing: Vec<(NodeId, Duration)>,
}

impl Leases {
    /// Returns the status for operators.
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
