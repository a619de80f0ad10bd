//! Bootstraps an epoch where a majority has lost its state, or where operators order it: who may, and when.
//! Leading the epoch is left to `leadership`.

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

/// Time that each voter must have been without state before an epoch is bootstrapped. The leader of the epoch
/// before has then had no majority for as long as a lease of 2 s lasts by any clock.
pub const EPOCH_BOOTSTRAP_DELAY: Duration = Duration::from_millis(2050);
/// Delay of each voter after the one with the next lower node id.
const BOOTSTRAP_STAGGER: Duration = Duration::from_millis(300);
/// Time for which a voter must have asked its peers before it joins a bootstrap.
const MIN_QUERY_TIME: Duration = Duration::from_millis(300);
/// Largest step of an epoch that is believed, so that a corrupted message does not use up all epochs.
const MAX_EPOCH_STEP: u32 = 1 << 24;

impl Replica {
    /// Bootstraps an epoch if so many voters have lost their state at one time that the others are no majority.
    /// Then the epoch before is over, since nobody can learn its state from a majority.
    pub(crate) fn consider_bootstrap(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(recovery) = &self.recovery else { return };
        let without_state = self.voters_without_state(recovery);
        let last_loss = recovery.last_loss_of(&without_state);
        // Each must have been asked again after the last of them was known to have lost its state.
        let confirmed: Vec<NodeId> = without_state
            .into_iter()
            .filter(|node| recovery.confirms_loss(*node, last_loss))
            .collect();
        // This node has lost its state, too, and is among the remaining ones.
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

    /// Bootstraps an epoch with the voters that operators name, because a majority is lost for good.
    pub(crate) fn force_epoch(&mut self, voters: &[NodeId], actions: &mut Vec<Action>) {
        if self.status == ReplicaStatus::DiskFailed || !voters.contains(&self.config.node_id) {
            return;
        }
        let changed_at = self.voter_set.changed_at;
        self.voter_set = VoterSet { changed_at, ..VoterSet::of(voters.iter().copied()) };
        let recovery = self.recovery.take();
        let copy = recovery.as_ref().and_then(|recovery| recovery.best_copy);
        let known = recovery.as_ref().map_or(0, RecoveryState::latest_epoch);
        let of_peers = self.peers.values().map(|peer| peer.view.epoch).max().unwrap_or(0);
        let epoch = known.max(of_peers).max(self.view.epoch);
        let bootstrap = EpochBootstrap { copy, is_forced: true, began_at: self.now };
        self.begin_epoch_after(epoch, Some(bootstrap), actions);
    }

    /// Whether a replica without state may join a bootstrap: it has asked a majority itself, and none of them knew
    /// of a later view.
    pub(crate) fn may_join_bootstrap(&self, candidate: NodeId, view: View) -> bool {
        let Some(recovery) = &self.recovery else { return self.state_lost };
        let reports = &recovery.reports;
        let has_queried =
            self.has_passed(recovery.began_at, MIN_QUERY_TIME) && recovery.begun.is_none();
        let answered = reports.keys().chain([&self.config.node_id]);
        has_queried
            && self.voter_set.is_majority(answered)
            && reports.contains_key(&candidate)
            && reports.values().all(|report| report.view < view)
    }

    /// Handles the position of a learner's copy of the log.
    pub(crate) fn on_learner_status(
        &mut self,
        from: NodeId,
        nonce: u64,
        index: LogIndex,
        voter_set: &VoterSet,
        actions: &mut Vec<Action>,
    ) {
        if self.must_move_beyond(index) {
            // An epoch was bootstrapped under a lower number than one that this learner knows, and learners never
            // go back: the log goes on in a greater one.
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

    /// Whether it leads an epoch that is lower than a learner's.
    fn must_move_beyond(&self, index: LogIndex) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let step = index.epoch().saturating_sub(self.last_normal_view.epoch);
        let is_settled = self.has_passed(leadership.since, LEARNER_QUERY_PERIOD);
        step > 0 && step < MAX_EPOCH_STEP && is_settled
    }
}

impl RecoveryState {
    /// When the last of these voters was first known to have lost its state, or this recovery began.
    fn last_loss_of(&self, voters: &[NodeId]) -> Duration {
        let losses = voters.iter().filter_map(|node| self.state_losses.get(node));
        losses.map(|loss| loss.received_at).max().unwrap_or(self.began_at).max(self.began_at)
    }

    /// Whether the same process of a voter that has lost its state answered a request sent since then.
    fn confirms_loss(&self, node: NodeId, since: Duration) -> bool {
        let Some(report) = self.reports.get(&node) else { return false };
        let loss = self.state_losses.get(&node).map(|loss| loss.own_incarnation);
        Duration::from_millis(report.asked_at_ms) >= since && loss == Some(report.own_incarnation)
    }

    /// The greatest epoch that voters and learners have told.
    fn latest_epoch(&self) -> u32 {
        let of_voters = self.reports.values().map(|report| report.view.epoch).max().unwrap_or(0);
        let of_learner = self.best_copy.map_or(0, |copy| copy.index.epoch());
        of_voters.max(of_learner)
    }
}
