//! Tests of the memory of the endpoint list, counted by the allocator. They also print the longest time for one piece of a
//! list.

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

/// An allocator that counts the allocated bytes and their peak.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed unchanged to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let now = ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(now, Ordering::Relaxed);
        // SAFETY: the caller upholds the allocator's contract.
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the allocator's contract.
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Maximum number of bytes for each additional upstream in the gateway, outside of the decision module: 32 MB for 39,000
/// upstreams are 860 bytes each, of which half is for the decision module.
const MAX_BYTES_PER_UPSTREAM: f64 = 400.0;
/// Maximum number of bytes for each additional upstream at the peak, while its list is read and applied. The process keeps
/// the memory that is freed again.
const MAX_PEAK_BYTES_PER_UPSTREAM: f64 = 860.0;
/// Maximum number of bytes for reading any list: the records of [`MAX_ENTRIES`] entries in a vector that is copied to double
/// its capacity, the ids with the allocator's overhead for each, and the current entry and outline, as text and as parsed
/// values.
const MAX_BYTES_OF_READING: usize = 4 * MAX_ENTRIES * size_of::<Entry>()
    + MAX_ENTRIES * 2 * size_of::<usize>()
    + MAX_ID_BYTES
    + 8 * (MAX_ENTRY_LENGTH + MAX_OUTLINE_LENGTH);
/// Serializes the tests, because the allocator's counts are those of the whole process.
static TEST_LOCK: Mutex<()> = Mutex::new(());
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

/// Returns the text of a complete list of `count` upstreams.
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

/// Reads a list piece by piece. Returns the list and the longest time for one piece.
fn read(text: &str) -> (List, Duration) {
    let (mut reader, mut lists, mut longest) = (ListReader::default(), Vec::new(), Duration::ZERO);
    for piece in text.as_bytes().chunks(PIECE_LENGTH) {
        let started_at = Instant::now();
        reader.feed(piece, |list| lists.push(list)).expect("a list");
        longest = longest.max(started_at.elapsed());
    }
    (lists.pop().expect("a complete list"), longest)
}

/// The parts of a balancer that store the list, without the decision module.
struct ListState {
    membership: Membership,
    update_queue: UpdateQueue,
}

impl ListState {
    fn apply(&mut self, list: &List) -> Duration {
        let started_at = Instant::now();
        let changes = self.membership.update(list, ListKind::Complete, tokio::time::Instant::now());
        let last = |id| self.membership.member(id);
        let mut part =
            self.update_queue.queue_list(changes.kind, changes.members, last).members.len();
        let longest = started_at.elapsed();
        while self.update_queue.is_due() {
            part += self.update_queue.next_part().len();
        }
        assert!(part <= list.members.len());
        self.membership.forget_departed();
        longest
    }
}

/// Number of upstreams in one change of the list.
const CHANGED: usize = 8;

impl ListState {
    /// Returns the median time of applying a change of [`CHANGED`] upstreams.
    fn apply_changes(&mut self, count: usize) -> Duration {
        let entries = read(&text(3, count)).0.members;
        let mut times: Vec<Duration> = Vec::new();
        for (i, changed) in entries.chunks_exact(CHANGED).take(100).enumerate() {
            let revision = 3 + i as u64;
            let mut list = List { revision, complete: false, members: changed.to_vec() };
            list.members.iter_mut().for_each(|entry| entry.phase = Phase::Draining);
            let started_at = Instant::now();
            let now = tokio::time::Instant::now();
            let changes = self.membership.update(&list, ListKind::Update, now);
            let last = |id| self.membership.member(id);
            let part = self.update_queue.queue_list(changes.kind, changes.members, last);
            assert!(self.membership.any_open() && self.membership.forget_departed().is_empty());
            times.push(started_at.elapsed());
            assert_eq!(part.members.len(), CHANGED);
        }
        times.sort_unstable();
        times[times.len() / 2]
    }
}

/// Returns the retained bytes and the peak bytes of a list of `count` upstreams.
fn bytes_retained(config: &Config, count: usize) -> (f64, f64) {
    let (first, second) = (text(1, count), text(2, count));
    let before = ALLOCATED.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let now = tokio::time::Instant::now();
    let start_times = StartTimes::new(now, Duration::ZERO, Duration::ZERO);
    let membership = Membership::new(config, Duration::from_millis(400), start_times);
    let mut list_state = ListState { membership, update_queue: UpdateQueue::default() };
    let mut steps = Vec::new();
    for text in [&first, &second] {
        let (list, piece) = read(text);
        steps.push((piece, list_state.apply(&list)));
    }
    let retained = ALLOCATED.load(Ordering::Relaxed) - before;
    let peak = PEAK.load(Ordering::Relaxed) - before;
    println!(
        "{count} upstreams: a change of {CHANGED} takes {:?}",
        list_state.apply_changes(count)
    );
    println!(
        "{count} upstreams: {retained} bytes retained, {peak} at the peak; longest piece and update {steps:?}"
    );
    (retained as f64, peak as f64)
}

#[test]
fn memory_per_upstream_stays_within_its_bound() {
    let _guard = TEST_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let config = config();
    // Hash tables double at seven eighths of a power of two. The slope is computed between counts at the same position
    // relative to these steps, and the largest count lies directly after a step.
    for (few, many) in [(1000, 32_000), (1250, 40_000)] {
        let (few_retained, few_peak) = bytes_retained(&config, few);
        let (many_retained, many_peak) = bytes_retained(&config, many);
        let slope =
            |few_bytes: f64, many_bytes: f64| (many_bytes - few_bytes) / (many - few) as f64;
        let (retained, peak) = (slope(few_retained, many_retained), slope(few_peak, many_peak));
        println!("{few} to {many}: {retained:.0} bytes per upstream, {peak:.0} at the peak");
        assert!(retained <= MAX_BYTES_PER_UPSTREAM, "{retained}");
        assert!(peak <= MAX_PEAK_BYTES_PER_UPSTREAM, "{peak}");
    }
}

#[test]
fn memory_of_reading_any_list_stays_within_its_bound() {
    let _guard = TEST_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let long_id = "x".repeat(MAX_ENTRY_LENGTH / 2);
    let repeated = [
        // Too many entries, too many bytes of ids, distinct names, values that are not entries, repeated lists, and a list
        // without an end.
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
    for (begin, text, is_rejected) in repeated {
        let before = ALLOCATED.load(Ordering::Relaxed);
        PEAK.store(before, Ordering::Relaxed);
        let mut reader = ListReader::default();
        reader.feed(begin.as_bytes(), |_| ()).expect("a valid beginning");
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
        assert_eq!(taken < times, is_rejected);
        assert!(peak <= MAX_BYTES_OF_READING, "{peak}");
    }
}
