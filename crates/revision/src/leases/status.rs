//! What operators see of the leases: who has confirmed what, and who is behind since when. Nothing is decided
//! by it.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::leases::Leases;
use crate::message::Generation;
use crate::node_set::NodeSet;

/// What the door says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The stage here.
    pub generation: Generation,
    /// Who at and under this balancer is at it, as lately heard.
    pub here: NodeSet,
    /// Whose word for the present charter has come, at and under this balancer.
    pub fallback_policy: NodeSet,
    /// What it keeps to past its lease: the bedrock, as long as it does not know which charter it held.
    pub past: std::sync::Arc<crate::fallback_policy::FallbackPolicy>,
    /// At the leader: who is not heard of at its stage, and since when it is that late (its clock).
    pub behind: Vec<(NodeId, Duration)>,
}

impl Leases {
    /// What the door says.
    pub fn seen(&self) -> LeaseStatus {
        LeaseStatus {
            generation: self.at.as_ref().map_or(Generation::default(), |(s, _)| *s),
            here: self.here(),
            fallback_policy: self.said.1,
            past: self.fallback_policy.1.clone(),
            behind: self.missing.iter().map(|(m, since)| (*m, *since)).collect(),
        }
    }

    /// Keeps since when members are not heard of at the stage.
    pub(crate) fn note_missing(&mut self) {
        let Some((_, status)) = &self.at else { return };
        let gone = NodeSet::first(status.members).without(&self.here());
        let since = |m: NodeId| (m, self.missing.get(&m).copied().unwrap_or(self.now));
        self.missing = gone.iter().map(since).collect();
    }
}
