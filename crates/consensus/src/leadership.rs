//! Makes a candidate the leader of its view, once it has a majority of votes and the best log among them. The best
//! log is fetched in `catch_up`.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::{Entry, EntryPayload, LogIndex};
use crate::interface::Action;
use crate::log::Log;
use crate::message::View;
use crate::replica::Replica;
use crate::replica_state::{DoViewChangeVote, EpochBootstrap, LeaderState, LearnerCopy};
use crate::state_transfer::StateTransfer;
use crate::timing::HEARTBEAT_INTERVAL;

/// Time for which the candidate of a bootstrap waits for the votes of all voters, since any voter may have the only
/// copy of an entry.
const ALL_VOTES_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the range above the last epoch from which a new epoch is chosen.
const EPOCH_RANGE: u64 = 1 << 20;

impl Replica {
    /// Returns the vote with the best log: among the votes of voters with state, the one with the latest normal
    /// view, and among equal views the one with the longest log. That log has every committed entry of its epoch,
    /// since the majority that acknowledged an entry intersects the majority that voted.
    pub(crate) fn best_vote(&self) -> Option<(NodeId, DoViewChangeVote)> {
        let node_id = self.config.node_id;
        let votes = self.votes.iter().filter(|(_, vote)| !vote.state_lost);
        let best =
            votes.max_by_key(|(node, vote)| (vote.last_normal_view, vote.op, **node == node_id));
        best.map(|(node, vote)| (*node, *vote))
    }

    /// Begins to lead if a majority has voted and this replica has the best log among the votes; otherwise fetches the
    /// best log.
    pub(crate) fn try_lead(&mut self, actions: &mut Vec<Action>) {
        if !self.has_enough_votes() {
            return;
        }
        let best = self.best_vote();
        if self.has_best_log(best) {
            self.lead_if_allowed(actions);
        } else {
            self.fetch_best_log(best, actions);
        }
    }

    /// Begins to lead with the best log, after it was fetched, if a majority still votes for this replica.
    pub(crate) fn try_lead_with_best_log(&mut self, actions: &mut Vec<Action>) {
        if self.has_enough_votes() {
            self.lead_if_allowed(actions);
        }
    }

    fn has_enough_votes(&mut self) -> bool {
        if self.transfer.is_some() {
            return false;
        }
        // A vote of an ended incarnation does not count.
        let counts = &self.incarnation_counts;
        let is_current = |node: &NodeId, vote: &DoViewChangeVote| {
            vote.incarnation_count >= counts.get(node).copied().unwrap_or(0)
        };
        self.votes.retain(|node, vote| is_current(node, vote));
        if !self.voter_set.is_majority(self.votes.keys()) {
            return false;
        }
        let Some(bootstrap) = &self.bootstrap else { return true };
        let has_all = self.voter_set.voters.iter().all(|node| self.votes.contains_key(node));
        has_all || self.has_passed(bootstrap.began_at, ALL_VOTES_TIMEOUT)
    }

    fn lead_if_allowed(&mut self, actions: &mut Vec<Action>) {
        if self.bootstrap.is_some() {
            self.lead_bootstrapped_epoch(actions);
            return;
        }
        if !self.has_votes_of_one_epoch() {
            // A voter whose last normal view is of another epoch may have taken part in this epoch before, and have
            // lost entries that it acknowledged. The log continues in a new epoch, so that no index is assigned
            // twice. Until shortly before the timeout of the view change, further votes may arrive.
            if self.now + ALL_VOTES_TIMEOUT >= self.next_view_change {
                self.begin_epoch_after(self.view.epoch, None, actions);
            }
            return;
        }
        if self.has_majority_of_each_voter_set() {
            let commit = self.commit_of_votes();
            self.start_leading(self.log.clone(), commit, actions);
        }
    }

    /// Whether a majority of the voters has voted with a log of this view's epoch, or no voter has, so that the epoch
    /// is new.
    fn has_votes_of_one_epoch(&self) -> bool {
        let is_of_epoch = |vote: &DoViewChangeVote| {
            !vote.state_lost && vote.last_normal_view.epoch == self.view.epoch
        };
        let votes = self.votes.iter().filter(|(_, vote)| is_of_epoch(vote));
        let voters: Vec<&NodeId> = votes.map(|(node, _)| node).collect();
        voters.is_empty() || self.voter_set.is_majority(voters)
    }

