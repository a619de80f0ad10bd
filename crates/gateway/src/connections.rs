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

use crate::closing::{CloseMode, CloseReason};
use crate::stream::Traffic;

/// A head must be whole this long after its first byte, and begin this long after its connection came up. With a body's
/// own limit it stays under the 3 s within which whoever stops in the middle of a request is owed an answer.
const HEAD: Duration = Duration::from_millis(2400);
/// A kept connection is closed once it has idled for so long.
const IDLE: Duration = Duration::from_secs(4);
/// One that served a client within this time stays, as long as they are not many.
const KEPT: Duration = Duration::from_secs(2);
/// One that says nothing for this long does not come with a request: those send it right away.
const SILENT: Duration = Duration::from_millis(250);
/// A client that takes nothing of a long answer for so long has gone; it would hold an upstream's connection too.
const STALLED: Duration = Duration::from_secs(10);

/// What is known of one connection.
pub struct Connection {
    traffic: Traffic,
    state: Cell<State>,
    /// An answer told the client that the connection closes behind it.
    close_announced: Cell<bool>,
    evicted: Notify,
}

#[derive(Clone, Copy)]
enum State {
    /// Nothing was asked on it yet; and when the first head began.
    New { since: Instant, head_begun: Option<Instant> },
    /// A request is open.
    Asked,
    /// A long answer is being passed on; so many bytes were written at that time.
    Answering { since: Instant, written: u64 },
    /// Its last answer was given, with so many bytes read by then; and when the next head began.
    Kept { since: Instant, read: u64, head_begun: Option<Instant> },
    /// Only read to its end, so that the last answer is not lost to a reset.
    Closing { since: Instant },
    /// Told to give way, when the next head had begun or not.
    Evicted { head_begun: bool },
}

impl Connection {
    pub fn asked(&self) {
        self.state.set(State::Asked);
    }

    /// Notes that an answer tells the client of the connection's end.
    pub fn announce_close(&self) {
        self.close_announced.set(true);
    }

    /// How it is to be closed for this reason, as things stand.
    pub fn manner(&self, reason: CloseReason) -> CloseMode {
        let is_answering = matches!(self.state.get(), State::Asked | State::Answering { .. });
        let is_over = is_answering || reason == CloseReason::ExchangeOver;
        match (self.has_begun_head(), is_over || self.close_announced.get()) {
            (false, false) => CloseMode::Resting,
            (true, false) if !self.traffic.blocked() => CloseMode::UnfinishedHead,
            _ => CloseMode::Answered,
        }
    }

    pub fn closing(&self) {
        self.state.set(State::Closing { since: Instant::now() });
    }

    /// Whether nothing was asked on it yet.
    pub fn is_new(&self) -> bool {
        matches!(self.state.get(), State::New { .. })
    }

    /// Whether a part of a request's head has been read that follows the last answer, if there was any.
    pub fn has_begun_head(&self) -> bool {
        match self.state.get() {
            State::New { .. } => self.traffic.read() > 0,
            State::Kept { read, .. } => self.traffic.read() > read,
            State::Evicted { head_begun } => head_begun,
            State::Asked | State::Answering { .. } | State::Closing { .. } => false,
        }
    }

    /// Whether it was told to give way.
    pub fn gives_way(&self) -> bool {
        matches!(self.state.get(), State::Evicted { .. })
    }

    /// Whether a request is open, and its answer has not begun.
    pub fn is_asked(&self) -> bool {
        matches!(self.state.get(), State::Asked)
    }

    /// Whether a request was asked on it that is open, or may be followed by another.
    fn in_use(&self) -> bool {
        matches!(self.state.get(), State::Asked | State::Answering { .. } | State::Kept { .. })
    }

    /// When it has to go, as things stand.
    fn limit(&self) -> Option<Instant> {
        match self.state.get() {
            State::New { since, head_begun } => {
                if self.traffic.read() == 0 {
                    return Some(since + HEAD);
                }
                let head_begun = head_begun.unwrap_or_else(Instant::now);
                self.state.set(State::New { since, head_begun: Some(head_begun) });
                Some(head_begun + HEAD)
            }
            State::Asked | State::Closing { .. } | State::Evicted { .. } => None,
            State::Answering { since, written } => {
                let now_written = self.traffic.written();
                if now_written == written {
                    return Some(since + STALLED);
                }
                let since = Instant::now();
                self.state.set(State::Answering { since, written: now_written });
                Some(since + STALLED)
            }
            State::Kept { since, read, head_begun } => {
                if self.traffic.read() == read {
                    return Some(since + IDLE);
                }
                let head_begun = head_begun.unwrap_or_else(Instant::now);
                self.state.set(State::Kept { since, read, head_begun: Some(head_begun) });
                Some(head_begun + HEAD)
            }
        }
    }

