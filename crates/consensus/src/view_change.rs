//! Who leads: who may, how a view begins, and how a member comes into one.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::log::{Log, StateTransfer};
use crate::log_record::Record;
use crate::message::{
    EntryPayload, Heartbeat, LogIndex, MessageBody, Part, ReplicaStatus, View, VoterSet,
};
use crate::recovery::LEARNER_QUERY_PERIOD;
use crate::replica::{
    Action, DoViewChangeVote, EpochBootstrap, HEARTBEAT_INTERVAL, LeaderState, PEER_TIMEOUT, Peer,
    Replica, VIEW_CHANGE_TIMEOUT,
};

/// A founding that does not begin within so long is given up.
const FOUNDING: Duration = Duration::from_millis(1500);
/// Who founds an epoch waits so long for those that have not yet joined.
const AGREED: Duration = Duration::from_millis(300);

impl Replica {
    /// Whether it hears no leader that leads: only then it begins a view, or takes part in another's.
    pub(crate) fn is_free(&self) -> bool {
        if self.lead.is_some() {
            return false;
        }
        if self.status != ReplicaStatus::Normal {
            return true;
        }
        let leader = self.peers.get(&self.view.leader);
        !leader.is_some_and(|p| self.is_fresh(p) && p.leads && p.view == self.view)
    }

    fn is_fresh(&self, peer: &Peer) -> bool {
        self.now.saturating_sub(peer.at) < PEER_TIMEOUT
    }

    /// A majority hears it, and it hears them; and a majority hears no leader. A member that only some
    /// hear, or that hears only some, never unseats a leader that others hear.
    fn may_lead(&self) -> bool {
        let node_id = self.settings.node_id;
        let connected = |(m, p): &(&NodeId, &Peer)| {
            let votes = matches!(p.status, ReplicaStatus::Normal | ReplicaStatus::Changing);
            self.members.voters.contains(m)
                && **m != node_id
                && votes
                && p.hears_me
                && self.is_fresh(p)
        };
        let free = self.peers.iter().filter(connected).filter(|(_, p)| p.free).map(|(m, _)| m);
        self.members.is_majority(free.chain([&node_id]))
    }

    pub(crate) fn on_hello(
        &mut self,
        from: NodeId,
        view: View,
        hello: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let out = hello.members.since > self.members.since
            && !hello.members.voters.contains(&self.settings.node_id);
        if out && hello.leads && view >= self.view {
            // It was voted out while it heard nobody.
            self.members = hello.members.clone();
            self.give_up_lead(actions);
            (self.transfer, self.founding, self.waking) = (None, None, None);
            self.status = ReplicaStatus::Outside;
            return;
        }
        if !self.members.has(from) {
            if self.lead.is_some() && hello.status != ReplicaStatus::Outside {
                let members = self.members.clone();
                let last = Heartbeat {
                    leads: true,
                    round: 0,
                    members,
                    status: self.status,
                    ..hello.clone()
                };
                self.send(from, MessageBody::Heartbeat(last), actions);
            }
            return;
        }
        let written = self.peers.get(&from).map_or(0, |p| p.written).max(hello.written);
        let peer = Peer {
            at: self.now,
            view,
            status: hello.status,
            hears_me: hello.heard.contains(&self.settings.node_id),
            leads: hello.leads,
            free: hello.free,
            written,
        };
        if self.peers.len() < 2 * crate::message::MAX_VOTERS || self.peers.contains_key(&from) {
            self.peers.insert(from, peer);
        }
        if view.epoch == self.view.epoch {
            self.seen = self.seen.max(view.number);
        }
        if !matches!(self.status, ReplicaStatus::Normal | ReplicaStatus::Changing) {
            return;
        }
        let leads = hello.leads && hello.status == ReplicaStatus::Normal && view.leader == from;
        if self.blank && leads && view != self.view {
            // Somebody leads: there is nothing to found. What a life before this one promised may be later
            // than that view, so it is asked for what stands like by any that has forgotten.
            self.wake(false);
            return;
        }
        let long = self
            .free_since
            .is_some_and(|since| self.now.saturating_sub(since) >= LEARNER_QUERY_PERIOD);
        let alone = self.status == ReplicaStatus::Normal && self.lead.is_none() && long;
        let stuck = alone || self.status == ReplicaStatus::Changing && self.now > self.patience;
        if leads && stuck && view.epoch < self.view.epoch {
            // It promised an epoch that never began, and a majority goes on without it. Whoever forgets is
            // asked to keep no promise: it comes back like one.
            self.forget("it promised an epoch that never began", actions);
            return;
        }
        if leads && view == self.view && self.status == ReplicaStatus::Normal && self.lead.is_none()
        {
            if hello.op > self.log.op() {
                let fetch = MessageBody::GetState { from: self.log.op() + 1, offset: 0 };
                self.send(from, fetch, actions);
            }
            let op = self.log.op().min(hello.op);
            self.send(from, MessageBody::PrepareOk { op, round: hello.round }, actions);
            self.commit_upto(hello.commit, actions);
        } else if leads && (view > self.view || view == self.view && self.lead.is_none()) {
            self.follow(view, hello, actions);
        } else if let Some(lead) = &self.lead
            && view > self.view
            && view.epoch == self.view.epoch
            && hello.status == ReplicaStatus::Changing
            && hello.heard.contains(&self.settings.node_id)
            && self.now.saturating_sub(lead.since) > VIEW_CHANGE_TIMEOUT
        {
            // One that promised a later view, which never began, can't come back: bring all into one after
            // it.
            self.begin_next(actions);
        }
    }

