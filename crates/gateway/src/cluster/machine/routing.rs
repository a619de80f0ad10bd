//! Routes the outputs of each component of the machine to another component or to the machine's driver.

use hollowpaddle_consensus::{
    self as consensus, Entry, EntryPayload, LearnerAction, LearnerEvent, MessageBody,
};
use hollowpaddle_peer_transport::{self as peers, Channel, DeliveryMode, Incarnation, NodeId};
use hollowpaddle_revision::lists::ListMessage;
use hollowpaddle_revision::message::Message as LeaseMessage;
use hollowpaddle_revision::policy_state::PolicyState;
use hollowpaddle_revision::{leases, lists};

use super::{Action, ComponentAction, Machine, StoppedUpstreams};

impl Machine {
    pub(super) fn route(&mut self, action: ComponentAction, actions: &mut Vec<Action>) {
        match action {
            ComponentAction::Transport(action) => self.on_transport_action(action, actions),
            ComponentAction::Replica(action) => self.on_replica_action(action, actions),
            ComponentAction::Learner(action) => self.on_learner_action(action, actions),
            ComponentAction::Leases(action) => self.on_lease_action(action, actions),
            ComponentAction::Lists(action) => self.on_list_action(action, actions),
        }
    }

    fn on_transport_action(&mut self, action: peers::Action, actions: &mut Vec<Action>) {
        match action {
            peers::Action::Transmit { to, bytes } => actions.push(Action::Transmit { to, bytes }),
            peers::Action::WakeAt(at) => self.timers.transport_due = Some(at),
            peers::Action::PeerRestarted { .. } => {}
            peers::Action::Deliver { from, incarnation, channel, message } => {
                self.deliver(from, incarnation, channel, &message);
            }
        }
    }

    /// Passes a message to the component of its channel. A message that can't be decoded is dropped.
    fn deliver(&mut self, from: NodeId, incarnation: Incarnation, channel: Channel, bytes: &[u8]) {
        match channel {
            Channel::Consensus => {
                if let Ok(message) = consensus::Message::decode(bytes) {
                    self.step_replica(consensus::Event::Message { from, incarnation, message });
                }
            }
            Channel::Log => {
                if let Ok(message) = consensus::Message::decode(bytes) {
                    self.step_learner(LearnerEvent::Message { from, incarnation, message });
                }
            }
            Channel::Leases => {
                if let Ok(message) = LeaseMessage::from_bytes(bytes) {
                    self.step_leases(leases::Event::Message { from, incarnation, message });
                }
            }
            Channel::Lists => {
                if let Ok(message) = ListMessage::from_bytes(bytes) {
                    self.step_lists(lists::Event::Message { from, message });
                }
            }
            // The machine has no component for session messages.
            Channel::Sessions => {}
        }
    }

    /// Sends a message of the replica or the learner to another balancer. A message to this balancer itself is passed
    /// directly to its replica or learner.
    fn send_consensus(&mut self, to: NodeId, message: consensus::Message) {
        let channel = message.body.channel();
        if to == self.setup.node_id {
            let (from, incarnation) = (to, self.setup.incarnation);
            match channel {
                Channel::Consensus => {
                    self.step_replica(consensus::Event::Message { from, incarnation, message });
                }
                _ => self.step_learner(LearnerEvent::Message { from, incarnation, message }),
            }
            return;
        }
        let mode = delivery_mode(&message.body);
        // Messages of the replica and the learner can always be encoded.
        if let Ok(message) = message.encode() {
            self.step_transport(peers::Event::Send { to, channel, message, mode });
        }
    }

