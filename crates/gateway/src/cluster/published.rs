//! The policy that requests read: a single value that includes its lease, is replaced as a whole and read without a lock.
//!
//! The value is shared by read-copy-update with `arc-swap`: a reader never waits for the writer, never sees parts of two
//! values, and keeps the value that it holds alive. The [`Machine`](super::Machine) decides what is published.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::rules::Rules;

use crate::cluster::machine::StoppedUpstreams;

/// The policy that applies at a given time.
#[derive(Clone, Debug)]
pub struct PolicySnapshot {
    /// The agreed rules until the lease expires, then the rules of the fallback policy.
    pub rules: Arc<Rules>,
    /// Upstreams that get no new requests, because other balancers reported them as draining or gone.
    pub stops: Arc<StoppedUpstreams>,
}

impl PolicySnapshot {
    /// Returns whether two snapshots share the same published values, compared by identity. Renewing a lease keeps the
    /// identity of its rules.
    pub fn is_same(&self, other: &Self) -> bool {
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

/// The published policy, with one writer and any number of readers.
///
/// The parameter `now` of the methods is the time since the origin of the writer's clock.
#[derive(Debug)]
pub struct PublishedPolicy(ArcSwap<PublishedValue>);

impl PublishedPolicy {
    /// Creates the published policy from `in_force`, without stopped upstreams.
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
        !previous.at(now).is_same(&applies)
    }

    /// Returns the rules and the lease that were published last.
    pub fn in_force(&self) -> InForce {
        self.0.load().in_force.clone()
    }

    /// Returns the policy that applies at `now`. Callers read it right before each send, because the process may have been
    /// paused since the last read.
    pub fn at(&self, now: Duration) -> PolicySnapshot {
        self.0.load().at(now)
    }
}
