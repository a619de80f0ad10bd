//! Tests of the policy state, one log entry at a time.

mod common;

use common::{
    bootstrap, facts, next, open_cells, options, policy, propose, rollback, settle, without,
};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::{CanaryTerms, RollbackCause};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, MAX_ENTRY_BYTES};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::{FleetConflict, FleetFacts};
use hollowpaddle_revision::history::{ChangeStatus, MAX_RESULTS, MAX_REVISIONS};
use hollowpaddle_revision::policy_state::{PolicyState, Rejection};
use proptest::prelude::*;

#[test]
fn change_restricts_to_both_revisions_before_it_applies_the_new_one() {
    let mut policy = policy();
    next(&mut policy, &propose(1, Some(0), without(&[2])));
    assert_eq!(open_cells(&policy), [0, 1, 3, 4, 5, 6, 7]);
    settle(&mut policy);
    next(&mut policy, &propose(2, Some(1), without(&[3])));
    assert_eq!(open_cells(&policy), [0, 1, 4, 5, 6, 7], "neither 2 nor 3");
    let (generation, change_status) =
        (policy.status().generation, policy.change_status(policy.newest()));
    assert_eq!(change_status, Some(ChangeStatus::Restricting));
    // The confirmation of another generation has no effect.
    next(&mut policy, &Entry::GenerationConfirmed(generation - 1));
    assert_eq!((policy.status().generation, open_cells(&policy).len()), (generation, 6));
    next(&mut policy, &Entry::GenerationConfirmed(generation));
    assert_eq!(open_cells(&policy), [0, 1, 2, 4, 5, 6, 7]);
    assert_eq!(policy.change_status(generation), Some(ChangeStatus::InForce));
    assert_eq!(policy.change_status(1), Some(ChangeStatus::Superseded(2)));
}

#[test]
fn second_proposal_against_the_same_base_is_rejected() {
    let mut policy = policy();
    let one = next(&mut policy, &propose(1, Some(0), without(&[2])));
    let two = next(&mut policy, &propose(2, Some(0), without(&[3])));
    assert_eq!(one.result, Some((CommandId(1), Ok(1))));
    let stale = Rejection::StaleBase { base: 0, first: 1, newest: 1 };
    assert_eq!(two.result, Some((CommandId(2), Err(stale.clone()))));
    // A repeated command gets the same result and has no further effect.
    assert_eq!(
        next(&mut policy, &propose(2, Some(1), without(&[3]))).result,
        Some((CommandId(2), Err(stale)))
    );
    assert_eq!(
        next(&mut policy, &propose(1, Some(1), without(&[3]))).result,
        Some((CommandId(1), Ok(1)))
    );
    assert_eq!(policy.command_result(CommandId(1)).map(|a| a.outcome.clone()), Some(Ok(1)));
    assert_eq!(policy.newest(), 1);
    assert_eq!(policy.command_result(CommandId(3)), None);
}

