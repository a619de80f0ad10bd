//! Detects that this process did not run for a while, and determines how long the bytes read after that had been received.
//! A process that was stopped for seconds would otherwise count the deadlines of requests from when it reads them.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// After this time without a read, the kernel is asked how long the next bytes have been waiting. The process may have been
/// idle or stalled, which it can't tell apart by itself. A process may stall for 150 ms at any time, and requests that
/// arrive meanwhile have that much less time left.
const MIN_STALL: Duration = Duration::from_millis(120);
/// How long after a stall reads are checked at most, since not all waiting bytes are read at once.
const MAX_CATCH_UP: Duration = Duration::from_secs(1);

/// Detects stalls of this process by the times at which clients' bytes are read, on any connection.
pub struct StallDetector {
    last_read: Cell<Instant>,
    /// The last interval of at least [`MIN_STALL`] in which nothing was read.
    last_stall: Cell<Option<Stall>>,
}

/// An interval in which nothing was read.
#[derive(Clone, Copy)]
struct Stall {
    from: Instant,
    to: Instant,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self { last_read: Cell::new(Instant::now()), last_stall: Cell::new(None) }
    }
}

impl StallDetector {
    /// Records a read, and returns how long the bytes had been received before it.
    ///
    /// `since_received` returns the time since the last bytes were received, if known. It is called only after a stall. The
    /// result is limited to the time since the last read before the stall.
    pub fn on_read(&self, since_received: impl FnOnce() -> Option<Duration>) -> Duration {
        let now = Instant::now();
        let last_read = self.last_read.replace(now);
        if now - last_read >= MIN_STALL {
            self.last_stall.set(Some(Stall { from: last_read, to: now }));
        }
        let Some(Stall { from, to }) = self.last_stall.get() else { return Duration::ZERO };
        let is_catching_up = now - to <= MAX_CATCH_UP.min(to - from);
        if !is_catching_up {
            return Duration::ZERO;
        }
        since_received().unwrap_or_default().min(now - from)
    }
}

#[cfg(test)]
mod tests;
