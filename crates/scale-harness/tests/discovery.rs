//! The stand-in discovery as its callers see it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hollowpaddle_scale_harness::discovery::{Discovery, Mode};
use hollowpaddle_scale_harness::fleet::{Fleet, ListEntry, Phase};
use serde_json::Value;

/// Longest wait for anything that has to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// A watch, read chunk by chunk.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn open(address: SocketAddr, index: u64) -> Self {
        let mut stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let request =
            format!("GET /api/targets?stream=1&index={index} HTTP/1.1\r\nHost: d\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            assert_ne!(reader.read_line(&mut line).expect("a head"), 0);
        }
        Self(reader)
    }

    /// The next chunk; nothing where the connection has ended.
    fn chunk(&mut self) -> Option<String> {
        let mut size = String::new();
        if self.0.read_line(&mut size).unwrap_or(0) == 0 {
            return None;
        }
        let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
        let mut chunk = vec![0; size + 2];
        self.0.read_exact(&mut chunk).expect("a whole chunk");
        chunk.truncate(size);
        Some(String::from_utf8(chunk).expect("text"))
    }

    /// The next list message, past heartbeats.
    fn message(&mut self) -> Value {
        loop {
            let chunk = self.chunk().expect("an open watch");
            if chunk != "\n" {
                return serde_json::from_str(&chunk).expect("JSON");
            }
        }
    }
}

fn ids(message: &Value) -> Vec<&str> {
    let members = message["members"].as_array().expect("members");
    members.iter().map(|member| member["id"].as_str().expect("an id")).collect()
}

fn fleet() -> Fleet {
    Fleet::of(1, 60)
}

fn deleted(upstream: usize) -> ListEntry {
    ListEntry { phase: Phase::Deleted, ..fleet().entry(upstream) }
}

#[test]
fn watch_gets_whole_list_then_each_change() {
    let discovery = Discovery::start(fleet().entries()).expect("a port");
    let mut watch = Watch::open(discovery.address(), 0);
    let whole = watch.message();
    assert_eq!((&whole["complete"], ids(&whole).len()), (&Value::Bool(true), 60));
    let revision = discovery.publish(vec![deleted(5)]);
    let change = watch.message();
    assert_eq!((change["revision"].as_u64(), ids(&change)), (Some(revision), vec!["s-00000005"]));
    assert_eq!(change["members"][0]["phase"], "DELETED");
    let counts = discovery.counts();
    assert_eq!((counts.watches, counts.changes), (1, 1));
}

#[test]
fn watch_from_a_known_version_gets_what_follows_it() {
    let discovery = Discovery::start(fleet().entries()).expect("a port");
    let first = discovery.publish(vec![deleted(5)]);
    discovery.publish(vec![deleted(6)]);
    let mut later = Watch::open(discovery.address(), first);
    let message = later.message();
    assert_eq!((&message["complete"], ids(&message)), (&Value::Bool(false), vec!["s-00000006"]));
    let mut new = Watch::open(discovery.address(), 0);
    assert_eq!(ids(&new.message()).len(), 58);
}

#[test]
fn idle_watch_gets_heartbeats() {
    let discovery = Discovery::start(fleet().entries()).expect("a port");
    let mut watch = Watch::open(discovery.address(), 0);
    watch.message();
    assert_eq!(watch.chunk().as_deref(), Some("\n"));
    assert!(discovery.counts().heartbeats >= 1);
}

#[test]
fn silent_discovery_keeps_watches_and_sends_what_they_missed_afterwards() {
    let discovery = Discovery::start(fleet().entries()).expect("a port");
    let mut watch = Watch::open(discovery.address(), 0);
    watch.message();
    discovery.set_mode(Mode::Silent);
    discovery.publish(vec![deleted(1)]);
    discovery.publish(vec![deleted(2)]);
    discovery.set_mode(Mode::Answering);
    assert_eq!(ids(&watch.message()), ["s-00000001"]);
    assert_eq!(ids(&watch.message()), ["s-00000002"]);
}

#[test]
fn unreachable_discovery_resets_its_watches() {
    let discovery = Discovery::start(fleet().entries()).expect("a port");
    let mut watch = Watch::open(discovery.address(), 0);
    watch.message();
    discovery.set_mode(Mode::Unreachable);
    while watch.chunk().is_some() {}
    discovery.set_mode(Mode::Answering);
    assert_eq!(ids(&Watch::open(discovery.address(), 0).message()).len(), 60);
}
