//! The exact format of learned state, of the deployment's settings, and of the names that appear in logs.

mod common;

use common::{Harness, member, settings};
use hollowpaddle_policy::interface::{
    Class, Effect, Group, Limits, ListKind, Member, Outcome, Prices, Refusal, Report, Reports,
    Rules, ScoringMix, Settings, SettingsError, SignedDuration, Tenant, Time,
};
use hollowpaddle_policy::learned::{Learned, RecallError};
use hollowpaddle_policy::settings::{Facts, Field, key_hash, stable_hash};
use serde_json::{Value, json};

const LEARNED: &str = include_str!("formats/learned.json");
const ALL_KEYS: &str = include_str!("formats/settings.json");
const REQUIRED_KEYS: &str = include_str!("formats/settings-required.json");

/// FNV-1a, 64 bits, of `["read", "write"] ["zone-a", "zone-b", "zone-c"] ["small", "large"]`.
const NUMBERING_HASH_OF_ALL_KEYS: u64 = 0x11a4_5797_28ac_4175;
/// FNV-1a, 64 bits, of `[""] [] []`.
const NUMBERING_HASH_OF_REQUIRED_KEYS: u64 = 0xc886_568e_e76d_97a5;

#[test]
fn learned_state_is_read_and_written_byte_for_byte() {
    let text = LEARNED.trim_end();
    let learned: Learned = serde_json::from_str(text).expect("readable");
    assert_eq!(serde_json::to_string(&learned).expect("JSON"), text);
}

#[test]
fn learned_state_passes_through_a_balancer_unchanged() {
    let learned: Learned = serde_json::from_str(LEARNED).expect("readable");
    let mut harness = Harness::new(settings());
    let started = Member { started: Some(Time(999_000_000)), ..member(1, 0) };
    harness.list(ListKind::Complete, &[member(0, 0), started]);
    harness.balancer.recall(harness.now, &learned).expect("fits");
    let written = serde_json::to_string(&harness.balancer.learned()).expect("JSON");
    assert_eq!(written, LEARNED.trim_end());
}

/// Returns the settings in the file with all keys.
fn all_keys() -> Settings {
    Settings {
        classes: vec![
            Class {
                latency_objective: SignedDuration(101_500),
                deadline: SignedDuration(602_250),
                priority_weight: 3.5,
                late_priority_weight: 0.25,
                effect: Effect::Keyed,
                group: Group::Cell,
                window: SignedDuration(703_000),
                objective_stretch: 1.75,
                streaming: true,
                in_order: true,
                zones: Some(vec![0, 2]),
                machine_types: Some(vec![1]),
            },
            Class {
                effect: Effect::Unsafe,
                ..Class::safe(SignedDuration(20_000), SignedDuration(40_000))
            },
        ],
        tenants: vec![
            Tenant { quota_rps: 11.5, share: 0.375 },
            Tenant { quota_rps: 12.5, share: 0.625 },
        ],
        balancers: 7,
        position: 5,
        zones: 3,
        zone: 1,
        tick: SignedDuration(2_500),
        polls_list: true,
        limits: Limits {
            max_attempts: 4,
            hedging: true,
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: SignedDuration(804_000),
            connect_timeout: SignedDuration(105_000),
            keepalive: SignedDuration(5_006_000),
            streams_per_conn: 9,
        },
        rules: Rules {
            warm_up_initial_share: 0.125,
            warm_up: SignedDuration(8_004_000),
            overload_multiple: 2.75,
            overload_window: SignedDuration(1_105_000),
            drain_grace: SignedDuration(1_002_000),
            answer_slack: SignedDuration(23_000),
            list_poll_interval: SignedDuration(10_001_000),
            idle_close_limit: SignedDuration(56_000),
            ordering_key_rest: SignedDuration(37_000),
        },
        prices: Prices {
            cross_zone: 0.01,
            waste: 0.02,
            handshake: 0.03,
            probe: 0.04,
            late_failure: 0.05,
        },
        mix: ScoringMix { whole: 0.4, worst_window: 0.3, worst_class: 0.2, worst_tenant: 0.1 },
        over_quota_weight: 0.15,
        counts_by_work: true,
        marks_retry: true,
        reports: Reports::Probes,
        bars_classes: false,
        numbering_hash: NUMBERING_HASH_OF_ALL_KEYS,
    }
}

