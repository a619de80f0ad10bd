//! The half of the machine that says something: words in line, hellos, and what goes when there are tokens
//! for it.

use crate::frame::{Body, Frame, HEAD, LAST, ONE_DATAGRAM, Piece, Said};
use crate::peer::{WAIT, Waiting};
use crate::queue::Item;
use crate::{Action, Channel, DATAGRAM, How, LONGEST_WORD, Life, Member, Wire};

/// Bytes that wait for all peers that have not answered yet. Without a bound 1,000 silent peers would take 24
/// MB.
const WAITING: usize = 512 << 10;

impl Wire {
    /// A word is to be said.
    pub(crate) fn send(
        &mut self,
        to: Member,
        channel: Channel,
        word: Vec<u8>,
        how: How,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let room = WAITING.saturating_sub(self.waiting);
        let Some(peer) = self.peers.get_mut(usize::from(to.0)).filter(|_| to != self.config.me)
        else {
            self.counts.words.nowhere += 1;
            return;
        };
        if word.len() > LONGEST_WORD {
            self.counts.words.too_long += 1;
            return;
        }
        if peer.is_open() {
            self.line_up(to, channel, word, how);
            return;
        }
        let before = peer.held();
        self.counts.words.waited_in_vain += peer.prune(now);
        if !peer.wait(Waiting { until: now + WAIT, channel, how, word }, room) {
            self.counts.words.no_room += 1;
        }
        self.waiting = self.waiting + peer.held() - before;
        if peer.again.is_none() && peer.waits() {
            self.call(to, actions);
        }
    }

    /// Puts a word in line to a peer whose life is known.
    pub(crate) fn line_up(&mut self, to: Member, channel: Channel, word: Vec<u8>, how: How) {
        if word.len() <= ONE_DATAGRAM {
            let until = self.now + how.patience();
            let lined_up = self.queue.push(how, to, Item::Word { channel, word, until });
            self.counts.words.no_room += u64::from(!lined_up);
            return;
        }
        let Some(number) = self.next_sequence(to) else {
            self.counts.words.used_up += 1;
            return;
        };
        let (dropped, count) = self.outgoing.keep(self.now, (to, number), (channel, how), word);
        self.counts.words.no_room += dropped;
        let pieces = (0..count).map(|index| Item::Piece { word: number, index });
        if !self.queue.push_all(how, to, pieces) {
            self.counts.words.no_room += self.outgoing.give_up(to, number);
        }
    }

    /// The next sequence to this member, until all are used up.
    fn next_sequence(&mut self, to: Member) -> Option<u64> {
        let peer = self.peers.get_mut(usize::from(to.0)).filter(|peer| peer.sequence < LAST)?;
        peer.sequence += 1;
        Some(peer.sequence)
    }

    /// Says hello to a peer for which words wait, and sets when to do it again.
    fn call(&mut self, to: Member, actions: &mut Vec<Action>) {
        let life = self.life(to).unwrap_or(Life(0));
        self.hello(to, life, 0, actions);
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let at = self.now + peer.patience(&mut self.chance);
        peer.again = Some(at);
        self.hellos.insert((at, to));
    }

    /// Says hello to this life: gives back what was asked (0: nothing was), and asks unless both know each
    /// other.
    pub(crate) fn hello(&mut self, to: Member, life: Life, answer: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(usize::from(to.0)) else { return };
        let may = self.tokens.ready(How::Urgent) <= now
            && peer.pace.try_one(now)
            && self.hello_pace.try_one(now);
        if !may {
            self.counts.sent.hellos_held_back += 1;
            return;
        }
        let known = peer.life == Some(life);
        let ask = if known && peer.knows_us { 0 } else { peer.ask(now, &mut self.nonces) };
        let sequence = peer.sequence;
        self.counts.sent.hellos += 1;
        self.transmit(to, life, sequence, Body::Hello { ask, answer, known }, actions);
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
        for (from, word) in self.incoming.asks(now) {
            // Where there is no room, it is asked for the next time.
            self.queue.push(How::Usual, from, Item::Missing { word });
        }
        while let Some(how) = self.queue.most_urgent().filter(|how| self.tokens.ready(*how) <= now)
        {
            let Some(to) = self.queue.turn(how) else { break };
            self.next_of(how, to, actions);
        }
    }

