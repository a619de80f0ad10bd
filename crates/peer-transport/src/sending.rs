//! Sends messages: they wait for the handshake, then in the queue for the send budget. The module `handshake`
//! handles handshakes.

use crate::frame::{
    Body, ChannelMessage, FragmentHeader, Frame, HEADER_BYTES, MAX_SEQUENCE,
    MAX_UNFRAGMENTED_BYTES, MessageKey,
};
use crate::peer::{HANDSHAKE_TIMEOUT, PendingMessage};
use crate::retransmission::OutgoingMessage;
use crate::send_queue::QueuedItem;
use crate::{
    Action, Channel, DeliveryMode, Incarnation, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, NodeId,
    Transport,
};

/// Largest size of the messages that wait for handshakes with all peers, in bytes. Without this bound 1,000
/// silent peers would take 24 MB.
const MAX_PENDING_BYTES: usize = 512 << 10;

/// All sequence numbers to a peer are used, so that no more frames can be sent to the peer.
struct SequencesExhausted;

impl Transport {
    /// Sends a message as soon as the peer's incarnation and the budget allow it.
    pub(crate) fn send(
        &mut self,
        to: NodeId,
        channel: Channel,
        message: Vec<u8>,
        mode: DeliveryMode,
        actions: &mut Vec<Action>,
    ) {
        let is_self = to == self.config.node_id;
        let Some(peer) = self.peers.get(usize::from(to.0)).filter(|_| !is_self) else {
            self.metrics.messages.no_such_peer += 1;
            return;
        };
        if message.len() > MAX_MESSAGE_BYTES {
            self.metrics.messages.too_long += 1;
            return;
        }
        if peer.is_established() {
            self.enqueue(to, channel, message, mode);
            return;
        }
        let deadline = self.now + HANDSHAKE_TIMEOUT;
        self.push_pending(to, PendingMessage { deadline, channel, mode, message });
        let Some(peer) = self.peer_mut(to) else { return };
        if peer.next_handshake.is_none() && peer.has_pending() {
            self.start_handshake(to, actions);
        }
    }

    /// Queues a message until the handshake completes.
    fn push_pending(&mut self, to: NodeId, pending: PendingMessage) {
        let available_bytes = MAX_PENDING_BYTES.saturating_sub(self.pending_bytes);
        self.drop_expired_pending(to);
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let bytes_before = peer.pending_bytes();
        if !peer.push_pending(pending, available_bytes) {
            self.metrics.messages.queue_full += 1;
        }
        self.pending_bytes = self.pending_bytes + peer.pending_bytes() - bytes_before;
    }

    /// Queues a message to a peer whose incarnation is confirmed.
    pub(crate) fn enqueue(
        &mut self,
        to: NodeId,
        channel: Channel,
        message: Vec<u8>,
        mode: DeliveryMode,
    ) {
        if message.len() <= MAX_UNFRAGMENTED_BYTES {
            let deadline = self.now + mode.queue_timeout();
            let item = QueuedItem::Message { channel, message, deadline };
            if !self.queue.push(mode, to, item) {
                self.metrics.messages.queue_full += 1;
            }
            return;
        }
        let Ok(message_number) = self.next_sequence(to) else {
            self.metrics.messages.sequences_exhausted += 1;
            return;
        };
        let key = MessageKey { peer: to, number: message_number };
        let message = OutgoingMessage { channel, mode, bytes: message };
        let retained = self.retransmission.retain(self.now, key, message);
        self.metrics.messages.queue_full += retained.dropped;
        let items =
            (0..retained.fragments).map(|index| QueuedItem::Fragment { message_number, index });
        if !self.queue.push_all(mode, to, items) {
            self.metrics.messages.queue_full += self.retransmission.remove(key);
        }
    }

    fn next_sequence(&mut self, to: NodeId) -> Result<u64, SequencesExhausted> {
        let peer = self.peer_mut(to).filter(|peer| peer.last_sequence < MAX_SEQUENCE);
        let peer = peer.ok_or(SequencesExhausted)?;
        peer.last_sequence += 1;
        Ok(peer.last_sequence)
    }

    /// Queues requests for missing fragments of peers' messages. A request that does not fit the queue is queued
    /// when it is due again.
    pub(crate) fn queue_retransmission_requests(&mut self) {
        for key in self.reassembly.take_due_requests(self.now) {
            let item = QueuedItem::RetransmissionRequest { message_number: key.number };
            self.queue.push(DeliveryMode::Normal, key.peer, item);
        }
    }

