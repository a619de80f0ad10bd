//! The rate holds in every span of time, and each delivery mode leaves its share.

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn no_span_exceeds_rate_and_one_burst(
        rate in 1..3_000u32, burst in 1..300u32,
        gaps in proptest::collection::vec(0..40_000_000u64, 1..200),
    ) {
        let (mut bucket, mut now, mut taken_at) = (TokenBucket::new(rate, burst), Duration::ZERO, Vec::new());
        for gap in gaps {
            now += Duration::from_nanos(gap);
            while bucket.try_take(now) {
                taken_at.push(now);
            }
        }
        // For each pair of tokens `i <= j`, `j - i + 1 <= burst + rate * (t_j - t_i)` must hold. `worst` is the
        // lowest `i - rate * t_i` of all `i` up to `j`.
        let mut worst = f64::MAX;
        for (j, at) in taken_at.iter().enumerate() {
            let ahead = j as f64 - at.as_secs_f64() * f64::from(rate);
            worst = worst.min(ahead);
            prop_assert!(ahead - worst + 1.0 <= f64::from(burst) + 1e-3, "datagram {} at {:?}", j, at);
        }
        // The rate is not lower, either: the bucket is full after the time in which it fills.
        now += Duration::from_secs(u64::from(burst.div_ceil(rate)) + 1);
        let full = (0..2 * burst).filter(|_| bucket.try_take(now)).count();
        prop_assert_eq!(full, burst as usize);
    }
}

#[test]
fn bulk_leaves_half_of_the_bucket_and_normal_an_eighth() {
    let mut tokens =
        SendBudget::new(TokenBucket::new(100, 80), TokenBucket::new(1_000_000, 1_000_000));
    let now = Duration::from_secs(9);
    let mut datagrams_by_mode = Vec::new();
    for mode in [DeliveryMode::Bulk, DeliveryMode::Normal, DeliveryMode::Urgent] {
        let mut datagrams = 0;
        while tokens.ready_at(mode) <= now {
            tokens.take(now, 30);
            datagrams += 1;
        }
        datagrams_by_mode.push(datagrams);
    }
    assert_eq!(datagrams_by_mode, [40, 30, 10]);
    assert!(tokens.ready_at(DeliveryMode::Urgent) < tokens.ready_at(DeliveryMode::Normal));
}
