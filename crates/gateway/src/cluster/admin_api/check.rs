//! Checks a change, before it is proposed, against this balancer's state of the cluster and of the upstreams.

use std::collections::BTreeSet;

use hollowpaddle_consensus::{MAX_VOTERS, ReplicaStatus, VoterSet};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::FleetFacts;

use super::{AdminRequest, AdminResponse, PolicyChange, VoterChange};
use crate::cluster::machine::Machine;

/// A reason that makes a change impossible.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ImpossibleChange {
    #[error("there is no balancer {node} in a bank of {cluster}")]
    UnknownNode { node: u16, cluster: u16 },
    #[error("balancer {node} is not in the council, which is {voters}")]
    NotAVoter { node: u16, voters: String },
    #[error("balancer {node} is in the council already, which is {voters}")]
    AlreadyAVoter { node: u16, voters: String },
    #[error("balancer {node} can't be replaced by itself")]
    ReplacedByItself { node: u16 },
    #[error("balancer {node} is the last one in the council")]
    LastVoter { node: u16 },
    #[error("balancer {node} is still joining the council; call again once it is in")]
    StillJoining { node: u16 },
    #[error("a council has 1 to {MAX_VOTERS} members, and {count} are named")]
    VoterCount { count: usize },
    #[error("balancer {node} has to be a member itself; call one of those that are named")]
    NotAmongVoters { node: u16 },
    #[error("balancer {node} can't write its log; call another of those that are named")]
    DiskFailed { node: u16 },
    #[error(
        "no upstream that serves is in pod {cell}, only in {known}; `force` proposes it all the same"
    )]
    UnknownCell { cell: u32, known: String },
}

impl AdminRequest {
    /// Checks that the request is possible.
    ///
    /// # Errors
    /// Returns the rejection with its reason if the request is impossible.
    pub(super) fn check(&self, machine: &Machine, facts: &FleetFacts) -> Result<(), AdminResponse> {
        let checked = match self {
            Self::VoterChange(change, _) => change.check(machine),
            Self::Change(change) => match &change.what {
                PolicyChange::FallbackPolicy(policy) if !change.is_forced => {
                    check_cells(policy, facts)
                }
                _ => Ok(()),
            },
            _ => Ok(()),
        };
        checked.map_err(|reason| AdminResponse {
            status: 409,
            ..AdminResponse::bad_request(&reason.to_string())
        })
    }
}

impl VoterChange {
    fn check(&self, machine: &Machine) -> Result<(), ImpossibleChange> {
        let cluster = machine.cluster_size();
        match self {
            Self::Replace { removed, replacement } => {
                check_nodes(replacement.iter().chain([removed]), cluster)?;
                check_replacement(machine.voters(), *removed, *replacement)
            }
            Self::ForceNewEpoch(voters) => {
                check_nodes(voters, cluster)?;
                check_new_epoch(voters, machine)
            }
        }
    }
}

fn check_nodes<'a>(
    nodes: impl IntoIterator<Item = &'a NodeId>,
    cluster: u16,
) -> Result<(), ImpossibleChange> {
    let unknown = nodes.into_iter().find(|node| node.0 >= cluster);
    match unknown {
        Some(node) => Err(ImpossibleChange::UnknownNode { node: node.0, cluster }),
        None => Ok(()),
    }
}

fn check_replacement(
    voter_set: &VoterSet,
    removed: NodeId,
    replacement: Option<NodeId>,
) -> Result<(), ImpossibleChange> {
    let voters = &voter_set.voters;
    let listed = || voters.iter().map(|node| node.0.to_string()).collect::<Vec<_>>().join(", ");
    if let Some(joining) = voter_set.joining {
        return Err(ImpossibleChange::StillJoining { node: joining.0 });
    }
    if !voters.contains(&removed) {
        return Err(ImpossibleChange::NotAVoter { node: removed.0, voters: listed() });
    }
    if replacement == Some(removed) {
        return Err(ImpossibleChange::ReplacedByItself { node: removed.0 });
    }
    if let Some(node) = replacement.filter(|node| voters.contains(node)) {
        return Err(ImpossibleChange::AlreadyAVoter { node: node.0, voters: listed() });
    }
    if voters.len() == 1 {
        return Err(ImpossibleChange::LastVoter { node: removed.0 });
    }
    Ok(())
}

/// Checks that this balancer can begin an epoch with these voters.
fn check_new_epoch(voters: &[NodeId], machine: &Machine) -> Result<(), ImpossibleChange> {
    let node = machine.node_id();
    if voters.is_empty() || voters.len() > MAX_VOTERS {
        return Err(ImpossibleChange::VoterCount { count: voters.len() });
    }
    if !voters.contains(&node) {
        return Err(ImpossibleChange::NotAmongVoters { node: node.0 });
    }
    if machine.replica().status() == ReplicaStatus::DiskFailed {
        return Err(ImpossibleChange::DiskFailed { node: node.0 });
    }
    Ok(())
}

/// Checks that each cell of a fallback policy has an upstream that serves. A cell without a serving
/// upstream can't be distinguished from a cell that doesn't exist.
fn check_cells(policy: &FallbackPolicy, facts: &FleetFacts) -> Result<(), ImpossibleChange> {
    let known: BTreeSet<u32> = facts.groups.iter().map(|group| group.cell).collect();
    let Some(&cell) = policy.cells.difference(&known).next() else { return Ok(()) };
    let known: Vec<String> = known.iter().map(u32::to_string).collect();
    Err(ImpossibleChange::UnknownCell { cell, known: known.join(", ") })
}
