//! SIGHUP: the configuration is read again under load.

use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::json;

#[test]
fn sighup_moves_the_watch_and_keeps_the_rest() {
    let (old, new) = (Upstream::start(|_| ok("old")), Upstream::start(|_| ok("new")));
    let mut config = config(members(&[&old]));
    let mut node = start(&config);
    let mut client = node.client();
    assert_eq!(client.ask(&read("r1", 5000)).body, b"old");
    let (_, watch) = node.discovery.watch();
    // A file that can't be used: the program stays on the old one.
    node.reconfigure("{");
    std::thread::sleep(IDLE_REUSE_LIMIT);
    assert_eq!(client.ask(&read("r2", 5000)).body, b"old");

    let moved = Discovery::start();
    config["discovery"] = json!(moved.address.to_string());
    node.reconfigure(&config.to_string());
    let (call, mut second) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=0 HTTP/1.1", "another agent counts anew");
    // The upstream, its connection and the client's are as before.
    std::thread::sleep(IDLE_REUSE_LIMIT);
    assert_eq!(client.ask(&read("r3", 5000)).body, b"old");
    // Its revision is lower than the last one known.
    let list = json!({"revision": 7, "complete": true,
        "members": [member("s-9", new.address, "SERVING")]});
    chunk(&mut second, &format!("{list}\n"));
    let from = std::time::Instant::now();
    std::thread::sleep(IDLE_REUSE_LIMIT);
    while client.ask(&read("r4", 5000)).body != b"new" {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the new list is not used");
        std::thread::sleep(IDLE_REUSE_LIMIT);
    }
    // The end of the old watch is no news any more; that of the new one is.
    drop(watch);
    drop(second);
    let (call, _) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=7 HTTP/1.1");
    assert!(node.child.try_wait().expect("a child").is_none(), "it ended");
    let ports: std::collections::HashSet<_> = std::iter::from_fn(|| old.seen.try_recv().ok())
        .filter_map(|s| if let Observation::Request(from, _) = s { Some(from) } else { None })
        .collect();
    assert_eq!(ports.len(), 1, "its connection was not kept");
}

#[test]
fn a_file_that_is_written_slowly_is_read_again() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(members(&[&upstream]));
    let node = start(&config);
    let moved = Discovery::start();
    config["discovery"] = json!(moved.address.to_string());
    let text = config.to_string();
    // The signal comes in the middle of the write.
    node.reconfigure(&text[..text.len() / 2]);
    std::thread::sleep(std::time::Duration::from_millis(50));
    node.write_config(&text);
    let (call, _watch) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=0 HTTP/1.1");
}
