//! Profiles report every error with its line, and the arrivals of a schedule are a pure function of its seed.

use std::time::Duration;

use hollowpaddle_load::profile::{Arrivals, Profile};
use hollowpaddle_load::schedule::{Rates, Schedule, Spacing};
use proptest::prelude::*;

const VALID_PROFILE: &str = r#"for_s = 30
connections = 64

[arrivals]
rate = 200
burst_factor = 3

[[classes]]
name = "reading-sync"
share = 0.6
deadline_ms = 2800

[[classes]]
name = "alarm-raise"
effect = "unsafe"
body_bytes = 200
"#;

fn problems(text: &str) -> Vec<String> {
    let problems = Profile::read("p.toml", text).expect_err("the profile is invalid");
    problems.0.iter().map(ToString::to_string).collect()
}

#[test]
fn shipped_profiles_are_valid() {
    for file in std::fs::read_dir("../../profiles").expect("the folder") {
        let path = file.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("readable");
        Profile::read(&path.display().to_string(), &text).unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn every_error_is_reported_with_its_line() {
    let wrong = VALID_PROFILE
        .replace("for_s = 30", "for_s = 0")
        .replace("rate = 200", "rat = 200")
        .replace("\"unsafe\"", "\"sound\"");
    let reported = problems(&wrong);
    for part in [
        "p.toml:1:9: `for_s` is 0: expected a number from 0.1",
        "`arrivals.rate` is missing",
        "p.toml:5:1: `arrivals.rat` is not known here",
        "`classes.effect` is \"sound\": expected one of safe, keyed, unsafe",
    ] {
        assert!(reported.iter().any(|t| t.contains(part)), "{part}: {reported:?}");
    }
    let reported =
        problems(&VALID_PROFILE.replace("burst_factor = 3", "burst_factor = 3\nto = 300"));
    assert!(
        reported.iter().any(|t| t.contains("a ramp (`to`) and bursts at once")),
        "{reported:?}"
    );
    let reported = problems(&VALID_PROFILE.replace("share = 0.6", "share = 0.6\nbody_bytes = 3"));
    assert!(reported.iter().any(|t| t.contains("means nothing for a safe class")), "{reported:?}");
    assert!(problems("").iter().any(|t| t.contains("no class")));
}

fn arrival_times(rates: &Rates, spacing: Spacing, seconds: u64, seed: u64) -> Vec<f64> {
    let length = Duration::from_secs(seconds);
    let all = Schedule::new(rates, spacing, length, &[1.0], seed);
    all.map(|d| d.at.as_secs_f64()).collect()
}

#[test]
fn schedule_follows_the_given_rates() {
    let shapes = [
        Rates::steady(50.0),
        Rates::ramp(1.0, 100.0),
        Rates::ramp(100.0, 1.0),
        Rates::bursts(30.0, 4.0, 10.0, 2.0),
        Rates::steps(vec![(10.0, 20.0), (100.0, 30.0), (5.0, 1.0)]),
    ];
    for rates in shapes {
        let all = arrival_times(&rates, Spacing::Even, 100, 1);
        let length = Duration::from_secs(100);
        let mean = rates.mean(length, length);
        assert!((all.len() as f64 - mean).abs() <= 1.0, "{} of {mean}: {rates:?}", all.len());
        // With even spacing, the count at any time differs from the mean by at most one request.
        for t in [7u64, 19, 33, 60, 95] {
            let by = all.iter().filter(|at| **at <= t as f64 + 1e-9).count() as f64;
            let due = rates.mean(Duration::from_secs(t), length);
            assert!((by - due).abs() <= 1.0, "{by} by {t} s, {due} are due: {rates:?}");
        }
        let poisson = arrival_times(&rates, Spacing::Poisson, 100, 1).len() as f64;
        assert!((poisson - mean).abs() < 5.0 * mean.sqrt(), "{poisson} of {mean}");
    }
}

#[test]
fn variance_of_poisson_arrivals_equals_their_mean() {
    // The counts per second have a variance equal to their mean; those of evenly spaced arrivals have a variance of 0.
    let all = arrival_times(&Rates::steady(20.0), Spacing::Poisson, 5000, 3);
    let mut counts = vec![0.0; 5000];
    all.iter().for_each(|t| counts[*t as usize] += 1.0);
    let mean = counts.iter().sum::<f64>() / 5000.0;
    let variance = counts.iter().map(|c| (c - mean) * (c - mean)).sum::<f64>() / 5000.0;
    assert!((variance / mean - 1.0).abs() < 0.1, "{variance} for {mean}");
}

proptest! {
    #[test]
    fn arrivals_are_sorted_within_the_run_and_the_same_for_a_seed(
        rate in 0.1f64..500.0, to in 0.1f64..500.0, seconds in 1u64..20, seed in 0u64..1000, poisson: bool,
    ) {
        let spacing = if poisson { Spacing::Poisson } else { Spacing::Even };
        let rates = Rates::ramp(rate, to);
        let all = arrival_times(&rates, spacing, seconds, seed);
        prop_assert!(all.is_sorted() && all.iter().all(|t| (0.0..seconds as f64).contains(t)));
        prop_assert_eq!(all, arrival_times(&rates, spacing, seconds, seed));
    }

    #[test]
    fn no_change_of_a_valid_profile_causes_a_panic(
        at in 0usize..VALID_PROFILE.len(), cut in 0usize..30, new in "[ -~\n]{0,8}",
    ) {
        let end = (at + cut).min(VALID_PROFILE.len());
        let text = format!("{}{new}{}", &VALID_PROFILE[..at], &VALID_PROFILE[end..]);
        if let Ok(profile) = Profile::read("any.toml", &text)
            && let Arrivals::Open(spacing, rates) = &profile.arrivals
        {
            let shares: Vec<f64> = profile.classes.iter().map(|c| c.share).collect();
            let all = Schedule::new(rates, *spacing, profile.length, &shares, 1);
            prop_assert!(all.take(1000).all(|d| d.class < profile.classes.len()));
        }
    }
}
