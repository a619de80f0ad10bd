//! The configuration: environment variables and a JSON file, both provided by the platform.
//!
//! The module `file` contains the file's keys, and `cluster` the keys of the cluster. The package `hollowpaddle_policy`
//! interprets the settings.

mod cluster;
mod file;

use std::net::SocketAddr;
use std::path::PathBuf;

use hollowpaddle_policy::settings::Facts;
use hollowpaddle_subset::Size;

use crate::members::List;
use file::{DEFAULT_MEMORY_MIB, DEFAULT_SOCKETS, File, parse_address};

pub use cluster::ClusterConfig;

/// Number of descriptors that belong to neither clients nor upstreams: standard streams, the event queue, the listener, the
/// watch and signals.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of open connections to the admin API. A further connection closes the oldest one.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Number of descriptors of the admin API: the listener, its connections, and the file that is read or written.
const RESERVED_FOR_ADMIN_API: usize = MAX_ADMIN_CONNECTIONS + 4;
/// Number of descriptors of the state store: the file that is written, and its directory.
const RESERVED_FOR_STATE: usize = 2;
/// Number of descriptors of the cluster: the socket, the thread's event queue and waker, the log and its directory.
const RESERVED_FOR_CLUSTER: usize = 8;
/// The memory that a client's connection may use besides its bodies, in bytes: the buffers of a head that arrives in small
/// pieces, and its copy for the check of the body's length.
const MEMORY_PER_CLIENT: usize = 96 << 10;
/// Minimum number of descriptors with which a balancer can serve.
const MIN_SOCKETS: usize = 4 * RESERVED_DESCRIPTORS;

/// An error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable with the file's path is not set.
    #[error("LB_CONFIG is not set")]
    NoFile,
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// A field of the file is missing, or has another type or value than expected.
    #[error("{path}: field `{field}`: {cause}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// Path of the field in the file.
        field: String,
        /// Description of the expected value.
        cause: String,
        /// Whether the text is truncated, as in a file that is being written.
        is_truncated: bool,
    },
    /// A value is not an address.
    #[error("{name} is not an address: {value:?}")]
    InvalidAddress {
        /// Name of the environment variable or key.
        name: &'static str,
        /// Value of the variable or key.
        value: String,
    },
    /// A switch has a value other than `on` or `off`.
    #[error(
        "{name} is {value:?}; expected `on`, `off`, or in the file an object of `council`, `charter`, `bedrock`"
    )]
    InvalidSwitch {
        /// Name of the switch: the file's key `fleet`, or `LB_FLEET`.
        name: &'static str,
        /// Value of the switch.
        value: String,
    },
    /// The number of addresses in `peers` is wrong or too large, or this balancer's number is out of range.
    #[error(
        "`peers` has {peers} addresses for {balancers} balancers, this one number {position}: expected one for each"
    )]
    InvalidPeers {
        /// Number of addresses.
        peers: usize,
        /// Number of balancers in the settings.
        balancers: u32,
        /// Number of this balancer.
        position: u32,
    },
    /// The voters include a number that no balancer has, or a repeated number.
    #[error("`fleet.council` names {0}: expected numbers of balancers, each once")]
    InvalidVoters(u16),
    /// The limit on descriptors is too low to serve.
    #[error("the limit of {0} sockets leaves no room to serve")]
    TooFewSockets(usize),
}

impl ConfigError {
    /// Returns whether another attempt may succeed, because the file may be incomplete or a read of the disk failed.
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
    /// Name of the balancer, which is the same after a restart.
    pub name: String,
    /// Address on which the balancer accepts clients.
    pub listen: SocketAddr,
    /// Address of discovery, which delivers the endpoint list.
    pub discovery: SocketAddr,
    /// Address of the admin API, if it is enabled.
    pub admin_listen: Option<SocketAddr>,
    /// Directory for state that survives a restart of this balancer, if the platform provides one.
    pub state_dir: Option<PathBuf>,
    /// Seed of all random numbers, different at each start.
    pub seed: u64,
    /// Maximum number of descriptors of the process.
    pub sockets: usize,
    /// Maximum memory of the process, in bytes.
    pub memory: usize,
    /// The last endpoint list that the platform knew, which may be old.
    pub initial_list: List,
    /// The settings.
    pub facts: Facts,
    /// Size of the subset of upstreams to which this balancer keeps connections; `None` for all upstreams.
    pub subset: Option<Size>,
    /// The cluster; `None` if the platform allows no messages between balancers, or if the cluster is disabled.
    pub cluster: Option<ClusterConfig>,
}

/// Maximum numbers of connections to clients and upstreams.
pub struct Budget {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Number of client connections in use above which idle client connections are closed.
    pub idle_close_threshold: usize,
    /// Maximum number of connections to upstreams.
    pub upstreams: usize,
}

impl Config {
    /// Reads the environment variables and the configuration file.
    ///
    /// # Errors
    /// Returns an error if a required value is missing or a value is invalid.
    pub fn read() -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok();
        let path = variable("LB_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        Self::parse(&path, &text, variable)
    }

    /// Parses the text of the file at `path`, with the environment variables that `variable` returns.
    ///
    /// A variable has precedence over the file's key, except for discovery: the file may be replaced while the program runs,
    /// but the environment can't change.
    ///
    /// # Errors
    /// Returns the same errors as [`Config::read`].
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
            admin_listen: control.map(|c| parse_address("LB_CONTROL", &c)).transpose()?,
            state_dir: state_dir.map(PathBuf::from),
            seed: hollowpaddle_policy::settings::key_hash(&file.seed.unwrap_or_default()),
            sockets,
            memory: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MIB) << 20,
            initial_list: file.known,
            subset,
            facts: file.settings,
            cluster,
        })
    }

    /// Divides the descriptors that are not reserved equally between clients and upstreams.
    ///
    /// Every attempt belongs to a client's request, so upstreams never need more than their half while clients stay within
    /// theirs. A part of the clients' half is reserved for clients that send a request.
    pub fn budget(&self) -> Budget {
        let operators = if self.admin_listen.is_some() { RESERVED_FOR_ADMIN_API } else { 0 };
        let state = if self.state_dir.is_some() { RESERVED_FOR_STATE } else { 0 };
        let cluster = if self.cluster.is_some() { RESERVED_FOR_CLUSTER } else { 0 };
        let half = (self.sockets - RESERVED_DESCRIPTORS - operators - state - cluster) / 2;
        let clients = half.min(self.memory / MEMORY_PER_CLIENT);
        let idle_close_threshold = clients.min(self.sockets / 4);
        Budget { clients, idle_close_threshold, upstreams: half }
    }
}

#[cfg(test)]
mod tests;
