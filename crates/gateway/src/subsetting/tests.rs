use super::*;

fn fleet(n: u32) -> Vec<Member> {
    let of = |i: u32| Member { cell: i / 8, ..Member::live(ServerId(i)) };
    (0..n).map(of).collect()
}

/// Returns a lookup of a member in this fleet.
fn among(fleet: &[Member]) -> impl Fn(ServerId) -> Option<Member> {
    |id| fleet.iter().find(|m| m.id == id).copied()
}

fn subsetting() -> Subsetting {
    let size = Size { times: 1.0, least: 16, linger: 1000, well: 0.5 };
    Subsetting::new(size, Cluster { balancers: 10, position: 0 }).expect("a size")
}

/// Applies changes to the upstreams that the decision module knows.
fn apply(has: &mut FxHashMap<ServerId, Status>, kind: ListKind, told: &[Member]) {
    if kind != ListKind::Update {
        has.clear();
    }
    for m in told {
        match m.status {
            Status::Gone => assert!(has.remove(&m.id).is_some(), "removed an unknown upstream"),
            status => drop(has.insert(m.id, status)),
        }
    }
}

#[test]
fn policy_knows_complete_cells_and_every_drain_among_them() {
    let (mut of, mut has) = (subsetting(), FxHashMap::default());
    let mut all = fleet(400);
    apply(
        &mut has,
        ListKind::Complete,
        &of.apply_list(Time(0), ListKind::Complete, &all, among(&all)),
    );
    assert_eq!(has.len(), 40);
    assert_eq!(of.sharers(), 1.0, "ten balancers know a tenth of the upstreams each");
    let cells: FxHashSet<u32> = has.keys().map(|id| id.0 / 8).collect();
    assert_eq!(cells.len(), 5, "complete cells");
    let outside = all.iter().find(|m| !has.contains_key(&m.id)).expect("most are").id.0 as usize;
    let inside = has.keys().next().expect("some are").0 as usize;
    for i in [outside, inside] {
        all[i].status = Status::Draining;
        apply(
            &mut has,
            ListKind::Update,
            &of.apply_list(Time(1), ListKind::Update, &all[i..i + 1], among(&all)),
        );
    }
    assert_eq!(has.get(&all[inside].id), Some(&Status::Draining));
    assert!(!has.contains_key(&all[outside].id));
}

#[test]
fn upstream_that_left_the_subset_is_removed_once_it_has_lingered() {
    let (mut of, mut has) = (subsetting(), FxHashMap::default());
    let all = fleet(400);
    apply(
        &mut has,
        ListKind::Complete,
        &of.apply_list(Time(0), ListKind::Complete, &all, among(&all)),
    );
    let before: Vec<ServerId> = has.keys().copied().collect();
    // Three of the five cells are deleted, and other cells replace them at once.
    let mut gone: Vec<Member> = all.iter().filter(|m| has.contains_key(&m.id)).copied().collect();
    gone.truncate(24);
    gone.iter_mut().for_each(|m| m.status = Status::Gone);
    apply(
        &mut has,
        ListKind::Update,
        &of.apply_list(Time(1), ListKind::Update, &gone, among(&all)),
    );
    assert!(has.len() >= 36, "{} left", has.len());
    // The deleted cells return, and their replacements linger.
    gone.iter_mut().for_each(|m| m.status = Status::Live);
    apply(
        &mut has,
        ListKind::Update,
        &of.apply_list(Time(2), ListKind::Update, &gone, among(&all)),
    );
    assert!(has.len() > 40);
    apply(&mut has, ListKind::Update, &of.expire(Time(1500), among(&all)));
    let mut after: Vec<ServerId> = has.keys().copied().collect();
    let mut before = before;
    before.sort_unstable();
    after.sort_unstable();
    assert_eq!(after, before);
}

#[test]
fn no_upstream_is_named_twice_when_the_subset_changes_with_the_list() {
    let (mut of, mut has) = (subsetting(), FxHashMap::default());
    let all = fleet(80);
    apply(
        &mut has,
        ListKind::Complete,
        &of.apply_list(Time(0), ListKind::Complete, &all, among(&all)),
    );
    // The number of upstreams grows tenfold, and the subset grows with it.
    let more: Vec<Member> = fleet(800).split_off(80);
    let told = of.apply_list(Time(1), ListKind::Update, &more, among(&fleet(800)));
    let named: FxHashSet<ServerId> = told.iter().map(|m| m.id).collect();
    assert!(named.len() > 8, "{} named", named.len());
    assert_eq!(named.len(), told.len(), "an upstream is named twice");
    apply(&mut has, ListKind::Update, &told);
    // The added upstreams are removed, including some that the decision module knows.
    let gone: Vec<Member> = more.iter().map(|m| Member { status: Status::Gone, ..*m }).collect();
    let told = of.apply_list(Time(2), ListKind::Update, &gone, among(&fleet(800)));
    let named: FxHashSet<ServerId> = told.iter().map(|m| m.id).collect();
    assert_eq!(named.len(), told.len(), "an upstream is named twice");
    apply(&mut has, ListKind::Update, &told);
    assert!(has.keys().all(|id| id.0 < 80));
}

#[test]
fn subset_that_is_silent_is_widened() {
    let (mut of, mut has) = (subsetting(), FxHashMap::default());
    apply(
        &mut has,
        ListKind::Complete,
        &of.apply_list(Time(0), ListKind::Complete, &fleet(400), among(&fleet(400))),
    );
    apply(&mut has, ListKind::Update, &of.set_health(Time(1), 40, 3, among(&fleet(400))));
    assert_eq!(has.len(), 80);
}
