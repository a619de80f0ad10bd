//! Simulated clients, which send a request and wait, disconnect early, send part of a request, write slowly, stay idle, or
//! pipeline two requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::ledger::{Answer, Connection, Request, SharedLedger, lock};
use crate::message::{NoMessage, read_body, read_head};
use crate::random::Random;
use crate::settings::{CLASSES, Class};

/// Longest time from the deadline to a response that still counts. Without one by then, the response is lost.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time to wait for a reset after the connection has closed.
const RESET_TIMEOUT: Duration = Duration::from_millis(1200);

/// The way in which a client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Writes the request at once and waits for the response.
    Waits,
    /// Writes the request in two pieces with a pause between them.
    WritesSlowly,
    /// Writes the request and closes the connection a moment later.
    Disconnects,
    /// Writes a part of the request, keeps the connection open for a while and closes it.
    SendsPart,
    /// Opens a connection and stays idle before the first request, until about the time at which the balancer may close
    /// it.
    IdlesBeforeFirst,
    /// Stays idle on a used connection until about the time at which the balancer may close it, then sends the request.
    Idles,
    /// Pipelines two requests in one write.
    Pipelines,
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
    pub next_number: Arc<AtomicU64>,
    /// Time after which no request starts.
    pub until: Instant,
    /// Longest pause between requests.
    pub longest_pause: Duration,
}

struct OpenConnection {
    stream: TcpStream,
    kind: Connection,
    connected: Instant,
}

impl Clients {
    /// Runs one client until the run ends.
    pub async fn run(self, mut random: Random) {
        let mut open: Option<OpenConnection> = None;
        while Instant::now() < self.until {
            sleep(random.milliseconds(1, self.longest_pause.as_millis() as u64 + 2)).await;
            let behavior = random_behavior(&mut random);
            open = self.send_next(behavior, open, &mut random).await;
        }
    }

    async fn send_next(
        &self,
        behavior: Behavior,
        open: Option<OpenConnection>,
        random: &mut Random,
    ) -> Option<OpenConnection> {
        let mut open = match (behavior, open) {
            (Behavior::IdlesBeforeFirst, _) | (_, None) => self.connect().await?,
            (_, Some(open)) => open,
        };
        match behavior {
            Behavior::IdlesBeforeFirst => {
                // The daemon requires the first byte of a head within 2.4 s of the accept.
                sleep(random.milliseconds(2380, 2420)).await;
                open.kind = Connection::NewAndRested;
            }
            Behavior::Idles if open.kind == Connection::Reused => {
                // The daemon closes connections that have been idle for 4 s.
                sleep(random.milliseconds(3980, 4020)).await;
            }
            Behavior::SendsPart => {
                let (id, text) = self.create_request(&open, random);
                // The request is never sent completely, so its record is removed.
                lock(&self.ledger).requests.remove(&id);
                let part = random.range(1, text.len() as u64) as usize;
                open.stream.write_all(&text.as_bytes()[..part]).await.ok()?;
                // The daemon must respond or close the connection within 3 s.
                let ended = timeout(Duration::from_secs(3), read_head(&mut open.stream)).await;
                if ended.is_err() {
                    let failure = format!(
                        "balancer {}: an incomplete request got neither an answer nor a close within 3 s",
                        self.balancer
                    );
                    lock(&self.ledger).daemon_failures.push(failure);
                }
                return None;
            }
            Behavior::Pipelines => return self.send_pipelined(open, random).await,
            _ => {}
        }
        let (id, text) = self.create_request(&open, random);
        if behavior == Behavior::WritesSlowly {
            let (first, rest) = text.as_bytes().split_at(text.len() / 2);
            open.stream.write_all(first).await.ok()?;
            sleep(random.milliseconds(1, 400)).await;
            if open.stream.write_all(rest).await.is_err() {
                return self.resend(&id, &text).await;
            }
        } else if open.stream.write_all(text.as_bytes()).await.is_err() {
            return self.resend(&id, &text).await;
        }
        let until = self.record_sent(&id);
        if behavior == Behavior::Disconnects {
            sleep(random.milliseconds(0, 60)).await;
            if timeout(Duration::ZERO, open.stream.readable()).await.is_err() {
                drop(open);
                self.update_request(&id, |request| request.left = Some(Instant::now()));
                return None;
            }
        }
        let (answer, is_reusable) = read_answer(&mut open.stream, until).await;
        let is_unread = answer == Answer::Reset && open.kind != Connection::New;
        if is_unread {
            return self.resend(&id, &text).await;
        }
        self.record_answer(&id, answer);
        open.kind = Connection::Reused;
        is_reusable.then_some(open)
    }

