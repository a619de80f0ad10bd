//! Tests of lists, cordons and policies in different orders.

use std::net::SocketAddr;

use super::*;
use crate::members::List;

use super::departed::MAX_REMEMBERED;
use crate::cluster::machine::StoppedUpstreams;
use hollowpaddle_revision::fallback_policy::{FallbackFloor, FallbackPolicy};
use hollowpaddle_revision::rules::Rules;
use serde_json::json;

fn membership() -> Membership {
    let facts = json!({"Balancers": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}});
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let config = Config {
        name: String::new(),
        listen: address,
        discovery: address,
        admin_listen: None,
        state_dir: None,
        seed: 0,
        sockets: 256,
        memory: 32 << 20,
        initial_list: List::default(),
        facts: serde_json::from_value(facts).expect("facts"),
        subset: None,
        cluster: None,
    };
    let start_times = StartTimes::new(Instant::now(), Duration::ZERO, Duration::ZERO);
    Membership::new(&config, Duration::from_millis(400), start_times)
}

fn list(revision: u64, members: &[(&str, &str)]) -> List {
    let entry =
        |(id, phase): &(&str, &str)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase});
    let members: Vec<_> = members.iter().map(entry).collect();
    serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
}

/// Applies a list. Returns its kind to the decision module, the number of changes, and the names of open upstreams.
fn apply(upstreams: &mut Membership, list: &List, kind: ListKind) -> (ListKind, usize, String) {
    let changes = upstreams.update(list, kind, Instant::now());
    upstreams.forget_departed();
    let open = |id: &ServerId| upstreams.records[id].target.closed_from.get().is_none();
    let names =
        upstreams.handles.iter().filter(|(_, id)| open(id)).map(|(name, _)| name.to_string());
    let mut names: Vec<String> = names.collect();
    names.sort();
    (changes.kind, changes.members.len(), names.join(" "))
}

#[test]
fn handles_are_never_reused() {
    let mut upstreams = membership();
    let mut apply_entry = |id: &str, phase: &str, kind| {
        let changes = upstreams.update(&list(0, &[(id, phase)]), kind, Instant::now());
        upstreams.forget_departed();
        (changes.members.first().map(|m| m.id), upstreams.handles.len(), upstreams.records.len())
    };
    let mut seen = std::collections::HashSet::new();
    for i in 0..2000 {
        // Each new id at the same address replaces the previous one, which is either deleted or missing from a complete
        // list.
        let (id, ids, targets) = apply_entry(&format!("s-{i}"), "SERVING", ListKind::Complete);
        assert_eq!((ids, targets), (1, 1));
        assert!(seen.insert(id.expect("a member")), "a handle is reused");
        if i % 2 == 0 {
            let (_, ids, targets) = apply_entry(&format!("s-{i}"), "DELETED", ListKind::Update);
            assert_eq!((ids, targets), (0, 0));
        }
    }
    assert_eq!(apply_entry("never-seen", "DELETED", ListKind::Update).0, None);
}

