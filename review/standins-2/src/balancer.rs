//! The balancer under test, started by the command of the deploy file as a process of its own.

use std::fs::File;
use std::io::{BufRead, BufReader, Error, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// How long a balancer may take to be ready (STANDING, "The gate").
pub const READY_TIME: Duration = Duration::from_secs(30);
/// How often readiness is asked for.
const READY_POLL: Duration = Duration::from_millis(50);

/// What a balancer is started with.
pub struct Start<'a> {
    /// The name, the same after a restart.
    pub name: &'a str,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The text of the configuration.
    pub config: &'a str,
    /// A folder for the configuration, the log and `$TMPDIR`.
    pub folder: &'a Path,
}

/// A running balancer. The process ends with its owner.
pub struct Balancer {
    child: Child,
    /// The address for clients.
    pub address: SocketAddr,
}

impl Balancer {
    /// Starts a balancer.
    pub fn start(start: &Start) -> Result<Self> {
        let path = start.folder.join(format!("{}.json", start.name));
        std::fs::write(&path, start.config)?;
        let temporary = start.folder.join(format!("{}.tmp", start.name));
        std::fs::create_dir_all(&temporary)?;
        let log =
            File::options().create(true).append(true).open(log_path(start.folder, start.name))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("LB_NAME", start.name)
            .env("LB_LISTEN", start.listen.to_string())
            .env("LB_DISCOVERY", start.discovery.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child, address: start.listen })
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the balancer says that it is ready.
    pub fn is_ready(&self) -> bool {
        status_of_ready(self.address) == Some(200)
    }

    /// Waits until the balancer is ready.
    ///
    /// # Errors
    /// Fails if that takes longer than [`READY_TIME`].
    pub fn wait_until_ready(&self) -> Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIME {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(READY_POLL);
        }
        Err(Error::other("the balancer is not ready"))
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the log of all processes of the balancer with this name.
pub fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

/// Returns the status of `GET /-/ready`; `None` without an answer.
fn status_of_ready(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = "GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_message(&mut BufReader::new(stream)).ok()?.status())
}

/// Returns the command in `run` of the deploy file.
fn run_command() -> Result<String> {
    let deploy = BufReader::new(File::open("deploy/balancer.toml")?);
    for line in deploy.lines() {
        let line = line?;
        if let Some(command) = line.strip_prefix("run = \"") {
            return Ok(command.trim_end().trim_end_matches('"').to_string());
        }
    }
    Err(Error::other("deploy/balancer.toml has no run"))
}

/// Returns a free port of the loopback address.
pub fn free_address() -> Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