    /// Sends queued items, the most urgent first, until the budget is used up.
    pub(crate) fn send_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some(mode) = self.queue.most_urgent() {
            if self.budget.ready_at(mode) > self.now {
                break;
            }
            let Some(to) = self.queue.next_peer(mode) else { break };
            self.send_next(mode, to, actions);
        }
    }

    /// Sends this peer's first item of this urgency.
    fn send_next(&mut self, mode: DeliveryMode, to: NodeId, actions: &mut Vec<Action>) {
        match self.queue.pop(mode, to) {
            None => {}
            Some(QueuedItem::Message { deadline, .. }) if deadline <= self.now => {
                self.metrics.messages.budget_timeout += 1
            }
            Some(QueuedItem::Message { channel, message, .. }) => {
                self.send_batch(mode, to, (channel, message), actions)
            }
            Some(QueuedItem::Fragment { message_number, index }) => {
                let key = MessageKey { peer: to, number: message_number };
                self.send_fragment(key, index, actions)
            }
            Some(QueuedItem::RetransmissionRequest { message_number }) => {
                let key = MessageKey { peer: to, number: message_number };
                self.send_retransmission_request(key, actions)
            }
        }
    }

    /// Sends a message, together with other messages to the same peer that fit the datagram, less urgent ones
    /// included. This saves the cost of further datagrams, which is more than that of their bytes.
    fn send_batch(
        &mut self,
        mode: DeliveryMode,
        to: NodeId,
        first: (Channel, Vec<u8>),
        actions: &mut Vec<Action>,
    ) {
        let batch = self.collect_batch(mode, to, first);
        let messages = batch
            .iter()
            .map(|(channel, message)| ChannelMessage { channel: *channel, message })
            .collect();
        let count = batch.len() as u64;
        match self.send_frame(to, Body::Messages(messages), actions) {
            Ok(()) => self.metrics.messages.sent += count,
            Err(SequencesExhausted) => self.metrics.messages.sequences_exhausted += count,
        }
    }

    /// Takes messages from the queue that fit one datagram together with the first message.
    fn collect_batch(
        &mut self,
        mode: DeliveryMode,
        to: NodeId,
        first: (Channel, Vec<u8>),
    ) -> Vec<(Channel, Vec<u8>)> {
        let now = self.now;
        let mut length = HEADER_BYTES + 1 + ChannelMessage::encoded_bytes(first.1.len());
        let mut batch = vec![first];
        for mode in DeliveryMode::ALL.into_iter().skip(mode as usize) {
            // Expired messages are taken from the queue, too, and dropped.
            let fits = |item: &QueuedItem, length: usize| match item {
                QueuedItem::Message { message, deadline, .. } => {
                    let total = length + ChannelMessage::encoded_bytes(message.len());
                    *deadline <= now || total <= MAX_DATAGRAM_BYTES
                }
                _ => false,
            };
            while let Some(QueuedItem::Message { channel, message, deadline }) =
                self.queue.pop_if(mode, to, |item| fits(item, length))
            {
                if deadline <= now {
                    self.metrics.messages.budget_timeout += 1;
                } else {
                    length += ChannelMessage::encoded_bytes(message.len());
                    batch.push((channel, message));
                }
            }
        }
        batch
    }

    fn send_fragment(&mut self, key: MessageKey, index: u8, actions: &mut Vec<Action>) {
        let last_sequence =
            self.peers.get(usize::from(key.peer.0)).map_or(0, |peer| peer.last_sequence);
        // The frame's own sequence number is the last one plus one. While the message is retained, only a budget
        // of ten times the default lets the distance exceed a u16.
        let distance = last_sequence + 1 - key.number.min(last_sequence);
        let Ok(sequence_distance) = u16::try_from(distance) else {
            self.metrics.messages.budget_timeout += self.retransmission.remove(key);
            return;
        };
        let Some(fragment) = self.retransmission.take_fragment(key, index) else { return };
        let (channel, count) = (fragment.channel, fragment.count);
        let header = FragmentHeader { channel, sequence_distance, index, count };
        let body = Body::Fragment(header, &fragment.data);
        if self.send_frame(key.peer, body, actions).is_ok() {
            self.metrics.sent.fragments += 1;
            self.metrics.sent.retransmitted_fragments += u64::from(fragment.is_retransmission);
            self.metrics.messages.sent += u64::from(fragment.completes_message);
        }
    }

    fn send_retransmission_request(&mut self, key: MessageKey, actions: &mut Vec<Action>) {
        let Some(missing) = self.reassembly.missing(key) else { return };
        self.metrics.sent.retransmission_requests += 1;
        let body = Body::RetransmissionRequest { message_number: key.number, missing };
        // If no sequence number is left, the request is dropped, which has the same effect as a lost datagram.
        _ = self.send_frame(key.peer, body, actions);
    }

    /// Sends a frame with a sequence number of its own to the confirmed incarnation.
    fn send_frame(
        &mut self,
        to: NodeId,
        body: Body<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), SequencesExhausted> {
        let incarnation = self.incarnation(to).ok_or(SequencesExhausted)?;
        let sequence = self.next_sequence(to)?;
        self.transmit(to, incarnation, sequence, body, actions);
        Ok(())
    }

    /// Encodes a frame, and charges it to the budget.
    pub(crate) fn transmit(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        sequence: u64,
        body: Body<'_>,
        actions: &mut Vec<Action>,
    ) {
        let frame = Frame { from: self.config.incarnation, to: incarnation, sequence, body };
        let bytes = frame.encode(self.config.node_id, to);
        self.budget.take(self.now, bytes.len());
        self.metrics.sent.datagrams += 1;
        self.metrics.sent.bytes += bytes.len() as u64;
        actions.push(Action::Transmit { to, bytes });
    }
}
