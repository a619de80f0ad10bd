//! Clients' connections: what each of them is doing, how long it may go on like that, and which one gives way when there is
//! no slot for the next. Serving them is left to `clients`.

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

/// How long after the connection came up its first head may begin, and how long after its first byte a head must be
/// complete. With the time for a body it stays under the 3 s within which a client that stops halfway is owed a response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long an idle connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection that served a request within this time does not give way.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// A connection that sends no complete head for so long may give way: clients send a request right away.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(250);
/// A client that takes nothing of a streamed response for so long has gone. It would hold an upstream's connection too.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What is known of one connection.
pub struct Connection {
    traffic: Traffic,
    state: Cell<State>,
    /// Whether a response told the client that the connection closes behind it.
    is_close_announced: Cell<bool>,
    evicted: Notify,
}

#[derive(Clone, Copy)]
enum State {
    /// No request came yet. `head_begun` is when the first head began.
    New { since: Instant, head_begun: Option<Instant> },
    /// A request is open.
    RequestOpen,
    /// A long response is being streamed; `written` bytes were written at `since`.
    Streaming { since: Instant, written: u64 },
    /// The last response was given at `since`, with `read` bytes read by then. `head_begun` is when the next head began.
    Idle { since: Instant, read: u64, head_begun: Option<Instant> },
    /// Only read to its end, so that the last response is not lost to a reset.
    Closing { since: Instant },
    /// Told to give way. `head_begun` is whether the next head had begun.
    Evicted { head_begun: bool },
}

/// The order in which connections give way: first those without a request, then by how long they have been like that.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    has_served: bool,
    since: Instant,
}

impl Connection {
    /// Notes that a request has come.
    pub fn start_request(&self) {
        self.state.set(State::RequestOpen);
    }

    /// Notes that a response tells the client that the connection closes.
    pub fn announce_close(&self) {
        self.is_close_announced.set(true);
    }

    /// How the connection is to be closed for this reason, as things stand.
    pub fn close_mode(&self, reason: CloseReason) -> CloseMode {
        let is_answering = matches!(self.state.get(), State::RequestOpen | State::Streaming { .. });
        let is_exchange_over = is_answering || reason == CloseReason::ExchangeOver;
        match (self.has_begun_head(), is_exchange_over || self.is_close_announced.get()) {
            (false, false) => CloseMode::Idle,
            (true, false) if !self.traffic.is_write_blocked() => CloseMode::UnfinishedHead,
            _ => CloseMode::AfterResponse,
        }
    }

    /// Notes that the connection is being closed from this side.
    pub fn start_closing(&self) {
        self.state.set(State::Closing { since: Instant::now() });
    }

    /// Whether no request came yet.
    pub fn is_new(&self) -> bool {
        matches!(self.state.get(), State::New { .. })
    }

    /// Whether a part of the next request's head was read.
    pub fn has_begun_head(&self) -> bool {
        match self.state.get() {
            State::New { .. } => self.traffic.bytes_read() > 0,
            State::Idle { read, .. } => self.traffic.bytes_read() > read,
            State::Evicted { head_begun } => head_begun,
            State::RequestOpen | State::Streaming { .. } | State::Closing { .. } => false,
        }
    }

    /// Whether the connection was told to give way.
    pub fn is_evicted(&self) -> bool {
        matches!(self.state.get(), State::Evicted { .. })
    }

    /// Whether a request is open and its response has not begun.
    pub fn is_request_open(&self) -> bool {
        matches!(self.state.get(), State::RequestOpen)
    }

    /// Whether a request is open, or was answered and may be followed by another.
    fn is_in_use(&self) -> bool {
        let state = self.state.get();
        matches!(state, State::RequestOpen | State::Streaming { .. } | State::Idle { .. })
    }

