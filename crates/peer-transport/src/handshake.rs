//! The handshake by which two processes learn each other's incarnation, by challenge and response. The
//! modules `sending` and `receiving` handle all other frames.

use crate::frame::{Body, Frame};
use crate::peer::PendingMessage;
use crate::{Action, DeliveryMode, Incarnation, NodeId, Transport};

/// The content of a received handshake.
#[derive(Clone, Copy)]
pub(crate) struct Handshake {
    pub(crate) challenge: u32,
    pub(crate) response: u32,
    pub(crate) confirmed: bool,
}

impl Transport {
    /// Starts a handshake with a peer for which messages wait, and schedules its repetition.
    pub(crate) fn start_handshake(&mut self, to: NodeId, actions: &mut Vec<Action>) {
        let incarnation = self.incarnation(to).unwrap_or(Incarnation(0));
        self.send_handshake(to, incarnation, 0, actions);
        let now = self.now;
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let at = now + peer.next_backoff(&mut self.rng);
        peer.next_handshake = Some(at);
        self.handshakes_due.insert((at, to));
    }

    /// Sends a handshake to an incarnation with a `response` (0: none), and a challenge unless both ends have
    /// confirmed each other.
    pub(crate) fn send_handshake(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        response: u32,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let may_send = self.budget.ready_at(DeliveryMode::Urgent) <= now
            && peer.handshake_bucket.try_take(now)
            && self.handshake_bucket.try_take(now);
        if !may_send {
            self.metrics.sent.suppressed_handshakes += 1;
            return;
        }
        let confirmed = peer.incarnation == Some(incarnation);
        let challenge = if confirmed && peer.has_confirmed_us {
            0
        } else {
            peer.challenge(now, &mut self.nonces)
        };
        let sequence = peer.last_sequence;
        self.metrics.sent.handshakes += 1;
        let body = Body::Handshake { challenge, response, confirmed };
        self.transmit(to, incarnation, sequence, body, actions);
    }

    /// Repeats the handshakes that are due, for as long as messages wait.
    pub(crate) fn repeat_handshakes(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        while let Some((at, to)) = self.handshakes_due.first().filter(|(at, _)| *at <= now).copied()
        {
            self.handshakes_due.remove(&(at, to));
            self.drop_expired_pending(to);
            let Some(peer) = self.peer_mut(to) else { continue };
            if peer.has_pending() {
                self.start_handshake(to, actions);
            } else {
                peer.reset_backoff();
            }
        }
    }

    /// Drops the messages that have waited too long for the handshake with this peer.
    pub(crate) fn drop_expired_pending(&mut self, to: NodeId) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let bytes_before = peer.pending_bytes();
        self.metrics.messages.handshake_timeout += peer.drop_expired(now);
        self.pending_bytes = self.pending_bytes + peer.pending_bytes() - bytes_before;
    }

    /// Handles a received handshake: its response, its confirmation, and its challenge.
    pub(crate) fn on_handshake(
        &mut self,
        from: NodeId,
        frame: &Frame<'_>,
        handshake: Handshake,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.received.handshakes += 1;
        let is_to_us = frame.to == self.config.incarnation;
        if handshake.response != 0 {
            let now = self.now;
            let accepts =
                |peer: &mut crate::peer::Peer| peer.accept_response(now, handshake.response);
            if is_to_us && self.peer_mut(from).is_some_and(accepts) {
                self.confirm(from, frame.from, frame.sequence, actions);
            } else {
                self.metrics.received.stale_responses += 1;
            }
        }
        let is_confirmed = self.incarnation(from) == Some(frame.from);
        if is_confirmed && handshake.confirmed && is_to_us {
            self.establish(from);
        }
        if handshake.challenge != 0 || !is_confirmed {
            self.send_handshake(from, frame.from, handshake.challenge, actions);
        }
    }

    /// Confirms the incarnation of a peer that has just responded to a challenge. All messages to and from the
    /// peer's previous incarnation are dropped, since they may no longer be valid.
    pub(crate) fn confirm(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(usize::from(from.0)) else { return };
        if peer.incarnation == Some(incarnation) {
            return;
        }
        let mut dropped = 0;
        if peer.incarnation.is_some() {
            self.pending_bytes -= peer.pending_bytes();
            dropped += peer.take_pending().len() as u64;
        }
        peer.confirm(incarnation, sequence);
        self.reassembly.reset_peer(from, sequence);
        dropped += self.queue.clear_peer(from);
        dropped += self.retransmission.clear_peer(from);
        self.metrics.messages.previous_incarnation += dropped;
        self.metrics.received.incarnations += 1;
        actions.push(Action::PeerRestarted { from, incarnation });
    }

    /// Records that a confirmed peer has confirmed this process, and queues the messages that wait for the
    /// handshake.
    pub(crate) fn establish(&mut self, to: NodeId) {
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        if peer.has_confirmed_us {
            return;
        }
        peer.has_confirmed_us = true;
        if let Some(at) = peer.next_handshake {
            self.handshakes_due.remove(&(at, to));
        }
        peer.reset_backoff();
        self.pending_bytes -= peer.pending_bytes();
        for PendingMessage { deadline, channel, mode, message } in peer.take_pending() {
            if deadline <= self.now {
                self.metrics.messages.handshake_timeout += 1;
            } else {
                self.enqueue(to, channel, message, mode);
            }
        }
    }
}
