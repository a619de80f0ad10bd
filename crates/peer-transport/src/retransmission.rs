//! Longer words of our own: kept in one piece for as long as a peer may ask for parts of them again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::PIECE;
use crate::{Channel, How, NodeId};

/// For so long. A receiver gives up after as long.
pub(crate) const KEPT: Duration = Duration::from_secs(4);
/// Bytes kept at most, the oldest go first. A leader tells an entry of 16 KiB to eight children: 128 KiB.
pub(crate) const ROOM: usize = 1 << 20;
/// Each piece is sent again so often at most, on the whole word's account: a peer that asks for ever is not
/// served for ever. With 30 % lost either way, a piece goes again 0.5 times.
const AGAIN: u32 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Kept {
    pub(crate) channel: Channel,
    pub(crate) how: How,
    bytes: Vec<u8>,
    until: Duration,
    /// Its place in the order.
    came: u64,
    /// Pieces that wait to go.
    waiting: u128,
    /// Pieces that went at least once.
    went: u128,
    again: u32,
}

impl Kept {
    pub(crate) fn count(&self) -> u8 {
        u8::try_from(self.bytes.len().div_ceil(PIECE)).unwrap_or(u8::MAX)
    }
}

/// What became of a piece whose turn came.
pub(crate) struct Going {
    pub(crate) channel: Channel,
    pub(crate) count: u8,
    pub(crate) data: Vec<u8>,
    /// It went before.
    pub(crate) again: bool,
    /// With it the whole word has gone once.
    pub(crate) whole: bool,
}

/// By peer and number of the word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Outgoing {
    kept: BTreeMap<(NodeId, u64), Kept>,
    /// In the order in which they came.
    order: BTreeMap<u64, (NodeId, u64)>,
    came: u64,
    held: usize,
}

fn all(count: u8) -> u128 {
    u128::MAX >> (128 - u32::from(count.clamp(1, 128)))
}

impl Outgoing {
    /// Keeps a word that is longer than a datagram and at most `MAX_MESSAGE_BYTES`. Tells how many words that had
    /// not gone out whole had to make room, and how many pieces it has.
    pub(crate) fn keep(
        &mut self,
        now: Duration,
        (to, number): (NodeId, u64),
        (channel, how): (Channel, How),
        bytes: Vec<u8>,
    ) -> (u64, u8) {
        let mut dropped = 0;
        while self.held + bytes.len() > ROOM {
            let Some((_, oldest)) = self.order.first_key_value() else { break };
            dropped += self.remove(*oldest);
        }
        self.held += bytes.len();
        self.came += 1;
        self.order.insert(self.came, (to, number));
        let until = now + KEPT;
        let came = self.came;
        let mut kept = Kept { channel, how, bytes, until, came, waiting: 0, went: 0, again: 0 };
        let count = kept.count();
        kept.waiting = all(count);
        self.kept.insert((to, number), kept);
        (dropped, count)
    }

    /// Forgets a word; 1 if it had not gone out whole.
    fn remove(&mut self, which: (NodeId, u64)) -> u64 {
        let Some(kept) = self.kept.remove(&which) else { return 0 };
        self.order.remove(&kept.came);
        self.held -= kept.bytes.len();
        u64::from(kept.went != all(kept.count()))
    }

    /// Forgets what is too old; how many of that had not gone out whole.
    pub(crate) fn prune(&mut self, now: Duration) -> u64 {
        let mut dropped = 0;
        while let Some(which) = self.order.first_key_value().map(|(_, which)| *which) {
            if self.kept.get(&which).is_none_or(|kept| kept.until > now) {
                break;
            }
            dropped += self.remove(which);
        }
        dropped
    }

    /// Forgets all to this peer; how many of that had not gone out whole.
    pub(crate) fn clear(&mut self, to: NodeId) -> u64 {
        let all: Vec<_> =
            self.kept.range((to, 0)..=(to, u64::MAX)).map(|(which, _)| *which).collect();
        all.into_iter().map(|which| self.remove(which)).sum()
    }

    /// The piece whose turn has come, if its word is still kept.
    pub(crate) fn go(&mut self, to: NodeId, number: u64, index: u8) -> Option<Going> {
        let kept = self.kept.get_mut(&(to, number))?;
        let bit = 1u128.checked_shl(u32::from(index))?;
        let start = usize::from(index) * PIECE;
        let data = kept.bytes.get(start..kept.bytes.len().min(start + PIECE))?.to_vec();
        let again = kept.went & bit != 0;
        kept.waiting &= !bit;
        kept.went |= bit;
        let count = kept.count();
        let whole = !again && kept.went == all(count);
        Some(Going { channel: kept.channel, count, data, again, whole })
    }

    /// A peer asks for these again: those to be put in line, how urgent they are, and how many are refused.
    /// Those that wait still are neither.
    pub(crate) fn ask(&mut self, to: NodeId, number: u64, which: u128) -> (Vec<u8>, How, u64) {
        let Some(kept) = self.kept.get_mut(&(to, number)) else {
            return (Vec::new(), How::Bulk, u64::from(which.count_ones()));
        };
        let count = kept.count();
        let which = which & all(count) & !kept.waiting;
        let most = AGAIN * u32::from(count);
        let (mut line, mut refused) = (Vec::new(), 0);
        for index in (0..count).filter(|i| which & 1 << i != 0) {
            if kept.again >= most {
                refused += 1;
                continue;
            }
            kept.again += 1;
            kept.waiting |= 1 << index;
            line.push(index);
        }
        (line, kept.how, refused)
    }

    /// There was no room in line for these.
    pub(crate) fn not_in_line(&mut self, to: NodeId, number: u64, indices: &[u8]) {
        if let Some(kept) = self.kept.get_mut(&(to, number)) {
            for index in indices {
                kept.waiting &= !1u128.checked_shl(u32::from(*index)).unwrap_or(0);
            }
        }
    }

    /// Forgets a word; 1 if it had not gone out whole.
    pub(crate) fn give_up(&mut self, to: NodeId, number: u64) -> u64 {
        self.remove((to, number))
    }

    /// Bytes that are kept.
    pub(crate) fn held(&self) -> usize {
        self.held
    }
}
