//! Looks on while a bank is played, and says what must never be: contradictions beyond T, two under leases that forbid
//! each other's sends, a lease of a stage that is over, books that differ. It asks what may be sent, as a request
//! would, and shares nothing with how the machines decide that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_revision::in_force::View;
use hollowpaddle_revision::message::Generation;
use hollowpaddle_revision::rules::{Place, Rules};
use std::sync::Arc;

use crate::world::{Node, PODS};

/// The promise: nobody sends for longer than this what another holds to be forbidden.
pub const T: Duration = Duration::from_secs(3);
const CLASSES: [&str; 2] = ["a", "b"];
/// Faults beyond so many are not written down: the first say it.
const FAULTS: usize = 20;

/// What one may send: a bit for each pod and class, and two for attempts.
fn sends(rules: &Rules) -> u32 {
    let mut bits = 0;
    for cell in 1..=PODS {
        let zone = if cell <= PODS / 2 { "bilbao" } else { "oviedo" };
        for (number, class) in CLASSES.iter().enumerate() {
            let place = Place { name: "u", cell, machine_type: "f", zone };
            if rules.permits(&place, class) {
                bits |= 1 << (cell as usize * CLASSES.len() + number);
            }
        }
    }
    for attempts in 2..=3 {
        if rules.attempts() >= attempts {
            bits |= 1 << (20 + attempts);
        }
    }
    bits
}

#[derive(Clone, Debug, Default)]
struct Seen {
    rules: Option<(Arc<Rules>, u32)>,
    fallback_policy: Option<(Arc<Rules>, u32)>,
    /// Up to where its book is, and the last stage that is confirmed by it.
    at: (u32, u64),
    /// Since when it sends what another forbids, by bit.
    since: BTreeMap<u32, Duration>,
}

/// What stands in one book of one revision: by which question, and a digest of its content.
type Stands = (u64, String);

/// The judge.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    seen: Vec<Seen>,
    /// The latest stage of which a book says that nobody acts on an older one.
    confirmed: Generation,
    /// By epoch and number.
    revisions: BTreeMap<(u32, u64), Stands>,
    /// What must never be, as found.
    pub faults: Vec<String>,
    /// The longest contradiction.
    pub longest: Duration,
    /// Looks, and how many of them found somebody past its lease.
    pub looks: (u64, u64),
    /// Looks that found two under leases at different stages: without those nothing is shown.
    pub apart: u64,
}

impl Judge {
    /// For so many balancers.
    pub fn new(size: u16) -> Self {
        Self { seen: vec![Seen::default(); usize::from(size)], ..Self::default() }
    }

    /// Something that must never be.
    pub fn fault(&mut self, now: Duration, what: String) {
        if self.faults.len() < FAULTS {
            self.faults.push(format!("{} ms: {what}", now.as_millis()));
        }
    }

    /// A process ended, or stands still: it sends nothing.
    pub fn gone(&mut self, at: u16) {
        let seen = &mut self.seen[usize::from(at)];
        seen.since.clear();
        (seen.rules, seen.fallback_policy, seen.at) = (None, None, (0, 0));
    }

    /// Logs in which a revision was seen.
    pub fn epochs(&self) -> usize {
        let epochs: BTreeSet<u32> = self.revisions.keys().map(|(epoch, _)| *epoch).collect();
        epochs.len()
    }

