//! The payload of a balancer's snapshot: the only module that spells its keys.

use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_recovery::{RestoredState, StartHistory, Trust, trust};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::members::List;

/// How far a time of an earlier start may lie in the future, since clocks differ. Beyond, its age is unknown.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// The age that counts for a list of unknown age: it takes upstreams out, and none is gone because it leaves it out.
const UNKNOWN_LIST_AGE: Duration = Duration::from_secs(24 * 3600);

/// What is saved. A key that another build does not know is lost there.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, expecting = "struct State")]
pub(super) struct Payload {
    pub(super) starts: StartHistory,
    /// Identifies what the numbers and names of the settings meant when the rest was saved; 0 by an older build.
    pub(super) meaning: u64,
    /// Estimates of the decision module.
    pub(super) learned: Option<Learned>,
    /// When these were learned, in milliseconds of Unix time. Restoring them does not renew it.
    pub(super) learned_ms: u64,
    /// The endpoint list that discovery delivered last. Shared with what is being saved: it is as long as the fleet is large.
    #[serde(serialize_with = "serialize_list", deserialize_with = "deserialize_list")]
    pub(super) list: Option<Arc<List>>,
    /// When that was, in milliseconds of Unix time.
    pub(super) list_ms: u64,
    /// Copy of operators' commands. `None`: by an older build, or no process was here before.
    #[serde(rename = "said")]
    pub(super) operator_copy: Option<OperatorStateCopy>,
}

impl Payload {
    /// Forgets the estimates and the list.
    pub(super) fn forget_fleet(&mut self) {
        self.learned = None;
        self.learned_ms = 0;
        self.list = None;
    }

    /// Whether the estimates have an age that can be known at `now` (Unix time).
    pub(super) fn has_known_learned_age(&self, now: Duration) -> bool {
        age(now, self.learned_ms).is_some()
    }

    /// The age of the list at `now` (Unix time).
    pub(super) fn list_age(&self, now: Duration) -> Duration {
        age(now, self.list_ms).unwrap_or(UNKNOWN_LIST_AGE)
    }

    /// The estimates that are trusted at this age. Others are dropped from the payload too.
    pub(super) fn take_trusted_estimates(&mut self, age: Duration) -> Option<Learned> {
        if trust(RestoredState::Fleet, age) != Trust::Full {
            self.learned = None;
        }
        let learned = self.learned.clone()?;
        let has_upstreams = trust(RestoredState::Upstreams, age) == Trust::Full;
        Some(if has_upstreams { learned } else { learned.without_upstreams() })
    }

    /// The copy of operators' commands, in every start mode and at any age of a snapshot. From here on it is not final: this
    /// process may take commands.
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

/// Time from `then_ms` (milliseconds of Unix time) to `now`; `None` where one of the two clocks must be wrong.
fn age(now: Duration, then_ms: u64) -> Option<Duration> {
    let then = Duration::from_millis(then_ms);
    (then <= now + MAX_CLOCK_SKEW).then(|| now.saturating_sub(then))
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
