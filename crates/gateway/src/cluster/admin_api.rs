//! What operators ask of the bank and are told, as text at their door. What a question comes to is the machine's to say.

mod change;
mod fallback;
mod fleet_facts;
mod parse;
mod response;
mod views;

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::CanaryTerms;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::Facts;

use crate::cluster::machine::{Event, Machine};

pub use fallback::default_mandatory_fallback;
pub use fleet_facts::facts;
pub use parse::{AdminRequestError, is_cluster_path};
pub use response::AdminResponse;
use views::{cluster, revision, revisions};

/// A caller that asks to wait until a revision is in force everywhere waits so long, if it does not say.
const DEFAULT_ROLLOUT_WAIT: Duration = Duration::from_millis(1500);

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// How the bank stands, as seen from here.
    Cluster,
    /// The newest revisions.
    Revisions,
    /// One of them, whole.
    Revision(u64),
    /// What became of a question that was asked at any door.
    Asked(CommandId),
    /// Something that is to stand in the log.
    Change(Box<Change>),
    /// Something about the council.
    VoterChange(VoterChange),
}

/// Something that is to stand in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    what: PolicyChange,
    /// What it would change is told, and nothing is changed.
    dry: bool,
    /// Told only once it is in force everywhere, or after this time.
    wait: Option<Duration>,
    /// Named by the caller, if it is.
    id: Option<CommandId>,
}

#[derive(Clone, Debug, PartialEq)]
enum PolicyChange {
    Propose(RevisionOptions, Box<Document>),
    Rollback(RevisionOptions, u64),
    Cordon(String, bool),
    FallbackPolicy(FallbackPolicy),
    Confirm(u64),
    Dead(NodeId),
    Alive(NodeId),
}

/// How a revision is asked for.
#[derive(Clone, Debug, PartialEq)]
struct RevisionOptions {
    base: Option<u64>,
    canary: Option<CanaryTerms>,
    forced: bool,
}

/// What is wanted of the council.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterChange {
    /// One for another.
    Replace {
        /// Who goes.
        out: NodeId,
        /// Who comes.
        then: Option<NodeId>,
    },
    /// This balancer founds anew with these voters.
    Restore(Vec<NodeId>),
}

impl AdminRequest {
    /// An upstream is to be out, or back, for all balancers.
    pub fn cordon(name: &str, out: bool) -> Self {
        let what = PolicyChange::Cordon(name.to_string(), out);
        Self::Change(Box::new(Change {
            what,
            dry: false,
            wait: Some(DEFAULT_ROLLOUT_WAIT),
            id: None,
        }))
    }

    /// Whether it is to be asked again while it is not done yet.
    pub fn is_retried(&self) -> bool {
        matches!(self, Self::Change(change) if matches!(change.what, PolicyChange::Cordon(..)))
    }

    /// What the machine is to be told; or, where it need not be, what the caller is.
    ///
    /// # Errors
    /// None: `Err` is an answer that needs nobody else.
    pub fn event(
        &self,
        ticket: u64,
        fresh: CommandId,
        facts: &Facts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        let policy = machine.policy();
        match self {
            Self::Cluster => Err(AdminResponse::ok(cluster(machine))),
            Self::Revisions => Err(AdminResponse::ok(revisions(policy))),
            Self::Revision(number) => Err(revision(policy, *number)),
            Self::Asked(id) => Ok(Event::QueryOutcome { ticket, id: *id }),
            Self::VoterChange(VoterChange::Replace { out, then }) => {
                Ok(Event::Replace { ticket, out: *out, then: *then })
            }
            Self::VoterChange(VoterChange::Restore(members)) => {
                Ok(Event::Restore { ticket, members: members.clone() })
            }
            Self::Change(change) => change.event(ticket, fresh, facts, machine),
        }
    }
}

#[cfg(test)]
mod tests;
