//! Proposals at the leader: they are appended to the log, and answered once committed. The entries are replicated in
//! `replication`.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::entry::{Entry, EntryPayload, LogIndex, MAX_ENTRY_BYTES, ProposalId, ProposalOutcome};
use crate::interface::Action;
use crate::log::MAX_REMEMBERED_PROPOSALS;
use crate::log_record::Record;
use crate::message::{MessageBody, ReplicaStatus};
use crate::replica::Replica;

/// Largest number of uncommitted entries. Further proposals are not answered, so that their proposers repeat them;
/// otherwise the log would grow without bound while there is no majority.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 256;
/// Largest number of proposals for whose outcome a leader remembers the waiting nodes.
const MAX_WAITING_PROPOSALS: usize = 1024;
/// Time since the last report of a learner's position after which answers no longer wait for that learner.
const LEARNER_POSITION_TIMEOUT: Duration = Duration::from_millis(1500);
/// The incarnation in the id of a change of voters that the leader itself proposes.
const LEADER_PROPOSAL_INCARNATION: Incarnation = Incarnation(u32::MAX);

/// Whether an entry with this payload can never be committed.
fn is_impossible(payload: &EntryPayload) -> bool {
    match payload {
        EntryPayload::Command(bytes) => bytes.len() > MAX_ENTRY_BYTES,
        EntryPayload::RemoveVoter { removed, replacement } => *replacement == Some(*removed),
        EntryPayload::AddVoter(_) => true,
    }
}

/// Whether a leader can append an entry to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appendable {
    /// The entry can be appended now.
    Now,
    /// Other entries must be committed, or voters become available, first. The proposal is not answered, so that its
    /// proposer repeats it.
    Later,
    /// The current voters do not allow the change. The proposal is answered with [`ProposalOutcome::Rejected`].
    Never,
}

impl Replica {
    pub(crate) fn on_propose(
        &mut self,
        from: NodeId,
        id: ProposalId,
        payload: Option<EntryPayload>,
        actions: &mut Vec<Action>,
    ) {
        let node_id = self.config.node_id;
        let is_rejected = payload.as_ref().is_some_and(is_impossible);
        if is_rejected || self.leadership.is_none() {
            let outcome = is_rejected.then_some(ProposalOutcome::Rejected);
            let leader = self.leader().filter(|leader| *leader != node_id);
            self.send(from, MessageBody::ProposalResponse { id, outcome, leader }, actions);
            return;
        }
        if !self.proposals.contains_key(&id) {
            let Some(payload) = payload else {
                self.answer_proposal(from, id, ProposalOutcome::Unknown, actions);
                return;
            };
            match self.appendable(&payload) {
                Appendable::Now => self.append(Entry { id, payload }, actions),
                Appendable::Later => return,
                Appendable::Never => {
                    self.answer_proposal(from, id, ProposalOutcome::Rejected, actions);
                    return;
                }
            }
        }
        self.await_outcome(id, from);
        self.answer_committed(actions);
    }

    /// Sends the outcome of a proposal, as the leader.
    fn answer_proposal(
        &mut self,
        to: NodeId,
        id: ProposalId,
        outcome: ProposalOutcome,
        actions: &mut Vec<Action>,
    ) {
        let leader = Some(self.config.node_id);
        let outcome = Some(outcome);
        self.send(to, MessageBody::ProposalResponse { id, outcome, leader }, actions);
    }

    fn await_outcome(&mut self, id: ProposalId, node: NodeId) {
        let Some(leadership) = &mut self.leadership else { return };
        let waiting = &mut leadership.waiting_nodes;
        if waiting.len() < MAX_WAITING_PROPOSALS || waiting.contains_key(&id) {
            waiting.entry(id).or_default().insert(node);
        }
    }

    fn appendable(&self, payload: &EntryPayload) -> Appendable {
        if self.log.op() - self.commit >= MAX_UNCOMMITTED_ENTRIES || !self.log.has_room() {
            return Appendable::Later;
        }
        // Only one change of voters may be uncommitted: the majorities before and after two changes might not
        // intersect.
        let is_settled = self.log.has_only_commands_after(self.commit);
        let is_allowed = match payload {
            EntryPayload::Command(_) => return Appendable::Now,
            EntryPayload::RemoveVoter { .. } if self.voter_set.joining.is_some() => {
                return Appendable::Later;
            }
            EntryPayload::RemoveVoter { removed, replacement } => {
                let cluster_size = self.config.cluster_size;
                let is_allowed =
                    self.voter_set.allows_replacement(*removed, *replacement, cluster_size);
                if is_allowed && !self.has_quorum_without(*removed) {
                    return Appendable::Later;
                }
                is_allowed
            }
            EntryPayload::AddVoter(node) => !self.voter_set.voters.contains(node),
        };
        match (is_settled, is_allowed) {
            (false, _) => Appendable::Later,
            (true, true) => Appendable::Now,
            (true, false) => Appendable::Never,
        }
    }

