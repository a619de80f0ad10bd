//! Whether this process did not run for a while, and how long what is read right after that has waited. Failure: frozen
//! for seconds and thawed, a balancer gave requests their whole deadline from when it read them, and answered clients
//! that had gone.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Who reads nothing for so long may have been idle, or may not have run: the two look alike from here, and what is
/// read next is asked how long it has been there. A process may be held up for 150 ms at any time: what came meanwhile has
/// so much less time left, and its upstream must not be told otherwise.
const DOZE: Duration = Duration::from_millis(120);
/// So is what is read for so long after that, at most: not all of it is read at once.
const BEHIND: Duration = Duration::from_secs(1);

/// When clients' bytes were read last, by any connection.
pub struct StallDetector {
    last: Cell<Instant>,
    /// The last stretch in which nothing was read.
    doze: Cell<Option<(Instant, Instant)>>,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self { last: Cell::new(Instant::now()), doze: Cell::new(None) }
    }
}

impl StallDetector {
    /// Something was read just now: how long it had waited for that. `told` says how long its last bytes have been
    /// there; nobody can have waited since before the last read.
    pub fn read(&self, told: impl FnOnce() -> Option<Duration>) -> Duration {
        let now = Instant::now();
        let last = self.last.replace(now);
        if now - last >= DOZE {
            self.doze.set(Some((last, now)));
        }
        match self.doze.get() {
            Some((from, to)) if now - to <= BEHIND.min(to - from) => {
                told().unwrap_or_default().min(now - from)
            }
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    const MS: Duration = Duration::from_millis(1);

    #[tokio::test(start_paused = true)]
    async fn only_who_read_nothing_for_long_asks_and_for_a_while_only() {
        let sleepers = StallDetector::default();
        let told = |waited: Duration| move || Some(waited);
        let never = || -> Option<Duration> { panic!("a busy one pays nothing for this") };
        advance(100 * MS).await;
        assert_eq!(sleepers.read(never), Duration::ZERO);
        advance(3000 * MS).await;
        assert_eq!(sleepers.read(told(1200 * MS)), 1200 * MS);
        advance(10 * MS).await;
        assert_eq!(sleepers.read(told(9000 * MS)), 3010 * MS, "it would have been read before");
        assert_eq!(sleepers.read(|| None), Duration::ZERO, "where nobody can tell");
        for _ in 0..10 {
            advance(100 * MS).await;
            sleepers.read(told(MS));
        }
        assert_eq!(sleepers.read(never), Duration::ZERO);
    }
}
