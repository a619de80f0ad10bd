//! What requests read: rules and the lease that they are under, in one value, so that no reader sees one of
//! another.

use std::sync::Arc;
use std::time::Duration;

use crate::message::Generation;
use crate::rules::Rules;

/// What is in force at one balancer. It is published as a whole, and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InForce {
    /// Under the lease. Past it, figures of theirs that forbid nothing (subset, weights) may go on.
    pub rules: Arc<Rules>,
    /// Their stage.
    pub generation: Generation,
    /// The lease's end, on this process's monotonic clock.
    pub until: Duration,
    /// Past it.
    pub fallback_policy: Arc<Rules>,
}

/// What may be acted on at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View<'a> {
    /// The agreed rules.
    Agreed(&'a Rules, Generation),
    /// What the charter allows, and nothing else.
    FallbackPolicy(&'a Rules),
}

impl InForce {
    /// What may be acted on. Look before each send, as the last thing before the write, with the time of
    /// then: whoever looks once and sends much later acts on rules that may be gone. A process that is paused
    /// between this look and the write sends one attempt a thread too late; no lease can help that, and the
    /// next look ends it.
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
