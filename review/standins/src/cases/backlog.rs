//! Hundreds of clients connect and say nothing. Usual clients connect right behind them and ask.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, SOCKET_SLACK, connect_silent_clients, is_timeout, verdict};
use crate::balancer::Balancer;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::settings::{GATEWAY_NORTE_SERVICES, Site};
use crate::upstream::Arrival;
use crate::{Verdict, has_trouble};

const SITE: Site = Site {
    registry_mode: "subscribe",
    services: GATEWAY_NORTE_SERVICES,
    tenants: "[]",
    // "256 to 1,024 descriptors" (LATER).
    sockets: 256,
};
const UPSTREAMS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Usual clients that keep their connection and ask again and again.
const STEADY_CLIENTS: usize = 20;
/// The pause of such a client between an answer and its next request.
const STEADY_PAUSE: Duration = Duration::from_millis(100);
/// How long they ask before the disruption.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// "others connect by hundreds and say nothing" (LATER).
const SILENT_CLIENTS: usize = 400;
/// The times that the usual clients behind them have, in milliseconds: each a part of the class's 2,800 ms.
const DEADLINES_MS: [u64; 12] =
    [960, 1200, 1500, 2000, 2400, 2800, 960, 1200, 1500, 2000, 2400, 2800];
/// A final answer counts up to half a second after the client's time (STANDING).
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt tells its upstream at most what is left to the client, with this slack (STANDING).
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// What happened to the request of a usual client.
struct Asked {
    id: String,
    sent_at: Instant,
    deadline: Duration,
    end: End,
}

/// How the client's wait ended.
enum End {
    Answered {
        status: u16,
        after: Duration,
    },
    /// The balancer closed the connection without an answer.
    Closed,
    /// Nothing came until half a second after the client's time.
    Nothing,
}

/// Plays the case.
pub fn play() -> io::Result<Verdict> {
    let record = Record::create()?;
    let fleet = Fleet::start(UPSTREAMS, SERVICE_TIME, &record)?;
    let balancer = Balancer::start(&SITE, fleet.discovery.address, &fleet.known, &record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..STEADY_CLIENTS {
        let (address, is_over) = (balancer.address, is_over.clone());
        thread::spawn(move || ask_steadily(address, number, &is_over));
    }
    thread::sleep(QUIET_TIME);
    if has_trouble() {
        connect_silent_clients(balancer.address, SILENT_CLIENTS)?;
        record.note(format!("{SILENT_CLIENTS} clients have connected and say nothing"));
    }
    let clients: Vec<_> = DEADLINES_MS
        .iter()
        .enumerate()
        .map(|(number, deadline_ms)| {
            let (address, deadline_ms) = (balancer.address, *deadline_ms);
            thread::spawn(move || ask_once(address, number, deadline_ms))
        })
        .collect();
    let mut all_asked = Vec::new();
    for client in clients {
        all_asked.push(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    is_over.store(true, Ordering::Relaxed);
    let arrivals = fleet.arrivals();
    let breaks = all_asked.iter().map(|asked| judge(asked, &arrivals, &record)).sum();
    Ok(verdict(breaks, &record))
}

/// Asks again and again on one connection, and opens another if the balancer closes it.
fn ask_steadily(balancer: SocketAddr, number: usize, is_over: &AtomicBool) {
    let mut client = Client::connect(balancer).ok();
    for count in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("steady-{number}-{count}");
        let request =
            Request { id: &id, class: "reading-sync", tenant: None, deadline_ms: 2800, body: None };
        let answer = client.as_mut().and_then(|client| {
            client.send(&request.text()).ok()?;
            client.answer_within(Duration::from_secs(4)).ok()?
        });
        if answer.is_none() {
            client = Client::connect(balancer).ok();
        }
        thread::sleep(STEADY_PAUSE);
    }
}

/// Connects, asks once, and waits for the answer until half a second after the client's time.
fn ask_once(balancer: SocketAddr, number: usize, deadline_ms: u64) -> io::Result<Asked> {
    let id = format!("new-{number}");
    let request = Request {
        id: &id,
        class: "alarm-raise",
        tenant: None,
        deadline_ms,
        body: Some("a door is open"),
    };
    let mut client = Client::connect(balancer)?;
    client.send(&request.text())?;
    let (sent_at, deadline) = (Instant::now(), Duration::from_millis(deadline_ms));
    let end = match client.answer_within(deadline + ANSWER_SLACK + SOCKET_SLACK) {
        Ok(Some(answer)) => End::Answered { status: answer.status(), after: sent_at.elapsed() },
        Ok(None) => End::Closed,
        Err(cause) if is_timeout(&cause) => End::Nothing,
        Err(_) => End::Closed,
    };
    Ok(Asked { id, sent_at, deadline, end })
}

/// Counts the breaks at one request.
fn judge(asked: &Asked, arrivals: &[Arrival], record: &Record) -> usize {
    let Asked { id, sent_at, deadline, end } = asked;
    let attempts: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.id == *id).collect();
    let mut breaks = 0;
    match end {
        End::Answered { status, after } => {
            record.note(format!("{id} with {deadline:?}: {status} after {after:?}"));
            if *after > *deadline + ANSWER_SLACK + SOCKET_SLACK {
                record.conclude(format!("{id} was lost: answered {after:?} after it was sent"));
                breaks += 1;
            }
        }
        // "new connections may be shut unread then": excused, unless the request was sent on.
        End::Closed if attempts.is_empty() => record.note(format!("{id}: closed, excused")),
        End::Closed => {
            record.conclude(format!("{id} was lost: sent on, and closed without an answer"));
            breaks += 1;
        }
        End::Nothing => {
            record.conclude(format!(
                "{id} was lost: no answer within its {deadline:?} and 0.5 s more, and no close"
            ));
            breaks += 1;
        }
    }
    for attempt in attempts {
        let passed = attempt.at.duration_since(*sent_at);
        let left = deadline.saturating_sub(passed);
        if attempt.told > left + TOLD_SLACK + SOCKET_SLACK {
            record.conclude(format!(
                "{id} reached its upstream after {passed:?} with {left:?} left, and told {:?}",
                attempt.told
            ));
            breaks += 1;
        }
    }
    breaks
}
