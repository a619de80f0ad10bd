//! The policy that requests read: one value with its lease inside, replaced as a whole and read without a lock.
//!
//! Read-copy-update by `arc-swap`: a reader never waits for the writer, never sees parts of two values, and keeps the
//! value that it holds alive. Deciding what is published is left to the [`Machine`](super::Machine).

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::rules::Rules;

use crate::cluster::machine::StoppedUpstreams;

/// The policy that applies at one moment.
#[derive(Clone, Debug)]
pub struct PolicySnapshot {
    /// The agreed rules while the lease lasts, the rules of the fallback policy after it.
    pub rules: Arc<Rules>,
    /// Upstreams to which nothing new is sent, by the reports of other balancers.
    pub stops: Arc<StoppedUpstreams>,
}

impl PolicySnapshot {
    /// Whether both are the same published values. A renewed lease keeps the identity of its rules.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.rules, &other.rules) && Arc::ptr_eq(&self.stops, &other.stops)
    }
}

#[derive(Clone, Debug)]
struct PublishedValue {
    in_force: InForce,
    stops: Arc<StoppedUpstreams>,
}

impl PublishedValue {
    fn at(&self, now: Duration) -> PolicySnapshot {
        let rules = match self.in_force.at(now) {
            View::Agreed(..) => &self.in_force.rules,
            View::FallbackPolicy(_) => &self.in_force.fallback_policy,
        };
        PolicySnapshot { rules: rules.clone(), stops: self.stops.clone() }
    }
}

/// The published value. It has one writer and any number of readers.
///
/// Each `now` is the time since the writer's epoch.
#[derive(Debug)]
pub struct PublishedPolicy(ArcSwap<PublishedValue>);

impl PublishedPolicy {
    /// Publishes `in_force` as the first value, with no stopped upstreams.
    pub fn new(in_force: InForce) -> Self {
        Self(ArcSwap::from_pointee(PublishedValue { in_force, stops: Arc::default() }))
    }

    /// Replaces the rules and their lease. Returns whether a different policy applies at `now`.
    pub fn write(&self, in_force: InForce, now: Duration) -> bool {
        let stops = self.0.load().stops.clone();
        self.replace(PublishedValue { in_force, stops }, now)
    }

    /// Replaces the stopped upstreams. Returns whether a different policy applies at `now`.
    pub fn stop(&self, stops: StoppedUpstreams, now: Duration) -> bool {
        let in_force = self.0.load().in_force.clone();
        self.replace(PublishedValue { in_force, stops: Arc::new(stops) }, now)
    }

    fn replace(&self, next: PublishedValue, now: Duration) -> bool {
        let applies = next.at(now);
        let previous = self.0.swap(Arc::new(next));
        !previous.at(now).is(&applies)
    }

    /// The rules and their lease, as published last.
    pub fn in_force(&self) -> InForce {
        self.0.load().in_force.clone()
    }

    /// The policy that applies at `now`. Read it right before each send: the process may have been paused since the last
    /// read.
    pub fn at(&self, now: Duration) -> PolicySnapshot {
        self.0.load().at(now)
    }
}
