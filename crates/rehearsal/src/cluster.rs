//! The balancers of a run: their configuration, starts, stops and restarts. A [`Launcher`] runs
//! them, as processes or as a library inside this process.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{LocalBoxFuture, Network};
use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clients::Clients;
use crate::list::NodeList;
use crate::node::count;
use crate::peers::{Addresses, Peers};
use crate::record::{Observation, Resources};
use crate::run_context::{Host, RunContext};
use crate::scenario::{Effect, FaultKind, Group, LinkDirection, PolicySettings, Scenario};
use crate::state_directories::{COPY_EVERY, DiskFaults, StateDirectories};

/// Time after SIGTERM during which new connections keep arriving.
const STOP_NOTICE: Duration = Duration::from_millis(300);
/// Time from the longest deadline to SIGKILL.
const STOP_KILL: Duration = Duration::from_millis(700);

/// A balancer could not be started.
#[derive(Debug, thiserror::Error)]
#[error("balancer {name}: {what}")]
pub struct LaunchError {
    /// Name of the balancer.
    pub name: String,
    /// The step that failed, and its error.
    pub what: String,
}

/// Everything that a balancer is started with.
pub struct Launch {
    /// `LB_NAME`.
    pub name: String,
    /// Number of the balancer, from 0.
    pub number: usize,
    /// Number of this start of the balancer, from 1.
    pub start: u32,
    /// `LB_LISTEN`.
    pub listen: SocketAddr,
    /// `LB_DISCOVERY`.
    pub discovery: SocketAddr,
    /// Contents of the `LB_CONFIG` file.
    pub config: String,
    /// The network from the balancer's point of view.
    pub network: Rc<dyn Network>,
    /// `TMPDIR`, one for each balancer.
    pub directory: PathBuf,
    /// `LB_CONTROL`, if the admin API is enabled.
    pub control: Option<SocketAddr>,
    /// `LB_STATE_DIR`, if the scenario persists state.
    pub state: Option<PathBuf>,
    /// Faults of the disk that holds the directory.
    pub disk: Rc<DiskFaults>,
}

/// Controls a running balancer.
pub trait Control {
    /// Kills the balancer: SIGKILL.
    fn kill(&self);
    /// Requests termination: SIGTERM.
    fn terminate(&self);
    /// Suspends or resumes the balancer: SIGSTOP and SIGCONT.
    fn pause(&self, paused: bool);
    /// Replaces the configuration and notifies the balancer: SIGHUP.
    fn reload(&self, config: &str);
    /// Returns the resources in use, if known.
    fn resources(&self) -> Option<Resources> {
        None
    }
    /// Returns how the balancer was started and the end of its log, for error messages; empty if
    /// unknown.
    fn recent_log(&self) -> String {
        String::new()
    }
}

/// A balancer that has been started.
pub struct RunningBalancer {
    /// Controls the balancer.
    pub control: Box<dyn Control>,
    /// Resolves when the balancer has ended: to its exit code, or to `None` if it was killed.
    pub ended: LocalBoxFuture<'static, Option<i32>>,
}

/// Starts balancers.
pub trait Launcher {
    /// Starts a balancer.
    ///
    /// # Errors
    /// The balancer can't be started.
    fn launch(&self, launch: Launch) -> Result<RunningBalancer, LaunchError>;
}

#[derive(Default)]
struct Slot {
    control: Option<Box<dyn Control>>,
    start: u32,
    address: Option<SocketAddr>,
    admin_address: Option<SocketAddr>,
    /// Number of active faults that keep the balancer down, and of those that suspend it.
    down: u32,
    paused: u32,
    /// The endpoint list in the configuration of the latest start.
    initial_list: Value,
    peak: Resources,
    /// Processor time of the previous starts, in milliseconds.
    cpu_before: u64,
}

/// All balancers of a run.
pub struct Balancers {
    context: Rc<RunContext>,
    list: Rc<NodeList>,
    clients: Rc<Clients>,
    launcher: Rc<dyn Launcher>,
    peers: Option<Rc<Peers>>,
    state_directories: StateDirectories,
    slots: RefCell<Vec<Slot>>,
    /// The first balancer that ended by itself before the front end put it into rotation.
    early_exit: RefCell<Option<LaunchError>>,
}

