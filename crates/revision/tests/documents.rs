//! Tests of documents, rules, fleet conflicts, fallback policies and canary terms.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{facts, place, without};
use hollowpaddle_revision::canary::{CanaryMetric, CanaryTerms, RollbackCause};
use hollowpaddle_revision::document::{Document, DocumentError};
use hollowpaddle_revision::fallback_policy::{FallbackFloor, FallbackPolicy};
use hollowpaddle_revision::fleet::FleetConflict;
use hollowpaddle_revision::rules::{Place, Rules};
use proptest::prelude::*;

fn floor(cells: &[u32]) -> Arc<FallbackFloor> {
    let cells = cells.iter().copied().collect();
    Arc::new(FallbackFloor::of(FallbackPolicy { cells, except: BTreeSet::new(), attempts: 1 }))
}

#[test]
fn reads_documents_from_json_and_names_the_wrong_field() {
    let valid_json = br#"{"out": {"pods": [3], "sites": ["oviedo"]}, "weights": {"pods": {"2": 0.25}},
        "kept": {"log": [7]}, "attempts": 2, "times": 3.5, "sessions": {"log": 600}, "eldest_list": 41}"#;
    let document = Document::from_json(valid_json).unwrap();
    let again = Document::from_json(&serde_json::to_vec(&document).unwrap()).unwrap();
    assert_eq!(document, again);
    let bytes = postcard::to_stdvec(&document).unwrap();
    assert_eq!(postcard::from_bytes::<Document>(&bytes).unwrap(), document);
    let rules = Rules::of(document, floor(&[]));
    assert_eq!(
        (rules.weight(&place(2)), rules.subset_factor(), rules.session_s("log")),
        (0.25, 3.5, Some(600))
    );
    for (json, expected) in [
        (r#"{"attempts": 4}"#, "`attempts` is 4; expected 1 to 3"),
        (r#"{"out": {"pod": [1]}}"#, "`out.pod`: unknown field `pod`"),
        (r#"{"weights": {"sites": {"b": 0}}}"#, "weight of 0.001 to 1"),
        (r#"{"weights": {"pods": {"3": 1.5}}}"#, "`weights.pods.3`: found 1.5"),
        (r#"{"times": 0.5}"#, "below 1 upstreams are left out"),
        (r#"{"sessions": {"log": 0}}"#, "1 to 86400 seconds"),
        (r#"{"kept": {"log": []}}"#, "at least one pod"),
        (r#"{"out": {"sites": [""]}}"#, "a name of 1 to 64 bytes"),
        (r#"{"balancers": 0}"#, "1 to 1000"),
        (r#"{} {}"#, "trailing characters"),
    ] {
        let error = Document::from_json(json.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(expected), "{json}: {error}");
    }
    let mut long = Document::default();
    long.exclusions.upstreams =
        (0..400).map(|i| format!("a-rather-long-name-of-an-upstream-{i}")).collect();
    assert!(matches!(long.check(), Err(DocumentError::TooLong { .. })));
}

#[test]
fn rules_permit_what_the_fallback_floor_allows_whatever_a_document_states() {
    let mut document = without(&[1, 2]);
    document.exclusions.zones.insert("bilbao".into());
    document.class_exclusions.insert("log".into(), BTreeSet::from([1, 6]));
    let rules = Rules::of(document, floor(&[0, 1]));
    let open_cells =
        |class: &str| (0..8).filter(|p| rules.permits(&place(*p), class)).collect::<Vec<_>>();
    assert_eq!(open_cells("log"), [0, 1, 4, 5, 7]);
    assert_eq!(open_cells("sync"), [0, 1, 4, 5, 6, 7]);
}

#[test]
fn fleet_conflicts_are_reported_most_serious_first() {
    let conflicts =
        |document: Document| facts().fleet_conflicts(&Rules::of(document, floor(&[0, 4])));
    let json = |json: &str| conflicts(Document::from_json(json.as_bytes()).unwrap());
    assert_eq!(conflicts(without(&[1])), []);
    // Without two cells of a zone, a capacity of 2000 remains for a load of 1300; without a third cell, 1000 remains.
    assert_eq!(conflicts(without(&[1, 2])), []);
    let shortage = |zone: &str, load, capacity| FleetConflict::NoCapacity {
        zone: zone.into(),
        load,
        capacity,
    };
    assert_eq!(conflicts(without(&[1, 2, 3])), [shortage("bilbao", 1300, 1000)]);
    assert_eq!(
        json(r#"{"weights": {"sites": {"oviedo": 0.25}}}"#),
        [shortage("oviedo", 1300, 1000)]
    );
    assert_eq!(json(r#"{"out": {"upstreams": ["u3"]}}"#), []);
    let unknown =
        |what: &str, name: &str| FleetConflict::Unknown { what: what.into(), name: name.into() };
    assert_eq!(json(r#"{"out": {"upstreams": ["u9"]}}"#), [unknown("upstream", "u9")]);
    assert_eq!(json(r#"{"sessions": {"mail": 5}}"#), [unknown("class", "mail")]);
    let fallback_policy = |what: &str| FleetConflict::FallbackPolicy { what: what.into() };
    assert_eq!(json(r#"{"out": {"upstreams": ["u0"]}}"#), [fallback_policy("upstream `u0`")]);
    assert!(
        json(r#"{"out": {"flavours": ["m2"]}}"#)
            .contains(&fallback_policy("flavour `m2` in pod 4"))
    );
    assert!(json(r#"{"kept": {"log": [0]}}"#).contains(&fallback_policy("class `log` at pod 0")));
    let mut without_cells = Document::default();
    without_cells.class_exclusions.insert("log".into(), (0..8).collect());
    let all = facts().fleet_conflicts(&Rules::of(without_cells, floor(&[])));
    assert_eq!(all, [FleetConflict::NoCellForClass { class: "log".into() }]);
    // The load of an excluded zone moves to the other zones, up to their capacity.
    let mut zone = Document::default();
    zone.exclusions.zones.insert("bilbao".into());
    assert_eq!(facts().fleet_conflicts(&Rules::of(zone.clone(), floor(&[]))), []);
    let full = hollowpaddle_revision::fleet::FleetFacts { load: vec![2500, 2500], ..facts() };
    assert_eq!(full.fleet_conflicts(&Rules::of(zone, floor(&[]))), [shortage("", 5000, 4000)]);
}

#[test]
fn usual_fallback_is_a_third_of_each_zone_and_stable() {
    let zones = |n: u32| {
        BTreeMap::from([
            ("a".to_string(), (0..n).collect()),
            ("b".to_string(), (100..104).collect()),
        ])
    };
    let fallback_policy = FallbackPolicy::third(&zones(9), 1);
    assert_eq!(fallback_policy.cells.len(), 3 + 2);
    assert!(FallbackPolicy::mandatory_fallback(&zones(9)).cells.is_subset(&fallback_policy.cells));
    assert_eq!(FallbackPolicy::mandatory_fallback(&zones(9)).cells.len(), 2);
    for n in 9..40 {
        let (a, b) = (
            FallbackPolicy::third(&zones(n), 1).cells,
            FallbackPolicy::third(&zones(n + 1), 1).cells,
        );
        assert!(a.difference(&b).count() <= 1 && b.difference(&a).count() <= 1, "{n}");
    }
}

#[test]
fn canary_is_rolled_back_on_timeout_or_fall() {
    let canary = CanaryTerms { seconds: 60, fall: 100 };
    let s = std::time::Duration::from_secs;
    let served_weight = |before, since, offered_since| {
        Some(CanaryMetric {
            served_before: before,
            served_since: since,
            offered_before: 1000,
            offered_since,
        })
    };
    assert_eq!(canary.rollback_cause(s(59), None), None);
    assert_eq!(canary.rollback_cause(s(60), None), Some(RollbackCause::NotConfirmed));
    assert_eq!(canary.rollback_cause(s(10), served_weight(900, 820, 1000)), None);
    assert_eq!(
        canary.rollback_cause(s(10), served_weight(900, 800, 1000)),
        Some(RollbackCause::ServedWeightFell(111))
    );
    assert_eq!(
        canary.rollback_cause(s(4), served_weight(900, 0, 1000)),
        None,
        "before the settle time the metric is ignored"
    );
    // Half as much weight was offered, and the served share of it did not fall.
    assert_eq!(canary.rollback_cause(s(10), served_weight(900, 450, 500)), None);
    assert_eq!(canary.rollback_cause(s(10), served_weight(900, 0, 0)), None);
    assert_eq!(canary.rollback_cause(s(10), served_weight(0, 0, 1000)), None);
}

fn documents() -> impl Strategy<Value = Document> {
    let cells = || proptest::collection::btree_set(0_u32..8, 0..4);
    (cells(), cells(), proptest::bool::ANY, 1_u8..=3, 0_u64..4).prop_map(
        |(excluded_cells, excluded_for_class, zone, attempts, oldest_list)| {
            let mut d = Document { attempts, oldest_list, ..Document::default() };
            d.exclusions.cells = excluded_cells;
            if zone {
                d.exclusions.zones.insert("oviedo".into());
            }
            if !excluded_for_class.is_empty() {
                d.class_exclusions.insert("log".into(), excluded_for_class);
            }
            d
        },
    )
}

proptest! {
    /// The model is the conjunction of both sets of rules, evaluated upstream by upstream.
    #[test]
    fn restricted_rules_allow_exactly_what_both_allow(a in documents(), b in documents(), cell in 0_u32..8) {
        let (a, b) = (Rules::of(a, floor(&[0, 4])), Rules::of(b, floor(&[0, 4])));
        let restricted = Rules::restrict(&a, &b);
        for class in ["log", "sync"] {
            let all = |r: &Rules| (0..8).map(|p| r.permits(&place(p), class)).collect::<Vec<_>>();
            let both: Vec<bool> = all(&a).iter().zip(all(&b)).map(|(a, b)| *a && b).collect();
            prop_assert_eq!(all(&restricted), both);
            if all(&a) != all(&b) {
                prop_assert!(a.contradicts(&b).is_some() && b.contradicts(&a).is_some());
            }
        }
        prop_assert_eq!(restricted.attempts(), a.attempts().min(b.attempts()));
        prop_assert_eq!(restricted.oldest_list(), a.oldest_list().max(b.oldest_list()));
        prop_assert_eq!(a.contradicts(&a), None);
        if a.contradicts(&b).is_none() {
            prop_assert!(restricted.contradicts(&a).is_none());
        }
        prop_assert!(!restricted.permits(&place(cell), "log") || a.permits(&place(cell), "log"));
    }

    #[test]
    fn arbitrary_json_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        let _ = Document::from_json(&bytes);
    }

    /// Compares the union and the intersection of two fallback policies with the policies themselves, upstream by
    /// upstream.
    #[test]
    fn union_allows_what_either_policy_allows_and_intersection_what_both_allow(
        a in (proptest::collection::btree_set(0_u32..4, 0..4), proptest::bool::ANY),
        b in (proptest::collection::btree_set(0_u32..4, 0..4), proptest::bool::ANY),
    ) {
        let fallback_policy = |(cells, except): (BTreeSet<u32>, bool)| FallbackPolicy {
            cells, attempts: 1, except: except.then(|| "u".to_string()).into_iter().collect(),
        };
        let (a, b) = (fallback_policy(a), fallback_policy(b));
        for cell in 0..4 {
            for name in ["u", "v"] {
                let place = Place { name, cell, machine_type: "m1", zone: "a" };
                let (x, y) = (a.allows(&place), b.allows(&place));
                prop_assert_eq!(FallbackFloor::union(a.clone(), b.clone()).allows(&place), x || y);
                prop_assert_eq!(a.intersection(&b).allows(&place), x && y);
            }
        }
    }
}