    fn on_replica_action(&mut self, action: consensus::Action, actions: &mut Vec<Action>) {
        match action {
            consensus::Action::Send { to, message } => self.send_consensus(to, message),
            consensus::Action::Persist { number, record } => {
                actions.push(Action::Persist { number, record });
            }
            consensus::Action::StartedLeading { view, since } => {
                actions.push(Action::Log(format!(
                    "became leader of the voters in view {}",
                    view.number
                )));
                self.is_leader = true;
                let (epoch, from) = (view.epoch, self.replica.op());
                self.step_leases(leases::Event::Leads { since, epoch, last_index: from });
            }
            consensus::Action::StoppedLeading => {
                self.is_leader = false;
                self.step_leases(leases::Event::Follows);
            }
            consensus::Action::QuorumHeartbeat { sent_at } => {
                self.step_leases(leases::Event::Round { began: sent_at });
            }
            consensus::Action::Committed { index, entry } => {
                self.step_learner(LearnerEvent::Committed { index, entry });
            }
            consensus::Action::Reset { index, base } => {
                self.step_learner(LearnerEvent::Reset { index, base });
            }
            consensus::Action::SnapshotWanted => {
                if let Some((index, bytes)) = self.encode_state(actions) {
                    self.step_replica(consensus::Event::Snapshot { index, bytes });
                }
            }
            consensus::Action::StateLost(why) => {
                actions
                    .push(Action::Log(format!("replica of this balancer lost its state: {why}")));
            }
        }
    }

    fn on_learner_action(&mut self, action: LearnerAction, actions: &mut Vec<Action>) {
        match action {
            LearnerAction::Send { to, message } => self.send_consensus(to, message),
            LearnerAction::Committed { index, entry } => self.apply(index, &entry, actions),
            LearnerAction::Reset { index, state } => self.reset_state(index, &state, actions),
            LearnerAction::Source(source) => self.step_leases(leases::Event::Parent(source)),
            LearnerAction::LearnerAdvanced { by, index } => {
                self.step_replica(consensus::Event::LearnerAdvanced { by, index });
            }
            LearnerAction::Answered { id, outcome } => self.on_outcome(id, outcome, actions),
            LearnerAction::SnapshotWanted => {
                if let Some((index, bytes)) = self.encode_state(actions) {
                    self.step_learner(LearnerEvent::Snapshot { index, bytes });
                }
            }
        }
    }

    /// Applies a committed entry of the log.
    fn apply(&mut self, index: consensus::LogIndex, entry: &Entry, actions: &mut Vec<Action>) {
        let bytes: &[u8] = match &entry.payload {
            EntryPayload::Command(bytes) => bytes,
            _ => &[],
        };
        let applied = self.policy.apply(index.op(), bytes);
        if let Some(cause) = applied.decode_error.filter(|_| !bytes.is_empty()) {
            actions.push(Action::Log(format!("log entry {index} can't be decoded: {cause}")));
        }
        self.applied_index = index;
        self.after_apply(actions);
    }

    /// Replaces the policy state by a snapshot of it. If the snapshot can't be decoded, the policy state stays unchanged.
    fn reset_state(&mut self, index: consensus::LogIndex, state: &[u8], actions: &mut Vec<Action>) {
        match self.decode_state(state) {
            Ok(policy) => (self.policy, self.applied_index) = (policy, index),
            Err(cause) => {
                actions.push(Action::Log(format!(
                    "policy state snapshot at {index} can't be decoded: {cause}"
                )));
            }
        }
        self.after_apply(actions);
    }

    /// Passes the policy state to the components that depend on it.
    fn after_apply(&mut self, actions: &mut Vec<Action>) {
        self.answer_calls(actions);
        let (epoch, status) = (self.applied_index.epoch(), Box::new(self.policy.status()));
        self.step_lists(lists::Event::OldestAllowedVersion(status.rules.oldest_list()));
        self.step_leases(leases::Event::Applied { epoch, status });
    }

    /// Decodes a snapshot of the policy state. An empty snapshot is the bootstrap state of a log without entries.
    fn decode_state(&self, state: &[u8]) -> Result<PolicyState, DecodeError> {
        if state.is_empty() {
            return Ok(PolicyState::bootstrap(self.setup.bootstrap.clone())?);
        }
        Ok(PolicyState::from_snapshot(state)?)
    }

