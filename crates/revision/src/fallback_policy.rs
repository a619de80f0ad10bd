//! What no revision can forbid: pods, and the fewest attempts. Which charter holds at which time is the
//! book's to say.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{MAX_ATTEMPTS, MAX_LISTED_CELLS, MAX_LISTED_UPSTREAMS, MAX_NAME_BYTES};
use crate::rules::Place;

/// What no revision can forbid. A balancer whose lease has ended keeps to it, for as long as it takes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FallbackPolicy {
    /// Every class may be sent there.
    #[serde(rename = "pods")]
    pub cells: BTreeSet<u32>,
    /// But to these upstreams of them: so that one of them can be cordoned without its whole pod.
    #[serde(default)]
    pub except: BTreeSet<String>,
    /// So many attempts a request may have, 1 to [`MAX_ATTEMPTS`].
    pub attempts: u8,
}

impl Default for FallbackPolicy {
    fn default() -> Self {
        Self { cells: BTreeSet::new(), except: BTreeSet::new(), attempts: 1 }
    }
}

/// Why something is no charter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum FallbackPolicyError {
    /// One field is outside its bounds.
    #[error("checking the charter: `{field}` is {found}; expected {expected}")]
    Field {
        /// Which.
        field: String,
        /// What stands there.
        found: String,
        /// What may stand there.
        expected: String,
    },
    /// A balancer that forgot everything would act on what this doesn't allow.
    #[error("the charter leaves out {what}, which is bedrock; expected all of it: keep that")]
    MandatoryFallback {
        /// What.
        what: String,
    },
}

impl FallbackPolicy {
    /// Whether it is within all bounds and holds the bedrock.
    ///
    /// # Errors
    /// What isn't.
    pub fn check(&self, mandatory_fallback: &Self) -> Result<(), FallbackPolicyError> {
        let field = |field: &str, found: String, expected: &str| {
            Err(FallbackPolicyError::Field {
                field: field.into(),
                found,
                expected: expected.into(),
            })
        };
        if self.cells.len() > MAX_LISTED_CELLS {
            return field("pods", format!("{} long", self.cells.len()), "512 at most");
        }
        if self.except.len() > MAX_LISTED_UPSTREAMS {
            return field("except", format!("{} long", self.except.len()), "512 at most");
        }
        if self.except.iter().any(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            return field("except", "a name that can't be".into(), "names of 1 to 64 bytes");
        }
        if !(1..=MAX_ATTEMPTS).contains(&self.attempts) {
            return field("attempts", self.attempts.to_string(), "1 to 3");
        }
        if let Some(cell) = mandatory_fallback.cells.difference(&self.cells).next() {
            return Err(FallbackPolicyError::MandatoryFallback { what: format!("pod {cell}") });
        }
        if self.attempts < mandatory_fallback.attempts {
            return Err(FallbackPolicyError::MandatoryFallback {
                what: format!("{} attempts", mandatory_fallback.attempts),
            });
        }
        Ok(())
    }

    /// Whether it allows sending there.
    pub fn allows(&self, place: &Place<'_>) -> bool {
        self.cells.contains(&place.cell) && !self.except.contains(place.name)
    }

    /// What both allow.
    pub fn meet(&self, other: &Self) -> Self {
        Self {
            cells: self.cells.intersection(&other.cells).copied().collect(),
            except: self.except.union(&other.except).cloned().collect(),
            attempts: self.attempts.min(other.attempts),
        }
    }

    /// A third of each site's pods, rounded up, by rendezvous hashing: one pod more or fewer changes no
    /// other's place.
    pub fn third(zones: &BTreeMap<String, BTreeSet<u32>>, attempts: u8) -> Self {
        Self { cells: chosen(zones, |cells| cells.div_ceil(3)), except: BTreeSet::new(), attempts }
    }

    /// One pod of each site, the first of those that [`FallbackPolicy::third`] chooses.
    pub fn mandatory_fallback(zones: &BTreeMap<String, BTreeSet<u32>>) -> Self {
        Self { cells: chosen(zones, |_| 1), except: BTreeSet::new(), attempts: 1 }
    }
}

/// What no revision can forbid at a time: while a charter changes, what either of the two allows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FallbackFloor(Vec<FallbackPolicy>);

impl FallbackFloor {
    /// One charter.
    pub fn of(fallback_policy: FallbackPolicy) -> Self {
        Self(vec![fallback_policy])
    }

    /// What either allows.
    pub fn either(one: FallbackPolicy, other: FallbackPolicy) -> Self {
        Self(if one == other { vec![one] } else { vec![one, other] })
    }

    /// Whether a charter of it allows sending there.
    pub fn allows(&self, place: &Place<'_>) -> bool {
        self.0.iter().any(|c| c.allows(place))
    }

    /// Whether a charter of it is about this pod.
    pub fn holds(&self, cell: u32) -> bool {
        self.0.iter().any(|c| c.cells.contains(&cell))
    }

    /// So many attempts can't be forbidden.
    pub fn attempts(&self) -> u8 {
        self.0.iter().map(|c| c.attempts).max().unwrap_or(1)
    }
}

/// The first so many pods of each site, by their hash.
fn chosen(zones: &BTreeMap<String, BTreeSet<u32>>, many: impl Fn(usize) -> usize) -> BTreeSet<u32> {
    let mut all = BTreeSet::new();
    for (zone, cells) in zones {
        let mut ranked: Vec<(u64, u32)> =
            cells.iter().map(|cell| (hash(zone, *cell), *cell)).collect();
        ranked.sort_unstable();
        all.extend(ranked.iter().take(many(cells.len())).map(|(_, cell)| cell));
    }
    all
}

/// FNV-1a with the finisher of SplitMix64: the same on every machine and in every build.
fn hash(zone: &str, cell: u32) -> u64 {
    let bytes = zone.bytes().chain([0]).chain(cell.to_le_bytes());
    let mut h = bytes
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
