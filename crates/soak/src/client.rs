//! Simulated clients, which send a request and wait, disconnect early, send half a request, write slowly, stay idle, or
//! pipeline two requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::ledger::{Answer, Connection, Request, SharedLedger, locked};
use crate::message::{NoMessage, read_body, read_head};
use crate::random::Random;
use crate::settings::{CLASSES, Class};

/// Longest time from the deadline to a response that still counts. Without one by then, the response is lost.
const LATE: Duration = Duration::from_millis(500);
/// Time to wait for a reset after the connection has closed.
const RESET_WITHIN: Duration = Duration::from_millis(1200);

/// The way in which a client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Writes the request at once and waits for the response.
    Asks,
    /// Writes the request in two pieces with a pause between them.
    WritesSlowly,
    /// Writes the request and closes the connection a moment later.
    Leaves,
    /// Writes a part of the request, keeps the connection open for a while and closes it.
    StopsHalfway,
    /// Opens a connection and stays idle before the first request, until about the time at which the balancer may close
    /// it.
    RestsFirst,
    /// Stays idle on a used connection until about the time at which the balancer may close it, then sends the request.
    Rests,
    /// Pipelines two requests in one write.
    AsksTwice,
}

/// State shared by all clients of a balancer.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Number of the balancer.
    pub balancer: usize,
    /// Address of the balancer, once it has been started.
    pub address: Arc<Mutex<Option<SocketAddr>>>,
    /// The record of the run.
    pub ledger: SharedLedger,
    /// Next number for a request ID.
    pub next: Arc<AtomicU64>,
    /// Time after which no request starts.
    pub until: Instant,
    /// Longest pause between requests.
    pub longest_pause: Duration,
}

struct Open {
    stream: TcpStream,
    kind: Connection,
    connected: Instant,
}

impl Clients {
    /// Runs one client until the run ends.
    pub async fn run(self, mut random: Random) {
        let mut open: Option<Open> = None;
        while Instant::now() < self.until {
            sleep(random.milliseconds(1, self.longest_pause.as_millis() as u64 + 2)).await;
            let habit = draw(&mut random);
            open = self.next(habit, open, &mut random).await;
        }
    }

    async fn next(&self, habit: Habit, open: Option<Open>, random: &mut Random) -> Option<Open> {
        let mut open = match (habit, open) {
            (Habit::RestsFirst, _) | (_, None) => self.connect().await?,
            (_, Some(open)) => open,
        };
        match habit {
            Habit::RestsFirst => {
                // The daemon requires the first byte of a head within 2.4 s of the accept.
                sleep(random.milliseconds(2380, 2420)).await;
                open.kind = Connection::NewAndRested;
            }
            Habit::Rests if open.kind == Connection::Reused => {
                // The daemon closes connections that have been idle for 4 s.
                sleep(random.milliseconds(3980, 4020)).await;
            }
            Habit::StopsHalfway => {
                let (id, text) = self.request(&open, random);
                // The request is never sent completely, so its record is removed.
                locked(&self.ledger).requests.remove(&id);
                let part = random.range(1, text.len() as u64) as usize;
                open.stream.write_all(&text.as_bytes()[..part]).await.ok()?;
                // The daemon must respond or close the connection within 3 s.
                let ended = timeout(Duration::from_secs(3), read_head(&mut open.stream)).await;
                if ended.is_err() {
                    let complaint =
                        format!("balancer {}: half a request is left alone", self.balancer);
                    locked(&self.ledger).complaints.push(complaint);
                }
                return None;
            }
            Habit::AsksTwice => return self.ask_twice(open, random).await,
            _ => {}
        }
        let (id, text) = self.request(&open, random);
        if habit == Habit::WritesSlowly {
            let (first, rest) = text.as_bytes().split_at(text.len() / 2);
            open.stream.write_all(first).await.ok()?;
            sleep(random.milliseconds(1, 400)).await;
            if open.stream.write_all(rest).await.is_err() {
                return self.resend(&id, &text).await;
            }
        } else if open.stream.write_all(text.as_bytes()).await.is_err() {
            return self.resend(&id, &text).await;
        }
        let until = self.sent(&id);
        if habit == Habit::Leaves {
            sleep(random.milliseconds(0, 60)).await;
            if timeout(Duration::ZERO, open.stream.readable()).await.is_err() {
                drop(open);
                self.change(&id, |request| request.left = Some(Instant::now()));
                return None;
            }
        }
        let (answer, stays) = answer(&mut open.stream, until).await;
        let is_unread = answer == Answer::Reset && open.kind != Connection::New;
        if is_unread {
            return self.resend(&id, &text).await;
        }
        self.answered(&id, answer);
        open.kind = Connection::Reused;
        stays.then_some(open)
    }

