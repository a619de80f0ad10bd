use super::*;

use super::departed::REMEMBERED;
use crate::cluster::machine::Stops;
use hollowpaddle_revision::fallback_policy::{FallbackFloor, FallbackPolicy};
use hollowpaddle_revision::rules::Rules;
use serde_json::json;

fn membership() -> Membership {
    let facts = json!({"Balancers": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}});
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let config = Config {
        name: String::new(),
        listen: nowhere,
        discovery: nowhere,
        control: None,
        state_dir: None,
        seed: 0,
        sockets: 256,
        memory: 32 << 20,
        known: List::default(),
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

/// Tells a list: what it is to the module, how many are news, and who may be sent to afterwards.
fn told(of: &mut Membership, list: &List, kind: ListKind) -> (ListKind, usize, String) {
    let told = of.update(list, kind, Instant::now());
    of.forget();
    let open = |id: &ServerId| of.targets[id].target.closed_from.get().is_none();
    let names = of.ids.iter().filter(|(_, id)| open(id)).map(|(name, _)| name.to_string());
    let mut names: Vec<String> = names.collect();
    names.sort();
    (told.kind, told.members.len(), names.join(" "))
}

#[test]
fn upstreams_come_and_go_and_no_handle_is_used_twice() {
    let mut upstreams = membership();
    let mut told = |id: &str, phase: &str, kind| {
        let told = upstreams.update(&list(0, &[(id, phase)]), kind, Instant::now());
        upstreams.forget();
        (told.members.first().map(|m| m.id), upstreams.ids.len(), upstreams.targets.len())
    };
    let mut seen = std::collections::HashSet::new();
    for i in 0..2000 {
        // New ids at one address, gone by word or by being left out.
        let (id, ids, targets) = told(&format!("s-{i}"), "SERVING", ListKind::Complete);
        assert_eq!((ids, targets), (1, 1));
        assert!(seen.insert(id.expect("a member")), "a handle is used again");
        if i % 2 == 0 {
            let (_, ids, targets) = told(&format!("s-{i}"), "DELETED", ListKind::Update);
            assert_eq!((ids, targets), (0, 0));
        }
    }
    assert_eq!(told("never-seen", "DELETED", ListKind::Update).0, None);
}

#[test]
fn an_older_list_takes_back_nothing_that_a_newer_one_said() {
    let mut of = membership();
    let (update, whole) = (ListKind::Update, ListKind::Complete);
    let all = list(41, &[("a", "SERVING"), ("b", "SERVING"), ("c", "SERVING")]);
    assert_eq!(told(&mut of, &all, whole), (whole, 3, "a b c".into()));
    let drains = list(43, &[("a", "DRAINING"), ("b", "DELETED")]);
    assert_eq!(told(&mut of, &drains, update), (update, 2, "c".into()));
    // As another replica still has it: neither back, nor c gone by being left out. Nobody has said that d is
    // gone, and no list that is newer would have named it.
    let old = list(42, &[("a", "SERVING"), ("b", "SERVING"), ("d", "SERVING")]);
    assert_eq!(told(&mut of, &old, whole), (update, 1, "c d".into()));
    // Late, but news of c: the last word of it is older still.
    let late = list(42, &[("c", "DRAINING"), ("a", "SERVING")]);
    assert_eq!(told(&mut of, &late, update), (update, 1, "d".into()));
    assert_eq!(told(&mut of, &drains, update).1, 1, "said twice");
    let back = list(44, &[("a", "SERVING")]);
    assert_eq!(told(&mut of, &back, update), (update, 1, "a d".into()));
    of.count_anew();
    let other = list(7, &[("a", "DRAINING")]);
    assert_eq!(told(&mut of, &other, whole).0, whole, "another discovery's versions");
}

#[test]
fn a_newcomer_that_an_older_list_alone_names_comes_in_unless_it_has_left_since() {
    let mut of = membership();
    told(&mut of, &list(10, &[("a", "SERVING")]), ListKind::Complete);
    told(&mut of, &list(14, &[("a", "SERVING")]), ListKind::Update);
    let late = |revision| list(revision, &[("b", "SERVING")]);
    assert_eq!(told(&mut of, &late(12), ListKind::Update).2, "a b");
    told(&mut of, &list(16, &[("b", "DELETED"), ("e", "DELETED")]), ListKind::Update);
    assert_eq!(told(&mut of, &late(15), ListKind::Update).2, "a", "it left at 16");
    // Of e the news that it is gone came before the news that it was there.
    assert_eq!(told(&mut of, &list(15, &[("e", "SERVING")]), ListKind::Update).2, "a");
    assert_eq!(told(&mut of, &late(17), ListKind::Update).2, "a b", "and came back");
    told(&mut of, &list(20, &[("a", "SERVING")]), ListKind::Complete);
    assert_eq!(told(&mut of, &late(19), ListKind::Update).2, "a", "left out at 20");
}

#[test]
fn who_has_left_is_remembered_within_bounds_and_nobody_comes_back_by_being_forgotten() {
    let mut of = membership();
    told(&mut of, &list(1, &[("a", "SERVING")]), ListKind::Complete);
    for i in 0..3 * REMEMBERED as u64 {
        let name = format!("s-{i}");
        told(&mut of, &list(10 + 2 * i, &[(&name, "SERVING")]), ListKind::Update);
        told(&mut of, &list(11 + 2 * i, &[(&name, "DELETED")]), ListKind::Update);
    }
    assert!(of.departed.versions.len() <= REMEMBERED && of.departed.order.len() <= REMEMBERED);
    let late = list(10, &[("s-0", "SERVING")]);
    assert_eq!(told(&mut of, &late, ListKind::Update).2, "a");
}

#[test]
fn whom_operators_have_taken_out_no_list_brings_back() {
    let mut of = membership();
    let both = |revision| list(revision, &[("a", "SERVING"), ("b", "SERVING")]);
    told(&mut of, &both(1), ListKind::Complete);
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<BTreeSet<_>>();
    let out = of.cordon(&names(&["a", "not-listed-yet"]), Instant::now());
    assert_eq!(out.iter().map(|m| m.status).collect::<Vec<_>>(), [interface::Status::Draining]);
    assert!(of.cordon(&names(&["a", "not-listed-yet"]), Instant::now()).is_empty(), "said twice");
    assert_eq!(told(&mut of, &both(2), ListKind::Complete).2, "b");
    // Restarted meanwhile, gone and back, and one that comes later.
    told(&mut of, &list(3, &[("a", "DELETED")]), ListKind::Update);
    let back = list(4, &[("a", "SERVING"), ("not-listed-yet", "SERVING")]);
    assert_eq!(told(&mut of, &back, ListKind::Update).2, "b");
    assert!(of.has_named("a") && !of.has_named("c"));
    let back = of.cordon(&names(&[]), Instant::now());
    assert_eq!(back.iter().map(|m| m.status).collect::<Vec<_>>(), [interface::Status::Live; 2]);
    assert_eq!(told(&mut of, &list(5, &[]), ListKind::Update).2, "a b not-listed-yet");
}

#[test]
fn one_that_drains_by_the_list_drains_on_when_operators_let_it_back() {
    let mut of = membership();
    told(&mut of, &list(1, &[("a", "SERVING"), ("b", "SERVING")]), ListKind::Complete);
    let a: BTreeSet<String> = ["a".to_string()].into();
    of.cordon(&a, Instant::now());
    told(&mut of, &list(2, &[("a", "DRAINING")]), ListKind::Update);
    let back = of.cordon(&BTreeSet::new(), Instant::now());
    assert_eq!(back[0].status, interface::Status::Draining);
    assert_eq!(told(&mut of, &list(3, &[]), ListKind::Update).2, "b");
}

/// Rules that say this, under a charter that holds only these pods.
fn rules(said: serde_json::Value, fallback_policy: &[u32]) -> Held {
    let said = serde_json::from_value(said).expect("a document");
    let fallback_policy = FallbackPolicy {
        cells: fallback_policy.iter().copied().collect(),
        ..FallbackPolicy::default()
    };
    held(Rules::of(said, Arc::new(FallbackFloor::of(fallback_policy))), Stops::default())
}

fn held(rules: Rules, stops: Stops) -> Held {
    Held { rules: Arc::new(rules), stops: Arc::new(stops) }
}

fn in_pods(revision: u64, members: &[(&str, u32)]) -> List {
    let entry = |(id, cell): &(&str, u32)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": "SERVING", "cell": cell});
    let members: Vec<_> = members.iter().map(entry).collect();
    serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
}

#[test]
fn rules_lie_over_lists_and_cordons_and_what_they_put_out_gets_nothing_at_once() {
    let mut of = membership();
    of.overlay.classes = vec!["alarm".into(), "log".into()];
    let all = in_pods(1, &[("a", 1), ("b", 2), ("c", 3)]);
    of.update(&all, ListKind::Complete, Instant::now());
    let now = Instant::now();
    let nothing = rules(json!({}), &[]);
    assert!(of.rule(nothing.clone(), now).is_empty(), "they change nothing");
    let said =
        json!({"out": {"upstreams": ["a"]}, "kept": {"log": [2]}, "weights": {"pods": {"3": 0.5}}});
    let some = rules(said, &[]);
    let told = of.rule(some, now);
    let told: Vec<_> = told.iter().map(|m| (m.status, m.barred, m.weight)).collect();
    let (live, out) = (interface::Status::Live, interface::Status::Draining);
    assert_eq!(told, [(out, 0b11, 1.0), (live, 0b10, 1.0), (live, 0, 0.5)]);
    let closed = |of: &Membership, id| of.targets[&ServerId(id)].target.closed_from.get();
    assert_eq!((closed(&of, 0), closed(&of, 1)), (Some(now), None));
    // A list names all of them again, operators let nobody back.
    let again = of.update(&in_pods(2, &[("a", 1), ("b", 2)]), ListKind::Update, now);
    assert_eq!(again.members.iter().map(|m| m.status).collect::<Vec<_>>(), [out, live]);
    of.cordon(&["c".to_string()].into(), now);
    let back = of.rule(nothing, now);
    assert_eq!(
        back.iter().map(|m| m.status).collect::<Vec<_>>(),
        [live, live, out],
        "c is cordoned"
    );
    assert_eq!(closed(&of, 0), None);
}

#[test]
fn peers_words_stop_and_an_old_list_leaves_the_charter_s_upstreams_if_there_are_any() {
    let mut of = membership();
    of.overlay.classes = vec!["alarm".into()];
    of.update(&in_pods(1, &[("a", 1), ("b", 2), ("c", 3)]), ListKind::Complete, Instant::now());
    let open = |of: &mut Membership, fallback_policy: &[u32], names: &[&str], old| {
        let names = names.iter().map(|n| n.to_string()).collect();
        let rules = Rules::clone(&rules(json!({}), fallback_policy).rules);
        of.rule(held(rules, Stops { names, old }), Instant::now());
        let open = |id: &ServerId| of.targets[id].target.closed_from.get().is_none();
        let mut open: Vec<&str> =
            of.ids.iter().filter(|(_, id)| open(id)).map(|(n, _)| &**n).collect();
        open.sort_unstable();
        open.concat()
    };
    assert_eq!(open(&mut of, &[2], &["a"], false), "bc");
    assert_eq!(open(&mut of, &[2], &[], true), "b");
    assert_eq!(open(&mut of, &[9], &[], true), "abc", "refusing everything costs everything");
    assert_eq!(open(&mut of, &[9], &[], false), "abc", "it comes back");
}

#[test]
fn past_the_lease_only_the_charter_s_pods_are_left() {
    let mut of = membership();
    of.overlay.classes = vec!["alarm".into()];
    of.update(&in_pods(1, &[("a", 1), ("b", 2)]), ListKind::Complete, Instant::now());
    let fallback_policy = FallbackPolicy { cells: [2].into(), ..FallbackPolicy::default() };
    let told = of
        .rule(held(Rules::of_fallback_policy(&fallback_policy), Stops::default()), Instant::now());
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].id, told[0].status), (ServerId(0), interface::Status::Draining));
    let placed = of.placed(ServerId(1), 0).expect("known");
    assert!(placed.permitted(&held(Rules::of_fallback_policy(&fallback_policy), Stops::default())));
    let stops = Stops { names: ["b".to_string()].into(), old: false };
    assert!(
        !placed.permitted(&held(Rules::of_fallback_policy(&fallback_policy), stops)),
        "a peer says that it drains"
    );
    let nowhere = held(Rules::of_fallback_policy(&FallbackPolicy::default()), Stops::default());
    assert!(!placed.permitted(&nowhere));
}

