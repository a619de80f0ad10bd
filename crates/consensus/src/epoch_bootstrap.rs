//! Bootstraps an epoch after a majority has lost its state, or on an operator command: the conditions on which a
//! replica begins or joins the bootstrap. The candidate becomes the leader in `leadership`.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::LogIndex;
use crate::interface::Action;
use crate::message::{ReplicaStatus, View};
use crate::recovery::is_recent;
use crate::replica::Replica;
use crate::replica_state::{EpochBootstrap, LearnerCopy, RecoveryState};
use crate::timing::LEARNER_QUERY_PERIOD;
use crate::voter_set::VoterSet;

/// Time for which each voter must have been without state before an epoch is bootstrapped. By then, the leader of the
/// previous epoch has had no majority for at least the duration of a lease (2 s) on any node's clock.
pub const EPOCH_BOOTSTRAP_DELAY: Duration = Duration::from_millis(2050);
/// Delay of each voter after the one with the next lower node id.
const BOOTSTRAP_STAGGER: Duration = Duration::from_millis(300);
/// Time for which a voter must have queried its peers before it joins a bootstrap.
const MIN_QUERY_TIME: Duration = Duration::from_millis(300);
/// Largest accepted difference between two epochs, so that a corrupted message does not use up all epochs.
const MAX_EPOCH_STEP: u32 = 1 << 24;

impl Replica {
    /// Bootstraps an epoch if so many voters have lost their state at one time that the other voters are no majority.
    /// The previous epoch has then ended, since its state can no longer be learned from a majority.
    pub(crate) fn consider_bootstrap(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(recovery) = &self.recovery else { return };
        let without_state = self.voters_without_state(recovery);
        let last_loss = recovery.last_loss_of(&without_state);
        // Each of these voters must have answered a request that was sent after the last state loss was reported.
        let confirmed: Vec<NodeId> = without_state
            .into_iter()
            .filter(|node| recovery.confirms_loss(*node, last_loss))
            .collect();
        // This node has lost its state too, but counts among the remaining voters here.
        let remaining = self.voter_set.voters.len().saturating_sub(confirmed.len());
        if remaining > self.voter_set.majority() {
            return;
        }
        let node_id = self.config.node_id;
        let rank = confirmed.iter().filter(|node| **node < node_id).count() as u32;
        if !self.has_passed(last_loss, EPOCH_BOOTSTRAP_DELAY + BOOTSTRAP_STAGGER * rank) {
            return;
        }
        let copy = recovery.best_copy;
        let epoch = recovery.latest_epoch().max(self.view.epoch);
        let bootstrap = EpochBootstrap { copy, is_forced: false, began_at: now };
        self.begin_epoch_after(epoch, Some(bootstrap), actions);
    }

    fn voters_without_state(&self, recovery: &RecoveryState) -> Vec<NodeId> {
        let has_lost_state = |node: &&NodeId| {
            recovery.reports.get(node).is_some_and(|report| {
                report.status == ReplicaStatus::WithoutState && is_recent(self.now, report)
            })
        };
        self.voter_set.voters.iter().filter(has_lost_state).copied().collect()
    }

    /// Bootstraps an epoch with the voters that operators name, after the permanent loss of a majority.
    pub(crate) fn force_epoch(&mut self, voters: &[NodeId], actions: &mut Vec<Action>) {
        if self.status == ReplicaStatus::DiskFailed || !voters.contains(&self.config.node_id) {
            return;
        }
        let changed_at = self.voter_set.changed_at;
        self.voter_set = VoterSet { changed_at, ..VoterSet::of(voters.iter().copied()) };
        let recovery = self.recovery.take();
        let copy = recovery.as_ref().and_then(|recovery| recovery.best_copy);
        let recovery_epoch = recovery.as_ref().map_or(0, RecoveryState::latest_epoch);
        let peer_epoch = self.peers.values().map(|peer| peer.view.epoch).max().unwrap_or(0);
        let epoch = recovery_epoch.max(peer_epoch).max(self.view.epoch);
        let bootstrap = EpochBootstrap { copy, is_forced: true, began_at: self.now };
        self.begin_epoch_after(epoch, Some(bootstrap), actions);
    }

    /// Whether a replica without state may join a bootstrap: a majority has responded to its status requests, and no
    /// response knows of a later view.
    pub(crate) fn may_join_bootstrap(&self, candidate: NodeId, view: View) -> bool {
        let Some(recovery) = &self.recovery else { return self.state_lost };
        let reports = &recovery.reports;
        let has_queried = self.has_passed(recovery.began_at, MIN_QUERY_TIME)
            && recovery.begun_incarnation.is_none();
        let answered = reports.keys().chain([&self.config.node_id]);
        has_queried
            && self.voter_set.is_majority(answered)
            && reports.contains_key(&candidate)
            && reports.values().all(|report| report.view < view)
    }

    /// Handles a learner's report of the position of its copy of the log.
    pub(crate) fn on_learner_status(
        &mut self,
        from: NodeId,
        nonce: u64,
        index: LogIndex,
        voter_set: &VoterSet,
        actions: &mut Vec<Action>,
    ) {
        if self.must_move_beyond(index) {
            // This epoch was bootstrapped with a lower number than the learner's epoch. Learners never return to a
            // lower epoch, so the log continues in a greater one.
            self.begin_epoch_after(index.epoch(), None, actions);
            return;
        }
        let Some(recovery) = &mut self.recovery else { return };
        if recovery.nonce != nonce {
            return;
        }
        let is_better = recovery.best_copy.is_none_or(|best| index > best.index);
        if index > LogIndex::default() && is_better {
            recovery.best_copy = Some(LearnerCopy { index, learner: from });
        }
        self.adopt_voters(voter_set);
    }

    /// Whether this replica leads an epoch that is lower than a learner's epoch.
    fn must_move_beyond(&self, index: LogIndex) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let step = index.epoch().saturating_sub(self.last_normal_view.epoch);
        let is_settled = self.has_passed(leadership.since, LEARNER_QUERY_PERIOD);
        step > 0 && step < MAX_EPOCH_STEP && is_settled
    }
}

impl RecoveryState {
    /// Returns the latest time at which one of these voters first reported the loss of its state, or the start of this
    /// recovery if that is later.
    fn last_loss_of(&self, voters: &[NodeId]) -> Duration {
        let losses = voters.iter().filter_map(|node| self.state_losses.get(node));
        losses.map(|loss| loss.received_at).max().unwrap_or(self.began_at).max(self.began_at)
    }

    /// Whether the process of a voter that reported the loss of its state has answered a request sent at `since` or
    /// later.
    fn confirms_loss(&self, node: NodeId, since: Duration) -> bool {
        let Some(report) = self.reports.get(&node) else { return false };
        let loss = self.state_losses.get(&node).map(|loss| loss.own_incarnation);
        Duration::from_millis(report.requested_at_ms) >= since
            && loss == Some(report.own_incarnation)
    }

    /// Returns the greatest epoch that voters and learners have reported.
    fn latest_epoch(&self) -> u32 {
        let voter_epoch = self.reports.values().map(|report| report.view.epoch).max().unwrap_or(0);
        let learner_epoch = self.best_copy.map_or(0, |copy| copy.index.epoch());
        voter_epoch.max(learner_epoch)
    }
}
