//! Figures of a whole bank, virtual: from yes to in force, a new leader, catching up, datagrams and bytes, all killed at
//! once. The bank of `bin/cluster-figures`, whose table goes into the design note; a small one is a test.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;

use crate::history::Ret;
use crate::world::{Plan, World, ms, propose};

/// A bank that is led, and where everybody holds a lease; `None`: that did not come to be within a minute.
pub fn settled(plan: Plan) -> Option<World> {
    let mut world = World::new(plan);
    world.look_every = ms(50);
    world.run_while(ms(60_000), |w| !all_leased(w))?;
    world.run(ms(5000));
    Some(world)
}

fn all_leased(world: &World) -> bool {
    world.leader().is_some() && share_leased(world) == world.nodes.len()
}

/// How many hold a lease now.
pub fn share_leased(world: &World) -> usize {
    let leased = |n: &&crate::world::Node| {
        n.machine.is_some() && n.published.as_ref().is_some_and(|p| n.clock(world.now) < p.until)
    };
    world.nodes.iter().filter(leased).count()
}

fn document(number: u64) -> Document {
    let mut document = Document { attempts: 3, ..Document::default() };
    document.out.cells.insert([2, 3, 5, 6][number as usize % 4]);
    document
}

/// A proposal, said again every 600 ms at another door until it is answered: the number, and how long that took. Those that
/// are down are passed over, as by whoever balances operators.
pub fn agreed(world: &mut World, number: u64, most: Duration) -> Option<(u64, Duration)> {
    let began = world.now;
    let id = CommandId(u128::from(number) + 1);
    let mut tickets = Vec::new();
    loop {
        let size = u64::from(world.plan.size);
        let door = world.below(size) as u16;
        if world.answers_at(door) {
            tickets.push(world.propose(door, Some(id), propose(id, None, document(number))));
            let until = world.now + ms(600);
            while world.now < until {
                world.run(ms(5));
                let answers = tickets.iter().filter_map(|t| world.answers.get(t));
                let first =
                    answers.filter_map(|(at, a)| Some((*at, Ret::of(a)?))).min_by_key(|a| a.0);
                if let Some((at, Ret::Yes(number))) = first {
                    return Some((number, at.saturating_sub(began)));
                }
            }
        }
        if world.now >= began + most {
            return None;
        }
    }
}

/// How many have this revision in force, both steps done, under a lease.
pub fn in_force(world: &World, number: u64) -> usize {
    let has = |n: &&crate::world::Node| {
        n.machine.as_ref().is_some_and(|m| m.policy().status().revision >= number)
            && n.published.as_ref().is_some_and(|p| n.clock(world.now) < p.until)
    };
    world.nodes.iter().filter(has).count()
}

/// From asking to yes, and from yes to in force at 99 % and at all.
pub fn spread(world: &mut World, number: u64) -> Option<[Duration; 3]> {
    let (revision, yes) = agreed(world, number, ms(20_000))?;
    let began = world.now;
    let size = world.nodes.len();
    let most = size - size / 100;
    let near = world.run_while(ms(30_000), |w| in_force(w, revision) < most)?;
    world.run_while(ms(30_000), |w| in_force(w, revision) < size)?;
    Some([yes, near, world.now - began])
}

/// What all balancers sent a second, in the mean and at most, and in the worst second of one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Datagrams a second: the mean, the balancer that sent most, its worst second.
    pub datagrams: [f64; 3],
    /// Bytes, alike.
    pub bytes: [f64; 3],
}

/// Of a span of time.
pub fn load(world: &mut World, time: Duration) -> Load {
    world.count_anew();
    world.run(time);
    sent(world, time)
}

/// Since figures were counted anew.
pub fn sent(world: &World, time: Duration) -> Load {
    let (seconds, count) = (time.as_secs_f64(), world.nodes.len() as f64);
    let of = |f: fn(&crate::world::Sent) -> u64| world.nodes.iter().map(move |n| f(&n.sent));
    let three = |all: fn(&crate::world::Sent) -> u64, worst: fn(&crate::world::Sent) -> u64| {
        let sum = of(all).sum::<u64>() as f64;
        let most = of(all).max().unwrap_or(0) as f64;
        [sum / seconds / count, most / seconds, of(worst).max().unwrap_or(0) as f64]
    };
    Load {
        datagrams: three(|s| s.datagrams, |s| s.worst_datagrams),
        bytes: three(|s| s.bytes, |s| s.worst_bytes),
    }
}

