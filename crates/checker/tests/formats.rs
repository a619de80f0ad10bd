//! The JSON report on a run, and the names and rules of violations, exactly as they are written.

use std::collections::BTreeMap;

use hollowpaddle_checker::cluster::{Bank, Change, Contradiction, InForce, Moment};
use hollowpaddle_checker::fleet::{
    Contention, Episode, Peak, RecoveryReport, Stale, StaleSends, Stampede,
};
use hollowpaddle_checker::report::{Report, VERSION};
use hollowpaddle_checker::{
    ClassService, Counts, Finding, Floor, Run, Service, Sessions, Twice, Violation,
};
use hollowpaddle_scenario::record::{At, Line, Observation, Resources};
use serde_json::{Value, json};

const REPORT: &str = include_str!("formats/report.json");

fn line() -> Line {
    Line { at: At(1), seen: Observation::Ran { attempt: 2 } }
}

/// A report with a value of its own in every field.
fn report() -> Report {
    Report {
        version: 2,
        scenario: "text-3".into(),
        seed: 4,
        mode: "virtual",
        plan_digest: "text-5".into(),
        trace_digest: "text-6".into(),
        length_s: 7.5,
        size: (8, 9),
        slack_ms: 9.5,
        service: Service {
            whole: 11.5,
            worst_stretch: 12.5,
            worst_stretch_at_s: 13,
            worst_class: 14.5,
            counts: Counts {
                asked: 16,
                in_time: 17,
                late: 18,
                refused: 19,
                failed: 20,
                unanswered: 21,
                unreachable: 22,
                left: 23,
                repeats: 24,
                attempts: 25,
                turned_away: 26,
            },
            classes: vec![ClassService {
                name: "text-29".into(),
                service: 30.5,
                counts: Counts {
                    asked: 32,
                    in_time: 33,
                    late: 34,
                    refused: 35,
                    failed: 36,
                    unanswered: 37,
                    unreachable: 38,
                    left: 39,
                    repeats: 40,
                    attempts: 41,
                    turned_away: 42,
                },
                latency_ms: Some([44.05, 44.15, 44.25, 44.35, 44.45]),
            }],
            over_time: vec![Some(47.5)],
            served_over_time: vec![49],
            unserved_over_time: vec![51],
            part_s: 52.5,
        },
        breaches: BTreeMap::from([("lost", 53)]),
        findings: vec![Finding {
            violation: Violation::Lost,
            at: At(57),
            balancer: Some(59),
            request: Some(61),
            what: "text-62".into(),
            history: vec![line()],
        }],
        resources: vec![Some(Resources { memory_kib: 68, descriptors: 69, cpu_ms: 70 })],
        tipped: vec![72],
        floors: vec![Floor { of: "text-75".into(), served: 76.5, can: 77.5, wants: 78.5 }],
        sessions: Some(Sessions {
            moved: 81,
            effects: 82,
            ran_twice: 83,
            twice: vec![Twice {
                first: 86,
                runs: vec![Run { at: At(89), request: 90, balancer: 91, node: 92, pod: 93 }],
            }],
            runs: 94,
            as_strangers: 95,
            at_their_pod: 96.5,
        }),
        bank: Some(Bank {
            contradiction_s: 99.5,
            bound_s: 100.5,
            contradictions: vec![Contradiction {
                for_s: 103.5,
                at_s: 104.5,
                balancer: 105,
                request: 106,
                node: 107,
                pod: 108,
                class: "text-109".into(),
                revision: 110,
                other: 111,
                other_at_s: 112.5,
                ahead: true,
            }],
            sends: 114,
            contradicting: 115,
            in_force_s: InForce {
                at_99: 117.5,
                at_all: 118.5,
                median: 119.5,
                changes: vec![Change {
                    revision: 122,
                    at_s: 123.5,
                    most_s: Some(125.5),
                    all_s: Some(127.5),
                    excused: 128,
                    missing: 129,
                    watched_s: 130.5,
                    superseded: true,
                }],
            },
            changes: 132,
            refused: 133,
            unanswered: 134,
            calls: 135,
            logs: 136,
            forgotten: 137,
            broken: vec!["text-139".into()],
            over_time: vec![Moment { at_s: 142.5, leased: 143.5, newest: 144.5 }],
        }),
        account: Some(RecoveryReport {
            control_service: 147.5,
            episodes: vec![Episode {
                faults: vec!["text-151".into()],
                from_s: 152.5,
                up_s: Some(154.5),
                full_service_s: Some(156.5),
                watched_s: 157.5,
                lowest: 158.5,
                lowest_of_control: 159.5,
                lost_s: 160.5,
            }],
            stampede: vec![Stampede {
                what: "text-163",
                all: Peak { peak: 165, at_s: 166.5, control_run: 167, times: 168.5 },
                busiest: Some(Peak { peak: 171, at_s: 172.5, control_run: 173, times: 174.5 }),
                over_time: vec![176],
            }],
            contention: Contention { refused: 178, beside_idle: 179, share: 180.5 },
            control_contention: Contention { refused: 182, beside_idle: 183, share: 184.5 },
            stale: Stale {
                told: StaleSends { sends: 187, oldest_ms: 188.5, balancers: 189 },
                untold: StaleSends { sends: 191, oldest_ms: 192.5, balancers: 193 },
            },
            service: vec![Some(196.5)],
            service_of_control: vec![Some(199.5)],
            step_s: 200.5,
            missed: vec!["text-202".into()],
        }),
    }
}

