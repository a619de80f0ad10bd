//! A start: what a member that has forgotten asks before it votes again, when a directory is believed, and
//! how an epoch is founded where a majority has forgotten.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::log::{Log, SnapshotBase, StateTransfer};
use crate::message::{IncarnationCounts, LogIndex, MessageBody, ReplicaStatus, View, VoterSet};
use crate::replica::{
    Action, EpochBootstrap, HEARTBEAT_INTERVAL, LeaderState, Replica, VIEW_CHANGE_TIMEOUT,
};

/// A directory is gone on from only when nobody could tell what stands within so long.
pub const DIRECTORY_RECOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Copies are gathered for so long before an epoch is founded.
pub const LEARNER_QUERY_PERIOD: Duration = Duration::from_secs(1);
/// An epoch is founded only by members that have each been there for so long without a memory: whoever leads the epoch
/// before has then had no majority for as long as a lease of 2 s lasts by any clock. Failure, found in played banks: a
/// bank founded anew within a second acted on other rules than one that still held a lease of the old leader's.
pub const EPOCH_BOOTSTRAP_DELAY: Duration = Duration::from_millis(2050);
/// Those with lower numbers go first, each by so much.
const TURN: Duration = Duration::from_millis(300);
/// One that joins a founding has itself asked for so long.
const ASKED: Duration = Duration::from_millis(300);
/// Balancers that are asked for their copies in one round of 100 ms: 300 within half a second.
const COPIES_A_ROUND: u16 = 64;
/// An epoch is up to so many greater than the last one known, by chance: two that are founded by halves
/// that know nothing of each other differ.
const EPOCHS: u64 = 1 << 20;
/// An epoch so far beyond the last is none: a broken word must not use them up.
const EPOCHS_BEYOND: u32 = 1 << 24;

/// What another member told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Told {
    /// When it was asked, by this member's clock (ms).
    pub at: u64,
    pub status: ReplicaStatus,
    pub own: u64,
    pub written: u64,
    pub commit: u64,
    /// Lives of this member that it knows of.
    pub count: u32,
    pub view: View,
    pub heard: Duration,
}

/// A start that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waking {
    nonce: u64,
    /// It has a directory, and does not know yet whether to believe it.
    directory: bool,
    began: Duration,
    due: Duration,
    told: BTreeMap<NodeId, Told>,
    /// Which start of a member said first that it has forgotten, and when.
    blank: BTreeMap<NodeId, (u64, Duration)>,
    /// The life that it has begun, and when.
    begun: Option<(u32, Duration)>,
    recovered: BTreeMap<NodeId, (View, u64, bool, u32)>,
    copies: Option<(LogIndex, NodeId)>,
    cursor: u16,
}

impl Replica {
    /// Begins a start, with what a directory held or with nothing.
    pub(crate) fn wake(&mut self, directory: bool) {
        (self.transfer, self.founding, self.lead) = (None, None, None);
        self.joins.clear();
        if !directory {
            self.blank = true;
            self.last = View::default();
            let base = SnapshotBase { members: self.members.clone(), ..SnapshotBase::default() };
            self.log = Log::new(base);
            self.commit = 0;
            self.ids.clear();
        } else {
            self.blank = false;
        }
        if !self.members.voters.contains(&self.settings.node_id) {
            self.status = ReplicaStatus::Outside;
            self.waking = None;
            return;
        }
        self.status = if directory { ReplicaStatus::Waking } else { ReplicaStatus::Blank };
        let nonce = self.draw(u64::MAX) ^ u64::from(self.settings.incarnation.0) << 32;
        self.waking = Some(Waking {
            nonce,
            directory,
            began: self.now,
            due: self.now,
            told: BTreeMap::new(),
            blank: BTreeMap::new(),
            begun: None,
            recovered: BTreeMap::new(),
            copies: None,
            cursor: 0,
        });
    }

