//! The list of upstreams that discovery serves.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

/// State of an upstream on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The upstream accepts requests.
    Serving,
    /// The upstream completes the requests in flight and takes no new ones.
    Draining,
    /// The upstream is removed.
    Deleted,
}

/// One upstream on the list.
#[derive(Clone, Debug)]
pub struct Member {
    /// ID of the upstream, the same for all balancers.
    pub id: String,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// The upstream's cell.
    pub cell: u32,
    /// State on the list.
    pub phase: Phase,
    /// Start time in milliseconds of Unix time; 0 for an upstream that has been up for long.
    pub up_since_ms: u64,
    /// Revision of the last change of this member.
    pub revision: u64,
    /// Time of the last change.
    pub changed: Instant,
}

#[derive(Debug, Default)]
struct List {
    revision: u64,
    members: Vec<Member>,
}

/// The upstream list, shared by the tasks that change it and the tasks that serve it.
#[derive(Clone, Debug)]
pub struct UpstreamList {
    list: Arc<Mutex<List>>,
    changed: Arc<watch::Sender<u64>>,
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl UpstreamList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self { list: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a serving upstream.
    pub fn add(&self, id: &str, address: SocketAddr, cell: u32, up_since_ms: u64) {
        let mut list = self.lock();
        list.revision += 1;
        let (revision, id) = (list.revision, id.to_string());
        let (phase, changed) = (Phase::Serving, Instant::now());
        list.members.push(Member { id, address, cell, phase, up_since_ms, revision, changed });
        drop(list);
        self.changed.send_replace(revision);
    }

    /// Changes the state of an upstream. A start time means that the upstream has restarted.
    pub fn change(&self, id: &str, phase: Phase, up_since_ms: Option<u64>) {
        let mut list = self.lock();
        list.revision += 1;
        let revision = list.revision;
        for member in list.members.iter_mut().filter(|member| member.id == id) {
            (member.phase, member.revision, member.changed) = (phase, revision, Instant::now());
            member.up_since_ms = up_since_ms.unwrap_or(member.up_since_ms);
        }
        drop(list);
        self.changed.send_replace(revision);
    }

    /// Returns a receiver that is notified of each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns all members, including deleted ones.
    pub fn members(&self) -> Vec<Member> {
        self.lock().members.clone()
    }

    /// Returns the current revision, the changes after `revision` in the format of discovery, and the members of which the
    /// receiver is thereby notified. For revision 0 the changes are the complete list.
    pub fn since(&self, revision: u64) -> (u64, Value, Vec<Member>) {
        let list = self.lock();
        let is_complete = revision == 0;
        let is_included = |member: &&Member| match is_complete {
            true => member.phase != Phase::Deleted,
            false => member.revision > revision,
        };
        let listed: Vec<Member> = list.members.iter().filter(is_included).cloned().collect();
        let entries: Vec<Value> = listed.iter().map(entry).collect();
        let text = json!({"revision": list.revision, "complete": is_complete, "members": entries});
        // A complete list also notifies of the removal of each member that it omits.
        let notified = if is_complete { list.members.clone() } else { listed };
        (list.revision, text, notified)
    }
}

fn entry(member: &Member) -> Value {
    let phase = match member.phase {
        Phase::Serving => "SERVING",
        Phase::Draining => "DRAINING",
        Phase::Deleted => "DELETED",
    };
    json!({"id": member.id, "host_port": member.address.to_string(), "locality": "a", "flavor": "m",
        "cell": member.cell, "phase": phase, "size": 1.0, "up_since_ms": member.up_since_ms})
}
