//! Rules that a bank of processes agrees on, with faults between them.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_link_faults::{Does, Rule};
use hollowpaddle_rehearsal::process_cluster::{ProcessCluster, until};
use hollowpaddle_rehearsal::scripted::*;
use serde_json::{Value, json};

/// No two act on contradicting rules for longer than this.
const T: Duration = Duration::from_secs(3);

/// One call at a door: its status, and what it says.
fn call(door: SocketAddr, method: &str, path: &str, body: &Value) -> (u16, Value) {
    let body = body.to_string();
    let length = body.len();
    let call =
        format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}");
    let answer = Client::to(door).ask(&call);
    (answer.status(), serde_json::from_slice(&answer.body).expect("JSON"))
}

fn door(fleet: &mut ProcessCluster, number: usize) -> SocketAddr {
    fleet.node(number).operators.expect("a door")
}

fn bank(fleet: &mut ProcessCluster, number: usize) -> Value {
    call(door(fleet, number), "GET", "/admin/bank", &json!({})).1
}

/// Waits until these hold a lease.
fn until_leased(fleet: &mut ProcessCluster, numbers: &[usize]) {
    for number in numbers {
        until(&format!("n{number} holds a lease"), || {
            bank(fleet, *number)["lease"]["held"] == json!(true)
        });
    }
}

/// Waits until these are at a revision or beyond.
fn until_at(fleet: &mut ProcessCluster, numbers: &[usize], revision: u64) {
    for number in numbers {
        until(&format!("n{number} is at revision {revision}"), || {
            let bank = bank(fleet, *number);
            bank["revision"].as_u64() >= Some(revision) && bank["lease"]["held"] == json!(true)
        });
    }
}

/// Who leads, by the word of one that does, among these.
fn leader(fleet: &mut ProcessCluster, numbers: &[usize]) -> usize {
    let mut leads = None;
    until("somebody leads", || {
        let told = bank(fleet, numbers[0])["council"]["leader"].as_u64().map(|n| n as usize);
        leads = told.filter(|n| numbers.contains(n));
        leads.is_some()
    });
    leads.expect("just told")
}

/// Upstreams of two pods: the first alone is in the charter.
fn two_pods(one: &Upstream, two: &Upstream) -> Value {
    let mut known = members(&[one, two]);
    known[1]["cell"] = 1.into();
    let mut config = config(known);
    config["fleet"] = json!({"charter": [0], "bedrock": []});
    config
}

/// Puts a document in force, or says why not.
fn revise(fleet: &mut ProcessCluster, number: usize, document: Value) -> u64 {
    let body = json!({"document": document, "wait": "all", "force": true});
    let (status, told) = call(door(fleet, number), "POST", "/admin/revisions", &body);
    assert_eq!(status, 200, "{told}");
    told["revision"].as_u64().expect("a number")
}

/// Has one serve so many requests, all well.
fn serves(fleet: &mut ProcessCluster, number: usize, many: usize, name: &str) {
    let mut client = fleet.client(number);
    for n in 0..many {
        assert_eq!(client.ask(&read(&format!("{name}{number}-{n}"), 6000)).status(), 200);
    }
}

#[test]
fn a_cordon_at_one_door_holds_at_all_and_one_that_was_down_learns_of_it() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &config(members(&[&one, &two])));
    until_leased(&mut fleet, &[0, 1, 2, 3, 4]);
    fleet.kill(4);
    let cordon = json!({"name": "s-0"});
    let (status, told) = call(door(&mut fleet, 1), "POST", "/admin/cordon", &cordon);
    // It is in the charter, which only all together can let go of.
    assert_eq!((status, &told["waiting"]), (202, &json!("charter")), "{told}");
    let dead = call(door(&mut fleet, 2), "POST", "/admin/council/dead", &json!({"member": 4}));
    assert_eq!(dead.0, 200, "{}", dead.1);
    let mut revision = 0;
    until("the charter lets go of it", || {
        let (status, told) = call(door(&mut fleet, 1), "POST", "/admin/cordon", &cordon);
        revision = told["revision"].as_u64().unwrap_or(0);
        status == 200
    });
    fleet.start_one(4);
    until_at(&mut fleet, &[0, 1, 2, 3, 4], revision);
    let _ = one.requests_so_far();
    (0..5).for_each(|number| serves(&mut fleet, number, 6, "r"));
    assert_eq!(one.requests_so_far(), 0, "it is out for all");
}

#[test]
fn a_cordon_said_at_every_door_of_a_bank_that_has_just_started_is_one_revision() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &config(members(&[&one, &two])));
    let mut revisions = Vec::new();
    for number in 0..5 {
        let (door, cordon) = (door(&mut fleet, number), json!({"name": "s-0"}));
        let mut told = Value::Null;
        // The first charter is everybody's once each has lived for longer than a lease.
        until("the charter lets go of it", || {
            let (status, said) = call(door, "POST", "/admin/cordon", &cordon);
            told = said;
            assert!(status == 200 || status == 202, "{number}: {told}");
            status == 200
        });
        revisions.push(told["revision"].as_u64().expect("a number"));
    }
    assert_eq!(revisions, [revisions[0]; 5]);
}

