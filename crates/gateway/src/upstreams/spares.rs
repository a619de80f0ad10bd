//! Decides which upstreams get a spare connection. An upstream gets one if requests repeatedly wait until an idle connection
//! becomes reusable. The module `connect` opens spare connections, and the pool closes them by their idle time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::ServerId;
use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::Instant;

/// An upstream needs a spare connection if two requests wait for its connections within this time.
const SPARE_WINDOW: Duration = Duration::from_millis(250);

/// The waits for connections, by upstream.
#[derive(Default)]
pub(super) struct Spares(RefCell<FxHashMap<ServerId, Demand>>);

/// The need of one upstream for a spare connection.
struct Demand {
    last_wait: Instant,
    /// When a spare connection last failed to open. No other is tried for [`SPARE_WINDOW`] after that.
    failed_at: Option<Instant>,
    /// Whether a spare connection is being opened. At most one is opened at a time.
    is_opening: bool,
    /// Notifies waiting requests once a spare connection is open.
    opened: Rc<Notify>,
}

impl Spares {
    /// Records that a request waits until an idle connection becomes reusable. Returns whether a spare connection has to be
    /// opened, and the notification of the next one that is open.
    pub(super) fn record_wait(&self, server: ServerId, now: Instant) -> Wait {
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
        let is_recent = |at: Instant| now.duration_since(at) < SPARE_WINDOW;
        let has_failed = demand.failed_at.is_some_and(is_recent);
        let needs_spare = !demand.is_opening && !has_failed && is_recent(last_wait);
        Wait { needs_spare, opened: demand.opened.clone() }
    }

    /// Records that a spare connection is being opened.
    pub(super) fn record_opening(&self, server: ServerId) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = true;
        }
    }

    /// Records that a spare connection is open, and notifies waiting requests.
    pub(super) fn record_opened(&self, server: ServerId) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = false;
            demand.opened.notify_waiters();
        }
    }

    /// Records that a spare connection failed to open. Waiting requests continue to wait.
    pub(super) fn record_failure(&self, server: ServerId, now: Instant) {
        if let Some(demand) = self.0.borrow_mut().get_mut(&server) {
            demand.is_opening = false;
            demand.failed_at = Some(now);
        }
    }

    /// Removes upstreams without a recent wait.
    pub(super) fn remove_old_waits(&self) {
        let is_recent =
            |demand: &mut Demand| demand.is_opening || demand.last_wait.elapsed() < SPARE_WINDOW;
        self.0.borrow_mut().retain(|_, demand| is_recent(demand));
    }
}

/// One request's wait for a connection.
pub(super) struct Wait {
    /// Whether a spare connection has to be opened.
    pub(super) needs_spare: bool,
    /// Notified once a spare connection is open.
    pub(super) opened: Rc<Notify>,
}