    async fn send_pipelined(
        &self,
        mut open: OpenConnection,
        random: &mut Random,
    ) -> Option<OpenConnection> {
        let (first, second) =
            (self.create_request(&open, random), self.create_request(&open, random));
        let both = format!("{}{}", first.1, second.1);
        if open.stream.write_all(both.as_bytes()).await.is_err() {
            // Neither request was read, so neither is owed a response.
            lock(&self.ledger).requests.retain(|id, _| *id != first.0 && *id != second.0);
            return None;
        }
        let until = self.record_sent(&first.0);
        let (one, is_reusable) = read_answer(&mut open.stream, until).await;
        let was_unread = one == Answer::Reset && open.kind != Connection::New;
        if was_unread {
            lock(&self.ledger).requests.retain(|id, _| *id != first.0 && *id != second.0);
            return None;
        }
        self.record_answer(&first.0, one);
        if !is_reusable {
            // A response that closes the connection means that the second request was not processed.
            lock(&self.ledger).requests.remove(&second.0);
            return None;
        }
        // The deadline of the second request starts at the response to the first.
        let until = self.record_sent(&second.0);
        let (other, is_reusable) = read_answer(&mut open.stream, until).await;
        self.record_answer(&second.0, other);
        open.kind = Connection::Reused;
        is_reusable.then_some(open)
    }

    async fn connect(&self) -> Option<OpenConnection> {
        let address = *self.address.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(address?)).await;
        let Ok(Ok(stream)) = connected else {
            sleep(Duration::from_millis(50)).await;
            return None;
        };
        let _ = stream.set_nodelay(true);
        Some(OpenConnection { stream, kind: Connection::New, connected: Instant::now() })
    }

    /// Resends a request that the balancer has not read, on a new connection.
    async fn resend(&self, id: &str, text: &str) -> Option<OpenConnection> {
        let Some(mut open) = self.connect().await else {
            self.record_answer(id, Answer::NotConnected);
            return None;
        };
        self.update_request(id, |request| {
            (request.connection, request.connected) = (Connection::New, open.connected);
        });
        if open.stream.write_all(text.as_bytes()).await.is_err() {
            self.record_answer(id, Answer::Reset);
            return None;
        }
        let until = self.record_sent(id);
        let (answer, is_reusable) = read_answer(&mut open.stream, until).await;
        self.record_answer(id, answer);
        open.kind = Connection::Reused;
        is_reusable.then_some(open)
    }

    /// Creates a random request and records it as starting now. Returns its ID and text.
    fn create_request(&self, open: &OpenConnection, random: &mut Random) -> (String, String) {
        let class = *random.pick(&CLASSES);
        let deadline_ms = *random.pick(&[150u64, 400, 900, 1500]);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("b{}-{number:06}", self.balancer);
        let text = request_text(class, &id, deadline_ms);
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
        lock(&self.ledger).requests.insert(id.clone(), request);
        (id, text)
    }

    /// Records that the last byte of a request has been written. Returns its deadline.
    fn record_sent(&self, id: &str) -> Instant {
        let now = Instant::now();
        let mut until = now;
        self.update_request(id, |request| {
            until = now + (request.until - request.sent);
            (request.sent, request.until) = (now, until);
        });
        until
    }

    fn record_answer(&self, id: &str, answer: Answer) {
        self.update_request(id, |request| request.answer = Some((Instant::now(), answer)));
    }

    fn update_request(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = lock(&self.ledger).requests.get_mut(id) {
            change(request);
        }
    }
}

fn random_behavior(random: &mut Random) -> Behavior {
    match random.range(0, 1000) {
        0..5 => Behavior::IdlesBeforeFirst,
        5..12 => Behavior::Idles,
        12..20 => Behavior::SendsPart,
        20..60 => Behavior::Disconnects,
        60..90 => Behavior::WritesSlowly,
        90..110 => Behavior::Pipelines,
        _ => Behavior::Waits,
    }
}

fn request_text(class: Class, id: &str, deadline_ms: u64) -> String {
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
async fn read_answer(stream: &mut TcpStream, until: Instant) -> (Answer, bool) {
    let head = match timeout_at(until + LATE_ANSWER_ALLOWANCE, read_head(stream)).await {
        Err(_) => return (Answer::Nothing, false),
        Ok(Ok(head)) => head,
        Ok(Err(NoMessage::Reset)) => return (Answer::Reset, false),
        Ok(Err(NoMessage::Partial)) => return (Answer::Partial, false),
        Ok(Err(NoMessage::Ended)) if is_reset(stream).await => return (Answer::Reset, false),
        Ok(Err(NoMessage::Ended)) => return (Answer::EndInOrder, false),
    };
    match timeout_at(until + LATE_ANSWER_ALLOWANCE, read_body(stream, head.length())).await {
        Ok(Ok(body)) => {
            let is_reusable = !head.header("connection").eq_ignore_ascii_case("close");
            (Answer::Whole(head.status(), String::from_utf8_lossy(&body).into_owned()), is_reusable)
        }
        Ok(Err(_)) => (Answer::Partial, false),
        Err(_) => (Answer::Nothing, false),
    }
}

/// Returns whether a reset follows the close of the connection.
async fn is_reset(stream: &TcpStream) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < RESET_TIMEOUT {
        if stream.take_error().is_ok_and(|error| error.is_some()) {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}
