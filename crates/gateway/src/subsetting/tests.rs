use super::*;

fn upstreams(n: u32) -> Vec<Member> {
    let member = |i: u32| Member { cell: i / 8, ..Member::live(ServerId(i)) };
    (0..n).map(member).collect()
}

/// Returns a lookup of a member among these upstreams.
fn lookup_in(upstreams: &[Member]) -> impl Fn(ServerId) -> Option<Member> {
    |id| upstreams.iter().find(|m| m.id == id).copied()
}

fn subsetting() -> Subsetting {
    let size = Size { times: 1.0, min_upstreams: 16, linger: 1000, min_healthy_share: 0.5 };
    Subsetting::new(size, Cluster { balancers: 10, position: 0 }).expect("a size")
}

/// Applies changes to the upstreams that the decision module knows.
fn apply(known: &mut FxHashMap<ServerId, Status>, kind: ListKind, changes: &[Member]) {
    if kind != ListKind::Update {
        known.clear();
    }
    for m in changes {
        match m.status {
            Status::Gone => assert!(known.remove(&m.id).is_some(), "removed an unknown upstream"),
            status => drop(known.insert(m.id, status)),
        }
    }
}

#[test]
fn policy_knows_complete_cells_and_every_drain_in_them() {
    let (mut subsetting, mut known) = (subsetting(), FxHashMap::default());
    let mut all = upstreams(400);
    apply(
        &mut known,
        ListKind::Complete,
        &subsetting.apply_list(Time(0), ListKind::Complete, &all, lookup_in(&all)),
    );
    assert_eq!(known.len(), 40);
    assert_eq!(
        subsetting.balancers_per_upstream(),
        1.0,
        "ten balancers know a tenth of the upstreams each"
    );
    let cells: FxHashSet<u32> = known.keys().map(|id| id.0 / 8).collect();
    assert_eq!(cells.len(), 5, "complete cells");
    let outside = all.iter().find(|m| !known.contains_key(&m.id)).expect("most are").id.0 as usize;
    let inside = known.keys().next().expect("some are").0 as usize;
    for i in [outside, inside] {
        all[i].status = Status::Draining;
        apply(
            &mut known,
            ListKind::Update,
            &subsetting.apply_list(Time(1), ListKind::Update, &all[i..i + 1], lookup_in(&all)),
        );
    }
    assert_eq!(known.get(&all[inside].id), Some(&Status::Draining));
    assert!(!known.contains_key(&all[outside].id));
}

#[test]
fn upstream_that_left_the_subset_is_removed_after_its_linger_time() {
    let (mut subsetting, mut known) = (subsetting(), FxHashMap::default());
    let all = upstreams(400);
    apply(
        &mut known,
        ListKind::Complete,
        &subsetting.apply_list(Time(0), ListKind::Complete, &all, lookup_in(&all)),
    );
    let before: Vec<ServerId> = known.keys().copied().collect();
    // Three of the five cells are deleted, and other cells replace them at once.
    let mut gone: Vec<Member> = all.iter().filter(|m| known.contains_key(&m.id)).copied().collect();
    gone.truncate(24);
    gone.iter_mut().for_each(|m| m.status = Status::Gone);
    apply(
        &mut known,
        ListKind::Update,
        &subsetting.apply_list(Time(1), ListKind::Update, &gone, lookup_in(&all)),
    );
    assert!(known.len() >= 36, "{} left", known.len());
    // The deleted cells return, and their replacements linger.
    gone.iter_mut().for_each(|m| m.status = Status::Live);
    apply(
        &mut known,
        ListKind::Update,
        &subsetting.apply_list(Time(2), ListKind::Update, &gone, lookup_in(&all)),
    );
    assert!(known.len() > 40);
    apply(&mut known, ListKind::Update, &subsetting.expire(Time(1500), lookup_in(&all)));
    let mut after: Vec<ServerId> = known.keys().copied().collect();
    let mut before = before;
    before.sort_unstable();
    after.sort_unstable();
    assert_eq!(after, before);
}

#[test]
fn no_upstream_is_named_twice_when_the_subset_changes_with_the_list() {
    let (mut subsetting, mut known) = (subsetting(), FxHashMap::default());
    let all = upstreams(80);
    apply(
        &mut known,
        ListKind::Complete,
        &subsetting.apply_list(Time(0), ListKind::Complete, &all, lookup_in(&all)),
    );
    // The number of upstreams grows tenfold, and the subset grows with it.
    let more: Vec<Member> = upstreams(800).split_off(80);
    let changes =
        subsetting.apply_list(Time(1), ListKind::Update, &more, lookup_in(&upstreams(800)));
    let named: FxHashSet<ServerId> = changes.iter().map(|m| m.id).collect();
    assert!(named.len() > 8, "{} named", named.len());
    assert_eq!(named.len(), changes.len(), "an upstream is named twice");
    apply(&mut known, ListKind::Update, &changes);
    // The added upstreams are removed, including some that the decision module knows.
    let gone: Vec<Member> = more.iter().map(|m| Member { status: Status::Gone, ..*m }).collect();
    let changes =
        subsetting.apply_list(Time(2), ListKind::Update, &gone, lookup_in(&upstreams(800)));
    let named: FxHashSet<ServerId> = changes.iter().map(|m| m.id).collect();
    assert_eq!(named.len(), changes.len(), "an upstream is named twice");
    apply(&mut known, ListKind::Update, &changes);
    assert!(known.keys().all(|id| id.0 < 80));
}

#[test]
fn unhealthy_subset_is_widened() {
    let (mut subsetting, mut known) = (subsetting(), FxHashMap::default());
    apply(
        &mut known,
        ListKind::Complete,
        &subsetting.apply_list(
            Time(0),
            ListKind::Complete,
            &upstreams(400),
            lookup_in(&upstreams(400)),
        ),
    );
    apply(
        &mut known,
        ListKind::Update,
        &subsetting.set_health(Time(1), 40, 3, lookup_in(&upstreams(400))),
    );
    assert_eq!(known.len(), 80);
}
