//! A bad client sends the id of another client's open request, which may not run twice.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, verdict};
use crate::balancer::Balancer;
use crate::client::{Client, Request};
use crate::record::Record;
use crate::settings::{PARCEL_HUB_SERVICES, PARCEL_HUB_TENANTS, Site};
use crate::{Verdict, has_trouble};

const SITE: Site = Site {
    registry_mode: "automatic",
    services: PARCEL_HUB_SERVICES,
    tenants: PARCEL_HUB_TENANTS,
    sockets: 1024,
};
const UPSTREAMS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// How often the bad client sends the id of an open request.
const ROUNDS: usize = 10;
/// How long a request may take to reach its upstream.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long both clients wait: the class's deadline is 650 ms, and half a second more counts.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Plays the case.
pub fn play() -> io::Result<Verdict> {
    let record = Record::create()?;
    let fleet = Fleet::start(UPSTREAMS, SERVICE_TIME, &record)?;
    let balancer = Balancer::start(&SITE, fleet.discovery.address, &fleet.known, &record)?;
    thread::sleep(Duration::from_millis(500));
    let mut breaks = 0;
    for round in 0..ROUNDS {
        breaks += play_round(round, balancer.address, &fleet, &record)?;
    }
    Ok(verdict(breaks, &record))
}

/// One usual request, and one of the bad client while the first is open. Counts the breaks.
fn play_round(
    round: usize,
    balancer: SocketAddr,
    fleet: &Fleet,
    record: &Record,
) -> io::Result<usize> {
    let id = format!("parcel-{round}");
    let second_id = if has_trouble() { id.clone() } else { format!("other-{round}") };
    let mut usual = ask(balancer, &id, "letters", "hand over parcel 1")?;
    wait_for_arrival(fleet, &id)?;
    let mut bad = ask(balancer, &second_id, "freight", "hand over parcel 2")?;
    let bad_answer = bad.answer_within(ANSWER_TIMEOUT)?;
    let usual_answer = usual.answer_within(ANSWER_TIMEOUT)?;
    let status = |answer: &Option<crate::http::Message>| {
        answer.as_ref().map_or("a close".to_string(), |answer| answer.status().to_string())
    };
    record.note(format!(
        "{id}: the usual client got {}; the second client, with {second_id}, got {}",
        status(&usual_answer),
        status(&bad_answer)
    ));
    let mut breaks = 0;
    let is_bad_served = bad_answer.is_some_and(|answer| answer.status() == 200);
    if has_trouble() && is_bad_served {
        record.conclude(format!("{id}: the bad client was served"));
        breaks += 1;
    }
    let runs = fleet.arrivals().iter().filter(|arrival| arrival.id == id).count();
    if runs > 1 {
        record.conclude(format!("{id}, which may not run twice, ran {runs} times"));
        breaks += 1;
    }
    Ok(breaks)
}

/// Sends a request of the class that may not run twice.
fn ask(balancer: SocketAddr, id: &str, tenant: &str, body: &str) -> io::Result<Client> {
    let request = Request {
        id,
        class: "hand-over",
        tenant: Some(tenant),
        deadline_ms: 650,
        body: Some(body),
    };
    let mut client = Client::connect(balancer)?;
    client.send(&request.text())?;
    Ok(client)
}

fn wait_for_arrival(fleet: &Fleet, id: &str) -> io::Result<()> {
    let started_at = Instant::now();
    while started_at.elapsed() < ARRIVAL_TIMEOUT {
        if fleet.arrivals().iter().any(|arrival| arrival.id == id) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err(io::Error::other("the usual request reached no upstream"))
}
