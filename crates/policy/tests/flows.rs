//! Requests whose body still comes while it is passed on.

mod common;

use common::{MS, World, settings};
use hollowpaddle_policy::interface::*;

const UNSAFE: usize = 2;

/// Answers of 10 ms each, so that the mean of a class is known.
fn learned(w: &mut World, class: usize) {
    for id in 1000..1050 {
        w.request(id, class);
        w.pass(SignedDuration(10 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
}

#[test]
fn slow_client_is_not_counted_as_a_fault_of_its_upstream() {
    // Failure it is for: a body that takes two seconds to come looked like an upstream that does not answer, which
    // was shut to its class.
    let mut w = World::with_servers(settings(), 1);
    learned(&mut w, UNSAFE);
    w.flows(1, UNSAFE);
    assert!(w.out(1).is_some());
    w.pass(SignedDuration(2000 * MS));
    w.request(2, UNSAFE);
    assert!(w.out(2).is_some(), "neither is the upstream shut nor its slot taken");
    w.pass(SignedDuration(10 * MS));
    w.outcome(2, 0, Outcome::Ok);
    w.whole(1);
    w.pass(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    let (out, _, n) = w.balancer.upstream(ServerId(0), SignedDuration(600 * MS)).expect("known");
    assert_eq!(out, 0);
    assert!(n > 50.0, "an answer took 10 ms, not two seconds: N {n}");
}

#[test]
fn complete_body_takes_a_slot_and_its_attempt_is_tracked() {
    let mut w = World::with_servers(settings(), 1);
    learned(&mut w, UNSAFE);
    w.flows(1, UNSAFE);
    w.pass(SignedDuration(2000 * MS));
    let out = |w: &World| w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known").0;
    assert_eq!(out(&w), 0, "a client that slow holds no slot");
    w.whole(1);
    assert_eq!(out(&w), 1);
    let n =
        |w: &World| w.balancer.upstream(ServerId(0), SignedDuration(600 * MS)).expect("known").2;
    let before = n(&w);
    w.pass(SignedDuration(150 * MS));
    assert!(n(&w) < before, "what does not answer now is slow");
    assert!(!w.failed(1), "its client waits from its last byte on");
    w.pass(SignedDuration(600 * MS));
    assert!(w.failed(1));
}

#[test]
fn body_that_arrives_quickly_takes_one_slot() {
    let mut w = World::with_servers(settings(), 1);
    learned(&mut w, UNSAFE);
    w.flows(1, UNSAFE);
    w.pass(SignedDuration(2 * MS));
    w.whole(1);
    let (out, _, _) = w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known");
    assert_eq!(out, 1);
    w.pass(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    let (out, _, _) = w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known");
    assert_eq!(out, 0);
}

#[test]
fn unsent_streaming_request_is_rejected_in_time() {
    let mut w = World::with_servers(settings(), 1);
    learned(&mut w, UNSAFE);
    (0..40).for_each(|id| w.request(id, UNSAFE));
    w.flows(100, UNSAFE);
    w.pass(SignedDuration(600 * MS));
    assert!(w.refused(100), "it waits no longer than any other");
}

#[test]
fn request_with_consumed_body_is_not_retried_and_is_answered_at_once() {
    // Failure it is for: the caller had to know how such a request ends, and told nobody when to come again.
    for (outcome, spent) in [(Outcome::Reset, true), (Outcome::Full, true), (Outcome::Full, false)]
    {
        for whole in [false, true] {
            let mut w = World::with_servers(settings(), 3);
            learned(&mut w, UNSAFE);
            w.flows(1, UNSAFE);
            w.pass(SignedDuration(10 * MS));
            if whole {
                w.whole(1);
            }
            w.ends(1, 0, outcome, spent);
            let again = outcome.never_ran() && !spent && !whole;
            let told = (w.out(1).is_some(), w.refused(1), w.failed(1));
            assert_eq!(told, (again, outcome.never_ran() && !again, !outcome.never_ran()));
        }
    }
}
