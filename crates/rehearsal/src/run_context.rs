//! What all stand-ins of one run share: the plan, the account, the network and its addresses.

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

/// Whoever has an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Host {
    /// A balancer, by number.
    Balancer(usize),
    /// The clients that come to it.
    Clients(usize),
    /// The node list, as this balancer reaches it.
    List(usize),
    /// The other balancers, as this one reaches them.
    Peers(usize),
    /// A machine, by place.
    Node(usize),
}

/// Places among the addresses of one run.
const CLIENTS: usize = 1000;
const LISTS: usize = 2000;
const PEERS: usize = 3000;
const NODES: usize = 4000;
/// Addresses used of each network of 256.
const OF_NET: usize = 250;

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
        let (third, fourth) = ((index / OF_NET) as u8, (index % OF_NET + 1) as u8);
        IpAddr::V4(Ipv4Addr::new(127, net, third, fourth))
    }

    /// Whose address this is; a run has no other.
    pub fn from_ip(ip: IpAddr) -> Self {
        let IpAddr::V4(ip) = ip else { return Host::Balancer(0) };
        let [_, _, third, fourth] = ip.octets();
        Self::at(usize::from(third) * OF_NET + usize::from(fourth).saturating_sub(1))
    }
}

/// The ground that a run stands on.
#[derive(Clone)]
pub enum Testbed {
    /// This machine's loopback. Every run uses one of its networks, 127.x.0.0/16, drawn at random: two
    /// runs at a time must not take each other's addresses.
    Loopback {
        /// The second part of its addresses.
        net: u8,
    },
    /// A network inside this process.
    Simulated(Fabric),
}

/// The network of simulated runs.
const SIMULATED: u8 = 64;

impl Testbed {
    /// The loopback of this machine.
    pub fn loopback() -> Self {
        Testbed::Loopback { net: Self::loopback_net() }
    }

    /// A network of the loopback, drawn at random.
    pub fn loopback_net() -> u8 {
        // Which one is nothing that a run depends on.
        let draw = Tcp.unix_now().subsec_nanos() ^ std::process::id();
        64 + (draw % 128) as u8
    }

    /// A simulated network with the scenario's delays between zones.
    pub fn simulated(scenario: &Scenario, plan: &Plan) -> Self {
        let zones = scenario.fleet.zones.len();
        let of_node: Vec<usize> = plan.machines.iter().map(|m| m.zone).collect();
        let (same, cross) = (scenario.fleet.same_zone, scenario.fleet.cross_zone);
        let zone = move |ip| match Host::from_ip(ip) {
            Host::Balancer(b) | Host::Clients(b) | Host::List(b) | Host::Peers(b) => b % zones,
            Host::Node(n) => of_node.get(n).copied().unwrap_or(0),
        };
        let delay = move |a, b| if zone(a) == zone(b) { same } else { cross };
        Testbed::Simulated(Fabric::new(EPOCH, delay))
    }

    /// The network as this one sees it.
    pub fn network(&self, who: Host) -> Rc<dyn Network> {
        match self {
            Testbed::Loopback { .. } => Rc::new(Tcp),
            Testbed::Simulated(fabric) => fabric.host(who.ip(SIMULATED)),
        }
    }

    /// Its address; the port is left to be chosen.
    pub fn address(&self, who: Host) -> SocketAddr {
        let net = match self {
            Testbed::Loopback { net } => *net,
            Testbed::Simulated(_) => SIMULATED,
        };
        SocketAddr::new(who.ip(net), 0)
    }

    /// Steps a simulated wall clock, in microseconds; the machine's own is nobody's to step.
    pub fn step_clock(&self, who: Host, by_us: i64) {
        if let Testbed::Simulated(fabric) = self {
            fabric.step_clock(who.ip(SIMULATED), by_us);
        }
    }

    /// The network inside this process, where there is one.
    pub fn fabric(&self) -> Option<&Fabric> {
        match self {
            Testbed::Loopback { .. } => None,
            Testbed::Simulated(fabric) => Some(fabric),
        }
    }

