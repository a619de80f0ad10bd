//! What requests read: the rules together with their lease in one immutable value, so that no reader combines the
//! rules of one moment with the lease of another.

use std::sync::Arc;
use std::time::Duration;

use crate::message::Generation;
use crate::rules::Rules;

/// What is in force at one balancer. It is published as a whole and never modified.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InForce {
    /// The rules under the lease. Figures of theirs that forbid nothing (subset, weights) may still be used after it.
    pub rules: Arc<Rules>,
    /// The generation of the rules.
    pub generation: Generation,
    /// When the lease ends, on this process's monotonic clock.
    pub until: Duration,
    /// The rules after the lease has ended.
    pub fallback_policy: Arc<Rules>,
}

/// What a balancer may act on at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View<'a> {
    /// The agreed rules of this generation, under a lease.
    Agreed(&'a Rules, Generation),
    /// What the fallback policy allows, and nothing else.
    FallbackPolicy(&'a Rules),
}

impl InForce {
    /// Returns what may be acted on at `now`.
    ///
    /// Call this right before each write of an attempt's first byte. A process that is paused between this call and
    /// the write sends at most one late attempt per thread, which no lease can prevent; the next call notices it.
    pub fn at(&self, now: Duration) -> View<'_> {
        if now < self.until {
            View::Agreed(&self.rules, self.generation)
        } else {
            View::FallbackPolicy(&self.fallback_policy)
        }
    }
}

impl<'a> View<'a> {
    /// The rules, whichever they are.
    pub fn rules(&self) -> &'a Rules {
        match self {
            Self::Agreed(rules, _) | Self::FallbackPolicy(rules) => rules,
        }
    }
}
