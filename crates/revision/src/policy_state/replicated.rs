//! The replicated fields of the policy state besides revisions and results, as snapshots store them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::status::CanaryStatus;
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};

/// A change of the fallback policy. It is proposed, started, confirmed by every balancer and then complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct FallbackChange {
    /// The new fallback policy.
    pub(super) target: FallbackPolicy,
    /// The index of the entry that proposed the change.
    pub(super) proposed_at: u64,
    /// Balancers without a lease keep to what both policies allow, and no revision forbids what either allows.
    pub(super) is_started: bool,
    /// Every balancer holds what both policies allow.
    pub(super) is_confirmed: bool,
    /// The change ends with the old policy.
    pub(super) is_withdrawn: bool,
}

/// The replicated fields besides revisions and results.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct ReplicatedState {
    /// How many balancers the cluster has.
    pub(super) members: u16,
    pub(super) mandatory_fallback: FallbackPolicy,
    /// The last fallback policy that every balancer has confirmed.
    pub(super) fallback_policy: FallbackPolicy,
    pub(super) fallback_change: Option<FallbackChange>,
    /// The generation that set the present fallback policy.
    pub(super) fallback_generation: u64,
    /// The last applied entry.
    pub(super) index: u64,
    /// The last entry that changed what is in force.
    pub(super) generation: u64,
    /// It is not yet confirmed that nobody acts on an older generation.
    pub(super) unconfirmed: bool,
    /// The revision in force.
    pub(super) in_force: u64,
    /// The revision that the running change leads to.
    pub(super) target: Option<u64>,
    /// The revision that comes into force after that.
    pub(super) pending: Option<u64>,
    /// The newest revision.
    pub(super) newest: u64,
    pub(super) canary: Option<CanaryStatus>,
    /// Balancers that operators have marked dead.
    pub(super) dead: BTreeSet<u16>,
}

impl ReplicatedState {
    /// The revisions that are or may yet come into force: they are never dropped.
    pub(super) fn referenced_revisions(&self) -> impl Iterator<Item = u64> {
        let before_canary = self.canary.map(|canary| canary.before);
        [Some(self.in_force), self.target, self.pending, Some(self.newest), before_canary]
            .into_iter()
            .flatten()
    }

    /// The change of the fallback policy, if it is started.
    pub(super) fn started_fallback_change(&self) -> Option<&FallbackChange> {
        self.fallback_change.as_ref().filter(|change| change.is_started)
    }

    /// What no new revision can forbid: what a change of the fallback policy allows counts from its proposal on.
    pub(super) fn proposal_floor(&self) -> FallbackFloor {
        let current = &self.fallback_policy;
        let target = self.fallback_change.as_ref().map_or(current, |change| &change.target);
        FallbackFloor::either(current.clone(), target.clone())
    }
}
