//! What one of a balancer's machines has for another, or for the shell.

use hollowpaddle_consensus::{
    self as consensus, EntryPayload, LearnerAction, LearnerEvent, MessageBody,
};
use hollowpaddle_peer_transport::{self as peers, Channel, How, NodeId};
use hollowpaddle_revision::lists::ListMessage;
use hollowpaddle_revision::policy_state::PolicyState;
use hollowpaddle_revision::{leases, lists};

use super::{Action, ComponentAction, Machine, StoppedUpstreams};

impl Machine {
    pub(super) fn on_wire_action(&mut self, action: peers::Action, actions: &mut Vec<Action>) {
        match action {
            peers::Action::Transmit { to, bytes } => actions.push(Action::Transmit { to, bytes }),
            peers::Action::WakeAt(at) => self.wire_due = Some(at),
            peers::Action::Reborn { .. } => {}
            peers::Action::Deliver { from, incarnation, channel, message } => match channel {
                Channel::Consensus => {
                    if let Ok(message) = consensus::Message::decode(&message) {
                        self.step_replica(consensus::Event::Message { from, incarnation, message });
                    }
                }
                Channel::Log => {
                    if let Ok(message) = consensus::Message::decode(&message) {
                        self.step_learner(LearnerEvent::Message { from, incarnation, message });
                    }
                }
                Channel::Leases => {
                    if let Ok(message) =
                        hollowpaddle_revision::message::Message::from_bytes(&message)
                    {
                        self.step_leases(leases::Event::Message { from, incarnation, message });
                    }
                }
                Channel::Lists => {
                    if let Ok(message) = ListMessage::from_bytes(&message) {
                        self.step_lists(lists::Event::Message { from, message });
                    }
                }
                // Spoken by a later part of the bank.
                Channel::Sessions => {}
            },
        }
    }

    /// A word of the council or the log, to another balancer or to this one's other machine.
    pub(super) fn send_consensus(&mut self, to: NodeId, message: consensus::Message) {
        if to == self.setup.node_id {
            let (from, incarnation) = (to, self.setup.incarnation);
            return match message.body.channel() {
                Channel::Consensus => {
                    self.step_replica(consensus::Event::Message { from, incarnation, message })
                }
                _ => self.step_learner(LearnerEvent::Message { from, incarnation, message }),
            };
        }
        let how = match &message.body {
            MessageBody::Part(_) | MessageBody::News { part: Some(_), .. } => How::Bulk,
            MessageBody::Prepare { .. } | MessageBody::Propose { .. } => How::Usual,
            _ => How::Urgent,
        };
        let channel = message.body.channel();
        // No machine makes a word that can't be written.
        if let Ok(message) = message.encode() {
            self.step_wire(peers::Event::Send { to, channel, message, how });
        }
    }

    pub(super) fn on_replica_action(
        &mut self,
        action: consensus::Action,
        actions: &mut Vec<Action>,
    ) {
        match action {
            consensus::Action::Send { to, message } => self.send_consensus(to, message),
            consensus::Action::Persist { number, record } => {
                actions.push(Action::Persist { number, record });
            }
            consensus::Action::Leads { view, since } => {
                actions.push(Action::Log(format!("leads the council, view {}", view.number)));
                let from = self.replica.op();
                self.leads = true;
                let epoch = view.epoch;
                self.step_leases(leases::Event::Leads { since, epoch, from });
            }
            consensus::Action::Follows => {
                self.leads = false;
                self.step_leases(leases::Event::Follows);
            }
            consensus::Action::Round { began } => self.step_leases(leases::Event::Round { began }),
            consensus::Action::Committed { index, entry } => {
                self.step_learner(LearnerEvent::Committed { index, entry });
            }
            consensus::Action::Reset { index, base } => {
                self.step_learner(LearnerEvent::Reset { index, base })
            }
            consensus::Action::SnapshotWanted => {
                if let Some((index, bytes)) = self.encode_state(actions) {
                    self.step_replica(consensus::Event::Snapshot { index, bytes });
                }
            }
            consensus::Action::StateLost(why) => {
                actions.push(Action::Log(format!("its seat in the council has forgotten: {why}")));
            }
        }
    }

