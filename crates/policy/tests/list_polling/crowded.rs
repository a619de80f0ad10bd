//! A discovery that can't serve all callers for a long time: how long it takes until the last one has a list, against the
//! least time that it needs for them, and how many of its turns and of their calls are lost.

use crate::cluster::{Capacity, Cluster, Down, Due, MS, SECOND};

const BALANCERS: [usize; 6] = [1, 2, 6, 32, 100, 300];
const RATES: [i64; 3] = [1, 2, 4];
const WAITS: [i64; 2] = [SECOND, 3 * SECOND];
const ASK_EVERY: i64 = 10 * SECOND;
/// The last one has its list within this part of the least time, in hundredths, and [`SPREAD`].
const MOST_OF_LEAST: i64 = 150;
/// Calls are spread over up to so long at a start, and after a watch that ended.
const SPREAD: i64 = SECOND;
/// The longest wait after a call that was turned away that a few balancers have.
const LONGEST_PAUSE_OF_FEW: i64 = 600 * MS;

/// What makes all balancers call at once.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Start,
    BackAfterRefusing,
    WatchesSilent,
}

/// What it came to.
struct Outcome {
    last: i64,
    turned_away: u64,
    turns_in_vain: u64,
}

fn play(n: usize, capacity: Capacity, cause: Cause) -> Outcome {
    let mut cluster = Cluster::new(n, ASK_EVERY, capacity, Down::Refuses);
    let least = n as i64 * SECOND / capacity.rate;
    let enough = 3 * least + 20 * SECOND;
    if matches!(cause, Cause::Start) {
        cluster.until(enough);
        return outcome(&cluster, 0, (0, 0));
    }
    cluster.until(enough);
    let before = (cluster.turned_away, cluster.turns_in_vain);
    let from = match cause {
        Cause::BackAfterRefusing => {
            cluster.on(Due::Reachability(false));
            cluster.until(enough + 8 * SECOND);
            cluster.on(Due::Reachability(true));
            cluster.now
        }
        _ => {
            let from = cluster.now;
            cluster.on(Due::Hush);
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
        turned_away: cluster.turned_away - before.0,
        turns_in_vain: cluster.turns_in_vain - before.1,
    }
}

#[test]
fn last_caller_is_served_in_time_and_discovery_serves_no_caller_that_has_gone() {
    for cause in [Cause::Start, Cause::BackAfterRefusing, Cause::WatchesSilent] {
        for n in BALANCERS {
            for rate in RATES {
                for waits in WAITS {
                    let capacity = Capacity { rate, waits, serves_given_up: true };
                    let seen = play(n, capacity, cause);
                    let least = n as i64 * SECOND / rate;
                    let found = match cause {
                        Cause::WatchesSilent => 2600 * MS,
                        _ => 0,
                    };
                    let calls = seen.turned_away as f64 / n as f64;
                    println!(
                        "{cause:?}, {n} balancers, {rate} calls/s, calls wait {} s: last after {} ms, {:.2} of the least; \
                         {calls:.1} calls turned away for each, {} turns in vain",
                        waits / SECOND,
                        seen.last / MS,
                        seen.last as f64 / least as f64,
                        seen.turns_in_vain
                    );
                    let most = found + least * MOST_OF_LEAST / 100 + SPREAD + LONGEST_PAUSE_OF_FEW;
                    assert!(
                        seen.last <= most,
                        "last after {} ms, {} allowed",
                        seen.last / MS,
                        most / MS
                    );
                    assert!(
                        seen.turns_in_vain * 10 < n as u64,
                        "{} turns in vain",
                        seen.turns_in_vain
                    );
                }
            }
        }
    }
}
