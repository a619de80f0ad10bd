//! Injection of random faults. Each balancer and the list of upstreams get independent faults, so that they overlap.

use std::time::Duration;

use hollowpaddle_syscall_faults::{Errno, Fault};
use tokio::time::{Instant, sleep};

use crate::balancer::Balancer;
use crate::fleet::{Fleet, Phase, unix_ms};
use crate::ledger::{SharedLedger, locked};
use crate::random::Random;
use crate::upstream::Upstream;

/// Offset of a wrong wall clock at the start of a process, in seconds.
const CLOCK_STEP: i64 = 3600;

/// A fault of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Some system calls fail, transfer fewer bytes or are delayed for a while.
    SystemCalls,
    /// The process is stopped for a while.
    HeldUp,
    /// The configuration file is rewritten slowly, with a reload while it is incomplete.
    Reload,
    /// The process is terminated gracefully and started again.
    Restart,
    /// The process is killed and started again.
    Kill,
    /// The discovery watches are closed.
    WatchCut,
    /// The discovery watches stay open and send nothing.
    WatchSilent,
    /// Discovery is unavailable.
    DiscoveryDown,
}

const TROUBLES: [Trouble; 12] = [
    Trouble::SystemCalls,
    Trouble::SystemCalls,
    Trouble::SystemCalls,
    Trouble::HeldUp,
    Trouble::HeldUp,
    Trouble::Reload,
    Trouble::Restart,
    Trouble::Restart,
    Trouble::Kill,
    Trouble::WatchCut,
    Trouble::WatchSilent,
    Trouble::DiscoveryDown,
];

const FAULTS: [Fault; 13] = [
    Fault::Accept(Errno::ConnectionAborted, 2),
    Fault::Accept(Errno::FileTableOverflow, 4),
    Fault::Accept(Errno::Interrupted, 2),
    Fault::Connect(Errno::AddressNotAvailable, 1),
    Fault::Connect(Errno::NoBufferSpace, 2),
    Fault::Connect(Errno::NetworkUnreachable, 2),
    Fault::Connect(Errno::HostUnreachable, 3),
    Fault::Connect(Errno::TimedOut, 3),
    Fault::Receive(Errno::Interrupted, 3),
    Fault::Send(Errno::Interrupted, 3),
    Fault::ShortReceive(40),
    Fault::ShortSend(40),
    Fault::HoldUp(Duration::from_millis(140), 40),
];

/// Injects faults into a balancer until this time, and returns it with its discovery available.
pub async fn trouble_balancer(
    mut balancer: Balancer,
    mut random: Random,
    until: Instant,
    ledger: SharedLedger,
) -> Balancer {
    while Instant::now() < until {
        sleep(random.milliseconds(100, 900)).await;
        let trouble = *random.pick(&TROUBLES);
        if let Err(cause) = make(trouble, &mut balancer, &mut random).await {
            let complaint = format!("balancer {}: {trouble:?}: {cause}", balancer.number);
            locked(&ledger).complaints.push(complaint);
        }
    }
    balancer.discovery.set_down(false);
    balancer
}

async fn make(
    trouble: Trouble,
    balancer: &mut Balancer,
    random: &mut Random,
) -> std::io::Result<()> {
    match trouble {
        Trouble::SystemCalls => {
            let fault = *random.pick(&FAULTS);
            balancer.shim.set(fault)?;
            sleep(random.milliseconds(100, 700)).await;
            balancer.shim.set(ended(fault))
        }
        Trouble::HeldUp => {
            balancer.signal("STOP").await;
            sleep(random.milliseconds(20, 130)).await;
            balancer.signal("CONT").await;
            Ok(())
        }
        Trouble::Reload => balancer.reload(random.milliseconds(1, 100)).await,
        Trouble::Restart => {
            // Makes some `accept` calls fail during the shutdown.
            let fault = *random.pick(&FAULTS[..3]);
            balancer.shim.set(fault)?;
            balancer.stop().await;
            balancer.shim.set(ended(fault))?;
            begin(balancer, random).await
        }
        Trouble::Kill => {
            balancer.kill().await;
            begin(balancer, random).await
        }
        Trouble::WatchCut => {
            balancer.discovery.cut();
            Ok(())
        }
        Trouble::WatchSilent => {
            balancer.discovery.silence();
            Ok(())
        }
        Trouble::DiscoveryDown => {
            balancer.discovery.set_down(true);
            sleep(random.milliseconds(300, 2500)).await;
            balancer.discovery.set_down(false);
            Ok(())
        }
    }
}

/// Starts the next process with a wall clock that may be wrong.
async fn begin(balancer: &mut Balancer, random: &mut Random) -> std::io::Result<()> {
    let seconds = *random.pick(&[0, 0, CLOCK_STEP, -CLOCK_STEP]);
    balancer.shim.set(Fault::WallClock(seconds))?;
    balancer.start().await
}

/// Returns the setting that ends a fault.
fn ended(fault: Fault) -> Fault {
    match fault {
        Fault::Accept(errno, _) => Fault::Accept(errno, 0),
        Fault::Connect(errno, _) => Fault::Connect(errno, 0),
        Fault::Receive(errno, _) => Fault::Receive(errno, 0),
        Fault::Send(errno, _) => Fault::Send(errno, 0),
        Fault::ShortReceive(_) => Fault::ShortReceive(0),
        Fault::ShortSend(_) => Fault::ShortSend(0),
        Fault::WallClock(_) => Fault::WallClock(0),
        Fault::HoldUp(_, _) => Fault::HoldUp(Duration::ZERO, 0),
    }
}

/// Injects drains, restarts, crashes and unresponsiveness until this time, into one upstream at a time.
pub async fn trouble_fleet(
    upstreams: Vec<Upstream>,
    fleet: Fleet,
    mut random: Random,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(random.milliseconds(200, 900)).await;
        let upstream = random.pick(&upstreams).clone();
        match random.range(0, 4) {
            0 => {
                fleet.change(&upstream.id, Phase::Draining, None);
                sleep(random.milliseconds(500, 2500)).await;
                fleet.change(&upstream.id, Phase::Deleted, None);
                sleep(random.milliseconds(200, 600)).await;
                restart(&upstream, &fleet).await;
            }
            1 => {
                // A drain that is cancelled.
                fleet.change(&upstream.id, Phase::Draining, None);
                sleep(random.milliseconds(100, 1500)).await;
                fleet.change(&upstream.id, Phase::Serving, None);
            }
            2 => restart(&upstream, &fleet).await,
            _ => {
                upstream.set_silent(true);
                sleep(random.milliseconds(300, 1500)).await;
                upstream.set_silent(false);
            }
        }
    }
}

async fn restart(upstream: &Upstream, fleet: &Fleet) {
    upstream.restart().await;
    fleet.change(&upstream.id, Phase::Serving, Some(unix_ms()));
}
