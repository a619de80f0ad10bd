//! A fleet described by counts: the list entries of its upstreams, and the configuration of each of its
//! balancers in the platform's format.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;
use serde_json::{Value, json};

/// Balancers of the planned deployment.
pub const TARGET_BALANCERS: usize = 4_300;
/// Upstreams of the planned deployment.
pub const TARGET_UPSTREAMS: usize = 39_000;
/// Services of the planned deployment.
pub const TARGET_SERVICES: usize = 1_300;
/// Regions of the planned deployment.
pub const TARGET_REGIONS: usize = 5;
/// Zones of the planned deployment, over all regions.
pub const TARGET_ZONES: usize = 11;
/// Tenants of the planned deployment.
pub const TARGET_TENANTS: usize = 330_000;
/// Upstreams of one service: [`TARGET_UPSTREAMS`] over [`TARGET_SERVICES`].
pub const UPSTREAMS_PER_SERVICE: usize = 30;
/// Upstreams in one rack. A rack is a cell of the list.
pub const UPSTREAMS_PER_RACK: usize = 40;

/// Tenants of a fleet for which no other number is asked: few, so that runs measure upstreams.
const DEFAULT_TENANTS: usize = 100;
/// Port of the upstreams that nobody listens for.
const UPSTREAM_PORT: u16 = 8081;
/// Second octet of the first address of upstreams: 127.16.0.0 and up keeps clear of 127.0.0.0/16, where the
/// harness itself listens.
const FIRST_UPSTREAM_OCTET: usize = 16;
/// Weight of each upstream; all are alike.
const UPSTREAM_SIZE: f64 = 1.0;

/// Longest time for a request, in milliseconds; the aim is half of it.
const DEADLINE_MS: f64 = 2_000.0;
/// How long a send may still go to an upstream that drains or is gone, in milliseconds (`DrainGrace`).
pub const DRAIN_GRACE_MS: u64 = 2_000;
/// What one call to discovery is worth in time, in milliseconds (`AskEvery`).
const ASK_EVERY_MS: f64 = 30_000.0;

/// Counts that describe a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Balancers.
    pub balancers: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Services; each is one class of requests bound to one machine type.
    pub services: usize,
    /// Regions; each zone belongs to one.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// Tenants in each configuration.
    pub tenants: usize,
}

impl Fleet {
    /// The planned deployment.
    pub const TARGET: Self = Self {
        balancers: TARGET_BALANCERS,
        upstreams: TARGET_UPSTREAMS,
        services: TARGET_SERVICES,
        regions: TARGET_REGIONS,
        zones: TARGET_ZONES,
        tenants: TARGET_TENANTS,
    };

    /// A fleet of so many balancers and upstreams with the planned deployment's zones and service size.
    pub fn of(balancers: usize, upstreams: usize) -> Self {
        let services = upstreams.div_ceil(UPSTREAMS_PER_SERVICE).max(1);
        Self { balancers, upstreams, services, tenants: DEFAULT_TENANTS, ..Self::TARGET }
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones.max(1)
    }

    /// The zone of an upstream.
    pub fn zone_of(&self, upstream: usize) -> usize {
        upstream % self.zones
    }

    /// The service of an upstream: runs of [`UPSTREAMS_PER_SERVICE`] go to the services in turn.
    pub fn service_of(&self, upstream: usize) -> usize {
        upstream / UPSTREAMS_PER_SERVICE % self.services
    }

    /// The rack of an upstream; a rack lies in one zone.
    pub fn rack_of(&self, upstream: usize) -> usize {
        let rank_in_zone = upstream / self.zones;
        rank_in_zone / UPSTREAMS_PER_RACK * self.zones + self.zone_of(upstream)
    }

    /// The name of a zone, with its region.
    pub fn zone_name(&self, zone: usize) -> String {
        format!("r{}-z{zone}", self.region_of(zone))
    }

    /// The list entries of all upstreams, all of them serving.
    pub fn entries(&self) -> Vec<ListEntry> {
        (0..self.upstreams).map(|upstream| self.entry(upstream)).collect()
    }

    /// The list entry of one upstream, as serving at an address of its own.
    pub fn entry(&self, upstream: usize) -> ListEntry {
        ListEntry {
            id: format!("s-{upstream:08x}"),
            host_port: upstream_address(upstream).to_string(),
            locality: self.zone_name(self.zone_of(upstream)),
            flavor: machine_type(self.service_of(upstream)),
            cell: self.rack_of(upstream) as u32,
            phase: Phase::Serving,
            size: UPSTREAM_SIZE,
            up_since_ms: 0,
        }
    }