/// Returns the settings in the file with only the required keys. All other keys have their defaults.
fn required_keys() -> Settings {
    let mut settings =
        Settings::basic(vec![Class::safe(SignedDuration(100_000), SignedDuration(300_000))]);
    settings.zones = 0;
    settings.limits.streams_per_conn = 0;
    settings.rules.warm_up = SignedDuration(5_000_000);
    settings.rules.warm_up_initial_share = 0.25;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_window = SignedDuration(1_000_000);
    settings.mix.whole = 0.0;
    settings.numbering_hash = NUMBERING_HASH_OF_REQUIRED_KEYS;
    settings
}

fn read(text: &str) -> Facts {
    serde_json::from_str(text).expect("settings")
}

/// Reads the settings with all keys, with another value at a JSON pointer.
fn with(pointer: &str, value: Value) -> Result<Facts, serde_json::Error> {
    let mut settings: Value = serde_json::from_str(ALL_KEYS).expect("JSON");
    *settings.pointer_mut(pointer).expect("a key of the file") = value;
    serde_json::from_value(settings)
}

#[test]
fn every_key_of_the_settings_reaches_the_balancer() {
    for (text, settings) in [(ALL_KEYS, all_keys()), (REQUIRED_KEYS, required_keys())] {
        assert_eq!(format!("{:#?}", read(text).settings()), format!("{settings:#?}"));
    }
}

#[test]
fn keys_that_only_programs_use_are_read() {
    let all = read(ALL_KEYS);
    let services: Vec<&str> = all.services.iter().map(|s| s.name.as_str()).collect();
    let tenants: Vec<&str> = all.tenants.iter().map(|t| t.name).collect();
    assert_eq!(services, ["read", "write"]);
    assert_eq!(tenants, ["tenant-a", "tenant-b"]);
    assert_eq!(all.zones, ["zone-a", "zone-b", "zone-c"]);
    assert_eq!(all.machine_types, ["small", "large"]);
    assert_eq!(all.stats.names, ["util", "queue"]);
    assert!(all.policy_limits.peer_messages);
    assert!(!read(REQUIRED_KEYS).policy_limits.peer_messages);
}

#[test]
fn every_value_of_an_enumerated_key_is_read() {
    let read = |pointer: &str, value: &str| with(pointer, json!(value)).expect(value).settings();
    for (value, effect) in
        [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)]
    {
        assert_eq!(read("/Services/0/Effect", value).classes[0].effect, effect);
    }
    for (value, group) in [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)] {
        assert_eq!(read("/Services/0/Group", value).classes[0].group, group);
    }
    for (value, polls_list) in [("automatic", false), ("subscribe", true)] {
        assert_eq!(read("/RegistryMode", value).polls_list, polls_list);
    }
    for (value, counts_by_work) in [("request", false), ("work", true)] {
        assert_eq!(read("/CountedBy", value).counts_by_work, counts_by_work);
    }
    for (value, reports) in
        [("piggyback", Reports::Answers), ("pull", Reports::Probes), ("silent", Reports::None)]
    {
        assert_eq!(read("/Stats/How", value).reports, reports);
    }
}

#[test]
fn messages_for_wrong_values_name_what_was_expected() {
    for (pointer, value, message) in [
        ("/Balancers", json!(-1), "invalid value: integer `-1`, expected u32"),
        ("/Tick", json!("1s"), "invalid type: string \"1s\", expected f64"),
        (
            "/RegistryMode",
            json!("push"),
            "unknown variant `push`, expected `automatic` or `subscribe`",
        ),
        (
            "/Services/0/Effect",
            json!("safe"),
            "unknown variant `safe`, expected one of `retryable`, `dedup`, `fragile`",
        ),
        (
            "/Services/0/Group",
            json!("rack"),
            "unknown variant `rack`, expected one of `all`, `zone`, `cell`",
        ),
        ("/CountedBy", json!("byte"), "unknown variant `byte`, expected `request` or `work`"),
        (
            "/Stats/How",
            json!("push"),
            "unknown variant `push`, expected one of `piggyback`, `pull`, `silent`",
        ),
        ("/Tenants", json!(3), "invalid type: integer `3`, expected a list of tenants"),
    ] {
        assert_eq!(with(pointer, value).expect_err(pointer).to_string(), message);
    }
}

