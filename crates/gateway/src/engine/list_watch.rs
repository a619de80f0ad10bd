//! The engine's watches on the endpoint list: opens them, handles their reports and ends, and checks whether the list has
//! expired. The module `endpoint_list` applies lists, and `discovery` implements the protocol of a watch.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{Event, ListKind};
use tokio::time::Instant;

use super::event::EngineEvent;
use super::state::EngineState;
use super::timers::Timer;
use crate::cluster::EndpointListEvent;
use crate::discovery::{self, CallTimeout, WatchEnd, WatchEvent};
use crate::freshness::Freshness;
use crate::members::List;
use crate::start_times::Delivery;
use crate::tasks::AbortOnDrop;

/// The least time between two calls of discovery that are made because other balancers have a newer list. All balancers
/// share the cost of calls.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// The least time between two calls for a pushed list. Calls to the agent that pushes the list are cheap, since the agent
/// runs on this machine, but an agent that ends each watch at once must not be called in a busy loop.
const MIN_REOPEN_INTERVAL: Duration = Duration::from_millis(100);

/// A watch on the endpoint list, or the call that opens one.
struct Watch {
    /// Unique among the watches of this process.
    serial: u64,
    /// The list version after which the watch was asked to start.
    from_version: u64,
    opened_at: Instant,
    /// Whether the watch is assumed to deliver every change that discovery has.
    is_live: bool,
    _task: AbortOnDrop,
}

/// State of the watches on the endpoint list.
pub(super) struct ListWatch {
    discovery: SocketAddr,
    /// The version of the current list, after which new watches are asked to start.
    pub(super) revision: u64,
    /// The newest watch that has delivered a list. A newer watch replaces it by delivering its own first list.
    active: Option<Watch>,
    /// The watch that is being opened and has not delivered a list.
    pending: Option<Watch>,
    /// The oldest watch whose call has exceeded its timeout. It may still deliver a list.
    overdue: Option<Watch>,
    last_serial: u64,
    /// Serial of the first watch whose versions can be compared with those of the current list.
    first_comparable_serial: u64,
    /// Whether discovery has moved and has delivered nothing from its new address, so that versions are those of the old
    /// address.
    awaits_moved_discovery: bool,
    /// Whether the decision module decides when to call discovery. If not, the list is pushed.
    pub(super) polls_list: bool,
    /// Whether discovery has delivered a list since this process started.
    pub(super) has_received_list: Rc<Cell<bool>>,
    pub(super) freshness: Freshness,
    /// Whether the decision module was notified that the list has expired.
    pub(super) is_expired: bool,
    call_timeout: CallTimeout,
    /// When discovery was last called because another balancer has a newer list.
    last_refresh: Option<Instant>,
}

impl ListWatch {
    /// Creates the state before the first watch is opened.
    pub(super) fn new(discovery: SocketAddr, polls_list: bool, freshness: Freshness) -> Self {
        Self {
            discovery,
            revision: 0,
            active: None,
            pending: None,
            overdue: None,
            last_serial: 0,
            first_comparable_serial: 0,
            awaits_moved_discovery: false,
            polls_list,
            has_received_list: Rc::new(Cell::new(false)),
            freshness,
            is_expired: false,
            call_timeout: CallTimeout::default(),
            last_refresh: None,
        }
    }

    /// Whether there is a watch that delivers every change that discovery has.
    pub(super) fn is_live(&self) -> bool {
        self.active.as_ref().is_some_and(|watch| watch.is_live)
    }

    /// Whether the watch with this serial is the live one.
    fn is_live_watch(&self, serial: u64) -> bool {
        self.active.as_ref().is_some_and(|watch| watch.serial == serial && watch.is_live)
    }

    fn is_active(&self, serial: u64) -> bool {
        self.active.as_ref().is_some_and(|watch| watch.serial == serial)
    }

    fn is_pending(&self, serial: u64) -> bool {
        self.pending.as_ref().is_some_and(|watch| watch.serial == serial)
    }

    fn is_overdue(&self, serial: u64) -> bool {
        self.overdue.as_ref().is_some_and(|watch| watch.serial == serial)
    }

    /// Makes the watch with this serial the active one if it has delivered no list before, and ends the other open call.
    /// Returns the version after which it was asked to start.
    fn activate(&mut self, serial: u64) -> Option<u64> {
        if !self.is_pending(serial) && !self.is_overdue(serial) {
            return None;
        }
        let calls = [self.pending.take(), self.overdue.take()];
        let watch = calls.into_iter().flatten().find(|watch| watch.serial == serial)?;
        let from_version = watch.from_version;
        self.active = Some(watch);
        Some(from_version)
    }

    /// Marks the active watch as not live, if it has this serial. Returns whether it was live.
    fn mark_not_live(&mut self, serial: u64) -> bool {
        let active = self.active.as_mut().filter(|watch| watch.serial == serial);
        active.is_some_and(|watch| std::mem::take(&mut watch.is_live))
    }
}