    /// Whether the votes are a majority of the current voters, and of the voters after each uncommitted change of
    /// voters in the log. Such a change may have been committed by the previous leader.
    fn has_majority_of_each_voter_set(&self) -> bool {
        let mut voter_set = self.voter_set.clone();
        for op in self.commit + 1..=self.log.op() {
            if let Some(entry) = self.log.get(op) {
                voter_set.apply(op, &entry.payload);
            }
            if !voter_set.is_majority(self.votes.keys()) {
                return false;
            }
        }
        true
    }

    /// Returns the number of the last entry that any vote of the log's epoch reports as committed.
    fn commit_of_votes(&self) -> u64 {
        let epoch = self.last_normal_view.epoch;
        let is_of_epoch =
            |vote: &&DoViewChangeVote| !vote.state_lost && vote.last_normal_view.epoch == epoch;
        let commits = self.votes.values().filter(is_of_epoch).map(|vote| vote.commit);
        commits.max().unwrap_or(0).max(self.commit)
    }

    /// Returns the learner's copy for a bootstrap, if its last entry is after the last entry that the best vote reports
    /// as committed.
    fn better_learner_copy(&self, best: Option<(NodeId, DoViewChangeVote)>) -> Option<LearnerCopy> {
        let committed =
            best.map(|(_, vote)| LogIndex::new(vote.last_normal_view.epoch, vote.commit));
        let copy = self.bootstrap.as_ref().and_then(|bootstrap| bootstrap.copy)?;
        committed.is_none_or(|committed| copy.index > committed).then_some(copy)
    }

    fn has_best_log(&self, best: Option<(NodeId, DoViewChangeVote)>) -> bool {
        if self.better_learner_copy(best).is_some() {
            return false;
        }
        let Some((node, best)) = best else { return true };
        let is_same_log =
            (best.last_normal_view, best.op) == (self.last_normal_view, self.log.op());
        node == self.config.node_id || is_same_log && !self.state_lost
    }

    fn fetch_best_log(
        &mut self,
        best: Option<(NodeId, DoViewChangeVote)>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(copy) = self.better_learner_copy(best) {
            let mut transfer = StateTransfer::new(copy.learner, self.view, 0, copy.index.op());
            transfer.is_from_learner = true;
            self.start_transfer(transfer, actions);
        } else if let Some((node, best)) = best {
            let first = self.first_needed(best.last_normal_view.epoch);
            self.start_transfer(StateTransfer::new(node, self.view, first, best.op), actions);
        }
    }

    /// Begins to lead the first view of an epoch, with the current log. The voters of the epoch are those of its
    /// bootstrap, so changes of voters in the log are replaced by empty commands.
    fn lead_bootstrapped_epoch(&mut self, actions: &mut Vec<Action>) {
        let mut base = self.log.base().clone();
        base.voter_set = self.voter_set.clone();
        let entries = self.log.entries().iter().map(without_voter_change).collect();
        let log = Log::with_entries(base, self.log.start(), entries);
        let commit = self.commit_of_votes();
        self.state_lost = true;
        self.start_leading(log, commit, actions);
        self.persist_complete_state(actions);
    }

    fn start_leading(&mut self, log: Log, commit: u64, actions: &mut Vec<Action>) {
        self.enter_view(self.view, log, commit, actions);
        self.persist_view_promise(actions);
        let (since, view) = (self.now, self.view);
        let leadership =
            LeaderState { since, quorum_heartbeat_at: since, ..LeaderState::default() };
        self.leadership = Some(leadership);
        actions.push(Action::StartedLeading { view, since });
        self.heartbeat_due = self.now + HEARTBEAT_INTERVAL;
        self.send_heartbeat(actions);
    }

    /// Begins the first view of an epoch that is greater than this one.
    ///
    /// The epoch is chosen at random, so that two disconnected halves of a cluster bootstrap different epochs.
    pub(crate) fn begin_epoch_after(
        &mut self,
        epoch: u32,
        bootstrap: Option<EpochBootstrap>,
        actions: &mut Vec<Action>,
    ) {
        let epoch = epoch.saturating_add(1 + self.sample(EPOCH_RANGE) as u32);
        let view = View { epoch, number: 1, leader: self.config.node_id };
        self.begin_view(view, bootstrap, actions);
    }
}

fn without_voter_change(entry: &Entry) -> Entry {
    match entry.payload {
        EntryPayload::Command(_) => entry.clone(),
        _ => Entry { id: entry.id, payload: EntryPayload::Command(Vec::new()) },
    }
}
