//! The recovery of a replica: a replica that has lost its state votes again under a new incarnation count, and a
//! replica with a directory decides whether to trust it. After a majority has lost its state, `epoch_bootstrap`
//! bootstraps an epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::interface::Action;
use crate::log::{Log, SnapshotBase};
use crate::message::{MessageBody, ReplicaStatus, View};
use crate::replica::Replica;
use crate::replica_state::{
    BegunIncarnation, RecoveryReport, RecoveryState, StateLossReport, StatusReport,
};
use crate::state_transfer::StateTransfer;
use crate::timing::{HEARTBEAT_INTERVAL, LEARNER_QUERY_PERIOD, VIEW_CHANGE_TIMEOUT};
use crate::voter_set::VoterSet;

/// Time without responses of a majority in a view after which a replica resumes from its directory.
pub const DIRECTORY_RECOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of learners that are queried for their copies of the log in one interval of 100 ms: 300 learners within half
/// a second.
const LEARNERS_PER_INTERVAL: u16 = 64;

impl Replica {
    /// Starts recovery, with the state of a directory or without any.
    pub(crate) fn start_recovery(&mut self, has_directory: bool) {
        self.abandon_transitions();
        self.leadership = None;
        self.votes.clear();
        self.state_lost = !has_directory;
        if !has_directory {
            self.last_normal_view = View::default();
            let voter_set = self.voter_set.clone();
            self.log = Log::new(SnapshotBase { voter_set, ..SnapshotBase::default() });
            self.commit = 0;
            self.proposals.clear();
        }
        if !self.voter_set.voters.contains(&self.config.node_id) {
            self.status = ReplicaStatus::NonVoter;
            return;
        }
        self.status =
            if has_directory { ReplicaStatus::Recovering } else { ReplicaStatus::WithoutState };
        let nonce = self.sample(u64::MAX) ^ u64::from(self.config.incarnation.0) << 32;
        self.recovery = Some(RecoveryState {
            nonce,
            has_directory,
            began_at: self.now,
            due: self.now,
            reports: BTreeMap::new(),
            state_losses: BTreeMap::new(),
            begun_incarnation: None,
            responses: BTreeMap::new(),
            best_copy: None,
            next_learner: 0,
        });
    }

    pub(crate) fn tick_recovery(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(recovery) = self.recovery.as_mut().filter(|recovery| now >= recovery.due) else {
            return;
        };
        recovery.due = now + HEARTBEAT_INTERVAL;
        if self.transfer.is_some() && now > self.next_view_change {
            // The source of the transfer no longer responds, so the peers are queried again for the current view.
            self.transfer = None;
            recovery.responses.clear();
        }
        let (nonce, has_begun) = (recovery.nonce, recovery.begun_incarnation.is_some());
        if !recovery.has_directory && !has_begun {
            self.query_learners(nonce, actions);
        }
        let requested_at_ms = now.as_millis() as u64;
        self.broadcast(&MessageBody::StatusRequest { nonce, requested_at_ms }, actions);
        if has_begun && self.transfer.is_none() {
            self.broadcast(&MessageBody::Recovery { nonce }, actions);
        }
        self.advance_recovery(actions);
    }

    /// Queries the next learners for the positions of their copies of the log.
    fn query_learners(&mut self, nonce: u64, actions: &mut Vec<Action>) {
        let cluster_size = self.config.cluster_size;
        let Some(recovery) = &mut self.recovery else { return };
        let first = recovery.next_learner;
        let end = first.saturating_add(LEARNERS_PER_INTERVAL).min(cluster_size);
        recovery.next_learner = if end >= cluster_size { 0 } else { end };
        for learner in (first..end).map(NodeId) {
            self.send(learner, MessageBody::LearnerStatusRequest { nonce }, actions);
        }
    }

    fn advance_recovery(&mut self, actions: &mut Vec<Action>) {
        if self.begin_incarnation(actions) {
            return;
        }
        let Some(recovery) = &self.recovery else { return };
        if recovery.has_directory {
            self.consider_directory(actions);
        } else if recovery.begun_incarnation.is_none()
            && self.has_passed(recovery.began_at, LEARNER_QUERY_PERIOD)
        {
            self.consider_bootstrap(actions);
        }
    }

