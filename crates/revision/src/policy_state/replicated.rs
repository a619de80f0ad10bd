//! The replicated fields of the policy state besides revisions and results, in the form that snapshots store.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::status::CanaryStatus;
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};

/// A change of the fallback policy. The change is proposed, started, confirmed by every balancer, and then complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct FallbackChange {
    /// The new fallback policy.
    pub(super) target: FallbackPolicy,
    /// The index of the entry that proposed the change.
    pub(super) proposed_at: u64,
    /// Whether the change has started. From then on balancers without a lease send only what both policies allow, and
    /// no revision forbids what either policy allows.
    pub(super) is_started: bool,
    /// Whether every balancer holds the fallback policy that allows what both policies allow.
    pub(super) is_confirmed: bool,
    /// Whether the change was withdrawn and ends with the old policy.
    pub(super) is_withdrawn: bool,
}

/// The replicated fields besides revisions and results.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct ReplicatedState {
    /// Number of balancers in the cluster.
    pub(super) members: u16,
    pub(super) mandatory_fallback: FallbackPolicy,
    /// The last fallback policy that every balancer has confirmed.
    pub(super) fallback_policy: FallbackPolicy,
    pub(super) fallback_change: Option<FallbackChange>,
    /// The generation that set the current fallback policy.
    pub(super) fallback_generation: u64,
    /// Index of the last applied entry.
    pub(super) index: u64,
    /// Index of the last entry that changed the rules in force.
    pub(super) generation: u64,
    /// Whether it is not yet confirmed that no balancer acts on an older generation.
    pub(super) unconfirmed: bool,
    /// The revision in force.
    pub(super) in_force: u64,
    /// The revision that the running change puts in force.
    pub(super) target: Option<u64>,
    /// The revision that comes into force after the running change.
    pub(super) pending: Option<u64>,
    /// The newest revision.
    pub(super) newest: u64,
    pub(super) canary: Option<CanaryStatus>,
    /// Balancers that operators have marked dead.
    pub(super) dead: BTreeSet<u16>,
}

impl ReplicatedState {
    /// Returns the revisions that are in force or may come into force. They are never dropped.
    pub(super) fn referenced_revisions(&self) -> impl Iterator<Item = u64> {
        let before_canary = self.canary.map(|canary| canary.before);
        [Some(self.in_force), self.target, self.pending, Some(self.newest), before_canary]
            .into_iter()
            .flatten()
    }

    /// Returns the change of the fallback policy, if it has started.
    pub(super) fn started_fallback_change(&self) -> Option<&FallbackChange> {
        self.fallback_change.as_ref().filter(|change| change.is_started)
    }

    /// Returns the floor that no new revision can forbid. It includes the target of a change of the fallback policy as
    /// soon as the change is proposed.
    pub(super) fn proposal_floor(&self) -> FallbackFloor {
        let current = &self.fallback_policy;
        let target = self.fallback_change.as_ref().map_or(current, |change| &change.target);
        FallbackFloor::union(current.clone(), target.clone())
    }
}