impl Balancers {
    /// Creates the balancers of a run; none is started.
    ///
    /// # Errors
    /// The addresses between the balancers, or the state directories, can't be created.
    pub fn new(
        context: &Rc<RunContext>,
        list: &Rc<NodeList>,
        clients: &Rc<Clients>,
        launcher: Rc<dyn Launcher>,
    ) -> std::io::Result<Rc<Self>> {
        let link = || {
            let (testbed, record) = (context.testbed.clone(), context.record.clone());
            let (count, seed) = (context.scenario.cluster.count, context.plan.seed);
            Peers::new(testbed, count, seed, move |seen| record.saw(seen))
        };
        let peers = context.scenario.cluster.peers.then(link).transpose()?;
        let state_directories = StateDirectories::new(&context.scenario, context.plan.seed)?;
        let slots = (0..context.scenario.cluster.count).map(|_| Slot::default()).collect();
        let balancers = Rc::new(Self {
            context: context.clone(),
            list: list.clone(),
            clients: clients.clone(),
            launcher,
            peers,
            state_directories,
            slots: RefCell::new(slots),
            early_exit: RefCell::default(),
        });
        if balancers.state_directories.needs_copies() {
            let balancers = Rc::downgrade(&balancers);
            spawn_local(async move {
                while let Some(balancers) = balancers.upgrade() {
                    // A failed copy is ignored: a later fault that restores an old copy doesn't
                    // find this one.
                    let _ = balancers.state_directories.copy();
                    drop(balancers);
                    sleep(COPY_EVERY).await;
                }
            });
        }
        Ok(balancers)
    }

    /// Starts a balancer under its name and address.
    ///
    /// # Errors
    /// No address is free, the directory can't be prepared, or the launcher fails.
    pub fn start(self: &Rc<Self>, balancer: usize) -> Result<(), LaunchError> {
        let name = format!("n{balancer}");
        let fail = |what: &str| {
            let (name, what) = (name.clone(), what.to_string());
            move |e: std::io::Error| LaunchError { name, what: format!("{what}: {e}") }
        };
        let address = self.address(balancer).map_err(fail("no address to listen on"))?;
        let directory = self.state_directories.prepare(balancer).map_err(fail("its directory"))?;
        let control =
            self.assign_admin_address(balancer).map_err(fail("no address for operators"))?;
        let start = self.context.next_start(balancer);
        let initial_list = self.list.initial_list(balancer);
        self.slots.borrow_mut()[balancer].initial_list = initial_list;
        let launch = Launch {
            number: balancer,
            start,
            listen: address,
            discovery: self.list.address(balancer),
            config: self.config(balancer, &name, address, start),
            network: self.context.testbed.network(Host::Balancer(balancer)),
            state: self.context.scenario.cluster.persists_state.then(|| directory.join("state")),
            disk: self.state_directories.disk(balancer),
            directory,
            control,
            name,
        };
        self.context.record.saw(Observation::Started { balancer, start });
        let RunningBalancer { control, ended } = self.launcher.launch(launch)?;
        {
            let slot = &mut self.slots.borrow_mut()[balancer];
            slot.cpu_before += std::mem::take(&mut slot.peak.cpu_ms);
            if slot.paused > 0 {
                control.pause(true);
                self.context.record.saw(Observation::Paused { balancer, start });
            }
            (slot.control, slot.start) = (Some(control), start);
        }
        let balancers = self.clone();
        spawn_local(async move {
            let code = ended.await;
            balancers.ended(balancer, start, code);
        });
        let clients = self.clients.clone();
        spawn_local(async move { clients.await_ready(balancer, address, start).await });
        Ok(())
    }

    /// Returns the listening address, which is the same after a restart.
    fn address(&self, balancer: usize) -> std::io::Result<SocketAddr> {
        if let Some(address) = self.slots.borrow()[balancer].address {
            return Ok(address);
        }
        // No other host uses this IP address, so the port stays free after the trial listener
        // closes.
        let network = self.context.testbed.network(Host::Balancer(balancer));
        let trial = network.listen(self.context.testbed.address(Host::Balancer(balancer)))?;
        let address = trial.local_addr();
        self.slots.borrow_mut()[balancer].address = Some(address);
        Ok(address)
    }