impl EngineState {
    /// Handles an event reported by a watch.
    pub(super) fn on_watch_event(&mut self, serial: u64, event: WatchEvent) {
        match event {
            WatchEvent::List(list) => self.on_list(serial, &list),
            WatchEvent::Overdue => self.on_call_overdue(serial),
            WatchEvent::Silent => self.on_watch_silent(serial),
            WatchEvent::Ended(end) if self.list_watch.is_pending(serial) => self.on_call_ended(end),
            WatchEvent::Ended(end) if self.list_watch.is_overdue(serial) => {
                self.on_overdue_call_ended(end);
            }
            WatchEvent::Ended(_) if self.list_watch.is_active(serial) => self.on_watch_ended(),
            WatchEvent::Ended(_) => {}
        }
    }

    /// Handles a list that a watch has delivered. The list is applied even if another watch has replaced this one since.
    fn on_list(&mut self, serial: u64, list: &List) {
        // Versions of this watch can't be compared with those of the discovery service that has delivered lists since.
        if serial < self.list_watch.first_comparable_serial {
            return;
        }
        let versions_restarted = self.activate_pending(serial, list);
        let received_before = self.list_watch.has_received_list.replace(true);
        let now = Instant::now();
        let freshness = &self.list_watch.freshness;
        let delivery = Delivery {
            at: freshness.delivered(now),
            now,
            complete_until: (received_before && !versions_restarted)
                .then(|| freshness.complete_until(now)),
        };
        // Only lists of the live watch show that the subscription works.
        let is_live = self.list_watch.is_live_watch(serial);
        let kind = match (is_live, list.complete) {
            (true, true) => ListKind::Complete,
            (true, false) => ListKind::Update,
            (false, true) => ListKind::Restored,
            (false, false) => ListKind::LocalChange,
        };
        if is_live {
            self.on_list_up_to_date();
        }
        self.apply_list(list, kind, delivery);
    }

    /// Makes the pending watch the active one if this is its first list. Returns whether version numbers restart with it.
    ///
    /// A discovery service that does not know the version in a call, for example after a restart, answers with its complete
    /// list. Only the first list of the pending watch is tested for that: the first list of a watch that a newer watch has
    /// replaced must not undo the newer one's changes.
    fn activate_pending(&mut self, serial: u64, list: &List) -> bool {
        let watches = &mut self.list_watch;
        let Some(from_version) = watches.activate(serial) else {
            return false;
        };
        let has_moved = std::mem::take(&mut watches.awaits_moved_discovery);
        let versions_restarted = has_moved || list.complete && list.revision < from_version;
        if versions_restarted {
            watches.first_comparable_serial = serial;
            self.upstreams.restart_versions();
            if let Some(cluster) = &self.cluster {
                cluster.report_endpoint_list(EndpointListEvent::VersionsReset);
            }
        }
        versions_restarted
    }

    /// Handles a list of the live watch, after which no change is missing.
    fn on_list_up_to_date(&mut self) {
        self.list_watch.call_timeout = CallTimeout::default();
        self.list_watch.freshness.mark_confirmed();
        if std::mem::take(&mut self.list_watch.is_expired) {
            tracing::info!("endpoint list is up to date again");
        }
    }

    /// Handles a watch that has sent nothing, not even a heartbeat, for [`discovery::SILENCE_TIMEOUT`].
    fn on_watch_silent(&mut self, serial: u64) {
        if !self.list_watch.mark_not_live(serial) {
            return;
        }
        let now = Instant::now();
        let silent_since = now.checked_sub(discovery::SILENCE_TIMEOUT).unwrap_or(now);
        self.list_watch.freshness.watch_silent(silent_since);
        if self.list_watch.pending.is_none() {
            self.on_no_live_watch(None);
        }
    }

    /// Handles the end of the active watch. If the watch was silent before, its loss was handled then.
    fn on_watch_ended(&mut self) {
        let was_live = self.list_watch.active.take().is_some_and(|watch| watch.is_live);
        if was_live {
            self.list_watch.freshness.watch_ended(Instant::now());
        }
        if was_live && self.list_watch.pending.is_none() {
            self.on_no_live_watch(None);
        }
    }

    /// Handles a call that has exceeded its timeout without a response. The oldest such call remains open.
    fn on_call_overdue(&mut self, serial: u64) {
        let watches = &mut self.list_watch;
        if !watches.is_pending(serial) {
            return;
        }
        if watches.overdue.is_some() {
            return self.on_call_ended(WatchEnd::Unanswered);
        }
        let Some(call) = watches.pending.take() else { return };
        let opened_at = call.opened_at;
        watches.overdue = Some(call);
        self.on_call_failed(opened_at, WatchEnd::Unanswered);
    }