    /// After an event at one of them; whether all are to be looked at.
    pub fn changed(&mut self, at: u16, now: Duration, node: &Node) -> bool {
        let (Some(machine), Some(published)) = (&node.machine, &node.published) else {
            return true;
        };
        let seen = &mut self.seen[usize::from(at)];
        let digest = |known: &mut Option<(Arc<Rules>, u32)>, rules: &Arc<Rules>| {
            if known.as_ref().is_none_or(|(r, _)| !std::sync::Arc::ptr_eq(r, rules)) {
                *known = Some((rules.clone(), sends(rules)));
                return true;
            }
            false
        };
        let mut changed = digest(&mut seen.rules, &published.rules);
        changed |= digest(&mut seen.fallback_policy, &published.fallback_policy);
        let learned = machine.learner().at();
        let policy = (learned.epoch(), learned.op());
        if seen.at != policy {
            changed = true;
            if seen.at.0 > policy.0 || seen.at.0 == policy.0 && seen.at.1 > policy.1 {
                let (a, b) = (seen.at, policy);
                self.fault(now, format!("{at} goes back from entry {a:?} to {b:?}"));
            }
            let seen = &mut self.seen[usize::from(at)];
            let new = policy.0 != seen.at.0;
            let from = if new { 0 } else { seen.at.1 };
            seen.at = policy;
            let status = machine.policy().status();
            if !status.unconfirmed {
                let generation = Generation { epoch: policy.0, index: status.generation };
                self.confirmed = self.confirmed.max(generation);
            }
            for (number, kept) in machine.policy().revisions().rev().take_while(|(n, _)| *n > from)
            {
                let stands = (number, format!("{:?} {:?}", kept.origin, kept.document));
                let first =
                    self.revisions.entry((policy.0, number)).or_insert_with(|| stands.clone());
                if *first != stands {
                    let what = format!(
                        "{at} has another revision {number} than others: {stands:?}, {first:?}"
                    );
                    self.fault(now, what);
                }
            }
        }
        changed
    }

    /// All that act at one moment.
    pub fn look(&mut self, now: Duration, nodes: &[Node]) {
        let mut known: Vec<(u32, Generation, usize)> = Vec::new();
        let mut acts: Vec<(usize, u32)> = Vec::new();
        for (at, node) in nodes.iter().enumerate() {
            let (Some(published), true) = (&node.published, node.paused <= now) else { continue };
            if node.machine.is_none() {
                continue;
            }
            let seen = &self.seen[at];
            let agreed = matches!(published.at(node.clock(now)), View::Agreed(..));
            self.looks.0 += 1;
            let of = if agreed { &seen.rules } else { &seen.fallback_policy };
            let Some((_, bits)) = of else { continue };
            acts.push((at, *bits));
            if agreed {
                known.push((*bits, published.generation, at));
            } else {
                self.looks.1 += 1;
            }
        }
        let newest = known.iter().map(|k| k.1).max().unwrap_or_default();
        let oldest = known.iter().map(|k| k.1).min().unwrap_or_default();
        self.apart += u64::from(newest != oldest);
        for (_, generation, at) in &known {
            if generation.epoch == self.confirmed.epoch && *generation < self.confirmed {
                let over = self.confirmed;
                self.fault(
                    now,
                    format!("{at} holds a lease at {generation:?}, and {over:?} is confirmed"),
                );
            }
        }
        let mut sets: Vec<(u32, usize)> = known.iter().map(|k| (k.0, k.2)).collect();
        sets.sort_unstable();
        sets.dedup_by_key(|s| s.0);
        for (a, i) in &sets {
            for (b, j) in &sets {
                if i < j && a & !b != 0 && b & !a != 0 {
                    self.fault(
                        now,
                        format!(
                            "{i} and {j} under leases each send what the other forbids: {a:x} {b:x}"
                        ),
                    );
                }
            }
        }
        let forbidden = sets.iter().fold(0, |all, (bits, _)| all | !bits);
        let mut beyond = None;
        for (at, bits) in acts {
            let wrong = bits & forbidden;
            let since = &mut self.seen[at].since;
            since.retain(|bit, _| wrong & (1 << bit) != 0);
            for bit in (0..32).filter(|bit| wrong & (1 << bit) != 0) {
                let began = *since.entry(bit).or_insert(now);
                let time = now - began;
                self.longest = self.longest.max(time);
                if time > T {
                    beyond = Some((at, bit, time));
                }
            }
        }
        if let Some((at, bit, time)) = beyond {
            self.fault(now, format!("{at} sends {bit} for {time:?}, which another forbids"));
        }
    }
}
