//! The book: what entries come to, one after the other.

mod common;

use common::{ask, book, facts, founding, next, open, propose, rollback, settle, without};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::{Trial, Why};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{Entry, Id, LONGEST_ENTRY};
use hollowpaddle_revision::fallback_policy::Charter;
use hollowpaddle_revision::fleet::{Facts, Misfit};
use hollowpaddle_revision::history::{Fate, MOST_ANSWERS, MOST_REVISIONS};
use hollowpaddle_revision::policy_state::{Book, Refusal};
use proptest::prelude::*;

#[test]
fn a_change_forbids_first_what_either_forbids_and_then_allows_what_the_new_one_does() {
    let mut book = book();
    next(&mut book, &propose(1, Some(0), without(&[2])));
    assert_eq!(open(&book), [0, 1, 3, 4, 5, 6, 7]);
    settle(&mut book);
    next(&mut book, &propose(2, Some(1), without(&[3])));
    assert_eq!(open(&book), [0, 1, 4, 5, 6, 7], "neither 2 nor 3");
    let (stage, fate) = (book.standing().stage, book.fate(book.newest()));
    assert_eq!(fate, Some(Fate::Narrow));
    // A word about another stage moves nothing.
    next(&mut book, &Entry::Step(stage - 1));
    assert_eq!((book.standing().stage, open(&book).len()), (stage, 6));
    next(&mut book, &Entry::Step(stage));
    assert_eq!(open(&book), [0, 1, 2, 4, 5, 6, 7]);
    assert_eq!(book.fate(stage), Some(Fate::InForce));
    assert_eq!(book.fate(1), Some(Fate::Was(2)));
}

#[test]
fn of_two_against_one_base_the_first_wins_and_the_other_is_told_which() {
    let mut book = book();
    let one = next(&mut book, &propose(1, Some(0), without(&[2])));
    let two = next(&mut book, &propose(2, Some(0), without(&[3])));
    assert_eq!(one.answered, Some((Id(1), Ok(1))));
    let lost = Refusal::Lost { base: 0, first: 1, newest: 1 };
    assert_eq!(two.answered, Some((Id(2), Err(lost.clone()))));
    // Later, and asked again: the same answers, and nothing more is done.
    assert_eq!(
        next(&mut book, &propose(2, Some(1), without(&[3]))).answered,
        Some((Id(2), Err(lost)))
    );
    assert_eq!(next(&mut book, &propose(1, Some(1), without(&[3]))).answered, Some((Id(1), Ok(1))));
    assert_eq!(book.answer(Id(1)).map(|a| a.outcome.clone()), Some(Ok(1)));
    assert_eq!(book.newest(), 1);
    assert_eq!(book.answer(Id(3)), None);
}

#[test]
fn of_many_while_a_change_is_under_way_the_newest_comes_next_and_those_between_never() {
    let mut book = book();
    for id in 1..=5 {
        next(&mut book, &propose(id, None, without(&[if id % 2 == 0 { 2 } else { 3 }])));
    }
    let fates: Vec<_> = (1..=5).map(|n| book.fate(n).unwrap()).collect();
    assert_eq!(fates, [Fate::Narrow, Fate::Never(3), Fate::Never(4), Fate::Never(5), Fate::Waits]);
    settle(&mut book);
    assert_eq!((book.fate(1), book.fate(5)), (Some(Fate::Was(6)), Some(Fate::InForce)));
    assert_eq!(book.standing().revision, 5);
}

#[test]
fn any_kept_revision_comes_back_under_a_new_number_in_the_middle_of_anything() {
    let mut book = book();
    next(&mut book, &propose(1, None, without(&[2])));
    settle(&mut book);
    // In the middle of a change, of a trial and of another rollback.
    let mut on_trial = ask(2, None);
    on_trial.trial = Some(Trial { seconds: 60, fall: 1000 });
    next(&mut book, &Entry::Propose(Box::new(on_trial), Box::new(without(&[3]))));
    let back = next(&mut book, &rollback(3, None, 1)).answered.unwrap().1.unwrap();
    let further = next(&mut book, &rollback(4, Some(back), 0)).answered.unwrap().1.unwrap();
    assert!(further > back);
    settle(&mut book);
    assert_eq!(open(&book), (0..8).collect::<Vec<_>>());
    assert_eq!((book.standing().revision, book.standing().trial), (further, None));
    assert_eq!(book.fate(back), Some(Fate::Never(further)));
    let contents: Vec<_> =
        book.revisions().map(|(_, k)| std::sync::Arc::as_ptr(&k.document)).collect();
    assert!(contents[0] == *contents.last().unwrap(), "content is shared");
    let gone = next(&mut book, &rollback(5, None, 99)).answered.unwrap().1;
    assert_eq!(gone, Err(Refusal::Unknown { number: 99, oldest: 0, newest: further }));
}