    /// Returns the address of the admin API, which is the same after a restart.
    fn assign_admin_address(&self, balancer: usize) -> std::io::Result<Option<SocketAddr>> {
        let scenario = &self.context.scenario;
        let wanted = scenario.cluster.persists_state || !scenario.policy_actions.is_empty();
        if !wanted || self.slots.borrow()[balancer].admin_address.is_some() {
            return Ok(self.slots.borrow()[balancer].admin_address);
        }
        let network = self.context.testbed.network(Host::Balancer(balancer));
        let trial = network.listen(self.context.testbed.address(Host::Balancer(balancer)))?;
        let admin_address = Some(trial.local_addr());
        self.slots.borrow_mut()[balancer].admin_address = admin_address;
        Ok(admin_address)
    }

    fn ended(&self, balancer: usize, start: u32, code: Option<i32>) {
        let mut slots = self.slots.borrow_mut();
        if slots[balancer].start == start {
            let control = slots[balancer].control.take();
            if let Some(control) = control.filter(|_| !self.clients.in_rotation(balancer)) {
                let how = code.map_or("by a signal".to_string(), |c| format!("with code {c}"));
                let what = format!("it ended {how} before it was ready{}", control.recent_log());
                let early = LaunchError { name: format!("n{balancer}"), what };
                self.early_exit.borrow_mut().get_or_insert(early);
            }
            self.clients.remove_from_rotation(balancer);
        }
        self.context.record.saw(Observation::Exited { balancer, start, code });
    }

    /// Returns the error of the first balancer that ended by itself before it was in rotation, if
    /// any.
    pub fn early_exit(&self) -> Option<LaunchError> {
        self.early_exit.take()
    }

    /// Returns the address of the admin API, if the balancer runs and has one.
    pub fn admin_address(&self, balancer: usize) -> Option<SocketAddr> {
        self.slots.borrow()[balancer].admin_address.filter(|_| self.runs(balancer))
    }

    /// Cuts the leader off from all other balancers, or ends the cut.
    pub fn cut_off(&self, key: usize, balancer: usize, begins: bool) {
        let cut = FaultKind::LinksCut { direction: LinkDirection::Both, open_share: 0.0 };
        self.set_link_fault(self.context.scenario.faults.len() + key, &cut, &[balancer], begins);
        self.context.record.saw(Observation::CutOff { balancer, begins });
    }

    /// Returns whether the balancer runs.
    pub fn runs(&self, balancer: usize) -> bool {
        self.slots.borrow()[balancer].control.is_some()
    }

    /// Kills the balancer. The front end notices after the scenario's delay.
    pub fn kill(self: &Rc<Self>, balancer: usize) {
        let start = self.slots.borrow()[balancer].start;
        let Some(control) = self.slots.borrow_mut()[balancer].control.take() else { return };
        self.context.record.saw(Observation::Killed { balancer, start });
        control.kill();
        let (balancers, notice) = (self.clone(), self.context.scenario.cluster.notice);
        spawn_local(async move {
            sleep(notice).await;
            if balancers.context.start_of(balancer) == start {
                balancers.clients.remove_from_rotation(balancer);
            }
        });
    }

    /// Starts or ends a fault that keeps the balancer down. With overlapping faults, the end of the
    /// last one starts the balancer again.
    ///
    /// # Errors
    /// The balancer can't be started again.
    pub fn set_down(self: &Rc<Self>, balancer: usize, begins: bool) -> Result<(), LaunchError> {
        count(&mut self.slots.borrow_mut()[balancer].down, begins);
        if begins {
            self.kill(balancer);
            return Ok(());
        }
        self.start_if_allowed(balancer)
    }

    /// Starts the balancer if it is not running and no fault keeps it down.
    fn start_if_allowed(self: &Rc<Self>, balancer: usize) -> Result<(), LaunchError> {
        if self.runs(balancer) || self.slots.borrow()[balancer].down > 0 {
            return Ok(());
        }
        self.start(balancer)
    }

    /// Starts or ends a fault that suspends the balancer.
    pub fn pause(self: &Rc<Self>, balancer: usize, begins: bool) {
        let (start, changes) = {
            let slot = &mut self.slots.borrow_mut()[balancer];
            let was = slot.paused > 0;
            count(&mut slot.paused, begins);
            let changes = was != (slot.paused > 0);
            if changes && let Some(control) = &slot.control {
                control.pause(begins);
            }
            (slot.start, changes && slot.control.is_some())
        };
        if !changes {
            return;
        }
        let seen = match begins {
            true => Observation::Paused { balancer, start },
            false => Observation::Resumed { balancer, start },
        };
        self.context.record.saw(seen);
        let balancers = self.clone();
        spawn_local(async move {
            if begins {
                sleep(balancers.context.scenario.cluster.notice).await;
                if balancers.context.start_of(balancer) == start && balancers.is_paused(balancer) {
                    balancers.clients.remove_from_rotation(balancer);
                }
            } else if let Some(address) = balancers.slots.borrow()[balancer].address
                && !balancers.clients.in_rotation(balancer)
            {
                let clients = balancers.clients.clone();
                spawn_local(async move { clients.await_ready(balancer, address, start).await });
            }
        });
    }

