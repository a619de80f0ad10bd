//! The view change: the conditions on which a replica begins a view or takes part in one. A candidate becomes the
//! leader in `leadership`.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::interface::Action;
use crate::message::{MessageBody, ReplicaStatus, View};
use crate::replica::Replica;
use crate::replica_state::{DoViewChangeVote, EpochBootstrap, PeerState};
use crate::timing::VIEW_CHANGE_TIMEOUT;
use crate::voter_set::{MAX_VOTERS, VoterSet};

/// Time after the view change timeout at which a bootstrap that did not succeed is abandoned.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Random part of the time after which a view change is retried, in milliseconds.
const VIEW_CHANGE_JITTER_MS: u64 = 200;
/// Largest number of votes that a candidate remembers.
const MAX_TRACKED_VOTES: usize = 2 * MAX_VOTERS;

impl Replica {
    /// Whether the replica is connected in both directions to a majority of voters without a leader. A voter without
    /// such a majority never replaces a leader that other voters are connected to (OmniPaxos).
    fn may_begin_view(&self) -> bool {
        let node_id = self.config.node_id;
        let supports = |node: &NodeId, peer: &PeerState| {
            self.voter_set.voters.contains(node)
                && *node != node_id
                && matches!(peer.status, ReplicaStatus::Normal | ReplicaStatus::ViewChange)
                && peer.receives_from_us
                && self.is_connected(peer)
                && peer.is_leaderless
        };
        let supporters = self.peers.iter().filter(|(node, peer)| supports(node, peer));
        self.voter_set.is_majority(supporters.map(|(node, _)| node).chain([&node_id]))
    }

    /// Begins a view if the replica is leaderless and may lead.
    pub(crate) fn consider_view_change(&mut self, is_leaderless: bool, actions: &mut Vec<Action>) {
        if !self.is_active() {
            return;
        }
        if self.state_lost || self.bootstrap.is_some() {
            self.give_up_bootstrap_if_late();
            return;
        }
        let is_candidate =
            self.status == ReplicaStatus::ViewChange && self.view.leader == self.config.node_id;
        let is_latest_candidate = is_candidate && self.view.number >= self.highest_view_number;
        if is_latest_candidate || !is_leaderless || self.now < self.next_view_change {
            return;
        }
        if self.voter_set.voters.contains(&self.config.node_id) && self.may_begin_view() {
            self.begin_next_view(actions);
        }
    }

    fn give_up_bootstrap_if_late(&mut self) {
        if self.now <= self.next_view_change + BOOTSTRAP_TIMEOUT {
            return;
        }
        if self.state_lost {
            self.start_recovery(false);
        } else {
            self.bootstrap = None;
        }
    }

    pub(crate) fn begin_next_view(&mut self, actions: &mut Vec<Action>) {
        if self.last_normal_view.epoch != self.view.epoch && !self.state_lost {
            // The replica joined a bootstrap whose outcome it does not know. Its log is of another epoch, and another
            // voter may have begun this epoch with a different log, so the replica begins a new epoch.
            self.begin_epoch_after(self.view.epoch, None, actions);
            return;
        }
        let number = self.highest_view_number.max(self.view.number).saturating_add(1);
        let view = View { epoch: self.view.epoch, number, leader: self.config.node_id };
        self.begin_view(view, None, actions);
    }

    /// Asks all voters to take part in a view that this replica would lead.
    pub(crate) fn begin_view(
        &mut self,
        view: View,
        bootstrap: Option<EpochBootstrap>,
        actions: &mut Vec<Action>,
    ) {
        self.change_to(view, bootstrap, actions);
        self.send(self.config.node_id, self.do_view_change(), actions);
        self.send_start_view_change(actions);
    }

    /// Leaves the current view for a later one, and promises not to take part in any view before that one.
    fn change_to(
        &mut self,
        view: View,
        bootstrap: Option<EpochBootstrap>,
        actions: &mut Vec<Action>,
    ) {
        self.step_down(actions);
        self.view = view;
        self.highest_view_number = view.number;
        self.status = ReplicaStatus::ViewChange;
        self.abandon_transitions();
        self.bootstrap = bootstrap;
        self.votes.clear();
        let jitter = Duration::from_millis(self.sample(VIEW_CHANGE_JITTER_MS));
        self.next_view_change = self.now + VIEW_CHANGE_TIMEOUT + jitter;
        self.persist_view_promise(actions);
    }

    pub(crate) fn send_start_view_change(&mut self, actions: &mut Vec<Action>) {
        let forced = self.bootstrap.as_ref().filter(|bootstrap| bootstrap.is_forced);
        let voter_set = forced.map(|_| self.voter_set.clone());
        let is_bootstrap = self.bootstrap.is_some();
        self.broadcast(&MessageBody::StartViewChange { is_bootstrap, voter_set }, actions);
    }

    fn do_view_change(&self) -> MessageBody {
        MessageBody::DoViewChange {
            last_normal_view: self.last_normal_view,
            op: self.log.op(),
            commit: self.commit,
            state_lost: self.state_lost,
        }
    }

    pub(crate) fn on_start_view_change(
        &mut self,
        from: NodeId,
        view: View,
        is_bootstrap: bool,
        forced_voters: Option<VoterSet>,
        actions: &mut Vec<Action>,
    ) {
        let is_from_candidate = view.leader == from && from != self.config.node_id;
        if !is_from_candidate || self.status == ReplicaStatus::DiskFailed {
            return;
        }
        self.track_view_number(view);
        if view == self.view && self.status == ReplicaStatus::ViewChange {
            if self.transfer.is_none() {
                self.send(from, self.do_view_change(), actions);
            }
            return;
        }
        if view <= self.view || self.status == ReplicaStatus::Recovering {
            return;
        }
        if self.takes_part_in(from, view, is_bootstrap, forced_voters.is_some()) {
            self.change_to(view, None, actions);
            self.send(from, self.do_view_change(), actions);
        }
    }

    /// Whether this replica takes part in a later view that a candidate begins.
    fn takes_part_in(
        &self,
        candidate: NodeId,
        view: View,
        is_bootstrap: bool,
        is_forced: bool,
    ) -> bool {
        if self.state_lost {
            return is_bootstrap && (is_forced || self.may_join_bootstrap(candidate, view));
        }
        let is_leaderless =
            self.is_leaderless() && (!is_bootstrap || self.is_leaderless_for_long());
        let may_follow = is_leaderless || candidate == self.view.leader;
        is_forced || self.voter_set.voters.contains(&candidate) && may_follow
    }

    pub(crate) fn on_do_view_change(
        &mut self,
        from: NodeId,
        view: View,
        vote: DoViewChangeVote,
        actions: &mut Vec<Action>,
    ) {
        let is_candidate = view == self.view
            && view.leader == self.config.node_id
            && self.status == ReplicaStatus::ViewChange;
        let counts = !vote.state_lost || self.bootstrap.is_some();
        if is_candidate && counts && self.votes.len() < MAX_TRACKED_VOTES {
            self.votes.insert(from, vote);
            self.try_lead(actions);
        }
    }
}
