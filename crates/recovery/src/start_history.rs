//! The starts of one balancer, as each start records them for the next: whether they are a crash loop, and what the next
//! start does without.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time over which crashes are counted.
pub const CRASH_WINDOW: Duration = Duration::from_secs(120);
/// Crashes from which on a start uses no snapshot: it may be the cause.
pub const CRASH_LOOP_STARTS: usize = 3;
/// Crashes from which on a start does only what the platform requires.
pub const MINIMAL_MODE_STARTS: usize = 6;
/// A start that has served for this long has not crashed, whatever ends it.
pub const SETTLED_AFTER: Duration = Duration::from_secs(30);
/// Most starts that are recorded: a loop of one a second must not fill a disk.
pub const MAX_RECORDED_STARTS: usize = 16;

/// What a start uses. Ordered from all to least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartMode {
    /// Everything that was stored.
    Normal,
    /// Nothing that was stored.
    WithoutSnapshot,
    /// Nothing that was stored, and no function that the platform does not require.
    Minimal,
}

impl StartMode {
    /// The name in the log and in `GET /admin/start`.
    pub fn name(self) -> &'static str {
        match self {
            StartMode::Normal => "usual",
            StartMode::WithoutSnapshot => "without-snapshot",
            StartMode::Minimal => "bare",
        }
    }
}

/// A start that so far neither ended in order nor settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Start")]
struct UnfinishedStart {
    /// Milliseconds of Unix time.
    at_ms: u64,
}

/// What one start records for the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Starts")]
pub struct StartHistory {
    /// In their order; the present start is the last.
    #[serde(rename = "open")]
    unfinished: Vec<UnfinishedStart>,
    /// Number of starts so far.
    count: u64,
}

impl StartHistory {
    /// Records a start at `now` (Unix time), and returns what it is to use.
    pub fn begin(&mut self, now: Duration) -> StartMode {
        let now_ms = now.as_millis() as u64;
        let window_ms = CRASH_WINDOW.as_millis() as u64;
        // A start in the future was recorded by a clock that was ahead. It may have been just now, so it counts from now.
        for start in &mut self.unfinished {
            start.at_ms = start.at_ms.min(now_ms);
        }
        self.unfinished.retain(|start| now_ms - start.at_ms <= window_ms);
        let crashes = self.unfinished.len();
        self.unfinished.push(UnfinishedStart { at_ms: now_ms });
        let excess = self.unfinished.len().saturating_sub(MAX_RECORDED_STARTS);
        self.unfinished.drain(..excess);
        self.count += 1;
        match crashes {
            MINIMAL_MODE_STARTS.. => StartMode::Minimal,
            CRASH_LOOP_STARTS.. => StartMode::WithoutSnapshot,
            _ => StartMode::Normal,
        }
    }

    /// The present start ends in order: it is no crash. Those before it still count.
    pub fn record_orderly_end(&mut self) {
        self.unfinished.pop();
    }

    /// The present start has served for [`SETTLED_AFTER`]: no earlier crash counts any more.
    pub fn record_settled(&mut self) {
        self.unfinished.clear();
    }

    /// Number of starts so far, the present one included.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Starts within [`CRASH_WINDOW`] before the present one that crashed.
    pub fn crash_count(&self) -> usize {
        self.unfinished.len().saturating_sub(1)
    }
}
