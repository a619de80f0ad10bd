//! Compares buckets that are dropped and created again with buckets that always exist.

use proptest::prelude::*;

use super::*;
use crate::interface::{Class, SignedDuration, Tenant};

const TENANTS: usize = 6;

fn settings(quotas: &[f64], balancers: u32) -> Settings {
    let classes = vec![
        Class::safe(SignedDuration(100_000), SignedDuration(300_000)),
        Class::safe(SignedDuration(1000), SignedDuration(2_000_000)),
    ];
    let mut settings = Settings::basic(classes);
    settings.balancers = balancers;
    settings.tenants = quotas.iter().map(|q| Tenant { quota_rps: *q, share: 0.0 }).collect();
    settings
}

/// The reference: a bucket for each tenant from the start.
struct Dense {
    buckets: Vec<Bucket>,
}

impl Dense {
    fn refill(&mut self, now: Time, settings: &Settings, tenant: usize) -> f64 {
        let rate = settings.tenants[tenant].quota_rps / 1e6 / f64::from(settings.balancers);
        let most =
            rate * settings.classes.iter().map(|c| c.deadline.as_micros_f64()).fold(0.0, f64::max);
        let bucket = &mut self.buckets[tenant];
        bucket.tokens = (bucket.tokens + rate * now.since(bucket.refilled_at).as_micros_f64())
            .min(most.max(1.0));
        bucket.refilled_at = now;
        bucket.tokens
    }
}

fn quota() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(0.3), Just(1.0), 0.0..1000.0f64, Just(-1.0)]
}

proptest! {
    #[test]
    fn dropped_buckets_have_the_same_tokens_when_made_again(
        quotas in prop::collection::vec(quota(), TENANTS),
        balancers in 1..5u32,
        steps in prop::collection::vec((0..TENANTS, 0..3_000_000i64, any::<bool>()), 1..300),
    ) {
        let settings = settings(&quotas, balancers);
        let mut now = Time(77);
        let mut sparse = Quotas::new(&settings, now);
        let mut dense = Dense { buckets: vec![Bucket { tokens: 1.0, refilled_at: now }; TENANTS] };
        for (tenant, passed, short) in steps {
            now = now.plus(SignedDuration(if short { passed / 1000 } else { passed }));
            let tokens = dense.refill(now, &settings, tenant);
            prop_assert_eq!(sparse.refill(now, tenant, quotas[tenant]), tokens);
            if tokens >= 1.0 {
                dense.buckets[tenant].tokens -= 1.0;
                sparse.spend(tenant);
            }
            sparse.drop_full(now, &settings);
        }
    }
}

#[test]
fn buckets_of_idle_tenants_are_dropped_and_their_memory_returned() {
    let settings = settings(&vec![10.0; 50_000], 1);
    let mut quotas = Quotas::new(&settings, Time(0));
    let later = Time(3_000_000);
    for tenant in 0..50_000 {
        quotas.refill(later, tenant, 10.0);
        quotas.spend(tenant);
    }
    let idle = Time(10_000_000);
    for _ in 0..50_000 / BUCKETS_PER_CALL {
        quotas.drop_full(idle, &settings);
    }
    assert_eq!((quotas.buckets.len(), quotas.order.len()), (0, 0));
    assert!(quotas.buckets.capacity() <= RETAINED_CAPACITY, "{}", quotas.buckets.capacity());
}
