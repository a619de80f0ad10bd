//! The half of the machine that says something: words in line, hellos, and what goes when there are tokens
//! for it.

use crate::frame::{Body, Frame, HEAD, LAST, ONE_DATAGRAM, Piece, Said};
use crate::peer::{WAIT, Waiting};
use crate::send_queue::Item;
use crate::{Action, Channel, DATAGRAM, How, Incarnation, MAX_MESSAGE_BYTES, NodeId, Wire};

/// Bytes that wait for all peers that have not answered yet. Without a bound 1,000 silent peers would take 24
/// MB.
const WAITING: usize = 512 << 10;

impl Wire {
    /// A word is to be said.
    pub(crate) fn send(
        &mut self,
        to: NodeId,
        channel: Channel,
        message: Vec<u8>,
        how: How,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let room = WAITING.saturating_sub(self.waiting);
        let Some(peer) =
            self.peers.get_mut(usize::from(to.0)).filter(|_| to != self.config.node_id)
        else {
            self.counts.words.nowhere += 1;
            return;
        };
        if message.len() > MAX_MESSAGE_BYTES {
            self.counts.words.too_long += 1;
            return;
        }
        if peer.is_open() {
            self.line_up(to, channel, message, how);
            return;
        }
        let before = peer.held();
        self.counts.words.waited_in_vain += peer.prune(now);
        if !peer.wait(Waiting { until: now + WAIT, channel, how, message }, room) {
            self.counts.words.no_room += 1;
        }
        self.waiting = self.waiting + peer.held() - before;
        if peer.again.is_none() && peer.waits() {
            self.call(to, actions);
        }
    }

    /// Puts a word in line to a peer whose life is known.
    pub(crate) fn line_up(&mut self, to: NodeId, channel: Channel, message: Vec<u8>, how: How) {
        if message.len() <= ONE_DATAGRAM {
            let until = self.now + how.patience();
            let lined_up = self.queue.push(how, to, Item::Message { channel, message, until });
            self.counts.words.no_room += u64::from(!lined_up);
            return;
        }
        let Some(number) = self.next_sequence(to) else {
            self.counts.words.used_up += 1;
            return;
        };
        let (dropped, count) = self.outgoing.keep(self.now, (to, number), (channel, how), message);
        self.counts.words.no_room += dropped;
        let pieces = (0..count).map(|index| Item::Piece { message: number, index });
        if !self.queue.push_all(how, to, pieces) {
            self.counts.words.no_room += self.outgoing.give_up(to, number);
        }
    }

    /// The next sequence to this member, until all are used up.
    fn next_sequence(&mut self, to: NodeId) -> Option<u64> {
        let peer = self.peers.get_mut(usize::from(to.0)).filter(|peer| peer.sequence < LAST)?;
        peer.sequence += 1;
        Some(peer.sequence)
    }

    /// Says hello to a peer for which words wait, and sets when to do it again.
    fn call(&mut self, to: NodeId, actions: &mut Vec<Action>) {
        let incarnation = self.incarnation(to).unwrap_or(Incarnation(0));
        self.hello(to, incarnation, 0, actions);
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let at = self.now + peer.patience(&mut self.chance);
        peer.again = Some(at);
        self.hellos.insert((at, to));
    }

    /// Says hello to this life: gives back what was asked (0: nothing was), and asks unless both know each
    /// other.
    pub(crate) fn hello(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        answer: u32,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let may = self.tokens.ready(How::Urgent) <= now
            && peer.pace.try_one(now)
            && self.hello_pace.try_one(now);
        if !may {
            self.counts.sent.hellos_held_back += 1;
            return;
        }
        let known = peer.incarnation == Some(incarnation);
        let ask = if known && peer.knows_us { 0 } else { peer.ask(now, &mut self.nonces) };
        let sequence = peer.sequence;
        self.counts.sent.hellos += 1;
        self.transmit(to, incarnation, sequence, Body::Hello { ask, answer, known }, actions);
    }

