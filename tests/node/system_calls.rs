//! System calls that fail as Linux documents them, a machine that runs out of something, and a wall clock that is wrong:
//! none of that is a client's or an upstream's fault.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::start_with;
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_syscall_faults::{Errno, Fault, Shim};
use serde_json::json;

fn shim() -> Shim {
    Shim::new().expect("a temporary file")
}

#[test]
fn serves_while_reads_and_writes_are_interrupted() {
    let upstream = Upstream::start(|_| ok("ok"));
    let shim = shim();
    let node = start_with(&shim, &config(members(&[&upstream])));
    shim.set(Fault::Receive(Errno::Interrupted, 3)).expect("written");
    shim.set(Fault::Send(Errno::Interrupted, 3)).expect("written");
    let mut client = node.client();
    for i in 0..100 {
        assert_eq!(client.ask(&alarm(&format!("r{i}"), 5000, "x")).status(), 200, "request {i}");
    }
}

#[test]
fn serves_through_reads_and_writes_that_fall_short() {
    let body = "x".repeat(5000);
    let answer = ok(&body);
    let Action::Respond(answer) = answer else { panic!("an answer") };
    let upstream = Upstream::start(move |_| Action::Respond(answer.clone()));
    for fault in [Fault::ShortSend(100), Fault::ShortReceive(100)] {
        let shim = shim();
        let node = start_with(&shim, &config(members(&[&upstream])));
        shim.set(fault).expect("written");
        let mut client = node.client();
        for i in 0..5 {
            let answer = client.ask(&alarm(&format!("r{i}"), 2000, &body));
            assert_eq!((answer.status(), answer.body.len()), (200, body.len()), "{fault:?} {i}");
        }
    }
}

#[test]
fn waits_while_the_machine_has_no_room_for_connections() {
    let errnos = [
        Errno::AddressNotAvailable,
        Errno::NoBufferSpace,
        Errno::FileTableOverflow,
        Errno::NetworkUnreachable,
        Errno::Interrupted,
    ];
    for errno in errnos {
        let upstreams = [Upstream::start(|_| ok("ok")), Upstream::start(|_| ok("ok"))];
        let shim = shim();
        let node = start_with(&shim, &config(members(&upstreams.each_ref())));
        shim.set(Fault::Connect(errno, 1)).expect("written");
        let mut clients: Vec<Client> = (0..4).map(|_| node.client()).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(&alarm(&format!("r{i}"), 5000, "x"));
        }
        std::thread::sleep(Duration::from_millis(1000));
        shim.set(Fault::Connect(errno, 0)).expect("written");
        for client in &mut clients {
            assert_eq!(client.answer().expect("an answer").status(), 200, "{errno:?}");
        }
    }
}

/// Requests that reach an upstream which started 50 ms ago, and each of two that have been up for hours, in 3 s of work for
/// six clients, by a node whose wall clock is so many seconds ahead.
fn sent_to_cold_and_warm(seconds_ahead: i64) -> [usize; 3] {
    let slow = || {
        Upstream::start(|_| {
            std::thread::sleep(Duration::from_millis(10));
            ok("ok")
        })
    };
    let upstreams = [(); 3].map(|()| slow());
    let unix_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let mut known = members(&upstreams.each_ref());
    for (member, age_ms) in known.iter_mut().zip([50, 7_200_000, 7_300_000]) {
        member["up_since_ms"] = json!(unix_ms - age_ms);
    }
    let shim = shim();
    shim.set(Fault::WallClock(seconds_ahead)).expect("written");
    let mut config = config(known);
    config["settings"]["Balancers"] = json!(2);
    let node = start_with(&shim, &config);
    let end = Instant::now() + Duration::from_secs(3);
    std::thread::scope(|scope| {
        for i in 0..6 {
            let mut client = node.client();
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() > end {
                        return;
                    }
                    client.ask(&read(&format!("r{i}-{n}"), 5000));
                }
            });
        }
    });
    upstreams.each_ref().map(|upstream| upstream.requests_so_far())
}

#[test]
fn a_wrong_wall_clock_makes_no_cold_upstream_warm() {
    for seconds_ahead in [0, 3600, -3600] {
        let [cold, warm, other] = sent_to_cold_and_warm(seconds_ahead);
        // A fifth of a warm one's capacity at first, and half of it after 3 s of 5: a third of its work at the most. Taken for
        // warm it gets as much as they do.
        assert!(cold * 2 < warm.min(other), "{seconds_ahead} s ahead: {cold} for {warm}, {other}");
    }
}