    fn is_paused(&self, balancer: usize) -> bool {
        self.slots.borrow()[balancer].paused > 0
    }

    /// Starts or ends a fault of the links between balancers.
    pub fn set_link_fault(&self, fault: usize, kind: &FaultKind, affected: &[usize], begins: bool) {
        if let Some(peers) = &self.peers {
            peers.apply_fault(fault, kind, affected, begins);
        }
    }

    /// Damages the stored state of a balancer.
    ///
    /// # Errors
    /// The state directory can't be read or written.
    pub fn damage_state(&self, balancer: usize, kind: &FaultKind) -> std::io::Result<()> {
        let files = self.state_directories.apply_fault(kind, balancer)?;
        self.context.record.saw(Observation::StateChanged { balancer, files });
        Ok(())
    }

    /// Starts or ends a fault of a balancer's disk.
    pub fn set_disk_fault(&self, balancer: usize, kind: &FaultKind, begins: bool) {
        self.state_directories.apply_disk_fault(kind, balancer, begins);
    }

    /// Restarts a balancer as planned: SIGTERM, SIGKILL if that takes too long, and a new start.
    pub async fn restart(self: Rc<Self>, balancer: usize) {
        let start = self.slots.borrow()[balancer].start;
        if !self.runs(balancer) {
            return;
        }
        self.context.record.saw(Observation::Stopping { balancer, start });
        if let Some(control) = &self.slots.borrow()[balancer].control {
            control.terminate();
        }
        sleep(STOP_NOTICE).await;
        self.clients.remove_from_rotation(balancer);
        let longest = self.context.scenario.classes.iter().map(|c| c.deadline).max();
        let mut left = longest.unwrap_or_default() + STOP_KILL;
        let step = Duration::from_millis(20);
        while self.runs(balancer) && self.slots.borrow()[balancer].start == start {
            if left.is_zero() {
                self.kill(balancer);
                break;
            }
            left = left.saturating_sub(step);
            sleep(step).await;
        }
        if self.context.start_of(balancer) == start {
            let _ = self.start_if_allowed(balancer);
        }
    }

    /// Makes all balancers reload their configuration, in which only the address of the endpoint
    /// list has changed.
    pub fn reload(&self) {
        for balancer in 0..self.context.scenario.cluster.count {
            let (address, start) = {
                let slots = self.slots.borrow();
                (slots[balancer].address, slots[balancer].start)
            };
            let Some(address) = address else { continue };
            let config = self.config(balancer, &format!("n{balancer}"), address, start);
            if let Some(control) = &self.slots.borrow()[balancer].control {
                control.reload(&config);
            }
        }
    }

    /// Samples the resources of each balancer and keeps the maximum.
    pub fn measure(&self) {
        for slot in self.slots.borrow_mut().iter_mut() {
            let Some(now) = slot.control.as_ref().and_then(|c| c.resources()) else { continue };
            slot.peak.memory_kib = slot.peak.memory_kib.max(now.memory_kib);
            slot.peak.descriptors = slot.peak.descriptors.max(now.descriptors);
            slot.peak.cpu_ms = slot.peak.cpu_ms.max(now.cpu_ms);
        }
    }

    /// Returns the peak resources of each balancer, where known.
    pub fn resources(&self) -> Vec<Option<Resources>> {
        let of =
            |slot: &Slot| Resources { cpu_ms: slot.peak.cpu_ms + slot.cpu_before, ..slot.peak };
        let known = |r: Resources| (r != Resources::default()).then_some(r);
        self.slots.borrow().iter().map(|s| known(of(s))).collect()
    }

    /// Kills all balancers.
    pub fn end(&self) {
        for slot in self.slots.borrow_mut().iter_mut() {
            if let Some(control) = slot.control.take() {
                control.kill();
            }
        }
    }

