//! Starts of one balancer, as each notes them for the next: whether they are a crash loop, and what is done without.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Crashes are counted over so long.
pub const WINDOW: Duration = Duration::from_secs(120);
/// So many of them, and what is stored is not gone on from: it may be the cause.
pub const MANY: usize = 3;
/// So many, and nothing that is ours alone is done.
pub const TOO_MANY: usize = 6;
/// A start that served for so long has not crashed, whatever ends it.
pub const SETTLED: Duration = Duration::from_secs(30);
/// So many starts are remembered: a loop of one a second must not fill a disk.
pub const REMEMBERED: usize = 16;

/// How a start goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// From all that there is.
    Usual,
    /// From nothing that was stored.
    WithoutSnapshot,
    /// From nothing, and with nothing beyond what the platform asks for.
    Bare,
}

impl Way {
    /// As the log and the door call it.
    pub fn name(self) -> &'static str {
        match self {
            Way::Usual => "usual",
            Way::WithoutSnapshot => "without-snapshot",
            Way::Bare => "bare",
        }
    }
}

/// One start that neither ended in order nor settled, so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Start {
    /// In milliseconds of Unix time.
    at_ms: u64,
}

/// What one start notes for the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Starts {
    /// Starts that were not seen to end well, in their order.
    open: Vec<Start>,
    /// How often the program was started here.
    count: u64,
}

impl Starts {
    /// Notes a start, `now` in Unix time; how it is to go on.
    pub fn begin(&mut self, now: Duration) -> Way {
        let now_ms = now.as_millis() as u64;
        let window = WINDOW.as_millis() as u64;
        // One from the future was noted by a clock that was ahead: it may have been just now, and counts for so long
        // from here on.
        self.open.iter_mut().for_each(|s| s.at_ms = s.at_ms.min(now_ms));
        self.open.retain(|s| now_ms - s.at_ms <= window);
        let crashes = self.open.len();
        self.open.push(Start { at_ms: now_ms });
        let over = self.open.len().saturating_sub(REMEMBERED);
        self.open.drain(..over);
        self.count += 1;
        match crashes {
            TOO_MANY.. => Way::Bare,
            MANY.. => Way::WithoutSnapshot,
            _ => Way::Usual,
        }
    }

    /// The present start ended in order: it is no crash. Those before it still are.
    pub fn ended(&mut self) {
        self.open.pop();
    }

    /// The present start has served for [`SETTLED`]: whatever was wrong is over.
    pub fn settled(&mut self) {
        self.open.clear();
    }

    /// How often the program was started here, the present start included: its incarnation.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Starts within [`WINDOW`] of the present one that ended badly.
    pub fn crashes(&self) -> usize {
        self.open.len().saturating_sub(1)
    }
}
