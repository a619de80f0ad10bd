//! The JSON report on a run, and the names and rules of violations, exactly as they are written.

use std::collections::BTreeMap;

use hollowpaddle_checker::cluster::{Change, Contradiction, InForce, PolicyReport, PolicySample};
use hollowpaddle_checker::recovery::{
    Contention, Episode, Peak, RecoveryReport, StaleReport, StaleSends, Stampede,
};
use hollowpaddle_checker::report::{Report, VERSION};
use hollowpaddle_checker::{
    ClassService, Counts, DuplicateEffect, EffectRun, Finding, Floor, Service, SessionReport,
    Violation,
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
            overall: 11.5,
            worst_window: 12.5,
            worst_window_start_s: 13,
            worst_class: 14.5,
            counts: Counts {
                requests: 16,
                in_time: 17,
                late: 18,
                refused: 19,
                failed: 20,
                unanswered: 21,
                unreachable: 22,
                abandoned: 23,
                repeats: 24,
                attempts: 25,
                rejected_attempts: 26,
            },
            classes: vec![ClassService {
                name: "text-29".into(),
                service: 30.5,
                counts: Counts {
                    requests: 32,
                    in_time: 33,
                    late: 34,
                    refused: 35,
                    failed: 36,
                    unanswered: 37,
                    unreachable: 38,
                    abandoned: 39,
                    repeats: 40,
                    attempts: 41,
                    rejected_attempts: 42,
                },
                latency_ms: Some([44.05, 44.15, 44.25, 44.35, 44.45]),
            }],
            over_time: vec![Some(47.5)],
            served_over_time: vec![49],
            unserved_over_time: vec![51],
            interval_s: 52.5,
        },
        violations: BTreeMap::from([("lost", 53)]),
        findings: vec![Finding {
            violation: Violation::Lost,
            at: At(57),
            balancer: Some(59),
            request: Some(61),
            what: "text-62".into(),
            history: vec![line()],
        }],
        resources: vec![Some(Resources { memory_kib: 68, descriptors: 69, cpu_ms: 70 })],
        overloaded_nodes: vec![72],
        floors: vec![Floor {
            scope: "text-75".into(),
            served: 76.5,
            achievable: 77.5,
            required: 78.5,
        }],
        sessions: Some(SessionReport {
            moved: 81,
            effects: 82,
            ran_twice: 83,
            duplicates: vec![DuplicateEffect {
                original: 86,
                runs: vec![EffectRun { at: At(89), request: 90, balancer: 91, node: 92, cell: 93 }],
            }],
            runs: 94,
            in_unknown_cells: 95,
            in_previous_cell: 96.5,
        }),
        policy: Some(PolicyReport {
            contradiction_s: 99.5,
            bound_s: 100.5,
            contradictions: vec![Contradiction {
                duration_s: 103.5,
                at_s: 104.5,
                balancer: 105,
                request: 106,
                node: 107,
                cell: 108,
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
                    in_force_99_s: Some(125.5),
                    in_force_all_s: Some(127.5),
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
            unrecoverable: 137,
            broken: vec!["text-139".into()],
            over_time: vec![PolicySample { at_s: 142.5, leased: 143.5, newest: 144.5 }],
        }),
        recovery: Some(RecoveryReport {
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
                kind: "text-163",
                all: Peak { peak: 165, at_s: 166.5, control_p99: 167, times: 168.5 },
                busiest: Some(Peak { peak: 171, at_s: 172.5, control_p99: 173, times: 174.5 }),
                over_time: vec![176],
            }],
            contention: Contention { refused: 178, beside_idle: 179, share: 180.5 },
            control_contention: Contention { refused: 182, beside_idle: 183, share: 184.5 },
            stale: StaleReport {
                informed: StaleSends { sends: 187, oldest_ms: 188.5, balancers: 189 },
                uninformed: StaleSends { sends: 191, oldest_ms: 192.5, balancers: 193 },
            },
            service: vec![Some(196.5)],
            service_of_control: vec![Some(199.5)],
            step_s: 200.5,
            missed_expectations: vec!["text-202".into()],
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
    let report = Report { sessions: None, policy: None, recovery: None, ..report() };
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
fn floor_text_is_unchanged() {
    let floor = Floor { scope: "cell 1".into(), served: 0.5, achievable: 0.875, required: 0.75 };
    let text = "cell 1: 0.500 served of 0.875 that can be had, and 0.750 is wanted";
    assert_eq!(floor.text(), text);
}