    pub(crate) fn tick_waking(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(waking) = self.waking.as_mut().filter(|w| now >= w.due) else { return };
        waking.due = now + HEARTBEAT_INTERVAL;
        let (nonce, begun) = (waking.nonce, waking.begun);
        if self.transfer.is_some() && now > self.patience {
            // Whom it asked is gone: what stands is asked anew.
            self.transfer = None;
            waking.recovered.clear();
        }
        if !waking.directory && begun.is_none() {
            let (from, cluster) = (waking.cursor, self.settings.cluster);
            let until = from.saturating_add(COPIES_A_ROUND).min(cluster);
            waking.cursor = if until >= cluster { 0 } else { until };
            for member in (from..until).map(NodeId) {
                self.send(member, MessageBody::LearnerStatusRequest { nonce }, actions);
            }
        }
        let ask = MessageBody::StatusRequest { nonce, at: now.as_millis() as u64 };
        self.send_council(&ask, actions);
        if begun.is_some() && self.transfer.is_none() {
            self.send_council(&MessageBody::Recovery { nonce }, actions);
        }
        self.decide(actions);
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        let (now, node_id) = (self.now, self.settings.node_id);
        let mine = self.counts.get(&node_id).copied().unwrap_or(0);
        let Some(waking) = &mut self.waking else { return };
        let told = &waking.told;
        let members = &self.members;
        let fresh = |t: &Told| now.saturating_sub(t.heard) < VIEW_CHANGE_TIMEOUT;
        if waking.begun.is_none() {
            let takes_part = |t: &&Told| t.status == ReplicaStatus::Normal && fresh(t);
            let normal =
                members.voters.iter().filter(|m| told.get(*m).as_ref().is_some_and(takes_part));
            if normal.count() >= members.majority() {
                // A majority of the others knows all lives of this member that ever voted: this is the next
                // one.
                let count =
                    told.values().map(|t| t.count).max().unwrap_or(0).max(mine).saturating_add(1);
                waking.begun = Some((count, now));
                self.counts.insert(node_id, count);
                let nonce = waking.nonce;
                self.send_council(&MessageBody::Recovery { nonce }, actions);
                return;
            }
        }
        let long = |since: Duration, time| now.saturating_sub(since) >= time;
        if waking.directory {
            let waited = waking
                .begun
                .map_or(long(waking.began, DIRECTORY_RECOVERY_TIMEOUT), |(_, since)| {
                    long(since, LEARNER_QUERY_PERIOD)
                });
            if waited
                && self.transfer.is_none()
                && members.is_majority(told.keys().chain([&node_id]))
            {
                let incarnations = told.values().any(|t| t.count > mine);
                let records = told.values().any(|t| t.written > self.written);
                if records {
                    self.forget(
                        "the others know of more records: an old copy, or a sync lied",
                        actions,
                    );
                } else if incarnations {
                    self.forget("the others know a later life, which wrote nothing down", actions);
                } else {
                    self.rejoin(actions);
                }
            }
            return;
        }
        if waking.begun.is_none() && long(waking.began, LEARNER_QUERY_PERIOD) {
            self.consider_founding(actions);
        }
    }

    /// Goes on from its directory: nobody could tell what stands, and nobody knows of more.
    fn rejoin(&mut self, actions: &mut Vec<Action>) {
        self.waking = None;
        self.blank = false;
        self.status =
            if self.view == self.last { ReplicaStatus::Normal } else { ReplicaStatus::Changing };
        self.seen = self.view.number;
        self.patience = self.now;
        self.persist_promise(actions);
        self.tell(actions);
    }

