//! Balancers ask one discovery for the list, in virtual time: how late the news is, and how many calls that takes.

mod cluster;
mod crowded;

use hollowpaddle_policy::list_polling::{
    APPLY_MARGIN, CALL_TIMEOUT, LIST_PROPAGATION_BOUND, PAUSE, SILENCE_TIMEOUT,
};

use cluster::{BEAT, Capacity, Cluster, Down, Due, MS, SECOND};

/// In time is what the module has by then.
const IN_TIME: i64 = LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0;

/// A discovery that nobody has to wait for long.
fn quick(rate: i64, serves_given_up: bool) -> Capacity {
    Capacity { rate, waits: 3 * SECOND, serves_given_up }
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

const ASK_EVERY: [i64; 4] = [100 * MS, 2 * SECOND, 10 * SECOND, 600 * SECOND];

#[test]
fn list_deadlines_sum_to_less_than_the_propagation_bound() {
    assert_eq!(
        SILENCE_TIMEOUT.0 + PAUSE.0 + SILENCE_TIMEOUT.0 + APPLY_MARGIN.0,
        LIST_PROPAGATION_BOUND.0
    );
    // After a call that discovery took and never answered there is time for one more.
    const { assert!(CALL_TIMEOUT.0 + APPLY_MARGIN.0 + 2 * SECOND < LIST_PROPAGATION_BOUND.0) };
    const { assert!(SILENCE_TIMEOUT.0 > BEAT && PAUSE.0 > 0, "a watch that beats is not silent") };
}

#[test]
fn one_balancer_is_notified_in_time_for_any_poll_interval() {
    for list_poll_interval in ASK_EVERY {
        for down in [Down::Refuses, Down::Silent] {
            let mut worst = (0, 0);
            // Discovery comes back at another point of its calls and waits each time.
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
                "one, asked every {} ms, {down:?}: {late} ms at worst",
                list_poll_interval / MS
            );
            assert!(worst.0 <= IN_TIME, "{list_poll_interval} {down:?}: {worst:?}");
        }
    }
}

#[test]
fn three_hundred_balancers_are_notified_in_time_without_overloading_discovery() {
    for list_poll_interval in ASK_EVERY {
        for (down, in_vain) in [(Down::Refuses, true), (Down::Silent, true), (Down::Silent, false)]
        {
            let mut cluster = Cluster::new(300, list_poll_interval, quick(120, in_vain), down);
            cluster.until(10 * SECOND);
            let name = format!("300, asked every {} ms", list_poll_interval / MS);
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
            cluster.on(Due::Hush);
            cluster.until(40 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches silent"), &cluster, 30 * SECOND));
            cluster.on(Due::Reset);
            cluster.until(50 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches reset"), &cluster, 40 * SECOND));
            assert!(worst <= IN_TIME, "{name} {down:?}: {} ms", worst / MS);
        }
    }
}
