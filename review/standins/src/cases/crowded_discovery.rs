//! Discovery has too many callers, as after a restart of many balancers at once: calls fail with `503` after they have waited
//! in its queue. Meanwhile an upstream begins to drain. The balancer of this case is one of those that have restarted.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, SOCKET_SLACK, verdict};
use crate::balancer::Balancer;
use crate::client::{Client, Request};
use crate::discovery::Crowd;
use crate::record::Record;
use crate::settings::{GATEWAY_NORTE_SERVICES, Site, entry, list};
use crate::upstream::Upstream;
use crate::{Verdict, has_trouble};

const SITE: Site = Site {
    registry_mode: "subscribe",
    services: GATEWAY_NORTE_SERVICES,
    tenants: "[]",
    sockets: 1024,
};
const UPSTREAMS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Usual clients, and the pause of each between an answer and its next request.
const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// How long after its start the balancer has clients when an upstream begins to drain.
const DRAIN_AFTER: Duration = Duration::from_secs(2);
/// How long after the beginning of its drain the upstream ends, and after that the run.
const END_AFTER: Duration = Duration::from_secs(11);
const RUN_AFTER_END: Duration = Duration::from_secs(2);
/// How long discovery has too many callers: until the end of the run.
const CROWD_TIME: Duration = Duration::from_secs(60);
/// The calls of the other balancers: seven in ten of 900 (STANDING), each about every 1.6 s.
const ARRIVAL_GAP: Duration = Duration::from_micros(2500);
/// How long discovery has been crowded when this balancer starts.
const CROWDED_SINCE: Duration = Duration::from_millis(5123);
/// `timeout_ms` of gateway-norte's discovery.
const PATIENCE: Duration = Duration::from_millis(1000);
/// 60 lines at 200 lines a second (BRIEF).
const CALL_SERVICE_TIME: Duration = Duration::from_millis(300);
/// A change counts as told at the latest so long after discovery had it and could be reached (STANDING).
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `Safety.DrainGrace`.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Plays the case.
pub fn play() -> io::Result<Verdict> {
    let record = Record::create()?;
    let fleet = Fleet::start(UPSTREAMS, SERVICE_TIME, &record)?;
    if has_trouble() {
        let from = Instant::now() - CROWDED_SINCE;
        fleet.discovery.set_crowd(Crowd {
            from,
            until: from + CROWD_TIME,
            arrival_gap: ARRIVAL_GAP,
            patience: PATIENCE,
            service_time: CALL_SERVICE_TIME,
        });
        record.note("discovery has too many callers");
    }
    let balancer = Balancer::start(&SITE, fleet.discovery.address, &fleet.known, &record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..CLIENTS {
        let (address, is_over, record) = (balancer.address, is_over.clone(), record.clone());
        thread::spawn(move || ask_steadily(address, number, &is_over, &record));
    }
    thread::sleep(DRAIN_AFTER);
    let drained_at = Instant::now();
    let drained = busiest(&fleet)?;
    let phase = |upstream: &Upstream| {
        if upstream.name == drained.name { "DRAINING" } else { "SERVING" }
    };
    let entries: Vec<String> = fleet.upstreams.iter().map(|u| entry(u, phase(u))).collect();
    fleet.discovery.set_list(list(43, true, &entries));
    record.note(format!("{} begins to drain", drained.name));
    thread::sleep(END_AFTER);
    drained.end();
    record.note(format!("{} ends", drained.name));
    thread::sleep(RUN_AFTER_END);
    is_over.store(true, Ordering::Relaxed);
    let last_send = drained_at + TOLD_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    let sends = fleet.arrivals();
    let sends = sends.iter().filter(|arrival| arrival.upstream == drained.name);
    let late: Vec<_> = sends.filter(|arrival| arrival.at > last_send).collect();
    for arrival in &late {
        record.note(format!(
            "{} was sent to {} {:?} after its drain",
            arrival.id,
            arrival.upstream,
            arrival.at - drained_at
        ));
    }
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.conclude(format!(
            "{} got {} requests from {:?} to {:?} after its drain; the last may come after {:?}",
            drained.name,
            late.len(),
            first.at - drained_at,
            last.at - drained_at,
            last_send - drained_at
        ));
    }
    Ok(verdict(late.len(), &record))
}

/// Returns the upstream that has received most requests.
fn busiest(fleet: &Fleet) -> io::Result<Upstream> {
    let arrivals = fleet.arrivals();
    let received = |upstream: &&Upstream| {
        arrivals.iter().filter(|arrival| arrival.upstream == upstream.name).count()
    };
    let busiest = fleet.upstreams.iter().max_by_key(received).cloned();
    busiest.ok_or_else(|| io::Error::other("no upstream"))
}

/// Asks again and again on one connection, and opens another if the balancer closes it.
fn ask_steadily(balancer: SocketAddr, number: usize, is_over: &AtomicBool, record: &Record) {
    let mut client = Client::connect(balancer).ok();
    for count in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("steady-{number}-{count}");
        // Every other request may not run twice.
        let is_unsafe = count % 2 == 0;
        let request = Request {
            id: &id,
            class: if is_unsafe { "alarm-raise" } else { "reading-sync" },
            tenant: None,
            deadline_ms: 2800,
            body: is_unsafe.then_some("a door is open"),
        };
        let answer = client.as_mut().and_then(|client| {
            client.send(&request.text()).ok()?;
            client.answer_within(Duration::from_secs(4)).ok()?
        });
        match answer {
            Some(answer) => record.note(format!("client got {} for {id}", answer.status())),
            None => client = Client::connect(balancer).ok(),
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
