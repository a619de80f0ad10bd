//! Idle clients fill the descriptors. Usual clients go on asking on the connections that they keep.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, SOCKET_SLACK, connect_silent_clients, is_timeout, verdict};
use crate::balancer::Balancer;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::settings::{GATEWAY_NORTE_SERVICES, Site};
use crate::{Verdict, has_trouble};

const SITE: Site = Site {
    registry_mode: "subscribe",
    services: GATEWAY_NORTE_SERVICES,
    tenants: "[]",
    // "256 to 1,024 descriptors" (LATER).
    sockets: 512,
};
const UPSTREAMS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Usual clients, each with one connection: far less than the third of the descriptors that clients may hold for requests.
const USUAL_CLIENTS: usize = 48;
/// How long a usual client rests between an answer and its next request.
const REST: Duration = Duration::from_millis(2800);
/// How often each usual client asks.
const ROUNDS: usize = 5;
/// "clients ask once and keep their connection for good" (LATER).
const CLIENTS_THAT_ASK_ONCE: usize = 10;
/// Idle clients: with all others, slightly more than the half of the descriptors that this balancer gives to clients.
const IDLE_CLIENTS: usize = 190;
/// When the clients come that ask once, and how long after that the idle ones.
const QUIET_TIME: Duration = Duration::from_millis(5500);
const IDLE_CLIENTS_AFTER: Duration = Duration::from_millis(3000);
/// Clients give up "after 34 to 100% of the class's give-up time" of 2,800 ms (BRIEF).
const DEADLINE_MS: u64 = 2000;
/// A final answer counts up to half a second after the client's time (STANDING).
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How the wait for an answer ended.
enum End {
    Answered {
        status: u16,
        after: Duration,
    },
    /// The balancer closed or reset the connection without an answer.
    Closed,
    /// Nothing came until half a second after the client's time.
    Nothing,
}

/// Plays the case.
pub fn play() -> io::Result<Verdict> {
    let record = Record::create()?;
    let fleet = Fleet::start(UPSTREAMS, SERVICE_TIME, &record)?;
    let balancer = Balancer::start(&SITE, fleet.discovery.address, &fleet.known, &record)?;
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (address, record) = (balancer.address, record.clone());
            thread::spawn(move || ask_and_rest(address, number, &record))
        })
        .collect();
    thread::sleep(QUIET_TIME);
    let mut kept = Vec::new();
    for number in 0..CLIENTS_THAT_ASK_ONCE {
        let mut client = Client::connect(balancer.address)?;
        let end = ask(&mut client, &format!("once-{number}"));
        if !matches!(end, End::Answered { .. }) {
            return Err(io::Error::other("a client that asks once got no answer"));
        }
        kept.push(client);
    }
    record.note(format!("{CLIENTS_THAT_ASK_ONCE} clients have asked once and stay"));
    thread::sleep(IDLE_CLIENTS_AFTER);
    if has_trouble() {
        connect_silent_clients(balancer.address, IDLE_CLIENTS)?;
        record.note(format!("{IDLE_CLIENTS} clients have connected and say nothing"));
    }
    let mut lost = 0;
    for client in clients {
        lost += client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    Ok(verdict(lost, &record))
}

/// Asks and rests in turn on one connection. Returns how many of its requests were lost.
fn ask_and_rest(balancer: SocketAddr, number: usize, record: &Record) -> io::Result<usize> {
    // The clients are not in step.
    thread::sleep(REST * number as u32 / USUAL_CLIENTS as u32);
    let mut client = Client::connect(balancer)?;
    let mut lost = 0;
    for round in 0..ROUNDS {
        let id = format!("usual-{number}-{round}");
        let mut end = ask(&mut client, &id);
        if let End::Closed = end {
            // "if that crosses a request that it has not read, the client sends the request once more on a new one"
            record.note(format!("{id}: the connection was closed, it is sent once more"));
            client = Client::connect(balancer)?;
            end = ask(&mut client, &id);
        }
        lost += judge(&id, &end, record);
        if !matches!(end, End::Answered { .. }) {
            client = Client::connect(balancer)?;
        }
        thread::sleep(REST);
    }
    Ok(lost)
}

/// Asks once, and waits for the answer until half a second after the client's time.
fn ask(client: &mut Client, id: &str) -> End {
    let request = Request {
        id,
        class: "alarm-raise",
        tenant: None,
        deadline_ms: DEADLINE_MS,
        body: Some("a door is open"),
    };
    if client.send(&request.text()).is_err() {
        return End::Closed;
    }
    let sent_at = Instant::now();
    match client.answer_within(Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK + SOCKET_SLACK) {
        Ok(Some(answer)) => End::Answered { status: answer.status(), after: sent_at.elapsed() },
        Err(cause) if is_timeout(&cause) => End::Nothing,
        Ok(None) | Err(_) => End::Closed,
    }
}

/// Counts a request as lost if it got no answer on a connection that stayed open.
fn judge(id: &str, end: &End, record: &Record) -> usize {
    match end {
        End::Answered { status, after } => {
            record.note(format!("{id}: {status} after {after:?}"));
            0
        }
        End::Closed => {
            record.note(format!("{id}: closed twice, excused"));
            0
        }
        End::Nothing => {
            record.conclude(format!(
                "{id} was lost: no answer within {DEADLINE_MS} ms and 0.5 s more, and its connection stayed open"
            ));
            1
        }
    }
}
