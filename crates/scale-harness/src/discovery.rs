//! A stand-in discovery for thousands of watches. The whole list is serialized once per version and a change
//! once for all watches; every connection writes from the same shared buffers.
//!
//! It runs on a thread of its own until its [`Discovery`] is dropped.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollowpaddle_net::{Listener, Network, Tcp, accept};
use hollowpaddle_rehearsal::wire::{Direction, Exchange, Message};
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::background::Background;
use crate::fleet::{ListEntry, Phase};

/// While nothing changes, a watch is sent an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Changes that are kept serialized. A watch that falls further behind is sent what it lacks in one object.
const KEPT_CHANGES: usize = 1024;
/// The version of the first list.
const FIRST_REVISION: u64 = 1;

const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const HEARTBEAT_CHUNK: &[u8] = b"1\r\n\n\r\n";
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// How discovery behaves towards its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Answering,
    /// It accepts connections and keeps those that are open, and writes nothing, not even heartbeats.
    Silent,
    /// It resets all connections, also new ones.
    Unreachable,
}

/// What discovery has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Watches opened.
    pub watches: u64,
    /// Whole lists asked for by a plain call, without a watch.
    pub calls: u64,
    /// Bytes written to all connections.
    pub bytes: u64,
    /// Heartbeats written.
    pub heartbeats: u64,
    /// Versions published after the first.
    pub changes: u64,
}

/// A running stand-in discovery. Dropped, it ends.
pub struct Discovery {
    shared: Arc<Shared>,
    address: SocketAddr,
    _thread: Background,
}

impl Discovery {
    /// Starts one that holds these upstreams, on an ephemeral loopback port.
    ///
    /// # Errors
    /// There is no port or no thread to be had.
    pub fn start(entries: Vec<ListEntry>) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(entries));
        let serving = shared.clone();
        let (thread, address) = Background::start("discovery", move || listen(serving))?;
        Ok(Self { shared, address, _thread: thread })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes one change that consists of these entries, and returns its version. Entries that are
    /// [`Phase::Deleted`] leave the list.
    pub fn publish(&self, entries: Vec<ListEntry>) -> u64 {
        let revision = self.shared.list().publish(entries);
        self.shared.counters.changes.fetch_add(1, Ordering::Relaxed);
        self.shared.newest.send_replace(revision);
        revision
    }

    /// When the change to this version was last written to a watch, if it was written to any.
    pub fn last_written(&self, revision: u64) -> Option<Instant> {
        self.shared.written().get(&revision).copied()
    }

    /// Changes how it behaves from here on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// What it has counted so far.
    pub fn counts(&self) -> Counts {
        self.shared.counters.read()
    }
}

#[derive(Default)]
struct Counters {
    watches: AtomicU64,
    calls: AtomicU64,
    bytes: AtomicU64,
    heartbeats: AtomicU64,
    changes: AtomicU64,
}

impl Counters {
    fn read(&self) -> Counts {
        Counts {
            watches: self.watches.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
            heartbeats: self.heartbeats.load(Ordering::Relaxed),
            changes: self.changes.load(Ordering::Relaxed),
        }
    }
}

/// What the owner's thread and the serving thread have in common.
struct Shared {
    list: Mutex<List>,
    newest: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    counters: Counters,
    /// When each of the last versions was last written to a watch.
    written: Mutex<BTreeMap<u64, Instant>>,
}

impl Shared {
    fn new(entries: Vec<ListEntry>) -> Self {
        Self {
            list: Mutex::new(List::new(entries)),
            newest: watch::Sender::new(FIRST_REVISION),
            mode: watch::Sender::new(Mode::Answering),
            counters: Counters::default(),
            written: Mutex::default(),
        }
    }

    fn written(&self) -> MutexGuard<'_, BTreeMap<u64, Instant>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the versions after `from` up to `to` have been written to a watch.
    fn note_written(&self, from: u64, to: u64) {
        let now = Instant::now();
        let mut written = self.written();
        let oldest = to.saturating_sub(KEPT_CHANGES as u64);
        for revision in from.max(oldest) + 1..=to {
            written.insert(revision, now);
        }
        while written.len() > KEPT_CHANGES {
            written.pop_first();
        }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One message of the list, as the protocol words it.
#[derive(Serialize)]
struct ListMessage<'a> {
    revision: u64,
    complete: bool,
    members: Vec<&'a ListEntry>,
}

impl ListMessage<'_> {
    /// Serialized as one line.
    fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("a list of plain values serializes");
        line.push(b'\n');
        line
    }
}

/// A line as one chunk of a chunked answer.
fn chunk(line: &[u8]) -> Bytes {
    let mut chunk = format!("{:x}\r\n", line.len()).into_bytes();
    chunk.extend_from_slice(line);
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}

/// An upstream and the version that changed it last. Those that are deleted stay as tombstones.
struct Versioned {
    revision: u64,
    entry: ListEntry,
}

/// The list and what of it is serialized.
struct List {
    revision: u64,
    entries: BTreeMap<String, Versioned>,
    /// The last changes, one chunk for each version, the newest last.
    changes: VecDeque<Bytes>,
    /// What follows a version, as one chunk, by that version; of the present version only.
    differences: HashMap<u64, Bytes>,
}

impl List {
    fn new(entries: Vec<ListEntry>) -> Self {
        let versioned =
            |entry: ListEntry| (entry.id.clone(), Versioned { revision: FIRST_REVISION, entry });
        Self {
            revision: FIRST_REVISION,
            entries: entries.into_iter().map(versioned).collect(),
            changes: VecDeque::new(),
            differences: HashMap::new(),
        }
    }

