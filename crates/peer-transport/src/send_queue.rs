//! Words and pieces that wait for tokens: by urgency, and within one by turns among peers, so that one that
//! is asked for much doesn't keep the others waiting.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use crate::{Channel, How, NodeId};

/// Bytes that wait at most, of each urgency. Without a bound a sender that is held back would take all
/// memory.
pub(crate) const ROOM: usize = 256 << 10;
/// What a thing that waits takes beyond its word.
const BESIDE: usize = 64;

/// What waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Item {
    /// A word that goes in one datagram, and until when it is worth saying.
    Message { channel: Channel, message: Vec<u8>, until: Duration },
    /// A piece of a longer one of ours.
    Piece { message: u64, index: u8 },
    /// To ask for what is missing of a peer's.
    Missing { message: u64 },
}

impl Item {
    fn size(&self) -> usize {
        BESIDE + if let Self::Message { message, .. } = self { message.len() } else { 0 }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Line {
    peers: BTreeMap<NodeId, VecDeque<Item>>,
    /// Whose turn it was.
    last: NodeId,
    held: usize,
}

/// All that waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Queue {
    lines: [Line; 3],
}

impl Queue {
    /// Puts it behind all others of its urgency to that peer; `false` where there is no room.
    pub(crate) fn push(&mut self, how: How, to: NodeId, item: Item) -> bool {
        self.push_all(how, to, [item])
    }

    /// All or none.
    pub(crate) fn push_all(
        &mut self,
        how: How,
        to: NodeId,
        items: impl IntoIterator<Item = Item>,
    ) -> bool {
        let line = &mut self.lines[how as usize];
        let items: Vec<Item> = items.into_iter().collect();
        let size: usize = items.iter().map(Item::size).sum();
        let room = line.held + size <= ROOM;
        if room && !items.is_empty() {
            line.held += size;
            line.peers.entry(to).or_default().extend(items);
        }
        room
    }

    /// The most urgent that waits.
    pub(crate) fn most_urgent(&self) -> Option<How> {
        How::ALL.into_iter().find(|how| !self.lines[*how as usize].peers.is_empty())
    }

    /// Whose turn it is in this line.
    pub(crate) fn turn(&mut self, how: How) -> Option<NodeId> {
        let line = &mut self.lines[how as usize];
        let after = line.peers.range((Excluded(line.last), Unbounded)).next();
        line.last = *after.or_else(|| line.peers.first_key_value())?.0;
        Some(line.last)
    }

    /// The first that waits for this peer in this line, if it pleases.
    pub(crate) fn pop_if(
        &mut self,
        how: How,
        to: NodeId,
        pleases: impl FnOnce(&Item) -> bool,
    ) -> Option<Item> {
        let line = &mut self.lines[how as usize];
        let items = line.peers.get_mut(&to)?;
        let item = items.pop_front_if(|item| pleases(item))?;
        if items.is_empty() {
            line.peers.remove(&to);
        }
        line.held -= item.size();
        Some(item)
    }

    /// Nothing waits for this peer any more; how many words that were.
    pub(crate) fn clear(&mut self, to: NodeId) -> u64 {
        let mut words = 0;
        for line in &mut self.lines {
            for item in line.peers.remove(&to).into_iter().flatten() {
                line.held -= item.size();
                words += u64::from(matches!(item, Item::Message { .. }));
            }
        }
        words
    }

    /// Bytes that wait.
    pub(crate) fn held(&self) -> usize {
        self.lines.iter().map(|line| line.held).sum()
    }
}
