//! The leases of one balancer. The state machine decides how long the balancer may act on the agreed policy, grants
//! leases to its children in the dissemination tree, tracks which generation and which fallback policy are confirmed at
//! the balancer and below it, and makes the leader's proposals.
//!
//! The module [`policy_state`](crate::policy_state) determines the rules of a generation, and the replicated log
//! determines the leader. The caller carries out the [`Action`]s: it persists, sends and publishes.

mod fallback;
mod granted;
mod interface;
mod leader;
mod leadership;
mod messages;
mod parent;
pub mod status;

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use self::fallback::HeldFallback;
use self::granted::GrantedLeases;
pub use self::interface::{Action, Event, LeaseConfig};
use self::leadership::{CanaryInForce, Leadership, LogPosition, SentProposal};
use self::parent::ParentLink;
use crate::canary::CanaryMetric;
use crate::in_force::InForce;
use crate::message::{Generation, Message};
use crate::node_set::NodeSet;
use crate::policy_state::PolicyStatus;

/// The policy after the last entry that this balancer has applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AppliedPolicy {
    generation: Generation,
    status: PolicyStatus,
}

impl AppliedPolicy {
    fn position(&self) -> LogPosition {
        LogPosition { epoch: self.generation.epoch, index: self.status.index }
    }
}

/// A lease that the parent has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    /// The generation that the parent acted on when it granted the lease.
    generation: Generation,
    until: Duration,
}

/// The state machine of one balancer's leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    config: LeaseConfig,
    /// The latest time of any event; earlier times are ignored.
    now: Duration,
    /// The time of the first event.
    started_at: Option<Duration>,
    applied: Option<AppliedPolicy>,
    lease: Option<Lease>,
    fallback: HeldFallback,
    parent: ParentLink,
    granted: GrantedLeases,
    /// Neither this balancer nor any below it in the tree acts on an older generation than this.
    confirmed: Generation,
    leadership: Option<Leadership>,
    canary: Option<CanaryInForce>,
    canary_metric: Option<CanaryMetric>,
    proposed: Option<SentProposal>,
    /// At the leader: the nodes that have not recently reported the current generation, and since when.
    missing: BTreeMap<NodeId, Duration>,
    published: Option<InForce>,
    next_wake: Option<Duration>,
}