    /// Begins the next incarnation once a majority has responded in normal status. A majority knows all incarnations of
    /// this node that have ever voted.
    fn begin_incarnation(&mut self, actions: &mut Vec<Action>) -> bool {
        let (now, own) = (self.now, self.own_incarnation_count());
        let voter_set = &self.voter_set;
        let Some(recovery) = &mut self.recovery else { return false };
        if recovery.begun_incarnation.is_some() {
            return false;
        }
        let is_normal = |report: &StatusReport| {
            report.status == ReplicaStatus::Normal && is_recent(now, report)
        };
        let reports = &recovery.reports;
        let normal =
            voter_set.voters.iter().filter(|node| reports.get(node).is_some_and(is_normal));
        if normal.count() < voter_set.majority() {
            return false;
        }
        let known = reports.values().map(|report| report.our_incarnation_count).max();
        let count = known.unwrap_or(0).max(own).saturating_add(1);
        recovery.begun_incarnation = Some(BegunIncarnation { count, since: now });
        let nonce = recovery.nonce;
        self.incarnation_counts.insert(self.config.node_id, count);
        self.broadcast(&MessageBody::Recovery { nonce }, actions);
        true
    }

    /// Resumes from the directory if no majority in a view has responded in time and no peer knows of later state.
    fn consider_directory(&mut self, actions: &mut Vec<Action>) {
        let Some(recovery) = &self.recovery else { return };
        let has_waited = match recovery.begun_incarnation {
            Some(begun) => self.has_passed(begun.since, LEARNER_QUERY_PERIOD),
            None => self.has_passed(recovery.began_at, DIRECTORY_RECOVERY_TIMEOUT),
        };
        let answered = recovery.reports.keys().chain([&self.config.node_id]);
        if !has_waited || self.transfer.is_some() || !self.voter_set.is_majority(answered) {
            return;
        }
        let own = self.own_incarnation_count();
        let mut reports = recovery.reports.values();
        let has_later_records = reports.clone().any(|report| report.persisted > self.persisted);
        let has_later_incarnation = reports.any(|report| report.our_incarnation_count > own);
        if has_later_records {
            let reason = "peers know of more records: the directory is an old copy, or a sync lied";
            self.lose_state(reason, actions);
        } else if has_later_incarnation {
            let reason = "peers know a later incarnation of this node, which persisted no records";
            self.lose_state(reason, actions);
        } else {
            self.resume_from_directory(actions);
        }
    }

    fn resume_from_directory(&mut self, actions: &mut Vec<Action>) {
        self.recovery = None;
        self.state_lost = false;
        let is_in_view = self.view == self.last_normal_view;
        self.status = if is_in_view { ReplicaStatus::Normal } else { ReplicaStatus::ViewChange };
        self.highest_view_number = self.view.number;
        self.next_view_change = self.now;
        self.persist_view_promise(actions);
        self.deliver_committed(actions);
    }

    pub(crate) fn on_status_request(
        &mut self,
        from: NodeId,
        nonce: u64,
        requested_at_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        // The sender has restarted, so its earlier vote without state is void.
        if self.votes.get(&from).is_some_and(|vote| vote.state_lost) {
            self.votes.remove(&from);
        }
        let response = MessageBody::StatusResponse {
            nonce,
            requested_at_ms,
            status: self.advertised_status(),
            own_incarnation: u64::from(self.config.incarnation.0),
            persisted: self.peers.get(&from).map_or(0, |peer| peer.persisted),
            commit: self.commit,
            voter_set: self.voter_set.clone(),
        };
        self.send(from, response, actions);
    }

