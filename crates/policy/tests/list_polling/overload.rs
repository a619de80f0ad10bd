//! A discovery service that can't serve all callers for a long time. The tests compare the time until the last caller has a
//! list with the least time that discovery needs for all of them, and count rejected and wasted calls.

use crate::cluster::{Capacity, Cluster, Down, Due, MS, SECOND};

const BALANCERS: [usize; 6] = [1, 2, 6, 32, 100, 300];
const RATES: [i64; 3] = [1, 2, 4];
const MAX_WAITS: [i64; 2] = [SECOND, 3 * SECOND];
const POLL_INTERVAL: i64 = 10 * SECOND;
/// Bound of the time until the last balancer has its list: this percentage of the least time, plus [`SPREAD`] and
/// [`LONGEST_PAUSE_OF_FEW`].
const MAX_PERCENT_OF_LEAST: i64 = 150;
/// Longest time over which calls are spread at a start, and after the end of a watch, in microseconds.
const SPREAD: i64 = SECOND;
/// The longest wait after a rejected call where there are few balancers, in microseconds.
const LONGEST_PAUSE_OF_FEW: i64 = 600 * MS;

/// The reason for which all balancers call at the same time.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Start,
    BackAfterRefusing,
    WatchesSilent,
}

/// The result of a run.
struct Outcome {
    last: i64,
    rejected: u64,
    wasted_calls: u64,
}

fn play(n: usize, capacity: Capacity, cause: Cause) -> Outcome {
    let mut cluster = Cluster::new(n, POLL_INTERVAL, capacity, Down::Refuses);
    let least = n as i64 * SECOND / capacity.rate;
    let enough = 3 * least + 20 * SECOND;
    if matches!(cause, Cause::Start) {
        cluster.until(enough);
        return outcome(&cluster, 0, (0, 0));
    }
    cluster.until(enough);
    let before = (cluster.rejected, cluster.wasted_calls);
    let from = match cause {
        Cause::BackAfterRefusing => {
            cluster.on(Due::Reachability(false));
            cluster.until(enough + 8 * SECOND);
            cluster.on(Due::Reachability(true));
            cluster.now
        }
        _ => {
            let from = cluster.now;
            cluster.on(Due::SilenceWatches);
            from
        }
    };
    cluster.until(from + enough);
    outcome(&cluster, from, before)
}

fn outcome(cluster: &Cluster, from: i64, before: (u64, u64)) -> Outcome {
    let late = cluster.late(from);
    Outcome {
        last: late[late.len() - 1],
        rejected: cluster.rejected - before.0,
        wasted_calls: cluster.wasted_calls - before.1,
    }
}

#[test]
fn last_caller_is_served_in_time_and_discovery_serves_no_caller_that_has_gone() {
    for cause in [Cause::Start, Cause::BackAfterRefusing, Cause::WatchesSilent] {
        for n in BALANCERS {
            for rate in RATES {
                for max_wait in MAX_WAITS {
                    let capacity = Capacity { rate, max_wait, serves_given_up: true };
                    let result = play(n, capacity, cause);
                    let least = n as i64 * SECOND / rate;
                    let detection = match cause {
                        Cause::WatchesSilent => 2600 * MS,
                        _ => 0,
                    };
                    let calls = result.rejected as f64 / n as f64;
                    println!(
                        "{cause:?}, {n} balancers, {rate} calls/s, calls wait {} s: last after {} ms, {:.2} of the least; \
                         {calls:.1} calls rejected per balancer, {} calls wasted",
                        max_wait / SECOND,
                        result.last / MS,
                        result.last as f64 / least as f64,
                        result.wasted_calls
                    );
                    let most = detection
                        + least * MAX_PERCENT_OF_LEAST / 100
                        + SPREAD
                        + LONGEST_PAUSE_OF_FEW;
                    assert!(
                        result.last <= most,
                        "last after {} ms, {} allowed",
                        result.last / MS,
                        most / MS
                    );
                    assert!(
                        result.wasted_calls * 10 < n as u64,
                        "{} calls wasted",
                        result.wasted_calls
                    );
                }
            }
        }
    }
}
