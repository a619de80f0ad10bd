//! What the cases share: a record, a temporary folder, and the start of a small deployment.

use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::balancer::{Balancer, Start, free_address, log_path};
use crate::config::Deployment;
use crate::discovery::Discovery;
use crate::record::Record;
use crate::upstream::Upstream;

/// The surroundings of one run. Its folder is removed at the end.
pub struct World {
    /// The record of the run.
    pub record: Record,
    folder: PathBuf,
}

impl World {
    /// Creates a new temporary folder, and the record at `record`.
    pub fn new(record: &Path) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { record: Record::create(record)?, folder })
    }

    /// Starts a discovery that names these upstreams as serving.
    pub fn discovery(&self, upstreams: &[&Upstream]) -> Result<Discovery> {
        let discovery = Discovery::start(&self.record)?;
        for upstream in upstreams {
            discovery.set(&upstream.name, upstream.entry("SERVING"));
        }
        Ok(discovery)
    }

    /// Starts the only balancer of a deployment where discovery is asked. It knows the present list.
    pub fn balancer(&self, discovery: &Discovery) -> Result<Balancer> {
        let known = discovery.whole_list();
        let deployment = Deployment::single(discovery, &known);
        self.balancer_with("n0", free_address()?, &deployment)
    }

    /// Returns what the balancer with this name has logged so far.
    pub fn log(&self, name: &str) -> Result<String> {
        std::fs::read_to_string(log_path(&self.folder, name))
    }

    /// Starts a balancer of this deployment.
    pub fn balancer_with(
        &self,
        name: &str,
        listen: SocketAddr,
        deployment: &Deployment,
    ) -> Result<Balancer> {
        self.record.line(format!("balancer {name} starts at {listen}"));
        Balancer::start(&Start {
            name,
            listen,
            discovery: deployment.discovery,
            config: &deployment.text(),
            folder: &self.folder,
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