    /// Since when nothing was asked on it, if its answer is out and the next head has not begun. Closed here,
    /// it costs its client no request: one that crosses with the close is sent once more.
    fn kept_since(&self) -> Option<Instant> {
        let State::Kept { since, read, .. } = self.state.get() else { return None };
        (self.traffic.read() == read && !self.traffic.blocked()).then_some(since)
    }

    /// Whether it has served a client, and since when it idles, if it may give way to another by now.
    fn idle_since(&self, now: Instant) -> Option<(bool, Instant)> {
        let (served, since, after) = match self.state.get() {
            State::Closing { since } => (false, since, SILENT),
            State::New { since, head_begun } => (false, head_begun.unwrap_or(since), SILENT),
            State::Kept { head_begun: Some(begun), .. } => (false, begun, SILENT),
            State::Kept { .. } => (true, self.kept_since()?, KEPT),
            State::Asked | State::Answering { .. } | State::Evicted { .. } => return None,
        };
        (now >= since + after).then_some((served, since))
    }

    fn evict(&self) {
        self.state.set(State::Evicted { head_begun: self.has_begun_head() });
        self.evicted.notify_one();
    }

    /// Ends once it is told to give way. Failure: a request that came between that word and its hearing was
    /// dropped half done.
    pub async fn evicted(&self) {
        loop {
            self.evicted.notified().await;
            if matches!(self.state.get(), State::Evicted { .. } | State::Closing { .. }) {
                return;
            }
        }
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
            biased;
            () = overdue => {}
            () = self.evicted() => {}
        }
    }
}

/// All of them, up to a limit.
pub struct Connections {
    open: RefCell<FxHashMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    most: usize,
    /// Of those in use, no more than so many while some of them idle.
    at_ease: usize,
}

/// A connection's place among them, for as long as it is held.
pub struct ConnectionSlot(Place);

#[derive(Clone)]
struct Place {
    connection: Rc<Connection>,
    all: Rc<Connections>,
    id: u64,
}

/// An answer that is being passed on. Its end is the end of the request.
pub struct Answering(Place);

impl Drop for Answering {
    fn drop(&mut self) {
        if matches!(self.0.connection.state.get(), State::Answering { .. }) {
            self.0.answered();
        }
    }
}

impl ConnectionSlot {
    pub fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// Its number, for the log.
    pub fn id(&self) -> u64 {
        self.0.id
    }

    /// Notes that its request was answered.
    pub fn answered(&self) {
        self.0.answered();
    }

    /// Notes that its answer has begun; it lasts as long as what is returned. Failure: with its request taken for
    /// answered, a long answer was cut as an idle connection is.
    pub fn answering(&self) -> Answering {
        let (since, written) = (Instant::now(), self.0.connection.traffic.written());
        self.0.connection.state.set(State::Answering { since, written });
        Answering(self.0.clone())
    }
}

