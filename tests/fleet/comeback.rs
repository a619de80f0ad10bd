//! Processes that are killed together and come back, with what they stored or without.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::{apart, start};
use hollowpaddle_rehearsal::process_cluster::{ProcessCluster, until};
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_snapshot::{Directory, Store};
use serde_json::{Value, json};

fn call(at: std::net::SocketAddr, verb: &str, name: &str) {
    let body = json!({"name": name}).to_string();
    let call = format!(
        "POST /admin/{verb} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(Client::to(at).ask(&call).status(), 200);
}

#[test]
fn five_killed_together_serve_again_and_know_what_operators_said() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(5, &apart(members(&[&one, &two])));
    for number in 0..5 {
        call(fleet.node(number).operators.expect("a door"), "cordon", "s-0");
    }
    fleet.kill_all();
    fleet.start_all();
    fleet.until_ready();
    let _ = one.requests_so_far();
    for number in 0..5 {
        let mut client = fleet.client(number);
        for n in 0..6 {
            assert_eq!(client.ask(&read(&format!("r{number}-{n}"), 6000)).status(), 200);
        }
    }
    assert_eq!(one.requests_so_far(), 0, "it was taken out before");
}

#[test]
fn stored_state_that_is_lost_torn_or_anothers_keeps_nobody_from_coming_back() {
    let upstream = Upstream::start(|_| ok("done"));
    let mut fleet = start(4, &apart(members(&[&upstream])));
    let said =
        |fleet: &ProcessCluster, n: usize| fleet.directory(n).join(format!("hollowpaddle-n{n}"));
    fleet.kill_all();
    fs::remove_dir_all(said(&fleet, 0)).expect("lost");
    let file = said(&fleet, 1).join("said.json");
    let whole = fs::read(&file).expect("written by its start");
    fs::write(&file, &whole[..whole.len() / 2]).expect("torn");
    fs::write(said(&fleet, 2).join("said.json"), &whole).expect("another's");
    fs::remove_dir_all(said(&fleet, 3)).expect("lost");
    fs::write(said(&fleet, 3), "a file").expect("in the place of the directory");
    fleet.start_all();
    fleet.until_ready();
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(fleet.client(number).ask(&alarm(&id, 6000, "x")).status(), 200);
        assert_eq!(upstream.request().1.header("x-request-id"), id);
    }
    assert_eq!(
        fs::read(said(&fleet, 1).join("said.json.aside")).expect("kept"),
        whole[..whole.len() / 2]
    );
}

/// What one says of its start.
fn started(fleet: &mut ProcessCluster, number: usize) -> Value {
    let door = fleet.node(number).operators.expect("a door");
    let answer = Client::to(door).ask("GET /admin/start HTTP/1.1\r\nHost: a\r\n\r\n");
    serde_json::from_slice(&answer.body).expect("JSON")
}

fn from(fleet: &mut ProcessCluster, number: usize) -> String {
    started(fleet, number)["start"]["from"].as_str().expect("a word").to_string()
}

/// Has each learn something, and waits until that is saved.
fn taught(fleet: &mut ProcessCluster) {
    for number in 0..fleet.count() {
        for n in 0..20 {
            let id = format!("t{number}-{n}");
            assert_eq!(fleet.client(number).ask(&read(&id, 6000)).status(), 200);
        }
    }
    for number in 0..fleet.count() {
        let saved =
            |fleet: &mut ProcessCluster| started(fleet, number)["saving"]["generation"].as_u64();
        let before = saved(fleet).unwrap_or(0);
        until("what was learned is saved", || saved(fleet).is_some_and(|g| g >= before + 2));
    }
}

fn state(fleet: &ProcessCluster, number: usize) -> PathBuf {
    fleet.directory(number).join("state")
}

fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970")
}

/// The store of one that does not run.
fn store(fleet: &ProcessCluster, number: usize) -> Store {
    Store::new(Directory::open(state(fleet, number)).expect("a directory"), &format!("n{number}"))
}

#[test]
fn killed_together_they_go_on_from_what_they_had_learned() {
    let upstream = Upstream::start(|_| ok("done"));
    let mut fleet = start(5, &apart(members(&[&upstream])));
    for number in 0..5 {
        assert_eq!(from(&mut fleet, number), "nothing", "there was nobody before it");
    }
    taught(&mut fleet);
    fleet.kill_all();
    fleet.start_all();
    fleet.until_ready();
    for number in 0..5 {
        let told = started(&mut fleet, number);
        let (way, from) = (&told["start"]["way"], &told["start"]["from"]);
        assert_eq!((way, from), (&json!("usual"), &json!("snapshot")), "{told}");
        assert_eq!((&told["start"]["starts"], &told["start"]["crashes"]), (&json!(2), &json!(1)));
        assert_eq!(
            fleet.client(number).ask(&alarm(&format!("r{number}"), 6000, "x")).status(),
            200
        );
    }
    // One that ends in order has not crashed, and leaves what it knew at its end.
    fleet.node(0).signal("TERM");
    assert_eq!(fleet.node(0).exit_code(), Some(0));
    fleet.kill(0);
    fleet.start_one(0);
    let told = started(&mut fleet, 0);
    assert_eq!(
        (&told["start"]["from"], &told["start"]["crashes"]),
        (&json!("snapshot"), &json!(1))
    );
}

