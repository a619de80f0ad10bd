//! Pins the formats of everything that this package writes to other balancers, the log, the disk and the admin API. The
//! expected text is data under `tests/formats/` or a literal here, and is never computed, so that a rename in the code
//! cannot change it unnoticed.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::sync::Arc;

use common::{next, options, policy, rollback, without};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::canary::{CanaryTerms, RollbackCause};
use hollowpaddle_revision::difference::Difference;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::{FallbackFloor, FallbackPolicy, FallbackPolicyError};
use hollowpaddle_revision::fleet::{ClassFacts, FleetConflict, FleetFacts, Group};
use hollowpaddle_revision::history::{ChangeStatus, Origin, ProposalResult};
use hollowpaddle_revision::lists::{ListMessage, Stop};
use hollowpaddle_revision::message::{Generation, LeaseRejection, Message};
use hollowpaddle_revision::policy_state::{PolicyState, Rejection};
use hollowpaddle_revision::rules::Rules;
use serde::Serialize;
use serde::de::DeserializeOwned;

type Cases<T> = Vec<(&'static str, T)>;

/// Checks each encoded value against its line in `data` (`case: bytes in hex`), decodes the line again, and rejects
/// additional lines.
fn assert_bytes<T: Debug + PartialEq>(
    data: &str,
    cases: &Cases<T>,
    write: impl Fn(&T) -> Vec<u8>,
    read: impl Fn(&[u8]) -> T,
) {
    let hex = |bytes: Vec<u8>| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let written = cases.iter().map(|(case, value)| format!("{case}: {}", hex(write(value))));
    assert_eq!(written.collect::<Vec<_>>(), data.lines().collect::<Vec<_>>());
    for (line, (case, value)) in data.lines().zip(cases) {
        let digits = line.rsplit_once(": ").expect("`case: hex`").1;
        let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
        let bytes: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
        assert_eq!(read(&bytes), *value, "{case}");
    }
}

/// Checks values that are part of the log or of a snapshot like [`assert_bytes`], with their postcard encoding.
fn assert_parts<T: Debug + PartialEq + Serialize + DeserializeOwned>(data: &str, cases: &Cases<T>) {
    let write = |value: &T| postcard::to_stdvec(value).unwrap();
    assert_bytes(data, cases, write, |bytes| postcard::from_bytes(bytes).unwrap());
}

fn assert_text<T>(cases: &Cases<T>, print: impl Fn(&T) -> String) {
    let printed: Vec<String> = cases.iter().map(|(_, value)| print(value)).collect();
    let expected: Vec<&str> = cases.iter().map(|(text, _)| *text).collect();
    assert_eq!(printed, expected);
}

/// Returns a document that names each part of the fleet.
fn document() -> Document {
    let json = include_str!("formats/document.json");
    Document::from_json(json.as_bytes()).unwrap()
}

fn fallback_policy() -> FallbackPolicy {
    FallbackPolicy {
        cells: BTreeSet::from([1, 300]),
        except: BTreeSet::from(["u7".into()]),
        attempts: 2,
    }
}

fn facts() -> FleetFacts {
    FleetFacts {
        zones: vec!["bilbao".into()],
        load: vec![1300],
        machine_types: vec!["m1".into(), "m2".into()],
        groups: vec![Group { cell: 300, zone: 0, machine_type: 1, upstreams: 4, capacity: 500 }],
        classes: vec![ClassFacts { name: "log".into(), zones: vec![0], machine_types: vec![] }],
        named: BTreeMap::from([("u7".into(), (300, 0))]),
    }
}

fn proposal(canary: Option<CanaryTerms>) -> Box<ProposalOptions> {
    Box::new(ProposalOptions {
        id: CommandId(0x2832),
        base: Some(11),
        canary,
        forced: true,
        facts: facts(),
    })
}

const CANARY_TERMS: CanaryTerms = CanaryTerms { seconds: 60, fall: 100 };
const GENERATION: Generation = Generation { epoch: 1, index: 300 };

fn lease_messages() -> Cases<Message> {
    let (sent_at_us, confirmed) = (1_000_000, Generation { epoch: 1, index: 299 });
    let present = [0, 9].into_iter().map(NodeId).collect();
    let renew = |fallback_holders| Message::Renew {
        sent_at_us,
        generation: GENERATION,
        confirmed,
        present,
        fallback_holders,
    };
    let reject = |reason| Message::LeaseRejection {
        incarnation: Incarnation(7),
        sent_at_us,
        generation: GENERATION,
        reason,
    };
    vec![
        ("renew_lease", renew(None)),
        ("renew_lease_during_fallback_change", renew(Some((GENERATION, present)))),
        ("leave_parent", Message::Departed { confirmed }),
        (
            "grant_lease",
            Message::Grant {
                incarnation: Incarnation(7),
                sent_at_us,
                generation: GENERATION,
                duration_us: 2_000_000,
            },
        ),
        ("deny_other_generation", reject(LeaseRejection::Generation)),
        ("deny_no_lease", reject(LeaseRejection::Lease)),
        ("deny_full", reject(LeaseRejection::Full)),
    ]
}

fn list_messages() -> Cases<ListMessage> {
    let stop = |name: &str, ended| Stop { name: name.into(), version: 41, ended };
    vec![
        ("version", ListMessage { version: 300, stops: vec![] }),
        (
            "draining_and_gone",
            ListMessage { version: 300, stops: vec![stop("u7", false), stop("u8", true)] },
        ),
    ]
}

fn log_entries() -> Cases<Entry> {
    let document = Box::new(document());
    vec![
        ("propose", Entry::Propose(proposal(None), document.clone())),
        ("propose_canary", Entry::Propose(proposal(Some(CANARY_TERMS)), document)),
        ("rollback", Entry::Rollback(proposal(None), 3)),
        ("generation_confirmed", Entry::GenerationConfirmed(300)),
        (
            "change_fallback",
            Entry::FallbackPolicy(CommandId(0x2832), fallback_policy(), Box::new(facts())),
        ),
        ("fallback_confirmed", Entry::FallbackPolicyConfirmed(300)),
        ("confirm_canary", Entry::ConfirmCanary(CommandId(0x2832), 11)),
        ("take_back_unconfirmed", Entry::AutomaticRollback(11, RollbackCause::NotConfirmed)),
        (
            "take_back_after_fall",
            Entry::AutomaticRollback(11, RollbackCause::ServedWeightFell(300)),
        ),
        ("node_dead", Entry::MarkDead(CommandId(0x2832), NodeId(300))),
        ("node_alive", Entry::MarkAlive(CommandId(0x2832), NodeId(300))),
    ]
}

fn origins() -> Cases<Origin> {
    vec![
        ("founding", Origin::Bootstrap),
        ("proposed(id(00000000000000000000000000002832))", Origin::Proposed(CommandId(0x2832))),
        (
            "rollback(id(00000000000000000000000000002832), 3)",
            Origin::Rollback(CommandId(0x2832), 3),
        ),
        ("takenback(11, notconfirmed)", Origin::AutomaticRollback(11, RollbackCause::NotConfirmed)),
        (
            "takenback(11, worthfell(300))",
            Origin::AutomaticRollback(11, RollbackCause::ServedWeightFell(300)),
        ),
    ]
}

fn change_statuses() -> Cases<ChangeStatus> {
    vec![
        ("waits", ChangeStatus::Pending),
        ("narrow", ChangeStatus::Restricting),
        ("inforce", ChangeStatus::InForce),
        ("was(11)", ChangeStatus::Superseded(11)),
        ("never(300)", ChangeStatus::Skipped(300)),
    ]
}

fn fleet_conflicts() -> Cases<FleetConflict> {
    let (what, name) = ("pod".to_string(), "300".to_string());
    vec![
        (
            "there is no pod `300` now; expected names of the list: correct it, or force it",
            FleetConflict::Unknown { what: what.clone(), name },
        ),
        (
            "class `log` would have no pod; expected one at least: leave one in, or force it",
            FleetConflict::NoCellForClass { class: "log".into() },
        ),
        (
            "site `bilbao` has a load of 1300 and would have room for 1000 (thousandths of work a second); \
             leave more in, or force it",
            FleetConflict::NoCapacity { zone: "bilbao".into(), load: 1300, capacity: 1000 },
        ),
        (
            "it forbids pod, which the charter allows; take that out of the charter first",
            FleetConflict::FallbackPolicy { what: what.clone() },
        ),
        (
            "the fleet's facts can't be: pod; the proposer's build is at fault",
            FleetConflict::FleetFacts { what },
        ),
    ]
}

fn fallback_policy_errors() -> Cases<FallbackPolicyError> {
    let (field, found, expected) = ("attempts".into(), "4".into(), "1 to 3".into());
    vec![
        (
            "checking the charter: `attempts` is 4; expected 1 to 3",
            FallbackPolicyError::Field { field, found, expected },
        ),
        (
            "the charter leaves out pod 1, which is bedrock; expected all of it: keep that",
            FallbackPolicyError::MandatoryFallback { what: "pod 1".into() },
        ),
    ]
}

/// Returns all rejections. A rejection that wraps one of the errors above has one variant of that error.
fn rejections() -> Cases<Rejection> {
    let (conflict, fallback_policy) =
        (fleet_conflicts().remove(1), fallback_policy_errors().remove(1));
    vec![
        (
            "made against revision 3, after which 4 came; the newest is 300: look at that and propose again",
            Rejection::StaleBase { base: 3, first: 4, newest: 300 },
        ),
        (
            "revision 3 is not kept; expected one of 4 to 300",
            Rejection::Unknown { number: 3, oldest: 4, newest: 300 },
        ),
        ("the document's error", Rejection::Document("the document's error".into())),
        (conflict.0, Rejection::FleetConflict(conflict.1)),
        (
            "a trial of 60 s and 100 thousandths; expected 1 to 3600 and 1 to 1000",
            Rejection::CanaryTerms(CANARY_TERMS),
        ),
        (
            "revision 3 is not on trial; it was taken back, replaced, or had none",
            Rejection::NotOnCanary { number: 3 },
        ),
        (fallback_policy.0, Rejection::FallbackPolicy(fallback_policy.1)),
        (
            "another charter is on its way since entry 300; wait until everyone has confirmed it, \
             or give the old one again to withdraw it",
            Rejection::FallbackChangeInProgress { since: 300 },
        ),
        (
            "there is no balancer 300 in a bank of 5",
            Rejection::UnknownNode { member: 300, members: 5 },
        ),
    ]
}

/// Returns a state in which each stored field differs from its usual value, produced by entries 1 to 13.
fn busy_state() -> PolicyState {
    let mut policy = policy();
    let canary_options = |id| ProposalOptions { canary: Some(CANARY_TERMS), ..options(id, None) };
    let canary = |id| Entry::Propose(Box::new(canary_options(id)), Box::new(without(&[3])));
    let mut to = policy.status().fallback_policy.as_ref().clone();
    to.attempts = 2;
    for entry in [
        common::propose(1, Some(0), document_that_fits()),
        Entry::FallbackPolicy(CommandId(2), to, Box::new(common::facts())),
        Entry::GenerationConfirmed(1),
        Entry::GenerationConfirmed(3),
        canary(5),
        Entry::GenerationConfirmed(4),
        Entry::AutomaticRollback(5, RollbackCause::NotConfirmed),
        canary(8),
        Entry::AutomaticRollback(8, RollbackCause::ServedWeightFell(300)),
        Entry::MarkDead(CommandId(10), NodeId(3)),
        common::propose(11, Some(3), without(&[2])),
        rollback(12, None, 1),
        canary(13),
    ] {
        next(&mut policy, &entry);
    }
    policy
}

fn document_that_fits() -> Document {
    Document { attempts: 2, oldest_list: 41, ..without(&[2]) }
}

#[test]
fn lease_messages_keep_their_bytes() {
    let read = |bytes: &[u8]| Message::from_bytes(bytes).unwrap();
    assert_bytes(
        include_str!("formats/lease_messages.txt"),
        &lease_messages(),
        Message::to_bytes,
        read,
    );
}

#[test]
fn list_messages_keep_their_bytes() {
    let read = |bytes: &[u8]| ListMessage::from_bytes(bytes).unwrap();
    assert_bytes(
        include_str!("formats/list_messages.txt"),
        &list_messages(),
        ListMessage::to_bytes,
        read,
    );
}

#[test]
fn log_entries_keep_their_bytes() {
    let write = |entry: &Entry| entry.to_bytes().unwrap();
    let read = |bytes: &[u8]| Entry::from_bytes(bytes).unwrap();
    assert_bytes(include_str!("formats/log_entries.txt"), &log_entries(), write, read);
}

#[test]
fn snapshots_keep_their_bytes() {
    let mut confirmed = busy_state();
    next(&mut confirmed, &Entry::FallbackPolicyConfirmed(4));
    let cases =
        vec![("bootstrap", policy()), ("busy", busy_state()), ("fallback_confirmed", confirmed)];
    let write = |policy: &PolicyState| policy.to_snapshot().unwrap();
    let read = |bytes: &[u8]| PolicyState::from_snapshot(bytes).unwrap();
    assert_bytes(include_str!("formats/snapshots.txt"), &cases, write, read);
}

#[test]
fn parts_of_snapshots_keep_their_bytes() {
    assert_parts(include_str!("formats/origins.txt"), &origins());
    assert_parts(include_str!("formats/fates.txt"), &change_statuses());
    assert_parts(include_str!("formats/refusals.txt"), &rejections());
    assert_parts(include_str!("formats/misfits.txt"), &fleet_conflicts());
    assert_parts(include_str!("formats/charter_errors.txt"), &fallback_policy_errors());
    let answers = vec![
        ("done", ProposalResult { index: 300, outcome: Ok(11) }),
        (
            "rejected",
            ProposalResult { index: 300, outcome: Err(Rejection::NotOnCanary { number: 3 }) },
        ),
    ];
    assert_parts(include_str!("formats/answers.txt"), &answers);
}

#[test]
fn admin_api_prints_origins_statuses_and_errors_as_before() {
    assert_text(&origins(), ToString::to_string);
    assert_text(&change_statuses(), ToString::to_string);
    assert_text(&rejections(), ToString::to_string);
    assert_text(&fleet_conflicts(), ToString::to_string);
    assert_text(&fallback_policy_errors(), ToString::to_string);
}

#[test]
fn documents_keep_their_json() {
    let json = include_str!("formats/document.json");
    assert_eq!(serde_json::to_string(&document()).unwrap(), json.trim_end());
    let text = "{\"out\":{\"upstreams\":[],\"pods\":[],\"flavours\":[],\"sites\":[]},\
                \"weights\":{\"upstreams\":{},\"pods\":{},\"flavours\":{},\"sites\":{}},\
                \"kept\":{},\"attempts\":3,\"times\":4.0,\"balancers\":null,\"sessions\":{},\"eldest_list\":0}";
    assert_eq!(Document::from_json(b"{}").unwrap(), Document::default());
    assert_eq!(serde_json::to_string(&Document::default()).unwrap(), text);
}

#[test]
fn stored_and_posted_fallback_policies_keep_their_json() {
    let text = r#"{"pods":[1,300],"except":["u7"],"attempts":2}"#;
    assert_eq!(serde_json::to_string(&fallback_policy()).unwrap(), text);
    assert_eq!(serde_json::from_str::<FallbackPolicy>(text).unwrap(), fallback_policy());
    let short: FallbackPolicy = serde_json::from_str(r#"{"pods":[1],"attempts":1}"#).unwrap();
    assert_eq!(
        short,
        FallbackPolicy { cells: BTreeSet::from([1]), except: BTreeSet::new(), attempts: 1 }
    );
    let text = r#"{"epoch":1,"index":300}"#;
    assert_eq!(serde_json::to_string(&GENERATION).unwrap(), text);
    assert_eq!(serde_json::from_str::<Generation>(text).unwrap(), GENERATION);
}

#[test]
fn posted_canary_terms_keep_their_json() {
    let text = r#"{"seconds":60,"fall":100}"#;
    assert_eq!(serde_json::to_string(&CANARY_TERMS).unwrap(), text);
    assert_eq!(serde_json::from_str::<CanaryTerms>(text).unwrap(), CANARY_TERMS);
}

#[test]
fn dry_runs_keep_their_json() {
    let found: Vec<FleetConflict> =
        fleet_conflicts().into_iter().map(|(_, conflict)| conflict).skip(1).take(1).collect();
    let written =
        |from, to| serde_json::to_string(&Difference::of(from, to, &found)).unwrap() + "\n";
    let (usual, changed) = (Document::default(), document());
    assert_eq!(written(&usual, &changed), include_str!("formats/dry_run.json"));
    assert_eq!(written(&changed, &usual), include_str!("formats/dry_run_back.json"));
}

/// The errors of the admin API name keys as users write them, not as the fields are called in the code.
#[test]
fn errors_about_posted_documents_name_the_keys_as_before() {
    for line in include_str!("formats/document_errors.txt").lines() {
        let (json, text) = line.split_once(" => ").expect("`JSON => error`");
        assert_eq!(Document::from_json(json.as_bytes()).unwrap_err().to_string(), text, "{json}");
    }
}

#[test]
fn errors_about_long_lists_name_the_keys_as_before() {
    let names =
        |more: &str| (0..513).map(|n| format!("\"{n}\"{more}")).collect::<Vec<_>>().join(",");
    let (list, map, sessions) = (names("").replace('"', ""), names(":1"), names(":600"));
    let strings = names("");
    let kept = names(":[1]");
    let cases = [
        (
            format!(r#"{{"out":{{"upstreams":[{strings}]}}}}"#),
            "`out.upstreams` is 513 long; expected 512 at most",
        ),
        (
            format!(r#"{{"out":{{"pods":[{list}]}}}}"#),
            "`out.pods` is 513 long; expected 512 at most",
        ),
        (
            format!(r#"{{"out":{{"flavours":[{strings}]}}}}"#),
            "`out.flavours` is 513 long; expected 64 at most",
        ),
        (
            format!(r#"{{"out":{{"sites":[{strings}]}}}}"#),
            "`out.sites` is 513 long; expected 64 at most",
        ),
        (
            format!(r#"{{"weights":{{"upstreams":{{{map}}}}}}}"#),
            "`weights.upstreams` is 513 long; expected 512 at most",
        ),
        (
            format!(r#"{{"weights":{{"pods":{{{map}}}}}}}"#),
            "`weights.pods` is 513 long; expected 512 at most",
        ),
        (
            format!(r#"{{"weights":{{"flavours":{{{map}}}}}}}"#),
            "`weights.flavours` is 513 long; expected 64 at most",
        ),
        (
            format!(r#"{{"weights":{{"sites":{{{map}}}}}}}"#),
            "`weights.sites` is 513 long; expected 64 at most",
        ),
        (format!(r#"{{"kept":{{{kept}}}}}"#), "`kept` is 513 long; expected 64 at most"),
        (format!(r#"{{"kept":{{"log":[{list}]}}}}"#), "`kept` is 513 long; expected 512 at most"),
        (
            format!(r#"{{"sessions":{{{sessions}}}}}"#),
            "`sessions` is 513 long; expected 64 at most",
        ),
    ];
    for (json, text) in cases {
        let error = Document::from_json(json.as_bytes()).unwrap_err().to_string();
        assert_eq!(error, format!("checking the document: {text}"));
    }
}

#[test]
fn errors_about_posted_fallback_policies_and_canary_terms_name_the_keys_as_before() {
    let fallback = [
        (
            r#"{"pods":[1],"attempts":1,"pod":[1]}"#,
            "unknown field `pod`, expected one of `pods`, `except`, `attempts` at line 1 column 30",
        ),
        (r#"{"attempts":1}"#, "missing field `pods` at line 1 column 14"),
        (r#"{"pods":[1]}"#, "missing field `attempts` at line 1 column 12"),
    ];
    for (json, text) in fallback {
        assert_eq!(
            serde_json::from_str::<FallbackPolicy>(json).unwrap_err().to_string(),
            text,
            "{json}"
        );
    }
    let terms = [
        (
            r#"{"minutes":1}"#,
            "unknown field `minutes`, expected `seconds` or `fall` at line 1 column 10",
        ),
        (r#"{"fall":100}"#, "missing field `seconds` at line 1 column 12"),
        (r#"{"seconds":60}"#, "missing field `fall` at line 1 column 14"),
    ];
    for (json, text) in terms {
        assert_eq!(
            serde_json::from_str::<CanaryTerms>(json).unwrap_err().to_string(),
            text,
            "{json}"
        );
    }
    let wide = |attempts, cells| FallbackPolicy { attempts, cells, except: BTreeSet::new() };
    let none = BTreeSet::new();
    let checks = [
        (wide(4, none.clone()), "checking the charter: `attempts` is 4; expected 1 to 3"),
        (
            wide(1, (0..513).collect()),
            "checking the charter: `pods` is 513 long; expected 512 at most",
        ),
        (
            FallbackPolicy { except: BTreeSet::from([String::new()]), ..wide(1, none.clone()) },
            "checking the charter: `except` is a name that can't be; expected names of 1 to 64 bytes",
        ),
        (
            FallbackPolicy {
                except: (0..513).map(|n| n.to_string()).collect(),
                ..wide(1, none.clone())
            },
            "checking the charter: `except` is 513 long; expected 512 at most",
        ),
        (
            wide(1, none),
            "the charter leaves out pod 1, which is bedrock; expected all of it: keep that",
        ),
        (
            wide(1, fallback_policy().cells),
            "the charter leaves out 2 attempts, which is bedrock; expected all of it: keep that",
        ),
    ];
    for (policy, text) in checks {
        assert_eq!(policy.check(&fallback_policy()).unwrap_err().to_string(), text);
    }
}

/// Every balancer derives the usual fallback policies from the settings, so a build that chooses other cells would
/// disagree with its peers.
#[test]
fn usual_fallback_policies_keep_their_cells() {
    let zones = [("bilbao", 0..9), ("oviedo", 100..104)];
    let zones =
        zones.into_iter().map(|(zone, cells)| (zone.to_string(), cells.collect())).collect();
    let cells = |policy: FallbackPolicy| policy.cells.into_iter().collect::<Vec<u32>>();
    assert_eq!(cells(FallbackPolicy::third(&zones, 1)), [3, 4, 6, 102, 103]);
    assert_eq!(cells(FallbackPolicy::mandatory_fallback(&zones)), [3, 103]);
}

#[test]
fn conflicts_with_the_fallback_policy_and_the_fleet_keep_their_texts() {
    let facts = FleetFacts { zones: vec!["oviedo".into()], ..facts() };
    let conflicts = |document: Document, cells: &[u32], attempts| -> Vec<String> {
        let policy = FallbackPolicy {
            cells: cells.iter().copied().collect(),
            attempts,
            ..fallback_policy()
        };
        let policy = FallbackPolicy { except: BTreeSet::new(), ..policy };
        let rules = Rules::of(document, Arc::new(FallbackFloor::of(policy)));
        facts.fleet_conflicts(&rules).iter().map(ToString::to_string).collect()
    };
    let forbidden = conflicts(document(), &[3, 7, 300], 3);
    let expected = [
        "pod 3",
        "pod 300",
        "class `log` at pod 7",
        "3 attempts",
        "site `oviedo` with its pod 300",
        "flavour `m2` in pod 300",
        "upstream `u7`",
    ]
    .map(|what| {
        format!("it forbids {what}, which the charter allows; take that out of the charter first")
    });
    assert_eq!(forbidden[..expected.len()], expected);
    for (json, unknown) in [
        (r#"{"out":{"upstreams":["u9"]}}"#, "upstream `u9`"),
        (r#"{"out":{"pods":[9]}}"#, "pod `9`"),
        (r#"{"out":{"flavours":["m9"]}}"#, "flavour `m9`"),
        (r#"{"out":{"sites":["lugo"]}}"#, "site `lugo`"),
        (r#"{"sessions":{"sync":600}}"#, "class `sync`"),
    ] {
        let document = Document::from_json(json.as_bytes()).unwrap();
        let text = format!(
            "there is no {unknown} now; expected names of the list: correct it, or force it"
        );
        assert_eq!(conflicts(document, &[], 1)[0], text);
    }
}
