//! Balancers poll one discovery service for the list, in virtual time. The tests measure how late each balancer has the
//! list, and the number of calls.

mod cluster;
mod overload;

use hollowpaddle_policy::list_polling::{
    APPLY_MARGIN, CALL_TIMEOUT, LIST_PROPAGATION_BOUND, PAUSE, SILENCE_TIMEOUT,
};

use cluster::{Capacity, Cluster, Down, Due, HEARTBEAT_INTERVAL, MS, SECOND};

/// A list is in time if a balancer receives it within this many microseconds.
const IN_TIME: i64 = LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0;

/// Returns the capacity of a discovery service without long waits.
fn quick(rate: i64, serves_given_up: bool) -> Capacity {
    Capacity { rate, max_wait: 3 * SECOND, serves_given_up }
}

fn shown(name: &str, cluster: &Cluster, from: i64) -> i64 {
    let late = cluster.late(from);
    let at = |share: f64| late[((late.len() - 1) as f64 * share) as usize] / MS;
    let (p50, p90, most) = (at(0.5), at(0.9), at(1.0));
    println!(
        "{name}: p50 {p50} ms, p90 {p90} ms, max {most} ms; {} calls/s",
        cluster.most_calls(from)
    );
    late[late.len() - 1]
}

const POLL_INTERVALS: [i64; 4] = [100 * MS, 2 * SECOND, 10 * SECOND, 600 * SECOND];

#[test]
fn list_deadlines_sum_to_less_than_the_propagation_bound() {
    assert_eq!(
        SILENCE_TIMEOUT.0 + PAUSE.0 + SILENCE_TIMEOUT.0 + APPLY_MARGIN.0,
        LIST_PROPAGATION_BOUND.0
    );
    // After a call that discovery accepted and never answered, there is time for one more call.
    const { assert!(CALL_TIMEOUT.0 + APPLY_MARGIN.0 + 2 * SECOND < LIST_PROPAGATION_BOUND.0) };
    const {
        assert!(
            SILENCE_TIMEOUT.0 > HEARTBEAT_INTERVAL && PAUSE.0 > 0,
            "a watch with heartbeats is not silent"
        )
    };
}

#[test]
fn one_balancer_is_notified_in_time_for_any_poll_interval() {
    for list_poll_interval in POLL_INTERVALS {
        for down in [Down::Refuses, Down::Silent] {
            let mut worst = (0, 0);
            // Discovery returns at a different point of the calls and waits in each run.
            for of in 0..400 {
                let mut cluster = Cluster::new(1, list_poll_interval, quick(100, true), down);
                cluster.until(10 * SECOND + of * 7 * MS);
                cluster.on(Due::Reachability(false));
                cluster.until(20 * SECOND + of * 61 * MS);
                cluster.on(Due::Reachability(true));
                let back = cluster.now;
                cluster.until(back + 10 * SECOND);
                worst = worst.max((cluster.late(back)[0], of));
            }
            let late = worst.0 / MS;
            println!(
                "one balancer, poll interval {} ms, {down:?}: {late} ms at worst",
                list_poll_interval / MS
            );
            assert!(worst.0 <= IN_TIME, "{list_poll_interval} {down:?}: {worst:?}");
        }
    }
}

#[test]
fn three_hundred_balancers_are_notified_in_time_without_overloading_discovery() {
    for list_poll_interval in POLL_INTERVALS {
        for (down, serves_given_up) in
            [(Down::Refuses, true), (Down::Silent, true), (Down::Silent, false)]
        {
            let mut cluster =
                Cluster::new(300, list_poll_interval, quick(120, serves_given_up), down);
            cluster.until(10 * SECOND);
            let name = format!("300 balancers, poll interval {} ms", list_poll_interval / MS);
            let mut worst = shown(&format!("{name}, all start"), &cluster, 0);
            cluster.on(Due::Reachability(false));
            cluster.until(18 * SECOND);
            cluster.on(Due::Reachability(true));
            cluster.until(30 * SECOND);
            worst = worst.max(shown(
                &format!("{name}, back after 8 s, {down:?}"),
                &cluster,
                18 * SECOND,
            ));
            cluster.on(Due::SilenceWatches);
            cluster.until(40 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches silent"), &cluster, 30 * SECOND));
            cluster.on(Due::Reset);
            cluster.until(50 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches reset"), &cluster, 40 * SECOND));
            assert!(worst <= IN_TIME, "{name} {down:?}: {} ms", worst / MS);
        }
    }
}
