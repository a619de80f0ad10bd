//! What the machine is given and what it returns: configuration, events and actions.

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
use hollowpaddle_revision::policy_state::Bootstrap;

use super::ProposalResult;

/// What a balancer is set up with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Who it is.
    pub node_id: NodeId,
    /// Balancers of the bank.
    pub cluster: u16,
    /// This process, not 0.
    pub incarnation: Incarnation,
    /// Drawn at the start.
    pub seed: u64,
    /// Who votes at first.
    pub voters: Vec<NodeId>,
    /// What the log begins with.
    pub bootstrap: Bootstrap,
    /// What is kept to by a process that knows no charter.
    pub mandatory_fallback: FallbackPolicy,
    /// Pods by site, as the configuration last knew them: where no charter is set, the first leader proposes a third.
    pub cells: BTreeMap<String, BTreeSet<u32>>,
    /// Something outlives the process: what is said waits for it.
    pub directory: bool,
    /// What was found there.
    pub found: Option<DurableState>,
    /// The charter that was found there, and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Why there can be no such machine.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The wire.
    #[error(transparent)]
    Wire(#[from] peers::ConfigError),
    /// The book.
    #[error(transparent)]
    PolicyState(#[from] hollowpaddle_revision::policy_state::BootstrapError),
}

/// What happens.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram came; from nobody of the bank, if `from` is none.
    Datagram {
        /// Whose address it came from.
        from: Option<NodeId>,
        /// As it came.
        bytes: &'a [u8],
    },
    /// The moment that was asked for.
    Due,
    /// Records up to this one are on disk.
    Persisted(u64),
    /// One could not be written.
    DiskFailed(String),
    /// The directory takes records again.
    DiskWell,
    /// This generation of the charter is on disk.
    FallbackPolicyPersisted(Generation),
    /// Somebody wants an entry to stand in the log; the ticket names the call.
    Propose {
        /// Names the call.
        ticket: u64,
        /// The name of the question in the book, if it has an answer there.
        id: Option<CommandId>,
        /// What is to stand there.
        entry: Entry,
    },
    /// What became of a question that was asked at any door.
    QueryOutcome {
        /// Names the call.
        ticket: u64,
        /// Of the question.
        id: CommandId,
    },
    /// The own discovery said this.
    EndpointList {
        /// The list's version.
        version: u64,
        /// Whom it leaves out is gone.
        whole: bool,
        /// By name.
        entries: Vec<(String, Phase)>,
    },
    /// The own discovery counts its versions anew.
    CountsAnew,
    /// One member of the council for another.
    Replace {
        /// Names the call.
        ticket: u64,
        /// Who goes.
        out: NodeId,
        /// Who comes.
        then: Option<NodeId>,
    },
    /// This balancer founds the council anew with these voters.
    Restore {
        /// Names the call.
        ticket: u64,
        /// Who votes.
        members: Vec<NodeId>,
    },
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// A datagram is to go out.
    Transmit {
        /// To the address of this member.
        to: NodeId,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// [`Event::Due`] then; in place of what was asked for before.
    WakeAt(Duration),
    /// Requests read this from now on.
    Publish(InForce),
    /// Requests read this from now on, beside the rules: whom peers' words stop, and whether the own list is older than
    /// the rules allow.
    Stop(StoppedUpstreams),
    /// A peer has a newer list: discovery is to be asked.
    RefreshList,
    /// To be written and synced, in the order of the numbers.
    Persist {
        /// Its number.
        number: u64,
        /// What.
        record: consensus::Record,
    },
    /// To be written and synced.
    PersistFallbackPolicy {
        /// Its generation.
        fallback_generation: Generation,
        /// The charter.
        fallback_policy: FallbackPolicy,
    },
    /// A call has its answer.
    ProposalResult {
        /// Which call.
        ticket: u64,
        /// What became of it.
        answer: ProposalResult,
    },
    /// Something for the log: who leads, what was forgotten.
    Log(String),
}

/// What peers' words say of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoppedUpstreams {
    /// Upstreams that drain or have ended, by a peer's word.
    pub names: BTreeSet<String>,
    /// The own list is older than the rules allow: the charter's upstreams alone are sent to, where there are any.
    pub old: bool,
}
