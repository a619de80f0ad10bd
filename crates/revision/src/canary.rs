//! Decides when a canary revision is rolled back; the leader supplies time and metrics, and proposes the rollback.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The terms on which a revision runs as a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CanaryTerms {
    /// The revision is rolled back unless it is confirmed within this time after it came into force; in seconds, 1 to
    /// [`MAX_CANARY_SECONDS`].
    pub seconds: u32,
    /// The revision is rolled back when the priority weight served by the cluster falls by more than this; in
    /// thousandths, 1 to 1000. At 1000 it is never rolled back for this reason.
    pub fall: u16,
}

/// The longest canary, in seconds.
pub const MAX_CANARY_SECONDS: u32 = 3600;
/// No fall is looked for in this time after a revision came into force, so that earlier requests can finish.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// The unit of [`CanaryTerms::fall`]: so many parts make the whole.
const THOUSANDTHS: u16 = 1000;

/// Priority weight served by the whole cluster, in thousandths per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CanaryMetric {
    /// Mean weight served over a period before the revision came into force.
    pub served_before: u64,
    /// Mean weight served over a period since.
    pub served_since: u64,
    /// Mean weight offered before. A cluster that is offered half as much serves half as much by no fault of a
    /// revision.
    pub offered_before: u64,
    /// Mean weight offered since.
    pub offered_since: u64,
}

/// Why a canary was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RollbackCause {
    /// Nobody confirmed it in time.
    NotConfirmed,
    /// The served share of the offered weight fell by so many thousandths.
    ServedWorthFell(u16),
}

impl CanaryMetric {
    /// How far the served share of the offered weight has fallen, in thousandths; `None` without data of both periods.
    fn fall(&self) -> Option<u16> {
        let before = served_share(self.served_before, self.offered_before)?;
        let since = served_share(self.served_since, self.offered_since)?;
        let fall = f64::from(THOUSANDTHS) * (1.0 - since / before);
        (before > 0.0).then(|| fall.clamp(0.0, f64::from(THOUSANDTHS)) as u16)
    }
}

fn served_share(served: u64, offered: u64) -> Option<f64> {
    (offered > 0).then(|| served as f64 / offered as f64)
}

impl CanaryTerms {
    /// Whether the terms are within their bounds.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_CANARY_SECONDS).contains(&self.seconds) && (1..=THOUSANDTHS).contains(&self.fall)
    }

    /// Whether, and why, a canary that has been in force for `since` without a confirmation is to be rolled back.
    /// Without a metric only the time decides.
    pub fn rollback_cause(
        &self,
        since: Duration,
        metric: Option<CanaryMetric>,
    ) -> Option<RollbackCause> {
        let metric = metric.filter(|_| since >= SETTLE_TIME);
        if let Some(fall) = metric.and_then(|metric| metric.fall())
            && fall > self.fall
        {
            return Some(RollbackCause::ServedWorthFell(fall));
        }
        let time_limit = Duration::from_secs(u64::from(self.seconds));
        (since >= time_limit).then_some(RollbackCause::NotConfirmed)
    }
}
