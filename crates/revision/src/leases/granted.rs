//! The leases that this balancer has granted to its children, and what the children have confirmed. Whether it may
//! grant any is decided by [`Leases`](super::Leases).

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::message::Generation;
use crate::node_set::NodeSet;

/// The most children: the eight of the tree, and as many that have lost their own parent. The log accepts as many
/// learners, and a learner without a lease would keep to the fallback policy.
pub const MAX_CHILDREN: usize = 16;
/// A child that was not heard of for so long, three lost renewals, makes room for another. Its leases still count.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(1);
/// The most records, including former children and previous incarnations. When they are full, new children are
/// rejected, for the duration of a lease at most.
const MAX_CHILD_RECORDS: usize = 64;

/// One incarnation of a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ChildId {
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
}

/// What a child reports when it requests a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ChildReport {
    /// When it was sent, in microseconds of the child's clock.
    pub(super) sent_at_us: u64,
    /// The generation that the child acts on.
    pub(super) generation: Generation,
    /// Neither the child nor any node below it acts on an older generation than this.
    pub(super) confirmed: Generation,
    /// The child and the nodes below it that were heard of recently at its generation.
    pub(super) present: NodeSet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// The latest report, and the latest confirmation of all reports.
    report: ChildReport,
    received_at: Duration,
    /// All leases that it was granted have ended by then.
    lease_end: Duration,
    /// All leases of older generations than the present one have ended by then.
    older_lease_end: Duration,
}

impl Child {
    fn is_recent(&self, now: Duration) -> bool {
        now <= self.received_at.saturating_add(CHILD_TIMEOUT)
    }
}

/// The leases granted to all children.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantedLeases(BTreeMap<ChildId, Child>);

impl GrantedLeases {
    /// Records a child's report. Returns `false` if there is no room for the child.
    pub(super) fn record_report(
        &mut self,
        now: Duration,
        id: ChildId,
        report: ChildReport,
    ) -> bool {
        if !self.0.contains_key(&id) && !self.has_capacity(now, id.node) {
            return false;
        }
        let child = self.0.entry(id).or_insert(Child {
            report,
            received_at: now,
            lease_end: Duration::ZERO,
            older_lease_end: Duration::ZERO,
        });
        // Messages may be reordered: a confirmation stays, and a later report is not replaced by an earlier one.
        let confirmed = child.report.confirmed.max(report.confirmed);
        if report.sent_at_us >= child.report.sent_at_us {
            child.report = report;
            child.received_at = now;
        }
        child.report.confirmed = confirmed;
        true
    }

    fn has_capacity(&self, now: Duration, node: NodeId) -> bool {
        let others = self.0.iter().filter(|(id, child)| id.node != node && child.is_recent(now));
        others.count() < MAX_CHILDREN && self.0.len() < MAX_CHILD_RECORDS
    }

    /// Records that a child was granted a lease that it may count until `end`, by this balancer's clock.
    pub(super) fn record_grant(&mut self, id: ChildId, end: Duration) {
        if let Some(child) = self.0.get_mut(&id) {
            child.lease_end = child.lease_end.max(end);
        }
    }

    /// Records what a former child has confirmed.
    pub(super) fn record_departure(&mut self, id: ChildId, confirmed: Generation) {
        if let Some(child) = self.0.get_mut(&id) {
            child.report.confirmed = child.report.confirmed.max(confirmed);
        }
    }

    /// From now on all leases granted so far are of an older generation.
    pub(super) fn start_generation(&mut self) {
        for child in self.0.values_mut() {
            child.older_lease_end = child.older_lease_end.max(child.lease_end);
        }
    }

    /// Drops children that were not heard of recently and hold no lease.
    pub(super) fn drop_expired(&mut self, now: Duration) {
        self.0.retain(|_, child| child.is_recent(now) || now <= child.lease_end);
    }

    /// Until when somebody under a granted lease may act on an older generation than this; `None` if nobody does.
    pub(super) fn unconfirmed_until(
        &self,
        now: Duration,
        generation: Generation,
    ) -> Option<Duration> {
        let unconfirmed = self
            .0
            .values()
            .filter(|child| child.report.confirmed < generation && now <= child.older_lease_end);
        unconfirmed.map(|child| child.older_lease_end).max()
    }

    /// The nodes below this balancer that were heard of recently at this generation.
    pub(super) fn present_nodes(&self, now: Duration, generation: Generation) -> NodeSet {
        let mut present = NodeSet::default();
        for child in self.0.values() {
            if child.report.generation == generation && child.is_recent(now) {
                present.extend(&child.report.present);
            }
        }
        present
    }
}