    pub(super) fn on_learner_action(&mut self, action: LearnerAction, actions: &mut Vec<Action>) {
        match action {
            LearnerAction::Send { to, message } => self.send_consensus(to, message),
            LearnerAction::Committed { index, entry } => {
                let none = Vec::new();
                let bytes =
                    if let EntryPayload::Command(bytes) = &entry.what { bytes } else { &none };
                let applied = self.policy.apply(index.op(), bytes);
                if let Some(cause) = applied.unreadable.filter(|_| !bytes.is_empty()) {
                    actions.push(Action::Log(format!("entry {index} of the log: {cause}")));
                }
                self.at = index;
                self.answer_calls(actions);
                self.on_applied();
            }
            LearnerAction::Reset { index, state } => {
                match self.decode_state(&state) {
                    Ok(policy) => (self.policy, self.at) = (policy, index),
                    Err(cause) => {
                        actions.push(Action::Log(format!("a copy of the log at {index}: {cause}")))
                    }
                }
                self.answer_calls(actions);
                self.on_applied();
            }
            LearnerAction::Source(source) => self.step_leases(leases::Event::Parent(source)),
            LearnerAction::Copied { by, index } => {
                self.step_replica(consensus::Event::Copied { by, index })
            }
            LearnerAction::Answered { id, outcome } => self.on_outcome(id, outcome, actions),
            LearnerAction::SnapshotWanted => {
                if let Some((index, bytes)) = self.encode_state(actions) {
                    self.step_learner(LearnerEvent::Snapshot { index, bytes });
                }
            }
        }
    }

    /// A copy without content is that of a log without entries.
    pub(super) fn decode_state(&self, state: &[u8]) -> Result<PolicyState, String> {
        if state.is_empty() {
            return PolicyState::found(self.setup.bootstrap.clone()).map_err(|e| e.to_string());
        }
        PolicyState::from_image(state).map_err(|e| e.to_string())
    }

    /// The book as bytes, and the entry up to which it is that.
    pub(super) fn encode_state(
        &self,
        actions: &mut Vec<Action>,
    ) -> Option<(consensus::LogIndex, Vec<u8>)> {
        match self.policy.image() {
            Ok(bytes) => Some((self.at, bytes)),
            Err(cause) => {
                actions.push(Action::Log(format!("no image of the rule book: {cause}")));
                None
            }
        }
    }

    pub(super) fn on_applied(&mut self) {
        let (epoch, status) = (self.at.epoch(), Box::new(self.policy.status()));
        self.step_lists(lists::Event::FallbackFloor(status.rules.oldest_list()));
        self.step_leases(leases::Event::Applied { epoch, status });
    }

    pub(super) fn step_lists(&mut self, event: lists::Event) {
        let mut out = Vec::new();
        self.lists.handle(self.now, event, &mut out);
        self.queue.extend(out.into_iter().map(ComponentAction::Lists));
    }

    pub(super) fn on_list_action(&mut self, action: lists::Action, actions: &mut Vec<Action>) {
        match action {
            lists::Action::Tell(message) => {
                let message = message.to_bytes();
                let neighbours: Vec<NodeId> =
                    self.learner.source().into_iter().chain(self.learner.children()).collect();
                for to in neighbours {
                    let (channel, how, message) = (Channel::Lists, How::Usual, message.clone());
                    self.step_wire(peers::Event::Send { to, channel, message, how });
                }
            }
            lists::Action::Changed => {
                let names = self.lists.stopped().map(str::to_string).collect();
                let stops = StoppedUpstreams { names, old: self.lists.is_old() };
                if stops != self.stops {
                    self.stops = stops.clone();
                    actions.push(Action::Stop(stops));
                }
            }
            lists::Action::Poll { .. } => actions.push(Action::RefreshList),
            lists::Action::WakeAt(at) => self.lists_due = Some(at),
        }
    }

    pub(super) fn on_lease_action(&mut self, action: leases::Action, actions: &mut Vec<Action>) {
        match action {
            leases::Action::Send { to, message } => {
                let (channel, how) = (Channel::Leases, How::Urgent);
                self.step_wire(peers::Event::Send {
                    to,
                    channel,
                    message: message.to_bytes(),
                    how,
                });
            }
            leases::Action::Publish(in_force) => actions.push(Action::Publish(in_force)),
            leases::Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                if self.setup.directory {
                    let fallback_policy = (*fallback_policy).clone();
                    actions.push(Action::PersistFallbackPolicy {
                        fallback_generation,
                        fallback_policy,
                    });
                } else {
                    self.step_leases(leases::Event::FallbackPolicyPersisted {
                        fallback_generation,
                    });
                }
            }
            leases::Action::WakeAt(at) => self.leases_due = Some(at),
            leases::Action::Propose(entry) => {
                let id = self.next_proposal();
                if let Ok(bytes) = entry.to_bytes() {
                    self.own_proposals.insert(id);
                    self.step_learner(LearnerEvent::Propose { id, bytes });
                }
            }
            // The log's own learner asks its source every 300 ms, and is told of what is new at once.
            leases::Action::Learn { .. } => {}
            leases::Action::ChangeParent { than } => {
                self.step_learner(LearnerEvent::ChangeSource(than))
            }
        }
    }
}
