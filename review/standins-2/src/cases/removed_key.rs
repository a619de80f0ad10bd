//! A bad client names `Idempotency-Key` in its `Connection` header. The balancer removes the key, repeats the request after
//! its connection broke, and its effect happens twice.

use std::collections::HashSet;
use std::io::Result;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, delivery_log};
use crate::http::Message;
use crate::record::Record;
use crate::upstream::{Upstream, answer_ok, break_off};
use crate::world::World;

/// How long the client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(1500);
/// The header by which the bad client names its key as one that concerns the connection only.
const BAD_HEADER: &str = "Connection: keep-alive, Idempotency-Key\r\n";

/// What the upstreams of one pod share: the keys that they have seen, and the effects of all requests.
#[derive(Default)]
struct Pod {
    seen_keys: HashSet<String>,
    effects: usize,
    /// Whether the one connection that breaks under a request has broken.
    has_broken_off: bool,
}

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let pod = Arc::new(Mutex::new(Pod::default()));
    let upstreams = [upstream(world, "s-0", &pod)?, upstream(world, "s-1", &pod)?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    let balancer = world.balancer(&discovery)?;
    balancer.wait_until_ready()?;
    let mut client = Client::connect(balancer.address, DEADLINE * 2)?;
    let bad_header = if has_trouble { BAD_HEADER } else { "" };
    let answer = client.ask(&delivery_log("r1", DEADLINE, "key-1", bad_header))?;
    world.record.line(format!("client: r1 answered {}", answer.first));
    let effects = pod.lock().expect("no thread panics while it holds the pod").effects;
    Ok(match effects {
        0 | 1 => Verdict::Held,
        _ => {
            Verdict::Broken(format!("the effect of the keyed request r1 happened {effects} times"))
        }
    })
}

fn upstream(world: &World, name: &str, pod: &Arc<Mutex<Pod>>) -> Result<Upstream> {
    let (record, pod, name) = (world.record.clone(), pod.clone(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let breaks_off = {
            let mut pod = pod.lock().expect("no thread panics while it holds the pod");
            take(&mut pod, request, &name, &record);
            !std::mem::replace(&mut pod.has_broken_off, true)
        };
        if breaks_off {
            record.line(format!("{name}: the connection breaks before the answer"));
            return break_off(stream);
        }
        answer_ok(stream, "done")
    })
}

/// Runs a request, unless it is the repeat of a key that the pod has seen.
fn take(pod: &mut Pod, request: &Message, name: &str, record: &Record) {
    let (id, key) = (request.header("x-request-id"), request.header("idempotency-key"));
    let is_repeat = !key.is_empty() && !pod.seen_keys.insert(key.to_string());
    if is_repeat {
        record.line(format!("{name}: {id} with key {key:?} is a repeat, dropped"));
        return;
    }
    pod.effects += 1;
    record.line(format!("{name}: runs {id}, which has key {key:?}"));
}