#[test]
fn a_snapshot_that_is_lost_old_torn_or_anothers_is_named_and_not_believed() {
    let upstream = Upstream::start(|_| ok("done"));
    let mut fleet = start(6, &apart(members(&[&upstream])));
    taught(&mut fleet);
    fleet.kill_all();
    let now = now();
    let payload = |n: usize| {
        store(&fleet, n).load(now, Duration::from_secs(60)).snapshot.expect("saved").payload
    };
    fs::remove_dir_all(state(&fleet, 0)).expect("lost");
    let (of_one, of_two) = (payload(1), payload(2));
    let old = now - Duration::from_secs(31 * 24 * 3600);
    for _ in 0..2 {
        store(&fleet, 1).save(old, &of_one).expect("older than is believed");
    }
    // What was learned is too old, the rest is not.
    let mut of_five: Value = serde_json::from_slice(&payload(5)).expect("JSON");
    let learned_ms = of_five["learned_ms"].as_u64().expect("a time");
    of_five["learned_ms"] = (learned_ms - 601_000).into();
    for _ in 0..2 {
        store(&fleet, 5).save(now, of_five.to_string().as_bytes()).expect("saved");
    }
    for name in ["snapshot", "snapshot.before"] {
        let path = state(&fleet, 2).join(name);
        let whole = fs::read(&path).expect("written");
        fs::write(path, &whole[..whole.len() - 1]).expect("torn");
    }
    fs::remove_dir_all(state(&fleet, 3)).expect("out of the way");
    Store::new(Directory::open(state(&fleet, 3)).expect("there"), "n2")
        .save(now, &of_two)
        .expect("another's");
    fs::remove_dir_all(state(&fleet, 4)).expect("out of the way");
    fs::write(state(&fleet, 4), "a file").expect("in the place of the directory");
    fleet.start_all();
    fleet.until_ready();
    for (number, files, why) in
        [(0, 0, ""), (1, 2, " s old"), (2, 2, "bytes behind"), (3, 1, "of `n2`"), (5, 0, "")]
    {
        let told = started(&mut fleet, number);
        let aside = told["start"]["set_aside"].as_array().expect("a list");
        assert_eq!((&told["start"]["from"], aside.len()), (&json!("nothing"), files), "{told}");
        assert!(aside.iter().all(|a| a.as_str().is_some_and(|a| a.contains(why))), "{told}");
    }
    assert_eq!(started(&mut fleet, 4)["keeps"], false, "nothing can be kept there");
    for number in 0..6 {
        assert_eq!(
            fleet.client(number).ask(&alarm(&format!("r{number}"), 6000, "x")).status(),
            200
        );
    }
}

#[test]
fn cordons_outlive_the_file_that_holds_them_and_are_doubted_until_confirmed() {
    let (one, two) = (Upstream::start(|_| ok("one")), Upstream::start(|_| ok("two")));
    let mut fleet = start(3, &apart(members(&[&one, &two])));
    let door = |fleet: &mut ProcessCluster, n: usize| fleet.node(n).operators.expect("a door");
    for number in 0..3 {
        call(door(&mut fleet, number), "cordon", "s-0");
    }
    taught(&mut fleet);
    fleet.kill_all();
    let said = |n: usize| fleet.directory(n).join(format!("hollowpaddle-n{n}/said.json"));
    fs::remove_file(said(0)).expect("lost");
    fs::write(said(1), "{\"cordoned\":[").expect("torn");
    fs::write(said(2), "{\"cordoned\":[").expect("torn");
    for name in ["snapshot", "snapshot.before"] {
        fs::write(state(&fleet, 2).join(name), "torn as well").expect("torn");
    }
    fleet.start_all();
    fleet.until_ready();
    let _ = one.requests_so_far();
    let told = |fleet: &mut ProcessCluster, n: usize| started(fleet, n)["said"].clone();
    for (number, why) in [(0, "the file was gone"), (1, "column"), (2, "may be forgotten")] {
        let said = told(&mut fleet, number);
        assert!(said["doubted"].as_str().is_some_and(|d| d.contains(why)), "{number}: {said}");
        let cordoned = if number == 2 { json!([]) } else { json!(["s-0"]) };
        assert_eq!(said["cordoned"], cordoned, "{number}");
        for n in 0..6 {
            let id = format!("r{number}-{n}");
            assert_eq!(fleet.client(number).ask(&read(&id, 6000)).status(), 200);
        }
        if number < 2 {
            assert_eq!(one.requests_so_far(), 0, "it was taken out before");
        }
    }
    // A doubt outlasts one more start; a word of an operator ends it, and that outlasts the next.
    fleet.kill(0);
    fleet.start_one(0);
    assert!(told(&mut fleet, 0)["doubted"].is_string());
    call(door(&mut fleet, 0), "confirm", "");
    assert_eq!(told(&mut fleet, 0)["doubted"], Value::Null);
    fleet.kill(0);
    fleet.start_one(0);
    let said = told(&mut fleet, 0);
    assert_eq!((&said["doubted"], &said["cordoned"]), (&Value::Null, &json!(["s-0"])));
}

