//! What the machine is given and what it returns: its configuration, events and actions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_consensus as consensus;
use hollowpaddle_consensus::DurableState;
use hollowpaddle_peer_transport as peers;
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::in_force::InForce;
use hollowpaddle_revision::lists::Phase;
use hollowpaddle_revision::message::Generation;
use hollowpaddle_revision::policy_state::{Bootstrap, BootstrapError};

use super::ProposalResult;

/// Configuration of a [`Machine`](super::Machine), and the state that it recovers.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This balancer.
    pub node_id: NodeId,
    /// Number of balancers in the cluster.
    pub cluster: u16,
    /// This process; not 0.
    pub incarnation: Incarnation,
    /// Seed of all randomness, new with each process.
    pub seed: u64,
    /// The first voters.
    pub voters: Vec<NodeId>,
    /// State with which the log begins; equal at every balancer.
    pub bootstrap: Bootstrap,
    /// What a process may send to that knows no fallback policy.
    pub mandatory_fallback: FallbackPolicy,
    /// Cells by zone, as the configuration names them: where no fallback policy is set, the first leader proposes one of a
    /// third of them. Empty: it proposes none.
    pub cells: BTreeMap<String, BTreeSet<u32>>,
    /// Whether there is a durable log: votes and confirmations then wait until they are on disk.
    pub directory: bool,
    /// State of the replica that was found in the durable log.
    pub found: Option<DurableState>,
    /// The fallback policy that was found on disk, and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Why there can be no machine of this configuration.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The transport can't be configured so.
    #[error(transparent)]
    Transport(#[from] peers::ConfigError),
    /// The policy log can't begin so.
    #[error(transparent)]
    PolicyState(#[from] BootstrapError),
}

/// An input of the machine. A `ticket` names the admin call that is answered by [`Action::ProposalResult`].
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram arrived.
    Datagram {
        /// The balancer whose address it came from; `None` for an unknown address.
        from: Option<NodeId>,
        /// Its content.
        bytes: &'a [u8],
    },
    /// The moment of the last [`Action::WakeAt`] has come.
    Due,
    /// Records up to this number are on disk.
    Persisted(u64),
    /// Writing or syncing failed; the text says why.
    DiskFailed(String),
    /// The disk takes records again.
    DiskWell,
    /// The fallback policy of this generation is on disk.
    FallbackPolicyPersisted(Generation),
    /// An entry is to be appended to the policy log.
    Propose {
        /// Names the call.
        ticket: u64,
        /// The command's id, if the policy answers it by id.
        id: Option<CommandId>,
        /// The entry.
        entry: Entry,
    },
    /// The outcome of a command that was sent to any balancer is wanted.
    QueryOutcome {
        /// Names the call.
        ticket: u64,
        /// Id of the command.
        id: CommandId,
    },
    /// This balancer's discovery delivered entries or a complete list.
    EndpointList {
        /// Version of the list.
        version: u64,
        /// Whether the list is complete: an upstream that it leaves out is gone.
        whole: bool,
        /// Name and phase of each entry.
        entries: Vec<(String, Phase)>,
    },
    /// This balancer's discovery counts the versions of its list from the beginning.
    VersionsReset,
    /// A voter is to be replaced or removed.
    ReplaceVoter {
        /// Names the call.
        ticket: u64,
        /// The voter that is removed.
        removed: NodeId,
        /// The balancer that replaces it, if any.
        replacement: Option<NodeId>,
    },
    /// This balancer is to force a new epoch with these voters.
    ForceNewEpoch {
        /// Names the call.
        ticket: u64,
        /// The voters.
        voters: Vec<NodeId>,
    },
}

/// An output of the machine, which its driver carries out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Transmit {
        /// The balancer to whose address it goes.
        to: NodeId,
        /// Its content, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Hand in [`Event::Due`] at this time. Replaces the time given before.
    WakeAt(Duration),
    /// Requests read these rules from now on.
    Publish(InForce),
    /// Requests read these stopped upstreams from now on.
    Stop(StoppedUpstreams),
    /// Another balancer has a newer endpoint list: poll discovery.
    RefreshList,
    /// Write and sync a record, in the order of the numbers.
    Persist {
        /// Number of the record.
        number: u64,
        /// The record.
        record: consensus::Record,
    },
    /// Write and sync a fallback policy.
    PersistFallbackPolicy {
        /// Its generation.
        fallback_generation: Generation,
        /// The policy.
        fallback_policy: FallbackPolicy,
    },
    /// Answer an admin call.
    ProposalResult {
        /// Names the call.
        ticket: u64,
        /// What became of it.
        answer: ProposalResult,
    },
    /// Log that the state of the cluster changed: who leads, what was lost.
    Log(String),
}

/// What reports of other balancers forbid beside the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoppedUpstreams {
    /// Upstreams that drain or are gone, by the report of another balancer.
    pub names: BTreeSet<String>,
    /// Whether this balancer's endpoint list is older than the rules allow: requests then go only to upstreams of the
    /// fallback policy, where there are any.
    pub old: bool,
}