#[test]
fn only_the_newest_pending_revision_follows_a_running_change() {
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
fn rollback_works_during_a_change_a_canary_and_another_rollback() {
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    settle(&mut policy);
    // During a change, a canary and another rollback.
    let mut canary_options = options(2, None);
    canary_options.canary = Some(CanaryTerms { seconds: 60, fall: 1000 });
    next(&mut policy, &Entry::Propose(Box::new(canary_options), Box::new(without(&[3]))));
    let first_rollback = next(&mut policy, &rollback(3, None, 1)).result.unwrap().1.unwrap();
    let second_rollback =
        next(&mut policy, &rollback(4, Some(first_rollback), 0)).result.unwrap().1.unwrap();
    assert!(second_rollback > first_rollback);
    settle(&mut policy);
    assert_eq!(open_cells(&policy), (0..8).collect::<Vec<_>>());
    assert_eq!((policy.status().revision, policy.status().canary), (second_rollback, None));
    assert_eq!(policy.change_status(first_rollback), Some(ChangeStatus::Skipped(second_rollback)));
    let contents: Vec<_> =
        policy.revisions().map(|(_, k)| std::sync::Arc::as_ptr(&k.document)).collect();
    assert!(contents[0] == *contents.last().unwrap(), "content is shared");
    let unknown = next(&mut policy, &rollback(5, None, 99)).result.unwrap().1;
    assert_eq!(unknown, Err(Rejection::Unknown { number: 99, oldest: 0, newest: second_rollback }));
}

#[test]
fn rollback_to_missing_cells_is_rejected_unless_forced() {
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    next(&mut policy, &propose(2, None, without(&[3])));
    settle(&mut policy);
    let mut fleet = facts();
    fleet.groups.retain(|g| g.cell != 2 && g.cell != 3);
    let difference = policy.dry_run_rollback(1, &fleet).unwrap();
    assert!(
        difference.added_exclusions.cells.contains(&2)
            && difference.removed_exclusions.cells.contains(&3)
    );
    assert!(
        difference.fleet_conflicts[0].contains("no pod `2`"),
        "{:?}",
        difference.fleet_conflicts
    );
    let mut proposal = options(3, None);
    proposal.facts = fleet;
    let rejected =
        next(&mut policy, &Entry::Rollback(Box::new(proposal.clone()), 1)).result.unwrap().1;
    assert!(matches!(rejected, Err(Rejection::FleetConflict(FleetConflict::Unknown { .. }))));
    (proposal.id, proposal.forced) = (CommandId(4), true);
    assert!(
        next(&mut policy, &Entry::Rollback(Box::new(proposal.clone()), 1))
            .result
            .unwrap()
            .1
            .is_ok()
    );
    // Conflicts with the fallback policy cannot be overridden.
    proposal.id = CommandId(5);
    let rejected =
        next(&mut policy, &Entry::Propose(Box::new(proposal), Box::new(without(&[1])))).result;
    assert!(matches!(
        rejected.unwrap().1,
        Err(Rejection::FleetConflict(FleetConflict::FallbackPolicy { .. }))
    ));
}

#[test]
fn canary_is_either_confirmed_or_rolled_back() {
    let canary = |id, cells: &[u32]| {
        let mut proposal = options(id, None);
        proposal.canary = Some(CanaryTerms { seconds: 60, fall: 100 });
        Entry::Propose(Box::new(proposal), Box::new(without(cells)))
    };
    let mut policy = policy();
    next(&mut policy, &propose(1, None, without(&[2])));
    settle(&mut policy);
    let number = next(&mut policy, &canary(2, &[3])).result.unwrap().1.unwrap();
    assert_eq!(policy.status().canary, None, "not in force yet");
    settle(&mut policy);
    assert_eq!(policy.status().canary.unwrap().revision, number);
    // A canary that is proposed during a canary: both are rolled back to the revision before them.
    let second = next(&mut policy, &canary(3, &[6])).result.unwrap().1.unwrap();
    settle(&mut policy);
    next(&mut policy, &Entry::AutomaticRollback(number, RollbackCause::NotConfirmed));
    assert_eq!(policy.newest(), second, "the first canary has ended");
    next(&mut policy, &Entry::AutomaticRollback(second, RollbackCause::NotConfirmed));
    let late_confirmation =
        next(&mut policy, &Entry::ConfirmCanary(CommandId(4), second)).result.unwrap().1;
    assert_eq!(late_confirmation, Err(Rejection::NotOnCanary { number: second }));
    settle(&mut policy);
    assert_eq!(open_cells(&policy), [0, 1, 3, 4, 5, 6, 7]);
    // A confirmed canary remains in force.
    let third = next(&mut policy, &canary(5, &[7])).result.unwrap().1.unwrap();
    assert_eq!(
        next(&mut policy, &Entry::ConfirmCanary(CommandId(6), third)).result.unwrap().1,
        Ok(third)
    );
    next(&mut policy, &Entry::AutomaticRollback(third, RollbackCause::NotConfirmed));
    settle(&mut policy);
    assert_eq!(open_cells(&policy), [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn fallback_change_waits_for_all_nodes_and_can_be_withdrawn() {
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
    assert_eq!(
        status.fallback_policy.cells,
        [0, 4].into(),
        "balancers without a lease keep to what both policies allow"
    );
    assert!(
        status.awaits_fallback_confirmation
            && status.rules.floor().includes_cell(1)
            && status.rules.floor().includes_cell(6)
    );
    // Until the change is confirmed, no revision may forbid what either policy allows, and no other change is accepted.
    for (id, cell) in [(2, 1), (3, 6)] {
        let rejected = next(&mut policy, &propose(id, None, without(&[cell]))).result.unwrap().1;
        assert!(matches!(
            rejected,
            Err(Rejection::FleetConflict(FleetConflict::FallbackPolicy { .. }))
        ));
    }
    assert!(matches!(
        next(&mut policy, &change(4, &[0, 4])).result.unwrap().1,
        Err(Rejection::FallbackChangeInProgress { .. })
    ));
    settle(&mut policy);
    next(&mut policy, &Entry::FallbackPolicyConfirmed(status.fallback_generation + 7));
    assert!(
        policy.status().awaits_fallback_confirmation,
        "the confirmation of another generation has no effect"
    );
    next(&mut policy, &Entry::FallbackPolicyConfirmed(status.fallback_generation));
    settle(&mut policy);
    assert_eq!(policy.status().fallback_policy.cells, [0, 4, 6].into());
    assert!(next(&mut policy, &propose(5, None, without(&[1]))).result.unwrap().1.is_ok());
    settle(&mut policy);
    // A fallback policy can neither allow what a revision forbids nor leave out the mandatory fallback.
    let rejected = next(&mut policy, &change(6, &[0, 1, 4, 6])).result.unwrap().1;
    assert!(matches!(
        rejected,
        Err(Rejection::FleetConflict(FleetConflict::FallbackPolicy { .. }))
    ));
    assert!(matches!(
        next(&mut policy, &change(7, &[0])).result.unwrap().1,
        Err(Rejection::FallbackPolicy(_))
    ));
    let mut except = fallback_policy(&[0, 4, 6]);
    except.except.insert("u0".into());
    let rejected =
        next(&mut policy, &Entry::FallbackPolicy(CommandId(8), except, Box::new(facts())))
            .result
            .unwrap()
            .1;
    assert!(
        matches!(rejected, Err(Rejection::FallbackPolicy(_))),
        "u0 is in a cell of the mandatory fallback"
    );
    // A withdrawn change restores the old policy.
    next(&mut policy, &change(9, &[0, 4]));
    assert_eq!(policy.status().fallback_policy.cells, [0, 4].into());
    next(&mut policy, &change(10, &[0, 4, 6]));
    // Regression test: the state decoded from a snapshot differed until the next generation.
    assert_eq!(PolicyState::from_snapshot(&policy.to_snapshot().unwrap()).unwrap(), policy);
    settle(&mut policy);
    assert_eq!(
        (policy.status().fallback_policy.cells.len(), policy.status().awaits_fallback_confirmation),
        (3, false)
    );
}

#[test]
fn operators_mark_nodes_dead_and_alive() {
    let mut policy = policy();
    next(&mut policy, &Entry::MarkDead(CommandId(1), NodeId(3)));
    assert!(policy.status().dead.contains(NodeId(3)));
    next(&mut policy, &Entry::MarkAlive(CommandId(2), NodeId(3)));
    assert!(policy.status().dead.is_empty());
    let rejected = next(&mut policy, &Entry::MarkDead(CommandId(3), NodeId(5))).result.unwrap().1;
    assert_eq!(rejected, Err(Rejection::UnknownNode { member: 5, members: 5 }));
}

#[test]
fn thousand_revisions_are_retained_and_fit_a_snapshot() {
    let mut policy = policy();
    for i in 0..2000_u32 {
        // Each document takes 1 kB, and all are different.
        let mut document = without(&[2]);
        let name = |k: u32| format!("machine-of-the-fleet-{k:06}-{i:04}");
        document.exclusions.upstreams = (0..30).map(name).collect();
        let mut proposal = options(u128::from(i), None);
        (proposal.forced, proposal.facts) = (true, FleetFacts::default());
        next(&mut policy, &Entry::Propose(Box::new(proposal), Box::new(document)));
        settle(&mut policy);
    }
    assert_eq!(policy.revisions().count(), MAX_REVISIONS);
    let snapshot = policy.to_snapshot().unwrap();
    println!("a snapshot of 1,000 revisions of 1 kB and 2,000 results: {} bytes", snapshot.len());
    assert!((1_000_000..1_300_000).contains(&snapshot.len()), "{}", snapshot.len());
    let mut other = PolicyState::from_snapshot(&snapshot).unwrap();
    assert_eq!(other, policy);
    // The original and the decoded state apply the next entry alike.
    let oldest = policy.revisions().next().unwrap().0;
    let entry = rollback(u128::MAX, None, oldest);
    let (one, two) = (next(&mut policy, &entry), next(&mut other, &entry));
    assert_eq!((one, &policy), (two, &other));
    for cut in [0, 1, 100, snapshot.len() - 1] {
        assert!(PolicyState::from_snapshot(&snapshot[..cut]).is_err());
    }
    // The revisions of a thousand rollbacks between two contents share the contents.
    let before = policy.to_snapshot().unwrap().len();
    let last: Vec<u64> = policy.revisions().rev().take(2).map(|(n, _)| n).collect();
    for i in 0..1000 {
        let mut proposal = options(1_000_000 + i, None);
        proposal.forced = true;
        next(&mut policy, &Entry::Rollback(Box::new(proposal), last[i as usize % 2]));
    }
    assert!(
        policy.to_snapshot().unwrap().len() < before / 8,
        "{}",
        policy.to_snapshot().unwrap().len()
    );
}

#[test]
fn results_are_remembered_up_to_a_bound() {
    let mut policy = policy();
    for i in 0..MAX_RESULTS as u128 + 10 {
        next(&mut policy, &Entry::ConfirmCanary(CommandId(i), 7));
    }
    assert_eq!(
        (policy.command_result(CommandId(9)), policy.command_result(CommandId(10)).is_some()),
        (None, true)
    );
}

fn entries() -> impl Strategy<Value = (u8, u8, u8, bool)> {
    (0_u8..9, 0_u8..12, 0_u8..8, any::<bool>())
}

proptest! {
    /// For any entries: revision numbers only grow, and the number of an accepted proposal is at most the index of the
    /// last entry. Of the rules in force before and after an entry, one set allows everything that the other allows.
    /// Two replicas, one of them repeatedly restored from snapshots, are equal.
    #[test]
    fn any_entries_keep_numbers_growing_and_phases_nested(all in proptest::collection::vec(entries(), 1..60)) {
        let (mut policy, mut other) = (policy(), policy());
        let mut last = 0;
        for (at, (kind, a, b, flag)) in all.into_iter().enumerate() {
            let status = policy.status();
            let id = CommandId(u128::from(a));
            let cells = [u32::from(b), 2];
            let mut proposal = options(id.0, flag.then(|| policy.newest()));
            proposal.canary = (a % 3 == 0).then_some(CanaryTerms { seconds: 5, fall: 10 });
            let entry = match kind {
                0 | 1 => Entry::Propose(Box::new(proposal), Box::new(without(&cells[usize::from(flag)..]))),
                2 => Entry::Rollback(Box::new(proposal), u64::from(b)),
                3..=5 => Entry::GenerationConfirmed(status.generation),
                6 => {
                    let fallback_policy = FallbackPolicy { cells: [0, 4, u32::from(b)].into(), ..bootstrap(5).fallback_policy };
                    Entry::FallbackPolicy(id, fallback_policy, Box::new(facts()))
                }
                7 => Entry::FallbackPolicyConfirmed(status.fallback_generation),
                8 if flag => Entry::ConfirmCanary(id, policy.newest()),
                _ => Entry::AutomaticRollback(policy.newest(), RollbackCause::NotConfirmed),
            };
            let before = open_cells(&policy);
            let applied = next(&mut policy, &entry);
            prop_assert_eq!(&applied, &next(&mut other, &entry));
            let (after, now) = (open_cells(&policy), policy.status());
            let is_subset = |a: &[u32], b: &[u32]| a.iter().all(|p| b.contains(p));
            prop_assert!(is_subset(&before, &after) || is_subset(&after, &before));
            let is_confirmation = matches!(entry, Entry::GenerationConfirmed(_));
            prop_assert!(now.generation == status.generation || !status.unconfirmed || is_confirmation);
            prop_assert!(now.generation >= status.generation && policy.newest() >= last);
            last = policy.newest();
            // A balancer may follow the fallback policy for ever, so no rules in force forbid what the policy allows.
            prop_assert!(now.fallback_policy.cells.iter().all(|p| after.contains(p)));
            if let Some((_, Ok(number))) = applied.result {
                prop_assert!(number <= now.index);
            }
            if at % 7 == 0 {
                other = PolicyState::from_snapshot(&other.to_snapshot().unwrap()).unwrap();
            }
            prop_assert_eq!(&policy, &other);
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic_entries_or_snapshots(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0_usize..4000,
    ) {
        let mut one = policy();
        one.apply(1, &bytes);
        let _ = PolicyState::from_snapshot(&bytes);
        let entry = propose(1, None, Document::default()).to_bytes().unwrap();
        let mut corrupt = entry.clone();
        let at = at % corrupt.len();
        corrupt[at] ^= 0x41;
        one.apply(2, &corrupt);
        one.apply(3, &entry[..at]);
        prop_assert!(one.apply(4, &[&entry[..], &[0]].concat()).decode_error.is_some());
        let mut snapshot = policy().to_snapshot().unwrap();
        let at = at % snapshot.len();
        snapshot[at] ^= 0x41;
        let _ = PolicyState::from_snapshot(&snapshot);
        prop_assert!(one.apply(5, &vec![0; MAX_ENTRY_BYTES + 1]).decode_error.is_some());
    }
}
