//! Datagrams between balancers arrive 0.3 s late, and no balancer of the tier becomes ready.

use std::io::Result;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::balancer::{Balancer, READY_TIME, free_address};
use crate::client::{Client, reading_sync};
use crate::config::Deployment;
use crate::datagrams::Tier;
use crate::upstream::{Upstream, answer_ok};
use crate::world::World;

/// The number of balancers in the tier.
const BALANCERS: usize = 3;
/// How late a datagram arrives with the trouble.
const LATE: Duration = Duration::from_millis(300);
/// How late a datagram arrives without the trouble.
const USUAL: Duration = Duration::from_millis(5);
/// How long the readiness is watched: longer than a balancer may take.
const WATCHED: Duration = Duration::from_secs(35);
/// How often the readiness is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let upstreams = [upstream(world, "s-0")?, upstream(world, "s-1")?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    let tier = Tier::open(BALANCERS, if has_trouble { LATE } else { USUAL })?;
    let known = discovery.whole_list();
    let mut balancers = Vec::new();
    for (position, peers) in tier.peers.iter().enumerate() {
        let deployment = Deployment::of_tier(&discovery, &known, peers, position);
        balancers.push(world.balancer_with(
            &format!("n{position}"),
            free_address()?,
            &deployment,
        )?);
    }
    let ready_at = watch(world, &mut balancers)?;
    for (position, balancer) in balancers.iter().enumerate() {
        let mut client = Client::connect(balancer.address, DEADLINE * 2)?;
        let answer = client.ask(&reading_sync(&format!("r{position}"), DEADLINE))?;
        world.record.line(format!("client: r{position} at n{position} answered {}", answer.first));
    }
    let late = ready_at.iter().filter(|at| at.is_none_or(|at| at > READY_TIME)).count();
    Ok(match late {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{late} of {BALANCERS} balancers were not ready within 30 s")),
    })
}

/// Watches the balancers until all are ready, or for [`WATCHED`]. Returns when each was ready first.
fn watch(world: &World, balancers: &mut [Balancer]) -> Result<Vec<Option<Duration>>> {
    let started_at = world.record.elapsed();
    let mut ready_at = vec![None; balancers.len()];
    while ready_at.contains(&None) && world.record.elapsed() < started_at + WATCHED {
        for (position, balancer) in balancers.iter_mut().enumerate() {
            if balancer.has_ended() {
                return Err(std::io::Error::other(format!("n{position} has ended")));
            }
            if ready_at[position].is_none() && balancer.is_ready() {
                let after = world.record.elapsed() - started_at;
                world.record.line(format!("n{position}: ready after {:.2} s", after.as_secs_f64()));
                ready_at[position] = Some(after);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(ready_at)
}

fn upstream(world: &World, name: &str) -> Result<Upstream> {
    let (record, name) = (world.record.clone(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let id = request.header("x-request-id");
        record.line(format!("{name}: runs {id}"));
        answer_ok(stream, id)
    })
}
