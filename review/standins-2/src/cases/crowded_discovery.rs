//! A balancer starts while discovery has too many callers. An upstream that drains meanwhile goes on getting requests.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, reading_sync};
use crate::discovery::CallMode;
use crate::upstream::{Upstream, answer_ok};
use crate::world::World;

/// A change counts as told this long after discovery had it and could be reached (STANDING).
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `Safety.DrainGrace` of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Each time limit is this much longer on sockets (PROTOCOL, "The rules on sockets").
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// From the first request to the drain.
const DRAIN_AFTER: Duration = Duration::from_secs(2);
/// How long requests go on after the drain, which is how long the crowd lasts after it.
const WATCHED: Duration = Duration::from_secs(15);
/// How long a call waits in the crowd until it is answered 503: `timeout_ms` of the site.
const CALL_WAIT: Duration = Duration::from_secs(1);
/// The number of clients.
const CLIENTS: usize = 8;
/// The pause of a client between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(2000);
/// The service time of an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// The upstream that drains.
const DRAINING: &str = "s-1";

/// When each request arrived at the upstream that drains.
type Arrivals = Arc<Mutex<Vec<Duration>>>;

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let arrivals = Arrivals::default();
    let upstreams = [upstream(world, "s-0", None)?, upstream(world, DRAINING, Some(&arrivals))?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    if has_trouble {
        discovery.set_mode(CallMode::Crowded(CALL_WAIT));
    }
    let balancer = world.balancer(&discovery)?;
    balancer.wait_until_ready()?;
    send_for(world, balancer.address, DRAIN_AFTER)?;
    let drains_since = world.record.elapsed();
    discovery.set(DRAINING, upstreams[1].entry("DRAINING"));
    send_for(world, balancer.address, WATCHED)?;
    let arrivals = arrivals.lock().expect("no thread panics while it holds the list");
    let before = arrivals.iter().filter(|at| **at < drains_since).count();
    world.record.line(format!("{DRAINING} got {before} requests before its drain"));
    let limit = drains_since + TOLD_AFTER + DRAIN_GRACE + SOCKET_TOLERANCE;
    let late: Vec<Duration> = arrivals.iter().filter(|at| **at > limit).copied().collect();
    Ok(match late.last() {
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "{} requests went to {DRAINING} later than 6.55 s after the beginning of its drain, the last one {:.2} s after",
            late.len(),
            (*last - drains_since).as_secs_f64()
        )),
    })
}

/// Sends requests by all clients at once for this time.
fn send_for(world: &World, address: SocketAddr, span: Duration) -> Result<()> {
    let until = world.record.elapsed() + span;
    let send = |client: usize| -> Result<()> {
        let mut connection = Client::connect(address, DEADLINE * 2)?;
        let mut sent = 0;
        while world.record.elapsed() < until {
            sent += 1;
            let id = format!("c{client}-{}-{sent}", until.as_millis());
            let answer = connection.ask(&reading_sync(&id, DEADLINE))?;
            world.record.line(format!("client: {id} answered {}", answer.status()));
            thread::sleep(REQUEST_INTERVAL);
        }
        Ok(())
    };
    thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send(client))).collect();
        clients.into_iter().try_for_each(|client| client.join().expect("a client ends in order"))
    })
}

fn upstream(world: &World, name: &str, arrivals: Option<&Arrivals>) -> Result<Upstream> {
    let (record, arrivals, name) = (world.record.clone(), arrivals.cloned(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let id = request.header("x-request-id");
        record.line(format!("{name}: runs {id}"));
        if let Some(arrivals) = &arrivals {
            arrivals
                .lock()
                .expect("no thread panics while it holds the list")
                .push(record.elapsed());
        }
        thread::sleep(SERVICE_TIME);
        answer_ok(stream, id)
    })
}
