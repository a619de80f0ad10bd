//! The interface of the machine: its configuration, events and actions.

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

/// Configuration of a [`Machine`](super::Machine), and the recovered state that the machine starts with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Id of this balancer.
    pub node_id: NodeId,
    /// Number of balancers in the cluster.
    pub cluster_size: u16,
    /// Incarnation of this process; not 0.
    pub incarnation: Incarnation,
    /// Seed of all random numbers, different in each process.
    pub seed: u64,
    /// The initial voters.
    pub voters: Vec<NodeId>,
    /// Initial state of the log; equal at every balancer.
    pub bootstrap: Bootstrap,
    /// Policy that applies in a process without a fallback policy.
    pub mandatory_fallback: FallbackPolicy,
    /// Cells by zone, from the configuration. If no fallback policy is set, the first leader proposes one of a third of
    /// these cells. If empty, the first leader proposes none.
    pub cells: BTreeMap<String, BTreeSet<u32>>,
    /// Whether there is a durable log, so that votes and confirmations wait until they are on disk.
    pub has_durable_log: bool,
    /// State of the replica, recovered from the durable log.
    pub replica_state: Option<DurableState>,
    /// The fallback policy recovered from disk, and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// An error in the configuration of a machine.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The configuration of the transport is invalid.
    #[error(transparent)]
    Transport(#[from] peers::ConfigError),
    /// The initial policy state is invalid.
    #[error(transparent)]
    PolicyState(#[from] BootstrapError),
}

/// An input of the machine. A `ticket` identifies the admin call that [`Action::ProposalResult`] answers.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram arrived.
    Datagram {
        /// The balancer with the sender's address; `None` for an unknown address.
        from: Option<NodeId>,
        /// Content of the datagram.
        bytes: &'a [u8],
    },
    /// The time of the last [`Action::WakeAt`] has come.
    Due,
    /// Records up to this number are on disk.
    Persisted(u64),
    /// Writing or syncing failed, with the cause as a text.
    DiskFailed(String),
    /// The disk accepts records again.
    DiskRecovered,
    /// The fallback policy of this generation is on disk.
    FallbackPolicyPersisted(Generation),
    /// An admin call proposes an entry for the policy log.
    Propose {
        /// Identifies the call.
        ticket: u64,
        /// Id of the command, if the policy state records its outcome under an id.
        id: Option<CommandId>,
        /// The entry.
        entry: Entry,
    },
    /// An admin call asks for the outcome of a command that was sent to any balancer.
    QueryOutcome {
        /// Identifies the call.
        ticket: u64,
        /// Id of the command.
        id: CommandId,
    },
    /// This balancer's discovery delivered changed entries or a complete list.
    EndpointList {
        /// Version of the list.
        version: u64,
        /// Whether the list is complete, so that an upstream missing from the list is gone.
        is_complete: bool,
        /// Name and phase of each entry.
        entries: Vec<(String, Phase)>,
    },
    /// This balancer's discovery restarted the versions of its list.
    VersionsReset,
    /// An admin call replaces or removes a voter.
    ReplaceVoter {
        /// Identifies the call.
        ticket: u64,
        /// The voter to remove.
        removed: NodeId,
        /// The balancer that replaces the removed voter, if any.
        replacement: Option<NodeId>,
    },
    /// An admin call makes this balancer force a new epoch with the given voters.
    ForceNewEpoch {
        /// Identifies the call.
        ticket: u64,
        /// Voters of the new epoch.
        voters: Vec<NodeId>,
    },
}

/// An output of the machine, which its driver carries out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Transmit {
        /// The balancer that receives the datagram.
        to: NodeId,
        /// Content of the datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::Due`] at this time, which replaces the time of an earlier `WakeAt`.
    WakeAt(Duration),
    /// Publish the rules and the lease that apply to requests from now on.
    Publish(InForce),
    /// Publish the stopped upstreams that apply to requests from now on.
    Stop(StoppedUpstreams),
    /// Poll discovery, because another balancer has a newer endpoint list.
    RefreshList,
    /// Write and sync a record. Records are written in the order of their numbers.
    Persist {
        /// Number of the record.
        number: u64,
        /// The record.
        record: consensus::Record,
    },
    /// Write and sync a fallback policy.
    PersistFallbackPolicy {
        /// Generation of the fallback policy.
        fallback_generation: Generation,
        /// The policy.
        fallback_policy: FallbackPolicy,
    },
    /// Answer an admin call.
    ProposalResult {
        /// Identifies the call.
        ticket: u64,
        /// Result of the call.
        answer: ProposalResult,
    },
    /// Log a change of the cluster's state, such as a new leader or a loss of state.
    Log(String),
}

/// Restrictions that reports of other balancers add to the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoppedUpstreams {
    /// Upstreams that another balancer reported as draining or gone.
    pub names: BTreeSet<String>,
    /// Whether this balancer's endpoint list is older than the rules allow. Requests then go only to upstreams of the
    /// fallback policy, if there are any.
    pub is_list_stale: bool,
}
