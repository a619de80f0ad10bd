use super::*;

/// Returns no last listed state for any upstream.
fn nobody(_: ServerId) -> Option<Member> {
    None
}

fn all(n: u32) -> Vec<Member> {
    (0..n).map(|i| Member::live(ServerId(i))).collect()
}

/// Applies all parts of a list to the upstreams that the decision module knows. Returns the number of parts.
fn hand_over(of: &mut UpdateQueue, has: &mut FxHashMap<ServerId, Member>, part: Part) -> usize {
    let mut parts = 1;
    let mut tell = |kind: ListKind, members: Vec<Member>| {
        if !kind.is_part() {
            has.clear();
        }
        has.extend(members.into_iter().map(|m| (m.id, m)));
        has.retain(|_, m| m.status != Status::Gone);
    };
    tell(part.kind, part.members);
    while of.is_due() {
        let next = of.next_part();
        assert!(!next.is_empty() && next.len() <= PART_LENGTH);
        tell(ListKind::Update, next);
        parts += 1;
    }
    parts
}

#[test]
fn long_list_is_handed_over_in_parts_with_the_same_result() {
    let (mut of, mut has) = (UpdateQueue::default(), FxHashMap::default());
    let part = of.queue_list(ListKind::Restored, all(10_000), nobody);
    assert_eq!(hand_over(&mut of, &mut has, part), 1, "the first list is not split");
    // The same list again changes no upstream, and is still passed on, because it confirms the watch.
    let part = of.queue_list(ListKind::Complete, all(10_000), nobody);
    assert_eq!(part, Part { kind: ListKind::Update, members: vec![] });
    // Half of the upstreams are missing from the list, and a tenth of the rest drains.
    let mut list = all(5000);
    list[..500].iter_mut().for_each(|m| m.weight = 2.0);
    list[500..1000].iter_mut().for_each(|m| m.status = Status::Draining);
    let part = of.queue_list(ListKind::Complete, list.clone(), nobody);
    assert!(hand_over(&mut of, &mut has, part) > 5500 / PART_LENGTH);
    assert_eq!(has, list.into_iter().map(|m| (m.id, m)).collect());
}

#[test]
fn drains_and_removals_go_first() {
    let (mut of, mut has) = (UpdateQueue::default(), FxHashMap::default());
    let part = of.queue_list(ListKind::Restored, all(1000), nobody);
    hand_over(&mut of, &mut has, part);
    let mut list = all(1000);
    list.iter_mut().for_each(|m| m.weight = 2.0);
    list[990..].iter_mut().for_each(|m| m.status = Status::Draining);
    let part = of.queue_list(ListKind::Complete, list, nobody);
    let drains = part.members.iter().filter(|m| m.status == Status::Draining).count();
    assert_eq!((part.members.len(), drains), (PART_LENGTH, 10));
}

#[test]
fn due_upstream_that_starts_draining_goes_first_and_once() {
    // Guards against a drain that keeps the position of an earlier queued change, behind all other changed upstreams.
    let (mut of, mut has) = (UpdateQueue::default(), FxHashMap::default());
    let part = of.queue_list(ListKind::Restored, all(1000), nobody);
    hand_over(&mut of, &mut has, part);
    let mut list = all(1000);
    list.iter_mut().for_each(|m| m.weight = 2.0);
    assert_eq!(of.queue_list(ListKind::Complete, list, nobody).members.len(), PART_LENGTH);
    let drained = Member { status: Status::Draining, ..Member::live(ServerId(999)) };
    let part = of.queue_list(ListKind::Update, vec![drained], nobody);
    assert_eq!(part.members[0], drained);
    let mut times = part.members.iter().filter(|m| m.id == drained.id).count();
    while of.is_due() {
        times += of.next_part().iter().filter(|m| m.id == drained.id).count();
    }
    assert_eq!((times, of.due.is_empty()), (1, true));
}

#[test]
fn newer_change_is_not_undone_by_an_older_one_that_was_due() {
    let (mut of, mut has) = (UpdateQueue::default(), FxHashMap::default());
    let part = of.queue_list(ListKind::Restored, all(1000), nobody);
    hand_over(&mut of, &mut has, part);
    let drained = |m: Member| Member { status: Status::Draining, ..m };
    let part =
        of.queue_list(ListKind::Complete, all(1000).into_iter().map(drained).collect(), nobody);
    assert!(of.is_due());
    has.extend(part.members.into_iter().map(|m| (m.id, m)));
    // While changes are queued, the last upstream becomes live again and the first is removed.
    let gone = Member { status: Status::Gone, ..Member::live(ServerId(0)) };
    let part = of.queue_list(ListKind::Update, vec![Member::live(ServerId(999)), gone], nobody);
    hand_over(&mut of, &mut has, part);
    assert_eq!((has.len(), has[&ServerId(999)].status), (999, Status::Live));
    assert!(has.values().filter(|m| m.status == Status::Draining).count() == 998);
}

#[test]
fn short_list_is_handed_over_as_it_is() {
    let mut of = UpdateQueue::default();
    for kind in [ListKind::Restored, ListKind::Complete, ListKind::Update, ListKind::LocalChange] {
        let part = of.queue_list(kind, all(200), nobody);
        assert_eq!(part, Part { kind, members: all(200) });
    }
    assert!(!of.is_due());
}

#[test]
fn upstreams_that_a_complete_list_leaves_out_are_removed_as_last_listed() {
    let mut of = UpdateQueue::default();
    let last = |id| Some(Member { zone: 3, cell: 7, ..Member::live(id) });
    let members: Vec<Member> = (0..1000).map(ServerId).filter_map(last).collect();
    of.queue_list(ListKind::Restored, members.clone(), last);
    let part = of.queue_list(ListKind::Complete, members[..990].to_vec(), last);
    let gone = |m: &Member| Member { status: Status::Gone, ..*m };
    let mut told = part.members;
    told.sort_unstable_by_key(|m| m.id);
    assert_eq!(told, members[990..].iter().map(gone).collect::<Vec<_>>());
    assert!(!of.is_due());
    // The same list again removes none of them a second time.
    assert_eq!(of.queue_list(ListKind::Complete, members[..990].to_vec(), last).members, []);
}

#[test]
fn change_of_any_field_is_handed_over() {
    let listed = Member::live(ServerId(7));
    let started = Some(hollowpaddle_policy::interface::Time(0));
    let changed = [
        Member { identity: 8, ..listed },
        Member { zone: 1, ..listed },
        Member { kind: 1, ..listed },
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