#[test]
fn a_rollback_to_pods_that_are_gone_is_refused_unless_forced() {
    let mut book = book();
    next(&mut book, &propose(1, None, without(&[2])));
    next(&mut book, &propose(2, None, without(&[3])));
    settle(&mut book);
    let mut fleet = facts();
    fleet.groups.retain(|g| g.pod != 2 && g.pod != 3);
    let told = book.dry_rollback(1, &fleet).unwrap();
    assert!(told.out.pods.contains(&2) && told.back.pods.contains(&3));
    assert!(told.misfits[0].contains("no pod `2`"), "{:?}", told.misfits);
    let mut asks = ask(3, None);
    asks.facts = fleet;
    let refused = next(&mut book, &Entry::Rollback(Box::new(asks.clone()), 1)).answered.unwrap().1;
    assert!(matches!(refused, Err(Refusal::Misfit(Misfit::Unknown { .. }))));
    (asks.id, asks.forced) = (Id(4), true);
    assert!(
        next(&mut book, &Entry::Rollback(Box::new(asks.clone()), 1)).answered.unwrap().1.is_ok()
    );
    // No force helps against the charter.
    asks.id = Id(5);
    let refused =
        next(&mut book, &Entry::Propose(Box::new(asks), Box::new(without(&[1])))).answered;
    assert!(matches!(refused.unwrap().1, Err(Refusal::Misfit(Misfit::Charter { .. }))));
}

