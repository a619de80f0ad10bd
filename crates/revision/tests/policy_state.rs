//! The book: what entries come to, one after the other.

mod common;

use common::{ask, bootstrap, facts, next, open, policy, propose, rollback, settle, without};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::{CanaryTerms, RollbackCause};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, MAX_ENTRY_BYTES};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::{Facts, FleetConflict};
use hollowpaddle_revision::history::{ChangeStatus, MAX_RESULTS, MAX_REVISIONS};
use hollowpaddle_revision::policy_state::{PolicyState, Refusal};
use proptest::prelude::*;

#[test]
fn a_change_forbids_first_what_either_forbids_and_then_allows_what_the_new_one_does() {
    let mut policy = policy();
    next(&mut policy, &propose(1, Some(0), without(&[2])));
    assert_eq!(open(&policy), [0, 1, 3, 4, 5, 6, 7]);
    settle(&mut policy);
    next(&mut policy, &propose(2, Some(1), without(&[3])));
    assert_eq!(open(&policy), [0, 1, 4, 5, 6, 7], "neither 2 nor 3");
    let (generation, change_status) =
        (policy.status().generation, policy.change_status(policy.newest()));
    assert_eq!(change_status, Some(ChangeStatus::Restricting));
    // A word about another stage moves nothing.
    next(&mut policy, &Entry::GenerationConfirmed(generation - 1));
    assert_eq!((policy.status().generation, open(&policy).len()), (generation, 6));
    next(&mut policy, &Entry::GenerationConfirmed(generation));
    assert_eq!(open(&policy), [0, 1, 2, 4, 5, 6, 7]);
    assert_eq!(policy.change_status(generation), Some(ChangeStatus::InForce));
    assert_eq!(policy.change_status(1), Some(ChangeStatus::Superseded(2)));
}

#[test]
fn of_two_against_one_base_the_first_wins_and_the_other_is_told_which() {
    let mut policy = policy();
    let one = next(&mut policy, &propose(1, Some(0), without(&[2])));
    let two = next(&mut policy, &propose(2, Some(0), without(&[3])));
    assert_eq!(one.answered, Some((CommandId(1), Ok(1))));
    let lost = Refusal::Lost { base: 0, first: 1, newest: 1 };
    assert_eq!(two.answered, Some((CommandId(2), Err(lost.clone()))));
    // Later, and asked again: the same answers, and nothing more is done.
    assert_eq!(
        next(&mut policy, &propose(2, Some(1), without(&[3]))).answered,
        Some((CommandId(2), Err(lost)))
    );
    assert_eq!(
        next(&mut policy, &propose(1, Some(1), without(&[3]))).answered,
        Some((CommandId(1), Ok(1)))
    );
    assert_eq!(policy.answer(CommandId(1)).map(|a| a.outcome.clone()), Some(Ok(1)));
    assert_eq!(policy.newest(), 1);
    assert_eq!(policy.answer(CommandId(3)), None);
}

#[test]
fn of_many_while_a_change_is_under_way_the_newest_comes_next_and_those_between_never() {
    let mut policy = policy();
    for id in 1..=5 {
        next(&mut policy, &propose(id, None, without(&[if id % 2 == 0 { 2 } else { 3 }])));
    }
    let change_statuses: Vec<_> = (1..=5).map(|n| policy.change_status(n).unwrap()).collect();
    assert_eq!(
        change_statuses,
        [
            ChangeStatus::Restricting,
            ChangeStatus::Skipped(3),
            ChangeStatus::Skipped(4),
            ChangeStatus::Skipped(5),
            ChangeStatus::Pending
        ]
    );
    settle(&mut policy);
    assert_eq!(
        (policy.change_status(1), policy.change_status(5)),
        (Some(ChangeStatus::Superseded(6)), Some(ChangeStatus::InForce))
    );
    assert_eq!(policy.status().revision, 5);
}

#[test]
fn any_kept_revision_comes_back_under_a_new_number_in_the_middle_of_anything() {
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    settle(&mut policy);
    // In the middle of a change, of a trial and of another rollback.
    let mut on_trial = ask(2, None);
    on_trial.canary = Some(CanaryTerms { seconds: 60, fall: 1000 });
    next(&mut policy, &Entry::Propose(Box::new(on_trial), Box::new(without(&[3]))));
    let back = next(&mut policy, &rollback(3, None, 1)).answered.unwrap().1.unwrap();
    let further = next(&mut policy, &rollback(4, Some(back), 0)).answered.unwrap().1.unwrap();
    assert!(further > back);
    settle(&mut policy);
    assert_eq!(open(&policy), (0..8).collect::<Vec<_>>());
    assert_eq!((policy.status().revision, policy.status().canary), (further, None));
    assert_eq!(policy.change_status(back), Some(ChangeStatus::Skipped(further)));
    let contents: Vec<_> =
        policy.revisions().map(|(_, k)| std::sync::Arc::as_ptr(&k.document)).collect();
    assert!(contents[0] == *contents.last().unwrap(), "content is shared");
    let gone = next(&mut policy, &rollback(5, None, 99)).answered.unwrap().1;
    assert_eq!(gone, Err(Refusal::Unknown { number: 99, oldest: 0, newest: further }));
}

