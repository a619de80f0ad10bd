//! Which upstreams get a spare connection: those where requests keep waiting for a connection to rest. Opening it is left
//! to `connect`, closing it to the idle time of the pool.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::ServerId;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Two waits for connections to one upstream within this time show that it needs a spare.
const WAIT_MEMORY: Duration = Duration::from_millis(250);

/// The waits for connections, by upstream.
#[derive(Default)]
pub(super) struct Spares(RefCell<FxHashMap<ServerId, Demand>>);

/// How much one upstream needs a spare.
struct Demand {
    last_wait: Instant,
    /// When the last spare could not be opened. None is tried for [`WAIT_MEMORY`] from then on.
    failed_at: Option<Instant>,
    /// Whether a spare is being opened. There is one at a time.
    is_opening: bool,
    /// Notifies the requests that wait once a spare is open.
    opened: Rc<Notify>,
}

impl Spares {
    /// Notes that a request waits for a connection to rest. Returns what tells it that a spare is open.
    pub(super) fn note_wait(&self, server: ServerId, now: Instant) -> Wait {
        let mut demands = self.0.borrow_mut();
        let Some(demand) = demands.get_mut(&server) else {
            let opened = Rc::<Notify>::default();
            let demand = Demand {
                last_wait: now,
                failed_at: None,
                is_opening: false,
                opened: opened.clone(),
            };
            demands.insert(server, demand);
            return Wait { needs_spare: false, opened };
        };
        let last_wait = std::mem::replace(&mut demand.last_wait, now);
        let is_recent = |at: Instant| now.duration_since(at) < WAIT_MEMORY;
        let has_failed = demand.failed_at.is_some_and(is_recent);
        let needs_spare = !demand.is_opening && !has_failed && is_recent(last_wait);
        Wait { needs_spare, opened: demand.opened.clone() }
    }

    /// Notes that a spare is being opened.
    pub(super) fn note_opening(&self, server: ServerId) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = true;
        }
    }

    /// Notes that a spare is open, and notifies those that wait.
    pub(super) fn note_opened(&self, server: ServerId) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = false;
            demand.opened.notify_waiters();
        }
    }

    /// Notes that a spare could not be opened. Those that wait go on waiting.
    pub(super) fn note_failed(&self, server: ServerId, now: Instant) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = false;
            demand.failed_at = Some(now);
        }
    }

    /// Forgets upstreams without a recent wait.
    pub(super) fn forget_old_waits(&self) {
        let is_recent =
            |demand: &mut Demand| demand.is_opening || demand.last_wait.elapsed() < WAIT_MEMORY;
        self.0.borrow_mut().retain(|_, demand| is_recent(demand));
    }
}

/// One request's wait for a connection.
pub(super) struct Wait {
    /// Whether a spare is to be opened.
    pub(super) needs_spare: bool,
    /// Notified once a spare is open.
    pub(super) opened: Rc<Notify>,
}
