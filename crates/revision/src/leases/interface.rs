//! Configuration, events and actions of [`Leases`](super::Leases), with the allowance for clock drift.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::canary::CanaryMetric;
use crate::entry::Entry;
use crate::fallback_policy::FallbackPolicy;
use crate::in_force::InForce;
use crate::message::{Generation, Message};
use crate::policy_state::PolicyStatus;

/// Default duration of a lease.
const DEFAULT_LEASE_DURATION: Duration = Duration::from_secs(2);
/// Default interval between renewals.
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Default bound on clock drift, in thousandths.
const DEFAULT_DRIFT_THOUSANDTHS: u32 = 10;

/// The identity of a balancer and the lease parameters, which are the same at all balancers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The balancer's number.
    pub node_id: NodeId,
    /// The balancer's incarnation. Responses to requests of another incarnation are ignored.
    pub incarnation: Incarnation,
    /// Duration of a lease.
    pub lease: Duration,
    /// Maximum drift of one clock against another, in thousandths.
    pub drift: u32,
    /// Interval between renewals of a lease.
    pub renewal: Duration,
    /// Whether a lease is valid only for the generation that it names. Otherwise the lease is valid for later
    /// generations of the same epoch, too, which is as safe (see the design note) and keeps leases across changes.
    pub exact: bool,
    /// The mandatory fallback, which every fallback policy includes, from the settings.
    pub mandatory_fallback: FallbackPolicy,
    /// The persisted fallback policy and its generation.
    pub stored: Option<(Generation, FallbackPolicy)>,
}

impl LeaseConfig {
    /// Returns a configuration with the default parameters and no persisted fallback policy.
    pub fn usual(
        node_id: NodeId,
        incarnation: Incarnation,
        mandatory_fallback: FallbackPolicy,
    ) -> Self {
        Self {
            node_id,
            incarnation,
            lease: DEFAULT_LEASE_DURATION,
            drift: DEFAULT_DRIFT_THOUSANDTHS,
            renewal: DEFAULT_RENEWAL_INTERVAL,
            exact: false,
            mandatory_fallback,
            stored: None,
        }
    }

    /// Returns a time span on this clock within which `duration` has not passed on any other clock.
    pub(super) fn lower_bound(&self, duration: Duration) -> Duration {
        duration.saturating_sub(self.drift_within(duration))
    }

    /// Returns a time span on this clock after which `duration` has passed on every other clock.
    pub(super) fn upper_bound(&self, duration: Duration) -> Duration {
        duration.saturating_add(self.drift_within(duration))
    }

    fn drift_within(&self, duration: Duration) -> Duration {
        duration.saturating_mul(self.drift) / 1000
    }
}

/// An input of [`Leases`](super::Leases).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry was applied, in the order of the log. A later epoch than in the previous event begins another log.
    Applied {
        /// The epoch of the log.
        epoch: u32,
        /// The status of the policy after the entry.
        status: Box<PolicyStatus>,
    },
    /// The parent has changed: the node that leases are requested from, which is also the source of the log.
    Parent(Option<NodeId>),
    /// A message from a peer whose incarnation the transport has verified.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// This balancer has become the leader.
    Leads {
        /// A time at or after the election of this leader by a majority.
        since: Duration,
        /// The epoch of the leader's log. It prevents entries applied from an abandoned log from counting as caught up.
        epoch: u32,
        /// The last index of the log at the election. The leader grants no leases of its own before it has applied the
        /// entry with this index.
        last_index: u64,
    },
    /// A majority has answered a round of this leader.
    Round {
        /// The start of the round.
        began: Duration,
    },
    /// This balancer is no longer the leader.
    Follows,
    /// The fallback policy of an [`Action::PersistFallbackPolicy`] is persisted. Without a state directory the caller
    /// reports this event at once.
    FallbackPolicyPersisted {
        /// The generation of the fallback policy.
        fallback_generation: Generation,
    },
    /// At the leader: the metric of the canary; `None` if there is no metric yet.
    CanaryMetric(Option<CanaryMetric>),
    /// The time of [`Action::WakeAt`] has come.
    Due,
}

/// An output of [`Leases`](super::Leases), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. The message may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Publish the rules that requests read from now on.
    Publish(InForce),
    /// Persist the fallback policy, then report [`Event::FallbackPolicyPersisted`]. The action is not repeated: a
    /// caller that fails to write retries until it succeeds or a later action replaces this one.
    PersistFallbackPolicy {
        /// The generation of the fallback policy.
        fallback_generation: Generation,
        /// The fallback policy.
        fallback_policy: Arc<FallbackPolicy>,
    },
    /// Report [`Event::Due`] at this time, instead of any time requested earlier.
    WakeAt(Duration),
    /// At the leader: propose an entry to the log.
    Propose(Entry),
    /// Learn the log from a peer that is at a later generation.
    Learn {
        /// The peer.
        from: NodeId,
        /// The peer's generation.
        generation: Generation,
    },
    /// Find another parent, since the current one accepts no more children, or has granted nothing for the duration of
    /// a lease.
    ChangeParent {
        /// The current parent.
        current: NodeId,
    },
}