#[test]
fn report_is_written_byte_for_byte() {
    assert_eq!(serde_json::to_string(&report()).expect("JSON"), REPORT.trim_end());
    assert_eq!(VERSION, 1);
}

#[test]
fn parts_that_a_run_does_not_have_are_left_out_or_null() {
    let report = Report { sessions: None, bank: None, account: None, ..report() };
    let mut expected: Value = serde_json::from_str(REPORT).expect("JSON");
    let expected_keys = expected.as_object_mut().expect("an object");
    expected_keys.remove("sessions");
    expected_keys.remove("bank");
    expected_keys.insert("account".into(), Value::Null);
    assert_eq!(json!(report), expected);
}

#[test]
fn violations_keep_their_names_and_rules() {
    for (violation, rule, name) in [
        (Violation::Lost, 1, "lost"),
        (Violation::AnsweredTwice, 1, "answered-twice"),
        (Violation::ForeignAnswer, 1, "foreign-answer"),
        (Violation::SentAfterAnswer, 1, "sent-after-answer"),
        (Violation::SentAfterLeaving, 1, "sent-after-leaving"),
        (Violation::SentForNobody, 1, "sent-for-nobody"),
        (Violation::Crashed, 1, "crashed"),
        (Violation::ResentUnsafe, 2, "resent-unsafe"),
        (Violation::ResentElsewhere, 2, "resent-elsewhere"),
        (Violation::ResentTooLate, 2, "resent-too-late"),
        (Violation::TwoAtOnce, 2, "two-at-once"),
        (Violation::TooManyAttempts, 2, "too-many-attempts"),
        (Violation::RefusedAfterRun, 2, "refused-after-run"),
        (Violation::Altered, 2, "altered"),
        (Violation::SentToDrained, 3, "sent-to-drained"),
        (Violation::PushedOver, 4, "pushed-over"),
    ] {
        assert_eq!((violation.rule(), violation.name()), (rule, name));
        assert_eq!(json!(violation), name);
    }
}

#[test]
fn floor_is_told_in_the_same_words() {
    let floor = Floor { of: "cell 1".into(), served: 0.5, can: 0.875, wants: 0.75 };
    let text = "cell 1: 0.500 served of 0.875 that can be had, and 0.750 is wanted";
    assert_eq!(floor.text(), text);
}
