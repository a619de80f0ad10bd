//! Checks a change of the voters against what this balancer knows of them, before anything is proposed.

use hollowpaddle_consensus::VoterSet;
use hollowpaddle_peer_transport::NodeId;

use super::{AdminRequest, AdminResponse, VoterChange};
use crate::cluster::machine::Machine;

/// Why a change of the voters can't be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum VoterChangeError {
    #[error("there is no balancer {node} in a bank of {cluster}")]
    UnknownNode { node: u16, cluster: u16 },
    #[error("balancer {node} is not in the council, which is {voters}")]
    NotAVoter { node: u16, voters: String },
    #[error("balancer {node} is in the council already, which is {voters}")]
    AlreadyAVoter { node: u16, voters: String },
    #[error("balancer {node} can't be replaced by itself")]
    ReplacedByItself { node: u16 },
    #[error("balancer {node} is the last one in the council; name another in `then` first")]
    LastVoter { node: u16 },
    #[error("balancer {node} is still joining the council; call again once it is in")]
    StillJoining { node: u16 },
}

impl AdminRequest {
    /// Rejects what can't be done, with the reason.
    ///
    /// # Errors
    /// The rejection.
    pub(super) fn check(&self, machine: &Machine) -> Result<(), AdminResponse> {
        let Self::VoterChange(change) = self else { return Ok(()) };
        change
            .check(machine.voters(), machine.cluster_size())
            .map_err(|why| AdminResponse { status: 409, ..AdminResponse::bad(&why.to_string()) })
    }
}

impl VoterChange {
    fn check(&self, voter_set: &VoterSet, cluster: u16) -> Result<(), VoterChangeError> {
        match self {
            Self::Replace { removed, replacement, .. } => {
                check_nodes(replacement.iter().chain([removed]), cluster)?;
                check_replacement(voter_set, *removed, *replacement)
            }
            Self::ForceNewEpoch(_) => Ok(()),
        }
    }
}

fn check_nodes<'a>(
    nodes: impl IntoIterator<Item = &'a NodeId>,
    cluster: u16,
) -> Result<(), VoterChangeError> {
    let unknown = nodes.into_iter().find(|node| node.0 >= cluster);
    match unknown {
        Some(node) => Err(VoterChangeError::UnknownNode { node: node.0, cluster }),
        None => Ok(()),
    }
}

fn check_replacement(
    voter_set: &VoterSet,
    removed: NodeId,
    replacement: Option<NodeId>,
) -> Result<(), VoterChangeError> {
    let voters = &voter_set.voters;
    let listed = || voters.iter().map(|node| node.0.to_string()).collect::<Vec<_>>().join(", ");
    if let Some(joining) = voter_set.joining {
        return Err(VoterChangeError::StillJoining { node: joining.0 });
    }
    if !voters.contains(&removed) {
        return Err(VoterChangeError::NotAVoter { node: removed.0, voters: listed() });
    }
    if replacement == Some(removed) {
        return Err(VoterChangeError::ReplacedByItself { node: removed.0 });
    }
    if let Some(node) = replacement.filter(|node| voters.contains(node)) {
        return Err(VoterChangeError::AlreadyAVoter { node: node.0, voters: listed() });
    }
    if voters.len() == 1 {
        return Err(VoterChangeError::LastVoter { node: removed.0 });
    }
    Ok(())
}
