//! A client sends a hundred requests at once on one connection. Most of them are read, and get no answer.

use std::io::{ErrorKind, Result, Write};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, alarm_raise};
use crate::http::read_message;
use crate::upstream::{Upstream, answer_ok};
use crate::world::World;

/// How long a client waits for its answers: the longest deadline of the class.
const DEADLINE: Duration = Duration::from_millis(2800);
/// An answer up to this long after its time is late and not lost (STANDING), with the tolerance of sockets.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(550);
/// The number of requests in a burst.
const BURST: usize = 100;
/// The size of a body in a burst, as in the example of PROTOCOL.
const BODY_BYTES: usize = 212;
/// The service time of an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let body = "x".repeat(BODY_BYTES);
    let request = |n| alarm_raise(&format!("r{n}"), DEADLINE, &body);
    send_all(world, &(0..BURST).map(request).collect::<Vec<_>>(), has_trouble)
}

/// Sends the requests at once, or one after another, and counts the answers.
fn send_all(world: &World, requests: &[String], at_once: bool) -> Result<Verdict> {
    let upstreams = [upstream(world, "s-0")?, upstream(world, "s-1")?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    let balancer = world.balancer(&discovery)?;
    balancer.wait_until_ready()?;
    let mut client = Client::connect(balancer.address, DEADLINE + LATE_ANSWER_TIME)?;
    let size = if at_once { requests.len() } else { 1 };
    let mut answered = 0;
    for together in requests.chunks(size) {
        match ask_together(world, &mut client, together)? {
            Answers::All => answered += together.len(),
            Answers::Some(count) => {
                answered += count;
                break;
            }
            Answers::Unread => return Ok(Verdict::Held),
        }
    }
    let lost = requests.len() - answered;
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{lost} of {} requests got no answer", requests.len())),
    })
}

/// What became of requests that were sent together.
enum Answers {
    /// Each was answered.
    All,
    /// So many were answered. Then the balancer closed the connection in order, or no answer came in time.
    Some(usize),
    /// The connection was reset. The balancer may not have read all requests, and the client may send them again.
    Unread,
}

fn ask_together(world: &World, client: &mut Client, requests: &[String]) -> Result<Answers> {
    let bytes = requests.concat();
    world.record.line(format!(
        "client: sends {} requests of {} bytes",
        requests.len(),
        bytes.len()
    ));
    client.stream.write_all(bytes.as_bytes())?;
    let sent_at = Instant::now();
    for count in 0..requests.len() {
        let error = match read_message(&mut client.reader) {
            Ok(answer) if sent_at.elapsed() <= DEADLINE + LATE_ANSWER_TIME => {
                let body = String::from_utf8_lossy(&answer.body);
                world.record.line(format!("client: answer {count}: {} {body}", answer.first));
                continue;
            }
            Ok(_) => return Ok(Answers::Some(count)),
            Err(error) => error,
        };
        world.record.line(format!("client: after {count} answers: {error}"));
        let is_reset = matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
        return Ok(if is_reset { Answers::Unread } else { Answers::Some(count) });
    }
    Ok(Answers::All)
}

fn upstream(world: &World, name: &str) -> Result<Upstream> {
    let (record, name) = (world.record.clone(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let id = request.header("x-request-id");
        record.line(format!("{name}: runs {id}"));
        thread::sleep(SERVICE_TIME);
        answer_ok(stream, id)
    })
}
