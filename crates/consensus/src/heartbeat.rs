//! Heartbeats between voters: their content and the handling of received ones. Views are begun in `view_change`.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::interface::Action;
use crate::message::{Heartbeat, MessageBody, ReplicaStatus, View};
use crate::replica::Replica;
use crate::replica_state::{LeaderState, PeerState, SentHeartbeat};
use crate::timing::{LEARNER_QUERY_PERIOD, PEER_TIMEOUT, VIEW_CHANGE_TIMEOUT};
use crate::voter_set::{MAX_VOTERS, VoterSet};

/// Number of sent heartbeats that a leader remembers, to match acknowledgements to them.
const MAX_TRACKED_HEARTBEATS: usize = 16;
/// Largest number of peers whose heartbeats are remembered.
const MAX_TRACKED_PEERS: usize = 2 * MAX_VOTERS;

impl LeaderState {
    /// Assigns a number to a new heartbeat, and remembers the time at which it is sent.
    fn next_heartbeat(&mut self, now: Duration) -> u32 {
        self.heartbeat_number = self.heartbeat_number.wrapping_add(1).max(1);
        self.heartbeats.push_back(SentHeartbeat { number: self.heartbeat_number, sent_at: now });
        if self.heartbeats.len() > MAX_TRACKED_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        self.heartbeat_number
    }
}

impl Replica {
    pub(crate) fn is_connected(&self, peer: &PeerState) -> bool {
        self.now.saturating_sub(peer.last_heartbeat_at) < PEER_TIMEOUT
    }

    /// Whether the replica is connected to no leader. Only a leaderless replica begins a view, or joins a view of a
    /// candidate other than its leader.
    pub(crate) fn is_leaderless(&self) -> bool {
        if self.leadership.is_some() {
            return false;
        }
        if self.status != ReplicaStatus::Normal {
            return true;
        }
        let leads_view =
            |peer: &PeerState| self.is_connected(peer) && peer.is_leader && peer.view == self.view;
        !self.peers.get(&self.view.leader).is_some_and(leads_view)
    }

    /// Whether the replica has been leaderless for so long that its view counts as stuck.
    pub(crate) fn is_leaderless_for_long(&self) -> bool {
        self.leaderless_since.is_some_and(|since| self.has_passed(since, LEARNER_QUERY_PERIOD))
    }

    /// Sends a heartbeat to all voters. A leader also acknowledges its own heartbeat.
    pub(crate) fn send_heartbeat(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let number = self.leadership.as_mut().map_or(0, |leader| leader.next_heartbeat(now));
        let heartbeat = self.heartbeat(number);
        self.broadcast(&MessageBody::Heartbeat(heartbeat), actions);
        if number > 0 {
            let ok = MessageBody::PrepareOk { op: self.log.op(), heartbeat: number };
            self.send(self.config.node_id, ok, actions);
        }
    }

