//! What the machine of leases is told and what it asks for: words only, for the shell on the other side.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::canary::CanaryMetric;
use crate::entry::Entry;
use crate::fallback_policy::FallbackPolicy;
use crate::in_force::InForce;
use crate::message::{Generation, Message};
use crate::policy_state::PolicyStatus;

/// This balancer and the agreed figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Its number.
    pub node_id: NodeId,
    /// Its life: answers to another one's questions count for nothing.
    pub incarnation: Incarnation,
    /// A lease, L.
    pub lease: Duration,
    /// One clock gains or loses so many thousandths against another, at most.
    pub drift: u32,
    /// Leases are renewed so often.
    pub renewal: Duration,
    /// A lease counts only at the very stage that it names. Otherwise it counts for what follows in the log,
    /// too: see the design note for why that is as safe, and what the exact rule costs at each change.
    pub exact: bool,
    /// What can never be put out, by the settings.
    pub mandatory_fallback: FallbackPolicy,
    /// The charter as the state directory keeps it, and the generation that it is of.
    pub stored: Option<(Generation, FallbackPolicy)>,
}

impl LeaseConfig {
    /// With the usual figures, and nothing stored.
    pub fn usual(
        node_id: NodeId,
        incarnation: Incarnation,
        mandatory_fallback: FallbackPolicy,
    ) -> Self {
        let (lease, renewal) = (Duration::from_secs(2), Duration::from_millis(300));
        Self {
            node_id,
            incarnation,
            lease,
            drift: 10,
            renewal,
            exact: false,
            mandatory_fallback,
            stored: None,
        }
    }

    /// What is surely over by the time that this length is, on whichever clock.
    pub(crate) fn less(&self, length: Duration) -> Duration {
        length.saturating_sub(length.saturating_mul(self.drift) / 1000)
    }

    /// What this length is surely over by.
    pub(crate) fn more(&self, length: Duration) -> Duration {
        length.saturating_add(length.saturating_mul(self.drift) / 1000)
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry was applied, in the order of the log. An epoch later than the last begins another log.
    Applied {
        /// The log's epoch.
        epoch: u32,
        /// Where the book stands now.
        status: Box<PolicyStatus>,
    },
    /// Whom to ask for leases from here on: the source of the log.
    Parent(Option<NodeId>),
    /// A word from a peer, from the life that the wire has confirmed.
    Message {
        /// Who says it.
        from: NodeId,
        /// Which life of it.
        incarnation: Incarnation,
        /// What.
        message: Message,
    },
    /// This member leads the council.
    Leads {
        /// No earlier than a majority has told it so.
        since: Duration,
        /// The epoch of its log. Failure: one that had not learned yet that the log was founded anew had
        /// applied as many entries of the old one, and gave leases of it (found by a sweep, seed 6898).
        epoch: u32,
        /// The last entry of its log then: until it is applied, it gives no leases of its own.
        from: u64,
    },
    /// A majority has answered a round that it began then.
    Round {
        /// When.
        began: Duration,
    },
    /// It leads no more.
    Follows,
    /// What an [`Action::PersistFallbackPolicy`] named survives the process from here on. Without a state directory: at once.
    FallbackPolicyPersisted {
        /// The charter's generation.
        fallback_generation: Generation,
    },
    /// Worth served over the bank against the time before the revision in force, for trials; at the leader.
    CanaryMetric(Option<CanaryMetric>),
    /// A time that was asked for has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Says this to a peer.
    Send {
        /// To whom.
        to: NodeId,
        /// What.
        message: Message,
    },
    /// Requests read this from here on.
    Publish(InForce),
    /// The charter is to be kept on disk before [`Event::FallbackPolicyPersisted`] is told. It is asked for once: whoever can't
    /// write now tries again until a later one is asked for.
    PersistFallbackPolicy {
        /// Its generation.
        fallback_generation: Generation,
        /// It.
        fallback_policy: Arc<FallbackPolicy>,
    },
    /// Wakes this machine by [`Event::Due`] then; it takes the place of any earlier one.
    WakeAt(Duration),
    /// Proposes this to the council; at the leader.
    Propose(Entry),
    /// A peer is at a later stage: the log is to be learned.
    Learn {
        /// From whom.
        from: NodeId,
        /// What it is at.
        generation: Generation,
    },
    /// The parent has no room, or has given nothing for as long as a lease: another one is to be found.
    ChangeParent {
        /// The parent.
        than: NodeId,
    },
}
