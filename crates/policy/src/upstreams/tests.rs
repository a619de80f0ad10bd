use std::sync::Arc;

use super::Upstreams;
use crate::interface::{Class, ListKind, Member, ServerId, Settings, SignedDuration, Time};

/// So many live upstreams, as the proxy at this position of a bank sees them.
fn upstreams(n: u32, balancers: u32, position: u32, priced: bool) -> Upstreams {
    let class = Class::safe(SignedDuration(1000), SignedDuration(2000));
    let mut settings = Settings::basic(vec![class]);
    (settings.balancers, settings.position) = (balancers, position);
    (settings.zones, settings.zone) = (2, 1);
    settings.prices.cross_zone = if priced { 0.1 } else { 0.0 };
    let mut up = Upstreams::new(Arc::new(settings));
    let name = |i: u32| u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let member = |i| Member { zone: i % 2, identity: name(i), ..Member::live(ServerId(i)) };
    up.list(Time(0), ListKind::Complete, &(0..n).map(member).collect::<Vec<_>>());
    up
}

#[test]
fn near_upstreams_are_found_without_a_scan() {
    for n in [0, 1, 2, 7, 64, 1000] {
        for balancers in [1, 2, 3, 36, 300] {
            for position in 0..balancers.min(40) {
                for priced in [false, true] {
                    let up = upstreams(n, balancers, position, priced);
                    let part = up.own_part();
                    let close = |j: &usize| up.distance(*j, &part, 1.0) <= 0.5;
                    let all: Vec<usize> = part.clone().filter(close).collect();
                    let near: Vec<usize> = up.near(&part, 0.5).collect();
                    let found: Vec<usize> = near.iter().copied().filter(close).collect();
                    assert_eq!(found, all, "{n} before {position} of {balancers}");
                    assert!(near.len() <= all.len() + 8, "{} for {}", near.len(), all.len());
                }
            }
        }
    }
}
