//! The engine's watches on the endpoint list: opening them, what their reports and their end mean, and whether the list has
//! expired. Applying a list is left to `endpoint_list`, and the protocol of a watch to `discovery`.

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

/// How often discovery is called at most because other balancers have a newer list. All balancers share the cost of calls.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// The least time between two calls for a pushed list. The agent that pushes it runs on this machine and answers at no
/// cost, but one that ends each watch at once must not be called without pause.
const MIN_REOPEN_INTERVAL: Duration = Duration::from_millis(100);

/// A watch on the endpoint list, or the call for one.
struct Watch {
    /// Tells it from earlier watches.
    serial: u64,
    /// The version whose successors were asked for.
    from_version: u64,
    opened_at: Instant,
    /// Whether it delivers every change that discovery has, as far as is known.
    is_live: bool,
    _task: AbortOnDrop,
}

/// What is known of the watches on the endpoint list.
pub(super) struct ListWatch {
    discovery: SocketAddr,
    /// The version of the list in hand, which watches ask to follow.
    pub(super) revision: u64,
    /// The watch that delivered the last first list. It stays until the next one has delivered its own.
    active: Option<Watch>,
    /// The watch that has delivered nothing yet.
    pending: Option<Watch>,
    last_serial: u64,
    /// The first watch whose versions can be compared with those of the list in hand.
    first_comparable_serial: u64,
    /// Whether discovery has moved and has delivered nothing from its new address: versions are still those of the old.
    awaits_moved_discovery: bool,
    /// Whether the decision module decides when to call discovery; otherwise the list is pushed.
    pub(super) polls_list: bool,
    /// Whether discovery has delivered a list since the start.
    pub(super) has_received_list: Rc<Cell<bool>>,
    pub(super) freshness: Freshness,
    /// Whether the decision module was notified that the list has expired.
    pub(super) is_expired: bool,
    call_timeout: CallTimeout,
    /// When discovery was last called because another balancer has a newer list.
    last_refresh: Option<Instant>,
}

