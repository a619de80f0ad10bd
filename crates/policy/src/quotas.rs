//! Token buckets of tenants. Only those that are not full exist; decides nothing.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::interface::{Settings, Time};

/// A tenant's share at this proxy, as a bucket of requests.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    counted: Time,
}

/// Buckets that one call looks at to drop those that are full again.
const BUCKETS_PER_CALL: usize = 4;
/// A table of more entries than this is made smaller when an eighth of it is in use.
const RETAINED_CAPACITY: usize = 1024;

/// The buckets of all tenants. One that does not exist is as it was at the start: it held one token then, and has been
/// refilled since. A bucket is dropped when it is full and would be full by that rule too, so no decision shows it.
#[derive(Debug)]
pub(crate) struct Quotas {
    started: Time,
    balancers: f64,
    /// A share unused for this long, in microseconds, is gone: the longest deadline of a class.
    longest: f64,
    buckets: FxHashMap<u32, Bucket>,
    /// The tenants of these buckets, in the order in which they are looked at.
    order: VecDeque<u32>,
}

impl Quotas {
    pub(crate) fn new(settings: &Settings, now: Time) -> Self {
        let deadlines = settings.classes.iter().map(|c| c.deadline.f());
        Self {
            started: now,
            balancers: f64::from(settings.balancers),
            longest: deadlines.fold(0.0, f64::max),
            buckets: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Tokens of a tenant's bucket as of now, where its quota is so many requests a second over all balancers.
    pub(crate) fn refill(&mut self, now: Time, tenant: usize, quota_rps: f64) -> f64 {
        let Ok(tenant) = u32::try_from(tenant) else { return 1.0 };
        let (rate, most) = self.rate_and_most(quota_rps);
        let bucket = self.buckets.entry(tenant).or_insert_with(|| {
            self.order.push_back(tenant);
            Bucket { tokens: 1.0, counted: self.started }
        });
        bucket.tokens = (bucket.tokens + rate * now.since(bucket.counted).f()).min(most);
        bucket.counted = now;
        bucket.tokens
    }

    /// Takes one token out of a bucket that was refilled just now.
    pub(crate) fn spend(&mut self, tenant: usize) {
        let bucket = u32::try_from(tenant).ok().and_then(|t| self.buckets.get_mut(&t));
        if let Some(bucket) = bucket {
            bucket.tokens -= 1.0;
        }
    }

    /// Looks at a few buckets and drops those that are full; `settings` names the quotas.
    pub(crate) fn drop_full(&mut self, now: Time, settings: &Settings) {
        // Sooner, one that does not exist need not be full.
        if now.since(self.started).f() < self.longest {
            return;
        }
        for _ in 0..BUCKETS_PER_CALL.min(self.order.len()) {
            let Some(tenant) = self.order.pop_front() else { return };
            let quota = settings.tenants.get(tenant as usize).map_or(0.0, |t| t.quota_rps);
            let (rate, most) = self.rate_and_most(quota);
            let bucket = self.buckets[&tenant];
            if bucket.tokens + rate * now.since(bucket.counted).f() >= most {
                self.buckets.remove(&tenant);
            } else {
                self.order.push_back(tenant);
            }
        }
        self.shrink();
    }

    /// Refill per microsecond, and the most tokens that a bucket holds.
    fn rate_and_most(&self, quota_rps: f64) -> (f64, f64) {
        let rate = quota_rps / 1e6 / self.balancers;
        (rate, (rate * self.longest).max(1.0))
    }

    fn shrink(&mut self) {
        let kept = RETAINED_CAPACITY.max(self.buckets.len() * 8);
        if self.buckets.capacity() > kept {
            self.buckets.shrink_to(self.buckets.len() * 2);
            self.order.shrink_to(self.buckets.len() * 2);
        }
    }
}

#[cfg(test)]
mod tests;
