//! The reasons for which the replicated policy state rejects a command. Rejections are stored with the results of
//! commands and must be equal at all replicas, so their texts are part of the format.

use serde::{Deserialize, Serialize};

use crate::canary::CanaryTerms;
use crate::fallback_policy::FallbackPolicyError;
use crate::fleet::FleetConflict;

/// The reason for which a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The proposal was made against a revision that is no longer the newest.
    #[error(
        "made against revision {base}, after which {first} came; the newest is {newest}: \
         look at that and propose again"
    )]
    #[serde(rename = "Lost")]
    StaleBase {
        /// The revision that the proposal was made against.
        base: u64,
        /// The first retained revision after the base.
        first: u64,
        /// The newest revision.
        newest: u64,
    },
    /// The revision does not exist or is no longer retained.
    #[error("revision {number} is not kept; expected one of {oldest} to {newest}")]
    Unknown {
        /// Number of the revision in the command.
        number: u64,
        /// The oldest retained revision.
        oldest: u64,
        /// The newest retained revision.
        newest: u64,
    },
    /// The document is outside its bounds.
    #[error("{0}")]
    Document(String),
    /// The document does not fit the fleet or the fallback policy.
    #[error("{0}")]
    FleetConflict(#[from] FleetConflict),
    /// The terms of the canary are outside their bounds.
    #[error("a trial of {} s and {} thousandths; expected 1 to 3600 and 1 to 1000", .0.seconds, .0.fall)]
    CanaryTerms(CanaryTerms),
    /// The revision to be confirmed is not a canary.
    #[error("revision {number} is not on trial; it was taken back, replaced, or had none")]
    NotOnCanary {
        /// Number of the revision in the command.
        number: u64,
    },
    /// The fallback policy is invalid.
    #[error("{0}")]
    FallbackPolicy(#[from] FallbackPolicyError),
    /// Another change of the fallback policy is in progress.
    #[error(
        "another charter is on its way since entry {since}; wait until everyone has \
         confirmed it, or give the old one again to withdraw it"
    )]
    FallbackChangeInProgress {
        /// Index of the entry that proposed the change in progress.
        since: u64,
    },
    /// There is no such balancer in the cluster.
    #[error("there is no balancer {member} in a bank of {members}")]
    UnknownNode {
        /// Number of the balancer in the command.
        member: u16,
        /// Number of balancers in the cluster.
        members: u16,
    },
}
