//! What the platform tells a balancer: four environment variables and a JSON file.

use std::net::SocketAddr;
use std::path::PathBuf;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_policy::settings::Facts;
use hollowpaddle_subset::Size;
use serde::Deserialize;

use crate::members::List;

/// Descriptors that are neither a client's nor an upstream's: standard streams, the event queue, the
/// listener, the watch, signals.
const RESERVED: usize = 24;
/// So many callers are heard at the operators' door at once; for one more, the one that has been longest about its call
/// is closed.
pub const CALLERS: usize = 16;
/// Descriptors of that door: the listener, its callers, the file that is read or written.
const RESERVED_FOR_OPERATORS: usize = CALLERS + 4;
/// The file that is written, and its directory.
const RESERVED_FOR_STATE: usize = 2;
/// Balancers of a bank at most: their numbers go as 16 bits, and each keeps something of each other.
const MOST_PEERS: usize = 1000;
/// Descriptors of the bank: its socket, its thread's event queue and waker, the records, their directory.
const RESERVED_FOR_CLUSTER: usize = 8;
/// Where the platform states no limit.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

/// Why the platform's word can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Nothing names the file.
    #[error("LB_CONFIG is not set")]
    NoFile,
    /// The file, and what happened.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// A field that is missing or is no such thing.
    #[error("{path}: field `{field}`: {cause}")]
    Malformed {
        /// The file.
        path: String,
        /// Where in it.
        field: String,
        /// What was expected.
        cause: String,
        /// The text ends too early, as that of a file that is being written.
        is_truncated: bool,
    },
    /// An address that can't be read.
    #[error("{name} is not an address: {value:?}")]
    BadAddress {
        /// Which.
        name: &'static str,
        /// What stood there.
        value: String,
    },
    /// Something else where `on` or `off` stands.
    #[error(
        "{name} is {value:?}; expected `on`, `off`, or in the file an object of `council`, `charter`, `bedrock`"
    )]
    BadFleet {
        /// `fleet` of the file, or `LB_FLEET`.
        name: &'static str,
        /// What stands there.
        value: String,
    },
    /// `peers` is not a bank that this balancer is one of.
    #[error(
        "`peers` has {peers} addresses for {balancers} balancers, this one number {position}: expected one for each"
    )]
    BadPeers {
        /// Addresses.
        peers: usize,
        /// Balancers, as the settings say.
        balancers: u32,
        /// This one's number.
        position: u32,
    },
    /// A number that no balancer has.
    #[error("`fleet.council` names {0}: expected numbers of balancers, each once")]
    BadCouncil(u16),
    /// A limit that nothing could be served under.
    #[error("the limit of {0} sockets leaves no room to serve")]
    TooFewSockets(usize),
}

impl ConfigError {
    /// Whether a write under way, or an error of the disk, may be all that is wrong.
    pub fn is_incomplete(&self) -> bool {
        match self {
            Self::Unreadable(..) => true,
            Self::Malformed { is_truncated, .. } => *is_truncated,
            _ => false,
        }
    }
}

/// The file; what it holds beyond this is for others.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    control: String,
    /// Our own, beside the platform's keys: where the platform keeps a directory for us.
    #[serde(default)]
    state_dir: String,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: List,
    settings: Facts,
    /// Our own, beside the platform's keys.
    #[serde(default)]
    subset: Option<FileSubset>,
    #[serde(default)]
    peer_listen: String,
    #[serde(default)]
    peers: Vec<String>,
    /// Our own, too: `"off"`, `"on"`, or how.
    #[serde(default)]
    fleet: Option<FileFleet>,
}

/// How large a part of the fleet this balancer keeps links to.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileSubset {
    #[serde(default = "Size::usual_times")]
    times: f64,
    #[serde(default = "Size::usual_least")]
    least: usize,
}

#[derive(Deserialize, Default)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// What our own key `fleet` says, and `LB_FLEET`.
#[derive(Deserialize)]
#[serde(untagged)]
enum FileFleet {
    Word(String),
    Is(bool),
    Said(FileCluster),
}

#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileCluster {
    #[serde(rename = "council")]
    voters: Vec<u16>,
    #[serde(rename = "charter")]
    fallback_policy: Option<Vec<u32>>,
    #[serde(rename = "bedrock")]
    mandatory_fallback: Option<Vec<u32>>,
}

/// The bank that this balancer is one of, where the platform allows balancers to talk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Where datagrams of the others arrive.
    pub listen: SocketAddr,
    /// One address for each balancer, in the order of their numbers, its own among them.
    pub peers: Vec<SocketAddr>,
    /// Its own number.
    pub position: u16,
    /// Numbers of the first council's members; none: by the number of balancers.
    pub voters: Vec<u16>,
    /// Pods that no revision may put out; none said: a third of each site's.
    pub fallback_policy: Option<Vec<u32>>,
    /// Pods that can never be put out; none said: one of each site.
    pub mandatory_fallback: Option<Vec<u32>>,
}