    /// Handles the end of the call that had exceeded its timeout. Its successor was scheduled then.
    fn on_overdue_call_ended(&mut self, end: WatchEnd) {
        let Some(call) = self.list_watch.overdue.take() else { return };
        self.record_call_end(call.opened_at, end);
    }

    /// Handles the end of a call for a watch that has delivered no list.
    fn on_call_ended(&mut self, end: WatchEnd) {
        let Some(call) = self.list_watch.pending.take() else { return };
        self.record_call_end(call.opened_at, end);
        self.on_call_failed(call.opened_at, end);
    }

    /// Records what the end of a call shows about discovery while no other watch is live.
    fn record_call_end(&mut self, opened_at: Instant, end: WatchEnd) {
        let watches = &mut self.list_watch;
        if watches.is_live() || !watches.polls_list {
            return;
        }
        watches.freshness.call_ended(end, opened_at, Instant::now());
        if let Some(at) = watches.freshness.expiry().at() {
            self.timers.arm(at, Timer::ListExpiry);
        }
    }

    /// Handles a call that was opened at `opened_at` and failed.
    fn on_call_failed(&mut self, opened_at: Instant, end: WatchEnd) {
        let watches = &mut self.list_watch;
        watches.call_timeout.call_ended(end, watches.freshness.is_overloaded());
        if watches.is_live() {
            return;
        }
        if watches.polls_list && end == WatchEnd::ListCallRejected {
            self.notify_policy(Event::ListCallRejected);
        } else {
            self.on_no_live_watch(Some(opened_at));
        }
    }

    /// Handles the state in which no watch is live and none is being opened. `failed_call_opened_at` is the start of the
    /// failed call, if a failed call is the reason.
    fn on_no_live_watch(&mut self, failed_call_opened_at: Option<Instant>) {
        if self.list_watch.polls_list {
            self.notify_policy(Event::Members { kind: ListKind::Unavailable, list: &[] });
            return;
        }
        let reopen_at =
            failed_call_opened_at.map_or_else(Instant::now, |at| at + MIN_REOPEN_INTERVAL);
        self.timers.arm(reopen_at, Timer::OpenWatch);
    }

    /// Notifies the decision module once the list has expired, so that it stops sending. Called before every event that
    /// could lead to a send.
    pub(super) fn check_list_expiry(&mut self) {
        let watches = &mut self.list_watch;
        if watches.is_expired || !watches.freshness.expiry().is_over(Instant::now()) {
            return;
        }
        watches.is_expired = true;
        self.ready.set(false);
        tracing::warn!("endpoint list expired, requests are rejected");
        self.notify_policy(Event::ListExpired);
    }

    /// Calls discovery because another balancer has a newer list, at most once per [`MIN_REFRESH_INTERVAL`] in case
    /// discovery lags behind.
    pub(super) fn refresh_list(&mut self) {
        if self.list_watch.pending.is_some() {
            return;
        }
        let now = Instant::now();
        let last_refresh = self.list_watch.last_refresh;
        if last_refresh.is_some_and(|at| now < at + MIN_REFRESH_INTERVAL) {
            return;
        }
        self.list_watch.last_refresh = Some(now);
        self.open_watch();
    }

    /// Switches to another address of discovery. Upstreams, their connections and their learned estimates are retained.
    pub(super) fn on_discovery_moved(&mut self, discovery: SocketAddr) {
        let watches = &mut self.list_watch;
        if watches.discovery == discovery {
            tracing::info!(%discovery, "discovery address unchanged");
            return;
        }
        tracing::info!(%discovery, "discovery address changed");
        watches.discovery = discovery;
        // Lists from the old address remain valid until the new address has delivered a list.
        watches.awaits_moved_discovery = true;
        if let Some(active) = &mut watches.active {
            active.is_live = false;
        }
        watches.freshness.mark_unconfirmed(Instant::now());
        watches.pending = None;
        watches.overdue = None;
        self.open_watch();
    }

    /// Opens a watch, unless one is being opened.
    ///
    /// A pending watch is never replaced by a new one, since the list that it waits for would be lost.
    pub(super) fn open_watch(&mut self) {
        let watches = &mut self.list_watch;
        if watches.pending.is_some() {
            return;
        }
        watches.last_serial += 1;
        let serial = watches.last_serial;
        // A discovery service at another address may number its versions differently. A call from version 0 returns the
        // complete list.
        let from_version = if watches.awaits_moved_discovery { 0 } else { watches.revision };
        let events = self.events.clone();
        let report = move |event| drop(events.send(EngineEvent::Watch { serial, event }));
        let watch = discovery::watch(
            self.network.clone(),
            watches.discovery,
            from_version,
            watches.call_timeout.current(),
            report,
        );
        watches.pending = Some(Watch {
            serial,
            from_version,
            opened_at: Instant::now(),
            is_live: true,
            _task: AbortOnDrop(tokio::task::spawn_local(watch)),
        });
    }
}