    /// Sends what is first in this line to this peer.
    fn next_of(&mut self, how: How, to: Member, actions: &mut Vec<Action>) {
        match self.queue.pop_if(how, to, |_| true) {
            None => {}
            Some(Item::Word { until, .. }) if until <= self.now => self.counts.words.no_tokens += 1,
            Some(Item::Word { channel, word, .. }) => {
                self.together(how, to, (channel, word), actions)
            }
            Some(Item::Piece { word, index }) => self.piece(to, word, index, actions),
            Some(Item::Missing { word }) => {
                if let Some(which) = self.incoming.missing(to, word) {
                    self.counts.sent.asks += 1;
                    self.frame(to, Body::Missing { word, which }, actions);
                }
            }
        }
    }

    /// Sends a word, and what else waits for the same peer and fits beside it, also if it is less urgent: a
    /// datagram costs more than its bytes.
    fn together(
        &mut self,
        how: How,
        to: Member,
        first: (Channel, Vec<u8>),
        actions: &mut Vec<Action>,
    ) {
        let (now, mut length) = (self.now, HEAD + 1 + Said::length(first.1.len()));
        let mut words = vec![first];
        for line in How::ALL.into_iter().skip(how as usize) {
            while let Some(Item::Word { channel, word, until }) =
                self.queue.pop_if(line, to, |item| {
                    matches!(item, Item::Word { word, until, .. }
                    if *until <= now || length + Said::length(word.len()) <= DATAGRAM)
                })
            {
                if until <= now {
                    self.counts.words.no_tokens += 1;
                } else {
                    length += Said::length(word.len());
                    words.push((channel, word));
                }
            }
        }
        let said = words.iter().map(|(channel, word)| Said { channel: *channel, word }).collect();
        let count = words.len() as u64;
        match self.frame(to, Body::Words(said), actions) {
            true => self.counts.words.said += count,
            false => self.counts.words.used_up += count,
        }
    }

    fn piece(&mut self, to: Member, word: u64, index: u8, actions: &mut Vec<Action>) {
        let last = self.peers.get(usize::from(to.0)).map_or(0, |peer| peer.sequence);
        // The frame's own will be one more. Only a budget of ten times the usual gets so far within a word's
        // time.
        let Ok(back) = u16::try_from(last + 1 - word.min(last)) else {
            self.counts.words.no_tokens += self.outgoing.give_up(to, word);
            return;
        };
        let Some(going) = self.outgoing.go(to, word, index) else { return };
        let piece = Piece { channel: going.channel, back, index, count: going.count };
        if self.frame(to, Body::Piece(piece, &going.data), actions) {
            self.counts.sent.pieces += 1;
            self.counts.sent.pieces_again += u64::from(going.again);
            self.counts.words.said += u64::from(going.whole);
        }
    }

    /// Sends a frame with a sequence of its own to the life that is known; `false` where all sequences are
    /// used up.
    fn frame(&mut self, to: Member, body: Body<'_>, actions: &mut Vec<Action>) -> bool {
        let life = self.life(to);
        let (Some(life), Some(sequence)) = (life, self.next_sequence(to)) else { return false };
        self.transmit(to, life, sequence, body, actions);
        true
    }

    fn transmit(
        &mut self,
        to: Member,
        life: Life,
        sequence: u64,
        body: Body<'_>,
        actions: &mut Vec<Action>,
    ) {
        let frame = Frame { from: self.config.life, to: life, sequence, body };
        let bytes = frame.encode(self.config.me, to);
        self.tokens.take(self.now, bytes.len());
        self.counts.sent.datagrams += 1;
        self.counts.sent.bytes += bytes.len() as u64;
        actions.push(Action::Transmit { to, bytes });
    }
}