impl ListWatch {
    /// No watch is open yet.
    pub(super) fn new(discovery: SocketAddr, polls_list: bool, freshness: Freshness) -> Self {
        Self {
            discovery,
            revision: 0,
            active: None,
            pending: None,
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

    /// Whether `serial` is the live watch.
    fn is_live_watch(&self, serial: u64) -> bool {
        self.active.as_ref().is_some_and(|watch| watch.serial == serial && watch.is_live)
    }

    fn is_active(&self, serial: u64) -> bool {
        self.active.as_ref().is_some_and(|watch| watch.serial == serial)
    }

    fn is_pending(&self, serial: u64) -> bool {
        self.pending.as_ref().is_some_and(|watch| watch.serial == serial)
    }

    /// Marks the active watch as one that may miss changes. Returns whether it was live.
    fn mark_not_live(&mut self, serial: u64) -> bool {
        let active = self.active.as_mut().filter(|watch| watch.serial == serial);
        active.is_some_and(|watch| std::mem::take(&mut watch.is_live))
    }
}

impl EngineState {
    /// Takes in a report of a watch.
    pub(super) fn on_watch_event(&mut self, serial: u64, event: WatchEvent) {
        match event {
            WatchEvent::List(list) => self.on_list(serial, &list),
            WatchEvent::Silent => self.on_watch_silent(serial),
            WatchEvent::Ended(end) if self.list_watch.is_pending(serial) => self.on_call_ended(end),
            WatchEvent::Ended(_) if self.list_watch.is_active(serial) => self.on_watch_ended(),
            WatchEvent::Ended(_) => {}
        }
    }

    /// A watch has delivered a list. The list was sent to this balancer, so it counts even if the watch was replaced since.
    fn on_list(&mut self, serial: u64, list: &List) {
        // Its versions can't be compared with those of the discovery that has delivered since.
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
        // A list from any other than the live watch says nothing of the subscription.
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

    /// Makes the pending watch the active one if this is its first list. Returns whether versions start anew with it.
    ///
    /// A discovery that numbers its versions in another way, as one does that was restarted, answers a call for what
    /// follows a version with all that it has. This is judged only for the watch that is pending: the first list of one
    /// that another has overtaken must not undo what the other has delivered.
    fn activate_pending(&mut self, serial: u64, list: &List) -> bool {
        let watches = &mut self.list_watch;
        let Some(watch) = watches.pending.take_if(|watch| watch.serial == serial) else {
            return false;
        };
        let has_moved = std::mem::take(&mut watches.awaits_moved_discovery);
        let versions_restarted = has_moved || list.complete && list.revision < watch.from_version;
        if versions_restarted {
            watches.first_comparable_serial = serial;
            self.upstreams.restart_versions();
            if let Some(cluster) = &self.cluster {
                cluster.report_endpoint_list(EndpointListEvent::VersionsReset);
            }
        }
        self.list_watch.active = Some(watch);
        versions_restarted
    }

    /// The live watch has delivered a list: no change is missing any more.
    fn on_list_up_to_date(&mut self) {
        self.list_watch.call_timeout = CallTimeout::default();
        self.list_watch.freshness.mark_confirmed();
        if std::mem::take(&mut self.list_watch.is_expired) {
            tracing::info!("endpoint list is up to date again");
        }
    }

    /// A watch has sent nothing, not even a heartbeat, for [`discovery::SILENCE_TIMEOUT`].
    fn on_watch_silent(&mut self, serial: u64) {
        if !self.list_watch.mark_not_live(serial) {
            return;
        }
        let now = Instant::now();
        let silent_since = now.checked_sub(discovery::SILENCE_TIMEOUT).unwrap_or(now);
        self.list_watch.freshness.mark_unconfirmed(silent_since);
        if self.list_watch.pending.is_none() {
            self.on_no_live_watch(None);
        }
    }

    /// The active watch has ended. Of one that was silent before, that is known already.
    fn on_watch_ended(&mut self) {
        let was_live = self.list_watch.active.take().is_some_and(|watch| watch.is_live);
        if was_live {
            self.list_watch.freshness.mark_unconfirmed(Instant::now());
        }
        if was_live && self.list_watch.pending.is_none() {
            self.on_no_live_watch(None);
        }
    }

    /// The call for a watch has ended without a list.
    fn on_call_ended(&mut self, end: WatchEnd) {
        let Some(call) = self.list_watch.pending.take() else { return };
        let is_overloaded = self.list_watch.freshness.is_overloaded();
        self.list_watch.call_timeout.call_ended(end, is_overloaded);
        if !self.list_watch.is_live() {
            self.on_call_failed(&call, end);
        }
    }

    /// A call for a watch has failed, and no other watch is live.
    fn on_call_failed(&mut self, call: &Watch, end: WatchEnd) {
        let polls_list = self.list_watch.polls_list;
        if !polls_list || end != WatchEnd::ListCallRejected {
            self.on_no_live_watch(Some(call));
        }
        if !polls_list {
            return;
        }
        self.list_watch.freshness.call_ended(end, call.opened_at, Instant::now());
        if let Some(at) = self.list_watch.freshness.expiry().at() {
            self.timers.arm(at, Timer::ListExpiry);
        }
        if end == WatchEnd::ListCallRejected {
            self.notify_policy(Event::ListCallRejected);
        }
    }

    /// No watch is live and none is being opened. `failed_call` is the call that failed, if that is the reason.
    fn on_no_live_watch(&mut self, failed_call: Option<&Watch>) {
        if self.list_watch.polls_list {
            self.notify_policy(Event::Members { kind: ListKind::Unavailable, list: &[] });
            return;
        }
        let reopen_at =
            failed_call.map_or_else(Instant::now, |call| call.opened_at + MIN_REOPEN_INTERVAL);
        self.timers.arm(reopen_at, Timer::OpenWatch);
    }

    /// Has the decision module stop sending once the list is too old. Called before every event that could lead to a send.
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

    /// Calls discovery because another balancer has a newer list, but not again and again where discovery lags behind.
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

    /// Follows discovery to another address. Upstreams, their connections and all that was learned of them stay.
    pub(super) fn on_discovery_moved(&mut self, discovery: SocketAddr) {
        let watches = &mut self.list_watch;
        if watches.discovery == discovery {
            tracing::info!(%discovery, "discovery address unchanged");
            return;
        }
        tracing::info!(%discovery, "discovery address changed");
        watches.discovery = discovery;
        // What the old address delivers counts until the new one has delivered.
        watches.awaits_moved_discovery = true;
        if let Some(active) = &mut watches.active {
            active.is_live = false;
        }
        watches.freshness.mark_unconfirmed(Instant::now());
        watches.pending = None;
        self.open_watch();
    }

    /// Opens a watch, unless one is being opened: its end is always reported, and a list that it waits for would be lost.
    pub(super) fn open_watch(&mut self) {
        let watches = &mut self.list_watch;
        if watches.pending.is_some() {
            return;
        }
        watches.last_serial += 1;
        let serial = watches.last_serial;
        // A discovery at another address may number its versions in another way. Asked for all that follows 0, it
        // delivers everything.
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
