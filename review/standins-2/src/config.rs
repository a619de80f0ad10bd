//! The configuration of a small deployment like that of the brief: three classes, one zone.

use std::net::SocketAddr;

use crate::discovery::Discovery;

/// The usual limit on descriptors (DEPLOY, "Limits").
const USUAL_SOCKETS: usize = 1024;

/// What differs between the cases.
pub struct Deployment<'a> {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The list as the balancer last had it.
    pub known: &'a str,
    /// The addresses of all balancers for datagrams, empty where these are not allowed.
    pub peers: &'a [SocketAddr],
    /// The number of this balancer.
    pub position: usize,
    /// The limit on descriptors.
    pub sockets: usize,
}

impl<'a> Deployment<'a> {
    /// Returns the deployment of a single balancer, without datagrams.
    pub fn single(discovery: &Discovery, known: &'a str) -> Self {
        Self::of_tier(discovery, known, &[], 0)
    }

    /// Returns the deployment of one balancer of a tier.
    pub fn of_tier(
        discovery: &Discovery,
        known: &'a str,
        peers: &'a [SocketAddr],
        position: usize,
    ) -> Self {
        Self { discovery: discovery.address, known, peers, position, sockets: USUAL_SOCKETS }
    }

    /// Returns the text of the configuration.
    pub fn text(&self) -> String {
        let Self { discovery, known, sockets, .. } = self;
        let balancers = self.peers.len().max(1);
        let position = self.position;
        let peer_messages = !self.peers.is_empty();
        let peers = self.peer_keys();
        format!(
            r#"{{"discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},{peers}
"known":{known},
"settings":{{"Balancers":{balancers},"Position":{position},"Zone":0,"Zones":["bilbao"],"MachineTypes":["fast-1c"],
"Tick":5.0,"RegistryMode":"subscribe","CountedBy":"request","Family":"proxy","Layer":0,"Tiers":["sensor-api"],
"Weights":"silent","Tenants":[],"ClientHabits":{{"MarksRetry":true}},
"PolicyLimits":{{"Cancelling":true,"ConnectTimeout":250.0,"Keepalive":5000.0,"MaxAttempts":3,"MaxOpen":20000,
"MaxRetryAfter":2000.0,"PeerMessages":{peer_messages},"Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1}},
"Safety":{{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":23000.0,"ColdFrom":0.12,"DrainGrace":500.0,"FallMultiple":4.0,"TipAfter":2000.0}},
"Services":[
{{"Aim":1120.0,"Deadline":2800.0,"Effect":"retryable","Group":"all","Importance":2.0,"LateValue":0.3,"Name":"reading-sync","Streaming":false,"Window":5000.0}},
{{"Aim":1120.0,"Deadline":2800.0,"Effect":"fragile","Group":"all","Importance":5.0,"LateValue":0.5,"Name":"alarm-raise","Streaming":false,"Window":5000.0}},
{{"Aim":740.0,"Deadline":1850.0,"Effect":"dedup","Group":"cell","Importance":8.0,"LateValue":0.5,"Name":"delivery-log","Streaming":false,"Window":10000.0}}],
"Stats":{{"How":"piggyback","Names":["eps","qps","inflight"]}}}}}}"#
        )
    }

    /// Returns the keys `peer_listen` and `peers`, if datagrams between balancers are allowed.
    fn peer_keys(&self) -> String {
        let Some(own) = self.peers.get(self.position) else { return String::new() };
        let all: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        format!(r#""peer_listen":"{own}","peers":[{}],"#, all.join(","))
    }
}
