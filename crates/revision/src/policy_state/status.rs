//! The initial values of [`PolicyState`](super::PolicyState) and the values that it reports; holds no logic.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::canary::CanaryTerms;
use crate::document::{Document, DocumentError};
use crate::entry::{CommandId, EntryError};
use crate::fallback_policy::{FallbackPolicy, FallbackPolicyError};
use crate::node_set::{MAX_NODES, NodeSet};
use crate::rejection::Rejection;
use crate::rules::Rules;

/// The initial values of a cluster, from the settings. They are the same at every balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bootstrap {
    /// Number of balancers in the cluster, 1 to [`MAX_NODES`].
    pub members: u16,
    /// The mandatory fallback, which every fallback policy has to include.
    pub mandatory_fallback: FallbackPolicy,
    /// The first fallback policy.
    pub fallback_policy: FallbackPolicy,
    /// The content of the first revision, whose number is 0.
    pub document: Document,
}

/// An error in the initial values of a cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// There are no balancers, or too many.
    #[error("founding a bank of {found} balancers; expected 1 to {MAX_NODES}")]
    NodeSet {
        /// Number of balancers.
        found: u16,
    },
    /// The first document is invalid.
    #[error("founding a bank: {0}")]
    Document(#[from] DocumentError),
    /// A fallback policy is invalid.
    #[error("founding a bank: {0}")]
    FallbackPolicy(#[from] FallbackPolicyError),
}

/// The effect of one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Id and result of the command, if the entry was a command. A repeated command gets its first result.
    pub result: Option<(CommandId, Result<u64, Rejection>)>,
    /// Whether the generation has changed.
    pub is_generation_changed: bool,
    /// The error, if the entry could not be decoded. Such an entry has no effect at any balancer.
    pub decode_error: Option<EntryError>,
}

/// A running canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CanaryStatus {
    /// Number of the revision that runs as a canary.
    pub revision: u64,
    /// The revision that a rollback restores.
    pub before: u64,
    /// The terms of the canary.
    pub terms: CanaryTerms,
}

/// The policy state after the last applied entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PolicyStatus {
    /// The index of the last applied entry.
    pub index: u64,
    /// The index of the last entry that changed the rules in force.
    pub generation: u64,
    /// Whether it is not yet confirmed that no balancer acts on an older generation.
    pub unconfirmed: bool,
    /// The rules in force.
    pub rules: Arc<Rules>,
    /// The revision in force; during a change, the revision that was in force before the change.
    pub revision: u64,
    /// The revision that the running change puts in force.
    pub target_revision: Option<u64>,
    /// The fallback policy of balancers without a lease.
    pub fallback_policy: Arc<FallbackPolicy>,
    /// The generation that set the fallback policy.
    pub fallback_generation: u64,
    /// Whether a change of the fallback policy waits for the confirmation of every balancer.
    pub awaits_fallback_confirmation: bool,
    /// Balancers that are marked dead. Changes do not wait for their confirmations.
    pub dead: NodeSet,
    /// Number of balancers in the cluster.
    pub members: u16,
    /// The canary, if it is the revision in force.
    pub canary: Option<CanaryStatus>,
}
