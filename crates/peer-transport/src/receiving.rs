//! Handles received datagrams: decides which frames are accepted, and handles their content. The module
//! `handshake` handles handshakes.

use crate::frame::{Body, ChannelMessage, Frame, FrameError, HANDSHAKE_BYTES, MessageKey};
use crate::handshake::Handshake;
use crate::reassembly::FragmentOutcome;
use crate::receive_window::SequenceStatus;
use crate::send_queue::QueuedItem;
use crate::{Action, Channel, Incarnation, NodeId, Transport};

impl Transport {
    /// Handles a datagram from the address of this peer.
    pub(crate) fn receive(&mut self, from: NodeId, bytes: &[u8], actions: &mut Vec<Action>) {
        let node_id = self.config.node_id;
        if from == node_id || usize::from(from.0) >= self.peers.len() {
            self.metrics.dropped.unknown_source += 1;
            return;
        }
        match Frame::decode(from, node_id, bytes) {
            Ok(frame) => self.receive_frame(from, &frame, bytes.len(), actions),
            Err(error) => self.count_frame_error(error),
        }
    }

    fn count_frame_error(&mut self, error: FrameError) {
        let dropped = &mut self.metrics.dropped;
        match error {
            FrameError::TooLong => dropped.too_long += 1,
            FrameError::Version => dropped.unsupported_version += 1,
            FrameError::Corrupted => dropped.corrupted += 1,
            FrameError::Unreadable => dropped.unreadable += 1,
        }
    }

    fn receive_frame(
        &mut self,
        from: NodeId,
        frame: &Frame<'_>,
        frame_bytes: usize,
        actions: &mut Vec<Action>,
    ) {
        if let Body::Handshake { challenge, response, confirmed } = frame.body {
            let handshake = Handshake { challenge, response, confirmed };
            self.on_handshake(from, frame, handshake, actions);
            return;
        }
        let is_to_us = frame.to == self.config.incarnation;
        let confirmed = self.incarnation(from);
        if confirmed != Some(frame.from) || !is_to_us {
            if confirmed.is_none() && is_to_us {
                self.metrics.dropped.unconfirmed += 1;
            } else {
                self.metrics.dropped.previous_incarnation += 1;
            }
            // A handshake shows each end the other's current incarnation.
            if frame_bytes >= HANDSHAKE_BYTES {
                self.send_handshake(from, frame.from, 0, actions);
            }
            return;
        }
        let Some(peer) = self.peer_mut(from) else { return };
        match peer.window.record(frame.sequence) {
            SequenceStatus::New => {
                // The peer sends messages only to incarnations that it has confirmed.
                self.establish(from);
                self.receive_body(from, frame, actions);
            }
            SequenceStatus::Duplicate => self.metrics.dropped.duplicate += 1,
            SequenceStatus::TooOld => self.metrics.dropped.too_old += 1,
        }
    }

    /// Handles the content of an accepted frame.
    fn receive_body(&mut self, from: NodeId, frame: &Frame<'_>, actions: &mut Vec<Action>) {
        match &frame.body {
            Body::Handshake { .. } => {}
            Body::Messages(messages) => {
                self.metrics.received.message_datagrams += 1;
                for ChannelMessage { channel, message } in messages {
                    self.deliver(from, frame.from, *channel, message.to_vec(), actions);
                }
            }
            Body::Fragment(header, data) => {
                // Decoding the frame has checked that the distance is less than the sequence number.
                let distance = u64::from(header.sequence_distance);
                let key =
                    MessageKey { peer: from, number: frame.sequence.saturating_sub(distance) };
                let outcome = self.reassembly.add_fragment(self.now, key, header, data);
                self.on_fragment_outcome(from, frame.from, outcome, actions);
            }
            Body::RetransmissionRequest { message_number, missing } => {
                self.on_retransmission_request(from, *message_number, *missing);
            }
        }
    }

    fn on_fragment_outcome(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        outcome: FragmentOutcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome == FragmentOutcome::Inconsistent {
            self.metrics.dropped.unreadable += 1;
            return;
        }
        self.metrics.received.fragments += 1;
        match outcome {
            FragmentOutcome::Incomplete | FragmentOutcome::Inconsistent => {}
            FragmentOutcome::Duplicate => self.metrics.received.duplicate_fragments += 1,
            FragmentOutcome::Complete { channel, message } => {
                self.deliver(from, incarnation, channel, message, actions)
            }
        }
    }

    /// Queues the fragments that a peer requests.
    fn on_retransmission_request(&mut self, from: NodeId, message_number: u64, missing: u128) {
        self.metrics.received.retransmission_requests += 1;
        let key = MessageKey { peer: from, number: message_number };
        let plan = self.retransmission.plan_retransmission(key, missing);
        self.metrics.sent.refused_fragments += plan.refused;
        let items =
            plan.indices.iter().map(|index| QueuedItem::Fragment { message_number, index: *index });
        if !self.queue.push_all(plan.mode, from, items) {
            self.retransmission.unmark_queued(key, &plan.indices);
            self.metrics.sent.refused_fragments += plan.indices.len() as u64;
        }
    }

    fn deliver(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        channel: Channel,
        message: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.delivered.messages += 1;
        actions.push(Action::Deliver { from, incarnation, channel, message });
    }
}
