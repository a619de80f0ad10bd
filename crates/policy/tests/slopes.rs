//! The cost of one more upstream, class or tenant for the module, in memory and time. Each bound is a named constant;
//! `docs/CAPACITY.md` describes the target fleet of the bounds.

mod allocation;
mod service_fleet;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use allocation::{Counting, bytes_in_use};
use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_policy::tenants::Tenants;
use serde_json::json;
use service_fleet::{CLASSES_IN_USE, Cost, ServiceFleet, settings};

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Most bytes of one more upstream, including its entries in all indexes. 39,000 upstreams use 20 MB.
const BYTES_PER_UPSTREAM: usize = 520;
/// Most bytes of one more class without requests, including its settings, for any number of upstreams.
const BYTES_PER_IDLE_CLASS: usize = 2500;
/// Most bytes of one more tenant without requests: its quota and share in the settings.
const BYTES_PER_IDLE_TENANT: usize = 17;
/// Most bytes of one more tenant in the table of names, besides its name, where few distinct quotas are in use.
const BYTES_BESIDE_NAME: usize = 13;
/// Most bytes of one upstream of an unknown machine type and zone, in an invalid list of such upstreams.
const BYTES_PER_ODD_UPSTREAM: usize = 1200;
/// Largest share of the memory added by faults that may be retained once all upstreams answer again: timers and queues
/// retain their capacity.
const RETAINED_AFTER_FAULTS: f64 = 0.5;
/// Largest ratio of the time of an idle second with 1,300 classes to that with three classes, for the same upstreams. The
/// ratio was over 300 while the module iterated over all classes. The bound allows for a busy machine.
const IDLE_COST_BY_CLASSES: f64 = 5.0;
/// Largest ratio of the time of a request with 1,300 classes to that with three classes, where three classes get requests.
const REQUEST_COST_BY_CLASSES: f64 = 5.0;
/// Largest ratio of the time of an idle second with 8,000 upstreams to that with 1,000.
const IDLE_COST_BY_UPSTREAMS: f64 = 5.0;
/// Rounds of a timing; the shortest counts.
const ROUNDS: u32 = 5;

/// Serializes the tests, since the allocator counts for the whole process.
fn lock_allocator() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the bytes in use by a module after some traffic.
fn bytes(upstreams: u32, classes: usize, tenants: usize) -> usize {
    let before = bytes_in_use();
    let used = CLASSES_IN_USE.min(classes);
    let (mut fleet, _) = ServiceFleet::new(upstreams, settings(classes, tenants), used);
    fleet.run(500);
    fleet.rest(SignedDuration(10_000_000));
    bytes_in_use() - before
}

fn least(mut round: impl FnMut() -> Cost) -> Duration {
    (0..ROUNDS).map(|_| round().spent).min().expect("some rounds")
}

/// Returns the time of an idle second and of a thousand requests, where three classes get requests.
fn costs(upstreams: u32, classes: usize) -> (Duration, Duration) {
    let (mut fleet, _) = ServiceFleet::new(upstreams, settings(classes, 0), 3);
    fleet.run(1000);
    let requests = least(|| fleet.run(1000));
    fleet.rest(SignedDuration(5_000_000));
    (least(|| fleet.rest(SignedDuration(1_000_000))), requests)
}

#[test]
fn one_more_upstream_costs_a_bounded_number_of_bytes_whatever_the_classes() {
    let _lock = lock_allocator();
    for classes in [3, 1300] {
        let (few, many) = (bytes(4000, classes, 0), bytes(12_000, classes, 0));
        let each = (many - few) / 8000;
        println!("{classes} classes: {each} bytes");
        assert!(each <= BYTES_PER_UPSTREAM, "{each} bytes with {classes} classes");
    }
}

#[test]
fn one_more_idle_class_costs_a_bounded_number_of_bytes_whatever_the_upstreams() {
    let _lock = lock_allocator();
    for upstreams in [64, 8000] {
        let (few, many) = (bytes(upstreams, 100, 0), bytes(upstreams, 1300, 0));
        let each = (many - few) / 1200;
        println!("{upstreams} upstreams: {each} bytes");
        assert!(each <= BYTES_PER_IDLE_CLASS, "{each} bytes with {upstreams} upstreams");
    }
}

#[test]
fn one_more_idle_tenant_costs_its_settings_alone() {
    let _lock = lock_allocator();
    let (few, many) = (bytes(64, 3, 1000), bytes(64, 3, 101_000));
    let each = (many - few) / 100_000;
    println!("{each} bytes");
    assert!(each <= BYTES_PER_IDLE_TENANT, "{each} bytes");
}

