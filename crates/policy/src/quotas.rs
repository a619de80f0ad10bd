//! Token buckets of tenants. Only buckets that are not full are stored. This module makes no
//! decisions.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::interface::{Settings, Time};

/// The bucket of one tenant at this balancer. A token is one request.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    /// When `tokens` was last refilled.
    refilled_at: Time,
}

/// Number of buckets that one call of [`Quotas::drop_full`] checks.
const BUCKETS_PER_CALL: usize = 4;
/// A table with more entries than this shrinks when less than an eighth of it is in use.
const RETAINED_CAPACITY: usize = 1024;

/// The buckets of all tenants.
///
/// A bucket that is not stored is equivalent to one that held one token at the start and has been
/// refilled since. A bucket is dropped when it is full and would also be full by this rule, so that
/// no decision depends on whether it is stored.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// When the balancer started.
    started: Time,
    /// Number of balancers over which each quota is spread.
    balancers: f64,
    /// The longest deadline of a class, in microseconds. A bucket holds at most the tokens of this
    /// time.
    longest_deadline: f64,
    buckets: FxHashMap<u32, Bucket>,
    /// The tenants of the stored buckets, in the order in which they are checked.
    order: VecDeque<u32>,
}

impl Quotas {
    /// Creates the buckets of a balancer that has not received a request yet.
    pub(crate) fn new(settings: &Settings, now: Time) -> Self {
        let deadlines = settings.classes.iter().map(|c| c.deadline.as_micros_f64());
        Self {
            started: now,
            balancers: f64::from(settings.balancers),
            longest_deadline: deadlines.fold(0.0, f64::max),
            buckets: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Refills the bucket of a tenant and returns its tokens. `quota_rps` is the quota of the tenant
    /// in requests a second over all balancers.
    pub(crate) fn refill(&mut self, now: Time, tenant: usize, quota_rps: f64) -> f64 {
        let Ok(tenant) = u32::try_from(tenant) else { return 1.0 };
        let (rate, most) = self.rate_and_most(quota_rps);
        let bucket = self.buckets.entry(tenant).or_insert_with(|| {
            self.order.push_back(tenant);
            Bucket { tokens: 1.0, refilled_at: self.started }
        });
        bucket.tokens =
            (bucket.tokens + rate * now.since(bucket.refilled_at).as_micros_f64()).min(most);
        bucket.refilled_at = now;
        bucket.tokens
    }

    /// Removes one token from a bucket that was just refilled.
    pub(crate) fn spend(&mut self, tenant: usize) {
        let bucket = u32::try_from(tenant).ok().and_then(|t| self.buckets.get_mut(&t));
        if let Some(bucket) = bucket {
            bucket.tokens -= 1.0;
        }
    }

    /// Checks a few buckets and drops the full ones. `settings` contains the quotas.
    pub(crate) fn drop_full(&mut self, now: Time, settings: &Settings) {
        // Before the longest deadline has passed, a bucket that is not stored may not be full.
        if now.since(self.started).as_micros_f64() < self.longest_deadline {
            return;
        }
        for _ in 0..BUCKETS_PER_CALL.min(self.order.len()) {
            let Some(tenant) = self.order.pop_front() else { return };
            let quota = settings.tenants.get(tenant as usize).map_or(0.0, |t| t.quota_rps);
            let (rate, most) = self.rate_and_most(quota);
            let bucket = self.buckets[&tenant];
            if bucket.tokens + rate * now.since(bucket.refilled_at).as_micros_f64() >= most {
                self.buckets.remove(&tenant);
            } else {
                self.order.push_back(tenant);
            }
        }
        self.shrink();
    }

    /// Returns the tokens refilled per microsecond, and the most tokens that a bucket holds.
    fn rate_and_most(&self, quota_rps: f64) -> (f64, f64) {
        let rate = quota_rps / 1e6 / self.balancers;
        (rate, (rate * self.longest_deadline).max(1.0))
    }

    /// Releases memory after many buckets were dropped.
    fn shrink(&mut self) {
        let retained = RETAINED_CAPACITY.max(self.buckets.len() * 8);
        if self.buckets.capacity() > retained {
            self.buckets.shrink_to(self.buckets.len() * 2);
            self.order.shrink_to(self.buckets.len() * 2);
        }
    }
}

#[cfg(test)]
mod tests;
