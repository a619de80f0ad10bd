//! What lies between two members of a set, as a pure machine: a datagram goes in, and what arrives of it comes out.
//! The same faults for a simulated network and for a relay between real processes.
//!
//! It holds, whatever faults overlap: a datagram on a link that any rule cuts arrives not at all; one that no rule is
//! about arrives once, at once and unchanged; what chance does to one ordered pair of members depends on the seed, the
//! pair and what that pair was sent, and on nothing else. Each is a test beside it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

/// Members that a rule is about, by number.
pub type Set = std::collections::BTreeSet<usize>;

/// What a rule does to the datagrams on its links.
#[derive(Clone, Debug, PartialEq)]
pub enum Does {
    /// None arrives, but on this share of the ordered pairs, drawn once a pair.
    Cut {
        /// 0 to 1.
        open: f64,
    },
    /// They arrive as a bad network delivers them.
    Bad(Trouble),
}

/// How bad a network is. Shares are chances a datagram, 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trouble {
    /// Share that is lost.
    pub loss: f64,
    /// Each is so much later,
    pub delay: Duration,
    /// and up to this much more, evenly: with it they come out of order.
    pub jitter: Duration,
    /// Share that comes twice, each of the two on its own way.
    pub copies: f64,
    /// Share in which one bit is flipped.
    pub flips: f64,
}

/// From whom to whom a rule is.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Senders; `None` for all.
    pub from: Option<Set>,
    /// Receivers; `None` for all.
    pub to: Option<Set>,
    /// Links within the senders or within the receivers are left alone: the rule is about what crosses.
    pub crossing: bool,
    /// What happens there.
    pub does: Does,
}

impl Rule {
    fn is_about(&self, from: usize, to: usize) -> bool {
        let has = |set: &Option<Set>, n| set.as_ref().is_none_or(|s| s.contains(&n));
        let inside =
            |set: &Option<Set>| set.as_ref().is_some_and(|s| s.contains(&from) && s.contains(&to));
        has(&self.from, from)
            && has(&self.to, to)
            && !(self.crossing && (inside(&self.from) || inside(&self.to)))
    }
}

/// All links, and the rules in force.
#[derive(Debug)]
pub struct Links {
    seed: u64,
    rules: Vec<(usize, Rule)>,
    chance: FxHashMap<(usize, usize), ChaCha8Rng>,
}

/// Streams of chance: a pair's own for its datagrams, and another for whether a cut leaves it open.
const OPEN: u64 = 1 << 63;

impl Links {
    /// All whole.
    pub fn new(seed: u64) -> Self {
        Self { seed, rules: Vec::new(), chance: FxHashMap::default() }
    }

    /// A rule is in force from now on, under a key of its maker's.
    pub fn begin(&mut self, key: usize, rule: Rule) {
        self.rules.push((key, rule));
    }

    /// The rules of this key are in force no longer.
    pub fn end(&mut self, key: usize) {
        self.rules.retain(|(k, _)| *k != key);
    }

    fn stream(&self, from: usize, to: usize, which: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(which | (from as u64) << 24 | to as u64);
        rng
    }

    /// Whether a rule cuts the link from one member to another.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.rules.iter().any(|(key, rule)| match rule.does {
            Does::Cut { open } if rule.is_about(from, to) => {
                // Each rule draws for itself, and the same for a pair as long as it is in force.
                open <= 0.0
                    || self.stream(from, to, OPEN | (*key as u64) << 48).random::<f64>() >= open
            }
            _ => false,
        })
    }

    /// What arrives of a datagram: each copy, and how much later than usual.
    pub fn pass(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let mut arrive = vec![(Duration::ZERO, bytes.to_vec())];
        let bad = self.rules.iter().filter(|(_, r)| r.is_about(from, to));
        let bad: Vec<Trouble> = bad
            .filter_map(|(_, r)| if let Does::Bad(t) = &r.does { Some(t.clone()) } else { None })
            .collect();
        if bad.is_empty() {
            return arrive;
        }
        let fresh = self.stream(from, to, 0);
        let rng = self.chance.entry((from, to)).or_insert(fresh);
        for trouble in bad {
            arrive = arrive.into_iter().flat_map(|one| trouble.strike(one, rng)).collect();
        }
        arrive
    }
}