    fn config(&self, balancer: usize, name: &str, listen: SocketAddr, start: u32) -> String {
        let scenario = &self.context.scenario;
        let seed = self.context.plan.balancer_seeds[balancer].wrapping_add(u64::from(start));
        let subset = |(times, least)| json!({"times": times, "least": least});
        let mut config = json!({
            "subset": scenario.cluster.subset.map(subset),
            "name": name,
            "listen": listen.to_string(),
            "discovery": self.list.address(balancer).to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.cluster.memory_mb,
                "sockets": scenario.cluster.sockets,
            },
            "known": self.slots.borrow()[balancer].initial_list,
            "settings": settings(scenario, balancer),
        });
        if let Some(admin_address) = self.slots.borrow()[balancer].admin_address {
            config["control"] = admin_address.to_string().into();
        }
        if let Some(peers) = &self.peers {
            let Addresses { listen, peers, all } = peers.addresses(balancer);
            config["peer_listen"] = listen.to_string().into();
            config["peers"] = peers.iter().map(ToString::to_string).collect();
            config["peers_all"] = all.to_string().into();
            if let Some(cluster_key) = cluster_key(&scenario.cluster.policy) {
                config["fleet"] = cluster_key;
            }
        }
        config.to_string()
    }
}

/// Returns the cluster key of the configuration, which is the project's own, if the scenario sets
/// any of it.
fn cluster_key(settings: &PolicySettings) -> Option<Value> {
    if settings.is_off {
        return Some("off".into());
    }
    if *settings
        == (PolicySettings { poll_interval: settings.poll_interval, ..PolicySettings::default() })
    {
        return None;
    }
    let mut value = json!({"council": settings.voters});
    if let Some(cells) = &settings.fallback_cells {
        value["charter"] = cells.clone().into();
    }
    if let Some(cells) = &settings.mandatory_fallback_cells {
        value["bedrock"] = cells.clone().into();
    }
    Some(value)
}

/// Returns the settings in the platform's own keys.
pub fn settings(scenario: &Scenario, balancer: usize) -> Value {
    let ms = |d: Duration| d.as_secs_f64() * 1e3;
    let rules = &scenario.rules;
    let kinds = &scenario.fleet.machine_types;
    let service = |c: &crate::scenario::Class| {
        json!({
            "Name": c.name,
            "Aim": ms(c.latency_objective),
            "Deadline": ms(c.deadline),
            "Importance": c.priority_weight,
            "LateValue": c.late_weight,
            "Effect": match c.effect {
                Effect::Safe => "retryable",
                Effect::Keyed => "dedup",
                Effect::Unsafe => "fragile",
            },
            "Group": match c.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            },
            "Window": ms(c.window),
            "Streaming": false,
        })
    };
    let (cold_from, cold) = scenario.advertised_warm_up();
    json!({
        "Balancers": scenario.cluster.count,
        "Position": balancer,
        "Zone": balancer % scenario.fleet.zones.len(),
        "Zones": scenario.fleet.zones,
        "MachineTypes": kinds.iter().map(|k| k.name.clone()).collect::<Vec<_>>(),
        "Tick": 5.0,
        "RegistryMode": if scenario.list.is_polled { "subscribe" } else { "automatic" },
        "CountedBy": "work",
        "ClientHabits": {"MarksRetry": true},
        "Services": scenario.classes.iter().map(service).collect::<Vec<_>>(),
        "PolicyLimits": {
            "MaxAttempts": rules.max_attempts,
            "SecondCopies": false,
            "Cancelling": true,
            "PeerMessages": scenario.cluster.peers,
            "Probes": false,
            "RetryAfter": true,
            "MaxRetryAfter": ms(rules.max_retry_after),
            "ConnectTimeout": ms(rules.connect_timeout),
            "Keepalive": ms(rules.keepalive),
            "StreamsPerConn": 1,
        },
        "Safety": {
            "AnswerSlack": 20.0,
            "AskEvery": ms(rules.ask_every),
            "Cold": ms(cold),
            "ColdFrom": cold_from,
            "DrainGrace": ms(rules.drain_grace),
            "FallMultiple": rules.fall_multiple,
            "TipAfter": ms(rules.tip_after),
        },
        "Prices": {"CrossZone": 0.01, "Waste": 0.2, "LateFail": 0.03},
        "ScoringMix": {"Whole": 0.45, "WorstWindow": 0.35, "WorstClass": 0.2},
        "Stats": {"How": "piggyback", "Names": ["eps", "qps", "inflight"]},
    })
}