impl ClusterConfig {
    /// Names the bank: balancers that differ in it don't believe one another's directories.
    pub fn id(&self) -> u64 {
        let Self { peers, voters, fallback_policy, mandatory_fallback, .. } = self;
        let stated =
            format!("{} {voters:?} {fallback_policy:?} {mandatory_fallback:?}", peers.len());
        hollowpaddle_policy::settings::stable_hash(&stated)
    }

    /// This balancer in it.
    pub fn member(&self) -> NodeId {
        NodeId(self.position)
    }
}

/// What the platform told.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of upstreams is told.
    pub discovery: SocketAddr,
    /// Where operators call, if they can.
    pub control: Option<SocketAddr>,
    /// A directory of this balancer's own that outlives its process, if there is one.
    pub state_dir: Option<PathBuf>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// In bytes.
    pub memory: usize,
    /// The list as last known; it may be old.
    pub known: List,
    /// The settings.
    pub facts: Facts,
    /// The part of the fleet that it keeps links to; all of it where none is asked for.
    pub subset: Option<Size>,
    /// The bank; none where the platform allows no words between balancers, or where they are off.
    pub cluster: Option<ClusterConfig>,
}

/// How many connections each side may have.
pub struct Budget {
    /// Of clients.
    pub clients: usize,
    /// So many clients' connections in use leave room for more; beyond, idle ones are closed.
    pub clients_at_ease: usize,
    /// To upstreams.
    pub upstreams: usize,
}

impl Config {
    /// Reads what is stated now: the environment, and the file that it names.
    ///
    /// # Errors
    /// Neither says enough to serve by.
    pub fn read() -> Result<Self, ConfigError> {
        let said = |name: &str| std::env::var(name).ok();
        let path = said("LB_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        Self::parse(&path, &text, said)
    }

    /// Reads the text of the file at `path`, beside what the environment has `said` of a name. The file may be
    /// replaced while the program runs and the environment can't be: where both name discovery, the file
    /// holds.
    ///
    /// # Errors
    /// See [`Config::read`].
    pub fn parse(
        path: &str,
        text: &[u8],
        said: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let field = e.path().to_string();
            let path = path.to_string();
            let cause = e.into_inner();
            let is_truncated = cause.is_eof();
            ConfigError::Malformed { path, field, cause: cause.to_string(), is_truncated }
        })?;
        let cluster = cluster(&file, said("LB_FLEET"))?;
        let say = |name: &str, file: String| said(name).unwrap_or(file);
        let address = |name: &'static str, value: String| {
            value.parse().map_err(|_| ConfigError::BadAddress { name, value })
        };
        let discovery = Some(file.discovery).filter(|d| !d.is_empty());
        let discovery = discovery.unwrap_or_else(|| say("LB_DISCOVERY", String::new()));
        let control = Some(say("LB_CONTROL", file.control)).filter(|c| !c.is_empty());
        let state_dir = Some(say("LB_STATE_DIR", file.state_dir)).filter(|d| !d.is_empty());
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 4 * RESERVED {
            return Err(ConfigError::TooFewSockets(sockets));
        }
        let seed = file.seed.unwrap_or_default();
        Ok(Self {
            name: say("LB_NAME", file.name),
            listen: address("LB_LISTEN", say("LB_LISTEN", file.listen))?,
            discovery: address("LB_DISCOVERY", discovery)?,
            control: control.map(|c| address("LB_CONTROL", c)).transpose()?,
            state_dir: state_dir.map(PathBuf::from),
            seed: hollowpaddle_policy::settings::key_hash(&seed),
            sockets,
            memory: file.limits.memory_mb.unwrap_or(MEMORY_MB) << 20,
            known: file.known,
            subset: file.subset.map(|s| {
                let window = file.settings.services.iter().map(|s| s.window).fold(0.0, f64::max);
                let linger = hollowpaddle_policy::settings::span(window).0;
                Size { times: s.times, least: s.least, linger, ..Size::default() }
            }),
            facts: file.settings,
            cluster,
        })
    }

    /// Half the descriptors for each side. Every attempt belongs to a client's request, so while clients
    /// keep to their half, upstreams can never need more than theirs. Clients open a third of the
    /// descriptors at most for requests; a part of that is kept free for those that have something to ask.
    pub fn budget(&self) -> Budget {
        let door = if self.control.is_some() { RESERVED_FOR_OPERATORS } else { 0 };
        let state = if self.state_dir.is_some() { RESERVED_FOR_STATE } else { 0 };
        let cluster = if self.cluster.is_some() { RESERVED_FOR_CLUSTER } else { 0 };
        let half = (self.sockets - RESERVED - door - state - cluster) / 2;
        Budget { clients: half, clients_at_ease: self.sockets / 4, upstreams: half }
    }
}