    /// Founds an epoch if so many have forgotten at one moment that the others are no majority: then the
    /// epoch before is over, since nobody can learn from a majority what stands. Each is asked again after
    /// the last of them was first heard to have forgotten.
    fn consider_founding(&mut self, actions: &mut Vec<Action>) {
        let (now, node_id) = (self.now, self.settings.node_id);
        let Some(waking) = &self.waking else { return };
        let is_blank = |m: &&NodeId| {
            let told = waking.told.get(*m);
            told.is_some_and(|t| {
                t.status == ReplicaStatus::Blank
                    && now.saturating_sub(t.heard) < VIEW_CHANGE_TIMEOUT
            })
        };
        let first = |m: &NodeId| waking.blank.get(m).map(|(_, at)| *at);
        let blank: Vec<NodeId> = self.members.voters.iter().filter(is_blank).copied().collect();
        let last = blank.iter().filter_map(first).max().unwrap_or(waking.began).max(waking.began);
        let still = |m: &&NodeId| {
            waking.told.get(*m).is_some_and(|t| Duration::from_millis(t.at) >= last)
                && waking.blank.get(*m).map(|(own, _)| *own) == waking.told.get(*m).map(|t| t.own)
        };
        let sure: Vec<NodeId> = blank.iter().filter(still).copied().collect();
        if self.members.voters.len().saturating_sub(sure.len()) > self.members.majority() {
            return;
        }
        let before = sure.iter().filter(|m| **m < node_id).count() as u32;
        if now.saturating_sub(last) < EPOCH_BOOTSTRAP_DELAY + TURN * before {
            return;
        }
        let copy = waking.copies;
        let epochs = waking.told.values().map(|t| t.view.epoch).chain(copy.map(|c| c.0.epoch()));
        let epoch = epochs.max().unwrap_or(0).max(self.view.epoch);
        self.found_epoch(epoch, Some(EpochBootstrap { copy, restore: false, begun: now }), actions);
    }

    pub(crate) fn found_epoch(
        &mut self,
        above: u32,
        founding: Option<EpochBootstrap>,
        actions: &mut Vec<Action>,
    ) {
        let epoch = above.saturating_add(1 + self.draw(EPOCHS) as u32);
        self.begin(View { epoch, number: 1, leader: self.settings.node_id }, founding, actions);
    }

    /// Operators say that a majority is gone for good.
    pub(crate) fn restore(&mut self, members: &[NodeId], actions: &mut Vec<Action>) {
        if self.status == ReplicaStatus::Mute
            || members.is_empty()
            || !members.contains(&self.settings.node_id)
        {
            return;
        }
        let since = self.members.since;
        self.members = VoterSet { since, ..VoterSet::of(members.iter().copied()) };
        let waking = self.waking.take();
        let copy = waking.as_ref().and_then(|w| w.copies);
        let known = self.peers.values().map(|p| p.view.epoch).chain(copy.map(|c| c.0.epoch()));
        let told = waking.iter().flat_map(|w| w.told.values()).map(|t| t.view.epoch);
        let epoch = known.chain(told).max().unwrap_or(0).max(self.view.epoch);
        self.found_epoch(
            epoch,
            Some(EpochBootstrap { copy, restore: true, begun: self.now }),
            actions,
        );
    }

    /// One that has forgotten joins a founding only after it has asked a majority itself, and none of them
    /// knew of more.
    pub(crate) fn may_join_founding(&self, founder: NodeId, view: View) -> bool {
        let Some(waking) = &self.waking else { return self.blank };
        let told = &waking.told;
        let asked = self.now.saturating_sub(waking.began) >= ASKED && waking.begun.is_none();
        let knows = self.members.is_majority(told.keys().chain([&self.settings.node_id]));
        asked && knows && told.contains_key(&founder) && told.values().all(|t| t.view < view)
    }

    pub(crate) fn on_ask(&mut self, from: NodeId, nonce: u64, at: u64, actions: &mut Vec<Action>) {
        // Who asks has started anew: what it joined before it forgot is not joined.
        if self.joins.get(&from).is_some_and(|j| j.blank) {
            self.joins.remove(&from);
        }
        let told = MessageBody::StatusResponse {
            nonce,
            at,
            status: self.shown(),
            own: u64::from(self.settings.incarnation.0),
            written: self.peers.get(&from).map_or(0, |p| p.written),
            commit: self.commit,
            members: self.members.clone(),
        };
        self.send(from, told, actions);
    }

