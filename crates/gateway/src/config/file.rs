//! The keys of the configuration file and their defaults. Unknown keys are ignored.

use std::net::SocketAddr;

use hollowpaddle_policy::settings::Facts;
use hollowpaddle_subset::Size;
use serde::Deserialize;

use super::ConfigError;
use super::cluster::FileFleet;
use crate::members::List;

/// Default maximum number of descriptors.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Default memory limit, in MiB.
pub(super) const DEFAULT_MEMORY_MIB: usize = 192;

/// The configuration file. The keys `state_dir`, `subset` and `fleet` are specific to this program; the platform defines the
/// others.
#[derive(Deserialize)]
pub(super) struct File {
    #[serde(default)]
    pub(super) name: String,
    #[serde(default)]
    pub(super) listen: String,
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) control: String,
    #[serde(default)]
    pub(super) state_dir: String,
    #[serde(default)]
    pub(super) seed: Option<String>,
    #[serde(default)]
    pub(super) limits: FileLimits,
    #[serde(default)]
    pub(super) known: List,
    pub(super) settings: Facts,
    #[serde(default)]
    pub(super) subset: Option<FileSubset>,
    #[serde(default)]
    pub(super) peer_listen: String,
    #[serde(default)]
    pub(super) peers: Vec<String>,
    #[serde(default)]
    pub(super) fleet: Option<FileFleet>,
}

/// Size of the subset of upstreams to which this balancer keeps connections.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileSubset {
    #[serde(default = "Size::default_times")]
    pub(super) times: f64,
    #[serde(default = "Size::default_min_upstreams")]
    pub(super) least: usize,
}

/// Limits of the process.
#[derive(Deserialize, Default)]
pub(super) struct FileLimits {
    pub(super) sockets: Option<usize>,
    pub(super) memory_mb: Option<usize>,
}

impl File {
    /// Parses the text of the file at `path`.
    pub(super) fn parse(path: &str, text: &[u8]) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let field = e.path().to_string();
            let cause = e.into_inner();
            ConfigError::Malformed {
                path: path.to_string(),
                field,
                is_truncated: cause.is_eof(),
                cause: cause.to_string(),
            }
        })
    }

    /// Returns the size of the subset of upstreams, if the file configures a subset.
    pub(super) fn subset_size(&self) -> Option<Size> {
        let subset = self.subset.as_ref()?;
        let window = self.settings.services.iter().map(|s| s.window).fold(0.0, f64::max);
        let linger = hollowpaddle_policy::settings::span(window).0;
        Some(Size { times: subset.times, min_upstreams: subset.least, linger, ..Size::default() })
    }
}

/// Parses the address in the variable or key `name`.
pub(super) fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::InvalidAddress { name, value: value.to_string() })
}