    /// What is due by the clock.
    pub(crate) fn due(&mut self, actions: &mut Vec<Action>) {
        self.told = None;
        let now = self.now;
        self.counts.words.no_tokens += self.outgoing.prune(now);
        while let Some((at, to)) = self.hellos.first().filter(|(at, _)| *at <= now).copied() {
            self.hellos.remove(&(at, to));
            let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { continue };
            let before = peer.held();
            self.counts.words.waited_in_vain += peer.prune(now);
            self.waiting = self.waiting + peer.held() - before;
            if peer.waits() {
                self.call(to, actions);
            } else {
                peer.leave();
            }
        }
        for (from, message) in self.incoming.asks(now) {
            // Where there is no room, it is asked for the next time.
            self.queue.push(How::Usual, from, Item::Missing { message });
        }
        while let Some(how) = self.queue.most_urgent().filter(|how| self.tokens.ready(*how) <= now)
        {
            let Some(to) = self.queue.turn(how) else { break };
            self.next_of(how, to, actions);
        }
    }

    /// Sends what is first in this line to this peer.
    fn next_of(&mut self, how: How, to: NodeId, actions: &mut Vec<Action>) {
        match self.queue.pop_if(how, to, |_| true) {
            None => {}
            Some(Item::Message { until, .. }) if until <= self.now => {
                self.counts.words.no_tokens += 1
            }
            Some(Item::Message { channel, message, .. }) => {
                self.together(how, to, (channel, message), actions)
            }
            Some(Item::Piece { message, index }) => self.piece(to, message, index, actions),
            Some(Item::Missing { message }) => {
                if let Some(which) = self.incoming.missing(to, message) {
                    self.counts.sent.asks += 1;
                    self.frame(to, Body::Missing { message, which }, actions);
                }
            }
        }
    }

    /// Sends a word, and what else waits for the same peer and fits beside it, also if it is less urgent: a
    /// datagram costs more than its bytes.
    fn together(
        &mut self,
        how: How,
        to: NodeId,
        first: (Channel, Vec<u8>),
        actions: &mut Vec<Action>,
    ) {
        let (now, mut length) = (self.now, HEAD + 1 + Said::length(first.1.len()));
        let mut words = vec![first];
        for line in How::ALL.into_iter().skip(how as usize) {
            while let Some(Item::Message { channel, message, until }) =
                self.queue.pop_if(line, to, |item| {
                    matches!(item, Item::Message { message, until, .. }
                    if *until <= now || length + Said::length(message.len()) <= DATAGRAM)
                })
            {
                if until <= now {
                    self.counts.words.no_tokens += 1;
                } else {
                    length += Said::length(message.len());
                    words.push((channel, message));
                }
            }
        }
        let said =
            words.iter().map(|(channel, message)| Said { channel: *channel, message }).collect();
        let count = words.len() as u64;
        match self.frame(to, Body::Words(said), actions) {
            true => self.counts.words.said += count,
            false => self.counts.words.used_up += count,
        }
    }

    fn piece(&mut self, to: NodeId, message: u64, index: u8, actions: &mut Vec<Action>) {
        let last = self.peers.get(usize::from(to.0)).map_or(0, |peer| peer.sequence);
        // The frame's own will be one more. Only a budget of ten times the usual gets so far within a word's
        // time.
        let Ok(back) = u16::try_from(last + 1 - message.min(last)) else {
            self.counts.words.no_tokens += self.outgoing.give_up(to, message);
            return;
        };
        let Some(going) = self.outgoing.go(to, message, index) else { return };
        let piece = Piece { channel: going.channel, back, index, count: going.count };
        if self.frame(to, Body::Piece(piece, &going.data), actions) {
            self.counts.sent.pieces += 1;
            self.counts.sent.pieces_again += u64::from(going.again);
            self.counts.words.said += u64::from(going.whole);
        }
    }

    /// Sends a frame with a sequence of its own to the life that is known; `false` where all sequences are
    /// used up.
    fn frame(&mut self, to: NodeId, body: Body<'_>, actions: &mut Vec<Action>) -> bool {
        let incarnation = self.incarnation(to);
        let (Some(incarnation), Some(sequence)) = (incarnation, self.next_sequence(to)) else {
            return false;
        };
        self.transmit(to, incarnation, sequence, body, actions);
        true
    }

    fn transmit(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        sequence: u64,
        body: Body<'_>,
        actions: &mut Vec<Action>,
    ) {
        let frame = Frame { from: self.config.incarnation, to: incarnation, sequence, body };
        let bytes = frame.encode(self.config.node_id, to);
        self.tokens.take(self.now, bytes.len());
        self.counts.sent.datagrams += 1;
        self.counts.sent.bytes += bytes.len() as u64;
        actions.push(Action::Transmit { to, bytes });
    }
}
