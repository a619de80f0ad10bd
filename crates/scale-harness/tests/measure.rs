//! The figures of a real daemon before a small fleet make sense.

use std::path::PathBuf;
use std::time::Duration;

use hollowpaddle_scale_harness::fleet::Fleet;
use hollowpaddle_scale_harness::measure::{Figures, LoadPlan, MeasureError, Plan, run};

/// Services of the small fleet, thirty upstreams each.
const SERVICES: usize = 2;
/// Requests per second of the small load.
const RATE: f64 = 50.0;

/// The daemon's program: the example of this package, which `cargo test` builds beside the tests.
fn program() -> PathBuf {
    let figures = PathBuf::from(env!("CARGO_BIN_EXE_daemon-figures"));
    let program = figures.with_file_name("examples").join("daemon");
    assert!(
        program.exists(),
        "run `cargo test -p hollowpaddle-scale-harness`, which builds {program:?}"
    );
    program
}

fn plan(program: PathBuf, loads: Vec<LoadPlan>) -> Plan {
    Plan {
        program,
        fleet: Fleet { services: SERVICES, tenants: 5, ..Fleet::of(1, 60) },
        unbound: false,
        subset: None,
        ready_within: Duration::from_secs(20),
        settle: Duration::from_millis(200),
        idle: Duration::from_millis(800),
        loads,
    }
}

fn load() -> LoadPlan {
    let length = Duration::from_secs(2);
    LoadPlan { rate: RATE, length, upstreams: 60, services: SERVICES }
}

fn assert_idle_figures(figures: &Figures) {
    assert!(figures.ready_ms.is_some_and(|ms| ms > 0.0 && ms < 20_000.0), "{figures:?}");
    // An entry of the list is some 140 bytes of JSON.
    assert!((6_000..20_000).contains(&figures.discovery_bytes_at_ready), "{figures:?}");
    assert!(figures.discovery_bytes >= figures.discovery_bytes_at_ready, "{figures:?}");
    assert_eq!(figures.discovery_watches, 1, "{figures:?}");
    assert!((1_000..200_000).contains(&figures.resident_kib), "{figures:?}");
    assert!(figures.resident_peak_kib >= figures.resident_kib, "{figures:?}");
    assert!((0.0..=100.0).contains(&figures.idle_cpu_percent), "{figures:?}");
    assert!((5..100).contains(&figures.descriptors), "{figures:?}");
}

#[test]
fn figures_of_a_small_fleet_make_sense() {
    let figures = run(&plan(program(), vec![load()])).expect("a daemon that runs");
    assert_idle_figures(&figures);
    let [load] = &figures.loads[..] else { panic!("one load: {figures:?}") };
    assert_eq!((load.services, load.upstreams), (2, 60), "{load:?}");
    let expected = RATE * 2.0;
    assert!((load.through.requests as f64 / expected - 1.0).abs() < 0.5, "{load:?}");
    assert_eq!(load.through.requests, load.direct.requests, "the same schedule: {load:?}");
    assert_eq!(load.through.served, load.through.requests, "{load:?}");
    assert_eq!(load.direct.served, load.direct.requests, "{load:?}");
    assert!(load.through.p50_ms > 0.0 && load.through.p50_ms <= load.through.p99_ms, "{load:?}");
    assert!(load.through.p99_ms <= load.through.max_ms, "{load:?}");
    assert!(load.handshakes_per_request > 0.0 && load.handshakes_per_request <= 1.0, "{load:?}");
    assert!(load.descriptors > figures.descriptors, "{load:?}");
}

#[test]
fn larger_fleet_takes_more_memory_and_more_bytes() {
    let small = run(&plan(program(), Vec::new())).expect("a daemon that runs");
    let mut larger = plan(program(), Vec::new());
    larger.fleet.upstreams = 6_000;
    let large = run(&larger).expect("a daemon that runs");
    assert!(large.resident_kib > small.resident_kib, "{small:?} {large:?}");
    assert!(large.discovery_bytes > 50 * small.discovery_bytes, "{small:?} {large:?}");
}

#[test]
fn daemon_that_ends_is_an_error_with_its_log() {
    let ended = run(&plan(PathBuf::from("/bin/false"), Vec::new()));
    assert!(matches!(ended, Err(MeasureError::Ended { .. })), "{ended:?}");
}