#[test]
fn a_rollback_to_pods_that_are_gone_is_refused_unless_forced() {
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    next(&mut policy, &propose(2, None, without(&[3])));
    settle(&mut policy);
    let mut fleet = facts();
    fleet.groups.retain(|g| g.cell != 2 && g.cell != 3);
    let told = policy.dry_rollback(1, &fleet).unwrap();
    assert!(told.out.cells.contains(&2) && told.back.cells.contains(&3));
    assert!(told.fleet_conflicts[0].contains("no pod `2`"), "{:?}", told.fleet_conflicts);
    let mut asks = ask(3, None);
    asks.facts = fleet;
    let refused =
        next(&mut policy, &Entry::Rollback(Box::new(asks.clone()), 1)).answered.unwrap().1;
    assert!(matches!(refused, Err(Refusal::FleetConflict(FleetConflict::Unknown { .. }))));
    (asks.id, asks.forced) = (CommandId(4), true);
    assert!(
        next(&mut policy, &Entry::Rollback(Box::new(asks.clone()), 1)).answered.unwrap().1.is_ok()
    );
    // No force helps against the charter.
    asks.id = CommandId(5);
    let refused =
        next(&mut policy, &Entry::Propose(Box::new(asks), Box::new(without(&[1])))).answered;
    assert!(matches!(
        refused.unwrap().1,
        Err(Refusal::FleetConflict(FleetConflict::FallbackPolicy { .. }))
    ));
}

