//! The configuration: environment variables and a JSON file, both given by the platform.
//!
//! The file's keys are in `file`, those of the cluster in `cluster`. What the settings mean is left to
//! `hollowpaddle_policy`.

mod cluster;
mod file;

use std::net::SocketAddr;
use std::path::PathBuf;

use hollowpaddle_policy::settings::Facts;
use hollowpaddle_subset::Size;

use crate::members::List;
use file::{DEFAULT_MEMORY_MIB, DEFAULT_SOCKETS, File, parse_address};

pub use cluster::ClusterConfig;

/// Descriptors that are neither a client's nor an upstream's: standard streams, the event queue, the
/// listener, the watch, signals.
const RESERVED: usize = 24;
/// Most connections to the admin API at once. For one more, the oldest is closed.
pub const CALLERS: usize = 16;
/// Descriptors of the admin API: the listener, its connections, the file that is read or written.
const RESERVED_FOR_OPERATORS: usize = CALLERS + 4;
/// Descriptors of the state store: the file that is written, and its directory.
const RESERVED_FOR_STATE: usize = 2;
/// Descriptors of the cluster: its socket, its thread's event queue and waker, the log, its directory.
const RESERVED_FOR_CLUSTER: usize = 8;
/// Fewest descriptors with which a balancer can serve.
const MIN_SOCKETS: usize = 4 * RESERVED;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No variable names the file.
    #[error("LB_CONFIG is not set")]
    NoFile,
    /// This file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// A field of the file is missing, or has another type or value than expected.
    #[error("{path}: field `{field}`: {cause}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Path of the field in it.
        field: String,
        /// What was expected.
        cause: String,
        /// Whether the text ends too early, as that of a file that is being written.
        is_truncated: bool,
    },
    /// A value is no address.
    #[error("{name} is not an address: {value:?}")]
    BadAddress {
        /// Variable or key.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A switch has another value than `on` or `off`.
    #[error(
        "{name} is {value:?}; expected `on`, `off`, or in the file an object of `council`, `charter`, `bedrock`"
    )]
    BadFleet {
        /// `fleet` of the file, or `LB_FLEET`.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// `peers` describes no cluster that this balancer belongs to.
    #[error(
        "`peers` has {peers} addresses for {balancers} balancers, this one number {position}: expected one for each"
    )]
    BadPeers {
        /// Number of addresses.
        peers: usize,
        /// Number of balancers by the settings.
        balancers: u32,
        /// Number of this balancer.
        position: u32,
    },
    /// The voters include a number that no balancer has, or one twice.
    #[error("`fleet.council` names {0}: expected numbers of balancers, each once")]
    BadCouncil(u16),
    /// The limit on descriptors is too low to serve under.
    #[error("the limit of {0} sockets leaves no room to serve")]
    TooFewSockets(usize),
}

impl ConfigError {
    /// Whether the file may just be incomplete, or the disk have failed once, so that another attempt may succeed.
    pub fn is_incomplete(&self) -> bool {
        match self {
            Self::Unreadable(..) => true,
            Self::Malformed { is_truncated, .. } => *is_truncated,
            _ => false,
        }
    }
}

/// The configuration of one balancer.
pub struct Config {
    /// Its name, which stays over restarts.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address of discovery, which delivers the endpoint list.
    pub discovery: SocketAddr,
    /// Where operators reach the admin API, if they can.
    pub control: Option<SocketAddr>,
    /// A directory of this balancer's own that outlives the process, if there is one.
    pub state_dir: Option<PathBuf>,
    /// Seed of all randomness, new with each start.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// The endpoint list as last known to the platform; it may be old.
    pub known: List,
    /// The settings.
    pub facts: Facts,
    /// Size of the part of the upstreams to which this balancer keeps connections; `None`: all of them.
    pub subset: Option<Size>,
    /// The cluster; `None` where the platform allows no messages between balancers, or where it is switched off.
    pub cluster: Option<ClusterConfig>,
}

/// Connections that each side may have.
pub struct Budget {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients in use beyond which idle ones are closed.
    pub clients_at_ease: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
}

impl Config {
    /// Reads the environment, and the file that it names, as they are now.
    ///
    /// # Errors
    /// They lack something that is needed to serve, or contain something else than expected.
    pub fn read() -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok();
        let path = variable("LB_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        Self::parse(&path, &text, variable)
    }

    /// Reads the text of the file at `path`, and the environment by `variable`.
    ///
    /// A variable goes before the file's key, except for discovery: the file may be replaced while the program runs, and the
    /// environment can't be.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn parse(
        path: &str,
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let file = File::parse(path, text)?;
        let cluster = cluster::parse(&file, variable("LB_FLEET"))?;
        let subset = file.subset_size();
        let value = |name: &str, key: String| variable(name).unwrap_or(key);
        let optional_value = |name, key| Some(value(name, key)).filter(|v| !v.is_empty());
        let discovery = if file.discovery.is_empty() {
            value("LB_DISCOVERY", String::new())
        } else {
            file.discovery
        };
        let control = optional_value("LB_CONTROL", file.control);
        let state_dir = optional_value("LB_STATE_DIR", file.state_dir);
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets(sockets));
        }
        Ok(Self {
            name: value("LB_NAME", file.name),
            listen: parse_address("LB_LISTEN", &value("LB_LISTEN", file.listen))?,
            discovery: parse_address("LB_DISCOVERY", &discovery)?,
            control: control.map(|c| parse_address("LB_CONTROL", &c)).transpose()?,
            state_dir: state_dir.map(PathBuf::from),
            seed: hollowpaddle_policy::settings::key_hash(&file.seed.unwrap_or_default()),
            sockets,
            memory: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MIB) << 20,
            known: file.known,
            subset,
            facts: file.settings,
            cluster,
        })
    }

    /// Divides the descriptors: half of those not reserved for each side.
    ///
    /// Every attempt belongs to a client's request, so while clients keep to their half, upstreams never need more than
    /// theirs. A part of the clients' half is kept free for clients that send a request.
    pub fn budget(&self) -> Budget {
        let operators = if self.control.is_some() { RESERVED_FOR_OPERATORS } else { 0 };
        let state = if self.state_dir.is_some() { RESERVED_FOR_STATE } else { 0 };
        let cluster = if self.cluster.is_some() { RESERVED_FOR_CLUSTER } else { 0 };
        let half = (self.sockets - RESERVED - operators - state - cluster) / 2;
        Budget { clients: half, clients_at_ease: self.sockets / 4, upstreams: half }
    }
}

#[cfg(test)]
mod tests;
