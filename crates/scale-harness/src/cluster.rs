//! A cluster of hollow balancers before one discovery: how it is started, restarted and measured.

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::discovery::Counts;
use crate::fleet::{BalancerConfig, Fleet, SubsetConfig};
use crate::metered::{Meter, Reading};
use crate::prober::{InForce, Prober};
use crate::usage;
use crate::workers::{WorkerError, Workers};

/// Descriptors that one hollow balancer may need with its stand-ins: both ends of its watch, its listener,
/// both ends of a probe and of a connection to a canary, and a datagram socket.
const DESCRIPTORS_PER_BALANCER: usize = 8;
/// Descriptors of the harness itself: the canaries' listeners, event queues, standard streams.
const HARNESS_DESCRIPTORS: usize = 256;
/// Balancers without peers that are started together at first, so that a fleet that does not fit into memory is noticed
/// before it takes all of it.
const START_BATCH: usize = 25;
/// Longest wait for a balancer's first answer after its start.
const START_LIMIT: Duration = Duration::from_secs(60);

/// What a cluster of hollow balancers is made of.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The fleet that discovery lists, and how many balancers there are.
    pub fleet: Fleet,
    /// For all random numbers of the harness and of the balancers.
    pub seed: u64,
    /// Threads that hold the balancers.
    pub threads: usize,
    /// How large a part of the fleet each balancer keeps; all where none is asked for.
    pub subset: Option<SubsetConfig>,
    /// Whether the balancers talk to each other.
    pub peers: bool,
    /// Resident memory of the process beyond which nothing more is started, in bytes.
    pub memory_limit: u64,
}

/// Why a run can't be done.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A balancer does not start.
    #[error("{0}")]
    Worker(#[from] WorkerError),
    /// The process may not hold so many descriptors.
    #[error("{balancers} balancers may need {needed} descriptors; the limit is {limit}")]
    Descriptors {
        /// Balancers asked for.
        balancers: usize,
        /// Descriptors that they may need.
        needed: usize,
        /// Descriptors that there are.
        limit: usize,
    },
    /// The fleet does not fit.
    #[error("resident memory is {resident} bytes with {started} balancers; the limit is {limit}")]
    Memory {
        /// Resident memory.
        resident: u64,
        /// Balancers started so far.
        started: usize,
        /// What is allowed.
        limit: u64,
    },
    /// Balancers did not serve in time after their start.
    #[error("{missing} of {balancers} balancers did not serve within {} s", limit.as_secs())]
    NotReady {
        /// Balancers that did not.
        missing: usize,
        /// All balancers.
        balancers: usize,
        /// How long they were given.
        limit: Duration,
    },
    /// The run took longer than it may.
    #[error("the run did not end within {} s", limit.as_secs())]
    Overdue {
        /// How long it was given.
        limit: Duration,
    },
}

/// Hollow balancers, running.
pub struct HollowCluster {
    options: Options,
    /// Discovery, the canaries and the probes.
    pub prober: Rc<Prober>,
    workers: Workers,
    meters: Vec<Arc<Meter>>,
    addresses: RefCell<Vec<SocketAddr>>,
    peers: Option<Vec<SocketAddr>>,
    /// Resident memory before the first balancer.
    baseline: u64,
}

/// Where a measurement began.
pub struct Mark {
    /// When.
    pub at: Instant,
    /// Processor time of all workers.
    pub processor: Duration,
    /// The meters of all balancers.
    pub readings: Vec<Reading>,
    /// Discovery's counts.
    pub counts: Counts,
}

impl HollowCluster {
    /// Starts the stand-ins and the threads, and no balancer yet.
    ///
    /// # Errors
    /// The machine does not have what is needed.
    pub fn prepare(options: Options) -> Result<Self, HarnessError> {
        let balancers = options.fleet.balancers;
        let needed = balancers * DESCRIPTORS_PER_BALANCER + HARNESS_DESCRIPTORS;
        let limit = usage::descriptor_limit()?;
        if needed > limit {
            return Err(HarnessError::Descriptors { balancers, needed, limit });
        }
        let prober = Prober::start(options.fleet.entries())?;
        let workers = Workers::start(options.threads, options.fleet)?;
        let peers = options.peers.then(|| peer_addresses(balancers)).transpose()?;
        let baseline = usage::resident_memory(&usage::own_process())?;
        let meters = (0..balancers).map(|_| Arc::default()).collect();
        let addresses = RefCell::default();
        Ok(Self { options, prober, workers, meters, addresses, peers, baseline })
    }