    /// When the connection is overdue, as things stand. Notes what has passed on it since the last call.
    fn update_deadline(&self) -> Option<Instant> {
        match self.state.get() {
            State::New { since, head_begun } => {
                if self.traffic.bytes_read() == 0 {
                    return Some(since + HEAD_TIMEOUT);
                }
                let head_begun = head_begun.unwrap_or_else(Instant::now);
                self.state.set(State::New { since, head_begun: Some(head_begun) });
                Some(head_begun + HEAD_TIMEOUT)
            }
            State::RequestOpen | State::Closing { .. } | State::Evicted { .. } => None,
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
                let head_begun = head_begun.unwrap_or_else(Instant::now);
                self.state.set(State::Idle { since, read, head_begun: Some(head_begun) });
                Some(head_begun + HEAD_TIMEOUT)
            }
        }
    }

    /// Since when the connection is idle, if its response is written and the next head has not begun.
    ///
    /// Closing it then costs the client no request: one that crosses with the close is sent once more.
    fn idle_since(&self) -> Option<Instant> {
        let State::Idle { since, read, .. } = self.state.get() else { return None };
        let is_idle = self.traffic.bytes_read() == read && !self.traffic.is_write_blocked();
        is_idle.then_some(since)
    }

    /// The connection's place in the order of eviction, if it may give way by now.
    fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let silent_since = |since| EvictionRank { has_served: false, since };
        let (rank, min_time) = match self.state.get() {
            State::Closing { since } => (silent_since(since), MIN_SILENCE_BEFORE_EVICTION),
            State::New { since, head_begun } => {
                (silent_since(head_begun.unwrap_or(since)), MIN_SILENCE_BEFORE_EVICTION)
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

    fn evict(&self) {
        self.state.set(State::Evicted { head_begun: self.has_begun_head() });
        self.evicted.notify_one();
    }

    /// Ends once the connection has to give way. A request that comes between the eviction and its being noticed keeps the
    /// connection.
    pub async fn evicted(&self) {
        loop {
            self.evicted.notified().await;
            if matches!(self.state.get(), State::Evicted { .. } | State::Closing { .. }) {
                return;
            }
        }
    }

    /// Ends once the connection is overdue or has to give way. To be polled by the connection's own task, whenever
    /// something has passed on it.
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

/// All connections, up to a limit.
pub struct Connections {
    open: RefCell<FxHashMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    max_open: usize,
    /// The number of connections in use above which idle ones are closed.
    max_in_use_with_idle: usize,
}

/// The slot that a connection takes until it is dropped.
pub struct ConnectionSlot(Slot);

#[derive(Clone)]
struct Slot {
    connection: Rc<Connection>,
    connections: Rc<Connections>,
    id: u64,
}

/// A response that is being streamed. Its request is over when it is dropped.
pub struct StreamingGuard(Slot);

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        if matches!(self.0.connection.state.get(), State::Streaming { .. }) {
            self.0.finish_request();
        }
    }
}

impl ConnectionSlot {
    /// The connection in this slot.
    pub fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// The number of the connection, for the log.
    pub fn id(&self) -> u64 {
        self.0.id
    }

    /// Notes that the request was answered.
    pub fn finish_request(&self) {
        self.0.finish_request();
    }

    /// Notes that a long response has begun. The request is open until the guard is dropped, so that the connection does not
    /// count as idle meanwhile.
    pub fn start_streaming(&self) -> StreamingGuard {
        let written = self.0.connection.traffic.bytes_written();
        self.0.connection.state.set(State::Streaming { since: Instant::now(), written });
        StreamingGuard(self.0.clone())
    }
}

impl Slot {
    /// Notes that the request was answered, and closes the connection that has been idle for longest if many are in use:
    /// clients that send one request and keep their connection would soon have all that they may open.
    fn finish_request(&self) {
        let read = self.connection.traffic.bytes_read();
        self.connection.state.set(State::Idle { since: Instant::now(), read, head_begun: None });
        if !self.connections.are_many_in_use() {
            return;
        }
        let open = self.connections.open.borrow();
        // Not this one: its response is yet to be written.
        let others = open.iter().filter(|(id, _)| **id != self.id);
        let idle = others.filter_map(|(_, other)| Some((other.idle_since()?, other)));
        if let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) {
            longest_idle.evict();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.connections.open.borrow_mut().remove(&self.0.id);
    }
}

impl Connections {
    /// No connections yet, and at most `max_open`. Idle ones are closed while more than `max_in_use_with_idle` are in use.
    pub fn new(max_open: usize, max_in_use_with_idle: usize) -> Rc<Self> {
        Rc::new(Self {
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_open,
            max_in_use_with_idle,
        })
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether a long response is being streamed to any client.
    pub fn any_streaming(&self) -> bool {
        let is_streaming =
            |connection: &Rc<Connection>| matches!(connection.state.get(), State::Streaming { .. });
        self.open.borrow().values().any(is_streaming)
    }

    /// Whether all slots are taken.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_open
    }

    fn are_many_in_use(&self) -> bool {
        let open = self.open.borrow();
        open.len() > self.max_in_use_with_idle
            && open.values().filter(|connection| connection.is_in_use()).count()
                > self.max_in_use_with_idle
    }

    /// Gives a slot to a new connection.
    pub fn open(self: &Rc<Self>, traffic: Traffic) -> ConnectionSlot {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(Connection {
            traffic,
            state: Cell::new(State::New { since: Instant::now(), head_begun: None }),
            is_close_announced: Cell::new(false),
            evicted: Notify::new(),
        });
        self.open.borrow_mut().insert(id, connection.clone());
        ConnectionSlot(Slot { connection, connections: self.clone(), id })
    }

    /// Tells a connection that has no request open to give way: the one that has sent no request for longest, else the one
    /// that has been idle for longest. Silent connections must not keep every other client out.
    pub fn evict(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let candidates = open
            .values()
            .filter_map(|connection| Some((connection.eviction_rank(now)?, connection)));
        if let Some((_, first)) = candidates.min_by_key(|(rank, _)| *rank) {
            first.evict();
        }
    }
}

#[cfg(test)]
mod tests;
