//! Which sequences of one life have come: against copies, as in IPsec (RFC 4303, section 3.4.3; the ring of
//! RFC 6479).

/// Sequences that are remembered. With fewer, late datagrams of a fast sender (2,000 a second) would be lost
/// for being half a second late.
pub(crate) const SPAN: u64 = (BLOCKS as u64 - 1) * 64;
const BLOCKS: usize = 17;

/// What a sequence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// Not seen before; it is now.
    New,
    /// Seen.
    Copy,
    /// From before all that is remembered: perhaps seen, so it doesn't count.
    Late,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Window {
    /// The highest seen.
    high: u64,
    /// All up to this one count as seen: they are from before the life was confirmed.
    floor: u64,
    ring: [u64; BLOCKS],
}

impl Window {
    /// All up to `floor` count as seen.
    pub(crate) fn from(floor: u64) -> Self {
        Self { high: floor, floor, ring: [0; BLOCKS] }
    }

    pub(crate) fn see(&mut self, sequence: u64) -> Seen {
        if sequence <= self.floor || sequence <= self.high.saturating_sub(SPAN) {
            return Seen::Late;
        }
        let block = |sequence: u64| (sequence / 64 % BLOCKS as u64) as usize;
        if sequence > self.high {
            let ahead = (sequence / 64 - self.high / 64).min(BLOCKS as u64);
            for step in 0..ahead {
                self.ring[block(sequence - 64 * step)] = 0;
            }
            self.high = sequence;
        }
        let (at, bit) = (block(sequence), 1u64 << (sequence % 64));
        let seen = self.ring[at] & bit != 0;
        self.ring[at] |= bit;
        if seen { Seen::Copy } else { Seen::New }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn nothing_is_new_twice_and_nothing_within_the_span_is_refused(
            floor in 0..300u64,
            steps in proptest::collection::vec((0..3_000u64, any::<bool>()), 1..400),
        ) {
            let (mut window, mut seen, mut high) = (Window::from(floor), BTreeSet::new(), floor);
            for (step, ahead) in steps {
                let sequence = if ahead { high + step / 16 } else { high.saturating_sub(step / 2) };
                let expected = if sequence <= floor || sequence + SPAN <= high {
                    Seen::Late
                } else if seen.insert(sequence) { Seen::New } else { Seen::Copy };
                prop_assert_eq!(window.see(sequence), expected, "{} after {}", sequence, high);
                high = high.max(sequence);
            }
        }
    }

    #[test]
    fn the_far_end_of_what_can_be_counted_is_no_trouble() {
        let mut window = Window::from(0);
        assert_eq!(window.see(u64::MAX), Seen::New);
        assert_eq!((window.see(u64::MAX), window.see(1)), (Seen::Copy, Seen::Late));
        assert_eq!(window.see(u64::MAX - SPAN + 1), Seen::New);
    }
}
