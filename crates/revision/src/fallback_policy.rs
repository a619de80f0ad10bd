//! The fallback policy: the sends that no revision can forbid, and that a balancer without a lease is limited to. The
//! module [`policy_state`](crate::policy_state) decides which fallback policy is in force at a given time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{MAX_ATTEMPTS, MAX_LISTED_CELLS, MAX_LISTED_UPSTREAMS, MAX_NAME_BYTES};
use crate::place::Place;

/// The sends that no revision can forbid. A balancer whose lease has ended is limited to them until it has a lease
/// again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FallbackPolicy {
    /// Cells that every class may be sent to.
    #[serde(rename = "pods")]
    pub cells: BTreeSet<u32>,
    /// Upstreams of these cells that are not included, so that one upstream can be cordoned without its whole cell.
    #[serde(default)]
    pub except: BTreeSet<String>,
    /// Number of attempts that no revision can deny a request, 1 to [`MAX_ATTEMPTS`].
    pub attempts: u8,
}

impl Default for FallbackPolicy {
    fn default() -> Self {
        Self { cells: BTreeSet::new(), except: BTreeSet::new(), attempts: 1 }
    }
}

/// An error while checking a fallback policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum FallbackPolicyError {
    /// A field is outside its bounds.
    #[error("checking the charter: `{field}` is {found}; expected {expected}")]
    Field {
        /// Name of the field.
        field: String,
        /// The value of the field.
        found: String,
        /// The allowed values.
        expected: String,
    },
    /// Part of the mandatory fallback is missing. A balancer that has lost all state acts on the mandatory fallback,
    /// and would contradict the policy.
    #[error("the charter leaves out {what}, which is bedrock; expected all of it: keep that")]
    MandatoryFallback {
        /// The missing part.
        what: String,
    },
}

impl FallbackPolicy {
    /// Checks the bounds of all fields, and that nothing of `mandatory_fallback` is missing.
    ///
    /// # Errors
    /// If a field is outside its bounds or a part of `mandatory_fallback` is missing. The error describes the first
    /// check that fails.
    pub fn check(&self, mandatory_fallback: &Self) -> Result<(), FallbackPolicyError> {
        self.check_fields()?;
        let missing = |what: String| Err(FallbackPolicyError::MandatoryFallback { what });
        if let Some(cell) = mandatory_fallback.cells.difference(&self.cells).next() {
            return missing(format!("pod {cell}"));
        }
        if self.attempts < mandatory_fallback.attempts {
            return missing(format!("{} attempts", mandatory_fallback.attempts));
        }
        Ok(())
    }

    fn check_fields(&self) -> Result<(), FallbackPolicyError> {
        let field_error = |field: &str, found: String, expected: &str| {
            Err(FallbackPolicyError::Field {
                field: field.into(),
                found,
                expected: expected.into(),
            })
        };
        if self.cells.len() > MAX_LISTED_CELLS {
            return field_error("pods", format!("{} long", self.cells.len()), "512 at most");
        }
        if self.except.len() > MAX_LISTED_UPSTREAMS {
            return field_error("except", format!("{} long", self.except.len()), "512 at most");
        }
        if self.except.iter().any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return field_error("except", "a name that can't be".into(), "names of 1 to 64 bytes");
        }
        if !(1..=MAX_ATTEMPTS).contains(&self.attempts) {
            return field_error("attempts", self.attempts.to_string(), "1 to 3");
        }
        Ok(())
    }

    /// Returns whether the policy allows sending to this upstream.
    pub fn allows(&self, place: &Place<'_>) -> bool {
        self.cells.contains(&place.cell) && !self.except.contains(place.name)
    }

    /// Returns the intersection: the policy that allows what both policies allow.
    pub fn intersection(&self, other: &Self) -> Self {
        Self {
            cells: self.cells.intersection(&other.cells).copied().collect(),
            except: self.except.union(&other.except).cloned().collect(),
            attempts: self.attempts.min(other.attempts),
        }
    }

    /// Returns the usual fallback policy: a third of each zone's cells, rounded up, chosen by rendezvous hashing.
    /// Adding or removing one cell changes the choice among the others as little as possible.
    pub fn third(zones: &BTreeMap<String, BTreeSet<u32>>, attempts: u8) -> Self {
        let cells = choose_cells(zones, |cells| cells.div_ceil(3));
        Self { cells, except: BTreeSet::new(), attempts }
    }

    /// Returns the usual mandatory fallback: one cell of each zone, the first of those that [`FallbackPolicy::third`]
    /// chooses.
    pub fn mandatory_fallback(zones: &BTreeMap<String, BTreeSet<u32>>) -> Self {
        Self { cells: choose_cells(zones, |_| 1), except: BTreeSet::new(), attempts: 1 }
    }
}

/// The sends that no revision can forbid at a given time. While the fallback policy changes, these are the sends that
/// the old or the new policy allows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FallbackFloor(Vec<FallbackPolicy>);

impl FallbackFloor {
    /// Returns the floor of one policy.
    pub fn of(fallback_policy: FallbackPolicy) -> Self {
        Self(vec![fallback_policy])
    }

    /// Returns the floor that allows what either policy allows.
    pub fn union(one: FallbackPolicy, other: FallbackPolicy) -> Self {
        Self(if one == other { vec![one] } else { vec![one, other] })
    }

    /// Returns whether one of the policies allows sending to this upstream.
    pub fn allows(&self, place: &Place<'_>) -> bool {
        self.0.iter().any(|policy| policy.allows(place))
    }

    /// Returns whether one of the policies includes this cell.
    pub fn includes_cell(&self, cell: u32) -> bool {
        self.0.iter().any(|policy| policy.cells.contains(&cell))
    }

    /// Returns the number of attempts that no revision can deny a request.
    pub fn attempts(&self) -> u8 {
        self.0.iter().map(|policy| policy.attempts).max().unwrap_or(1)
    }
}

/// Chooses `count(number of cells)` cells of each zone: those with the lowest hashes.
fn choose_cells(
    zones: &BTreeMap<String, BTreeSet<u32>>,
    count: impl Fn(usize) -> usize,
) -> BTreeSet<u32> {
    let mut chosen = BTreeSet::new();
    for (zone, cells) in zones {
        let mut ranked: Vec<(u64, u32)> =
            cells.iter().map(|cell| (hash_cell(zone, *cell), *cell)).collect();
        ranked.sort_unstable();
        chosen.extend(ranked.iter().take(count(cells.len())).map(|(_, cell)| cell));
    }
    chosen
}

/// Hashes a cell by FNV-1a with the finalizer of SplitMix64. The result is the same on every machine and in every
/// build.
fn hash_cell(zone: &str, cell: u32) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let bytes = zone.bytes().chain([0]).chain(cell.to_le_bytes());
    let mut hash =
        bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
