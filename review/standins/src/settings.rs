//! The configuration that the platform gives a balancer, with the settings of a small deployment.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::upstream::Upstream;

/// An entry of the list of upstreams, in discovery's form.
pub fn entry(upstream: &Upstream, phase: &str) -> String {
    entry_at(&upstream.name, upstream.address, phase)
}

/// An entry of the list for an upstream of this name at this address.
pub fn entry_at(name: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{name}","host_port":"{address}","locality":"a","flavor":"fast-1c","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A list, or a change of it, in discovery's form.
pub fn list(revision: u64, is_complete: bool, entries: &[String]) -> String {
    let members = entries.join(",");
    format!(r#"{{"revision":{revision},"complete":{is_complete},"members":[{members}]}}"#)
}

/// What differs between the sites of the cases.
pub struct Site {
    /// `RegistryMode`: `subscribe` if discovery is asked, `automatic` if lists are pushed.
    pub registry_mode: &'static str,
    /// `Services`, as JSON.
    pub services: &'static str,
    /// `Tenants`, as JSON.
    pub tenants: &'static str,
    /// The limit on descriptors.
    pub sockets: u32,
}

/// The classes of gateway-norte.
pub const GATEWAY_NORTE_SERVICES: &str = r#"[
  {"Name":"reading-sync","Aim":1120.0,"Deadline":2800.0,"Effect":"retryable","Group":"all","Importance":2.0,"LateValue":0.3,"Streaming":false,"Window":5000.0},
  {"Name":"alarm-raise","Aim":1120.0,"Deadline":2800.0,"Effect":"fragile","Group":"all","Importance":5.0,"LateValue":0.5,"Streaming":false,"Window":5000.0},
  {"Name":"delivery-log","Aim":740.0,"Deadline":1850.0,"Effect":"dedup","Group":"cell","Importance":8.0,"LateValue":0.5,"Streaming":false,"Window":10000.0}]"#;

/// Two classes and the tenants of parcel-hub.
pub const PARCEL_HUB_SERVICES: &str = r#"[
  {"Name":"route-plan","Aim":700.0,"Deadline":1900.0,"Effect":"retryable","Group":"all","Importance":2.0,"LateValue":0.2,"Streaming":false,"Window":2500.0},
  {"Name":"hand-over","Aim":200.0,"Deadline":650.0,"Effect":"fragile","Group":"all","Importance":8.0,"LateValue":0.5,"Streaming":false,"Window":2500.0}]"#;

/// The tenants of parcel-hub.
pub const PARCEL_HUB_TENANTS: &str = r#"[
  {"Name":"letters","Share":0.5,"QuotaRps":200.0},
  {"Name":"freight","Share":0.3,"QuotaRps":120.0},
  {"Name":"returns","Share":0.2,"QuotaRps":80.0}]"#;

impl Site {
    /// Returns the text of the configuration file.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        // "new with each start" (DEPLOY).
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = since_epoch.as_nanos() as u64;
        let Self { registry_mode, services, tenants, sockets } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
"known":{known},
"settings":{{"Balancers":1,"Position":0,"Layer":0,"Tick":5.0,"Zone":0,"Zones":["a"],"MachineTypes":["fast-1c","std-1c"],
"Family":"proxy","FamilyInfo":{{"WarmKeys":false}},"ClientHabits":{{"MarksRetry":true}},"CountedBy":"work","OverShareWorth":0.1,
"RegistryMode":"{registry_mode}","Services":{services},"Tenants":{tenants},
"PolicyLimits":{{"Cancelling":true,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"Keepalive":5000.0,"MaxAttempts":3,"MaxOpen":20000,"MaxRetryAfter":2000.0,"PeerMessages":false,"Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1}},
"Prices":{{"Connection":0.0,"CrossZone":0.01,"Handshake":0.0,"LateFail":0.03,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0,"RegistryMode":0.0,"Waste":0.2}},
"Safety":{{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":23000.0,"ColdFrom":0.12,"DrainGrace":500.0,"FallMultiple":4.0,"TipAfter":2000.0}},
"ScoringMix":{{"Whole":0.45,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.35}},
"Stats":{{"How":"piggyback","Names":["eps","qps","inflight"]}},
"Tiers":["sensor-api"],"Weights":"silent"}}}}"#
        )
    }
}