#[test]
fn a_trial_is_confirmed_or_taken_back_to_what_was_before_and_never_both() {
    let canary = |id, cells: &[u32]| {
        let mut asks = ask(id, None);
        asks.canary = Some(CanaryTerms { seconds: 60, fall: 100 });
        Entry::Propose(Box::new(asks), Box::new(without(cells)))
    };
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    settle(&mut policy);
    let number = next(&mut policy, &canary(2, &[3])).answered.unwrap().1.unwrap();
    assert_eq!(policy.status().canary, None, "not in force yet");
    settle(&mut policy);
    assert_eq!(policy.status().canary.unwrap().revision, number);
    // One more on trial over it: both go back to what was there before either.
    let second = next(&mut policy, &canary(3, &[6])).answered.unwrap().1.unwrap();
    settle(&mut policy);
    next(&mut policy, &Entry::AutomaticRollback(number, RollbackCause::NotConfirmed));
    assert_eq!(policy.newest(), second, "it is not that one's trial any more");
    next(&mut policy, &Entry::AutomaticRollback(second, RollbackCause::NotConfirmed));
    let late = next(&mut policy, &Entry::Confirm(CommandId(4), second)).answered.unwrap().1;
    assert_eq!(late, Err(Refusal::NotOnCanary { number: second }));
    settle(&mut policy);
    assert_eq!(open(&policy), [0, 1, 3, 4, 5, 6, 7]);
    // Confirmed, it stays.
    let third = next(&mut policy, &canary(5, &[7])).answered.unwrap().1.unwrap();
    assert_eq!(
        next(&mut policy, &Entry::Confirm(CommandId(6), third)).answered.unwrap().1,
        Ok(third)
    );
    next(&mut policy, &Entry::AutomaticRollback(third, RollbackCause::NotConfirmed));
    settle(&mut policy);
    assert_eq!(open(&policy), [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_charter_grows_smaller_only_after_everyone_has_said_so_and_can_be_withdrawn() {
    let fallback_policy = |cells: &[u32]| FallbackPolicy {
        cells: cells.iter().copied().collect(),
        ..bootstrap(5).fallback_policy
    };
    let change = |id, cells: &[u32]| {
        Entry::FallbackPolicy(CommandId(id), fallback_policy(cells), Box::new(facts()))
    };
    let mut policy = policy();
    next(&mut policy, &change(1, &[0, 4, 6]));
    let status = policy.status();
    assert_eq!(status.fallback_policy.cells, [0, 4].into(), "one keeps to what both allow");
    assert!(status.awaited && status.rules.floor().holds(1) && status.rules.floor().holds(6));
    // Until then neither may be forbidden, and no third charter comes in between.
    for (id, cell) in [(2, 1), (3, 6)] {
        let refused = next(&mut policy, &propose(id, None, without(&[cell]))).answered.unwrap().1;
        assert!(matches!(
            refused,
            Err(Refusal::FleetConflict(FleetConflict::FallbackPolicy { .. }))
        ));
    }
    assert!(matches!(
        next(&mut policy, &change(4, &[0, 4])).answered.unwrap().1,
        Err(Refusal::Changing { .. })
    ));
    settle(&mut policy);
    next(&mut policy, &Entry::FallbackPolicyConfirmed(status.fallback_generation + 7));
    assert!(policy.status().awaited, "another generation's word");
    next(&mut policy, &Entry::FallbackPolicyConfirmed(status.fallback_generation));
    settle(&mut policy);
    assert_eq!(policy.status().fallback_policy.cells, [0, 4, 6].into());
    assert!(next(&mut policy, &propose(5, None, without(&[1]))).answered.unwrap().1.is_ok());
    settle(&mut policy);
    // It can't grow over what is forbidden, nor leave out bedrock.
    let refused = next(&mut policy, &change(6, &[0, 1, 4, 6])).answered.unwrap().1;
    assert!(matches!(refused, Err(Refusal::FleetConflict(FleetConflict::FallbackPolicy { .. }))));
    assert!(matches!(
        next(&mut policy, &change(7, &[0])).answered.unwrap().1,
        Err(Refusal::FallbackPolicy(_))
    ));
    let mut except = fallback_policy(&[0, 4, 6]);
    except.except.insert("u0".into());
    let refused =
        next(&mut policy, &Entry::FallbackPolicy(CommandId(8), except, Box::new(facts())))
            .answered
            .unwrap()
            .1;
    assert!(matches!(refused, Err(Refusal::FallbackPolicy(_))), "u0 is in a bedrock pod");
    // Withdrawn on its way, it is the old one again.
    next(&mut policy, &change(9, &[0, 4]));
    assert_eq!(policy.status().fallback_policy.cells, [0, 4].into());
    next(&mut policy, &change(10, &[0, 4, 6]));
    // Found by the sweep below: what was made anew from an image differed until the next stage.
    assert_eq!(PolicyState::from_image(&policy.image().unwrap()).unwrap(), policy);
    settle(&mut policy);
    assert_eq!((policy.status().fallback_policy.cells.len(), policy.status().awaited), (3, false));
}

#[test]
fn operators_say_who_is_dead() {
    let mut policy = policy();
    next(&mut policy, &Entry::Dead(CommandId(1), NodeId(3)));
    assert!(policy.status().dead.contains(NodeId(3)));
    next(&mut policy, &Entry::Alive(CommandId(2), NodeId(3)));
    assert!(policy.status().dead.is_empty());
    let refused = next(&mut policy, &Entry::Dead(CommandId(3), NodeId(5))).answered.unwrap().1;
    assert_eq!(refused, Err(Refusal::UnknownNode { member: 5, members: 5 }));
}

#[test]
fn a_thousand_are_kept_and_the_image_says_all_in_a_megabyte() {
    let mut policy = policy();
    for i in 0..2000_u32 {
        // 1 kB each, and each another one.
        let mut document = without(&[2]);
        let name = |k: u32| format!("machine-of-the-fleet-{k:06}-{i:04}");
        document.out.upstreams = (0..30).map(name).collect();
        let mut asks = ask(u128::from(i), None);
        (asks.forced, asks.facts) = (true, Facts::default());
        next(&mut policy, &Entry::Propose(Box::new(asks), Box::new(document)));
        settle(&mut policy);
    }
    assert_eq!(policy.revisions().count(), MAX_REVISIONS);
    let image = policy.image().unwrap();
    println!("an image of 1,000 revisions of 1 kB and 2,000 answers: {} bytes", image.len());
    assert!((1_000_000..1_300_000).contains(&image.len()), "{}", image.len());
    let mut other = PolicyState::from_image(&image).unwrap();
    assert_eq!(other, policy);
    // And both go on alike.
    let oldest = policy.revisions().next().unwrap().0;
    let entry = rollback(u128::MAX, None, oldest);
    let (one, two) = (next(&mut policy, &entry), next(&mut other, &entry));
    assert_eq!((one, &policy), (two, &other));
    for cut in [0, 1, 100, image.len() - 1] {
        assert!(PolicyState::from_image(&image[..cut]).is_err());
    }
    // A thousand rollbacks between two contents take no more room.
    let before = policy.image().unwrap().len();
    let last: Vec<u64> = policy.revisions().rev().take(2).map(|(n, _)| n).collect();
    for i in 0..1000 {
        let mut asks = ask(1_000_000 + i, None);
        asks.forced = true;
        next(&mut policy, &Entry::Rollback(Box::new(asks), last[i as usize % 2]));
    }
    assert!(policy.image().unwrap().len() < before / 8, "{}", policy.image().unwrap().len());
}

#[test]
fn answers_are_remembered_up_to_a_bound() {
    let mut policy = policy();
    for i in 0..MAX_RESULTS as u128 + 10 {
        next(&mut policy, &Entry::Confirm(CommandId(i), 7));
    }
    assert_eq!((policy.answer(CommandId(9)), policy.answer(CommandId(10)).is_some()), (None, true));
}

fn entries() -> impl Strategy<Value = (u8, u8, u8, bool)> {
    (0_u8..9, 0_u8..12, 0_u8..8, any::<bool>())
}

proptest! {
    /// Whatever comes: numbers only grow, a yes has its revision, what anybody may act on after an entry
    /// allows all of what it did before or nothing more, and two books that are fed alike, one of them
    /// through an image, are alike.
    #[test]
    fn whatever_comes_numbers_grow_and_stages_are_nested(all in proptest::collection::vec(entries(), 1..60)) {
        let (mut policy, mut other) = (policy(), policy());
        let mut last = 0;
        for (at, (kind, a, b, flag)) in all.into_iter().enumerate() {
            let status = policy.status();
            let id = CommandId(u128::from(a));
            let cells = [u32::from(b), 2];
            let mut asks = ask(id.0, flag.then(|| policy.newest()));
            asks.canary = (a % 3 == 0).then_some(CanaryTerms { seconds: 5, fall: 10 });
            let entry = match kind {
                0 | 1 => Entry::Propose(Box::new(asks), Box::new(without(&cells[usize::from(flag)..]))),
                2 => Entry::Rollback(Box::new(asks), u64::from(b)),
                3..=5 => Entry::GenerationConfirmed(status.generation),
                6 => {
                    let fallback_policy = FallbackPolicy { cells: [0, 4, u32::from(b)].into(), ..bootstrap(5).fallback_policy };
                    Entry::FallbackPolicy(id, fallback_policy, Box::new(facts()))
                }
                7 => Entry::FallbackPolicyConfirmed(status.fallback_generation),
                8 if flag => Entry::Confirm(id, policy.newest()),
                _ => Entry::AutomaticRollback(policy.newest(), RollbackCause::NotConfirmed),
            };
            let before = open(&policy);
            let applied = next(&mut policy, &entry);
            prop_assert_eq!(&applied, &next(&mut other, &entry));
            let (after, now) = (open(&policy), policy.status());
            let within = |a: &[u32], b: &[u32]| a.iter().all(|p| b.contains(p));
            prop_assert!(within(&before, &after) || within(&after, &before));
            let step = matches!(entry, Entry::GenerationConfirmed(_));
            prop_assert!(now.generation == status.generation || !status.unconfirmed || step);
            prop_assert!(now.generation >= status.generation && policy.newest() >= last);
            last = policy.newest();
            // One may keep to the charter for as long as it takes: nothing in force forbids it.
            prop_assert!(now.fallback_policy.cells.iter().all(|p| after.contains(p)));
            if let Some((_, Ok(number))) = applied.answered {
                prop_assert!(number <= now.index);
            }
            if at % 7 == 0 {
                other = PolicyState::from_image(&other.image().unwrap()).unwrap();
            }
            prop_assert_eq!(&policy, &other);
        }
    }

    #[test]
    fn no_bytes_make_an_entry_or_an_image_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0_usize..4000,
    ) {
        let mut one = policy();
        one.apply(1, &bytes);
        let _ = PolicyState::from_image(&bytes);
        let entry = propose(1, None, Document::default()).to_bytes().unwrap();
        let mut torn = entry.clone();
        let at = at % torn.len();
        torn[at] ^= 0x41;
        one.apply(2, &torn);
        one.apply(3, &entry[..at]);
        prop_assert!(one.apply(4, &[&entry[..], &[0]].concat()).unreadable.is_some());
        let mut image = policy().image().unwrap();
        let at = at % image.len();
        image[at] ^= 0x41;
        let _ = PolicyState::from_image(&image);
        prop_assert!(one.apply(5, &vec![0; MAX_ENTRY_BYTES + 1]).unreadable.is_some());
    }
}
