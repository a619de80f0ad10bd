//! Stand-in clients, and the front that deals them out among the balancers of their zone.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::record::Observation;
use crate::scenario::Effect;
use crate::stage::{Stage, Who};
use crate::wire::{Ended, Exchange, Message, Side};

/// How long after its deadline a client still takes an answer: the way there and back, and a busy moment.
/// An answer later than this breaks rule 1.
pub const PATIENCE: Duration = Duration::from_millis(50);
/// A balancer whose connections don't come up within this can't be reached.
const CONNECT: Duration = Duration::from_secs(1);
/// The front asks a new balancer this often whether it is ready.
const ASK_READY: Duration = Duration::from_millis(50);
/// How long one such question may take.
const READY: Duration = Duration::from_secs(1);

/// A kept connection, and what it was opened for.
struct Kept {
    talk: Exchange,
    /// The balancer's start that accepted it.
    start: u32,
    /// The last request on it.
    last: Option<u32>,
}

/// What a client knows of its request in the end.
enum End {
    /// It was served, or its client has gone.
    Over,
    /// It never ran; when to come again, if that was said.
    NotRun { retry_after: Option<Duration> },
    /// It was not served, and may have run.
    Failed,
}

struct Door {
    address: Cell<SocketAddr>,
    taken_in: Cell<bool>,
    idle: RefCell<Vec<Kept>>,
    places: Semaphore,
}

/// All clients, and their front.
pub struct Clients {
    stage: Rc<Stage>,
    doors: Vec<Door>,
}