    async fn ask_twice(&self, mut open: Open, random: &mut Random) -> Option<Open> {
        let (first, second) = (self.request(&open, random), self.request(&open, random));
        let both = format!("{}{}", first.1, second.1);
        if open.stream.write_all(both.as_bytes()).await.is_err() {
            // Neither request was read, so neither is owed a response.
            locked(&self.ledger).requests.retain(|id, _| *id != first.0 && *id != second.0);
            return None;
        }
        let until = self.sent(&first.0);
        let (one, stays) = answer(&mut open.stream, until).await;
        let was_unread = one == Answer::Reset && open.kind != Connection::New;
        if was_unread {
            locked(&self.ledger).requests.retain(|id, _| *id != first.0 && *id != second.0);
            return None;
        }
        self.answered(&first.0, one);
        if !stays {
            // A response that closes the connection means that the second request was not processed.
            locked(&self.ledger).requests.remove(&second.0);
            return None;
        }
        // The deadline of the second request starts at the response to the first.
        let until = self.sent(&second.0);
        let (other, stays) = answer(&mut open.stream, until).await;
        self.answered(&second.0, other);
        open.kind = Connection::Reused;
        stays.then_some(open)
    }

    async fn connect(&self) -> Option<Open> {
        let address = *self.address.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(address?)).await;
        let Ok(Ok(stream)) = connected else {
            sleep(Duration::from_millis(50)).await;
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(Open { stream, kind: Connection::New, connected: Instant::now() })
    }

    /// Resends a request that the balancer has not read, on a new connection.
    async fn resend(&self, id: &str, text: &str) -> Option<Open> {
        let Some(mut open) = self.connect().await else {
            self.answered(id, Answer::NotConnected);
            return None;
        };
        self.change(id, |request| {
            (request.connection, request.connected) = (Connection::New, open.connected);
        });
        if open.stream.write_all(text.as_bytes()).await.is_err() {
            self.answered(id, Answer::Reset);
            return None;
        }
        let until = self.sent(id);
        let (answer, stays) = answer(&mut open.stream, until).await;
        self.answered(id, answer);
        open.kind = Connection::Reused;
        stays.then_some(open)
    }

    /// Creates a random request and records it as starting now. Returns its ID and text.
    fn request(&self, open: &Open, random: &mut Random) -> (String, String) {
        let class = *random.pick(&CLASSES);
        let deadline_ms = *random.pick(&[150u64, 400, 900, 1500]);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("b{}-{number:06}", self.balancer);
        let text = text(class, &id, deadline_ms);
        let now = Instant::now();
        let request = Request {
            class,
            balancer: self.balancer,
            connection: open.kind,
            connected: open.connected,
            sent: now,
            until: now + Duration::from_millis(deadline_ms),
            left: None,
            answer: None,
        };
        locked(&self.ledger).requests.insert(id.clone(), request);
        (id, text)
    }

    /// Records that the last byte of a request has been written. Returns its deadline.
    fn sent(&self, id: &str) -> Instant {
        let now = Instant::now();
        let mut until = now;
        self.change(id, |request| {
            until = now + (request.until - request.sent);
            (request.sent, request.until) = (now, until);
        });
        until
    }

    fn answered(&self, id: &str, answer: Answer) {
        self.change(id, |request| request.answer = Some((Instant::now(), answer)));
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = locked(&self.ledger).requests.get_mut(id) {
            change(request);
        }
    }
}

fn draw(random: &mut Random) -> Habit {
    match random.range(0, 1000) {
        0..5 => Habit::RestsFirst,
        5..12 => Habit::Rests,
        12..20 => Habit::StopsHalfway,
        20..60 => Habit::Leaves,
        60..90 => Habit::WritesSlowly,
        90..110 => Habit::AsksTwice,
        _ => Habit::Asks,
    }
}

fn text(class: Class, id: &str, deadline_ms: u64) -> String {
    let common = format!(
        "Host: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Deadline-Ms: {deadline_ms}\r\n",
        class.name()
    );
    match class {
        Class::Read => format!("GET /api HTTP/1.1\r\n{common}\r\n"),
        Class::Log => format!(
            "POST /api HTTP/1.1\r\n{common}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        Class::Alarm => format!("POST /api HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}

/// Waits for a response. Returns the result and whether the connection can be reused.
async fn answer(stream: &mut TcpStream, until: Instant) -> (Answer, bool) {
    let head = match timeout_at(until + LATE, read_head(stream)).await {
        Err(_) => return (Answer::Nothing, false),
        Ok(Ok(head)) => head,
        Ok(Err(NoMessage::Reset)) => return (Answer::Reset, false),
        Ok(Err(NoMessage::Partial)) => return (Answer::Partial, false),
        Ok(Err(NoMessage::Ended)) if is_reset(stream).await => return (Answer::Reset, false),
        Ok(Err(NoMessage::Ended)) => return (Answer::EndInOrder, false),
    };
    match timeout_at(until + LATE, read_body(stream, head.length())).await {
        Ok(Ok(body)) => {
            let stays = !head.header("connection").eq_ignore_ascii_case("close");
            (Answer::Whole(head.status(), String::from_utf8_lossy(&body).into_owned()), stays)
        }
        Ok(Err(_)) => (Answer::Partial, false),
        Err(_) => (Answer::Nothing, false),
    }
}

/// Returns whether a reset follows the close of the connection.
async fn is_reset(stream: &TcpStream) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < RESET_WITHIN {
        if stream.take_error().is_ok_and(|error| error.is_some()) {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}
