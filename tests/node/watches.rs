//! Watches on the list: however it is written, whenever they fall silent, end or are opened anew.

use std::io::{Read, Write};
use std::time::Instant;

use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::{Value, json};

/// A list that has the one upstream at this one's address.
fn at(revision: u64, complete: bool, upstream: &Upstream) -> Value {
    let members = [member("s-0", upstream.address, "SERVING")];
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Asks until this one answers.
fn served_by(client: &mut Client, body: &str) {
    let from = Instant::now();
    while client.ask(&read("r1", 5000)).body != body.as_bytes() {
        assert!(from.elapsed() < EVENT_TIMEOUT, "{body} is not heard of");
    }
}

#[test]
fn a_list_is_read_over_several_lines_and_in_any_pieces() {
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|name| Upstream::start(move |_| ok(name)));
    let node = start(&config(members(&[&a])));
    let mut client = node.client();
    served_by(&mut client, "a");
    let (_, mut watch) = node.discovery.watch();
    let pretty = |list: &Value| serde_json::to_string_pretty(list).expect("text");
    chunk(&mut watch, &format!("\n{}\n\n", pretty(&at(42, true, &b))));
    served_by(&mut client, "b");
    // Byte by byte, each a chunk of its own, a heartbeat behind each line and behind the whole.
    for line in pretty(&at(43, false, &c)).lines() {
        line.chars().for_each(|byte| chunk(&mut watch, &byte.to_string()));
        chunk(&mut watch, "\n\n");
    }
    served_by(&mut client, "c");
    // Two at once, the second on the first one's line.
    chunk(&mut watch, &format!("{}{}\n", pretty(&at(44, false, &a)), at(45, false, &d)));
    served_by(&mut client, "d");
    assert!(node.discovery.watches.try_recv().is_err(), "the watch was opened anew");
}

#[test]
fn a_watch_that_says_what_is_no_list_is_opened_anew_and_costs_nothing_else() {
    let [a, b] = ["a", "b"].map(|name| Upstream::start(move |_| ok(name)));
    let node = start(&config(members(&[&a])));
    let mut client = node.client();
    for nonsense in ["{\"revision\": }\n", "<html>\n", "[[[[\n]]]]", "{\"members\": 7}", "\u{0}"] {
        let (_, mut watch) = node.discovery.watch();
        chunk(&mut watch, nonsense);
        served_by(&mut client, "a");
    }
    // Broken off in the middle of an object: nothing of it counts.
    let (_, mut watch) = node.discovery.watch();
    let text = at(42, true, &b).to_string();
    chunk(&mut watch, &text[..text.len() - 1]);
    watch.write_all(b"0\r\n\r\n").expect("the watch is open");
    let (call, mut watch) = node.discovery.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=41 HTTP/1.1");
    served_by(&mut client, "a");
    chunk(&mut watch, &text);
    served_by(&mut client, "b");
}

#[test]
fn a_silent_watch_is_opened_anew_and_heard_until_the_new_one_has_told() {
    for mode in ["subscribe", "automatic"] {
        let [a, b, c, d] = ["a", "b", "c", "d"].map(|name| Upstream::start(move |_| ok(name)));
        let mut config = config(members(&[&a]));
        config["settings"]["RegistryMode"] = json!(mode);
        let node = start(&config);
        let mut client = node.client();
        let (_, mut first) = node.discovery.watch();
        chunk(&mut first, &at(43, false, &b).to_string());
        served_by(&mut client, "b");
        // Held open and silent, as by a machine that was cut off.
        let (call, mut second) = node.discovery.watch();
        assert_eq!(call, "GET /api/targets?stream=1&index=43 HTTP/1.1");
        // What was under way on the first one comes after all.
        chunk(&mut first, &at(45, false, &c).to_string());
        served_by(&mut client, "c");
        // Overtaken by that, as another replica has it. It is the same discovery, and nothing is undone.
        chunk(&mut second, &at(44, true, &a).to_string());
        first.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
        assert_eq!(first.read(&mut [0]).unwrap_or(0), 0, "the first is let go");
        for _ in 0..4 {
            assert_eq!(client.ask(&read("r2", 5000)).body, b"c", "{mode}");
        }
        chunk(&mut second, &at(46, false, &d).to_string());
        served_by(&mut client, "d");
    }
}

