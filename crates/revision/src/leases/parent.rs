//! The link to the parent: decides when a lease is requested, which responses are accepted, and which former parents
//! have to be notified. [`Leases`](super::Leases) decides the content of the requests.

use std::collections::VecDeque;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use super::interface::LeaseConfig;

/// Minimum time between two renewals, however fast the policy changes.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the first retry of a renewal without a response. The delay doubles with each further retry, up to the
/// regular interval.
const MIN_RENEWAL_RETRY: Duration = Duration::from_millis(60);
/// Maximum number of doublings of [`MIN_RENEWAL_RETRY`].
const MAX_RETRY_DOUBLINGS: u32 = 8;
/// Factor by which renewals are more frequent when less than half of a lease remains.
const URGENT_RENEWAL_FACTOR: u32 = 3;
/// Maximum number of former parents that are notified of confirmations. Any other former parent waits for the end of
/// the lease that it granted.
const MAX_FORMER_PARENTS: usize = 4;
/// Maximum number of pending renewals. A response to an older renewal arrives later than the duration of a lease.
const MAX_PENDING_RENEWALS: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Parent {
    node: NodeId,
    /// Time of the last response that shows the parent to be useful, or of the change to this parent.
    last_response: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FormerParent {
    node: NodeId,
    /// Time until which the former parent may regard a lease of this balancer as running.
    until: Duration,
}

/// The link to the current parent and to former parents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ParentLink {
    parent: Option<Parent>,
    former: Vec<FormerParent>,
    /// Send times of the renewals that have no response yet.
    pending_renewals: VecDeque<Duration>,
    /// Whether the parent has to be notified of a change that no renewal has reported yet.
    is_urgent: bool,
    last_renewal: Option<Duration>,
    /// Number of renewals since the last one that was answered.
    unanswered: u32,
}

impl ParentLink {
    /// Returns the current parent.
    pub(super) fn node(&self) -> Option<NodeId> {
        self.parent.as_ref().map(|parent| parent.node)
    }

    /// Changes the parent. A former parent regards the leases that it granted, including grants that were lost on the
    /// way, as running for `longest_lease` at most.
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

    /// Returns the former parents that may still regard a lease as running.
    pub(super) fn waiting_former_parents(&self, now: Duration) -> impl Iterator<Item = NodeId> {
        self.former.iter().filter(move |former| former.until > now).map(|former| former.node)
    }

    /// Records that a renewal is sent at `now`.
    pub(super) fn record_renewal(&mut self, now: Duration) {
        self.is_urgent = false;
        self.last_renewal = Some(now);
        self.unanswered = self.unanswered.saturating_add(1);
        self.pending_renewals.push_back(now);
        if self.pending_renewals.len() > MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_front();
        }
    }

    /// Returns whether a response from `from` answers a pending renewal to the current parent, and removes that
    /// renewal, so that each renewal is answered once.
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

    /// Records that the parent is useful: it has granted a lease, or has rejected the request for a reason for which
    /// any other parent would have rejected it, too.
    pub(super) fn record_response(&mut self, now: Duration) {
        if let Some(parent) = &mut self.parent {
            parent.last_response = now;
        }
    }

    /// Returns whether the parent has granted nothing for `timeout`. Returns `true` at most once in that time.
    pub(super) fn take_timeout(&mut self, now: Duration, timeout: Duration) -> bool {
        let Some(parent) = &mut self.parent else { return false };
        let is_timed_out = now > parent.last_response.saturating_add(timeout);
        if is_timed_out {
            parent.last_response = now;
        }
        is_timed_out
    }

    /// Returns the time at which the next renewal is due when `remaining` of the lease is left; `None` without a
    /// parent.
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
