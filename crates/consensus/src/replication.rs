//! A view as it goes on: entries, who has kept them, what is committed, what becomes of proposals, who
//! comes and goes.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::log_record::Record;
use crate::message::{
    Entry, EntryPayload, LogIndex, MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES, MessageBody, ProposalId,
    ProposalOutcome, ReplicaStatus, View,
};
use crate::replica::{Action, Replica};

/// Entries that are not committed yet, at most. Beyond, proposals go unanswered and are repeated: without a
/// majority the log would grow without end.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 256;
/// Proposals that are waited for at a leader, at most.
const WAITING: usize = 1024;
/// A snapshot is wanted every so many entries.
pub const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1024;
/// A learner that was not heard for so long is not waited for.
const COPY_FRESH: Duration = Duration::from_millis(1500);
/// What a change of members that nobody proposed is called by.
const COMING: Incarnation = Incarnation(u32::MAX);

impl Replica {
    pub(crate) fn on_prepare(
        &mut self,
        from: NodeId,
        view: View,
        first: u64,
        entries: Vec<Entry>,
        commit: u64,
        actions: &mut Vec<Action>,
    ) {
        let follows = self.status == ReplicaStatus::Normal && self.lead.is_none();
        if !follows || view != self.view || from != view.leader {
            return;
        }
        let op = self.log.op();
        if first > op + 1 {
            self.send(from, MessageBody::GetState { from: op + 1, offset: 0 }, actions);
            return;
        }
        // Of one view there is one log: what is there already is the same.
        let new: Vec<Entry> = entries.into_iter().skip((op + 1 - first) as usize).collect();
        let bounded = new.iter().all(|e| e.size() <= MAX_ENTRY_BYTES + 64);
        if !new.is_empty() && self.log.has_room() && bounded {
            for (place, entry) in new.iter().enumerate() {
                self.ids.insert(entry.id, op + 1 + place as u64);
                self.log.push(entry.clone());
            }
            self.persist(Record::Entries { first: op + 1, entries: new }, actions);
        }
        if self.log.op() > op || commit == 0 {
            self.send(from, MessageBody::PrepareOk { op: self.log.op(), round: 0 }, actions);
        }
        self.commit_upto(commit, actions);
    }

    pub(crate) fn on_ok(
        &mut self,
        from: NodeId,
        view: View,
        op: u64,
        round: u32,
        actions: &mut Vec<Action>,
    ) {
        let known = self.members.voters.contains(&from);
        let (last, members) = (self.log.op(), &self.members);
        let Some(lead) = self.lead.as_mut().filter(|_| view == self.view && known) else { return };
        let began = lead.rounds.iter().find(|(r, _)| *r == round).map(|(_, began)| *began);
        let ack = lead.acks.entry(from).or_default();
        ack.0 = ack.0.max(op.min(last));
        ack.1 = ack.1.max(began);
        // The round that a majority answered, this one or a later.
        let mut answered: Vec<Duration> = lead
            .acks
            .iter()
            .filter(|(m, _)| members.voters.contains(m))
            .filter_map(|(_, a)| a.1)
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(began) = answered.get(members.majority() - 1).filter(|b| **b > lead.answered) {
            lead.answered = *began;
            actions.push(Action::Round { began: *began });
        }
        self.advance(actions);
    }

