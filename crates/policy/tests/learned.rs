//! Learned estimates of a balancer, restored by another balancer with the same settings.

mod common;

use common::{Harness, MS, member, settings};
use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::learned::{Learned, RecallError};
use hollowpaddle_policy::settings::Facts;

/// Creates a balancer that has learned of four upstreams, of which the first takes four times as long as the others.
fn trained() -> Harness {
    let mut w = Harness::with_servers(settings(), 4);
    for round in 0..100 {
        let ids = round * 4..round * 4 + 4;
        ids.clone().for_each(|id| w.request(id, 0));
        for (wait, slow) in [(20, false), (60, true)] {
            w.advance(SignedDuration(wait * MS));
            for id in ids.clone() {
                if w.in_flight_at(id).is_some_and(|s| (s == ServerId(0)) == slow) {
                    w.outcome(id, 0, Outcome::Ok);
                }
            }
        }
    }
    w
}

fn limits(w: &Harness, server: u32) -> (u32, f64) {
    let (_, k, n) =
        w.balancer.upstream(ServerId(server), SignedDuration(600 * MS)).expect("listed");
    (k, n)
}

#[test]
fn recalls_what_the_previous_process_learned() {
    let old = trained();
    let learned = old.balancer.learned();
    let mut new = Harness::with_servers(settings(), 4);
    let fresh: Vec<_> = (0..4).map(|i| limits(&new, i)).collect();
    new.balancer.recall(new.now, &learned).expect("it fits");
    assert_eq!(new.balancer.learned(), learned, "the estimates are restored without loss");
    for i in 0..4 {
        let (was, is) = (limits(&old, i), limits(&new, i));
        assert_eq!(was.0, is.0);
        assert!((was.1 - is.1).abs() < 0.05 * was.1, "upstream {i}: N {} and {}", was.1, is.1);
    }
    assert!(limits(&new, 0).1 < 0.5 * limits(&new, 1).1, "the slow upstream is known as slow");
    assert!((fresh[0].1 - fresh[1].1).abs() < 1e-9, "it was unknown before");
}

#[test]
fn recalls_nothing_of_a_restarted_upstream() {
    let learned = trained().balancer.learned();
    let mut new = Harness::new(settings());
    let restarted = Member { started: Some(new.now), ..member(0, 0) };
    new.list(ListKind::Complete, &[restarted, member(1, 0), member(9, 0)]);
    new.balancer.recall(new.now, &learned).expect("it fits");
    assert!(
        (limits(&new, 0).1 - limits(&new, 9).1).abs() < 1e-9,
        "a restarted upstream is treated like an unknown one"
    );
    assert!(limits(&new, 1).1 > 1.2 * limits(&new, 9).1, "it is faster than the mean");
}

#[test]
fn rejects_learned_state_that_does_not_fit() {
    let learned = trained().balancer.learned();
    let mut one = settings();
    one.classes.truncate(1);
    let mut new = Harness::with_servers(one, 4);
    let before = new.balancer.learned();
    assert_eq!(new.balancer.recall(new.now, &learned), Err(RecallError::Classes(3, 1)));
    assert_eq!(new.balancer.learned(), before);
    // The number of classes is the same, but the classes differ.
    let mut others = settings();
    others.numbering_hash += 1;
    let mut new = Harness::with_servers(others, 4);
    let before = new.balancer.learned();
    assert_eq!(new.balancer.recall(new.now, &learned), Err(RecallError::Numbering));
    assert_eq!(new.balancer.learned(), before);
    let mut new = Harness::with_servers(settings(), 4);
    let before = new.balancer.learned();
    assert_eq!(new.balancer.recall(new.now, &Learned::default()), Err(RecallError::Classes(0, 3)));
    for (what, with) in [("ts", -1.0), ("good", 0.0), ("leeway", -0.5), ("any_rate", -1e-9)] {
        let mut text = serde_json::to_value(&learned).expect("as JSON");
        assert!(text[what].as_f64().is_some_and(|f| f > 0.0), "{what}");
        text[what] = with.into();
        let bad: Learned = serde_json::from_value(text).expect("of the right form");
        assert_eq!(new.balancer.recall(new.now, &bad), Err(RecallError::InvalidFigure), "{what}");
        assert_eq!(new.balancer.learned(), before);
    }
}

#[test]
fn learned_state_survives_serialization() {
    let learned = trained().balancer.learned();
    let text = serde_json::to_string(&learned).expect("as JSON");
    assert_eq!(serde_json::from_str::<Learned>(&text).expect("read back"), learned);
}

#[test]
fn numbering_hash_depends_on_names_and_their_order() {
    let facts = |classes: [&str; 2], zones: [&str; 2], machine_types: [&str; 2], deadline: f64| {
        let class = |name| serde_json::json!({"Name": name, "Aim": 10.0, "Deadline": deadline, "Effect": "dedup"});
        let recorded = serde_json::json!({
            "Balancers": 1, "Tick": 1.0, "RegistryMode": "automatic", "Services": classes.map(class),
            "Zones": zones, "MachineTypes": machine_types, "PolicyLimits": {"MaxAttempts": 3},
            "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0},
        });
        serde_json::from_value::<Facts>(recorded).expect("facts")
    };
    let ours = facts(["a", "b"], ["x", "y"], ["k", "l"], 100.0);
    assert_eq!(ours.settings().numbering_hash, ours.numbering_hash());
    assert_eq!(
        facts(["a", "b"], ["x", "y"], ["k", "l"], 900.0).numbering_hash(),
        ours.numbering_hash()
    );
    for other in [
        facts(["b", "a"], ["x", "y"], ["k", "l"], 100.0),
        facts(["a", "c"], ["x", "y"], ["k", "l"], 100.0),
        facts(["a", "b"], ["y", "x"], ["k", "l"], 100.0),
        facts(["a", "b"], ["x", "y"], ["l", "k"], 100.0),
        facts(["a", "b"], ["k", "l"], ["x", "y"], 100.0),
    ] {
        assert_ne!(other.numbering_hash(), ours.numbering_hash());
    }
}