    /// Whether the voters without `removed` have a connected majority in normal status. A voter that has just joined is
    /// not in normal status until it has recovered the log.
    fn has_quorum_without(&self, removed: NodeId) -> bool {
        let mut remaining = self.voter_set.clone();
        remaining.voters.remove(&removed);
        let is_normal = |node: &&NodeId| {
            **node == self.config.node_id
                || self.peers.get(node).is_some_and(|peer| {
                    peer.status == ReplicaStatus::Normal && self.is_connected(peer)
                })
        };
        remaining.is_majority(remaining.voters.iter().filter(is_normal))
    }

    fn append(&mut self, entry: Entry, actions: &mut Vec<Action>) {
        let first = self.log.op() + 1;
        self.proposals.insert(entry.id, first);
        if self.proposals.len() > 2 * MAX_REMEMBERED_PROPOSALS {
            self.proposals = self.log.proposals_at(self.log.op());
        }
        self.log.push(entry.clone());
        let entries = vec![entry];
        self.persist(Record::Entries { first, entries: entries.clone() }, actions);
        let commit = self.commit;
        self.broadcast(&MessageBody::Prepare { first, entries, commit }, actions);
        let ok = MessageBody::PrepareOk { op: first, heartbeat: 0 };
        self.send(self.config.node_id, ok, actions);
    }

    /// Proposes to add the joining node as a voter, once it sends heartbeats.
    pub(crate) fn admit_joining_voter(&mut self, actions: &mut Vec<Action>) {
        let joining = self.voter_set.joining.filter(|_| self.leadership.is_some());
        let Some(joining) = joining else { return };
        let payload = EntryPayload::AddVoter(joining);
        let is_connected = self.peers.get(&joining).is_some_and(|peer| self.is_connected(peer));
        if is_connected && self.appendable(&payload) == Appendable::Now {
            let id = ProposalId {
                by: joining,
                incarnation: LEADER_PROPOSAL_INCARNATION,
                number: self.voter_set.changed_at,
            };
            self.append(Entry { id, payload }, actions);
        }
    }

    /// Answers the proposals whose entries are committed and held by enough learners on non-voters.
    pub(crate) fn answer_committed(&mut self, actions: &mut Vec<Action>) {
        for answer in self.take_answerable() {
            let outcome = Some(ProposalOutcome::Committed(answer.index));
            let (id, leader) = (answer.id, Some(self.config.node_id));
            for to in answer.receivers {
                self.send(to, MessageBody::ProposalResponse { id, outcome, leader }, actions);
            }
        }
    }

    fn take_answerable(&mut self) -> Vec<CommittedAnswer> {
        let positions = self.learner_copies();
        let required = positions.len().min(usize::from(self.config.required_learner_copies));
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let (proposals, commit) = (&self.proposals, self.commit);
        let epoch = self.last_normal_view.epoch;
        let committed_index = |id: &ProposalId| {
            let op = proposals.get(id).copied().filter(|op| *op <= commit)?;
            let index = LogIndex::new(epoch, op);
            let holders = positions.iter().filter(|position| **position >= index).count();
            (holders >= required).then_some(index)
        };
        let mut answers = Vec::new();
        leadership.waiting_nodes.retain(|id, receivers| {
            let Some(index) = committed_index(id) else { return true };
            let receivers = std::mem::take(receivers).into_iter().collect();
            answers.push(CommittedAnswer { id: *id, index, receivers });
            false
        });
        answers
    }

    /// Returns the positions of the learners on non-voters that have reported recently.
    fn learner_copies(&self) -> Vec<LogIndex> {
        let voters = &self.voter_set.voters;
        let mut positions = Vec::new();
        for (node, position) in &self.learner_positions {
            let is_recent = !self.has_passed(position.reported_at, LEARNER_POSITION_TIMEOUT);
            if !voters.contains(node) && is_recent {
                positions.push(position.index);
            }
        }
        positions
    }
}

/// The answer to a committed proposal, and the nodes that wait for it.
struct CommittedAnswer {
    id: ProposalId,
    index: LogIndex,
    receivers: Vec<NodeId>,
}
