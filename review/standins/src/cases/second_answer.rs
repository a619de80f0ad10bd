//! Some answers of upstreams come twice, the second copy some milliseconds late, and only while nothing else waits on the
//! connection. The upstreams are in another data centre than the balancer.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{is_timeout, verdict};
use crate::balancer::Balancer;
use crate::client::{Client, Request};
use crate::discovery::Discovery;
use crate::http::{read_message, response};
use crate::link;
use crate::record::Record;
use crate::settings::{GATEWAY_NORTE_SERVICES, Site, entry_at, list};
use crate::{Verdict, has_trouble};

const SITE: Site = Site {
    registry_mode: "subscribe",
    services: GATEWAY_NORTE_SERVICES,
    tenants: "[]",
    sockets: 1024,
};
const UPSTREAMS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// How late a second answer comes: "some milliseconds" (STANDING).
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(18);
/// How much later than that one may come, if the machine is busy.
const MOST_LATENESS: Duration = Duration::from_micros(500);
/// A second answer that was written later than this, since the machine was busy, does not count.
const COUNTED_LATENESS: Duration = Duration::from_millis(20);
/// How often an upstream looks for another request meanwhile.
const POLL: Duration = Duration::from_micros(200);
/// One answer of so many comes twice.
const ANSWERS_PER_SECOND_ANSWER: usize = 10;
/// Usual clients, and the pause of each between an answer and its next request.
const CLIENTS: usize = 12;
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_secs(20);
const DEADLINE_MS: u64 = 2800;

/// Plays the case.
pub fn play() -> io::Result<Verdict> {
    let record = Record::create()?;
    let answers = Answers::default();
    let mut entries = Vec::new();
    for number in 0..UPSTREAMS {
        let address = start_upstream(number, &answers, &record)?;
        entries.push(entry_at(&format!("s-{number}"), link::start(address)?, "SERVING"));
    }
    let discovery = Discovery::start(list(42, true, &entries), &record)?;
    let known = list(41, true, &entries);
    let balancer = Balancer::start(&SITE, discovery.address, &known, &record)?;
    let until = Instant::now() + RUN_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (balancer.address, record.clone());
            thread::spawn(move || ask_until(until, address, number, &record))
        })
        .collect();
    let mut foreign = Vec::new();
    for client in clients {
        foreign.extend(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    let lateness = answers.second.lock().map_err(|_| io::Error::other("an upstream failed"))?;
    let is_counted =
        |made_for: &&String| lateness.get(*made_for).is_some_and(|late| *late < COUNTED_LATENESS);
    let counted = foreign.iter().filter(is_counted).count();
    record.conclude(format!(
        "{} answers, {} of them twice; {} clients got one for another request, {counted} a second one",
        answers.count.load(Ordering::Relaxed),
        lateness.len(),
        foreign.len()
    ));
    Ok(verdict(counted, &record))
}

/// What the upstreams have answered.
#[derive(Clone, Default)]
struct Answers {
    count: Arc<AtomicUsize>,
    /// How late the second answers were, by the id of the request.
    second: Arc<Mutex<HashMap<String, Duration>>>,
}

fn start_upstream(number: usize, answers: &Answers, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let (answers, record) = (answers.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || serve(stream, number, &answers, &record));
        }
    });
    Ok(address)
}

/// Serves one connection to its end.
fn serve(stream: TcpStream, number: usize, answers: &Answers, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-request-id");
        thread::sleep(SERVICE_TIME);
        let answer = response("200 OK", id);
        writer.write_all(answer.as_bytes())?;
        let answered_at = Instant::now();
        record.note(format!("upstream s-{number} ran and answered {id}"));
        let count = answers.count.fetch_add(1, Ordering::Relaxed);
        let is_doubled = has_trouble() && count.is_multiple_of(ANSWERS_PER_SECOND_ANSWER);
        if is_doubled && is_second_answer_due(reader.get_ref(), answered_at)? {
            writer.write_all(answer.as_bytes())?;
            let lateness = answered_at.elapsed();
            record.note(format!("upstream s-{number} answered {id} again, {lateness:.1?} late"));
            if let Ok(mut second) = answers.second.lock() {
                second.insert(id.to_string(), lateness);
            }
        }
    }
    Ok(())
}

/// Waits until a second answer is due, and returns whether it may be sent: no byte of another request and no end has come,
/// and this thread has not slept for too long.
///
/// The wait polls, since the kernel rounds the timeouts of sockets up by some milliseconds.
fn is_second_answer_due(stream: &TcpStream, answered_at: Instant) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let mut is_quiet = true;
    while is_quiet && answered_at.elapsed() < SECOND_ANSWER_DELAY {
        thread::sleep(POLL);
        is_quiet = matches!(stream.peek(&mut [0]), Err(cause) if is_timeout(&cause));
    }
    stream.set_nonblocking(false)?;
    Ok(is_quiet && answered_at.elapsed() < SECOND_ANSWER_DELAY + MOST_LATENESS)
}

/// Asks again and again on one connection. Returns the requests that the answers for other requests were made for.
fn ask_until(
    until: Instant,
    balancer: SocketAddr,
    number: usize,
    record: &Record,
) -> io::Result<Vec<String>> {
    let mut client = Client::connect(balancer)?;
    let mut foreign = Vec::new();
    for count in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("reading-{number}-{count}");
        let request = Request {
            id: &id,
            class: "reading-sync",
            tenant: None,
            deadline_ms: DEADLINE_MS,
            body: None,
        };
        client.send(&request.text())?;
        match client.answer_within(Duration::from_secs(4)) {
            Ok(Some(answer)) if answer.status() == 200 && answer.body != id.as_bytes() => {
                let made_for = String::from_utf8_lossy(&answer.body).into_owned();
                record.conclude(format!("{id} was answered with the answer to {made_for}"));
                foreign.push(made_for);
            }
            Ok(Some(answer)) => record.note(format!("client got {} for {id}", answer.status())),
            Ok(None) | Err(_) => client = Client::connect(balancer)?,
        }
        thread::sleep(CLIENT_PAUSE);
    }
    Ok(foreign)
}
