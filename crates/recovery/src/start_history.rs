//! The history of a balancer's starts, which each start records for the next. The history shows whether the starts are a
//! crash loop, and which start mode follows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time over which crashes are counted.
pub const CRASH_WINDOW: Duration = Duration::from_secs(120);
/// Number of crashes from which on a start uses no snapshot, since the snapshot may be the cause.
pub const CRASH_LOOP_STARTS: usize = 3;
/// Number of crashes from which on a start uses only the functions that the platform requires.
pub const MINIMAL_MODE_STARTS: usize = 6;
/// Time after which a start that serves does not count as crashed, however it ends.
pub const SETTLED_AFTER: Duration = Duration::from_secs(30);
/// Largest number of recorded starts, so that a loop of one start a second does not fill a disk.
pub const MAX_RECORDED_STARTS: usize = 16;

/// The stored state and the functions that a start uses, ordered from most to least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartMode {
    /// All stored state.
    Normal,
    /// No stored state.
    WithoutSnapshot,
    /// No stored state, and only the functions that the platform requires.
    Minimal,
}

impl StartMode {
    /// Returns the name in the log and in `GET /admin/start`.
    pub fn name(self) -> &'static str {
        match self {
            StartMode::Normal => "usual",
            StartMode::WithoutSnapshot => "without-snapshot",
            StartMode::Minimal => "bare",
        }
    }
}

/// A start that has neither ended in order nor settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Start")]
struct UnfinishedStart {
    /// Unix time in milliseconds.
    at_ms: u64,
}

/// The history that one start records for the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Starts")]
pub struct StartHistory {
    /// In the order of the starts; the present start is the last.
    #[serde(rename = "open")]
    unfinished: Vec<UnfinishedStart>,
    /// Number of starts so far.
    count: u64,
}

impl StartHistory {
    /// Records a start at `now` (Unix time), and returns its mode.
    pub fn begin(&mut self, now: Duration) -> StartMode {
        let now_ms = now.as_millis() as u64;
        let window_ms = CRASH_WINDOW.as_millis() as u64;
        // A start in the future was recorded while the clock was ahead. The start may be recent, so it counts as of now.
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

    /// Records that the present start ends in order, and is not a crash. Earlier crashes still count.
    pub fn record_orderly_end(&mut self) {
        self.unfinished.pop();
    }

    /// Records that the present start has served for [`SETTLED_AFTER`]. Earlier crashes no longer count.
    pub fn record_settled(&mut self) {
        self.unfinished.clear();
    }

    /// Returns the number of starts so far, the present one included.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of starts that crashed within [`CRASH_WINDOW`] before the present one.
    pub fn crash_count(&self) -> usize {
        self.unfinished.len().saturating_sub(1)
    }
}
