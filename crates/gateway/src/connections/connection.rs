//! The state of one client connection: which request is open on it, when it times out, and whether it may be evicted.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::closing::{CloseMode, CloseReason, RESET_DELAY};
use crate::stream::Traffic;

/// How long after connecting a client may take to start its first head, and how long after its first byte a head may take
/// to be complete. With the time for a body, this stays below the 3 s within which a client that stops halfway must get a
/// response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long an idle connection stays open.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection that served a request within this time is not evicted.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// How long after connecting a client may take to send its first bytes, if its connection is to be closed otherwise. Clients
/// send a request right away.
pub const FIRST_BYTES_TIME: Duration = Duration::from_millis(100);
/// A connection may be evicted whose head is incomplete for this time, on which nothing of a body came for this time, or whose
/// client goes on sending for this time behind its last response.
pub(super) const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(250);
/// A client that reads nothing of a streamed response for this time counts as gone. Its connection would also keep an
/// upstream's connection in use.
pub(super) const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

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
pub(super) struct EvictionRank {
    has_served: bool,
    since: Instant,
}

impl Connection {
    /// Creates the state of a connection whose client may have been silent since `silent_since`.
    pub(super) fn new(traffic: Traffic, silent_since: Instant) -> Self {
        Self {
            traffic,
            state: Cell::new(State::New { since: silent_since, head_begun: None }),
            is_close_announced: Cell::new(false),
            eviction_changed: Notify::new(),
        }
    }

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

    /// Records that the request was answered.
    pub(super) fn finish_request(&self) {
        let read = self.traffic.bytes_read();
        self.state.set(State::Idle { since: Instant::now(), read, head_begun: None });
    }

    /// Records that a streamed response has begun.
    pub(super) fn start_streaming(&self) {
        let written = self.traffic.bytes_written();
        self.state.set(State::Streaming { since: Instant::now(), written });
    }

    /// Records that a response announces the close of the connection.
    pub fn announce_close(&self) {
        self.is_close_announced.set(true);
    }

    /// Determines how to close the connection in its current state for this reason.
    pub fn close_mode(&self, reason: CloseReason) -> CloseMode {
        let is_answering = self.is_request_open() || self.is_streaming();
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

    /// Whether a long response is being streamed.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state.get(), State::Streaming { .. })
    }

    /// Whether a request is open and its response has not begun.
    pub fn is_request_open(&self) -> bool {
        matches!(self.state.get(), State::ReceivingBody | State::RequestOpen)
    }

    /// Whether a body is being received that must be complete before its request is forwarded.
    pub fn is_receiving_body(&self) -> bool {
        matches!(self.state.get(), State::ReceivingBody)
    }

    /// Whether a request is open, or was answered so that another may follow.
    pub(super) fn is_in_use(&self) -> bool {
        self.is_request_open()
            || self.is_streaming()
            || matches!(self.state.get(), State::Idle { .. })
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
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let State::Idle { since, read, .. } = self.state.get() else { return None };
        let is_idle = self.traffic.bytes_read() == read && !self.traffic.is_write_blocked();
        is_idle.then_some(since)
    }

    /// Returns the connection's rank in the order of eviction, if it may be evicted now.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let silent_since = |since| EvictionRank { has_served: false, since };
        let (rank, min_time) = match self.state.get() {
            State::Closing { since } => (silent_since(since), RESET_DELAY),
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

    /// Whether the client is sending: bytes of its next request that were not read yet, or bytes behind the last response. A
    /// reset in answer to the latter could destroy that response.
    pub(super) fn is_receiving(&self, now: Instant) -> bool {
        match self.state.get() {
            State::Closing { since } => {
                let is_recent = |wait| wait < RESET_DELAY;
                now < since + MIN_SILENCE_BEFORE_EVICTION
                    && self.traffic.since_last_bytes().is_some_and(is_recent)
            }
            _ => self.traffic.has_unread_bytes(),
        }
    }

    pub(super) fn evict(&self) {
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