impl Trouble {
    /// What becomes of one copy.
    fn strike(
        &self,
        (late, bytes): (Duration, Vec<u8>),
        rng: &mut impl Rng,
    ) -> Vec<(Duration, Vec<u8>)> {
        // As much chance is drawn whatever happens, so that one share more or less moves nothing else.
        let [lost, doubled, flipped] = [(); 3].map(|()| rng.random::<f64>());
        let copies = if doubled < self.copies { 2 } else { 1 };
        let mut arrive = Vec::with_capacity(copies);
        for copy in 0..2 {
            let late = late + self.delay + self.jitter.mul_f64(rng.random());
            let bit = rng.random::<u32>() as usize;
            if copy >= copies || lost < self.loss {
                continue;
            }
            let mut bytes = bytes.clone();
            if flipped < self.flips && !bytes.is_empty() {
                let bit = bit % (8 * bytes.len());
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            arrive.push((late, bytes));
        }
        arrive
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cut(from: Option<&[usize]>, to: Option<&[usize]>, open: f64) -> Rule {
        let set = |s: Option<&[usize]>| s.map(|s| s.iter().copied().collect());
        Rule { from: set(from), to: set(to), crossing: true, does: Does::Cut { open } }
    }

    fn bad(does: Trouble) -> Rule {
        Rule { from: None, to: None, crossing: false, does: Does::Bad(does) }
    }

    #[test]
    fn whole_links_pass_everything_as_it_is_and_a_cut_one_nothing_whatever_else_is_wrong() {
        let mut links = Links::new(1);
        assert_eq!(links.pass(0, 1, b"one"), [(Duration::ZERO, b"one".to_vec())]);
        links.begin(7, cut(Some(&[0, 1]), None, 0.0));
        links.begin(8, bad(Trouble { copies: 1.0, ..Trouble::default() }));
        links.begin(9, cut(None, Some(&[2]), 0.0));
        let goes = |links: &mut Links, from, to| links.pass(from, to, b"x").len();
        // Out of the set is cut, within it and into it not; nobody reaches member 2.
        let all = [((0, 1), 2), ((0, 3), 0), ((3, 0), 2), ((3, 4), 2), ((3, 2), 0), ((0, 2), 0)];
        for ((from, to), copies) in all {
            assert_eq!(goes(&mut links, from, to), copies, "{from} to {to}");
        }
        // Faults that overlap end each for itself.
        links.end(7);
        assert_eq!((goes(&mut links, 0, 3), goes(&mut links, 0, 2)), (2, 0));
        links.end(9);
        links.end(8);
        assert_eq!(goes(&mut links, 0, 2), 1);
    }

    #[test]
    fn a_cut_that_is_partly_healed_leaves_the_same_pairs_open_each_way_by_itself() {
        let mut links = Links::new(3);
        links.begin(1, cut(Some(&[0, 1, 2, 3, 4, 5, 6, 7]), None, 0.3));
        let pairs: Vec<(usize, usize)> =
            (0..8).flat_map(|a| (8..40).map(move |b| (a, b))).collect();
        let open: Vec<bool> = pairs.iter().map(|(a, b)| !links.is_cut(*a, *b)).collect();
        let so_many = open.iter().filter(|o| **o).count();
        assert!((50..=105).contains(&so_many), "{so_many} of 256, for 0.3");
        for ((a, b), open) in pairs.iter().zip(&open) {
            assert_eq!(links.pass(*a, *b, b"x").len(), usize::from(*open), "{a} to {b}");
            assert_eq!(links.pass(*b, *a, b"x").len(), 1, "the way back is whole");
        }
    }

    #[test]
    fn a_bad_link_loses_doubles_delays_and_flips_as_often_as_asked() {
        let (delay, jitter) = (Duration::from_millis(20), Duration::from_millis(10));
        let mut links = Links::new(5);
        links.begin(1, bad(Trouble { loss: 0.2, delay, jitter, copies: 0.1, flips: 0.05 }));
        let (mut came, mut flipped, mut lost, mut doubled) = (0, 0, 0, 0);
        for _ in 0..10_000 {
            let copies = links.pass(0, 1, b"some words of a peer");
            match copies.len() {
                0 => lost += 1,
                1 => {}
                _ => doubled += 1,
            }
            for (late, bytes) in copies {
                came += 1;
                assert!(late >= delay && late <= delay + jitter, "{late:?}");
                let bits = |a: &[u8]| -> u32 {
                    a.iter().zip(b"some words of a peer").map(|(a, b)| (a ^ b).count_ones()).sum()
                };
                assert!(bits(&bytes) <= 1 && bytes.len() == 20);
                flipped += bits(&bytes);
            }
        }
        assert!((1850..=2150).contains(&lost), "{lost} lost");
        assert!((700..=900).contains(&doubled), "{doubled} doubled");
        assert!((360..=520).contains(&flipped), "{flipped} of {came} flipped");
    }

    #[test]
    fn chance_on_one_link_does_not_depend_on_what_others_carry() {
        let run = |others: bool| {
            let mut links = Links::new(9);
            links.begin(1, bad(Trouble { loss: 0.5, ..Trouble::default() }));
            let mut came = Vec::new();
            for i in 0..200u8 {
                if others {
                    links.pass(1, 0, b"back");
                    links.pass(2, 1, b"other");
                }
                came.push(links.pass(0, 1, &[i]).len());
            }
            came
        };
        assert_eq!(run(false), run(true));
        assert!(run(false).contains(&0));
    }
}
