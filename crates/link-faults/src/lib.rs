//! Fault injection for datagram links between the members of a set. The links are a pure state machine: a datagram goes
//! in, and the copies that arrive come out. A simulated network and a relay between real processes inject the same faults
//! by it.
//!
//! Three properties hold for all overlapping faults, and a test of this crate covers each:
//! - A datagram on a link that any rule cuts does not arrive.
//! - A datagram to which no rule applies arrives once, without delay and unchanged.
//! - The random faults of an ordered pair of members depend only on the seed, the pair and the datagrams sent from the
//!   first member to the second.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

/// Numbers of the members to which a rule applies.
pub type Set = std::collections::BTreeSet<usize>;

/// The effect of a rule on the datagrams of its links.
#[derive(Clone, Debug, PartialEq)]
pub enum Does {
    /// Drops all datagrams, except on a random share of the ordered pairs. Each pair is sampled once per rule.
    Cut {
        /// Share of the ordered pairs that stay open, 0 to 1.
        open: f64,
    },
    /// Delivers datagrams as an unreliable network does.
    Bad(Trouble),
}

/// Faults of an unreliable network. Each share is a probability per datagram, 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trouble {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Delay of each datagram.
    pub delay: Duration,
    /// Maximum of an additional, uniformly distributed delay, which reorders datagrams.
    pub jitter: Duration,
    /// Share of the datagrams that are duplicated. Each of the two copies has its own jitter.
    pub copies: f64,
    /// Share of the datagrams in which one bit is flipped.
    pub flips: f64,
}

/// A rule: the links to which it applies, and its effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Senders; `None` for all.
    pub from: Option<Set>,
    /// Receivers; `None` for all.
    pub to: Option<Set>,
    /// Whether the rule exempts links between two members of `from` and links between two members of `to`.
    pub crossing: bool,
    /// Effect on the datagrams of these links.
    pub does: Does,
}

impl Rule {
    fn applies_to(&self, from: usize, to: usize) -> bool {
        let contains = |set: &Option<Set>, n| set.as_ref().is_none_or(|s| s.contains(&n));
        let contains_both =
            |set: &Option<Set>| set.as_ref().is_some_and(|s| s.contains(&from) && s.contains(&to));
        contains(&self.from, from)
            && contains(&self.to, to)
            && !(self.crossing && (contains_both(&self.from) || contains_both(&self.to)))
    }
}

/// All links between members, and the rules in force.
#[derive(Debug)]
pub struct Links {
    seed: u64,
    rules: Vec<(usize, Rule)>,
    /// Random number generators of the ordered pairs.
    rngs: FxHashMap<(usize, usize), ChaCha8Rng>,
}

/// Bit that separates the RNG streams that sample open pairs from those that sample datagram faults.
const OPEN_STREAM: u64 = 1 << 63;

impl Links {
    /// Creates links without faults.
    pub fn new(seed: u64) -> Self {
        Self { seed, rules: Vec::new(), rngs: FxHashMap::default() }
    }

    /// Adds a rule under a key that the caller chooses. Several rules can share a key.
    pub fn begin(&mut self, key: usize, rule: Rule) {
        self.rules.push((key, rule));
    }

    /// Removes the rules of a key.
    pub fn end(&mut self, key: usize) {
        self.rules.retain(|(k, _)| *k != key);
    }

    fn rng_stream(&self, from: usize, to: usize, kind: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(kind | (from as u64) << 24 | to as u64);
        rng
    }

    /// Returns whether any rule cuts the link from one member to another.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.rules.iter().any(|(key, rule)| match rule.does {
            Does::Cut { open } if rule.applies_to(from, to) => {
                // Each rule has its own sample of a pair, which stays the same while the rule is in force.
                open <= 0.0
                    || self.rng_stream(from, to, OPEN_STREAM | (*key as u64) << 48).random::<f64>()
                        >= open
            }
            _ => false,
        })
    }

    /// Returns the copies of a datagram that arrive, each with its additional delay.
    pub fn pass(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let mut arriving = vec![(Duration::ZERO, bytes.to_vec())];
        let matching = self.rules.iter().filter(|(_, r)| r.applies_to(from, to));
        let faults: Vec<Trouble> = matching
            .filter_map(|(_, r)| if let Does::Bad(t) = &r.does { Some(t.clone()) } else { None })
            .collect();
        if faults.is_empty() {
            return arriving;
        }
        let new_rng = self.rng_stream(from, to, 0);
        let rng = self.rngs.entry((from, to)).or_insert(new_rng);
        for fault in faults {
            arriving = arriving.into_iter().flat_map(|copy| fault.apply(copy, rng)).collect();
        }
        arriving
    }
}

