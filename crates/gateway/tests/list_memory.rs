//! Memory that the list of upstreams takes, counted by the allocator, and time that reading it takes at a stretch.

use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hollowpaddle_gateway::Config;
use hollowpaddle_gateway::list_reader::{
    ListReader, MAX_ENTRIES, MAX_ENTRY_LENGTH, MAX_ID_BYTES, MAX_OUTLINE_LENGTH, PIECE_LENGTH,
};
use hollowpaddle_gateway::members::{Entry, List, Phase};
use hollowpaddle_gateway::membership::Membership;
use hollowpaddle_gateway::start_times::StartTimes;
use hollowpaddle_gateway::update_queue::UpdateQueue;
use hollowpaddle_policy::interface::ListKind;
use serde_json::json;

/// Counts the bytes that are allocated now, and the most so far.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed on to the system's allocator as they are.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let now = ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(now, Ordering::Relaxed);
        // SAFETY: as the caller guarantees.
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as the caller guarantees.
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Bytes that one more upstream may take in the gateway, outside of the decision module: 32 MB for 39,000 upstreams are
/// 860 bytes each, and half of that is the module's.
const MAX_BYTES_PER_UPSTREAM: f64 = 400.0;
/// Bytes that it may take for a moment, while its list is read and taken in. What is free again stays with the process.
const MAX_PEAK_BYTES_PER_UPSTREAM: f64 = 860.0;
/// Bytes that reading one list may take, whatever comes: records of [`MAX_ENTRIES`] entries, in a vector that doubles and
/// is copied for it, and their ids with what the allocator needs to know of each; beside them the entry and the outline
/// that are being read, once more as they are parsed.
const MAX_BYTES_OF_READING: usize = 4 * MAX_ENTRIES * size_of::<Entry>()
    + MAX_ENTRIES * 2 * size_of::<usize>()
    + MAX_ID_BYTES
    + 8 * (MAX_ENTRY_LENGTH + MAX_OUTLINE_LENGTH);
/// Tests take turns: the counts are those of the process.
static TURN: Mutex<()> = Mutex::new(());
const ZONES: usize = 11;
const MACHINE_TYPES: usize = 1300;

fn config() -> Config {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let names = |kind: &str, count| (0..count).map(|i| format!("{kind}-{i}")).collect::<Vec<_>>();
    let file = json!({
        "listen": nowhere, "discovery": nowhere,
        "settings": {"Balancers": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
            "Zones": names("zone", ZONES), "MachineTypes": names("type", MACHINE_TYPES),
            "PolicyLimits": {"MaxAttempts": 3},
            "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}},
    });
    Config::parse("config.json", file.to_string().as_bytes(), |_| None).expect("a configuration")
}

/// A whole list of so many upstreams.
fn text(revision: u64, count: usize) -> String {
    let entry = |i: usize| {
        let address = SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8080));
        json!({"id": format!("upstream-{i}"), "host_port": address, "locality": format!("zone-{}", i % ZONES),
            "flavor": format!("type-{}", i % MACHINE_TYPES), "cell": i / 64, "phase": "SERVING", "size": 1.0,
            "up_since_ms": 1_764_000_000_000u64})
    };
    let entries: Vec<String> = (0..count).map(|i| entry(i).to_string()).collect();
    let entries = entries.join(",");
    format!("{{\"revision\":{revision},\"complete\":true,\"members\":[{entries}]}}")
}

/// Reads a list piece by piece; the list, and the longest time for one piece.
fn read(text: &str) -> (List, Duration) {
    let (mut reader, mut lists, mut longest) = (ListReader::default(), Vec::new(), Duration::ZERO);
    for piece in text.as_bytes().chunks(PIECE_LENGTH) {
        let begun = Instant::now();
        reader.feed(piece, |list| lists.push(list)).expect("a list");
        longest = longest.max(begun.elapsed());
    }
    (lists.pop().expect("a whole list"), longest)
}

/// What holds the list in a running balancer, up to the decision module.
struct Holders {
    membership: Membership,
    update_queue: UpdateQueue,
}

impl Holders {
    fn take(&mut self, list: &List) -> Duration {
        let begun = Instant::now();
        let told = self.membership.update(list, ListKind::Complete, tokio::time::Instant::now());
        let last = |id| self.membership.member(id);
        let mut part = self.update_queue.queue_list(told.kind, told.members, last).members.len();
        let longest = begun.elapsed();
        while self.update_queue.is_due() {
            part += self.update_queue.next_part().len();
        }
        assert!(part <= list.members.len());
        self.membership.forget_departed();
        longest
    }
}

/// Upstreams in one change of the list.
const CHANGED: usize = 8;

