use std::sync::Arc;

use super::Upstreams;
use crate::interface::{Class, ListKind, Member, ServerId, Settings, SignedDuration, Time};

/// Returns `n` live upstreams as known to the balancer at this position of a cluster.
fn upstreams(n: u32, balancers: u32, position: u32, has_zone_price: bool) -> Upstreams {
    let class = Class::safe(SignedDuration(1000), SignedDuration(2000));
    let mut settings = Settings::basic(vec![class]);
    (settings.balancers, settings.position) = (balancers, position);
    (settings.zones, settings.zone) = (2, 1);
    settings.prices.cross_zone = if has_zone_price { 0.1 } else { 0.0 };
    let mut upstreams = Upstreams::new(Arc::new(settings));
    let identity = |i: u32| u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let member = |i| Member { zone: i % 2, identity: identity(i), ..Member::live(ServerId(i)) };
    upstreams.apply_list(Time(0), ListKind::Complete, &(0..n).map(member).collect::<Vec<_>>());
    upstreams
}

#[test]
fn near_upstreams_are_found_without_a_scan() {
    for n in [0, 1, 2, 7, 64, 1000] {
        for balancers in [1, 2, 3, 36, 300] {
            for position in 0..balancers.min(40) {
                for has_zone_price in [false, true] {
                    let upstreams = upstreams(n, balancers, position, has_zone_price);
                    let part = upstreams.own_part();
                    let is_near = |j: &usize| upstreams.distance(*j, &part, 1.0) <= 0.5;
                    let all: Vec<usize> = part.clone().filter(is_near).collect();
                    let near: Vec<usize> = upstreams.near(&part, 0.5).collect();
                    let found: Vec<usize> = near.iter().copied().filter(is_near).collect();
                    assert_eq!(found, all, "{n} before {position} of {balancers}");
                    assert!(near.len() <= all.len() + 8, "{} for {}", near.len(), all.len());
                }
            }
        }
    }
}