    /// The configuration of one balancer in the platform's format (the file that `LB_CONFIG` names).
    pub fn config(&self, balancer: &BalancerConfig) -> Value {
        let mut config = json!({
            "name": format!("n{}", balancer.position),
            "listen": balancer.listen.to_string(),
            "discovery": balancer.discovery.to_string(),
            "seed": format!("{:016x}", balancer.seed),
            "settings": self.settings(balancer),
        });
        if let Some(subset) = balancer.subset {
            config["subset"] = json!({"times": subset.times, "least": subset.least});
        }
        if let Some(peers) = &balancer.peers {
            let addresses: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
            config["peer_listen"] = addresses[balancer.position].clone().into();
            config["peers"] = addresses.into();
        }
        config
    }

    fn settings(&self, balancer: &BalancerConfig) -> Value {
        let mut zones: Vec<String> = (0..self.zones).map(|zone| self.zone_name(zone)).collect();
        let mut services: Vec<Value> = (0..self.services).map(service).collect();
        let mut machine_types: Vec<String> = (0..self.services).map(machine_type).collect();
        if balancer.canary {
            services.push(class(CANARY_SERVICE, self.services));
            machine_types.push(CANARY_SERVICE.to_string());
            // A zone of its own: a subset takes something of each zone, so that every balancer holds the canary.
            zones.push(CANARY_SERVICE.to_string());
        }
        let tenants: Vec<Value> = (0..self.tenants).map(tenant).collect();
        json!({
            "Balancers": self.balancers,
            "Position": balancer.position,
            "Zone": balancer.position % self.zones,
            "Zones": zones,
            "MachineTypes": machine_types,
            "Tick": 5.0,
            "RegistryMode": "subscribe",
            "Services": services,
            "Tenants": tenants,
            "PolicyLimits": {
                "MaxAttempts": 3,
                "SecondCopies": false,
                "Cancelling": true,
                "PeerMessages": balancer.peers.is_some(),
                "Probes": false,
                "RetryAfter": true,
                "MaxRetryAfter": 2000.0,
                "ConnectTimeout": 250.0,
                "Keepalive": 5000.0,
                "StreamsPerConn": 1,
            },
            "Safety": {
                "AnswerSlack": 20.0,
                "AskEvery": ASK_EVERY_MS,
                "Cold": 0.0,
                "ColdFrom": 1.0,
                "DrainGrace": DRAIN_GRACE_MS,
                "FallMultiple": 3.0,
                "TipAfter": 1000.0,
            },
            "Stats": {"How": "piggyback", "Names": ["eps", "qps", "inflight"]},
        })
    }
}

/// The service whose only upstream the harness replaces to see when a change is in force.
pub const CANARY_SERVICE: &str = "canary";

/// What differs between the configurations of a fleet's balancers.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Its number, from 0.
    pub position: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For its random numbers.
    pub seed: u64,
    /// How large a part of the fleet it keeps; all of it where none is asked for.
    pub subset: Option<SubsetConfig>,
    /// Datagram addresses of all balancers by number; none where balancers may not talk.
    pub peers: Option<Vec<SocketAddr>>,
    /// Whether the class [`CANARY_SERVICE`] is among its services.
    pub canary: bool,
}

/// How large a part of the fleet one balancer keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// So many times the balancer's even part.
    pub times: f64,
    /// Upstreams of each zone at least.
    pub least: usize,
}

/// One upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListEntry {
    /// The same at every balancer.
    pub id: String,
    /// Where it listens.
    pub host_port: String,
    /// Name of its zone.
    pub locality: String,
    /// Name of its machine type.
    pub flavor: String,
    /// Its rack.
    pub cell: u32,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Its weight beside others.
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// Whether an upstream takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// The name of a service, which is also its class of requests.
pub fn service_name(service: usize) -> String {
    format!("service-{service}")
}

/// The name of the machine type that a service is bound to.
pub fn machine_type(service: usize) -> String {
    format!("m{service}")
}

fn service(service: usize) -> Value {
    class(&service_name(service), service)
}

fn class(name: &str, machine_type: usize) -> Value {
    json!({
        "Name": name,
        "Aim": DEADLINE_MS / 2.0,
        "Deadline": DEADLINE_MS,
        "Effect": "retryable",
        "BoundTo": [machine_type],
    })
}

fn tenant(tenant: usize) -> Value {
    json!({"Name": format!("t{tenant}"), "QuotaRps": 0.0, "Share": 0.0})
}

/// A loopback address of its own for each upstream.
fn upstream_address(upstream: usize) -> SocketAddr {
    let octet = |shift: usize| (upstream >> shift & 0xff) as u8;
    let second = (FIRST_UPSTREAM_OCTET + (upstream >> 16)) as u8;
    SocketAddr::from((Ipv4Addr::new(127, second, octet(8), octet(0)), UPSTREAM_PORT))
}
