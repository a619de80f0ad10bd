//! Longer words of peers, put together from their pieces: within a bound on memory, and each at most once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::frame::{PIECE, Piece};
use crate::token_bucket::Pace;
use crate::{Channel, NodeId};

/// Bytes held of all words that are not whole. For a new one the oldest word goes of the peer that holds
/// most. Without a bound peers that send first pieces alone would take all memory; were it the oldest of all,
/// sixteen of them would keep every other from being put together.
pub(crate) const ROOM: usize = 1 << 20;
/// Of that, of one peer: three of the longest words.
pub(crate) const ROOM_OF_ONE: usize = 64 << 10;
/// What is missing is asked for after so long without a piece, and then after half as much more each time,
const QUIET: Duration = Duration::from_millis(40);
/// up to so much,
const LONGEST_QUIET: Duration = Duration::from_millis(160);
/// so often without a new piece in between,
const ASKS: u8 = 20;
/// and for so long in all. A sender keeps its words as long.
const LONGEST: Duration = crate::retransmission::KEPT;
/// Asks to one peer, a second and at once: a peer that begins a hundred words is not told a hundred times at
/// once.
const ASKS_OF_ONE: (u32, u32) = (50, 8);
/// Numbers of words that are over, remembered of one peer. Of an older one no piece counts: a word whose turn
/// takes longer than that of 256 later ones from the same peer is lost.
const OVER: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Partial {
    channel: Channel,
    count: u8,
    have: u128,
    bytes: Vec<u8>,
    /// Length of the last piece, once it is there.
    last: usize,
    begun: Duration,
    /// Its place in the order in which they began.
    came: u64,
    due: Duration,
    asks: u8,
}

impl Partial {
    fn missing(&self) -> u128 {
        !self.have & (u128::MAX >> (128 - u32::from(self.count.clamp(1, 128))))
    }
}

/// What is known of one peer's words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct From {
    /// No word up to this number counts any more.
    floor: u64,
    /// Words that are over: whole, or given up. Without it a piece that was sent again would begin a word
    /// anew that was handed over before.
    over: BTreeSet<u64>,
    held: usize,
    pace: Pace,
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// More are missing.
    More,
    /// It was there before, or its word is over.
    Again,
    /// It contradicts others of its word.
    Wrong,
    /// Its word is whole.
    Whole(Channel, Vec<u8>),
}

/// By peer and number of the word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Incoming {
    partial: BTreeMap<(NodeId, u64), Partial>,
    due: BTreeSet<(Duration, NodeId, u64)>,
    from: BTreeMap<NodeId, From>,
    began: u64,
    held: usize,
    given_up: u64,
}

impl Incoming {
    /// A new life of this peer: nothing of the one before is put together any more, and no word of it that
    /// began before this sequence.
    pub(crate) fn begin(&mut self, from: NodeId, floor: u64) {
        let all: Vec<_> =
            self.partial.range((from, 0)..=(from, u64::MAX)).map(|(which, _)| *which).collect();
        for which in all {
            self.give_up(which);
        }
        let (rate, burst) = ASKS_OF_ONE;
        let pace = Pace::new(rate, burst);
        self.from.insert(from, From { floor, over: BTreeSet::new(), held: 0, pace });
    }

    /// A piece of a confirmed life. Its shape was checked by the frame.
    pub(crate) fn piece(
        &mut self,
        now: Duration,
        (from, number): (NodeId, u64),
        piece: &Piece,
        data: &[u8],
    ) -> Came {
        let which = (from, number);
        let Some(known) = self.from.get(&from) else { return Came::Again };
        if number <= known.floor || known.over.contains(&number) {
            return Came::Again;
        }
        if !self.partial.contains_key(&which) {
            self.room(from, usize::from(piece.count) * PIECE);
            self.start(now, which, piece);
        }
        let Some(partial) = self.partial.get_mut(&which) else { return Came::Again };
        if (partial.channel, partial.count) != (piece.channel, piece.count) {
            return Came::Wrong;
        }
        let bit = 1u128 << piece.index.min(127);
        if partial.have & bit != 0 {
            return Came::Again;
        }
        let start = usize::from(piece.index) * PIECE;
        let Some(place) = partial.bytes.get_mut(start..start + data.len()) else {
            return Came::Wrong;
        };
        place.copy_from_slice(data);
        partial.have |= bit;
        partial.asks = 0;
        if piece.index + 1 == piece.count {
            partial.last = data.len();
        }
        if partial.missing() != 0 {
            self.set_due(which, now + QUIET);
            return Came::More;
        }
        let length = (usize::from(partial.count) - 1) * PIECE + partial.last;
        let Some(mut whole) = self.end(which) else { return Came::Again };
        whole.bytes.truncate(length);
        Came::Whole(whole.channel, whole.bytes)
    }

