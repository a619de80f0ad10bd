//! Numbers of starts, and recovery of the state from a copy.

use super::*;

#[test]
fn starts_are_numbered_and_dead_processes_removed() {
    let mut state = OperatorState::default();
    assert_eq!(state.add_process(|_| false), 1);
    state.mark_serving(1);
    assert_eq!(state.add_process(|n| n == 1), 2);
    assert_eq!(
        (state.started_before(2).collect(), state.serving_after(1).collect()),
        (vec![1], Vec::<u64>::new())
    );
    state.mark_serving(2);
    assert_eq!(state.serving_after(1).collect::<Vec<_>>(), [2]);
    assert_eq!(state.serving_after(2).count(), 0);
    // Both processes are dead, so that no process precedes the next one.
    assert_eq!(state.add_process(|_| false), 3);
    assert_eq!(state.started_before(3).count(), 0);
}

fn copy(cordoned: &[&str], is_final: bool) -> RecoveredCopy {
    let cordoned = cordoned.iter().map(|c| c.to_string()).collect();
    RecoveredCopy::Found(OperatorStateCopy { cordoned, is_final, ..OperatorStateCopy::default() })
}

#[test]
fn commands_of_a_copy_apply_and_are_suspect_unless_it_is_final() {
    let lost = RecoveredCopy::Lost("its sum is wrong".into());
    let damage = Some("line 1");
    for (damage, copy, cordoned, suspect) in [
        (None, RecoveredCopy::Absent, 0, None),
        (damage, RecoveredCopy::Absent, 0, Some("every cordon is forgotten: line 1")),
        (None, copy(&[], false), 0, None),
        (damage, copy(&[], false), 0, Some("snapshot: line 1")),
        (None, copy(&["s-1"], false), 1, Some("snapshot: the file was gone")),
        (damage, copy(&["s-1"], false), 1, Some("snapshot: line 1")),
        (None, copy(&["s-1"], true), 1, None),
        (damage, copy(&["s-1", "s-2"], true), 2, None),
        (None, lost.clone(), 0, Some("may be forgotten: the file was gone; and the copy")),
        (damage, lost, 0, Some("may be forgotten: line 1; and the copy of it is lost: its sum")),
    ] {
        let mut state = OperatorState::default();
        state.recover(damage, &copy);
        assert_eq!(state.cordoned.len(), cordoned, "{damage:?} {copy:?}");
        match (&state.suspect, suspect) {
            (Some(is), Some(part)) => assert!(is.contains(part), "{is}"),
            (is, want) => assert_eq!(is.as_deref(), want, "{damage:?} {copy:?}"),
        }
    }
}

#[test]
fn state_stays_suspect_in_copies_until_it_is_confirmed() {
    let mut state = OperatorState::default();
    state.recover(Some("torn"), &RecoveredCopy::Absent);
    let first = state.suspect.clone();
    let copy = OperatorStateCopy { is_final: true, ..state.copy() };
    let mut next = OperatorState::default();
    next.recover(None, &RecoveredCopy::Found(copy));
    assert_eq!(next.suspect, first);
}

#[test]
fn state_of_another_build_is_read_without_its_unknown_keys() {
    let text = r#"{"cordoned":["s-1"],"later":{"x":1}}"#;
    let state: OperatorState = serde_json::from_str(text).expect("readable");
    assert!(state.cordoned.contains("s-1") && !state.quiesced && state.processes.is_empty());
}