impl Place {
    /// Notes that its request was answered, and lets idle ones go if there are many. Failure: clients that
    /// ask once and keep their connection soon had all that they may open, and then none to ask on.
    fn answered(&self) {
        let (since, read) = (Instant::now(), self.connection.traffic.read());
        self.connection.state.set(State::Kept { since, read, head_begun: None });
        let open = self.all.open.borrow();
        if open.len() > self.all.at_ease
            && open.values().filter(|c| c.in_use()).count() > self.all.at_ease
        {
            // Not this one: its answer is yet to be written.
            let others = open.iter().filter(|(id, _)| **id != self.id);
            let kept = others.filter_map(|(_, c)| Some((c.kept_since()?, c)));
            if let Some((_, longest)) = kept.min_by_key(|(since, _)| *since) {
                longest.evict();
            }
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.all.open.borrow_mut().remove(&self.0.id);
    }
}

impl Connections {
    pub fn new(most: usize, at_ease: usize) -> Rc<Self> {
        Rc::new(Self { open: RefCell::default(), next: Cell::new(0), most, at_ease })
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether a long answer is being passed on to anybody.
    pub fn any_answering(&self) -> bool {
        let answering = |c: &Rc<Connection>| matches!(c.state.get(), State::Answering { .. });
        self.open.borrow().values().any(answering)
    }

    pub fn full(&self) -> bool {
        self.len() >= self.most
    }

    pub fn seat(self: &Rc<Self>, traffic: Traffic) -> ConnectionSlot {
        let id = self.next.replace(self.next.get() + 1);
        let state = Cell::new(State::New { since: Instant::now(), head_begun: None });
        let connection = Rc::new(Connection {
            traffic,
            state,
            close_announced: Cell::new(false),
            evicted: Notify::new(),
        });
        self.open.borrow_mut().insert(id, connection.clone());
        ConnectionSlot(Place { connection, all: self.clone(), id })
    }

    /// Makes one give way that has no request open: what has said nothing for longest, else what has idled
    /// longest. Failure: hundreds that said nothing held all places, and kept every other client out.
    pub fn evict(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let idle = open.values().filter_map(|c| Some((c.idle_since(now)?, c)));
        if let Some((_, longest)) = idle.min_by_key(|(idle, _)| *idle) {
            longest.evict();
        }
    }
}

#[cfg(test)]
mod tests {
    use tokio::time::{advance, timeout};

    use super::*;

    async fn gone(seat: &ConnectionSlot) -> bool {
        timeout(Duration::ZERO, seat.connection().evicted()).await.is_ok()
    }

    #[tokio::test(start_paused = true)]
    async fn the_one_that_has_idled_longest_gives_way_and_none_with_an_open_request() {
        let all = Connections::new(3, 3);
        let seats: Vec<ConnectionSlot> = (0..3).map(|_| all.seat(Traffic::default())).collect();
        assert!(all.full());
        seats[0].connection().asked();
        all.evict();
        assert!(!gone(&seats[1]).await && !gone(&seats[2]).await, "they have had no time to ask");
        advance(SILENT).await;
        seats[1].answered();
        all.evict();
        assert!(gone(&seats[2]).await && !gone(&seats[1]).await && !gone(&seats[0]).await);
        drop(seats);
        assert_eq!(all.len(), 0);
    }

    #[tokio::test(start_paused = true)]
    async fn of_many_that_are_kept_the_longest_idle_go_and_the_rest_stays() {
        let all = Connections::new(100, 4);
        let mut seats = Vec::new();
        for _ in 0..10 {
            let seat = all.seat(Traffic::default());
            seat.connection().asked();
            advance(Duration::from_millis(1)).await;
            seat.answered();
            seats.push(seat);
        }
        for (i, seat) in seats.iter().enumerate() {
            assert_eq!(gone(seat).await, i < 6, "connection {i}");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_request_that_crosses_with_the_word_to_go_is_served() {
        let all = Connections::new(1, 1);
        let seat = all.seat(Traffic::default());
        seat.answered();
        advance(KEPT).await;
        all.evict();
        seat.connection().asked();
        assert!(!gone(&seat).await);
        seat.answered();
        assert!(!gone(&seat).await);
    }

    #[tokio::test(start_paused = true)]
    async fn a_long_answer_may_last_as_long_as_its_client_reads() {
        let (all, traffic) = (Connections::new(1, 1), Traffic::default());
        let seat = all.seat(traffic.clone());
        seat.connection().asked();
        let answer = seat.answering();
        let outstays = |within| timeout(within, seat.connection().outstays());
        for _ in 0..3 {
            traffic.count_written(1);
            assert!(outstays(STALLED - Duration::from_millis(1)).await.is_err(), "it still reads");
            all.evict();
            assert!(!gone(&seat).await);
        }
        assert!(outstays(Duration::from_millis(2)).await.is_ok(), "it has gone");
        assert!(all.any_answering());
        drop(answer);
        assert!(!all.any_answering());
        assert!(outstays(IDLE - Duration::from_millis(1)).await.is_err(), "kept from its end on");
        assert!(outstays(Duration::from_millis(2)).await.is_ok());
    }
}
