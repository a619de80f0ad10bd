//! The machine between the words of a balancer and its datagrams: which frames count, what goes when. What a
//! word means, and that it is said again where it matters, is the business of whoever says it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::frame::{Bad, Body, Frame, HELLO, Said};
use crate::peer::{Peer, Waiting};
use crate::reassembly::{Came, Incoming};
use crate::receive_window::Seen;
use crate::retransmission::Outgoing;
use crate::rng::{Chance, Nonces};
use crate::send_queue::{Item, Queue};
use crate::token_bucket::{Pace, Tokens};
use crate::{Channel, Config, ConfigError, Counts, Incarnation, NodeId};
#[cfg(doc)]
use crate::{DATAGRAM, MAX_MESSAGE_BYTES, ONE_DATAGRAM};

/// How urgent a word is: who goes first, who leaves tokens to whom, and how long it is worth saying.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum How {
    /// Goes before all others, with the last token. Dropped when it has waited 250 ms for one: leases,
    /// rounds, votes.
    Urgent,
    /// Leaves an eighth of a full bucket. Dropped after 500 ms.
    Usual,
    /// Leaves half of a full bucket. Dropped after 2 s: snapshots, catching up.
    Bulk,
}

impl How {
    /// All, the most urgent first.
    pub(crate) const ALL: [Self; 3] = [Self::Urgent, Self::Usual, Self::Bulk];

    pub(crate) fn patience(self) -> Duration {
        Duration::from_millis([250, 500, 2_000][self as usize])
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A datagram came from the address of this member.
    Received {
        /// Whose address in `peers` it came from.
        from: NodeId,
        /// As it came; one that was longer than [`DATAGRAM`] with at least one byte more.
        bytes: &'a [u8],
    },
    /// A datagram came from no address of `peers`. It is counted.
    Stranger,
    /// A word is to be said. Nothing promises that it arrives.
    Send {
        /// To whom.
        to: NodeId,
        /// For whom there.
        channel: Channel,
        /// At most [`MAX_MESSAGE_BYTES`] bytes; up to [`ONE_DATAGRAM`] go in one datagram.
        message: Vec<u8>,
        /// How urgent it is.
        how: How,
    },
    /// The moment of [`Action::WakeAt`] has come. Earlier or later does no harm but the delay.
    Due,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram, at most [`DATAGRAM`] bytes. An error of the socket is a loss, and needs no more
    /// than a count.
    Transmit {
        /// To the address of this member.
        to: NodeId,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A word has come, whole and not before.
    Deliver {
        /// Who said it.
        from: NodeId,
        /// In which life: the one that the last [`Action::Reborn`] of this member named.
        incarnation: Incarnation,
        /// For whom it is.
        channel: Channel,
        /// What was said.
        message: Vec<u8>,
    },
    /// Hand in [`Event::Due`] at this moment, or, if it is past, once all events at hand were handed in. It
    /// replaces what was asked for before.
    WakeAt(Duration),
    /// This member has another life than before, or its first that is known here: what an earlier one said
    /// and was told is gone.
    Reborn {
        /// Who.
        from: NodeId,
        /// The life that has just shown that it is there.
        incarnation: Incarnation,
    },
}

/// Bytes that are held at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize)]
pub struct Held {
    /// Of peers' words whose pieces are not all there.
    pub incoming: usize,
    /// Of own longer words, to be asked for again.
    pub outgoing: usize,
    /// Waiting for tokens.
    pub queued: usize,
    /// Waiting for peers that have not answered.
    pub waiting: usize,
}

/// The machine. One for each process of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Wire {
    pub(crate) config: Config,
    pub(crate) now: Duration,
    /// By number.
    pub(crate) peers: Vec<Peer>,
    /// Hellos that are due.
    pub(crate) hellos: BTreeSet<(Duration, NodeId)>,
    pub(crate) hello_pace: Pace,
    pub(crate) tokens: Tokens,
    pub(crate) queue: Queue,
    pub(crate) incoming: Incoming,
    pub(crate) outgoing: Outgoing,
    pub(crate) waiting: usize,
    pub(crate) chance: Chance,
    pub(crate) nonces: Nonces,
    pub(crate) counts: Counts,
    /// The moment that was asked for last, if it has not come.
    pub(crate) told: Option<Duration>,
}

impl Wire {
    /// A wire that knows nobody's life.
    ///
    /// # Errors
    ///
    /// [`ConfigError`], where it can't be set up so.
    pub fn new(config: Config) -> Result<Self, ConfigError> {
        config.check()?;
        let budget = &config.budget;
        let datagrams = Pace::new(budget.datagrams, budget.datagrams_burst);
        let tokens = Tokens::new(datagrams, Pace::new(budget.bytes, budget.bytes_burst));
        let mut chance = Chance::new(config.seed);
        Ok(Self {
            now: Duration::ZERO,
            peers: (0..config.members).map(|_| Peer::new()).collect(),
            hellos: BTreeSet::new(),
            hello_pace: Pace::new(budget.hellos, budget.hellos_burst),
            tokens,
            queue: Queue::default(),
            incoming: Incoming::default(),
            outgoing: Outgoing::default(),
            waiting: 0,
            nonces: Nonces::new(&mut chance),
            chance,
            counts: Counts::default(),
            told: None,
            config,
        })
    }