    pub(crate) fn on_told(&mut self, from: NodeId, nonce: u64, told: Told, members: VoterSet) {
        let asked = self.waking.as_ref().is_some_and(|w| w.nonce == nonce);
        if !asked || !self.members.voters.contains(&from) {
            return;
        }
        if self.blank {
            // Its records are numbered on from what the others know: else a later start would take its own
            // for an old copy.
            self.number_on(told.written);
        }
        let Some(waking) = self.waking.as_mut() else { return };
        if waking.told.get(&from).is_some_and(|t| t.at > told.at) {
            return;
        }
        waking.told.insert(from, told);
        match waking.blank.get(&from) {
            _ if told.status != ReplicaStatus::Blank => {
                waking.blank.remove(&from);
            }
            Some((own, _)) if *own == told.own => {}
            _ => {
                waking.blank.insert(from, (told.own, told.heard));
            }
        }
        self.learn_members(&members);
    }

    /// Of two that are told the later counts. The settings' is believed only where nobody knows another.
    fn learn_members(&mut self, members: &VoterSet) {
        if self.blank && members.since > self.members.since && !members.voters.is_empty() {
            self.members = members.clone();
            if !self.members.voters.contains(&self.settings.node_id) {
                self.status = ReplicaStatus::Outside;
                self.waking = None;
            }
        }
    }

    pub(crate) fn on_copy(
        &mut self,
        from: NodeId,
        nonce: u64,
        at: LogIndex,
        members: VoterSet,
        actions: &mut Vec<Action>,
    ) {
        let beyond = at.epoch().saturating_sub(self.last.epoch);
        let settled = |l: &LeaderState| self.now.saturating_sub(l.since) >= LEARNER_QUERY_PERIOD;
        if beyond > 0 && beyond < EPOCHS_BEYOND && self.lead.as_ref().is_some_and(settled) {
            // Where a majority forgot, an epoch was founded under a lesser name than one that a learner knows, and that
            // learner goes back for nobody: go on under a greater one.
            self.found_epoch(at.epoch(), None, actions);
            return;
        }
        let Some(waking) = self.waking.as_mut().filter(|w| w.nonce == nonce) else { return };
        if at > LogIndex::default() && waking.copies.is_none_or(|(best, _)| at > best) {
            waking.copies = Some((at, from));
        }
        self.learn_members(&members);
    }

    pub(crate) fn on_recover(&mut self, from: NodeId, nonce: u64, actions: &mut Vec<Action>) {
        // One that is between two views can't say what stands.
        if self.status != ReplicaStatus::Normal || !self.members.voters.contains(&from) {
            return;
        }
        if self.kept_counts() != Some(&self.counts) {
            self.persist_promise(actions);
            self.kept = Some(self.counts.clone());
        }
        let body =
            MessageBody::RecoveryResponse { nonce, op: self.log.op(), leads: self.lead.is_some() };
        self.send(from, body, actions);
    }

    fn kept_counts(&self) -> Option<&IncarnationCounts> {
        self.kept.as_ref()
    }

    #[expect(clippy::too_many_arguments, reason = "each is a field of the word")]
    pub(crate) fn on_recovered(
        &mut self,
        from: NodeId,
        nonce: u64,
        view: View,
        op: u64,
        leads: bool,
        count: u32,
        actions: &mut Vec<Action>,
    ) {
        let known = self.members.voters.contains(&from) && from != self.settings.node_id;
        let Some(waking) =
            self.waking.as_mut().filter(|w| w.nonce == nonce && w.begun.is_some() && known)
        else {
            return;
        };
        waking.recovered.insert(from, (view, op, leads, count));
        let counts = &self.counts;
        waking.recovered.retain(|m, r| r.3 >= counts.get(m).copied().unwrap_or(0));
        if self.transfer.is_some() || !self.members.is_majority(waking.recovered.keys()) {
            return;
        }
        let Some(view) = waking.recovered.values().map(|r| r.0).max() else { return };
        let Some((_, op, _, _)) = waking.recovered.get(&view.leader).filter(|r| r.0 == view && r.2)
        else {
            return;
        };
        self.transfer = Some(StateTransfer::new(view.leader, view, 0, *op));
        self.view = view;
        self.patience = self.now + VIEW_CHANGE_TIMEOUT;
        self.ask_transfer(actions);
    }
}
