//! State that all stand-ins of one run share: the plan, the trace, the network and its addresses.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{Network, Tcp};
use hollowpaddle_simnet::Fabric;
use rustc_hash::FxHashMap;

use crate::plan::{Arrival, Plan};
use crate::record::Record;
use crate::scenario::{Effect, Scenario};

/// A participant that has an address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Host {
    /// A balancer, by number.
    Balancer(usize),
    /// The clients of this balancer.
    Clients(usize),
    /// The endpoint list, at the address for this balancer.
    List(usize),
    /// The other balancers, at the addresses for this balancer.
    Peers(usize),
    /// An upstream, by index of its machine.
    Node(usize),
}

/// Offsets of each kind of host in the address range of one run.
const CLIENTS: usize = 1000;
const LISTS: usize = 2000;
const PEERS: usize = 3000;
const NODES: usize = 4000;
/// Number of addresses used of each network of 256.
const HOSTS_PER_NETWORK: usize = 250;

impl Host {
    fn index(self) -> usize {
        match self {
            Host::Balancer(b) => b,
            Host::Clients(b) => CLIENTS + b,
            Host::List(b) => LISTS + b,
            Host::Peers(b) => PEERS + b,
            Host::Node(n) => NODES + n,
        }
    }

    fn at(index: usize) -> Self {
        match index {
            n if n >= NODES => Host::Node(n - NODES),
            n if n >= PEERS => Host::Peers(n - PEERS),
            n if n >= LISTS => Host::List(n - LISTS),
            n if n >= CLIENTS => Host::Clients(n - CLIENTS),
            b => Host::Balancer(b),
        }
    }

    fn ip(self, net: u8) -> IpAddr {
        let index = self.index();
        let (third, fourth) =
            ((index / HOSTS_PER_NETWORK) as u8, (index % HOSTS_PER_NETWORK + 1) as u8);
        IpAddr::V4(Ipv4Addr::new(127, net, third, fourth))
    }

    /// Returns the host with this address. Every address of a run belongs to a host.
    pub fn from_ip(ip: IpAddr) -> Self {
        let IpAddr::V4(ip) = ip else { return Host::Balancer(0) };
        let [_, _, third, fourth] = ip.octets();
        Self::at(usize::from(third) * HOSTS_PER_NETWORK + usize::from(fourth).saturating_sub(1))
    }
}

/// The network that a run uses.
#[derive(Clone)]
pub enum Testbed {
    /// This machine's loopback. Every run uses one of its networks, 127.x.0.0/16, chosen at random,
    /// so that two concurrent runs don't take each other's addresses.
    Loopback {
        /// The second octet of the addresses.
        net: u8,
    },
    /// A simulated network inside this process.
    Simulated(Fabric),
}

/// The second octet of addresses in simulated runs.
const SIMULATED_NET: u8 = 64;

impl Testbed {
    /// Returns a test bed on this machine's loopback.
    pub fn loopback() -> Self {
        Testbed::Loopback { net: Self::loopback_net() }
    }

    /// Returns the second octet of a random loopback network.
    pub fn loopback_net() -> u8 {
        // No result of a run depends on which network is chosen.
        let sample = Tcp.unix_now().subsec_nanos() ^ std::process::id();
        64 + (sample % 128) as u8
    }

    /// Returns a simulated network with the scenario's delays between zones.
    pub fn simulated(scenario: &Scenario, plan: &Plan) -> Self {
        let zones = scenario.fleet.zones.len();
        let node_zones: Vec<usize> = plan.machines.iter().map(|m| m.zone).collect();
        let (same, cross) = (scenario.fleet.same_zone, scenario.fleet.cross_zone);
        let zone = move |ip| match Host::from_ip(ip) {
            Host::Balancer(b) | Host::Clients(b) | Host::List(b) | Host::Peers(b) => b % zones,
            Host::Node(n) => node_zones.get(n).copied().unwrap_or(0),
        };
        let delay = move |a, b| if zone(a) == zone(b) { same } else { cross };
        Testbed::Simulated(Fabric::new(EPOCH, delay))
    }

    /// Returns the network from this host's point of view.
    pub fn network(&self, host: Host) -> Rc<dyn Network> {
        match self {
            Testbed::Loopback { .. } => Rc::new(Tcp),
            Testbed::Simulated(fabric) => fabric.host(host.ip(SIMULATED_NET)),
        }
    }

    /// Returns the address of this host, with port 0 so that the port is assigned when it listens.
    pub fn address(&self, host: Host) -> SocketAddr {
        let net = match self {
            Testbed::Loopback { net } => *net,
            Testbed::Simulated(_) => SIMULATED_NET,
        };
        SocketAddr::new(host.ip(net), 0)
    }

    /// Steps the host's simulated wall clock by this many microseconds. Has no effect on loopback,
    /// where the machine's clock must not be stepped.
    pub fn step_clock(&self, host: Host, by_us: i64) {
        if let Testbed::Simulated(fabric) = self {
            fabric.step_clock(host.ip(SIMULATED_NET), by_us);
        }
    }

    /// Returns the simulated network, if this run uses one.
    pub fn fabric(&self) -> Option<&Fabric> {
        match self {
            Testbed::Loopback { .. } => None,
            Testbed::Simulated(fabric) => Some(fabric),
        }
    }

    /// Returns whether time and network are simulated.
    pub fn is_simulated(&self) -> bool {
        matches!(self, Testbed::Simulated(_))
    }
}

/// Unix time at the start of a simulated run: a morning in August.
const EPOCH: Duration = Duration::from_secs(1_786_000_000);

