//! Model checking of consensus and leases: breadth-first search up to a bound, and long random walks by seed.

use std::time::{Duration, Instant};

use hollowpaddle_model_checks::{consensus_model, lease_model};
use stateright::{Checker, Model, Property};

/// Searches breadth first until this many states are generated, and prints the result.
fn explore<M>(name: &str, model: M, max_states: usize, violation: fn(&M::State) -> Option<&str>)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    let started_at = Instant::now();
    let checker = model.checker().threads(3).target_state_count(max_states).spawn_bfs().join();
    report(name, "breadth-first search", &checker, started_at, violation);
}

/// Prints the result of a search. Panics if a property is violated.
fn report<M: Model>(
    name: &str,
    mode: &str,
    checker: &impl Checker<M>,
    started_at: Instant,
    violation: fn(&M::State) -> Option<&str>,
) where
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq,
    M::Action: Clone + std::fmt::Debug + PartialEq,
{
    println!(
        "{name}, {mode}: {} states, {} of them unique, depth {}, {:.1} s; complete: {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started_at.elapsed().as_secs_f64(),
        checker.is_done(),
    );
    for property in checker.model().properties() {
        let Property { name, .. } = property;
        let Some(path) = checker.discovery(name) else {
            println!("  no state found: {name}");
            continue;
        };
        if property.expectation.discovery_is_failure() {
            let last = path.last_state().clone();
            let steps: Vec<String> = path.into_actions().iter().map(|a| format!("{a:?}")).collect();
            panic!(
                "{name}: {:?} after {} steps: {}",
                violation(&last),
                steps.len(),
                steps.join(" ")
            );
        }
        println!("  state found: {name}");
    }
}

fn number_from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

fn bounded_consensus_model(has_directories: bool) -> consensus_model::ConsensusModel {
    let (steps, proposals, crashes, duplicates) = (12, 2, 2, 1);
    consensus_model::ConsensusModel(consensus_model::Bounds {
        has_directories,
        steps,
        proposals,
        crashes,
        duplicates,
        allows_majority_loss: false,
    })
}

fn majority_loss_model() -> consensus_model::ConsensusModel {
    let (steps, proposals, crashes, duplicates, has_directories) = (24, 3, 3, 0, false);
    consensus_model::ConsensusModel(consensus_model::Bounds {
        has_directories,
        steps,
        proposals,
        crashes,
        duplicates,
        allows_majority_loss: true,
    })
}

fn bounded_lease_model() -> lease_model::LeaseModel {
    lease_model::LeaseModel(lease_model::Bounds {
        steps: 14,
        proposals: 4,
        leader_changes: 2,
        crashes: 1,
        learns_before_step_down: false,
    })
}

fn walk_consensus(model: consensus_model::ConsensusModel, max_states: usize, seconds: u64) {
    let started_at = Instant::now();
    let checker = model.checker().threads(3).target_state_count(max_states).target_max_depth(300);
    let checker = checker.timeout(Duration::from_secs(seconds));
    let checker = checker
        .spawn_simulation(number_from_env("SEED", 1) as u64, consensus_model::RandomWalk)
        .join();
    report("consensus", "random walks", &checker, started_at, consensus_model::State::violation);
}

fn walk_leases(max_states: usize, seconds: u64) {
    let started_at = Instant::now();
    let checker = bounded_lease_model()
        .checker()
        .threads(3)
        .target_state_count(max_states)
        .target_max_depth(300);
    let checker = checker.timeout(Duration::from_secs(seconds));
    let checker =
        checker.spawn_simulation(number_from_env("SEED", 1) as u64, lease_model::RandomWalk).join();
    report("leases", "random walks", &checker, started_at, lease_model::State::violation);
}

#[test]
fn members_that_lose_state_agree_breadth_first() {
    explore(
        "consensus without disks",
        bounded_consensus_model(false),
        number_from_env("STATES", 60_000),
        consensus_model::State::violation,
    );
}

#[test]
fn members_with_disks_agree_breadth_first() {
    explore(
        "consensus with disks",
        bounded_consensus_model(true),
        number_from_env("STATES", 60_000),
        consensus_model::State::violation,
    );
}

#[test]
fn members_that_lose_state_agree_on_long_walks() {
    walk_consensus(bounded_consensus_model(false), number_from_env("STATES", 60_000), 3600);
}

#[test]
fn members_with_disks_agree_on_long_walks() {
    walk_consensus(bounded_consensus_model(true), number_from_env("STATES", 60_000), 3600);
}

#[test]
fn each_index_has_one_entry_after_a_majority_loses_state() {
    walk_consensus(majority_loss_model(), number_from_env("STATES", 60_000), 3600);
}

#[test]
fn lease_holders_do_not_contradict_each_other_breadth_first() {
    explore(
        "leases",
        bounded_lease_model(),
        number_from_env("STATES", 60_000),
        lease_model::State::violation,
    );
}

#[test]
fn lease_holders_do_not_contradict_each_other_on_long_walks() {
    walk_leases(number_from_env("STATES", 60_000), 3600);
}
