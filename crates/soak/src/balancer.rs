//! One balancer: the daemon process with its log, its discovery and its injected system call faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowpaddle_syscall_faults::Shim;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::discovery::Discovery;
use crate::ledger::{Incarnation, SharedLedger, lock};
use crate::message::{NoMessage, read_head};
use crate::settings::{MAX_DEADLINE, config};
use crate::upstream_list::{Phase, UpstreamList};

/// Shortest time from SIGTERM to SIGKILL: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = MAX_DEADLINE.saturating_add(Duration::from_millis(700));
/// Time limit for a new process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Texts in the daemon's log that count as a fault of the daemon.
const FAILURE_TEXTS: [&str; 3] = ["invariant violated", "panicked", "the engine ended"];

/// One balancer with its successive processes.
#[derive(Debug)]
pub struct Balancer {
    /// Number of the balancer.
    pub number: usize,
    /// Address for clients, once the balancer has been started.
    pub address: Arc<Mutex<Option<SocketAddr>>>,
    /// The discovery service that sends the list of upstreams to this balancer.
    pub discovery: Discovery,
    /// Injector of system call faults.
    pub shim: Shim,
    daemon: PathBuf,
    config: PathBuf,
    log: PathBuf,
    balancers: usize,
    upstream_list: UpstreamList,
    ledger: SharedLedger,
    child: Option<Child>,
}

/// Parameters shared by all balancers of a run.
#[derive(Clone, Debug)]
pub struct BalancerOptions<'a> {
    /// Path of the daemon's executable.
    pub daemon: &'a Path,
    /// Directory for configurations and logs.
    pub directory: &'a Path,
    /// Number of balancers.
    pub balancers: usize,
    /// The list of upstreams.
    pub upstream_list: &'a UpstreamList,
    /// The record of the run.
    pub ledger: &'a SharedLedger,
}

impl Balancer {
    /// Creates a balancer without starting its process.
    pub async fn new(number: usize, options: &BalancerOptions<'_>) -> std::io::Result<Self> {
        let BalancerOptions { daemon, directory, balancers, upstream_list, ledger } =
            options.clone();
        let discovery = Discovery::start(number, upstream_list.clone(), ledger.clone()).await?;
        Ok(Self {
            number,
            address: Arc::default(),
            discovery,
            shim: Shim::new()?,
            daemon: daemon.to_path_buf(),
            config: directory.join(format!("balancer-{number}.json")),
            log: directory.join(format!("balancer-{number}.log")),
            balancers,
            upstream_list: upstream_list.clone(),
            ledger: ledger.clone(),
            child: None,
        })
    }