    /// Commits what a majority has kept, one after the other: a change of members counts for all that come
    /// after it.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        let before = self.commit;
        while let Some(lead) = &self.lead {
            let next = self.commit + 1;
            let kept = lead.acks.iter().filter(|(_, a)| a.0 >= next).map(|(m, _)| m);
            if next > self.log.op() || !self.members.is_majority(kept) {
                break;
            }
            self.commit_upto(next, actions);
        }
        if self.commit > before && self.lead.is_some() {
            let body = MessageBody::Prepare {
                first: self.log.op() + 1,
                entries: Vec::new(),
                commit: self.commit,
            };
            self.send_council(&body, actions);
            self.answer_waiting(actions);
        }
    }

    /// Everything up to here is committed, as far as it is there.
    pub(crate) fn commit_upto(&mut self, commit: u64, actions: &mut Vec<Action>) {
        let through = commit.min(self.log.op());
        let mut changed = false;
        while self.commit < through {
            self.commit += 1;
            if let Some(entry) = self.log.get(self.commit)
                && !matches!(entry.what, EntryPayload::Command(_))
            {
                self.members.apply(self.commit, &entry.what);
                changed = true;
            }
        }
        self.tell(actions);
        if changed {
            let members = self.members.clone();
            self.peers.retain(|m, _| members.has(*m));
            self.counts.retain(|m, _| members.has(*m) || *m == self.settings.node_id);
            self.persist(Record::Commit { commit: self.commit }, actions);
            if !self.members.voters.contains(&self.settings.node_id) {
                self.give_up_lead(actions);
                self.status = ReplicaStatus::Outside;
            }
        }
        if self.commit.saturating_sub(self.log.base().op.max(self.asked_snapshot))
            >= SNAPSHOT_INTERVAL_ENTRIES
        {
            self.asked_snapshot = self.commit;
            actions.push(Action::SnapshotWanted);
        }
    }

    pub(crate) fn propose(
        &mut self,
        from: NodeId,
        id: ProposalId,
        what: Option<EntryPayload>,
        actions: &mut Vec<Action>,
    ) {
        let never = match &what {
            Some(EntryPayload::Command(bytes)) => bytes.len() > MAX_ENTRY_BYTES,
            Some(EntryPayload::RemoveVoter { removed, replacement }) => {
                *replacement == Some(*removed)
            }
            Some(EntryPayload::AddVoter(_)) => true,
            None => false,
        };
        if never || self.lead.is_none() {
            let outcome = never.then_some(ProposalOutcome::Never);
            let leader = self.leader().filter(|l| *l != self.settings.node_id);
            self.send(from, MessageBody::ProposalResponse { id, outcome, leader }, actions);
            return;
        }
        if !self.ids.contains_key(&id) {
            let Some(what) = what else {
                let leader = Some(self.settings.node_id);
                self.send(
                    from,
                    MessageBody::ProposalResponse {
                        id,
                        outcome: Some(ProposalOutcome::Unknown),
                        leader,
                    },
                    actions,
                );
                return;
            };
            // One that can't be an entry now goes unanswered, and is repeated.
            if !self.may_propose(&what) {
                return;
            }
            self.append(Entry { id, what }, actions);
        }
        if let Some(lead) = &mut self.lead
            && (lead.waiting.len() < WAITING || lead.waiting.contains_key(&id))
        {
            lead.waiting.entry(id).or_default().insert(from);
        }
        self.answer_waiting(actions);
    }

    fn may_propose(&self, what: &EntryPayload) -> bool {
        let fits = match what {
            EntryPayload::Command(_) => true,
            // One at a time: two in a row could have majorities that don't cross.
            EntryPayload::RemoveVoter { removed, replacement } => {
                let voters = &self.members.voters;
                self.is_settled()
                    && voters.contains(removed)
                    && voters.len() > 1
                    && replacement.is_none_or(|t| !voters.contains(&t))
            }
            EntryPayload::AddVoter(member) => {
                self.is_settled_but_coming() && !self.members.voters.contains(member)
            }
        };
        let underway = self.log.op() - self.commit;
        fits && underway < MAX_UNCOMMITTED_ENTRIES && self.log.has_room()
    }

    fn is_settled_but_coming(&self) -> bool {
        (self.commit + 1..=self.log.op())
            .all(|op| self.log.get(op).is_none_or(|e| matches!(e.what, EntryPayload::Command(_))))
    }

    fn is_settled(&self) -> bool {
        self.members.joining.is_none() && self.is_settled_but_coming()
    }

    fn append(&mut self, entry: Entry, actions: &mut Vec<Action>) {
        let first = self.log.op() + 1;
        self.ids.insert(entry.id, first);
        if self.ids.len() > 2 * crate::log::MAX_REMEMBERED_PROPOSALS {
            self.ids = self.log.ids_at(self.log.op());
        }
        self.log.push(entry.clone());
        let entries = vec![entry];
        self.persist(Record::Entries { first, entries: entries.clone() }, actions);
        self.send_council(&MessageBody::Prepare { first, entries, commit: self.commit }, actions);
        self.send(self.settings.node_id, MessageBody::PrepareOk { op: first, round: 0 }, actions);
    }

    /// Who is to come for one that went comes in, once it answers.
    pub(crate) fn admit_coming(&mut self, actions: &mut Vec<Action>) {
        let Some(joining) = self.members.joining.filter(|_| self.lead.is_some()) else { return };
        let fresh =
            |p: &crate::replica::Peer| self.now.saturating_sub(p.at) < crate::replica::PEER_TIMEOUT;
        let what = EntryPayload::AddVoter(joining);
        if self.peers.get(&joining).is_some_and(fresh) && self.may_propose(&what) {
            let id = ProposalId { by: joining, incarnation: COMING, number: self.members.since };
            self.append(Entry { id, what }, actions);
        }
    }

    /// Says yes to those whose entry is committed, and is with enough learners outside the council.
    pub(crate) fn answer_waiting(&mut self, actions: &mut Vec<Action>) {
        let Some(lead) = &self.lead else { return };
        let outside = |m: &NodeId| !self.members.voters.contains(m);
        let fresh = |at: Duration| self.now.saturating_sub(at) < COPY_FRESH;
        let copies: Vec<LogIndex> = self
            .copied
            .iter()
            .filter(|(m, c)| outside(m) && fresh(c.1))
            .map(|(_, c)| c.0)
            .collect();
        let needed = copies.len().min(usize::from(self.settings.copies));
        let mut answers = Vec::new();
        for (id, who) in &lead.waiting {
            let Some(op) = self.ids.get(id).copied().filter(|op| *op <= self.commit) else {
                continue;
            };
            let index = LogIndex::new(self.last.epoch, op);
            if copies.iter().filter(|c| **c >= index).count() >= needed {
                answers.push((*id, index, who.clone()));
            }
        }
        for (id, index, who) in answers {
            if let Some(lead) = &mut self.lead {
                lead.waiting.remove(&id);
            }
            let leader = Some(self.settings.node_id);
            for to in who {
                let outcome = Some(ProposalOutcome::Committed(index));
                self.send(to, MessageBody::ProposalResponse { id, outcome, leader }, actions);
            }
        }
    }

    pub(crate) fn snapshot(&mut self, index: LogIndex, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        let op = index.op();
        let known =
            index.epoch() == self.last.epoch && op <= self.commit && op > self.log.base().op;
        if self.status != ReplicaStatus::Normal
            || !known
            || bytes.len() > MAX_SNAPSHOT_BYTES - (64 << 10)
        {
            return;
        }
        let base = self.log.base_at(op, bytes);
        self.log.rebase(base.clone());
        self.persist(Record::Snapshot(base), actions);
    }
}
