//! Tracks the state of clients' connections, enforces their timeouts, and selects the connection to evict when no slot is
//! free for the next. The module `clients` serves the connections.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::closing::{CloseMode, CloseReason};
use crate::stream::Traffic;

/// How long after connecting a client may take to start its first head, and how long after its first byte a head may take
/// to be complete. With the time for a body, this stays below the 3 s within which a client that stops halfway must get a
/// response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection that served a request within this time is not evicted.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// How long after connecting a client may take to send its first bytes, if its connection is to be closed otherwise. Clients
/// send a request right away.
pub const FIRST_BYTES_TIME: Duration = Duration::from_millis(100);
/// A connection may be evicted whose head is incomplete for this time, or on which nothing of a body came for this time.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(250);
/// A client that reads nothing of a streamed response for this time counts as gone. Its connection would also keep an
/// upstream's connection in use.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of one connection.
pub struct Connection {
    traffic: Traffic,
    state: Cell<State>,
    /// Whether a response has announced that the connection closes after it.
    is_close_announced: Cell<bool>,
    /// Wakes the connection's task after an eviction. The state tells whether the eviction still holds.
    eviction_changed: Notify,
}

#[derive(Clone, Copy)]
enum State {
    /// No request was received yet. The client is silent since `since`; `head_begun` is when the first head began.
    New { since: Instant, head_begun: Option<Instant> },
    /// The body of a request is being received, which must be complete before the request is forwarded.
    ReceivingBody,
    /// A request is open.
    RequestOpen,
    /// A long response is being streamed; `written` bytes were written at `since`.
    Streaming { since: Instant, written: u64 },
    /// The last request was answered at `since`, with `read` bytes read by then. `head_begun` is when the next head began.
    Idle { since: Instant, read: u64, head_begun: Option<Instant> },
    /// The connection is only read to its end, so that a reset does not destroy the last response.
    Closing { since: Instant },
    /// The connection was evicted. `request_begun` is whether a part of the next request was read.
    Evicted { request_begun: bool },
}

/// The order of eviction: connections without a request precede idle ones, and in each group the longest waiting is first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    has_served: bool,
    since: Instant,
}

impl Connection {
    /// Records that a request has arrived.
    pub fn start_request(&self) {
        self.state.set(State::RequestOpen);
    }

    /// Records that the open request is forwarded only once its body is complete.
    pub fn start_body(&self) {
        self.state.set(State::ReceivingBody);
    }

    /// Records that the request's body is complete or will be streamed. Cancels an eviction that was not noticed yet.
    pub fn finish_body(&self) {
        self.state.set(State::RequestOpen);
    }

    /// Records that a response announces the close of the connection.
    pub fn announce_close(&self) {
        self.is_close_announced.set(true);
    }

    /// Determines how to close the connection in its current state for this reason.
    pub fn close_mode(&self, reason: CloseReason) -> CloseMode {
        let is_answering =
            self.is_request_open() || matches!(self.state.get(), State::Streaming { .. });
        let is_exchange_over = is_answering || reason == CloseReason::ExchangeOver;
        match (self.has_begun_request(), is_exchange_over || self.is_close_announced.get()) {
            (false, false) => CloseMode::Idle,
            (true, false) if !self.traffic.is_write_blocked() => CloseMode::UnfinishedRequest,
            _ => CloseMode::AfterResponse,
        }
    }

    /// Records that this side is closing the connection.
    pub fn start_closing(&self) {
        self.state.set(State::Closing { since: Instant::now() });
    }

    /// Whether no request was received yet.
    pub fn is_new(&self) -> bool {
        matches!(self.state.get(), State::New { .. })
    }

    /// Whether a part of the next request was read, which is not complete.
    fn has_begun_request(&self) -> bool {
        match self.state.get() {
            State::New { .. } => self.traffic.bytes_read() > 0,
            State::Idle { read, .. } => self.traffic.bytes_read() > read,
            State::Evicted { request_begun } => request_begun,
            State::ReceivingBody => true,
            State::RequestOpen | State::Streaming { .. } | State::Closing { .. } => false,
        }
    }

    /// Whether the connection was evicted.
    pub fn is_evicted(&self) -> bool {
        matches!(self.state.get(), State::Evicted { .. })
    }

    /// Whether a request is open and its response has not begun.
    pub fn is_request_open(&self) -> bool {
        matches!(self.state.get(), State::ReceivingBody | State::RequestOpen)
    }

    /// Whether a request is open, or was answered so that another may follow.
    fn is_in_use(&self) -> bool {
        self.is_request_open()
            || matches!(self.state.get(), State::Streaming { .. } | State::Idle { .. })
    }

