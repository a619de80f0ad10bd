//! Configuration, events and actions of [`Leases`](super::Leases); holds no logic but the allowance for clock drift.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::canary::CanaryMetric;
use crate::entry::Entry;
use crate::fallback_policy::FallbackPolicy;
use crate::in_force::InForce;
use crate::message::{Generation, Message};
use crate::policy_state::PolicyStatus;

/// The usual duration of a lease.
const LEASE: Duration = Duration::from_secs(2);
/// The usual interval of renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// The usual bound on clock drift, in thousandths.
const DRIFT: u32 = 10;

/// The identity of a balancer and the figures that all balancers agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The balancer's number.
    pub node_id: NodeId,
    /// Its incarnation: responses to requests of another one are ignored.
    pub incarnation: Incarnation,
    /// How long a lease lasts.
    pub lease: Duration,
    /// By how many thousandths one clock may run faster or slower than another.
    pub drift: u32,
    /// How often leases are renewed.
    pub renewal: Duration,
    /// Whether a lease holds only at the generation that it names. Otherwise it holds for later generations of the same
    /// epoch too, which is as safe (see the design note) and keeps leases across changes.
    pub exact: bool,
    /// What no fallback policy can leave out, from the settings.
    pub mandatory_fallback: FallbackPolicy,
    /// The persisted fallback policy and its generation.
    pub stored: Option<(Generation, FallbackPolicy)>,
}

impl LeaseConfig {
    /// A configuration with the usual figures and nothing persisted.
    pub fn usual(
        node_id: NodeId,
        incarnation: Incarnation,
        mandatory_fallback: FallbackPolicy,
    ) -> Self {
        Self {
            node_id,
            incarnation,
            lease: LEASE,
            drift: DRIFT,
            renewal: RENEWAL_INTERVAL,
            exact: false,
            mandatory_fallback,
            stored: None,
        }
    }

    /// A time on this clock within which `duration` has not passed on any other clock.
    pub(super) fn lower_bound(&self, duration: Duration) -> Duration {
        duration.saturating_sub(self.drift_within(duration))
    }

    /// A time on this clock after which `duration` has passed on every other clock.
    pub(super) fn upper_bound(&self, duration: Duration) -> Duration {
        duration.saturating_add(self.drift_within(duration))
    }

    fn drift_within(&self, duration: Duration) -> Duration {
        duration.saturating_mul(self.drift) / 1000
    }
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry was applied, in the order of the log. An epoch later than the last begins another log.
    Applied {
        /// The epoch of the log.
        epoch: u32,
        /// The policy after the entry.
        status: Box<PolicyStatus>,
    },
    /// The node to request leases from: the source of the log.
    Parent(Option<NodeId>),
    /// A message from a peer whose incarnation the transport has verified.
    Message {
        /// The sender.
        from: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// This balancer has become the leader.
    Leads {
        /// A time that is not before a majority elected it.
        since: Duration,
        /// The epoch of its log. Without it, entries applied of a log that was given up would count as caught up.
        epoch: u32,
        /// The last index of its log then. It grants no leases of its own before it has applied that entry.
        from: u64,
    },
    /// A majority has answered a round of this leader.
    Round {
        /// When the round began.
        began: Duration,
    },
    /// This balancer is no longer the leader.
    Follows,
    /// The fallback policy of an [`Action::PersistFallbackPolicy`] is persisted. Without a state directory this event
    /// follows at once.
    FallbackPolicyPersisted {
        /// The generation of the fallback policy.
        fallback_generation: Generation,
    },
    /// The metric of the canary, at the leader; `None` if there is none yet.
    CanaryMetric(Option<CanaryMetric>),
    /// The time of [`Action::WakeAt`] has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Publish what requests read from now on.
    Publish(InForce),
    /// Persist the fallback policy, then report [`Event::FallbackPolicyPersisted`]. The action is not repeated: a caller
    /// that cannot write retries until a later one comes.
    PersistFallbackPolicy {
        /// The generation of the fallback policy.
        fallback_generation: Generation,
        /// The fallback policy.
        fallback_policy: Arc<FallbackPolicy>,
    },
    /// Report [`Event::Due`] at this time. It replaces any earlier one.
    WakeAt(Duration),
    /// Propose an entry to the log, at the leader.
    Propose(Entry),
    /// Learn the log from a peer that is at a later generation.
    Learn {
        /// The peer.
        from: NodeId,
        /// Its generation.
        generation: Generation,
    },
    /// Find another parent: the present one has no room, or has granted nothing for as long as a lease lasts.
    ChangeParent {
        /// The present parent.
        current: NodeId,
    },
}
