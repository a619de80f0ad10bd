//! File formats: the JSON report, byte for byte, and the keys of the TOML profiles.

use std::time::Duration;

use hollowpaddle_load::account::{ClassReport, Counts, REPORT_VERSION, Report, Second, Spread};
use hollowpaddle_load::profile::{Arrivals, Class, Effect, Profile};
use hollowpaddle_load::schedule::{Rates, Spacing};

const REPORT: &str = include_str!("formats/report.json");
const OPEN_LOOP: &str = include_str!("formats/open-loop.toml");
/// Contents of the `[arrivals]` table of three profiles.
const RAMP: &str = "rate = 100\nto = 300";
const CLOSED: &str = "closed = 5";
const STEPS: &str =
    "[[arrivals.steps]]\nrate = 10\nfor_s = 2\n[[arrivals.steps]]\nrate = 20\nfor_s = 3";

/// Returns a report with a distinct value in every field.
fn distinct_report() -> Report {
    Report {
        version: 2,
        target: "text-3".into(),
        seed: 4,
        loop_: "open",
        length_s: 5.5,
        asked_per_s: 6.5,
        answered_per_s: 7.5,
        classes: vec![ClassReport {
            name: "text-10".into(),
            counts: Counts {
                asked: 12,
                served: 13,
                refused: 14,
                failed: 15,
                broken: 16,
                unreachable: 17,
                timed_out: 18,
                unsent: 19,
            },
            latency_ms: Spread {
                count: 21,
                mean: 22.5,
                p50: 23.5,
                p90: 24.5,
                p99: 25.5,
                p999: 26.5,
                most: 27.5,
            },
            from_sending_ms: Spread {
                count: 29,
                mean: 30.5,
                p50: 31.5,
                p90: 32.5,
                p99: 33.5,
                p999: 34.5,
                most: 35.5,
            },
        }],
        lateness_ms: Spread {
            count: 37,
            mean: 38.5,
            p50: 39.5,
            p90: 40.5,
            p99: 41.5,
            p999: 42.5,
            most: 43.5,
        },
        waiting_ms: Spread {
            count: 45,
            mean: 46.5,
            p50: 47.5,
            p90: 48.5,
            p99: 49.5,
            p999: 50.5,
            most: 51.5,
        },
        connections: 52,
        doubt: Some("text-54".into()),
        seconds: vec![Second { asked: 57, served: 58, refused: 59, most_ms: 60.5 }],
    }
}

#[test]
fn report_is_written_byte_for_byte() {
    let text = REPORT.trim_end();
    assert_eq!(serde_json::to_string(&distinct_report()).expect("JSON"), text);
    assert_eq!(REPORT_VERSION, 1);
    let without_doubt = Report { doubt: None, ..distinct_report() };
    let shorter = serde_json::to_string(&without_doubt).expect("JSON");
    let (before, after) = text.split_once("\"doubt\":").expect("the key");
    let (_, after) = after.split_once(',').expect("another key");
    assert_eq!(shorter, format!("{before}{after}"));
}

#[test]
fn profile_with_every_key_is_read() {
    let class = |name: &str, effect| Class {
        name: name.into(),
        share: 1.0,
        effect,
        deadline: Duration::from_secs(10),
        path: "/api".into(),
        body: 0,
    };
    let read = Class {
        share: 0.5,
        deadline: Duration::from_millis(2800),
        path: "/read".into(),
        ..class("read", Effect::Safe)
    };
    let write = Class { body: 200, ..class("write", Effect::Unsafe) };
    let expected = Profile {
        classes: vec![read, class("buy", Effect::Keyed), write],
        arrivals: Arrivals::Open(Spacing::Even, Rates::bursts(200.0, 3.0, 8.0, 2.0)),
        length: Duration::from_secs(30),
        connections: 64,
        keep_connections: false,
        platform: false,
        tenants: 7,
    };
    assert_eq!(Profile::read("profile.toml", OPEN_LOOP).expect("every key is known"), expected);
}

#[test]
fn every_form_of_arrivals_is_read() {
    for (arrivals, expected) in [
        ("rate = 100", Arrivals::Open(Spacing::Poisson, Rates::steady(100.0))),
        (RAMP, Arrivals::Open(Spacing::Poisson, Rates::ramp(100.0, 300.0))),
        (STEPS, Arrivals::Open(Spacing::Poisson, Rates::steps(vec![(10.0, 2.0), (20.0, 3.0)]))),
        (CLOSED, Arrivals::Closed(5)),
    ] {
        let text = format!("for_s = 5\n[[classes]]\nname = \"read\"\n[arrivals]\n{arrivals}\n");
        let profile = Profile::read("profile.toml", &text).expect("every key is known");
        assert_eq!(profile.arrivals, expected, "{arrivals}");
    }
}
