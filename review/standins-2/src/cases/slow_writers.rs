//! Clients that write slowly hold all places for clients. The requests of others wait unread until long after their time.

use std::io::{ErrorKind, Result, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::balancer::free_address;
use crate::client::{Client, alarm_raise, delivery_log};
use crate::config::Deployment;
use crate::http::read_message;
use crate::record::Record;
use crate::upstream::{Upstream, answer_ok};
use crate::world::World;

/// The limit on descriptors. Half of what is not reserved is for clients.
const SOCKETS: usize = 256;
/// The number of clients that write slowly.
const SLOW_CLIENTS: usize = 240;
/// The pieces in which a slow client writes its body, of one byte each.
const PIECES: usize = 15;
/// The pause before each piece. A slow client has written its request after 1.8 s, 1 s before its deadline ends.
const PIECE_INTERVAL: Duration = Duration::from_millis(120);
/// How long a slow client waits for its answer, from its last byte.
const SLOW_DEADLINE: Duration = Duration::from_millis(2800);
/// How long another client waits: about 34 % of the deadline of `delivery-log`, as the brief allows.
const DEADLINE: Duration = Duration::from_millis(640);
/// An answer up to this long after its time is late and not lost (STANDING), with the tolerance of sockets.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(550);
/// How long the other clients wait for an answer that comes too late, for the record.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long the slow clients write before the others come.
const WARM_UP: Duration = Duration::from_secs(3);
/// The number of requests of the other clients.
const REQUESTS: usize = 80;
/// The pause between two requests of the other clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let upstreams = [upstream(world, "s-0")?, upstream(world, "s-1")?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    let known = discovery.whole_list();
    let deployment = Deployment { sockets: SOCKETS, ..Deployment::single(&discovery, &known) };
    let balancer = world.balancer_with("n0", free_address()?, &deployment)?;
    balancer.wait_until_ready()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut slow_clients = Vec::new();
    for number in 0..SLOW_CLIENTS {
        let (is_over, address) = (is_over.clone(), balancer.address);
        slow_clients.push(thread::spawn(move || {
            for request in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let _ = ask_slowly(address, &format!("slow-{number}-{request}"), has_trouble);
            }
        }));
    }
    thread::sleep(WARM_UP);
    let lost = ask_others(world, balancer.address);
    is_over.store(true, Ordering::Relaxed);
    for client in slow_clients {
        let _ = client.join();
    }
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{lost} of {REQUESTS} requests were not answered within 0.55 s after their time"
        )),
    })
}

/// Sends one request with pauses, or at once after the same time, on a connection of its own, and waits for its answer.
fn ask_slowly(address: SocketAddr, id: &str, is_slow: bool) -> Result<()> {
    let text = alarm_raise(id, SLOW_DEADLINE, &"x".repeat(PIECES));
    let (head, pieces) = text.as_bytes().split_at(text.len() - PIECES);
    if !is_slow {
        thread::sleep(PIECE_INTERVAL * PIECES as u32);
        let mut client = Client::connect(address, PATIENCE)?;
        client.ask(&text)?;
        return Ok(());
    }
    let mut client = Client::connect(address, PATIENCE)?;
    client.stream.write_all(head)?;
    for piece in pieces {
        thread::sleep(PIECE_INTERVAL);
        client.stream.write_all(&[*piece])?;
    }
    read_message(&mut client.reader)?;
    Ok(())
}

/// Sends the requests of the other clients, each on a new connection. Returns how many were lost.
fn ask_others(world: &World, address: SocketAddr) -> usize {
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let record = world.record.clone();
        clients.push(thread::spawn(move || is_lost(&record, address, &format!("r{number}"))));
        thread::sleep(REQUEST_INTERVAL);
    }
    let outcomes = clients.into_iter().map(|client| client.join().expect("a client ends in order"));
    outcomes.filter(|is_lost| *is_lost).count()
}

/// Sends one request. Returns whether it was lost: a connection that is not established, or shut unread, loses nothing.
fn is_lost(record: &Record, address: SocketAddr, id: &str) -> bool {
    let Ok(mut client) = Client::connect(address, PATIENCE) else {
        record.line(format!("client: {id} got no connection"));
        return false;
    };
    let text = delivery_log(id, DEADLINE, &format!("key-{id}"), "");
    let sent_at = Instant::now();
    let answer = client.ask(&text);
    let after = sent_at.elapsed();
    let outcome = match &answer {
        Ok(answer) => format!("answered {}", answer.status()),
        Err(cause) => format!("not answered: {cause}"),
    };
    record.line(format!("client: {id} {outcome} after {:.2} s", after.as_secs_f64()));
    match answer {
        Ok(_) => after > DEADLINE + LATE_ANSWER_TIME,
        Err(cause) => !matches!(cause.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
    }
}

fn upstream(world: &World, name: &str) -> Result<Upstream> {
    let (record, name) = (world.record.clone(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let id = request.header("x-request-id");
        record.line(format!("{name}: runs {id}"));
        answer_ok(stream, id)
    })
}
