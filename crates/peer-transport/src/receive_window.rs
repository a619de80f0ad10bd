//! Detects duplicate sequence numbers of one incarnation, as IPsec does (RFC 4303, section 3.4.3; the ring
//! of RFC 6479).

#[cfg(test)]
mod tests;

/// Length of the window, in sequence numbers. With a shorter window, datagrams of a fast sender (2,000 a
/// second) would be dropped for being half a second late.
pub(crate) const WINDOW_SEQUENCES: u64 = (RING_BLOCKS as u64 - 1) * BLOCK_BITS;
/// Blocks of the ring.
const RING_BLOCKS: usize = 17;
/// Sequence numbers in one block.
const BLOCK_BITS: u64 = 64;

/// Whether a sequence number was received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequenceStatus {
    /// The number is received for the first time.
    New,
    /// The number was received before.
    Duplicate,
    /// The number is older than the window, so that it may be a duplicate.
    TooOld,
}

/// The sequence numbers that one incarnation of a peer has used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReceiveWindow {
    /// The highest number received.
    highest: u64,
    /// Numbers up to this one were used before the handshake, and count as received.
    floor: u64,
    ring: [u64; RING_BLOCKS],
}

impl ReceiveWindow {
    /// Creates a window in which all numbers up to `floor` count as received.
    pub(crate) fn starting_after(floor: u64) -> Self {
        Self { highest: floor, floor, ring: [0; RING_BLOCKS] }
    }

    /// Marks a sequence number as received, and returns whether it was received before.
    pub(crate) fn record(&mut self, sequence: u64) -> SequenceStatus {
        if sequence <= self.floor || sequence <= self.highest.saturating_sub(WINDOW_SEQUENCES) {
            return SequenceStatus::TooOld;
        }
        if sequence > self.highest {
            self.advance(sequence);
        }
        let (block, bit) = (block_of(sequence), 1u64 << (sequence % BLOCK_BITS));
        let is_duplicate = self.ring[block] & bit != 0;
        self.ring[block] |= bit;
        if is_duplicate { SequenceStatus::Duplicate } else { SequenceStatus::New }
    }

    /// Clears the blocks between the highest number so far and `sequence`, the new highest one.
    fn advance(&mut self, sequence: u64) {
        let blocks = sequence / BLOCK_BITS - self.highest / BLOCK_BITS;
        for step in 0..blocks.min(RING_BLOCKS as u64) {
            self.ring[block_of(sequence - BLOCK_BITS * step)] = 0;
        }
        self.highest = sequence;
    }
}

fn block_of(sequence: u64) -> usize {
    (sequence / BLOCK_BITS % RING_BLOCKS as u64) as usize
}