#[test]
fn a_trial_is_confirmed_or_taken_back_to_what_was_before_and_never_both() {
    let trial = |id, pods: &[u32]| {
        let mut asks = ask(id, None);
        asks.trial = Some(Trial { seconds: 60, fall: 100 });
        Entry::Propose(Box::new(asks), Box::new(without(pods)))
    };
    let mut book = book();
    next(&mut book, &propose(1, None, without(&[2])));
    settle(&mut book);
    let number = next(&mut book, &trial(2, &[3])).answered.unwrap().1.unwrap();
    assert_eq!(book.standing().trial, None, "not in force yet");
    settle(&mut book);
    assert_eq!(book.standing().trial.unwrap().revision, number);
    // One more on trial over it: both go back to what was there before either.
    let second = next(&mut book, &trial(3, &[6])).answered.unwrap().1.unwrap();
    settle(&mut book);
    next(&mut book, &Entry::TakeBack(number, Why::NotConfirmed));
    assert_eq!(book.newest(), second, "it is not that one's trial any more");
    next(&mut book, &Entry::TakeBack(second, Why::NotConfirmed));
    let late = next(&mut book, &Entry::Confirm(Id(4), second)).answered.unwrap().1;
    assert_eq!(late, Err(Refusal::NotOnTrial { number: second }));
    settle(&mut book);
    assert_eq!(open(&book), [0, 1, 3, 4, 5, 6, 7]);
    // Confirmed, it stays.
    let third = next(&mut book, &trial(5, &[7])).answered.unwrap().1.unwrap();
    assert_eq!(next(&mut book, &Entry::Confirm(Id(6), third)).answered.unwrap().1, Ok(third));
    next(&mut book, &Entry::TakeBack(third, Why::NotConfirmed));
    settle(&mut book);
    assert_eq!(open(&book), [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_charter_grows_smaller_only_after_everyone_has_said_so_and_can_be_withdrawn() {
    let charter =
        |pods: &[u32]| Charter { pods: pods.iter().copied().collect(), ..founding(5).charter };
    let change = |id, pods: &[u32]| Entry::Charter(Id(id), charter(pods), Box::new(facts()));
    let mut book = book();
    next(&mut book, &change(1, &[0, 4, 6]));
    let standing = book.standing();
    assert_eq!(standing.charter.pods, [0, 4].into(), "one keeps to what both allow");
    assert!(standing.awaited && standing.rules.floor().holds(1) && standing.rules.floor().holds(6));
    // Until then neither may be forbidden, and no third charter comes in between.
    for (id, pod) in [(2, 1), (3, 6)] {
        let refused = next(&mut book, &propose(id, None, without(&[pod]))).answered.unwrap().1;
        assert!(matches!(refused, Err(Refusal::Misfit(Misfit::Charter { .. }))));
    }
    assert!(matches!(
        next(&mut book, &change(4, &[0, 4])).answered.unwrap().1,
        Err(Refusal::Changing { .. })
    ));
    settle(&mut book);
    next(&mut book, &Entry::CharterConfirmed(standing.generation + 7));
    assert!(book.standing().awaited, "another generation's word");
    next(&mut book, &Entry::CharterConfirmed(standing.generation));
    settle(&mut book);
    assert_eq!(book.standing().charter.pods, [0, 4, 6].into());
    assert!(next(&mut book, &propose(5, None, without(&[1]))).answered.unwrap().1.is_ok());
    settle(&mut book);
    // It can't grow over what is forbidden, nor leave out bedrock.
    let refused = next(&mut book, &change(6, &[0, 1, 4, 6])).answered.unwrap().1;
    assert!(matches!(refused, Err(Refusal::Misfit(Misfit::Charter { .. }))));
    assert!(matches!(
        next(&mut book, &change(7, &[0])).answered.unwrap().1,
        Err(Refusal::Charter(_))
    ));
    let mut except = charter(&[0, 4, 6]);
    except.except.insert("u0".into());
    let refused =
        next(&mut book, &Entry::Charter(Id(8), except, Box::new(facts()))).answered.unwrap().1;
    assert!(matches!(refused, Err(Refusal::Charter(_))), "u0 is in a bedrock pod");
    // Withdrawn on its way, it is the old one again.
    next(&mut book, &change(9, &[0, 4]));
    assert_eq!(book.standing().charter.pods, [0, 4].into());
    next(&mut book, &change(10, &[0, 4, 6]));
    // Found by the sweep below: what was made anew from an image differed until the next stage.
    assert_eq!(Book::from_image(&book.image().unwrap()).unwrap(), book);
    settle(&mut book);
    assert_eq!((book.standing().charter.pods.len(), book.standing().awaited), (3, false));
}

#[test]
fn operators_say_who_is_dead() {
    let mut book = book();
    next(&mut book, &Entry::Dead(Id(1), NodeId(3)));
    assert!(book.standing().dead.contains(NodeId(3)));
    next(&mut book, &Entry::Alive(Id(2), NodeId(3)));
    assert!(book.standing().dead.is_empty());
    let refused = next(&mut book, &Entry::Dead(Id(3), NodeId(5))).answered.unwrap().1;
    assert_eq!(refused, Err(Refusal::NoMember { member: 5, members: 5 }));
}

#[test]
fn a_thousand_are_kept_and_the_image_says_all_in_a_megabyte() {
    let mut book = book();
    for i in 0..2000_u32 {
        // 1 kB each, and each another one.
        let mut document = without(&[2]);
        let name = |k: u32| format!("machine-of-the-fleet-{k:06}-{i:04}");
        document.out.upstreams = (0..30).map(name).collect();
        let mut asks = ask(u128::from(i), None);
        (asks.forced, asks.facts) = (true, Facts::default());
        next(&mut book, &Entry::Propose(Box::new(asks), Box::new(document)));
        settle(&mut book);
    }
    assert_eq!(book.revisions().count(), MOST_REVISIONS);
    let image = book.image().unwrap();
    println!("an image of 1,000 revisions of 1 kB and 2,000 answers: {} bytes", image.len());
    assert!((1_000_000..1_300_000).contains(&image.len()), "{}", image.len());
    let mut other = Book::from_image(&image).unwrap();
    assert_eq!(other, book);
    // And both go on alike.
    let oldest = book.revisions().next().unwrap().0;
    let entry = rollback(u128::MAX, None, oldest);
    let (one, two) = (next(&mut book, &entry), next(&mut other, &entry));
    assert_eq!((one, &book), (two, &other));
    for cut in [0, 1, 100, image.len() - 1] {
        assert!(Book::from_image(&image[..cut]).is_err());
    }
    // A thousand rollbacks between two contents take no more room.
    let before = book.image().unwrap().len();
    let last: Vec<u64> = book.revisions().rev().take(2).map(|(n, _)| n).collect();
    for i in 0..1000 {
        let mut asks = ask(1_000_000 + i, None);
        asks.forced = true;
        next(&mut book, &Entry::Rollback(Box::new(asks), last[i as usize % 2]));
    }
    assert!(book.image().unwrap().len() < before / 8, "{}", book.image().unwrap().len());
}

#[test]
fn answers_are_remembered_up_to_a_bound() {
    let mut book = book();
    for i in 0..MOST_ANSWERS as u128 + 10 {
        next(&mut book, &Entry::Confirm(Id(i), 7));
    }
    assert_eq!((book.answer(Id(9)), book.answer(Id(10)).is_some()), (None, true));
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
        let (mut book, mut other) = (book(), book());
        let mut last = 0;
        for (at, (kind, a, b, flag)) in all.into_iter().enumerate() {
            let standing = book.standing();
            let id = Id(u128::from(a));
            let pods = [u32::from(b), 2];
            let mut asks = ask(id.0, flag.then(|| book.newest()));
            asks.trial = (a % 3 == 0).then_some(Trial { seconds: 5, fall: 10 });
            let entry = match kind {
                0 | 1 => Entry::Propose(Box::new(asks), Box::new(without(&pods[usize::from(flag)..]))),
                2 => Entry::Rollback(Box::new(asks), u64::from(b)),
                3..=5 => Entry::Step(standing.stage),
                6 => {
                    let charter = Charter { pods: [0, 4, u32::from(b)].into(), ..founding(5).charter };
                    Entry::Charter(id, charter, Box::new(facts()))
                }
                7 => Entry::CharterConfirmed(standing.generation),
                8 if flag => Entry::Confirm(id, book.newest()),
                _ => Entry::TakeBack(book.newest(), Why::NotConfirmed),
            };
            let before = open(&book);
            let applied = next(&mut book, &entry);
            prop_assert_eq!(&applied, &next(&mut other, &entry));
            let (after, now) = (open(&book), book.standing());
            let within = |a: &[u32], b: &[u32]| a.iter().all(|p| b.contains(p));
            prop_assert!(within(&before, &after) || within(&after, &before));
            let step = matches!(entry, Entry::Step(_));
            prop_assert!(now.stage == standing.stage || !standing.unconfirmed || step);
            prop_assert!(now.stage >= standing.stage && book.newest() >= last);
            last = book.newest();
            // One may keep to the charter for as long as it takes: nothing in force forbids it.
            prop_assert!(now.charter.pods.iter().all(|p| after.contains(p)));
            if let Some((_, Ok(number))) = applied.answered {
                prop_assert!(number <= now.index);
            }
            if at % 7 == 0 {
                other = Book::from_image(&other.image().unwrap()).unwrap();
            }
            prop_assert_eq!(&book, &other);
        }
    }

    #[test]
    fn no_bytes_make_an_entry_or_an_image_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0_usize..4000,
    ) {
        let mut one = book();
        one.apply(1, &bytes);
        let _ = Book::from_image(&bytes);
        let entry = propose(1, None, Document::default()).to_bytes().unwrap();
        let mut torn = entry.clone();
        let at = at % torn.len();
        torn[at] ^= 0x41;
        one.apply(2, &torn);
        one.apply(3, &entry[..at]);
        prop_assert!(one.apply(4, &[&entry[..], &[0]].concat()).unreadable.is_some());
        let mut image = book().image().unwrap();
        let at = at % image.len();
        image[at] ^= 0x41;
        let _ = Book::from_image(&image);
        prop_assert!(one.apply(5, &vec![0; LONGEST_ENTRY + 1]).unreadable.is_some());
    }
}
