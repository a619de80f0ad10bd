//! The view of the policy for requests: the rules together with their lease in one immutable value, so that no reader
//! combines the rules of one moment with the lease of another.

use std::sync::Arc;
use std::time::Duration;

use crate::message::Generation;
use crate::rules::Rules;

/// The rules in force at one balancer. The value is published as a whole and never modified.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InForce {
    /// The rules under the lease. Their settings that forbid nothing (subset, weights) may still be used after the
    /// lease has ended.
    pub rules: Arc<Rules>,
    /// The generation of the rules.
    pub generation: Generation,
    /// End of the lease, on this process's monotonic clock.
    pub until: Duration,
    /// The rules after the lease has ended.
    pub fallback_policy: Arc<Rules>,
}

/// The rules that a balancer may act on at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View<'a> {
    /// The agreed rules of this generation, under a lease.
    Agreed(&'a Rules, Generation),
    /// The rules without a lease, which allow only what the fallback policy allows.
    FallbackPolicy(&'a Rules),
}

impl InForce {
    /// Returns the rules that may be acted on at `now`.
    ///
    /// Call this right before each write of an attempt's first byte. A process that is paused between this call and
    /// the write sends at most one late attempt per thread, which no lease can prevent. The next call returns the
    /// fallback policy if the lease has ended.
    pub fn at(&self, now: Duration) -> View<'_> {
        if now < self.until {
            View::Agreed(&self.rules, self.generation)
        } else {
            View::FallbackPolicy(&self.fallback_policy)
        }
    }
}

impl<'a> View<'a> {
    /// Returns the rules, with or without a lease.
    pub fn rules(&self) -> &'a Rules {
        match self {
            Self::Agreed(rules, _) | Self::FallbackPolicy(rules) => rules,
        }
    }
}
