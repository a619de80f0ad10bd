//! A small cluster stays within the stated times and loads.

use std::time::Duration;

use hollowpaddle_model_checks::figures::{
    measure_catch_up, measure_change, measure_failover, measure_full_restart, measure_load,
    settled_cluster,
};
use hollowpaddle_model_checks::simulated_cluster::{SimulationConfig, ms};

#[test]
fn a_small_cluster_meets_the_stated_times_and_loads() {
    for seed in 1..=2 {
        let mut cluster = settled_cluster(SimulationConfig::without_faults(seed, 5))
            .expect("a cluster that settles");
        for number in 0..4 {
            let [commit_time, in_force_at_99_percent, in_force_at_all] =
                measure_change(&mut cluster, number).expect("a revision in force");
            assert!(
                commit_time < ms(300)
                    && in_force_at_99_percent < ms(500)
                    && in_force_at_all < ms(500),
                "{commit_time:?} {in_force_at_99_percent:?} {in_force_at_all:?}"
            );
        }
        let rest = measure_load(&mut cluster, ms(5000));
        assert!(rest.datagrams[1] < 100.0 && rest.bytes[1] < 6000.0, "{rest:?}");
        let time = measure_failover(&mut cluster, 10).expect("a new leader");
        assert!(time < ms(1500), "{time:?}");
        let time = measure_catch_up(&mut cluster, 100, true).expect("a balancer that catches up");
        assert!(time < Duration::from_secs(2), "{time:?}");
        // Without directories a crash of all balancers loses the log. Only the recovery time is asserted.
        let restart = measure_full_restart(&mut cluster, 20).expect("a cluster that recovers");
        assert!(restart.leases_restored[1] < Duration::from_secs(10), "{restart:?}");
        assert_eq!(cluster.checker.violations, Vec::<String>::new());
    }
}