#[test]
fn one_more_tenant_costs_its_name_and_a_few_bytes_and_a_copy_of_the_table_none() {
    const TENANTS: usize = 100_000;
    let _lock = lock_allocator();
    let name = |i: usize| format!("tenant-{i:06}");
    let entry = |i| json!({"Name": name(i), "QuotaRps": (i % 7) as f64, "Share": 0.5});
    let list = json!((0..TENANTS).map(entry).collect::<Vec<_>>()).to_string();
    let before = bytes_in_use();
    let table: Tenants = serde_json::from_str(&list).expect("a sound list");
    let copy = table.clone();
    let each = (bytes_in_use() - before) / TENANTS;
    println!("{each} bytes");
    assert!(each <= name(0).len() + BYTES_BESIDE_NAME, "{each} bytes");
    assert_eq!(copy.position("tenant-099999"), Some(99_999));
}

#[test]
fn unnamed_machine_types_and_zones_grow_no_table_beyond_the_upstreams() {
    const UPSTREAMS: u32 = 5000;
    let _lock = lock_allocator();
    let mut settings = settings(3, 0);
    // The trees are divided by zone, and one class is sent to all zones.
    settings.classes[0].group = Group::Zone;
    settings.classes[0].machine_types = None;
    let before = bytes_in_use();
    let mut module = Balancer::new(settings, 1, Time(0)).expect("sound settings");
    let odd = |i: u32| Member {
        machine_type: u32::MAX - i * 800_000,
        zone: u32::MAX - i * 700_000,
        cell: i,
        ..Member::live(ServerId(i))
    };
    let list: Vec<Member> = (0..UPSTREAMS).map(odd).collect();
    let held = std::mem::size_of_val(&list[..]);
    let mut out = Vec::new();
    module.handle(Time(0), Event::Members { kind: ListKind::Restored, list: &list }, &mut out);
    let each = (bytes_in_use() - before - held) / UPSTREAMS as usize;
    println!("{each} bytes");
    assert!(each <= BYTES_PER_ODD_UPSTREAM, "{each} bytes");
}

#[test]
fn class_breakers_are_dropped_once_upstreams_answer_again() {
    let _lock = lock_allocator();
    // All classes share three machine types, so that each of the few upstreams has many class breakers.
    let mut shared = settings(CLASSES_IN_USE, 0);
    for (number, class) in shared.classes.iter_mut().enumerate() {
        class.machine_types = Some(vec![number as u32 % 3]);
    }
    let (mut fleet, _) = ServiceFleet::new(30, shared, CLASSES_IN_USE);
    fleet.run(20_000);
    let before = bytes_in_use();
    fleet.outcome = Outcome::Error;
    fleet.run(2000);
    let added = bytes_in_use().saturating_sub(before);
    fleet.outcome = Outcome::Ok;
    for _ in 0..10 {
        fleet.rest(SignedDuration(60_000_000));
        fleet.run(20_000);
    }
    let left = bytes_in_use().saturating_sub(before);
    println!("{added} bytes added, {left} bytes retained");
    assert!(
        left as f64 <= RETAINED_AFTER_FAULTS * added as f64,
        "{left} of {added} bytes retained"
    );
}

#[test]
fn idle_classes_cost_neither_an_idle_second_nor_a_request_anything() {
    let _lock = lock_allocator();
    let ((idle, request), (idle_of_many, request_of_many)) = (costs(1000, 3), costs(1000, 1300));
    println!("idle {idle:?} and {idle_of_many:?}, requests {request:?} and {request_of_many:?}");
    let ratio = idle_of_many.as_secs_f64() / idle.as_secs_f64();
    assert!(ratio <= IDLE_COST_BY_CLASSES, "an idle second costs {ratio} times as much");
    let ratio = request_of_many.as_secs_f64() / request.as_secs_f64();
    assert!(ratio <= REQUEST_COST_BY_CLASSES, "a request costs {ratio} times as much");
}

#[test]
fn idle_upstreams_cost_an_idle_second_little() {
    let _lock = lock_allocator();
    let ((few, _), (many, _)) = (costs(1000, 1300), costs(8000, 1300));
    println!("{few:?} and {many:?}");
    let ratio = many.as_secs_f64() / few.as_secs_f64();
    assert!(ratio <= IDLE_COST_BY_UPSTREAMS, "an idle second costs {ratio} times as much");
}