/// The bank that the file speaks of, if balancers may talk and it is not off.
fn cluster(file: &File, variable: Option<String>) -> Result<Option<ClusterConfig>, ConfigError> {
    if !file.settings.policy_limits.peer_messages || file.peers.is_empty() {
        return Ok(None);
    }
    let word = |name, word: &str| match word {
        "on" | "" => Ok(true),
        "off" => Ok(false),
        other => Err(ConfigError::BadFleet { name, value: other.to_string() }),
    };
    let (on, said) = match &file.fleet {
        None => (true, FileCluster::default()),
        Some(FileFleet::Is(on)) => (*on, FileCluster::default()),
        Some(FileFleet::Word(w)) => (word("`fleet`", w)?, FileCluster::default()),
        Some(FileFleet::Said(cluster)) => (true, cluster.clone()),
    };
    // What the environment says holds, as it does for addresses that the file doesn't name.
    let on = variable.map_or(Ok(on), |w| word("LB_FLEET", &w))?;
    if !on {
        return Ok(None);
    }
    let address = |name, value: &str| {
        let bad = |_| ConfigError::BadAddress { name, value: value.to_string() };
        value.parse().map_err(bad)
    };
    let listen = address("peer_listen", &file.peer_listen)?;
    let peers = file.peers.iter().map(|p| address("peers", p)).collect::<Result<Vec<_>, _>>()?;
    let (balancers, position) = (file.settings.balancers, file.settings.position);
    if peers.len() != balancers as usize || position >= balancers || peers.len() > MOST_PEERS {
        return Err(ConfigError::BadPeers { peers: peers.len(), balancers, position });
    }
    let FileCluster { voters, fallback_policy, mandatory_fallback } = said;
    for (i, member) in voters.iter().enumerate() {
        if usize::from(*member) >= peers.len() || voters[..i].contains(member) {
            return Err(ConfigError::BadCouncil(*member));
        }
    }
    let position = position as u16;
    Ok(Some(ClusterConfig { listen, peers, position, voters, fallback_policy, mandatory_fallback }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn parsed(change: impl Fn(&mut Value), fleet: Option<&str>) -> Result<Config, ConfigError> {
        let mut file = json!({
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
            "peers": ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"],
            "settings": {"Balancers": 3, "Position": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
                "PolicyLimits": {"MaxAttempts": 3, "PeerMessages": true},
                "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}}
        });
        change(&mut file);
        let said = |name: &str| fleet.filter(|_| name == "LB_FLEET").map(str::to_string);
        Config::parse("config.json", file.to_string().as_bytes(), said)
    }

    fn cluster(change: impl Fn(&mut Value), fleet: Option<&str>) -> Option<ClusterConfig> {
        parsed(change, fleet).unwrap_or_else(|e| panic!("{e}")).cluster
    }

    #[test]
    fn there_is_a_bank_where_balancers_may_talk_and_nobody_says_off() {
        let told = cluster(|_| {}, None).expect("a bank");
        assert_eq!((told.position, told.peers.len(), told.listen.port()), (1, 3, 3));
        assert_eq!(
            cluster(|f| f["settings"]["PolicyLimits"]["PeerMessages"] = json!(false), None),
            None
        );
        assert_eq!(cluster(|f| f["peers"] = json!([]), None), None);
        for off in [json!("off"), json!(false)] {
            assert_eq!(cluster(|f| f["fleet"] = off.clone(), None), None);
            assert!(
                cluster(|f| f["fleet"] = off.clone(), Some("on")).is_some(),
                "the environment holds"
            );
        }
        assert_eq!(cluster(|_| {}, Some("off")), None);
        let voters = cluster(|f| f["fleet"] = json!({"council": [2, 0]}), None).expect("a bank");
        assert_eq!(voters.voters, [2, 0]);
    }

    #[test]
    fn what_is_no_bank_is_told_with_what_was_expected() {
        let error = |change: &dyn Fn(&mut Value), fleet| match parsed(change, fleet) {
            Ok(_) => panic!("it was taken"),
            Err(cause) => cause.to_string(),
        };
        assert!(error(&|_| {}, Some("perhaps")).contains("LB_FLEET is \"perhaps\""));
        assert!(
            error(&|f| f["peers"] = json!(["127.0.0.1:3"]), None).contains("1 addresses for 3")
        );
        assert!(
            error(&|f| f["peers"][2] = json!("nowhere"), None).contains("peers is not an address")
        );
        assert!(error(&|f| f["settings"]["Position"] = json!(3), None).contains("number 3"));
        for voters in [json!([1, 1]), json!([3])] {
            assert!(
                error(&|f| f["fleet"] = json!({"council": voters}), None).contains("fleet.council")
            );
        }
        assert!(error(&|f| f["fleet"] = json!({"counsel": [1]}), None).contains("fleet"));
        // Where nobody may talk nothing of it is looked at.
        let silent = |f: &mut Value| {
            f["settings"]["PolicyLimits"]["PeerMessages"] = json!(false);
            f["peers"] = json!(["nowhere"]);
        };
        assert_eq!(cluster(silent, Some("perhaps")), None);
    }
}