    /// Whether time and network are simulated.
    pub fn is_simulated(&self) -> bool {
        matches!(self, Testbed::Simulated(_))
    }
}

/// What a simulated run's wall clock says at its start: a morning in August.
const EPOCH: Duration = Duration::from_secs(1_786_000_000);

/// What all stand-ins share.
pub struct RunContext {
    /// What is played.
    pub scenario: Scenario,
    /// What was drawn.
    pub plan: Plan,
    /// The account.
    pub record: Record,
    /// Network and addresses.
    pub testbed: Testbed,
    /// Unix time at the start of the account.
    pub epoch: Duration,
    requests: FxHashMap<String, u32>,
    /// Which start of each balancer is running.
    starts: RefCell<Vec<u32>>,
    /// Keys that each group of nodes has seen, and until when it drops them.
    pub keys: RefCell<FxHashMap<(u64, u32), tokio::time::Instant>>,
    /// Vans that each pod knows, and until when.
    known: RefCell<FxHashMap<(u32, u32), tokio::time::Instant>>,
    /// Requests whose end is not known yet.
    pub open: Cell<usize>,
}

impl RunContext {
    /// For one run.
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
            known: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// The request of this id.
    pub fn request(&self, id: &str) -> Option<u32> {
        self.requests.get(id).copied()
    }

    /// What was drawn for a request.
    pub fn arrival(&self, request: u32) -> &Arrival {
        &self.plan.arrivals[request as usize]
    }

    /// Which start of a balancer is running.
    pub fn start_of(&self, balancer: usize) -> u32 {
        self.starts.borrow().get(balancer).copied().unwrap_or(0)
    }

    /// Counts a start.
    pub fn next_start(&self, balancer: usize) -> u32 {
        let mut starts = self.starts.borrow_mut();
        starts[balancer] += 1;
        starts[balancer]
    }

    /// A request as its client writes it. `left`: how long the client waits.
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

    /// The class of a request.
    pub fn class(&self, request: u32) -> &crate::scenario::Class {
        &self.scenario.classes[self.arrival(request).class]
    }

    /// Its target on the wire.
    pub fn target(&self, request: u32) -> String {
        format!("/api?of={}", self.arrival(request).id)
    }

    /// Its key, for a keyed one; a repeat has that of the first.
    pub fn idempotency_key(&self, request: u32) -> String {
        let arrival = self.arrival(self.arrival(request).original);
        format!("{:016x}{}", arrival.session_id, arrival.id)
    }

    /// What a request is on this pod, in milliseconds of a core of speed 1: more for a van that the pod does not know.
    pub fn work_ms(&self, request: u32, pod: u32) -> f64 {
        let arrival = self.arrival(request);
        let stranger = match (&self.scenario.sessions, arrival.session) {
            (Some(vans), Some((van, _))) => {
                let known = self.known.borrow();
                let until = known.get(&(pod, van));
                let known = until.is_some_and(|until| *until > tokio::time::Instant::now());
                if known { 0.0 } else { vans.unknown_session_work_ms }
            }
            _ => 0.0,
        };
        arrival.work_ms + stranger
    }

    /// A request has been taken into work in this pod: it knows the van from here on.
    pub fn remember_session(&self, request: u32, pod: u32) {
        if let (Some(vans), Some((van, _))) =
            (&self.scenario.sessions, self.arrival(request).session)
        {
            let until = tokio::time::Instant::now() + vans.session_expiry;
            self.known.borrow_mut().insert((pod, van), until);
        }
    }

    /// The effect that a keyed request is to have: of requests with one key, the same. Days without vans tell repeats
    /// apart, as they always did: what was swept stays as it was.
    pub fn effect(&self, request: u32) -> u32 {
        if self.scenario.sessions.is_some() { self.arrival(request).original } else { request }
    }

    /// Its body; none for a safe one.
    pub fn body(&self, request: u32) -> String {
        if self.class(request).effect == Effect::Safe {
            return String::new();
        }
        format!("{{\"reading\":\"{}\",\"of\":{request}}}", self.arrival(request).id)
    }
}
