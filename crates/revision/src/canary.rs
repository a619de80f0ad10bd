//! When a revision on trial is taken back: a rule that the leader asks, and that knows nothing of clocks or
//! of the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// On which terms a revision is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CanaryTerms {
    /// Without a confirmation for so long after it came into force it is taken back; in seconds, 1 to
    /// [`MAX_CANARY_SECONDS`].
    pub seconds: u32,
    /// It is taken back when the worth served over the bank falls by more than this against the time before;
    /// in thousandths, 1 to 1000. At 1000 it never is for this.
    pub fall: u16,
}

/// The longest trial, in seconds: an hour. What nobody has confirmed by then nobody looks at.
pub const MAX_CANARY_SECONDS: u32 = 3600;
/// For so long after it came into force no fall is looked at: what was under way then ends first.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Worth served over the whole bank, a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CanaryMetric {
    /// Mean over a stretch before the revision came into force.
    pub before: u64,
    /// Mean over a stretch since.
    pub since: u64,
    /// Mean worth asked for before, and
    pub offered_before: u64,
    /// since: a bank that is asked for half as much serves half as much by no fault of a revision.
    pub offered_since: u64,
}

/// Why a revision was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RollbackCause {
    /// Nobody confirmed it in time.
    NotConfirmed,
    /// The worth that was served fell, by so many thousandths.
    ServedWorthFell(u16),
}

impl CanaryTerms {
    /// Whether its terms can be.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_CANARY_SECONDS).contains(&self.seconds) && (1..=1000).contains(&self.fall)
    }

    /// Whether a revision that has been in force for `since` without a confirmation is to be taken back.
    /// Served worth counts as a share of the worth asked for. Without figures of either stretch nothing can
    /// be said of a fall: the time decides.
    pub fn verdict(&self, since: Duration, worth: Option<CanaryMetric>) -> Option<RollbackCause> {
        if let Some(worth) = worth.filter(|_| since >= SETTLE_TIME) {
            let share = |served: u64, asked: u64| (asked > 0).then(|| served as f64 / asked as f64);
            let shares = share(worth.before, worth.offered_before)
                .zip(share(worth.since, worth.offered_since));
            if let Some((before, now)) = shares.filter(|(before, _)| *before > 0.0) {
                let fell = (1000.0 * (1.0 - now / before)).clamp(0.0, 1000.0) as u16;
                if fell > self.fall {
                    return Some(RollbackCause::ServedWorthFell(fell));
                }
            }
        }
        (since >= Duration::from_secs(u64::from(self.seconds)))
            .then_some(RollbackCause::NotConfirmed)
    }
}