    fn publish(&mut self, entries: Vec<ListEntry>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let members = entries.iter().collect();
        let message = ListMessage { revision, complete: false, members };
        self.changes.push_back(chunk(&message.line()));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
        for entry in entries {
            self.entries.insert(entry.id.clone(), Versioned { revision, entry });
        }
        self.differences.clear();
        revision
    }

    /// The first message of a watch that asks for what follows `from`: the whole list if that is 0 or unknown.
    fn since(&mut self, from: u64) -> Bytes {
        let from = if from > self.revision { 0 } else { from };
        if let Some(chunk) = self.differences.get(&from) {
            return chunk.clone();
        }
        let chunk = chunk(&self.message_since(from).line());
        self.differences.insert(from, chunk.clone());
        chunk
    }

    fn message_since(&self, from: u64) -> ListMessage<'_> {
        let complete = from == 0;
        let newer = self.entries.values().filter(|versioned| versioned.revision > from);
        let named = newer.filter(|versioned| !complete || versioned.entry.phase != Phase::Deleted);
        let members = named.map(|versioned| &versioned.entry).collect();
        ListMessage { revision: self.revision, complete, members }
    }

    /// Chunks of the changes that follow `from`, oldest first, if all of them are kept.
    fn changes_since(&self, from: u64) -> Option<Vec<Bytes>> {
        let behind = usize::try_from(self.revision.checked_sub(from)?).ok()?;
        let skipped = self.changes.len().checked_sub(behind)?;
        Some(self.changes.iter().skip(skipped).cloned().collect())
    }
}

/// Listens on an ephemeral loopback port, and serves there as a local task.
fn listen(shared: Arc<Shared>) -> io::Result<SocketAddr> {
    let listener = Tcp.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = listener.local_addr();
    spawn_local(accept_all(shared, listener));
    Ok(address)
}

async fn accept_all(shared: Arc<Shared>, mut listener: Box<dyn Listener>) {
    loop {
        match accept(&mut *listener).await {
            Ok((stream, _)) => {
                let connection = Connection { shared: shared.clone(), talk: Exchange::new(stream) };
                spawn_local(connection.serve());
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// One caller's connection.
struct Connection {
    shared: Arc<Shared>,
    talk: Exchange,
}

impl Connection {
    /// Answers calls until the caller leaves or discovery becomes unreachable.
    async fn serve(mut self) {
        let mut mode = self.shared.mode.subscribe();
        let is_reset = tokio::select! {
            biased;
            _ = mode.wait_for(|mode| *mode == Mode::Unreachable) => true,
            _ = self.answer_calls() => false,
        };
        if is_reset {
            self.talk.reset();
        }
    }

    async fn answer_calls(&mut self) -> io::Result<()> {
        while let Ok(call) = self.talk.message(Direction::Requests).await {
            self.wait_until_answering().await;
            match Call::parse(&call) {
                Call::Watch { from } => return self.watch(from).await,
                Call::WholeList => self.whole_list().await?,
                Call::Unknown => self.write(NOT_FOUND).await?,
            }
        }
        Ok(())
    }

    async fn wait_until_answering(&self) {
        let mut mode = self.shared.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode == Mode::Answering).await;
    }

    async fn whole_list(&mut self) -> io::Result<()> {
        self.shared.counters.calls.fetch_add(1, Ordering::Relaxed);
        let line = self.shared.list().message_since(0).line();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", line.len());
        self.write(head.as_bytes()).await?;
        self.write(&line).await
    }

    async fn watch(&mut self, from: u64) -> io::Result<()> {
        self.shared.counters.watches.fetch_add(1, Ordering::Relaxed);
        let mut newest = self.shared.newest.subscribe();
        self.write(WATCH_HEAD).await?;
        let (first, mut sent) = {
            let mut list = self.shared.list();
            (list.since(from), list.revision)
        };
        self.write(&first).await?;
        self.shared.note_written(from, sent);
        loop {
            tokio::select! {
                biased;
                changed = newest.wait_for(|newest| *newest > sent) => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                _ = self.talk.end() => return Ok(()),
                () = sleep(HEARTBEAT) => {}
            }
            self.wait_until_answering().await;
            sent = self.catch_up(sent).await?;
        }
    }

    /// Sends what follows `sent`, or a heartbeat if that is nothing; the version that was reached.
    async fn catch_up(&mut self, sent: u64) -> io::Result<u64> {
        let (chunks, reached) = {
            let mut list = self.shared.list();
            let chunks = match list.changes_since(sent) {
                Some(chunks) => chunks,
                None => vec![list.since(sent)],
            };
            (chunks, list.revision)
        };
        if chunks.is_empty() {
            self.shared.counters.heartbeats.fetch_add(1, Ordering::Relaxed);
            self.write(HEARTBEAT_CHUNK).await?;
        }
        for chunk in chunks {
            self.write(&chunk).await?;
        }
        if reached > sent {
            self.shared.note_written(sent, reached);
        }
        Ok(reached)
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.talk.write(bytes).await?;
        self.shared.counters.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }
}

/// What a caller asks for.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    /// A watch on what follows this version.
    Watch { from: u64 },
    /// The whole list, once.
    WholeList,
    /// Nothing that there is.
    Unknown,
}

impl Call {
    fn parse(message: &Message) -> Self {
        let (method, target) = &message.start;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if method != "GET" || path != "/api/targets" {
            return Self::Unknown;
        }
        let pairs: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        if !pairs.contains_key("stream") {
            return Self::WholeList;
        }
        let index = pairs.get("index").and_then(|index| index.parse().ok());
        Self::Watch { from: index.unwrap_or(0) }
    }
}