#[test]
fn one_that_is_cut_off_keeps_to_the_charter_within_t_and_goes_on_serving() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &two_pods(&one, &two));
    until_leased(&mut fleet, &[0, 1, 2, 3, 4]);
    // A process that has just started can't know which charter it held before.
    until("n3 knows its charter", || bank(&mut fleet, 3)["past_lease"]["pods"] == json!([0]));
    let cut =
        Rule { from: Some([3].into()), to: None, crossing: true, does: Does::Cut { open: 0.0 } };
    let back = Rule { from: None, to: Some([3].into()), ..cut.clone() };
    let cuts = [fleet.break_links(cut), fleet.break_links(back)];
    let revision = revise(&mut fleet, 0, json!({"out": {"pods": [1]}}));
    let from = Instant::now();
    until_at(&mut fleet, &[0, 1, 2, 4], revision);
    let _ = two.requests_so_far();
    for number in [0, 1, 2, 4] {
        serves(&mut fleet, number, 6, "r");
    }
    assert_eq!(two.requests_so_far(), 0, "it is out for those that talk");
    // The one that is cut off can't know; past its lease it keeps to what nobody can have put out.
    thread::sleep(T.saturating_sub(from.elapsed()));
    let _ = two.requests_so_far();
    serves(&mut fleet, 3, 20, "cut");
    assert_eq!(two.requests_so_far(), 0, "longer than T after the others");
    assert_eq!(bank(&mut fleet, 3)["revision"], json!(0), "it has heard nothing of it");
    cuts.into_iter().for_each(|key| fleet.heal(key));
    until_at(&mut fleet, &[3], revision);
    let next = revise(&mut fleet, 3, json!({}));
    until_at(&mut fleet, &[0, 1, 2, 3, 4], next);
    let _ = two.requests_so_far();
    (0..5).for_each(|number| serves(&mut fleet, number, 10, "back"));
    assert!(two.requests_so_far() > 0, "what was put out is back for all");
}

#[test]
fn one_that_was_paused_past_its_lease_sends_nothing_to_what_was_put_out_meanwhile() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &two_pods(&one, &two));
    until_leased(&mut fleet, &[0, 1, 2, 3, 4]);
    let waits = leader(&mut fleet, &[0, 1, 2, 3, 4]);
    let paused = (0..5).rev().find(|n| *n != waits).expect("five are more than one");
    let door = if waits == 0 { 1 } else { 0 };
    until("it knows its charter", || bank(&mut fleet, paused)["past_lease"]["pods"] == json!([0]));
    fleet.pause(paused);
    let asked: Vec<Client> = (0..8)
        .map(|n| {
            let mut client = fleet.client(paused);
            client.send(&read(&format!("early{n}"), 6000));
            client
        })
        .collect();
    let revision = revise(&mut fleet, door, json!({"out": {"pods": [1]}}));
    // Wide is only reached once the lease of the one that stands still has ended.
    until_at(&mut fleet, &[door], revision);
    let _ = two.requests_so_far();
    fleet.resume(paused);
    for mut client in asked {
        // Refused where it stood still for longer than its client waits.
        let status = client.answer().expect("an answer").status();
        assert!([200, 503].contains(&status), "{status}");
    }
    serves(&mut fleet, paused, 20, "after");
    assert_eq!(two.requests_so_far(), 0, "its lease had ended before it went on");
}

#[test]
fn a_rollback_goes_through_the_death_of_the_leader() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &two_pods(&one, &two));
    until_leased(&mut fleet, &[0, 1, 2, 3, 4]);
    let first = revise(&mut fleet, 0, json!({"out": {"pods": [1]}}));
    let second = revise(&mut fleet, 1, json!({}));
    assert!(second > first);
    let dies = leader(&mut fleet, &[0, 1, 2, 3, 4]);
    let door = door(&mut fleet, (dies + 1) % 5);
    let id = "00112233445566778899aabbccddeeff";
    let body = json!({"to": first, "id": id});
    // The call goes on its way as its leader dies: whatever is answered, the same question has one answer.
    fleet.kill(dies);
    let (status, told) = call(door, "POST", "/admin/revisions/rollback", &body);
    let mut third = told["revision"].as_u64().filter(|_| status == 200);
    until("the rollback stands", || {
        if third.is_none() {
            let (status, told) = call(door, "POST", "/admin/revisions/rollback", &body);
            third = told["revision"].as_u64().filter(|_| status == 200);
        }
        third.is_some()
    });
    let third = third.expect("just seen");
    assert!(third > second, "numbers only grow");
    let (_, asked) = call(door, "GET", &format!("/admin/revisions/asked/{id}"), &json!({}));
    assert_eq!(asked["revision"], json!(third), "{asked}");
    let alive: Vec<usize> = (0..5).filter(|n| *n != dies).collect();
    until_at(&mut fleet, &alive, third);
    let _ = two.requests_so_far();
    alive.iter().for_each(|number| serves(&mut fleet, *number, 6, "r"));
    assert_eq!(two.requests_so_far(), 0, "the first one's rules are in force again");
    // And the dead one, with nothing stored, comes back to them.
    fleet.start_one(dies);
    until_at(&mut fleet, &[dies], third);
    serves(&mut fleet, dies, 6, "r");
    assert_eq!(two.requests_so_far(), 0);
}

#[test]
fn a_drain_that_one_hears_of_stops_the_others_sends() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(3, &config(members(&[&one, &two])));
    until_leased(&mut fleet, &[0, 1, 2]);
    let (_, mut watch) = fleet.discovery(0).watch();
    let mut drained = members(&[&one, &two]);
    drained[0]["phase"] = "DRAINING".into();
    chunk(&mut watch, &json!({"revision": 42, "complete": true, "members": drained}).to_string());
    for number in 0..3 {
        until(&format!("n{number} sends there no more"), || {
            let _ = one.requests_so_far();
            serves(&mut fleet, number, 6, "r");
            one.requests_so_far() == 0
        });
    }
}
