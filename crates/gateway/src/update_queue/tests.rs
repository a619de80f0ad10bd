use super::*;

/// Returns no last listed state for any upstream.
fn none_listed(_: ServerId) -> Option<Member> {
    None
}

fn all(n: u32) -> Vec<Member> {
    (0..n).map(|i| Member::live(ServerId(i))).collect()
}

/// Applies all parts of a list to the upstreams that the decision module knows. Returns the number of parts.
fn apply_all_parts(
    queue: &mut UpdateQueue,
    known: &mut FxHashMap<ServerId, Member>,
    part: Part,
) -> usize {
    let mut parts = 1;
    let mut apply = |kind: ListKind, members: Vec<Member>| {
        if !kind.is_part() {
            known.clear();
        }
        known.extend(members.into_iter().map(|m| (m.id, m)));
        known.retain(|_, m| m.status != Status::Gone);
    };
    apply(part.kind, part.members);
    while queue.is_due() {
        let next = queue.next_part();
        assert!(!next.is_empty() && next.len() <= PART_LENGTH);
        apply(ListKind::Update, next);
        parts += 1;
    }
    parts
}

#[test]
fn long_list_is_passed_on_in_parts_with_the_same_result() {
    let (mut queue, mut known) = (UpdateQueue::default(), FxHashMap::default());
    let part = queue.queue_list(ListKind::Restored, all(10_000), none_listed);
    assert_eq!(apply_all_parts(&mut queue, &mut known, part), 1, "the first list is not split");
    // The same list again changes no upstream, and is still passed on, because it shows that the watch is alive.
    let part = queue.queue_list(ListKind::Complete, all(10_000), none_listed);
    assert_eq!(part, Part { kind: ListKind::Update, members: vec![] });
    // Half of the upstreams are missing from the list, and a tenth of the rest drains.
    let mut list = all(5000);
    list[..500].iter_mut().for_each(|m| m.weight = 2.0);
    list[500..1000].iter_mut().for_each(|m| m.status = Status::Draining);
    let part = queue.queue_list(ListKind::Complete, list.clone(), none_listed);
    assert!(apply_all_parts(&mut queue, &mut known, part) > 5500 / PART_LENGTH);
    assert_eq!(known, list.into_iter().map(|m| (m.id, m)).collect());
}

#[test]
fn drains_and_removals_go_first() {
    let (mut queue, mut known) = (UpdateQueue::default(), FxHashMap::default());
    let part = queue.queue_list(ListKind::Restored, all(1000), none_listed);
    apply_all_parts(&mut queue, &mut known, part);
    let mut list = all(1000);
    list.iter_mut().for_each(|m| m.weight = 2.0);
    list[990..].iter_mut().for_each(|m| m.status = Status::Draining);
    let part = queue.queue_list(ListKind::Complete, list, none_listed);
    let drains = part.members.iter().filter(|m| m.status == Status::Draining).count();
    assert_eq!((part.members.len(), drains), (PART_LENGTH, 10));
}

#[test]
fn due_upstream_that_starts_draining_goes_first_and_once() {
    // Guards against a drain that keeps the position of an earlier queued change, behind all other changed upstreams.
    let (mut queue, mut known) = (UpdateQueue::default(), FxHashMap::default());
    let part = queue.queue_list(ListKind::Restored, all(1000), none_listed);
    apply_all_parts(&mut queue, &mut known, part);
    let mut list = all(1000);
    list.iter_mut().for_each(|m| m.weight = 2.0);
    assert_eq!(queue.queue_list(ListKind::Complete, list, none_listed).members.len(), PART_LENGTH);
    let drained = Member { status: Status::Draining, ..Member::live(ServerId(999)) };
    let part = queue.queue_list(ListKind::Update, vec![drained], none_listed);
    assert_eq!(part.members[0], drained);
    let mut times = part.members.iter().filter(|m| m.id == drained.id).count();
    while queue.is_due() {
        times += queue.next_part().iter().filter(|m| m.id == drained.id).count();
    }
    assert_eq!((times, queue.due.is_empty()), (1, true));
}

#[test]
fn newer_change_is_not_undone_by_an_older_one_that_was_due() {
    let (mut queue, mut known) = (UpdateQueue::default(), FxHashMap::default());
    let part = queue.queue_list(ListKind::Restored, all(1000), none_listed);
    apply_all_parts(&mut queue, &mut known, part);
    let drained = |m: Member| Member { status: Status::Draining, ..m };
    let part = queue.queue_list(
        ListKind::Complete,
        all(1000).into_iter().map(drained).collect(),
        none_listed,
    );
    assert!(queue.is_due());
    known.extend(part.members.into_iter().map(|m| (m.id, m)));
    // While changes are queued, the last upstream becomes live again and the first is removed.
    let gone = Member { status: Status::Gone, ..Member::live(ServerId(0)) };
    let part =
        queue.queue_list(ListKind::Update, vec![Member::live(ServerId(999)), gone], none_listed);
    apply_all_parts(&mut queue, &mut known, part);
    assert_eq!((known.len(), known[&ServerId(999)].status), (999, Status::Live));
    assert!(known.values().filter(|m| m.status == Status::Draining).count() == 998);
}

#[test]
fn short_list_is_passed_on_unsplit() {
    let mut queue = UpdateQueue::default();
    for kind in [ListKind::Restored, ListKind::Complete, ListKind::Update, ListKind::LocalChange] {
        let part = queue.queue_list(kind, all(200), none_listed);
        assert_eq!(part, Part { kind, members: all(200) });
    }
    assert!(!queue.is_due());
}

#[test]
fn upstreams_missing_from_a_complete_list_are_removed_as_last_listed() {
    let mut queue = UpdateQueue::default();
    let last = |id| Some(Member { zone: 3, cell: 7, ..Member::live(id) });
    let members: Vec<Member> = (0..1000).map(ServerId).filter_map(last).collect();
    queue.queue_list(ListKind::Restored, members.clone(), last);
    let part = queue.queue_list(ListKind::Complete, members[..990].to_vec(), last);
    let gone = |m: &Member| Member { status: Status::Gone, ..*m };
    let mut removals = part.members;
    removals.sort_unstable_by_key(|m| m.id);
    assert_eq!(removals, members[990..].iter().map(gone).collect::<Vec<_>>());
    assert!(!queue.is_due());
    // The same list again removes none of them a second time.
    assert_eq!(queue.queue_list(ListKind::Complete, members[..990].to_vec(), last).members, []);
}

#[test]
fn change_of_any_field_changes_the_fingerprint() {
    let listed = Member::live(ServerId(7));
    let started = Some(hollowpaddle_policy::interface::Time(0));
    let changed = [
        Member { identity: 8, ..listed },
        Member { zone: 1, ..listed },
        Member { machine_type: 1, ..listed },
        Member { cell: 1, ..listed },
        Member { status: Status::Draining, ..listed },
        Member { status: Status::Gone, ..listed },
        Member { weight: 2.0, ..listed },
        Member { started, ..listed },
        Member { barred_classes: 1, ..listed },
    ];
    for member in changed {
        assert!(Fingerprint::of(&member) != Fingerprint::of(&listed), "{member:?}");
    }
}