/// From the leader's death until a proposal is answered again.
pub fn new_leader(world: &mut World, number: u64) -> Option<Duration> {
    let leader = world.leader()?;
    world.crash(leader);
    world.start_after(leader, ms(5000));
    let (_, time) = agreed(world, number, ms(30_000))?;
    world.run(ms(8000));
    world.run_while(ms(30_000), |w| !all_leased(w))?;
    Some(time)
}

/// One that is cut off (it keeps its state) or comes with nothing, while so many revisions come: from its return until it
/// has the newest in force.
pub fn catch_up(world: &mut World, revisions: u64, forgets: bool) -> Option<Duration> {
    let size = u64::from(world.plan.size);
    let votes = world.voters();
    let away = loop {
        let one = world.below(size) as u16;
        if !votes.contains(&one) {
            break one;
        }
        if votes.len() == world.nodes.len() && world.leader() != Some(one) {
            break one;
        }
    };
    if forgets {
        world.crash(away);
    } else {
        world.isolate(away);
    }
    let mut last = 0;
    let mut tickets = Vec::new();
    for number in 0..revisions {
        let leader = world.leader()?;
        let id = CommandId(1_000_000 + u128::from(number));
        tickets.push(world.propose(leader, Some(id), propose(id, None, document(number))));
        world.run(ms(25));
    }
    world.run(ms(12_000));
    for ticket in tickets {
        if let Some(Ret::Yes(number)) = world.answers.get(&ticket).and_then(|(_, a)| Ret::of(a)) {
            last = last.max(number);
        }
    }
    let began = world.now;
    if forgets {
        world.start_after(away, Duration::ZERO);
    } else {
        world.cuts.clear();
    }
    let has = |w: &World| {
        let node = &w.nodes[usize::from(away)];
        node.machine.as_ref().is_some_and(|m| m.policy().status().revision >= last)
            && node.published.as_ref().is_some_and(|p| node.clock(w.now) < p.until)
    };
    world.run_while(ms(60_000), |w| !has(w))?;
    Some(world.now - began)
}

/// What became of a bank of which all were killed at once.
#[derive(Clone, Copy, Debug)]
pub struct Ruin {
    /// Until 99 % held a lease again, and until all did.
    pub leased: [Duration; 2],
    /// Revisions that a yes was said to, before; and those of them that are still there.
    pub revisions: [usize; 2],
    /// They had lost the charter as well, and whoever was asked for it.
    pub first_answer: Duration,
}

/// All are killed in the middle of the second step, and begin again with nothing within a second.
pub fn ruin(world: &mut World, number: u64) -> Option<Ruin> {
    let (revision, _) = agreed(world, number, ms(20_000))?;
    // The wide step is agreed, and not yet confirmed.
    world.run_while(ms(20_000), |w| {
        let wide = |n: &crate::world::Node| {
            n.machine.as_ref().is_some_and(|m| {
                let status = m.policy().status();
                status.revision >= revision && status.unconfirmed
            })
        };
        !w.nodes.iter().any(wide)
    })?;
    let numbers: Vec<u64> = {
        let of = |m: &hollowpaddle_gateway::cluster::Machine| {
            m.policy().revisions().map(|(n, _)| n).collect::<Vec<u64>>()
        };
        world.nodes.iter().filter_map(|n| n.machine.as_ref()).map(of).max_by_key(Vec::len)?
    };
    let began = world.now;
    for at in 0..world.plan.size {
        world.crash(at);
        let after = ms(world.below(1000));
        world.start_after(at, after);
    }
    let size = world.nodes.len();
    let most = size - size / 100;
    world.run_while(ms(60_000), |w| share_leased(w) < most)?;
    let near = world.now - began;
    world.run_while(ms(60_000), |w| share_leased(w) < size)?;
    let all = world.now - began;
    let (_, first_answer) = agreed(world, number + 1, ms(30_000))?;
    let machine = world.nodes.iter().find_map(|n| n.machine.as_ref())?;
    let kept = numbers.iter().filter(|n| machine.policy().kept(**n).is_ok()).count();
    Some(Ruin { leased: [near, all], revisions: [numbers.len(), kept], first_answer })
}

/// Who holds a seat, for a table.
pub fn seats(world: &World) -> Vec<NodeId> {
    world.voters().into_iter().map(NodeId).collect()
}