#[test]
fn older_list_does_not_undo_a_newer_one() {
    let mut upstreams = membership();
    let (update, complete) = (ListKind::Update, ListKind::Complete);
    let all = list(41, &[("a", "SERVING"), ("b", "SERVING"), ("c", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &all, complete), (complete, 3, "a b c".into()));
    let drains = list(43, &[("a", "DRAINING"), ("b", "DELETED")]);
    assert_eq!(apply(&mut upstreams, &drains, update), (update, 2, "c".into()));
    // The older list of another discovery replica neither brings `a` and `b` back nor removes `c`, which it does not name.
    // It adds `d`: no list has removed `d`, and the newer partial list would not have named it.
    let old = list(42, &[("a", "SERVING"), ("b", "SERVING"), ("d", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &old, complete), (update, 1, "c d".into()));
    // The list is late, but its entry for `c` is newer than the last applied one.
    let late = list(42, &[("c", "DRAINING"), ("a", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &late, update), (update, 1, "d".into()));
    assert_eq!(apply(&mut upstreams, &drains, update).1, 1, "the same list twice");
    let back = list(44, &[("a", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &back, update), (update, 1, "a d".into()));
    upstreams.restart_versions();
    let other = list(7, &[("a", "DRAINING")]);
    assert_eq!(
        apply(&mut upstreams, &other, complete).0,
        complete,
        "versions of another discovery server"
    );
}

#[test]
fn older_list_adds_unknown_upstreams_unless_removed_later() {
    let mut upstreams = membership();
    apply(&mut upstreams, &list(10, &[("a", "SERVING")]), ListKind::Complete);
    apply(&mut upstreams, &list(14, &[("a", "SERVING")]), ListKind::Update);
    let late = |revision| list(revision, &[("b", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &late(12), ListKind::Update).2, "a b");
    apply(&mut upstreams, &list(16, &[("b", "DELETED"), ("e", "DELETED")]), ListKind::Update);
    assert_eq!(apply(&mut upstreams, &late(15), ListKind::Update).2, "a", "removed at 16");
    // The removal of `e` arrives before the list that names `e`.
    assert_eq!(apply(&mut upstreams, &list(15, &[("e", "SERVING")]), ListKind::Update).2, "a");
    assert_eq!(apply(&mut upstreams, &late(17), ListKind::Update).2, "a b", "added again");
    apply(&mut upstreams, &list(20, &[("a", "SERVING")]), ListKind::Complete);
    assert_eq!(
        apply(&mut upstreams, &late(19), ListKind::Update).2,
        "a",
        "missing from the complete list at 20"
    );
}

#[test]
fn removed_upstreams_are_remembered_within_bounds_and_do_not_return_when_forgotten() {
    let mut upstreams = membership();
    apply(&mut upstreams, &list(1, &[("a", "SERVING")]), ListKind::Complete);
    for i in 0..3 * MAX_REMEMBERED as u64 {
        let name = format!("s-{i}");
        apply(&mut upstreams, &list(10 + 2 * i, &[(&name, "SERVING")]), ListKind::Update);
        apply(&mut upstreams, &list(11 + 2 * i, &[(&name, "DELETED")]), ListKind::Update);
    }
    assert!(
        upstreams.departed.versions.len() <= MAX_REMEMBERED
            && upstreams.departed.order.len() <= MAX_REMEMBERED
    );
    let late = list(10, &[("s-0", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &late, ListKind::Update).2, "a");
}

#[test]
fn lists_do_not_undo_a_cordon() {
    let mut upstreams = membership();
    let both = |revision| list(revision, &[("a", "SERVING"), ("b", "SERVING")]);
    apply(&mut upstreams, &both(1), ListKind::Complete);
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<BTreeSet<_>>();
    let cordoned = upstreams.cordon(&names(&["a", "not-listed-yet"]), Instant::now());
    assert_eq!(cordoned.iter().map(|m| m.status).collect::<Vec<_>>(), [Status::Draining]);
    assert!(
        upstreams.cordon(&names(&["a", "not-listed-yet"]), Instant::now()).is_empty(),
        "the same cordons twice"
    );
    assert_eq!(apply(&mut upstreams, &both(2), ListKind::Complete).2, "b");
    // `a` is removed and added again, and a cordoned upstream is listed for the first time.
    apply(&mut upstreams, &list(3, &[("a", "DELETED")]), ListKind::Update);
    let back = list(4, &[("a", "SERVING"), ("not-listed-yet", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &back, ListKind::Update).2, "b");
    assert!(upstreams.has_named("a") && !upstreams.has_named("c"));
    let back = upstreams.cordon(&names(&[]), Instant::now());
    assert_eq!(back.iter().map(|m| m.status).collect::<Vec<_>>(), [Status::Live; 2]);
    assert_eq!(apply(&mut upstreams, &list(5, &[]), ListKind::Update).2, "a b not-listed-yet");
}

#[test]
fn draining_upstream_stays_draining_when_uncordoned() {
    let mut upstreams = membership();
    apply(&mut upstreams, &list(1, &[("a", "SERVING"), ("b", "SERVING")]), ListKind::Complete);
    let a: BTreeSet<String> = ["a".to_string()].into();
    upstreams.cordon(&a, Instant::now());
    apply(&mut upstreams, &list(2, &[("a", "DRAINING")]), ListKind::Update);
    let back = upstreams.cordon(&BTreeSet::new(), Instant::now());
    assert_eq!(back[0].status, Status::Draining);
    assert_eq!(apply(&mut upstreams, &list(3, &[]), ListKind::Update).2, "b");
}

/// Returns a policy with these rules, and a fallback policy with only these cells.
fn rules(document: serde_json::Value, fallback_policy: &[u32]) -> PolicySnapshot {
    let document = serde_json::from_value(document).expect("a document");
    let fallback_policy = FallbackPolicy {
        cells: fallback_policy.iter().copied().collect(),
        ..FallbackPolicy::default()
    };
    snapshot(
        Rules::of(document, Arc::new(FallbackFloor::of(fallback_policy))),
        StoppedUpstreams::default(),
    )
}

fn snapshot(rules: Rules, stops: StoppedUpstreams) -> PolicySnapshot {
    PolicySnapshot { rules: Arc::new(rules), stops: Arc::new(stops) }
}

fn in_cells(revision: u64, members: &[(&str, u32)]) -> List {
    let entry = |(id, cell): &(&str, u32)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": "SERVING", "cell": cell});
    let members: Vec<_> = members.iter().map(entry).collect();
    serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
}

#[test]
fn policy_overrides_lists_and_cordons_and_closes_upstreams_at_once() {
    let mut upstreams = membership();
    upstreams.overlay.classes = vec!["alarm".into(), "log".into()];
    let all = in_cells(1, &[("a", 1), ("b", 2), ("c", 3)]);
    upstreams.update(&all, ListKind::Complete, Instant::now());
    let now = Instant::now();
    let nothing = rules(json!({}), &[]);
    assert!(
        upstreams.apply_policy(nothing.clone(), now).is_empty(),
        "an empty policy changes nothing"
    );
    let document =
        json!({"out": {"upstreams": ["a"]}, "kept": {"log": [2]}, "weights": {"pods": {"3": 0.5}}});
    let some = rules(document, &[]);
    let changes = upstreams.apply_policy(some, now);
    let changes: Vec<_> = changes.iter().map(|m| (m.status, m.barred_classes, m.weight)).collect();
    let (live, draining) = (Status::Live, Status::Draining);
    assert_eq!(changes, [(draining, 0b11, 1.0), (live, 0b10, 1.0), (live, 0, 0.5)]);
    let closed =
        |upstreams: &Membership, id| upstreams.records[&ServerId(id)].target.closed_from.get();
    assert_eq!((closed(&upstreams, 0), closed(&upstreams, 1)), (Some(now), None));
    // A later list names the upstreams again, but the policy still applies.
    let again = upstreams.update(&in_cells(2, &[("a", 1), ("b", 2)]), ListKind::Update, now);
    assert_eq!(again.members.iter().map(|m| m.status).collect::<Vec<_>>(), [draining, live]);
    upstreams.cordon(&["c".to_string()].into(), now);
    let back = upstreams.apply_policy(nothing, now);
    assert_eq!(
        back.iter().map(|m| m.status).collect::<Vec<_>>(),
        [live, live, draining],
        "c is cordoned"
    );
    assert_eq!(closed(&upstreams, 0), None);
}

#[test]
fn stale_list_restricts_requests_to_the_fallback_policy_if_it_has_upstreams() {
    let mut upstreams = membership();
    upstreams.overlay.classes = vec!["alarm".into()];
    upstreams.update(
        &in_cells(1, &[("a", 1), ("b", 2), ("c", 3)]),
        ListKind::Complete,
        Instant::now(),
    );
    let open =
        |upstreams: &mut Membership, fallback_policy: &[u32], names: &[&str], is_list_stale| {
            let names = names.iter().map(|n| n.to_string()).collect();
            let rules = Rules::clone(&rules(json!({}), fallback_policy).rules);
            upstreams.apply_policy(
                snapshot(rules, StoppedUpstreams { names, is_list_stale }),
                Instant::now(),
            );
            let open = |id: &ServerId| upstreams.records[id].target.closed_from.get().is_none();
            let mut open: Vec<&str> =
                upstreams.handles.iter().filter(|(_, id)| open(id)).map(|(n, _)| &**n).collect();
            open.sort_unstable();
            open.concat()
        };
    assert_eq!(open(&mut upstreams, &[2], &["a"], false), "bc");
    assert_eq!(open(&mut upstreams, &[2], &[], true), "b");
    assert_eq!(
        open(&mut upstreams, &[9], &[], true),
        "abc",
        "no restriction where it would exclude all upstreams"
    );
    assert_eq!(open(&mut upstreams, &[9], &[], false), "abc", "the restriction ends");
}

#[test]
fn fallback_policy_allows_only_its_cells() {
    let mut upstreams = membership();
    upstreams.overlay.classes = vec!["alarm".into()];
    upstreams.update(&in_cells(1, &[("a", 1), ("b", 2)]), ListKind::Complete, Instant::now());
    let fallback_policy = FallbackPolicy { cells: [2].into(), ..FallbackPolicy::default() };
    let changes = upstreams.apply_policy(
        snapshot(Rules::from_fallback_policy(&fallback_policy), StoppedUpstreams::default()),
        Instant::now(),
    );
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].id, changes[0].status), (ServerId(0), Status::Draining));
    let route = upstreams.route(ServerId(1), 0).expect("a known upstream");
    assert!(route.is_permitted(&snapshot(
        Rules::from_fallback_policy(&fallback_policy),
        StoppedUpstreams::default()
    )));
    let stops = StoppedUpstreams { names: ["b".to_string()].into(), is_list_stale: false };
    assert!(
        !route.is_permitted(&snapshot(Rules::from_fallback_policy(&fallback_policy), stops)),
        "another balancer reports it as draining"
    );
    let nothing_allowed = snapshot(
        Rules::from_fallback_policy(&FallbackPolicy::default()),
        StoppedUpstreams::default(),
    );
    assert!(!route.is_permitted(&nothing_allowed));
}

#[test]
fn target_in_use_by_an_attempt_stays_known_and_closed() {
    let mut upstreams = membership();
    let named = list(1, &[("a", "SERVING")]);
    let id = upstreams.update(&named, ListKind::Complete, Instant::now()).members[0].id;
    let target = upstreams.target(id).expect("a known upstream");
    upstreams.update(&list(2, &[]), ListKind::Complete, Instant::now());
    upstreams.forget_departed();
    assert!(target.closed_from.get().is_some() && upstreams.target(id).is_some());
    drop(target);
    upstreams.forget_departed();
    assert!(upstreams.target(id).is_none() && upstreams.handles.is_empty());
}

#[test]
fn entry_without_address_drains_an_upstream_but_adds_none() {
    let mut upstreams = membership();
    apply(&mut upstreams, &list(1, &[("a", "SERVING"), ("b", "SERVING")]), ListKind::Complete);
    let at = upstreams.records[&upstreams.handles["a"]].target.address.get();
    let entry = |id, phase, address| json!({"id": id, "host_port": address, "phase": phase});
    let members = [
        entry("a", "DRAINING", "nowhere"),
        entry("b", "DELETED", ""),
        entry("c", "SERVING", ""),
        json!({"id": "d", "phase": "DELETED"}),
    ];
    let list_without_addresses =
        serde_json::from_value(json!({"revision": 2, "members": members})).expect("a list");
    assert_eq!(
        apply(&mut upstreams, &list_without_addresses, ListKind::Update),
        (ListKind::Update, 2, "".into())
    );
    assert_eq!(
        upstreams.records[&upstreams.handles["a"]].target.address.get(),
        at,
        "the last address stays"
    );
    assert!(!upstreams.has_named("c") && upstreams.has_named("d"));
    let back = list(3, &[("a", "SERVING"), ("c", "SERVING")]);
    assert_eq!(apply(&mut upstreams, &back, ListKind::Update).2, "a c");
}

#[test]
fn count_of_open_targets_matches_closing_times() {
    let mut upstreams = membership();
    upstreams.overlay.classes = vec!["alarm".into()];
    let is_open = |known: &UpstreamRecord| known.target.closed_from.get().is_none();
    let is_consistent = |upstreams: &Membership| {
        upstreams.any_open() == upstreams.records.values().any(|k| is_open(k))
    };
    assert!(!upstreams.any_open());
    let now = Instant::now();
    let both = |revision| list(revision, &[("a", "SERVING"), ("b", "DRAINING")]);
    upstreams.update(&both(1), ListKind::Complete, now);
    assert!(upstreams.any_open() && is_consistent(&upstreams));
    let a: BTreeSet<String> = ["a".to_string()].into();
    upstreams.cordon(&a, now);
    assert!(!upstreams.any_open() && is_consistent(&upstreams));
    // A target that is closed twice and opened once.
    upstreams.update(&both(2), ListKind::Complete, now);
    upstreams.apply_policy(rules(json!({"out": {"upstreams": ["a"]}}), &[]), now);
    assert!(!upstreams.any_open() && is_consistent(&upstreams));
    upstreams.cordon(&BTreeSet::new(), now);
    upstreams.apply_policy(rules(json!({}), &[]), now);
    assert!(upstreams.any_open() && is_consistent(&upstreams));
    upstreams.update(&list(3, &[]), ListKind::Complete, now);
    assert!(!upstreams.any_open() && is_consistent(&upstreams));
    upstreams.forget_departed();
    assert!(!upstreams.any_open() && upstreams.records.is_empty() && upstreams.gone.is_empty());
    upstreams.update(&both(4), ListKind::Complete, now);
    assert!(upstreams.any_open() && is_consistent(&upstreams));
}
