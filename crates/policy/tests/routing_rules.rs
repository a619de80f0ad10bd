//! Routing rules that change at run time: classes barred from upstreams, requests bound to a cell, and a lower limit of
//! attempts.

mod common;

use common::*;
use hollowpaddle_policy::interface::*;

/// Creates four upstreams in two cells, from which classes may be barred.
fn with_barring() -> Harness {
    let mut settings = settings();
    settings.bars_classes = true;
    Harness::with_servers(settings, 4)
}

fn sent(w: &Harness, id: u64) -> Vec<u32> {
    w.requests[&id].attempts.iter().map(|t| t.server.0).collect()
}

fn refused(w: &Harness, id: u64) -> bool {
    w.log.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
}

#[test]
fn barred_class_is_not_sent_to_the_upstream_and_others_are() {
    let mut w = with_barring();
    let barred_classes: Vec<Member> =
        (0..3).map(|i| Member { barred_classes: 0b01, ..member(i, i % 2) }).collect();
    w.list(ListKind::LocalChange, &barred_classes);
    for id in 0..4 {
        w.request(id, 0);
        assert!(sent(&w, id).iter().all(|s| *s == 3), "{id}: {:?}", sent(&w, id));
    }
    assert_eq!(sent(&w, 0), [3], "the remaining upstream serves the class");
    w.request(10, 1);
    assert_ne!(sent(&w, 10), [3], "idle upstreams serve the other class");
    // The rule ends.
    w.outcome(10, 0, Outcome::Ok);
    w.list(ListKind::LocalChange, &[member(0, 0)]);
    assert!((1..4).any(|id| sent(&w, id) == [0]), "a queued request is sent there at once");
}

#[test]
fn class_barred_from_every_upstream_is_given_up_in_time() {
    let mut w = with_barring();
    let barred_classes: Vec<Member> =
        (0..4).map(|i| Member { barred_classes: 0b01, ..member(i, i % 2) }).collect();
    w.list(ListKind::LocalChange, &barred_classes);
    w.request(1, 0);
    w.advance(w.settings.classes[0].deadline);
    assert!(sent(&w, 1).is_empty() && refused(&w, 1));
}

#[test]
fn mask_is_ignored_without_barring() {
    let mut w = Harness::with_servers(settings(), 1);
    w.list(ListKind::LocalChange, &[Member { barred_classes: u64::MAX, ..member(0, 0) }]);
    w.request(1, 0);
    assert_eq!(sent(&w, 1), [0]);
}

#[test]
fn request_bound_to_a_cell_is_sent_and_retried_only_there() {
    let mut w = with_barring();
    let sticky_cell = (member(3, 1).zone, member(3, 1).cell);
    let bound = |w: &mut Harness, id| {
        let until = w.now.plus(w.settings.classes[0].deadline);
        w.request_in(id, 0, until, Some(sticky_cell));
    };
    for id in 0..3 {
        bound(&mut w, id);
        assert!(sent(&w, id).iter().all(|s| *s == 3), "{:?}", sent(&w, id));
    }
    assert_eq!(sent(&w, 0), [3]);
    w.outcome(0, 0, Outcome::ConnectFailed);
    w.advance(SignedDuration(50 * MS));
    assert!(sent(&w, 0).iter().all(|s| *s == 3));
    w.list(ListKind::LocalChange, &[Member { status: Status::Draining, ..member(3, 1) }]);
    bound(&mut w, 9);
    w.advance(w.settings.classes[0].deadline);
    assert!(sent(&w, 9).is_empty() && refused(&w, 9));
}

#[test]
fn lower_attempt_limit_counts_from_the_next_attempt() {
    let mut w = with_barring();
    for most in [1, 2] {
        w.balancer.limit_attempts(most);
        let id = most as u64;
        w.request(id, 0);
        for attempt in 0..3 {
            w.outcome(id, attempt, Outcome::Full);
            w.advance(SignedDuration(100 * MS));
        }
        assert_eq!(sent(&w, id).len(), most);
    }
}