    /// What was said, heard and dropped so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Bytes that are held now.
    pub fn held(&self) -> Held {
        let (incoming, outgoing) = (self.incoming.held(), self.outgoing.held());
        Held { incoming, outgoing, queued: self.queue.held(), waiting: self.waiting }
    }

    /// This process's own life.
    pub fn own_incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// The life of a member that has answered last; `None`: none has.
    pub fn incarnation(&self, of: NodeId) -> Option<Incarnation> {
        self.peers.get(usize::from(of.0))?.incarnation
    }

    /// `now` is monotonic time since the process's start; an earlier one than before counts as that one.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Received { from, bytes } => self.received(from, bytes, actions),
            Event::Stranger => self.counts.dropped.strange += 1,
            Event::Send { to, channel, message, how } => {
                self.send(to, channel, message, how, actions)
            }
            Event::Due => self.due(actions),
        }
        self.counts.delivered.pieces_given_up += self.incoming.take_given_up();
        let next = self.next_due();
        if let Some(at) = next.filter(|at| self.told.is_none_or(|told| *at < told)) {
            self.told = Some(at);
            actions.push(Action::WakeAt(at));
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let tokens = self.queue.most_urgent().map(|how| self.tokens.ready(how).max(self.now));
        let hello = self.hellos.first().map(|(at, _)| *at);
        [tokens, hello, self.incoming.next_due()].into_iter().flatten().min()
    }

    fn received(&mut self, from: NodeId, bytes: &[u8], actions: &mut Vec<Action>) {
        let (node_id, mine, now) = (self.config.node_id, self.config.incarnation, self.now);
        let Some(peer) = self.peers.get_mut(usize::from(from.0)).filter(|_| from != node_id) else {
            self.counts.dropped.strange += 1;
            return;
        };
        let frame = match Frame::decode(from, node_id, bytes) {
            Ok(frame) => frame,
            Err(bad) => {
                let dropped = &mut self.counts.dropped;
                *match bad {
                    Bad::TooLong => &mut dropped.too_long,
                    Bad::Version => &mut dropped.version,
                    Bad::Torn => &mut dropped.torn,
                    Bad::Unreadable => &mut dropped.unreadable,
                } += 1;
                return;
            }
        };
        if let Body::Hello { ask, answer, known } = frame.body {
            self.counts.heard.hellos += 1;
            if answer != 0 {
                if frame.to == mine && peer.answers(now, answer) {
                    self.confirm(from, frame.from, frame.sequence, actions);
                } else {
                    self.counts.heard.stale_nonces += 1;
                }
            }
            let is_its = self.incarnation(from) == Some(frame.from);
            if is_its && known && frame.to == mine {
                self.open(from);
            }
            if ask != 0 || !is_its {
                self.hello(from, frame.from, ask, actions);
            }
            return;
        }
        if peer.incarnation != Some(frame.from) || frame.to != mine {
            if peer.incarnation.is_none() && frame.to == mine {
                self.counts.dropped.unconfirmed += 1;
            } else {
                self.counts.dropped.previous_incarnation += 1;
            }
            // Whoever is there now is to say so; and is to learn who is here now.
            if bytes.len() >= HELLO {
                self.hello(from, frame.from, 0, actions);
            }
            return;
        }
        match peer.window.see(frame.sequence) {
            Seen::New => {
                // It says words to confirmed lives only.
                self.open(from);
                self.heard(from, &frame, actions);
            }
            Seen::Copy => self.counts.dropped.copy += 1,
            Seen::Late => self.counts.dropped.late += 1,
        }
    }

