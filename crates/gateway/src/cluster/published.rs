//! What requests read of the bank: one value with its lease inside, replaced as a whole and read without a lock.
//!
//! Read-copy-update by `arc-swap`: a reader never waits for a writer, never sees a part of one value and a part of
//! another, and whoever holds an older one keeps it alive.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::rules::Rules;

use crate::cluster::machine::StoppedUpstreams;

/// What holds at a moment.
#[derive(Clone, Debug)]
pub struct PolicySnapshot {
    /// The rules to keep to: those under the lease, or the charter's past it.
    pub rules: Arc<Rules>,
    /// Whom peers' words stop.
    pub stops: Arc<StoppedUpstreams>,
}

impl PolicySnapshot {
    /// Whether it is the same, and not only alike: renewed leases keep what they are for.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.rules, &other.rules) && Arc::ptr_eq(&self.stops, &other.stops)
    }
}

#[derive(Clone, Debug)]
struct Value {
    in_force: InForce,
    stops: Arc<StoppedUpstreams>,
}

impl Value {
    fn at(&self, now: Duration) -> PolicySnapshot {
        let rules = match self.in_force.at(now) {
            View::Agreed(..) => &self.in_force.rules,
            View::FallbackPolicy(_) => &self.in_force.fallback_policy,
        };
        PolicySnapshot { rules: rules.clone(), stops: self.stops.clone() }
    }
}

/// The one value.
#[derive(Debug)]
pub struct PublishedPolicy(ArcSwap<Value>);

impl PublishedPolicy {
    /// Begins with this.
    pub fn new(in_force: InForce) -> Self {
        Self(ArcSwap::from_pointee(Value { in_force, stops: Arc::default() }))
    }

    /// Puts other rules in the place of those; whether something else holds `now` by it. There is one writer.
    pub fn write(&self, in_force: InForce, now: Duration) -> bool {
        let stops = self.0.load().stops.clone();
        self.replace(Value { in_force, stops }, now)
    }

    /// The same for whom peers' words stop.
    pub fn stop(&self, stops: StoppedUpstreams, now: Duration) -> bool {
        let in_force = self.0.load().in_force.clone();
        self.replace(Value { in_force, stops: Arc::new(stops) }, now)
    }

    fn replace(&self, next: Value, now: Duration) -> bool {
        let holds = next.at(now);
        !self.0.swap(Arc::new(next)).at(now).is(&holds)
    }

    /// The rules and their lease, as they are now.
    pub fn in_force(&self) -> InForce {
        self.0.load().in_force.clone()
    }

    /// What holds now. To be asked right before each send: the process may have stood still since it was asked last.
    pub fn at(&self, now: Duration) -> PolicySnapshot {
        self.0.load().at(now)
    }
}
