//! The admin API of the cluster: requests of operators, as typed values, and what each hands to the machine.
//!
//! Reading calls, building answers and the JSON views are modules of their own. HTTP is left to the caller, and what
//! becomes of a request to the [`Machine`].

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
pub use fleet_facts::facts;
pub use parse::{AdminRequestError, is_cluster_path};
pub use response::AdminResponse;

/// How long a caller waits for a revision to be in force at every balancer, where the call names no time.
const DEFAULT_ROLLOUT_WAIT: Duration = Duration::from_millis(1500);

/// What an operator asks for.
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
    /// A change of the voters, and its id if the caller named one.
    VoterChange(VoterChange, Option<CommandId>),
}

/// A change of the policy log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    what: PolicyChange,
    /// Only report what the change would do.
    is_dry_run: bool,
    /// Propose what does not fit the fleet as this balancer has it listed.
    is_forced: bool,
    /// Answer only once the revision is in force at every balancer, or after this time.
    wait: Option<Duration>,
    /// The command's id, if the caller named one.
    id: Option<CommandId>,
}

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

/// Terms on which a revision is proposed.
#[derive(Clone, Debug, PartialEq)]
struct RevisionOptions {
    /// The revision that must be the newest, or the proposal is rejected.
    base: Option<u64>,
    canary: Option<CanaryTerms>,
    forced: bool,
}

/// A change of the voters.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterChange {
    /// One voter is replaced or removed.
    Replace {
        /// The voter that is removed.
        removed: NodeId,
        /// The balancer that replaces it, if any.
        replacement: Option<NodeId>,
    },
    /// This balancer forces a new epoch with these voters.
    ForceNewEpoch(Vec<NodeId>),
}

impl AdminRequest {
    /// Takes an upstream out at all balancers, or back in.
    pub fn cordon(name: &str, out: bool) -> Self {
        let name = name.to_string();
        let what = if out { PolicyChange::Cordon(name) } else { PolicyChange::Uncordon(name) };
        let wait = Some(DEFAULT_ROLLOUT_WAIT);
        Self::Change(Box::new(Change { what, is_dry_run: false, is_forced: false, wait, id: None }))
    }

    /// Whether the request is to be repeated while its answer is [`AdminResponse::again`].
    pub fn is_retried(&self) -> bool {
        let Self::Change(change) = self else { return false };
        matches!(change.what, PolicyChange::Cordon(_) | PolicyChange::Uncordon(_))
    }

    /// The id of the command that the caller named.
    pub fn command_id(&self) -> Option<CommandId> {
        match self {
            Self::CommandOutcome(id) => Some(*id),
            Self::Change(change) => change.id,
            Self::VoterChange(_, id) => *id,
            Self::Cluster | Self::Revisions | Self::Revision(_) => None,
        }
    }

    /// What the caller is told where the outcome is not known in time.
    fn where_to_ask(&self) -> &'static str {
        match self {
            Self::VoterChange(..) => {
                "nobody who knows has answered; it may be done: GET /admin/bank tells the council"
            }
            _ => "nobody who knows has answered; it may stand: GET /admin/revisions/asked/ID",
        }
    }

    /// The event that hands the request to the machine. `id` is the id of its command; `facts` is the fleet as this balancer
    /// has it listed.
    ///
    /// # Errors
    /// The answer, where the machine need not be involved: a view, or a rejection.
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
