//! The machines under a model checker: breadth first up to a bound, and long walks by seed.

use std::time::{Duration, Instant};

use hollowpaddle_model_checks::{agreement, holding};
use stateright::{Checker, Model, Property};

/// Explores breadth first until so many states are generated. What it came to is printed.
fn explore<M>(name: &str, model: M, states: usize, wrong: fn(&M::State) -> Option<&str>)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    let began = Instant::now();
    let checker = model.checker().threads(3).target_state_count(states).spawn_bfs().join();
    told(name, "breadth first", &checker, began, wrong);
}

fn told<M: Model>(
    name: &str,
    mode: &str,
    checker: &impl Checker<M>,
    began: Instant,
    wrong: fn(&M::State) -> Option<&str>,
) where
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq,
    M::Action: Clone + std::fmt::Debug + PartialEq,
{
    println!(
        "{name}, {mode}: {} states, {} of them different, depth {}, {:.1} s; whole: {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        began.elapsed().as_secs_f64(),
        checker.is_done(),
    );
    for property in checker.model().properties() {
        let Property { name, .. } = property;
        let Some(path) = checker.discovery(name) else {
            println!("  not found: {name}");
            continue;
        };
        if property.expectation.discovery_is_failure() {
            let last = path.last_state().clone();
            let steps: Vec<String> = path.into_actions().iter().map(|a| format!("{a:?}")).collect();
            panic!("{name}: {:?} after {} steps: {}", wrong(&last), steps.len(), steps.join(" "));
        }
        println!("  found: {name}");
    }
}

fn number(name: &str, usual: usize) -> usize {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(usual)
}

fn council(directory: bool) -> agreement::Agreement {
    let (steps, proposals, ends, copies) = (12, 2, 2, 1);
    agreement::Agreement(agreement::Bounds {
        directory,
        steps,
        proposals,
        ends,
        copies,
        ruin: false,
    })
}

fn ruined() -> agreement::Agreement {
    let (steps, proposals, ends, copies, directory) = (24, 3, 3, 0, false);
    agreement::Agreement(agreement::Bounds {
        directory,
        steps,
        proposals,
        ends,
        copies,
        ruin: true,
    })
}

fn leases() -> holding::Holding {
    holding::Holding(holding::Bounds { steps: 14, proposals: 4, leaders: 2, ends: 1, late: false })
}

fn walk_council(model: agreement::Agreement, states: usize, seconds: u64) {
    let began = Instant::now();
    let checker = model.checker().threads(3).target_state_count(states).target_max_depth(300);
    let checker = checker.timeout(Duration::from_secs(seconds));
    let checker = checker.spawn_simulation(number("SEED", 1) as u64, agreement::Walk).join();
    told("council", "walks", &checker, began, agreement::State::wrong);
}

fn walk_leases(states: usize, seconds: u64) {
    let began = Instant::now();
    let checker = leases().checker().threads(3).target_state_count(states).target_max_depth(300);
    let checker = checker.timeout(Duration::from_secs(seconds));
    let checker = checker.spawn_simulation(number("SEED", 1) as u64, holding::Walk).join();
    told("leases", "walks", &checker, began, holding::State::wrong);
}

#[test]
fn members_that_forget_agree_breadth_first() {
    explore(
        "council without disks",
        council(false),
        number("STATES", 60_000),
        agreement::State::wrong,
    );
}

#[test]
fn members_with_disks_agree_breadth_first() {
    explore("council with disks", council(true), number("STATES", 60_000), agreement::State::wrong);
}

#[test]
fn members_that_forget_agree_on_long_walks() {
    walk_council(council(false), number("STATES", 60_000), 3600);
}

#[test]
fn members_with_disks_agree_on_long_walks() {
    walk_council(council(true), number("STATES", 60_000), 3600);
}

#[test]
fn where_a_majority_forgets_one_place_still_has_one_entry() {
    walk_council(ruined(), number("STATES", 60_000), 3600);
}

#[test]
fn leases_keep_their_holders_together_breadth_first() {
    explore("leases", leases(), number("STATES", 60_000), holding::State::wrong);
}

#[test]
fn leases_keep_their_holders_together_on_long_walks() {
    walk_leases(number("STATES", 60_000), 3600);
}
