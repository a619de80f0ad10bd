//! Nonces are unique, and samples are uniform within their bound.

use std::collections::BTreeSet;

use super::*;

#[test]
fn nonces_never_repeat_and_samples_stay_within_their_bound() {
    let mut rng = Rng::new(7);
    let mut nonces = Nonces::new(&mut rng);
    let unique: BTreeSet<u32> = (0..100_000).map(|_| nonces.next()).collect();
    assert_eq!((unique.len(), unique.contains(&0)), (100_000, false));
    let max = Duration::from_millis(80);
    let samples: Vec<Duration> = (0..10_000).map(|_| rng.sample_up_to(max)).collect();
    let mean = samples.iter().sum::<Duration>() / 10_000;
    assert!(samples.iter().all(|sample| *sample <= max));
    assert!(mean > max * 48 / 100 && mean < max * 52 / 100, "{mean:?}");
}
