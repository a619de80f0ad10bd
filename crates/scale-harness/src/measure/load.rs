//! The time that the daemon adds to a request: the same open-loop load through the daemon and straight to an
//! upstream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_load::account::{Account, Times};
use hollowpaddle_load::driver::{self, Target, Waiting};
use hollowpaddle_load::profile::{Arrivals, Class, Effect, Profile};
use hollowpaddle_load::schedule::{Rates, Spacing};
use hollowpaddle_net::Tcp;
use serde::Serialize;
use tokio::task::LocalSet;

use super::process::Daemon;
use super::upstreams::StandInUpstreams;
use super::{MeasureError, SEED};
use crate::fleet::{UPSTREAMS_PER_SERVICE, service_name};

/// How long clients wait for an answer.
const DEADLINE: Duration = Duration::from_secs(2);
/// Connections of the clients at most.
const CONNECTIONS: u32 = 256;

/// A load to play: Poisson arrivals at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPlan {
    /// Requests per second.
    pub rate: f64,
    /// For how long, once through the daemon and once without it.
    pub length: Duration,
    /// Upstreams that answer, the first of the list. Requests go to the services that these serve.
    pub upstreams: usize,
    /// Services that requests go to at most.
    pub services: usize,
}

impl LoadPlan {
    /// Services that are asked for: those of which all upstreams answer, one at least.
    fn services_used(&self) -> usize {
        (self.upstreams / UPSTREAMS_PER_SERVICE).clamp(1, self.services.max(1))
    }

    fn profile(&self, tenants: usize) -> Profile {
        let class = |service| Class {
            name: service_name(service),
            share: 1.0,
            effect: Effect::Safe,
            deadline: DEADLINE,
            path: "/api".to_string(),
            body: 0,
        };
        Profile {
            classes: (0..self.services_used()).map(class).collect(),
            arrivals: Arrivals::Open(Spacing::Poisson, Rates::steady(self.rate)),
            length: self.length,
            connections: CONNECTIONS,
            keep_connections: true,
            platform: true,
            tenants: tenants as u32,
        }
    }
}

/// Latencies of one play in milliseconds, counted from when each request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Requests that were due.
    pub requests: u64,
    /// Requests answered with 2xx.
    pub served: u64,
    /// At 50 percent.
    pub p50_ms: f64,
    /// At 99 percent.
    pub p99_ms: f64,
    /// At 99.9 percent.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// How late the generator itself was at 99 percent. Figures of a generator that is late are its own.
    pub generator_late_p99_ms: f64,
}

/// What one load showed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadFigures {
    /// Requests per second that were due.
    pub rate: f64,
    /// Services that were asked for.
    pub services: usize,
    /// Upstreams that answered.
    pub upstreams: usize,
    /// Through the daemon.
    pub through: Latency,
    /// Straight to one upstream.
    pub direct: Latency,
    /// Difference of the two at 50 percent.
    pub added_p50_ms: f64,
    /// Difference of the two at 99 percent.
    pub added_p99_ms: f64,
    /// Processor time of the daemon under this load, in percent of one core.
    pub cpu_percent: f64,
    /// Processor time of the daemon for each request that was due, in microseconds.
    pub cpu_us_per_request: f64,
    /// Connections that the daemon opened to upstreams for each request that was due.
    pub handshakes_per_request: f64,
    /// Descriptors of the daemon at the end.
    pub descriptors: u64,
    /// Resident memory of the daemon at the end, in KiB.
    pub resident_kib: u64,
}

/// Plays the load through the daemon, then straight to the first upstream.
pub(super) fn play(
    plan: &LoadPlan,
    tenants: usize,
    daemon: &Daemon,
    address: SocketAddr,
    upstreams: &StandInUpstreams,
) -> Result<LoadFigures, MeasureError> {
    let profile = plan.profile(tenants);
    let (before, opened_before) = (daemon.usage()?, upstreams.connections());
    let through = latency(&play_at(&profile, address)?);
    let (after, opened) = (daemon.usage()?, upstreams.connections() - opened_before);
    let direct = match upstreams.addresses().first() {
        Some(upstream) => latency(&play_at(&profile, *upstream)?),
        None => Latency::default(),
    };
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let requests = through.requests.max(1) as f64;
    Ok(LoadFigures {
        rate: plan.rate,
        services: plan.services_used(),
        upstreams: upstreams.addresses().len(),
        through,
        direct,
        added_p50_ms: through.p50_ms - direct.p50_ms,
        added_p99_ms: through.p99_ms - direct.p99_ms,
        cpu_percent: cpu / plan.length.as_secs_f64() * 100.0,
        cpu_us_per_request: cpu * 1e6 / requests,
        handshakes_per_request: opened as f64 / requests,
        descriptors: after.descriptors,
        resident_kib: after.resident_kib,
    })
}

fn play_at(profile: &Profile, address: SocketAddr) -> Result<Account, MeasureError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(MeasureError::setup("the load generator"))?;
    let target = Target { address, host: "api.internal".to_string() };
    // Timers ring up to a millisecond late, which is more than what is to be measured.
    let played = driver::run(Rc::new(Tcp), target, profile, SEED, Waiting::BusyWait, |_| {});
    Ok(LocalSet::new().block_on(&runtime, played))
}

fn latency(account: &Account) -> Latency {
    let mut all = Times::default();
    let (mut requests, mut served) = (0, 0);
    for class in &account.classes {
        all.add(&class.latency);
        requests += class.counts.asked;
        served += class.counts.served;
    }
    let spread = all.spread();
    Latency {
        requests,
        served,
        p50_ms: spread.p50,
        p99_ms: spread.p99,
        p999_ms: spread.p999,
        max_ms: spread.most,
        generator_late_p99_ms: account.lateness.spread().p99,
    }
}