    fn heartbeat(&self, number: u32) -> Heartbeat {
        let connected = self.peers.iter().filter(|(_, peer)| self.is_connected(peer));
        let connected = connected.map(|(node, _)| *node).filter(|node| self.voter_set.has(*node));
        let is_disk_failed = self.status == ReplicaStatus::DiskFailed;
        Heartbeat {
            status: self.advertised_status(),
            is_leader: self.leadership.is_some(),
            is_leaderless: self.is_leaderless(),
            connected: connected.collect(),
            op: self.log.op(),
            commit: self.commit,
            // The heartbeat is sent once the issued records are on disk. With a failed disk messages do not wait.
            persisted: if is_disk_failed { self.persisted } else { self.issued },
            number,
            voter_set: self.voter_set.clone(),
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        from: NodeId,
        view: View,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if self.is_removed_by(view, heartbeat) {
            self.voter_set = heartbeat.voter_set.clone();
            self.step_down(actions);
            self.abandon_transitions();
            self.status = ReplicaStatus::NonVoter;
            return;
        }
        if !self.voter_set.has(from) {
            self.notify_removed_voter(from, heartbeat, actions);
            return;
        }
        self.track_peer(from, view, heartbeat);
        if !self.is_active() {
            return;
        }
        let is_leader =
            heartbeat.is_leader && heartbeat.status == ReplicaStatus::Normal && view.leader == from;
        if is_leader && self.recovers_under(view, actions) {
            return;
        }
        self.follow_or_supersede(from, view, heartbeat, is_leader, actions);
    }

    /// Whether a leader's heartbeat shows that this node was removed while it was disconnected.
    fn is_removed_by(&self, view: View, heartbeat: &Heartbeat) -> bool {
        let reported = &heartbeat.voter_set;
        reported.changed_at > self.voter_set.changed_at
            && !reported.voters.contains(&self.config.node_id)
            && heartbeat.is_leader
            && view >= self.view
    }

    /// Notifies a removed node that still acts as a voter, if this replica leads.
    fn notify_removed_voter(
        &mut self,
        to: NodeId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if self.leadership.is_none() || heartbeat.status == ReplicaStatus::NonVoter {
            return;
        }
        let answer = Heartbeat {
            is_leader: true,
            number: 0,
            voter_set: self.voter_set.clone(),
            status: self.status,
            ..heartbeat.clone()
        };
        self.send(to, MessageBody::Heartbeat(answer), actions);
    }

    fn track_peer(&mut self, from: NodeId, view: View, heartbeat: &Heartbeat) {
        let known = self.peers.get(&from).map_or(0, |peer| peer.persisted);
        let peer = PeerState {
            last_heartbeat_at: self.now,
            view,
            status: heartbeat.status,
            receives_from_us: heartbeat.connected.contains(&self.config.node_id),
            is_leader: heartbeat.is_leader,
            is_leaderless: heartbeat.is_leaderless,
            persisted: known.max(heartbeat.persisted),
        };
        if self.peers.len() < MAX_TRACKED_PEERS || self.peers.contains_key(&from) {
            self.peers.insert(from, peer);
        }
        self.track_view_number(view);
    }

    pub(crate) fn track_view_number(&mut self, view: View) {
        if view.epoch == self.view.epoch {
            self.highest_view_number = self.highest_view_number.max(view.number);
        }
    }

    /// Starts recovery if a leader's heartbeat shows that the bootstrap or view of this replica is void, and returns
    /// whether it did.
    fn recovers_under(&mut self, view: View, actions: &mut Vec<Action>) -> bool {
        if self.state_lost && view != self.view {
            // There is a leader, so no epoch is to be bootstrapped. A previous incarnation of this node may have
            // promised a later view than that leader's, so this replica recovers like any that has lost its state.
            self.start_recovery(false);
            return true;
        }
        let is_stuck_in_normal = self.status == ReplicaStatus::Normal
            && self.leadership.is_none()
            && self.is_leaderless_for_long();
        let is_stuck_in_change =
            self.status == ReplicaStatus::ViewChange && self.now > self.next_view_change;
        if (is_stuck_in_normal || is_stuck_in_change) && view.epoch < self.view.epoch {
            // This replica promised an epoch that never began, and a majority continues without it. A replica that has
            // lost its state is not bound by its promises, so this one discards its state and recovers.
            self.lose_state("this node promised an epoch that never began", actions);
            return true;
        }
        false
    }

    fn follow_or_supersede(
        &mut self,
        from: NodeId,
        view: View,
        heartbeat: &Heartbeat,
        is_leader: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_follower = self.leadership.is_none();
        if is_leader && view == self.view && self.status == ReplicaStatus::Normal && is_follower {
            self.acknowledge_heartbeat(from, heartbeat, actions);
        } else if is_leader && (view > self.view || view == self.view && is_follower) {
            self.follow(view, heartbeat, actions);
        } else if self.must_supersede(view, heartbeat) {
            self.begin_next_view(actions);
        }
    }

    fn acknowledge_heartbeat(
        &mut self,
        from: NodeId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if heartbeat.op > self.log.op() {
            let request = MessageBody::GetState { first: self.log.op() + 1, offset: 0 };
            self.send(from, request, actions);
        }
        let op = self.log.op().min(heartbeat.op);
        let ok = MessageBody::PrepareOk { op, heartbeat: heartbeat.number };
        self.send(from, ok, actions);
        self.commit_through(heartbeat.commit, actions);
    }

    /// Whether this leader has to begin a new view, because a voter has promised a later view that never began and
    /// so cannot return to the current view.
    fn must_supersede(&self, view: View, heartbeat: &Heartbeat) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        view > self.view
            && view.epoch == self.view.epoch
            && heartbeat.status == ReplicaStatus::ViewChange
            && heartbeat.connected.contains(&self.config.node_id)
            && self.now.saturating_sub(leadership.since) > VIEW_CHANGE_TIMEOUT
    }

    /// Returns the heartbeat of a joining node, by which the leader admits it as a voter.
    pub(crate) fn joining_heartbeat(voter_set: VoterSet) -> Heartbeat {
        Heartbeat {
            status: ReplicaStatus::NonVoter,
            is_leader: false,
            is_leaderless: false,
            connected: BTreeSet::new(),
            op: 0,
            commit: 0,
            persisted: 0,
            number: 0,
            voter_set,
        }
    }
}
