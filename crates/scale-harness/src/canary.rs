//! Canary upstreams: a series of upstreams of one service, of which one is listed at a time. Which of them
//! answers a request shows which version of the list is in force at the balancer that sent it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hollowpaddle_net::{Listener, Network, Tcp, accept};
use hollowpaddle_rehearsal::wire::{Direction, Exchange, Message};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::background::Background;
use crate::fleet::{CANARY_SERVICE, ListEntry, Phase};

/// Addresses that canaries use in turn. One is used again only after all others, long after the grace.
const SLOTS: usize = 64;
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The number of a canary in its series, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CanaryNumber(pub u64);

impl CanaryNumber {
    /// The canary that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    fn slot(self) -> usize {
        (self.0 % SLOTS as u64) as usize
    }
}

/// The addresses of canary upstreams. They answer until this is dropped.
pub struct Canaries {
    addresses: Vec<SocketAddr>,
    requests: Requests,
    _thread: Background,
}

impl Canaries {
    /// Listens on ephemeral loopback ports, on a thread of its own.
    ///
    /// # Errors
    /// There are no ports or no thread to be had.
    pub fn start() -> io::Result<Self> {
        let requests = Arc::new(Mutex::new(vec![None; SLOTS]));
        let seen = requests.clone();
        let (thread, addresses) = Background::start("canaries", move || listen(&seen))?;
        Ok(Self { addresses, requests, _thread: thread })
    }

    /// The list entry of a canary.
    pub fn entry(&self, number: CanaryNumber, phase: Phase) -> ListEntry {
        ListEntry {
            id: format!("{CANARY_SERVICE}-{}", number.0),
            host_port: self.addresses[number.slot()].to_string(),
            locality: CANARY_SERVICE.to_string(),
            flavor: CANARY_SERVICE.to_string(),
            cell: 0,
            phase,
            size: 1.0,
            up_since_ms: 0,
        }
    }

    /// When the last request came to this canary's address, if any did.
    pub fn last_request(&self, number: CanaryNumber) -> Option<Instant> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)[number.slot()]
    }

    /// Which canary wrote this body. Of those that share an address it is the one nearest to `expected`.
    pub fn of_body(body: &[u8], expected: CanaryNumber) -> Option<CanaryNumber> {
        let slot: u64 = std::str::from_utf8(body).ok()?.parse().ok()?;
        let ahead = (slot + SLOTS as u64 - expected.slot() as u64) % SLOTS as u64;
        let is_behind = ahead > SLOTS as u64 / 2;
        let number = expected.0 + ahead;
        Some(CanaryNumber(if is_behind { number.saturating_sub(SLOTS as u64) } else { number }))
    }
}

/// When the last request came to each slot.
type Requests = Arc<Mutex<Vec<Option<Instant>>>>;

/// Listens on a loopback port for each slot, and answers there as local tasks.
fn listen(requests: &Requests) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::with_capacity(SLOTS);
    for slot in 0..SLOTS {
        let listener = Tcp.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        addresses.push(listener.local_addr());
        spawn_local(accept_all(slot, listener, requests.clone()));
    }
    Ok(addresses)
}

async fn accept_all(slot: usize, mut listener: Box<dyn Listener>, requests: Requests) {
    loop {
        match accept(&mut *listener).await {
            Ok((stream, _)) => {
                spawn_local(answer_all(slot, Exchange::new(stream), requests.clone()));
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn answer_all(slot: usize, mut talk: Exchange, requests: Requests) {
    while talk.message(Direction::Requests).await.is_ok() {
        requests.lock().unwrap_or_else(PoisonError::into_inner)[slot] = Some(Instant::now());
        let body = slot.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if talk.write((head + &body).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// What a balancer answers to a request of the canary service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// This canary served it.
    Served(CanaryNumber),
    /// The balancer refused it, or it failed.
    Refused,
    /// There was no answer.
    NoAnswer,
}

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// What a probe gives as its own deadline, in milliseconds.
const PROBE_DEADLINE_MS: u64 = 1_000;

/// Sends one request of the canary service to a balancer on a connection of its own. `id` must be new.
pub async fn probe(balancer: SocketAddr, id: u64, expected: CanaryNumber) -> ProbeAnswer {
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: probe-{id}\r\nX-Class: {CANARY_SERVICE}\r\n\
         X-Tenant: t0\r\nX-Deadline-Ms: {PROBE_DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    );
    match tokio::time::timeout(PROBE_TIMEOUT, exchange(balancer, &request)).await {
        Ok(Some(answer)) if answer.status() == 200 => {
            let served = Canaries::of_body(&answer.body, expected);
            served.map_or(ProbeAnswer::NoAnswer, ProbeAnswer::Served)
        }
        Ok(Some(_)) => ProbeAnswer::Refused,
        Ok(None) | Err(_) => ProbeAnswer::NoAnswer,
    }
}

/// Whether a balancer says that it can serve.
pub async fn is_ready(balancer: SocketAddr) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
    let answer = tokio::time::timeout(PROBE_TIMEOUT, exchange(balancer, request)).await;
    matches!(answer, Ok(Some(answer)) if answer.status() == 200)
}

async fn exchange(balancer: SocketAddr, request: &str) -> Option<Message> {
    let mut talk = Exchange::new(Tcp.connect(balancer).await.ok()?);
    talk.write(request.as_bytes()).await.ok()?;
    talk.message(Direction::Responses).await.ok()
}