impl Holders {
    /// The median time of a change of [`CHANGED`] upstreams.
    fn take_changes(&mut self, count: usize) -> Duration {
        let entries = read(&text(3, count)).0.members;
        let mut times: Vec<Duration> = Vec::new();
        for (i, changed) in entries.chunks_exact(CHANGED).take(100).enumerate() {
            let revision = 3 + i as u64;
            let mut list = List { revision, complete: false, members: changed.to_vec() };
            list.members.iter_mut().for_each(|entry| entry.phase = Phase::Draining);
            let begun = Instant::now();
            let now = tokio::time::Instant::now();
            let told = self.membership.update(&list, ListKind::Update, now);
            let last = |id| self.membership.member(id);
            let part = self.update_queue.queue_list(told.kind, told.members, last);
            assert!(self.membership.any_open() && self.membership.forget_departed().is_empty());
            times.push(begun.elapsed());
            assert_eq!(part.members.len(), CHANGED);
        }
        times.sort_unstable();
        times[times.len() / 2]
    }
}

/// Bytes that a list of so many upstreams takes for good, and at the most.
fn bytes_held(config: &Config, count: usize) -> (f64, f64) {
    let (first, second) = (text(1, count), text(2, count));
    let before = ALLOCATED.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let now = tokio::time::Instant::now();
    let start_times = StartTimes::new(now, Duration::ZERO, Duration::ZERO);
    let membership = Membership::new(config, Duration::from_millis(400), start_times);
    let mut holders = Holders { membership, update_queue: UpdateQueue::default() };
    let mut steps = Vec::new();
    for text in [&first, &second] {
        let (list, piece) = read(text);
        steps.push((piece, holders.take(&list)));
    }
    let held = ALLOCATED.load(Ordering::Relaxed) - before;
    let peak = PEAK.load(Ordering::Relaxed) - before;
    println!("{count} upstreams: a change of {CHANGED} takes {:?}", holders.take_changes(count));
    println!(
        "{count} upstreams: {held} bytes held, {peak} at the peak; longest piece and update {steps:?}"
    );
    (held as f64, peak as f64)
}

#[test]
fn one_more_upstream_takes_no_more_bytes_than_its_bound() {
    let _turn = TURN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let config = config();
    // Hash tables double at seven eighths of a power of two: the slope is taken over counts that lie alike to that, and
    // the largest one lies right behind such a step.
    for (few, many) in [(1000, 32_000), (1250, 40_000)] {
        let (few_held, few_peak) = bytes_held(&config, few);
        let (many_held, many_peak) = bytes_held(&config, many);
        let slope =
            |few_bytes: f64, many_bytes: f64| (many_bytes - few_bytes) / (many - few) as f64;
        let (held, peak) = (slope(few_held, many_held), slope(few_peak, many_peak));
        println!("{few} to {many}: {held:.0} bytes for one more, {peak:.0} at the peak");
        assert!(held <= MAX_BYTES_PER_UPSTREAM, "{held}");
        assert!(peak <= MAX_PEAK_BYTES_PER_UPSTREAM, "{peak}");
    }
}

#[test]
fn reading_takes_no_more_bytes_than_its_bound_whatever_comes() {
    let _turn = TURN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let long_id = "x".repeat(MAX_ENTRY_LENGTH / 2);
    let repeated = [
        // Too many entries, too many bytes of ids, names that all differ, entries that are none, lists without end.
        ("{\"members\":[", "{\"id\":\"a\",\"phase\":\"DELETED\"},".to_string(), true),
        ("{\"members\":[", format!("{{\"id\":\"{long_id}\",\"phase\":\"DELETED\"}},"), true),
        (
            "{\"members\":[",
            "{\"id\":\"\",\"phase\":\"DELETED\",\"locality\":\"#\",\"flavor\":\"_#\"},".into(),
            true,
        ),
        ("{\"members\":[", "{\"nothing\":\"of use\"},".into(), false),
        ("", "{\"members\":[{\"id\":\"a\",\"phase\":\"SERVING\"}]}\n".into(), false),
        ("{\"a\":[", "[],".into(), true),
    ];
    for (begin, text, is_given_up) in repeated {
        let before = ALLOCATED.load(Ordering::Relaxed);
        PEAK.store(before, Ordering::Relaxed);
        let mut reader = ListReader::default();
        reader.feed(begin.as_bytes(), |_| ()).expect("it begins");
        let times = 2 * MAX_BYTES_OF_READING / text.len().max(100);
        let taken = (0..times).take_while(|i| {
            let text = text.replace('#', &i.to_string());
            reader.feed(text.as_bytes(), |_| ()).is_ok()
        });
        let taken = taken.count();
        let peak = PEAK.load(Ordering::Relaxed) - before;
        let shown: String = text.chars().take(40).collect();
        println!(
            "{begin}{shown}: {taken} of {times} taken, {peak} bytes of {MAX_BYTES_OF_READING}"
        );
        assert_eq!(taken < times, is_given_up);
        assert!(peak <= MAX_BYTES_OF_READING, "{peak}");
    }
}