#[test]
fn at_a_reload_the_old_discovery_counts_until_the_new_one_has_spoken() {
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|name| Upstream::start(move |_| ok(name)));
    let mut config = config(members(&[&a]));
    let node = start(&config);
    let mut client = node.client();
    let (_, mut first) = node.discovery.watch();
    chunk(&mut first, &at(42, true, &a).to_string());
    served_by(&mut client, "a");
    let moved = Discovery::start();
    config["discovery"] = json!(moved.address.to_string());
    node.reconfigure(&config.to_string());
    let (call, second) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=0 HTTP/1.1");
    chunk(&mut first, &at(43, false, &b).to_string());
    served_by(&mut client, "b");
    // The new one fails before its first word.
    drop(second);
    let (call, mut second) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=0 HTTP/1.1", "nothing is known of it");
    chunk(&mut first, &at(44, false, &c).to_string());
    served_by(&mut client, "c");
    // From its first word on its versions count, lower or not, and nothing that the old one says.
    chunk(&mut second, &at(7, true, &d).to_string());
    served_by(&mut client, "d");
    first.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
    assert_eq!(first.read(&mut [0]).unwrap_or(0), 0, "the old one is let go");
    chunk(&mut second, &at(8, false, &a).to_string());
    served_by(&mut client, "a");
}

/// Writes a list of this many upstreams to a watch, in pieces of a few entries.
fn write_long_list(watch: &mut std::net::TcpStream, count: usize, entry: impl Fn(usize) -> Value) {
    chunk(watch, "{\"members\":[");
    for from in (0..count).step_by(500) {
        let entries = (from..count.min(from + 500)).map(|i| entry(i).to_string());
        let entries = entries.collect::<Vec<_>>().join(",\n");
        chunk(watch, if from > 0 { "," } else { "\n" });
        chunk(watch, &entries);
    }
    chunk(watch, "],\"revision\":42,\"complete\":true}\n");
}

#[test]
fn a_list_of_39_000_upstreams_is_taken_and_routed_to() {
    const COUNT: usize = 39_000;
    let (only, drained) = (Upstream::start(|_| ok("only")), Upstream::start(|_| ok("drained")));
    let node = start(&config(vec![]));
    let mut client = node.client();
    let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_ne!(client.ask(ready).status(), 200, "nobody is known yet");
    let (_, mut watch) = node.discovery.watch();
    // Whoever serves is in the middle, and nothing is sent to any other.
    write_long_list(&mut watch, COUNT, |i| {
        let serves = i == COUNT / 2;
        let (address, phase) =
            if serves { (only.address, "SERVING") } else { (drained.address, "DRAINING") };
        let mut entry = member(&format!("upstream-{i}.zone-a.internal"), address, phase);
        entry["more"] = json!({"members": [{"id": "}]"}]});
        entry
    });
    let from = Instant::now();
    while client.ask(ready).status() != 200 {
        assert!(from.elapsed() < EVENT_TIMEOUT, "it is not ready");
    }
    for _ in 0..4 {
        assert_eq!(client.ask(&read("r1", 5000)).body, b"only");
    }
    assert_eq!(drained.requests_so_far(), 0);
    // Changes that follow are heard on the same watch.
    let change = [
        member("upstream-7.zone-a.internal", drained.address, "SERVING"),
        member(&format!("upstream-{}.zone-a.internal", COUNT / 2), only.address, "DRAINING"),
    ];
    chunk(&mut watch, &json!({"revision": 43, "members": change}).to_string());
    served_by(&mut client, "drained");
    assert!(node.discovery.watches.try_recv().is_err(), "the watch was opened anew");
}

#[test]
fn a_list_beyond_its_bound_ends_the_watch_and_costs_nothing_that_is_known() {
    let [a, b] = ["a", "b"].map(|name| Upstream::start(move |_| ok(name)));
    let node = start(&config(members(&[&a])));
    let mut client = node.client();
    served_by(&mut client, "a");
    let (_, mut watch) = node.discovery.watch();
    let too_many = hollowpaddle_gateway::list_reader::MAX_ENTRIES + 1;
    let entry = json!({"id": "s", "phase": "DELETED"}).to_string();
    // The watch is closed within it.
    let text = format!("{{\"revision\":42,\"complete\":true,\"members\":[{entry}");
    let _ = write!(watch, "{:x}\r\n{text}\r\n", text.len());
    for _ in 0..too_many / 100 + 1 {
        let text = format!(",{entry}").repeat(100);
        let _ = write!(watch, "{:x}\r\n{text}\r\n", text.len());
    }
    let (call, mut watch) = node.discovery.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=41 HTTP/1.1");
    served_by(&mut client, "a");
    chunk(&mut watch, &at(42, true, &b).to_string());
    served_by(&mut client, "b");
}
