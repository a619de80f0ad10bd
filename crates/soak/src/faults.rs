//! Injection of random faults. Each balancer and the list of upstreams get independent faults, so that they overlap.

use std::time::Duration;

use hollowpaddle_syscall_faults::{Errno, Fault};
use tokio::time::{Instant, sleep};

use crate::balancer::Balancer;
use crate::ledger::{SharedLedger, lock};
use crate::random::Random;
use crate::upstream::Upstream;
use crate::upstream_list::{Phase, UpstreamList, unix_ms};

/// Offset of a wrong wall clock at the start of a process, in seconds.
const CLOCK_STEP: i64 = 3600;

/// A fault of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BalancerFault {
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

const BALANCER_FAULTS: [BalancerFault; 12] = [
    BalancerFault::SystemCalls,
    BalancerFault::SystemCalls,
    BalancerFault::SystemCalls,
    BalancerFault::HeldUp,
    BalancerFault::HeldUp,
    BalancerFault::Reload,
    BalancerFault::Restart,
    BalancerFault::Restart,
    BalancerFault::Kill,
    BalancerFault::WatchCut,
    BalancerFault::WatchSilent,
    BalancerFault::DiscoveryDown,
];

const SYSTEM_CALL_FAULTS: [Fault; 13] = [
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
pub async fn inject_balancer_faults(
    mut balancer: Balancer,
    mut random: Random,
    until: Instant,
    ledger: SharedLedger,
) -> Balancer {
    while Instant::now() < until {
        sleep(random.milliseconds(100, 900)).await;
        let balancer_fault = *random.pick(&BALANCER_FAULTS);
        if let Err(cause) = inject(balancer_fault, &mut balancer, &mut random).await {
            let failure = format!("balancer {}: {balancer_fault:?}: {cause}", balancer.number);
            lock(&ledger).daemon_failures.push(failure);
        }
    }
    balancer.discovery.set_down(false);
    balancer
}

async fn inject(
    balancer_fault: BalancerFault,
    balancer: &mut Balancer,
    random: &mut Random,
) -> std::io::Result<()> {
    match balancer_fault {
        BalancerFault::SystemCalls => {
            let fault = *random.pick(&SYSTEM_CALL_FAULTS);
            balancer.shim.set(fault)?;
            sleep(random.milliseconds(100, 700)).await;
            balancer.shim.set(cleared(fault))
        }
        BalancerFault::HeldUp => {
            balancer.signal("STOP").await;
            sleep(random.milliseconds(20, 130)).await;
            balancer.signal("CONT").await;
            Ok(())
        }
        BalancerFault::Reload => balancer.reload(random.milliseconds(1, 100)).await,
        BalancerFault::Restart => {
            // Makes some `accept` calls fail during the shutdown.
            let fault = *random.pick(&SYSTEM_CALL_FAULTS[..3]);
            balancer.shim.set(fault)?;
            balancer.stop().await;
            balancer.shim.set(cleared(fault))?;
            start_with_clock_offset(balancer, random).await
        }
        BalancerFault::Kill => {
            balancer.kill().await;
            start_with_clock_offset(balancer, random).await
        }
        BalancerFault::WatchCut => {
            balancer.discovery.cut();
            Ok(())
        }
        BalancerFault::WatchSilent => {
            balancer.discovery.silence();
            Ok(())
        }
        BalancerFault::DiscoveryDown => {
            balancer.discovery.set_down(true);
            sleep(random.milliseconds(300, 2500)).await;
            balancer.discovery.set_down(false);
            Ok(())
        }
    }
}

/// Starts the next process with a wall clock that may be wrong.
async fn start_with_clock_offset(
    balancer: &mut Balancer,
    random: &mut Random,
) -> std::io::Result<()> {
    let seconds = *random.pick(&[0, 0, CLOCK_STEP, -CLOCK_STEP]);
    balancer.shim.set(Fault::WallClock(seconds))?;
    balancer.start().await
}

/// Returns the setting that ends a fault.
fn cleared(fault: Fault) -> Fault {
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
pub async fn inject_upstream_faults(
    upstreams: Vec<Upstream>,
    upstream_list: UpstreamList,
    mut random: Random,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(random.milliseconds(200, 900)).await;
        let upstream = random.pick(&upstreams).clone();
        match random.range(0, 4) {
            0 => {
                upstream_list.change(&upstream.id, Phase::Draining, None);
                sleep(random.milliseconds(500, 2500)).await;
                upstream_list.change(&upstream.id, Phase::Deleted, None);
                sleep(random.milliseconds(200, 600)).await;
                restart(&upstream, &upstream_list).await;
            }
            1 => {
                // A drain that is cancelled.
                upstream_list.change(&upstream.id, Phase::Draining, None);
                sleep(random.milliseconds(100, 1500)).await;
                upstream_list.change(&upstream.id, Phase::Serving, None);
            }
            2 => restart(&upstream, &upstream_list).await,
            _ => {
                upstream.set_silent(true);
                sleep(random.milliseconds(300, 1500)).await;
                upstream.set_silent(false);
            }
        }
    }
}

async fn restart(upstream: &Upstream, upstream_list: &UpstreamList) {
    upstream.restart().await;
    upstream_list.change(&upstream.id, Phase::Serving, Some(unix_ms()));
}
