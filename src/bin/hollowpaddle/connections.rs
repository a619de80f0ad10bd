//! Clients' connections: what each of them does, how long it may go on like that, and which one gives way
//! when there is no descriptor left for the next.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::stream::Traffic;

/// A head must be whole this long after its connection came up, or after its first byte on a kept one. With
/// a body's own limit it stays under the 3 s within which whoever sends no whole request is owed a word.
const HEAD: Duration = Duration::from_millis(2000);
/// A kept connection is closed once it has idled for so long.
const IDLE: Duration = Duration::from_secs(4);
/// A client may count on a connection that it has used for this long.
const KEPT: Duration = Duration::from_secs(2);
/// One that says nothing for this long does not come with a request: those send it right away.
const SILENT: Duration = Duration::from_millis(250);

/// What is known of one connection.
pub struct Connection {
    traffic: Traffic,
    state: Cell<State>,
    evicted: Notify,
}

#[derive(Clone, Copy)]
enum State {
    /// Nothing was asked on it yet.
    New { since: Instant },
    /// A request is open.
    Asked,
    /// Its last answer was given, with so many bytes read by then; and when the next head began.
    Kept { since: Instant, read: u64, next: Option<Instant> },
    /// Only read to its end, so that the last answer is not lost to a reset.
    Closing,
}

impl Connection {
    pub fn asked(&self) {
        self.state.set(State::Asked);
    }

    pub fn answered(&self) {
        let (since, read) = (Instant::now(), self.traffic.read());
        self.state.set(State::Kept { since, read, next: None });
    }

    pub fn closing(&self) {
        self.state.set(State::Closing);
    }

    /// When it has to go, as things stand.
    fn limit(&self) -> Option<Instant> {
        match self.state.get() {
            State::New { since } => Some(since + HEAD),
            State::Asked | State::Closing => None,
            State::Kept { since, read, next } => {
                if self.traffic.read() == read {
                    return Some(since + IDLE);
                }
                let next = next.unwrap_or_else(Instant::now);
                self.state.set(State::Kept { since, read, next: Some(next) });
                Some(next + HEAD)
            }
        }
    }

    /// Since when it could give way to another, and may by now.
    fn idle_since(&self, now: Instant) -> Option<Instant> {
        let (since, after) = match self.state.get() {
            State::New { since } => (since, SILENT),
            State::Kept { since, .. } => (since, KEPT),
            State::Asked => return None,
            State::Closing => (now, Duration::ZERO),
        };
        (now >= since + after).then_some(since)
    }

    /// Ends when the connection has to go. To be polled whenever something has passed on it: by its own task.
    pub async fn outstays(&self) {
        let mut timer = pin!(sleep_until(Instant::now()));
        let overdue = poll_fn(|cx| {
            while let Some(at) = self.limit() {
                if timer.deadline() != at {
                    timer.as_mut().reset(at);
                }
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                if self.limit().is_some_and(|at| at <= Instant::now()) {
                    return Poll::Ready(());
                }
            }
            Poll::Pending
        });
        tokio::select! {
            () = overdue => {}
            () = self.evicted.notified() => {}
        }
    }
}

/// All of them, up to a limit.
pub struct Connections {
    open: RefCell<FxHashMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    most: usize,
}

/// A connection's place among them, for as long as it is held.
pub struct Seat {
    pub connection: Rc<Connection>,
    all: Rc<Connections>,
    id: u64,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.all.open.borrow_mut().remove(&self.id);
    }
}

impl Connections {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { open: RefCell::default(), next: Cell::new(0), most })
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn full(&self) -> bool {
        self.len() >= self.most
    }

    pub fn seat(self: &Rc<Self>, traffic: Traffic) -> Seat {
        let id = self.next.replace(self.next.get() + 1);
        let state = Cell::new(State::New { since: Instant::now() });
        let connection = Rc::new(Connection { traffic, state, evicted: Notify::new() });
        self.open.borrow_mut().insert(id, connection.clone());
        Seat { connection, all: self.clone(), id }
    }

    /// Makes one give way: of those with no request open, the one that has idled longest. Failure: hundreds
    /// that said nothing held all places, and kept every other client out.
    pub fn evict(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let idle = open.values().filter_map(|c| Some((c.idle_since(now)?, c)));
        if let Some((_, longest)) = idle.min_by_key(|(since, _)| *since) {
            longest.evicted.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_one_that_has_idled_longest_gives_way_and_none_with_an_open_request() {
        let all = Connections::new(3);
        let seats: Vec<Seat> = (0..3).map(|_| all.seat(Traffic::default())).collect();
        assert!(all.full());
        let gone = |i: usize| {
            let seat = &seats[i];
            async move {
                tokio::time::timeout(Duration::ZERO, seat.connection.evicted.notified())
                    .await
                    .is_ok()
            }
        };
        seats[0].connection.asked();
        all.evict();
        assert!(!gone(1).await && !gone(2).await, "they have had no time to ask");
        tokio::time::advance(SILENT).await;
        seats[1].connection.answered();
        all.evict();
        assert!(gone(2).await && !gone(1).await && !gone(0).await);
        drop(seats);
        assert_eq!(all.len(), 0);
    }
}