    /// A frame that counts.
    fn heard(&mut self, from: NodeId, frame: &Frame<'_>, actions: &mut Vec<Action>) {
        let heard = &mut self.counts.heard;
        match &frame.body {
            Body::Hello { .. } => {}
            Body::Words(words) => {
                heard.words += 1;
                for Said { channel, message } in words {
                    self.deliver(from, frame.from, *channel, message.to_vec(), actions);
                }
            }
            Body::Piece(piece, data) => {
                heard.pieces += 1;
                // The frame's check: it is less than the sequence.
                let number = frame.sequence.saturating_sub(u64::from(piece.back));
                match self.incoming.piece(self.now, (from, number), piece, data) {
                    Came::More => {}
                    Came::Again => heard.pieces_again += 1,
                    Came::Wrong => {
                        heard.pieces -= 1;
                        self.counts.dropped.unreadable += 1;
                    }
                    Came::Whole(channel, message) => {
                        self.deliver(from, frame.from, channel, message, actions)
                    }
                }
            }
            Body::Missing { message, which } => {
                heard.asks += 1;
                let (again, how, refused) = self.outgoing.ask(from, *message, *which);
                self.counts.sent.pieces_refused += refused;
                let items =
                    again.iter().map(|index| Item::Piece { message: *message, index: *index });
                if !self.queue.push_all(how, from, items) {
                    self.outgoing.not_in_line(from, *message, &again);
                    self.counts.sent.pieces_refused += again.len() as u64;
                }
            }
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
        self.counts.delivered.words += 1;
        actions.push(Action::Deliver { from, incarnation, channel, message });
    }

    /// This life of a peer has just answered.
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
        // What was put together and what was to be said was with another life. Nobody knows whether it still
        // holds.
        if peer.incarnation.is_some() {
            self.waiting -= peer.held();
            self.counts.words.previous_incarnation += peer.take_waiting().len() as u64;
        }
        peer.confirm(incarnation, sequence);
        self.incoming.begin(from, sequence);
        self.counts.words.previous_incarnation +=
            self.queue.clear(from) + self.outgoing.clear(from);
        self.counts.heard.incarnations += 1;
        actions.push(Action::Reborn { from, incarnation });
    }

    /// A peer whose life is confirmed has shown that it has confirmed ours: what waits for it gets in line.
    fn open(&mut self, to: NodeId) {
        let Some(peer) = self.peers.get_mut(usize::from(to.0)).filter(|peer| !peer.knows_us) else {
            return;
        };
        peer.knows_us = true;
        if let Some(at) = peer.again {
            self.hellos.remove(&(at, to));
        }
        peer.leave();
        self.waiting -= peer.held();
        for Waiting { until, channel, how, message } in peer.take_waiting() {
            if until <= self.now {
                self.counts.words.waited_in_vain += 1;
            } else {
                self.line_up(to, channel, message, how);
            }
        }
    }
}