/// State that all stand-ins share.
pub struct RunContext {
    /// The scenario of this run.
    pub scenario: Scenario,
    /// The plan generated from the scenario and the seed.
    pub plan: Plan,
    /// The trace of the run.
    pub record: Record,
    /// Network and addresses.
    pub testbed: Testbed,
    /// Unix time at the start of the trace.
    pub epoch: Duration,
    requests: FxHashMap<String, u32>,
    /// The number of the latest start of each balancer, from 1.
    starts: RefCell<Vec<u32>>,
    /// Idempotency keys that each group of nodes has seen, and the time at which each expires.
    pub keys: RefCell<FxHashMap<(u64, u32), tokio::time::Instant>>,
    /// User sessions that each cell knows, and the time at which each expires.
    known_sessions: RefCell<FxHashMap<(u32, u32), tokio::time::Instant>>,
    /// Number of requests that are not finished.
    pub open: Cell<usize>,
}

impl RunContext {
    /// Creates the state of one run.
    pub fn new(scenario: Scenario, plan: Plan, testbed: Testbed) -> Rc<Self> {
        let index = |(i, a): (usize, &Arrival)| (a.id.clone(), i as u32);
        let requests = plan.arrivals.iter().enumerate().map(index).collect();
        let starts = RefCell::new(vec![0; scenario.cluster.count]);
        let epoch = testbed.network(Host::Clients(0)).unix_now();
        Rc::new(Self {
            scenario,
            plan,
            record: Record::new(),
            testbed,
            epoch,
            requests,
            starts,
            keys: RefCell::default(),
            known_sessions: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Returns the index of the request with this id.
    pub fn request(&self, id: &str) -> Option<u32> {
        self.requests.get(id).copied()
    }

    /// Returns the planned arrival of a request.
    pub fn arrival(&self, request: u32) -> &Arrival {
        &self.plan.arrivals[request as usize]
    }

    /// Returns the number of the balancer's latest start.
    pub fn start_of(&self, balancer: usize) -> u32 {
        self.starts.borrow().get(balancer).copied().unwrap_or(0)
    }

    /// Increments the balancer's start number and returns it.
    pub fn next_start(&self, balancer: usize) -> u32 {
        let mut starts = self.starts.borrow_mut();
        starts[balancer] += 1;
        starts[balancer]
    }

    /// Returns the request as its client writes it. `left` is the time until the client's deadline.
    pub fn request_text(&self, request: u32, left: Duration) -> String {
        let (arrival, class) = (self.arrival(request), self.class(request));
        let (id, body) = (&arrival.id, self.body(request));
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {}\r\n\
             Cookie: sid={:016x}\r\nX-Deadline-Ms: {}\r\n",
            class.effect.method(),
            self.target(request),
            class.name,
            arrival.session_id,
            left.as_millis(),
        );
        if arrival.original != request && self.scenario.clients.repeats.marked {
            text.push_str("X-Retry: 1\r\n");
        }
        if class.effect == Effect::Keyed {
            text.push_str(&format!("Idempotency-Key: {}\r\n", self.idempotency_key(request)));
        }
        if class.effect != Effect::Safe {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text + "\r\n" + &body
    }

    /// Returns the class of a request.
    pub fn class(&self, request: u32) -> &crate::scenario::Class {
        &self.scenario.classes[self.arrival(request).class]
    }

    /// Returns the request target on the wire.
    pub fn target(&self, request: u32) -> String {
        format!("/api?of={}", self.arrival(request).id)
    }

    /// Returns the idempotency key of a keyed request. A repeat has the key of the original
    /// request.
    pub fn idempotency_key(&self, request: u32) -> String {
        let arrival = self.arrival(self.arrival(request).original);
        format!("{:016x}{}", arrival.session_id, arrival.id)
    }

    /// Returns the work of a request in this cell, in milliseconds of a core of speed 1. A user
    /// session that is unknown to the cell costs extra work.
    pub fn work_ms(&self, request: u32, cell: u32) -> f64 {
        let arrival = self.arrival(request);
        let extra_work = match (&self.scenario.sessions, arrival.session) {
            (Some(sessions), Some((session, _))) => {
                let known = self.known_sessions.borrow();
                let until = known.get(&(cell, session));
                let known = until.is_some_and(|until| *until > tokio::time::Instant::now());
                if known { 0.0 } else { sessions.unknown_session_work_ms }
            }
            _ => 0.0,
        };
        arrival.work_ms + extra_work
    }

    /// Records that this cell has started a request and so knows its user session from now on.
    pub fn remember_session(&self, request: u32, cell: u32) {
        if let (Some(sessions), Some((session, _))) =
            (&self.scenario.sessions, self.arrival(request).session)
        {
            let until = tokio::time::Instant::now() + sessions.session_expiry;
            self.known_sessions.borrow_mut().insert((cell, session), until);
        }
    }

    /// Returns the id of the effect of a keyed request; requests with the same key share an effect.
    /// In scenarios without user sessions each repeat has an effect of its own, so that the results
    /// of earlier sweeps stay reproducible.
    pub fn effect(&self, request: u32) -> u32 {
        if self.scenario.sessions.is_some() { self.arrival(request).original } else { request }
    }

    /// Returns the body of a request. A safe request has none.
    pub fn body(&self, request: u32) -> String {
        if self.class(request).effect == Effect::Safe {
            return String::new();
        }
        format!("{{\"reading\":\"{}\",\"of\":{request}}}", self.arrival(request).id)
    }
}
