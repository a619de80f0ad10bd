//! The rate holds in every span, and each mode leaves its share.

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn no_span_exceeds_rate_and_one_burst(
        rate in 1..3_000u32, burst in 1..300u32,
        gaps in proptest::collection::vec(0..40_000_000u64, 1..200),
    ) {
        let (mut bucket, mut now, mut went) = (TokenBucket::new(rate, burst), Duration::ZERO, Vec::new());
        for gap in gaps {
            now += Duration::from_nanos(gap);
            while bucket.try_take(now) {
                went.push(now);
            }
        }
        // For each pair: `j - i + 1 <= burst + rate * (t_j - t_i)`, the worst `i` for each `j` updated on
        // the way.
        let mut worst = f64::MAX;
        for (j, at) in went.iter().enumerate() {
            let ahead = j as f64 - at.as_secs_f64() * f64::from(rate);
            worst = worst.min(ahead);
            prop_assert!(ahead - worst + 1.0 <= f64::from(burst) + 1e-3, "datagram {} at {:?}", j, at);
        }
        // And it is not slower either: a full bucket after the time that fills it.
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
    let mut gone = Vec::new();
    for mode in [DeliveryMode::Bulk, DeliveryMode::Normal, DeliveryMode::Urgent] {
        let mut went = 0;
        while tokens.ready_at(mode) <= now {
            tokens.take(now, 30);
            went += 1;
        }
        gone.push(went);
    }
    assert_eq!(gone, [40, 30, 10]);
    assert!(tokens.ready_at(DeliveryMode::Urgent) < tokens.ready_at(DeliveryMode::Normal));
}
