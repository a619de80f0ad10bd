//! Decides when a canary revision is rolled back. The leader supplies the time and the metrics, and proposes the
//! rollback.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The terms on which a revision runs as a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CanaryTerms {
    /// Time after the revision came into force at which it is rolled back unless it has been confirmed; in seconds, 1
    /// to [`MAX_CANARY_SECONDS`].
    pub seconds: u32,
    /// Fall of the served share of the offered priority weight beyond which the revision is rolled back; in
    /// thousandths, 1 to 1000. At 1000 the revision is never rolled back for a fall.
    pub fall: u16,
}

/// Maximum duration of a canary, in seconds.
pub const MAX_CANARY_SECONDS: u32 = 3600;
/// Time after a revision came into force during which the metric is ignored, so that earlier requests can finish.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of units of [`CanaryTerms::fall`] in the whole.
const THOUSANDTHS: u16 = 1000;

/// Priority weight offered to and served by the whole cluster, in thousandths per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CanaryMetric {
    /// Mean weight served during a period before the revision came into force.
    pub served_before: u64,
    /// Mean weight served during a period after the revision came into force.
    pub served_since: u64,
    /// Mean weight offered during the period before. A cluster that is offered half as much serves half as much,
    /// without any fault of the revision.
    pub offered_before: u64,
    /// Mean weight offered during the period after.
    pub offered_since: u64,
}

/// The cause for which a canary was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RollbackCause {
    /// The canary was not confirmed in time.
    NotConfirmed,
    /// The served share of the offered priority weight fell by this many thousandths.
    #[serde(rename = "ServedWorthFell")]
    ServedWeightFell(u16),
}

impl CanaryMetric {
    /// Returns the fall of the served share of the offered weight, in thousandths; `None` without data of both periods.
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
    /// Returns whether the terms are within their bounds.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_CANARY_SECONDS).contains(&self.seconds) && (1..=THOUSANDTHS).contains(&self.fall)
    }

    /// Returns the cause for a rollback of a canary that has been in force for `since` without a confirmation; `None`
    /// if the canary continues. Without a metric only the time decides.
    pub fn rollback_cause(
        &self,
        since: Duration,
        metric: Option<CanaryMetric>,
    ) -> Option<RollbackCause> {
        let metric = metric.filter(|_| since >= SETTLE_TIME);
        if let Some(fall) = metric.and_then(|metric| metric.fall())
            && fall > self.fall
        {
            return Some(RollbackCause::ServedWeightFell(fall));
        }
        let time_limit = Duration::from_secs(u64::from(self.seconds));
        (since >= time_limit).then_some(RollbackCause::NotConfirmed)
    }
}
