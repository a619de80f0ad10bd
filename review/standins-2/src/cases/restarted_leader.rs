//! One balancer of a large tier is killed and started again, and does not become ready.

use std::io::{Error, Result};
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
const BALANCERS: usize = 64;
/// How long the tier serves before a kill, and after one that was made good.
const CALM: Duration = Duration::from_secs(4);
/// How long a killed balancer is down: the platform starts it again after a moment.
const DOWN: Duration = Duration::from_millis(1500);
/// How often the readiness is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// No kill begins later than this after the start, so that the run ends in time.
const LAST_KILL: Duration = Duration::from_secs(70);
/// The log line of a balancer that has become the leader of the tier's voters.
const LEADER_LINE: &str = "became leader of the voters";
/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Runs the case.
pub fn run(world: &World, has_trouble: bool) -> Result<Verdict> {
    let upstreams = [upstream(world, "s-0")?, upstream(world, "s-1")?];
    let discovery = world.discovery(&[&upstreams[0], &upstreams[1]])?;
    let tier = Tier::direct(BALANCERS)?;
    let known = discovery.whole_list();
    let deployments: Vec<Deployment> = tier
        .peers
        .iter()
        .enumerate()
        .map(|(position, peers)| Deployment::of_tier(&discovery, &known, peers, position))
        .collect();
    let mut balancers = Vec::new();
    for deployment in &deployments {
        balancers.push(world.balancer_with(&name(deployment), free_address()?, deployment)?);
    }
    for balancer in &balancers {
        balancer.wait_until_ready()?;
    }
    world.record.line("all balancers are ready");
    while world.record.elapsed() < LAST_KILL {
        thread::sleep(CALM);
        let position = leader(world, &deployments)?;
        let address = balancers[position].address;
        world.record.line(format!("n{position} leads"));
        if has_trouble {
            balancers[position].kill();
            world.record.line(format!("n{position} is killed"));
            thread::sleep(DOWN);
            let deployment = &deployments[position];
            balancers[position] = world.balancer_with(&name(deployment), address, deployment)?;
        }
        if !is_ready_in_time(world, position, &mut balancers[position])? {
            return Ok(Verdict::Broken(format!(
                "n{position}, which was killed and started again, was not ready within 30 s"
            )));
        }
        ask(world, position, &balancers[position])?;
    }
    Ok(Verdict::Held)
}

fn name(deployment: &Deployment) -> String {
    format!("n{}", deployment.position)
}

/// Returns the position of the balancer that became leader last, by the logs.
fn leader(world: &World, deployments: &[Deployment]) -> Result<usize> {
    let mut newest = None;
    for deployment in deployments {
        let log = world.log(&name(deployment))?;
        // Each line begins with its time, so that the order of the texts is that of the times.
        if let Some(line) = log.lines().rfind(|line| line.contains(LEADER_LINE)) {
            newest = newest.max(Some((line.to_string(), deployment.position)));
        }
    }
    let (_, position) = newest.ok_or_else(|| Error::other("no balancer leads"))?;
    Ok(position)
}

/// Whether a balancer that has just been started becomes ready within the time that the page allows.
///
/// # Errors
/// Fails if the process has ended, as it does if another program has taken its address.
fn is_ready_in_time(world: &World, position: usize, balancer: &mut Balancer) -> Result<bool> {
    let started_at = world.record.elapsed();
    while world.record.elapsed() < started_at + READY_TIME {
        if balancer.has_ended() {
            return Err(Error::other(format!("n{position} has ended")));
        }
        if balancer.is_ready() {
            let after = (world.record.elapsed() - started_at).as_secs_f64();
            world.record.line(format!("n{position}: ready after {after:.2} s"));
            return Ok(true);
        }
        thread::sleep(POLL_INTERVAL);
    }
    world.record.line(format!("n{position}: not ready"));
    Ok(false)
}

fn ask(world: &World, position: usize, balancer: &Balancer) -> Result<()> {
    let mut client = Client::connect(balancer.address, DEADLINE * 2)?;
    let id = format!("r{}", world.record.elapsed().as_millis());
    let answer = client.ask(&reading_sync(&id, DEADLINE))?;
    world.record.line(format!("client: {id} at n{position} answered {}", answer.first));
    Ok(())
}

fn upstream(world: &World, name: &str) -> Result<Upstream> {
    let (record, name) = (world.record.clone(), name.to_string());
    Upstream::start(&name.clone(), move |request, stream| {
        let id = request.header("x-request-id");
        record.line(format!("{name}: runs {id}"));
        answer_ok(stream, id)
    })
}