impl Clients {
    /// No balancer is taken in yet.
    pub fn new(stage: &Rc<Stage>) -> Rc<Self> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let door = |_| Door {
            address: Cell::new(nowhere),
            taken_in: Cell::new(false),
            idle: RefCell::default(),
            places: Semaphore::new(stage.scenario.clients.connections as usize),
        };
        let doors = (0..stage.scenario.cluster.count).map(door).collect();
        Rc::new(Self { stage: stage.clone(), doors })
    }

    /// A balancer has been started: asks whether it is ready until it is, and takes it in. Ends without that
    /// once it is no longer that start of it.
    pub async fn meet(&self, balancer: usize, address: SocketAddr, start: u32) {
        self.doors[balancer].address.set(address);
        let network = self.stage.ground.network(Who::Clients(balancer));
        while self.stage.start_of(balancer) == start {
            let asked = async {
                let mut talk = Exchange::new(network.connect(address).await.ok()?);
                let question = b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n";
                talk.write(question).await.ok()?;
                talk.message(Side::Answers).await.ok()
            };
            let answer = timeout(READY, asked).await;
            if matches!(answer, Ok(Some(m)) if m.status() == 200) {
                if self.stage.start_of(balancer) == start && !self.taken_in(balancer) {
                    self.stage.record.saw(Observation::Ready { balancer, start });
                    self.doors[balancer].taken_in.set(true);
                }
                return;
            }
            sleep(ASK_READY).await;
        }
    }

    /// The front has noticed that a balancer is gone.
    pub fn part(&self, balancer: usize) {
        self.doors[balancer].taken_in.set(false);
    }

    /// Whether the front sends to a balancer.
    pub fn taken_in(&self, balancer: usize) -> bool {
        self.doors[balancer].taken_in.get()
    }

    /// Whom the front sends a request to: one of those that it has taken in. A van's goes to its site, as long as
    /// there is one there.
    fn choose(&self, request: u32) -> Option<usize> {
        let mut all: Vec<usize> = (0..self.doors.len()).filter(|b| self.taken_in(*b)).collect();
        if let Some((_, site)) = self.stage.arrival(request).session {
            let (bank, fleet) = (&self.stage.scenario.cluster, &self.stage.scenario.fleet);
            let here = |b: &usize| bank.zone_of(*b, fleet) == site;
            if all.iter().any(here) {
                all.retain(here);
            }
        }
        let draw = self.stage.arrival(request).balancer_sample;
        (!all.is_empty()).then(|| all[(draw % all.len() as u64) as usize])
    }

    /// One client's request, from the front to its end, and its repeats.
    pub async fn ask(self: Rc<Self>, first: u32) {
        let stage = &self.stage;
        stage.open.set(stage.open.get() + 1);
        let (class, repeats) = (stage.class(first), &stage.scenario.clients.repeats);
        let until = Instant::now() + class.deadline;
        let mut request = first;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let end = match self.choose(request) {
                Some(balancer) => self.ask_at(balancer, request, left).await,
                None => self.unreachable(usize::MAX, request),
            };
            // What may have run is repeated where that does no harm.
            let harmless = match end {
                End::Over => false,
                End::NotRun { .. } => true,
                End::Failed => class.effect != Effect::Unsafe,
            };
            let Some(next) = stage.arrival(request).next_repeat.filter(|_| harmless) else { break };
            let advice = if let End::NotRun { retry_after } = end { retry_after } else { None };
            let draw = (stage.arrival(next).balancer_sample >> 32) as f64 / f64::from(u32::MAX);
            let wait = repeats.wait.mul_f64(0.5 + draw);
            let wait = advice.filter(|_| repeats.honors_retry_after).unwrap_or(wait);
            if Instant::now() + wait >= until {
                break;
            }
            sleep(wait).await;
            request = next;
        }
        stage.open.set(stage.open.get() - 1);
    }

    fn unreachable(&self, balancer: usize, request: u32) -> End {
        self.stage.record.saw(Observation::Unreachable { request, balancer });
        End::NotRun { retry_after: None }
    }

    /// Asks once; the client waits for as long as is `left`.
    async fn ask_at(&self, balancer: usize, request: u32, left: Duration) -> End {
        let stage = &self.stage;
        let door = &self.doors[balancer];
        // Its client comes once there is a connection to be had.
        let Ok(_place) = door.places.acquire().await else { return End::Over };
        let mut again = false;
        loop {
            let kept = if again { None } else { self.idle(balancer).await };
            let reused = kept.is_some();
            let kept = match kept {
                Some(kept) => Some(kept),
                None => self.connect(balancer).await,
            };
            let Some(mut kept) = kept else { return self.unreachable(balancer, request) };
            let text = stage.request_text(request, left);
            if kept.talk.write(text.as_bytes()).await.is_err() {
                if reused {
                    again = true;
                    continue; // Closed before it was sent.
                }
                return self.unreachable(balancer, request);
            }
            let start = kept.start;
            let class_index = stage.arrival(request).class;
            stage.record.saw(Observation::Sent {
                request,
                balancer,
                start,
                class: class_index,
                again,
            });
            kept.last = Some(request);
            let (sent, leaves) = (Instant::now(), stage.arrival(request).abandoned_after);
            let answer = timeout_at(sent + left + PATIENCE, async {
                tokio::select! {
                    biased;
                    answer = kept.talk.message(Side::Answers) => Some(answer),
                    () = async {
                        match leaves {
                            Some(after) => sleep_until(sent + after).await,
                            None => std::future::pending().await,
                        }
                    } => None,
                }
            });
            match answer.await {
                Err(_) => {
                    stage.record.saw(Observation::ClientTimedOut { request });
                    return End::Failed;
                }
                Ok(None) => {
                    stage.record.saw(Observation::ClientLeft { request });
                    return End::Over;
                }
                Ok(Some(Ok(message))) => {
                    let end = self.answered(request, &message);
                    if kept.talk.left_over() > 0 {
                        let bytes = kept.talk.left_over();
                        let request = Some(request);
                        stage.record.saw(Observation::Extra { balancer, request, bytes });
                    } else if !message.closes() {
                        door.idle.borrow_mut().push(kept);
                    }
                    return end;
                }
                // It crossed with the close of a connection that had idled.
                Ok(Some(Err(Ended::Closed { inside: false } | Ended::Reset { inside: false })))
                    if reused && !again =>
                {
                    again = true
                }
                Ok(Some(Err(Ended::Closed { inside } | Ended::Reset { inside }))) => {
                    stage.record.saw(Observation::Broken { request, begun: inside });
                    return End::Failed;
                }
                Ok(Some(Err(Ended::Malformed(_)))) => {
                    stage.record.saw(Observation::Broken { request, begun: true });
                    return End::Failed;
                }
            }
        }
    }

    fn answered(&self, request: u32, message: &Message) -> End {
        // The body of a node's answer names the request and the attempt.
        let text = String::from_utf8_lossy(&message.body);
        let attempt = match text.split_once(' ') {
            Some((id, attempt)) if id == self.stage.arrival(request).id => attempt.parse().ok(),
            _ => None,
        };
        let seconds = message.header("retry-after").and_then(|v| v.trim().parse::<f64>().ok());
        let retry_after_ms = seconds.map(|s| (s * 1e3) as u64);
        let status = message.status();
        self.stage.record.saw(Observation::Answered { request, status, attempt, retry_after_ms });
        match status {
            200 => End::Over,
            429 | 503 => End::NotRun { retry_after: retry_after_ms.map(Duration::from_millis) },
            _ => End::Failed,
        }
    }

    /// A kept connection on which all is quiet. One on which something came unasked is told of.
    async fn idle(&self, balancer: usize) -> Option<Kept> {
        loop {
            let mut kept = self.doors[balancer].idle.borrow_mut().pop()?;
            if kept.talk.is_quiet() {
                return Some(kept);
            }
            self.look(balancer, &mut kept).await;
        }
    }

    /// Notes what came on a connection that no request is open on.
    async fn look(&self, balancer: usize, kept: &mut Kept) {
        let bytes = kept.talk.drain(Duration::ZERO).await;
        if bytes > 0 {
            self.stage.record.saw(Observation::Extra { balancer, request: kept.last, bytes });
        }
    }

    async fn connect(&self, balancer: usize) -> Option<Kept> {
        let start = self.stage.start_of(balancer);
        let network = self.stage.ground.network(Who::Clients(balancer));
        let stream = timeout(CONNECT, network.connect(self.doors[balancer].address.get()));
        let talk = Exchange::new(stream.await.ok()?.ok()?);
        Some(Kept { talk, start, last: None })
    }

    /// At the end of a run: looks at what came unasked on all kept connections, and closes them.
    pub async fn finish(&self) {
        for (balancer, door) in self.doors.iter().enumerate() {
            let kept = door.idle.take();
            for mut kept in kept {
                self.look(balancer, &mut kept).await;
            }
        }
    }
}
