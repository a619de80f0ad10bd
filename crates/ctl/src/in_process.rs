//! The gateway's library as a balancer inside this process, for runs in virtual time.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hollowpaddle_failpoints::Points;
use hollowpaddle_gateway::cluster;
use hollowpaddle_gateway::{Config, OperatorAccess, Resources, StateSaver, StoredState, serve};
use hollowpaddle_operator_commands::Store;
use hollowpaddle_policy::settings::stable_hash;
use hollowpaddle_rehearsal::cluster::{Control, Launch, LaunchError, Launcher, RunningBalancer};
use hollowpaddle_rehearsal::freeze::FreezeSwitch;
use hollowpaddle_rehearsal::state_directories::DiskFaults;
use hollowpaddle_snapshot::{Directory, Disk, Status};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::sleep;

/// Starts gateways on their own task sets: one that is killed takes all of its tasks with it.
pub struct InProcess;

impl Launcher for InProcess {
    fn launch(&self, launch: Launch) -> Result<RunningBalancer, LaunchError> {
        let Launch { name, listen, discovery, config, network, directory, control, .. } = launch;
        let (state, troubles) = (launch.state, launch.disk);
        let parse = {
            let name = name.clone();
            move |text: &str| {
                Config::parse("its configuration", text.as_bytes(), |variable| match variable {
                    "LB_NAME" => Some(name.clone()),
                    "LB_LISTEN" => Some(listen.to_string()),
                    "LB_DISCOVERY" => Some(discovery.to_string()),
                    _ => None,
                })
            }
        };
        let fail = |what: String| LaunchError { name: name.clone(), what };
        let read = parse(&config).map_err(|e| fail(e.to_string()))?;
        let listener = network.listen(listen).map_err(|e| fail(format!("{listen}: {e}")))?;
        let operating = match control {
            None => OperatorAccess::default(),
            Some(at) => {
                let listener = network.listen(at).map_err(|e| fail(format!("{at}: {e}")))?;
                let store = Store::open(directory.join(format!("hollowpaddle-{name}")));
                let store = store.map_err(|e| fail(e.to_string()))?;
                OperatorAccess { listener: Some(listener), store: Some(store) }
            }
        };
        let state_dir = state.clone();
        let kept = state.map(|dir| {
            let directory = Directory::open(dir).map_err(|e| fail(e.to_string()))?;
            let full = Arc::new(AtomicBool::new(false));
            let disk = Disklike { directory, full: full.clone() };
            let mut store = hollowpaddle_snapshot::Store::new(disk, &name);
            let found = store.load(network.unix_now(), hollowpaddle_recovery::max_age());
            let next = Rc::default();
            let store = Rc::new(RefCell::new(store));
            Ok(StoredState { saver: Box::new(InTurn { store, troubles, full, next }), found })
        });
        // Drawn by the run's seed, and another one with each start.
        let life = stable_hash(&format!("{name} {}", read.seed)) as u32;
        let points = Points::none();
        let cluster = read.cluster.as_ref().map(|of| {
            // A disk that plays tricks is the snapshot's; the bank's own is played by its tests.
            let dir = state_dir.as_ref().map(|dir| dir.join("bank"));
            let stored =
                dir.and_then(|dir| cluster::open(&dir, of.id(), of.node_id(), &name, &points).ok());
            cluster::join(&read, of, life, stored, points.clone())
        });
        let cluster = cluster.transpose().map_err(|e| fail(e.to_string()))?;
        let (cluster, shell) =
            cluster.map_or((None, None), |(link, shell)| (Some(link), Some(shell)));
        let provided =
            Resources { operator_access: operating, stored_state: kept.transpose()?, cluster };
        let (reload, reloads) = mpsc::unbounded_channel();
        let stop = Rc::new(Notify::new());
        let stopped = {
            let stop = stop.clone();
            async move { stop.notified().await }
        };
        let frozen = FreezeSwitch::default();
        let ice = frozen.clone();
        let task = spawn_local(async move {
            let tasks = LocalSet::new();
            if let Some(shell) = shell {
                tasks.spawn_local(shell.run(network.clone()));
            }
            let serving = serve(read, network, listener, provided, reloads, stopped);
            ice.run(tasks.run_until(serving)).await.is_ok()
        });
        let control = Gateway {
            frozen,
            task: task.abort_handle(),
            stop,
            reload: Box::new(move |text| {
                if let Ok(config) = parse(text) {
                    let _ = reload.send(config);
                }
            }),
        };
        let ended = Box::pin(async move {
            match task.await {
                Ok(well) => Some(if well { 0 } else { 1 }),
                // A panic is a crash like any other; being killed is none.
                Err(e) if e.is_panic() => Some(101),
                Err(_) => None,
            }
        });
        Ok(RunningBalancer { control: Box::new(control), ended })
    }
}

/// What is to be written next, and when that was asked for.
type Next = Rc<RefCell<Option<(Duration, Box<dyn FnOnce() -> Vec<u8> + Send>)>>>;

/// Saves in the gateway's own tasks, as the thread of a process would: at once on a disk that is well. In virtual time a
/// thread would come between a save and a kill as chance has it.
struct InTurn {
    store: Rc<RefCell<hollowpaddle_snapshot::Store>>,
    troubles: Rc<DiskFaults>,
    full: Arc<AtomicBool>,
    /// While a slow write is under way: what waits behind it.
    next: Next,
}

impl StateSaver for InTurn {
    fn save(&self, now: Duration, make: Box<dyn FnOnce() -> Vec<u8> + Send>) {
        self.full.store(self.troubles.is_full(), Ordering::Relaxed);
        let delay = self.troubles.delay();
        if delay.is_zero() && self.next.borrow().is_none() {
            // What can't be saved is missing at the next start, which is what a rehearsal shows.
            let _ = self.store.borrow_mut().save(now, &make());
            return;
        }
        // The newest wins. Killed meanwhile, the process takes its tasks with it.
        if self.next.borrow_mut().replace((now, make)).is_none() {
            let (store, next) = (self.store.clone(), self.next.clone());
            spawn_local(async move {
                sleep(delay).await;
                if let Some((now, make)) = next.take() {
                    let _ = store.borrow_mut().save(now, &make());
                }
            });
        }
    }
    fn is_idle(&self) -> bool {
        self.next.borrow().is_none()
    }
    fn status(&self) -> Status {
        Status::default()
    }
}

/// A directory on a disk that may be full. Nothing is synced: no machine ends in virtual time, and waiting for a real disk
/// takes real time.
struct Disklike {
    directory: Directory,
    full: Arc<AtomicBool>,
}

impl Disk for Disklike {
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        self.directory.read(name, most)
    }
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            // As far as there is room.
            self.directory.write(name, &bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.directory.write(name, bytes)
    }
    fn sync(&self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.directory.rename(from, to)
    }
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }
    fn display_path(&self, name: &str) -> String {
        self.directory.display_path(name)
    }
}

struct Gateway {
    frozen: FreezeSwitch,
    task: AbortHandle,
    stop: Rc<Notify>,
    reload: Box<dyn Fn(&str)>,
}

impl Control for Gateway {
    fn kill(&self) {
        self.task.abort();
    }

    fn terminate(&self) {
        self.stop.notify_one();
    }

    fn pause(&self, paused: bool) {
        self.frozen.set(paused);
    }

    fn reload(&self, config: &str) {
        (self.reload)(config);
    }
}