impl Trouble {
    /// Applies the faults to one copy. Returns the copies that arrive, each with its additional delay.
    fn apply(
        &self,
        (delay, bytes): (Duration, Vec<u8>),
        rng: &mut impl Rng,
    ) -> Vec<(Duration, Vec<u8>)> {
        // The number of samples is constant, so that a changed share does not alter the outcome of the other faults.
        let [loss_sample, copy_sample, flip_sample] = [(); 3].map(|()| rng.random::<f64>());
        let copies = if copy_sample < self.copies { 2 } else { 1 };
        let mut arriving = Vec::with_capacity(copies);
        for copy in 0..2 {
            let delay = delay + self.delay + self.jitter.mul_f64(rng.random());
            let bit = rng.random::<u32>() as usize;
            if copy >= copies || loss_sample < self.loss {
                continue;
            }
            let mut bytes = bytes.clone();
            if flip_sample < self.flips && !bytes.is_empty() {
                let bit = bit % (8 * bytes.len());
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            arriving.push((delay, bytes));
        }
        arriving
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cut_rule(from: Option<&[usize]>, to: Option<&[usize]>, open: f64) -> Rule {
        let set = |members: Option<&[usize]>| members.map(|m| m.iter().copied().collect());
        Rule { from: set(from), to: set(to), crossing: true, does: Does::Cut { open } }
    }

    fn bad_rule(faults: Trouble) -> Rule {
        Rule { from: None, to: None, crossing: false, does: Does::Bad(faults) }
    }

    #[test]
    fn intact_links_pass_datagrams_unchanged_and_cut_links_pass_none_despite_other_faults() {
        let mut links = Links::new(1);
        assert_eq!(links.pass(0, 1, b"one"), [(Duration::ZERO, b"one".to_vec())]);
        links.begin(7, cut_rule(Some(&[0, 1]), None, 0.0));
        links.begin(8, bad_rule(Trouble { copies: 1.0, ..Trouble::default() }));
        links.begin(9, cut_rule(None, Some(&[2]), 0.0));
        let arrivals = |links: &mut Links, from, to| links.pass(from, to, b"x").len();
        // Links out of the set are cut, but not those within it or into it. All links to member 2 are cut.
        let cases = [((0, 1), 2), ((0, 3), 0), ((3, 0), 2), ((3, 4), 2), ((3, 2), 0), ((0, 2), 0)];
        for ((from, to), copies) in cases {
            assert_eq!(arrivals(&mut links, from, to), copies, "{from} to {to}");
        }
        // Overlapping faults end independently.
        links.end(7);
        assert_eq!((arrivals(&mut links, 0, 3), arrivals(&mut links, 0, 2)), (2, 0));
        links.end(9);
        links.end(8);
        assert_eq!(arrivals(&mut links, 0, 2), 1);
    }

    #[test]
    fn a_partial_cut_keeps_the_same_pairs_open_in_each_direction_independently() {
        let mut links = Links::new(3);
        links.begin(1, cut_rule(Some(&[0, 1, 2, 3, 4, 5, 6, 7]), None, 0.3));
        let pairs: Vec<(usize, usize)> =
            (0..8).flat_map(|a| (8..40).map(move |b| (a, b))).collect();
        let open: Vec<bool> = pairs.iter().map(|(a, b)| !links.is_cut(*a, *b)).collect();
        let open_count = open.iter().filter(|o| **o).count();
        assert!((50..=105).contains(&open_count), "{open_count} of 256, for 0.3");
        for ((a, b), open) in pairs.iter().zip(&open) {
            assert_eq!(links.pass(*a, *b, b"x").len(), usize::from(*open), "{a} to {b}");
            assert_eq!(links.pass(*b, *a, b"x").len(), 1, "the reverse link is intact");
        }
    }

    #[test]
    fn a_bad_link_loses_duplicates_delays_and_flips_at_the_configured_rates() {
        let (delay, jitter) = (Duration::from_millis(20), Duration::from_millis(10));
        let mut links = Links::new(5);
        links.begin(1, bad_rule(Trouble { loss: 0.2, delay, jitter, copies: 0.1, flips: 0.05 }));
        let (mut arrived, mut flipped, mut lost, mut duplicated) = (0, 0, 0, 0);
        for _ in 0..10_000 {
            let copies = links.pass(0, 1, b"some words of a peer");
            match copies.len() {
                0 => lost += 1,
                1 => {}
                _ => duplicated += 1,
            }
            for (copy_delay, bytes) in copies {
                arrived += 1;
                assert!(copy_delay >= delay && copy_delay <= delay + jitter, "{copy_delay:?}");
                let flipped_bits = |a: &[u8]| -> u32 {
                    a.iter().zip(b"some words of a peer").map(|(a, b)| (a ^ b).count_ones()).sum()
                };
                assert!(flipped_bits(&bytes) <= 1 && bytes.len() == 20);
                flipped += flipped_bits(&bytes);
            }
        }
        assert!((1850..=2150).contains(&lost), "{lost} lost");
        assert!((700..=900).contains(&duplicated), "{duplicated} duplicated");
        assert!((360..=520).contains(&flipped), "{flipped} of {arrived} flipped");
    }

    #[test]
    fn random_faults_of_one_link_do_not_depend_on_traffic_of_other_links() {
        let arrivals = |has_other_traffic: bool| {
            let mut links = Links::new(9);
            links.begin(1, bad_rule(Trouble { loss: 0.5, ..Trouble::default() }));
            let mut arrived = Vec::new();
            for i in 0..200u8 {
                if has_other_traffic {
                    links.pass(1, 0, b"back");
                    links.pass(2, 1, b"other");
                }
                arrived.push(links.pass(0, 1, &[i]).len());
            }
            arrived
        };
        assert_eq!(arrivals(false), arrivals(true));
        assert!(arrivals(false).contains(&0));
    }
}
