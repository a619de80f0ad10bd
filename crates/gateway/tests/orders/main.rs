//! Tests the rules of the balancer under many orders of events.
//!
//! Each test runs one complete balancer on a simulated network with a paused clock. Clients, upstreams and two discovery
//! services follow a generated plan, exact to the millisecond and to the turn of the event loop. The plans vary the order
//! of the last byte of a request, the disconnection of its client, the establishment of connections, changes of the
//! endpoint list, the parts of a response, SIGTERM, SIGHUP and the timers. The rules must hold in each order, as must the
//! bounds of 0.1 s for clients that have disconnected and of 6 s for changes of the endpoint list. The module `checker`
//! checks them from the observations of the peers alone.

mod checker;
mod peers;
mod regressions;
mod strategies;

use std::cell::RefCell;
use std::rc::Rc;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Runs generated plans, which are the same for the same seed, until one violates a rule.
fn check_plans(
    cases: u32,
    seed: u8,
    plans: impl proptest::strategy::Strategy<Value = peers::Plan>,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let coverage = Rc::new(RefCell::new(checker::Coverage::default()));
    let run = runner.run(&plans, |plan| {
        let observations = peers::run_plan(&plan);
        coverage.borrow_mut().add(&plan, &observations);
        checker::check_run(&plan, &observations).map_err(TestCaseError::fail)
    });
    if let Err(failure) = run {
        panic!("{failure}");
    }
    // A rule is not tested by plans in which its situation never occurs.
    coverage.borrow().assert_sufficient();
}

#[test]
fn rules_hold_in_every_order_of_requests_and_upstream_responses() {
    check_plans(150, 1, strategies::attempts());
}

#[test]
fn rules_hold_in_every_order_of_client_disconnections() {
    check_plans(150, 2, strategies::disconnections());
}

#[test]
fn rules_hold_in_every_order_of_a_shutdown() {
    check_plans(150, 3, strategies::shutdowns());
}

#[test]
fn rules_hold_in_every_order_of_list_changes() {
    check_plans(200, 4, strategies::list_changes());
}