    /// Returns the policy state as bytes and the index of the last log entry applied to it. If the policy state can't be
    /// encoded, logs the cause.
    fn encode_state(&self, actions: &mut Vec<Action>) -> Option<(consensus::LogIndex, Vec<u8>)> {
        match self.policy.to_snapshot() {
            Ok(bytes) => Some((self.applied_index, bytes)),
            Err(cause) => {
                actions
                    .push(Action::Log(format!("policy state snapshot can't be encoded: {cause}")));
                None
            }
        }
    }

    fn on_list_action(&mut self, action: lists::Action, actions: &mut Vec<Action>) {
        match action {
            lists::Action::Broadcast(message) => self.send_to_neighbours(&message.to_bytes()),
            lists::Action::Changed => self.update_stops(actions),
            lists::Action::Poll { .. } => actions.push(Action::RefreshList),
            lists::Action::WakeAt(at) => self.timers.lists_due = Some(at),
        }
    }

    /// Sends a message about endpoint lists to the parent and the children in the dissemination tree.
    fn send_to_neighbours(&mut self, message: &[u8]) {
        let parent = self.learner.source();
        let neighbours: Vec<NodeId> = parent.into_iter().chain(self.learner.children()).collect();
        for to in neighbours {
            let (channel, mode, message) = (Channel::Lists, DeliveryMode::Normal, message.to_vec());
            self.step_transport(peers::Event::Send { to, channel, message, mode });
        }
    }

    fn update_stops(&mut self, actions: &mut Vec<Action>) {
        let names = self.lists.stopped().map(str::to_string).collect();
        let stops = StoppedUpstreams { names, is_list_stale: self.lists.is_stale() };
        if stops != self.stops {
            self.stops = stops.clone();
            actions.push(Action::Stop(stops));
        }
    }

    fn on_lease_action(&mut self, action: leases::Action, actions: &mut Vec<Action>) {
        match action {
            leases::Action::Send { to, message } => {
                let (channel, message, mode) =
                    (Channel::Leases, message.to_bytes(), DeliveryMode::Urgent);
                self.step_transport(peers::Event::Send { to, channel, message, mode });
            }
            leases::Action::Publish(in_force) => actions.push(Action::Publish(in_force)),
            leases::Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                if !self.setup.has_durable_log {
                    self.step_leases(leases::Event::FallbackPolicyPersisted {
                        fallback_generation,
                    });
                    return;
                }
                let fallback_policy = (*fallback_policy).clone();
                actions
                    .push(Action::PersistFallbackPolicy { fallback_generation, fallback_policy });
            }
            leases::Action::WakeAt(at) => self.timers.leases_due = Some(at),
            leases::Action::Propose(entry) => {
                let id = self.next_proposal();
                if let Ok(bytes) = entry.to_bytes() {
                    self.own_proposals.insert(id);
                    self.step_learner(LearnerEvent::Propose { id, bytes });
                }
            }
            // The learner polls its source by itself and is notified of new entries immediately.
            leases::Action::Learn { .. } => {}
            leases::Action::ChangeParent { current } => {
                self.step_learner(LearnerEvent::ChangeSource(current));
            }
        }
    }
}

/// An error in decoding a snapshot of the policy state.
#[derive(Debug, thiserror::Error)]
enum DecodeError {
    #[error(transparent)]
    Bootstrap(#[from] hollowpaddle_revision::policy_state::BootstrapError),
    #[error(transparent)]
    Image(#[from] hollowpaddle_revision::policy_state::snapshot::SnapshotError),
}

/// Returns how a message of the replica or the learner is sent. Large parts yield to all other messages.
fn delivery_mode(body: &MessageBody) -> DeliveryMode {
    match body {
        MessageBody::LogPart(_) | MessageBody::LearnerUpdate { part: Some(_), .. } => {
            DeliveryMode::Bulk
        }
        MessageBody::Prepare { .. } | MessageBody::Propose { .. } => DeliveryMode::Normal,
        _ => DeliveryMode::Urgent,
    }
}
