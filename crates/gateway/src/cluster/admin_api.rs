//! The admin API of the cluster: typed requests of operators, and the machine's event for each request.
//!
//! Submodules parse calls and build responses and JSON views. The caller handles HTTP, and the [`Machine`] carries out the
//! requests.

mod change;
mod check;
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
use hollowpaddle_revision::fleet::FleetFacts;

use crate::cluster::machine::{Event, Machine};

pub use fallback::default_mandatory_fallback;
pub use fleet_facts::fleet_facts;
pub use parse::{AdminRequestError, is_cluster_path};
pub use response::AdminResponse;

/// Default time limit for a call that waits until a revision is in force at every balancer.
const DEFAULT_ROLLOUT_WAIT: Duration = Duration::from_millis(1500);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// The state of the cluster as this balancer sees it.
    Cluster,
    /// The newest revisions.
    Revisions,
    /// One revision with its document.
    Revision(u64),
    /// The outcome of a command that was sent to any balancer.
    CommandOutcome(CommandId),
    /// A change of the policy log.
    Change(Box<Change>),
    /// A change of the voters, with the command's id if the caller gave one.
    VoterChange(VoterChange, Option<CommandId>),
}

/// A change of the policy log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    what: PolicyChange,
    /// Whether to report only the effect that the change would have.
    is_dry_run: bool,
    /// Whether to propose the change even if it doesn't fit the upstreams in this balancer's endpoint list.
    is_forced: bool,
    /// Maximum time that the response waits until the revision is in force at every balancer; `None` for no wait.
    wait: Option<Duration>,
    /// The command's id, if the caller gave one.
    id: Option<CommandId>,
}

/// The kinds of changes of the policy log.
#[derive(Clone, Debug, PartialEq)]
enum PolicyChange {
    Propose(RevisionOptions, Box<Document>),
    Rollback(RevisionOptions, u64),
    Cordon(String),
    Uncordon(String),
    FallbackPolicy(FallbackPolicy),
    Confirm(u64),
    Dead(NodeId),
    Alive(NodeId),
}

/// Options of a proposed revision.
#[derive(Clone, Debug, PartialEq)]
struct RevisionOptions {
    /// The revision that must be the newest for the proposal to be accepted.
    base: Option<u64>,
    canary: Option<CanaryTerms>,
    forced: bool,
}

/// A change of the voters.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterChange {
    /// Replaces or removes one voter.
    Replace {
        /// The voter to remove.
        removed: NodeId,
        /// The balancer that replaces the removed voter, if any.
        replacement: Option<NodeId>,
    },
    /// Makes this balancer force a new epoch with these voters.
    ForceNewEpoch(Vec<NodeId>),
}

impl AdminRequest {
    /// Creates the request that cordons or uncordons an upstream at all balancers.
    pub fn cordon(name: &str, is_cordoned: bool) -> Self {
        let name = name.to_string();
        let what =
            if is_cordoned { PolicyChange::Cordon(name) } else { PolicyChange::Uncordon(name) };
        let wait = Some(DEFAULT_ROLLOUT_WAIT);
        Self::Change(Box::new(Change { what, is_dry_run: false, is_forced: false, wait, id: None }))
    }

    /// Returns whether the admin server repeats the request while its response is [`AdminResponse::is_retryable`].
    pub fn is_retried(&self) -> bool {
        let Self::Change(change) = self else { return false };
        matches!(change.what, PolicyChange::Cordon(_) | PolicyChange::Uncordon(_))
    }

    /// Returns the command's id, if the caller gave one.
    pub fn command_id(&self) -> Option<CommandId> {
        match self {
            Self::CommandOutcome(id) => Some(*id),
            Self::Change(change) => change.id,
            Self::VoterChange(_, id) => *id,
            Self::Cluster | Self::Revisions | Self::Revision(_) => None,
        }
    }

    /// Returns the error text for an outcome that is not known in time.
    fn unknown_outcome_text(&self) -> &'static str {
        match self {
            Self::VoterChange(..) => {
                "nobody who knows has answered; it may be done: GET /admin/bank tells the council"
            }
            _ => "nobody who knows has answered; it may stand: GET /admin/revisions/asked/ID",
        }
    }

    /// Returns the machine's event for the request. `id` is the id of the request's command; `facts` describes the upstreams
    /// in this balancer's endpoint list.
    ///
    /// # Errors
    /// Returns the response as an error if the request needs no event: a view or a rejection.
    pub fn event(
        &self,
        ticket: u64,
        id: CommandId,
        facts: &FleetFacts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        self.check(machine, facts)?;
        match self {
            Self::Cluster => Err(AdminResponse::ok(views::cluster(machine))),
            Self::Revisions => Err(AdminResponse::ok(views::revisions(machine.policy()))),
            Self::Revision(number) => Err(views::revision(machine.policy(), *number)),
            Self::CommandOutcome(_) => Ok(Event::QueryOutcome { ticket, id }),
            Self::VoterChange(VoterChange::Replace { removed, replacement }, _) => {
                Ok(Event::ReplaceVoter { ticket, removed: *removed, replacement: *replacement })
            }
            Self::VoterChange(VoterChange::ForceNewEpoch(voters), _) => {
                Ok(Event::ForceNewEpoch { ticket, voters: voters.clone() })
            }
            Self::Change(change) => change.event(ticket, id, facts, machine),
        }
    }
}

#[cfg(test)]
mod tests;
