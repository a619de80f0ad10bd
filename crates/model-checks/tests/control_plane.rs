//! The figures of the control plane at one size are consistent with each other.

use hollowpaddle_model_checks::control_plane::{Scenario, measure};

#[test]
fn figures_of_a_small_cluster_are_consistent() {
    let figures = measure(Scenario { balancers: 5, loss: 0.0, seed: 1 });
    assert_eq!(figures.contradictions, Vec::<String>::new());
    let rest = figures.rest.expect("a cluster that settles");
    assert!(rest.bytes_mean > 0.0 && rest.bytes_mean <= rest.bytes_busiest, "{rest:?}");
    assert!(rest.bytes_leader <= rest.bytes_busiest, "{rest:?}");
    assert!(rest.bytes_busiest <= rest.bytes_worst_second as f64, "{rest:?}");
    let changes = figures.changes.expect("changes");
    assert_eq!((changes.commit.count, changes.unfinished), (6, 0), "{changes:?}");
    assert!(changes.in_force_99.max_ms <= changes.in_force_all.max_ms, "{changes:?}");
    assert!(changes.in_force_all.max_ms < 500, "{changes:?}");
    let burst = figures.burst.expect("a burst");
    assert!(burst.in_force_all_ms.is_some_and(|ms| ms < 1_000), "{burst:?}");
    let failover = figures.failover.expect("a fail-over");
    assert!(failover.commit_again_ms.is_some_and(|ms| ms < 1_500), "{failover:?}");
    assert_eq!(failover.without_lease, 0, "{failover:?}");
}

#[test]
fn equal_scenarios_give_equal_figures() {
    let scenario = Scenario { balancers: 5, loss: 0.1, seed: 2 };
    assert_eq!(measure(scenario), measure(scenario));
}
