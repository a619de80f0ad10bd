//! What a book begins with, what it says of an entry, and where it stands: words only, for whoever asks it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::canary::CanaryTerms;
use crate::document::{Document, DocumentError};
use crate::entry::{CommandId, EntryError};
use crate::fallback_policy::{FallbackPolicy, FallbackPolicyError};
use crate::fleet::FleetConflict;
use crate::node_set::{MAX_NODES, NodeSet};
use crate::rules::Rules;

/// What a bank begins with: the same at every balancer, from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bootstrap {
    /// Balancers of the bank, at most [`MAX_NODES`].
    pub members: u16,
    /// What no charter can leave out.
    pub mandatory_fallback: FallbackPolicy,
    /// The first charter.
    pub fallback_policy: FallbackPolicy,
    /// The first revision's content; its number is 0.
    pub document: Document,
}

/// Why a bank can't begin so.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// Nobody, or too many.
    #[error("founding a bank of {found} balancers; expected 1 to {MAX_NODES}")]
    NodeSet {
        /// So many.
        found: u16,
    },
    /// Its first document.
    #[error("founding a bank: {0}")]
    Document(#[from] DocumentError),
    /// Its charter.
    #[error("founding a bank: {0}")]
    FallbackPolicy(#[from] FallbackPolicyError),
}

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another one was first.
    #[error(
        "made against revision {base}, after which {first} came; the newest is {newest}: \
         look at that and propose again"
    )]
    Lost {
        /// As it was said.
        base: u64,
        /// That won, if it is still kept.
        first: u64,
        /// Now.
        newest: u64,
    },
    /// There is no such revision, or none any more.
    #[error("revision {number} is not kept; expected one of {oldest} to {newest}")]
    Unknown {
        /// Asked for.
        number: u64,
        /// That is kept.
        oldest: u64,
        /// That is kept.
        newest: u64,
    },
    /// The document is none.
    #[error("{0}")]
    Document(String),
    /// It does not fit the fleet, or the charter.
    #[error("{0}")]
    FleetConflict(#[from] FleetConflict),
    /// The terms of its trial.
    #[error("a trial of {} s and {} thousandths; expected 1 to 3600 and 1 to 1000", .0.seconds, .0.fall)]
    CanaryTerms(CanaryTerms),
    /// Nothing to confirm.
    #[error("revision {number} is not on trial; it was taken back, replaced, or had none")]
    NotOnCanary {
        /// Asked for.
        number: u64,
    },
    /// The charter.
    #[error("{0}")]
    FallbackPolicy(#[from] FallbackPolicyError),
    /// A charter is on its way.
    #[error(
        "another charter is on its way since entry {since}; wait until everyone has \
         confirmed it, or give the old one again to withdraw it"
    )]
    Changing {
        /// When it was asked for.
        since: u64,
    },
    /// No such balancer.
    #[error("there is no balancer {member} in a bank of {members}")]
    UnknownNode {
        /// Asked for.
        member: u16,
        /// There are.
        members: u16,
    },
}

/// What one entry came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The question and its answer, if it was one. The answer to a question that was asked before is the one
    /// of then.
    pub answered: Option<(CommandId, Result<u64, Refusal>)>,
    /// The stage has changed.
    pub generation: bool,
    /// Why it could not be read. Nothing was done, here and everywhere.
    pub unreadable: Option<EntryError>,
}

/// A trial that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CanaryStatus {
    /// What is on trial.
    pub revision: u64,
    /// What it goes back to.
    pub before: u64,
    /// On which terms.
    pub terms: CanaryTerms,
}

/// Where the log has got to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PolicyStatus {
    /// The last entry.
    pub index: u64,
    /// The last entry that changed what is in force.
    pub generation: u64,
    /// Whether it waits for the word that nobody acts on an older one.
    pub unconfirmed: bool,
    /// What is in force.
    pub rules: Arc<Rules>,
    /// The revision whose figures hold.
    pub revision: u64,
    /// The one to which a step is under way.
    pub towards: Option<u64>,
    /// What a balancer keeps to whose lease has ended.
    pub fallback_policy: Arc<FallbackPolicy>,
    /// The stage that set it.
    pub fallback_generation: u64,
    /// Whether that waits for the word of every member.
    pub awaited: bool,
    /// Of whom no word is waited for.
    pub dead: NodeSet,
    /// All of the bank.
    pub members: u16,
    /// The trial of the revision in force.
    pub canary: Option<CanaryStatus>,
}