#[test]
fn what_an_attempt_still_looks_at_is_kept_and_stays_closed() {
    let mut of = membership();
    let named = list(1, &[("a", "SERVING")]);
    let id = of.update(&named, ListKind::Complete, Instant::now()).members[0].id;
    let out = of.target(id).expect("known");
    of.update(&list(2, &[]), ListKind::Complete, Instant::now());
    of.forget();
    assert!(out.closed_from.get().is_some() && of.target(id).is_some());
    drop(out);
    of.forget();
    assert!(of.target(id).is_none() && of.ids.is_empty());
}

#[test]
fn without_a_valid_address_a_drain_counts_and_a_newcomer_does_not_come_in() {
    let mut of = membership();
    told(&mut of, &list(1, &[("a", "SERVING"), ("b", "SERVING")]), ListKind::Complete);
    let at = of.targets[&of.ids["a"]].target.address.get();
    let entry = |id, phase, address| json!({"id": id, "host_port": address, "phase": phase});
    let members = [
        entry("a", "DRAINING", "nowhere"),
        entry("b", "DELETED", ""),
        entry("c", "SERVING", ""),
        json!({"id": "d", "phase": "DELETED"}),
    ];
    let bare = serde_json::from_value(json!({"revision": 2, "members": members})).expect("a list");
    assert_eq!(told(&mut of, &bare, ListKind::Update), (ListKind::Update, 2, "".into()));
    assert_eq!(of.targets[&of.ids["a"]].target.address.get(), at, "the last one stands");
    assert!(!of.has_named("c") && of.has_named("d"));
    let back = list(3, &[("a", "SERVING"), ("c", "SERVING")]);
    assert_eq!(told(&mut of, &back, ListKind::Update).2, "a c");
}

