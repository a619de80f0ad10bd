//! The leases that this balancer has granted to its children, and the generations that the children have confirmed.
//! [`Leases`](super::Leases) decides whether the balancer may grant a lease.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::message::Generation;
use crate::node_set::NodeSet;

/// Maximum number of children: the eight children in the tree, and as many nodes that have lost their own parent. The
/// log accepts the same number of learners, and a learner without a lease would be limited to the fallback policy.
pub const MAX_CHILDREN: usize = 16;
/// Time without a report, about three lost renewals, after which a child no longer counts toward [`MAX_CHILDREN`]. Its
/// leases still count.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of records, including former children and previous incarnations. At the maximum, new children are
/// rejected, for the duration of a lease at most.
const MAX_CHILD_RECORDS: usize = 64;

/// One incarnation of a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ChildId {
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
}

/// The report of a child in its request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ChildReport {
    /// Time at which the report was sent, in microseconds of the child's clock.
    pub(super) sent_at_us: u64,
    /// The generation that the child acts on.
    pub(super) generation: Generation,
    /// Neither the child nor any node below it in the tree acts on an older generation than this.
    pub(super) confirmed: Generation,
    /// The child, and the nodes below it that have recently reported the child's generation.
    pub(super) present: NodeSet,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// The latest report, with the latest confirmed generation of all reports.
    report: ChildReport,
    received_at: Duration,
    /// Time by which all leases granted to the child have ended.
    lease_end: Duration,
    /// Time by which all leases granted to the child for older generations than the current one have ended.
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
    /// Records a child's report. Returns `false` if no more children are accepted.
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
        // Messages may be reordered: a confirmed generation never goes back, and an earlier report does not replace a
        // later one.
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

    /// Records a granted lease that the child may use until `end` on this balancer's clock.
    pub(super) fn record_grant(&mut self, id: ChildId, end: Duration) {
        if let Some(child) = self.0.get_mut(&id) {
            child.lease_end = child.lease_end.max(end);
        }
    }

    /// Records the generation that a former child has confirmed.
    pub(super) fn record_departure(&mut self, id: ChildId, confirmed: Generation) {
        if let Some(child) = self.0.get_mut(&id) {
            child.report.confirmed = child.report.confirmed.max(confirmed);
        }
    }

    /// Starts a new generation: all leases granted so far count as leases of an older generation.
    pub(super) fn start_generation(&mut self) {
        for child in self.0.values_mut() {
            child.older_lease_end = child.older_lease_end.max(child.lease_end);
        }
    }

    /// Drops children without a recent report and without a lease.
    pub(super) fn drop_expired(&mut self, now: Duration) {
        self.0.retain(|_, child| child.is_recent(now) || now <= child.lease_end);
    }

    /// Returns the time until which a child, or a node below it, may act on an older generation than this under a
    /// granted lease; `None` if no node does.
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

    /// Returns the nodes below this balancer that have recently reported this generation.
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
