//! Configuration of the cluster: the file's keys `peers`, `peer_listen` and `fleet`, and the variable `LB_FLEET`.

use std::net::SocketAddr;

use hollowpaddle_peer_transport::NodeId;
use serde::Deserialize;

use super::ConfigError;
use super::file::{File, parse_address};

/// Maximum number of balancers in a cluster. Each balancer keeps state for every other one.
const MAX_PEERS: usize = 1000;

/// The cluster of this balancer, if the platform allows messages between balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Address that receives the datagrams of other balancers.
    pub listen: SocketAddr,
    /// Address of each balancer, including this one, ordered by number.
    pub peers: Vec<SocketAddr>,
    /// Number of this balancer.
    pub position: u16,
    /// Numbers of the initial voters. If empty, the voters are chosen by the number of balancers.
    pub voters: Vec<u16>,
    /// Cells of the initial fallback policy, which no revision can exclude; `None` for a third of each zone's cells.
    pub fallback_policy: Option<Vec<u32>>,
    /// Cells of the mandatory fallback, which can never be excluded; `None` for one cell of each zone.
    pub mandatory_fallback: Option<Vec<u32>>,
}

impl ClusterConfig {
    /// Returns the hash that identifies the cluster. Stored state of another cluster is not used.
    pub fn id(&self) -> u64 {
        let Self { peers, voters, fallback_policy, mandatory_fallback, .. } = self;
        let identity =
            format!("{} {voters:?} {fallback_policy:?} {mandatory_fallback:?}", peers.len());
        hollowpaddle_policy::settings::stable_hash(&identity)
    }

    /// Returns the id of this balancer.
    pub fn node_id(&self) -> NodeId {
        NodeId(self.position)
    }
}

/// The file's key `fleet`.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum FileFleet {
    /// `"on"` or `"off"`.
    Switch(String),
    /// `true` or `false`.
    Enabled(bool),
    /// Enables the cluster with these options.
    Cluster(FileCluster),
}

/// The options in the file's key `fleet`.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct FileCluster {
    #[serde(rename = "council")]
    voters: Vec<u16>,
    #[serde(rename = "charter")]
    fallback_policy: Option<Vec<u32>>,
    #[serde(rename = "bedrock")]
    mandatory_fallback: Option<Vec<u32>>,
}

impl FileCluster {
    /// Checks that each voter is the number of a balancer in a cluster of this size, and that no number is repeated.
    fn check_voters(&self, cluster_size: usize) -> Result<(), ConfigError> {
        for (i, voter) in self.voters.iter().enumerate() {
            if usize::from(*voter) >= cluster_size || self.voters[..i].contains(voter) {
                return Err(ConfigError::InvalidVoters(*voter));
            }
        }
        Ok(())
    }
}

/// Returns the cluster that the file describes, if balancers may send messages and the cluster is not disabled. `variable`
/// is the value of `LB_FLEET`, which has precedence over the file's switch.
pub(super) fn parse(
    file: &File,
    variable: Option<String>,
) -> Result<Option<ClusterConfig>, ConfigError> {
    if !file.settings.policy_limits.peer_messages || file.peers.is_empty() {
        return Ok(None);
    }
    let (is_on_in_file, options) = match &file.fleet {
        None => (true, FileCluster::default()),
        Some(FileFleet::Enabled(is_on)) => (*is_on, FileCluster::default()),
        Some(FileFleet::Switch(text)) => (parse_switch("`fleet`", text)?, FileCluster::default()),
        Some(FileFleet::Cluster(options)) => (true, options.clone()),
    };
    let is_on = variable.map_or(Ok(is_on_in_file), |text| parse_switch("LB_FLEET", &text))?;
    if !is_on {
        return Ok(None);
    }
    let listen = parse_address("peer_listen", &file.peer_listen)?;
    let peers = file
        .peers
        .iter()
        .map(|peer| parse_address("peers", peer))
        .collect::<Result<Vec<_>, _>>()?;
    let (balancers, position) = (file.settings.balancers, file.settings.position);
    if peers.len() != balancers as usize || position >= balancers || peers.len() > MAX_PEERS {
        return Err(ConfigError::InvalidPeers { peers: peers.len(), balancers, position });
    }
    options.check_voters(peers.len())?;
    let position = position as u16;
    let FileCluster { voters, fallback_policy, mandatory_fallback } = options;
    Ok(Some(ClusterConfig { listen, peers, position, voters, fallback_policy, mandatory_fallback }))
}

fn parse_switch(name: &'static str, text: &str) -> Result<bool, ConfigError> {
    match text {
        "on" | "" => Ok(true),
        "off" => Ok(false),
        other => Err(ConfigError::InvalidSwitch { name, value: other.to_string() }),
    }
}
