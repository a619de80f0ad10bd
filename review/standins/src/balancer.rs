//! The platform: starts one balancer with the command of the deploy file, and ends it.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::settings::Site;

/// The time in which a balancer has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two questions whether a balancer is ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// A running balancer. It is killed when this value is dropped.
pub struct Balancer {
    /// Where its clients connect.
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Balancer {
    /// Starts a balancer at a free port, and waits until it is ready.
    pub fn start(
        site: &Site,
        discovery: SocketAddr,
        known: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let variable = |name: &str| std::env::var(name).map_err(io::Error::other);
        let (run, root) = (variable("REVIEW_RUN")?, variable("REVIEW_ROOT")?);
        let address = free_address()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let scratch = folder.join("scratch");
        std::fs::create_dir_all(&scratch)?;
        let config = folder.join("config.json");
        std::fs::write(&config, site.config(address, discovery, known))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stderr(File::create(folder.join("log"))?)
            .spawn()?;
        note_started(&child)?;
        record.note(format!("platform started the balancer at {address}"));
        let mut balancer = Self { address, child, folder };
        balancer.wait_until_ready(record)?;
        Ok(balancer)
    }

    fn wait_until_ready(&mut self, record: &Record) -> io::Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if self.has_ended()? {
                return Err(io::Error::other("the balancer ended before it was ready"));
            }
            if is_ready(self.address).unwrap_or(false) {
                record.note("balancer is ready");
                return Ok(());
            }
            thread::sleep(READY_POLL);
        }
        Err(io::Error::other("the balancer is not ready in time"))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Writes down the process, for the script that ends it if this program is ended first.
fn note_started(child: &Child) -> io::Result<()> {
    match std::env::var("REVIEW_STARTED") {
        Ok(path) => std::fs::write(path, format!("{}\n", child.id())),
        Err(_) => Ok(()),
    }
}

/// Returns a loopback address with a free port.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn is_ready(balancer: SocketAddr) -> io::Result<bool> {
    let mut client = Client::connect(balancer)?;
    client.send("GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")?;
    let answer = client.answer_within(Duration::from_secs(1))?;
    Ok(answer.is_some_and(|answer| answer.status() == 200))
}
