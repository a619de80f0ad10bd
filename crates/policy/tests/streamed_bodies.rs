//! Requests whose body is streamed to the upstream while it arrives.

mod common;

use common::{Harness, MS, settings};
use hollowpaddle_policy::interface::*;

const UNSAFE: usize = 2;

/// Serves requests in 10 ms each, so that the balancer learns the mean latency of a class.
fn learn_mean_latency(w: &mut Harness, class: usize) {
    for id in 1000..1050 {
        w.request(id, class);
        w.advance(SignedDuration(10 * MS));
        w.outcome(id, 0, Outcome::Ok);
    }
}

#[test]
fn slow_client_is_not_counted_as_a_fault_of_its_upstream() {
    // Guards against this failure: a body that took two seconds to arrive looked like an upstream that does not answer,
    // and the upstream was ejected for the class.
    let mut w = Harness::with_servers(settings(), 1);
    learn_mean_latency(&mut w, UNSAFE);
    w.request_streaming(1, UNSAFE);
    assert!(w.in_flight_at(1).is_some());
    w.advance(SignedDuration(2000 * MS));
    w.request(2, UNSAFE);
    assert!(w.in_flight_at(2).is_some(), "the upstream is not ejected, and its slot is free");
    w.advance(SignedDuration(10 * MS));
    w.outcome(2, 0, Outcome::Ok);
    w.complete_body(1);
    w.advance(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    let (out, _, n) = w.balancer.upstream(ServerId(0), SignedDuration(600 * MS)).expect("known");
    assert_eq!(out, 0);
    assert!(n > 50.0, "the latency was 10 ms and not two seconds: N {n}");
}

#[test]
fn complete_body_takes_a_slot_and_its_attempt_is_tracked() {
    let mut w = Harness::with_servers(settings(), 1);
    learn_mean_latency(&mut w, UNSAFE);
    w.request_streaming(1, UNSAFE);
    w.advance(SignedDuration(2000 * MS));
    let in_flight =
        |w: &Harness| w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known").0;
    assert_eq!(in_flight(&w), 0, "a slow client takes no slot");
    w.complete_body(1);
    assert_eq!(in_flight(&w), 1);
    let n =
        |w: &Harness| w.balancer.upstream(ServerId(0), SignedDuration(600 * MS)).expect("known").2;
    let before = n(&w);
    w.advance(SignedDuration(150 * MS));
    assert!(n(&w) < before, "an upstream that does not answer now is slow");
    assert!(!w.failed(1), "the client's deadline starts with the last byte");
    w.advance(SignedDuration(600 * MS));
    assert!(w.failed(1));
}

#[test]
fn body_that_arrives_quickly_takes_one_slot() {
    let mut w = Harness::with_servers(settings(), 1);
    learn_mean_latency(&mut w, UNSAFE);
    w.request_streaming(1, UNSAFE);
    w.advance(SignedDuration(2 * MS));
    w.complete_body(1);
    let (out, _, _) = w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known");
    assert_eq!(out, 1);
    w.advance(SignedDuration(10 * MS));
    w.outcome(1, 0, Outcome::Ok);
    let (out, _, _) = w.balancer.upstream(ServerId(0), SignedDuration(MS)).expect("known");
    assert_eq!(out, 0);
}

#[test]
fn unsent_streaming_request_is_rejected_in_time() {
    let mut w = Harness::with_servers(settings(), 1);
    learn_mean_latency(&mut w, UNSAFE);
    (0..40).for_each(|id| w.request(id, UNSAFE));
    w.request_streaming(100, UNSAFE);
    w.advance(SignedDuration(600 * MS));
    assert!(w.refused(100), "it is queued no longer than other requests");
}

#[test]
fn request_with_consumed_body_is_not_retried_and_is_answered_at_once() {
    // Guards against this failure: the caller had to decide how a request with a consumed body ends, and gave the client no
    // Retry-After.
    for (outcome, spent) in [(Outcome::Reset, true), (Outcome::Full, true), (Outcome::Full, false)]
    {
        for is_complete in [false, true] {
            let mut w = Harness::with_servers(settings(), 3);
            learn_mean_latency(&mut w, UNSAFE);
            w.request_streaming(1, UNSAFE);
            w.advance(SignedDuration(10 * MS));
            if is_complete {
                w.complete_body(1);
            }
            w.end_attempt(1, 0, outcome, spent);
            let is_retried = outcome.never_ran() && !spent && !is_complete;
            let found = (w.in_flight_at(1).is_some(), w.refused(1), w.failed(1));
            assert_eq!(
                found,
                (is_retried, outcome.never_ran() && !is_retried, !outcome.never_ran())
            );
        }
    }
}
