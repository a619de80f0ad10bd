//! What is known of one peer: its life, how it is asked for it, and what waits until it has answered.

use std::collections::VecDeque;
use std::time::Duration;

use crate::receive_window::Window;
use crate::rng::{Chance, Nonces};
use crate::token_bucket::Pace;
use crate::{Channel, How, Incarnation};

/// A nonce is asked for so long; an answer that takes longer brings nothing about, so that a life which ended
/// meanwhile is not believed for having answered before.
pub(crate) const NONCE: Duration = Duration::from_secs(5);
/// A word waits so long for a peer to be there.
pub(crate) const WAIT: Duration = Duration::from_secs(1);
/// Words that wait for one peer, and their bytes: one of the longest.
const WAITING: usize = 32;
const WAITING_BYTES: usize = 24 << 10;
/// The first wait for an answer is up to so long, and each next up to twice as much (full jitter),
const FIRST: Duration = Duration::from_millis(50);
/// up to so much. A peer that comes up says hello itself; this bounds how long words wait where hellos are
/// lost. 299 silent peers to all of which words are said cost 1,200 hellos a second, which the hellos' own
/// bucket cuts to 256.
const LONGEST: Duration = Duration::from_millis(500);
/// And never less than this, so that a small draw asks no one twice within a round trip.
const LEAST: Duration = Duration::from_millis(10);
/// Hellos to one peer, a second and at once, whatever it sends: a peer that never believes us, or somebody
/// who replays its datagrams, gets no more.
const HELLOS: (u32, u32) = (5, 8);

/// A word for a peer that has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiting {
    pub(crate) until: Duration,
    pub(crate) channel: Channel,
    pub(crate) how: How,
    pub(crate) message: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// The life that answered last, of all that did.
    pub(crate) incarnation: Option<Incarnation>,
    /// It has shown that it has confirmed this process's life. Words wait until then: those that overtake a
    /// hello, or follow one that is lost, would not count.
    pub(crate) knows_us: bool,
    /// What came from it.
    pub(crate) window: Window,
    /// The last sequence that went to this member.
    pub(crate) sequence: u64,
    /// What it is asked to give back, and since when.
    nonce: Option<(u32, Duration)>,
    pub(crate) pace: Pace,
    /// Hellos in a row without an answer.
    tries: u32,
    /// When the next is due. Some words may wait only while this is set, so that each of them meets its end.
    pub(crate) again: Option<Duration>,
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
}

impl Waiting {
    /// What it takes, with what lies beside the word.
    fn size(&self) -> usize {
        64 + self.message.len()
    }
}

impl Peer {
    pub(crate) fn new() -> Self {
        let (rate, burst) = HELLOS;
        Self {
            incarnation: None,
            knows_us: false,
            window: Window::from(0),
            sequence: 0,
            nonce: None,
            pace: Pace::new(rate, burst),
            tries: 0,
            again: None,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
        }
    }

    /// What it is asked to give back now. One nonce serves until it is answered or too old: a new one for
    /// each hello would let whoever makes us say hello annul every answer under way.
    pub(crate) fn ask(&mut self, now: Duration, nonces: &mut Nonces) -> u32 {
        match self.nonce {
            Some((nonce, since)) if now < since + NONCE => nonce,
            _ => {
                let nonce = nonces.next();
                self.nonce = Some((nonce, now));
                nonce
            }
        }
    }

    /// Whether this is the answer to what is being asked. It is one once.
    pub(crate) fn answers(&mut self, now: Duration, answer: u32) -> bool {
        let is = self.nonce.is_some_and(|(nonce, since)| nonce == answer && now < since + NONCE);
        if is {
            self.nonce = None;
        }
        is
    }

    /// `incarnation` has answered. All up to `sequence` is from before, and counts no more.
    pub(crate) fn confirm(&mut self, incarnation: Incarnation, sequence: u64) {
        self.incarnation = Some(incarnation);
        self.knows_us = false;
        self.window = Window::from(sequence);
        self.tries = 0;
    }

    /// It can be talked to.
    pub(crate) fn is_open(&self) -> bool {
        self.incarnation.is_some() && self.knows_us
    }

    /// How long the next answer is waited for.
    pub(crate) fn patience(&mut self, chance: &mut Chance) -> Duration {
        let most = FIRST.saturating_mul(1 << self.tries.min(16)).min(LONGEST);
        self.tries = self.tries.saturating_add(1);
        chance.up_to(most).max(LEAST)
    }

    /// No word waits for it: the next one begins anew.
    pub(crate) fn leave(&mut self) {
        (self.tries, self.again) = (0, None);
    }

    /// Lets a word wait; `false` where there is no room, here or in the `room` that all peers share.
    pub(crate) fn wait(&mut self, waiting: Waiting, room: usize) -> bool {
        let bytes = self.waiting_bytes + waiting.size();
        let room = self.waiting.len() < WAITING && bytes <= WAITING_BYTES && waiting.size() <= room;
        if room {
            self.waiting_bytes = bytes;
            self.waiting.push_back(waiting);
        }
        room
    }

    /// Drops what waited too long; how many that were.
    pub(crate) fn prune(&mut self, now: Duration) -> u64 {
        let mut dropped = 0;
        while let Some(old) = self.waiting.pop_front_if(|one| one.until <= now) {
            self.waiting_bytes -= old.size();
            dropped += 1;
        }
        dropped
    }

    /// All that waits, which then waits no more.
    pub(crate) fn take_waiting(&mut self) -> VecDeque<Waiting> {
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting)
    }

    pub(crate) fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Bytes that wait.
    pub(crate) fn held(&self) -> usize {
        self.waiting_bytes
    }
}