    /// Returns when the connection times out in its current state. Records the traffic since the last call.
    fn update_deadline(&self) -> Option<Instant> {
        match self.state.get() {
            State::New { since, head_begun } => {
                if self.traffic.bytes_read() == 0 {
                    return Some(since + HEAD_TIMEOUT);
                }
                let head_begun = head_begun.unwrap_or_else(|| self.traffic.received_at());
                self.state.set(State::New { since, head_begun: Some(head_begun) });
                Some(head_begun + HEAD_TIMEOUT)
            }
            State::ReceivingBody
            | State::RequestOpen
            | State::Closing { .. }
            | State::Evicted { .. } => None,
            State::Streaming { since, written } => {
                let written_now = self.traffic.bytes_written();
                if written_now == written {
                    return Some(since + CLIENT_STALL_TIMEOUT);
                }
                let since = Instant::now();
                self.state.set(State::Streaming { since, written: written_now });
                Some(since + CLIENT_STALL_TIMEOUT)
            }
            State::Idle { since, read, head_begun } => {
                if self.traffic.bytes_read() == read {
                    return Some(since + IDLE_TIMEOUT);
                }
                let head_begun = head_begun.unwrap_or_else(|| self.traffic.received_at());
                self.state.set(State::Idle { since, read, head_begun: Some(head_begun) });
                Some(head_begun + HEAD_TIMEOUT)
            }
        }
    }

    /// Since when the connection is idle, if its response is written and the next head has not begun.
    ///
    /// Closing an idle connection costs the client no request: a request that crosses with the close is sent again.
    fn idle_since(&self) -> Option<Instant> {
        let State::Idle { since, read, .. } = self.state.get() else { return None };
        let is_idle = self.traffic.bytes_read() == read && !self.traffic.is_write_blocked();
        is_idle.then_some(since)
    }

    /// Returns the connection's rank in the order of eviction, if it may be evicted now.
    fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let silent_since = |since| EvictionRank { has_served: false, since };
        let (rank, min_time) = match self.state.get() {
            State::Closing { since } => (silent_since(since), MIN_SILENCE_BEFORE_EVICTION),
            State::New { since, .. } if self.traffic.bytes_read() == 0 => {
                (silent_since(since), FIRST_BYTES_TIME)
            }
            State::New { head_begun, .. } => {
                (silent_since(head_begun.unwrap_or(now)), MIN_SILENCE_BEFORE_EVICTION)
            }
            State::ReceivingBody => {
                (silent_since(self.traffic.received_at()), MIN_SILENCE_BEFORE_EVICTION)
            }
            State::Idle { head_begun: Some(begun), .. } => {
                (silent_since(begun), MIN_SILENCE_BEFORE_EVICTION)
            }
            State::Idle { .. } => {
                let rank = EvictionRank { has_served: true, since: self.idle_since()? };
                (rank, MIN_IDLE_BEFORE_EVICTION)
            }
            State::RequestOpen | State::Streaming { .. } | State::Evicted { .. } => return None,
        };
        (now >= rank.since + min_time).then_some(rank)
    }

    /// Whether bytes of the next request may have arrived that were not read yet.
    fn has_unread_request(&self) -> bool {
        !matches!(self.state.get(), State::Closing { .. }) && self.traffic.has_unread_bytes()
    }

    fn evict(&self) {
        self.state.set(State::Evicted { request_begun: self.has_begun_request() });
        self.eviction_changed.notify_one();
    }

    /// Completes once the connection is evicted, for each caller. A request that arrives before the eviction is noticed
    /// cancels it.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.eviction_changed.notified().await;
        }
    }

    /// Completes once the connection has timed out or is evicted. The connection's own task has to poll this after any
    /// traffic.
    pub async fn overdue(&self) {
        let mut timer = pin!(sleep_until(Instant::now()));
        let is_overdue = poll_fn(|cx| {
            while let Some(deadline) = self.update_deadline() {
                if timer.deadline() != deadline {
                    timer.as_mut().reset(deadline);
                }
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                if self.update_deadline().is_some_and(|deadline| deadline <= Instant::now()) {
                    return Poll::Ready(());
                }
            }
            Poll::Pending
        });
        tokio::select! {
            biased;
            () = is_overdue => {}
            () = self.evicted() => {}
        }
    }
}

/// All open connections, up to a limit.
pub struct Connections {
    open: RefCell<FxHashMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    max_open: usize,
    /// The number of connections in use above which idle connections are closed.
    max_in_use_with_idle: usize,
}