    fn config_text(&self) -> String {
        let (_, known, _) = self.upstream_list.since(0);
        config(self.number, self.balancers, &self.discovery.address.to_string(), &known).to_string()
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&mut self) -> std::io::Result<()> {
        std::fs::write(&self.config, self.config_text())?;
        let now = Instant::now();
        {
            let mut ledger = lock(&self.ledger);
            for member in self.upstream_list.members() {
                ledger.record_notification(
                    self.number,
                    &member.id,
                    member.phase == Phase::Serving,
                    now,
                );
            }
            ledger.incarnations.entry(self.number).or_default().push(Incarnation::default());
        }
        let listen = self.current_address().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut command = std::process::Command::new(&self.daemon);
        self.shim.load_into(&mut command);
        let mut command = Command::from(command);
        command
            .env("LB_NAME", format!("soak-{}", self.number))
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", self.discovery.address.to_string())
            .env("LB_CONFIG", &self.config)
            .env("LB_LOG", "debug")
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| std::io::Error::other("no log"))?;
        self.child = Some(child);
        let file = tokio::fs::OpenOptions::new().create(true).append(true).open(&self.log).await?;
        let listening = Arc::new(tokio::sync::Notify::new());
        tokio::spawn(follow_log(
            BufReader::new(stderr),
            file,
            self.number,
            self.address.clone(),
            listening.clone(),
            self.ledger.clone(),
        ));
        if timeout(READY_TIMEOUT, listening.notified()).await.is_err() {
            self.record_failure("is not listening within 10 s");
            return Ok(());
        }
        self.wait_until_ready(now).await;
        Ok(())
    }

    async fn wait_until_ready(&self, begun: Instant) {
        while begun.elapsed() < READY_TIMEOUT {
            if let Some(address) = self.current_address()
                && let Ok(Ok(status)) =
                    timeout(Duration::from_millis(500), request_readiness(address)).await
                && status == 200
            {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.record_failure("is not ready within 10 s");
    }

    /// Returns the address for clients.
    pub fn current_address(&self) -> Option<SocketAddr> {
        *self.address.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn record_failure(&self, what: &str) {
        lock(&self.ledger).daemon_failures.push(format!("balancer {}: {what}", self.number));
    }

    /// Sends the signal with this name to the process.
    pub async fn signal(&self, name: &str) {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else { return };
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status().await;
        if !sent.is_ok_and(|status| status.success()) {
            self.record_failure(&format!("SIG{name} was not delivered"));
        }
    }

    /// Rewrites the configuration in two steps. The daemon is told to reload while only the first half is written, and
    /// the whole file follows after `incomplete_for`.
    pub async fn reload(&self, incomplete_for: Duration) -> std::io::Result<()> {
        let text = self.config_text();
        tokio::fs::write(&self.config, &text[..text.len() / 2]).await?;
        self.signal("HUP").await;
        sleep(incomplete_for).await;
        tokio::fs::write(&self.config, &text).await
    }

    /// Terminates the process gracefully, and kills it if it does not exit within `KILL_AFTER`.
    pub async fn stop(&mut self) {
        self.update_incarnation(|incarnation, now| incarnation.terminated = Some(now));
        self.signal("TERM").await;
        let Some(mut child) = self.child.take() else { return };
        match timeout(KILL_AFTER, child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(status) => self.record_failure(&format!("exited with {status:?}")),
            Err(_) => {
                self.record_failure("did not exit after SIGTERM and was killed");
                let _ = child.kill().await;
            }
        }
        self.update_incarnation(|incarnation, now| incarnation.gone = Some(now));
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        self.update_incarnation(|incarnation, now| incarnation.killed = Some(now));
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
        self.update_incarnation(|incarnation, now| incarnation.gone = Some(now));
    }

    fn update_incarnation(&self, update: impl FnOnce(&mut Incarnation, Instant)) {
        let mut ledger = lock(&self.ledger);
        if let Some(incarnation) = ledger
            .incarnations
            .get_mut(&self.number)
            .and_then(|incarnations| incarnations.last_mut())
        {
            update(incarnation, Instant::now());
        }
    }

    /// Returns the number of open file descriptors of the process.
    pub fn descriptors(&self) -> Option<usize> {
        let pid = self.child.as_ref()?.id()?;
        Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
    }
}

/// Copies the log to a file, and extracts the listening address and the faults that it reports.
async fn follow_log(
    log: BufReader<tokio::process::ChildStderr>,
    mut file: tokio::fs::File,
    number: usize,
    address: Arc<Mutex<Option<SocketAddr>>>,
    listening: Arc<tokio::sync::Notify>,
    ledger: SharedLedger,
) {
    let mut lines = log.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some((_, at)) = line.split_once("listening on ") {
            *address.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) =
                at.split_whitespace().next().and_then(|at| at.parse().ok());
            listening.notify_one();
        }
        if FAILURE_TEXTS.iter().any(|what| line.contains(what)) {
            lock(&ledger).daemon_failures.push(format!("balancer {number}: {line}"));
        }
        let _ = file.write_all(format!("{line}\n").as_bytes()).await;
    }
    let _ = file.flush().await;
}

async fn request_readiness(address: SocketAddr) -> Result<u16, NoMessage> {
    let mut stream = tokio::net::TcpStream::connect(address).await.map_err(|_| NoMessage::Reset)?;
    let request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.map_err(|_| NoMessage::Reset)?;
    Ok(read_head(&mut stream).await?.status())
}