#[test]
fn whether_any_upstream_is_open_agrees_with_all_closing_times() {
    let mut of = membership();
    of.overlay.classes = vec!["alarm".into()];
    let is_open = |known: &Known| known.target.closed_from.get().is_none();
    let agrees = |of: &Membership| of.any_open() == of.targets.values().any(|k| is_open(k));
    assert!(!of.any_open());
    let now = Instant::now();
    let both = |revision| list(revision, &[("a", "SERVING"), ("b", "DRAINING")]);
    of.update(&both(1), ListKind::Complete, now);
    assert!(of.any_open() && agrees(&of));
    let a: BTreeSet<String> = ["a".to_string()].into();
    of.cordon(&a, now);
    assert!(!of.any_open() && agrees(&of));
    // Closed twice and opened once.
    of.update(&both(2), ListKind::Complete, now);
    of.rule(rules(json!({"out": {"upstreams": ["a"]}}), &[]), now);
    assert!(!of.any_open() && agrees(&of));
    of.cordon(&BTreeSet::new(), now);
    of.rule(rules(json!({}), &[]), now);
    assert!(of.any_open() && agrees(&of));
    of.update(&list(3, &[]), ListKind::Complete, now);
    assert!(!of.any_open() && agrees(&of));
    of.forget();
    assert!(!of.any_open() && of.targets.is_empty() && of.gone.is_empty());
    of.update(&both(4), ListKind::Complete, now);
    assert!(of.any_open() && agrees(&of));
}