    /// Comes into a view that has begun.
    fn follow(&mut self, view: View, hello: &Heartbeat, actions: &mut Vec<Action>) {
        if self.transfer.as_ref().is_some_and(|t| t.view == view && t.source == view.leader) {
            return;
        }
        self.give_up_lead(actions);
        self.view = view;
        self.status = ReplicaStatus::Changing;
        (self.founding, self.waking) = (None, None);
        self.joins.clear();
        // Up to its commit every log of the epoch is the same.
        let same = !self.blank && self.last.epoch == view.epoch;
        let first = if same { self.commit + 1 } else { 0 };
        self.transfer = Some(StateTransfer::new(view.leader, view, first, hello.op));
        self.patience = self.now + VIEW_CHANGE_TIMEOUT;
        self.ask_transfer(actions);
        self.finish_transfer(actions);
    }

    pub(crate) fn ask_transfer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(transfer) = &mut self.transfer else { return };
        transfer.asked = now;
        let ((from, offset), to, copy) = (transfer.next(), transfer.source, transfer.copy);
        if transfer.is_whole() {
            return;
        }
        let body = if copy {
            MessageBody::GetLearnerState { from, offset }
        } else {
            MessageBody::GetState { from, offset }
        };
        self.send(to, body, actions);
    }

    pub(crate) fn on_fetch(
        &mut self,
        from: NodeId,
        view: View,
        first: u64,
        offset: u32,
        actions: &mut Vec<Action>,
    ) {
        let votes =
            matches!(self.status, ReplicaStatus::Normal | ReplicaStatus::Changing) && !self.blank;
        if !votes || view != self.view {
            return;
        }
        match self.log.part(first, self.log.op(), offset) {
            Part::Entries { entries, .. } if entries.is_empty() => {}
            part => self.send(from, MessageBody::Part(part), actions),
        }
    }

    pub(crate) fn on_part(
        &mut self,
        from: NodeId,
        view: View,
        part: Part,
        actions: &mut Vec<Action>,
    ) {
        if let Some(transfer) = &mut self.transfer {
            if from == transfer.source
                && (transfer.copy || view == transfer.view)
                && transfer.take(part)
            {
                self.patience = self.now + VIEW_CHANGE_TIMEOUT;
                self.ask_transfer(actions);
                self.finish_transfer(actions);
            }
        } else if let Part::Entries { first, entries } = part {
            self.on_prepare(from, view, first, entries, 0, actions);
        }
    }

    fn finish_transfer(&mut self, actions: &mut Vec<Action>) {
        let Some(transfer) = self.transfer.take_if(|t| t.is_whole()) else { return };
        let first = transfer.next().0;
        let view = transfer.view;
        if self.view.leader == self.settings.node_id {
            // A candidate takes over the best log of those that joined it; in it, it can be told what it
            // missed.
            let best = self.best_join().map(|(_, j)| j);
            let copy = transfer.copy;
            let anew = best.is_some_and(|b| b.last.epoch != self.last.epoch) || self.blank;
            self.log = transfer.onto(&self.log);
            let base = self.log.base().op;
            self.commit = if anew { base } else { self.commit.clamp(base, self.log.op()) };
            if copy {
                self.commit = self.log.op();
                self.founding = self.founding.take().map(|f| EpochBootstrap { copy: None, ..f });
            } else if let Some(best) = best {
                self.last = best.last;
            }
            (self.members, self.ids) = match &self.founding {
                Some(_) => (self.members.clone(), self.log.ids_at(self.log.op())),
                None => (self.log.members_at(self.commit), self.log.ids_at(self.log.op())),
            };
            self.persist_whole(actions);
            self.blank = self.blank && self.founding.is_some();
            self.try_lead_with(true, actions);
            return;
        }
        let whole = self.waking.is_some() || self.blank || self.last.epoch != view.epoch;
        let from = self.commit + 1;
        let log = transfer.onto(&self.log);
        let whole = whole || log.base().op >= from;
        self.enter(view, log, 0, actions);
        if whole {
            self.persist_whole(actions);
        } else {
            let (counts, last) = (self.counts.clone(), self.last);
            let entries = (from..first).filter_map(|op| self.log.get(op).cloned()).collect();
            self.persist(Record::ViewStart { view, last, counts, first: from, entries }, actions);
        }
        self.send(view.leader, MessageBody::PrepareOk { op: self.log.op(), round: 0 }, actions);
    }

    /// Takes part in a view from here on, with its log.
    fn enter(&mut self, view: View, log: Log, commit: u64, actions: &mut Vec<Action>) {
        let fresh = self.blank || self.last.epoch != view.epoch;
        self.log = log;
        (self.view, self.last) = (view, view);
        self.status = ReplicaStatus::Normal;
        (self.blank, self.waking, self.transfer, self.founding) = (false, None, None, None);
        self.joins.clear();
        self.seen = view.number;
        let base = self.log.base().op;
        self.commit = if fresh { base } else { self.commit.max(base) };
        self.members = self.log.members_at(self.commit);
        self.ids = self.log.ids_at(self.log.op());
        self.tell(actions);
        self.commit_upto(commit, actions);
    }

    /// Tells what is committed and was not told yet.
    pub(crate) fn tell(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.last.epoch;
        let base = self.log.base().op;
        let goes_on = |t: &LogIndex| t.epoch() == epoch && t.op() >= self.log.start();
        let mut told = match self.told.filter(goes_on) {
            Some(told) => told.op(),
            None => {
                let index = LogIndex::new(epoch, base);
                actions.push(Action::Reset { index, base: self.log.base().clone() });
                base
            }
        };
        while told < self.commit {
            let Some(entry) = self.log.get(told + 1) else { break };
            told += 1;
            actions.push(Action::Committed {
                index: LogIndex::new(epoch, told),
                entry: entry.clone(),
            });
        }
        self.told = Some(LogIndex::new(epoch, told));
    }

    /// Begins a view, if it hears no leader and may lead.
    pub(crate) fn consider(&mut self, free: bool, actions: &mut Vec<Action>) {
        if !matches!(self.status, ReplicaStatus::Normal | ReplicaStatus::Changing) {
            return;
        }
        if self.blank || self.founding.is_some() {
            if self.now > self.patience + FOUNDING {
                // Nobody founded what it joined.
                if self.blank {
                    self.wake(false);
                } else {
                    self.founding = None;
                }
            }
            return;
        }
        let mine =
            self.status == ReplicaStatus::Changing && self.view.leader == self.settings.node_id;
        if mine && self.view.number >= self.seen || !free || self.now < self.patience {
            return;
        }
        if self.members.voters.contains(&self.settings.node_id) && self.may_lead() {
            self.begin_next(actions);
        }
    }

    fn begin_next(&mut self, actions: &mut Vec<Action>) {
        if self.last.epoch != self.view.epoch && !self.blank {
            // It joined a founding of which it knows no more. Its log is of another epoch; under this one's
            // name somebody may have begun with another, so it takes a name of its own.
            self.found_epoch(self.view.epoch, None, actions);
            return;
        }
        let number = self.seen.max(self.view.number).saturating_add(1);
        self.begin(
            View { epoch: self.view.epoch, number, leader: self.settings.node_id },
            None,
            actions,
        );
    }

    /// Asks all to take part in a view that it would lead.
    pub(crate) fn begin(
        &mut self,
        view: View,
        founding: Option<EpochBootstrap>,
        actions: &mut Vec<Action>,
    ) {
        self.give_up_lead(actions);
        self.view = view;
        self.seen = view.number;
        self.status = ReplicaStatus::Changing;
        (self.transfer, self.waking) = (None, None);
        self.founding = founding;
        self.joins.clear();
        self.patience = self.now + VIEW_CHANGE_TIMEOUT + Duration::from_millis(self.draw(200));
        self.persist_promise(actions);
        self.send(self.settings.node_id, self.join(), actions);
        self.say_begin(actions);
    }

    pub(crate) fn say_begin(&mut self, actions: &mut Vec<Action>) {
        let founding = self.founding.is_some();
        let members = self.founding.as_ref().filter(|f| f.restore).map(|_| self.members.clone());
        self.send_council(&MessageBody::StartViewChange { founding, members }, actions);
    }

    fn join(&self) -> MessageBody {
        MessageBody::DoViewChange {
            last: self.last,
            op: self.log.op(),
            commit: self.commit,
            blank: self.blank,
        }
    }

    pub(crate) fn on_begin(
        &mut self,
        from: NodeId,
        view: View,
        founding: bool,
        restore: Option<VoterSet>,
        actions: &mut Vec<Action>,
    ) {
        if view.leader != from
            || from == self.settings.node_id
            || self.status == ReplicaStatus::Mute
        {
            return;
        }
        if view.epoch == self.view.epoch {
            self.seen = self.seen.max(view.number);
        }
        if view == self.view && self.status == ReplicaStatus::Changing {
            if self.transfer.is_none() {
                self.send(from, self.join(), actions);
            }
            return;
        }
        if view <= self.view || self.status == ReplicaStatus::Waking {
            return;
        }
        let asked = founding && (restore.is_some() || self.may_join_founding(from, view));
        let long = self
            .free_since
            .is_some_and(|since| self.now.saturating_sub(since) >= LEARNER_QUERY_PERIOD);
        let free = self.is_free() && (!founding || long);
        let knows = self.members.voters.contains(&from) && (free || from == self.view.leader);
        let joins = if self.blank { asked } else { restore.is_some() || knows };
        if !joins {
            return;
        }
        self.give_up_lead(actions);
        self.view = view;
        self.seen = view.number;
        self.status = ReplicaStatus::Changing;
        (self.transfer, self.founding, self.waking) = (None, None, None);
        self.joins.clear();
        self.patience = self.now + VIEW_CHANGE_TIMEOUT + Duration::from_millis(self.draw(200));
        self.persist_promise(actions);
        self.send(from, self.join(), actions);
    }

    pub(crate) fn on_join(
        &mut self,
        from: NodeId,
        view: View,
        joined: DoViewChangeVote,
        actions: &mut Vec<Action>,
    ) {
        let mine = view == self.view
            && view.leader == self.settings.node_id
            && self.status == ReplicaStatus::Changing;
        if mine
            && (!joined.blank || self.founding.is_some())
            && self.joins.len() < 2 * crate::message::MAX_VOTERS
        {
            self.joins.insert(from, joined);
            self.try_lead(actions);
        }
    }

    /// The member with the log to go on from: of those that have not forgotten, the one that took part in
    /// the latest view, and of those the longest. Every committed entry of that epoch is in it: the
    /// majority that kept it crosses the one that joined.
    fn best_join(&self) -> Option<(NodeId, DoViewChangeVote)> {
        let known = self.joins.iter().filter(|(_, j)| !j.blank);
        known
            .max_by_key(|(m, j)| (j.last, j.op, **m == self.settings.node_id))
            .map(|(m, j)| (*m, *j))
    }

    pub(crate) fn try_lead(&mut self, actions: &mut Vec<Action>) {
        self.try_lead_with(false, actions);
    }

    /// Leads, if a majority has joined and it has the best log of theirs; else fetches that (`fetched`: it
    /// just did).
    fn try_lead_with(&mut self, fetched: bool, actions: &mut Vec<Action>) {
        if self.transfer.is_some() {
            return;
        }
        // A life that ended has not joined, whatever it said.
        let counts = &self.counts;
        self.joins.retain(|m, j| j.count >= counts.get(m).copied().unwrap_or(0));
        if !self.members.is_majority(self.joins.keys()) {
            return;
        }
        let all = self.members.voters.iter().all(|m| self.joins.contains_key(m));
        let waits = |f: &EpochBootstrap| !all && self.now.saturating_sub(f.begun) < AGREED;
        if self.founding.as_ref().is_some_and(waits) {
            // Any may have the one copy of an entry.
            return;
        }
        let best = self.best_join();
        if !fetched && !self.has_best(best) {
            self.fetch_best(best, actions);
            return;
        }
        if self.founding.is_some() {
            self.found(actions);
            return;
        }
        if !self.is_of_one_epoch() {
            // Whoever comes from another epoch may once have been in this one, and have forgotten what it
            // kept: the log goes on, but under a name of its own, so that no index is given twice. Others
            // may yet join.
            if self.now + AGREED >= self.patience {
                self.found_epoch(self.view.epoch, None, actions);
            }
            return;
        }
        // A change of members in this log counts from its commit, and may be committed: a majority of each
        // is needed.
        let mut members = self.members.clone();
        for op in self.commit + 1..=self.log.op() {
            if let Some(entry) = self.log.get(op) {
                members.apply(op, &entry.what);
            }
            if !members.is_majority(self.joins.keys()) {
                return;
            }
        }
        let commit = self.commit_of_joins();
        self.start(self.log.clone(), commit, actions);
    }

    /// A majority of those that joined comes from this view's epoch, or nobody does: then its name is new.
    fn is_of_one_epoch(&self) -> bool {
        let of_it = |j: &DoViewChangeVote| !j.blank && j.last.epoch == self.view.epoch;
        let own: Vec<&NodeId> =
            self.joins.iter().filter(|(_, j)| of_it(j)).map(|(m, _)| m).collect();
        own.is_empty() || self.members.is_majority(own)
    }

    /// What is committed of the log that it goes on from.
    fn commit_of_joins(&self) -> u64 {
        let same = self.joins.values().filter(|j| !j.blank && j.last.epoch == self.last.epoch);
        same.map(|j| j.commit).max().unwrap_or(0).max(self.commit)
    }

    fn has_best(&self, best: Option<(NodeId, DoViewChangeVote)>) -> bool {
        if let Some((at, _)) = self.founding.as_ref().and_then(|f| f.copy) {
            let known = best.map(|(_, j)| LogIndex::new(j.last.epoch, j.commit));
            if known.is_none_or(|k| at > k) {
                return false;
            }
        }
        let Some((member, best)) = best else { return true };
        member == self.settings.node_id
            || (best.last, best.op) == (self.last, self.log.op()) && !self.blank
    }

    fn fetch_best(&mut self, best: Option<(NodeId, DoViewChangeVote)>, actions: &mut Vec<Action>) {
        let copy = self.founding.as_ref().and_then(|f| f.copy);
        let known = best.map(|(_, j)| LogIndex::new(j.last.epoch, j.commit));
        let mut transfer = match (copy, best) {
            (Some((at, whose)), _) if known.is_none_or(|k| at > k) => {
                let mut transfer = StateTransfer::new(whose, self.view, 0, at.op());
                transfer.copy = true;
                transfer
            }
            (_, Some((member, best))) => {
                let same = !self.blank && best.last.epoch == self.last.epoch;
                let first = if same { self.commit + 1 } else { 0 };
                StateTransfer::new(member, self.view, first, best.op)
            }
            _ => return,
        };
        transfer.asked = self.now;
        self.transfer = Some(transfer);
        self.ask_transfer(actions);
        self.finish_transfer(actions);
    }

    /// The first view of an epoch begins with what is there; who votes is who founds it.
    fn found(&mut self, actions: &mut Vec<Action>) {
        let mut base = self.log.base().clone();
        base.members = self.members.clone();
        let entries = self.log.entries().iter().cloned().map(|mut entry| {
            if !matches!(entry.what, EntryPayload::Command(_)) {
                entry.what = EntryPayload::Command(Vec::new());
            }
            entry
        });
        let log = Log::with(base, self.log.start(), entries.collect());
        let commit = self.commit_of_joins();
        self.blank = true;
        self.start(log, commit, actions);
        self.persist_whole(actions);
    }

    fn start(&mut self, log: Log, commit: u64, actions: &mut Vec<Action>) {
        self.enter(self.view, log, commit, actions);
        self.persist_promise(actions);
        let lead = LeaderState { since: self.now, answered: self.now, ..LeaderState::default() };
        self.lead = Some(lead);
        actions.push(Action::Leads { view: self.view, since: self.now });
        self.hello_due = self.now + HEARTBEAT_INTERVAL;
        self.hello(actions);
    }
}
