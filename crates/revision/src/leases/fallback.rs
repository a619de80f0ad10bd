//! The fallback policy that this balancer holds, and the nodes at and below the balancer that hold the agreed fallback
//! policy.

use std::sync::Arc;

use hollowpaddle_peer_transport::NodeId;

use super::interface::{Action, LeaseConfig};
use crate::fallback_policy::FallbackPolicy;
use crate::message::Generation;
use crate::node_set::NodeSet;
use crate::rules::Rules;

/// The fallback policy that this balancer follows without a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldFallback {
    /// Whether this process knows the fallback policy that its earlier incarnations have confirmed, from the stored
    /// policy or from the log.
    is_known: bool,
    /// The generation of the policy; `None` for the mandatory fallback.
    generation: Option<Generation>,
    policy: Arc<FallbackPolicy>,
    rules: Arc<Rules>,
    /// The generation of the last persisted policy.
    persisted: Option<Generation>,
    /// The generation of the agreed fallback policy.
    agreed: Generation,
    /// The nodes at and below this balancer that hold the agreed fallback policy.
    holders: NodeSet,
}

impl HeldFallback {
    /// Returns the fallback policy of a process that has just started.
    pub(super) fn new(config: &LeaseConfig) -> Self {
        let (generation, policy) = match &config.stored {
            Some((generation, policy)) => (Some(*generation), policy),
            None => (None, &config.mandatory_fallback),
        };
        Self {
            is_known: generation.is_some(),
            generation,
            policy: Arc::new(policy.clone()),
            rules: Arc::new(Rules::from_fallback_policy(policy)),
            persisted: generation,
            agreed: Generation::default(),
            holders: NodeSet::default(),
        }
    }

    pub(super) fn policy(&self) -> &Arc<FallbackPolicy> {
        &self.policy
    }

    pub(super) fn rules(&self) -> &Arc<Rules> {
        &self.rules
    }

    /// Returns the nodes at and below this balancer that hold the agreed fallback policy.
    pub(super) fn holders(&self) -> NodeSet {
        self.holders
    }

    /// Returns the generation of the agreed fallback policy and its holders, as renewals report them.
    pub(super) fn holders_by_generation(&self) -> (Generation, NodeSet) {
        (self.agreed, self.holders)
    }

    /// Records that this process knows the fallback policy that its earlier incarnations have confirmed.
    pub(super) fn mark_known(&mut self) {
        self.is_known = true;
    }

    pub(super) fn mark_persisted(&mut self, generation: Generation) {
        self.persisted = self.persisted.max(Some(generation));
    }

    /// Adds the holders that a child reports for a generation. Holders of any generation but the agreed one are
    /// ignored.
    pub(super) fn add_holders(&mut self, generation: Generation, nodes: &NodeSet) {
        if generation == self.agreed {
            self.holders.extend(nodes);
        }
    }

    /// Adopts the agreed policy if it is later than the held policy. Counts `node_id` as a holder once the agreed
    /// policy is persisted.
    pub(super) fn adopt(
        &mut self,
        generation: Generation,
        policy: Arc<FallbackPolicy>,
        node_id: NodeId,
        actions: &mut Vec<Action>,
    ) {
        if self.is_known && self.generation < Some(generation) {
            self.replace(generation, policy, actions);
        }
        if self.agreed != generation {
            self.agreed = generation;
            self.holders = NodeSet::default();
        }
        if self.generation == Some(generation) && self.persisted >= Some(generation) {
            self.holders.insert(node_id);
        }
    }

    fn replace(
        &mut self,
        generation: Generation,
        policy: Arc<FallbackPolicy>,
        actions: &mut Vec<Action>,
    ) {
        if self.policy != policy {
            self.rules = Arc::new(Rules::from_fallback_policy(&policy));
        }
        self.generation = Some(generation);
        self.policy = policy.clone();
        if self.persisted < Some(generation) {
            actions.push(Action::PersistFallbackPolicy {
                fallback_generation: generation,
                fallback_policy: policy,
            });
        }
    }
}