    pub(crate) fn on_status_response(
        &mut self,
        from: NodeId,
        nonce: u64,
        report: StatusReport,
        voter_set: &VoterSet,
    ) {
        let is_expected = self.recovery.as_ref().is_some_and(|recovery| recovery.nonce == nonce);
        if !is_expected || !self.voter_set.voters.contains(&from) {
            return;
        }
        if self.state_lost {
            // Record numbers continue from the greatest number that the peers know, so that a later start does not
            // mistake the new directory for an old copy.
            self.continue_numbers_after(report.persisted);
        }
        let Some(recovery) = &mut self.recovery else { return };
        let is_later = |known: &StatusReport| known.requested_at_ms > report.requested_at_ms;
        if recovery.reports.get(&from).is_some_and(is_later) {
            return;
        }
        recovery.add_report(from, report);
        self.adopt_voters(voter_set);
    }

    /// Adopts a later set of voters. The configured voters apply only if no peer knows of a change.
    pub(crate) fn adopt_voters(&mut self, voter_set: &VoterSet) {
        let is_later = voter_set.changed_at > self.voter_set.changed_at;
        if !self.state_lost || !is_later || voter_set.voters.is_empty() {
            return;
        }
        self.voter_set = voter_set.clone();
        if !self.voter_set.voters.contains(&self.config.node_id) {
            self.status = ReplicaStatus::NonVoter;
            self.recovery = None;
        }
    }

    pub(crate) fn on_recovery(&mut self, from: NodeId, nonce: u64, actions: &mut Vec<Action>) {
        // A replica in a view change does not know the current view.
        if self.status != ReplicaStatus::Normal || !self.voter_set.voters.contains(&from) {
            return;
        }
        if self.persisted_counts.as_ref() != Some(&self.incarnation_counts) {
            self.persist_view_promise(actions);
            self.persisted_counts = Some(self.incarnation_counts.clone());
        }
        let is_leader = self.leadership.is_some();
        let response = MessageBody::RecoveryResponse { nonce, op: self.log.op(), is_leader };
        self.send(from, response, actions);
    }

    pub(crate) fn on_recovery_response(
        &mut self,
        from: NodeId,
        nonce: u64,
        report: RecoveryReport,
        actions: &mut Vec<Action>,
    ) {
        let is_peer = self.voter_set.voters.contains(&from) && from != self.config.node_id;
        let Some(recovery) = &mut self.recovery else { return };
        if !is_peer || recovery.nonce != nonce || recovery.begun_incarnation.is_none() {
            return;
        }
        recovery.responses.insert(from, report);
        let counts = &self.incarnation_counts;
        recovery.responses.retain(|node, response| {
            response.incarnation_count >= counts.get(node).copied().unwrap_or(0)
        });
        let is_majority = self.voter_set.is_majority(recovery.responses.keys());
        if self.transfer.is_some() || !is_majority {
            return;
        }
        if let Some(leader) = recovery.latest_leader() {
            self.view = leader.view;
            self.next_view_change = self.now + VIEW_CHANGE_TIMEOUT;
            let (source, view) = (leader.view.leader, leader.view);
            self.transfer = Some(StateTransfer::new(source, view, 0, leader.op));
            self.request_state(actions);
        }
    }
}

impl RecoveryState {
    fn add_report(&mut self, from: NodeId, report: StatusReport) {
        self.reports.insert(from, report);
        if report.status != ReplicaStatus::WithoutState {
            self.state_losses.remove(&from);
            return;
        }
        let known = self.state_losses.get(&from);
        if known.is_none_or(|loss| loss.own_incarnation != report.own_incarnation) {
            let loss = StateLossReport {
                own_incarnation: report.own_incarnation,
                received_at: report.received_at,
            };
            self.state_losses.insert(from, loss);
        }
    }

    /// Returns the response of the latest view's leader, if it has arrived.
    fn latest_leader(&self) -> Option<RecoveryReport> {
        let view = self.responses.values().map(|response| response.view).max()?;
        let leader = self.responses.get(&view.leader)?;
        (leader.view == view && leader.is_leader).then_some(*leader)
    }
}

/// Whether a report is recent enough to count.
pub(crate) fn is_recent(now: Duration, report: &StatusReport) -> bool {
    now.saturating_sub(report.received_at) < VIEW_CHANGE_TIMEOUT
}
