//! The payload of a balancer's snapshot. No other module contains the keys of the payload.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_recovery::{RestoredState, StartHistory, Trust, trust};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::members::List;

/// Maximum time that a stored time may lie in the future, since clocks differ. Beyond this, the age of the stored state is
/// unknown.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Age assumed for a list of unknown age. A list of this age marks upstreams as draining, but does not remove upstreams that
/// it does not name.
const UNKNOWN_LIST_AGE: Duration = Duration::from_secs(24 * 3600);

/// The saved state. A build that does not know a key drops it.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, expecting = "struct State")]
pub(super) struct Payload {
    pub(super) starts: StartHistory,
    /// Hash that identifies the meaning of numbers and names in the settings at the time of the save; 0 from an older build.
    pub(super) meaning: u64,
    /// Estimates of the decision module.
    pub(super) learned: Option<Learned>,
    /// Time at which the estimates were learned, in milliseconds of Unix time. Restoring the estimates keeps this time.
    pub(super) learned_ms: u64,
    /// The last endpoint list from discovery. The list is shared with the save in progress, because its size is proportional
    /// to the number of upstreams.
    #[serde(serialize_with = "serialize_list", deserialize_with = "deserialize_list")]
    pub(super) list: Option<Arc<List>>,
    /// Time at which the list was last known to be current, in milliseconds of Unix time.
    pub(super) list_ms: u64,
    /// Copy of operator commands. `None` if an older build saved the payload, or if there was no previous process.
    #[serde(rename = "said")]
    pub(super) operator_copy: Option<OperatorStateCopy>,
}

impl Payload {
    /// Discards the estimates and the list.
    pub(super) fn discard_estimates_and_list(&mut self) {
        self.learned = None;
        self.learned_ms = 0;
        self.list = None;
    }

    /// Returns whether the age of the estimates at `now` (Unix time) is known.
    pub(super) fn has_known_learned_age(&self, now: Duration) -> bool {
        age(now, self.learned_ms).is_some()
    }

    /// Returns the age of the list at `now` (Unix time).
    pub(super) fn list_age(&self, now: Duration) -> Duration {
        age(now, self.list_ms).unwrap_or(UNKNOWN_LIST_AGE)
    }

    /// Returns the estimates that are trusted at this age. If none are trusted, removes the estimates from the payload.
    pub(super) fn take_trusted_estimates(&mut self, age: Duration) -> Option<Learned> {
        if trust(RestoredState::Fleet, age) != Trust::Full {
            self.learned = None;
        }
        let learned = self.learned.clone()?;
        let has_upstreams = trust(RestoredState::Upstreams, age) == Trust::Full;
        Some(if has_upstreams { learned } else { learned.without_upstreams() })
    }

    /// Returns the copy of operator commands, which applies in every start mode and at any age of the snapshot. Marks the
    /// copy in the payload as not final, because this process may accept further commands.
    pub(super) fn recovered_copy(&mut self, set_aside: &[String]) -> RecoveredCopy {
        match &mut self.operator_copy {
            Some(copy) => {
                let recovered = copy.clone();
                copy.is_final = false;
                RecoveredCopy::Found(recovered)
            }
            None if set_aside.is_empty() => RecoveredCopy::Absent,
            None => RecoveredCopy::Lost(set_aside.join("; ")),
        }
    }
}

/// Returns the time from `stored_ms` (milliseconds of Unix time) to `now`, or `None` if one of the two clocks must be wrong.
fn age(now: Duration, stored_ms: u64) -> Option<Duration> {
    let stored_at = Duration::from_millis(stored_ms);
    (stored_at <= now + MAX_CLOCK_SKEW).then(|| now.saturating_sub(stored_at))
}

fn serialize_list<S: Serializer>(
    list: &Option<Arc<List>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    list.as_deref().serialize(serializer)
}

fn deserialize_list<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Arc<List>>, D::Error> {
    Ok(Option::<List>::deserialize(deserializer)?.map(Arc::new))
}