#[test]
fn messages_for_missing_keys_name_the_key() {
    for (parent, key) in [
        ("", "Balancers"),
        ("", "Tick"),
        ("", "RegistryMode"),
        ("", "Services"),
        ("", "PolicyLimits"),
        ("", "Safety"),
        ("/Services/0", "Aim"),
        ("/Services/0", "Deadline"),
        ("/Services/0", "Effect"),
        ("/PolicyLimits", "MaxAttempts"),
        ("/Safety", "Cold"),
        ("/Safety", "ColdFrom"),
        ("/Safety", "FallMultiple"),
        ("/Safety", "TipAfter"),
    ] {
        let mut settings: Value = serde_json::from_str(REQUIRED_KEYS).expect("JSON");
        let object = settings.pointer_mut(parent).and_then(Value::as_object_mut);
        object.expect("an object").remove(key).expect("a key of the file");
        let error = serde_json::from_value::<Facts>(settings).expect_err(key);
        assert_eq!(error.to_string(), format!("missing field `{key}`"));
    }
}

#[test]
fn messages_for_unusable_settings_and_learned_state_keep_their_text() {
    for (error, message) in [
        (SettingsError::NoClasses, "settings name no request class"),
        (
            SettingsError::InvalidLatencyObjective(2),
            "class 2 has an aim or deadline that is not above zero",
        ),
    ] {
        assert_eq!(error.to_string(), message);
    }
    for (error, message) in [
        (RecallError::Classes(2, 3), "it was learned of 2 classes, and there are 3"),
        (RecallError::Numbering, "it was learned of other classes, zones or kinds"),
        (RecallError::InvalidFigure, "a figure of it is out of range"),
    ] {
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn hashes_that_are_stored_or_shared_are_fnv_1a() {
    assert_eq!(stable_hash("10.0.0.1:8080"), 0x8c20_5676_cb13_9b95);
    assert_eq!(key_hash("user-1"), 0xf84b_a2aa_754a_4bd4, "no hexadecimal number");
    assert_eq!(key_hash("00fF"), 0xff, "a hexadecimal number");
}

#[test]
fn values_of_a_load_report_are_read_by_name() {
    let text = |report: &Report| format!("{report:?}");
    let report = Report::default;
    for (name, expected) in [
        ("inflight", Report { inflight: Some(2.5), ..report() }),
        ("queue", Report { queue: Some(2.5), ..report() }),
        ("util", Report { util: Some(2.5), ..report() }),
        ("latency_ms", Report { service: Some(SignedDuration(2_500)), ..report() }),
        ("qps", Report { qps: Some(2.5), ..report() }),
        ("eps", Report { eps: Some(2.5), ..report() }),
        ("other", report()),
    ] {
        let mut read = report();
        Field::named(name).set(&mut read, 2.5);
        assert_eq!(text(&read), text(&expected), "{name}");
    }
}

#[test]
fn refusals_and_outcomes_keep_their_names_in_logs() {
    for (refusal, name) in [
        (Refusal::UnknownClass, "unknown_class"),
        (Refusal::ListExpired, "list_expired"),
        (Refusal::QueueFull, "queue_full"),
        (Refusal::OverQuota, "over_share"),
        (Refusal::DeadlineTooClose, "no_time"),
        (Refusal::QueuedTooLong, "held_too_long"),
        (Refusal::AttemptsFailed, "attempts_failed"),
    ] {
        assert_eq!(refusal.name(), name);
    }
    for (outcome, name) in [
        (Outcome::Ok, "Ok"),
        (Outcome::Error, "Error"),
        (Outcome::Full, "Full"),
        (Outcome::Timeout, "Timeout"),
        (Outcome::ConnectFailed, "ConnectFailed"),
        (Outcome::Reset, "Reset"),
        (Outcome::Cancelled, "Cancelled"),
        (Outcome::Moot, "Moot"),
    ] {
        assert_eq!(format!("{outcome:?}"), name);
    }
}
