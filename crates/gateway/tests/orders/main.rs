//! Every order: one balancer, whole, on a simulated network under a paused clock, between clients, upstreams and two
//! discoveries that do what a drawn plan says, to the millisecond and to the turn of the loop. Whatever the order of a
//! request's last byte, its client's close, a connection's coming up, the list's word, an answer's pieces, SIGTERM,
//! SIGHUP and the timers, the rules hold, and with them the bounds of 0.1 s for clients that have left and of 6 s for
//! what discovery has to tell. `judge.rs` says which, from what the peers saw alone.

mod draw;
mod judge;
mod kept;
mod peers;

use std::cell::RefCell;
use std::rc::Rc;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Plays drawn plans, always the same ones, until one breaks a rule.
fn hold(cases: u32, seed: u8, plans: impl proptest::strategy::Strategy<Value = peers::Plan>) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sums = Rc::new(RefCell::new(judge::Sums::default()));
    let run = runner.run(&plans, |plan| {
        let seen = peers::play(&plan);
        sums.borrow_mut().add(&plan, &seen);
        judge::judge(&plan, &seen).map_err(TestCaseError::fail)
    });
    if let Err(broken) = run {
        panic!("{broken}");
    }
    // What never came to pass was not tested.
    sums.borrow().all_came_to_pass();
}

#[test]
fn the_rules_hold_in_every_order_of_a_request_and_its_upstreams() {
    hold(150, 1, draw::attempts());
}

#[test]
fn the_rules_hold_in_every_order_of_clients_that_leave() {
    hold(150, 2, draw::leaving());
}

#[test]
fn the_rules_hold_in_every_order_of_a_stop() {
    hold(150, 3, draw::stopping());
}

#[test]
fn the_rules_hold_in_every_order_of_the_lists_word() {
    hold(200, 4, draw::lists());
}