impl Leases {
    /// Returns the state of a process that has just started. The process holds no lease, and follows the stored
    /// fallback policy or, without one, the mandatory fallback.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            fallback: HeldFallback::new(&config),
            config,
            now: Duration::ZERO,
            started_at: None,
            applied: None,
            lease: None,
            parent: ParentLink::default(),
            granted: GrantedLeases::default(),
            confirmed: Generation::default(),
            leadership: None,
            canary: None,
            canary_metric: None,
            proposed: None,
            missing: BTreeMap::new(),
            published: None,
            next_wake: None,
        }
    }

    /// Handles an event at `now`, given as time since the start of the process, and appends the resulting actions. If
    /// `now` is earlier than in a previous call, the latest time seen is used.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // Messages carry times in microseconds, so a finer resolution would be lost.
        self.now = self.now.max(Duration::from_micros(to_micros(now)));
        self.started_at.get_or_insert(self.now);
        self.granted.drop_expired(self.now);
        self.handle_event(event, actions);
        self.adopt_fallback(actions);
        self.confirm_generation(actions);
        self.renew(actions);
        self.propose(actions);
        self.publish(actions);
        self.schedule_wake(actions);
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Applied { epoch, status } => self.on_applied(epoch, *status),
            Event::Parent(node) => {
                let longest_lease = self.config.upper_bound(self.config.lease);
                self.parent.change(self.now, node, longest_lease);
            }
            Event::Message { from, incarnation, message } => {
                self.on_message(from, incarnation, message, actions);
            }
            Event::Leads { since, epoch, last_index } => {
                let caught_up_at = LogPosition { epoch, index: last_index };
                self.leadership = Some(Leadership::new(since, caught_up_at));
            }
            Event::Round { began } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.record_round(self.now, began);
                }
            }
            Event::Follows => {
                self.leadership = None;
                self.missing.clear();
            }
            Event::FallbackPolicyPersisted { fallback_generation } => {
                self.fallback.mark_persisted(fallback_generation);
            }
            Event::CanaryMetric(metric) => self.canary_metric = metric,
            Event::Due => {}
        }
    }

    fn on_applied(&mut self, epoch: u32, status: PolicyStatus) {
        let generation = Generation { epoch, index: status.generation };
        if let Some(last) = &self.applied
            && (generation < last.generation
                || epoch == last.generation.epoch && status.index < last.status.index)
        {
            return;
        }
        if self.applied.as_ref().is_none_or(|last| generation != last.generation) {
            self.granted.start_generation();
            self.parent.request_renewal();
            self.missing.clear();
        }
        let revision = status.canary.map(|canary| canary.revision);
        if self.canary.map(|canary| canary.revision) != revision {
            let since = self.now;
            self.canary = revision.map(|revision| CanaryInForce { revision, since });
        }
        self.applied = Some(AppliedPolicy { generation, status });
    }

    fn generation(&self) -> Generation {
        self.applied.as_ref().map_or(Generation::default(), |applied| applied.generation)
    }

    /// Returns the time until which this balancer may act on its generation and grant leases for it; `None` if it holds
    /// no lease.
    fn lease_end(&self) -> Option<Duration> {
        let generation = self.applied.as_ref()?.generation;
        // A lease of another epoch may be for a policy that is not in this log.
        let is_valid = |lease: &Lease| {
            if self.config.exact {
                lease.generation == generation
            } else {
                lease.generation.epoch == generation.epoch
            }
        };
        let granted = self.lease.filter(is_valid).map(|lease| lease.until);
        let round = self.caught_up_leadership().and_then(|leadership| leadership.last_round);
        let lower_bound = self.config.lower_bound(self.config.lease);
        let round_lease_end = round.map(|began| began.saturating_add(lower_bound));
        granted.max(round_lease_end).filter(|until| self.now < *until)
    }

    /// Adopts the agreed fallback policy, if this process knows the policy of its earlier incarnations, and counts the
    /// balancer as a holder.
    fn adopt_fallback(&mut self, actions: &mut Vec<Action>) {
        let Some(AppliedPolicy { generation, status }) = &self.applied else { return };
        let fallback_generation =
            Generation { epoch: generation.epoch, index: status.fallback_generation };
        // A leader that has applied everything committed before its election knows that policy.
        if self.caught_up_leadership().is_some_and(|leadership| leadership.last_round.is_some()) {
            self.fallback.mark_known();
        }
        let policy = status.fallback_policy.clone();
        self.fallback.adopt(fallback_generation, policy, self.config.node_id, actions);
    }

    /// Confirms the current generation once neither this balancer nor any below it acts on an older one.
    fn confirm_generation(&mut self, actions: &mut Vec<Action>) {
        let generation = self.generation();
        if self.applied.is_some()
            && self.confirmed != generation
            && self.granted.unconfirmed_until(self.now, generation).is_none()
        {
            self.confirmed = generation;
            self.parent.request_renewal();
            self.notify_former_parents(actions);
        }
    }

    fn notify_former_parents(&self, actions: &mut Vec<Action>) {
        let message = Message::Departed { confirmed: self.confirmed };
        for to in self.parent.waiting_former_parents(self.now) {
            actions.push(Action::Send { to, message: message.clone() });
        }
    }

    /// Requests a lease from the parent if the next renewal is due.
    fn renew(&mut self, actions: &mut Vec<Action>) {
        let Some(to) = self.parent.node() else { return };
        if self.renewal_due_at().is_none_or(|due| self.now < due) {
            return;
        }
        self.notify_former_parents(actions);
        self.parent.record_renewal(self.now);
        let is_awaited = self
            .applied
            .as_ref()
            .is_some_and(|applied| applied.status.awaits_fallback_confirmation);
        let message = Message::Renew {
            sent_at_us: to_micros(self.now),
            generation: self.generation(),
            confirmed: self.confirmed,
            present: self.present_nodes(),
            fallback_holders: is_awaited.then_some(self.fallback.holders_by_generation()),
        };
        actions.push(Action::Send { to, message });
        if self.applied.is_some() && self.parent.take_timeout(self.now, self.config.lease) {
            actions.push(Action::ChangeParent { current: to });
        }
    }

    fn renewal_due_at(&self) -> Option<Duration> {
        let remaining = self.lease_end().map_or(Duration::ZERO, |end| end.saturating_sub(self.now));
        self.parent.renewal_due_at(self.now, remaining, &self.config)
    }

    /// Returns this balancer and the nodes below it that have recently reported its generation.
    fn present_nodes(&self) -> NodeSet {
        let mut present = self.granted.present_nodes(self.now, self.generation());
        present.insert(self.config.node_id);
        present
    }

    /// Returns the rules in force at the time of the last event.
    pub fn in_force(&self) -> InForce {
        let fallback_policy = self.fallback.rules().clone();
        let agreed = self.applied.as_ref().map(|applied| applied.status.rules.clone());
        InForce {
            rules: agreed.unwrap_or_else(|| fallback_policy.clone()),
            generation: self.generation(),
            until: self.lease_end().unwrap_or(Duration::ZERO),
            fallback_policy,
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        let in_force = self.in_force();
        if self.published.as_ref() != Some(&in_force) {
            self.published = Some(in_force.clone());
            actions.push(Action::Publish(in_force));
        }
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let granted = self.granted.unconfirmed_until(self.now, self.generation()).map(just_after);
        let times = [self.renewal_due_at(), granted, self.leader_wake()];
        let next = times.into_iter().flatten().min();
        if let Some(next) = next.filter(|at| self.next_wake != Some(*at) || *at <= self.now) {
            self.next_wake = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }
}

/// Returns the first time after `time` at the resolution of messages, 1 us.
fn just_after(time: Duration) -> Duration {
    time.saturating_add(Duration::from_micros(1))
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