    fn start(&mut self, now: Duration, which: (NodeId, u64), piece: &Piece) {
        let Some(known) = self.from.get_mut(&which.0) else { return };
        let size = usize::from(piece.count) * PIECE;
        known.held += size;
        self.held += size;
        self.began += 1;
        let (came, due) = (self.began, now + QUIET);
        self.due.insert((due, which.0, which.1));
        let (channel, count, bytes) = (piece.channel, piece.count, vec![0; size]);
        let partial =
            Partial { channel, count, have: 0, bytes, last: 0, begun: now, came, due, asks: 0 };
        self.partial.insert(which, partial);
    }

    fn set_due(&mut self, which: (NodeId, u64), due: Duration) {
        if let Some(partial) = self.partial.get_mut(&which) {
            self.due.remove(&(partial.due, which.0, which.1));
            partial.due = due.min(partial.begun + LONGEST);
            self.due.insert((partial.due, which.0, which.1));
        }
    }

    /// Gives up what is oldest until there is room for so much more.
    fn room(&mut self, from: NodeId, size: usize) {
        while self.from.get(&from).is_some_and(|known| known.held + size > ROOM_OF_ONE) {
            if !self.give_up_oldest(from) {
                return;
            }
        }
        while self.held + size > ROOM {
            let most =
                self.from.iter().max_by_key(|(member, known)| (known.held, Reverse(**member)));
            let Some((most, _)) = most else { return };
            let most = *most;
            if !self.give_up_oldest(most) {
                return;
            }
        }
    }

    /// Gives up the oldest word of this peer, if there is any.
    fn give_up_oldest(&mut self, of: NodeId) -> bool {
        let all = self.partial.range((of, 0)..=(of, u64::MAX));
        let oldest = all.min_by_key(|(_, partial)| partial.came).map(|(which, _)| *which);
        oldest.is_some_and(|which| {
            self.give_up(which);
            true
        })
    }

    fn give_up(&mut self, which: (NodeId, u64)) {
        self.given_up += u64::from(self.end(which).is_some());
    }

    /// This word is over: no piece of it begins it anew.
    fn end(&mut self, which: (NodeId, u64)) -> Option<Partial> {
        let partial = self.partial.remove(&which)?;
        self.due.remove(&(partial.due, which.0, which.1));
        self.held -= partial.bytes.len();
        let known = self.from.get_mut(&which.0)?;
        known.held -= partial.bytes.len();
        known.over.insert(which.1);
        let mut below = Vec::new();
        while known.over.len() > OVER {
            known.floor = known.floor.max(known.over.pop_first().unwrap_or(0));
        }
        if known.over.len() == OVER {
            let floor = known.floor;
            below.extend(
                self.partial.range((which.0, 0)..=(which.0, floor)).map(|(which, _)| *which),
            );
        }
        for old in below {
            self.give_up(old);
        }
        Some(partial)
    }

    /// The words of which something is to be asked for now.
    pub(crate) fn asks(&mut self, now: Duration) -> Vec<(NodeId, u64)> {
        let mut asks = Vec::new();
        while let Some((_, member, number)) =
            self.due.first().filter(|(due, ..)| *due <= now).copied()
        {
            let which = (member, number);
            let Some(partial) = self.partial.get_mut(&which) else { break };
            if partial.asks >= ASKS || now >= partial.begun + LONGEST {
                self.give_up(which);
                continue;
            }
            let mut quiet = QUIET;
            if self.from.get_mut(&member).is_some_and(|known| known.pace.try_one(now)) {
                partial.asks += 1;
                quiet = (0..partial.asks).fold(QUIET, |quiet, _| LONGEST_QUIET.min(quiet * 3 / 2));
                asks.push(which);
            }
            self.set_due(which, now + quiet);
        }
        asks
    }

    /// What of this word has not come, if it is still put together.
    pub(crate) fn missing(&self, from: NodeId, number: u64) -> Option<u128> {
        Some(self.partial.get(&(from, number))?.missing())
    }

    /// When something is to be asked for next.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(due, ..)| *due)
    }

    /// Words given up since this was asked last.
    pub(crate) fn take_given_up(&mut self) -> u64 {
        std::mem::take(&mut self.given_up)
    }

    /// Bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held
    }
}
