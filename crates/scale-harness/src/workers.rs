//! Threads that run hollow balancers: each has a current-thread runtime and holds many balancers as local
//! tasks. A hollow balancer is the gateway's own `serve` on the machine's network.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use hollowpaddle_failpoints::Points;
use hollowpaddle_gateway::cluster;
use hollowpaddle_gateway::{Config, ConfigError, Resources, ServeError, serve};
use hollowpaddle_net::{Listener, Network, Tcp};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle as Task, LocalSet, spawn_local};

use crate::fleet::{BalancerConfig, Fleet};
use crate::metered::{Meter, MeteredNetwork};
use crate::usage;

/// Why a hollow balancer does not run.
#[derive(Debug, thiserror::Error)]
pub enum WorkerError {
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The gateway does not accept the fleet's configuration.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The gateway ended.
    #[error("serve: {0}")]
    Serve(#[from] ServeError),
    /// The cluster can't be set up.
    #[error("cluster: {0}")]
    Cluster(#[from] cluster::SetupError),
    /// The worker thread has ended.
    #[error("a worker thread has ended")]
    Ended,
}

/// The threads. Dropped, they end with all balancers on them.
pub struct Workers {
    threads: Vec<Worker>,
    ended: Arc<AtomicU64>,
}

struct Worker {
    commands: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
    statistics: PathBuf,
}

enum Command {
    Start {
        balancer: Box<BalancerConfig>,
        meter: Arc<Meter>,
        started: oneshot::Sender<Result<SocketAddr, WorkerError>>,
    },
    Stop {
        position: usize,
        stopped: oneshot::Sender<()>,
    },
}

impl Workers {
    /// Starts so many threads for balancers of this fleet.
    ///
    /// # Errors
    /// There is no thread or no runtime to be had.
    pub fn start(threads: usize, fleet: Fleet) -> Result<Self, WorkerError> {
        let ended = Arc::new(AtomicU64::new(0));
        let start = |number| Worker::start(number, fleet, ended.clone());
        let threads = (0..threads.max(1)).map(start).collect::<Result<_, _>>()?;
        Ok(Self { threads, ended })
    }

    /// Starts a balancer, and returns where its clients connect. It listens on an ephemeral loopback port,
    /// whatever its configuration says.
    ///
    /// # Errors
    /// It can't listen, or its configuration is not accepted.
    pub async fn start_balancer(
        &self,
        balancer: BalancerConfig,
        meter: Arc<Meter>,
    ) -> Result<SocketAddr, WorkerError> {
        let (started, answer) = oneshot::channel();
        let position = balancer.position;
        self.send(position, Command::Start { balancer: Box::new(balancer), meter, started });
        answer.await.map_err(|_| WorkerError::Ended)?
    }

    /// Ends a balancer at once, as a crash does: its connections are closed.
    pub async fn stop_balancer(&self, position: usize) {
        let (stopped, answer) = oneshot::channel();
        self.send(position, Command::Stop { position, stopped });
        let _ = answer.await;
    }

    /// Balancers that have ended by themselves; the reason went to standard error.
    pub fn ended_by_themselves(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Processor time of all threads since they began.
    ///
    /// # Errors
    /// The kernel does not tell.
    pub fn processor_time(&self) -> io::Result<Duration> {
        self.threads.iter().map(|t| usage::thread_processor_time(&t.statistics)).sum()
    }

    fn send(&self, position: usize, command: Command) {
        let worker = &self.threads[position % self.threads.len()];
        if let Some(commands) = &worker.commands {
            let _ = commands.send(command);
        }
    }
}

impl Worker {
    fn start(number: usize, fleet: Fleet, ended: Arc<AtomicU64>) -> Result<Self, WorkerError> {
        let (commands, received) = mpsc::unbounded_channel();
        let (report, started) = std::sync::mpsc::channel();
        let builder = std::thread::Builder::new().name(format!("worker-{number}"));
        let thread = builder.spawn(move || run_worker(fleet, ended, received, report))?;
        let statistics = started.recv().map_err(|_| WorkerError::Ended)??;
        Ok(Self { commands: Some(commands), thread: Some(thread), statistics })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A worker thread's body: carries out commands until their sender is gone.
fn run_worker(
    fleet: Fleet,
    ended: Arc<AtomicU64>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    report: std::sync::mpsc::Sender<io::Result<PathBuf>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(cause) => return drop(report.send(Err(cause))),
    };
    let _ = report.send(usage::own_thread());
    LocalSet::new().block_on(&runtime, async move {
        let mut running = HashMap::<usize, Task<()>>::new();
        while let Some(command) = commands.recv().await {
            match command {
                Command::Start { balancer, meter, started } => {
                    let position = balancer.position;
                    let task = start(fleet, *balancer, meter, ended.clone());
                    let outcome = task.map(|(address, task)| {
                        running.insert(position, task);
                        address
                    });
                    let _ = started.send(outcome);
                }
                Command::Stop { position, stopped } => {
                    if let Some(task) = running.remove(&position) {
                        task.abort();
                        let _ = task.await;
                    }
                    let _ = stopped.send(());
                }
            }
        }
    });
}

/// Starts one balancer as a task of this thread.
fn start(
    fleet: Fleet,
    balancer: BalancerConfig,
    meter: Arc<Meter>,
    ended: Arc<AtomicU64>,
) -> Result<(SocketAddr, Task<()>), WorkerError> {
    let position = balancer.position;
    let text = fleet.config(&balancer).to_string();
    let config = Config::parse("fleet", text.as_bytes(), |_| None)?;
    let listener = Tcp.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = listener.local_addr();
    let network = Rc::new(MeteredNetwork::new(balancer.discovery, meter));
    let task = spawn_local(async move {
        if let Err(cause) = run_balancer(config, network, listener).await {
            eprintln!("balancer {position}: {cause}");
        }
        ended.fetch_add(1, Ordering::Relaxed);
    });
    Ok((address, task))
}

/// Aborts a task when its owner ends.
struct AbortOnDrop(Task<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs one balancer as the daemon does, without signals, an admin API and a state directory.
async fn run_balancer(
    config: Config,
    network: Rc<dyn Network>,
    listener: Box<dyn Listener>,
) -> Result<(), WorkerError> {
    let (mut provided, mut _cluster) = (Resources::default(), None);
    if let Some(cluster) = &config.cluster {
        let incarnation = config.seed as u32;
        let failpoints = Points::from_environment().map_err(|e| io::Error::other(e.to_string()))?;
        let (link, shell) = cluster::join(&config, cluster, incarnation, None, failpoints)?;
        provided.cluster = Some(link);
        _cluster = Some(AbortOnDrop(spawn_local(shell.run(network.clone()))));
    }
    let (_reload, reloads) = mpsc::unbounded_channel();
    serve(config, network, listener, provided, reloads, std::future::pending()).await?;
    Ok(())
}
