//! The link to the parent: when a lease is requested, which responses count, and which former parents have to be
//! notified. What the requests say is decided by [`Leases`](super::Leases).

use std::collections::VecDeque;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::interface::LeaseConfig;

/// The shortest time between two renewals, however fast the policy changes.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(20);
/// The first retry of a renewal without a response; each further one waits twice as long, up to the usual interval.
const MIN_RENEWAL_RETRY: Duration = Duration::from_millis(60);
/// The most doublings of [`MIN_RENEWAL_RETRY`].
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// Renewals are more frequent by this factor when less than half of a lease is left.
const URGENT_RENEWAL_FACTOR: u32 = 3;
/// The most former parents that are notified of confirmations. Any other waits for the end of its lease.
const MAX_FORMER_PARENTS: usize = 4;
/// The most renewals that may still be answered. A response to an older one comes later than a lease lasts.
const MAX_PENDING_RENEWALS: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Parent {
    node: NodeId,
    /// When it last granted something, or became the parent.
    last_response: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FormerParent {
    node: NodeId,
    /// Until when it may count a lease of this balancer as running.
    until: Duration,
}

/// The link to the present parent and its predecessors.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ParentLink {
    parent: Option<Parent>,
    former: Vec<FormerParent>,
    /// When the renewals were sent that have no response yet.
    pending_renewals: VecDeque<Duration>,
    /// The parent has to learn something that no renewal has reported.
    is_urgent: bool,
    last_renewal: Option<Duration>,
    /// Renewals since the last one that was answered.
    unanswered: u32,
}

impl ParentLink {
    /// The present parent.
    pub(super) fn node(&self) -> Option<NodeId> {
        self.parent.as_ref().map(|parent| parent.node)
    }

    /// Changes the parent. A former one counts its leases, also those that were lost on the way, for `longest_lease`
    /// at most.
    pub(super) fn change(&mut self, now: Duration, node: Option<NodeId>, longest_lease: Duration) {
        if self.node() == node {
            return;
        }
        if let Some(last) = self.parent.take() {
            let until = now.saturating_add(longest_lease);
            self.former.retain(|former| former.node != last.node && former.until > now);
            self.former.push(FormerParent { node: last.node, until });
            if self.former.len() > MAX_FORMER_PARENTS {
                self.former.remove(0);
            }
        }
        self.parent = node.map(|node| Parent { node, last_response: now });
        self.request_renewal();
    }

    /// Makes the next renewal due as soon as [`MIN_RENEWAL_INTERVAL`] allows.
    pub(super) fn request_renewal(&mut self) {
        self.is_urgent = true;
    }

    /// Former parents that may still count a lease as running.
    pub(super) fn waiting_former_parents(&self, now: Duration) -> impl Iterator<Item = NodeId> {
        self.former.iter().filter(move |former| former.until > now).map(|former| former.node)
    }

    /// Records that a renewal is sent.
    pub(super) fn record_renewal(&mut self, now: Duration) {
        self.is_urgent = false;
        self.last_renewal = Some(now);
        self.unanswered = self.unanswered.saturating_add(1);
        self.pending_renewals.push_back(now);
        if self.pending_renewals.len() > MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_front();
        }
    }

    /// Whether a response from `from` answers a pending renewal to the present parent. Each is answered once.
    pub(super) fn take_response(&mut self, from: NodeId, sent_at: Duration) -> bool {
        if self.node() != Some(from) {
            return false;
        }
        let Some(at) = self.pending_renewals.iter().position(|sent| *sent == sent_at) else {
            return false;
        };
        self.pending_renewals.remove(at);
        if self.last_renewal == Some(sent_at) {
            self.unanswered = 0;
        }
        true
    }

    /// Records that the parent is of use: it has granted a lease, or another parent would not have.
    pub(super) fn record_response(&mut self, now: Duration) {
        if let Some(parent) = &mut self.parent {
            parent.last_response = now;
        }
    }

    /// Whether the parent has granted nothing for `timeout`. Returns `true` once in that time.
    pub(super) fn take_timeout(&mut self, now: Duration, timeout: Duration) -> bool {
        let Some(parent) = &mut self.parent else { return false };
        let is_timed_out = now > parent.last_response.saturating_add(timeout);
        if is_timed_out {
            parent.last_response = now;
        }
        is_timed_out
    }

    /// When the next renewal is due, with so much of the lease remaining; `None` without a parent.
    pub(super) fn renewal_due_at(
        &self,
        now: Duration,
        remaining: Duration,
        config: &LeaseConfig,
    ) -> Option<Duration> {
        self.parent.as_ref()?;
        let Some(last_renewal) = self.last_renewal else { return Some(now) };
        let is_ending = remaining.saturating_mul(2) < config.lease;
        let interval =
            if is_ending { config.renewal / URGENT_RENEWAL_FACTOR } else { config.renewal };
        let wait = if self.is_urgent {
            MIN_RENEWAL_INTERVAL
        } else if self.unanswered == 0 {
            interval
        } else {
            let doublings = (self.unanswered - 1).min(MAX_RETRY_DOUBLINGS);
            MIN_RENEWAL_RETRY.saturating_mul(1 << doublings)
        };
        Some(last_renewal.saturating_add(wait.min(interval)))
    }
}
