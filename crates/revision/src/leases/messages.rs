//! Handles messages of other balancers: grants or rejects requests for leases, and extends the own lease by responses.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use super::granted::{ChildId, ChildReport};
use super::interface::Action;
use super::{Lease, Leases};
use crate::message::{Generation, LeaseRejection, Message};

impl Leases {
    pub(super) fn on_message(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        let child = ChildId { node: from, incarnation };
        match message {
            Message::Renew { sent_at_us, generation, confirmed, present, fallback_holders } => {
                if let Some((generation, holders)) = fallback_holders {
                    self.fallback.add_holders(generation, &holders);
                }
                let report = ChildReport { sent_at_us, generation, confirmed, present };
                let message = self.grant_or_reject(child, report);
                actions.push(Action::Send { to: from, message });
                self.learn_if_behind(from, generation, actions);
            }
            Message::Departed { confirmed } => self.granted.record_departure(child, confirmed),
            Message::Grant { incarnation, sent_at_us, generation, duration_us } => {
                let sent_at = Duration::from_micros(sent_at_us);
                if self.take_response(from, incarnation, sent_at) {
                    self.parent.record_response(self.now);
                    self.extend_lease(sent_at, generation, Duration::from_micros(duration_us));
                    self.learn_if_behind(from, generation, actions);
                }
            }
            Message::LeaseRejection { incarnation, sent_at_us, generation, reason } => {
                if self.take_response(from, incarnation, Duration::from_micros(sent_at_us)) {
                    self.learn_if_behind(from, generation, actions);
                    self.on_rejection(from, reason, actions);
                }
            }
        }
    }

    fn learn_if_behind(&self, from: NodeId, generation: Generation, actions: &mut Vec<Action>) {
        if generation > self.generation() {
            actions.push(Action::Learn { from, generation });
        }
    }

    /// Returns whether a response answers a pending renewal of this incarnation, and removes that renewal.
    fn take_response(&mut self, from: NodeId, to: Incarnation, sent_at: Duration) -> bool {
        to == self.config.incarnation && self.parent.take_response(from, sent_at)
    }

    fn grant_or_reject(&mut self, child: ChildId, report: ChildReport) -> Message {
        match self.try_grant(child, report) {
            Ok(remaining) => Message::Grant {
                incarnation: child.incarnation,
                sent_at_us: report.sent_at_us,
                generation: report.generation,
                duration_us: u64::try_from(remaining.as_micros()).unwrap_or(0),
            },
            Err(reason) => Message::LeaseRejection {
                incarnation: child.incarnation,
                sent_at_us: report.sent_at_us,
                generation: self.generation(),
                reason,
            },
        }
    }

    /// Grants the remaining time of the own lease, if the child is at the same generation.
    fn try_grant(
        &mut self,
        child: ChildId,
        report: ChildReport,
    ) -> Result<Duration, LeaseRejection> {
        // Two balancers that are each other's parent would wait for each other's lease.
        if self.parent.node() == Some(child.node) && self.leadership.is_none() {
            return Err(LeaseRejection::Full);
        }
        let lease_end = self.lease_end();
        if !self.granted.record_report(self.now, child, report) {
            return Err(LeaseRejection::Full);
        }
        if self.applied.is_none() || report.generation != self.generation() {
            return Err(LeaseRejection::Generation);
        }
        let remaining = lease_end.ok_or(LeaseRejection::Lease)?.saturating_sub(self.now);
        let end = self.now.saturating_add(self.config.upper_bound(remaining));
        self.granted.record_grant(child, end);
        Ok(remaining)
    }

    /// Extends the own lease. A lease counts from the time of the request, and lasts no longer than the configured
    /// duration, whatever the parent has granted.
    fn extend_lease(&mut self, sent_at: Duration, generation: Generation, duration: Duration) {
        let own = self.generation();
        if self.applied.is_none() || generation.epoch != own.epoch || generation > own {
            return;
        }
        let duration = duration.min(self.config.lease);
        let until = sent_at.saturating_add(self.config.lower_bound(duration));
        let new = Lease { generation, until };
        if self.lease.is_none_or(|old| self.lease_rank(old) < self.lease_rank(new)) {
            self.lease = Some(new);
        }
        // A lease that was requested later than the longest lease after the start of this process comes from a round
        // that the leader began during this incarnation. This process has then applied any fallback policy that its
        // earlier incarnations have confirmed.
        let longest_lease = self.config.upper_bound(self.config.lease);
        let started_at = self.started_at.unwrap_or(self.now);
        if sent_at >= started_at.saturating_add(longest_lease) && generation == own {
            self.fallback.mark_known();
        }
    }

    /// Returns the rank of a lease; a lease of a higher rank replaces one of a lower rank.
    fn lease_rank(&self, lease: Lease) -> (Option<Generation>, Duration) {
        (self.config.exact.then_some(lease.generation), lease.until)
    }

    fn on_rejection(&mut self, from: NodeId, reason: LeaseRejection, actions: &mut Vec<Action>) {
        match reason {
            LeaseRejection::Full => actions.push(Action::ChangeParent { current: from }),
            // One of the two nodes has to catch up; another parent would reject the request, too.
            LeaseRejection::Generation => self.parent.record_response(self.now),
            LeaseRejection::Lease => {}
        }
    }
}
