//! Applies endpoint lists and cordons, and passes to the decision module the subset of upstreams that it is to know. The
//! module `list_watch` obtains lists, and `membership` interprets them.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowpaddle_policy::interface::{Event, ListKind, Member};
use hollowpaddle_revision::lists;
use tokio::time::Instant;

use super::event::EngineEvent;
use super::state::EngineState;
use super::timers::Timer;
use crate::cluster::EndpointListEvent;
use crate::members::{List, Phase};
use crate::restored_list::RestoredList;
use crate::start_times::Delivery;

/// How often the subset is reviewed, if one is configured.
const SUBSET_REVIEW_INTERVAL: Duration = Duration::from_secs(1);

impl EngineState {
    /// Applies an endpoint list.
    pub(super) fn apply_list(&mut self, list: &List, kind: ListKind, delivery: Delivery) {
        let changes = self.upstreams.update(list, kind, delivery);
        for id in &changes.moved {
            self.pool.close_idle(*id);
        }
        self.list_watch.revision = self.upstreams.newest_revision();
        self.share_list_with_cluster(list, kind);
        self.publish_members(changes.kind, changes.members);
        self.forget_departed_upstreams();
    }

    /// Applies the last list that the previous process received over the list of the configuration.
    ///
    /// Discovery is asked for its complete list afterwards: if its version numbers have restarted, changes alone would not
    /// restore the upstreams that this list removed.
    pub(super) fn apply_restored_list(&mut self, restored: RestoredList) {
        let RestoredList { list, is_complete } = restored;
        let members = list.members.len();
        tracing::info!(members, complete = is_complete, "restored endpoint list");
        let (update_kind, publish_kind) = if is_complete {
            (ListKind::Restored, ListKind::Restored)
        } else {
            (ListKind::Update, ListKind::LocalChange)
        };
        let changes = self.upstreams.update(&list, update_kind, Instant::now());
        self.publish_members(publish_kind, changes.members);
        self.forget_departed_upstreams();
        self.list_watch.revision = 0;
        self.upstreams.restart_versions();
    }

    /// Cordons the named upstreams, and uncordons all others.
    pub(super) fn cordon(&mut self, names: &BTreeSet<String>) {
        let changed = self.upstreams.cordon(names, Instant::now());
        // A cordoned upstream is usually about to be restarted, which would reset its idle connections.
        for member in &changed {
            self.pool.close_idle(member.id);
        }
        self.publish_members(ListKind::LocalChange, changed);
    }

    /// Passes changes of upstreams to the decision module, limited to the subset if there is one.
    pub(super) fn publish_members(&mut self, kind: ListKind, members: Vec<Member>) {
        self.ready.set(self.upstreams.any_open() && !self.list_watch.is_expired);
        let now = self.clock.now();
        let list = match &mut self.subset {
            Some(subset) => {
                let last_listed = |id| self.upstreams.member(id);
                let list = subset.apply_list(now, kind, &members, last_listed);
                self.balancer.set_sharers(subset.balancers_per_upstream());
                list
            }
            None => members,
        };
        self.queue_members(kind, list);
    }

    /// Passes the next part of a long list to the decision module, if one is due.
    pub(super) fn publish_next_part(&mut self) {
        if !self.update_queue.is_due() {
            return;
        }
        let part = self.update_queue.next_part();
        self.publish_part(ListKind::LocalChange, &part);
    }

    /// Removes upstreams that have left the subset, and widens the subset while too many of its upstreams are unhealthy.
    pub(super) fn review_subset(&mut self) {
        let now = self.clock.now();
        self.arm_subset_review();
        let (all, healthy) = self.balancer.upstream_counts(now);
        let Some(subset) = &mut self.subset else { return };
        let last_listed = |id| self.upstreams.member(id);
        let mut changed = subset.expire(now, last_listed);
        changed.extend(subset.set_health(now, all, healthy, last_listed));
        self.balancer.set_sharers(subset.balancers_per_upstream());
        if !changed.is_empty() {
            self.queue_members(ListKind::LocalChange, changed);
        }
    }

    /// Arms the next review of the subset.
    pub(super) fn arm_subset_review(&mut self) {
        self.timers.arm(Instant::now() + SUBSET_REVIEW_INTERVAL, Timer::ReviewSubset);
    }

    /// Queues changes for the decision module, and passes their first part to it.
    fn queue_members(&mut self, kind: ListKind, members: Vec<Member>) {
        let last_listed = |id| self.upstreams.member(id);
        let part = self.update_queue.queue_list(kind, members, last_listed);
        self.publish_part(part.kind, &part.members);
    }

    /// Passes a part of a list to the decision module. The next part follows after the events that are already queued.
    fn publish_part(&mut self, kind: ListKind, list: &[Member]) {
        if self.update_queue.is_due() {
            let _ = self.events.send(EngineEvent::NextListPart);
        }
        self.notify_policy(Event::Members { kind, list });
    }

    /// Removes departed upstreams that no attempt uses any more.
    fn forget_departed_upstreams(&mut self) {
        for id in self.upstreams.forget_departed() {
            self.pool.close_idle(id);
        }
    }

    /// Reports the list to the cluster, for the other balancers.
    fn share_list_with_cluster(&self, list: &List, kind: ListKind) {
        let Some(cluster) = &self.cluster else { return };
        let entries = list.members.iter().map(|m| (m.id.to_string(), shared_phase(m.phase)));
        cluster.report_endpoint_list(EndpointListEvent::List {
            version: list.revision,
            is_complete: kind == ListKind::Complete,
            entries: entries.collect(),
        });
    }
}

/// Converts the phase of an upstream to the type that the cluster's messages use.
fn shared_phase(phase: Phase) -> lists::Phase {
    match phase {
        Phase::Serving => lists::Phase::Serving,
        Phase::Draining | Phase::Unknown => lists::Phase::Draining,
        Phase::Deleted => lists::Phase::Ended,
    }
}