/// The slot of a connection. Dropping it frees the slot.
pub struct ConnectionSlot(Slot);

#[derive(Clone)]
struct Slot {
    connection: Rc<Connection>,
    connections: Rc<Connections>,
    id: u64,
}

/// A response that is being streamed. Dropping the guard ends the response's request.
pub struct StreamingGuard(Slot);

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        if matches!(self.0.connection.state.get(), State::Streaming { .. }) {
            self.0.finish_request();
        }
    }
}

impl ConnectionSlot {
    /// Returns the connection in this slot.
    pub fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// Returns a shared reference to the connection in this slot.
    pub fn share_connection(&self) -> Rc<Connection> {
        self.0.connection.clone()
    }

    /// Returns the id of the connection, for the log.
    pub fn id(&self) -> u64 {
        self.0.id
    }

    /// Records that the request was answered.
    pub fn finish_request(&self) {
        self.0.finish_request();
    }

    /// Records that a streamed response has begun. The request stays open until the guard is dropped, so that the connection
    /// does not count as idle meanwhile.
    pub fn start_streaming(&self) -> StreamingGuard {
        let written = self.0.connection.traffic.bytes_written();
        self.0.connection.state.set(State::Streaming { since: Instant::now(), written });
        StreamingGuard(self.0.clone())
    }
}

impl Slot {
    /// Records that the request was answered, and evicts the longest idle connection if many are in use: clients that send
    /// one request and keep their connection open would soon use up all slots.
    fn finish_request(&self) {
        let read = self.connection.traffic.bytes_read();
        self.connection.state.set(State::Idle { since: Instant::now(), read, head_begun: None });
        if !self.connections.are_many_in_use() {
            return;
        }
        let open = self.connections.open.borrow();
        // This connection is excluded, since its response is not written yet.
        let others = open.iter().filter(|(id, _)| **id != self.id);
        let idle = others.filter_map(|(_, other)| Some((other.idle_since()?, other)));
        if let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) {
            longest_idle.evict();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        tracing::debug!(connection = self.0.id, "connection closed");
        self.0.connections.open.borrow_mut().remove(&self.0.id);
    }
}

impl Connections {
    /// Creates an empty table for at most `max_open` connections. Idle connections are closed while more than
    /// `max_in_use_with_idle` are in use.
    pub fn new(max_open: usize, max_in_use_with_idle: usize) -> Rc<Self> {
        Rc::new(Self {
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_open,
            max_in_use_with_idle,
        })
    }

    /// Counts the open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether a long response is being streamed to any client.
    pub fn any_streaming(&self) -> bool {
        let is_streaming =
            |connection: &Rc<Connection>| matches!(connection.state.get(), State::Streaming { .. });
        self.open.borrow().values().any(is_streaming)
    }

    /// Whether all slots are in use.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_open
    }

    fn are_many_in_use(&self) -> bool {
        let open = self.open.borrow();
        open.len() > self.max_in_use_with_idle
            && open.values().filter(|connection| connection.is_in_use()).count()
                > self.max_in_use_with_idle
    }

    /// Allocates a slot for a new connection, whose client may have been silent since `silent_since`.
    pub fn open(self: &Rc<Self>, traffic: Traffic, silent_since: Instant) -> ConnectionSlot {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(Connection {
            traffic,
            state: Cell::new(State::New { since: silent_since, head_begun: None }),
            is_close_announced: Cell::new(false),
            eviction_changed: Notify::new(),
        });
        self.open.borrow_mut().insert(id, connection.clone());
        ConnectionSlot(Slot { connection, connections: self.clone(), id })
    }

    /// Evicts one connection without an open request: the one that has sent no request for longest, otherwise the longest
    /// idle one. Silent connections must not block all other clients. Returns whether a slot will be free once the tasks of
    /// the connections have run.
    pub fn evict(&self) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        if open.values().any(|connection| connection.is_evicted()) {
            return true;
        }
        let mut candidates: Vec<(EvictionRank, &Rc<Connection>)> = Vec::new();
        for connection in open.values() {
            if let Some(rank) = connection.eviction_rank(now) {
                candidates.push((rank, connection));
            }
        }
        candidates.sort_unstable_by_key(|(rank, _)| *rank);
        // The kernel is asked for unread bytes only until one connection has none.
        let evicted = candidates.iter().find(|(_, connection)| !connection.has_unread_request());
        if let Some((_, connection)) = evicted {
            connection.evict();
        }
        evicted.is_some()
    }
}

#[cfg(test)]
mod tests;
