//! Notices that this process did not run for a while, and tells how long what is read right after that had waited. A process
//! that was stopped for seconds would otherwise give requests their whole deadline from when it reads them.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A process that has read nothing for so long may have been idle, or may not have run: the two look alike from here, so
/// what it reads next is asked how long it has been there. A process may be held up for 150 ms at any time, and what came
/// meanwhile has that much less time left.
const MIN_STALL: Duration = Duration::from_millis(120);
/// For how long after a stall reads are still checked, at most: not everything that waited is read at once.
const MAX_CATCH_UP: Duration = Duration::from_secs(1);

/// When clients' bytes were last read, on any connection.
pub struct StallDetector {
    last_read: Cell<Instant>,
    /// The last span in which nothing was read.
    last_stall: Cell<Option<Stall>>,
}

/// A span in which nothing was read.
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
    /// Notes that something is being read, and returns how long it had waited.
    ///
    /// `since_received` tells how long the last bytes of it have been there, if that is known. It is only asked after a
    /// stall. Nothing can have waited for longer than since the read before the stall.
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