/// Lines of a watch: the whole list, with a version.
fn tell(stream: &mut std::net::TcpStream, revision: u64, members: &[Value]) {
    let list = json!({"revision": revision, "complete": true, "members": members});
    chunk(stream, &format!("{list}\n"));
}

#[test]
fn the_list_as_last_heard_counts_until_discovery_speaks() {
    let ups: Vec<Upstream> = (0..3).map(|_| Upstream::start(|_| ok("done"))).collect();
    let mut fleet = start(1, &apart(members(&[&ups[0], &ups[1]])));
    let (_, mut watch) = fleet.discovery(0).watch();
    let listed = |phases: [&str; 3]| -> Vec<Value> {
        (0..3).map(|i| member(&format!("s-{i}"), ups[i].address, phases[i])).collect()
    };
    tell(&mut watch, 900, &listed(["DRAINING", "SERVING", "SERVING"]));
    let list = |fleet: &ProcessCluster| {
        let found = store(fleet, 0).load(now(), Duration::from_secs(60)).snapshot;
        let state = found.and_then(|s| serde_json::from_slice::<Value>(&s.payload).ok());
        state.map_or(0, |s| s["list"]["revision"].as_u64().unwrap_or(0))
    };
    until("the list is saved", || list(&fleet) == 900);
    fleet.kill_all();
    fleet.start_all();
    fleet.until_ready();
    assert!(started(&mut fleet, 0)["start"]["list_age_s"].is_number());
    let mut client = fleet.client(0);
    let mut ask = |of: &str| {
        ups.iter().for_each(|u| _ = u.requests_so_far());
        for n in 0..12 {
            assert_eq!(client.ask(&read(&format!("{of}-{n}"), 6000)).status(), 200);
        }
        ups.iter().map(|u| u.requests_so_far() > 0).collect::<Vec<_>>()
    };
    assert!(!ask("silent")[0], "it drains, as far as anybody knows");
    let (asked, mut watch) = fleet.discovery(0).watch();
    assert!(asked.contains("index=0"), "{asked}");
    // A discovery that counts anew: its word wins, whatever the versions.
    tell(&mut watch, 2, &listed(["SERVING", "DRAINING", "DRAINING"]));
    until("its word is done", || ask("told") == [true, false, false]);
}

#[test]
fn a_crash_loop_goes_on_without_what_was_stored_and_ends_by_itself() {
    let upstream = Upstream::start(|_| ok("done"));
    let mut fleet = start(3, &apart(members(&[&upstream])));
    taught(&mut fleet);
    let mut ways = Vec::new();
    for life in 0..8 {
        fleet.kill(1);
        fleet.start_one(1);
        let told = started(&mut fleet, 1);
        ways.push(told["start"]["way"].as_str().expect("a word").to_string());
        let id = format!("life-{life}");
        assert_eq!(fleet.client(1).ask(&alarm(&id, 6000, "x")).status(), 200, "each life serves");
        until("this start is noted", || started(&mut fleet, 1)["saving"]["generation"].is_u64());
    }
    let usual = |w: &str| ways.iter().filter(|way| *way == w).count();
    // The first start of all was killed too.
    assert_eq!((usual("usual"), usual("without-snapshot"), usual("bare")), (2, 3, 3), "{ways:?}");
    assert_eq!(from(&mut fleet, 1), "nothing");
    // Two minutes on, without any crash: as if what was noted were so much older.
    fleet.kill(1);
    let mut store = store(&fleet, 1);
    let was = store.load(now(), Duration::from_secs(600)).snapshot.expect("noted").payload;
    let mut was: Value = serde_json::from_slice(&was).expect("JSON");
    for start in was["starts"]["open"].as_array_mut().expect("starts") {
        start["at_ms"] = (start["at_ms"].as_u64().expect("a time") - 121_000).into();
    }
    store.save(now(), was.to_string().as_bytes()).expect("saved");
    fleet.start_one(1);
    assert_eq!(started(&mut fleet, 1)["start"]["way"], "usual");
    // The others never were in a loop.
    assert_eq!(started(&mut fleet, 0)["start"]["way"], "usual");
}