    /// Starts all balancers, a batch at a time unless they talk to each other, and waits until each serves: how long each took.
    ///
    /// # Errors
    /// They don't fit, or don't serve in time.
    pub async fn start(&self) -> Result<InForce, HarnessError> {
        let balancers = self.options.fleet.balancers;
        // Balancers that talk elect a leader first, for which most voters must run.
        let batch_size = if self.options.peers { balancers } else { START_BATCH };
        let mut times = Vec::with_capacity(balancers);
        for first in (0..balancers).step_by(batch_size) {
            let since = Instant::now();
            for position in first..(first + batch_size).min(balancers) {
                let address = self.start_balancer(position).await?;
                self.addresses.borrow_mut().push(address);
            }
            let batch = self.addresses.borrow()[first..].to_vec();
            times.extend(self.wait_ready(&batch, since).await?);
            self.check_memory()?;
        }
        Ok(times)
    }

    /// Ends all balancers as a crash does, starts all anew at once, and waits until each serves: how long each
    /// took, from the moment at which the first was started.
    ///
    /// # Errors
    /// They don't serve in time.
    pub async fn restart_all(&self) -> Result<InForce, HarnessError> {
        let balancers = self.options.fleet.balancers;
        for position in 0..balancers {
            self.workers.stop_balancer(position).await;
        }
        let since = Instant::now();
        let mut addresses = Vec::with_capacity(balancers);
        for position in 0..balancers {
            addresses.push(self.start_balancer(position).await?);
        }
        self.addresses.replace(addresses.clone());
        self.wait_ready(&addresses, since).await
    }

    /// Where clients reach the balancers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().clone()
    }

    /// What the cluster is made of.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Balancers that have ended by themselves.
    pub fn ended_by_themselves(&self) -> u64 {
        self.workers.ended_by_themselves()
    }

    /// Resident memory before the first balancer: the harness's own, in bytes.
    pub fn baseline_memory(&self) -> u64 {
        self.baseline
    }

    /// Resident memory now, in bytes.
    ///
    /// # Errors
    /// The kernel does not tell.
    pub fn resident_memory(&self) -> Result<u64, HarnessError> {
        Ok(usage::resident_memory(&usage::own_process())?)
    }

    /// The counters as they stand.
    ///
    /// # Errors
    /// The kernel does not tell.
    pub fn mark(&self) -> Result<Mark, HarnessError> {
        Ok(Mark {
            at: Instant::now(),
            processor: self.workers.processor_time()?,
            readings: self.meters.iter().map(|meter| meter.read()).collect(),
            counts: self.prober.discovery.counts(),
        })
    }

    async fn start_balancer(&self, position: usize) -> Result<SocketAddr, WorkerError> {
        let config = BalancerConfig {
            position,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            discovery: self.prober.discovery.address(),
            seed: self.options.seed.wrapping_add(position as u64),
            subset: self.options.subset,
            peers: self.peers.clone(),
            canary: true,
        };
        self.workers.start_balancer(config, self.meters[position].clone()).await
    }

    async fn wait_ready(
        &self,
        addresses: &[SocketAddr],
        since: Instant,
    ) -> Result<InForce, HarnessError> {
        let times = self.prober.wait_ready(addresses, since, START_LIMIT).await;
        let missing = times.iter().filter(|time| time.is_none()).count();
        if missing > 0 {
            let balancers = self.options.fleet.balancers;
            return Err(HarnessError::NotReady { missing, balancers, limit: START_LIMIT });
        }
        Ok(times)
    }

    fn check_memory(&self) -> Result<(), HarnessError> {
        let (resident, limit) = (self.resident_memory()?, self.options.memory_limit);
        let started = self.addresses.borrow().len();
        if resident > limit {
            return Err(HarnessError::Memory { resident, started, limit });
        }
        Ok(())
    }
}

/// A datagram address of its own for each balancer, all with one port that is free at this moment.
fn peer_addresses(balancers: usize) -> io::Result<Vec<SocketAddr>> {
    let port = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?.port();
    let address = |position: usize| {
        // From 127.1.0.1 on; neither .0 nor .255 is used as a last octet.
        let (third, fourth) = ((position / 250) as u8, (position % 250 + 1) as u8);
        SocketAddr::from((Ipv4Addr::new(127, 1, third, fourth), port))
    };
    Ok((0..balancers).map(address).collect())
}
